package scheduler

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// maxReservations bounds the reservations of one pool at a time.
	maxReservations = 1
	// maxPlansPerRound is the number of waiting units for which one round plans a reservation.
	maxPlansPerRound = 4
	// replanInterval is how long a unit that no plan was found for is passed over.
	replanInterval = time.Minute
	// searchesPerAgeingStep is how often within an ageing step the queue is searched for work to reserve for.
	searchesPerAgeingStep = 16
	// minSearchInterval is the least time between two such searches.
	minSearchInterval = time.Second
)

// reservation keeps room for a unit that can't start otherwise: a gang, or a single task that has aged.
// There are few at a time, given in order, and each lasts until its unit starts or is withdrawn. A worker keeps room for
// one reservation only, so that units can't wait for each other.
//
// Room is gathered in two ways: each member has a worker that is expected to drain first, and moves to any other worker
// that has room before that. Nothing else may use the reserved room but backfill that can't delay the start (findSpare),
// so that the start depends on the run times of what was placed before and on no estimate.
type reservation struct {
	unit        *placementUnit
	assignments []*assignment
	// expectedStart is when the unit is expected to start, fixed when the reservation was made.
	expectedStart time.Time
	// preempts means that stoppable work on the reserved workers is stopped at once, for an urgent gang.
	preempts bool
	dirty    bool
}

// makeReservation gives a reservation, if one is free, to the first unit in order that needs it.
func (s *Scheduler) makeReservation(r *round) {
	if len(s.blockedShapes) == 0 || r.now.Before(s.nextReservationSearch) {
		return
	}
	s.nextReservationSearch = r.now.Add(max(s.policy.AgeingStep/searchesPerAgeingStep, minSearchInterval))
	for _, l := range s.reservableLanes(r.now) {
		u := l.first()
		if l.team.allows(u.total) && s.tryReserve(r, u) {
			return
		}
	}
}

// tryReserve gives u a reservation and reports whether it did.
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

// reservableLanes returns the first lanes in order whose first unit may be given the reservation.
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

// dropReservation gives up the reserved room; its unit then waits nowhere.
func (s *Scheduler) dropReservation(res *reservation) {
	s.clearReservation(res)
	for _, asg := range res.assignments {
		s.capacityGrew(asg.worker)
	}
}

func (s *Scheduler) clearReservation(res *reservation) {
	s.reservations = slices.DeleteFunc(s.reservations, func(o *reservation) bool { return o == res })
	res.unit.reservation = nil
	s.nextReservationSearch = time.Time{}
	s.removeReserved(res.unit.first().team, res.unit.total)
	for _, asg := range res.assignments {
		s.addReservedOn(res, asg.worker, cell.Resources{}.Sub(asg.member.claim()))
	}
}

// requeueReservation gives up the reserved room and returns its unit to the queue.
func (s *Scheduler) requeueReservation(res *reservation) {
	s.dropReservation(res)
	s.addToLane(res.unit)
}

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

// tryStartReserved starts the reserved unit if all its room is there, or asks what backfills the room to leave if that is all it waits for.
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
