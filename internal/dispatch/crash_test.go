package dispatch

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// crashOne lets the worker's process end shortly after it has acknowledged the start.
func (c *fixture) crashOne(s Start) {
	c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	c.advance(10 * time.Millisecond)
	c.HandleRestart(s.Worker, WorkerCrashed, c.virtualTime)
	c.advance(time.Second)
}

// Guards against a task that crashes each worker that starts it being started again without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	const maxStarts = 5 // three crashes and two more starts
	steps := map[string]graph.Step{"plain": plainStep(1), "gang": plainStep(2), "long-running": plainStep(1), "speculative": plainStep(1)}
	for name, s := range steps {
		s.Gang, s.LongRunning, s.Speculative = name == "gang", name == "long-running", name == "speculative"
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.copyEagerly = s.Speculative
			c.advance(time.Second)
			for i := range 20 {
				c.addWorker(fmt.Sprintf("w%02d", i), 100)
			}
			j := c.addJob("j", false, s)
			deadly := 0
			for range 100 {
				starts, _, _ := c.planByKind()
				for _, start := range starts {
					if start.Task.Index == 0 {
						deadly++
						c.crashOne(start)
					} else {
						c.HandleStartOutcome(start.Worker, start.RunKey, Started)
					}
				}
				c.settle()
			}
			if deadly > maxStarts {
				t.Errorf("the task was started %d times, want at most %d", deadly, maxStarts)
			}
			if state, _ := c.JobState(j); state != graph.Failed {
				t.Errorf("job is %s, want failed", state)
			}
		})
	}
}

// settle lets all workers carry out the stops that they were ordered and report their runs.
func (c *fixture) settle() {
	for id, w := range c.workers {
		c.SetReachable(id, true)
		for key, r := range w.runs {
			if r.state == runStopping {
				c.HandleStopAnswer(id, key, true)
			}
		}
	}
	c.record()
	c.advance(100 * time.Millisecond)
	for id, w := range c.workers {
		var report Report
		for key, r := range w.runs {
			if r.state != runStopping {
				report.Running = append(report.Running, RunningEntry{RunKey: key})
			}
		}
		c.HandleReport(id, c.virtualTime, report)
	}
}

// crash plays the end of a worker's process after all starts on it were acknowledged.
func (c *fixture) crash(id WorkerID) {
	for key := range c.workers[id].runs {
		c.HandleStartOutcome(id, key, Started)
	}
	c.HandleRestart(id, WorkerCrashed, c.virtualTime)
	c.advance(time.Second)
}

// startOn plans until the task has a run and returns its worker.
func (c *fixture) startOn(task graph.TaskID) WorkerID {
	c.t.Helper()
	for range 300 {
		c.record()
		c.planByKind()
		if r := c.task(task).run; r != nil {
			return r.worker.ID
		}
		c.advance(10 * time.Millisecond)
	}
	c.t.Fatalf("%v was not started", task)
	return ""
}

func (c *fixture) wantState(j graph.JobID, want graph.JobState) {
	c.t.Helper()
	if state, _ := c.JobState(j); state != want {
		c.t.Errorf("job %s is %s, want %s", j, state, want)
	}
}

// Guards against tasks being given up that only ran beside one that crashes its workers: each time it takes down others with it, and
// the same one twice.
func TestTaskBesideACrashingOneIsNotGivenUp(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	for i := range 4 {
		c.addWorker(fmt.Sprintf("w%d", i), 200)
	}
	crashing := c.addJob("a", false, plainStep(1))
	beside := c.addJob("b", false, plainStep(1))
	for range maxLikelyCrashes {
		w := c.startOn(runKey(crashing, 0, 0, 0).Task)
		c.startOn(runKey(beside, 0, 0, 0).Task)
		c.crash(w)
		c.settle()
	}
	c.wantState(crashing, graph.Failed)
	c.wantState(beside, graph.Running)
	if n := len(c.task(runKey(beside, 0, 0, 0).Task).crashes); n != 0 {
		t.Errorf("%d crashes count for the task beside the one that was given up, want none", n)
	}
}

