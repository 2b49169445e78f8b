package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// Guards against jobs that use up their attempts on a few workers that fail whatever they start: six of 252 do so within 10 ms for six
// seconds, beside wide jobs of three attempts and quick ones, at loads from moderate to nearly full.
func TestFewFailingWorkersFailHardlyAnyJob(t *testing.T) {
	const (
		maxFailedShare = 0.01
		// maxRepeatedShare bounds the failed runs that were started on the worker on which their task had failed before.
		maxRepeatedShare = 0.01
	)
	wideJobs, failedJobs, failedRuns, repeated := 0, 0, 0, 0
	for _, share := range []float64{0.6, 0.8, 0.95} {
		for seed := range uint64(4) {
			c := newUnevenCell(t, seed, 252, false, unevenLoad{share: share, failures: 0.01, wideWidth: 50, wideAttempts: 3})
			c.badWorkers(6, func(w *unevenWorker) {
				w.failing = func(age time.Duration) bool { return age > 10*time.Second && age < 16*time.Second }
			})
			c.run(0, 22*time.Second)
			wideJobs += c.jobs - c.quick
			failedJobs += c.failedJobs
			repeated += c.failedAgain
			for _, n := range c.failedOn {
				failedRuns += n
			}
		}
	}
	t.Logf("%d of %d wide jobs failed, %d of %d failed runs on the worker of the last attempt", failedJobs, wideJobs, repeated, failedRuns)
	if float64(failedJobs) > maxFailedShare*float64(wideJobs) {
		t.Errorf("%d of %d wide jobs failed, want at most a share of %.2f", failedJobs, wideJobs, maxFailedShare)
	}
	if float64(repeated) > maxRepeatedShare*float64(failedRuns) {
		t.Errorf("%d of %d failed runs were on the worker of the last attempt, want at most a share of %.2f", repeated, failedRuns, maxRepeatedShare)
	}
}

// failRun reports that a run has failed.
func (c *fixture) failRun(s Start, sequence uint64) {
	c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	report := endedReport(sequence, s.RunKey, RunFailed)
	report.Partial = true
	c.HandleReport(s.Worker, c.virtualTime, report)
}

// startOne plans and returns the only start.
func (c *fixture) startOne() Start {
	c.t.Helper()
	starts, _, _ := c.planByKind()
	if len(starts) != 1 {
		c.t.Fatalf("starts %v, want one", starts)
	}
	c.HandleStartOutcome(starts[0].Worker, starts[0].RunKey, Started)
	return starts[0]
}

// Guards against attempts that are used up at once on a failing worker, which is the only one with room.
func TestFailedTaskWaitsForAnotherWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.addWorker("a", 100)
	c.addWorker("b", 100)
	c.addJob("blocker", false, plainStep(1))
	blocker := c.startOne()
	c.addJob("j", false, plainStep(1))
	failed := c.startOne()
	c.failRun(failed, 1)
	c.advance(avoidanceTime / 2)
	if starts, _, _ := c.planByKind(); len(starts) > 0 {
		t.Fatalf("started on %s while it is avoided", starts[0].Worker)
	}
	c.HandleReport(blocker.Worker, c.virtualTime, endedReport(1, blocker.RunKey, RunDone))
	if next := c.startOne(); next.Worker == failed.Worker {
		t.Errorf("started again on %s though the other worker has room", next.Worker)
	}
}

func TestAvoidanceEnds(t *testing.T) {
	c := newFixture(t, 1)
	c.addWorker("a", 100)
	c.addWorker("b", 100)
	c.addJob("blocker", false, plainStep(1))
	c.startOne()
	c.addJob("j", false, plainStep(1))
	failed := c.startOne()
	c.failRun(failed, 1)
	c.advance(avoidanceTime)
	if next := c.startOne(); next.Worker != failed.Worker {
		t.Errorf("started on %s, want %s", next.Worker, failed.Worker)
	}
}

// A task that fails wherever it runs must fail soon: it does not wait for a worker that can't run it.
func TestFailedTaskIsRetriedAtOnceOnTheOnlySuitableWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.addWorker("a", 100)
	c.addWorker("too-small", 10)
	j := c.addJob("j", false, plainStep(1))
	for n := range uint64(plainQueue.MaxAttempts) {
		c.failRun(c.startOne(), n+1)
	}
	c.wantState(j, graph.Failed)
}

// Guards against a long-running task that is started over and over on an ejected worker that fails it at once.
func TestLongRunningTaskAvoidsAWorkerThatFailedIt(t *testing.T) {
	c, bad := ejectedFixture(t)
	c.startWorkers("full", plainStep(9), 2)
	lasting := plainStep(1)
	lasting.LongRunning = true
	c.addJob("lasting", false, lasting)
	failed := c.startOne()
	if failed.Worker != bad.ID {
		t.Fatalf("started on %s, want the only worker with room", failed.Worker)
	}
	c.failRun(failed, 1)
	c.advance(avoidanceTime / 2)
	if starts, _, _ := c.planByKind(); len(starts) > 0 {
		t.Errorf("started again on %s while it is avoided", starts[0].Worker)
	}
}

// Guards against an ejected worker that still takes tasks in a full pool, since its failures are few beside the runs it had done before.
func TestWorkerThatTurnedBadGetsNoTasksOnceEjected(t *testing.T) {
	c := newFixture(t, 1)
	for i := range 10 {
		c.addWorker(fmt.Sprint("w", i), 100)
	}
	c.planByKind()
	w := c.workers["w0"]
	for range 20 {
		w.health.rate.add(c.now, false)
	}
	for range 3 {
		w.health.rate.add(c.now, true)
		c.countFailure(w)
	}
	c.eject(w)
	if on := c.startWorkers("full", plainStep(10), 2); len(on) != 9 || slices.Contains(on, w.ID) {
		t.Errorf("starts on %v, want one on each worker but the ejected one", on)
	}
}
