package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// highestAgedRank is the rank that work of other classes reaches by ageing, one below urgent work.
	highestAgedRank = 1
	// starvedSteps is the number of ageing steps after which any work ranks with urgent work.
	starvedSteps = 6
)

// shareBand is the width of the bands of team shares within which larger units go first, at a packing weight of 1.
const shareBand = 0.01

// orderKey is a lane's place in the order of a round: first by rank, then by the band of the team's share, then by size,
// since small units fill the gaps that large ones leave and not the reverse, then by the team's share and by arrival.
type orderKey struct {
	rank  int
	band  int
	size  float64
	share float64
	first *unit
}

func (k orderKey) before(o orderKey) bool {
	if k.rank != o.rank {
		return k.rank < o.rank
	}
	if k.band != o.band {
		return k.band < o.band
	}
	if k.size != o.size {
		return k.size > o.size
	}
	if k.share != o.share {
		return k.share < o.share
	}
	return k.first.before(o.first)
}

func (s *Scheduler) orderKeyOf(l *lane, now time.Time) orderKey {
	u := l.first()
	key := orderKey{rank: agedRank(l.key.class, now.Sub(u.arrived), s.policy.AgeingStep), share: l.team.share, first: u}
	if width := shareBand * s.policy.PackingWeight; width > 0 {
		key.band = int(key.share / width)
		key.size = u.total.DominantShare(s.largest)
	}
	return key
}

// agedRank returns the rank of a unit that has waited so long: one higher for each step, but below urgent work
// until starvedSteps have passed. A step of zero turns ageing off.
func agedRank(c cell.Class, waited, step time.Duration) int {
	rank := c.Rank()
	if step <= 0 || rank == 0 {
		return rank
	}
	steps := int(waited / step)
	if steps >= starvedSteps {
		return 0
	}
	return max(rank-max(steps, 0), min(rank, highestAgedRank))
}

// newOrder returns an empty heap of lanes, first in order on top.
func newOrder() indexedHeap[*lane] {
	return indexedHeap[*lane]{
		less:     func(a, b *lane) bool { return a.rank.before(b.rank) },
		position: func(l *lane) *int { return &l.at },
	}
}
