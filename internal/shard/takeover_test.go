package shard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/intent"
)

func TestTakeoverCountsWhatAlreadyRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 2, 3*time.Second)
		old := r.startOwner(1)
		outs := make(chan cell.Outcome, 12)
		for i := range 4 {
			old.Submit(request(fmt.Sprint("old", i)), func(out cell.Outcome) { outs <- out })
		}
		time.Sleep(time.Second)
		next := r.startOwner(2)
		for i := range 8 {
			next.Submit(request(fmt.Sprint("new", i)), func(out cell.Outcome) { outs <- out })
		}
		for range 12 {
			expectOutcome(t, <-outs, cell.ResultCompleted, cell.ReasonNone)
		}
		r.checkInvariants()
	})
}

// A superseded owner with queued requests is fenced at its next start and answers "not run" for what it did not start.
func TestSupersededOwnerStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 1, 2*time.Second)
		old := r.startOwner(1)
		outs := make(chan cell.Outcome, 5)
		for i := range 5 {
			old.Submit(request(fmt.Sprint(i)), func(out cell.Outcome) { outs <- out })
		}
		time.Sleep(time.Second)
		r.startOwner(2)
		results := make(map[cell.Result]int)
		done := make(map[cell.TaskID]bool)
		for range 5 {
			out := <-outs
			results[out.Result]++
			done[out.Attempt.Task] = out.Result == cell.ResultCompleted
		}
		if results[cell.ResultCompleted] != 2 || results[cell.ResultNotRun] != 3 {
			t.Errorf("results = %v, want 2 completed and 3 not_run", results)
		}
		for i := range 5 {
			r.expectStarts(fmt.Sprint(i), map[bool]int{true: 1}[done[cell.TaskID(fmt.Sprint(i))]])
		}
		r.checkInvariants()
	})
}

// A runner that restarts forgets epochs. An owner that the table no longer names must not claim it again.
func TestSupersededOwnerCannotClaimRestartedRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 1, time.Second)
		old := r.startOwner(1)
		time.Sleep(time.Second)
		r.epoch.Store(2)
		r.runner.reboot("w0", "b2")
		outs := make(chan cell.Outcome, 1)
		old.Submit(request("a"), func(out cell.Outcome) { outs <- out })
		time.Sleep(9 * time.Second)
		out := <-outs
		if out.Result != cell.ResultNotRun {
			t.Errorf("outcome = %s, want not_run", out.Result)
		}
		r.runner.update("w0", func(fw *fakeWorker) {
			if fw.epoch != 0 {
				t.Errorf("the superseded owner claimed the restarted runner with epoch %d", fw.epoch)
			}
		})
		select {
		case <-old.Stopped():
		default:
			t.Error("the superseded owner has not stopped")
		}
	})
}

// A VM list that was read before the ownership began may lack a worker that runs the task. It must not let a request that may
// have been sent before be queued.
func TestOutdatedVMListDoesNotEndRecovery(t *testing.T) {
	runWithFakeClock(t, 2, 5*time.Second, func(t *testing.T, r *fixture) {
		old := r.startOwner(1)
		old.Submit(resent(request("a")), func(cell.Outcome) {})
		time.Sleep(time.Second)
		all := r.workers
		r.workers = nil
		next := r.startOwner(2)
		for _, w := range all {
			if r.runner.running(w.ID) == 0 {
				next.SetWorkersAsOf([]cell.Worker{w}, time.Now().Add(-time.Minute))
			}
		}
		time.AfterFunc(time.Second, func() { next.SetWorkers(all) })
		expectOutcome(t, next.Run(t.Context(), resent(request("a"))), cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 1)
	})
}

// The intent exists and it is not known whether its owner dispatched the task: the request is not run.
func TestOwnerDeathBetweenIntentAndDispatch(t *testing.T) {
	runWithFakeClock(t, 1, time.Second, func(t *testing.T, r *fixture) {
		req := nonIdempotent(request("a"))
		if _, err := r.log.Acquire(t.Context(), "a", intent.Digest(req.Task), 1); err != nil {
			t.Fatal(err)
		}
		next := r.startOwner(2)
		expectOutcome(t, next.Run(t.Context(), req), cell.ResultUnknown, cell.ReasonInDoubt)
		r.expectStarts("a", 0)
	})
}

