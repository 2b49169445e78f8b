// Package standin simulates the platform for tests and demonstrations: the table service, the object store, the VM list
// and the runners on worker VMs. It injects faults and records what happened. It guarantees the scheduler nothing beyond
// the contracts in package platformapi and docs/LEASES.md.
package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumpoint/internal/platformapi"
)

// TableFaults lists the table's faults. The zero value means no fault.
type TableFaults struct {
	// Down makes every operation fail with ErrUnavailable.
	Down bool `json:"down,omitempty"`
	// Delay is the wait before every operation takes effect.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// AnswerDelay is the wait between a transaction's effect and its answer.
	AnswerDelay time.Duration `json:"answer_delay_ns,omitempty"`
	// KeyPrefix restricts LoseAnswers and ApplyLater to transactions with an operation on a key that starts with it.
	KeyPrefix string `json:"prefix,omitempty"`
	// LoseAnswers is the number of next transactions that take effect but return ErrUncertain.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// ApplyLater is the number of next transactions that return ErrUncertain at once and are tried after ApplyLaterDelay.
	ApplyLater int `json:"apply_later,omitempty"`
	// ApplyLaterDelay is the time after which a transaction of ApplyLater is tried.
	ApplyLaterDelay time.Duration `json:"late_by_ns,omitempty"`
}

// TableCounts counts the operations that the table served.
type TableCounts struct {
	// Reads counts gets, lists, checked rows and transactions whose conditions did not hold.
	Reads uint64 `json:"reads"`
	// Writes counts rows written or deleted.
	Writes uint64 `json:"writes"`
	// Transactions counts transactions that took effect. It is set in the total only, not by key prefix.
	Transactions uint64 `json:"transactions,omitempty"`
}

// Table is an in-memory platformapi.Table.
type Table struct {
	mu             sync.Mutex
	rows           map[string]platformapi.Row
	lastVersion    uint64
	faults         TableFaults
	total          TableCounts
	countsByPrefix map[string]TableCounts // by the part of the key before its first slash
	writeLog       []TableWrite
}

// maxWriteLog limits the entries of the write log. A full log drops its earlier half.
const maxWriteLog = 100_000

// TableWrite is an entry of the table's write log: one row written or deleted.
type TableWrite struct {
	At  time.Time `json:"at"`
	Key string    `json:"key"`
	// Version is the row's new version; 0 if the row was deleted.
	Version uint64 `json:"version"`
}

var _ platformapi.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]platformapi.Row), countsByPrefix: make(map[string]TableCounts)}
}

// SetFaults replaces the table's faults.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the number of operations served so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

// CountsByPrefix returns the number of operations served so far, by the part of the key before its first slash.
func (t *Table) CountsByPrefix() map[string]TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.countsByPrefix)
}

// WriteLog returns the latest writes of rows, in the order in which they took effect.
func (t *Table) WriteLog() []TableWrite {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.writeLog)
}

// Get implements platformapi.Table.
func (t *Table) Get(ctx context.Context, key string) (platformapi.Row, error) {
	if err := t.applyOperationFaults(ctx); err != nil {
		return platformapi.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countRead(key)
	row, ok := t.rows[key]
	if !ok {
		return platformapi.Row{Key: key}, nil
	}
	return cloneRow(row), nil
}

// List implements platformapi.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]platformapi.Row, error) {
	if err := t.applyOperationFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countRead(prefix)
	var rows []platformapi.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, cloneRow(row))
		}
	}
	slices.SortFunc(rows, func(a, b platformapi.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Apply implements platformapi.Table.
func (t *Table) Apply(ctx context.Context, ops []platformapi.Op) ([]uint64, error) {
	if err := t.applyOperationFaults(ctx); err != nil {
		return nil, err
	}
	if delay, later := t.consumeApplyLater(ops); later {
		time.AfterFunc(delay, func() { _, _ = t.commit(ops) })
		return nil, platformapi.ErrUncertain
	}
	versions, err := t.commit(ops)
	if err != nil {
		return nil, err
	}
	if t.consumeLoseAnswers(ctx, ops) {
		return nil, platformapi.ErrUncertain
	}
	return versions, nil
}

// commit executes all operations or none, and returns the rows' versions in the order of ops.
func (t *Table) commit(ops []platformapi.Op) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, op := range ops {
		if !op.AnyVersion && t.rows[op.Key].Version != op.IfVersion {
			t.countRead(op.Key)
			return nil, platformapi.ErrConflict
		}
	}
	t.total.Transactions++
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		versions[i] = t.applyOp(op)
	}
	return versions, nil
}

