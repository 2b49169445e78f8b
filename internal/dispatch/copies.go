package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// A task of a Speculative step whose run lags far behind its siblings gets a second run, a copy, on another worker. The first that
// is done counts, and the other is stopped. When the original run ends otherwise, the copy takes its place as the task's run.
const (
	// copyCheckInterval is how often stragglers are searched for.
	copyCheckInterval = 20 * time.Millisecond
	// defaultCopyShare is the share of a pool's capacity that copies may take.
	defaultCopyShare = 0.03
	// copyGain is how many times the run time of a copy the straggler's remaining time has to be.
	copyGain = 1.5
	// copyStartTime is about how long it takes until a copy works.
	copyStartTime = 50 * time.Millisecond
	// lateFactor is how many times its expected run time a run without known progress has to take to count as a straggler.
	lateFactor = 1.2
	// lateRemaining is how many times its expected run time such a run is expected to still take, at least.
	lateRemaining = 2.0
	// minDoneShare is the share of a step's tasks that must be done for their run times to tell stragglers.
	minDoneShare = 0.5
	// idleCopyShare is the share of the pool that has to be free for copies that no objective needs.
	idleCopyShare = 0.25
	// staleProgressTime is how long the progress of a run may be unchanged before it no longer tells when the run ends. Workers
	// report about every second.
	staleProgressTime = 2500 * time.Millisecond
)

// removeTaskRun notes that r is no longer a run of its task. The copy takes the place of the task's current run.
func (e *Engine) removeTaskRun(r *run) {
	switch t := r.task; {
	case t.copy == r:
		t.copy = nil
	case t.run == r:
		if t.copy != nil {
			e.stopCountingCopy(t.copy)
		}
		successor := t.copy
		t.copy = nil
		t.setRun(successor)
	}
}

// stopTaskRuns stops the task's run and its copy and leaves the task without them.
func (e *Engine) stopTaskRuns(t *task, reason string) {
	if t.copy != nil {
		e.detachAndStop(t.copy, reason)
	}
	if t.run != nil {
		e.detachAndStop(t.run, reason)
	}
}

// permitDemand counts the tasks of the step that a permit may start: those without a run, and copies that lack nothing else.
func (s *step) permitDemand() int { return s.unplacedCount() + s.wantedCopies }

// isCopy reports whether r is the copy of its task's current run.
func (r *run) isCopy() bool { return r.task != nil && r.task.copy == r }

// mayHaveCopy reports whether a copy of the task's current run may be started. A copy that fails must leave the original an attempt,
// and one of a task that may crash its workers would crash another.
func (t *task) mayHaveCopy() bool {
	return t.run != nil && t.copy == nil && t.surplusRuns == 0 && !t.done && t.run.state == runRunning && t.run.confirmedAt > 0 &&
		len(t.crashes) == 0 && len(t.failedRuns)+1 < t.step.job.queue.MaxAttempts
}

// mayHaveCopies reports whether copies of the step's tasks may run.
func (s *step) mayHaveCopies() bool {
	return s.def.Speculative && !s.def.Gang && !s.def.LongRunning && !s.def.Filler
}

// keepAsCopy reports whether a reported run that the engine did not order becomes the copy of the task's current run: after a
// takeover both runs of a task are reported.
func (e *Engine) keepAsCopy(t *task) bool {
	return t.step.mayHaveCopies() && t.run != nil && t.copy == nil && t.surplusRuns == 0 && !t.done && !t.step.job.state.Ended()
}

// straggler is a run that a copy is expected to overtake.
type straggler struct {
	task      *task
	remaining time.Duration
	// late means that the job misses its objective without the copy.
	late bool
}

// startCopies starts copies of stragglers where no waiting task can use the capacity.
func (e *Engine) startCopies() {
	if e.now.Sub(e.copiesCheckedAt) < copyCheckInterval {
		return
	}
	e.copiesCheckedAt = e.now
	var stragglers []straggler
	for s := range e.active {
		s.wantedCopies = 0
		if s.mayHaveCopies() && !(s.job.unconfirmed && e.awaitsReports(s.job)) {
			stragglers = e.appendStragglers(stragglers, s)
		}
	}
	if len(stragglers) == 0 {
		return
	}
	slices.SortFunc(stragglers, compareStragglers)
	room := unclaimedRoom{waiting: e.waitingSteps(), claimed: make(map[*worker]bool)}
	for _, g := range stragglers {
		if p := e.pools[g.task.step.job.queue.Pool]; p != nil {
			e.startCopy(g, p, room)
		}
	}
}

// compareStragglers orders those whose jobs need a copy first, then by priority, due time and what remains.
func compareStragglers(a, b straggler) int {
	if a.late != b.late {
		if a.late {
			return -1
		}
		return 1
	}
	s, other := a.task.step, b.task.step
	return cmp.Or(cmp.Compare(s.job.queue.Priority, other.job.queue.Priority), cmp.Compare(s.due, other.due),
		cmp.Compare(b.remaining, a.remaining), cmp.Compare(s.job.id, other.job.id), s.occurrence-other.occurrence, s.index-other.index,
		a.task.index-b.task.index)
}

