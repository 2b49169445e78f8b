package dispatch

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// copyFixture has a Speculative step of four tasks, one on each of four workers, of which three are done after a second. The fourth
// makes no progress.
type copyFixture struct {
	*fixture
	job       graph.JobID
	straggler Start
	sequences map[WorkerID]uint64
}

func newCopyFixture(t *testing.T, speculative bool, attempts int) *copyFixture {
	c := &copyFixture{fixture: newFixture(t, 1), job: "j", sequences: map[WorkerID]uint64{}}
	c.advance(time.Second)
	c.maxCopyShare = 1
	for i := range 4 {
		c.addWorker(fmt.Sprint("w", i), 100)
	}
	queue := plainQueue
	queue.MaxAttempts = attempts
	step := plainStep(4)
	step.Speculative = speculative
	c.AddJob(JobInput{ID: c.job, Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{step, plainStep(1, 0)}}, ArrivedAt: c.virtualTime})
	starts, _, _ := c.planByKind()
	for _, s := range starts {
		c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	}
	c.advance(time.Second)
	for _, s := range starts[:3] {
		c.end(s, RunDone)
	}
	c.straggler = starts[3]
	return c
}

func (c *copyFixture) end(s Start, outcome RunOutcome) {
	c.sequences[s.Worker]++
	report := endedReport(c.sequences[s.Worker], s.RunKey, outcome)
	report.Partial = true
	c.HandleReport(s.Worker, c.virtualTime, report)
}

// copyAfter advances by d and returns the copy that is then started, if any.
func (c *copyFixture) copyAfter(d time.Duration) (Start, bool) {
	c.t.Helper()
	c.advance(d)
	starts, stops, _ := c.planByKind()
	if len(starts) > 1 || len(stops) > 0 {
		c.t.Fatalf("starts %v, stops %v, want at most one start", starts, stops)
	}
	if len(starts) == 0 {
		return Start{}, false
	}
	c.HandleStartOutcome(starts[0].Worker, starts[0].RunKey, Started)
	return starts[0], true
}

func (c *copyFixture) mustCopy() Start {
	c.t.Helper()
	s, ok := c.copyAfter(2 * time.Second)
	if !ok || s.Task != c.straggler.Task || s.Number <= c.straggler.Number || s.Worker == c.straggler.Worker || !s.Copy {
		c.t.Fatalf("started %v %+v, want a copy of the straggler elsewhere under a higher number", ok, s)
	}
	return s
}

func TestStragglerGetsOneCopy(t *testing.T) {
	c := newCopyFixture(t, true, 3)
	if s, ok := c.copyAfter(100 * time.Millisecond); ok {
		t.Errorf("copy %+v of a run that is hardly late", s)
	}
	c.mustCopy()
	if s, ok := c.copyAfter(10 * time.Second); ok {
		t.Errorf("a second copy: %+v", s)
	}
}

func TestNoCopyWithoutSpeculative(t *testing.T) {
	c := newCopyFixture(t, false, 3)
	if s, ok := c.copyAfter(10 * time.Second); ok {
		t.Errorf("copy %+v of a task that is not speculative", s)
	}
}

// Whichever of the two runs is done first, the other is stopped, and keeps its allocation until its end is listed.
func TestFirstRunDoneStopsTheOther(t *testing.T) {
	for _, copyWins := range []bool{true, false} {
		c := newCopyFixture(t, true, 3)
		winner, loser := c.straggler, c.mustCopy()
		if copyWins {
			winner, loser = loser, winner
		}
		c.end(winner, RunDone)
		_, stops, _ := c.planByKind()
		if len(stops) != 1 || stops[0].RunKey != loser.RunKey {
			t.Fatalf("copy wins %v: stops %v, want the other run", copyWins, stops)
		}
		w := c.workers[loser.Worker]
		if w.used != loser.allocationOf(c.Engine) {
			t.Errorf("copy wins %v: %v in use while the run is being stopped", copyWins, w.used)
		}
		c.end(loser, RunInterrupted)
		next := c.workers[loser.Worker].used
		if next.MilliCPU != 0 || c.copiesUsed["p"].MilliCPU != 0 {
			t.Errorf("copy wins %v: %v in use after its end, copies use %v", copyWins, next, c.copiesUsed["p"])
		}
		if got := c.Stats().CopiesWon; (got == 1) != copyWins {
			t.Errorf("copy wins %v: %d copies won", copyWins, got)
		}
	}
}

func (s Start) allocationOf(e *Engine) graph.Resources { return e.task(s.Task).step.def.Allocation() }

