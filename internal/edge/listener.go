package edge

import (
	"net"
	"sync"
)

// onceListener may be closed more than once: Shutdown closes it before package net/http does.
type onceListener struct {
	net.Listener
	close func() error
}

func newOnceListener(l net.Listener) net.Listener {
	return &onceListener{Listener: l, close: sync.OnceValue(l.Close)}
}

// Close implements net.Listener. A second call returns the result of the first.
func (l *onceListener) Close() error {
	return l.close()
}
