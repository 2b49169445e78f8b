package job

import "sync"

// eventQueue is an unbounded queue of events. Posting never blocks, so that whoever reports a task's end isn't held up while
// the controller waits for the table.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	ready  chan struct{}
}

func newEventQueue() *eventQueue {
	return &eventQueue{ready: make(chan struct{}, 1)}
}

func (q *eventQueue) post(e event) {
	q.mu.Lock()
	q.events = append(q.events, e)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *eventQueue) take() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}
