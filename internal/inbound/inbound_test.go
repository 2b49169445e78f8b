package inbound

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"pgregory.net/rapid"
)

// testClock is a clock that the test moves.
type testClock struct {
	mu sync.Mutex
	at time.Time
}

func (c *testClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *testClock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

func newTestLimits(o Options) (*Limits, *testClock) {
	l := New(o, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet())
	clock := &testClock{at: time.Unix(1000, 0)}
	l.now = clock.now
	return l, clock
}

// nopConn is a connection on which nothing happens.
type nopConn struct {
	net.Conn
	closed bool
}

func (c *nopConn) Close() error { c.closed = true; return nil }

// open returns a connection that has been admitted and has sent data of a head.
func open(t interface{ Fatal(...any) }, l *Limits, head string) (*conn, *nopConn) {
	inner := &nopConn{}
	c := newConn(l, inner, Callers)
	if !l.admit(c) {
		t.Fatal("the connection was not admitted")
	}
	if head != "" {
		c.got.Add(int64(len(head)))
		if refusal := c.arrived([]byte(head)); refusal != "" {
			t.Fatal(refusal)
		}
	}
	return c, inner
}

const testHead = "POST / HTTP/1.1\r\nHost: a\r\n\r\n"

// openBody returns a connection whose body is being read and has taken bytes of the budget.
func openBody(t interface{ Fatal(...any) }, l *Limits, small, large int64) (*conn, *nopConn) {
	c, inner := open(t, l, testHead)
	c.setState(http.StateActive)
	c.beginBody()
	if err := l.charge(c, small, large); err != nil {
		t.Fatal(err)
	}
	return c, inner
}

// Guards against a crowd of large bodies that leaves ordinary requests no room.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	for range 100 {
		_ = l.charge(nil, 0, 32<<10) // the last ones find no room
	}
	release, err := l.Reserve(smallReserveBytes)
	if err != nil {
		t.Fatalf("a small reservation beside large ones: %v", err)
	}
	release()
	if err := l.charge(nil, 32<<10, 0); err != nil {
		t.Errorf("a small body beside large ones: %v", err)
	}
}

// Guards against memory beyond the budget, and against a refusal that takes some of it nevertheless.
func TestChargeBeyondTheBudgetIsRefused(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	if err := l.charge(nil, 1<<20, 0); err != nil {
		t.Fatal(err)
	}
	if err := l.charge(nil, 1, 0); !errors.Is(err, ErrNoRoom) {
		t.Errorf("error %v, want ErrNoRoom", err)
	}
	if _, err := l.Reserve(1); !errors.Is(err, ErrNoRoom) {
		t.Errorf("error %v, want ErrNoRoom", err)
	}
	if held := l.Held(); held != 1<<20 {
		t.Errorf("%d bytes held", held)
	}
}

// Guards against clients that stall just short of their end and hold the budget, and against the loss of an older one that progresses.
func TestStalledReadIsClosedBeforeOlderOneThatProgresses(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20})
	honest, honestConn := openBody(t, l, 0, 300<<10)
	clock.pass(2 * time.Second)
	_, stalledConn := openBody(t, l, 0, 300<<10)
	clock.pass(2 * time.Second)
	honest.got.Add(300 << 10)
	third, thirdConn := openBody(t, l, 0, 0)
	third.got.Add(100)
	if err := l.charge(third, 0, 300<<10); err != nil {
		t.Fatalf("no room was made: %v", err)
	}
	if !stalledConn.closed || honestConn.closed || thirdConn.closed {
		t.Errorf("closed: stalled %t, progressing %t, new %t; want only the stalled one", stalledConn.closed, honestConn.closed, thirdConn.closed)
	}
}

// Guards against a crowd of new clients that closes each other's and everyone else's requests before they had time to arrive.
func TestReadWithinTheGraceIsNotClosed(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20})
	_, first := openBody(t, l, 0, 700<<10)
	clock.pass(evictionGrace - time.Millisecond)
	second, _ := openBody(t, l, 0, 0)
	if err := l.charge(second, 0, 300<<10); !errors.Is(err, ErrNoRoom) || first.closed {
		t.Errorf("error %v, first one closed: %t; want a refusal", err, first.closed)
	}
}

