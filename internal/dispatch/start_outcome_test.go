package dispatch

import (
	"testing"
	"time"
)

// Callers see a job as pending until one of its tasks has started. Orders to start one may get lost, be refused or never be sent,
// as they are while the owner is behind.
func TestJobIsPendingUntilAWorkerHasStartedATask(t *testing.T) {
	cases := map[string]struct {
		outcome StartOutcome
		started bool
	}{
		"started":     {Started, true},
		"no capacity": {StartNoCapacity, false},
		"in doubt":    {StartInDoubt, false},
		"not sent":    {StartNotSent, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.addWorker("a", 1000)
			j := c.addJob("j", false, plainStep(1))
			starts, _, _ := c.planByKind()
			if c.jobs[j].started {
				t.Error("the job counts as started when the start is ordered")
			}
			c.HandleStartOutcome(starts[0].Worker, starts[0].RunKey, tc.outcome)
			if c.jobs[j].started != tc.started {
				t.Errorf("the job counts as started: %v, want %v", c.jobs[j].started, tc.started)
			}
			if tc.outcome == StartInDoubt {
				c.HandleReport("a", c.virtualTime, runningReport(starts[0].RunKey))
				if !c.jobs[j].started {
					t.Error("the job does not count as started although its worker lists the run")
				}
			}
		})
	}
}

// A start that was not sent says nothing about its worker: the task is started again at once, on the same worker if need be.
func TestStartThatWasNotSentLeavesItsWorkerInUse(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	c.addJob("j", false, plainStep(1))
	starts, _, _ := c.planByKind()
	c.HandleStartOutcome(a, starts[0].RunKey, StartNotSent)
	if c.isSuspect(c.workers[a]) {
		t.Error("the worker is a suspect")
	}
	if again, stops, _ := c.planByKind(); len(again) != 1 || len(stops) != 0 {
		t.Errorf("starts %v, stops %v, want one start and no stop", again, stops)
	}
}

// A stop whose order has ended without an answer is sent again soon, but not while its order still waits or is under way: the
// owner may be behind, and the same stop would wait twice.
func TestStopIsSentAgainOnceItsOrderHasEnded(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	j := c.addJob("j", false, plainStep(1))
	starts, _, _ := c.planByKind()
	c.HandleStartOutcome(a, starts[0].RunKey, Started)
	c.Cancel(j)
	if _, stops, _ := c.planByKind(); len(stops) != 1 {
		t.Fatalf("stops %v, want one", stops)
	}
	c.advance(3 * time.Second)
	if _, stops, _ := c.planByKind(); len(stops) != 0 {
		t.Errorf("stops %v while the first is under way", stops)
	}
	c.HandleStopAnswer(a, starts[0].RunKey, false)
	c.advance(stopRetryDelay)
	if _, stops, _ := c.planByKind(); len(stops) != 1 {
		t.Errorf("stops %v after the first got no answer, want one", stops)
	}
}

// A run whose job was cancelled must end although its worker can't be told to stop it: its worker is named until it answers.
// The stop of a run that is only moved elsewhere does not cost its neighbours their lease.
func TestWorkersWithOverdueStops(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		c := newFixture(t, 1)
		a := c.addWorker("a", 1000)
		j := c.addJob("j", false, plainStep(1))
		starts, _, _ := c.planByKind()
		key := starts[0].RunKey
		c.HandleStartOutcome(a, key, Started)
		if cancelled {
			c.Cancel(j)
		} else {
			c.stop(c.workers[a].runs[key], "preempted")
		}
		if n := len(c.WorkersWithOverdueStops()); n != 0 {
			t.Errorf("cancelled %v: %d workers overdue at once, want none", cancelled, n)
		}
		c.advance(stopOverdueAfter)
		if _, overdue := c.WorkersWithOverdueStops()[a]; overdue != cancelled {
			t.Errorf("cancelled %v: worker overdue %v", cancelled, overdue)
		}
		c.HandleStopAnswer(a, key, true)
		if n := len(c.WorkersWithOverdueStops()); n != 0 {
			t.Errorf("cancelled %v: %d workers overdue after the answer, want none", cancelled, n)
		}
	}
}
