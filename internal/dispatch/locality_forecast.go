package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// rackNames returns the names of the racks of the pool's workers, sorted.
func (p *pool) rackNames() []string {
	p.onRack("")
	if p.locality.rackNames == nil {
		p.locality.rackNames = slices.Sorted(maps.Keys(p.locality.racks))
	}
	return p.locality.rackNames
}

// expectedRunTime returns the time that a task of the step is expected to run on the rack that the step prefers: the mean of those
// that are done, or the estimate. An estimate may be wrong for the whole job.
func (s *step) expectedRunTime() time.Duration {
	if s.locality.observations > 0 {
		return s.locality.observed / time.Duration(s.locality.observations)
	}
	return s.def.Estimate
}

// expectedEnd returns when a run is expected to end, by its progress if that suffices, or else by the run time of its step. One
// that is overdue is expected to be so for as long again: the estimate was wrong by an unknown factor.
func (e *Engine) expectedEnd(r *run) monotime.Instant {
	if r.state == runStopping || r.task == nil {
		return e.now
	}
	if r.progress > minProgressForEstimate {
		return max(e.now, e.estimateEnd(r))
	}
	s := r.task.step
	total := s.expectedRunTime()
	if r.away {
		total = time.Duration(float64(total) * e.locality.factor)
	}
	left := total - e.now.Sub(r.orderedAt)
	return e.now.Add(max(left, -left, time.Duration(overdueRunShare*float64(total))))
}

// nearStarts returns the times up to the given one at which tasks of the step are expected to find room on the rack, the soonest
// first, without those that the demand of the steps ahead takes.
func (e *Engine) nearStarts(s *step, p *pool, rack string, until monotime.Instant) []monotime.Instant {
	return e.expectedStarts(s, p.onRack(rack), s.tasksIn(e.demandAhead(s, p, rack)), until, taken{running: s.runsPerWorker()})
}

// taken is what tasks of a step have on workers: capacity that is planned for them, and the runs and planned tasks of the step by worker.
type taken struct {
	planned map[*worker]graph.Resources
	running map[WorkerID]int
}

// expectedStarts returns the times up to the given one at which tasks of the step are expected to find room on the workers, the soonest
// first. Of the room that is yet to become free, it leaves out what the given number of tasks takes that come before.
func (e *Engine) expectedStarts(s *step, workers []*worker, before int, until monotime.Instant, taken taken) []monotime.Instant {
	type slot struct {
		at     monotime.Instant
		chance float64
	}
	var slots []slot
	for _, w := range workers {
		e.stats.WorkersEvaluated++
		if (w.reservedFor != nil && w.reservedFor != s) || e.isSuspect(w) || !s.eligible(w) || e.conflicts(s, w) {
			continue
		}
		from, to, chance := e.permitWindow(s, w)
		if chance == 0 {
			continue
		}
		free := w.free().Sub(taken.planned[w]).Sub(w.heldForOthers(s, e.now))
		fit := 0
		addSlots := func(at monotime.Instant) {
			n := s.tasksThatFit(free, taken.running[w.ID])
			for ; fit < n; fit++ {
				if at = max(at, from); at <= min(to, until) {
					slots = append(slots, slot{at, chance})
				}
			}
		}
		addSlots(e.now)
		for _, end := range e.expectedEnds(w, until) {
			free = free.Add(end.allocation)
			addSlots(end.at)
		}
	}
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	var starts []monotime.Instant
	expected, free := 0.0, 0
	for _, slot := range slots {
		if expected += slot.chance; expected > 0.5 { // rounded to the nearest number of tasks
			expected--
			starts = append(starts, slot.at)
			if slot.at <= e.now {
				free++
			}
		}
	}
	// The steps ahead could not use what is free now.
	return slices.Delete(starts, free, min(len(starts), free+before))
}

// runEnd is the expected end of a run, which frees its allocation.
type runEnd struct {
	at         monotime.Instant
	allocation graph.Resources
}

// expectedEnds returns the expected ends of the worker's runs up to the given time, the soonest first.
func (e *Engine) expectedEnds(w *worker, until monotime.Instant) []runEnd {
	var ends []runEnd
	for _, r := range w.runs {
		if r.task != nil && r.task.step.def.LongRunning {
			continue
		}
		if at := e.expectedEnd(r); at <= until {
			ends = append(ends, runEnd{at, r.allocation})
		}
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.at, b.at) })
	return ends
}

