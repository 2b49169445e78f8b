package dispatch

import (
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// permitMargin is the least time that a permit must still be valid when it is used, so that the order reaches the worker in
// time.
const permitMargin = 200 * time.Millisecond

// hasPermit reports whether the step has a permit for the worker that is valid at the given time, or needs none.
func (s *step) hasPermit(w *worker, now monotime.Instant) bool {
	if s.job.queue.Permit == nil {
		return true
	}
	p, ok := s.permits[w.ID]
	return ok && now.Add(permitMargin) < p.validUntil
}

// hasCapacity reports whether a task of the step fits on the worker, beside what is planned, held or reserved there.
func (e *Engine) hasCapacity(s *step, w *worker, planned graph.Resources, running map[WorkerID]int) bool {
	if (w.reservedFor != nil && w.reservedFor != s && !w.isHeldFor(s, e.now)) || (w.impaired && (e.isExcluded(s, w) || e.isOnProbation(w, s))) {
		return false
	}
	if s.def.MaxPerWorker > 0 && running[w.ID] >= s.def.MaxPerWorker {
		return false
	}
	if !s.def.Allocation().Fits(w.free().Sub(planned).Sub(w.heldForOthers(s, e.now))) {
		return false
	}
	if len(s.avoidances) > 0 && e.avoidsStrictly(s, w) {
		return false
	}
	return !e.conflicts(s, w)
}

// Weights of a worker's score: data locality and health count more than packing.
const (
	dataRackWeight = 4.0
	suspectWeight  = 8.0
)

// score ranks workers: those that are no suspects first, then those that fillers and tasks with a latency target don't share, then those on
// the rack that the step prefers, those on racks that
// others don't wait for, those of the speed that the step prefers, then the most utilized.
func (e *Engine) score(s *step, w *worker, planned graph.Resources) float64 {
	score := 0.0
	if e.isSuspect(w) {
		score -= suspectWeight
	}
	if rack := s.nearRack(); rack != "" && w.Rack == rack {
		score += dataRackWeight
	} else if e.isWantedRack(w) {
		score -= wantedRackWeight
	}
	if len(s.avoidances) > 0 && e.avoids(s, w) {
		score -= suspectWeight
	}
	if s.shares(w) {
		score -= sharingWeight
	}
	if w.impaired {
		score += e.speedScore(s, w) + e.healthScore(s, w)
	}
	if s.suspects > 0 {
		score += e.crashScore(s, w)
	}
	return score + utilization(w.free().Sub(planned).Sub(s.def.Allocation()), w.Capacity)
}

// utilization returns the share of the worker's scarcest resource that would be in use with the given free resources.
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
