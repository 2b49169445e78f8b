package edge

import (
	"net"
	"net/http"
	"sync"
)

// connStates counts the connections that are in use: those that are new, on which a first request may be on its way,
// and those on which a request is in flight. The zero value is ready.
type connStates struct {
	mu   sync.Mutex
	used map[net.Conn]bool
}

// set takes note of a connection's state. It is the ConnState hook of an http.Server.
func (c *connStates) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used == nil {
		c.used = make(map[net.Conn]bool)
	}
	if state == http.StateNew || state == http.StateActive {
		c.used[conn] = true
		return
	}
	delete(c.used, conn)
}

// inUse returns the number of connections in use.
func (c *connStates) inUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.used)
}
