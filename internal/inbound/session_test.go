package inbound

import "testing"

// chattyConn is a connection on which something always arrives.
type chattyConn struct{ nopConn }

func (c *chattyConn) Read(p []byte) (int, error) { return len(p), nil }

// Guards against daemons whose sessions are pushed out by a crowd of connections that send nothing to their port.
func TestSilentConnectionsDoNotPushOutADaemon(t *testing.T) {
	l, _ := newTestLimits(Options{Descriptors: 400})
	inner := &chattyConn{}
	daemon := newConn(l, inner, Peers)
	if !l.admit(daemon) {
		t.Fatal("the daemon was not admitted")
	}
	if _, err := daemon.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	for range 2 * l.maxConns[Peers] {
		if !l.admit(newConn(l, &nopConn{}, Peers)) {
			t.Fatal("a new connection finds no place beside silent ones")
		}
	}
	if inner.closed {
		t.Error("the daemon's connection is closed for new ones that send nothing")
	}
}
