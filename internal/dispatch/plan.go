package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
)

// Plan places what tasks it can and returns the resulting orders, together with those from events since the last call. wall is
// the time of day since the Unix epoch.
func (e *Engine) Plan(wall time.Duration) []Order {
	e.dropRetired()
	e.activateDue(wall)
	e.sendRecordedStarts()
	e.retryStops()
	e.refreshPools()
	e.refreshSpeeds()
	e.reviewWaits()
	e.refreshOrganisations()
	e.findStalledRuns()
	e.forgetCrashes()
	steps := e.byUrgency()
	for _, p := range e.pools {
		p.searchInterval = searchInterval(len(steps), len(p.workers))
	}
	e.reserveForGangs(steps)
	for _, s := range steps {
		if s.job.unconfirmed {
			if e.awaitsReports(s.job) {
				continue
			}
			s.job.unconfirmed = false
		}
		if pool := e.pools[s.job.queue.Pool]; pool != nil {
			e.placeStep(s, pool)
			e.noteWaitingPermits(s, pool)
		}
	}
	e.keepDemand()
	e.startCopies()
	orders := e.orders
	e.orders = nil
	return orders
}

func (e *Engine) retryStops() {
	for r := range e.unansweredStops {
		if e.now >= r.stopRetryAt {
			e.sendStop(r)
		}
	}
}

// byUrgency returns the active steps with unplaced tasks in the order in which they get capacity: by lane, then by demotion, then by
// priority, then by their organisation's band, then those whose jobs can still complete in time before others, then by due time.
func (e *Engine) byUrgency() []*step {
	steps := make([]*step, 0, len(e.active))
	e.waitingTasks = 0
	for s := range e.active {
		if s.unplacedCount() > 0 {
			e.waitingTasks += s.unplacedCount()
			s.overdueAtPlan, s.missedAtPlan = e.overdue(s), e.missedObjective(s)
			s.job.organisation.noteWaiting(s)
			steps = append(steps, s)
		}
	}
	e.updateShares()
	slices.SortFunc(steps, compareUrgency)
	return steps
}

func compareUrgency(a, b *step) int {
	if c := cmp.Or(a.job.lane-b.job.lane, a.demotion()-b.demotion(), a.job.queue.Priority-b.job.queue.Priority); c != 0 {
		return c
	}
	if a.job.organisation != b.job.organisation {
		if c := a.job.band() - b.job.band(); c != 0 {
			return c
		}
	}
	if c := a.missedAtPlan - b.missedAtPlan; c != 0 {
		return c
	}
	if a.due != b.due {
		return cmp.Compare(a.due, b.due)
	}
	return cmp.Or(cmp.Compare(a.job.id, b.job.id), a.occurrence-b.occurrence, a.index-b.index)
}

// demotion orders steps before their priority does: 0 for steps that are served by priority, 1 for steps whose jobs can no
// longer complete in time, 2 for steps whose jobs are far beyond their objective. Jobs of priority 0 are not demoted to 1:
// they are due soonest, so the jobs behind them have time to wait, while they themselves have none.
func (s *step) demotion() int {
	switch {
	case s.overdueAtPlan > 0:
		return 2
	case s.missedAtPlan > 0 && s.job.queue.Priority > 0:
		return 1
	}
	return 0
}

// missedObjective is 1 for a step whose job can no longer complete in time, else 0. Such a job is worth little more now than
// later, and serving it first would make others miss their objectives.
func (e *Engine) missedObjective(s *step) int {
	if !s.def.LongRunning && e.now.Add(s.remainingPath) > s.due {
		return 1
	}
	return 0
}

// overdueFactor times a job's objective is the time after which its completion is worth little.
const overdueFactor = 3

// overdue is 1 for a step whose job is expected to complete later than overdueFactor times its objective, else 0.
func (e *Engine) overdue(s *step) int {
	if !s.def.LongRunning && e.now.Add(s.remainingPath).Sub(s.due) > (overdueFactor-1)*s.job.objective {
		return 1
	}
	return 0
}

// A blocked step, one that found too little free capacity in its pool, considers only workers whose free capacity has grown
// since. Until its search interval is over it neither preempts nor requests permits. Otherwise each run that ends in a full pool
// would make every waiting step search the whole pool.
const (
	// minSearchInterval is the least time between two searches of a pool for one step.
	minSearchInterval = 100 * time.Millisecond
	// maxSearchRate bounds the workers evaluated for blocked steps, per second: at 50 ns each, a twentieth of a core.
	maxSearchRate = 1_000_000
	// searchPasses is how often one search goes through the pool: to place, to preempt, to request permits.
	searchPasses = 3
)

// searchInterval returns the time between two searches for a step while the given number of steps wait for a pool with the
// given number of workers.
func searchInterval(steps, workers int) time.Duration {
	return max(minSearchInterval, time.Duration(steps*workers*searchPasses)*time.Second/maxSearchRate)
}

