package edge

import (
	"net"
	"sync"
)

// limitListener bounds the number of open connections. It closes a connection beyond the bound at once, so that its
// caller tries another entry VM.
type limitListener struct {
	net.Listener
	connSlots chan struct{}
	close     func() error
}

func newLimitListener(l net.Listener, maxConns int) net.Listener {
	return &limitListener{Listener: l, connSlots: make(chan struct{}, maxConns), close: sync.OnceValue(l.Close)}
}

// Close implements net.Listener. A second call returns the result of the first.
func (l *limitListener) Close() error {
	return l.close()
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.connSlots <- struct{}{}:
			return &limitedConn{Conn: conn, release: func() { <-l.connSlots }}, nil
		default:
			_ = conn.Close() // nothing was read or written, so an error doesn't matter
		}
	}
}

// limitedConn frees its slot in the listener when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
