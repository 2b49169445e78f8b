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
	// maxReserved is the share of a pool that is kept free at once.
	maxReserved = 0.3
	// reserveRoom is how often the gang must fit into the pool's free room.
	reserveRoom = 2
	// idleShare is the share of a pool that must be free for a gang that has not waited long.
	idleShare = 0.5
)

// reserveForGangs keeps workers free for the gangs that don't fit although the pool has room for them.
func (e *Engine) reserveForGangs(steps []*step) {
	for _, s := range steps {
		p := e.pools[s.job.queue.Pool]
		if !s.def.Gang || p == nil || s.toPlace() < len(s.tasks) {
			continue
		}
		if s.job.queue.Permit != nil && s.allowed == nil {
			continue // the verdicts are not known
		}
		total := s.def.Allocation().Times(len(s.tasks))
		idle := p.size.Fits(p.free.Times(int(1 / idleShare)))
		if total.Times(reserveRoom).Fits(p.free) && (idle || e.lateness(s) > 0) {
			e.reserveWorkers(s, p)
		}
	}
}

// reserveWorkers keeps workers free for a gang: those that will have room for it soonest. The choice is kept from plan to
// plan while it can be.
func (e *Engine) reserveWorkers(s *step, p *pool) {
	if !s.keepsReserved(p) {
		s.reserved = e.soonest(s, p)
	}
	if p.reserved+len(s.reserved) > int(maxReserved*float64(len(p.workers))) && p.reserved > 0 {
		return
	}
	for _, w := range s.reserved {
		w.reservedFor = s
		p.reserved++
	}
}

// keepsReserved reports whether the workers chosen earlier can still be kept free.
func (s *step) keepsReserved(p *pool) bool {
	for _, w := range s.reserved {
		if w.reservedFor != nil || !slices.Contains(p.workers, w) {
			return false
		}
	}
	return len(s.reserved) > 0
}

// soonest returns the fewest workers that hold the gang, those with room soonest first; nil if it fits nowhere.
func (e *Engine) soonest(s *step, p *pool) []*worker {
	type candidate struct {
		worker *worker
		tasks  int
		free   monotime.Instant
	}
	var candidates []candidate
	for _, w := range p.workers {
		if w.reservedFor != nil || !s.eligible(w) || (s.job.queue.Permit != nil && !s.allowed[w.ID]) {
			continue
		}
		room, free := e.roomLater(w)
		if n := s.tasksThatFit(room, 0); n > 0 {
			candidates = append(candidates, candidate{w, n, free})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.free, b.free) })
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

// roomLater returns a worker's room once everything on it that ends has ended, and when that will be about.
func (e *Engine) roomLater(w *worker) (graph.Resources, monotime.Instant) {
	room := w.Capacity
	last := e.now
	for _, r := range w.runs {
		if r.task != nil && r.task.step.def.LongRunning {
			room = room.Sub(r.held)
			continue
		}
		last = max(last, e.endOf(r))
	}
	return room, last
}

// startupShare is the progress below which a run's speed says nothing yet, in percent.
const startupShare = 10

// endOf estimates when a run ends, by its progress if there is some and by its job's estimate otherwise.
func (e *Engine) endOf(r *run) monotime.Instant {
	if r.state == runStopping || r.task == nil {
		return e.now
	}
	elapsed := e.now.Sub(r.ordered)
	if r.progress > startupShare && r.progressAt > r.ordered {
		known := r.progressAt.Sub(r.ordered)
		return r.ordered.Add(known * 100 / time.Duration(r.progress))
	}
	return e.now.Add(max(0, r.task.step.def.Estimate-elapsed))
}
