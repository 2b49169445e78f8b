package rowstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// downAfter is how long a store must have answered nothing, with a failure since, to count as down. It is longer than a
// quiet feed waits between two answers.
const downAfter = 900 * time.Millisecond

// While the store is down, calls are cut short: one that was sent into an outage is never answered, and its caller would go
// on waiting for it after the store has returned.
const (
	// downCall bounds a call while the store is down; a sound store answers in milliseconds.
	downCall = 300 * time.Millisecond
	// downGrowth is the share of an outage's length by which the bound grows, so that a store that has become slow beyond
	// downCall is found to be up.
	downGrowth = 16
)

// Monitor is a store that knows whether it answers. It is safe for concurrent use.
type Monitor struct {
	store Store
	clock monotime.Clock

	mu       sync.Mutex
	answered monotime.Instant
	failed   monotime.Instant
}

var _ Store = (*Monitor)(nil)

// NewMonitor returns a monitor of store, which counts as up at first.
func NewMonitor(store Store, clock monotime.Clock) *Monitor {
	return &Monitor{store: store, clock: clock, answered: clock.Now()}
}

// Down reports whether the store has lately answered nothing, so that a call now would most likely fail.
func (m *Monitor) Down() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failed > m.answered && m.clock.Now().Sub(m.answered) > downAfter
}

// upWithin is how lately a store must have answered to count as up; a quiet feed answers more often.
const upWithin = 800 * time.Millisecond

// Up reports whether the store's last call was answered, and lately.
func (m *Monitor) Up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered >= m.failed && m.clock.Now().Sub(m.answered) < upWithin
}

// Age returns how long ago the store last answered.
func (m *Monitor) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Sub(m.answered)
}

// bound cuts a call short if the store is down.
func (m *Monitor) bound(ctx context.Context) (bounded context.Context, cancel context.CancelFunc, down bool) {
	if !m.Down() {
		return ctx, func() {}, false
	}
	ctx, cancel = context.WithTimeout(ctx, downCall+m.Age()/downGrowth)
	return ctx, cancel, true
}

func (m *Monitor) note(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrHistoryLost):
		m.answered = m.clock.Now()
	case errors.Is(err, context.Canceled):
		// The caller left; that tells nothing of the store.
	default:
		m.failed = m.clock.Now()
	}
}

// Apply implements Store.
func (m *Monitor) Apply(ctx context.Context, tx Tx) (uint64, []Row, error) {
	ctx, cancel, _ := m.bound(ctx)
	defer cancel()
	version, rows, err := m.store.Apply(ctx, tx)
	m.note(err)
	return version, rows, err
}

// Range implements Store.
func (m *Monitor) Range(ctx context.Context, table, part, from, to string) ([]Row, uint64, error) {
	ctx, cancel, _ := m.bound(ctx)
	defer cancel()
	rows, version, err := m.store.Range(ctx, table, part, from, to)
	m.note(err)
	return rows, version, err
}

// Feed implements Store. While the store is down it does not wait for changes: any answer tells that the store is back.
func (m *Monitor) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	ctx, cancel, down := m.bound(ctx)
	defer cancel()
	if down {
		wait = 0
	}
	changes, version, err := m.store.Feed(ctx, table, after, wait)
	m.note(err)
	return changes, version, err
}
