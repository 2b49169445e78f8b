package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

const (
	// startsAtPeak is the rate of starts that an owner must bear, a second.
	startsAtPeak = 1200
	// decidingShare is the share of a second that deciding may take of an owner with strong cores.
	decidingShare = 0.1
	// lookTime is what looking at one worker for one step takes at most.
	lookTime = 50 * time.Nanosecond
)

// A burst has filled a large pool, and many steps wait: each end makes room for one or two of them, and must not cause
// the whole pool to be looked through for each of those that wait.
func TestBacklogIsNotSearchedAtEachEnd(t *testing.T) {
	c := newCell(t, 1)
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
			c.AddJob(graph.JobID(fmt.Sprintf("j%04d", i)), queue, spec, c.clock, nil, false)
		}
	}
	addJobs(0, 400)
	sequences := map[WorkerID]uint64{}
	var runs []Start
	round := func() (started int) {
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
		round()
	}
	before, started, next := c.Stats().WorkersEvaluated, 0, 400
	for range 4000 {
		c.advance(time.Second / startsAtPeak)
		i := rng.IntN(len(runs))
		run := runs[i]
		runs[i] = runs[len(runs)-1]
		runs = runs[:len(runs)-1]
		sequences[run.Worker]++
		report := ended(sequences[run.Worker], run.RunKey, RunDone)
		report.Partial = true
		c.HandleReport(run.Worker, c.clock, report)
		started += round()
		if next < 800 && started > (next-400)*10 {
			addJobs(next, next+1)
			next++
		}
	}
	if started < 3000 {
		t.Fatalf("%d starts, want the room that becomes free used", started)
	}
	looks := float64(c.Stats().WorkersEvaluated-before) / float64(started)
	t.Logf("%d starts, %.0f looks each", started, looks)
	if most := decidingShare * float64(time.Second/lookTime) / startsAtPeak; looks > most {
		t.Errorf("%.0f looks at workers for each start, want at most %.0f", looks, most)
	}
}

// Renders wait for accelerators that small tasks free one by one: a gang for which there is no room must not be laid out
// over the pool task by task at each end.
func TestGangWithoutRoomCostsOneLookAtEachWorker(t *testing.T) {
	c := newCell(t, 1)
	const workers = 100
	for i := range workers {
		c.worker(fmt.Sprintf("w%03d", i), 100)
	}
	members := plainStep(workers)
	members.Gang = true
	c.job("small", false, plainStep(1))
	if starts, _, _ := c.plan(); len(starts) != 1 {
		t.Fatalf("%d starts, want one that leaves the gang a worker short", len(starts))
	}
	before := c.Stats().WorkersEvaluated
	c.job("gang", false, members)
	if starts, _, _ := c.plan(); len(starts) != 0 {
		t.Fatalf("%d starts, want none", len(starts))
	}
	if looks, most := c.Stats().WorkersEvaluated-before, uint64(searchPasses*workers); looks > most {
		t.Errorf("%d looks at %d workers, want at most %d", looks, workers, most)
	}
}

// A gang waits for a whole worker and its permits have run out: as soon as the worker is free, and not some time later,
// the gang asks again, or small tasks take the room.
func TestGangAsksAtOnceWhenRoomGrows(t *testing.T) {
	c := newCell(t, 1)
	c.advance(time.Second)
	w := c.worker("w", 1000)
	small := c.job("small", false, plainStep(1))
	if starts, _, _ := c.plan(); len(starts) != 1 {
		t.Fatalf("%d starts, want one", len(starts))
	}
	c.HandleStartOutcome(w, key(small, 0, 0, 1), Started)
	whole := graph.Step{Count: 1, Gang: true, Claim: graph.Resources{MilliCPU: 1000}}
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 10 * time.Millisecond}
	c.AddJob("gang", queue, &graph.Spec{Steps: []graph.Step{whole}}, c.clock, nil, false)
	c.plan()
	c.HandlePermits(StepID{Job: "gang"}, []WorkerID{w}, map[WorkerID]string{w: "t"}, time.Second, true)
	c.plan()
	c.advance(2 * time.Second)
	c.plan() // looks through the pool, finds no room
	c.advance(minSearchInterval / 10)
	c.HandleReport(w, c.clock, ended(1, key(small, 0, 0, 1), RunDone))
	if _, _, asks := c.plan(); len(asks) != 1 {
		t.Errorf("%d questions to the policy service, want one", len(asks))
	}
}
