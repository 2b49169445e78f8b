package dispatch

import "testing"

// A worker has more ends to tell than an answer holds, and the new owner has heard only the first of them: a task whose end
// may be among the others is not started again.
func TestWorkerWithMoreEndsToTellIsStillAwaited(t *testing.T) {
	c := newCell(t, 2)
	a, b := c.worker("a", 1000), c.worker("b", 1000)
	c.AwaitReport(a, "p")
	c.AwaitReport(b, "p")
	c.HandleReport(b, c.clock, Report{})
	j := c.job("j", true, plainStep(2))
	first := ended(1, key(j, 0, 0, 1), RunDone)
	first.Partial = true
	c.HandleReport(a, c.clock, first)
	if starts, _, _ := c.plan(); len(starts) != 0 {
		t.Fatalf("started %v, whose end the worker has yet to tell", starts)
	}
	c.HandleReport(a, c.clock, ended(2, key(j, 0, 1, 1), RunDone))
	if state, _ := c.JobState(j); state != "completed" {
		t.Errorf("job is %s, want completed", state)
	}
}
