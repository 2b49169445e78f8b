package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// drain is when one task is expected to leave its worker, and what it then frees.
type drain struct {
	after time.Duration
	claim cell.Resources
}

// candidate is a worker that a reservation may use, with the expected time until it has room for one member more.
type candidate struct {
	worker  *worker
	planned cell.Resources
	drain   time.Duration
	at      int
	seq     int
}

// plan chooses for each member of u the worker that is expected to have room first.
// It returns nil if some member would wait for a service to end.
func (s *Scheduler) plan(u *unit, now time.Time) *reservation {
	res := &reservation{unit: u, dirty: true, preempts: u.isGang() && u.first().task().Class == cell.ClassUrgent, start: now}
	planned := make(map[*worker]cell.Resources)
	for members := u.members; len(members) > 0; {
		n := sameClaim(members)
		if !s.planMembers(res, members[:n], planned, now) {
			return nil
		}
		members = members[n:]
	}
	for _, sl := range res.slots {
		if at := now.Add(sl.drain); at.After(res.start) {
			res.start = at
		}
	}
	return res
}

// sameClaim returns how many of the first members have the first one's claim and pool.
func sameClaim(members []*entry) int {
	first := members[0].task()
	n := 1
	for n < len(members) && members[n].task().Claim == first.Claim && members[n].task().Pool == first.Pool {
		n++
	}
	return n
}

func (s *Scheduler) planMembers(res *reservation, members []*entry, planned map[*worker]cell.Resources, now time.Time) bool {
	claim := members[0].claim()
	heap := s.candidates(res, members[0], planned, now)
	for _, m := range members {
		if heap.len() == 0 {
			return false
		}
		c := heap.top()
		res.slots = append(res.slots, &slot{member: m, worker: c.worker, drain: c.drain})
		c.planned = c.planned.Add(claim)
		planned[c.worker] = c.planned
		drain, ok := s.drainTime(c.worker, c.planned.Add(claim), res.preempts, now)
		if !ok {
			heap.remove(c)
			continue
		}
		c.drain = drain
		heap.down(0)
	}
	return true
}

// candidates returns the workers that can have room for e in time, soonest first.
func (s *Scheduler) candidates(res *reservation, e *entry, planned map[*worker]cell.Resources, now time.Time) *indexedHeap[*candidate] {
	heap := &indexedHeap[*candidate]{
		less: func(a, b *candidate) bool {
			if a.drain != b.drain {
				return a.drain < b.drain
			}
			return a.seq < b.seq
		},
		position: func(c *candidate) *int { return &c.at },
	}
	for i, w := range s.order {
		if !w.placeable() || w.reservation != nil || !w.group.matches(e.task().Pool) {
			continue
		}
		need := planned[w].Add(e.claim())
		if drain, ok := s.drainTime(w, need, res.preempts, now); ok {
			heap.push(&candidate{worker: w, planned: planned[w], drain: drain, seq: i})
		}
	}
	return heap
}

// drainTime returns the expected time until w has room for need, if its services stay.
func (s *Scheduler) drainTime(w *worker, need cell.Resources, preempts bool, now time.Time) (time.Duration, bool) {
	room := w.free().Sub(w.earmarked)
	if need.Fits(room) {
		return 0, true
	}
	if !need.Fits(w.desc.Capacity) {
		return 0, false
	}
	drains := s.scratch.drains[:0]
	for _, e := range w.tasks {
		if after, ends := remaining(e, preempts, now); ends {
			drains = append(drains, drain{after, e.claim()})
		}
	}
	s.scratch.drains = drains
	slices.SortFunc(drains, func(a, b drain) int { return cmp.Compare(a.after, b.after) })
	for _, d := range drains {
		room = room.Add(d.claim)
		if need.Fits(room) {
			return d.after, true
		}
	}
	return 0, false
}

// remaining returns the expected time until e ends; false if it does not end by itself.
// A task that has outrun its estimate is expected to run as long again.
func remaining(e *entry, preempts bool, now time.Time) (time.Duration, bool) {
	if e.state == StateStopping || preempts && e.victim {
		return 0, true
	}
	if e.task().Kind == cell.KindService {
		return 0, false
	}
	elapsed := now.Sub(e.since)
	if estimate := e.task().EstimatedRun; estimate > elapsed {
		return estimate - elapsed, true
	}
	return max(elapsed, time.Second), true
}
