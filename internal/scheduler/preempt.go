package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

const (
	// maxVictimSets bounds the workers for which one preemption computes a set of victims.
	maxVictimSets = 64
	// stopOverhead is the run time that a stop is assumed to cost beside the victim's progress.
	stopOverhead = 20 * time.Second
	// defaultMaxPreemptions applies if Policy.MaxPreemptions is not set.
	defaultMaxPreemptions = 30
	// maxBackfillStops is how often a stoppable backfill task may be stopped; then it may not backfill again.
	maxBackfillStops = 1
	// defaultMaxLostWorkShare applies if Policy.MaxLostWorkShare is not set.
	defaultMaxLostWorkShare = 0.1
	// lostWorkWindow is the time for which an unused lost work budget accumulates.
	lostWorkWindow = 30 * time.Minute
	// maxStopCounts bounds Scheduler.stopCounts, which is emptied when it is full.
	maxStopCounts = 1 << 16
)

// lostWorkBudget bounds the work that may be lost by preemption, in worker-seconds.
type lostWorkBudget struct {
	remaining float64
	updatedAt time.Time
}

// spend takes cost from the budget, which grows by rate worker-seconds per second. It reports false, and takes nothing,
// if the budget is too small.
func (b *lostWorkBudget) spend(now time.Time, cost, rate float64) bool {
	limit := rate * lostWorkWindow.Seconds()
	if b.updatedAt.IsZero() {
		b.remaining = limit
	} else if now.After(b.updatedAt) {
		b.remaining = min(limit, b.remaining+rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if cost > b.remaining {
		return false
	}
	b.remaining -= cost
	return true
}

// stopCounts is how often a task was stopped for urgent tasks, and as a backfill task for a reservation.
type stopCounts struct {
	forUrgent, forReservation int
}

// victimSet is the tasks to stop on one worker. cost is the work lost with them in worker-seconds.
type victimSet struct {
	worker *worker
	tasks  []*taskEntry
	cost   float64
}

// scratch holds buffers that are reused to save allocations.
type scratch struct {
	victims     []*taskEntry
	bestVictims []*taskEntry
	completions []completion
}

func (s *Scheduler) maxPreemptions() int {
	if s.policy.MaxPreemptions > 0 {
		return s.policy.MaxPreemptions
	}
	return defaultMaxPreemptions
}

func (s *Scheduler) lostWorkRate() float64 {
	share := s.policy.MaxLostWorkShare
	if share <= 0 {
		share = defaultMaxLostWorkShare
	}
	return share * float64(len(s.sortedWorkers))
}

// isPreemptible reports whether e may be stopped for urgent tasks.
func (s *Scheduler) isPreemptible(e *taskEntry) bool {
	t := e.task()
	return e.state == StatePlaced && t.Stoppable && t.Class != cell.ClassUrgent && e.stopCounts.forUrgent < s.maxPreemptions()
}

// updatePreemptible recomputes which tasks on w are preemptible.
func (s *Scheduler) updatePreemptible(w *worker) {
	w.preemptibleClaims = cell.Resources{}
	for _, e := range w.tasks {
		e.preemptible = s.isPreemptible(e)
		if e.preemptible {
			w.preemptibleClaims = w.preemptibleClaims.Add(e.claim())
		}
	}
	w.group.refresh(w)
}

// retryPreemption activates the urgent lanes that found no victims.
func (s *Scheduler) retryPreemption() {
	for _, l := range s.lanesWithoutVictims {
		l.noVictims = false
		s.activate(l)
	}
	clear(s.lanesWithoutVictims)
	s.lanesWithoutVictims = s.lanesWithoutVictims[:0]
}

// preempt stops the cheapest set of tasks that frees capacity for the urgent unit u, and holds the capacity for u.
// It does not wait for tasks to end: a stop takes most of Policy.UrgentWait, and run times are too uncertain.
func (s *Scheduler) preempt(r *round, u *placementUnit) bool {
	if u.isGang() || s.policy.UrgentWait <= 0 {
		return false
	}
	e := u.first()
	set := s.cheapestVictims(e, r.now)
	if set.worker == nil || !s.lostWorkBudget.spend(r.now, set.cost, s.lostWorkRate()) {
		return false
	}
	s.removeFromLane(u)
	s.holdCapacity(u, set.worker, r.now)
	for _, victim := range set.tasks {
		s.stop(r, victim, e)
	}
	return true
}

// cheapestVictims returns the cheapest victims on the workers where stopping tasks frees enough capacity for e.
func (s *Scheduler) cheapestVictims(e *taskEntry, now time.Time) victimSet {
	var best victimSet
	seen := 0
	for _, g := range s.groups {
		if !g.matches(e.task().Pool) {
			continue
		}
		visit := func(pos int) bool {
			seen++
			s.considerVictims(&best, g.members[pos], e, now)
			return seen < maxVictimSets
		}
		g.preemptionIndex.search(e.claim(), visit, func() bool { return seen >= maxVictimSets })
	}
	return best
}

func (s *Scheduler) considerVictims(best *victimSet, w *worker, e *taskEntry, now time.Time) {
	if avoids(&e.item, w) {
		return
	}
	tasks, cost, ok := s.victimsOn(w, e.claim(), now)
	if !ok || best.worker != nil && cost >= best.cost {
		return
	}
	s.scratch.bestVictims = append(s.scratch.bestVictims[:0], tasks...)
	*best = victimSet{worker: w, tasks: s.scratch.bestVictims, cost: cost}
}

// victimsOn returns the tasks to stop so that claim fits on w, and their cost. It adds the cheapest tasks first until the
// claim fits, and then removes those that are not needed, the most expensive first.
func (s *Scheduler) victimsOn(w *worker, claim cell.Resources, now time.Time) ([]*taskEntry, float64, bool) {
	candidates := s.scratch.victims[:0]
	for _, e := range w.tasks {
		if e.preemptible {
			candidates = append(candidates, e)
		}
	}
	s.scratch.victims = candidates
	slices.SortFunc(candidates, func(a, b *taskEntry) int {
		if c := cmp.Compare(lostWork(a, now), lostWork(b, now)); c != 0 {
			return c
		}
		return cmp.Compare(a.seq, b.seq)
	})
	available := w.available()
	n := 0
	for n < len(candidates) && !claim.Fits(available) {
		available = available.Add(candidates[n].claim())
		n++
	}
	if !claim.Fits(available) {
		return nil, 0, false
	}
	victims := candidates[:n]
	for i := n - 1; i >= 0; i-- {
		if without := available.Sub(victims[i].claim()); claim.Fits(without) {
			available = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	cost := 0.0
	for _, e := range victims {
		cost += lostWork(e, now)
	}
	return victims, cost, true
}

// lostWork is the work that is lost if e is stopped and its checkpoint is lost, in worker-seconds.
func lostWork(e *taskEntry, now time.Time) float64 {
	elapsed := max(now.Sub(e.placedAt), 0) + stopOverhead
	return elapsed.Seconds() * e.claim().DominantShare(e.worker.desc.Capacity)
}

// stop adds the decision to stop a placed task for another.
func (s *Scheduler) stop(r *round, victim, preemptor *taskEntry) {
	victim.state = StateStopping
	if preemptor.task().Class == cell.ClassUrgent {
		victim.stopCounts.forUrgent++
	} else {
		victim.stopCounts.forReservation++
	}
	s.updatePreemptible(victim.worker)
	preemptorID := preemptor.item.Task.ID
	r.decisions = append(r.decisions, Decision{
		Kind:      Stop,
		Task:      victim.item.Task,
		Worker:    victim.worker.desc.ID,
		Reason:    cell.Reason{Code: cell.ReasonPreempted, Detail: "for " + string(preemptorID)},
		Waited:    r.now.Sub(preemptor.item.Arrived),
		StopMode:  platformapi.StopCheckpoint,
		Preemptor: preemptorID,
	})
}

// recordStops remembers how often a task was stopped, for its return to the queue.
func (s *Scheduler) recordStops(id cell.TaskID, n stopCounts) {
	if len(s.stopCounts) >= maxStopCounts {
		clear(s.stopCounts)
	}
	s.stopCounts[id] = n
}
