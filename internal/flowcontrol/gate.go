// Package flowcontrol decides when calls to many servers are sent, sent again and given up, so that a caller that has fallen
// behind doesn't keep itself behind by the calls that it repeats. It does no I/O.
//
// A call passes through these states:
//
//	waiting ──places free──▶ under way ──answer──▶ (done)
//	   │                        │
//	   │ waited too long        │ repeat delay over: the gate's place is freed, the call goes on
//	   ▼                        ▼
//	(not sent)               unanswered ──answer, or given up──▶ (done)
//
// A call needs a place of the gate and one of its server. The bound on the gate's places falls while answers take long and rises
// while calls wait for it. A server's places are as many as the connections that it may get, so a call keeps its place until it ends.
// Calls whose server has no free place don't hold up those to other servers. Repeats take from a budget that first calls fill, and never
// wait for a place.
package flowcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// Class orders the calls that wait for a place: those of a lower class go first, but for a share of the places that Lasting calls get.
type Class int

// The classes of calls.
const (
	// Stop is the class of calls that end something.
	Stop Class = iota
	// Urgent is the class of calls that others wait for.
	Urgent
	// Lasting is the class of calls that begin something that is to last: few, each of which ends an interruption.
	Lasting
	// Normal is the class of all other calls.
	Normal
	classes
)

// Defaults of Options.
const (
	DefaultMinUnderWay = 32
	DefaultMaxUnderWay = 1024
	// DefaultMaxPerServer leaves some of the connections to a server for calls that no gate admits.
	DefaultMaxPerServer = 20
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
	// MaxPerServer limits the calls under way to one server.
	MaxPerServer int
	// RepeatRatio is the number of repeats for each first call in the long run.
	RepeatRatio float64
	// MinRepeatDelay is the least time without an answer after which a call is repeated.
	MinRepeatDelay time.Duration
	// MinTimeout is the least time after which a call with its repeats is given up.
	MinTimeout time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{DefaultMinUnderWay, DefaultMaxUnderWay, DefaultMaxPerServer, DefaultRepeatRatio, DefaultMinRepeatDelay, DefaultMinTimeout}
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
	// waiting holds the calls that wait for a place of the gate. Their servers had a free one when they came here.
	waiting waitList
	// waitingForServers counts the calls in the lists of servers.
	waitingForServers int
	lastSequence      uint64
	stats             Stats
}

// Server is one of the servers that a gate's calls go to. Its gate guards its fields.
type Server struct {
	underWay int
	// inGate counts the calls in the gate's list, waiting holds those that wait for a place of this server.
	inGate  int
	waiting waitList
}

// NewServer returns a server without calls.
func NewServer() *Server { return &Server{} }

// Stats are the current state of a gate.
type Stats struct {
	Bound, UnderWay, Waiting int
	// WaitingForServers is the number of calls that wait for a place of their server. Waiting doesn't include them.
	WaitingForServers int
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
	stats.Bound, stats.UnderWay, stats.Waiting, stats.AnswerTime = g.bound, g.underWay, g.waiting.count(), g.typical.value
	stats.WaitingForServers = g.waitingForServers
	return stats
}

// ErrNoPlace means that no place became free in time.
var ErrNoPlace = errors.New("too many calls under way")

// Call is a first call that has places, or waits for them.
type Call struct {
	gate     *Gate
	class    Class
	server   *Server
	sequence uint64
	// waitedForServer means that the server had no free place at some time.
	waitedForServer bool
	// admitted is closed once the call has its places; nil if it had them at once.
	admitted chan struct{}
}

// Join takes the places for a first call to the server if they are free. Otherwise the call waits in line from now on: behind those of
// lower classes and those of its own that came earlier. The places are freed by Leave and LeaveServer.
func (g *Gate) Join(class Class, server *Server) *Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSequence++
	call := &Call{gate: g, class: class, server: server, sequence: g.lastSequence}
	// While the gate has a free place, no call waits for it alone.
	if g.underWay < g.bound && g.hasPlace(server) && server.waiting.first() < 0 {
		g.admit(server)
		return call
	}
	call.admitted = make(chan struct{})
	if first := server.waiting.first(); !g.hasPlace(server) || (first >= 0 && first <= class) {
		call.waitedForServer = true
		server.waiting.add(call)
		g.waitingForServers++
	} else {
		server.inGate++
		g.waiting.add(call)
		g.admitWaiting()
	}
	return call
}

// Waits reports whether the call has to wait for its places.
func (c *Call) Waits() bool {
	if c.admitted == nil {
		return false
	}
	select {
	case <-c.admitted:
		return false
	default:
		return true
	}
}

// Waited reports whether the call did not have its places at once.
func (c *Call) Waited() bool { return c.admitted != nil }

// WaitedForServer reports whether the call had to wait for a place of its server. It is called after Wait.
func (c *Call) WaitedForServer() bool { return c.waitedForServer }

// Wait waits until the call has its places or ctx ends.
// Errors: ErrNoPlace; the call must not be sent.
func (c *Call) Wait(ctx context.Context) error {
	if c.admitted == nil {
		return nil
	}
	select {
	case <-c.admitted:
		return nil
	case <-ctx.Done():
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.Waits() { // admitted just before ctx ended
		return nil
	}
	c.gate.remove(c)
	return ErrNoPlace
}

// EnterRepeat takes the places for sending a call to the server again and reports whether it did: there must be places that no call waits
// for, and budget.
func (g *Gate) EnterRepeat(server *Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget < 1 || g.underWay >= g.bound || !g.hasPlace(server) || server.waiting.first() >= 0 {
		g.stats.Withheld++
		return false
	}
	g.budget--
	g.stats.Repeats++
	g.take(server)
	return true
}

// Leave frees a place of the gate.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.underWay--
	g.admitWaiting()
}

// LeaveServer frees a place of the server.
func (g *Gate) LeaveServer(server *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	server.underWay--
	g.refill(server)
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
			g.OnBoundChange(g.bound, g.typical.value, g.waiting.count())
		}
	}
}

// hasPlace reports whether the server has a free place.
func (g *Gate) hasPlace(server *Server) bool { return server.underWay < g.options.MaxPerServer }

// admit takes the places for a first call.
func (g *Gate) admit(server *Server) {
	g.budget = min(maxRepeatBudget, g.budget+g.options.RepeatRatio)
	g.take(server)
}

func (g *Gate) take(server *Server) {
	g.underWay++
	g.peak = max(g.peak, g.underWay)
	server.underWay++
}

// admitWaiting admits waiting calls to free places. Calls whose server has none left go back to the server's list.
func (g *Gate) admitWaiting() {
	for g.underWay < g.bound {
		call := g.waiting.takeFirst()
		if call == nil {
			return
		}
		call.server.inGate--
		if !g.hasPlace(call.server) {
			call.waitedForServer = true
			call.server.waiting.add(call)
			g.waitingForServers++
			continue
		}
		g.admit(call.server)
		close(call.admitted)
	}
}

// refill moves calls from the server's list to the gate's, one for each free place of the server.
func (g *Gate) refill(server *Server) {
	for server.underWay+server.inGate < g.options.MaxPerServer {
		call := server.waiting.takeFirst()
		if call == nil {
			return
		}
		g.waitingForServers--
		server.inGate++
		g.waiting.add(call)
	}
}

// remove removes a waiting call.
func (g *Gate) remove(c *Call) {
	if c.server.waiting.remove(c) {
		g.waitingForServers--
		return
	}
	g.waiting.remove(c)
	c.server.inGate--
	g.refill(c.server)
	g.admitWaiting()
}
