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
	workers []*worker
	free    graph.Resources
	size    graph.Resources
	// ahead is what the steps that the present plan found no room for still claim.
	ahead graph.Resources
	// churn is the room that runs which ended of themselves have given back in about the last second, as of churnAt.
	churn   graph.Resources
	churnAt monotime.Instant
	// reserved counts the workers that are kept free for gangs.
	reserved int
	// retry is the time between two looks through all workers for a blocked step.
	retry time.Duration
	// freed counts what may let a step in that found no room: runs that are gone and workers that came.
	freed uint64
	// grown lists the workers whose room grew, the last of them at the count freed; older ones have been dropped.
	grown []*worker
}

// maxGrown bounds the record of workers whose room grew; it covers what happens between two looks through a whole pool.
const maxGrown = 1024

// roomGrew notes that w has more room than before.
func (p *pool) roomGrew(w *worker) {
	if len(p.grown) == maxGrown {
		p.grown = append(p.grown[:0], p.grown[maxGrown/2:]...)
	}
	p.freed++
	p.grown = append(p.grown, w)
}

// churnTime is the time over which the room that runs give back is averaged.
const churnTime = 1 * time.Second

// noteEnd notes the room that a run has given back.
func (p *pool) noteEnd(held graph.Resources, now monotime.Instant) {
	p.churn = p.churn.Scale(math.Exp(-float64(now.Sub(p.churnAt)) / float64(churnTime))).Add(held)
	p.churnAt = now
}

// freedWithin returns the room that runs will give back in a time, as they did lately.
func (p *pool) freedWithin(d time.Duration, now monotime.Instant) graph.Resources {
	quiet := math.Exp(-float64(now.Sub(p.churnAt)) / float64(churnTime))
	return p.churn.Scale(quiet * float64(d) / float64(churnTime))
}

// grownSince returns the workers whose room grew after the pool's count was freed, some maybe twice; ok is false if that is
// not known any more.
func (p *pool) grownSince(freed uint64) (workers []*worker, ok bool) {
	n := p.freed - freed
	if n > uint64(len(p.grown)) {
		return nil, false
	}
	return p.grown[uint64(len(p.grown))-n:], true
}

// refreshPools brings the pools up to date. Which workers they have changes seldom, their room with each run.
func (e *Engine) refreshPools() {
	if e.poolsStale {
		e.rebuildPools()
	}
	for _, p := range e.pools {
		p.free, p.ahead, p.reserved = graph.Resources{}, graph.Resources{}, 0
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
		if w.Draining || !w.reachable || w.unsized > 0 {
			continue
		}
		p := e.pools[w.Pool]
		if p == nil {
			p = &pool{}
			if before := old[w.Pool]; before != nil {
				p.freed = before.freed + 1
				p.churn, p.churnAt = before.churn, before.churnAt
			}
			e.pools[w.Pool] = p
		}
		p.workers = append(p.workers, w)
		p.size = p.size.Add(w.Capacity)
	}
	for _, p := range e.pools {
		slices.SortFunc(p.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
}
