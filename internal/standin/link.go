package standin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
)

// WorkerFaults says how one worker and the network before it misbehave. The zero value is no fault.
type WorkerFaults struct {
	// Unreachable refuses every connection and cuts those in use.
	Unreachable bool `json:"unreachable,omitempty"`
	// UnreachableFrom does so for the named members only.
	UnreachableFrom []cell.MemberID `json:"unreachable_from,omitempty"`
	// Unresponsive accepts every call, does nothing and never answers.
	Unresponsive bool `json:"silent,omitempty"`
	// Delay is added before each call takes effect.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// DropAnswers loses the answer of every call after it took effect.
	DropAnswers bool `json:"drop_answers,omitempty"`
	// TruncateAnswers ends every answer of a start or await before its whole length.
	TruncateAnswers bool `json:"cut_answers,omitempty"`
	// FailTasks makes every task that starts fail at once.
	FailTasks bool `json:"fail_tasks,omitempty"`
}

func (f WorkerFaults) refuses(member cell.MemberID) bool {
	return f.Unreachable || slices.Contains(f.UnreachableFrom, member)
}

// Errors of a link.
var (
	errRefused = errors.New("standin: connection refused")
	errCut     = errors.New("standin: connection cut")
)

// link is the network before one runner.
type link struct {
	maxConnections int

	mu     sync.Mutex
	faults WorkerFaults
	calls  map[*linkCall]struct{}
}

// linkCall is one call in flight.
type linkCall struct {
	member cell.MemberID
	cancel context.CancelCauseFunc
}

func newLink(maxConnections int) *link {
	return &link{maxConnections: maxConnections, calls: make(map[*linkCall]struct{})}
}

func (l *link) setFaults(f WorkerFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for c := range l.calls {
		if f.refuses(c.member) {
			c.cancel(errCut)
		}
	}
}

// open begins a call. The context ends when the call is cut off; close must be called at the call's end.
// It fails with errRefused if the call does not reach the runner.
func (l *link) open(ctx context.Context, member cell.MemberID) (call context.Context, closeCall func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.refuses(member) || len(l.calls) >= l.maxConnections {
		return nil, nil, errRefused
	}
	call, cancel := context.WithCancelCause(ctx)
	c := &linkCall{member: member, cancel: cancel}
	l.calls[c] = struct{}{}
	return call, func() { l.closeCall(c) }, nil
}

func (l *link) closeCall(c *linkCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, c)
	c.cancel(nil)
}

// applyFaults holds the call up as the faults say before it takes effect.
func (l *link) applyFaults(ctx context.Context) error {
	f := l.currentFaults()
	if f.Unresponsive {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	if !sleep(ctx, f.Delay) {
		return context.Cause(ctx)
	}
	return nil
}

func (l *link) currentFaults() WorkerFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}
