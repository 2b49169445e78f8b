package scheduler

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// maxCandidates is the number of scored workers of a group after which the search of the group ends.
	// maxCandidatesPerStep bounds those of one level of the index. Searches for a service's task have neither bound.
	maxCandidates        = 64
	maxCandidatesPerStep = 4
	// backfillSafetyFactor is the factor by which a backfill task's run time may exceed its estimate without delaying the
	// reserved unit.
	backfillSafetyFactor = 10
)

// workerSearch is the state of one search for the best worker.
type workerSearch struct {
	entry *taskEntry
	// skipAvoid leaves out the workers that the entry avoids.
	skipAvoid bool
	spread    *serviceSpread
	best      *worker
	score     float64
	// scored counts the workers scored in the group, scoredInStep those in the current level of the index.
	scored       int
	scoredInStep int
}

// findWorker returns the best worker with available capacity for e, nil if there is none. Workers that e avoids, and
// workers with accelerators for a task that needs none, are used only if no other worker has capacity.
func (s *Scheduler) findWorker(e *taskEntry) *worker {
	if w := s.searchWorkers(e, true); w != nil || len(e.item.Avoid) == 0 {
		return w
	}
	return s.searchWorkers(e, false)
}

// searchWorkers searches workers with accelerators only if e needs some or no other worker has capacity.
func (s *Scheduler) searchWorkers(e *taskEntry, skipAvoid bool) *worker {
	search := workerSearch{entry: e, skipAvoid: skipAvoid}
	if e.task().Kind == cell.KindService {
		search.spread = s.services[e.task().Job]
	}
	if e.claim().Accelerators == 0 {
		s.searchGroups(&search, false)
	}
	if search.best == nil {
		s.searchGroups(&search, true)
	}
	return search.best
}

func (s *Scheduler) searchGroups(search *workerSearch, accelerators bool) {
	for _, g := range s.groups {
		if g.accelerators == accelerators && g.matches(search.entry.task().Pool) {
			search.searchGroup(g)
		}
	}
}

func (search *workerSearch) searchGroup(g *workerGroup) {
	search.scored = 0
	visit := func(pos int) bool { return search.consider(g.members[pos]) }
	step := func() bool {
		search.scoredInStep = 0
		return search.scored >= maxCandidates && search.spread == nil
	}
	g.availableIndex.search(search.entry.claim(), visit, step)
}

// consider scores w if e fits and reports whether the search of this level goes on.
func (search *workerSearch) consider(w *worker) bool {
	claim := search.entry.claim()
	if !claim.Fits(w.available()) || search.skipAvoid && avoids(&search.entry.item, w) {
		return true
	}
	search.scored++
	search.scoredInStep++
	score := score(w, claim) - search.spread.penalty(w)
	if search.best == nil || score > search.score {
		search.best, search.score = w, score
	}
	return search.scoredInStep < maxCandidatesPerStep || search.spread != nil
}

// avoids reports whether item avoids w or its rack.
func avoids(item *QueueItem, w *worker) bool {
	return slices.Contains(item.Avoid, w.desc.ID) || w.desc.Rack != "" && slices.Contains(item.Avoid, cell.WorkerID(w.desc.Rack))
}

// findBackfill returns a worker on which e can use reserved capacity without delaying the reserved unit: because e can be
// stopped, or because it ends before the expected start even if it runs backfillSafetyFactor times its estimate.
func (s *Scheduler) findBackfill(e *taskEntry, now time.Time) *worker {
	claim := e.claim()
	for _, res := range s.reservations {
		if !res.mayBackfill(e, now) {
			continue
		}
		for _, asg := range res.assignments {
			w := asg.worker
			if w.group.matches(e.task().Pool) && claim.Fits(w.free().Sub(w.held)) && !avoids(&e.item, w) {
				return w
			}
		}
	}
	return nil
}

// mayBackfill reports whether e may use the reserved capacity.
func (res *reservation) mayBackfill(e *taskEntry, now time.Time) bool {
	t := e.task()
	if t.Kind == cell.KindService {
		return false
	}
	if t.Stoppable && t.Class != cell.ClassUrgent {
		return e.stopCounts.forReservation < maxBackfillStops
	}
	return t.EstimatedRun > 0 && !now.Add(backfillSafetyFactor*t.EstimatedRun).After(res.expectedStart)
}