// Guards against crashes whose cause has been found counting on against the tasks that ran beside it: only every other one was taken off.
func TestAllCrashesOfATaskThatIsGivenUpAreTakenOffTheOthers(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	c.addWorker("w", 200)
	beside := c.addJob("b", false, plainStep(1))
	crashing := c.addJob("a", false, plainStep(1))
	for range maxLikelyCrashes {
		c.startRun(c.task(runKey(beside, 0, 0, 0).Task), c.workers["w"], c.nextRunNumber(c.task(runKey(beside, 0, 0, 0).Task).lastRunNumber))
		c.advance(2 * startSpread)
		c.startRun(c.task(runKey(crashing, 0, 0, 0).Task), c.workers["w"], c.nextRunNumber(c.task(runKey(crashing, 0, 0, 0).Task).lastRunNumber))
		c.crash("w")
		c.SetReachable("w", true)
	}
	c.wantState(crashing, graph.Failed)
	if n := len(c.task(runKey(beside, 0, 0, 0).Task).crashes); n != 0 {
		t.Errorf("%d crashes count for the task beside the one that was given up, want none", n)
	}
}

// Guards against the crashes of a task being forgotten when another daemon takes over.
func TestCrashesCountAcrossTakeovers(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	c.addWorker("w1", 100)
	j := c.addJob("j", false, plainStep(1))
	c.crash(c.startOn(runKey(j, 0, 0, 0).Task))
	progress := c.TakeDirty(10)[j]
	next := newFixture(t, 2)
	next.advance(time.Second)
	next.addWorker("w2", 100)
	next.AddJob(JobInput{ID: j, Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: next.virtualTime, Progress: &progress})
	next.crash(next.startOn(runKey(j, 0, 0, 0).Task))
	next.wantState(j, graph.Failed)
	if got := next.TakeDirty(10)[j]; got.State != graph.Failed {
		t.Errorf("recorded state is %s, want failed", got.State)
	}
}

// Guards against a task that crashes its workers being started more often than its bound by owners that are lost one after the other before
// the store has their counts.
func TestCrashThatIsNotRecordedKeepsTheTaskFromItsNextRun(t *testing.T) {
	const maxStarts = 5 // three crashes and two more starts
	var progress *Progress
	starts := 0
	for owner := range 10 {
		c := newFixture(t, uint64(owner+1))
		c.advance(time.Second)
		for i := range 5 {
			c.addWorker(fmt.Sprint("w", i), 100)
		}
		c.AddJob(JobInput{ID: "j", Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Progress: progress})
		for range 5 { // without an answer of the store
			ordered, _, _ := c.planByKind()
			for _, s := range ordered {
				starts++
				c.crashOne(s)
			}
		}
		if starts > 1 && owner == 0 {
			t.Fatalf("%d starts while the first crash was not recorded, want one", starts)
		}
		// The store has it when the owner is lost.
		p := c.TakeDirty(10)["j"]
		progress = &p
		if p.State == graph.Failed {
			break
		}
	}
	if starts > maxStarts || progress.State != graph.Failed {
		t.Errorf("the task was started %d times, want at most %d; the job is %s, want failed", starts, maxStarts, progress.State)
	}
}

