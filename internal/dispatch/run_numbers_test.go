package dispatch

import (
	"testing"

	"laburnumpoint/internal/graph"
)

// A worker refuses a thousand starts in a row, which takes seconds. If the next run then had the number of the next owner's first
// run, the failures of both would count as one, and the task would start beyond its attempts.
func TestFailuresUnderTwoOwnersCountSeparatelyAfterManyRefusals(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	j := c.addJob("j", false, plainStep(1))
	for range 1000 {
		starts, _, _ := c.planByKind()
		c.HandleStartOutcome(a, starts[0].RunKey, StartRefused)
	}
	starts, _, _ := c.planByKind()
	c.HandleReport(a, c.virtualTime, endedReport(1, starts[0].RunKey, RunFailed))
	recorded := c.TakeDirty(10)[j]

	next := newFixture(t, 2)
	next.addWorker("a", 1000)
	next.AddJob(JobInput{ID: j, Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: next.virtualTime, Progress: &recorded, Unconfirmed: true})
	again, _, _ := next.planByKind()
	if again[0].Number <= starts[0].Number {
		t.Errorf("the next owner's first run number is %d, want more than the earlier owner's last one, %d", again[0].Number, starts[0].Number)
	}
	next.HandleReport(a, next.virtualTime, endedReport(2, again[0].RunKey, RunFailed))
	if state, _ := next.JobState(j); state != graph.Failed {
		t.Errorf("state %s after %d failed runs, want failed", state, plainQueue.MaxAttempts)
	}
}
