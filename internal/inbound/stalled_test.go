package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// unreadConn is a connection whose client doesn't read: a write ends when it is closed.
type unreadConn struct {
	net.Conn
	writing, closed chan struct{}
}

func (c *unreadConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.closed
	return 0, io.ErrClosedPipe
}

func (c *unreadConn) Close() error {
	close(c.closed)
	return nil
}

// answer admits a connection whose request holds bytes of the budget and whose answer is not read. It returns its end.
func answer(t *testing.T, l *Limits, small, large int64) (ended <-chan struct{}) {
	t.Helper()
	inner := &unreadConn{writing: make(chan struct{}), closed: make(chan struct{})}
	c := newConn(l, inner, Callers)
	if !l.admit(c) {
		t.Fatal("the connection was not admitted")
	}
	if refusal := c.arrived([]byte(testHead)); refusal != "" {
		t.Fatal(refusal)
	}
	c.setState(http.StateActive)
	if err := l.charge(c, small, large); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = c.Write([]byte("HTTP/1.1 200 OK")) }()
	<-inner.writing
	return inner.closed
}

func isClosed(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// Guards against answers that their clients don't read and that hold the budget for minutes.
func TestUnreadAnswerMakesRoom(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20})
	first := answer(t, l, 1<<19, 0)
	clock.pass(evictionGrace / 2)
	second := answer(t, l, 1<<18, 0)
	if err := l.charge(nil, 1<<19, 0); !errors.Is(err, ErrNoRoom) || isClosed(first) {
		t.Errorf("within the grace: error %v, closed: %t", err, isClosed(first))
	}
	clock.pass(evictionGrace)
	_, slow := open(t, l, "GET / HT")
	clock.pass(evictionGrace)
	if err := l.charge(nil, 1<<18, 0); err != nil {
		t.Errorf("beside answers that nobody reads: %v", err)
	}
	if !slow.closed || !isClosed(first) || isClosed(second) {
		t.Errorf("closed: a stalled read %t, the oldest answer %t, the other %t", slow.closed, isClosed(first), isClosed(second))
	}
}

// Guards against a slow read that is refused since it is the slowest, while answers that nobody reads hold the budget.
func TestUnreadAnswerMakesRoomForAReadInProgress(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20})
	unread := answer(t, l, 0, l.maxLarge())
	c, inner := openBody(t, l, 0, 0)
	clock.pass(time.Second)
	if err := l.charge(c, 0, 1<<10); err != nil || inner.closed {
		t.Errorf("error %v, closed: %t", err, inner.closed)
	}
	if !isClosed(unread) {
		t.Error("the answer that nobody reads was kept")
	}
}

// Guards against clients that hold every place with answers that they don't read, and against the loss of a request that is carried out.
func TestUnreadAnswerMakesPlace(t *testing.T) {
	l, clock := newTestLimits(Options{MaxConns: 2})
	carriedOut, inner := open(t, l, testHead)
	carriedOut.setState(http.StateActive)
	unread := answer(t, l, 0, 0)
	clock.pass(time.Second)
	open(t, l, "")
	if inner.closed || !isClosed(unread) {
		t.Errorf("closed: carried out %t, unread %t", inner.closed, isClosed(unread))
	}
}

// slowConn is a connection whose client reads slowly, but steadily.
type slowConn struct {
	nopConn
	read func()
}

func (c *slowConn) Write(p []byte) (int, error) {
	c.read()
	return len(p), nil
}

// Guards against a client that reads a large answer steadily losing it for others.
func TestSteadyReaderKeepsItsAnswer(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20})
	var c *conn
	pieces := 0
	inner := &slowConn{read: func() {
		pieces++
		clock.pass(evictionGrace / 2)
		if _, stalled := c.stalledSince(l.now()); stalled {
			t.Errorf("piece %d counts as unread", pieces)
		}
	}}
	c = newConn(l, inner, Callers)
	if n, err := c.Write(make([]byte, 10*writePieceBytes)); n != 10*writePieceBytes || err != nil {
		t.Errorf("%d bytes written, error %v", n, err)
	}
	if pieces != 10 {
		t.Errorf("%d pieces, want 10", pieces)
	}
}
