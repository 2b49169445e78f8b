package peer

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"laburnumpoint/internal/monotime"
)

// remotePeer is one peer address: its session for new calls and the bounds on concurrent calls.
type remotePeer struct {
	addr         string
	clock        monotime.Clock
	requestSlots chan struct{}
	controlSlots chan struct{}

	mu      sync.Mutex
	current *session
	dial    *pendingDial
	closed  bool
	// sessions holds every session that is not closed, so that close reaches those that drain.
	sessions map[*session]struct{}
}

// pendingDial is an attempt to open a session that callers share.
type pendingDial struct {
	done chan struct{}
	err  error
}

func newRemotePeer(addr string, clock monotime.Clock) *remotePeer {
	return &remotePeer{
		addr:         addr,
		clock:        clock,
		requestSlots: make(chan struct{}, maxRequestCallsPerPeer),
		controlSlots: make(chan struct{}, maxControlCallsPerPeer),
		sessions:     make(map[*session]struct{}),
	}
}

func (r *remotePeer) slots(kind Traffic) chan struct{} {
	if kind == TrafficControl {
		return r.controlSlots
	}
	return r.requestSlots
}

// acquireSlot takes a place among the concurrent calls of its kind and reports false if there is none.
func (r *remotePeer) acquireSlot(kind Traffic) bool {
	select {
	case r.slots(kind) <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *remotePeer) releaseSlot(kind Traffic) {
	<-r.slots(kind)
}

// sessionForCall returns a sessionForCall with the caller's call already counted in, dialling if there is none to be trusted.
func (r *remotePeer) sessionForCall(ctx context.Context) (*session, error) {
	for {
		s, d, err := r.currentOrDial()
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-d.done:
		}
		if d.err != nil {
			return nil, d.err
		}
	}
}

func (r *remotePeer) currentOrDial() (*session, *pendingDial, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, nil, ErrClosed
	}
	if r.current != nil {
		if r.current.beginCall(r.clock.Now()) {
			return r.current, nil, nil
		}
		r.replaceLocked(nil)
	}
	if r.dial == nil {
		r.dial = &pendingDial{done: make(chan struct{})}
		go r.open(r.dial)
	}
	return nil, r.dial, nil
}

func (r *remotePeer) open(d *pendingDial) {
	s, err := r.connect()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(d.done)
	r.dial = nil
	if err != nil {
		d.err = err
		return
	}
	if r.closed {
		d.err = ErrClosed
		s.mux.Close()
		return
	}
	r.sessions[s] = struct{}{}
	r.replaceLocked(s)
	go s.closeWhenSilent()
	go r.forgetWhenClosed(s)
}

func (r *remotePeer) connect() (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.Dial("tcp", r.addr)
	if err != nil {
		return nil, err
	}
	conn2 := newActivityConn(&frameConn{Conn: conn}, r.clock)
	mux, err := yamux.Client(conn2, clientMuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &session{mux: mux, conn: conn2, opened: r.clock.Now()}, nil
}

func (r *remotePeer) forgetWhenClosed(s *session) {
	<-s.mux.CloseChan()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, s)
}

// replaceLocked makes next, which may be nil, the session for new calls and drains the one before.
func (r *remotePeer) replaceLocked(next *session) {
	if r.current != nil {
		go r.current.drain()
	}
	r.current = next
}

// retire takes the session from use for new calls.
func (r *remotePeer) retire(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == s {
		r.replaceLocked(nil)
	}
}

func (r *remotePeer) drainCurrent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaceLocked(nil)
}

func (r *remotePeer) close() {
	r.mu.Lock()
	r.closed = true
	sessions := make([]*session, 0, len(r.sessions))
	for s := range r.sessions {
		sessions = append(sessions, s)
	}
	r.mu.Unlock()
	for _, s := range sessions {
		s.mux.Close()
	}
}

// countingReader counts the bytes read through it.
type countingReader struct {
	r io.Reader
	n int
}

// Read implements io.Reader.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += n
	return n, err
}
