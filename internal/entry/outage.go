package entry

import (
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// Bounds of the time after which a caller is told to come back.
const (
	// minRetryAfter is the least time that the header tells, which has whole seconds.
	minRetryAfter = 1 * time.Second
	// maxRetryAfter bounds it, so that nobody waits for long after the end of a long outage.
	maxRetryAfter = 10 * time.Second
	// quietPeriod without a failure ends an outage of which no success has told.
	quietPeriod = 15 * time.Second
)

// outage knows since when nothing can be stored. It is safe for concurrent use.
//
// Pattern: the store is away for seconds, callers have a few tries each and jobs with objectives from two to fifteen
// seconds. Told to come back each second, a caller uses up its tries within the outage. How long an outage lasts is not
// known; the longer one has lasted, the longer it is likely to last yet. Callers are told to come back after half as long as
// it has lasted: the first of them soon, and those of a long outage before too much of it has passed after its end.
type outage struct {
	mu          sync.Mutex
	since       monotime.Instant
	lastFailure monotime.Instant
}

// recordSuccess notes that something was stored.
func (o *outage) recordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since, o.lastFailure = 0, 0
}

// recordFailure notes a failure, and returns when its caller may come back. share, from 0 to 1, spreads callers.
func (o *outage) recordFailure(now monotime.Instant, jitter float64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == 0 || now.Sub(o.lastFailure) > quietPeriod {
		o.since = now
	}
	o.lastFailure = now
	half := now.Sub(o.since) / 2
	// Callers that failed together don't return together.
	extra := time.Duration(jitter * float64(half) / 3)
	return min(max(minRetryAfter, half+extra), maxRetryAfter)
}
