package dispatch

import (
	"testing"

	"laburnumpoint/internal/graph"
)

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
