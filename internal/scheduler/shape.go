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
	blocked   bool
	blockedAt int
	// missing is a lower bound on the gang members that still need room. Only while blocked.
	missing int
}

// blockedShape holds a blocked shape's claim beside it, so that a scan of claims reads memory in order.
type blockedShape struct {
	claim cell.Resources
	shape *shape
}

// block records that no worker has room for a unit of sh; missing is how many of its members lack room.
func (s *Scheduler) block(sh *shape, missing int) {
	sh.missing = missing
	if sh.blocked {
		return
	}
	sh.blocked = true
	sh.blockedAt = len(s.blocked)
	s.blocked = append(s.blocked, blockedShape{sh.key.claim, sh})
}

func (s *Scheduler) unblock(sh *shape) {
	if !sh.blocked {
		return
	}
	sh.blocked = false
	last := len(s.blocked) - 1
	s.blocked[sh.blockedAt] = s.blocked[last]
	s.blocked[sh.blockedAt].shape.blockedAt = sh.blockedAt
	s.blocked[last] = blockedShape{}
	s.blocked = s.blocked[:last]
	for _, l := range sh.lanes {
		l.noVictims = false
		s.activate(l)
	}
}

// roomGrew unblocks the shapes that may fit on w now.
func (s *Scheduler) roomGrew(w *worker) {
	if !w.placeable() {
		return
	}
	if !w.freed {
		w.freed = true
		s.freed = append(s.freed, w)
	}
	room := w.room()
	if !w.reserved.IsZero() {
		room = w.free().Sub(w.earmarked)
	}
	for i := len(s.blocked) - 1; i >= 0; i-- {
		if !s.blocked[i].claim.Fits(room) {
			continue
		}
		sh := s.blocked[i].shape
		if !w.group.matches(sh.key.pool) {
			continue
		}
		sh.missing -= timesIn(sh.key.claim, room)
		if sh.missing <= 0 {
			s.unblock(sh)
		}
	}
}

// timesIn returns how many times claim fits into room.
func timesIn(claim, room cell.Resources) int {
	n := int64(1 << 30)
	limits := amountsOf(room)
	for d, v := range amountsOf(claim) {
		if v > 0 {
			n = min(n, limits[d]/v)
		}
	}
	return int(max(n, 0))
}
