package shard

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/standin"
)

// runWithFakeClock runs a test on a fake clock with that many workers, on which a task runs for runTime.
func runWithFakeClock(t *testing.T, workers int, runTime time.Duration, f func(t *testing.T, r *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, workers, runTime)
		f(t, r)
		r.checkInvariants()
	})
}

func (r *fixture) startsOf(id string) int {
	r.runner.mu.Lock()
	defer r.runner.mu.Unlock()
	return r.runner.starts[cell.TaskID(id)]
}

// expectStarts fails the test unless so many attempts of a task were started.
func (r *fixture) expectStarts(id string, want int) {
	r.t.Helper()
	if got := r.startsOf(id); got != want {
		r.t.Errorf("task %s started %d times, want %d", id, got, want)
	}
}

func TestLostStartIsResolvedAndTriedElsewhere(t *testing.T) {
	runWithFakeClock(t, 2, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		r.runner.update("w0", func(fw *fakeWorker) { fw.lostStarts = 2 })
		expectOutcome(t, o.Run(t.Context(), request("a")), cell.ResultCompleted, cell.ReasonNone)
		expectOutcome(t, o.Run(t.Context(), nonIdempotent(request("b"))), cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 1)
		r.expectStarts("b", 1)
	})
}

func TestLostAnswerIsFetchedAndTheTaskNotRunAgain(t *testing.T) {
	runWithFakeClock(t, 2, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		r.runner.update("w0", func(fw *fakeWorker) { fw.lostAnswers = 1 })
		out := o.Run(t.Context(), nonIdempotent(request("a")))
		expectOutcome(t, out, cell.ResultCompleted, cell.ReasonNone)
		if string(out.Answer) != "answer of a" {
			t.Errorf("answer = %q", out.Answer)
		}
		r.expectStarts("a", 1)
	})
}

func TestStalledConnectionIsFoundByReports(t *testing.T) {
	runWithFakeClock(t, 1, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		r.runner.update("w0", func(fw *fakeWorker) { fw.answersNoStart = true })
		long := nonIdempotent(request("a"))
		long.Deadline = time.Now().Add(time.Minute)
		expectOutcome(t, o.Run(t.Context(), long), cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 1)
	})
}

func TestUnreachableWorkerLeavesNonIdempotentUnknown(t *testing.T) {
	runWithFakeClock(t, 2, 2*time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		time.AfterFunc(time.Second, func() { r.runner.update("w0", func(fw *fakeWorker) { fw.down = true }) })
		expectOutcome(t, o.Run(t.Context(), nonIdempotent(request("a"))), cell.ResultUnknown, cell.ReasonInDoubt)
		expectOutcome(t, o.Run(t.Context(), nonIdempotent(request("a"))), cell.ResultUnknown, cell.ReasonInDoubt)
		r.expectStarts("a", 1)
	})
}

func TestIdempotentTaskRunsAgainOnlyOnceItsWorkerIsRemoved(t *testing.T) {
	runWithFakeClock(t, 2, 2*time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		time.AfterFunc(time.Second, func() { r.runner.update("w0", func(fw *fakeWorker) { fw.down = true }) })
		time.AfterFunc(6*time.Second, func() {
			r.expectStarts("a", 1)
			r.removeWorker("w0")
			o.SetWorkers(r.workers)
		})
		expectOutcome(t, o.Run(t.Context(), request("a")), cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 2)
	})
}

// removeWorker ends a worker VM and takes it off the VM list.
func (r *fixture) removeWorker(id cell.WorkerID) {
	r.runner.reboot(id, "gone")
	r.runner.update(id, func(fw *fakeWorker) { fw.down = true })
	kept := r.workers[:0:0]
	for _, w := range r.workers {
		if w.ID != id {
			kept = append(kept, w)
		}
	}
	r.workers = kept
}

func TestRestartedRunnerEndsItsLeases(t *testing.T) {
	runWithFakeClock(t, 1, 4*time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		time.AfterFunc(time.Second, func() { r.runner.reboot("w0", "b2") })
		outs := make(chan cell.Outcome, 1)
		o.Submit(nonIdempotent(request("b")), func(out cell.Outcome) { outs <- out })
		long := request("a")
		long.Deadline = time.Now().Add(time.Minute)
		expectOutcome(t, o.Run(t.Context(), long), cell.ResultCompleted, cell.ReasonNone)
		expectOutcome(t, <-outs, cell.ResultUnknown, cell.ReasonWorkerLost)
		r.expectStarts("b", 1)
	})
}

