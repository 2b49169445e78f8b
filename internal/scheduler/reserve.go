package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// maxReservations bounds the reservations of one pool at a time.
	maxReservations = 1
	// reserveTries is the number of waiting units for which one round plans a reservation.
	reserveTries = 4
	// planRetry is how long a unit that no plan was found for is passed over.
	planRetry = time.Minute
	// reserveChecks is how often within an ageing step the queue is searched for work to reserve for.
	reserveChecks = 16
	// minReserveInterval is the least time between two such searches.
	minReserveInterval = time.Second
)

// reservation keeps room for a unit that can't start otherwise: a gang, or a single task that has aged.
// There are few at a time, given in order, and each lasts until its unit starts or is withdrawn. A worker keeps room for
// one reservation only, so that units can't wait for each other.
//
// Room is gathered in two ways: each member has a worker that is expected to drain first, and moves to any other worker
// that has room before that. Nothing else may use the reserved room but backfill that can't delay the start (findSpare),
// so that the start depends on the run times of what was placed before and on no estimate.
type reservation struct {
	unit  *unit
	slots []*slot
	// start is when the unit is expected to start, fixed when the reservation was made.
	start time.Time
	// preempts means that stoppable work on the reserved workers is stopped at once, for an urgent gang.
	preempts bool
	dirty    bool
}

// slot is the room of one member.
type slot struct {
	member *entry
	worker *worker
	// drain is the expected time until the worker has room, when the slot was planned.
	drain time.Duration
	ready bool
}

// reserveNext gives a reservation, if one is free, to the first unit in order that needs it.
func (s *Scheduler) reserveNext(r *round) {
	if len(s.blocked) == 0 || r.now.Before(s.reserveAfter) {
		return
	}
	s.reserveAfter = r.now.Add(max(s.policy.AgeingStep/reserveChecks, minReserveInterval))
	for _, l := range s.reservable(r.now) {
		u := l.first()
		if l.team.allows(u.total) && s.reserveFor(r, u) {
			return
		}
	}
}

// reserveFor gives u a reservation and reports whether it did.
func (s *Scheduler) reserveFor(r *round, u *unit) bool {
	if s.reservationsOf(u.first().task().Pool) >= maxReservations {
		return false
	}
	res := s.plan(u, r.now)
	if res == nil {
		u.planAfter = r.now.Add(planRetry)
		return false
	}
	s.reserve(res)
	s.startReserved(r, res)
	return true
}

// reservationsOf counts the reservations of one pool.
func (s *Scheduler) reservationsOf(pool string) int {
	n := 0
	for _, res := range s.reservations {
		if res.unit.first().task().Pool == pool {
			n++
		}
	}
	return n
}

// reservable returns the first lanes in order whose first unit may be given the reservation.
func (s *Scheduler) reservable(now time.Time) []*lane {
	var lanes []*lane
	for _, b := range s.blocked {
		for _, l := range b.shape.lanes {
			if l.size > 0 && s.mayReserve(l, now) && s.reservationsOf(b.shape.key.pool) < maxReservations {
				l.rank = s.orderKeyOf(l, now)
				lanes = append(lanes, l)
			}
		}
	}
	slices.SortFunc(lanes, func(a, b *lane) int {
		if a.rank.before(b.rank) {
			return -1
		}
		return 1
	})
	return lanes[:min(len(lanes), reserveTries)]
}

func (s *Scheduler) mayReserve(l *lane, now time.Time) bool {
	u := l.first()
	if now.Before(u.planAfter) {
		return false
	}
	if u.isGang() || l.urgent() {
		return true
	}
	return s.policy.AgeingStep > 0 && now.Sub(u.arrived) >= s.policy.AgeingStep
}

func (s *Scheduler) reserve(res *reservation) {
	s.unlist(res.unit)
	s.reservations = append(s.reservations, res)
	res.unit.reservation = res
	s.promise(res.unit.first().team, res.unit.total)
	for _, sl := range res.slots {
		s.keepRoom(res, sl.worker, sl.member.claim())
	}
}

// dropReservation gives up the reserved room; its unit then waits nowhere.
func (s *Scheduler) dropReservation(res *reservation) {
	s.clearReservation(res)
	for _, sl := range res.slots {
		s.roomGrew(sl.worker)
	}
}

func (s *Scheduler) clearReservation(res *reservation) {
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == res })
	res.unit.reservation = nil
	s.reserveAfter = time.Time{}
	s.unpromise(res.unit.first().team, res.unit.total)
	for _, sl := range res.slots {
		s.keepRoom(res, sl.worker, cell.Resources{}.Sub(sl.member.claim()))
	}
}

// returnReservation gives up the reserved room and returns its unit to the queue.
func (s *Scheduler) returnReservation(res *reservation) {
	s.dropReservation(res)
	s.enlist(res.unit)
}

func (s *Scheduler) keepRoom(res *reservation, w *worker, claim cell.Resources) {
	w.reserved = w.reserved.Add(claim)
	w.reservation = res
	if w.reserved.IsZero() {
		w.reservation = nil
	}
	w.group.refresh(w)
}

