package dispatch

import (
	"math"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// Guards against entries of other writers that pass for workers: capacities whose sums overflow, addresses that can't be called, a start of
// the process in the future, which would count as a restart.
func TestEntriesOutOfRangeNameNoWorker(t *testing.T) {
	now := 50 * 365 * 24 * time.Hour
	valid := func() Worker {
		return Worker{ID: "w-1", Pool: "p", Address: "10.0.0.1:80", Zone: "z", Labels: []string{"a", "r1"}, Rack: "r1", Capacity: graph.Resources{MilliCPU: 64000, MemoryMB: 1 << 20, Accelerators: 8}, ProcessStart: now}
	}
	w := valid()
	if err := w.Validate(now); err != nil {
		t.Errorf("valid worker: %v", err)
	}
	long := strings.Repeat("x", maxNameBytes+1)
	for name, change := range map[string]func(*Worker){
		"no id":              func(w *Worker) { w.ID = "" },
		"long id":            func(w *Worker) { w.ID = WorkerID(long) },
		"id with line break": func(w *Worker) { w.ID = "w\r\nx" },
		"no pool":            func(w *Worker) { w.Pool = "" },
		"long pool":          func(w *Worker) { w.Pool = long },
		"long zone":          func(w *Worker) { w.Zone = long },
		"long label":         func(w *Worker) { w.Labels[1] = long },
		"many labels":        func(w *Worker) { w.Labels = make([]string, maxLabels+1) },
		"port 0":             func(w *Worker) { w.Address = "10.0.0.1:0" },
		"port 99999":         func(w *Worker) { w.Address = "10.0.0.1:99999" },
		"no host":            func(w *Worker) { w.Address = ":80" },
		"no processors":      func(w *Worker) { w.Capacity.MilliCPU = -1 },
		"processors":         func(w *Worker) { w.Capacity.MilliCPU = math.MaxInt64 },
		"memory":             func(w *Worker) { w.Capacity.MemoryMB = graph.MaxClaim + 1 },
		"accelerators":       func(w *Worker) { w.Capacity.Accelerators = math.MinInt64 },
		"start in future":    func(w *Worker) { w.ProcessStart = now + maxClockAhead + 1 },
		"start at the end":   func(w *Worker) { w.ProcessStart = math.MaxInt64 },
		"start before 1970":  func(w *Worker) { w.ProcessStart = -1 },
	} {
		w := valid()
		change(&w)
		if err := w.Validate(now); err == nil {
			t.Errorf("%s: passes for a worker", name)
		}
	}
}

// Guards against sums that overflow: the capacity of a pool of as many workers as fit into memory.
func TestCapacitiesWithinTheirRangeDoNotOverflow(t *testing.T) {
	const workers = 1 << 22
	most := graph.Resources{MilliCPU: graph.MaxClaim, MemoryMB: graph.MaxClaim, Accelerators: graph.MaxClaim}
	if err := most.CheckRange(); err != nil {
		t.Fatal(err)
	}
	if sum := most.Times(workers); sum.MilliCPU/workers != graph.MaxClaim || sum.AtLeastZero() != sum {
		t.Errorf("the sum over %d workers is %+v", workers, sum)
	}
}
