package scheduler

import (
	"laburnumpoint/internal/cell"
)

// shapeKey is all that decides where a unit fits now. Units of one shape fit or do not fit together,
// so that a shape that was refused is not tried again until capacity is freed.
type shapeKey struct {
	pool      string
	claim     cell.Resources
	total     cell.Resources
	gangSize  int
	stoppable bool
	// runScale is the logarithm of the estimated run time, which decides on backfill.
	runScale int
}

// shape is the placement state that the lanes of one shapeKey share.
type shape struct {
	key   shapeKey
	lanes []*lane
	// blocked means that no worker had room when a unit of the shape was last tried.
	blocked      bool
	blockedIndex int
	// missing is a lower bound on the gang members that still need room. Only while blocked.
	missing int
}

// blockedShape holds a blocked shape's claim beside it, so that a scan of claims reads memory in order.
type blockedShape struct {
	claim cell.Resources
	shape *shape
}

// blockShape records that no worker has room for a unit of sh; missing is how many of its members lack room.
func (s *Scheduler) blockShape(sh *shape, missing int) {
	sh.missing = missing
	if sh.blocked {
		return
	}
	sh.blocked = true
	sh.blockedIndex = len(s.blockedShapes)
	s.blockedShapes = append(s.blockedShapes, blockedShape{sh.key.claim, sh})
}

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

// capacityGrew unblocks the shapes that may fit on w now.
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

// copiesThatFit returns how many times claim fits into room.
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
