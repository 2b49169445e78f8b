package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// bestByScan returns the suitable worker with the highest score by evaluating all of them.
func bestByScan(e *Engine, s *step, workers []*worker, running map[WorkerID]int) *worker {
	r := &ranking{engine: e, step: s, running: running}
	var best *worker
	bestScore := 0.0
	for _, w := range workers {
		if score, ok := r.evaluate(w); ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// rankingFixture has a pool with random free capacity, racks and suspects, and a step to place there.
func rankingFixture(t testing.TB, workers, tasks int, rng *rand.Rand) (*Engine, *step) {
	e := New(1)
	e.SetNow(1)
	for i := range workers {
		id := WorkerID(fmt.Sprintf("w%04d", i))
		e.PutWorker(Worker{ID: id, Pool: "p", Rack: fmt.Sprintf("r%d", i%7), Capacity: graph.Resources{MilliCPU: 64000, MemoryMB: 131072}})
		e.SetReachable(id, true)
		w := e.workers[id]
		w.used = graph.Resources{MilliCPU: 1000 * rng.Int64N(64), MemoryMB: 1024 * rng.Int64N(100)}
		if rng.IntN(10) == 0 {
			w.avoidUntil = e.now.Add(time.Second)
		}
	}
	spec := &graph.Spec{Steps: []graph.Step{{Count: tasks, Claim: graph.Resources{MilliCPU: 11000, MemoryMB: 15000}, DataRack: "r3", MaxPerWorker: 3, Estimate: time.Second}}}
	e.AddJob(JobInput{ID: "j", Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 2}, Spec: spec, ArrivedAt: e.now})
	e.refreshPools()
	return e, e.step(StepID{Job: "j"})
}

// The workers of a step are ranked once for all of its tasks. Each task must get the worker that evaluating all workers would give
// it, also where the list holds a worker twice: a stale entry would fill that worker beyond its capacity.
func TestRankingChoosesLikeAScan(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 50 {
		e, s := rankingFixture(t, 1+rng.IntN(60), 40, rng)
		workers := e.pools["p"].workers
		if round%2 == 0 {
			for range len(workers) {
				workers = append(workers, workers[rng.IntN(len(workers))])
			}
		}
		running := s.runsPerWorker()
		ranked := e.rank(s, workers, nil, running)
		for i, task := range s.tasks {
			want, got := bestByScan(e, s, workers, running), ranked.best()
			if got != want {
				t.Fatalf("round %d, task %d: ranking chooses %v, a scan %v", round, i, got, want)
			}
			if got == nil {
				break
			}
			e.startRun(task, got, 1)
			running[got.ID]++
			ranked.placed()
		}
	}
}

// BenchmarkPlaceStep places steps of thirty tasks in pools of several sizes that are half full.
func BenchmarkPlaceStep(b *testing.B) {
	for _, workers := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			const tasks = 30
			e, s := rankingFixture(b, workers, tasks, rand.New(rand.NewPCG(1, 2)))
			for b.Loop() {
				running := s.runsPerWorker()
				ranked := e.rank(s, e.pools["p"].workers, nil, running)
				for range tasks {
					w := ranked.best()
					if w == nil {
						break
					}
					running[w.ID]++
					ranked.placed()
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tasks), "us/task")
		})
	}
}
