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
	"laburnumpoint/internal/platformapi"
)

// shortTimeout is the time limit of calls that a test expects not to be answered.
const shortTimeout = 50 * time.Millisecond

var (
	testAttempt      = cell.Attempt{Task: "t/1", Epoch: 3, Number: 2}
	finishedHeader   = httpplatform.HeaderResult + ": " + httpplatform.ResultFinished
	attemptHeader    = httpplatform.HeaderAttempt + ": " + httpplatform.FormatAttempt(testAttempt)
	digestHeaderOfOK = httpplatform.HeaderDigest + ": " + httpplatform.Digest([]byte("ok"))
)

func startOn(ctx context.Context, runners *httpplatform.RunnerClient, addr string) platformapi.StartReply {
	return runners.Start(ctx, cell.Worker{ID: "w1", Addr: addr}, "boot", testAttempt, cell.Task{ID: "t/1"}, time.Second)
}

func TestStartDistinguishesNotSentFromInDoubt(t *testing.T) {
	cases := []struct {
		name    string
		respond func(conn net.Conn)
		want    platformapi.StartResult
	}{
		{"complete answer", func(c net.Conn) { respond(c, 200, "ok", finishedHeader, attemptHeader) }, platformapi.StartFinished},
		{"complete empty answer", func(c net.Conn) { respond(c, 200, "", finishedHeader, attemptHeader) }, platformapi.StartFinished},
		{"closed without answer", func(net.Conn) {}, platformapi.StartInDoubt},
		{"truncated in the headers", func(c net.Conn) { respondRaw(c, 200, "", "Content-Len") }, platformapi.StartInDoubt},
		{"truncated in the body", func(c net.Conn) {
			respondRaw(c, 200, "o", finishedHeader, attemptHeader, digestHeaderOfOK, "Content-Length: 2")
		}, platformapi.StartInDoubt},
		{"truncated in the body, no length", func(c net.Conn) { respondRaw(c, 200, "o", finishedHeader, attemptHeader, digestHeaderOfOK) }, platformapi.StartInDoubt},
		{"no length", func(c net.Conn) { respondRaw(c, 200, "ok", finishedHeader, attemptHeader, digestHeaderOfOK) }, platformapi.StartInDoubt},
		{"body does not match its digest", func(c net.Conn) {
			respondRaw(c, 200, "no", finishedHeader, attemptHeader, digestHeaderOfOK, "Content-Length: 2")
		}, platformapi.StartInDoubt},
		{"no digest", func(c net.Conn) { respondRaw(c, 200, "ok", finishedHeader, attemptHeader, "Content-Length: 2") }, platformapi.StartInDoubt},
		{"too long", func(c net.Conn) { respond(c, 200, "longer than the bound", finishedHeader, attemptHeader) }, platformapi.StartInDoubt},
		{"answer of another attempt", func(c net.Conn) { respond(c, 200, "ok", finishedHeader, httpplatform.HeaderAttempt+": 3.1.t%2F1") }, platformapi.StartInDoubt},
		{"no result", func(c net.Conn) { respond(c, 200, "ok", attemptHeader) }, platformapi.StartInDoubt},
		{"refused", func(c net.Conn) {
			respond(c, 200, "", attemptHeader, httpplatform.HeaderResult+": "+httpplatform.ResultRefused)
		}, platformapi.StartRefused},
		{"fenced", func(c net.Conn) {
			respond(c, 200, "", attemptHeader, httpplatform.HeaderResult+": "+httpplatform.ResultFenced)
		}, platformapi.StartFenced},
		{"status of an intermediary", func(c net.Conn) { respond(c, 503, "no", finishedHeader, attemptHeader) }, platformapi.StartInDoubt},
		{"no free connection", func(c net.Conn) { respond(c, 503, `{"code":"busy"}`) }, platformapi.StartNotSent},
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
			if reply.Result != platformapi.StartFinished && len(reply.Answer) > 0 {
				t.Errorf("an incomplete answer was returned: %q", reply.Answer)
			}
			if got := server.requests.Load(); got != 1 {
				t.Errorf("request was sent %d times, want once", got)
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
	if reply := startOn(t.Context(), runners, closedAddr); reply.Result != platformapi.StartNotSent {
		t.Errorf("start with the connection refused: reply %+v, want StartNotSent", reply)
	}
	server := newFakeServer(t, func(net.Conn, int64, *http.Request) bool { return true }) // never answers
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if reply := startOn(ended, runners, server.addr); reply.Result != platformapi.StartNotSent {
		t.Errorf("start with an ended context: reply %+v, want StartNotSent", reply)
	}
	first := make(chan platformapi.StartReply)
	inFlight, cancelFirst := context.WithCancel(t.Context())
	go func() { first <- startOn(inFlight, runners, server.addr) }()
	for server.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	if reply := startOn(waiting, runners, server.addr); reply.Result != platformapi.StartNotSent {
		t.Errorf("start without a free connection: reply %+v, want StartNotSent", reply)
	}
	cancelFirst()
	if reply := <-first; reply.Result != platformapi.StartInDoubt {
		t.Errorf("start cancelled in flight: reply %+v, want StartInDoubt", reply)
	}
}

func TestStartIsNeverSentTwice(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, _ int64, r *http.Request) bool {
		if r.URL.Path == httpplatform.PathAwait {
			respond(conn, 200, "ok", finishedHeader, attemptHeader)
			return true
		}
		return false // reads the start and closes the connection, which answered the await before
	})
	const rounds = 20
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{})
	defer runners.Close()
	for range rounds {
		awaited := runners.Await(t.Context(), cell.Worker{ID: "w1", Addr: server.addr}, testAttempt)
		if awaited.Result != platformapi.StartFinished {
			t.Fatalf("await: reply %+v, want StartFinished", awaited)
		}
		if reply := startOn(t.Context(), runners, server.addr); reply.Result != platformapi.StartInDoubt {
			t.Fatalf("start: reply %+v, want StartInDoubt", reply)
		}
	}
	if got := server.requests.Load(); got != 2*rounds {
		t.Errorf("server received %d requests, want %d", got, 2*rounds)
	}
	if got := server.conns.Load(); got != rounds {
		t.Errorf("%d connections, want %d: starts did not reuse the connections of the awaits", got, rounds)
	}
}

