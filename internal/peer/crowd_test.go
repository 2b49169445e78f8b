package peer

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"

	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/wire"
)

// startBoundedServer starts a server that draws on budget, with a short time for a request to arrive if timeout isn't 0.
func startBoundedServer(t *testing.T, h handlerFunc, budget Budget, timeout time.Duration) *Server {
	t.Helper()
	s, err := Bind("127.0.0.1:0", metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetBudget(budget)
	if timeout > 0 {
		s.firstFrameTimeout, s.requestReadTimeout = timeout, timeout
	}
	s.Serve(h)
	return s
}

func intake(bytes int) *wire.Request {
	return &wire.Request{Body: &wire.Request_Intake{Intake: &wire.IntakeRequest{Command: "accept", Record: make([]byte, bytes)}}}
}

func hello() *wire.Request {
	return &wire.Request{Body: &wire.Request_Hello{Hello: &wire.Hello{Node: "n"}}}
}

// Guards against a relayed command without room that counts as uncertain at its sender, also if it is larger than a stream's window.
func TestRequestWithoutRoomIsRefusedNotInDoubt(t *testing.T) {
	handled := make(chan string, 8)
	s := startBoundedServer(t, func(_ context.Context, req *wire.Request) *wire.Reply {
		if req.GetHello() != nil {
			return &wire.Reply{Body: &wire.Reply_Hello{Hello: &wire.HelloReply{Peers: []string{"p"}}}}
		}
		handled <- req.GetIntake().GetCommand()
		return &wire.Reply{Body: &wire.Reply_Intake{Intake: &wire.IntakeReply{Result: "ok"}}}
	}, &testBudget{free: 400 << 10}, 0)
	c, _ := newTestClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	for _, bytes := range []int{128 << 10, 1 << 20, MaxMessageBytes - 100} {
		reply, err := c.Call(ctx, s.Addr(), intake(bytes))
		if err != nil || reply.GetRefused() == nil {
			t.Errorf("%d bytes: reply %v, error %v; want a refusal", bytes, reply, err)
		}
		reply, err = c.Call(ctx, s.Addr(), hello())
		if err != nil || len(reply.GetHello().GetPeers()) != 1 {
			t.Errorf("hello after %d bytes: reply %v, error %v", bytes, reply, err)
		}
	}
	if len(handled) != 0 {
		t.Errorf("%d refused requests were handled", len(handled))
	}
	if reply, err := c.Call(ctx, s.Addr(), intake(10<<10)); err != nil || reply.GetIntake().GetResult() != "ok" {
		t.Errorf("a request inside the budget: reply %v, error %v", reply, err)
	}
}

// Guards against an owner that can't be reached for coordination while callers' requests hold the whole budget.
func TestCoordinationIsServedWithoutBudget(t *testing.T) {
	s := startBoundedServer(t, func(context.Context, *wire.Request) *wire.Reply {
		return &wire.Reply{Body: &wire.Reply_Hello{Hello: &wire.HelloReply{Peers: []string{"p"}}}}
	}, &testBudget{}, 0)
	c, _ := newTestClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	if reply, err := c.Call(ctx, s.Addr(), intake(10)); err != nil || reply.GetRefused() == nil {
		t.Errorf("relayed command: reply %v, error %v; want a refusal", reply, err)
	}
	workers := make([]string, 100)
	for i := range workers {
		workers[i] = "worker-0123456789abcdef"
	}
	permit := &wire.Request{Body: &wire.Request_Permit{Permit: &wire.PermitRequest{Workers: workers}}}
	for _, req := range []*wire.Request{hello(), permit} {
		if reply, err := c.Call(ctx, s.Addr(), req); err != nil || reply.GetHello() == nil {
			t.Errorf("%T: reply %v, error %v", req.GetBody(), reply, err)
		}
	}
}

// Guards against an owner that is out of memory since relayed commands wait for its handler: all at once they would hold four times the
// budget.
func TestRequestsInHandlersKeepToTheBudget(t *testing.T) {
	const calls, recordBytes = 64, 64 << 10
	budget := &testBudget{free: calls * recordBytes}
	finish := make(chan struct{})
	s := startBoundedServer(t, func(context.Context, *wire.Request) *wire.Reply {
		<-finish
		return &wire.Reply{Body: &wire.Reply_Intake{Intake: &wire.IntakeReply{Result: "ok"}}}
	}, budget, 0)
	c, _ := newTestClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	results := make(chan string, calls)
	for range calls {
		go func() {
			reply, err := c.Call(ctx, s.Addr(), intake(recordBytes))
			switch {
			case err != nil:
				results <- err.Error()
			case reply.GetRefused() != nil:
				results <- "refused"
			default:
				results <- reply.GetIntake().GetResult()
			}
		}()
	}
	if got := <-results; got != "refused" {
		t.Errorf("first result is %q, want a refusal while the others wait", got)
	}
	close(finish)
	counts := map[string]int{"refused": 1}
	for range calls - 1 {
		counts[<-results]++
	}
	if counts["ok"] == 0 || counts["ok"]+counts["refused"] != calls {
		t.Errorf("results %v, want only ok and refused, and some ok", counts)
	}
	awaitHeld(t, budget, 0)
}

// Guards against a port between daemons that is left out of the limits of its process.
func TestServerDrawsOnTheLimitsOfTheProcess(t *testing.T) {
	limits := inbound.New(inbound.Options{MemoryBytes: 128 << 20}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet())
	held := make(chan int64, 1)
	s, err := Bind("127.0.0.1:0", metrics.NewSet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetLimits(limits)
	s.Serve(handlerFunc(func(context.Context, *wire.Request) *wire.Reply {
		held <- limits.Held()
		return &wire.Reply{Body: &wire.Reply_Intake{Intake: &wire.IntakeReply{Result: "ok"}}}
	}))
	c, _ := newTestClient(t)
	for _, bytes := range []int{100, 64 << 10, MaxMessageBytes - 100} {
		ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
		defer cancel()
		if reply, err := c.Call(ctx, s.Addr(), intake(bytes)); err != nil || reply.GetIntake().GetResult() != "ok" {
			t.Fatalf("%d bytes: reply %v, error %v", bytes, reply, err)
		}
		if got, want := <-held, int64(streamBytes+heldPerByte*bytes); got < want {
			t.Errorf("%d bytes: %d held by the handler, want at least %d", bytes, got, want)
		}
	}
	for start := time.Now(); limits.Held() > 0; time.Sleep(time.Millisecond) {
		if time.Since(start) > hangLimit {
			t.Fatalf("%d bytes held after the last reply", limits.Held())
		}
	}
}

// Guards against streams that stop in the middle of a request and keep their memory.
func TestStalledRequestsAreEndedAndReturnTheirRoom(t *testing.T) {
	const streams, announced, sent = 16, 1 << 20, 64 << 10
	budget := &testBudget{free: 1 << 30}
	s := startBoundedServer(t, echo, budget, time.Second)
	c, _ := newTestClient(t)
	mustEcho(t, c, s.Addr(), "a daemon's session stays")
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	mux, err := yamux.Client(conn, clientMuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mux.Close() })
	whole, err := encode(explain("a whole request, after which the session may stay"))
	if err != nil {
		t.Fatal(err)
	}
	stream, err := mux.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := roundTrip(stream, whole); err != nil {
		t.Fatal(err)
	}
	data, err := encode(intake(announced))
	if err != nil {
		t.Fatal(err)
	}
	for range streams {
		stream, err := mux.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Write(data[:sent]); err != nil {
			t.Fatal(err)
		}
	}
	awaitHeld(t, budget, 1)
	awaitHeld(t, budget, 0)
	if mux.IsClosed() {
		t.Error("the session was ended with the streams")
	}
	if _, peak := budget.holds(); peak > streams*(streamBytes+2*heldPerByte*sent) {
		t.Errorf("%d streams that sent %d bytes each held %d", streams, sent, peak)
	}
	mustEcho(t, c, s.Addr(), "afterwards")
}

// awaitHeld waits until the budget holds at least the given bytes, or nothing if least is 0.
func awaitHeld(t *testing.T, budget *testBudget, least int64) {
	t.Helper()
	for start := time.Now(); time.Since(start) < hangLimit; time.Sleep(time.Millisecond) {
		if held, _ := budget.holds(); (least == 0 && held == 0) || (least > 0 && held >= least) {
			return
		}
	}
	held, _ := budget.holds()
	t.Fatalf("%d bytes held, want %d", held, least)
}

// Guards against connections of other programs that each hold a session and stay open.
func TestStrangersAreClosedAndCostNoSession(t *testing.T) {
	s := startBoundedServer(t, echo, nil, time.Second)
	for name, sent := range map[string][]byte{
		"silence":          nil,
		"half of a header": {frameVersion, 2, 0, 1, 0},
		"an HTTP request":  []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
		"a TLS greeting":   slices.Concat([]byte{0x16, 0x03, 0x01, 0x02, 0x00, 0x01}, make([]byte, 100)),
		"zeros":            make([]byte, 64<<10),
		"lines":            []byte(strings.Repeat("\r\n", 1000)),
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = conn.Write(sent) // fails if the server has closed the connection already
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				_, _ = io.Copy(io.Discard, conn)
			}()
			awaitClosed(t, closed, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if len(s.sessions) > 0 {
					t.Fatal("it holds a session")
				}
			})
		})
	}
	client, _ := newTestClient(t)
	mustEcho(t, client, s.Addr(), "afterwards")
}

// Guards against sessions that answer pings and never send a request.
func TestSessionWithoutRequestIsClosed(t *testing.T) {
	s := startBoundedServer(t, echo, nil, time.Second)
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	mux, err := yamux.Client(conn, clientMuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mux.Close() })
	for range 4 { // the streams end without a request
		stream, err := mux.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.Close() // the session may have ended already
	}
	awaitClosed(t, mux.CloseChan(), func() {})
	client, _ := newTestClient(t)
	mustEcho(t, client, s.Addr(), "afterwards")
}

// awaitClosed waits until closed is closed and calls check meanwhile.
func awaitClosed(t *testing.T, closed <-chan struct{}, check func()) {
	t.Helper()
	for start := time.Now(); time.Since(start) < hangLimit; time.Sleep(time.Millisecond) {
		check()
		select {
		case <-closed:
			return
		default:
		}
	}
	t.Fatal("the connection stays open")
}
