package dispatch

import (
	"container/heap"

	"laburnumpoint/internal/graph"
)

// ranking orders the workers of a pool for the tasks of one step by score. Each worker is evaluated once, and again only after a task
// was placed on it: in a pool of thousands of workers, evaluating all of them for each task of a step takes most of the time of a plan.
// A ranking is valid only while nothing else changes.
type ranking struct {
	engine     *Engine
	step       *step
	planned    map[*worker]graph.Resources
	running    map[WorkerID]int
	candidates rankedWorkers
}

// rankedWorker is a suitable worker. index is its place among those that were evaluated; of equal scores the lowest comes first.
type rankedWorker struct {
	worker *worker
	score  float64
	index  int
}

// rankedWorkers implements heap.Interface, with the best worker at the top.
type rankedWorkers []rankedWorker

func (r rankedWorkers) Len() int { return len(r) }

func (r rankedWorkers) Less(i, j int) bool {
	if r[i].score != r[j].score {
		return r[i].score > r[j].score
	}
	return r[i].index < r[j].index
}

func (r rankedWorkers) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *rankedWorkers) Push(x any) { *r = append(*r, x.(rankedWorker)) }

// Pop implements heap.Interface.
func (r *rankedWorkers) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}

// rank evaluates the workers for a step. planned is capacity already planned for its tasks, running its runs by worker.
func (e *Engine) rank(s *step, workers []*worker, planned map[*worker]graph.Resources, running map[WorkerID]int) *ranking {
	r := &ranking{engine: e, step: s, planned: planned, running: running}
	for i, w := range workers {
		if w.rankedBy == r {
			continue // a list of workers whose free capacity grew may hold one several times
		}
		w.rankedBy = r
		if score, ok := r.evaluate(w); ok {
			r.candidates = append(r.candidates, rankedWorker{w, score, i})
		}
	}
	heap.Init(&r.candidates)
	return r
}

// evaluate returns the worker's score for one more task; ok is false if it is not suitable.
func (r *ranking) evaluate(w *worker) (score float64, ok bool) {
	e, s := r.engine, r.step
	e.stats.WorkersEvaluated++
	// Capacity is checked first: the check is the cheapest, and most workers of a busy pool fail it.
	if !e.hasCapacity(s, w, r.planned[w], r.running) || !s.eligible(w) || !s.hasPermit(w, e.now) {
		return 0, false
	}
	return e.score(s, w, r.planned[w]), true
}

// best returns the worker with the highest score, nil if none is suitable.
func (r *ranking) best() *worker {
	if len(r.candidates) == 0 {
		return nil
	}
	return r.candidates[0].worker
}

// placed notes that a task was placed on the best worker.
func (r *ranking) placed() {
	top := &r.candidates[0]
	score, ok := r.evaluate(top.worker)
	if !ok {
		heap.Pop(&r.candidates)
		return
	}
	top.score = score
	heap.Fix(&r.candidates, 0)
}
