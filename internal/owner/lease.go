package owner

import (
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// minClockRate is the least rate of a worker's clock against ours, from the platform's contract (2% slow).
const minClockRate = 0.98

// workerLease knows a worker's clock and bounds the time at which its lease ends. It is safe for concurrent use.
type workerLease struct {
	mu sync.Mutex
	// clockReading is the worker's clock as it was at readAt or before.
	clockReading time.Duration
	readAt       monotime.Instant
	clockKnown   bool
	// latestEnd is when everything on the worker has ended for certain if no further order reaches it.
	latestEnd monotime.Instant
}

// observeClock takes in a reading of the worker's clock from an answer that arrived at the given time.
func (l *workerLease) observeClock(reading time.Duration, arrived monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clockKnown && reading < l.clockReading {
		return // an older answer that came late
	}
	l.clockReading, l.readAt, l.clockKnown = reading, arrived, true
}

// extend returns the deadline on the worker's clock for a lease of the given length from now, and notes that the lease
// may last that long. ok is false while the clock is not known.
func (l *workerLease) extend(now monotime.Instant, length time.Duration) (deadline time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.clockKnown {
		return 0, false
	}
	deadline = (l.clockReading + now.Sub(l.readAt) + length).Truncate(time.Millisecond)
	l.latestEnd = max(l.latestEnd, l.latestAt(deadline))
	return deadline, true
}

// latestAt returns the latest time at which the worker's clock can reach deadline.
func (l *workerLease) latestAt(deadline time.Duration) monotime.Instant {
	return l.readAt.Add(onSlowestClock(deadline - l.clockReading))
}

// onSlowestClock returns the longest time in which a worker's clock advances by d.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}

// extendUntil notes that the lease may last until the given time.
func (l *workerLease) extendUntil(endsBy monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestEnd = max(l.latestEnd, endsBy)
}

// remaining returns how long the worker may still run what it has; 0 once everything on it has certainly ended.
func (l *workerLease) remaining(now monotime.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.latestEnd.Add(leaseMargin).Sub(now))
}

// expired reports whether everything on the worker has certainly ended.
func (l *workerLease) expired(now monotime.Instant) bool { return l.remaining(now) == 0 }

// leaseMargin covers the time that a worker takes to end what its lease held.
const leaseMargin = 300 * time.Millisecond
