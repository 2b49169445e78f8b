// Package flowcontrol decides when calls to many servers are sent, sent again and given up, so that a caller that has fallen
// behind doesn't keep itself behind by the calls that it repeats. It does no I/O.
//
// A call passes through these states:
//
//	waiting ──place free──▶ under way ──answer──▶ (done)
//	   │                       │
//	   │ waited too long       │ repeat delay over: the place is freed, the call goes on
//	   ▼                       ▼
//	(not sent)              unanswered ──answer, or given up──▶ (done)
//
// The bound on calls under way falls while answers take long and rises while calls wait for a place. Repeats take from a budget
// that first calls fill, and never wait for a place.
package flowcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// Class orders the calls that wait for a place: all of a lower class go first.
type Class int

// The classes of calls.
const (
	// Stop is the class of calls that end something.
	Stop Class = iota
	// Urgent is the class of calls that others wait for.
	Urgent
	// Normal is the class of all other calls.
	Normal
	classes
)

// Defaults of Options.
const (
	DefaultMinUnderWay = 32
	DefaultMaxUnderWay = 1024
	// DefaultRepeatRatio lets every call be repeated once on average, which suffices while half of the answers get lost.
	DefaultRepeatRatio = 1.0
	// DefaultMinRepeatDelay is several times what a healthy server takes.
	DefaultMinRepeatDelay = 110 * time.Millisecond
	// DefaultMinTimeout bounds a call with its repeats while answers come fast.
	DefaultMinTimeout = 700 * time.Millisecond
)

// Options bound the calls of a Gate. All fields are required.
type Options struct {
	// MinUnderWay and MaxUnderWay limit the bound on calls under way.
	MinUnderWay, MaxUnderWay int
	// RepeatRatio is the number of repeats for each first call in the long run.
	RepeatRatio float64
	// MinRepeatDelay is the least time without an answer after which a call is repeated.
	MinRepeatDelay time.Duration
	// MinTimeout is the least time after which a call with its repeats is given up.
	MinTimeout time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{DefaultMinUnderWay, DefaultMaxUnderWay, DefaultRepeatRatio, DefaultMinRepeatDelay, DefaultMinTimeout}
}

// Limits derived from the typical answer time.
const (
	// repeatDelayFactor and timeoutFactor times the typical answer time are the repeat delay and the timeout of a slow caller.
	repeatDelayFactor = 3
	timeoutFactor     = 6
	maxRepeatDelay    = 1 * time.Second
	maxTimeout        = 2 * time.Second
	// repeatBackoff is the growth of the delay with each repeat after the first.
	repeatBackoff = 1.5
	// maxRepeatBudget bounds the repeats that may follow a quiet time.
	maxRepeatBudget = 100
)

// Control of the bound on calls under way.
const (
	// slowAnswerTime is the typical answer time above which the bound falls.
	slowAnswerTime = 50 * time.Millisecond
	// adjustInterval is the least time between two changes of the bound.
	adjustInterval = 100 * time.Millisecond
	decreaseFactor = 0.7
	increaseFactor = 1.2
	// logFactor is the change of the bound that OnBoundChange is called for.
	logFactor = 2
)

// Gate admits calls. It is safe for concurrent use.
type Gate struct {
	options Options
	// OnBoundChange is called when the bound has fallen or risen by half since the last time. It must be set before the first
	// call and must not call the gate.
	OnBoundChange func(bound int, typical time.Duration, waiting int)

	mu       sync.Mutex
	typical  median
	budget   float64
	bound    int
	loggedAt int // the bound when OnBoundChange was last called
	// adjustedAt is when the bound was last adjusted, peak the most calls under way since.
	adjustedAt monotime.Instant
	peak       int
	underWay   int
	waiting    [classes][]*waiter
	stats      Stats
}

type waiter struct{ admitted chan struct{} }

// Stats are the current state of a gate.
type Stats struct {
	Bound, UnderWay, Waiting int
	// AnswerTime is the typical answer time.
	AnswerTime time.Duration
	// Repeats counts the calls that were sent again, Withheld those that were not for lack of budget or of a place.
	Repeats, Withheld uint64
}

// NewGate returns a gate without calls.
func NewGate(o Options) *Gate {
	return &Gate{options: o, typical: newMedian(), budget: maxRepeatBudget, bound: o.MaxUnderWay, loggedAt: o.MaxUnderWay}
}