// Guards against the next owner not knowing the crashes that an owner which resigns could not record, or that it has failed a job for them.
func TestUnrecordedCrashesReachTheNextOwner(t *testing.T) {
	for crashes := 1; crashes <= maxLikelyCrashes; crashes++ {
		t.Run(fmt.Sprint(crashes), func(t *testing.T) {
			c := newFixture(t, 1)
			c.advance(time.Second)
			c.addWorker("w1", 100)
			j := c.addJob("j", false, plainStep(1))
			for range crashes {
				c.crash(c.startOn(runKey(j, 0, 0, 0).Task))
				c.SetReachable("w1", true)
			}
			next := newFixture(t, 2)
			next.advance(time.Second)
			next.addJob("j", false, plainStep(1))
			for _, u := range c.UnrecordedCrashes() {
				next.AdoptCrashes(u.Job, u.Progress)
			}
			next.addWorker("w2", 100)
			if starts, _, _ := next.planByKind(); len(starts) != 0 {
				t.Error("the task is started before the crashes are recorded")
			}
			if crashes == maxLikelyCrashes {
				next.wantState(j, graph.Failed)
				return
			}
			next.startOn(runKey(j, 0, 0, 0).Task)
			if n := len(next.task(runKey(j, 0, 0, 0).Task).crashes); n != crashes {
				t.Errorf("%d crashes count for the task, want %d", n, crashes)
			}
			if left := next.UnrecordedCrashes(); len(left) != 0 {
				t.Errorf("%v are not recorded, want none", left)
			}
		})
	}
}

// Guards against a task being restarted without end whose workers crash late in its runs: no such crash tells that the task is its cause.
func TestTaskOfManyCrashedWorkersIsGivenUp(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	j := c.addJob("j", false, plainStep(1))
	for i := range DefaultMaxCrashes {
		c.wantState(j, []graph.JobState{graph.Queued, graph.Running}[min(i, 1)])
		c.RemoveWorker(c.runOnNewWorker(j, i), WorkerCrashed)
	}
	c.wantState(j, graph.Failed)
}

// Guards against services being given up for crashes that lie far apart, and against planned departures counting as crashes.
func TestRareCrashesAndDeparturesDoNotCount(t *testing.T) {
	for _, end := range []WorkerEnd{WorkerCrashed, WorkerLeft} {
		t.Run(end.String(), func(t *testing.T) {
			c := newFixture(t, 1)
			c.advance(time.Second)
			s := plainStep(1)
			s.LongRunning = true
			j := c.addJob("j", false, s)
			for i := range 3 * DefaultMaxCrashes {
				w := c.addWorker(fmt.Sprintf("w%d", i), 100)
				c.startOn(runKey(j, 0, 0, 0).Task)
				c.HandleStartOutcome(w, RunKey{runKey(j, 0, 0, 0).Task, uint64(i) + 1}, Started)
				if end == WorkerCrashed {
					c.advance(stableRunTime)
				}
				c.RemoveWorker(w, end)
			}
			c.wantState(j, graph.Running)
		})
	}
}

// Guards against another job's task starting beside a likely cause of a crash, which would hide whose fault the next crash is.
func TestProbationKeepsOtherJobsFromTheWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	c.addWorker("w1", 100)
	suspect := c.addJob("a", false, plainStep(1))
	c.crash(c.startOn(runKey(suspect, 0, 0, 0).Task))
	c.RemoveWorker("w1", WorkerCrashed)
	c.addWorker("w2", 200)
	c.startOn(runKey(suspect, 0, 0, 0).Task)
	other := c.addJob("b", false, plainStep(1))
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Errorf("%v is started during the probation", starts[0].RunKey)
	}
	c.advance(probationTime)
	c.startOn(runKey(other, 0, 0, 0).Task)
}

