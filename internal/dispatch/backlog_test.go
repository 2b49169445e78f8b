package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

const (
	// startsAtPeak is the number of starts per second that an owner must sustain.
	startsAtPeak = 1200
	// decisionShare is the share of the time that decisions may take on an owner with strong cores.
	decisionShare = 0.1
	// evaluationTime is the most that evaluating one worker for one step takes.
	evaluationTime = 50 * time.Nanosecond
)

// A burst has filled a large pool, and many steps wait. Each run that ends frees capacity for one or two of them, and must not
// make every waiting step search the whole pool.
func TestBacklogIsNotSearchedAtEachEnd(t *testing.T) {
	c := newFixture(t, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 250 {
		id := WorkerID(fmt.Sprintf("w%03d", i))
		c.PutWorker(Worker{ID: id, Pool: "p", Capacity: graph.Resources{MilliCPU: 64000, MemoryMB: 131072}})
		c.SetReachable(id, true)
	}
	queue := graph.Queue{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond, Permit: &graph.PermitLatency{Base: 17 * time.Millisecond, PerWorker: 234 * time.Microsecond}}
	addJobs := func(from, to int) {
		for i := from; i < to; i++ {
			claim := graph.Resources{MilliCPU: 6000 + rng.Int64N(12000), MemoryMB: 10000 + rng.Int64N(20000)}
			spec := &graph.Spec{Steps: []graph.Step{{Count: 10, Claim: claim, Estimate: time.Second}}}
			c.AddJob(JobInput{ID: graph.JobID(fmt.Sprintf("j%04d", i)), Queue: queue, Spec: spec, ArrivedAt: c.virtualTime})
		}
	}
	addJobs(0, 400)
	sequences := map[WorkerID]uint64{}
	var runs []Start
	executePlan := func() (started int) {
		for _, order := range c.Plan(0) {
			switch o := order.(type) {
			case Start:
				c.HandleStartOutcome(o.Worker, o.RunKey, Started)
				runs = append(runs, o)
				started++
			case PermitRequest:
				tickets := map[WorkerID]string{}
				for _, w := range o.Workers {
					if rng.IntN(10) < 7 {
						tickets[w] = "t"
					}
				}
				c.HandlePermits(o.Step, o.Workers, tickets, 2*time.Second, true)
			}
		}
		return started
	}
	for range 10 {
		c.advance(time.Millisecond)
		executePlan()
	}
	before, started, next := c.Stats().WorkersEvaluated, 0, 400
	for range 4000 {
		c.advance(time.Second / startsAtPeak)
		i := rng.IntN(len(runs))
		run := runs[i]
		runs[i] = runs[len(runs)-1]
		runs = runs[:len(runs)-1]
		sequences[run.Worker]++
		report := endedReport(sequences[run.Worker], run.RunKey, RunDone)
		report.Partial = true
		c.HandleReport(run.Worker, c.virtualTime, report)
		started += executePlan()
		if next < 800 && started > (next-400)*10 {
			addJobs(next, next+1)
			next++
		}
	}
	if started < 3000 {
		t.Fatalf("%d starts, want at least 3000 in the capacity that is freed", started)
	}
	evaluations := float64(c.Stats().WorkersEvaluated-before) / float64(started)
	t.Logf("%d starts, %.0f workers evaluated for each", started, evaluations)
	if most := decisionShare * float64(time.Second/evaluationTime) / startsAtPeak; evaluations > most {
		t.Errorf("%.0f workers evaluated for each start, want at most %.0f", evaluations, most)
	}
}

// Gangs, such as renders, wait for accelerators that small tasks free one by one. When a run ends, a gang that does not fit must
// not be planned over the pool task by task.
func TestGangWithoutCapacityChecksEachWorkerOnce(t *testing.T) {
	c := newFixture(t, 1)
	const workers = 100
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%03d", i), 100)
	}
	members := plainStep(workers)
	members.Gang = true
	c.addJob("small", false, plainStep(1))
	if starts, _, _ := c.planByKind(); len(starts) != 1 {
		t.Fatalf("%d starts, want one, so that the gang lacks one worker", len(starts))
	}
	before := c.Stats().WorkersEvaluated
	c.addJob("gang", false, members)
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Fatalf("%d starts, want none", len(starts))
	}
	if evaluations, most := c.Stats().WorkersEvaluated-before, uint64(searchPasses*workers); evaluations > most {
		t.Errorf("%d evaluations of %d workers, want at most %d", evaluations, workers, most)
	}
}

// A gang waits for a whole worker and its permits have expired. It must request permits again as soon as the worker is free, or
// else small tasks take the capacity.
func TestGangRequestsPermitsAtOnceWhenCapacityGrows(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 1000)
	small := c.addJob("small", false, plainStep(1))
	if starts, _, _ := c.planByKind(); len(starts) != 1 {
		t.Fatalf("%d starts, want one", len(starts))
	}
	c.HandleStartOutcome(w, runKey(small, 0, 0, 1), Started)
	wholeWorker := graph.Step{Count: 1, Gang: true, Claim: graph.Resources{MilliCPU: 1000}}
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 10 * time.Millisecond}
	c.AddJob(JobInput{ID: "gang", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{wholeWorker}}, ArrivedAt: c.virtualTime})
	c.planByKind()
	c.HandlePermits(StepID{Job: "gang"}, []WorkerID{w}, map[WorkerID]string{w: "t"}, time.Second, true)
	c.planByKind()
	c.advance(2 * time.Second)
	c.planByKind() // searches the pool and finds no free capacity
	c.advance(minSearchInterval / 10)
	c.HandleReport(w, c.virtualTime, endedReport(1, runKey(small, 0, 0, 1), RunDone))
	if _, _, requests := c.planByKind(); len(requests) != 1 {
		t.Errorf("%d permit requests, want one", len(requests))
	}
}
