package dispatch

import "testing"

// A worker has more ended runs than a report holds, and the new owner knows only the first of them. A task whose end may be among
// the others is not started again.
func TestWorkerWithUnreportedEndsIsStillAwaited(t *testing.T) {
	c := newFixture(t, 2)
	a, b := c.addWorker("a", 1000), c.addWorker("b", 1000)
	c.AwaitReport(a, "p")
	c.AwaitReport(b, "p")
	c.HandleReport(b, c.virtualTime, Report{})
	j := c.addJob("j", true, plainStep(2))
	first := endedReport(1, runKey(j, 0, 0, 1), RunDone)
	first.Partial = true
	c.HandleReport(a, c.virtualTime, first)
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Fatalf("started %v, whose end the worker has not reported yet", starts)
	}
	c.HandleReport(a, c.virtualTime, endedReport(2, runKey(j, 0, 1, 1), RunDone))
	if state, _ := c.JobState(j); state != "completed" {
		t.Errorf("job is %s, want completed", state)
	}
}
