package dispatch

import (
	"testing"
	"time"
)

// startConfirmed starts the only task and confirms its run.
func (c *fixture) startConfirmed(w WorkerID) RunKey {
	starts, _, _ := c.planByKind()
	if len(starts) != 1 {
		c.t.Fatalf("starts %v, want one", starts)
	}
	c.HandleStartOutcome(w, starts[0].RunKey, Started)
	return starts[0].RunKey
}

// Guards against a task running in two places: one list of a worker that lacked a run, since it was composed a little before the answer or
// while the run moved between the lists, ended the run at once.
func TestRunOutlivesASingleReportWithoutIt(t *testing.T) {
	type report struct {
		after  time.Duration
		listed bool
		lost   bool
	}
	cases := map[string][]report{
		"one":                  {{time.Millisecond, false, false}},
		"two at once":          {{time.Millisecond, false, false}, {time.Millisecond, false, false}},
		"two that lie apart":   {{time.Millisecond, false, false}, {minUnlistedTime, false, true}},
		"listed between":       {{time.Millisecond, false, false}, {100 * time.Millisecond, true, false}, {minUnlistedTime, false, false}, {minUnlistedTime, false, true}},
		"many in a short time": {{time.Millisecond, false, false}, {200 * time.Millisecond, false, false}, {200 * time.Millisecond, false, false}, {200 * time.Millisecond, false, true}},
		"listed first":         {{time.Millisecond, true, false}, {minUnlistedTime, false, false}},
	}
	for name, reports := range cases {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			w := c.addWorker("w", 100)
			c.advance(time.Second)
			c.addJob("j", false, plainStep(1))
			key := c.startConfirmed(w)
			for i, r := range reports {
				c.advance(r.after)
				answer := Report{}
				if r.listed {
					answer = runningReport(key)
				}
				if lost := len(c.HandleReport(w, c.virtualTime, answer)) > 0; lost != r.lost {
					t.Errorf("report %d: run lost %t, want %t", i, lost, r.lost)
				}
			}
		})
	}
}

// Guards against a report that was requested before the start was answered being the first of those that lack the run: it proves nothing.
func TestReportOfBeforeTheStartIsNotCounted(t *testing.T) {
	c := newFixture(t, 1)
	w := c.addWorker("w", 100)
	c.advance(time.Second)
	c.addJob("j", false, plainStep(1))
	requested := c.virtualTime
	c.advance(time.Millisecond)
	c.startConfirmed(w)
	c.HandleReport(w, requested, Report{})
	c.advance(minUnlistedTime)
	if lost := c.HandleReport(w, c.virtualTime, Report{}); len(lost) > 0 {
		t.Errorf("%v are lost by the only report that should have listed them", lost)
	}
}

// Guards against the time between two reports being counted from the answer to the first to the answer to the second: the second may have
// been composed before the first was handled.
func TestReportsWithoutARunAreAskedForApart(t *testing.T) {
	c := newFixture(t, 1)
	w := c.addWorker("w", 100)
	c.advance(time.Second)
	c.addJob("j", false, plainStep(1))
	c.startConfirmed(w)
	c.advance(time.Millisecond)
	requested := c.virtualTime
	c.HandleReport(w, requested, Report{})
	c.advance(4 * minUnlistedTime)
	if lost := c.HandleReport(w, requested, Report{}); len(lost) > 0 {
		t.Errorf("%v are lost by a report that was requested with the first one", lost)
	}
	if lost := c.HandleReport(w, c.virtualTime, Report{}); len(lost) != 1 {
		t.Errorf("%v are lost by a later report, want the run", lost)
	}
}
