package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// completion is the expected end of one running task and the claim that it then frees.
type completion struct {
	after time.Duration
	claim cell.Resources
}

// candidate is a worker that a reservation may use.
type candidate struct {
	worker *worker
	// planned is the sum of the claims of the unit's members that are already assigned to the worker.
	planned cell.Resources
	// wait is the expected time until the worker has capacity for one more member.
	wait      time.Duration
	heapIndex int
	// position is the position in Scheduler.sortedWorkers, which breaks ties.
	position int
}

// planReservation assigns each member of u to the worker that is expected to have capacity for it first.
// It returns nil if a member would have to wait for a service to end.
func (s *Scheduler) planReservation(u *placementUnit, now time.Time) *reservation {
	res := &reservation{unit: u, dirty: true, preempts: u.isGang() && u.first().task().Class == cell.ClassUrgent, expectedStart: now}
	planned := make(map[*worker]cell.Resources)
	for members := u.members; len(members) > 0; {
		n := countSameClaim(members)
		if !s.assignMembers(res, members[:n], planned, now) {
			return nil
		}
		members = members[n:]
	}
	for _, asg := range res.assignments {
		if at := now.Add(asg.wait); at.After(res.expectedStart) {
			res.expectedStart = at
		}
	}
	return res
}

// countSameClaim returns how many leading members have the claim and pool of the first one.
func countSameClaim(members []*taskEntry) int {
	first := members[0].task()
	n := 1
	for n < len(members) && members[n].task().Claim == first.Claim && members[n].task().Pool == first.Pool {
		n++
	}
	return n
}

// assignMembers assigns members of one claim and pool to workers. It reports false if it can't assign all of them.
func (s *Scheduler) assignMembers(res *reservation, members []*taskEntry, planned map[*worker]cell.Resources, now time.Time) bool {
	claim := members[0].claim()
	heap := s.candidateWorkers(res, members[0], planned, now)
	for _, m := range members {
		if heap.len() == 0 {
			return false
		}
		c := heap.top()
		res.assignments = append(res.assignments, &assignment{member: m, worker: c.worker, wait: c.wait})
		c.planned = c.planned.Add(claim)
		planned[c.worker] = c.planned
		wait, ok := s.expectedWait(c.worker, c.planned.Add(claim), res.preempts, now)
		if !ok {
			heap.remove(c)
			continue
		}
		c.wait = wait
		heap.down(0)
	}
	return true
}

// candidateWorkers returns a heap of the workers that can have capacity for e without a service's end, the shortest wait
// on top.
func (s *Scheduler) candidateWorkers(res *reservation, e *taskEntry, planned map[*worker]cell.Resources, now time.Time) *indexedHeap[*candidate] {
	heap := &indexedHeap[*candidate]{
		less: func(a, b *candidate) bool {
			if a.wait != b.wait {
				return a.wait < b.wait
			}
			return a.position < b.position
		},
		position: func(c *candidate) *int { return &c.heapIndex },
	}
	for i, w := range s.sortedWorkers {
		if !w.placeable() || w.reservation != nil || !w.group.matches(e.task().Pool) {
			continue
		}
		need := planned[w].Add(e.claim())
		if wait, ok := s.expectedWait(w, need, res.preempts, now); ok {
			heap.push(&candidate{worker: w, planned: planned[w], wait: wait, position: i})
		}
	}
	return heap
}

// expectedWait returns the expected time until w has capacity for need; false if a service would have to end first.
func (s *Scheduler) expectedWait(w *worker, need cell.Resources, preempts bool, now time.Time) (time.Duration, bool) {
	available := w.free().Sub(w.held)
	if need.Fits(available) {
		return 0, true
	}
	if !need.Fits(w.desc.Capacity) {
		return 0, false
	}
	completions := s.scratch.completions[:0]
	for _, e := range w.tasks {
		if after, ends := expectedRemaining(e, preempts, now); ends {
			completions = append(completions, completion{after, e.claim()})
		}
	}
	s.scratch.completions = completions
	slices.SortFunc(completions, func(a, b completion) int { return cmp.Compare(a.after, b.after) })
	for _, c := range completions {
		available = available.Add(c.claim)
		if need.Fits(available) {
			return c.after, true
		}
	}
	return 0, false
}

// expectedRemaining returns the expected time until e ends; false if it does not end by itself.
// A task that has run longer than its estimate is expected to run as long again.
func expectedRemaining(e *taskEntry, preempts bool, now time.Time) (time.Duration, bool) {
	if e.state == StateStopping || preempts && e.preemptible {
		return 0, true
	}
	if e.task().Kind == cell.KindService {
		return 0, false
	}
	elapsed := now.Sub(e.placedAt)
	if estimate := e.task().EstimatedRun; estimate > elapsed {
		return estimate - elapsed, true
	}
	return max(elapsed, time.Second), true
}
