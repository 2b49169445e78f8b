package scheduler

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// maxReservations bounds the concurrent reservations of one pool.
	maxReservations = 1
	// maxPlansPerRound bounds the units for which one round tries to plan a reservation.
	maxPlansPerRound = 4
	// replanInterval is how long a unit is passed over after no plan was found for it.
	replanInterval = time.Minute
	// reservationSearchesPerStep is how often per ageing step the blocked lanes are searched for a unit that needs a
	// reservation.
	reservationSearchesPerStep = 16
	// minReservationSearchInterval is the shortest time between two such searches.
	minReservationSearchInterval = time.Second
)

// reservation sets capacity aside for a unit that would not start otherwise: a gang, or a single task that is urgent or
// has waited for an ageing step. There are few at a time, made in the order of the lanes, and each lasts until its unit
// starts or is withdrawn. A worker serves one reservation only, so that units can't wait for each other.
//
// Each member is assigned to the worker that is expected to have capacity first, and moves to any other worker that has
// capacity before that. Reserved capacity is used only by the unit and by backfill tasks that can't delay it
// (findBackfill), so the start depends on the run times of the tasks placed before and on no estimate.
type reservation struct {
	unit        *placementUnit
	assignments []*assignment
	// expectedStart is when the unit was expected to start when the reservation was made. It is not updated.
	expectedStart time.Time
	// preempts means that preemptible tasks on the reserved workers are stopped at once, for an urgent gang.
	preempts bool
	// dirty means that capacity on a reserved worker has changed since the last check.
	dirty bool
}

// makeReservation makes a reservation for the first unit in order that needs one and for which it can be planned.
func (s *Scheduler) makeReservation(r *round) {
	if len(s.blockedShapes) == 0 || r.now.Before(s.nextReservationSearch) {
		return
	}
	s.nextReservationSearch = r.now.Add(max(s.policy.AgeingStep/reservationSearchesPerStep, minReservationSearchInterval))
	for _, l := range s.reservableLanes(r.now) {
		u := l.first()
		if l.team.allows(u.total) && s.tryReserve(r, u) {
			return
		}
	}
}

// tryReserve makes a reservation for u and reports whether it did.
func (s *Scheduler) tryReserve(r *round, u *placementUnit) bool {
	if s.reservationsOf(u.first().task().Pool) >= maxReservations {
		return false
	}
	res := s.planReservation(u, r.now)
	if res == nil {
		u.nextPlanAt = r.now.Add(replanInterval)
		return false
	}
	s.addReservation(res)
	s.tryStartReserved(r, res)
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

// reservableLanes returns, in order, the first maxPlansPerRound blocked lanes whose first unit may get a reservation.
func (s *Scheduler) reservableLanes(now time.Time) []*lane {
	var lanes []*lane
	for _, b := range s.blockedShapes {
		for _, l := range b.shape.lanes {
			if l.size > 0 && s.mayReserve(l, now) && s.reservationsOf(b.shape.key.pool) < maxReservations {
				l.orderKey = s.orderKeyOf(l, now)
				lanes = append(lanes, l)
			}
		}
	}
	slices.SortFunc(lanes, func(a, b *lane) int {
		if a.orderKey.before(b.orderKey) {
			return -1
		}
		return 1
	})
	return lanes[:min(len(lanes), maxPlansPerRound)]
}

// mayReserve reports whether the lane's first unit may get a reservation: a gang, an urgent task, or any task that has
// waited for an ageing step.
func (s *Scheduler) mayReserve(l *lane, now time.Time) bool {
	u := l.first()
	if now.Before(u.nextPlanAt) {
		return false
	}
	if u.isGang() || l.urgent() {
		return true
	}
	return s.policy.AgeingStep > 0 && now.Sub(u.arrived) >= s.policy.AgeingStep
}

func (s *Scheduler) addReservation(res *reservation) {
	s.removeFromLane(res.unit)
	s.reservations = append(s.reservations, res)
	res.unit.reservation = res
	s.addReserved(res.unit.first().team, res.unit.total)
	for _, asg := range res.assignments {
		s.addReservedOn(res, asg.worker, asg.member.claim())
	}
}

// dropReservation gives up the reserved capacity. The caller returns the unit to a lane or removes it.
func (s *Scheduler) dropReservation(res *reservation) {
	s.clearReservation(res)
	for _, asg := range res.assignments {
		s.capacityGrew(asg.worker)
	}
}

// clearReservation ends a reservation without unblocking other units.
func (s *Scheduler) clearReservation(res *reservation) {
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == res })
	res.unit.reservation = nil
	s.nextReservationSearch = time.Time{}
	s.removeReserved(res.unit.first().team, res.unit.total)
	for _, asg := range res.assignments {
		s.addReservedOn(res, asg.worker, cell.Resources{}.Sub(asg.member.claim()))
	}
}

// requeueReservation gives up the reserved capacity and returns its unit to the queue.
func (s *Scheduler) requeueReservation(res *reservation) {
	s.dropReservation(res)
	s.addToLane(res.unit)
}

// addReservedOn adds claim, which may be negative, to what res reserves on w.
func (s *Scheduler) addReservedOn(res *reservation, w *worker, claim cell.Resources) {
	w.reserved = w.reserved.Add(claim)
	w.reservation = res
	if w.reserved.IsZero() {
		w.reservation = nil
	}
	w.group.refresh(w)
}

func (s *Scheduler) startReservations(r *round) {
	for _, res := range slices.Clone(s.reservations) {
		if res.unit.reservation == res {
			s.tryStartReserved(r, res)
		}
	}
}

// tryStartReserved starts the reserved unit if all its members have capacity. If they would have it once the tasks are
// stopped that may be stopped for it, it stops those; for a reservation that preempts, it does so in any case.
func (s *Scheduler) tryStartReserved(r *round, res *reservation) {
	if !res.dirty {
		return
	}
	res.dirty = false
	ready, afterStops := res.countReady()
	switch {
	case ready == len(res.assignments):
		s.startReservedUnit(r, res)
	case res.preempts || afterStops == len(res.assignments):
		s.stopForReservation(r, res)
	}
}

func (s *Scheduler) startReservedUnit(r *round, res *reservation) {
	u := res.unit
	s.clearReservation(res)
	if !u.first().team.allows(u.total) {
		s.addToLane(u)
		for _, asg := range res.assignments {
			s.capacityGrew(asg.worker)
		}
		return
	}
	for _, asg := range res.assignments {
		s.charge(asg.member, asg.worker)
	}
	s.startGang(r, u)
}