// placeStep starts what tasks of a step it can, preempts others for the rest, and requests permits if they may be what is
// missing.
func (e *Engine) placeStep(s *step, p *pool) {
	e.reviewForecast(s, p)
	defer e.countDemand(s, p)
	if s.def.Gang && s.placedTasks > 0 {
		// Members of an earlier run have not been removed yet. After a takeover they may not be stopped yet either: an earlier owner
		// was lost while it started the gang.
		e.stopGang(s, math.MaxUint64)
		return
	}
	admitted := p.spareTasks(s, e.admitForPlan(s))
	if admitted == 0 {
		return
	}
	open := e.unplacedTasks(s)
	open = open[:min(len(open), admitted)]
	if !s.def.Gang {
		if open = e.startAwaited(s, p, open); len(open) == 0 {
			return
		}
	}
	workers, wholePool := e.candidateWorkers(s, p)
	if !wholePool {
		if !e.mayPlaceOn(s, p, workers) {
			s.blockedAtVersion = p.capacityVersion
			return
		}
		if s.def.Gang {
			workers, wholePool = p.workers, true
		}
	}
	if s.def.Gang {
		if len(open) < len(s.tasks) {
			return // members of the gang's earlier run have not been removed yet
		}
		if e.placeGang(s, p, open) {
			s.reservedWorkers = nil
			p.notePlaced(s, len(open))
			return
		}
		open = notWaiting(open)
	} else {
		waiting, kept := len(open), 0
		open, kept = e.placeTasks(s, p, workers, open)
		p.notePlaced(s, waiting-len(open)-kept)
	}
	if len(open) == 0 && len(s.locality.waits) == 0 {
		return
	}
	s.blockedAtVersion = p.capacityVersion
	if wholePool {
		s.lastSearchAt = e.now
	}
	if wholePool && len(open) > 0 {
		p.blockedDemand = p.blockedDemand.Add(s.def.Allocation().Times(len(open)))
		if s.def.Gang || !p.blockedDemand.Fits(p.expectedFreed(typicalStopTime, e.now)) {
			e.preempt(s, p, open)
		}
		if e.mayRequestPermits(s, p) {
			e.requestPermits(s, p, open)
		}
	}
}

// candidateWorkers returns the workers that may have free capacity for a step, and whether these are the whole pool.
func (e *Engine) candidateWorkers(s *step, p *pool) (workers []*worker, wholePool bool) {
	if s.lastSearchAt > 0 && e.now.Sub(s.lastSearchAt) < p.searchInterval && s.reservedWorkers == nil && !e.fastWaitEnded(s) {
		if grown, ok := p.grownSince(s.blockedAtVersion); ok {
			return grown, false
		}
	}
	return p.workers, true
}

// mayPlaceOn reports whether one of the workers has free capacity and a permit for a task of the step. For a gang it also
// counts workers that a permit may yet be requested for: capacity for a gang is rare and taken soon.
func (e *Engine) mayPlaceOn(s *step, p *pool, workers []*worker) bool {
	mayRequest := s.def.Gang && e.mayRequestPermits(s, p)
	for _, w := range workers {
		e.stats.WorkersEvaluated++
		if !s.def.Allocation().Fits(w.free()) {
			continue
		}
		allowed, known := s.verdicts[w.ID]
		if s.hasPermit(w, e.now) || (mayRequest && (allowed || !known)) {
			return true
		}
	}
	return false
}

// unplacedCount counts the tasks that are not done and have no run.
func (s *step) unplacedCount() int { return s.openTasks - s.placedTasks }

// unplacedTasks returns the tasks of a step that may be started now: neither done nor with a run, current or surplus, nor kept from their
// next run.
func (e *Engine) unplacedTasks(s *step) []*task {
	var open []*task
	for _, t := range s.tasks {
		if !t.done && t.run == nil && t.surplusRuns == 0 && e.now >= e.startableAt(t) && !t.isAwaitingRecord() {
			open = append(open, t)
		}
	}
	return open
}

// placeTasks starts what open tasks it can on the workers and returns the others, except those that wait for room on a rack and the kept ones,
// which wait for a quiet worker.
func (e *Engine) placeTasks(s *step, p *pool, workers []*worker, open []*task) (rest []*task, kept int) {
	if e.placesMatter(s) {
		return e.placeNear(s, p, workers, open), 0
	}
	counts := s.runsPerWorker()
	ranked := e.rank(s, workers, nil, counts)
	for i, t := range open {
		w := ranked.best()
		if w == nil || e.waitsForFast(s, w, len(open)-i) {
			return open[i:], kept
		}
		if s.suspects > 0 && t.isSuspect() && !w.isQuietFor(s.job, e.now) && e.awaitQuiet(t, w, p) {
			kept++
			continue
		}
		e.startRun(t, w, e.nextRunNumber(t.lastRunNumber))
		counts[w.ID]++
		if s.def.TailTarget > 0 {
			ranked = e.rank(s, workers, nil, counts) // fillers that were stopped count for those of other workers
			continue
		}
		ranked.placed()
	}
	return nil, kept
}

