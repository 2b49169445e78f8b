package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// pool holds the workers of a pool that take new runs.
type pool struct {
	workers  []*worker
	free     graph.Resources
	capacity graph.Resources
	// blockedDemand is the sum of the allocations for which the current plan found too little free capacity.
	blockedDemand graph.Resources
	// recentlyFreed is a decaying sum of the allocations freed by runs that ended without a stop, over about the last second,
	// as of recentlyFreedAt.
	recentlyFreed   graph.Resources
	recentlyFreedAt monotime.Instant
	// permitDemand is the sum of the allocations of tasks within their organisation's rate that wait for permits in the current
	// plan. spare is what remains free for tasks beyond the rate; nil until it is needed.
	permitDemand graph.Resources
	spare        *graph.Resources
	// reservedCount counts the workers that the current plan keeps free for gangs.
	reservedCount int
	// reservedForShare means that the current plan keeps workers free for a gang of an organisation with a small share.
	reservedForShare bool
	// reservedForOverdue means that the current plan keeps workers free for an overdue gang though less than minIdleShare of the pool is free.
	reservedForOverdue bool
	// searchInterval is the time between two searches of the whole pool for a blocked step.
	searchInterval time.Duration
	// slowWorkers counts the workers that count as slow.
	slowWorkers int
	// fastFreed is what runs on workers that are not slow have freed recently.
	fastFreed freedCapacity
	// waitingForFast is the sum of the allocations that wait for fast workers in the current plan.
	waitingForFast graph.Resources
	// capacityVersion counts the changes that may unblock a step: removals of runs and rebuilds of the pools.
	capacityVersion uint64
	// grownWorkers lists the workers whose free capacity grew, in order; the last entry belongs to the current
	// capacityVersion. Older entries are dropped.
	grownWorkers []*worker
	locality     poolLocality
}

// maxGrownWorkers bounds grownWorkers. It covers what happens between two searches of a whole pool.
const maxGrownWorkers = 1024

// takesNewRuns reports whether the worker belongs to its pool.
func (w *worker) takesNewRuns() bool {
	return !w.Draining && w.reachable && w.runsOfUnknownSize == 0
}

// capacityGrew notes that w, which takes new runs, has more free capacity than before.
func (p *pool) capacityGrew(w *worker) {
	if len(p.grownWorkers) == maxGrownWorkers {
		p.grownWorkers = append(p.grownWorkers[:0], p.grownWorkers[maxGrownWorkers/2:]...)
	}
	p.capacityVersion++
	p.grownWorkers = append(p.grownWorkers, w)
}

// freedDecayTime is the time constant with which recentlyFreed decays.
const freedDecayTime = 1 * time.Second

// recordFreed adds the allocation that a run has freed to recentlyFreed.
func (p *pool) recordFreed(allocation graph.Resources, now monotime.Instant) {
	p.recentlyFreed = p.recentlyFreed.Scale(math.Exp(-float64(now.Sub(p.recentlyFreedAt)) / float64(freedDecayTime))).Add(allocation)
	p.recentlyFreedAt = now
}

// expectedFreed returns the resources that runs are expected to free within d, at the recent rate.
func (p *pool) expectedFreed(d time.Duration, now monotime.Instant) graph.Resources {
	decay := math.Exp(-float64(now.Sub(p.recentlyFreedAt)) / float64(freedDecayTime))
	return p.recentlyFreed.Scale(decay * float64(d) / float64(freedDecayTime))
}

// grownSince returns the workers whose free capacity grew since the given version of the pool's capacity, possibly with
// duplicates; ok is false if the pool no longer remembers them all.
func (p *pool) grownSince(version uint64) (workers []*worker, ok bool) {
	n := p.capacityVersion - version
	if n > uint64(len(p.grownWorkers)) {
		return nil, false
	}
	return p.grownWorkers[uint64(len(p.grownWorkers))-n:], true
}

// refreshPools brings the pools up to date for a plan. Their workers change seldom, their free capacity with each run.
func (e *Engine) refreshPools() {
	if e.poolsStale {
		e.rebuildPools()
	}
	for _, p := range e.pools {
		p.free, p.blockedDemand, p.waitingForFast, p.reservedCount = graph.Resources{}, graph.Resources{}, graph.Resources{}, 0
		p.permitDemand, p.spare, p.reservedForShare, p.reservedForOverdue = graph.Resources{}, nil, false, false
		for _, w := range p.workers {
			w.reservedFor = nil
			p.free = p.free.Add(w.free().AtLeastZero())
		}
	}
}

func (e *Engine) rebuildPools() {
	e.poolsStale = false
	old := e.pools
	e.pools = make(map[string]*pool, len(old))
	for _, w := range e.workers {
		if !w.takesNewRuns() {
			continue
		}
		p := e.pools[w.Pool]
		if p == nil {
			p = &pool{}
			if before := old[w.Pool]; before != nil {
				p.capacityVersion = before.capacityVersion + 1
				p.slowWorkers, p.fastFreed = before.slowWorkers, before.fastFreed
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
