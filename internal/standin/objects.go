package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumpoint/internal/platformapi"
)

// ObjectFaults lists the object store's faults. The zero value means no fault.
type ObjectFaults struct {
	// Down makes every operation fail with ErrUnavailable.
	Down bool `json:"down,omitempty"`
	// Delay is the wait before every operation takes effect.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// LoseAnswers is the number of next writes that take effect but return ErrUncertain.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

// ObjectCounts counts the operations that the object store served.
type ObjectCounts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// ObjectStore is an in-memory platformapi.ObjectStore.
type ObjectStore struct {
	mu     sync.Mutex
	values map[string][]byte
	faults ObjectFaults
	counts ObjectCounts
}

var _ platformapi.ObjectStore = (*ObjectStore)(nil)

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{values: make(map[string][]byte)}
}

// SetFaults replaces the object store's faults.
func (o *ObjectStore) SetFaults(f ObjectFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// Counts returns the number of operations served so far.
func (o *ObjectStore) Counts() ObjectCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// Put implements platformapi.ObjectStore.
func (o *ObjectStore) Put(ctx context.Context, key string, data []byte) error {
	if err := o.applyOperationFaults(ctx); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Writes++
	o.values[key] = slices.Clone(data)
	if o.faults.LoseAnswers > 0 {
		o.faults.LoseAnswers--
		return platformapi.ErrUncertain
	}
	return nil
}

// Get implements platformapi.ObjectStore.
func (o *ObjectStore) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.applyOperationFaults(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Reads++
	data, ok := o.values[key]
	if !ok {
		return nil, platformapi.ErrNotFound
	}
	return slices.Clone(data), nil
}

// applyOperationFaults waits for Delay. It fails with ErrUnavailable if the store is down or ctx has ended.
func (o *ObjectStore) applyOperationFaults(ctx context.Context) error {
	o.mu.Lock()
	f := o.faults
	o.mu.Unlock()
	if !sleep(ctx, f.Delay) || f.Down || ctx.Err() != nil {
		return platformapi.ErrUnavailable
	}
	return nil
}
