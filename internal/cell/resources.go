// Package cell holds the types that every part of the scheduler shares:
// resources, workers, tasks, leases, outcomes and the reasons behind decisions.
//
// The package does no I/O, reads no clock and depends on no other package of the project.
package cell

import "fmt"

// Resources holds an amount for each resource dimension, for instance of a worker's capacity or of a task's claim.
// The zero value claims nothing.
type Resources struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu"`
	// MemoryMiB is memory in mebibytes.
	MemoryMiB int64 `json:"memory_mib"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `json:"accelerators"`
	// Slots is a count of runner slots; a task occupies at least one.
	Slots int64 `json:"slots"`
}

// Add returns the sum of r and o in every dimension.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

// Sub returns r minus o in every dimension. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
		Slots:        r.Slots - o.Slots,
	}
}

// Fits reports whether r is at most limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	return r.MilliCPU <= limit.MilliCPU &&
		r.MemoryMiB <= limit.MemoryMiB &&
		r.Accelerators <= limit.Accelerators &&
		r.Slots <= limit.Slots
}

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool {
	return r.MilliCPU < 0 || r.MemoryMiB < 0 || r.Accelerators < 0 || r.Slots < 0
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// DominantShare returns the largest fraction of total that r takes in any dimension.
// Dimensions in which total is not positive are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := fraction(r.MilliCPU, total.MilliCPU)
	share = max(share, fraction(r.MemoryMiB, total.MemoryMiB))
	share = max(share, fraction(r.Accelerators, total.Accelerators))
	return max(share, fraction(r.Slots, total.Slots))
}

// String formats r for logs and reasons.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm mem=%dMiB acc=%d slots=%d", r.MilliCPU, r.MemoryMiB, r.Accelerators, r.Slots)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
