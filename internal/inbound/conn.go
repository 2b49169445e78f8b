package inbound

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// phase is what a connection of callers is doing. The bytes of a connection of peers are not looked at; it stays idle.
//
//	idle --first byte--> head --whole head--> handling <--ReadBody--> body
//	  ^---------------------request ends--------'
type phase int

const (
	phaseIdle phase = iota
	phaseHead
	phaseHandling
	phaseBody
)

const (
	// refusalTimeout bounds the time for writing a refusal, and for the rest of a body that nobody reads.
	refusalTimeout = 500 * time.Millisecond
	// serverBufferBytes is the size of the buffer in which package net/http reads ahead.
	serverBufferBytes = 4 << 10
	// writePieceBytes bounds what is written at once, so that a client which reads a large answer steadily is seen to do so.
	writePieceBytes = 64 << 10
)

// Answers that are written before package net/http has seen a request.
const headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

var noRoomAnswer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	retryAfter/time.Second)

// conn counts what arrives on a connection.
type conn struct {
	net.Conn
	limits *Limits
	role   Role
	// got counts the bytes of the current request.
	got atomic.Int64
	// lastRead is when a peer's connection last received something, in Unix nanoseconds.
	lastRead atomic.Int64
	// writeBegan is when the write in progress to a caller began, in Unix nanoseconds; 0 if there is none.
	writeBegan atomic.Int64

	// The fields below are guarded by the lock of limits.

	phase phase
	// since is when the phase began. For head and body it is the begin of the request's first byte.
	since time.Time
	// fresh means that nothing has arrived yet.
	fresh bool
	// gone means that the connection is closed or about to be, and holds nothing.
	gone bool
	// small and large are what the current request has taken of the budget.
	small, large int64
	// head is the part of small that was taken for the head.
	head int64

	scan headScanner

	// beyond counts the bytes after the request's head, aheadLines the lines of the last read among them. They may be the begin of the
	// next head, which the server has read ahead.
	beyond     atomic.Int64
	aheadLines atomic.Int64
	// refused means that a head has been refused: package net/http may read again after the end that it is told.
	refused atomic.Bool
	// bodyRead means that the request's body has been read to its end.
	bodyRead atomic.Bool
}

func newConn(l *Limits, inner net.Conn, role Role) *conn {
	c := &conn{Conn: inner, limits: l, role: role, since: l.now(), fresh: true}
	c.lastRead.Store(c.since.UnixNano())
	return c
}

// reading reports whether the connection waits for more of a request. The caller holds the lock.
func (c *conn) reading() bool { return c.phase == phaseHead || c.phase == phaseBody }

// stalledSince returns when the write in progress began, if it has waited for the client to read beyond the grace.
func (c *conn) stalledSince(now time.Time) (began int64, stalled bool) {
	began = c.writeBegan.Load()
	return began, began != 0 && now.UnixNano()-began >= int64(evictionGrace)
}

// idleSince returns when the connection was last in use. The caller holds the lock.
func (c *conn) idleSince() time.Time {
	if c.role == Peers {
		return time.Unix(0, c.lastRead.Load())
	}
	return c.since
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.role == Peers {
		c.lastRead.Store(c.limits.now().UnixNano())
		if c.got.Add(int64(n)) == int64(n) {
			c.limits.mu.Lock()
			c.fresh = false
			c.limits.mu.Unlock()
		}
		return n, err
	}
	c.got.Add(int64(n))
	if refusal := c.arrived(p[:n]); refusal != "" {
		c.refused.Store(true)
		c.refuse(refusal)
		return 0, io.EOF // package net/http answers other errors itself
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.role == Peers {
		return c.Conn.Write(p)
	}
	defer c.writeBegan.Store(0)
	for {
		piece := p[n:min(n+writePieceBytes, len(p))]
		c.writeBegan.Store(c.limits.now().UnixNano())
		written, err := c.Conn.Write(piece)
		if n += written; err != nil || n >= len(p) {
			return n, err
		}
	}
}

// arrived takes in what was read. It returns the answer if the head is refused.
func (c *conn) arrived(data []byte) (refusal string) {
	l := c.limits
	l.mu.Lock()
	if c.phase == phaseIdle {
		c.phase, c.since, c.fresh = phaseHead, l.now(), false
	}
	if c.phase != phaseHead {
		l.mu.Unlock()
		c.beyond.Add(int64(len(data)))
		switch {
		case len(data) > serverBufferBytes: // a body that is read past the server's buffer
			c.aheadLines.Store(0)
		case len(data) > 1:
			c.aheadLines.Store(int64(bytes.Count(data, newline)))
		case data[0] == '\n': // the server reads a byte while it carries a request out, to notice that the client is gone
			c.aheadLines.Add(1)
		}
		return ""
	}
	rest := c.scan.add(data)
	if int64(c.scan.bytes) > l.maxHeaderBytes.Load() {
		l.mu.Unlock()
		l.count(c.role.String(), reasonHeadTooLarge)
		return headTooLargeAnswer
	}
	cost := max(0, c.scan.cost()-c.head)
	victims, err := l.chargeLocked(c, cost, 0)
	if err == nil {
		c.head += cost
	}
	l.mu.Unlock()
	l.closeAll(victims, reasonSlow)
	if err != nil {
		l.count(c.role.String(), reasonNoRoom)
		return noRoomAnswer
	}
	c.beyond.Store(int64(len(rest)))
	c.aheadLines.Store(int64(bytes.Count(rest, newline)))
	return ""
}

// refuse writes an answer and drops what still arrives for a moment, since a connection that is closed with unread input is reset, and its
// client may lose the answer. Errors don't matter: the connection is closed next.
func (c *conn) refuse(answer string) {
	c.limits.mu.Lock()
	small, large := c.small, c.large
	c.head = 0
	c.limits.mu.Unlock()
	c.limits.refund(c, small, large)
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return
	}
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, int64(c.limits.options.MaxHeaderBytes))
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limits.mu.Lock()
	c.limits.forget(c)
	c.limits.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets package net/http close a connection without losing its last answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setState follows the states of package net/http.
