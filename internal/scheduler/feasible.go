package scheduler

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// maxCandidates is the number of fitting workers that one search scores, and maxPerStep how many of them from one step of the index.
	maxCandidates = 64
	maxPerStep    = 4
	// backfillSafety is the factor by which a run time may exceed its estimate without delaying a reserved gang.
	backfillSafety = 10
)

// choice is the best worker of one search.
type choice struct {
	entry      *entry
	skipAvoid  bool
	spread     *spread
	best       *worker
	score      float64
	considered int
	inStep     int
}

// findWorker returns the best worker with room for e, nil if there is none. Workers that e avoids are used only if no other
// has room, and workers with accelerators take work that needs none only if no other has room.
func (s *Scheduler) findWorker(e *entry) *worker {
	if w := s.findAmong(e, true); w != nil || len(e.item.Avoid) == 0 {
		return w
	}
	return s.findAmong(e, false)
}

func (s *Scheduler) findAmong(e *entry, skipAvoid bool) *worker {
	c := choice{entry: e, skipAvoid: skipAvoid}
	if e.task().Kind == cell.KindService {
		c.spread = s.services[e.task().Job]
	}
	if e.claim().Accelerators == 0 {
		s.searchGroups(&c, false)
	}
	if c.best == nil {
		s.searchGroups(&c, true)
	}
	return c.best
}

func (s *Scheduler) searchGroups(c *choice, accelerators bool) {
	for _, g := range s.groups {
		if g.accelerators == accelerators && g.matches(c.entry.task().Pool) {
			c.search(g)
		}
	}
}

func (c *choice) search(g *group) {
	c.considered = 0
	visit := func(slot int) bool { return c.consider(g.members[slot]) }
	step := func() bool {
		c.inStep = 0
		return c.considered >= maxCandidates && c.spread == nil
	}
	g.rooms.search(c.entry.claim(), visit, step)
}

// consider scores w and reports whether the search goes on.
func (c *choice) consider(w *worker) bool {
	claim := c.entry.claim()
	if !claim.Fits(w.room()) || c.skipAvoid && avoids(&c.entry.item, w) {
		return true
	}
	c.considered++
	c.inStep++
	score := score(w, claim) - c.spread.penalty(w)
	if c.best == nil || score > c.score {
		c.best, c.score = w, score
	}
	return c.inStep < maxPerStep || c.spread != nil
}

// avoids reports whether the item's earlier attempts failed on w or its rack.
func avoids(it *QueueItem, w *worker) bool {
	return slices.Contains(it.Avoid, w.desc.ID) || w.desc.Rack != "" && slices.Contains(it.Avoid, cell.WorkerID(w.desc.Rack))
}

// findSpare returns a worker on which e can use room that is reserved for a gang without delaying the gang:
// because e can be stopped, or because it ends before the reserved start though it runs backfillSafety times its estimate.
func (s *Scheduler) findSpare(e *entry, now time.Time) *worker {
	claim := e.claim()
	for _, res := range s.reservations {
		if !res.mayBackfill(e, now) {
			continue
		}
		for _, slot := range res.slots {
			w := slot.worker
			if w.group.matches(e.task().Pool) && claim.Fits(w.free().Sub(w.earmarked)) && !avoids(&e.item, w) {
				return w
			}
		}
	}
	return nil
}

func (res *reservation) mayBackfill(e *entry, now time.Time) bool {
	t := e.task()
	if t.Kind == cell.KindService {
		return false
	}
	if t.Stoppable && t.Class != cell.ClassUrgent {
		return e.stops.spare < maxSpareStops
	}
	return t.EstimatedRun > 0 && !now.Add(backfillSafety*t.EstimatedRun).After(res.start)
}
