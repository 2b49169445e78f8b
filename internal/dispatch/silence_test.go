package dispatch

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// runOnNewWorker starts the job's only task on worker number i, which is new, and lets it run for longer than a prompt crash takes.
func (c *fixture) runOnNewWorker(j graph.JobID, i int) WorkerID {
	c.t.Helper()
	w := c.addWorker(fmt.Sprintf("w%d", i), 100)
	c.startOn(runKey(j, 0, 0, 0).Task)
	for key := range c.workers[w].runs {
		c.HandleStartOutcome(w, key, Started)
	}
	c.advance(2 * promptCrashTime)
	return w
}

// proofs are what may settle that a silent worker's process has ended.
var proofs = map[string]func(c *fixture, w WorkerID){
	"another worker at its address": func(c *fixture, w WorkerID) {
		next := w + "-next"
		c.PutWorker(Worker{ID: next, Address: string(w), Pool: "p"})
		c.HandleReport(next, c.virtualTime, Report{})
		c.RemoveWorker(next, WorkerLeft)
	},
	"a later start of its process": func(c *fixture, w WorkerID) {
		c.PutWorker(Worker{ID: w, Address: string(w), Pool: "p"})
		c.HandleReport(w, c.virtualTime, Report{ProcessStart: time.Duration(c.virtualTime) + time.Hour})
		c.RemoveWorker(w, WorkerLeft)
	},
	"another incarnation answers": func(c *fixture, w WorkerID) {
		c.PutWorker(Worker{ID: w, Address: string(w), Pool: "p"})
		c.RemoveWorker(w, WorkerCrashed)
	},
}

// Guards against a job being failed for workers that fell silent: a worker that is cut off, or whose owner is, ends its runs as their lease
// expires and lives on.
func TestSilentWorkersFailNoJob(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprint("long-running ", longRunning), func(t *testing.T) {
			c := newFixture(t, 1)
			c.advance(time.Second)
			s := plainStep(1)
			s.LongRunning = longRunning
			j := c.addJob("j", false, s)
			for i := range 3 * DefaultMaxCrashes {
				w := c.runOnNewWorker(j, i)
				c.HandleReport(w, c.virtualTime, Report{Running: []RunningEntry{{RunKey: c.task(runKey(j, 0, 0, 0).Task).run.RunKey}}, ProcessStart: 1})
				c.RemoveWorker(w, WorkerSilent)
				if i%2 == 0 { // the others are never heard of again
					c.PutWorker(Worker{ID: w, Address: string(w), Pool: "p"})
					c.HandleReport(w, c.virtualTime, Report{ProcessStart: 1})
					if c.unsettledSilences[string(w)] != nil {
						t.Error("the silence is not settled though the process answers")
					}
					c.RemoveWorker(w, WorkerLeft)
				}
				c.wantState(j, graph.Running)
			}
			if n := len(c.task(runKey(j, 0, 0, 0).Task).crashes); n != 0 {
				t.Errorf("%d crashes count for the task, want none", n)
			}
		})
	}
}

// Guards against a task that crashes its workers being started without end where the owner notices only that they fell silent.
func TestSilentWorkersThatHadEndedCount(t *testing.T) {
	for name, prove := range proofs {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.advance(time.Second)
			j := c.addJob("j", false, plainStep(1))
			for i := range DefaultMaxCrashes + 1 {
				c.wantState(j, []graph.JobState{graph.Queued, graph.Running}[min(i, 1)])
				w := c.workers[c.runOnNewWorker(j, i)]
				c.HandleReport(w.ID, c.virtualTime, Report{Running: []RunningEntry{{RunKey: c.task(runKey(j, 0, 0, 0).Task).run.RunKey}}, ProcessStart: 1})
				c.RemoveWorker(w.ID, WorkerSilent)
				c.advance(time.Second)
				prove(c, w.ID)
			}
			c.wantState(j, graph.Failed)
		})
	}
}

