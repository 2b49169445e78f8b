package rowstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/monotime"
)

// downAfter is how long a store must have answered nothing, with a failure since, to count as down. It is longer than a
// quiet feed waits between two answers.
const downAfter = 900 * time.Millisecond

// While the store is down, calls are cut short: one that was sent into an outage is never answered, and its caller would go
// on waiting for it after the store has returned.
const (
	// downCallTimeout bounds a call while the store is down; a sound store answers in milliseconds.
	downCallTimeout = 300 * time.Millisecond
	// downTimeoutDivisor is the share of an outage's length by which the bound grows, so that a store that has become slow beyond
	// downCall is found to be up.
	downTimeoutDivisor = 16
)

// MonitoredStore is a store that knows whether it answers. It is safe for concurrent use.
type MonitoredStore struct {
	store Store
	clock monotime.Clock

	// durations and failures are by call.
	durations map[string]*metrics.Histogram
	failures  map[string]*metrics.Counter

	mu          sync.Mutex
	lastAnswer  monotime.Instant
	lastFailure monotime.Instant
}

var _ Store = (*MonitoredStore)(nil)

// Names of calls in metrics. Feeds wait for changes; only their failures are of interest.
const (
	callApply = "apply"
	callRange = "range"
	callFeed  = "feed"
)

// NewMonitoredStore returns a monitor of store, which counts as up at first. Its metrics are registered in set.
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

// Down reports whether the store has lately answered nothing, so that a call now would most likely fail.
func (m *MonitoredStore) Down() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastFailure > m.lastAnswer && m.clock.Now().Sub(m.lastAnswer) > downAfter
}

// upWithin is how lately a store must have answered to count as up; a quiet feed answers more often.
const upWithin = 800 * time.Millisecond

// Up reports whether the store's last call was answered, and lately.
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

// withDownTimeout cuts a call short if the store is down.
func (m *MonitoredStore) withDownTimeout(ctx context.Context) (bounded context.Context, cancel context.CancelFunc, down bool) {
	if !m.Down() {
		return ctx, func() {}, false
	}
	ctx, cancel = context.WithTimeout(ctx, downCallTimeout+m.SinceLastAnswer()/downTimeoutDivisor)
	return ctx, cancel, true
}

// recordResult takes in the outcome of a call that was sent at the given time.
func (m *MonitoredStore) recordResult(call string, sent monotime.Instant, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrHistoryLost):
		m.lastAnswer = now
		if histogram := m.durations[call]; histogram != nil {
			histogram.Update(now.Sub(sent).Seconds())
		}
	case errors.Is(err, context.Canceled):
		// The caller left; that tells nothing of the store.
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

// Feed implements Store. While the store is down it does not wait for changes: any answer tells that the store is back.
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
