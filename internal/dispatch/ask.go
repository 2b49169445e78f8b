package dispatch

import (
	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/graph"
)

// maxAsk bounds the workers of one question to the policy service.
const maxAsk = 100

// mayAsk reports whether the policy service may be asked about a step: there is room beside what others have asked for.
func (e *Engine) mayAsk(s *step, p *pool) bool {
	return s.job.queue.Permit != nil && !s.asking && e.now >= s.askAt && s.def.Held().Fits(p.free.Sub(p.asked))
}

// ask asks the policy service about a step. The first question is about every worker that may ever run it, as far as one
// question goes, since its verdicts don't change; later ones are about workers that have room.
func (e *Engine) ask(s *step, p *pool, open []*task) {
	workers, room := e.toAskAbout(s, p)
	if room == 0 || (s.def.Gang && s.allowed != nil && room < len(open)) {
		return
	}
	s.asking = true
	e.stats.Asks++
	if s.def.Gang && s.allowed != nil {
		e.keepRoom(s, workers, len(open))
	}
	e.orders = append(e.orders, Ask{
		Step:     s.id(),
		Workers:  workers,
		Cost:     s.job.queue.Permit.Of(len(workers)),
		Priority: s.job.queue.Priority,
		Due:      s.due,
	})
}

// keepRoom keeps room for a gang on the workers that it asks permits for: another would take it meanwhile, and the gang
// would ask again and again.
func (e *Engine) keepRoom(s *step, workers []WorkerID, tasks int) {
	until := e.now.Add(s.job.queue.Permit.Of(len(workers)) + holdMargin)
	for _, id := range workers {
		w := e.workers[id]
		fit := min(tasks, s.tasksThatFit(w.free(), 0))
		if fit == 0 || w.isPromised(e.now) {
			continue
		}
		w.promise = promise{s, s.def.Held().Times(fit), until}
		tasks -= fit
	}
}

// toAskAbout returns the workers of a question and how many of the step's tasks fit on them now. Those with room come
// first. Each step begins at another worker, so that in a large pool questions spread over all of it.
func (e *Engine) toAskAbout(s *step, p *pool) (workers []WorkerID, room int) {
	counts := s.onWorkers()
	first := s.allowed == nil
	var full []WorkerID
	begin := int(s.spread() % uint64(len(p.workers)))
	for i := range p.workers {
		w := p.workers[(begin+i)%len(p.workers)]
		e.stats.Looks++
		if allowed, known := s.allowed[w.ID]; (known && !allowed) || !s.eligible(w) || s.permitted(w, e.now) {
			continue
		}
		if !e.hasRoom(s, w, graph.Claim{}, counts) {
			full = append(full, w.ID)
			continue
		}
		if len(workers) < maxAsk {
			workers = append(workers, w.ID)
			room += s.tasksThatFit(w.free(), counts[w.ID])
		}
	}
	if first {
		workers = append(workers, full[:min(len(full), maxAsk-len(workers))]...)
	}
	return workers, room
}

// spread is a number that differs from step to step.
func (s *step) spread() uint64 {
	return xxhash.Sum64String(string(s.job.id)) + uint64(s.index)
}

// tasksThatFit counts the tasks of a step that fit into free, beside those that the worker has of it.
func (s *step) tasksThatFit(free graph.Claim, present int) int {
	held := s.def.Held()
	n := int64(s.def.Count)
	if held.MilliCPU > 0 {
		n = min(n, free.MilliCPU/held.MilliCPU)
	}
	if held.MemoryMB > 0 {
		n = min(n, free.MemoryMB/held.MemoryMB)
	}
	if held.Accelerators > 0 {
		n = min(n, free.Accelerators/held.Accelerators)
	}
	if s.def.MaxPerWorker > 0 {
		n = min(n, int64(s.def.MaxPerWorker-present))
	}
	return int(max(0, n))
}
