package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Bounds of the reservations for gangs. Smaller tasks take capacity as it becomes free, so that a gang that needs whole workers
// may wait for ever without a reservation. But reserved workers are idle, which costs more than it gains while the pool is busy.
const (
	// maxReservedShare is the share of a pool's workers that is kept free for gangs at the same time.
	maxReservedShare = 0.3
	// reservationCapacityFactor is how many times a gang must fit into the pool's free capacity to get a reservation.
	reservationCapacityFactor = 2
	// minIdleShare is the share of the pool that must be free for a gang that is not overdue to get a reservation.
	minIdleShare = 0.5
)

// reserveForGangs reserves workers for the gangs that don't fit although their pool has enough free capacity, or although their
// organisation uses less than its share. While less than minIdleShare of a pool is free, one overdue gang at a time gets workers there: several
// would each keep some of their workers free while they wait for others.
func (e *Engine) reserveForGangs(steps []*step) {
	for _, s := range steps {
		p := e.pools[s.job.queue.Pool]
		if !s.def.Gang || p == nil || len(s.locality.waits) > 0 || s.unplacedCount() < len(s.tasks) {
			continue
		}
		if s.job.lane == laneBeyondRate || e.limitForbids(s) {
			continue
		}
		if s.job.queue.Permit != nil && s.verdicts == nil {
			continue // not known yet which workers are allowed
		}
		total := s.def.Allocation().Times(len(s.tasks))
		idle := p.capacity.Fits(p.free.Times(int(1 / minIdleShare)))
		fits := total.Times(reservationCapacityFactor).Fits(p.free)
		switch {
		case fits && idle:
			e.reserveWorkers(s, p)
		case fits && e.overdue(s) > 0 && !p.reservedForOverdue:
			p.reservedForOverdue = e.reserveWorkers(s, p)
		case e.reservesForSmallShare(s, p):
			e.reserveWorkers(s, p)
			p.reservedForShare = len(s.reservedWorkers) > 0
		}
	}
}

// reserveWorkers reserves workers for a gang, those that are expected to have capacity for it soonest, and reports whether it did. The
// choice is kept until the next review while possible.
func (e *Engine) reserveWorkers(s *step, p *pool) bool {
	if !s.canKeepReserved(p) || e.reservationIsDue(s, p) {
		s.reservedWorkers = e.workersFreeSoonest(s, p)
		s.reservationReviewAt, s.reservedAtVersion = e.now.Add(p.searchInterval), p.capacityVersion
	}
	if p.reservedCount+len(s.reservedWorkers) > int(maxReservedShare*float64(len(p.workers))) && p.reservedCount > 0 {
		return false
	}
	for _, w := range s.reservedWorkers {
		w.reservedFor = s
		p.reservedCount++
	}
	return len(s.reservedWorkers) > 0
}

// reservationIsDue reports whether a gang's workers are to be chosen again, since they don't have room for it yet: runs may take longer
// than was expected, and another worker may have room for members now.
func (e *Engine) reservationIsDue(s *step, p *pool) bool {
	room := 0
	for _, w := range s.reservedWorkers {
		room += s.tasksThatFit(w.free().Sub(w.heldForOthers(s, e.now)), 0)
	}
	if room >= len(s.tasks) {
		return false
	}
	if e.now >= s.reservationReviewAt {
		return true
	}
	grown, ok := p.grownSince(s.reservedAtVersion)
	return !ok || slices.ContainsFunc(grown, func(w *worker) bool {
		return s.mayReserve(w) && s.def.Allocation().Fits(w.free()) && !slices.Contains(s.reservedWorkers, w)
	})
}

// mayReserve reports whether the worker may be reserved for a gang.
func (s *step) mayReserve(w *worker) bool {
	return w.reservedFor == nil && !w.health.ejected && s.eligible(w) && (s.job.queue.Permit == nil || s.verdicts[w.ID])
}

// canKeepReserved reports whether the workers chosen by an earlier plan can still be reserved.
func (s *step) canKeepReserved(p *pool) bool {
	for _, w := range s.reservedWorkers {
		if w.reservedFor != nil || w.health.ejected || !slices.Contains(p.workers, w) {
			return false
		}
	}
	return len(s.reservedWorkers) > 0
}

// workersFreeSoonest returns enough workers to hold the gang, preferring those that are free soonest, and of these the ones that are
// reserved for it already; nil if the pool can't hold it.
func (e *Engine) workersFreeSoonest(s *step, p *pool) []*worker {
	type candidate struct {
		worker *worker
		tasks  int
		freeAt monotime.Instant
		// rank is 0 for a worker that is reserved for the gang already, else 1.
		rank int
	}
	var candidates []candidate
	for _, w := range p.workers {
		if !s.mayReserve(w) {
			continue
		}
		capacity, freeAt := e.futureCapacity(s, w)
		if n := s.tasksThatFit(capacity, 0); n > 0 {
			rank := 1
			if slices.Contains(s.reservedWorkers, w) {
				rank = 0
			}
			candidates = append(candidates, candidate{w, n, freeAt, rank})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.freeAt, b.freeAt), a.rank-b.rank) })
	var chosen []*worker
	tasks := 0
	for _, c := range candidates {
		if tasks >= len(s.tasks) {
			break
		}
		chosen = append(chosen, c.worker)
		tasks += c.tasks
	}
	if tasks < len(s.tasks) {
		return nil
	}
	return chosen
}

// futureCapacity returns the capacity that a worker has free once all its runs have ended, except long-running ones, and when
// that is expected. Capacity that is held for other steps than s is expected to be used by them.
func (e *Engine) futureCapacity(s *step, w *worker) (graph.Resources, monotime.Instant) {
	capacity := w.Capacity
	last := e.now
	for _, r := range w.runs {
		if r.task != nil && r.task.step.def.LongRunning {
			capacity = capacity.Sub(r.allocation)
			continue
		}
		last = max(last, e.estimateEnd(r), e.expectedEnd(r))
	}
	for i := range w.capacityHolds {
		if h := &w.capacityHolds[i]; h.step != s && h.inForce(e.now) {
			last = max(last, h.until.Add(h.step.expectedRunTime()))
		}
	}
	return capacity, last
}

// minProgressForEstimate is the progress, in percent, up to which a run's speed is not used to estimate its end.
const minProgressForEstimate = 10

// estimateEnd estimates when a run ends, from its progress if that suffices, or else from its step's estimate.
func (e *Engine) estimateEnd(r *run) monotime.Instant {
	if r.state == runStopping || r.task == nil {
		return e.now
	}
	elapsed := e.now.Sub(r.orderedAt)
	if r.progress > minProgressForEstimate && r.progressChangedAt > r.orderedAt {
		elapsedAtChange := r.progressChangedAt.Sub(r.orderedAt)
		return r.orderedAt.Add(elapsedAtChange * 100 / time.Duration(r.progress))
	}
	return e.now.Add(max(0, r.worker.expectedTime(r.task.step.def.Estimate)-elapsed))
}
