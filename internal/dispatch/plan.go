package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
)

// Plan places what can be placed and returns the orders that follow, with those of earlier events. wall is the time of
// day since the Unix epoch.
func (e *Engine) Plan(wall time.Duration) []Order {
	e.wake(wall)
	e.retryStops()
	e.refreshPools()
	steps := e.byUrgency()
	for _, p := range e.pools {
		p.retry = retryAfter(len(steps), len(p.workers))
	}
	e.reserveForGangs(steps)
	for _, s := range steps {
		if s.job.uncertain {
			if e.awaits(s.job.queue.Pool) {
				continue
			}
			s.job.uncertain = false
		}
		if pool := e.pools[s.job.queue.Pool]; pool != nil {
			e.place(s, pool)
		}
	}
	orders := e.orders
	e.orders = nil
	return orders
}

func (e *Engine) retryStops() {
	for r := range e.stopping {
		if e.now >= r.stopRetryAt {
			e.sendStop(r)
		}
	}
}

// byUrgency returns the steps with tasks to place in the order in which they get room: those whose jobs can still complete in
// time before others, then by priority, then by due time; jobs far beyond their objective come last of all.
func (e *Engine) byUrgency() []*step {
	steps := make([]*step, 0, len(e.active))
	e.waiting = 0
	for s := range e.active {
		if s.toPlace() > 0 {
			e.waiting += s.toPlace()
			s.lateNow, s.missedNow = e.lateness(s), e.missed(s)
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, compareUrgency)
	return steps
}

func compareUrgency(a, b *step) int {
	if c := cmp.Or(a.standing()-b.standing(), a.job.queue.Priority-b.job.queue.Priority, a.missedNow-b.missedNow); c != 0 {
		return c
	}
	if a.due != b.due {
		return cmp.Compare(a.due, b.due)
	}
	return cmp.Or(cmp.Compare(a.job.id, b.job.id), a.occurrence-b.occurrence, a.index-b.index)
}

// standing orders steps before their priority does: 0 for those that are served by priority, 1 for those whose jobs can no
// longer complete in time, 2 for those that are worth little any more. Jobs of the first priority keep their place until
// then: they are due soonest, so that those behind them have the time to wait, and they would not.
func (s *step) standing() int {
	switch {
	case s.lateNow > 0:
		return 2
	case s.missedNow > 0 && s.job.queue.Priority > 0:
		return 1
	}
	return 0
}

// missed is 1 for a step whose job can no longer complete in time, else 0. What has missed its objective is worth little more
// now than later, and would make others miss theirs.
func (e *Engine) missed(s *step) int {
	if !s.def.LongRunning && e.now.Add(s.rest) > s.due {
		return 1
	}
	return 0
}

// lateFactor times a job's objective is the time after which its completion is worth little.
const lateFactor = 3

// lateness is 1 for a step whose job completes far beyond its objective, else 0.
func (e *Engine) lateness(s *step) int {
	if !s.def.LongRunning && e.now.Add(s.rest).Sub(s.due) > (lateFactor-1)*s.job.objective {
		return 1
	}
	return 0
}

// A step that found no room looks only at workers whose room has grown since, and neither preempts nor asks for permits,
// until it is time to look through its pool again: each end in a full pool would otherwise make all that wait do so.
const (
	// retryBlocked is the least time between two looks through a pool for one step.
	retryBlocked = 100 * time.Millisecond
	// searchRate bounds the workers that are looked at for blocked steps, a second: at 50 ns each a twentieth of a core.
	searchRate = 1_000_000
	// searchPasses is how often one search goes through the pool: to place, to preempt, to ask.
	searchPasses = 3
)

// retryAfter returns the time between two looks through a pool of so many workers for each of so many waiting steps.
func retryAfter(steps, workers int) time.Duration {
	return max(retryBlocked, time.Duration(steps*workers*searchPasses)*time.Second/searchRate)
}

// place starts what it can of a step, and asks for permits if they are what is missing.
func (e *Engine) place(s *step, p *pool) {
	workers, all := e.candidates(s, p)
	if !all {
		if !e.mayFit(s, p, workers) {
			s.blockedAt = p.freed
			return
		}
		if s.def.Gang {
			workers, all = p.workers, true
		}
	}
	open := s.unplaced()
	if s.def.Gang {
		if len(open) < len(s.tasks) {
			return // members of an earlier run are still ending
		}
		if e.placeGang(s, p, open) {
			s.reserved = nil
			return
		}
	} else {
		open = e.placeEach(s, workers, open)
	}
	if len(open) == 0 {
		return
	}
	s.blockedAt = p.freed
	if all {
		s.triedAt = e.now
		p.ahead = p.ahead.Add(s.def.Allocation().Times(len(open)))
		if s.def.Gang || !p.ahead.Fits(p.freedWithin(stopTime, e.now)) {
			e.preempt(s, p, open)
		}
		if e.mayAsk(s, p) {
			e.ask(s, p, open)
		}
	}
}

// candidates returns the workers where a step may find room, and whether these are all of its pool.
func (e *Engine) candidates(s *step, p *pool) (workers []*worker, all bool) {
	if s.triedAt > 0 && e.now.Sub(s.triedAt) < p.retry && s.reserved == nil {
		if grown, ok := p.grownSince(s.blockedAt); ok {
			return grown, false
		}
	}
	return p.workers, true
}

// mayFit reports whether one of the workers has room for a task of the step. For a gang, whose room is rare and gone soon,
// that includes room for which a permit has yet to be asked.
func (e *Engine) mayFit(s *step, p *pool, workers []*worker) bool {
	mayAsk := s.def.Gang && e.mayAsk(s, p)
	for _, w := range workers {
		e.stats.WorkersEvaluated++
		if !s.def.Allocation().Fits(w.free()) {
			continue
		}
		allowed, known := s.allowed[w.ID]
		if s.permitted(w, e.now) || (mayAsk && (allowed || !known)) {
			return true
		}
	}
	return false
}

// toPlace counts the tasks that are neither done nor running.
func (s *step) toPlace() int { return s.open - s.placed }

func (s *step) unplaced() []*task {
	var open []*task
	for _, t := range s.tasks {
		if !t.done && t.run == nil && t.strays == 0 {
			open = append(open, t)
		}
	}
	return open
}

// placeEach starts what it can of the open tasks on the workers, and returns the others.
func (e *Engine) placeEach(s *step, workers []*worker, open []*task) []*task {
	counts := s.onWorkers()
	for i, t := range open {
		w := e.choose(s, workers, nil, counts)
		if w == nil {
			return open[i:]
		}
		e.start(t, w, e.nextNumber(t.lastRun))
		counts[w.ID]++
	}
	return nil
}

// placeGang starts all members at once or none.
func (e *Engine) placeGang(s *step, p *pool, open []*task) bool {
	taken := make(map[*worker]graph.Resources)
	counts := s.onWorkers()
	if !e.gangFits(s, p, len(open), counts) {
		return false
	}
	chosen := make([]*worker, 0, len(open))
	var last uint64
	for _, t := range open {
		w := e.choose(s, p.workers, taken, counts)
		if w == nil {
			return false
		}
		chosen = append(chosen, w)
		taken[w] = taken[w].Add(s.def.Allocation())
		counts[w.ID]++
		last = max(last, t.lastRun)
	}
	checkpoint := newestCheckpoint(s)
	number := e.nextNumber(last)
	for i, t := range open {
		t.checkpoint = checkpoint
		e.start(t, chosen[i], number)
	}
	return true
}

// gangFits reports whether there is room for so many tasks, with one look at each worker: most tries of a gang in a busy
// pool fail.
func (e *Engine) gangFits(s *step, p *pool, tasks int, counts map[WorkerID]int) bool {
	for _, w := range p.workers {
		e.stats.WorkersEvaluated++
		if !e.hasRoom(s, w, graph.Resources{}, counts) || !s.eligible(w) || !s.permitted(w, e.now) {
			continue
		}
		tasks -= s.tasksThatFit(w.free().Sub(w.promised(s, e.now)), counts[w.ID])
		if tasks <= 0 {
			return true
		}
	}
	return false
}

// newestCheckpoint returns the checkpoint that all members of a gang resume from. Any member's is valid for all.
func newestCheckpoint(s *step) string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// onWorkers counts the step's runs by worker, if that matters to where more may run.
func (s *step) onWorkers() map[WorkerID]int {
	counts := make(map[WorkerID]int)
	if s.def.MaxPerWorker == 0 {
		return counts
	}
	maps.Copy(counts, s.extra)
	for _, t := range s.tasks {
		if t.run != nil {
			counts[t.run.worker.ID]++
		}
	}
	return counts
}

func (e *Engine) nextNumber(last uint64) uint64 { return max(last, e.runBase) + 1 }

func (e *Engine) start(t *task, w *worker, number uint64) {
	t.lastRun = number
	r := &run{RunKey: RunKey{t.id(), number}, worker: w, task: t, ordered: e.now}
	w.runs[r.RunKey] = r
	if w.unanswered == 0 {
		w.unanswered = e.now
	}
	e.reserve(r, t.step.def)
	t.assign(r)
	e.markStarted(t.step.job)
	e.stats.Starts++
	e.orders = append(e.orders, Start{
		RunKey:     r.RunKey,
		Worker:     w.ID,
		Payload:    t.step.job.spec.Payload,
		Permit:     t.step.permits[w.ID].ticket,
		Checkpoint: t.checkpoint,
	})
}

// eligible reports whether the worker may ever run the step's tasks, permits and room aside.
func (s *step) eligible(w *worker) bool {
	return s.def.Label == "" || slices.Contains(w.Labels, s.def.Label)
}
