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
	"laburnumpoint/internal/platformapi"
)

const claimReport = `{"worker":"w1","boot":"b","claimed":true}`

// stallingServer answers until stall is called. Connections opened before then stay open but are not answered any more,
// while new ones are.
type stallingServer struct {
	*fakeServer
	lastStalledConn atomic.Int64
}

func newStallingServer(t *testing.T, answer func(conn net.Conn, r *http.Request)) *stallingServer {
	s := &stallingServer{}
	s.fakeServer = newFakeServer(t, func(conn net.Conn, nth int64, r *http.Request) bool {
		if nth > s.lastStalledConn.Load() {
			answer(conn, r)
		}
		return true
	})
	return s
}

func (s *stallingServer) stall() {
	s.lastStalledConn.Store(s.conns.Load())
}

// idleConns is the number of idle connections that stall at the same time.
const idleConns = 4

// hangTimeout ends a call that would otherwise wait for ever on a stalled connection.
const hangTimeout = 5 * time.Second

func TestRunnerCallsAbandonStalledConnections(t *testing.T) {
	var allInFlight sync.WaitGroup // keeps all first starts in flight at once, each on its own connection
	allInFlight.Add(idleConns)
	server := newStallingServer(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == httpplatform.PathClaim {
			respond(conn, 200, claimReport)
			return
		}
		allInFlight.Done()
		allInFlight.Wait()
		respond(conn, 200, "ok", finishedHeader, attemptHeader)
	})
	runners := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{ControlTimeout: shortTimeout})
	defer runners.Close()
	inParallel(t, func() error { return startError(startOn(t.Context(), runners, server.addr)) })
	claim := func() error {
		_, err := runners.Claim(t.Context(), cell.Worker{ID: "w1", Addr: server.addr}, platformapi.WorkerClaim{Epoch: 1, BootID: "b"})
		return err
	}
	if err := claim(); err != nil {
		t.Fatal(err)
	}
	server.stall()
	if err := claim(); !errors.Is(err, platformapi.ErrUnreachable) {
		t.Fatalf("claim over a stalled connection: error %v, want ErrUnreachable", err)
	}
	if err := claim(); err != nil {
		t.Errorf("claim after the first timeout: %v", err)
	}
	allInFlight.Add(1)
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	if err := startError(startOn(ctx, runners, server.addr)); err != nil {
		t.Errorf("start after a claim's timeout: %v", err)
	}
}

func TestPlatformCallsAbandonStalledConnections(t *testing.T) {
	var allInFlight sync.WaitGroup
	allInFlight.Add(idleConns)
	server := newStallingServer(t, func(conn net.Conn, _ *http.Request) {
		allInFlight.Done()
		allInFlight.Wait()
		respond(conn, 200, `{"key":"k","version":1}`)
	})
	client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: server.addr, Timeout: hangTimeout})
	defer client.Close()
	get := func() error {
		_, err := client.Get(t.Context(), "k")
		return err
	}
	inParallel(t, get)
	server.stall()
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	if _, err := client.Get(ctx, "k"); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Fatalf("Get over a stalled connection: error %v, want ErrUnavailable", err)
	}
	allInFlight.Add(1)
	if err := get(); err != nil {
		t.Errorf("Get after the first timeout: %v", err)
	}
}

// inParallel makes the call idleConns times concurrently.
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

func startError(reply platformapi.StartReply) error {
	if reply.Result != platformapi.StartFinished {
		return fmt.Errorf("result %v: %s", reply.Result, reply.Detail)
	}
	return nil
}
