package dispatch

import (
	"testing"
	"time"
)

// Guards against a task running in two places after a takeover: one list of a worker of the earlier owner that lacked a run, since it was composed
// a little before the answer or while the run moved between the lists, let the task start again at once.
func TestAwaitedWorkerIsNotSettledByASingleReport(t *testing.T) {
	c := newFixture(t, 2)
	a, b := c.addWorker("a", 100), c.addWorker("b", 100)
	c.advance(time.Second)
	c.AwaitReport(a, "p")
	c.AwaitReport(b, "p")
	j := c.addJob("j", true, plainStep(1))
	c.HandleReport(b, c.virtualTime, Report{})
	c.HandleReport(a, c.virtualTime, Report{})
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Fatalf("%v start by one report without them", starts)
	}
	c.advance(minUnlistedTime)
	for _, w := range []WorkerID{a, b} {
		c.HandleReport(w, c.virtualTime, Report{})
	}
	if starts, _, _ := c.planByKind(); len(starts) != 1 {
		t.Errorf("%d tasks of job %s start by two reports that lie apart, want one", len(starts), j)
	}
}

// Guards against a task running in two places: the next process of a worker carried out a start, and its first list lacked the run, since it was
// composed a little before the answer.
func TestRunOfTheNextProcessOutlivesASingleReportWithoutIt(t *testing.T) {
	c := newFixture(t, 1)
	w := c.addWorker("w", 100)
	c.advance(time.Second)
	c.addJob("j", false, plainStep(1))
	aliveAt := c.virtualTime
	c.advance(time.Millisecond)
	c.startConfirmed(w)
	if given := c.HandleRestart(w, WorkerCrashed, aliveAt); len(given) != 0 {
		t.Fatalf("%v given up by the restart, want none", given)
	}
	c.advance(time.Millisecond)
	if given := c.HandleReport(w, c.virtualTime, Report{ProcessStart: 2}); len(given) != 0 {
		t.Errorf("%v given up by one report without it", given)
	}
	c.advance(minUnlistedTime)
	if given := c.HandleReport(w, c.virtualTime, Report{ProcessStart: 2}); len(given) != 1 {
		t.Errorf("%v given up by a second report that lies apart, want the run", given)
	}
}