// reserveFreed lets the first reservation that can use it have the room that grew on w.
func (s *Scheduler) reserveFreed(w *worker) {
	if !w.placeable() {
		return
	}
	if w.reservation != nil {
		w.reservation.dirty = true
	}
	for _, res := range s.reservations {
		if w.reservation == nil || w.reservation == res {
			s.moveSlots(res, w)
		}
	}
}

// moveSlots moves the last slots of res that are not ready to w while there is room.
func (s *Scheduler) moveSlots(res *reservation, w *worker) {
	for {
		sl := res.latest(w)
		if sl == nil || !sl.member.claim().Fits(w.room()) {
			return
		}
		s.moveSlot(res, sl, w)
	}
}

// latest returns the slot that is expected to be ready last, if it is not ready and could move to w.
func (res *reservation) latest(w *worker) *slot {
	var last *slot
	for _, sl := range res.slots {
		if !sl.ready && sl.worker != w && w.group.matches(sl.member.task().Pool) && (last == nil || sl.drain >= last.drain) {
			last = sl
		}
	}
	return last
}

func (s *Scheduler) moveSlot(res *reservation, sl *slot, w *worker) {
	claim := sl.member.claim()
	old := sl.worker
	s.keepRoom(res, old, cell.Resources{}.Sub(claim))
	sl.worker, sl.drain, sl.ready = w, 0, true
	s.keepRoom(res, w, claim)
	res.dirty = true
	s.roomGrew(old)
}

func (s *Scheduler) startReservations(r *round) {
	for _, res := range slices.Clone(s.reservations) {
		if res.unit.reservation == res {
			s.startReserved(r, res)
		}
	}
}

// startReserved starts the reserved unit if all its room is there, or asks what backfills the room to leave if that is all it waits for.
func (s *Scheduler) startReserved(r *round, res *reservation) {
	if !res.dirty {
		return
	}
	res.dirty = false
	ready, afterStops := res.check()
	switch {
	case ready == len(res.slots):
		s.startUnit(r, res)
	case res.preempts || afterStops == len(res.slots):
		s.stopForSlots(r, res)
	}
}

func (s *Scheduler) startUnit(r *round, res *reservation) {
	u := res.unit
	s.clearReservation(res)
	if !u.first().team.allows(u.total) {
		s.enlist(u)
		for _, sl := range res.slots {
			s.roomGrew(sl.worker)
		}
		return
	}
	for _, sl := range res.slots {
		s.charge(sl.member, sl.worker)
	}
	s.startGang(r, u)
}

// check counts the slots that have room now and those that will once stoppable backfill is gone.
func (res *reservation) check() (ready, afterStops int) {
	slices.SortStableFunc(res.slots, func(a, b *slot) int { return compareIDs(a.worker.desc.ID, b.worker.desc.ID) })
	var room, later cell.Resources
	for i, sl := range res.slots {
		w := sl.worker
		if i == 0 || w != res.slots[i-1].worker {
			room = w.free().Sub(w.earmarked)
			later = room.Add(res.leaving(w))
		}
		claim := sl.member.claim()
		sl.ready = claim.Fits(room)
		if sl.ready {
			room = room.Sub(claim)
			ready++
		}
		if claim.Fits(later) {
			later = later.Sub(claim)
			afterStops++
		}
	}
	return ready, afterStops
}

// leaving sums the claims on w that leave when the unit is ready.
func (res *reservation) leaving(w *worker) cell.Resources {
	var sum cell.Resources
	for _, e := range w.tasks {
		if e.state == StateStopping || res.mayStop(e) {
			sum = sum.Add(e.claim())
		}
	}
	return sum
}

// mayStop reports whether e is to be stopped for the reserved unit.
func (res *reservation) mayStop(e *entry) bool {
	return e.victim && (e.spare || res.preempts)
}

// stopForSlots stops the backfill in the way of slots that are not ready, the least work lost first.
func (s *Scheduler) stopForSlots(r *round, res *reservation) {
	for i, sl := range res.slots {
		if i > 0 && sl.worker == res.slots[i-1].worker {
			continue
		}
		s.stopOn(r, res, sl.worker)
	}
}

func (s *Scheduler) stopOn(r *round, res *reservation, w *worker) {
	room := w.free().Sub(w.earmarked)
	var may []*entry
	for _, e := range w.tasks {
		switch {
		case e.state == StateStopping:
			room = room.Add(e.claim())
		case res.mayStop(e):
			may = append(may, e)
		}
	}
	slices.SortStableFunc(may, func(a, b *entry) int { return cmp.Compare(lostWork(a, r.now), lostWork(b, r.now)) })
	for _, e := range may {
		if w.reserved.Fits(room) {
			return
		}
		if !e.spare && !s.waste.spend(r.now, lostWork(e, r.now), s.wasteRate()) {
			return
		}
		room = room.Add(e.claim())
		s.stop(r, e, res.unit.first())
	}
}
