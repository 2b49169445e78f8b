package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumpoint/internal/platform"
)

// ObjectFaults says how the object store misbehaves. The zero value is no fault.
type ObjectFaults struct {
	// Down refuses every operation with ErrUnavailable.
	Down bool `json:"down,omitempty"`
	// Delay is added to every operation before it takes effect.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// LoseAnswers makes that many following writes take effect and report ErrUncertain.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// ObjectCounts counts the operations that the object store served.
type ObjectCounts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Objects is an in-memory platform.Objects.
type Objects struct {
	mu     sync.Mutex
	values map[string][]byte
	faults ObjectFaults
	counts ObjectCounts
}

var _ platform.ObjectStore = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{values: make(map[string][]byte)}
}

// SetFaults replaces the faults in force.
func (o *Objects) SetFaults(f ObjectFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// Counts returns how many operations were served.
func (o *Objects) Counts() ObjectCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// Put implements platform.Objects.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	if err := o.enter(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Writes++
	o.values[key] = slices.Clone(data)
	if o.faults.LoseAnswers > 0 {
		o.faults.LoseAnswers--
		return platform.ErrUncertain
	}
	return nil
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.enter(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Reads++
	data, ok := o.values[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(data), nil
}

func (o *Objects) enter(ctx context.Context) error {
	o.mu.Lock()
	f := o.faults
	o.mu.Unlock()
	if !sleep(ctx, f.Delay) || f.Down || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}