// The owner died after dispatch; the worker still has the answer, which nobody recorded.
func TestAnswerOfADeadOwnersAttemptIsFetched(t *testing.T) {
	runWithFakeClock(t, 1, time.Second, func(t *testing.T, r *fixture) {
		r.runner.update("w0", func(fw *fakeWorker) { fw.answersNoStart = true })
		old := r.startOwner(1)
		old.Submit(nonIdempotent(request("a")), func(cell.Outcome) {})
		time.Sleep(2 * time.Second)
		next := r.startOwner(2)
		expectOutcome(t, next.Run(t.Context(), nonIdempotent(request("a"))), cell.ResultCompleted, cell.ReasonNone)
		// The worker may forget the answer from here on, since the outcome is in the table.
		time.Sleep(time.Second)
		r.runner.update("w0", func(fw *fakeWorker) { fw.leases = make(map[cell.Attempt]*fakeLease) })
		last := r.startOwner(3)
		expectOutcome(t, last.Run(t.Context(), nonIdempotent(request("a"))), cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 1)
	})
}

// A task that an earlier owner started runs again with its payload, and only once every worker is claimed, since the earlier
// owner may have started the next attempt on a worker that is not claimed yet.
func TestAdoptedTaskRunsAgainOnceEveryWorkerIsClaimed(t *testing.T) {
	runWithFakeClock(t, 2, 3*time.Second, func(t *testing.T, r *fixture) {
		req := resent(request("a"))
		req.Deadline = time.Now().Add(time.Minute)
		req.Task.Payload = []byte(" with payload")
		r.runner.update("w0", func(fw *fakeWorker) { fw.failing = true })
		old := r.startOwner(1)
		old.MarkLeaving([]cell.WorkerID{"w1"})
		old.Submit(req, func(cell.Outcome) {})
		time.Sleep(time.Second)
		r.runner.update("w1", func(fw *fakeWorker) { fw.down = true })
		next := r.startOwner(2)
		time.AfterFunc(8*time.Second, func() {
			r.expectStarts("a", 1)
			r.runner.update("w1", func(fw *fakeWorker) { fw.down = false })
		})
		out := next.Run(t.Context(), req)
		expectOutcome(t, out, cell.ResultCompleted, cell.ReasonNone)
		if string(out.Answer) != "answer of a with payload" {
			t.Errorf("answer = %q", out.Answer)
		}
	})
}

// The previous owner started two attempts. The failed one is reported first, and the worker of the running one can't be
// reached.
func TestEarlierFailureDoesNotHideALaterAttempt(t *testing.T) {
	runWithFakeClock(t, 2, 8*time.Second, func(t *testing.T, r *fixture) {
		r.runner.update("w0", func(fw *fakeWorker) { fw.failing = true })
		old := r.startOwner(1)
		req := resent(request("a"))
		req.Deadline = time.Now().Add(time.Minute)
		old.Submit(req, func(cell.Outcome) {})
		time.Sleep(10 * time.Second)
		r.expectStarts("a", 2)
		r.runner.update("w1", func(fw *fakeWorker) { fw.down = true })
		next := r.startOwner(2)
		expectOutcome(t, next.Run(t.Context(), resent(request("a"))), cell.ResultUnknown, cell.ReasonRecovering)
		r.expectStarts("a", 2)
	})
}

func TestAnotherRequestDoesNotJoinAnAdoptedOne(t *testing.T) {
	runWithFakeClock(t, 1, 3*time.Second, func(t *testing.T, r *fixture) {
		old := r.startOwner(1)
		old.Submit(nonIdempotent(request("a")), func(cell.Outcome) {})
		time.Sleep(time.Second)
		next := r.startOwner(2)
		other := nonIdempotent(request("a"))
		other.Task.Payload = []byte("another request")
		expectOutcome(t, next.Run(t.Context(), other), cell.ResultNotRun, cell.ReasonDuplicateKey)
		expectOutcome(t, next.Run(t.Context(), nonIdempotent(request("a"))), cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 1)
	})
}

// TestSecondLeaseOfATaskIsStopped takes a shard over in which one task runs on two workers.
func TestSecondLeaseOfATaskIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 2, time.Hour)
		task := request("k").Task
		for i, id := range []cell.WorkerID{"w0", "w1"} {
			r.runner.update(id, func(fw *fakeWorker) {
				a := cell.Attempt{Task: task.ID, Epoch: 1, Number: cell.AttemptNumber(i + 1)}
				r.runner.startLease(fw, a, task)
			})
		}
		o := r.startOwner(2)
		time.Sleep(10 * time.Second)
		if got := r.runner.running("w0") + r.runner.running("w1"); got != 1 {
			t.Errorf("the task runs on %d workers, want 1", got)
		}
		if totals, _, _, _ := o.Status(); totals.Placed != 1 {
			t.Errorf("%d tasks count as placed, want 1", totals.Placed)
		}
	})
}
