package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

const (
	// maxVictimSets is the number of workers for which one preemption works out the cheapest victims.
	maxVictimSets = 64
	// stopCost is the run time that a stop is counted to throw away beside the victim's progress.
	stopCost = 20 * time.Second
	// defaultMaxStops is Policy.MaxStops where it is not set.
	defaultMaxStops = 30
	// maxSpareStops is how often a task may use reserved room that it then has to leave.
	maxSpareStops = 1
	// defaultWasteShare is Policy.MaxWasteShare where it is not set.
	defaultWasteShare = 0.1
	// wasteWindow is the time over which an unused waste budget adds up.
	wasteWindow = 30 * time.Minute
	// maxStopRecords bounds the record of stops of tasks that are not known now; it is emptied when it is full.
	maxStopRecords = 1 << 16
)

// wasteBudget bounds the work that preemption may throw away, in worker-seconds.
type wasteBudget struct {
	left float64
	at   time.Time
}

// spend takes cost from the budget, which grows by rate worker-seconds a second, and reports whether there was enough.
func (b *wasteBudget) spend(now time.Time, cost, rate float64) bool {
	full := rate * wasteWindow.Seconds()
	if b.at.IsZero() {
		b.left = full
	} else if now.After(b.at) {
		b.left = min(full, b.left+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if cost > b.left {
		return false
	}
	b.left -= cost
	return true
}

// stopCounts is how often a task was stopped: for urgent work, and to leave room that was reserved.
type stopCounts struct {
	urgent, spare int
}

// victimSet is the tasks to stop on one worker, and the work lost with them in worker-seconds.
type victimSet struct {
	worker *worker
	tasks  []*entry
	cost   float64
}

// scratch holds buffers that decisions use again.
type scratch struct {
	victims []*entry
	best    []*entry
	drains  []drain
}

func (s *Scheduler) maxStops() int {
	if s.policy.MaxPreemptions > 0 {
		return s.policy.MaxPreemptions
	}
	return defaultMaxStops
}

func (s *Scheduler) wasteRate() float64 {
	share := s.policy.MaxLostWorkShare
	if share <= 0 {
		share = defaultWasteShare
	}
	return share * float64(len(s.order))
}

// mayStop reports whether e may be stopped for urgent work.
func (s *Scheduler) mayStop(e *entry) bool {
	t := e.task()
	return e.state == StatePlaced && t.Stoppable && t.Class != cell.ClassUrgent && e.stops.urgent < s.maxStops()
}

// recountVictims brings w's sum of stoppable claims up to date.
func (s *Scheduler) recountVictims(w *worker) {
	w.victims = cell.Resources{}
	for _, e := range w.tasks {
		e.victim = s.mayStop(e)
		if e.victim {
			w.victims = w.victims.Add(e.claim())
		}
	}
	w.group.refresh(w)
}

// victimsGrew lets the urgent lanes that found no victims try again.
func (s *Scheduler) victimsGrew() {
	for _, l := range s.starved {
		l.noVictims = false
		s.activate(l)
	}
	clear(s.starved)
	s.starved = s.starved[:0]
}

// preempt stops the cheapest set of tasks that makes room for the urgent unit u and keeps the room for it.
// It does so at once: a stop takes most of Policy.UrgentWait, and no run time is certain enough to wait for.
func (s *Scheduler) preempt(r *round, u *unit) bool {
	if u.isGang() || s.policy.UrgentWait <= 0 {
		return false
	}
	e := u.first()
	set := s.cheapestVictims(e, r.now)
	if set.worker == nil || !s.waste.spend(r.now, set.cost, s.wasteRate()) {
		return false
	}
	s.unlist(u)
	s.earmark(u, set.worker, r.now)
	for _, v := range set.tasks {
		s.stop(r, v, e)
	}
	return true
}

// cheapestVictims returns the cheapest victims among the workers where stopping tasks makes room for e.
func (s *Scheduler) cheapestVictims(e *entry, now time.Time) victimSet {
	var best victimSet
	seen := 0
	for _, g := range s.groups {
		if !g.matches(e.task().Pool) {
			continue
		}
		visit := func(slot int) bool {
			seen++
			s.considerVictims(&best, g.members[slot], e, now)
			return seen < maxVictimSets
		}
		g.preemptible.search(e.claim(), visit, func() bool { return seen >= maxVictimSets })
	}
	return best
}

func (s *Scheduler) considerVictims(best *victimSet, w *worker, e *entry, now time.Time) {
	if avoids(&e.item, w) {
		return
	}
	tasks, cost, ok := s.victimsOn(w, e.claim(), now)
	if !ok || best.worker != nil && cost >= best.cost {
		return
	}
	s.scratch.best = append(s.scratch.best[:0], tasks...)
	*best = victimSet{worker: w, tasks: s.scratch.best, cost: cost}
}

// victimsOn returns the tasks to stop so that claim fits on w: the cheapest first until it fits,
// less those that turn out not to be needed, the dearest first.
func (s *Scheduler) victimsOn(w *worker, claim cell.Resources, now time.Time) ([]*entry, float64, bool) {
	found := s.scratch.victims[:0]
	for _, e := range w.tasks {
		if e.victim {
			found = append(found, e)
		}
	}
	s.scratch.victims = found
	slices.SortFunc(found, func(a, b *entry) int {
		if c := cmp.Compare(lostWork(a, now), lostWork(b, now)); c != 0 {
			return c
		}
		return cmp.Compare(a.seq, b.seq)
	})
	room := w.room()
	n := 0
	for n < len(found) && !claim.Fits(room) {
		room = room.Add(found[n].claim())
		n++
	}
	if !claim.Fits(room) {
		return nil, 0, false
	}
	kept := found[:n]
	for i := n - 1; i >= 0; i-- {
		if without := room.Sub(kept[i].claim()); claim.Fits(without) {
			room = without
			kept = slices.Delete(kept, i, i+1)
		}
	}
	cost := 0.0
	for _, e := range kept {
		cost += lostWork(e, now)
	}
	return kept, cost, true
}

// lostWork is the work that is thrown away with e if its checkpoint is lost, in worker-seconds.
func lostWork(e *entry, now time.Time) float64 {
	elapsed := max(now.Sub(e.since), 0) + stopCost
	return elapsed.Seconds() * e.claim().DominantShare(e.worker.desc.Capacity)
}

// stop asks the owner to stop a placed task for another.
func (s *Scheduler) stop(r *round, v, forEntry *entry) {
	v.state = StateStopping
	if forEntry.task().Class == cell.ClassUrgent {
		v.stops.urgent++
	} else {
		v.stops.spare++
	}
	s.recountVictims(v.worker)
	forID := forEntry.item.Task.ID
	r.out = append(r.out, Decision{
		Kind:      Stop,
		Task:      v.item.Task,
		Worker:    v.worker.desc.ID,
		Reason:    cell.Reason{Code: cell.ReasonPreempted, Detail: "for " + string(forID)},
		Waited:    r.now.Sub(forEntry.item.Arrived),
		StopMode:  platform.StopCheckpoint,
		Preemptor: forID,
	})
}

// countStops remembers how often a task was stopped, for when it returns to the queue.
func (s *Scheduler) countStops(id cell.TaskID, n stopCounts) {
	if len(s.stops) >= maxStopRecords {
		clear(s.stops)
	}
	s.stops[id] = n
}
