package httpplatform_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platform"
)

const claimReport = `{"worker":"w1","boot":"b","claimed":true}`

// silencedServer answers until it is silenced: then every connection that is open stays open and says nothing more,
// while new ones work.
type silencedServer struct {
	*fakeServer
	silencedUpTo atomic.Int64
}

func newSilencedServer(t *testing.T, answer func(conn net.Conn, r *http.Request)) *silencedServer {
	s := &silencedServer{}
	s.fakeServer = newFakeServer(t, func(conn net.Conn, nth int64, r *http.Request) bool {
		if nth > s.silencedUpTo.Load() {
			answer(conn, r)
		}
		return true
	})
	return s
}

func (s *silencedServer) silence() {
	s.silencedUpTo.Store(s.conns.Load())
}

// idleConns is the number of idle connections that go silent together.
const idleConns = 4

// hangGuard ends a call that would wait for ever on a silent connection.
const hangGuard = 5 * time.Second

func TestRunnerCallsLeaveSilentConnections(t *testing.T) {
	var together sync.WaitGroup // all first starts are in flight at one time, each on a connection of its own
	together.Add(idleConns)
	server := newSilencedServer(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == httpplatform.PathClaim {
			respond(conn, 200, claimReport)
			return
		}
		together.Done()
		together.Wait()
		respond(conn, 200, "ok", finished, ofAttempt)
	})
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{ControlTimeout: shortWait})
	defer runners.Close()
	inParallel(t, func() error { return startError(startOn(t.Context(), runners, server.addr)) })
	claim := func() error {
		_, err := runners.Claim(t.Context(), cell.Worker{ID: "w1", Addr: server.addr}, platform.WorkerClaim{Epoch: 1, BootID: "b"})
		return err
	}
	if err := claim(); err != nil {
		t.Fatal(err)
	}
	server.silence()
	if err := claim(); !errors.Is(err, platform.ErrUnreachable) {
		t.Fatalf("claim over a silent connection: %v", err)
	}
	if err := claim(); err != nil {
		t.Errorf("claim after the first timeout: %v", err)
	}
	together.Add(1)
	ctx, cancel := context.WithTimeout(t.Context(), hangGuard)
	defer cancel()
	if err := startError(startOn(ctx, runners, server.addr)); err != nil {
		t.Errorf("start after a claim's timeout: %v", err)
	}
}

func TestPlatformCallsLeaveSilentConnections(t *testing.T) {
	var together sync.WaitGroup
	together.Add(idleConns)
	server := newSilencedServer(t, func(conn net.Conn, _ *http.Request) {
		together.Done()
		together.Wait()
		respond(conn, 200, `{"key":"k","version":1}`)
	})
	client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: server.addr, Timeout: hangGuard})
	defer client.Close()
	get := func() error {
		_, err := client.Get(t.Context(), "k")
		return err
	}
	inParallel(t, get)
	server.silence()
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	if _, err := client.Get(ctx, "k"); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("get over a silent connection: %v", err)
	}
	together.Add(1)
	if err := get(); err != nil {
		t.Errorf("get after the first timeout: %v", err)
	}
}

// inParallel makes the call idleConns times at one time.
func inParallel(t *testing.T, call func() error) {
	t.Helper()
	errs := make(chan error, idleConns)
	for range idleConns {
		go func() { errs <- call() }()
	}
	for range idleConns {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
}

func startError(reply platform.StartReply) error {
	if reply.Result != platform.StartFinished {
		return fmt.Errorf("result %v: %s", reply.Result, reply.Detail)
	}
	return nil
}
