package dispatch

import (
	"cmp"
	"slices"

	"laburnumpoint/internal/graph"
)

// pool is the workers of a pool that take new runs.
type pool struct {
	workers []*worker
	// asked is what the steps that wait for permits will claim.
	asked graph.Claim
	free  graph.Claim
	size  graph.Claim
	// reserved counts the workers that are kept free for gangs.
	reserved int
	// freed counts what may let a step in that found no room: runs that are gone and workers that came.
	freed uint64
}

// refreshPools brings the pools up to date. Which workers they have changes seldom, their room with each run.
func (e *Engine) refreshPools() {
	if e.poolsStale {
		e.rebuildPools()
	}
	for _, p := range e.pools {
		p.asked, p.free, p.reserved = graph.Claim{}, graph.Claim{}, 0
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