func TestWriteDistinguishesUnavailableFromUncertain(t *testing.T) {
	versions := `{"versions":[7]}`
	cases := []struct {
		name    string
		respond func(conn net.Conn)
		want    error
	}{
		{"applied", func(c net.Conn) { respond(c, 200, versions) }, nil},
		{"conflict", func(c net.Conn) { respond(c, 409, `{"code":"conflict"}`) }, platformapi.ErrConflict},
		{"refused by the table", func(c net.Conn) { respond(c, 503, `{"code":"unavailable"}`) }, platformapi.ErrUnavailable},
		{"refused as malformed", func(c net.Conn) { respond(c, 400, `{"code":"invalid"}`) }, platformapi.ErrUnavailable},
		{"status 503 of an intermediary", func(c net.Conn) { respond(c, 503, "busy") }, platformapi.ErrUncertain},
		{"status 409 of an intermediary", func(c net.Conn) { respond(c, 409, "") }, platformapi.ErrUncertain},
		{"closed without answer", func(net.Conn) {}, platformapi.ErrUncertain},
		{"truncated", func(c net.Conn) {
			respondRaw(c, 200, versions[:5], "Content-Length: "+strconv.Itoa(len(versions)))
		}, platformapi.ErrUncertain},
		{"too few versions", func(c net.Conn) { respond(c, 200, `{"versions":[]}`) }, platformapi.ErrUncertain},
		{"not answered", func(net.Conn) { time.Sleep(2 * shortTimeout) }, platformapi.ErrUncertain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := newFakeServer(t, func(conn net.Conn, _ int64, _ *http.Request) bool {
				c.respond(conn)
				return false
			})
			client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: server.addr, Timeout: shortTimeout})
			defer client.Close()
			got, err := client.Apply(t.Context(), []platformapi.Op{{Key: "k", Value: []byte("v")}})
			if !errors.Is(err, c.want) {
				t.Errorf("error = %v, want %v", err, c.want)
			}
			if c.want == nil && (len(got) != 1 || got[0] != 7) {
				t.Errorf("versions = %v, want [7]", got)
			}
			if n := server.requests.Load(); n != 1 {
				t.Errorf("transaction was sent %d times, want once", n)
			}
		})
	}
}

func TestUnreachablePlatformIsUnavailable(t *testing.T) {
	client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: "127.0.0.1:1", Timeout: shortTimeout})
	if _, err := client.Apply(t.Context(), []platformapi.Op{{Key: "k"}}); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("Apply: error %v, want ErrUnavailable", err)
	}
	if err := client.Objects().Put(t.Context(), "k", nil); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("Put: error %v, want ErrUnavailable", err)
	}
	if _, err := client.Get(t.Context(), "k"); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("Get: error %v, want ErrUnavailable", err)
	}
}
