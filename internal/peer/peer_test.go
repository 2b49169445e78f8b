package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// hangLimit ends a test that would otherwise wait forever; no test result depends on its value.
const hangLimit = 30 * time.Second

type handlerFunc func(ctx context.Context, req *wire.Request) *wire.Reply

func (f handlerFunc) Handle(ctx context.Context, req *wire.Request) *wire.Reply { return f(ctx, req) }

// explainAnswer echoes the task's name as the state.
func explainAnswer(req *wire.Request) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Explain{Explain: &wire.ExplainReply{State: req.GetExplain().GetTask()}}}
}

func echo(_ context.Context, req *wire.Request) *wire.Reply { return explainAnswer(req) }

func explain(task string) *wire.Request {
	return &wire.Request{Body: &wire.Request_Explain{Explain: &wire.ExplainRequest{Task: task}}}
}

func startServer(t *testing.T, h handlerFunc) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", h, metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newTestClient(t *testing.T) (*Client, *metrics.Set) {
	t.Helper()
	set := metrics.NewSet()
	c := NewClient(monotime.BootClock{}, set)
	t.Cleanup(c.Close)
	return c, set
}

func mustEcho(t *testing.T, c *Client, addr, task string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	reply, err := c.Call(ctx, addr, explain(task))
	if err != nil {
		t.Fatalf("Call: %v", err)
	}
	if got := reply.GetExplain().GetState(); got != task {
		t.Fatalf("answer is %q, want %q", got, task)
	}
}

func TestEachCallGetsItsOwnWholeAnswer(t *testing.T) {
	s := startServer(t, echo)
	c, _ := newTestClient(t)
	var wg sync.WaitGroup
	for n := range 32 {
		wg.Go(func() {
			task := fmt.Sprintf("%d-%s", n, strings.Repeat("x", n*10_000)) // the largest exceed a stream's window
			ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
			defer cancel()
			reply, err := c.Call(ctx, s.Addr(), explain(task))
			if err != nil || reply.GetExplain().GetState() != task {
				t.Errorf("call %d: wrong answer, error %v", n, err)
			}
		})
	}
	wg.Wait()
}

func TestRequestThatCannotLeaveIsNotSent(t *testing.T) {
	c, _ := newTestClient(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cases := map[string]*wire.Request{
		closed.Addr().String(): explain("a"),
		"127.0.0.1:1":          explain(strings.Repeat("x", MaxMessageBytes+1)),
	}
	for addr, req := range cases {
		_, err := c.Call(context.Background(), addr, req)
		if !errors.Is(err, ErrNotSent) || errors.Is(err, ErrInDoubt) {
			t.Errorf("%s: error is %v, want ErrNotSent alone", addr, err)
		}
	}
}

// TestAnswerCutShortIsInDoubt closes the connection in the middle of the reply.
func TestAnswerCutShortIsInDoubt(t *testing.T) {
	s := startServer(t, func(_ context.Context, req *wire.Request) *wire.Reply {
		return &wire.Reply{Body: &wire.Reply_Explain{Explain: &wire.ExplainReply{State: strings.Repeat("y", 100_000)}}}
	})
	c, _ := newTestClient(t)
	proxy := newProxy(t, s.Addr(), 50_000)
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	reply, err := c.Call(ctx, proxy.addr(), explain("a"))
	if reply != nil || !errors.Is(err, ErrInDoubt) || errors.Is(err, ErrNotSent) {
		t.Errorf("reply %v, error %v; want no reply and ErrInDoubt alone", reply != nil, err)
	}
}

func TestCancelledCallCancelsItsHandler(t *testing.T) {
	started := make(chan struct{})
	ended := make(chan struct{})
	s := startServer(t, func(ctx context.Context, req *wire.Request) *wire.Reply {
		close(started)
		<-ctx.Done()
		close(ended)
		return explainAnswer(req)
	})
	c, _ := newTestClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := c.Call(ctx, s.Addr(), explain("a"))
	if !errors.Is(err, ErrInDoubt) || !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v, want ErrInDoubt with the cancellation", err)
	}
	<-ended
}

// TestSilentConnectionIsReplaced checks that the client dials a new connection after one call without an answer.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s := startServer(t, echo)
	c, _ := newTestClient(t)
	proxy := newProxy(t, s.Addr(), 0)
	mustEcho(t, c, proxy.addr(), "before")
	proxy.silence()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.Call(ctx, proxy.addr(), explain("lost")); !errors.Is(err, ErrInDoubt) {
		t.Fatalf("call on the silent connection: error is %v, want ErrInDoubt", err)
	}
	mustEcho(t, c, proxy.addr(), "after")
	if got := proxy.accepted(); got != 2 {
		t.Errorf("%d connections were dialled, want 2", got)
	}
}

// TestConnectionSilentWhileIdleIsNotUsed checks that a connection without answers to pings is not used, even if no call
// on it has failed.
func TestConnectionSilentWhileIdleIsNotUsed(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	clock := fixedClock(1)
	active := newActivityConn(near, clock)
	mux, err := yamux.Client(active, clientMuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mux.Close() })
	s := &session{mux: mux, conn: active}
	if !s.beginCall(clock.Now().Add(maxSilenceForCalls)) {
		t.Error("a session that received bytes within maxSilenceForCalls took no call")
	}
	if s.beginCall(clock.Now().Add(maxSilenceForCalls + 1)) {
		t.Error("a session that received nothing for longer than maxSilenceForCalls took a call")
	}
}

