package entry

import (
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// Timing of outages and of the Retry-After that callers get during one.
const (
	// minRetryAfter is the smallest positive value of the Retry-After header, which has whole seconds.
	minRetryAfter = 1 * time.Second
	// maxRetryAfter bounds how long a caller still waits after a long outage has ended.
	maxRetryAfter = 10 * time.Second
	// quietPeriod is the time without a failure after which an outage counts as ended even if no write has succeeded.
	quietPeriod = 15 * time.Second
)

// outage tracks since when nothing can be stored and computes the Retry-After of the commands that fail meanwhile. It
// is safe for concurrent use.
//
// A store outage lasts seconds. Callers have a few tries each, and jobs with objectives of two to fifteen seconds: with
// a Retry-After of one second a caller would use up its tries within the outage. How long an outage will last is
// unknown; the longer it has lasted, the longer it is likely to continue. The Retry-After is therefore half of the
// outage's age: the first callers return soon, and the last ones wait for only a part of its length after its end.
type outage struct {
	mu sync.Mutex
	// since is when the current outage began, 0 if there is none.
	since       monotime.Instant
	lastFailure monotime.Instant
}

// recordSuccess ends the outage after a successful write to the store.
func (o *outage) recordSuccess() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since, o.lastFailure = 0, 0
}

// recordFailure records that nothing could be stored and returns the Retry-After of the command that failed. jitter,
// from 0 to 1, adds up to a third.
func (o *outage) recordFailure(now monotime.Instant, jitter float64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == 0 || now.Sub(o.lastFailure) > quietPeriod {
		o.since = now
	}
	o.lastFailure = now
	half := now.Sub(o.since) / 2
	// Jitter keeps callers that failed together from returning together.
	extra := time.Duration(jitter * float64(half) / 3)
	return min(max(minRetryAfter, half+extra), maxRetryAfter)
}
