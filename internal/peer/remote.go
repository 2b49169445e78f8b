package peer

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"laburnumpoint/internal/monotime"
)

// remotePeer holds the sessions to one peer address and limits the concurrent calls to it.
type remotePeer struct {
	addr         string
	clock        monotime.Clock
	requestSlots chan struct{}
	controlSlots chan struct{}

	mu sync.Mutex
	// current is the session for new calls; nil if there is none.
	current *session
	dial    *pendingDial
	closed  bool
	// sessions holds every open session, so that close also reaches the draining ones.
	sessions map[*session]struct{}
}

// pendingDial is an attempt to open a session. Concurrent calls wait for the same one.
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

// acquireSlot takes one of the slots for concurrent calls of the kind. It reports false if all are taken.
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

// sessionForCall returns a session that already counts the call among its calls in flight. It dials if there is no usable
// session.
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

// replaceLocked makes next, which may be nil, the session for new calls and drains the previous one.
func (r *remotePeer) replaceLocked(next *session) {
	if r.current != nil {
		go r.current.drain()
	}
	r.current = next
}

// retire drains the session if it is the one for new calls.
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
