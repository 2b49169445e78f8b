package shard

import "sync"

// event is a message to the control loop. Only the loop calls apply.
type event interface {
	apply(c *controlLoop)
}

// eventQueue is an unbounded queue of events. It needs no bound, since requests are limited when they are admitted, and events
// that end work must never be refused.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	closed bool
	ready  chan struct{}
}

func newEventQueue() *eventQueue {
	return &eventQueue{ready: make(chan struct{}, 1)}
}

// post adds an event. It returns false once the loop has ended.
func (q *eventQueue) post(e event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.events = append(q.events, e)
	q.wake()
	return true
}

// take removes at most limit events, oldest first.
func (q *eventQueue) take(limit int) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(limit, len(q.events))
	out := q.events[:n:n]
	q.events = q.events[n:]
	if len(q.events) > 0 {
		q.wake()
	}
	return out
}

// close makes post refuse further events and returns the events that were not taken.
func (q *eventQueue) close() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	out := q.events
	q.events = nil
	return out
}

// wake makes ready receivable.
func (q *eventQueue) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