// The original fails: its copy goes on as the task's run, and no third one starts until that has ended.
func TestCopyTakesTheOriginalsPlace(t *testing.T) {
	c := newCopyFixture(t, true, 3)
	second := c.mustCopy()
	c.end(c.straggler, RunFailed)
	if s, ok := c.copyAfter(time.Millisecond); ok {
		t.Fatalf("started %+v while the copy runs", s)
	}
	if task := c.task(second.Task); task.run == nil || task.run.Number != second.Number || task.copy != nil || len(task.failedRuns) != 1 {
		t.Fatalf("run %+v, copy %+v, failed %v, want the copy as the task's run and one failed run", task.run, task.copy, task.failedRuns)
	}
	c.end(second, RunFailed)
	if s, ok := c.copyAfter(time.Millisecond); !ok || s.Copy || s.Number <= second.Number {
		t.Errorf("started %v %+v, want a third run", ok, s)
	}
}

func TestFailedCopyLeavesTheOriginal(t *testing.T) {
	c := newCopyFixture(t, true, 3)
	second := c.mustCopy()
	c.end(second, RunFailed)
	if state, _ := c.JobState(c.job); state != graph.Running {
		t.Fatalf("job is %s", state)
	}
	// One failed run of three attempts leaves one for another copy, a second none.
	third, ok := c.copyAfter(2 * time.Second)
	if !ok || !third.Copy || third.Number <= second.Number {
		t.Fatalf("started %v %+v, want another copy", ok, third)
	}
	c.end(third, RunFailed)
	if s, ok := c.copyAfter(10 * time.Second); ok {
		t.Errorf("copy %+v whose failure would fail the job", s)
	}
	c.end(c.straggler, RunDone)
	if c.task(c.straggler.Task).done != true {
		t.Error("the original's end does not count")
	}
}

// A copy's failure must not fail the job while the original may still be done.
func TestNoCopyThatCouldFailTheJob(t *testing.T) {
	c := newCopyFixture(t, true, 1)
	if s, ok := c.copyAfter(10 * time.Second); ok {
		t.Errorf("copy %+v of a task with a single attempt", s)
	}
}

func TestCancelStopsBothRuns(t *testing.T) {
	c := newCopyFixture(t, true, 3)
	c.mustCopy()
	c.Cancel(c.job)
	if _, stops, _ := c.planByKind(); len(stops) != 2 {
		t.Errorf("stops %v, want both runs stopped", stops)
	}
}

// A new owner keeps both runs that are reported of a Speculative task, and stops a third.
func TestBothRunsAreKeptAfterTakeover(t *testing.T) {
	c := newFixture(t, 2)
	for _, id := range []string{"a", "b", "d"} {
		c.AwaitReport(c.addWorker(id, 1000), "p")
	}
	step := plainStep(1)
	step.Speculative = true
	j := c.addJob("j", true, step)
	c.HandleReport("b", c.virtualTime, runningReport(runKey(j, 0, 0, 2)))
	c.HandleReport("a", c.virtualTime, runningReport(runKey(j, 0, 0, 1)))
	if starts, stops, _ := c.planByKind(); len(starts)+len(stops) != 0 {
		t.Fatalf("starts %v, stops %v, want both runs kept", starts, stops)
	}
	c.HandleReport("d", c.virtualTime, runningReport(runKey(j, 0, 0, 3)))
	if _, stops, _ := c.planByKind(); len(stops) != 1 || stops[0].Worker != "d" {
		t.Errorf("stops %v, want the third run stopped", stops)
	}
	c.HandleReport("a", c.virtualTime, endedReport(1, runKey(j, 0, 0, 1), RunDone))
	if _, stops, _ := c.planByKind(); len(stops) != 1 || stops[0].Worker != "b" {
		t.Errorf("stops %v, want the other run stopped", stops)
	}
}

// A task that waits, here for a permit, keeps the capacity that it could use from copies.
func TestCopyTakesNoRoomThatAWaitingTaskCouldUse(t *testing.T) {
	c := newCopyFixture(t, true, 3)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: time.Minute}
	waiting := c.virtualTime
	c.AddJob(JobInput{ID: "waits", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: waiting})
	if s, ok := c.copyAfter(2 * time.Second); ok {
		t.Errorf("copy %+v in room that a waiting task could use", s)
	}
	c.Cancel("waits")
	c.mustCopy()
}

func TestCopiesKeepTheirBudget(t *testing.T) {
	c := newCopyFixture(t, true, 3)
	c.maxCopyShare = 0.2 // of four workers, each the size of a task
	if s, ok := c.copyAfter(10 * time.Second); ok {
		t.Errorf("copy %+v beyond the budget", s)
	}
	c.maxCopyShare = 0.25
	c.mustCopy()
}