// tasksIn returns how many tasks of the step the resources amount to, by the scarcest resource that they need.
func (s *step) tasksIn(r graph.Resources) int {
	allocation := s.def.Allocation()
	n := 0.0
	for _, c := range [][2]int64{{r.MilliCPU, allocation.MilliCPU}, {r.MemoryMB, allocation.MemoryMB}, {r.Accelerators, allocation.Accelerators}} {
		if c[1] > 0 {
			n = max(n, float64(c[0])/float64(c[1]))
		}
	}
	return int(n)
}

// poolLocality is a pool's part of delay scheduling.
type poolLocality struct {
	// racks holds the pool's workers by rack, nil until it is needed.
	racks map[string][]*worker
	// rackNames are the keys of racks, sorted; nil until they are needed.
	rackNames []string
	// demandByRack is what the steps that the current plan has gone through still need, by the rack that they prefer; that of
	// steps which prefer none is under "".
	demandByRack map[string]graph.Resources
	// demandBefore is demandByRack at the end of the plan before.
	demandBefore map[string]graph.Resources
}

// onRack returns the pool's workers on the rack.
func (p *pool) onRack(rack string) []*worker {
	if p.locality.racks == nil {
		p.locality.racks = make(map[string][]*worker)
		for _, w := range p.workers {
			p.locality.racks[w.Rack] = append(p.locality.racks[w.Rack], w)
		}
	}
	return p.locality.racks[rack]
}

// countDemand adds what the step still needs to the demand ahead of the steps that follow in the plan.
func (e *Engine) countDemand(s *step, p *pool) {
	if e.locality.factor <= 1 || s.unplacedCount() == 0 {
		return
	}
	s.locality.countedBefore = true
	p.addDemand(s)
}

// addDemand adds what the step still needs to demandByRack.
func (p *pool) addDemand(s *step) {
	if p.locality.demandByRack == nil {
		p.locality.demandByRack = make(map[string]graph.Resources)
	}
	rack := s.nearRack()
	p.locality.demandByRack[rack] = p.locality.demandByRack[rack].Add(s.def.Allocation().Times(s.unplacedCount()))
}

// demandAhead returns what the steps ahead of s need on the rack: all that those need which prefer it, and the rack's share, by
// workers, of what those need which prefer none. For a gang it also counts what the steps behind need: they take room as it becomes
// free, while the gang still lacks some.
func (e *Engine) demandAhead(s *step, p *pool, rack string) graph.Resources {
	share := float64(len(p.onRack(rack))) / float64(max(1, len(p.workers)))
	ahead := p.locality.demandByRack[rack].Add(p.locality.demandByRack[""].Scale(share))
	if !s.def.Gang {
		return ahead
	}
	all := p.locality.demandBefore[rack].Add(p.locality.demandBefore[""].Scale(share))
	if s.locality.countedBefore {
		own := s.def.Allocation().Times(s.unplacedCount())
		if s.nearRack() == "" {
			own = own.Scale(share)
		}
		all = all.Sub(own)
	}
	return graph.Resources{MilliCPU: max(all.MilliCPU, ahead.MilliCPU), MemoryMB: max(all.MemoryMB, ahead.MemoryMB), Accelerators: max(all.Accelerators, ahead.Accelerators)}
}

// isWantedRack reports whether tasks that prefer the worker's rack found too little room in the plan before.
func (e *Engine) isWantedRack(w *worker) bool {
	if e.locality.factor <= 1 || w.Rack == "" {
		return false
	}
	p := e.pools[w.Pool]
	return p != nil && p.locality.demandBefore[w.Rack] != graph.Resources{}
}

// keepDemand keeps the demand that the plan has found for the next one.
func (e *Engine) keepDemand() {
	for _, p := range e.pools {
		p.locality.demandBefore, p.locality.demandByRack = p.locality.demandByRack, nil
	}
}

// observeEnd learns from the end of a run: the run time of its step, and whether a wait was worth it.
func (e *Engine) observeEnd(r *run, outcome RunOutcome) {
	if e.locality.factor <= 1 || r == nil || r.task == nil || r.state == runStarting {
		return
	}
	t := r.task
	begunAt := t.locality.waitBegunAt
	t.locality.waitBegunAt = 0
	if outcome != RunDone || r.confirmedAt == 0 {
		return
	}
	near := e.now.Sub(r.confirmedAt)
	if r.away {
		near = time.Duration(float64(near) / e.locality.factor)
	}
	if !r.orphan {
		t.step.locality.observed += near
		t.step.locality.observations++
	}
	if begunAt == 0 {
		return
	}
	if e.now < begunAt.Add(time.Duration(float64(near)*e.locality.factor)) {
		e.locality.stats.Won++
	} else {
		e.locality.stats.Lost++
	}
}