// Guards against a task that crashes its workers being started again and again just after other jobs' tasks, so that no crash tells which task
// is the cause.
func TestSuspectStartsOnAQuietWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	c.addWorker("w1", 100)
	suspect := c.addJob("a", false, plainStep(1))
	c.crash(c.startOn(runKey(suspect, 0, 0, 0).Task))
	c.RemoveWorker("w1", WorkerCrashed)
	c.record()
	c.addWorker("w2", 300)
	other := c.addJob("b", false, plainStep(1))
	task := c.task(runKey(other, 0, 0, 0).Task)
	c.startRun(task, c.workers["w2"], c.nextRunNumber(0))
	c.HandleStartOutcome("w2", runKey(other, 0, 0, 1), Started)
	c.addJob("c", false, plainStep(1))
	for c.task(runKey(suspect, 0, 0, 0).Task).run == nil {
		starts, _, _ := c.planByKind()
		for _, s := range starts {
			if s.Task.Job != other && s.Task.Job != suspect {
				t.Errorf("%v is started on the worker that the suspect waits for", s.RunKey)
			}
		}
		c.advance(10 * time.Millisecond)
		if c.virtualTime.Sub(c.workers["w2"].lastStartAt) > maxQuietWait {
			t.Fatal("the suspect is not started")
		}
	}
	c.crash("w2")
	if crash := c.task(runKey(suspect, 0, 0, 0).Task).crashes; len(crash) != 0 {
		t.Errorf("crashes %+v, want the task given up", crash)
	}
	c.wantState(suspect, graph.Failed)
}

// Guards against a suspect that begins its wait anew each time the worker that is kept for it fills up.
func TestWaitForAQuietWorkerIsBoundedInAll(t *testing.T) {
	c := newFixture(t, 2)
	c.advance(time.Second)
	crashed := &Progress{State: graph.Running, Started: true, Steps: []StepProgress{{Tasks: []TaskProgress{{Crashes: []CrashProgress{{Run: 1, Ended: true, Proven: true, Likely: true}}}}}}}
	c.AddJob(JobInput{ID: "a", Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Progress: crashed})
	suspect := c.task(runKey("a", 0, 0, 0).Task)
	for i := range 100 {
		c.addWorker(fmt.Sprint("full", i), 10)
	}
	began := c.virtualTime
	// Workers come one after the other, each with a task that was just started and room for one more, which another task takes.
	for i := 0; suspect.run == nil; i++ {
		if c.virtualTime.Sub(began) > maxQuietWait+startSpread {
			t.Fatal("the suspect is not started")
		}
		w := c.addWorker(fmt.Sprint("w", i), 200)
		for _, id := range []string{"noise", "filler"} {
			other := runKey(c.addJob(fmt.Sprint(id, i), false, plainStep(1)), 0, 0, 1)
			c.startRun(c.task(other.Task), c.workers[w], other.Number)
			c.HandleStartOutcome(w, other, Started)
			if id == "noise" {
				c.planByKind()
			}
		}
		c.advance(startSpread / 2)
	}
}

// Guards against a worker that counts as quiet although another job's start there is in doubt, which is a possible cause of a crash.
func TestWorkerWithAStartInDoubtIsNotQuiet(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 300)
	other := runKey(c.addJob("b", false, plainStep(1)), 0, 0, 1)
	c.startRun(c.task(other.Task), c.workers[w], other.Number)
	c.HandleStartOutcome(w, other, StartInDoubt)
	c.advance(2 * startSpread)
	c.addJob("a", false, plainStep(1))
	if c.workers[w].isQuietFor(c.jobs["a"], c.now) {
		t.Error("the worker is quiet, want not")
	}
}

// Guards against suspects that wait for quiet workers keeping these from other jobs' tasks: each of them one after the other, or all of them
// the pool.
func TestSuspectsThatWaitKeepFewWorkers(t *testing.T) {
	const workers, suspects = 20, 10
	c := newFixture(t, 2)
	c.advance(time.Second)
	for i := range workers {
		c.addWorker(fmt.Sprint("w", i), 100_000)
	}
	crashed := &Progress{State: graph.Running, Started: true, Steps: []StepProgress{{Tasks: []TaskProgress{{Crashes: []CrashProgress{{Run: 1, Ended: true, Proven: true, Likely: true}}}}}}}
	kept := make(map[WorkerID]bool)
	for i := range 20 {
		for w := range workers {
			other := runKey(c.addJob(fmt.Sprintf("b%d-%d", i, w), false, plainStep(1)), 0, 0, 1)
			c.startRun(c.task(other.Task), c.workers[WorkerID(fmt.Sprint("w", w))], other.Number)
			c.HandleStartOutcome(WorkerID(fmt.Sprint("w", w)), other, Started)
		}
		if i == 0 {
			for j := range suspects {
				c.AddJob(JobInput{ID: graph.JobID(fmt.Sprint("s", j)), Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Progress: crashed})
			}
		}
		c.planByKind()
		for id, w := range c.workers {
			if w.probation.announced {
				kept[id] = true
			}
		}
		c.advance(startSpread / 4)
	}
	if len(kept) > workers/announcedShare {
		t.Errorf("%d of %d workers are kept for suspects that wait, want at most one in %d", len(kept), workers, announcedShare)
	}
}