// A tombstone that a restarted runner leaves does not show what ran before the restart.
func TestTombstoneOfAnotherBootIsNoProof(t *testing.T) {
	runWithFakeClock(t, 1, 4*time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		r.runner.update("w0", func(fw *fakeWorker) { fw.answersNoStart = true })
		time.AfterFunc(time.Second, func() {
			r.runner.reboot("w0", "b2")
			o.Cancel([]cell.TaskID{"a"})
		})
		out := o.Run(t.Context(), request("a"))
		if out.Result == cell.ResultNotRun {
			t.Errorf("outcome = %s (%s) of a task that ran", out.Result, out.Reason)
		}
		r.expectStarts("a", 1)
	})
}

// What runs on an unreachable worker still takes its capacity, so that a worker that comes back is not overloaded.
func TestUnreachableWorkerStaysCounted(t *testing.T) {
	runWithFakeClock(t, 1, 30*time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		outs := make(chan cell.Outcome, 4)
		for i := range 4 {
			if i == 2 {
				time.Sleep(time.Second)
				r.runner.update("w0", func(fw *fakeWorker) { fw.down = true })
				time.Sleep(9 * time.Second)
				r.runner.update("w0", func(fw *fakeWorker) { fw.down = false })
			}
			req := request(fmt.Sprint(i))
			req.Deadline = time.Time{}
			o.Submit(req, func(out cell.Outcome) { outs <- out })
		}
		for range 4 {
			expectOutcome(t, <-outs, cell.ResultCompleted, cell.ReasonNone)
		}
	})
}

func TestDeadlineTellsQueuedFromRunning(t *testing.T) {
	runWithFakeClock(t, 1, time.Minute, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		outs := make(chan cell.Outcome, 3)
		for i := range 3 {
			o.Submit(request(fmt.Sprint(i)), func(out cell.Outcome) { outs <- out })
		}
		for range 3 {
			out := <-outs
			if out.Result == cell.ResultNotRun {
				r.expectStarts(string(out.Attempt.Task), 0)
				expectOutcome(t, out, cell.ResultNotRun, cell.ReasonDeadline)
				continue
			}
			expectOutcome(t, out, cell.ResultUnknown, cell.ReasonDeadline)
		}
		time.Sleep(time.Second)
		r.runner.mu.Lock()
		defer r.runner.mu.Unlock()
		if r.runner.stops != 2 {
			t.Errorf("%d attempts that no caller waits for were stopped, want 2", r.runner.stops)
		}
	})
}

func TestCancelRacingStart(t *testing.T) {
	for variant := range 4 {
		runWithFakeClock(t, 1, time.Second, func(t *testing.T, r *fixture) {
			o := r.startOwner(1)
			time.Sleep(time.Second)
			r.runner.update("w0", func(fw *fakeWorker) { fw.lostStarts = variant % 2 })
			outs := make(chan cell.Outcome, 1)
			o.Submit(request("a"), func(out cell.Outcome) { outs <- out })
			time.Sleep(time.Duration(variant/2) * time.Millisecond)
			if n := o.Cancel([]cell.TaskID{"a", "absent"}); n > 1 {
				t.Errorf("cancelled %d tasks, want at most 1", n)
			}
			out := <-outs
			r.runner.mu.Lock()
			defer r.runner.mu.Unlock()
			if started := r.runner.starts["a"] > 0; started == (out.Result == cell.ResultNotRun) {
				t.Errorf("variant %d: outcome = %s (%s), started = %v", variant, out.Result, out.Reason, started)
			}
		})
	}
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	runWithFakeClock(t, 2, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		time.Sleep(time.Second)
		o.MarkLeaving([]cell.WorkerID{"w0"})
		for i := range 4 {
			if out := o.Run(t.Context(), request(fmt.Sprint(i))); out.Worker != "w1" {
				t.Errorf("task ran on %q, want w1", out.Worker)
			}
		}
	})
}

