package standin

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
)

// WorkerFaults lists the faults of one worker and of the network in front of it. The zero value means no fault.
type WorkerFaults struct {
	// Unreachable refuses every connection and closes those in use.
	Unreachable bool `json:"unreachable,omitempty"`
	// UnreachableFrom does the same for the named members only.
	UnreachableFrom []cell.MemberID `json:"unreachable_from,omitempty"`
	// Unresponsive accepts every call, but neither executes nor answers it.
	Unresponsive bool `json:"silent,omitempty"`
	// Delay is the wait before each call takes effect.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// DropAnswers loses the answer to every call after the call took effect.
	DropAnswers bool `json:"drop_answers,omitempty"`
	// TruncateAnswers ends every answer to a start or await before its full length.
	TruncateAnswers bool `json:"cut_answers,omitempty"`
	// FailTasks makes every task fail as soon as it starts.
	FailTasks bool `json:"fail_tasks,omitempty"`
}

func (f WorkerFaults) refuses(member cell.MemberID) bool {
	return f.Unreachable || slices.Contains(f.UnreachableFrom, member)
}

// Errors of a call over a link.
var (
	errRefused          = errors.New("standin: connection refused")
	errConnectionClosed = errors.New("standin: connection closed before the answer")
)

// link is the network in front of one runner.
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
			c.cancel(errConnectionClosed)
		}
	}
}

// open begins a call. Its context ends with cause errConnectionClosed when new faults close the connection.
// The caller must call closeCall at the call's end. The error is errRefused if the call can't reach the runner.
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

// applyFaults delays or blocks a call before it takes effect, as the faults demand.
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
