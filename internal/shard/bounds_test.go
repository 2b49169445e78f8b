package shard

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
)

// After a worker was unreachable for longer than AttemptRetention, its tombstone does not prove that the attempt never ran.
func TestTombstoneAfterRetentionIsNoProof(t *testing.T) {
	runWithFakeClock(t, 1, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		time.Sleep(6 * time.Second)
		outs := make(chan cell.Outcome, 1)
		req := request("a")
		req.Deadline = time.Time{}
		o.Submit(req, func(out cell.Outcome) { outs <- out })
		time.Sleep(500 * time.Millisecond)
		r.runner.update("w0", func(fw *fakeWorker) { fw.down = true })
		time.Sleep(90 * time.Second)
		o.Cancel([]cell.TaskID{"a"})
		r.runner.update("w0", func(fw *fakeWorker) { fw.down, fw.leases = false, make(map[cell.Attempt]*fakeLease) })
		if out := <-outs; out.Result == cell.ResultNotRun {
			t.Errorf("outcome = %s (%s) of a task that ran", out.Result, out.Reason)
		}
		r.expectStarts("a", 1)
	})
}

// gangTask returns the request for one member of a gang of three.
func gangTask(i int) Request {
	req := request(fmt.Sprint("g", i))
	req.Deadline = time.Time{}
	req.Task.Kind, req.Task.Job, req.Task.GangSize = cell.KindGang, "gang", 3
	return req
}

func TestGangStartsAgainTogether(t *testing.T) {
	runWithFakeClock(t, 4, 3*time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		r.runner.update("w0", func(fw *fakeWorker) { fw.refusing = true })
		r.runner.update("w1", func(fw *fakeWorker) { fw.lostStarts = 1 })
		outs := make(chan cell.Outcome, 3)
		for i := range 3 {
			o.Submit(gangTask(i), func(out cell.Outcome) { outs <- out })
		}
		starts := make(map[time.Time]int)
		for range 3 {
			out := <-outs
			expectOutcome(t, out, cell.ResultCompleted, cell.ReasonNone)
			starts[time.Now()]++
		}
		if len(starts) != 1 {
			t.Errorf("the members ended at %d different times, want one", len(starts))
		}
	})
}

func TestBadWorkerIsEjectedAndProbed(t *testing.T) {
	runWithFakeClock(t, 4, 100*time.Millisecond, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		bad := cell.WorkerID("w0")
		r.runner.update(bad, func(fw *fakeWorker) { fw.failing = true })
		run := func(from, n int) (onBad int) {
			for i := range n {
				if out := o.Run(t.Context(), nonIdempotent(request(fmt.Sprint(from+i)))); out.Worker == bad {
					onBad++
				}
			}
			return onBad
		}
		if got := run(0, 40); got != ejectAfterFailures {
			t.Errorf("%d tasks ran on the failing worker before it was ejected, want %d", got, ejectAfterFailures)
		}
		time.Sleep(initialEjectionTime)
		if got := run(100, 40); got != 1 {
			t.Errorf("%d tasks probed the failing worker, want 1", got)
		}
		r.runner.update(bad, func(fw *fakeWorker) { fw.failing = false })
		time.Sleep(2 * initialEjectionTime)
		if got := run(200, 40); got < 2 {
			t.Errorf("%d tasks ran on the worker after it recovered, want at least 2", got)
		}
	})
}

func TestEjectionIsCappedAndIgnoresPoisonTasks(t *testing.T) {
	h := newHealthTracker()
	now := time.Unix(0, 0)
	pool := func(string) int { return 8 }
	worker := func(i int) cell.Worker { return cell.Worker{ID: cell.WorkerID(fmt.Sprint("w", i))} }
	for i := range 8 {
		for j := range ejectAfterFailures {
			h.recordResult(now, worker(i), "poison", false, pool)
			h.recordResult(now, worker(i), fmt.Sprint(i, "/", j), false, pool)
		}
	}
	if got := h.ejectedCount(""); got != 2 {
		t.Errorf("%d of 8 workers ejected, want 2", got)
	}
	h.startDueProbes(now.Add(initialEjectionTime))
	if !h.countPlacement("w0") || h.countPlacement("w0") {
		t.Error("a worker that is being probed did not get exactly one task")
	}
	h = newHealthTracker()
	for j := range ejectAfterFailures {
		for i := range 8 {
			h.recordResult(now, worker(i), fmt.Sprint("poison", j), false, pool)
		}
	}
	if got := h.ejectedCount(""); got != 0 {
		t.Errorf("%d workers ejected for tasks that fail everywhere, want none", got)
	}
}

func TestPoisonTaskIsGivenUp(t *testing.T) {
	runWithFakeClock(t, 5, 100*time.Millisecond, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		for _, w := range r.workers {
			r.runner.update(w.ID, func(fw *fakeWorker) { fw.failing = true })
		}
		expectOutcome(t, o.Run(t.Context(), request("a")), cell.ResultFailed, cell.ReasonTaskFailed)
		r.expectStarts("a", poisonThreshold)
	})
}

