package scheduler

import (
	"laburnumpoint/internal/cell"
)

// shapeKey holds the properties of a unit that decide where it fits. Units of one shape all fit or all don't fit,
// so a shape that did not fit is not tried again until capacity is freed.
type shapeKey struct {
	pool string
	// claim is the task's claim; for a gang, the smallest claim of its members in each dimension.
	claim cell.Resources
	// total is the sum of the members' claims.
	total     cell.Resources
	gangSize  int
	stoppable bool
	// runScale is the bit length of the estimated run time in seconds. The run time decides whether a task may backfill.
	runScale int
}

// shape is the placement state that the lanes of one shapeKey share.
type shape struct {
	key   shapeKey
	lanes []*lane
	// blocked means that no worker had capacity when a unit of the shape was last tried.
	blocked bool
	// blockedIndex is the position in Scheduler.blockedShapes. Only while blocked.
	blockedIndex int
	// missing is a lower bound on the number of members that have no worker. Only while blocked.
	missing int
}

// blockedShape pairs a blocked shape with a copy of its claim, so that a scan of the claims reads memory in order.
type blockedShape struct {
	claim cell.Resources
	shape *shape
}

// blockShape records that no worker has capacity for a unit of sh; missing is how many of its members have no worker.
func (s *Scheduler) blockShape(sh *shape, missing int) {
	sh.missing = missing
	if sh.blocked {
		return
	}
	sh.blocked = true
	sh.blockedIndex = len(s.blockedShapes)
	s.blockedShapes = append(s.blockedShapes, blockedShape{sh.key.claim, sh})
}

// unblockShape activates the lanes of sh, so that its units are tried again.
func (s *Scheduler) unblockShape(sh *shape) {
	if !sh.blocked {
		return
	}
	sh.blocked = false
	last := len(s.blockedShapes) - 1
	s.blockedShapes[sh.blockedIndex] = s.blockedShapes[last]
	s.blockedShapes[sh.blockedIndex].shape.blockedIndex = sh.blockedIndex
	s.blockedShapes[last] = blockedShape{}
	s.blockedShapes = s.blockedShapes[:last]
	for _, l := range sh.lanes {
		l.noVictims = false
		s.activate(l)
	}
}

// capacityGrew lists w for useFreedCapacity and unblocks the shapes that may fit on it now.
func (s *Scheduler) capacityGrew(w *worker) {
	if !w.placeable() {
		return
	}
	if !w.freed {
		w.freed = true
		s.freedWorkers = append(s.freedWorkers, w)
	}
	available := w.available()
	if !w.reserved.IsZero() {
		available = w.free().Sub(w.held)
	}
	for i := len(s.blockedShapes) - 1; i >= 0; i-- {
		if !s.blockedShapes[i].claim.Fits(available) {
			continue
		}
		sh := s.blockedShapes[i].shape
		if !w.group.matches(sh.key.pool) {
			continue
		}
		sh.missing -= copiesThatFit(sh.key.claim, available)
		if sh.missing <= 0 {
			s.unblockShape(sh)
		}
	}
}

// copiesThatFit returns how many times claim fits into available.
func copiesThatFit(claim, available cell.Resources) int {
	n := int64(1 << 30)
	limits := amountsOf(available)
	for d, v := range amountsOf(claim) {
		if v > 0 {
			n = min(n, limits[d]/v)
		}
	}
	return int(max(n, 0))
}