// Guards against a suspect being started on the worker that it waited for although that no longer takes runs.
func TestSuspectIsNotStartedOnAWorkerThatIsOutOfUse(t *testing.T) {
	outOfUse := map[string]func(c *fixture, id WorkerID){
		"unreachable": func(c *fixture, id WorkerID) { c.SetReachable(id, false) },
		"draining": func(c *fixture, id WorkerID) {
			drained := c.workers[id].Worker
			drained.Draining = true
			c.PutWorker(drained)
		},
		"removed": func(c *fixture, id WorkerID) { c.RemoveWorker(id, WorkerLeft) },
	}
	for name, end := range outOfUse {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 2)
			c.advance(time.Second)
			w := c.addWorker("w", 300)
			c.addWorker("small", 10)
			crashed := &Progress{State: graph.Running, Started: true, Steps: []StepProgress{{Tasks: []TaskProgress{{Crashes: []CrashProgress{{Run: 1, Ended: true, Proven: true, Likely: true}}}}}}}
			c.AddJob(JobInput{ID: "a", Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Progress: crashed})
			other := runKey(c.addJob("b", false, plainStep(1)), 0, 0, 1)
			c.startRun(c.task(other.Task), c.workers[w], other.Number)
			c.HandleStartOutcome(w, other, Started)
			c.planByKind()
			if c.task(runKey("a", 0, 0, 0).Task).quietWait.worker == nil {
				t.Fatal("the suspect does not wait for the worker")
			}
			end(c, w)
			c.advance(2 * startSpread)
			if starts, _, _ := c.planByKind(); len(starts) != 0 {
				t.Errorf("%v is started", starts[0].RunKey)
			}
		})
	}
}

// Guards against a suspect that is never started, since other jobs' tasks are started everywhere all the time.
func TestSuspectWaitsForAQuietWorkerOnlyForATime(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	c.addWorker("w1", 100)
	suspect := c.addJob("a", false, plainStep(1))
	c.crash(c.startOn(runKey(suspect, 0, 0, 0).Task))
	c.RemoveWorker("w1", WorkerCrashed)
	c.record()
	c.addWorker("w2", 10_000)
	began := c.virtualTime
	for i := 0; c.task(runKey(suspect, 0, 0, 0).Task).run == nil; i++ {
		if c.virtualTime.Sub(began) > 2*maxQuietWait {
			t.Fatal("the suspect is not started")
		}
		other := runKey(c.addJob(fmt.Sprint("b", i), false, plainStep(1)), 0, 0, 1)
		c.startRun(c.task(other.Task), c.workers["w2"], other.Number)
		c.HandleStartOutcome("w2", other, Started)
		c.planByKind()
		c.advance(startSpread / 2)
	}
}

// Guards against a job being failed for crashes of workers that may never have had its task: a start without an answer is no proof.
func TestStartsInDoubtAreNoProofOfACrash(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	j := c.addJob("j", false, plainStep(1))
	for i := range DefaultMaxCrashes {
		w := c.addWorker(fmt.Sprintf("w%d", i), 100)
		c.startOn(runKey(j, 0, 0, 0).Task)
		c.RemoveWorker(w, WorkerCrashed)
	}
	c.wantState(j, graph.Queued)
}

