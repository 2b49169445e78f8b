package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

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
	// opened is when the session was dialled.
	opened monotime.Instant

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

// suspect reports whether a call on the session that ended with ctx casts doubt on it: its deadline passed without an
// answer. The age bounds how often calls with hopeless deadlines make the client dial.
func (s *session) suspect(ctx context.Context, now monotime.Instant) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && now.Sub(s.opened) >= minSessionAge
}

// watch closes the session once no byte has arrived for silenceClose. It returns when the session is closed.
func (s *session) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	w := silenceWatch{checked: s.conn.clock.Now()}
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticker.C:
		}
		if w.check(s.conn.clock.Now(), s.conn.lastHeard()) {
			s.mux.Close()
			return
		}
	}
}

// silenceWatch judges silence from successive checks.
type silenceWatch struct {
	// awake is how long this process ran, checking, since a byte was last heard.
	awake   time.Duration
	checked monotime.Instant
	heard   monotime.Instant
}

// check reports whether the peer has been silent for silenceClose. Time in which this process was paused counts for at
// most one interval, since bytes may be waiting to be read.
func (w *silenceWatch) check(now, heard monotime.Instant) bool {
	since := min(now.Sub(w.checked), watchInterval)
	w.checked = now
	if heard != w.heard {
		w.heard = heard
		w.awake = 0
		return false
	}
	w.awake += since
	return w.awake >= silenceClose
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