func TestReleaseLosesNothingInFlight(t *testing.T) {
	runWithFakeClock(t, 1, 3*time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		outs := make(chan cell.Outcome, 5)
		for i := range 4 {
			o.Submit(request(fmt.Sprint(i)), func(out cell.Outcome) { outs <- out })
		}
		o.Submit(nonIdempotent(request("once")), func(out cell.Outcome) { outs <- out })
		time.Sleep(time.Second)
		start := time.Now()
		o.Release(t.Context())
		results := make(map[cell.Result]int)
		for range 5 {
			out := <-outs
			results[out.Result]++
			if out.Result == cell.ResultNotRun && (out.Reason.Code != cell.ReasonDraining || out.RetryAfter == 0) {
				t.Errorf("reason = %s, retry after %v; want draining and a time to retry after", out.Reason, out.RetryAfter)
			}
		}
		if results[cell.ResultCompleted] != 2 || results[cell.ResultNotRun] != 3 {
			t.Errorf("results = %v after %v, want 2 completed and 3 not_run", results, time.Since(start))
		}
		// The next owner may run a request that was answered "not run", also a non-idempotent one.
		next := r.startOwner(2)
		expectOutcome(t, next.Run(t.Context(), nonIdempotent(request("once"))), cell.ResultCompleted, cell.ReasonNone)
	})
}

func TestResentRequestWaitsForEveryWorker(t *testing.T) {
	runWithFakeClock(t, 2, time.Second, func(t *testing.T, r *fixture) {
		r.runner.update("w1", func(fw *fakeWorker) { fw.down = true })
		o := r.startOwner(1)
		expectOutcome(t, o.Run(t.Context(), request("fresh")), cell.ResultCompleted, cell.ReasonNone)
		expectOutcome(t, o.Run(t.Context(), resent(request("keyed"))), cell.ResultUnknown, cell.ReasonRecovering)
		r.expectStarts("keyed", 0)
		time.AfterFunc(time.Second, func() {
			r.removeWorker("w1")
			o.SetWorkers(r.workers)
		})
		expectOutcome(t, o.Run(t.Context(), resent(request("keyed"))), cell.ResultCompleted, cell.ReasonNone)
	})
}

func TestResentRequestJoinsTheEarlierOwnersAttempt(t *testing.T) {
	runWithFakeClock(t, 2, 3*time.Second, func(t *testing.T, r *fixture) {
		old := r.startOwner(1)
		outs := make(chan cell.Outcome, 4)
		for _, req := range []Request{resent(request("a")), nonIdempotent(request("b"))} {
			old.Submit(req, func(out cell.Outcome) { outs <- out })
		}
		time.Sleep(time.Second)
		next := r.startOwner(2)
		for _, req := range []Request{resent(request("a")), nonIdempotent(request("b"))} {
			next.Submit(req, func(out cell.Outcome) { outs <- out })
		}
		for range 4 {
			expectOutcome(t, <-outs, cell.ResultCompleted, cell.ReasonNone)
		}
		last := r.startOwner(3)
		time.Sleep(time.Second)
		expectOutcome(t, last.Run(t.Context(), nonIdempotent(request("b"))), cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 1)
		r.expectStarts("b", 1)
	})
}

func TestTableDownRefusesOnlyNonIdempotentWork(t *testing.T) {
	runWithFakeClock(t, 1, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		time.Sleep(time.Second)
		r.table.SetFaults(standin.TableFaults{Down: true})
		// A request that may have been sent before may have run, which only the table can tell.
		for maybeResent, want := range map[bool]cell.Result{false: cell.ResultNotRun, true: cell.ResultUnknown} {
			again := nonIdempotent(request("a"))
			again.MaybeResent = maybeResent
			out := o.Run(t.Context(), again)
			expectOutcome(t, out, want, cell.ReasonStoreUnavailable)
			if out.RetryAfter == 0 {
				t.Error("the outcome has no time to retry after")
			}
		}
		expectOutcome(t, o.Run(t.Context(), request("b")), cell.ResultCompleted, cell.ReasonNone)
		r.table.SetFaults(standin.TableFaults{})
		expectOutcome(t, o.Run(t.Context(), nonIdempotent(request("a"))), cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 1)
	})
}

