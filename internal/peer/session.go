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

// activityConn records when bytes last arrived on a connection.
type activityConn struct {
	net.Conn
	clock      monotime.Clock
	lastReadNs atomic.Int64
}

func newActivityConn(conn net.Conn, clock monotime.Clock) *activityConn {
	c := &activityConn{Conn: conn, clock: clock}
	c.lastReadNs.Store(int64(clock.Now()))
	return c
}

// Read implements net.Conn.
func (c *activityConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReadNs.Store(int64(c.clock.Now()))
	}
	return n, err
}

func (c *activityConn) lastRead() monotime.Instant {
	return monotime.Instant(c.lastReadNs.Load())
}

// session is an open connection to a peer. A draining session takes no new calls and closes when its last call ends.
type session struct {
	mux  *yamux.Session
	conn *activityConn
	// opened is when the session was dialled.
	opened monotime.Instant

	mu sync.Mutex
	// calls counts the calls in flight.
	calls    int
	draining bool
}

// beginCall counts a new call as in flight. It reports false if the session takes no new calls.
func (s *session) beginCall(now monotime.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := now.Sub(s.conn.lastRead()) > maxSilenceForCalls
	if s.draining || silent || s.mux.IsClosed() {
		return false
	}
	s.calls++
	return true
}

// endCall ends a call that beginCall counted. It closes a draining session after the last one.
func (s *session) endCall() {
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

// missedDeadline reports whether a call got no reply before the deadline of ctx, in which case the connection may be dead.
// It ignores sessions younger than minSessionAge, so that calls with very short deadlines don't make the client dial
// again and again.
func (s *session) missedDeadline(ctx context.Context, now monotime.Instant) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && now.Sub(s.opened) >= minSessionAge
}

// closeWhenSilent closes the session once no byte has arrived for maxSilence. It returns when the session is closed.
func (s *session) closeWhenSilent() {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	detector := silenceDetector{lastCheck: s.conn.clock.Now()}
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticker.C:
		}
		if detector.exceeded(s.conn.clock.Now(), s.conn.lastRead()) {
			s.mux.Close()
			return
		}
	}
}

// silenceDetector measures, from periodic checks, how long a peer has sent nothing.
type silenceDetector struct {
	// silence is the time since the last byte arrived, without time in which this process was paused.
	silence   time.Duration
	lastCheck monotime.Instant
	lastRead  monotime.Instant
}

// exceeded reports whether the peer has sent nothing for maxSilence. The time since the previous check counts as at most
// one interval: if this process was paused, bytes may have arrived that it has not read yet.
func (d *silenceDetector) exceeded(now, lastRead monotime.Instant) bool {
	elapsed := min(now.Sub(d.lastCheck), silenceCheckInterval)
	d.lastCheck = now
	if lastRead != d.lastRead {
		d.lastRead = lastRead
		d.silence = 0
		return false
	}
	d.silence += elapsed
	return d.silence >= maxSilence
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
