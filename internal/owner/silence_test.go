package owner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
)

// lapsingClient is a worker that can be cut off. It then ends its runs as its lease expires, and lives on.
type lapsingClient struct {
	WorkerClient
	mu        sync.Mutex
	cut       bool
	startedAt time.Time
	leaseEnd  time.Duration
	running   map[dispatch.RunKey]struct{}
	ended     []dispatch.EndedEntry
	// lapsed counts the runs that ended with the lease.
	lapsed int
}

// receive reports whether a call arrives, and applies its lease; the caller holds mu.
func (w *lapsingClient) receive(deadline time.Duration) bool {
	if w.cut {
		return false
	}
	if clock := time.Since(w.startedAt); w.leaseEnd < clock {
		for key := range w.running {
			w.lapsed++
			w.ended = append(w.ended, dispatch.EndedEntry{Sequence: uint64(w.lapsed), RunKey: key, End: dispatch.RunInterrupted})
		}
		clear(w.running)
	}
	w.leaseEnd = max(w.leaseEnd, deadline)
	return true
}

func (w *lapsingClient) Start(ctx context.Context, _ dispatch.Worker, call StartCall) (dispatch.StartOutcome, error) {
	w.mu.Lock()
	arrives := w.receive(call.Deadline)
	if arrives {
		w.running[call.RunKey] = struct{}{}
	}
	w.mu.Unlock()
	if !arrives {
		<-ctx.Done()
		return dispatch.StartInDoubt, ErrNoAnswer
	}
	return dispatch.Started, nil
}

func (w *lapsingClient) Hold(ctx context.Context, _ dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	time.Sleep(max(call.Wait, time.Millisecond))
	w.mu.Lock()
	arrives := w.receive(call.Deadline)
	report := dispatch.Report{Ended: slices.Clone(w.ended)}
	for key := range maps.Keys(w.running) {
		report.Running = append(report.Running, dispatch.RunningEntry{RunKey: key})
	}
	w.mu.Unlock()
	if !arrives {
		<-ctx.Done()
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	return report, time.Since(w.startedAt), nil
}

func (w *lapsingClient) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// Guards against a long-running job being failed since its worker could not be heard again and again: each time the worker ended the run
// itself as its lease expired, and lived on.
func TestJobOfAWorkerThatIsCutOffAgainAndAgainGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cuts = 2 * (dispatch.DefaultMaxCrashes + 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		worker := &lapsingClient{startedAt: time.Now(), running: make(map[dispatch.RunKey]struct{})}
		c := newTestController(ctx, worker)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addWorkerConn(testWorker, false)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}, LongRunning: true}}}
		c.engine.AddJob(dispatch.JobInput{ID: "j", Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Spec: spec, ArrivedAt: c.now()})
		check := func() {
			if state, _ := c.engine.JobState("j"); state.Ended() {
				t.Fatalf("the job is %s after %d runs whose lease expired", state, worker.lapsed)
			}
		}
		for range cuts {
			runLoop(c, 3*time.Second, check)
			worker.setCut(true)
			runLoop(c, c.workerLeaseDuration()+holdWait+holdTimeout+time.Second, check)
			worker.setCut(false)
		}
		runLoop(c, 3*time.Second, check)
		if worker.lapsed != cuts || len(worker.running) != 1 {
			t.Errorf("%d runs ended with their lease and %d run, want %d and 1", worker.lapsed, len(worker.running), cuts)
		}
		cancel()
		time.Sleep(holdWait + holdTimeout)
		synctest.Wait()
	})
}
