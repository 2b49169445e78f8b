package job

import "sync"

// eventQueue is an unbounded queue of events. Posting never blocks, so that a goroutine that reports a task's end does
// not wait for the controller.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	// ready receives a value after events were posted.
	ready chan struct{}
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

// take removes and returns all events.
func (q *eventQueue) take() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = nil
	return events
}
