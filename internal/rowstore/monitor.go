package rowstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/monotime"
)

// downAfter is how long a store must not have answered, with a failed call since, to count as down. It is longer than the time
// between two answers of a feed without changes.
const downAfter = 900 * time.Millisecond

// While the store is down, calls have a shorter timeout: a call sent during an outage is never answered, and whoever made it
// would still wait for the answer after the store has returned.
const (
	// downCallTimeout is the least timeout of a call while the store is down; a healthy store answers in milliseconds.
	downCallTimeout = 300 * time.Millisecond
	// downTimeoutDivisor makes the timeout grow by this fraction of the outage's length (a sixteenth), so that a store that has
	// become slower than downCallTimeout is still found to be up.
	downTimeoutDivisor = 16
)

// MonitoredStore wraps a Store and records whether it answers and how fast. It is safe for concurrent use.
type MonitoredStore struct {
	store Store
	clock monotime.Clock

	// durations and failures hold the metrics by name of the call.
	durations map[string]*metrics.Histogram
	failures  map[string]*metrics.Counter

	mu          sync.Mutex
	lastAnswer  monotime.Instant
	lastFailure monotime.Instant
}

var _ Store = (*MonitoredStore)(nil)

// Names of calls in metrics. Feed calls wait for changes, so that only their failures are counted, not their durations.
const (
	callApply = "apply"
	callRange = "range"
	callFeed  = "feed"
)

// NewMonitoredStore returns a wrapper of store, which counts as up at first. Its metrics are registered in set.
func NewMonitoredStore(store Store, clock monotime.Clock, set *metrics.Set) *MonitoredStore {
	m := &MonitoredStore{store: store, clock: clock, lastAnswer: clock.Now()}
	m.durations, m.failures = make(map[string]*metrics.Histogram), make(map[string]*metrics.Counter)
	for _, call := range []string{callApply, callRange, callFeed} {
		m.failures[call] = set.NewCounter(`laburnumpoint_store_failures_total{call="` + call + `"}`)
	}
	for _, call := range []string{callApply, callRange} {
		m.durations[call] = set.NewHistogram(`laburnumpoint_store_seconds{call="` + call + `"}`)
	}
	return m
}

// Down reports whether the store has not answered for longer than downAfter and a call has failed since, so that a call now
// would most likely fail. Shortly after a failed call, the store is neither up nor down.
func (m *MonitoredStore) Down() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastFailure > m.lastAnswer && m.clock.Now().Sub(m.lastAnswer) > downAfter
}

// upWithin is the time within which a store must have answered to count as up; a feed without changes answers more often.
const upWithin = 800 * time.Millisecond

// Up reports whether the store answered the last call that ended, and did so within upWithin.
func (m *MonitoredStore) Up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAnswer >= m.lastFailure && m.clock.Now().Sub(m.lastAnswer) < upWithin
}

// SinceLastAnswer returns how long ago the store last answered.
func (m *MonitoredStore) SinceLastAnswer() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Sub(m.lastAnswer)
}

// SinceLastFailure returns how long ago a call last failed; ever is false if none has.
func (m *MonitoredStore) SinceLastFailure() (age time.Duration, ever bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Sub(m.lastFailure), m.lastFailure > 0
}

// withDownTimeout returns a context with a short timeout if the store is down, and ctx otherwise.
func (m *MonitoredStore) withDownTimeout(ctx context.Context) (bounded context.Context, cancel context.CancelFunc, down bool) {
	if !m.Down() {
		return ctx, func() {}, false
	}
	ctx, cancel = context.WithTimeout(ctx, downCallTimeout+m.SinceLastAnswer()/downTimeoutDivisor)
	return ctx, cancel, true
}

// recordResult records the result of a call that was sent at the given time.
func (m *MonitoredStore) recordResult(call string, sent monotime.Instant, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrRejected), errors.Is(err, ErrHistoryLost):
		m.lastAnswer = now
		if histogram := m.durations[call]; histogram != nil {
			histogram.Update(now.Sub(sent).Seconds())
		}
	case errors.Is(err, context.Canceled), errors.Is(err, ErrNoConnection):
		// The call was cancelled or never sent, which says nothing about the store.
	default:
		m.lastFailure = now
		m.failures[call].Inc()
	}
}

// Apply implements Store.
func (m *MonitoredStore) Apply(ctx context.Context, tx Tx) (uint64, []Row, error) {
	ctx, cancel, _ := m.withDownTimeout(ctx)
	defer cancel()
	sent := m.clock.Now()
	version, rows, err := m.store.Apply(ctx, tx)
	m.recordResult(callApply, sent, err)
	return version, rows, err
}

// Range implements Store.
func (m *MonitoredStore) Range(ctx context.Context, table, part, from, to string) ([]Row, string, uint64, error) {
	ctx, cancel, _ := m.withDownTimeout(ctx)
	defer cancel()
	sent := m.clock.Now()
	rows, next, version, err := m.store.Range(ctx, table, part, from, to)
	m.recordResult(callRange, sent, err)
	return rows, next, version, err
}

// Feed implements Store. While the store is down, it does not wait for changes, since any answer shows that the store is up
// again.
func (m *MonitoredStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	ctx, cancel, down := m.withDownTimeout(ctx)
	defer cancel()
	if down {
		wait = 0
	}
	sent := m.clock.Now()
	changes, version, err := m.store.Feed(ctx, table, after, wait)
	m.recordResult(callFeed, sent, err)
	return changes, version, err
}
