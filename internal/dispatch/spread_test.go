package dispatch

import (
	"testing"
)

// A silent worker's lease is over and its task runs elsewhere; it comes back with the end `done` from before. The second run is
// being stopped, and another task of the step starts beside it, beyond the step's bound on one worker.
func TestRunThatIsBeingStoppedCountsAgainstTheStepsBound(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 1000)
	spread := plainStep(2)
	spread.MaxPerWorker = 1
	j := c.job("j", false, spread)
	c.plan()
	c.HandleStartOutcome(a, key(j, 0, 0, 1), Started)
	c.RemoveWorker(a)
	b := c.worker("b", 1000)
	c.plan()
	c.HandleStartOutcome(b, key(j, 0, 0, 2), Started)
	c.PutWorker(Worker{ID: a, Pool: "p", Draining: true})
	c.HandleReport(a, c.clock, ended(1, key(j, 0, 0, 1), RunDone))
	starts, stops, _ := c.plan()
	if len(stops) != 1 || len(starts) > 0 {
		t.Errorf("starts %v, stops %v, want only the stop until that run is gone", starts, stops)
	}
}