// Guards against a request that makes room for itself at the cost of others that progress faster.
func TestSlowestReadDoesNotCloseFasterOnes(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20})
	fast, fastConn := openBody(t, l, 0, 600<<10)
	slow, _ := openBody(t, l, 0, 0)
	clock.pass(time.Second)
	fast.got.Add(600 << 10)
	if err := l.charge(slow, 0, 300<<10); !errors.Is(err, ErrNoRoom) || fastConn.closed {
		t.Errorf("error %v, faster one closed: %t; want a refusal", err, fastConn.closed)
	}
}

// Guards against the loss of a request that has arrived: whether it was carried out would be unknown.
func TestRequestThatHasArrivedIsNotClosed(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20, MaxConns: 1})
	c, inner := openBody(t, l, 0, 700<<10)
	if !c.endBody() {
		t.Fatal("closed")
	}
	clock.pass(time.Minute)
	if err := l.charge(nil, 0, 300<<10); !errors.Is(err, ErrNoRoom) {
		t.Errorf("error %v, want ErrNoRoom", err)
	}
	if l.admit(newConn(l, &nopConn{}, Callers)) || inner.closed {
		t.Errorf("a request that is carried out made place (closed: %t)", inner.closed)
	}
}

// Guards against a request that is passed on although its connection was closed for others, so that its caller learns nothing of it.
func TestBodyOfAClosedConnectionIsNotPassedOn(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20})
	c, _ := open(t, l, testHead)
	c.setState(http.StateActive)
	r := httptest.NewRequest(http.MethodPost, "/", readerFunc(func(p []byte) (int, error) {
		clock.pass(time.Second)
		for range 100 {
			if l.charge(nil, 32<<10, 0) != nil || c.gone {
				break
			}
		}
		return copy(p, "x"), io.EOF
	}))
	r.ContentLength = 1
	if _, err := l.ReadBody(httptest.NewRecorder(), r.WithContext(context.WithValue(r.Context(), connKey{}, c)), 100); !errors.Is(err, ErrNoRoom) {
		t.Errorf("error %v, want ErrNoRoom", err)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against memory for what a client has announced and never sends.
func TestBodyTakesWhatHasArrivedNotWhatWasAnnounced(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	var held []int64
	reads := 0
	r := httptest.NewRequest(http.MethodPost, "/", readerFunc(func(p []byte) (int, error) {
		held = append(held, l.Held())
		if reads++; reads > 3 || len(p) > 8<<10 {
			return 0, io.ErrUnexpectedEOF
		}
		return copy(p, strings.Repeat("x", 10)), nil
	}))
	r.ContentLength = 256 << 10
	if _, err := l.ReadBody(httptest.NewRecorder(), r, 256<<10); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v", err)
	}
	if held[len(held)-1] > 4<<10 {
		t.Errorf("held after each read: %d; want a few KB for 30 bytes", held)
	}
	if l.Held() != 0 {
		t.Errorf("%d bytes held after the error", l.Held())
	}
}

// Guards against bodies over the limit, whether announced or in chunks, and against the loss of one that is exactly at the limit.
func TestBodyOverTheLimitIsRefused(t *testing.T) {
	const limit = 40 << 10
	for _, test := range []struct {
		size      int
		announced bool
		want      error
	}{{limit, true, nil}, {limit, false, nil}, {limit + 1, true, ErrTooLarge}, {limit + 1, false, ErrTooLarge}, {0, true, nil}, {0, false, nil}} {
		l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
		text := strings.Repeat("x", test.size)
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
		if !test.announced {
			r.ContentLength = -1
		}
		w := httptest.NewRecorder()
		body, err := l.ReadBody(w, r, limit)
		if !errors.Is(err, test.want) {
			t.Errorf("%+v: error %v", test, err)
		}
		if err == nil && string(body.Bytes) != text {
			t.Errorf("%+v: %d bytes read", test, len(body.Bytes))
		}
		if closes := w.Header().Get("Connection") == "close"; closes != (test.want != nil) {
			t.Errorf("%+v: the answer closes the connection: %t", test, closes)
		}
		body.Release()
		body.Release()
		if l.Held() != 0 {
			t.Errorf("%+v: %d bytes held afterwards", test, l.Held())
		}
	}
}

