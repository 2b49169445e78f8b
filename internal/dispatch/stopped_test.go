package dispatch

import (
	"testing"
	"time"
)

// Guards against a task running in two places: a worker no longer lists a run once it has acknowledged its stop, and the run takes its time to end.
func TestStoppedRunThatIsNotListedIsAwaitedForTheTimeOfAStop(t *testing.T) {
	const stopTime = 400 * time.Millisecond
	for name, confirmed := range map[string]bool{"confirmed": true, "start in doubt": false} {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.SetRunEndTime(stopTime)
			a := c.addWorker("a", 1000)
			c.addJob("j", false, plainStep(1))
			c.advance(time.Second)
			starts, _, _ := c.planByKind()
			key := starts[0].RunKey
			if confirmed {
				c.HandleStartOutcome(a, key, Started)
				c.advance(time.Second)
				c.HandleReport(a, c.virtualTime, runningReport(key))
				c.stop(c.workers[a].runs[key], "test")
			} else {
				c.HandleStartOutcome(a, key, StartInDoubt)
			}
			c.planByKind()
			c.HandleStopAnswer(a, key, true)
			if !c.AwaitsReport(a) {
				t.Error("no report is awaited once the stop is acknowledged")
			}
			stoppedAt := c.virtualTime
			for _, after := range []time.Duration{time.Millisecond, stopTime / 2, stopTime} {
				c.advance(stoppedAt.Add(after).Sub(c.virtualTime))
				c.HandleReport(a, c.virtualTime, Report{})
				if !c.HasRun(a, key) || !c.AwaitsReport(a) {
					t.Fatalf("the run is over by a report that was asked for %s after its stop, want more than %s", after, stopTime)
				}
			}
			c.advance(time.Millisecond)
			if given := c.HandleReport(a, c.virtualTime, Report{}); len(given) != 1 || given[0].RunKey != key {
				t.Errorf("runs given up: %v, want the one that was stopped", given)
			}
			if c.AwaitsReport(a) {
				t.Error("a report is awaited although the run is over")
			}
		})
	}
}