// Guards against a count that grows with what a worker no longer knows though its process lives.
func TestRunThatItsWorkerNoLongerKnowsIsNoCrash(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	j := c.addJob("j", false, plainStep(1))
	for i := range 3 * DefaultMaxCrashes {
		w := c.runOnNewWorker(j, i)
		c.HandleReport(w, c.virtualTime, Report{})
		c.RemoveWorker(w, WorkerLeft)
		c.wantState(j, graph.Running)
	}
}

// Guards against a job being failed for silences that an owner of an older version has recorded as crashes.
func TestRecordedSilencesOfOlderVersionsDoNotCount(t *testing.T) {
	c := newFixture(t, 2)
	c.advance(time.Second)
	var recorded []CrashProgress
	for run := range uint64(DefaultMaxCrashes) {
		recorded = append(recorded, CrashProgress{Run: run + 1})
	}
	progress := Progress{State: graph.Running, Started: true, Steps: []StepProgress{{Tasks: []TaskProgress{{Crashes: recorded}}}}}
	j := graph.JobID("j")
	c.AddJob(JobInput{ID: j, Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Progress: &progress})
	c.RemoveWorker(c.runOnNewWorker(j, 0), WorkerCrashed)
	c.wantState(j, graph.Running)
}

// Guards against a long-running job being failed for workers that end now and then: each time the run may have ended before, or by a fault
// of its worker.
func TestEndedWorkersFailNoLongRunningJob(t *testing.T) {
	ends := map[string]func(c *fixture, w WorkerID){
		"crashed": func(c *fixture, w WorkerID) { c.RemoveWorker(w, WorkerCrashed) },
		"silent, then replaced": func(c *fixture, w WorkerID) {
			c.RemoveWorker(w, WorkerSilent)
			c.advance(20 * time.Second)
			proofs["another worker at its address"](c, w)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.advance(time.Second)
			s := plainStep(1)
			s.LongRunning = true
			j := c.addJob("j", false, s)
			for i := range 10 * DefaultMaxCrashes {
				end(c, c.runOnNewWorker(j, i))
				c.wantState(j, graph.Running)
			}
			if n := len(c.task(runKey(j, 0, 0, 0).Task).crashes); n > maxCountedCrashes {
				t.Errorf("%d crashes are kept for the task, want at most %d", n, maxCountedCrashes)
			}
		})
	}
}

// Guards against a planned departure that counts as a crash since the worker was not heard at the time.
func TestSilentWorkerThatLeavesIsNoCrash(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	j := c.addJob("j", false, plainStep(1))
	for i := range 2 * DefaultMaxCrashes {
		w := c.runOnNewWorker(j, i)
		c.RemoveWorker(w, WorkerSilent)
		c.HandleLeaving(w, string(w))
		proofs["another worker at its address"](c, w)
		c.wantState(j, graph.Running)
	}
}

// Guards against a run of a worker's next process being counted for the end of the one before: that process fell silent, and answers again.
func TestSilenceOfTheNextProcessIsItsOwn(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	j := c.addJob("j", false, plainStep(1))
	task := c.task(runKey(j, 0, 0, 0).Task)
	w := c.addWorker("w", 100)
	c.HandleReport(w, c.virtualTime, Report{ProcessStart: 1})
	aliveAt := c.virtualTime
	c.advance(10 * time.Millisecond)
	c.startOn(task.id())
	c.HandleStartOutcome(w, task.run.RunKey, Started)
	c.HandleRestart(w, WorkerCrashed, aliveAt)
	c.RemoveWorker(w, WorkerSilent)
	c.PutWorker(Worker{ID: w, Address: string(w), Pool: "p"})
	c.HandleReport(w, c.virtualTime, Report{ProcessStart: 2})
	if n := len(task.crashes); n != 0 {
		t.Errorf("%d crashes count for the task, want none", n)
	}
}