// In 3% of the tasks a run takes seven times as long as its siblings. Copies must bring the quick jobs in time, within their budget,
// and must not delay others.
func TestCopiesOvertakeStragglers(t *testing.T) {
	for _, load := range []struct{ share, gain float64 }{{0.6, 0.05}, {0.9, 0}} {
		var quick, before, after, wideBefore, wideAfter int
		for seed := range uint64(3) {
			for _, copies := range []bool{false, true} {
				c := newUnevenCell(t, seed, 100, false, unevenLoad{share: load.share, longTails: 0.03, speculative: true})
				if !copies {
					c.engine.maxCopyShare = 0
				}
				for i := range 500 {
					c.after(time.Duration(i)*100*time.Millisecond, func() { c.checkCopies() })
				}
				c.run(0, 50*time.Second)
				if copies {
					quick, after, wideAfter = quick+c.quick, after+c.met, wideAfter+c.wideStarts
					stats := c.engine.Stats()
					t.Logf("load %.1f, seed %d: %d copies, %d won", load.share, seed, stats.Copies, stats.CopiesWon)
				} else {
					before, wideBefore = before+c.met, wideBefore+c.wideStarts
				}
			}
		}
		t.Logf("load %.1f: of %d quick jobs %.3f met their objective without copies, %.3f with; wide starts %d and %d",
			load.share, quick, float64(before)/float64(quick), float64(after)/float64(quick), wideBefore, wideAfter)
		if float64(after-before) < load.gain*float64(quick) {
			t.Errorf("load %.1f: %d quick jobs in time with copies, %d without", load.share, after, before)
		}
		if float64(wideAfter) < 0.95*float64(wideBefore) {
			t.Errorf("load %.1f: %d wide tasks started with copies, %d without", load.share, wideAfter, wideBefore)
		}
	}
}

// checkCopies checks the budget of the copies and what is counted towards it.
func (c *unevenCell) checkCopies() {
	var used graph.Resources
	for _, j := range c.engine.jobs {
		j.eachTask(func(task *task) {
			if task.copy != nil {
				used = used.Add(task.copy.allocation)
			}
		})
	}
	counted := c.engine.copiesUsed["p"]
	if !used.Fits(counted) {
		c.t.Fatalf("copies use %v, counted are %v", used, counted)
	}
	if limit := int64(0.03 * float64(len(c.workers)) * unevenCores); counted.MilliCPU > limit {
		c.t.Fatalf("copies use %d milli-CPU, want at most %d", counted.MilliCPU, limit)
	}
}

// A tenth of the workers stand still for 20 s. Each run there that a copy overtakes is stopped and makes room for the next one,
// unless its worker is ejected for it.
func TestCopiesOnWorkersThatStandStill(t *testing.T) {
	met := map[string]int{}
	quick := 0
	for seed := range uint64(4) {
		for _, mode := range []string{"neither", "copies", "both"} {
			c := newUnevenCell(t, seed, 100, false, unevenLoad{share: 0.9, failures: 0.02, speculative: true})
			if mode == "neither" {
				c.engine.maxCopyShare = 0
			}
			c.engine.noEjections = mode != "both"
			c.badWorkers(10, func(w *unevenWorker) {
				w.stalled = func(age time.Duration) bool { return age > 10*time.Second && age < 30*time.Second }
			})
			c.run(5*time.Second, 40*time.Second)
			met[mode] += c.met
			if mode == "both" {
				quick += c.quick
			}
		}
	}
	t.Logf("of %d quick jobs in time: %v", quick, met)
	if met["both"] <= met["copies"] || float64(met["both"]) < float64(met["neither"])-0.02*float64(quick) {
		t.Errorf("of %d quick jobs in time: %v, want more with copies and ejections than with copies, and hardly fewer than with neither", quick, met)
	}
}

// A copy overtakes a run. Its worker is a suspect if it has listed the run without progress for long or not at all, but not if the
// run was only slow.
func TestOvertakenRunSpeaksAgainstItsWorker(t *testing.T) {
	for _, c := range []struct {
		name                 string
		listed               bool
		progress             int
		suspect, hasEvidence bool
	}{
		{"stands still", true, 0, true, true},
		{"not listed", false, 0, true, false},
		{"slow", true, 20, false, false},
	} {
		f := newCopyFixture(t, true, 3)
		f.advance(500 * time.Millisecond)
		if c.listed {
			report := runningReport(f.straggler.RunKey)
			report.Running[0].Progress, report.Partial = c.progress, true
			f.HandleReport(f.straggler.Worker, f.virtualTime, report)
		}
		s, ok := f.copyAfter(10 * time.Millisecond)
		if !ok {
			t.Fatalf("%s: no copy", c.name)
		}
		f.end(s, RunDone)
		w := f.workers[f.straggler.Worker]
		if f.isSuspect(w) != c.suspect || (w.health.evidence > 0) != c.hasEvidence {
			t.Errorf("%s: suspect %v, evidence %.1f, want %v, %v", c.name, f.isSuspect(w), w.health.evidence, c.suspect, c.hasEvidence)
		}
	}
}