func (c *conn) setState(state http.ConnState) {
	l := c.limits
	switch state {
	case http.StateActive:
		l.mu.Lock()
		c.phase = phaseHandling
		l.mu.Unlock()
		c.bodyRead.Store(false)
	case http.StateIdle:
		c.requestEnded()
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		l.forget(c)
		l.mu.Unlock()
	}
}

// requestEnded gives back what the request's head has taken. What the server has read ahead may be a part of the next head, whose lines
// it parses without another read; they are charged at once.
func (c *conn) requestEnded() {
	l := c.limits
	l.mu.Lock()
	ahead := c.aheadLines.Swap(0) * headLineBytes
	c.scan = headScanner{inText: ahead > 0}
	c.beyond.Store(0)
	c.phase, c.since = phaseIdle, l.now()
	c.got.Store(0)
	var victims []*conn
	if !c.gone {
		l.small -= c.head
		c.small -= c.head
		c.head = 0
		if ahead > 0 {
			c.phase = phaseHead
			var err error
			if victims, err = l.chargeLocked(c, ahead, 0); err == nil {
				c.head = ahead
			} else {
				l.forget(c)
				victims = append(victims, c)
			}
		}
	}
	l.mu.Unlock()
	l.closeAll(victims, reasonSlow)
}

var newline = []byte{'\n'}

// headScanner counts the bytes and lines of a head and finds its end: an empty line after one that isn't.
type headScanner struct {
	bytes, lines int
	// inText means that a line with text has begun; lineBytes counts the current line.
	inText    bool
	lineBytes int
	ended     bool
}

// add takes in data and returns the part beyond the head.
func (s *headScanner) add(data []byte) (rest []byte) {
	for len(data) > 0 && !s.ended {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.lineBytes += len(data)
			s.bytes += len(data)
			return nil
		}
		text := s.lineBytes + end
		if end > 0 && data[end-1] == '\r' {
			text--
		}
		s.bytes += end + 1
		s.lines++
		s.ended = text <= 0 && s.inText
		s.inText = s.inText || text > 0
		s.lineBytes = 0
		data = data[end+1:]
	}
	return data
}

// cost returns what the head takes of the budget.
func (s *headScanner) cost() int64 {
	return int64(s.bytes)*headByteCost + int64(s.lines)*headLineBytes
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// endUnreadBodies returns a handler after which package net/http waits only briefly for the rest of a body that next has not read. Without
// it a client that announces a body and stalls would keep its connection for ever.
func (l *Limits) endUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.ContentLength == 0 {
			return
		}
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.bodyRead.Load() {
			_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTimeout)) // a connection that fails needs none
		}
	})
}

// refuseBodies refuses requests with a body, for listeners that read none: package net/http would wait for it before a long answer.
func refuseBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			closeWithAnswer(w)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// shortWriteTimeout bounds the time for answers of listeners that read no body.
const shortWriteTimeout = 10 * time.Second

// Configure lets a server keep to the limits. Its listener must come from Listener. Timeouts that are set stay.
func (l *Limits) Configure(s *http.Server, role Role) {
	if s.WriteTimeout == 0 && role != Callers {
		s.WriteTimeout = shortWriteTimeout
	}
	s.MaxHeaderBytes = l.options.MaxHeaderBytes
	if s.ReadHeaderTimeout == 0 {
		s.ReadHeaderTimeout = DefaultHeaderTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	connContext, connState := s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, inner net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, inner)
		}
		if c, ok := inner.(*conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	if s.Handler != nil {
		s.Handler = l.endUnreadBodies(s.Handler)
		if role != Callers {
			s.Handler = refuseBodies(s.Handler)
		}
	}
	s.ConnState = func(inner net.Conn, state http.ConnState) {
		if c, ok := inner.(*conn); ok {
			c.setState(state)
		}
		if connState != nil {
			connState(inner, state)
		}
	}
}