func (t *Table) applyOp(op platformapi.Op) uint64 {
	if op.CheckOnly {
		t.countRead(op.Key)
		return t.rows[op.Key].Version
	}
	t.countWrite(op.Key)
	version := uint64(0)
	if op.Delete {
		delete(t.rows, op.Key)
	} else {
		t.lastVersion++
		version = t.lastVersion
		t.rows[op.Key] = platformapi.Row{Key: op.Key, Value: slices.Clone(op.Value), Version: version}
	}
	t.recordWrite(TableWrite{At: time.Now(), Key: op.Key, Version: version})
	return version
}

func (t *Table) recordWrite(w TableWrite) {
	if len(t.writeLog) >= maxWriteLog {
		t.writeLog = slices.Delete(t.writeLog, 0, maxWriteLog/2)
	}
	t.writeLog = append(t.writeLog, w)
}

// consumeApplyLater reports whether the fault ApplyLater concerns the transaction, and after which delay to try it.
// If so, one transaction fewer remains.
func (t *Table) consumeApplyLater(ops []platformapi.Op) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.ApplyLater <= 0 || !t.faults.appliesTo(ops) {
		return 0, false
	}
	t.faults.ApplyLater--
	return t.faults.ApplyLaterDelay, true
}

// consumeLoseAnswers waits for AnswerDelay and reports whether the answer to the transaction is lost, by the fault
// LoseAnswers or since ctx ended. In the first case one transaction fewer remains.
func (t *Table) consumeLoseAnswers(ctx context.Context, ops []platformapi.Op) bool {
	t.mu.Lock()
	delay := t.faults.AnswerDelay
	lose := t.faults.LoseAnswers > 0 && t.faults.appliesTo(ops)
	if lose {
		t.faults.LoseAnswers--
	}
	t.mu.Unlock()
	return !sleep(ctx, delay) || lose
}

// appliesTo reports whether the key of any of the operations starts with KeyPrefix.
func (f TableFaults) appliesTo(ops []platformapi.Op) bool {
	return slices.ContainsFunc(ops, func(op platformapi.Op) bool { return strings.HasPrefix(op.Key, f.KeyPrefix) })
}

func (t *Table) countRead(key string) {
	t.total.Reads++
	prefix, _, _ := strings.Cut(key, "/")
	c := t.countsByPrefix[prefix]
	c.Reads++
	t.countsByPrefix[prefix] = c
}

func (t *Table) countWrite(key string) {
	t.total.Writes++
	prefix, _, _ := strings.Cut(key, "/")
	c := t.countsByPrefix[prefix]
	c.Writes++
	t.countsByPrefix[prefix] = c
}

// applyOperationFaults waits for Delay. It fails with ErrUnavailable if the table is down or ctx has ended.
func (t *Table) applyOperationFaults(ctx context.Context) error {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	if !sleep(ctx, f.Delay) {
		return platformapi.ErrUnavailable
	}
	if f.Down || ctx.Err() != nil {
		return platformapi.ErrUnavailable
	}
	return nil
}

func cloneRow(r platformapi.Row) platformapi.Row {
	r.Value = slices.Clone(r.Value)
	return r
}

// sleep waits for d. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
