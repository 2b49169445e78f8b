package main

import (
	"net"
	"sync"
)

// link is the network before a runner: a proxy between the daemons and the runner's process.
type link struct {
	listener net.Listener
	runner   string

	mu      sync.Mutex
	changed *sync.Cond
	// silent means that nothing passes: bytes and new connections wait.
	silent bool
	conns  map[*linkConn]struct{}
}

// linkConn is a daemon's connection and the one to the runner.
type linkConn struct {
	daemon, runner *net.TCPConn
	// forgotten means that the runner's machine has lost power since: it answers nothing, and resets what arrives once it is back.
	forgotten bool
}

// newLink listens at a free address for the runner's.
func newLink(runner string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, runner: runner, conns: make(map[*linkConn]struct{})}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(conn.(*net.TCPConn))
	}
}

// connect passes a daemon's connection on to the runner, once the link isn't silent.
func (l *link) connect(daemon *net.TCPConn) {
	l.await()
	runner, err := net.Dial("tcp", l.runner)
	if err != nil {
		reset(daemon)
		return
	}
	c := &linkConn{daemon: daemon, runner: runner.(*net.TCPConn)}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	go l.pass(c, c.runner, c.daemon)
	l.pass(c, c.daemon, c.runner)
}

// await waits while the link is silent.
func (l *link) await() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.silent {
		l.changed.Wait()
	}
}

// pass copies what arrives at one side of a connection to the other.
func (l *link) pass(c *linkConn, to, from *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		l.mu.Lock()
		forgotten := c.forgotten
		l.mu.Unlock()
		if forgotten && from == c.runner {
			return
		}
		if forgotten {
			reset(c.daemon)
			return
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
			c.daemon.Close()
			c.runner.Close()
			return
		}
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only if it is closed
	conn.Close()
}

// losePower lets the link be silent from now on, and its connections be forgotten.
func (l *link) losePower() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
	for c := range l.conns {
		c.forgotten = true
		delete(l.conns, c)
	}
}

// setSilent lets the link be silent, or pass on again what waits.
func (l *link) setSilent(silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	l.changed.Broadcast()
}
