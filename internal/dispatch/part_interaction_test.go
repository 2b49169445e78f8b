package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// A gang that needs every worker of its pool uses an ejected one once its trial is overdue. The failure is a gang that never starts.
func TestGangUsesEjectedWorkerOnOverdueTrial(t *testing.T) {
	c, w := ejectedFixture(t)
	gang := plainStep(10)
	gang.Gang, gang.MaxPerWorker = true, 1
	c.addJob("gang", false, gang)
	starts := 0
	for range 600 {
		c.advance(100 * time.Millisecond)
		started, _, _ := c.planByKind()
		if starts += len(started); starts > 0 {
			break
		}
	}
	if starts != 10 || c.now < w.health.trialAt {
		t.Errorf("%d starts in a minute, trial due %v, want the whole gang after the trial was due", starts, c.now >= w.health.trialAt)
	}
}

// A long-running task doesn't end, so that as a trial it would keep its worker ejected for good.
func TestLongRunningTaskIsNoTrial(t *testing.T) {
	c, w := ejectedFixture(t)
	c.startWorkers("fill", plainStep(9), 2)
	c.advance(minTrialDelay)
	serve := plainStep(1)
	serve.LongRunning = true
	serve.Claim.MilliCPU = 10
	if on := c.startWorkers("serve", serve, 2); !slices.Equal(on, []WorkerID{"w0"}) {
		t.Fatalf("long-running task on %v, want the only worker with capacity", on)
	}
	small := plainStep(1)
	small.Claim.MilliCPU = 10
	if on := c.startWorkers("small", small, 2); !slices.Equal(on, []WorkerID{"w0"}) || !w.hasTrialRun() {
		t.Errorf("small task on %v, trial %v, want a trial beside the long-running task", on, w.hasTrialRun())
	}
}

// A reservation that waits for an ejected worker would keep its gang waiting while sound workers become free.
func TestReservationDropsEjectedWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	for i := range 20 {
		c.addWorker(fmt.Sprint("w", i), 100)
	}
	fill := plainStep(17)
	fill.Claim.MilliCPU, fill.MaxPerWorker, fill.Estimate = 30, 1, time.Hour
	c.startWorkers("fill", fill, 2)
	gang := plainStep(5)
	gang.Gang = true
	s := c.step(StepID{c.addJob("gang", false, gang), 0, 0})
	c.advance(10 * time.Millisecond)
	c.planByKind()
	if len(s.reservedWorkers) != 5 {
		t.Fatalf("%d workers reserved, want 5", len(s.reservedWorkers))
	}
	ejected := s.reservedWorkers[4]
	c.eject(ejected)
	c.advance(10 * time.Millisecond)
	c.planByKind()
	if ejected.reservedFor == s || len(s.reservedWorkers) != 5 {
		t.Errorf("%d workers reserved, the ejected one still %v, want five others", len(s.reservedWorkers), ejected.reservedFor == s)
	}
}

// Tasks that wait for permits hold room against other lanes only as far as their organisation's limit admits them. The failure is
// an organisation with a long backlog that keeps the others from a free cell.
func TestPermitsOfTasksAboveTheLimitHoldNoRoom(t *testing.T) {
	for _, tasks := range []int{1, 500} {
		c := newOrganisationFixture(t, 20, 100)
		c.SetOrganisations([]graph.Organisation{{Name: "a", Weight: 10, Limit: graph.Resources{MilliCPU: 20}}, {Name: "b", Weight: 1}}, RateOptions{Window: time.Second})
		queue := plainQueue
		queue.Permit = &graph.PermitLatency{Base: time.Second}
		c.submit("a", "a", queue, withCPU(tasks, 10))
		c.planByKind()
		for i := range 3 {
			c.submit(fmt.Sprint("b", i), "b", plainQueue, withCPU(1, 10))
		}
		started := 0
		for range 10 {
			c.advance(100 * time.Millisecond)
			for id, n := range c.startsByJob() {
				if id != "a" {
					started += n
				}
			}
		}
		if started != 3 {
			t.Errorf("%d tasks wait for permits, of which the limit admits two: %d starts of the other organisation, want 3", tasks, started)
		}
	}
}

// A worker that restarts while a start order is under way may carry the order out again, also when it has listed the run. The
// failure is a task in two places.
func TestRestartStopsRunWithStartUnderWay(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	job := c.addJob("j", false, plainStep(1))
	c.planByKind()
	c.addWorker("other", 100)
	key := runKey(job, 0, 0, 1)
	c.HandleReport(w, c.virtualTime, runningReport(key))
	ended := c.HandleRestart(w, WorkerCrashed, c.virtualTime)
	starts, stops, _ := c.planByKind()
	if len(ended) != 0 || len(starts) != 0 || len(stops) != 1 {
		t.Errorf("ended %v, starts %v, stops %v, want only a stop of the run", ended, starts, stops)
	}
}

