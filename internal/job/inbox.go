package job

import "sync"

// inbox is an unbounded queue of events. Posting never blocks, so that whoever reports a task's end isn't held up while
// the controller waits for the table.
type inbox struct {
	mu     sync.Mutex
	events []event
	ready  chan struct{}
}

func newInbox() *inbox {
	return &inbox{ready: make(chan struct{}, 1)}
}

func (b *inbox) post(e event) {
	b.mu.Lock()
	b.events = append(b.events, e)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *inbox) take() []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = nil
	return events
}
