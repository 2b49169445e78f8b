// Package standin plays the platform in tests and demonstrations: the table service, the object store, the VM list
// and the runners on worker VMs. It injects faults and records what happened, and protects the scheduler from nothing
// beyond the contracts in package platform and docs/LEASES.md.
package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumpoint/internal/platform"
)

// TableFaults says how the table misbehaves.
type TableFaults struct {
	// Down refuses every operation with ErrUnavailable.
	Down bool `json:"down"`
	// Delay is added to every operation.
	Delay time.Duration `json:"delay"`
	// LoseAnswers makes that many following transactions take effect and report ErrUncertain.
	LoseAnswers int `json:"lose_answers"`
}

// TableCounts counts the operations that the table served.
type TableCounts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Table is an in-memory platform.Table.
type Table struct {
	mu     sync.Mutex
	rows   map[string]platform.Row
	next   uint64
	faults TableFaults
	counts TableCounts
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]platform.Row)}
}

// SetFaults replaces the faults in force.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns how many reads and writes were served. A transaction counts one write for each row it writes.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.enter(ctx); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{Key: key}, nil
	}
	return cloneRow(row), nil
}

// List implements platform.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	var out []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, cloneRow(row))
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Apply implements platform.Table.
func (t *Table) Apply(ctx context.Context, ops []platform.Op) ([]uint64, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, op := range ops {
		if !op.AnyVersion && t.rows[op.Key].Version != op.IfVersion {
			t.counts.Reads++
			return nil, platform.ErrConflict
		}
	}
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		versions[i] = t.applyOp(op)
	}
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return nil, platform.ErrUncertain
	}
	return versions, nil
}

func (t *Table) applyOp(op platform.Op) uint64 {
	if op.CheckOnly {
		t.counts.Reads++
		return t.rows[op.Key].Version
	}
	t.counts.Writes++
	t.next++
	if op.Delete {
		delete(t.rows, op.Key)
		return 0
	}
	t.rows[op.Key] = platform.Row{Key: op.Key, Value: slices.Clone(op.Value), Version: t.next}
	return t.next
}

func (t *Table) enter(ctx context.Context) error {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return platform.ErrUnavailable
		case <-time.After(f.Delay):
		}
	}
	if f.Down || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	return nil
}

func cloneRow(r platform.Row) platform.Row {
	r.Value = slices.Clone(r.Value)
	return r
}
