package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// highestAgedRank is the rank that work of other classes reaches by ageing, one below urgent work.
	highestAgedRank = 1
	// starvationSteps is the number of ageing steps after which any work ranks with urgent work.
	starvationSteps = 6
)

// shareBandWidth is the width of the bands of team shares within which larger units go first, at a packing weight of 1.
const shareBandWidth = 0.01

// orderKey is a lane's place in the order of a round: first by rank, then by the band of the team's share, then by size,
// since small units fill the gaps that large ones leave and not the reverse, then by the team's share and by arrival.
type orderKey struct {
	rank      int
	shareBand int
	size      float64
	teamShare float64
	first     *placementUnit
}

func (k orderKey) before(o orderKey) bool {
	if k.rank != o.rank {
		return k.rank < o.rank
	}
	if k.shareBand != o.shareBand {
		return k.shareBand < o.shareBand
	}
	if k.size != o.size {
		return k.size > o.size
	}
	if k.teamShare != o.teamShare {
		return k.teamShare < o.teamShare
	}
	return k.first.before(o.first)
}

func (s *Scheduler) orderKeyOf(l *lane, now time.Time) orderKey {
	u := l.first()
	key := orderKey{rank: agedRank(l.key.class, now.Sub(u.arrived), s.policy.AgeingStep), teamShare: l.team.dominantShare, first: u}
	if width := shareBandWidth * s.policy.PackingWeight; width > 0 {
		key.shareBand = int(key.teamShare / width)
		key.size = u.total.DominantShare(s.largestCapacity)
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
	if steps >= starvationSteps {
		return 0
	}
	return max(rank-max(steps, 0), min(rank, highestAgedRank))
}

// newLaneOrder returns an empty heap of lanes, first in order on top.
func newLaneOrder() indexedHeap[*lane] {
	return indexedHeap[*lane]{
		less:     func(a, b *lane) bool { return a.orderKey.before(b.orderKey) },
		position: func(l *lane) *int { return &l.heapIndex },
	}
}
