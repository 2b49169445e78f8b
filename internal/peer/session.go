package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/yamux"

	"laburnumpoint/internal/monotime"
)

// heardConn notes when bytes last arrived on a connection.
type heardConn struct {
	net.Conn
	clock monotime.Clock
	heard atomic.Int64
}

func newHeardConn(conn net.Conn, clock monotime.Clock) *heardConn {
	c := &heardConn{Conn: conn, clock: clock}
	c.heard.Store(int64(clock.Now()))
	return c
}

// Read implements net.Conn.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(int64(c.clock.Now()))
	}
	return n, err
}

func (c *heardConn) lastHeard() monotime.Instant {
	return monotime.Instant(c.heard.Load())
}

// session is an open connection to a peer. Once it is draining it gets no new calls and closes with its last one.
type session struct {
	mux  *yamux.Session
	conn *heardConn

	mu       sync.Mutex
	calls    int
	draining bool
}

// begin counts a new call in and reports false if the session takes none.
func (s *session) begin(now monotime.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := now.Sub(s.conn.lastHeard()) > silenceLimit
	if s.draining || silent || s.mux.IsClosed() {
		return false
	}
	s.calls++
	return true
}

// end counts a call out.
func (s *session) end() {
	s.mu.Lock()
	s.calls--
	last := s.draining && s.calls == 0
	s.mu.Unlock()
	if last {
		s.mux.Close()
	}
}

// drain lets the calls in flight finish, then closes the session.
func (s *session) drain() {
	s.mu.Lock()
	s.draining = true
	idle := s.calls == 0
	s.mu.Unlock()
	if idle {
		s.mux.Close()
	}
}

// silentSince reports whether no byte has arrived after the instant.
func (s *session) silentSince(sent monotime.Instant) bool {
	return s.conn.lastHeard() <= sent
}

func clientMuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = sessionWriteTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

func serverMuxConfig() *yamux.Config {
	c := clientMuxConfig()
	c.KeepAliveInterval = serverKeepAliveInterval
	return c
}