// Guards against services being failed since their workers lose power together again and again, soon after each start.
func TestCommonCrashesFailNoService(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	service := plainStep(1)
	service.LongRunning = true
	var jobs []graph.JobID
	for i := range commonCrashWorkers + 2 {
		jobs = append(jobs, c.addJob(fmt.Sprint("j", i), false, service))
		c.addWorker(fmt.Sprint("w", i), 100)
	}
	for range 6 {
		for i, j := range jobs {
			task := c.task(runKey(j, 0, 0, 0).Task)
			c.startRun(task, c.workers[WorkerID(fmt.Sprint("w", i))], c.nextRunNumber(task.lastRunNumber))
		}
		c.advance(50 * time.Millisecond)
		for id, w := range c.workers {
			for key := range w.runs {
				c.HandleStartOutcome(id, key, Started)
			}
		}
		for id := range c.workers {
			c.SetReachable(id, false)
		}
		c.advance(time.Second)
		for id := range c.workers {
			c.HandleRestart(id, WorkerCrashed, c.virtualTime)
			c.SetReachable(id, true)
		}
	}
	for _, j := range jobs {
		c.wantState(j, graph.Running)
	}
}

// Guards against tasks that crash their workers at the same moment, since their earlier workers did, passing for a common cause of these ends.
func TestSuspectsThatCrashTogetherAreNoCommonCause(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	var jobs []graph.JobID
	start := func(i int) {
		task := c.task(runKey(jobs[i], 0, 0, 0).Task)
		c.startRun(task, c.workers[WorkerID(fmt.Sprint("w", i))], c.nextRunNumber(task.lastRunNumber))
	}
	for i := range commonCrashWorkers + 1 {
		jobs = append(jobs, c.addJob(fmt.Sprint("j", i), false, plainStep(1)))
		w := c.addWorker(fmt.Sprint("w", i), 100)
		start(i)
		c.crash(w)
		c.SetReachable(w, true)
	}
	for i := range jobs {
		start(i)
	}
	for id, w := range c.workers {
		for key := range w.runs {
			c.HandleStartOutcome(id, key, Started)
		}
		c.SetReachable(id, false)
	}
	for id := range c.workers {
		c.HandleRestart(id, WorkerCrashed, c.virtualTime)
	}
	for _, j := range jobs {
		c.wantState(j, graph.Failed)
	}
}

// Guards against jobs being failed for workers that fail together, for which no task can be the cause.
func TestCommonCrashHasNoLikelyCause(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	var jobs []graph.JobID
	for i := range commonCrashWorkers + 1 {
		jobs = append(jobs, c.addJob(fmt.Sprint("j", i), false, plainStep(1)))
	}
	for range maxLikelyCrashes {
		for i := range jobs {
			c.addWorker(fmt.Sprint("w", i), 100)
		}
		for _, j := range jobs {
			c.startOn(runKey(j, 0, 0, 0).Task)
		}
		for id, w := range c.workers {
			for key := range w.runs {
				c.HandleStartOutcome(id, key, Started)
			}
			c.SetReachable(id, false)
		}
		c.advance(300 * time.Millisecond)
		for i := range jobs {
			c.RemoveWorker(WorkerID(fmt.Sprint("w", i)), WorkerCrashed)
		}
	}
	for _, j := range jobs {
		c.wantState(j, graph.Running)
	}
}

// Guards against crashes that count for no task: a worker may be back so soon that the owner can't tell at first which process has the
// runs that were started last.
func TestCrashOfAQuicklyRestartedWorkerCounts(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	j := c.addJob("j", false, plainStep(1))
	for range maxLikelyCrashes {
		w := c.addWorker("w", 100)
		aliveAt := c.virtualTime
		c.advance(10 * time.Millisecond)
		c.startOn(runKey(j, 0, 0, 0).Task)
		for key := range c.workers[w].runs {
			c.HandleStartOutcome(w, key, Started)
		}
		c.advance(10 * time.Millisecond)
		if ended := c.HandleRestart(w, WorkerCrashed, aliveAt); len(ended) != 0 {
			t.Fatalf("%v ended, want the report of the next process awaited", ended)
		}
		c.advance(10 * time.Millisecond)
		c.HandleReport(w, c.virtualTime, Report{})
	}
	c.wantState(j, graph.Failed)
}

