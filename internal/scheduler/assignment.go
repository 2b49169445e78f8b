package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// assignment is the worker on which a reservation sets capacity aside for one member.
type assignment struct {
	member *taskEntry
	worker *worker
	// wait is the expected time until the worker has capacity for the member, as of the plan.
	wait time.Duration
	// ready means that the worker had capacity for the member at the last check.
	ready bool
}

// offerToReservations moves assignments to w, which has gained capacity, from workers that aren't ready.
// Reservations are served in the order they were made; a worker serves one reservation only.
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

// moveAssignments moves assignments of res that aren't ready to w while it has capacity, the longest wait first.
func (s *Scheduler) moveAssignments(res *reservation, w *worker) {
	for {
		asg := res.lastToBeReady(w)
		if asg == nil || !asg.member.claim().Fits(w.available()) {
			return
		}
		s.moveAssignment(res, asg, w)
	}
}

// lastToBeReady returns the assignment with the longest wait among those that aren't ready and could move to w.
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

// countReady updates the assignments and counts those whose worker has capacity now, and those whose worker has it
// once all tasks that are stopping or may be stopped for the reservation have ended.
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

// claimsToLeave sums the claims of the tasks on w that are stopping or may be stopped for the reservation.
func (res *reservation) claimsToLeave(w *worker) cell.Resources {
	var sum cell.Resources
	for _, e := range w.tasks {
		if e.state == StateStopping || res.mayStop(e) {
			sum = sum.Add(e.claim())
		}
	}
	return sum
}

// mayStop reports whether e may be stopped for the reserved unit.
func (res *reservation) mayStop(e *taskEntry) bool {
	return e.preemptible && (e.backfill || res.preempts)
}

// stopForReservation stops tasks on the reserved workers until the members fit.
func (s *Scheduler) stopForReservation(r *round, res *reservation) {
	for i, asg := range res.assignments {
		if i > 0 && asg.worker == res.assignments[i-1].worker {
			continue
		}
		s.stopOnWorker(r, res, asg.worker)
	}
}

// stopOnWorker stops tasks on w, the least lost work first, until the capacity reserved there is free. Stops of other than
// backfill tasks are charged to the lost work budget.
func (s *Scheduler) stopOnWorker(r *round, res *reservation, w *worker) {
	available := w.free().Sub(w.held)
	var mayStop []*taskEntry
	for _, e := range w.tasks {
		switch {
		case e.state == StateStopping:
			available = available.Add(e.claim())
		case res.mayStop(e):
			mayStop = append(mayStop, e)
		}
	}
	slices.SortStableFunc(mayStop, func(a, b *taskEntry) int { return cmp.Compare(lostWork(a, r.now), lostWork(b, r.now)) })
	for _, e := range mayStop {
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