func TestStaleConfigurationStopsPlacement(t *testing.T) {
	runWithFakeClock(t, 1, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		time.Sleep(time.Second)
		r.stale.Store(true)
		expectOutcome(t, o.Run(t.Context(), request("a")), cell.ResultNotRun, cell.ReasonConfigStale)
		time.AfterFunc(time.Second, func() { r.stale.Store(false) })
		expectOutcome(t, o.Run(t.Context(), request("a")), cell.ResultCompleted, cell.ReasonNone)
	})
}

func TestSecondSubmitJoinsTheFirst(t *testing.T) {
	runWithFakeClock(t, 1, time.Second, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		outs := make(chan cell.Outcome, 3)
		other := request("a")
		other.Task.Payload = []byte("another request")
		for _, req := range []Request{request("a"), resent(request("a")), other} {
			o.Submit(req, func(out cell.Outcome) { outs <- out })
		}
		expectOutcome(t, <-outs, cell.ResultNotRun, cell.ReasonDuplicateKey)
		expectOutcome(t, <-outs, cell.ResultCompleted, cell.ReasonNone)
		expectOutcome(t, <-outs, cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", 1)
	})
}

// Guards against a task that crashes each worker that starts it being started again without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	runWithFakeClock(t, 4, time.Minute, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		var answered atomic.Bool
		var rebooting sync.WaitGroup
		rebooting.Go(func() {
			for boot := 2; !answered.Load(); boot++ {
				time.Sleep(500 * time.Millisecond)
				for _, w := range r.workers {
					if r.runner.running(w.ID) > 0 {
						r.runner.reboot(w.ID, fmt.Sprint("b", boot))
					}
				}
			}
		})
		long := request("a")
		long.Deadline = time.Now().Add(10 * time.Minute)
		out := o.Run(t.Context(), long)
		answered.Store(true)
		rebooting.Wait()
		expectOutcome(t, out, cell.ResultUnknown, cell.ReasonGivenUp)
		if out.RetryAfter != 0 {
			t.Errorf("the caller is told to come back after %s, want never", out.RetryAfter)
		}
		r.expectStarts("a", poisonThreshold)
	})
}

// Guards against a task being given up for attempts that ended on workers that live on: answers were lost, not workers.
func TestLostAnswersOfLivingWorkersGiveUpNoTask(t *testing.T) {
	runWithFakeClock(t, 4, time.Second, func(t *testing.T, r *fixture) {
		const lost = 2 * poisonThreshold
		o := r.startOwner(1)
		setForgetful := func(forgetful bool) {
			for _, w := range r.workers {
				r.runner.update(w.ID, func(fw *fakeWorker) {
					fw.forgetsAnswers, fw.lostAnswers = forgetful, 0
					if forgetful {
						fw.lostAnswers = lost
					}
				})
			}
		}
		setForgetful(true)
		var answered atomic.Bool
		var watching sync.WaitGroup
		watching.Go(func() {
			for !answered.Load() {
				time.Sleep(100 * time.Millisecond)
				if r.startsOf("a") >= lost {
					setForgetful(false)
				}
			}
		})
		long := request("a")
		long.Deadline = time.Now().Add(10 * time.Minute)
		out := o.Run(t.Context(), long)
		answered.Store(true)
		watching.Wait()
		expectOutcome(t, out, cell.ResultCompleted, cell.ReasonNone)
	})
}

// Guards against a task being given up for VMs that were taken away as announced.
func TestAnnouncedDeparturesGiveUpNoTask(t *testing.T) {
	runWithFakeClock(t, poisonThreshold+1, time.Minute, func(t *testing.T, r *fixture) {
		o := r.startOwner(1)
		var leaving sync.WaitGroup
		leaving.Go(func() {
			for range poisonThreshold {
				time.Sleep(10 * time.Second)
				for _, w := range r.workers {
					if r.runner.running(w.ID) > 0 {
						o.MarkLeaving([]cell.WorkerID{w.ID})
						time.Sleep(time.Second)
						r.removeWorker(w.ID)
						o.SetWorkers(r.workers)
						break
					}
				}
			}
		})
		long := request("a")
		long.Deadline = time.Now().Add(10 * time.Minute)
		out := o.Run(t.Context(), long)
		leaving.Wait()
		expectOutcome(t, out, cell.ResultCompleted, cell.ReasonNone)
		r.expectStarts("a", poisonThreshold+1)
	})
}
