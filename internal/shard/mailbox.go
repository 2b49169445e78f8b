package shard

import "sync"

// event is a message to the control loop. Only the loop calls apply.
type event interface {
	apply(c *controlLoop)
}

// mailbox is an unbounded queue of events. It needs no bound, since requests are limited when they are admitted, and events
// that end work must never be refused.
type mailbox struct {
	mu     sync.Mutex
	events []event
	closed bool
	ready  chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

// post adds an event. It returns false once the loop has ended.
func (m *mailbox) post(e event) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.events = append(m.events, e)
	m.wake()
	return true
}

// take removes at most limit events, oldest first.
func (m *mailbox) take(limit int) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(limit, len(m.events))
	out := m.events[:n:n]
	m.events = m.events[n:]
	if len(m.events) > 0 {
		m.wake()
	}
	return out
}

// close makes post refuse further events and returns the events that were not taken.
func (m *mailbox) close() []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	out := m.events
	m.events = nil
	return out
}

// wake makes ready receivable.
func (m *mailbox) wake() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}
