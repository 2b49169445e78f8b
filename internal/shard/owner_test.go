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
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/standin"
)

// rig is one table, one set of workers and the owners of one shard, on a fake clock.
type rig struct {
	t      *testing.T
	table  *standin.Table
	log    *intent.Log
	runner *runner
	// calls is what owners call; the fake runner unless a test sets another.
	calls   platform.Runner
	workers []cell.Worker
	// epoch is the ownership in the table.
	epoch atomic.Uint64
	stale atomic.Bool
	doc   atomic.Pointer[config.Versioned]
}

func newRig(t *testing.T, workers int, runTime time.Duration) *rig {
	r := &rig{t: t, table: standin.NewTable()}
	r.doc.Store(&config.Versioned{Version: 1, Document: config.Default()})
	for i := range workers {
		r.workers = append(r.workers, cell.Worker{
			ID:       cell.WorkerID(fmt.Sprintf("w%d", i)),
			Rack:     fmt.Sprintf("r%d", i),
			State:    cell.WorkerLive,
			Capacity: cell.Resources{MilliCPU: 2000, MemoryMiB: 2048, Slots: 2},
		})
	}
	r.runner = newRunner(runTime, r.workers...)
	r.calls = r.runner
	r.log = intent.New(r.table, "m", intent.Options{})
	t.Cleanup(r.log.Close)
	return r
}

// fakeClock is the bubble's clock.
type fakeClock struct{}

func (fakeClock) Now() monotime.Instant { return monotime.Instant(time.Now().UnixNano()) }

// owner starts the ownership of an epoch and raises the table to it.
func (r *rig) owner(epoch cell.Epoch) *Owner {
	r.epoch.Store(uint64(epoch))
	o := Start(Params{
		Shard: "s", Epoch: epoch, Member: "m", Runner: r.calls, Intents: r.log,
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

// request asks for a task of one slot within ten seconds.
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

func keyed(r Request) Request {
	r.MaybeResent = true
	return r
}

func once(r Request) Request {
	r.Task.Idempotent = false
	return keyed(r)
}

// expect fails the test unless the outcome is of that result and reason.
func expect(t *testing.T, out cell.Outcome, result cell.Result, code cell.ReasonCode) {
	t.Helper()
	if out.Result != result || out.Reason.Code != code {
		t.Errorf("outcome = %s (%s), want %s (%s)", out.Result, out.Reason, result, code)
	}
}

// check fails the test if a promise was broken at the workers.
func (r *rig) check() {
	r.t.Helper()
	r.runner.mu.Lock()
	defer r.runner.mu.Unlock()
	if r.runner.overlaps != 0 || r.runner.overclaims != 0 {
		r.t.Errorf("%d tasks ran in two places, %d starts went over capacity", r.runner.overlaps, r.runner.overclaims)
	}
}

func TestRequestsRunToTheirAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2, time.Second)
		o := r.owner(1)
		outs := make(chan cell.Outcome)
		for i := range 8 {
			go func() {
				req := request(fmt.Sprint(i))
				if i%2 == 0 {
					req = once(req)
				}
				out := o.Run(t.Context(), req)
				if want := "answer of " + fmt.Sprint(i); string(out.Answer) != want {
					t.Errorf("answer = %q, want %q", out.Answer, want)
				}
				outs <- out
			}()
		}
		for range 8 {
			expect(t, <-outs, cell.ResultCompleted, cell.ReasonNone)
		}
		r.check()
	})
}