// Guards against a growing body that takes more than is charged for: while it is copied both buffers exist.
func TestGrowthOfABodyIsCharged(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 100 << 10}) // the last buffer of 64 KiB fits, but not beside the one before
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", 50<<10)))
	r.ContentLength = -1
	if _, err := l.ReadBody(httptest.NewRecorder(), r, 256<<10); !errors.Is(err, ErrNoRoom) {
		t.Errorf("error %v, want ErrNoRoom", err)
	}
}

// Guards against clients that announce a body to a handler that reads none, stall and keep their connection for ever.
func TestUnreadBodyDoesNotKeepItsConnection(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	addr := serve(t, l, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	if status := send(t, addr, "DELETE / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nabc"); status != http.StatusNotFound {
		t.Errorf("status %d, want 404", status)
	}
	for deadline := time.Now().Add(30 * time.Second); l.openConns(Callers) != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection is still open")
		}
	}
}

// Guards against heads of very many tiny lines, which take many times their size.
func TestHeadOfTinyLinesIsChargedByItsLines(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	open(t, l, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\n", 1000))
	if held := l.Held(); held < 1000*headLineBytes {
		t.Errorf("%d bytes held for 1000 lines", held)
	}
}

// Guards against heads that are never ended: without room they are refused and hold nothing.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 64 << 10})
	c, _ := open(t, l, "GET / HTTP/1.1\r\n")
	refusal := ""
	for range 64 {
		if refusal = c.arrived([]byte(strings.Repeat("b: c\r\n", 100))); refusal != "" {
			break
		}
	}
	if refusal != noRoomAnswer {
		t.Errorf("answer %q, want that there is no room", refusal)
	}
	if l.Held() > 64<<10 {
		t.Errorf("%d bytes held", l.Held())
	}
}

// Guards against lines that are sent ahead in the same packet as a request, and are parsed without another read.
func TestLinesSentAheadAreCharged(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	c, _ := open(t, l, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n"+strings.Repeat("a:\n", 1000))
	c.setState(http.StateActive)
	c.setState(http.StateIdle)
	if held := l.Held(); held < 1000*headLineBytes {
		t.Errorf("%d bytes held for 1000 lines sent ahead", held)
	}
}

// Guards against charges that an idle connection keeps, so that quiet clients use up the budget.
func TestIdleConnectionHoldsNothing(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	text := "{\n\n\n}"
	c, _ := open(t, l, testHead+text)
	c.setState(http.StateActive)
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
	body, err := l.ReadBody(httptest.NewRecorder(), r.WithContext(context.WithValue(r.Context(), connKey{}, c)), 100)
	if err != nil {
		t.Fatal(err)
	}
	body.Release()
	c.setState(http.StateIdle)
	if held := l.Held(); held != 0 {
		t.Errorf("%d bytes held", held)
	}
}

// Guards against a client that sends a body for ever, and against the end of a slow one while there is room.
func TestBodyTimesOutAndNotBefore(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20, BodyTimeout: time.Minute})
	_, inner := openBody(t, l, 10, 0)
	clock.pass(59 * time.Second)
	l.sweep()
	if inner.closed {
		t.Fatal("closed before its time")
	}
	clock.pass(2 * time.Second)
	l.sweep()
	if !inner.closed || l.Held() != 0 {
		t.Errorf("closed: %t, %d bytes held", inner.closed, l.Held())
	}
}

