package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

// maxExpiries bounds the Expire decisions of one Schedule call; the next call returns more.
const maxExpiries = 1024

// round is the state of one call of Schedule.
type round struct {
	now time.Time
	// budget is the number of placements that are left.
	budget    int
	decisions []Decision
}

// Schedule makes at most budget placements and returns them with the stops and expiries that are due.
// A gang's placements are returned together, even if they exceed what is left of the budget.
// If the budget or maxExpiries ended the round early, NextWake returns now.
func (s *Scheduler) Schedule(now time.Time, budget int) []Decision {
	r := &round{now: now, budget: budget}
	s.unfinished = false
	s.lastRound = now
	s.expire(r)
	s.releaseDelayed(now)
	s.expireHolds(now)
	s.expireHeadrooms(now)
	s.useFreedCapacity(r)
	s.placeLanes(r)
	s.makeReservation(r)
	return r.decisions
}

// expire drops the queued tasks whose deadline has passed, at most maxExpiries.
func (s *Scheduler) expire(r *round) {
	for n := 0; s.deadlines.len() > 0; n++ {
		e := s.deadlines.top()
		if !expired(e.item, r.now) {
			return
		}
		if n == maxExpiries {
			s.unfinished = true
			return
		}
		s.expireEntry(r, e)
	}
}

func (s *Scheduler) expireEntry(r *round, e *taskEntry) {
	s.dequeue(e)
	delete(s.stopCounts, e.item.Task.ID)
	reason := cell.Reason{Code: cell.ReasonDeadline}
	r.decisions = append(r.decisions, Decision{Kind: Expire, Task: e.item.Task, Reason: reason, Waited: r.now.Sub(e.item.Arrived)})
}

// releaseDelayed makes the tasks eligible whose back-off has ended.
func (s *Scheduler) releaseDelayed(now time.Time) {
	for s.delayed.len() > 0 {
		e := s.delayed.top()
		if e.item.NotBefore.After(now) {
			return
		}
		s.delayed.remove(e)
		s.makeEligible(e)
	}
}

// useFreedCapacity starts the units with a hold or a reservation on a worker that gained capacity since the last round.
func (s *Scheduler) useFreedCapacity(r *round) {
	for i := 0; i < len(s.freedWorkers); i++ {
		w := s.freedWorkers[i]
		w.freed = false
		s.placeHolders(r, w)
		s.offerToReservations(w)
	}
	s.freedWorkers = s.freedWorkers[:0]
	s.startReservations(r)
}

// placeLanes places units in order until the budget is used up or no lane's first unit can be placed.
func (s *Scheduler) placeLanes(r *round) {
	s.orderLanes(r.now)
	for s.laneOrder.len() > 0 {
		if r.budget <= 0 {
			s.unfinished = true
			break
		}
		l := s.laneOrder.top()
		if l.size == 0 {
			s.deactivate(l)
			continue
		}
		if key := s.orderKeyOf(l, r.now); key != l.orderKey {
			l.orderKey = key
			s.laneOrder.down(0)
			continue
		}
		s.tryLane(r, l)
	}
	s.unfinished = s.unfinished || len(s.activeLanes) > 0
	s.reactivateUnvisited()
}

// orderLanes moves the active lanes into laneOrder, without those whose first unit can't be placed.
func (s *Scheduler) orderLanes(now time.Time) {
	for _, l := range s.activeLanes {
		if l.size == 0 || l.overQuota || l.shape.blocked && (!l.urgent() || l.noVictims) {
			l.active = false
			continue
		}
		l.orderKey = s.orderKeyOf(l, now)
		s.laneOrder.push(l)
	}
	clear(s.activeLanes)
	s.activeLanes = s.activeLanes[:0]
}

// reactivateUnvisited keeps the lanes that the round did not reach active for the next one.
func (s *Scheduler) reactivateUnvisited() {
	for s.laneOrder.len() > 0 {
		l := s.laneOrder.elems[s.laneOrder.len()-1]
		s.laneOrder.remove(l)
		l.active = false
		s.activate(l)
	}
}

// deactivate takes a lane out of the round; activate can list it for a later one.
func (s *Scheduler) deactivate(l *lane) {
	s.laneOrder.remove(l)
	l.active = false
}

// tryLane places the lane's first unit, or preempts or reserves for it, or takes the lane out of the round.
func (s *Scheduler) tryLane(r *round, l *lane) {
	u := l.first()
	if !l.team.allows(u.total) {
		s.markOverQuota(l)
		s.deactivate(l)
		return
	}
	if (l.urgent() && len(s.headrooms) > 0 || !l.shape.blocked) && s.placeUnit(r, u) {
		return
	}
	if l.urgent() && s.preempt(r, u) {
		return
	}
	s.deactivate(l)
	if u.isGang() && s.tryReserve(r, u) {
		s.activate(l)
		return
	}
	if l.urgent() {
		l.noVictims = true
		s.lanesWithoutVictims = append(s.lanesWithoutVictims, l)
	}
}

// placeUnit places u if a worker has capacity for it, and otherwise blocks its shape. It reports whether it placed u.
func (s *Scheduler) placeUnit(r *round, u *placementUnit) bool {
	if u.isGang() {
		return s.placeGang(r, u)
	}
	e := u.first()
	var w *worker
	if u.lane.urgent() {
		w = s.takeHeadroom(e)
	}
	fromHeadroom := w != nil
	if w == nil {
		w = s.findWorker(e)
	}
	if w == nil {
		w = s.findBackfill(e, r.now)
		e.backfill = w != nil
	}
	if w == nil {
		s.blockShape(u.lane.shape, 1)
		return false
	}
	s.removeFromLane(u)
	s.charge(e, w)
	s.startEntry(r, e)
	if fromHeadroom {
		s.capacityGrew(w)
	}
	return true
}

// startEntry turns a charged queued entry into a placed one and adds the Place decision.
func (s *Scheduler) startEntry(r *round, e *taskEntry) {
	s.markPlaced(e, r.now)
	s.uncountQueued(e)
	e.unit = nil
	r.budget--
	reason := cell.Reason{Code: cell.ReasonPlaced}
	r.decisions = append(r.decisions, Decision{Kind: Place, Task: e.item.Task, Worker: e.worker.desc.ID, Reason: reason, Waited: r.now.Sub(e.item.Arrived)})
}

// NextWake returns the earliest time at which Schedule could do more without any other event; zero if none.
// It is now if the last round ended before all its work was done.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	if s.unfinished {
		return now
	}
	var wake time.Time
	consider := func(t time.Time) {
		if wake.IsZero() || t.Before(wake) {
			wake = t
		}
	}
	if s.deadlines.len() > 0 {
		consider(s.deadlines.top().item.Deadline)
	}
	if s.delayed.len() > 0 {
		consider(s.delayed.top().item.NotBefore)
	}
	if len(s.holds) > 0 {
		consider(s.holds[0].at)
	}
	if s.queued > 0 && len(s.headrooms) > 0 {
		consider(s.headrooms[0].until)
	}
	return wake
}
