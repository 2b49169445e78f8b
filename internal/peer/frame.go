package peer

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: version, type, flags (2 bytes), stream (4 bytes), length (4 bytes).
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// frameConn writes the header and the body of a data frame together, so that they share a TCP segment; yamux writes them
// separately. Only one goroutine at a time may call Write, as is the case in yamux.
type frameConn struct {
	net.Conn
	header  [frameHeaderBytes]byte
	pending bool
	// frame and buffers are reused by each write, to avoid allocations.
	frame   [2][]byte
	buffers net.Buffers
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