// Guards against a job being failed for another one's task that was started on the same worker at the same moment, twice: where there is
// one worker, nothing keeps them apart.
func TestCrashWithTwoLikelyJobsFailsNeither(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	var jobs []graph.JobID
	for _, id := range []string{"a", "b"} {
		jobs = append(jobs, c.addJob(id, false, plainStep(1)))
	}
	for i := range maxLikelyCrashes {
		w := c.addWorker(fmt.Sprint("w", i), 200)
		for _, j := range jobs {
			task := c.task(runKey(j, 0, 0, 0).Task)
			e := c.Engine
			e.startRun(task, c.workers[w], e.nextRunNumber(task.lastRunNumber))
		}
		for key := range c.workers[w].runs {
			c.HandleStartOutcome(w, key, Started)
		}
		c.RemoveWorker(w, WorkerCrashed)
	}
	for _, j := range jobs {
		c.wantState(j, graph.Running)
	}
}

// Guards against a job being failed for the crashes of another one's task whose start was not answered before its worker crashed: what is
// known to have run there is not the only possible cause.
func TestRunBesideAnUnansweredStartIsNotTheSoleCause(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	crashing := c.addJob("a", false, plainStep(1))
	beside := c.addJob("b", false, plainStep(1))
	for i := range maxLikelyCrashes {
		w := c.addWorker(fmt.Sprint("w", i), 200)
		for _, j := range []graph.JobID{crashing, beside} {
			task := c.task(runKey(j, 0, 0, 0).Task)
			c.startRun(task, c.workers[w], c.nextRunNumber(task.lastRunNumber))
		}
		for key := range c.workers[w].runs {
			if key.Task.Job == beside {
				c.HandleStartOutcome(w, key, Started)
			}
		}
		c.advance(10 * time.Millisecond)
		c.RemoveWorker(w, WorkerCrashed)
	}
	c.wantState(beside, graph.Running)
}

// Guards against a job being failed for the crashes of another one's task: where crashes are noticed too late for a likely cause, all tasks
// that were beside it each time count as many of them.
func TestTaskBesideLateCrashesOfAnotherIsNotGivenUp(t *testing.T) {
	const maxStarts = 5
	c := newFixture(t, 1)
	c.advance(time.Second)
	for i := range 4 {
		c.addWorker(fmt.Sprintf("w%d", i), 400)
	}
	beside := c.addJob("a", false, plainStep(2))
	crashing := c.addJob("b", false, plainStep(1))
	task := c.task(runKey(crashing, 0, 0, 0).Task)
	starts := 0
	for range 20 {
		c.record()
		ordered, _, _ := c.planByKind()
		for _, s := range ordered {
			c.HandleStartOutcome(s.Worker, s.RunKey, Started)
			if s.Task.Job == crashing {
				starts++
			}
		}
		if task.run != nil {
			w := task.run.worker.ID
			c.advance(2 * promptCrashTime)
			c.HandleRestart(w, WorkerCrashed, c.virtualTime)
			c.SetReachable(w, true)
		} else {
			c.advance(probationTime)
		}
	}
	c.wantState(crashing, graph.Failed)
	c.wantState(beside, graph.Running)
	if starts > maxStarts {
		t.Errorf("the crashing task was started %d times, want at most %d", starts, maxStarts)
	}
}

