package scheduler

import (
	"slices"
	"time"
)

// earmarkEnd is when a unit stops waiting for its victims, unless it has started or been dropped before.
type earmarkEnd struct {
	unit *unit
	at   time.Time
}

// earmark keeps room on w for u, so that nothing else takes it while u's victims stop.
// The room is kept for Policy.UrgentWait; then u returns to its lane.
func (s *Scheduler) earmark(u *unit, w *worker, now time.Time) {
	u.earmark = w
	u.earmarkEnd = now.Add(s.policy.UrgentWait)
	s.earmarks = append(s.earmarks, earmarkEnd{u, u.earmarkEnd})
	w.waiting = append(w.waiting, u)
	w.earmarked = w.earmarked.Add(u.total)
	s.promise(u.first().team, u.total)
	w.group.refresh(w)
}

// dropEarmark gives up the room that is kept for u, which then waits nowhere.
func (s *Scheduler) dropEarmark(u *unit) {
	w := s.clearEarmark(u)
	s.roomGrew(w)
}

func (s *Scheduler) clearEarmark(u *unit) *worker {
	w := u.earmark
	u.earmark = nil
	w.waiting = slices.DeleteFunc(w.waiting, func(o *unit) bool { return o == u })
	w.earmarked = w.earmarked.Sub(u.total)
	s.unpromise(u.first().team, u.total)
	w.group.refresh(w)
	return w
}

func (s *Scheduler) endEarmarks(now time.Time) {
	for len(s.earmarks) > 0 {
		end := s.earmarks[0]
		live := end.unit.earmark != nil && end.unit.earmarkEnd.Equal(end.at)
		if live && end.at.After(now) {
			return
		}
		s.earmarks = s.earmarks[1:]
		if live {
			s.dropEarmark(end.unit)
			s.enlist(end.unit)
		}
	}
}

// placeEarmarked starts the units that wait for room on w, in order, as far as there is room.
func (s *Scheduler) placeEarmarked(r *round, w *worker) {
	for len(w.waiting) > 0 && w.placeable() {
		u := w.waiting[0]
		if !u.total.Fits(w.free()) {
			return
		}
		s.clearEarmark(u)
		e := u.first()
		if !e.team.allows(u.total) {
			s.enlist(u)
			s.roomGrew(w)
			continue
		}
		s.charge(e, w)
		s.start(r, e)
	}
}