// Guards against a process without descriptors, and against new callers that find no place beside idle ones.
func TestLongestIdleConnectionMakesPlace(t *testing.T) {
	l, clock := newTestLimits(Options{MaxConns: 3})
	var inner [4]*nopConn
	var conns [4]*conn
	for i := range 3 {
		conns[i], inner[i] = open(t, l, testHead)
		conns[i].setState(http.StateActive)
		clock.pass(time.Second)
	}
	for _, i := range []int{1, 0, 2} {
		conns[i].setState(http.StateIdle)
		clock.pass(time.Second)
	}
	_, inner[3] = open(t, l, "")
	for i, c := range inner {
		if c.closed != (i == 1) {
			t.Errorf("connection %d closed: %t", i, c.closed)
		}
	}
	if n := l.openConns(Callers); n != 3 {
		t.Errorf("%d connections", n)
	}
}

// Guards against clients that hold every place with requests that never arrive.
func TestStalledConnectionMakesPlace(t *testing.T) {
	l, clock := newTestLimits(Options{MaxConns: 2})
	progressing, first := openBody(t, l, 10, 0)
	_, second := open(t, l, "GET / HT")
	clock.pass(2 * time.Second)
	progressing.got.Add(1000)
	open(t, l, "")
	if first.closed || !second.closed {
		t.Errorf("closed: progressing %t, stalled %t", first.closed, second.closed)
	}
}

// Guards against a log that grows with the crowd.
func TestRefusalsShareALogLine(t *testing.T) {
	var lines bytes.Buffer
	l := New(Options{}, &log.Logger{Writer: &log.IOWriter{Writer: &lines}}, metrics.NewSet())
	for range 1000 {
		l.count("callers", reasonNoRoom)
	}
	l.sweep()
	l.sweep()
	if n := strings.Count(lines.String(), "\n"); n != 1 || !strings.Contains(lines.String(), `"no_room":1000`) {
		t.Errorf("%d lines: %s", n, lines.String())
	}
}

// Guards against a large request inside the limits that is never served on a small machine.
func TestReservationThatNeverFitsSucceedsAlone(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	release, err := l.Reserve(1 << 40)
	if err != nil {
		t.Fatal(err)
	}
	release()
	release()
	if l.Held() != 0 {
		t.Errorf("%d bytes held", l.Held())
	}
}

// Guards against defaults that requests inside the limits of small machines meet.
func TestDefaultsOfSmallMachines(t *testing.T) {
	o := Options{MemoryBytes: 144 << 20, Descriptors: 3075}.withDefaults()
	if o.BudgetBytes != 36<<20 || o.MaxConns < 900 || o.MaxConns > 1437 || o.MaxHeaderBytes != 64<<10 || o.BodyTimeout != time.Minute {
		t.Errorf("%+v", o)
	}
}

// Guards against bytes and places that are never given back, whatever requests do, until the process refuses everyone.
func TestAllIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, clock := newTestLimits(Options{BudgetBytes: 256 << 10, MaxConns: 5})
		var conns []*conn
		var bodies []*Body
		var releases []func()
		check := func() {
			if held := l.Held(); held < 0 || held > 256<<10 || l.small < 0 || l.large < 0 || l.large > l.maxLarge() {
				t.Fatalf("small %d, large %d", l.small, l.large)
			}
			if n := l.openConns(Callers); n > 5 {
				t.Fatalf("%d connections", n)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"open": func(t *rapid.T) {
				if c := newConn(l, &nopConn{}, Callers); l.admit(c) {
					conns = append(conns, c)
				}
			},
			"pass": func(t *rapid.T) { clock.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"head": func(t *rapid.T) {
				if c := draw(t, conns); c != nil && c.phase <= phaseHead {
					if c.arrived([]byte(rapid.SampledFrom([]string{"GET / HTTP/1.1\r\n", "a:\n", "\r\n", testHead + "\n\n\n"}).Draw(t, "text"))) == "" && c.scan.ended {
						c.setState(http.StateActive)
					}
				}
			},
			"body": func(t *rapid.T) {
				if c := draw(t, conns); c != nil && c.phase == phaseHandling {
					size := rapid.IntRange(0, 100<<10).Draw(t, "size")
					r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
					if rapid.Bool().Draw(t, "chunked") {
						r.ContentLength = -1
					}
					body, err := l.ReadBody(httptest.NewRecorder(), r.WithContext(context.WithValue(r.Context(), connKey{}, c)), 80<<10)
					if (err == nil) == (body == nil) {
						t.Fatalf("body %v, error %v", body, err)
					}
					bodies = append(bodies, body)
				}
			},
			"release": func(t *rapid.T) { draw(t, bodies).Release() },
			"reserve": func(t *rapid.T) {
				release, err := l.Reserve(rapid.Int64Range(0, 200<<10).Draw(t, "n"))
				releases = append(releases, release)
				if err != nil {
					release()
				}
			},
			"unreserve": func(t *rapid.T) {
				if release := draw(t, releases); release != nil {
					release()
				}
			},
			"idle": func(t *rapid.T) {
				if c := draw(t, conns); c != nil && c.phase == phaseHandling {
					c.setState(http.StateIdle)
				}
			},
			"close": func(t *rapid.T) {
				if c := draw(t, conns); c != nil {
					_ = c.Close()
				}
			},
			"sweep": func(*rapid.T) { l.sweep() },
		})
		for _, body := range bodies {
			body.Release()
		}
		for _, release := range releases {
			release()
		}
		for _, c := range conns {
			c.setState(http.StateClosed)
			_ = c.Close()
		}
		if l.Held() != 0 || l.openConns(Callers) != 0 {
			t.Fatalf("%d bytes and %d connections are still held", l.Held(), l.openConns(Callers))
		}
	})
}