// Stats returns the current state.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.stats
	stats.Bound, stats.UnderWay, stats.Waiting, stats.AnswerTime = g.bound, g.underWay, g.countWaiting(), g.typical.value
	return stats
}

// ErrNoPlace means that no place became free in time.
var ErrNoPlace = errors.New("too many calls under way")

// Enter takes a place for a first call, and waits for one until ctx ends. Each place is freed by Leave.
// Errors: ErrNoPlace; the call must not be sent.
func (g *Gate) Enter(ctx context.Context, class Class) error {
	g.mu.Lock()
	if g.underWay < g.bound && g.firstWaiting() < 0 {
		g.admit()
		g.mu.Unlock()
		return nil
	}
	w := &waiter{make(chan struct{})}
	g.waiting[class] = append(g.waiting[class], w)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted: // admitted just before ctx ended
		return nil
	default:
	}
	g.removeWaiter(class, w)
	return ErrNoPlace
}

// EnterRepeat takes a place for sending a call again and reports whether it did: there must be a free place that no call waits
// for, and budget.
func (g *Gate) EnterRepeat() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget < 1 || g.underWay >= g.bound {
		g.stats.Withheld++
		return false
	}
	g.budget--
	g.stats.Repeats++
	g.take()
	return true
}

// Leave frees a place.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.underWay--
	g.admitWaiting()
}

// Observe notes that an answer has come after the given time, or that none had come by then when the call was given up.
func (g *Gate) Observe(now monotime.Instant, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.typical.observe(took)
	if now.Sub(g.adjustedAt) >= adjustInterval {
		g.adjust()
		g.adjustedAt = now
	}
}

// RepeatDelay returns the time after which a call is sent again that has been repeated the given number of times. latest is when
// the server's answer is expected.
func (g *Gate) RepeatDelay(repeats int, latest time.Duration) time.Duration {
	g.mu.Lock()
	delay := max(g.options.MinRepeatDelay, repeatDelayFactor*g.typical.value, latest)
	g.mu.Unlock()
	for range repeats - 1 {
		delay = time.Duration(repeatBackoff * float64(delay))
	}
	return min(delay, maxRepeatDelay)
}

// Timeout returns the time after which a call with its repeats is given up.
func (g *Gate) Timeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.options.MinTimeout, min(timeoutFactor*g.typical.value, maxTimeout))
}

// adjust lowers the bound below the calls that were under way if answers take long, and raises it if it holds calls up.
func (g *Gate) adjust() {
	switch {
	case g.typical.value > slowAnswerTime:
		g.bound = max(g.options.MinUnderWay, int(decreaseFactor*float64(min(g.bound, g.peak))))
	case g.peak >= g.bound:
		g.bound = min(g.options.MaxUnderWay, int(increaseFactor*float64(g.bound))+1)
		g.admitWaiting()
	}
	g.peak = g.underWay
	if changed := g.bound*logFactor <= g.loggedAt || g.bound >= g.loggedAt*logFactor; changed {
		g.loggedAt = g.bound
		if g.OnBoundChange != nil {
			g.OnBoundChange(g.bound, g.typical.value, g.countWaiting())
		}
	}
}

// admit takes a place for a first call.
func (g *Gate) admit() {
	g.budget = min(maxRepeatBudget, g.budget+g.options.RepeatRatio)
	g.take()
}

func (g *Gate) take() {
	g.underWay++
	g.peak = max(g.peak, g.underWay)
}

// admitWaiting admits waiting calls to free places.
func (g *Gate) admitWaiting() {
	for g.underWay < g.bound {
		class := g.firstWaiting()
		if class < 0 {
			return
		}
		w := g.waiting[class][0]
		g.waiting[class] = g.waiting[class][1:]
		g.admit()
		close(w.admitted)
	}
}

// firstWaiting returns the class of the call that is admitted next; -1 if none waits.
func (g *Gate) firstWaiting() Class {
	for class := range classes {
		if len(g.waiting[class]) > 0 {
			return class
		}
	}
	return -1
}

func (g *Gate) countWaiting() int {
	n := 0
	for _, waiting := range g.waiting {
		n += len(waiting)
	}
	return n
}

func (g *Gate) removeWaiter(class Class, w *waiter) {
	for i, other := range g.waiting[class] {
		if other == w {
			g.waiting[class] = append(g.waiting[class][:i], g.waiting[class][i+1:]...)
			return
		}
	}
}