// placeGang starts all members of a gang or none, and reports whether it did.
func (e *Engine) placeGang(s *step, p *pool, open []*task) bool {
	workers := p.workers
	if e.placesMatter(s) {
		workers = e.gangWorkers(s, p, open)
	}
	chosen := e.chooseForGang(s, workers, len(open))
	if chosen == nil {
		return false
	}
	var last uint64
	for _, t := range open {
		last = max(last, t.lastRunNumber)
	}
	checkpoint := gangCheckpoint(s)
	number := e.nextRunNumber(last)
	for i, t := range open {
		t.checkpoint = checkpoint
		e.startRun(t, chosen[i], number)
	}
	e.noteGang(s)
	return true
}

// chooseForGang chooses a worker for each of the given number of tasks; it returns nil if they don't all fit.
func (e *Engine) chooseForGang(s *step, workers []*worker, tasks int) []*worker {
	planned := make(map[*worker]graph.Resources)
	counts := s.runsPerWorker()
	if !e.gangFits(s, workers, tasks, counts) {
		return nil
	}
	chosen := make([]*worker, 0, tasks)
	ranked := e.rank(s, workers, planned, counts)
	for range tasks {
		w := ranked.best()
		if w == nil {
			return nil
		}
		chosen = append(chosen, w)
		planned[w] = planned[w].Add(s.def.Allocation())
		counts[w.ID]++
		ranked.placed()
	}
	return chosen
}

// gangFits reports whether the given number of tasks fits, evaluating each worker once: in a busy pool, most attempts to place
// a gang fail.
func (e *Engine) gangFits(s *step, workers []*worker, tasks int, running map[WorkerID]int) bool {
	for _, w := range workers {
		e.stats.WorkersEvaluated++
		if !e.hasCapacity(s, w, graph.Resources{}, running) || !s.eligible(w) || !s.hasPermit(w, e.now) {
			continue
		}
		tasks -= s.tasksThatFit(w.free().Sub(w.heldForOthers(s, e.now)), running[w.ID])
		if tasks <= 0 {
			return true
		}
	}
	return false
}

// gangCheckpoint returns the checkpoint that all members of a gang resume from. Any member's checkpoint is valid for all.
func gangCheckpoint(s *step) string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// runsPerWorker counts the step's runs by worker. It is empty for a step without MaxPerWorker, where they don't matter.
func (s *step) runsPerWorker() map[WorkerID]int {
	counts := make(map[WorkerID]int)
	if s.def.MaxPerWorker == 0 {
		return counts
	}
	maps.Copy(counts, s.detachedRuns)
	for _, t := range s.tasks {
		if t.run != nil {
			counts[t.run.worker.ID]++
		}
		if t.copy != nil {
			counts[t.copy.worker.ID]++
		}
	}
	return counts
}

// nextRunNumber returns the number of a task's next run after its last one. It lies in the range of the owner's epoch or
// above.
func (e *Engine) nextRunNumber(last uint64) uint64 { return max(last, e.runNumberBase) + 1 }

func (e *Engine) startRun(t *task, w *worker, number uint64) {
	t.lastRunNumber = number
	if e.onTrial(w) {
		e.stats.TrialRuns++
	}
	permit := t.step.permits[w.ID]
	r := &run{RunKey: RunKey{t.id(), number}, worker: w, task: t, orderedAt: e.now, fullRun: t.isFullRun()}
	r.once = permit.ticket == "" && w.mayRestartUnderID() && !e.startsNameProcess
	w.runs[r.RunKey] = r
	e.allocate(r, t.step)
	e.noteStart(w, t)
	if t.step.def.TailTarget > 0 && w.mayStopFillers() {
		e.stopFillers(w, "makes way for job "+string(t.step.job.id))
	}
	isCopy := t.run != nil
	if isCopy {
		e.setCopy(t, r)
	} else {
		t.setRun(r)
	}
	start := Start{
		RunKey:      r.RunKey,
		Worker:      w.ID,
		Payload:     t.step.job.spec.Payload,
		Permit:      permit.ticket,
		PermitUntil: permit.validUntil,
		Checkpoint:  t.checkpoint,
		Urgent:      t.step.job.queue.Priority == 0 && t.step.job.lane == laneWithinRate,
		Gang:        t.step.def.Gang,
		LongRunning: t.step.def.LongRunning,
		Copy:        isCopy,
		Once:        r.once,
	}
	if r.once {
		e.awaitStartRecord(r, start)
		return
	}
	e.orderStart(r, start)
}

// orderStart gives the start order of a run.
func (e *Engine) orderStart(r *run, start Start) {
	w := r.worker
	r.ordered, r.orderedAt = true, e.now
	w.lastStarted = append(w.lastStarted, r)
	if w.oldestUnansweredStart == 0 {
		w.oldestUnansweredStart = e.now
	}
	e.stats.Starts++
	e.orders = append(e.orders, start)
}

// eligible reports whether the worker has the label that the step requires. It ignores permits and capacity.
func (s *step) eligible(w *worker) bool {
	return s.def.Label == "" || slices.Contains(w.Labels, s.def.Label)
}
