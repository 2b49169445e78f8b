package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// assignment is the room of one member.
type assignment struct {
	member *taskEntry
	worker *worker
	// wait is the expected time until the worker has room, when the slot was planned.
	wait  time.Duration
	ready bool
}

// offerToReservations lets the first reservation that can use it have the room that grew on w.
func (s *Scheduler) offerToReservations(w *worker) {
	if !w.placeable() {
		return
	}
	if w.reservation != nil {
		w.reservation.dirty = true
	}
	for _, res := range s.reservations {
		if w.reservation == nil || w.reservation == res {
			s.moveAssignments(res, w)
		}
	}
}

// moveAssignments moves the last slots of res that are not ready to w while there is room.
func (s *Scheduler) moveAssignments(res *reservation, w *worker) {
	for {
		asg := res.lastToBeReady(w)
		if asg == nil || !asg.member.claim().Fits(w.available()) {
			return
		}
		s.moveAssignment(res, asg, w)
	}
}

// lastToBeReady returns the slot that is expected to be ready last, if it is not ready and could move to w.
func (res *reservation) lastToBeReady(w *worker) *assignment {
	var last *assignment
	for _, asg := range res.assignments {
		if !asg.ready && asg.worker != w && w.group.matches(asg.member.task().Pool) && (last == nil || asg.wait >= last.wait) {
			last = asg
		}
	}
	return last
}

func (s *Scheduler) moveAssignment(res *reservation, asg *assignment, w *worker) {
	claim := asg.member.claim()
	old := asg.worker
	s.addReservedOn(res, old, cell.Resources{}.Sub(claim))
	asg.worker, asg.wait, asg.ready = w, 0, true
	s.addReservedOn(res, w, claim)
	res.dirty = true
	s.capacityGrew(old)
}

// countReady counts the slots that have room now and those that will once stoppable backfill is gone.
func (res *reservation) countReady() (ready, afterStops int) {
	slices.SortStableFunc(res.assignments, func(a, b *assignment) int { return compareIDs(a.worker.desc.ID, b.worker.desc.ID) })
	var available, availableAfterStops cell.Resources
	for i, asg := range res.assignments {
		w := asg.worker
		if i == 0 || w != res.assignments[i-1].worker {
			available = w.free().Sub(w.held)
			availableAfterStops = available.Add(res.claimsToLeave(w))
		}
		claim := asg.member.claim()
		asg.ready = claim.Fits(available)
		if asg.ready {
			available = available.Sub(claim)
			ready++
		}
		if claim.Fits(availableAfterStops) {
			availableAfterStops = availableAfterStops.Sub(claim)
			afterStops++
		}
	}
	return ready, afterStops
}

// claimsToLeave sums the claims on w that leave when the unit is ready.
func (res *reservation) claimsToLeave(w *worker) cell.Resources {
	var sum cell.Resources
	for _, e := range w.tasks {
		if e.state == StateStopping || res.mayStop(e) {
			sum = sum.Add(e.claim())
		}
	}
	return sum
}

// mayStop reports whether e is to be stopped for the reserved unit.
func (res *reservation) mayStop(e *taskEntry) bool {
	return e.preemptible && (e.backfill || res.preempts)
}

// stopForReservation stops the backfill in the way of slots that are not ready, the least work lost first.
func (s *Scheduler) stopForReservation(r *round, res *reservation) {
	for i, asg := range res.assignments {
		if i > 0 && asg.worker == res.assignments[i-1].worker {
			continue
		}
		s.stopOnWorker(r, res, asg.worker)
	}
}

func (s *Scheduler) stopOnWorker(r *round, res *reservation, w *worker) {
	available := w.free().Sub(w.held)
	var stoppable []*taskEntry
	for _, e := range w.tasks {
		switch {
		case e.state == StateStopping:
			available = available.Add(e.claim())
		case res.mayStop(e):
			stoppable = append(stoppable, e)
		}
	}
	slices.SortStableFunc(stoppable, func(a, b *taskEntry) int { return cmp.Compare(lostWork(a, r.now), lostWork(b, r.now)) })
	for _, e := range stoppable {
		if w.reserved.Fits(available) {
			return
		}
		if !e.backfill && !s.lostWorkBudget.spend(r.now, lostWork(e, r.now), s.lostWorkRate()) {
			return
		}
		available = available.Add(e.claim())
		s.stop(r, e, res.unit.first())
	}
}
