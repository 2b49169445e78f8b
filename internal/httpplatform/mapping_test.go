package httpplatform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platform"
)

// shortWait ends calls that a test expects to wait in vain.
const shortWait = 50 * time.Millisecond

var (
	theAttempt = cell.Attempt{Task: "t/1", Epoch: 3, Number: 2}
	finished   = httpplatform.HeaderResult + ": " + httpplatform.ResultFinished
	ofAttempt  = httpplatform.HeaderAttempt + ": " + httpplatform.FormatAttempt(theAttempt)
	digestOfOK = httpplatform.HeaderDigest + ": " + httpplatform.Digest([]byte("ok"))
)

func startOn(ctx context.Context, runners *httpplatform.RunnerClient, addr string) platform.StartReply {
	return runners.Start(ctx, cell.Worker{ID: "w1", Addr: addr}, "boot", theAttempt, cell.Task{ID: "t/1"}, time.Second)
}

func TestStartTellsNotSentFromInDoubt(t *testing.T) {
	cases := []struct {
		name    string
		respond func(conn net.Conn)
		want    platform.StartResult
	}{
		{"whole answer", func(c net.Conn) { respond(c, 200, "ok", finished, ofAttempt) }, platform.StartFinished},
		{"whole empty answer", func(c net.Conn) { respond(c, 200, "", finished, ofAttempt) }, platform.StartFinished},
		{"closed without answer", func(net.Conn) {}, platform.StartInDoubt},
		{"cut in the headers", func(c net.Conn) { respondRaw(c, 200, "", "Content-Len") }, platform.StartInDoubt},
		{"cut in the body", func(c net.Conn) { respondRaw(c, 200, "o", finished, ofAttempt, digestOfOK, "Content-Length: 2") }, platform.StartInDoubt},
		{"cut in the body, no length", func(c net.Conn) { respondRaw(c, 200, "o", finished, ofAttempt, digestOfOK) }, platform.StartInDoubt},
		{"no length", func(c net.Conn) { respondRaw(c, 200, "ok", finished, ofAttempt, digestOfOK) }, platform.StartInDoubt},
		{"body other than digest", func(c net.Conn) { respondRaw(c, 200, "no", finished, ofAttempt, digestOfOK, "Content-Length: 2") }, platform.StartInDoubt},
		{"no digest", func(c net.Conn) { respondRaw(c, 200, "ok", finished, ofAttempt, "Content-Length: 2") }, platform.StartInDoubt},
		{"too long", func(c net.Conn) { respond(c, 200, "longer than the bound", finished, ofAttempt) }, platform.StartInDoubt},
		{"answer of another attempt", func(c net.Conn) { respond(c, 200, "ok", finished, httpplatform.HeaderAttempt+": 3.1.t%2F1") }, platform.StartInDoubt},
		{"no result", func(c net.Conn) { respond(c, 200, "ok", ofAttempt) }, platform.StartInDoubt},
		{"refused", func(c net.Conn) {
			respond(c, 200, "", ofAttempt, httpplatform.HeaderResult+": "+httpplatform.ResultRefused)
		}, platform.StartRefused},
		{"fenced", func(c net.Conn) {
			respond(c, 200, "", ofAttempt, httpplatform.HeaderResult+": "+httpplatform.ResultFenced)
		}, platform.StartFenced},
		{"status of something between", func(c net.Conn) { respond(c, 503, "no", finished, ofAttempt) }, platform.StartInDoubt},
		{"no free connection", func(c net.Conn) { respond(c, 503, `{"code":"busy"}`) }, platform.StartNotSent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := newFakeServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
				c.respond(conn)
				return false
			})
			runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{MaxAnswerBytes: 20})
			defer runners.Close()
			reply := startOn(t.Context(), runners, server.addr)
			if reply.Result != c.want {
				t.Errorf("reply = %+v, want result %v", reply, c.want)
			}
			if reply.Result != platform.StartFinished && len(reply.Answer) > 0 {
				t.Errorf("an answer that is not whole was passed on: %q", reply.Answer)
			}
			if got := server.requests.Load(); got != 1 {
				t.Errorf("request was sent %d times", got)
			}
		})
	}
}

func TestStartWithoutConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := listener.Addr().String()
	listener.Close()
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{WorkConns: 1})
	defer runners.Close()
	if reply := startOn(t.Context(), runners, closedAddr); reply.Result != platform.StartNotSent {
		t.Errorf("connection refused: %+v", reply)
	}
	server := newFakeServer(t, func(net.Conn, int64, *http.Request) bool { return true }) // never answers
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if reply := startOn(ended, runners, server.addr); reply.Result != platform.StartNotSent {
		t.Errorf("context ended before: %+v", reply)
	}
	first := make(chan platform.StartReply)
	inFlight, cancelFirst := context.WithCancel(t.Context())
	go func() { first <- startOn(inFlight, runners, server.addr) }()
	for server.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	if reply := startOn(waiting, runners, server.addr); reply.Result != platform.StartNotSent {
		t.Errorf("no free connection: %+v", reply)
	}
	cancelFirst()
	if reply := <-first; reply.Result != platform.StartInDoubt {
		t.Errorf("cancelled in flight: %+v", reply)
	}
}

func TestStartIsNeverSentTwice(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		if r.URL.Path == httpplatform.PathAwait {
			respond(conn, 200, "ok", finished, ofAttempt)
			return true
		}
		return false // the start is read, and the connection that was good before it ends
	})
	const rounds = 20
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{})
	defer runners.Close()
	for range rounds {
		awaited := runners.Await(t.Context(), cell.Worker{ID: "w1", Addr: server.addr}, theAttempt)
		if awaited.Result != platform.StartFinished {
			t.Fatalf("await: %+v", awaited)
		}
		if reply := startOn(t.Context(), runners, server.addr); reply.Result != platform.StartInDoubt {
			t.Fatalf("start: %+v", reply)
		}
	}
	if got := server.requests.Load(); got != 2*rounds {
		t.Errorf("%d requests arrived for %d calls", got, 2*rounds)
	}
	if got := server.conns.Load(); got != rounds {
		t.Errorf("%d connections for %d pairs of calls: the starts did not use connections again", got, rounds)
	}
}

func TestWriteTellsUnavailableFromUncertain(t *testing.T) {
	versions := `{"versions":[7]}`
	cases := []struct {
		name    string
		respond func(conn net.Conn)
		want    error
	}{
		{"applied", func(c net.Conn) { respond(c, 200, versions) }, nil},
		{"conflict", func(c net.Conn) { respond(c, 409, `{"code":"conflict"}`) }, platform.ErrConflict},
		{"refused by the table", func(c net.Conn) { respond(c, 503, `{"code":"unavailable"}`) }, platform.ErrUnavailable},
		{"refused as malformed", func(c net.Conn) { respond(c, 400, `{"code":"invalid"}`) }, platform.ErrUnavailable},
		{"503 of something between", func(c net.Conn) { respond(c, 503, "busy") }, platform.ErrUncertain},
		{"409 of something between", func(c net.Conn) { respond(c, 409, "") }, platform.ErrUncertain},
		{"closed without answer", func(net.Conn) {}, platform.ErrUncertain},
		{"cut", func(c net.Conn) {
			respondRaw(c, 200, versions[:5], "Content-Length: "+strconv.Itoa(len(versions)))
		}, platform.ErrUncertain},
		{"too few versions", func(c net.Conn) { respond(c, 200, `{"versions":[]}`) }, platform.ErrUncertain},
		{"silent", func(net.Conn) { time.Sleep(2 * shortWait) }, platform.ErrUncertain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := newFakeServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
				c.respond(conn)
				return false
			})
			client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: server.addr, Timeout: shortWait})
			defer client.Close()
			got, err := client.Apply(t.Context(), []platform.Op{{Key: "k", Value: []byte("v")}})
			if !errors.Is(err, c.want) {
				t.Errorf("error = %v, want %v", err, c.want)
			}
			if c.want == nil && (len(got) != 1 || got[0] != 7) {
				t.Errorf("versions = %v", got)
			}
			if n := server.requests.Load(); n != 1 {
				t.Errorf("transaction was sent %d times", n)
			}
		})
	}
}

func TestUnreachablePlatformIsUnavailable(t *testing.T) {
	client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: "127.0.0.1:1", Timeout: shortWait})
	if _, err := client.Apply(t.Context(), []platform.Op{{Key: "k"}}); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("Apply: %v", err)
	}
	if err := client.Objects().Put(t.Context(), "k", nil); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("Put: %v", err)
	}
	if _, err := client.Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("Get: %v", err)
	}
}