// Guards against a job being failed at once for crashes that count alike for a task of another one, which was there each time.
func TestTasksThatWereTogetherAtEachCrashAreNotToldApartAtOnce(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	var jobs []graph.JobID
	for _, id := range []string{"a", "b"} {
		jobs = append(jobs, c.addJob(id, false, plainStep(1)))
	}
	failed := func() (n int) {
		for _, j := range jobs {
			if state, _ := c.JobState(j); state == graph.Failed {
				n++
			}
		}
		return n
	}
	for i := range DefaultMaxCrashes + 1 {
		if n := failed(); n != 0 {
			t.Fatalf("%d jobs failed after %d crashes", n, i)
		}
		w := c.addWorker(fmt.Sprint("w", i), 200)
		for _, j := range jobs {
			task := c.task(runKey(j, 0, 0, 0).Task)
			c.startRun(task, c.workers[w], c.nextRunNumber(task.lastRunNumber))
		}
		for key := range c.workers[w].runs {
			c.HandleStartOutcome(w, key, Started)
		}
		c.advance(2 * promptCrashTime)
		c.RemoveWorker(w, WorkerCrashed)
	}
	if n := failed(); n != 1 {
		t.Errorf("%d jobs failed after %d crashes, want the one that is blamed more", n, DefaultMaxCrashes+1)
	}
}

// Guards against a task that crashed workers under earlier owners being excused by one that has been beside it only since.
func TestNeighbourOfFewerCrashesExcusesNoTask(t *testing.T) {
	const recorded = 2
	c := newFixture(t, 2)
	c.advance(time.Second)
	c.addWorker("w", 400)
	p := Progress{State: graph.Running, Started: true, Steps: []StepProgress{{Tasks: []TaskProgress{{}}}}}
	for run := range recorded {
		p.Steps[0].Tasks[0].Crashes = append(p.Steps[0].Tasks[0].Crashes, CrashProgress{Run: uint64(run + 1), Ended: true, Proven: true})
	}
	c.AddJob(JobInput{ID: "a", Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Progress: &p})
	c.addJob("b", false, plainStep(1))
	for range DefaultMaxCrashes - recorded {
		c.wantState("a", graph.Running)
		for _, id := range []graph.JobID{"b", "a"} {
			task := c.task(runKey(id, 0, 0, 0).Task)
			c.startRun(task, c.workers["w"], c.nextRunNumber(task.lastRunNumber))
		}
		for key := range c.workers["w"].runs {
			c.HandleStartOutcome("w", key, Started)
		}
		c.advance(2 * promptCrashTime)
		c.HandleRestart("w", WorkerCrashed, c.virtualTime)
		c.SetReachable("w", true)
	}
	c.wantState("a", graph.Failed)
	c.wantState("b", graph.Running)
}

// Guards against a crashing task being started without end since a neighbour was there each time: on the only worker of a pool, and where
// each owner sees one crash.
func TestNeighboursExcuseACrashingTaskOnlyForATime(t *testing.T) {
	const maxStarts = 5
	service := plainStep(1)
	service.LongRunning = true
	for _, owners := range []int{1, 2 * maxStarts} {
		t.Run(fmt.Sprint(owners, " owners"), func(t *testing.T) {
			var progress *Progress
			starts := 0
			for owner := range owners {
				c := newFixture(t, uint64(owner+1))
				c.advance(time.Second)
				c.addWorker("w", 400)
				c.addJob("b", false, service)
				c.AddJob(JobInput{ID: "a", Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Progress: progress})
				for range 2 * maxStarts / owners {
					w := c.startOn(runKey("a", 0, 0, 0).Task)
					starts++
					c.advance(probationTime)
					c.startOn(runKey("b", 0, 0, 0).Task)
					for key := range c.workers[w].runs {
						c.HandleStartOutcome(w, key, Started)
					}
					c.advance(2 * promptCrashTime)
					c.HandleRestart(w, WorkerCrashed, c.virtualTime)
					c.SetReachable(w, true)
					if state, _ := c.JobState("a"); state == graph.Failed {
						if starts > maxStarts {
							t.Errorf("the task was started %d times, want at most %d", starts, maxStarts)
						}
						return
					}
				}
				p := c.TakeDirty(10)["a"]
				progress = &p
			}
			t.Errorf("job is not failed after %d starts", starts)
		})
	}
}
