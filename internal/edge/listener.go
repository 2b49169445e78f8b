package edge

import (
	"net"
	"sync"
)

// boundListener bounds the open connections. One beyond the bound is closed at once, so that its caller goes elsewhere.
type boundListener struct {
	net.Listener
	slots chan struct{}
}

func newBoundListener(l net.Listener, bound int) net.Listener {
	return &boundListener{Listener: l, slots: make(chan struct{}, bound)}
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &boundConn{Conn: conn, release: func() { <-l.slots }}, nil
		default:
			_ = conn.Close() // nothing was read or written
		}
	}
}

// boundConn gives its slot back when it is closed.
type boundConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
