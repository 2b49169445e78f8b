package scheduler

import (
	"slices"
	"time"
)

// holdExpiry is when the capacity hold of a unit ends, unless the unit has started or been withdrawn before.
type holdExpiry struct {
	unit *placementUnit
	at   time.Time
}

// holdCapacity sets capacity on w aside for u, so that no other unit takes it while u's victims stop.
// The hold lasts for Policy.UrgentWait; then u returns to its lane.
func (s *Scheduler) holdCapacity(u *placementUnit, w *worker, now time.Time) {
	u.heldOn = w
	u.holdEnd = now.Add(s.policy.UrgentWait)
	s.holds = append(s.holds, holdExpiry{u, u.holdEnd})
	w.holders = append(w.holders, u)
	w.held = w.held.Add(u.total)
	s.addReserved(u.first().team, u.total)
	w.group.refresh(w)
}

// dropHold gives up the capacity held for u. The caller returns u to a lane or removes it.
func (s *Scheduler) dropHold(u *placementUnit) {
	w := s.clearHold(u)
	s.capacityGrew(w)
}

// clearHold ends u's hold and returns its worker, without unblocking other units.
func (s *Scheduler) clearHold(u *placementUnit) *worker {
	w := u.heldOn
	u.heldOn = nil
	w.holders = slices.DeleteFunc(w.holders, func(o *placementUnit) bool { return o == u })
	w.held = w.held.Sub(u.total)
	s.removeReserved(u.first().team, u.total)
	w.group.refresh(w)
	return w
}

// expireHolds returns the units whose holds have expired to their lanes.
func (s *Scheduler) expireHolds(now time.Time) {
	for len(s.holds) > 0 {
		expiry := s.holds[0]
		active := expiry.unit.heldOn != nil && expiry.unit.holdEnd.Equal(expiry.at)
		if active && expiry.at.After(now) {
			return
		}
		s.holds = s.holds[1:]
		if active {
			s.dropHold(expiry.unit)
			s.addToLane(expiry.unit)
		}
	}
}

// placeHolders places the units that hold capacity on w, the oldest hold first, until one does not fit.
func (s *Scheduler) placeHolders(r *round, w *worker) {
	for len(w.holders) > 0 && w.placeable() {
		u := w.holders[0]
		if !u.total.Fits(w.free()) {
			return
		}
		s.clearHold(u)
		e := u.first()
		if !e.team.allows(u.total) {
			s.addToLane(u)
			s.capacityGrew(w)
			continue
		}
		s.charge(e, w)
		s.startEntry(r, e)
	}
}
