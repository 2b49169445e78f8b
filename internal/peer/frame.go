package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"
)

// Layout of a yamux frame header: version, type, flags (2 bytes), stream (4 bytes), length (4 bytes).
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameVersion      = 0
	frameTypeData     = 0
	frameTypeGoAway   = 3
)

// maxJoinedBytes is about what a TCP segment takes.
const maxJoinedBytes = 1400

// frameConn writes the header and the body of a data frame together, so that they share a TCP segment; yamux writes them
// separately. Only one goroutine at a time may call Write, as is the case in yamux.
type frameConn struct {
	net.Conn
	header  [frameHeaderBytes]byte
	pending bool
	// frame and buffers are reused by each write, to avoid allocations.
	frame   [2][]byte
	buffers net.Buffers
	// joined holds a small frame; only a bare TCP connection writes several buffers at once.
	joined []byte
}

// Write implements net.Conn. It keeps the header of a data frame until its body is written.
func (c *frameConn) Write(b []byte) (int, error) {
	if c.pending {
		c.pending = false
		return c.writeFrame(b)
	}
	if isDataHeader(b) {
		copy(c.header[:], b)
		c.pending = true
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *frameConn) writeFrame(body []byte) (int, error) {
	if len(body) <= maxJoinedBytes {
		c.joined = append(append(c.joined[:0], c.header[:]...), body...)
		n, err := c.Conn.Write(c.joined)
		return max(0, n-frameHeaderBytes), err
	}
	c.frame = [2][]byte{c.header[:], body}
	c.buffers = c.frame[:]
	n, err := c.buffers.WriteTo(c.Conn)
	return max(0, int(n)-frameHeaderBytes), err
}

// isDataHeader reports whether b is the header of a data frame with a body.
func isDataHeader(b []byte) bool {
	return len(b) == frameHeaderBytes &&
		b[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
}

// errStranger means that a connection isn't one of a daemon.
var errStranger = errors.New("peer: not a daemon's connection")

// startedConn is a connection whose first bytes have been read.
type startedConn struct {
	net.Conn
	start bytes.Reader
}

// Read implements net.Conn.
func (c *startedConn) Read(b []byte) (int, error) {
	if c.start.Len() > 0 {
		return c.start.Read(b)
	}
	return c.Conn.Read(b)
}

// awaitFirstFrame waits for the header of the first frame and returns a connection that yields it again. Until then a connection costs
// no session. A daemon begins with the opening of a stream or a ping, never with data.
// Errors: errStranger; those of the connection.
func awaitFirstFrame(conn net.Conn, timeout time.Duration) (net.Conn, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(conn, header[:1]); err != nil {
		return nil, err
	}
	if header[0] != frameVersion {
		return nil, errStranger
	}
	if _, err := io.ReadFull(conn, header[1:]); err != nil {
		return nil, err
	}
	if kind := header[frameTypeOffset]; kind == frameTypeData || kind > frameTypeGoAway {
		return nil, errStranger
	}
	started := &startedConn{Conn: conn}
	started.start.Reset(header[:])
	return started, conn.SetReadDeadline(time.Time{})
}
