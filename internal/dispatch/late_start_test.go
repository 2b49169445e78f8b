package dispatch

import (
	"testing"
	"time"
)

// startOnceInDoubt starts a task on the only worker, which may restart under its id and gives no answer.
func startOnceInDoubt(t *testing.T) (*fixture, WorkerID, RunKey) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	c.HandleReport(w, c.virtualTime, Report{ProcessStart: time.Hour})
	c.addJob("j", false, plainStep(1))
	starts, _, _ := c.planByKind()
	if len(starts) != 1 || !starts[0].Once {
		t.Fatalf("starts %+v, want one that is sent once", starts)
	}
	c.HandleStartOutcome(w, starts[0].RunKey, StartInDoubt)
	c.planByKind()
	return c, w, starts[0].RunKey
}

// Guards against a task that waits for a start that can't be carried out any more: its worker's first report on the run lists it as ended.
func TestTaskWaitsForNoStartWhoseRunIsListedAsEnded(t *testing.T) {
	c, w, key := startOnceInDoubt(t)
	c.advance(time.Millisecond)
	ended := endedReport(1, key, RunInterrupted)
	ended.ProcessStart = time.Hour
	c.HandleReport(w, c.virtualTime, ended)
	if held := c.TakeHeldTasks(); len(held) != 0 {
		t.Errorf("held tasks %+v, want none", held)
	}
}

// Guards against a task that waits for a start that another incarnation, which answers at its worker's address, refuses.
func TestTaskWaitsForNoStartOfAWorkerThatHasCrashed(t *testing.T) {
	c, w, _ := startOnceInDoubt(t)
	c.RemoveWorker(w, WorkerCrashed)
	if held := c.TakeHeldTasks(); len(held) != 0 {
		t.Errorf("held tasks %+v, want none", held)
	}
}

// Guards against a worker over its capacity: its next process carries a late start out beside the tasks that were started there meanwhile. Nor is
// the room kept for good.
func TestLateStartKeepsItsRoomOnTheWorker(t *testing.T) {
	const second = 2 * time.Hour // start of the worker's second process
	for name, test := range map[string]struct {
		happens func(c *fixture, w WorkerID, key RunKey)
		room    int64 // what is left for others of 100
	}{
		"silent": {func(*fixture, WorkerID, RunKey) {}, 0},
		"reports nothing": {func(c *fixture, w WorkerID, _ RunKey) {
			c.HandleReport(w, c.virtualTime, Report{ProcessStart: second})
		}, 0},
		"reports nothing once the start is over": {func(c *fixture, w WorkerID, _ RunKey) {
			c.advance(MaxCallDelay)
			c.HandleReport(w, c.virtualTime, Report{ProcessStart: second})
		}, 100},
		"lists the run": {func(c *fixture, w WorkerID, key RunKey) {
			c.HandleReport(w, c.virtualTime, Report{ProcessStart: second, Running: []RunningEntry{{RunKey: key}}})
		}, 0},
		"lists the run's end": {func(c *fixture, w WorkerID, key RunKey) {
			ended := endedReport(1, key, RunInterrupted)
			ended.ProcessStart = second
			c.HandleReport(w, c.virtualTime, ended)
		}, 100},
		"is given up and comes back": {func(c *fixture, w WorkerID, _ RunKey) {
			c.RemoveWorker(w, WorkerSilent)
			c.addWorker(string(w), 100)
		}, 0},
		"has crashed and comes back": {func(c *fixture, w WorkerID, _ RunKey) {
			c.RemoveWorker(w, WorkerCrashed)
			c.addWorker(string(w), 100)
		}, 100},
	} {
		t.Run(name, func(t *testing.T) {
			c, w, key := startOnceInDoubt(t)
			c.HandleRestart(w, WorkerCrashed, c.virtualTime)
			c.planByKind()
			c.HandleStopAnswer(w, key, true)
			c.advance(time.Second)
			c.HandleReport(w, c.virtualTime, Report{ProcessStart: second})
			if held := c.TakeHeldTasks(); len(held) != 1 {
				t.Fatalf("held tasks %+v, want one", held)
			}
			c.addJob("other", false, plainStep(1))
			if starts, _, _ := c.planByKind(); len(starts) > 0 {
				t.Errorf("starts %+v beside one that may be carried out late, on a worker with room for one", starts)
			}
			test.happens(c, w, key)
			if room := c.workers[w].free().MilliCPU; room != test.room {
				t.Errorf("room for %d on the worker, want %d", room, test.room)
			}
			starts := 0
			for _, start := range c.Plan(0) {
				if start, ok := start.(Start); ok && start.Task.Job == "other" {
					starts++
				}
			}
			if starts != int(test.room/100) || test.room > 0 && len(c.lateRooms) > 0 {
				t.Errorf("%d starts, %d workers with rooms of late starts; room was for %d", starts, len(c.lateRooms), test.room/100)
			}
		})
	}
}

