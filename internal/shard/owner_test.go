package shard

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/intent"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

// fixture holds a table, workers and the owners of one shard, on a fake clock.
type fixture struct {
	t      *testing.T
	table  *standin.Table
	log    *intent.Log
	runner *fakeRunner
	// ownerRunner is what owners call; the fake runner unless a test sets another.
	ownerRunner platformapi.RunnerClient
	workers     []cell.Worker
	// epoch is the epoch of the ownership in the table.
	epoch atomic.Uint64
	// stale means that the configuration can't be confirmed.
	stale atomic.Bool
	doc   atomic.Pointer[config.Versioned]
}

func newFixture(t *testing.T, workers int, runTime time.Duration) *fixture {
	r := &fixture{t: t, table: standin.NewTable()}
	r.doc.Store(&config.Versioned{Version: 1, Document: config.Default()})
	for i := range workers {
		r.workers = append(r.workers, cell.Worker{
			ID:       cell.WorkerID(fmt.Sprintf("w%d", i)),
			Rack:     fmt.Sprintf("r%d", i),
			State:    cell.WorkerLive,
			Capacity: cell.Resources{MilliCPU: 2000, MemoryMiB: 2048, Slots: 2},
		})
	}
	r.runner = newFakeRunner(runTime, r.workers...)
	r.ownerRunner = r.runner
	r.log = intent.New(r.table, "m", intent.Options{})
	t.Cleanup(r.log.Close)
	return r
}

// fakeClock reads the fake clock of the test.
type fakeClock struct{}

func (fakeClock) Now() monotime.Instant { return monotime.Instant(time.Now().UnixNano()) }

// startOwner sets the table's epoch and starts the owner of that epoch.
func (r *fixture) startOwner(epoch cell.Epoch) *Owner {
	r.epoch.Store(uint64(epoch))
	o := Start(Params{
		Shard: "s", Epoch: epoch, Member: "m", Runner: r.ownerRunner, Intents: r.log,
		ConfirmOwnership: func(context.Context) error {
			if r.epoch.Load() != uint64(epoch) {
				return ErrNotOwner
			}
			return nil
		},
		Clock:  fakeClock{},
		Config: func() (config.Versioned, bool) { return *r.doc.Load(), !r.stale.Load() },
	})
	if r.workers != nil {
		o.SetWorkers(r.workers)
	}
	synctest.Wait()
	r.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		o.Release(ctx)
	})
	return o
}

// request returns a request for a task of one slot with a deadline in ten seconds.
func request(id string) Request {
	return Request{
		Task: cell.Task{
			ID: cell.TaskID(id), Kind: cell.KindRequest, Team: "default", Class: cell.ClassNormal, Idempotent: true,
			Claim: cell.Resources{MilliCPU: 1000, MemoryMiB: 512, Slots: 1},
		},
		Arrived:  time.Now(),
		Deadline: time.Now().Add(10 * time.Second),
	}
}

// resent marks a request as possibly sent before.
func resent(r Request) Request {
	r.MaybeResent = true
	return r
}

// nonIdempotent returns r as a request for non-idempotent work, which always counts as possibly sent before.
func nonIdempotent(r Request) Request {
	r.Task.Idempotent = false
	return resent(r)
}

// expectOutcome fails the test unless the outcome has that result and reason code.
func expectOutcome(t *testing.T, out cell.Outcome, result cell.Result, code cell.ReasonCode) {
	t.Helper()
	if out.Result != result || out.Reason.Code != code {
		t.Errorf("outcome = %s (%s), want %s (%s)", out.Result, out.Reason, result, code)
	}
}

// checkInvariants fails the test if a task ran twice at a time or a worker's capacity was exceeded.
func (r *fixture) checkInvariants() {
	r.t.Helper()
	r.runner.mu.Lock()
	defer r.runner.mu.Unlock()
	if r.runner.overlaps != 0 || r.runner.overclaims != 0 {
		r.t.Errorf("%d tasks ran in two places, %d starts went over capacity", r.runner.overlaps, r.runner.overclaims)
	}
}

func TestRequestsRunToTheirAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 2, time.Second)
		o := r.startOwner(1)
		outs := make(chan cell.Outcome)
		for i := range 8 {
			go func() {
				req := request(fmt.Sprint(i))
				if i%2 == 0 {
					req = nonIdempotent(req)
				}
				out := o.Run(t.Context(), req)
				if want := "answer of " + fmt.Sprint(i); string(out.Answer) != want {
					t.Errorf("answer = %q, want %q", out.Answer, want)
				}
				outs <- out
			}()
		}
		for range 8 {
			expectOutcome(t, <-outs, cell.ResultCompleted, cell.ReasonNone)
		}
		r.checkInvariants()
	})
}
