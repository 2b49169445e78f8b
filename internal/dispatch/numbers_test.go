package dispatch

import (
	"testing"

	"laburnumpoint/internal/graph"
)

// A worker refuses a thousand starts in a row, which takes it seconds: the run after them has the number of the next owner's
// first. Both fail, count as one, and the task starts beyond its attempts.
func TestFailuresOfTwoOwnersAreToldApartAfterManyRefusals(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 1000)
	j := c.job("j", false, plainStep(1))
	for range 1000 {
		starts, _, _ := c.plan()
		c.HandleStartOutcome(a, starts[0].RunKey, StartRefused)
	}
	starts, _, _ := c.plan()
	c.HandleReport(a, c.clock, ended(1, starts[0].RunKey, RunFailed))
	recorded := c.TakeDirty(10)[j]

	next := newCell(t, 2)
	next.worker("a", 1000)
	next.AddJob(j, plainQueue, &graph.Spec{Steps: []graph.Step{plainStep(1)}}, next.clock, &recorded, true)
	again, _, _ := next.plan()
	if again[0].Number <= starts[0].Number {
		t.Errorf("the next owner's first run is %d, the last one's was %d", again[0].Number, starts[0].Number)
	}
	next.HandleReport(a, next.clock, ended(2, again[0].RunKey, RunFailed))
	if state, _ := next.JobState(j); state != graph.Failed {
		t.Errorf("state %s after %d failed runs, want failed", state, plainQueue.MaxAttempts)
	}
}