// draw returns one of the values, the zero value if there is none.
func draw[T any](t *rapid.T, values []T) (value T) {
	if len(values) == 0 {
		return value
	}
	return rapid.SampledFrom(values).Draw(t, "one")
}

// serve serves a handler on a loopback address with the limits, and returns the address.
func serve(t *testing.T, l *Limits, handler http.HandlerFunc) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	l.Configure(server, Callers)
	go func() { _ = server.Serve(l.Listener(inner, Callers)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

// send writes text to the address and returns the status of the answer, 0 if there is none.
func send(t *testing.T, addr, text string) int {
	t.Helper()
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(client, text); err != nil {
		return 0
	}
	answer, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0
	}
	return answer.StatusCode
}

// headOf returns a head of n bytes.
func headOf(n int) string {
	begin, end := "GET / HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
	return begin + strings.Repeat("x", n-len(begin)-len(end)) + end
}

// Guards against heads over the configured limit, whole or without end, and against the refusal of one exactly at it.
func TestHeadOverTheLimitIsAnswered431(t *testing.T) {
	const limit = 16 << 10
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	l.SetMaxHeaderBytes(limit)
	addr := serve(t, l, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"at the limit":         {headOf(limit), http.StatusNoContent},
		"over the limit":       {headOf(limit + 1), http.StatusRequestHeaderFieldsTooLarge},
		"far over the limit":   {headOf(8 * limit), http.StatusRequestHeaderFieldsTooLarge},
		"a line without end":   {headOf(2 * limit)[:limit+10], http.StatusRequestHeaderFieldsTooLarge},
		"at the limit, a body": {"POST / HTTP/1.1\r\nContent-Length: 3000\r\n" + headOf(limit - 39)[len("GET / HTTP/1.1\r\n"):] + strings.Repeat("\n", 3000), http.StatusNoContent},
	} {
		if status := send(t, addr, test.text); status != test.want {
			t.Errorf("%s: status %d, want %d", name, status, test.want)
		}
	}
}

// Guards against a head that is refused, counted and answered again for each further read.
func TestHeadIsRefusedOnce(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20, MaxHeaderBytes: 4 << 10})
	addr := serve(t, l, func(http.ResponseWriter, *http.Request) {})
	text := "GET / HTTP/1.1\r\n" + strings.Repeat("X: "+strings.Repeat("x", 1000)+"\r\n", 600)
	if status := send(t, addr, text); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", status)
	}
	for deadline := time.Now().Add(30 * time.Second); l.openConns(Callers) != 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
	}
	if n := l.refused[refusalKey("callers", reasonHeadTooLarge)].Get(); n != 1 {
		t.Errorf("%d refusals were counted, want 1", n)
	}
}

