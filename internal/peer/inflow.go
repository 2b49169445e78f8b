package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// maxUnreadBytes is what the streams of a session may hold unread before the session reads another frame. yamux lets each of them
	// hold 256 KB.
	maxUnreadBytes = 32 << 10
	// unreadPatience is how long a session waits for its streams; data of streams that have ended is never read.
	unreadPatience = 500 * time.Millisecond
)

// inflowConn lets a session read no further while its streams hold much that has not been read. It waits only between frames, since
// yamux passes a frame on as a whole.
type inflowConn struct {
	net.Conn
	frames frameScanner

	mu     sync.Mutex
	unread int
	// room has a value once a stream was read.
	room chan struct{}
}

func newInflowConn(conn net.Conn) *inflowConn {
	return &inflowConn{Conn: conn, room: make(chan struct{}, 1)}
}

// Read implements net.Conn.
func (c *inflowConn) Read(b []byte) (int, error) {
	if c.frames.between() && c.unreadBytes() > maxUnreadBytes {
		c.awaitRoom()
	}
	if c.unreadBytes() > maxUnreadBytes/2 && len(b) > frameHeaderBytes {
		b = b[:c.frames.rest(len(b))] // so that the next read begins between two frames
	}
	n, err := c.Conn.Read(b)
	c.arrived(c.frames.add(b[:n]))
	return n, err
}

func (c *inflowConn) unreadBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread
}

func (c *inflowConn) arrived(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread += n
}

// consumed notes that n bytes of a stream were read.
func (c *inflowConn) consumed(n int) {
	c.mu.Lock()
	c.unread = max(0, c.unread-n)
	c.mu.Unlock()
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// awaitRoom waits until the streams hold little, at most for unreadPatience.
func (c *inflowConn) awaitRoom() {
	patience := time.NewTimer(unreadPatience)
	defer patience.Stop()
	for c.unreadBytes() > maxUnreadBytes {
		select {
		case <-c.room:
		case <-patience.C:
			c.mu.Lock()
			c.unread = 0
			c.mu.Unlock()
		}
	}
}

// frameScanner follows the frames in a sequence of bytes.
type frameScanner struct {
	header [frameHeaderBytes]byte
	// got counts the bytes of the current header, body those that remain of the current frame's body.
	got, body int
}

// between reports whether the next byte begins a frame.
func (s *frameScanner) between() bool { return s.got == 0 && s.body == 0 }

// rest returns how many bytes, at most n, remain of the current header or body.
func (s *frameScanner) rest(n int) int {
	if s.body > 0 {
		return min(n, s.body)
	}
	return min(n, frameHeaderBytes-s.got)
}

// add takes in data and returns how many of its bytes are bodies.
func (s *frameScanner) add(data []byte) (bodies int) {
	for len(data) > 0 {
		n := s.rest(len(data))
		if s.body > 0 {
			s.body -= n
			bodies += n
			data = data[n:]
			continue
		}
		s.got += copy(s.header[s.got:], data[:n])
		data = data[n:]
		if s.got == frameHeaderBytes {
			s.got = 0
			if isDataHeader(s.header[:]) {
				s.body = int(binary.BigEndian.Uint32(s.header[frameLengthOffset:]))
			}
		}
	}
	return bodies
}

// inflowReader reads a stream and keeps no buffer for what it has read.
type inflowReader struct {
	stream *yamux.Stream
	conn   *inflowConn
}

// Read implements io.Reader.
func (r inflowReader) Read(b []byte) (int, error) {
	n, err := r.stream.Read(b)
	r.conn.consumed(n)
	r.stream.Shrink()
	return n, err
}
