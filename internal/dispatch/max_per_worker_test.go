package dispatch

import (
	"testing"
)

// An unresponsive worker's lease has ended and its task runs on another worker. Then the first worker reports that its run ended
// as done before that. While the second run is being stopped, another task of the step must not start beside it, beyond the step's
// bound on one worker.
func TestRunThatIsBeingStoppedCountsAgainstTheStepsBound(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	onePerWorker := plainStep(2)
	onePerWorker.MaxPerWorker = 1
	j := c.addJob("j", false, onePerWorker)
	c.planByKind()
	c.HandleStartOutcome(a, runKey(j, 0, 0, 1), Started)
	c.RemoveWorker(a, WorkerSilent)
	b := c.addWorker("b", 1000)
	c.planByKind()
	c.HandleStartOutcome(b, runKey(j, 0, 0, 2), Started)
	c.PutWorker(Worker{ID: a, Pool: "p", Draining: true})
	c.HandleReport(a, c.virtualTime, endedReport(1, runKey(j, 0, 0, 1), RunDone))
	starts, stops, _ := c.planByKind()
	if len(stops) != 1 || len(starts) > 0 {
		t.Errorf("starts %v, stops %v, want only a stop, and no start until the stopped run is removed", starts, stops)
	}
}