// Guards against an answer that waits for the rest of a body that stalls.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	l, _ := newTestLimits(Options{BudgetBytes: 1 << 20})
	addr := serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		if _, err := l.ReadBody(w, r, 100); errors.Is(err, ErrTooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	if status := send(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nabc"); status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, want 413", status)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 200, strings.Repeat("x", 200))
	if status := send(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk); status != http.StatusRequestEntityTooLarge {
		t.Errorf("in chunks: status %d, want 413", status)
	}
}

// Guards against a crowd of stalled bodies that outlasts its own clients: a small request beside it is answered, and all is given back
// once the crowd has gone.
func TestRequestIsAnsweredBesideStalledBodies(t *testing.T) {
	l := New(Options{BudgetBytes: 512 << 10, MaxConns: 20}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet())
	addr := serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		body, err := l.ReadBody(w, r, 256<<10)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer body.Release()
		w.WriteHeader(http.StatusNoContent)
	})
	var crowd []net.Conn
	for range 30 {
		client, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		crowd = append(crowd, client)
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		// A client that is refused can't send it all.
		_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 199_990))
	}
	if held := l.Held(); held > 512<<10 {
		t.Errorf("%d bytes held", held)
	}
	// The crowd's requests are new, so that the first tries may find no place.
	status := 0
	for deadline := time.Now().Add(30 * time.Second); status != http.StatusNoContent && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		status = send(t, addr, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc")
	}
	if status != http.StatusNoContent {
		t.Errorf("status %d beside the crowd, want 204", status)
	}
	for _, client := range crowd {
		_ = client.Close()
	}
	for deadline := time.Now().Add(30 * time.Second); l.Held() != 0 || l.openConns(Callers) != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes and %d connections still held", l.Held(), l.openConns(Callers))
		}
	}
}

// Guards against the balancer's checks, and other clients that have been served, being pushed out by a crowd of connections that send nothing.
func TestNewConnectionsDoNotPushOutOneInUse(t *testing.T) {
	l, clock := newTestLimits(Options{MaxConns: 16})
	used, inner := open(t, l, "GET / HTTP/1.1\r\n\r\n")
	used.setState(http.StateActive)
	used.setState(http.StateIdle)
	for range 100 {
		clock.pass(10 * time.Millisecond)
		if !l.admit(newConn(l, &nopConn{}, Callers)) {
			t.Error("a new connection finds no place beside silent ones")
		}
	}
	if inner.closed {
		t.Error("the connection in use is closed for new ones that send nothing")
	}
}

// Guards against reads that are closed for a charge that finds no room all the same.
func TestNoReadIsClosedInVain(t *testing.T) {
	l, clock := newTestLimits(Options{BudgetBytes: 1 << 20})
	taken, err := l.Reserve(l.maxLarge() / 2)
	if err != nil {
		t.Fatal(err)
	}
	defer taken()
	var reads []*nopConn
	for range 4 {
		c, inner := open(t, l, "POST / HTTP/1.1\r\n")
		c.setState(http.StateActive)
		c.beginBody()
		if err := l.charge(c, 0, 1<<10); err != nil {
			t.Fatal(err)
		}
		reads = append(reads, inner)
	}
	clock.pass(2 * evictionGrace)
	if err := l.charge(nil, 0, l.maxLarge()); err != ErrNoRoom {
		t.Errorf("%v, want no room", err)
	}
	for _, inner := range reads {
		if inner.closed {
			t.Error("a read is closed though that makes no room")
		}
	}
}

// Guards against metrics and readiness being taken by a few requests that announce a body: package net/http waits for it before a long answer.
func TestListenersWithoutBodiesDoNotWaitForThem(t *testing.T) {
	l, _ := newTestLimits(Options{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 16<<10))
	})}
	l.Configure(s, Metrics)
	go func() { _ = s.Serve(l.Listener(listener, Metrics)) }()
	defer s.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("status %s, want 400 at once", resp.Status)
	}
}