// A copy must not take the capacity below its organisation's limit for which a waiting task of the organisation has asked permits.
func TestNoCopyWhileOrganisationWantsItsLimit(t *testing.T) {
	c := newCopyFixture(t, true, 3)
	unit := plainStep(1).Claim.MilliCPU
	c.SetOrganisations([]graph.Organisation{{Name: "o", Weight: 100, Limit: graph.Resources{MilliCPU: 2 * unit}}}, RateOptions{Window: time.Second})
	o, job := c.organisation("o"), c.jobs[c.job]
	job.organisation = o
	o.addJob(job)
	for _, w := range c.workers {
		for _, r := range w.runs {
			o.countRun(r, r.task.step)
		}
	}
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 500 * time.Millisecond}
	labelled := plainStep(1)
	labelled.Label = "x"
	c.workers[c.addWorker("labelled", 100)].Labels = []string{"x"}
	c.AddJob(JobInput{ID: "waits", Organisation: "o", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{labelled}}, ArrivedAt: c.virtualTime})
	c.advance(2 * time.Second)
	if starts, _, requests := c.planByKind(); len(starts) != 0 || len(requests) == 0 {
		t.Fatalf("starts %v, %d permit requests, want only requests", starts, len(requests))
	}
	id := StepID{"waits", 0, 0}
	c.HandlePermits(id, []WorkerID{"labelled"}, map[WorkerID]string{"labelled": "t"}, 2*time.Second, true)
	if starts, _, _ := c.planByKind(); len(starts) != 1 || starts[0].Task.Job != "waits" {
		t.Errorf("starts after the permit: %v, want the waiting task", starts)
	}
}

// A long-running step fails any number of times. The failure is memory that grows with its failures.
func TestCountedFailuresOfStepAreBounded(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	serve := plainStep(1)
	serve.LongRunning = true
	id := c.addJob("serve", false, serve)
	for range 4 * maxCountedFailures {
		c.advance(10 * time.Second)
		starts, _, _ := c.planByKind()
		for _, s := range starts {
			c.HandleStartOutcome(w, s.RunKey, Started)
			report := endedReport(c.workers[w].lastEndSequence+1, s.RunKey, RunFailed)
			report.Partial = true
			c.HandleReport(w, c.virtualTime, report)
		}
	}
	if n := len(c.step(StepID{id, 0, 0}).failures); n > maxCountedFailures || c.Stats().Starts <= maxCountedFailures {
		t.Errorf("%d failures kept of %d starts, want at most %d", n, c.Stats().Starts, maxCountedFailures)
	}
}

// A stall that is taken back because the step fails on other workers too, and again when the run makes progress, would clear other
// failures of the worker.
func TestStallIsTakenBackOnce(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	for i := range 12 {
		c.addWorker(fmt.Sprint("w", i), 100)
	}
	c.addJob("j", false, plainStep(4))
	starts, _, _ := c.planByKind()
	for _, s := range starts {
		c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	}
	w := c.workers[starts[0].Worker]
	r := w.runs[starts[0].RunKey]
	other := &step{tasks: make([]*task, 2), openTasks: 1}
	for range 2 {
		c.recordOutcome(w, nil, other, true)
	}
	want := w.health.evidence
	c.recordStall(r)
	for _, s := range starts[1:] {
		report := endedReport(1, s.RunKey, RunFailed)
		report.Partial = true
		c.HandleReport(s.Worker, c.virtualTime, report)
	}
	c.advance(time.Millisecond)
	c.HandleReport(w.ID, c.virtualTime, Report{Running: []RunningEntry{{RunKey: r.RunKey, Progress: 5}}, Partial: true})
	if got := w.health.evidence; got < want-1e-9 {
		t.Errorf("evidence %.2f after the stall was taken back, want at least %.2f of the other failures", got, want)
	}
}

// A run away from its rack is slow for its place. A copy on another rack would be as slow and cost a worker.
func TestRunAwayFromItsRackGetsNoCopy(t *testing.T) {
	c := newCopyFixture(t, true, 3)
	for _, w := range c.workers {
		for _, r := range w.runs {
			r.away = true
		}
	}
	if s, ok := c.copyAfter(10 * time.Second); ok {
		t.Errorf("copy %+v of a run away from its rack", s)
	}
}

// A run may end before the answer to its start arrives. The failure is a worker that counts as one that does not answer for good.
func TestAnswerAfterTheRunsEndClearsSuspicion(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	c.addJob("j", false, plainStep(1))
	starts, _, _ := c.planByKind()
	c.HandleReport(w, c.virtualTime, endedReport(1, starts[0].RunKey, RunDone))
	c.HandleStartOutcome(w, starts[0].RunKey, Started)
	c.advance(time.Hour)
	if c.isSuspect(c.workers[w]) {
		t.Error("suspect an hour after its only start was answered")
	}
}

// Only one gang of a pool at a time has workers reserved for its organisation's share. The failure is a gang that no worker can
// run and that keeps the others from a reservation.
func TestGangWithoutWorkersBlocksNoReservation(t *testing.T) {
	c := newOrganisationFixture(t, 10, 100)
	c.SetOrganisations([]graph.Organisation{{Name: "big", Weight: 100}, {Name: "small", Weight: 100}, {Name: "third", Weight: 100}}, RateOptions{Window: time.Second})
	queue := plainQueue
	queue.Stretch = 3
	c.submit("long", "big", queue, withCPU(10, 60))
	c.startsByJob()
	big := c.organisation("big")
	big.lead, big.band = 5*time.Second, 10
	impossible := gangOf(2, 100)
	impossible.Label = "none"
	c.submit("a", "third", queue, impossible)
	c.submit("b", "small", queue, gangOf(2, 100))
	s := c.step(StepID{"b", 0, 0})
	most := 0
	for range 40 { // up to its objective
		c.advance(100 * time.Millisecond)
		c.planByKind()
		reserved := 0
		for _, w := range c.workers {
			if w.reservedFor == s {
				reserved++
			}
		}
		most = max(most, reserved)
	}
	if most != 2 {
		t.Errorf("at most %d workers reserved within the objective, want two for the gang", most)
	}
}
