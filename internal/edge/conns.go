package edge

import (
	"net"
	"net/http"
	"sync"
)

// activeConns counts the connections that are active: new ones, on which a first request may be about to arrive, and
// those on which a request is in flight. The zero value is ready to use.
type activeConns struct {
	mu     sync.Mutex
	active map[net.Conn]bool
}

// onStateChange records the new state of a connection. It is the ConnState hook of an http.Server.
func (c *activeConns) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = make(map[net.Conn]bool)
	}
	if state == http.StateNew || state == http.StateActive {
		c.active[conn] = true
		return
	}
	delete(c.active, conn)
}

// count returns the number of active connections.
func (c *activeConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}