// Guards against a task that takes down one worker after the other, none of which is heard of again, as fast as leases expire and together
// with other jobs' tasks. A long-running task, which has to be back soon, is only kept apart.
func TestTaskOfSilentWorkersIsDelayedAndKeptApart(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprint("long-running ", longRunning), func(t *testing.T) {
			c := newFixture(t, 1)
			c.advance(time.Second)
			s := plainStep(1)
			s.LongRunning = longRunning
			j := c.addJob("j", false, s)
			task := c.task(runKey(j, 0, 0, 0).Task)
			for i := range minSuspectCrashes {
				c.RemoveWorker(c.runOnNewWorker(j, i), WorkerSilent)
			}
			if !task.isSuspect() {
				t.Error("the task is no suspect")
			}
			w := c.addWorker("next", 100)
			c.planByKind()
			if started := task.run != nil; started != longRunning {
				t.Errorf("the next run is started at once: %t, want %t", started, longRunning)
			}
			c.advance(silenceDelay)
			c.planByKind()
			if task.run == nil || task.run.worker.ID != w {
				t.Error("the next run is not started after its delay")
			}
			c.PutWorker(Worker{ID: "w0", Address: "w0", Pool: "p"})
			c.HandleReport("w0", c.virtualTime, Report{})
			if task.isSuspect() {
				t.Error("the task is still a suspect though one of its workers answers")
			}
		})
	}
}

// Guards against memory that grows with workers that are never heard of again.
func TestSilencesAreForgotten(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	j := c.addJob("j", false, plainStep(1))
	c.RemoveWorker(c.runOnNewWorker(j, 0), WorkerSilent)
	c.advance(silenceMemory)
	c.planByKind()
	if n := len(c.unsettledSilences); n != 0 {
		t.Errorf("%d silences are kept, want none", n)
	}
}

// Guards against crashes that nobody has proven, or that are never counted: a worker that may have restarted falls silent, and its next answer tells
// whether its process has ended. A run that was confirmed since that process was last heard may be one of the next, and isn't part of the silence.
func TestSilenceOfAWorkerThatMayHaveRestartedIsSettledByItsProcess(t *testing.T) {
	for start, want := range map[time.Duration]SilenceOutcome{1: SilenceAnswered, 2: SilenceEnded} {
		t.Run(want.String(), func(t *testing.T) {
			c := newFixture(t, 1)
			w := c.addWorker("w", 1000)
			c.advance(time.Second)
			c.addJob("a", false, plainStep(1))
			first := c.startConfirmed(w)
			c.advance(time.Second)
			report := runningReport(first)
			report.ProcessStart = 1
			c.HandleReport(w, c.virtualTime, report)
			aliveAt := c.virtualTime
			c.advance(time.Millisecond)
			c.addJob("b", false, plainStep(1))
			second := c.startConfirmed(w)
			c.advance(6 * time.Second)
			if given := c.HandleRestart(w, WorkerSilent, aliveAt); len(given) != 1 || given[0].RunKey != first {
				t.Fatalf("%v given up, want the run that the former process had", given)
			}
			c.advance(time.Second)
			report = runningReport(second)
			report.ProcessStart = start
			c.HandleReport(w, c.virtualTime, report)
			if reports := c.TakeSilenceReports(); len(reports) != 1 || reports[0].Outcome != want || reports[0].Runs != 1 {
				t.Errorf("silences %+v, want one run, %s", reports, want)
			}
		})
	}
}

// A silence in which no run is given up tells nothing: another process at the worker's address settles none.
func TestSilenceWithoutRunsIsNone(t *testing.T) {
	c := newFixture(t, 1)
	w := c.addWorker("w", 1000)
	c.advance(time.Second)
	c.HandleReport(w, c.virtualTime, Report{ProcessStart: 1})
	c.advance(6 * time.Second)
	c.HandleRestart(w, WorkerSilent, c.virtualTime)
	c.HandleReport(w, c.virtualTime, Report{ProcessStart: 2})
	if reports := c.TakeSilenceReports(); len(reports) != 0 {
		t.Errorf("silences %+v, want none", reports)
	}
}