func TestRetriesKeepToTheirBudget(t *testing.T) {
	b := newRetryBudget(time.Unix(0, 0))
	spent := 0
	for range 10_000 {
		b.earn()
		if b.spend(time.Unix(0, 0)) {
			spent++
		}
	}
	if limit := 10_000*retriesPerPlacement + maxRetryTokens; float64(spent) > limit {
		t.Errorf("%d retries of 10000 placements, want at most %v", spent, limit)
	}
}

// Many cancellations are handled in batches, between which other events are handled.
func TestCancellationWaveDoesNotStallPlacement(t *testing.T) {
	runWithFakeClock(t, 1, time.Hour, func(t *testing.T, r *fixture) {
		doc := *r.doc.Load()
		doc.Version, doc.Document.MaxQueuedPerShard = 2, 1_000_000
		r.doc.Store(&doc)
		o := r.startOwner(1)
		const taskCount = 100_000
		ids := make([]cell.TaskID, taskCount)
		done := make(chan cell.Outcome, taskCount)
		for i := range taskCount {
			req := request(fmt.Sprint(i))
			req.Task.Claim.Accelerators = 0
			req.Task.Class = cell.ClassBatch
			req.Deadline = time.Time{}
			ids[i] = req.Task.ID
			o.Submit(req, func(out cell.Outcome) { done <- out })
		}
		time.Sleep(time.Second)
		c := o.loop
		rounds := make(chan int, 1)
		c.events.post(&countRounds{limit: cancelBatchSize, out: rounds})
		if n := o.Cancel(ids); n != taskCount {
			t.Errorf("cancelled %d, want %d", n, taskCount)
		}
		for range taskCount {
			if out := <-done; out.Result != cell.ResultNotRun && out.Result != cell.ResultFailed {
				t.Errorf("outcome = %s (%s)", out.Result, out.Reason)
			}
		}
		if got := <-rounds; got < taskCount/cancelBatchSize-1 {
			t.Errorf("another event was handled %d times during the cancellations, want about %d", got, taskCount/cancelBatchSize)
		}
	})
}

// countRounds posts itself until at most limit entries are left, and counts how often it was handled before.
type countRounds struct {
	limit, turns int
	out          chan int
}

func (ev *countRounds) apply(c *controlLoop) {
	if len(c.entries) > ev.limit {
		ev.turns++
		c.events.post(ev)
		return
	}
	ev.out <- ev.turns
}

// On a cell full of stoppable work, urgent work starts within its bound, and the outcome of the stopped work is "preempted".
func TestUrgentWorkPreemptsStoppableWork(t *testing.T) {
	runWithFakeClock(t, 1, time.Minute, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		outs := make(chan cell.Outcome, 2)
		for i := range 2 {
			req := request(fmt.Sprint("batch", i))
			req.Task.Kind, req.Task.Class, req.Task.Stoppable, req.Task.Job = cell.KindBatch, cell.ClassBatch, true, "night"
			req.Deadline = time.Time{}
			o.Submit(req, func(out cell.Outcome) { outs <- out })
		}
		time.Sleep(5 * time.Second)
		urgent := request("urgent")
		urgent.Task.Class = cell.ClassUrgent
		urgent.Deadline = time.Time{}
		out := o.Run(t.Context(), urgent)
		expectOutcome(t, out, cell.ResultCompleted, cell.ReasonNone)
		if limit := r.doc.Load().Document.UrgentWait(); out.Waited > limit {
			t.Errorf("waited %v, want at most %v", out.Waited, limit)
		}
		expectOutcome(t, <-outs, cell.ResultFailed, cell.ReasonPreempted)
	})
}

// The tasks of a service are moved off a leaving worker one at a time, each after the replacement of the previous one runs.
func TestServiceLeavesItsWorkerTaskByTask(t *testing.T) {
	runWithFakeClock(t, 3, time.Hour, func(t *testing.T, r *fixture) {
		all := r.workers
		r.workers = all[:1]
		o := r.startOwner(1)
		var mu sync.Mutex
		lowest := 2
		var submit func(id string)
		submit = func(id string) {
			req := resent(request(id))
			req.Deadline = time.Time{}
			req.Task.Kind, req.Task.Class, req.Task.Job = cell.KindService, cell.ClassService, "feed"
			o.Submit(req, func(out cell.Outcome) {
				running := r.runner.running("w0") + r.runner.running("w1") + r.runner.running("w2")
				mu.Lock()
				lowest = min(lowest, running)
				mu.Unlock()
				if out.Reason.Code == cell.ReasonDraining {
					time.AfterFunc(time.Second, func() { submit(id) })
				}
			})
		}
		submit("feed0")
		submit("feed1")
		time.Sleep(time.Second)
		o.SetWorkers(all)
		time.Sleep(time.Second)
		o.MarkLeaving([]cell.WorkerID{"w0"})
		time.Sleep(30 * time.Second)
		if got := r.runner.running("w0"); got != 0 {
			t.Errorf("%d tasks are still on the leaving worker, want none", got)
		}
		mu.Lock()
		defer mu.Unlock()
		if lowest != 1 {
			t.Errorf("the lowest number of running tasks was %d, want 1", lowest)
		}
	})
}
