package dispatch

import (
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
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
			for _, start := range c.planRecorded() {
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

// drain lets a worker say that it leaves.
func drain(c *fixture, id WorkerID) {
	w := c.workers[id].Worker
	w.Draining = true
	c.PutWorker(w)
}

// Guards against a start that the next owner doesn't know of: it was sent before the ledger had it.
func TestStartThatIsSentOnceIsRecordedFirst(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(c *fixture, w WorkerID, j graph.JobID)
		starts  int
	}{
		"recorded":        {func(*fixture, WorkerID, graph.JobID) {}, 1},
		"cancelled":       {func(c *fixture, _ WorkerID, j graph.JobID) { c.Cancel(j) }, 0},
		"worker draining": {func(c *fixture, w WorkerID, _ graph.JobID) { drain(c, w) }, 0},
		"worker restarts": {func(c *fixture, w WorkerID, _ graph.JobID) { c.HandleRestart(w, WorkerCrashed, c.virtualTime) }, 0},
		"withdrawn":       {func(c *fixture, _ WorkerID, _ graph.JobID) { c.WithdrawUnsentStarts(); drain(c, "w") }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.advance(time.Second)
			w := c.addWorker("w", 100)
			c.HandleReport(w, c.virtualTime, Report{ProcessStart: time.Hour})
			j := c.addJob("j", false, plainStep(1))
			c.TakeDirty(10)
			if orders := c.Plan(0); len(orders) > 0 || c.UnsentStarts() != 1 {
				t.Fatalf("orders %+v and %d unsent starts before the record, want one that waits", orders, c.UnsentStarts())
			}
			record, taken := c.TakeDirty(10)[j]
			if !taken || len(record.Steps) != 1 || len(record.Steps[0].Tasks) != 1 || !slices.Equal(record.Steps[0].Tasks[0].Starts, []StartProgress{{1, w}}) {
				t.Fatalf("record %+v, want the start", record)
			}
			test.happens(c, w, j)
			c.ConfirmRecorded(j)
			orders := c.Plan(0)
			if len(orders) != test.starts || c.UnsentStarts() != 0 {
				t.Errorf("orders %+v and %d unsent starts after the record, want %d starts", orders, c.UnsentStarts(), test.starts)
			}
			if test.starts > 0 {
				return
			}
			if free := c.workers[w].free().MilliCPU; free != 100 {
				t.Errorf("room for %d on the worker after the start was withdrawn, want 100", free)
			}
			if again, taken := c.TakeDirty(10)[j]; !taken || len(again.Steps) > 0 {
				t.Errorf("record %+v (%t) after the start was withdrawn, want one without it", again, taken)
			}
		})
	}
}

// Guards against tasks of a later owner that wait for starts which were answered: the record of those is never brought up to date.
func TestAnsweredStartIsTakenOutOfTheRecord(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	c.HandleReport(w, c.virtualTime, Report{ProcessStart: time.Hour})
	j := c.addJob("j", false, plainStep(1))
	starts, _, _ := c.planByKind()
	c.HandleStartOutcome(w, starts[0].RunKey, Started)
	record, taken := c.TakeDirty(10)[j]
	if !taken || len(record.Steps) > 0 || c.HasDirty() {
		t.Errorf("record %+v (%t) after the start was answered, want one without it", record, taken)
	}
}

// Guards against a task in two places under a third owner: the second one's records lacked the start of the first.
func TestAdoptedStartStaysInTheRecordUntilItIsOver(t *testing.T) {
	c := newFixture(t, 2)
	c.advance(time.Second)
	c.SetEarlierOrdersUntil(c.virtualTime)
	start := StartProgress{1, "w"}
	progress := &Progress{State: graph.Running, Started: true, Steps: []StepProgress{{Tasks: []TaskProgress{{Starts: []StartProgress{start}}}}}}
	c.AddJob(JobInput{ID: "j", Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Progress: progress})
	w := c.addWorker("w", 200)
	other := c.addWorker("other", 100)
	if late := c.LateStarts(); len(late) != 1 || late[0].Worker != w || late[0].Wait != MaxCallDelay {
		t.Fatalf("late starts %+v, want the recorded one", late)
	}
	c.MarkDirty("j")
	if tasks := c.TakeDirty(10)["j"].Steps[0].Tasks; len(tasks) != 1 || !slices.Equal(tasks[0].Starts, []StartProgress{start}) {
		t.Errorf("recorded tasks %+v, want the start", tasks)
	}
	if free := c.workers[w].free().MilliCPU; free != 100 {
		t.Errorf("room for %d on the worker, want 100 of 200", free)
	}
	c.HandleReport(other, c.virtualTime, Report{ProcessStart: time.Hour})
	c.HandleReport(w, c.virtualTime, Report{ProcessStart: time.Hour})
	if starts, _, _ := c.planByKind(); len(starts) > 0 {
		t.Fatalf("starts %+v while the earlier one may be carried out", starts)
	}
	c.advance(MaxCallDelay)
	c.HandleReport(w, c.virtualTime, Report{ProcessStart: time.Hour})
	if starts, _, _ := c.planByKind(); len(starts) != 1 || starts[0].Number <= start.Run {
		t.Errorf("starts %+v once the earlier one is over, want one with a higher number", starts)
	}
}
