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

// hangLimit ends a test that would wait for ever; no verdict depends on it.
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
	c := NewClient(monotime.Boot{}, set)
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

// TestAnswerCutShortIsInDoubt cuts the connection within the reply.
func TestAnswerCutShortIsInDoubt(t *testing.T) {
	s := startServer(t, func(_ context.Context, req *wire.Request) *wire.Reply {
		return &wire.Reply{Body: &wire.Reply_Explain{Explain: &wire.ExplainReply{State: strings.Repeat("y", 100_000)}}}
	})
	c, _ := newTestClient(t)
	relay := newRelay(t, s.Addr(), 50_000)
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	reply, err := c.Call(ctx, relay.addr(), explain("a"))
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

// TestSilentConnectionIsReplaced takes an open connection from use after one call without an answer.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s := startServer(t, echo)
	c, _ := newTestClient(t)
	relay := newRelay(t, s.Addr(), 0)
	mustEcho(t, c, relay.addr(), "before")
	relay.silence()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.Call(ctx, relay.addr(), explain("lost")); !errors.Is(err, ErrInDoubt) {
		t.Fatalf("call on the silent connection: error is %v, want ErrInDoubt", err)
	}
	mustEcho(t, c, relay.addr(), "after")
	if got := relay.accepted(); got != 2 {
		t.Errorf("%d connections were dialled, want 2", got)
	}
}

// TestConnectionSilentWhileIdleIsNotUsed needs no call to fail first: the answers to pings are missing.
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
		t.Error("a session heard within the limit took no call")
	}
	if s.beginCall(clock.Now().Add(maxSilenceForCalls + 1)) {
		t.Error("a session silent beyond the limit took a call")
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
	time.Sleep(replyReadTimeout + silenceCheckInterval) // only the wait for the handlers protects the answers now
	close(finish)
	wg.Wait()
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestStoppingServerBeginsNothing is for a request whose stream was opened before the server began to stop.
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

// fixedClock always tells the same instant.
type fixedClock monotime.Instant

func (c fixedClock) Now() monotime.Instant { return monotime.Instant(c) }

// relay passes TCP connections on to a server and can make the open ones silent for good.
type relay struct {
	listener net.Listener
	target   string
	// cutAfter closes a connection once that many bytes came back from the server; 0 is never.
	cutAfter int64

	mu    sync.Mutex
	conns int
	mute  []chan struct{}
}

func newRelay(t *testing.T, target string, cutAfter int64) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, cutAfter: cutAfter}
	t.Cleanup(func() { listener.Close() })
	go r.accept()
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		mute := make(chan struct{})
		r.mu.Lock()
		r.conns++
		r.mute = append(r.mute, mute)
		r.mu.Unlock()
		go pass(out, in, mute, 0)
		go pass(in, out, mute, r.cutAfter)
	}
}

// silence drops every byte of the connections open now, and leaves them open.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mute := range r.mute {
		close(mute)
	}
	r.mute = nil
}

func (r *relay) accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

// pass copies from src to dst until mute is closed, and then discards.
func pass(dst, src net.Conn, mute chan struct{}, limit int64) {
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
