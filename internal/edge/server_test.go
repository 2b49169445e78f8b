package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/inbound"
)

func startServer(t *testing.T, f *fakeCell, opts Options, serverOpts ServerOptions) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(f, f, opts, serverOpts)
	go s.Serve(listener)
	t.Cleanup(func() { s.Close() })
	return s, listener.Addr().String()
}

func sendTask(addr string) (*http.Response, error) {
	return http.Post("http://"+addr+"/v1/requests", "application/json", strings.NewReader(validTask))
}

// The wait for the outcome may be longer than the read deadline of the body, which must not end it.
func TestBodyTimeoutDoesNotCutOffTheWait(t *testing.T) {
	const bodyTimeout = 50 * time.Millisecond
	f := &fakeCell{run: func(ctx context.Context, _ RunRequest) cell.Outcome {
		if !sleep(ctx, 4*bodyTimeout) {
			return cell.Unknown(cell.Reason{Code: cell.ReasonCancelled}, 0)
		}
		return cell.Outcome{Result: cell.ResultCompleted}
	}}
	_, addr := startServer(t, f, Options{BodyTimeout: bodyTimeout}, ServerOptions{})
	resp, err := sendTask(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

func TestSlowBodyIsRefused(t *testing.T) {
	f := &fakeCell{}
	_, addr := startServer(t, f, Options{BodyTimeout: 20 * time.Millisecond}, ServerOptions{})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n{")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout || f.calls() != 0 {
		t.Errorf("status %d after %d calls", resp.StatusCode, f.calls())
	}
}

// Guards against more open connections than the bound. While the ones that are open are in use, a further one is closed at once; a closed
// connection frees its slot.
func TestOpenConnectionsAreBounded(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	f := &fakeCell{ready: true, run: func(context.Context, RunRequest) cell.Outcome {
		close(entered)
		<-leave
		return cell.Outcome{Result: cell.ResultCompleted}
	}}
	_, addr := startServer(t, f, Options{Limits: testLimits(inbound.Options{MaxConns: 1})}, ServerOptions{})
	first, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	fmt.Fprintf(first, "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(validTask), validTask)
	<-entered
	second, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if requestReady(second) == nil {
		t.Error("a connection beyond the bound was answered")
	}
	close(leave)
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request in flight got %v, %v", resp, err)
	}
	first.Close()
	for range 1000 {
		if conn, err := net.Dial("tcp", addr); err == nil && requestReady(conn) == nil {
			conn.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the slot of a closed connection is not free")
}

// Guards against idle connections that keep callers out: at the bound a new connection takes the place of an idle one.
func TestIdleConnectionGivesItsPlace(t *testing.T) {
	f := &fakeCell{ready: true}
	_, addr := startServer(t, f, Options{Limits: testLimits(inbound.Options{MaxConns: 1})}, ServerOptions{})
	first := dialReady(t, addr)
	defer first.Close()
	for range 5000 { // the first connection becomes idle a moment after its answer
		if conn, err := net.Dial("tcp", addr); err == nil && requestReady(conn) == nil {
			defer conn.Close()
			if err := first.SetReadDeadline(time.Now().Add(hangLimit)); err != nil {
				t.Fatal(err)
			}
			if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the connection that gave its place: error %v, want its end", err)
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("an idle connection keeps its place")
}

func testLimits(o inbound.Options) *inbound.Limits { return inbound.New(o, silent, metrics.NewSet()) }

func TestListenerMayBeClosedTwice(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := newOnceListener(listener)
	if first, second := bounded.Close(), bounded.Close(); first != nil || second != nil {
		t.Errorf("Close returned %v, then %v", first, second)
	}
}

// dialReady returns a connection on which one request was answered.
func dialReady(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := requestReady(conn); err != nil {
		t.Fatal(err)
	}
	return conn
}

func requestReady(conn net.Conn) error {
	if _, err := fmt.Fprint(conn, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func TestCallerGoingAwayCancelsTheRequest(t *testing.T) {
	entered, cancelled := make(chan struct{}), make(chan struct{})
	f := &fakeCell{run: func(ctx context.Context, _ RunRequest) cell.Outcome {
		close(entered)
		<-ctx.Done()
		close(cancelled)
		return cell.NotRun(cell.Reason{Code: cell.ReasonCancelled}, 0)
	}}
	_, addr := startServer(t, f, Options{}, ServerOptions{})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(validTask), validTask)
	<-entered
	conn.Close()
	<-cancelled
}

// Shutdown makes the server unready first and still answers the request in flight completely.
func TestShutdownAnswersWhatIsInFlight(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	f := &fakeCell{ready: true, run: func(context.Context, RunRequest) cell.Outcome {
		close(entered)
		<-leave
		return cell.Outcome{Result: cell.ResultCompleted, Answer: []byte("whole")}
	}}
	s, addr := startServer(t, f, Options{}, ServerOptions{DrainDelay: time.Hour})
	type reply struct {
		body []byte
		err  error
	}
	replies := make(chan reply, 1)
	go func() {
		resp, err := sendTask(addr)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		replies <- reply{body: body, err: err}
	}()
	<-entered
	expired, expire := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(expired) }()
	waitForUnready(t, addr)
	expire() // ends the drain delay and the wait of Shutdown, not the request
	if err := <-stopped; err == nil {
		t.Error("Shutdown claims that nothing was in flight")
	}
	if _, err := net.Dial("tcp", addr); err == nil {
		t.Error("the listener is open after Shutdown")
	}
	close(leave)
	got := <-replies
	if got.err != nil || !strings.Contains(string(got.body), `"answer":"d2hvbGU="`) {
		t.Errorf("body %q, %v", got.body, got.err)
	}
}

// A request whose headers are not complete when the shutdown begins counts as in flight and is answered.
func TestShutdownAnswersARequestThatIsHalfSent(t *testing.T) {
	f := &fakeCell{ready: true, outcome: cell.Outcome{Result: cell.ResultCompleted}}
	s, addr := startServer(t, f, Options{}, ServerOptions{})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/requests HTTP/1.1\r\nHost: a\r\n")
	waitForActiveConns(t, s, 1)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	waitForListenerClosed(t, addr)
	fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(validTask), validTask)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// waitForActiveConns polls a bounded number of times until n connections are active.
func waitForActiveConns(t *testing.T, s *Server, n int) {
	t.Helper()
	for range 5000 {
		if s.conns.count() == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d active connections, want %d", s.conns.count(), n)
}

// waitForListenerClosed dials a bounded number of times until the listener is closed.
func waitForListenerClosed(t *testing.T, addr string) {
	t.Helper()
	for range 5000 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		conn.Close()
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the listener is open after Shutdown began")
}

// waitForUnready polls /readyz a bounded number of times until the server is unready.
func waitForUnready(t *testing.T, addr string) {
	t.Helper()
	for range 5000 {
		if readyStatus(t, addr) == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("still ready after Shutdown began")
}

func readyStatus(t *testing.T, addr string) int {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
