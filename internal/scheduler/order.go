package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

const (
	// highestAgedRank is the best rank that tasks of other classes reach by ageing, next to urgent tasks at 0.
	highestAgedRank = 1
	// starvationSteps is the number of ageing steps after which any task ranks with urgent tasks.
	starvationSteps = 6
)

// shareBandWidth is the width of the bands of teams' dominant shares within which larger units go first, at a packing
// weight of 1.
const shareBandWidth = 0.01

// orderKey orders lanes: by rank (lower first), band of the team's dominant share, size (larger first), the team's
// dominant share and arrival. Larger units go first because small units fit into the gaps that large ones leave.
type orderKey struct {
	rank          int
	shareBand     int
	size          float64
	dominantShare float64
	first         *placementUnit
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
	if k.dominantShare != o.dominantShare {
		return k.dominantShare < o.dominantShare
	}
	return k.first.before(o.first)
}

func (s *Scheduler) orderKeyOf(l *lane, now time.Time) orderKey {
	u := l.first()
	key := orderKey{rank: agedRank(l.key.class, now.Sub(u.arrived), s.policy.AgeingStep), dominantShare: l.team.dominantShare, first: u}
	if width := shareBandWidth * s.policy.PackingWeight; width > 0 {
		key.shareBand = int(key.dominantShare / width)
		key.size = u.total.DominantShare(s.largestCapacity)
	}
	return key
}

// agedRank returns the rank of a unit of class c. It improves by one for each ageing step waited, up to highestAgedRank;
// after starvationSteps it is that of urgent tasks. A step of zero turns ageing off.
func agedRank(c cell.PriorityClass, waited, step time.Duration) int {
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

// newLaneOrder returns an empty heap of lanes with the first in order on top.
func newLaneOrder() indexedHeap[*lane] {
	return indexedHeap[*lane]{
		less:     func(a, b *lane) bool { return a.orderKey.before(b.orderKey) },
		position: func(l *lane) *int { return &l.heapIndex },
	}
}
