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

// Guards against a task running in two places: a refusal of a start ended the run although the worker had listed it. Another attempt of the
// start has begun it, whatever this one was answered.
func TestRefusalOfAStartEndsNoListedRun(t *testing.T) {
	for _, outcome := range []StartOutcome{StartNoCapacity, StartOutdated, StartNoPermit, StartRefused, StartNotSent} {
		for _, stopped := range []bool{false, true} {
			c := newFixture(t, 1)
			c.addWorker("a", 1000)
			c.addWorker("b", 1000)
			j := c.addJob("j", false, plainStep(1))
			starts, _, _ := c.planByKind()
			key, w := starts[0].RunKey, starts[0].Worker
			c.advance(100 * time.Millisecond)
			c.HandleReport(w, c.virtualTime, runningReport(key))
			if stopped {
				c.stop(c.workers[w].runs[key], "test")
			}
			c.HandleStartOutcome(w, key, outcome)
			c.advance(5 * time.Second)
			if again, _, _ := c.planByKind(); !c.HasRun(w, key) || len(again) > 0 {
				t.Errorf("%s, stopped %t: the task %s is started again (%v) while its worker lists it", outcome, stopped, j, again)
			}
			c.HandleReport(w, c.virtualTime, Report{Ended: []EndedEntry{{Sequence: 1, RunKey: key, End: RunInterrupted}}})
			if again, _, _ := c.planByKind(); len(again) != 1 {
				t.Errorf("%s, stopped %t: starts %v after the run's end, want one", outcome, stopped, again)
			}
		}
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

// Guards against leases that are held back for stops that were never sent: a stop that waits to be sent is neither overdue nor repeated.
func TestStopThatWaitsIsNotOverdue(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	j := c.addJob("j", false, plainStep(1))
	starts, _, _ := c.planByKind()
	key := starts[0].RunKey
	c.HandleStartOutcome(a, key, Started)
	c.Cancel(j)
	overdue := func() bool { return len(c.WorkersWithOverdueStops()) > 0 }
	stops := func() int { _, stops, _ := c.planByKind(); return len(stops) }
	if n := stops(); n != 1 {
		t.Fatalf("%d stops, want one", n)
	}
	c.HandleStopWaiting(a, key)
	c.advance(time.Minute)
	if n := stops(); n > 0 || overdue() {
		t.Errorf("%d further stops while the first waits, overdue %v", n, overdue())
	}
	c.HandleStopSent(a, key)
	c.advance(stopOverdueAfter - time.Millisecond)
	if overdue() {
		t.Error("the stop is overdue by the time that it waited")
	}
	c.advance(time.Millisecond)
	if !overdue() {
		t.Error("the stop is not overdue although it was sent")
	}
	c.HandleStopAnswer(a, key, false)
	c.advance(stopRetryDelay)
	if n := stops(); n != 1 {
		t.Fatalf("%d stops after the first got no answer, want one", n)
	}
	c.HandleStopWaiting(a, key)
	if !overdue() {
		t.Error("the stop is no longer overdue while its repeat waits")
	}
}

// Guards against stops that are given up: one that ended without being sent is sent again, and is not overdue for it.
func TestStopThatWasNotSentIsSentAgain(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	j := c.addJob("j", false, plainStep(1))
	starts, _, _ := c.planByKind()
	key := starts[0].RunKey
	c.HandleStartOutcome(a, key, Started)
	c.Cancel(j)
	for range 8 {
		if _, stops, _ := c.planByKind(); len(stops) != 1 {
			t.Fatalf("stops %v, want one", stops)
		}
		c.HandleStopNotSent(a, key)
		c.advance(stopRetryDelay)
	}
	if len(c.WorkersWithOverdueStops()) > 0 {
		t.Error("a stop that was never sent is overdue")
	}
}
