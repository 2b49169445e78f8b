package flowcontrol

import (
	"math"
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// Bounds of the share of calls without an answer.
const (
	// lossMemory is the time constant with which calls are forgotten.
	lossMemory = 2 * time.Second
	// minLosses is how many calls, with their decay, must have got no answer for losses to be likely.
	minLosses = 3
	// minLossShare is the least share of calls without an answer at which losses are likely.
	minLossShare = 0.01
)

// Losses estimates whether answers get lost on the way from many servers. One server that gives no answer is slow or gone, which
// says nothing about the others. It is safe for concurrent use; the zero value has seen no calls.
type Losses struct {
	mu          sync.Mutex
	calls, lost float64
	at          monotime.Instant
}

// Observe notes the end of a call to a server that answered the call before. lost means that no answer came in time.
func (l *Losses) Observe(now monotime.Instant, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.calls++
	if lost {
		l.lost++
	}
}

// Likely reports whether an answer that is due may well be lost.
func (l *Losses) Likely(now monotime.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	return l.lost >= minLosses && l.lost >= minLossShare*l.calls
}

func (l *Losses) decay(now monotime.Instant) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(lossMemory))
		l.calls, l.lost, l.at = l.calls*factor, l.lost*factor, now
	}
}
