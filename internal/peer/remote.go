package peer

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"laburnumpoint/internal/monotime"
)

// remote is one peer address: its session for new calls and the bounds on concurrent calls.
type remote struct {
	addr     string
	clock    monotime.Clock
	requests chan struct{}
	control  chan struct{}

	mu      sync.Mutex
	current *session
	dialing *dial
	closed  bool
	// all holds every session that is not closed, so that close reaches those that drain.
	all map[*session]struct{}
}

// dial is an attempt to open a session that callers share.
type dial struct {
	done chan struct{}
	err  error
}

func newRemote(addr string, clock monotime.Clock) *remote {
	return &remote{
		addr:     addr,
		clock:    clock,
		requests: make(chan struct{}, maxRequestCallsPerPeer),
		control:  make(chan struct{}, maxControlCallsPerPeer),
		all:      make(map[*session]struct{}),
	}
}

func (r *remote) bound(kind Traffic) chan struct{} {
	if kind == TrafficControl {
		return r.control
	}
	return r.requests
}

// enter takes a place among the concurrent calls of its kind and reports false if there is none.
func (r *remote) enter(kind Traffic) bool {
	select {
	case r.bound(kind) <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *remote) leave(kind Traffic) {
	<-r.bound(kind)
}

// session returns a session with the caller's call already counted in, dialling if there is none to be trusted.
func (r *remote) session(ctx context.Context) (*session, error) {
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

func (r *remote) currentOrDial() (*session, *dial, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, nil, ErrClosed
	}
	if r.current != nil {
		if r.current.begin(r.clock.Now()) {
			return r.current, nil, nil
		}
		r.replaceLocked(nil)
	}
	if r.dialing == nil {
		r.dialing = &dial{done: make(chan struct{})}
		go r.open(r.dialing)
	}
	return nil, r.dialing, nil
}

func (r *remote) open(d *dial) {
	s, err := r.connect()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(d.done)
	r.dialing = nil
	if err != nil {
		d.err = err
		return
	}
	if r.closed {
		d.err = ErrClosed
		s.mux.Close()
		return
	}
	r.all[s] = struct{}{}
	r.replaceLocked(s)
	go s.watch()
	go r.forgetWhenClosed(s)
}

func (r *remote) connect() (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.Dial("tcp", r.addr)
	if err != nil {
		return nil, err
	}
	heard := newHeardConn(&frameConn{Conn: conn}, r.clock)
	mux, err := yamux.Client(heard, clientMuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &session{mux: mux, conn: heard, opened: r.clock.Now()}, nil
}

func (r *remote) forgetWhenClosed(s *session) {
	<-s.mux.CloseChan()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, s)
}

// replaceLocked makes next, which may be nil, the session for new calls and drains the one before.
func (r *remote) replaceLocked(next *session) {
	if r.current != nil {
		go r.current.drain()
	}
	r.current = next
}

// retire takes the session from use for new calls.
func (r *remote) retire(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == s {
		r.replaceLocked(nil)
	}
}

func (r *remote) drainCurrent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaceLocked(nil)
}

func (r *remote) close() {
	r.mu.Lock()
	r.closed = true
	sessions := make([]*session, 0, len(r.all))
	for s := range r.all {
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
