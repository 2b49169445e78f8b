package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// slot is the room of one member.
type slot struct {
	member *entry
	worker *worker
	// drain is the expected time until the worker has room, when the slot was planned.
	drain time.Duration
	ready bool
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
