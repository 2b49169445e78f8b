package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// badWorkers makes the given number of the cell's workers bad and returns them.
func (c *unevenCell) badWorkers(n int, makeBad func(*unevenWorker)) []*unevenWorker {
	var bad []*unevenWorker
	for i := range n {
		w := c.workers[(i*7+3)%len(c.workers)]
		makeBad(w)
		bad = append(bad, w)
	}
	return bad
}

// compareEjections runs the same jobs without and with ejections, over several seeds.
func compareEjections(t *testing.T, load unevenLoad, bad int, makeBad func(*unevenWorker)) (off, on ejectionResult) {
	for seed := range uint64(4) {
		for _, result := range []*ejectionResult{&off, &on} {
			c := newUnevenCell(t, seed, 60, false, load)
			c.engine.noEjections = result == &off
			workers := c.badWorkers(bad, makeBad)
			c.run(0, 50*time.Second)
			result.add(c, workers)
		}
	}
	t.Logf("without ejections %+v, with %+v", off, on)
	return off, on
}

type ejectionResult struct{ Quick, Met, FailedJobs, StartsOnBad, FailedOnBad, SoundEjected int }

func (r *ejectionResult) add(c *unevenCell, bad []*unevenWorker) {
	r.Quick, r.Met, r.FailedJobs = r.Quick+c.quick, r.Met+c.met, r.FailedJobs+c.failedJobs
	isBad := map[WorkerID]bool{}
	for _, w := range bad {
		isBad[w.id] = true
		r.StartsOnBad += c.startsOn[w.id]
		r.FailedOnBad += c.failedOn[w.id]
	}
	for _, event := range c.workerEvents {
		fields := strings.Fields(event)
		if fields[2] == string(WorkerEjected) && !isBad[WorkerID(fields[1])] {
			r.SoundEjected++
		}
	}
}

// Workers that fail every run are always free, and take the tasks of the whole pool unless they are ejected.
func TestWorkersThatFailAllRunsAreEjected(t *testing.T) {
	for _, share := range []float64{0.6, 0.9} {
		off, on := compareEjections(t, unevenLoad{share: share, failures: 0.03}, 5, func(w *unevenWorker) { w.failureRate = 1 })
		if on.FailedOnBad*4 > off.FailedOnBad {
			t.Errorf("load %.1f: %d failed runs on bad workers, %d without ejections", share, on.FailedOnBad, off.FailedOnBad)
		}
		if on.Met < off.Met || on.FailedJobs > off.FailedJobs {
			t.Errorf("load %.1f: fewer jobs in time with ejections", share)
		}
	}
}

func TestWorkersThatFail40PercentAreEjected(t *testing.T) {
	for _, share := range []float64{0.6, 0.9} {
		off, on := compareEjections(t, unevenLoad{share: share, failures: 0.03}, 5, func(w *unevenWorker) { w.failureRate = 0.4 })
		if on.FailedOnBad*2 > off.FailedOnBad {
			t.Errorf("load %.1f: %d failed runs on bad workers, %d without ejections", share, on.FailedOnBad, off.FailedOnBad)
		}
		if on.Met < off.Met {
			t.Errorf("load %.1f: fewer jobs in time with ejections", share)
		}
	}
}

// Tasks fail by their own fault in up to a tenth of the runs. Hardly a worker may be ejected for it.
func TestFailuresOfTasksEjectHardlyAnyWorker(t *testing.T) {
	for _, failures := range []float64{0.005, 0.03, 0.1} {
		_, on := compareEjections(t, unevenLoad{share: 0.7, failures: failures}, 0, nil)
		if on.SoundEjected > 4 {
			t.Errorf("tasks fail in %.3f of the runs: %d sound workers ejected in 200 s", failures, on.SoundEjected)
		}
	}
}

// A tenth of the workers stands still from second 10 to 30, with their health reported as good. They are ejected, and readmitted
// when their runs go on.
func TestWorkersThatStandStillAreEjected(t *testing.T) {
	c := newUnevenCell(t, 1, 60, false, unevenLoad{share: 0.7, failures: 0.03})
	bad := c.badWorkers(6, func(w *unevenWorker) {
		w.stalled = func(age time.Duration) bool { return age > 10*time.Second && age < 30*time.Second }
	})
	ejectedAt := map[int]int{}
	for _, second := range []int{9, 29, 45} {
		c.after(time.Duration(second)*time.Second, func() {
			for _, w := range bad {
				if c.engine.workers[w.id].health.ejected {
					ejectedAt[second]++
				}
			}
		})
	}
	c.run(0, 50*time.Second)
	t.Logf("of the workers that stand still, ejected by second: %v", ejectedAt)
	if ejectedAt[9] != 0 || ejectedAt[29] < 3 || ejectedAt[45] > 1 {
		t.Errorf("ejected by second: %v, want none before they stand still, most meanwhile, and at most one afterwards", ejectedAt)
	}
}

// Nearly a third of the workers fail nearly all runs: at most a tenth of the pool may be ejected, so that a fault of the jobs does
// not empty the pool.
func TestAtMostATenthIsEjected(t *testing.T) {
	c := newUnevenCell(t, 1, 60, false, unevenLoad{share: 0.7, failures: 0.03})
	c.badWorkers(18, func(w *unevenWorker) { w.failureRate = 0.9 })
	most := 0
	for i := range 300 {
		c.after(time.Duration(i)*100*time.Millisecond, func() { most = max(most, c.engine.EjectedWorkers()) })
	}
	c.run(0, 30*time.Second)
	if most != 6 {
		t.Errorf("up to %d of 60 workers ejected, want 6", most)
	}
}