// appendStragglers appends the stragglers among the step's tasks.
func (e *Engine) appendStragglers(found []straggler, s *step) []straggler {
	typical, ok := s.siblings.TypicalTime()
	ok = ok && float64(len(s.tasks)-s.openTasks) >= minDoneShare*float64(len(s.tasks))
	if !ok && !e.copyEagerly {
		return found
	}
	fresh := typical + copyStartTime
	afterwards := max(0, s.remainingPath-s.def.Estimate)
	for _, t := range s.tasks {
		if !t.mayHaveCopy() || t.run.away {
			continue // away from its data a copy would be as slow
		}
		remaining := e.remainingTime(t.run, typical)
		if float64(remaining) <= copyGain*float64(fresh) && !e.copyEagerly {
			continue
		}
		late := e.now.Add(remaining+afterwards) > s.due
		found = append(found, straggler{t, remaining, late || e.copyEagerly})
	}
	return found
}

// remainingTime estimates how long a run still takes, from its progress if that is recent, or else from its siblings' run time. A run
// that takes longer than these is expected to take as long again.
func (e *Engine) remainingTime(r *run, typical time.Duration) time.Duration {
	elapsed := e.now.Sub(r.confirmedAt)
	if r.progress > 0 && r.progressChangedAt > r.confirmedAt && e.now.Sub(r.progressChangedAt) < staleProgressTime {
		total := r.progressChangedAt.Sub(r.confirmedAt) * 100 / time.Duration(r.progress)
		return max(0, total-elapsed)
	}
	expected := r.worker.expectedTime(typical)
	if float64(elapsed) < lateFactor*float64(expected) {
		return max(0, expected-elapsed)
	}
	return max(elapsed, time.Duration(lateRemaining*float64(expected)))
}

// waitingSteps returns the steps with tasks that wait, by pool.
func (e *Engine) waitingSteps() map[string][]*step {
	waiting := make(map[string][]*step)
	for s := range e.active {
		if s.unplacedCount() > 0 {
			waiting[s.job.queue.Pool] = append(waiting[s.job.queue.Pool], s)
		}
	}
	return waiting
}

// startCopy starts a copy of a straggler's run if the budget and a worker allow it. If only a permit is missing, one is requested.
func (e *Engine) startCopy(g straggler, p *pool, room unclaimedRoom) {
	t := g.task
	s := t.step
	if s.job.lane == laneBeyondRate || e.limitForbids(s) || s.job.organisation.wantsLimit() {
		return
	}
	if !g.late && !p.capacity.Scale(idleCopyShare).Fits(p.free) {
		return
	}
	if !e.copiesUsed[s.job.queue.Pool].Add(s.def.Allocation()).Fits(p.capacity.Scale(e.maxCopyShare)) {
		return
	}
	var workers []*worker
	for _, w := range p.workers {
		e.stats.WorkersEvaluated++
		if e.mayHoldCopy(w, t, room) {
			workers = append(workers, w)
		}
	}
	if len(workers) == 0 {
		return
	}
	if w := e.rank(s, workers, nil, s.runsPerWorker()).best(); w != nil {
		e.stats.Copies++
		e.startRun(t, w, e.nextRunNumber(t.lastRunNumber))
		return
	}
	s.wantedCopies++
	if s.unplacedCount() == 0 && e.mayRequestPermits(s, p) {
		s.nextPermitRequestAt = e.now.Add(permitRetryInterval)
		e.requestPermits(s, p, []*task{t})
	}
}

// mayHoldCopy reports whether a copy of the task's run may start on the worker: it is sound, has capacity, does not have the
// original, and no waiting task could use the capacity.
func (e *Engine) mayHoldCopy(w *worker, t *task, room unclaimedRoom) bool {
	if w == t.run.worker || w.speed.Slow() || w.health.ejected || e.isSuspect(w) || !t.step.def.Allocation().Fits(w.free()) {
		return false
	}
	return !room.isClaimed(w)
}

// unclaimedRoom tells on which workers waiting tasks could use the room. It is valid for one search for copies.
type unclaimedRoom struct {
	// waiting holds the steps with tasks that wait, by pool; claimed what is known already.
	waiting map[string][]*step
	claimed map[*worker]bool
}

// isClaimed reports whether a waiting task could use the worker's room.
func (u unclaimedRoom) isClaimed(w *worker) bool {
	claimed, known := u.claimed[w]
	if !known {
		claimed = slices.ContainsFunc(u.waiting[w.Pool], func(s *step) bool {
			allowed, known := s.verdicts[w.ID]
			return s.eligible(w) && (allowed || !known) && s.def.Allocation().Fits(w.free())
		})
		u.claimed[w] = claimed
	}
	return claimed
}

// setCopy makes r the copy of the task's current run.
func (e *Engine) setCopy(t *task, r *run) {
	t.copy, r.countsAsCopy = r, true
	e.copiesUsed[r.worker.Pool] = e.copiesUsed[r.worker.Pool].Add(r.allocation)
}

// stopCountingCopy takes a run out of what copies use in its pool.
func (e *Engine) stopCountingCopy(r *run) {
	if r.countsAsCopy {
		r.countsAsCopy = false
		e.copiesUsed[r.worker.Pool] = e.copiesUsed[r.worker.Pool].Sub(r.allocation)
	}
}
