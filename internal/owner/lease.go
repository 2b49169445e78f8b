package owner

import (
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// leaseBasis is what the latest end of a worker's lease rests on. It is for the log.
type leaseBasis string

const (
	// leaseUnknown means that the worker has no lease that the owner knows of.
	leaseUnknown leaseBasis = "none"
	// leaseExtended means the last extension by this owner.
	leaseExtended leaseBasis = "extension"
	// leaseOfEarlierOwner means the last extension that an earlier owner may have ordered.
	leaseOfEarlierOwner leaseBasis = "earlier_owner"
	// leaseAfterRestart means a call for an earlier process of the worker that its present one may have carried out.
	leaseAfterRestart leaseBasis = "restart"
)

// workerLease tracks a worker's clock and the latest time at which its lease can end. It is safe for concurrent use.
type workerLease struct {
	mu sync.Mutex
	// clockReading is a reading of the worker's clock, taken at readAt or before.
	clockReading time.Duration
	readAt       monotime.Instant
	clockKnown   bool
	// extendedAt is when the deadline of the last call was set.
	extendedAt monotime.Instant
	// latestEnd is the latest time at which the lease can end, unless it is extended again.
	latestEnd monotime.Instant
	basis     leaseBasis
	// endMargin is how long after the end of the lease the worker's runs may go on. It never changes.
	endMargin time.Duration
}

// observeClock sets the reading of the worker's clock from an answer that was received at the given time.
func (l *workerLease) observeClock(reading time.Duration, receivedAt monotime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clockKnown && reading < l.clockReading {
		return // an older answer that came late
	}
	l.clockReading, l.readAt, l.clockKnown = reading, receivedAt, true
}

// extend returns the deadline on the worker's clock for a lease of the given length from now, and counts the lease as extended
// to it. ok is false while the worker's clock is not known.
func (l *workerLease) extend(now monotime.Instant, length time.Duration) (deadline time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.clockKnown {
		return 0, false
	}
	deadline = (l.clockReading + now.Sub(l.readAt) + length).Truncate(time.Millisecond)
	l.setLatestEnd(l.latestAt(deadline), leaseExtended)
	l.extendedAt = now
	return deadline, true
}

// lastExtension returns when the deadline of the last call was set.
func (l *workerLease) lastExtension() monotime.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.extendedAt
}

// endsUntil sets the latest end of the lease, also to an earlier time than before.
func (l *workerLease) endsUntil(end monotime.Instant, basis leaseBasis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestEnd, l.basis = end, basis
}

// latestAt returns the latest time at which the worker's clock can reach deadline.
func (l *workerLease) latestAt(deadline time.Duration) monotime.Instant {
	return l.readAt.Add(monotime.OnSlowestClock(deadline - l.clockReading))
}

// extendUntil counts the lease as lasting until the given time at least.
func (l *workerLease) extendUntil(end monotime.Instant, basis leaseBasis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLatestEnd(end, basis)
}

// setLatestEnd sets the latest end of the lease if it is later than the one before. The caller holds the mutex.
func (l *workerLease) setLatestEnd(end monotime.Instant, basis leaseBasis) {
	if end > l.latestEnd {
		l.latestEnd, l.basis = end, basis
	}
}

// latestEndBasis returns what the latest end of the lease rests on.
func (l *workerLease) latestEndBasis() leaseBasis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.basis == "" {
		return leaseUnknown
	}
	return l.basis
}

// remaining returns how long runs of the worker can still last; 0 once all of them have certainly ended.
func (l *workerLease) remaining(now monotime.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.latestEnd.Add(l.endMargin).Sub(now))
}

// expired reports whether all runs of the worker have certainly ended.
func (l *workerLease) expired(now monotime.Instant) bool { return l.remaining(now) == 0 }

// leaseMargin is how late a worker may notice the end of its lease. Ending its runs takes it up to Daemon.RunEndTime more.
const leaseMargin = 300 * time.Millisecond