func TestSilenceIsCountedWhileAwake(t *testing.T) {
	const lastRead = monotime.Instant(0)
	now := lastRead
	detector := silenceDetector{lastCheck: now}
	now = now.Add(time.Hour)
	if detector.exceeded(now, lastRead) {
		t.Error("a pause of this process was taken for silence of the peer")
	}
	silent := silenceCheckInterval
	for ; silent < maxSilence; silent += silenceCheckInterval {
		if detector.exceeded(now, lastRead) {
			t.Fatalf("closed after %v of silence, want %v", silent, maxSilence)
		}
		now = now.Add(silenceCheckInterval)
	}
	if !detector.exceeded(now, lastRead) {
		t.Errorf("not closed after %v of silence", silent)
	}
	if detector.exceeded(now.Add(silenceCheckInterval), lastRead+1) {
		t.Error("closed although a byte has arrived")
	}
}

func TestShutdownAnswersWhatIsInFlight(t *testing.T) {
	const calls = 20
	started := make(chan struct{}, calls)
	finish := make(chan struct{})
	s, err := Bind("127.0.0.1:0", metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Serve(handlerFunc(func(_ context.Context, req *wire.Request) *wire.Reply {
		started <- struct{}{}
		<-finish
		return explainAnswer(req)
	}))
	c, _ := newTestClient(t)
	var wg sync.WaitGroup
	for n := range calls {
		wg.Go(func() { mustEcho(t, c, s.Addr(), fmt.Sprint(n)) })
	}
	for range calls {
		<-started
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	awaitStopping(s)
	_, err = c.Call(context.Background(), s.Addr(), explain("late"))
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("new call during the shutdown: error is %v, want ErrNotSent", err)
	}
	// After replyReadTimeout, only the wait for running handlers keeps the sessions open.
	time.Sleep(replyReadTimeout + silenceCheckInterval)
	close(finish)
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestStoppingServerBeginsNothing covers a request whose stream was opened before the server started to stop.
func TestStoppingServerBeginsNothing(t *testing.T) {
	s := startServer(t, echo)
	if !s.beginRequest() {
		t.Fatal("a running server refused a request")
	}
	s.stopAccepting()
	if s.beginRequest() {
		t.Error("a stopping server began a request")
	}
	s.endRequest()
	<-s.idle
}

func awaitStopping(s *Server) {
	for {
		s.mu.Lock()
		stopping := s.stopping
		s.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestTrafficIsCountedByKind(t *testing.T) {
	s := startServer(t, func(_ context.Context, req *wire.Request) *wire.Reply {
		return &wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Reason{Code: string(cell.ReasonNoOwner)}}}
	})
	c, set := newTestClient(t)
	beat := &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{Member: "m"}}}
	for _, req := range []*wire.Request{beat, explain("a"), explain("b")} {
		if _, err := c.Call(context.Background(), s.Addr(), req); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	set.WritePrometheus(&out)
	for _, want := range []string{
		`laburnumpoint_peer_calls_total{side="client",traffic="control"} 1`,
		`laburnumpoint_peer_calls_total{side="client",traffic="request"} 2`,
		`laburnumpoint_peer_sent_bytes_total{side="client",traffic="control"} 6`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("metrics lack %q:\n%s", want, out.String())
		}
	}
}

// fixedClock always returns the same instant.
type fixedClock monotime.Instant

func (c fixedClock) Now() monotime.Instant { return monotime.Instant(c) }

// tcpProxy is a TCP proxy in front of a server. It can stop forwarding on all open connections without closing them.
type tcpProxy struct {
	listener net.Listener
	target   string
	// cutAfter is the number of bytes from the server after which a connection is closed; 0 means never.
	cutAfter int64

	mu    sync.Mutex
	conns int
	mute  []chan struct{}
}

func newProxy(t *testing.T, target string, cutAfter int64) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target, cutAfter: cutAfter}
	t.Cleanup(func() { listener.Close() })
	go p.accept()
	return p
}

func (p *tcpProxy) addr() string { return p.listener.Addr().String() }

func (p *tcpProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		mute := make(chan struct{})
		p.mu.Lock()
		p.conns++
		p.mute = append(p.mute, mute)
		p.mu.Unlock()
		go forward(out, in, mute, 0)
		go forward(in, out, mute, p.cutAfter)
	}
}

// silence discards all further bytes on the connections that are open now, and leaves them open.
func (p *tcpProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, mute := range p.mute {
		close(mute)
	}
	p.mute = nil
}

func (p *tcpProxy) accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// forward copies from src to dst until mute is closed and discards all bytes after that. With a limit above 0 it copies
// that many bytes and then closes both connections.
func forward(dst, src net.Conn, mute chan struct{}, limit int64) {
	defer src.Close()
	defer dst.Close()
	if limit > 0 {
		_, _ = io.CopyN(dst, src, limit)
		return
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-mute:
			continue
		default:
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
