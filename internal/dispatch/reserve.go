package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Bounds of what is kept free for gangs. Smaller tasks take each piece of room as it becomes free, so that a gang that
// needs whole workers may wait for ever; but workers that are kept free idle, which costs more than it gains while the
// pool is busy.
const (
	// maxReservedShare is the share of a pool that is kept free at once.
	maxReservedShare = 0.3
	// reservationCapacityFactor is how often the gang must fit into the pool's free room.
	reservationCapacityFactor = 2
	// minIdleShare is the share of a pool that must be free for a gang that has not waited long.
	minIdleShare = 0.5
)

// reserveForGangs keeps workers free for the gangs that don't fit although the pool has room for them.
func (e *Engine) reserveForGangs(steps []*step) {
	for _, s := range steps {
		p := e.pools[s.job.queue.Pool]
		if !s.def.Gang || p == nil || s.unplacedCount() < len(s.tasks) {
			continue
		}
		if s.job.queue.Permit != nil && s.verdicts == nil {
			continue // the verdicts are not known
		}
		total := s.def.Allocation().Times(len(s.tasks))
		idle := p.capacity.Fits(p.free.Times(int(1 / minIdleShare)))
		if total.Times(reservationCapacityFactor).Fits(p.free) && (idle || e.overdue(s) > 0) {
			e.reserveWorkers(s, p)
		}
	}
}

// reserveWorkers keeps workers free for a gang: those that will have room for it soonest. The choice is kept from plan to
// plan while it can be.
func (e *Engine) reserveWorkers(s *step, p *pool) {
	if !s.canKeepReserved(p) {
		s.reservedWorkers = e.workersFreeSoonest(s, p)
	}
	if p.reservedCount+len(s.reservedWorkers) > int(maxReservedShare*float64(len(p.workers))) && p.reservedCount > 0 {
		return
	}
	for _, w := range s.reservedWorkers {
		w.reservedFor = s
		p.reservedCount++
	}
}

// canKeepReserved reports whether the workers chosen earlier can still be kept free.
func (s *step) canKeepReserved(p *pool) bool {
	for _, w := range s.reservedWorkers {
		if w.reservedFor != nil || !slices.Contains(p.workers, w) {
			return false
		}
	}
	return len(s.reservedWorkers) > 0
}

// workersFreeSoonest returns the fewest workers that hold the gang, those with room workersFreeSoonest first; nil if it fits nowhere.
func (e *Engine) workersFreeSoonest(s *step, p *pool) []*worker {
	type candidate struct {
		worker *worker
		tasks  int
		freeAt monotime.Instant
	}
	var candidates []candidate
	for _, w := range p.workers {
		if w.reservedFor != nil || !s.eligible(w) || (s.job.queue.Permit != nil && !s.verdicts[w.ID]) {
			continue
		}
		capacity, freeAt := e.futureCapacity(w)
		if n := s.tasksThatFit(capacity, 0); n > 0 {
			candidates = append(candidates, candidate{w, n, freeAt})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.freeAt, b.freeAt) })
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

// futureCapacity returns a worker's room once everything on it that ends has ended, and when that will be about.
func (e *Engine) futureCapacity(w *worker) (graph.Resources, monotime.Instant) {
	capacity := w.Capacity
	last := e.now
	for _, r := range w.runs {
		if r.task != nil && r.task.step.def.LongRunning {
			capacity = capacity.Sub(r.allocation)
			continue
		}
		last = max(last, e.estimateEnd(r))
	}
	return capacity, last
}

// minProgressForEstimate is the progress below which a run's speed says nothing yet, in percent.
const minProgressForEstimate = 10

// estimateEnd estimates when a run ends, by its progress if there is some and by its job's estimate otherwise.
func (e *Engine) estimateEnd(r *run) monotime.Instant {
	if r.state == runStopping || r.task == nil {
		return e.now
	}
	elapsed := e.now.Sub(r.orderedAt)
	if r.progress > minProgressForEstimate && r.progressChangedAt > r.orderedAt {
		elapsedAtChange := r.progressChangedAt.Sub(r.orderedAt)
		return r.orderedAt.Add(elapsedAtChange * 100 / time.Duration(r.progress))
	}
	return e.now.Add(max(0, r.task.step.def.Estimate-elapsed))
}
