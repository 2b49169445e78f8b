package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// pool is the workers of a pool that take new runs.
type pool struct {
	workers  []*worker
	free     graph.Resources
	capacity graph.Resources
	// blockedDemand is what the steps that the present plan found no room for still claim.
	blockedDemand graph.Resources
	// recentlyFreed is the room that runs which ended of themselves have given back in about the last second, as of churnAt.
	recentlyFreed   graph.Resources
	recentlyFreedAt monotime.Instant
	// reservedCount counts the workers that are kept free for gangs.
	reservedCount int
	// searchInterval is the time between two looks through all workers for a blocked step.
	searchInterval time.Duration
	// capacityVersion counts what may let a step in that found no room: runs that are gone and workers that came.
	capacityVersion uint64
	// grownWorkers lists the workers whose room grew, the last of them at the count freed; older ones have been dropped.
	grownWorkers []*worker
}

// maxGrownWorkers bounds the record of workers whose room grew; it covers what happens between two looks through a whole pool.
const maxGrownWorkers = 1024

// capacityGrew notes that w has more room than before.
func (p *pool) capacityGrew(w *worker) {
	if len(p.grownWorkers) == maxGrownWorkers {
		p.grownWorkers = append(p.grownWorkers[:0], p.grownWorkers[maxGrownWorkers/2:]...)
	}
	p.capacityVersion++
	p.grownWorkers = append(p.grownWorkers, w)
}

// freedDecayTime is the time over which the room that runs give back is averaged.
const freedDecayTime = 1 * time.Second

// recordFreed notes the room that a run has given back.
func (p *pool) recordFreed(allocation graph.Resources, now monotime.Instant) {
	p.recentlyFreed = p.recentlyFreed.Scale(math.Exp(-float64(now.Sub(p.recentlyFreedAt)) / float64(freedDecayTime))).Add(allocation)
	p.recentlyFreedAt = now
}

// expectedFreed returns the room that runs will give back in a time, as they did lately.
func (p *pool) expectedFreed(d time.Duration, now monotime.Instant) graph.Resources {
	decay := math.Exp(-float64(now.Sub(p.recentlyFreedAt)) / float64(freedDecayTime))
	return p.recentlyFreed.Scale(decay * float64(d) / float64(freedDecayTime))
}

// grownSince returns the workers whose room grew after the pool's count was freed, some maybe twice; ok is false if that is
// not known any more.
func (p *pool) grownSince(version uint64) (workers []*worker, ok bool) {
	n := p.capacityVersion - version
	if n > uint64(len(p.grownWorkers)) {
		return nil, false
	}
	return p.grownWorkers[uint64(len(p.grownWorkers))-n:], true
}

// refreshPools brings the pools up to date. Which workers they have changes seldom, their room with each run.
func (e *Engine) refreshPools() {
	if e.poolsStale {
		e.rebuildPools()
	}
	for _, p := range e.pools {
		p.free, p.blockedDemand, p.reservedCount = graph.Resources{}, graph.Resources{}, 0
		for _, w := range p.workers {
			w.reservedFor = nil
			p.free = p.free.Add(w.free())
		}
	}
}

func (e *Engine) rebuildPools() {
	e.poolsStale = false
	old := e.pools
	e.pools = make(map[string]*pool, len(old))
	for _, w := range e.workers {
		if w.Draining || !w.reachable || w.runsOfUnknownSize > 0 {
			continue
		}
		p := e.pools[w.Pool]
		if p == nil {
			p = &pool{}
			if before := old[w.Pool]; before != nil {
				p.capacityVersion = before.capacityVersion + 1
				p.recentlyFreed, p.recentlyFreedAt = before.recentlyFreed, before.recentlyFreedAt
			}
			e.pools[w.Pool] = p
		}
		p.workers = append(p.workers, w)
		p.capacity = p.capacity.Add(w.Capacity)
	}
	for _, p := range e.pools {
		slices.SortFunc(p.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
}
