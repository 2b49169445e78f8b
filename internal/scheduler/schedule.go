package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

// maxExpiries bounds the expiries of one Schedule call; the next call returns more.
const maxExpiries = 1024

// round is one call of Schedule.
type round struct {
	now    time.Time
	budget int
	out    []Decision
}

// Schedule makes at most budget placements and returns them with the stops and expiries that are due.
// A gang's placements are returned together, even if they exceed what is left of the budget.
// NextWake returns now if the budget or the bound on expiries left something undone.
func (s *Scheduler) Schedule(now time.Time, budget int) []Decision {
	r := &round{now: now, budget: budget}
	s.more = false
	s.lastRound = now
	s.expire(r)
	s.endDelays(now)
	s.endEarmarks(now)
	s.endKeeps(now)
	s.useFreed(r)
	s.placeLanes(r)
	s.reserveNext(r)
	return r.out
}

func (s *Scheduler) expire(r *round) {
	for n := 0; s.deadlines.len() > 0; n++ {
		e := s.deadlines.top()
		if !expired(e.item, r.now) {
			return
		}
		if n == maxExpiries {
			s.more = true
			return
		}
		s.expireEntry(r, e)
	}
}

func (s *Scheduler) expireEntry(r *round, e *entry) {
	s.dequeue(e)
	delete(s.stops, e.item.Task.ID)
	reason := cell.Reason{Code: cell.ReasonDeadline}
	r.out = append(r.out, Decision{Kind: Expire, Task: e.item.Task, Reason: reason, Waited: r.now.Sub(e.item.Arrived)})
}

func (s *Scheduler) endDelays(now time.Time) {
	for s.delayed.len() > 0 {
		e := s.delayed.top()
		if e.item.NotBefore.After(now) {
			return
		}
		s.delayed.remove(e)
		s.line(e)
	}
}

// useFreed starts what waited for the workers that have more room than in the last round.
func (s *Scheduler) useFreed(r *round) {
	for i := 0; i < len(s.freed); i++ {
		w := s.freed[i]
		w.freed = false
		s.placeEarmarked(r, w)
		s.reserveFreed(w)
	}
	s.freed = s.freed[:0]
	s.startReservations(r)
}

// placeLanes places units in order until the budget is spent or no lane's first unit can be placed.
func (s *Scheduler) placeLanes(r *round) {
	s.lineUp(r.now)
	for s.lineup.len() > 0 {
		if r.budget <= 0 {
			s.more = true
			break
		}
		l := s.lineup.top()
		if l.size == 0 {
			s.stepDown(l)
			continue
		}
		if key := s.orderKeyOf(l, r.now); key != l.rank {
			l.rank = key
			s.lineup.down(0)
			continue
		}
		s.tryLane(r, l)
	}
	s.more = s.more || len(s.active) > 0
	s.keepActive()
}

// lineUp moves the active lanes into the round's order.
func (s *Scheduler) lineUp(now time.Time) {
	for _, l := range s.active {
		if l.size == 0 || l.overQuota || l.shape.blocked && (!l.urgent() || l.noVictims) {
			l.active = false
			continue
		}
		l.rank = s.orderKeyOf(l, now)
		s.lineup.push(l)
	}
	clear(s.active)
	s.active = s.active[:0]
}

// keepActive returns the lanes that the round did not get to.
func (s *Scheduler) keepActive() {
	for s.lineup.len() > 0 {
		l := s.lineup.elems[s.lineup.len()-1]
		s.lineup.remove(l)
		l.active = false
		s.activate(l)
	}
}

// stepDown takes a lane out of the round and out of the active ones.
func (s *Scheduler) stepDown(l *lane) {
	s.lineup.remove(l)
	l.active = false
}

// tryLane places the lane's first unit or takes the lane out of the round.
func (s *Scheduler) tryLane(r *round, l *lane) {
	u := l.first()
	if !l.team.allows(u.total) {
		s.blockOnQuota(l)
		s.stepDown(l)
		return
	}
	if (l.urgent() && len(s.keeps) > 0 || !l.shape.blocked) && s.placeUnit(r, u) {
		return
	}
	if l.urgent() && s.preempt(r, u) {
		return
	}
	s.stepDown(l)
	if u.isGang() && s.reserveFor(r, u) {
		s.activate(l)
		return
	}
	if l.urgent() {
		l.noVictims = true
		s.starved = append(s.starved, l)
	}
}

// placeUnit places u if there is room, and blocks its shape if there is none.
func (s *Scheduler) placeUnit(r *round, u *unit) bool {
	if u.isGang() {
		return s.placeGang(r, u)
	}
	e := u.first()
	var w *worker
	if u.lane.urgent() {
		w = s.findKept(e)
	}
	if w == nil {
		w = s.findWorker(e)
	}
	if w == nil {
		w = s.findSpare(e, r.now)
		e.spare = w != nil
	}
	if w == nil {
		s.block(u.lane.shape, 1)
		return false
	}
	s.unlist(u)
	s.charge(e, w)
	s.start(r, e)
	return true
}

// start turns a charged queued entry into a placed one and tells the owner.
func (s *Scheduler) start(r *round, e *entry) {
	s.settle(e, r.now)
	s.forgetQueued(e)
	e.unit = nil
	r.budget--
	reason := cell.Reason{Code: cell.ReasonPlaced}
	r.out = append(r.out, Decision{Kind: Place, Task: e.item.Task, Worker: e.worker.desc.ID, Reason: reason, Waited: r.now.Sub(e.item.Arrived)})
}

// NextWake returns the earliest time at which Schedule could do more without any other event; zero if none.
// It is now if Schedule left something undone.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	if s.more {
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
	if len(s.earmarks) > 0 {
		consider(s.earmarks[0].at)
	}
	if s.queued > 0 && len(s.keeps) > 0 {
		consider(s.keeps[0].until)
	}
	return wake
}