// A job whose tasks fail wherever they run says nothing about the workers.
func TestJobThatFailsEverywhereEjectsNoWorker(t *testing.T) {
	c := newFixture(t, 1)
	for i := range 20 {
		c.addWorker(fmt.Sprintf("w%02d", i), 100)
	}
	sequences := map[WorkerID]uint64{}
	for i := range 30 {
		queue := plainQueue
		queue.MaxAttempts = 100
		id := graph.JobID(fmt.Sprint("j", i))
		c.AddJob(JobInput{ID: id, Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(20)}}, ArrivedAt: c.virtualTime})
		for range 5 {
			c.advance(suspectDuration)
			starts, _, _ := c.planByKind()
			for _, s := range starts {
				c.HandleStartOutcome(s.Worker, s.RunKey, Started)
				sequences[s.Worker]++
				report := endedReport(sequences[s.Worker], s.RunKey, RunFailed)
				report.Partial = true
				c.HandleReport(s.Worker, c.virtualTime, report)
			}
		}
		c.Cancel(id)
	}
	if n := c.EjectedWorkers(); n > 1 {
		t.Errorf("%d workers ejected for jobs that fail everywhere", n)
	}
}

// ejectedFixture has ten workers of which the first is ejected.
func ejectedFixture(t *testing.T) (*fixture, *worker) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	for i := range 10 {
		c.addWorker(fmt.Sprint("w", i), 100)
	}
	c.planByKind()
	w := c.workers["w0"]
	for range 3 {
		w.health.rate.add(c.now, true)
	}
	c.eject(w)
	return c, w
}

// startWorkers adds a job of n tasks and returns the workers that they start on.
func (c *fixture) startWorkers(id string, step graph.Step, priority int) []WorkerID {
	queue := plainQueue
	queue.Priority, queue.Stretch = priority, 10
	c.AddJob(JobInput{ID: graph.JobID(id), Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{step}}, ArrivedAt: c.virtualTime})
	starts, _, _ := c.planByKind()
	var on []WorkerID
	for _, s := range starts {
		c.HandleStartOutcome(s.Worker, s.RunKey, Started)
		on = append(on, s.Worker)
	}
	return on
}

// An ejected worker that failed nearly all its runs gets one trial run at a time when its delay is over, each further one only
// after the one before, and is readmitted after three.
func TestEjectedWorkerIsReadmittedByTrialRuns(t *testing.T) {
	c, w := ejectedFixture(t)
	if on := c.startWorkers("full", plainStep(10), 2); len(on) != 9 || slices.Contains(on, "w0") {
		t.Fatalf("starts on %v, want one on each worker but the ejected one", on)
	}
	for trial := range trialsToReadmit {
		c.advance(minTrialDelay)
		small := plainStep(2)
		small.Claim.MilliCPU = 50
		on := c.startWorkers(fmt.Sprint("trial", trial), small, 2)
		if len(on) != 1 || on[0] != "w0" {
			t.Fatalf("trial %d: starts on %v, want one on the ejected worker", trial, on)
		}
		for key := range w.runs {
			report := endedReport(w.lastEndSequence+1, key, RunDone)
			report.Partial = true
			c.HandleReport("w0", c.virtualTime, report)
		}
	}
	if w.health.ejected {
		t.Error("still ejected")
	}
	if got := c.Stats().TrialRuns; got != trialsToReadmit {
		t.Errorf("%d trial runs, want %d", got, trialsToReadmit)
	}
}

// A trial that fails puts the next one off for longer.
func TestFailedTrialBacksOff(t *testing.T) {
	c, w := ejectedFixture(t)
	for i, delay := range []time.Duration{2 * minTrialDelay, 4 * minTrialDelay} {
		c.SetNow(w.health.trialAt)
		c.virtualTime = w.health.trialAt
		if on := c.startWorkers(fmt.Sprint("j", i), plainStep(1), 2); len(on) != 1 || on[0] != "w0" {
			t.Fatalf("starts on %v, want the ejected worker", on)
		}
		for key := range w.runs {
			report := endedReport(w.lastEndSequence+1, key, RunFailed)
			report.Partial = true
			c.HandleReport("w0", c.virtualTime, report)
		}
		if got := w.health.trialAt.Sub(c.now); got != delay {
			t.Errorf("next trial after %s, want %s", got, delay)
		}
		c.startWorkers(fmt.Sprint("retry", i), plainStep(1), 2) // the failed task goes elsewhere
	}
}

// Urgent tasks are no trial runs while others may be.
func TestUrgentTaskIsNoTrialRunAtFirst(t *testing.T) {
	c, w := ejectedFixture(t)
	c.SetNow(w.health.trialAt)
	c.virtualTime = w.health.trialAt
	if on := c.startWorkers("urgent", plainStep(1), 0); len(on) != 1 || on[0] == "w0" {
		t.Errorf("starts on %v, want another worker than the ejected one", on)
	}
}

// A step may need a label that only the ejected worker has. It must not wait for trials.
func TestEjectedWorkerWithNeededLabelIsUsed(t *testing.T) {
	c, w := ejectedFixture(t)
	w.Labels = []string{"only"}
	step := plainStep(1)
	step.Label = "only"
	if on := c.startWorkers("labelled", step, 0); len(on) != 1 || on[0] != "w0" {
		t.Errorf("starts on %v, want the only worker with the label", on)
	}
}
