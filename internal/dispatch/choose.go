package dispatch

import (
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// permitMargin is kept between the use of a permit and its end, for the order's way to the worker.
const permitMargin = 200 * time.Millisecond

func (s *step) hasPermit(w *worker, now monotime.Instant) bool {
	if s.job.queue.Permit == nil {
		return true
	}
	p, ok := s.permits[w.ID]
	return ok && now.Add(permitMargin) < p.validUntil
}

// bestWorker returns the best of the workers for one more task of the step, nil if there is none.
func (e *Engine) bestWorker(s *step, workers []*worker, planned map[*worker]graph.Resources, running map[WorkerID]int) *worker {
	var best *worker
	var bestScore float64
	for _, w := range workers {
		e.stats.WorkersEvaluated++
		// Room comes first: it is the cheapest to look at, and what most workers of a busy pool lack.
		if !e.hasCapacity(s, w, planned[w], running) || !s.eligible(w) || !s.hasPermit(w, e.now) {
			continue
		}
		score := e.score(s, w, planned[w])
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (e *Engine) hasCapacity(s *step, w *worker, planned graph.Resources, running map[WorkerID]int) bool {
	if w.reservedFor != nil && w.reservedFor != s {
		return false
	}
	if s.def.MaxPerWorker > 0 && running[w.ID] >= s.def.MaxPerWorker {
		return false
	}
	if !s.def.Allocation().Fits(w.free().Sub(planned).Sub(w.heldForOthers(s, e.now))) {
		return false
	}
	return !w.conflictsWith(s.def)
}

// conflictsWith keeps tasks that fill apart from tasks with users of their own, which they would slow.
func (w *worker) conflictsWith(def *graph.Step) bool {
	if !def.Filler && def.TailTarget == 0 {
		return false
	}
	for _, r := range w.runs {
		if def.Filler && r.task != nil && r.task.step.def.TailTarget > 0 {
			return true
		}
		if def.TailTarget > 0 && r.filler {
			return true
		}
	}
	return false
}

// Weights of a placement: data and health count more than packing.
const (
	dataRackWeight = 4.0
	suspectWeight  = 8.0
)

// score ranks workers: sound ones first, then those near the data, then the fullest.
func (e *Engine) score(s *step, w *worker, planned graph.Resources) float64 {
	score := 0.0
	if e.isSuspect(w) {
		score -= suspectWeight
	}
	if s.def.DataRack != "" && w.Rack == s.def.DataRack {
		score += dataRackWeight
	}
	return score + utilization(w.free().Sub(planned).Sub(s.def.Allocation()), w.Capacity)
}

// utilization is the share of the scarcest part of a worker that would be in use.
func utilization(free, capacity graph.Resources) float64 {
	used := 0.0
	if capacity.Accelerators > 0 {
		return 1 - float64(free.Accelerators)/float64(capacity.Accelerators)
	}
	if capacity.MilliCPU > 0 {
		used = 1 - float64(free.MilliCPU)/float64(capacity.MilliCPU)
	}
	if capacity.MemoryMB > 0 {
		used = max(used, 1-float64(free.MemoryMB)/float64(capacity.MemoryMB))
	}
	return used
}
