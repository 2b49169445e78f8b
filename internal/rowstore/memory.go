package rowstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxHistoryChanges is the maximum number of changes that a MemoryStore keeps for its feeds.
const maxHistoryChanges = 100_000

// MemoryStore is a Store in the memory of one process, for stand-ins and tests. It is safe for concurrent use.
type MemoryStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[Key]Row
	// history holds the changes after version historyStart.
	history      []Change
	historyStart uint64
	// changed is closed and replaced by each transaction.
	changed chan struct{}
}

var _ Store = (*MemoryStore)(nil)

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{rows: make(map[Key]Row), changed: make(chan struct{})}
}

// Apply implements Store.
func (m *MemoryStore) Apply(_ context.Context, tx Tx) (uint64, []Row, error) {
	if !tx.withinLimits() {
		return 0, nil, ErrRejected
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var current []Row
	conflict := false
	for _, condition := range tx.Expect {
		row := m.rows[condition.Key]
		if row.Version > 0 {
			current = append(current, row)
		}
		conflict = conflict || row.Version != condition.Version
	}
	if conflict {
		return 0, current, ErrConflict
	}
	m.version++
	for _, row := range tx.Put {
		row.Version = m.version
		row.Value = slices.Clone(row.Value)
		m.rows[row.Key] = row
		m.history = append(m.history, Change{Row: row})
	}
	for _, key := range tx.Delete {
		delete(m.rows, key)
		m.history = append(m.history, Change{Row: Row{Key: key, Version: m.version}, Removed: true})
	}
	m.trimHistory()
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil, nil
}

// trimHistory drops the older half of the history if it is longer than maxHistoryChanges. m.mu is held.
func (m *MemoryStore) trimHistory() {
	if len(m.history) <= maxHistoryChanges {
		return
	}
	half := len(m.history) / 2
	m.historyStart = m.history[half-1].Version
	m.history = slices.DeleteFunc(m.history, func(c Change) bool { return c.Version <= m.historyStart })
}

// maxRangeRows is the maximum number of rows that one call of Range returns.
const maxRangeRows = 500

// Range implements Store.
func (m *MemoryStore) Range(_ context.Context, table, part, from, to string) ([]Row, string, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for key, row := range m.rows {
		if key.Table == table && key.Part == part && key.Name >= from && (to == "" || key.Name < to) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	if len(rows) > maxRangeRows {
		return rows[:maxRangeRows], rows[maxRangeRows].Name, m.version, nil
	}
	return rows, "", m.version, nil
}

// Feed implements Store.
func (m *MemoryStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, version, changed, err := m.changesAfter(table, after)
		if err != nil || len(changes) > 0 {
			return changes, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ErrUnavailable
		}
	}
}

// changesAfter returns the changes of a table after a version, the version to continue from, and a channel that the next
// transaction closes.
func (m *MemoryStore) changesAfter(table string, after uint64) ([]Change, uint64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.historyStart {
		return nil, 0, nil, ErrHistoryLost
	}
	var changes []Change
	first, _ := slices.BinarySearchFunc(m.history, after+1, func(c Change, v uint64) int { return cmp.Compare(c.Version, v) })
	for _, c := range m.history[first:] {
		if len(changes) >= FeedBatchSize && c.Version > changes[len(changes)-1].Version {
			return changes, changes[len(changes)-1].Version, m.changed, nil
		}
		if c.Table == table {
			changes = append(changes, c)
		}
	}
	return changes, m.version, m.changed, nil
}