// Guards against a task in two places, and against one that waits for longer than its late starts may run.
func TestHeldTaskIsStartedOnceItsLateStartsAreOver(t *testing.T) {
	const lease = 10 * time.Second
	report := Report{ProcessStart: 2 * time.Hour}
	for name, test := range map[string]struct {
		happens func(c *fixture, w, other WorkerID, key RunKey)
		started bool
	}{
		"nothing": {func(c *fixture, _, _ WorkerID, _ RunKey) { c.advance(MaxCallDelay) }, false},
		"the worker reports": {func(c *fixture, w, _ WorkerID, _ RunKey) {
			c.advance(MaxCallDelay)
			c.HandleReport(w, c.virtualTime, report)
		}, true},
		"the worker reports before a start that had waited for its place is over": {func(c *fixture, w, _ WorkerID, _ RunKey) {
			c.advance(MaxCallDelay - MaxStartWait/2)
			c.HandleReport(w, c.virtualTime, report)
		}, false},
		"its lease passes":       {func(c *fixture, _, _ WorkerID, _ RunKey) { c.advance(MaxCallDelay + lease) }, true},
		"the worker has crashed": {func(c *fixture, w, _ WorkerID, _ RunKey) { c.RemoveWorker(w, WorkerCrashed) }, true},
		"another worker reports, which may start it late too": {func(c *fixture, _, other WorkerID, key RunKey) {
			c.holdForLateStart(&run{RunKey: key, worker: c.workers[other], orderedAt: c.now})
			c.advance(MaxCallDelay)
			c.HandleReport(other, c.virtualTime, report)
		}, false},
		"the worker reports between two late starts": {func(c *fixture, w, _ WorkerID, key RunKey) {
			c.holdForLateStart(&run{RunKey: key, worker: c.workers[w], orderedAt: c.now})
			c.advance(MaxCallDelay)
			c.HandleReport(w, c.virtualTime, report)
		}, false},
		"the worker reports between two late starts and after them": {func(c *fixture, w, _ WorkerID, key RunKey) {
			c.holdForLateStart(&run{RunKey: key, worker: c.workers[w], orderedAt: c.now})
			for _, after := range []time.Duration{MaxCallDelay, MaxStartWait} {
				c.advance(after)
				c.HandleReport(w, c.virtualTime, report)
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c, w, key := startOnceInDoubt(t)
			c.SetLongestLease(lease)
			c.HandleRestart(w, WorkerCrashed, c.virtualTime)
			c.planByKind()
			c.HandleStopAnswer(w, key, true)
			c.advance(time.Second)
			c.HandleReport(w, c.virtualTime, report)
			other := c.addWorker("other", 100)
			test.happens(c, w, other, key)
			c.record()
			starts, _, _ := c.planByKind()
			if started := len(starts) > 0; started != test.started {
				t.Errorf("started: %t, want %t", started, test.started)
			}
		})
	}
}

// Guards against a task in two places: its run was removed after its start could be carried out, while a late run of it might go on.
func TestTaskIsHeldForTheLeaseOfAStartThatIsRemovedLate(t *testing.T) {
	c, w, _ := startOnceInDoubt(t)
	c.SetLongestLease(10 * time.Second)
	c.advance(MaxCallDelay + time.Second)
	c.RemoveWorker(w, WorkerSilent)
	c.addWorker("other", 100)
	c.record()
	if starts, _, _ := c.planByKind(); len(starts) > 0 {
		t.Errorf("starts %+v, while a late run may go on", starts)
	}
}
