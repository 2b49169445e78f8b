package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// maxRequestWorkers bounds the workers of one question to the policy service.
const maxRequestWorkers = 100

// requestCapacityFactor times the room that the open tasks need is what a question is about, by the share of workers that is allowed: room
// may be gone when the answer comes.
const requestCapacityFactor = 4

// mayRequestPermits reports whether the policy service may be asked about a step: there is room for a task of it. Others that ask may
// want the same room, but some of them will not get their permits there; what they don't take would idle.
func (e *Engine) mayRequestPermits(s *step, p *pool) bool {
	return s.job.queue.Permit != nil && s.pendingPermitRequests == 0 && e.now >= s.nextPermitRequestAt && s.def.Allocation().Fits(p.free)
}

// requestPermits wants the policy service asked about a step. What the question is about is decided when it is sent.
func (e *Engine) requestPermits(s *step, p *pool, open []*task) {
	workers, fitting := e.workersToRequest(s, p, len(open))
	if fitting == 0 || (s.def.Gang && s.verdicts != nil && fitting < len(open)) {
		return
	}
	s.pendingPermitRequests = 1
	if s.def.Gang && s.verdicts == nil {
		s.pendingPermitRequests = e.initialPermitRequests(s, p, len(open))
	}
	for range s.pendingPermitRequests {
		e.stats.PermitRequests++
		e.orders = append(e.orders, s.newPermitRequest(workers))
	}
}

// maxPermitRequests bounds the questions about one step at a time, so that a gang doesn't take the lines of all daemons.
const maxPermitRequests = 3

// initialPermitRequests returns how many questions a gang asks at first. Its tasks need permits at one time, and in a busy pool each
// allowed worker has room, or victims, for about as many as its free share holds, at least one: a gang that is wider than what
// one question will allow would ask again and again about a part of what it needs.
func (e *Engine) initialPermitRequests(s *step, p *pool, open int) int {
	idle := float64(p.free.MilliCPU) / float64(max(1, p.capacity.MilliCPU))
	perWorker := max(1, idle*float64(s.tasksThatFit(p.workers[0].Capacity, 0)))
	allowedTasks := e.verdictCounts[s.job.queue.Name].allowedShare() * maxRequestWorkers * perWorker
	wholePoolRequests := (len(p.workers) + maxRequestWorkers - 1) / maxRequestWorkers
	return max(1, min(maxPermitRequests, wholePoolRequests, int(math.Ceil(float64(open)/allowedTasks))))
}

// addRequestedWorkers notes that a question is about the workers.
func (s *step) addRequestedWorkers(workers []WorkerID) {
	if s.requestedWorkers == nil {
		s.requestedWorkers = make(map[WorkerID]struct{})
	}
	for _, w := range workers {
		s.requestedWorkers[w] = struct{}{}
	}
}

// finishPermitRequest notes that a question about the workers is over.
func (s *step) finishPermitRequest(workers []WorkerID) {
	s.pendingPermitRequests = max(0, s.pendingPermitRequests-1)
	for _, w := range workers {
		delete(s.requestedWorkers, w)
	}
}

// newPermitRequest is the newPermitRequest about a step and the workers.
func (s *step) newPermitRequest(workers []WorkerID) PermitRequest {
	return PermitRequest{
		Step:     s.id(),
		Workers:  workers,
		Latency:  s.job.queue.Permit.For(len(workers)),
		Priority: s.job.queue.Priority,
		Demotion: s.demotion(),
		Due:      s.due,
	}
}

// PreparePermitRequest returns the question about a step as it is to be asked now; ok is false if it need not be asked any more. A step
// whose question has waited has other needs, and other workers have room.
func (e *Engine) PreparePermitRequest(id StepID) (request PermitRequest, ok bool) {
	s := e.step(id)
	if s == nil || s.pendingPermitRequests == 0 {
		return PermitRequest{}, false
	}
	p := e.pools[s.job.queue.Pool]
	if !s.active || s.unplacedCount() == 0 || p == nil || len(p.workers) == 0 {
		s.finishPermitRequest(nil)
		return PermitRequest{}, false
	}
	workers, fitting := e.workersToRequest(s, p, s.unplacedCount())
	needsVerdicts := s.def.Gang && s.verdicts == nil && len(workers) > 0
	if fitting == 0 && !needsVerdicts {
		s.finishPermitRequest(nil)
		return PermitRequest{}, false
	}
	if s.def.Gang && s.verdicts != nil {
		e.holdForRenewal(s, workers)
	}
	s.addRequestedWorkers(workers)
	return s.newPermitRequest(workers), true
}

// renewalHoldMargin is how long room is kept beyond the policy service's time for a question.
const renewalHoldMargin = 100 * time.Millisecond

// holdForRenewal keeps room for a gang on the workers that it asks permits for and is known to get them for: another would take it
// meanwhile, and the gang would ask again and again.
func (e *Engine) holdForRenewal(s *step, workers []WorkerID) {
	until := e.now.Add(s.job.queue.Permit.For(len(workers)) + renewalHoldMargin)
	tasks := s.unplacedCount()
	for _, id := range workers {
		w := e.workers[id]
		fit := min(tasks, s.tasksThatFit(w.free(), 0))
		if fit == 0 || !s.verdicts[id] || w.hasCapacityHold(e.now) {
			continue
		}
		w.capacityHold = capacityHold{s, s.def.Allocation().Times(fit), until}
		tasks -= fit
	}
}

// permitRequestDraft collects the workers that the policy service is to be asked about for a step.
type permitRequestDraft struct {
	workers []WorkerID
	// fitting is how many of the open tasks fit on the workers now, likely how many of these will be allowed there.
	fitting  int
	expected float64
	// full are workers without room.
	full []WorkerID
}

// workersToRequest returns the workers of a question about so many open tasks, and how many of them fit there now. Workers that
// are known to be allowed come first, then others with room. The first question is also about full ones, as far as one
// question goes: verdicts don't change, and tell where tasks may be stopped for the step.
func (e *Engine) workersToRequest(s *step, p *pool, open int) (workers []WorkerID, fitting int) {
	var draft permitRequestDraft
	if s.verdicts != nil {
		e.addWorkers(&draft, s, p, open, true)
	}
	e.addWorkers(&draft, s, p, open, false)
	if s.verdicts == nil && draft.expected < requestCapacityFactor*float64(open) {
		draft.workers = append(draft.workers, draft.full[:min(len(draft.full), maxRequestWorkers-len(draft.workers))]...)
	}
	return draft.workers, draft.fitting
}

// addWorkers adds workers about which the verdict is known, or is not. Each step begins at another worker, so that in a large
// pool questions spread over all of it.
func (e *Engine) addWorkers(draft *permitRequestDraft, s *step, p *pool, open int, withVerdict bool) {
	running := s.runsPerWorker()
	share := 1.0
	if !withVerdict {
		share = e.verdictCounts[s.job.queue.Name].allowedShare()
	}
	first := int(s.scanOffset() % uint64(len(p.workers)))
	for i := range p.workers {
		if len(draft.workers) == maxRequestWorkers || draft.expected >= requestCapacityFactor*float64(open) {
			return
		}
		w := p.workers[(first+i)%len(p.workers)]
		e.stats.WorkersEvaluated++
		if _, asked := s.requestedWorkers[w.ID]; asked {
			continue
		}
		allowed, known := s.verdicts[w.ID]
		if known != withVerdict || (withVerdict && !allowed) || !s.eligible(w) || s.hasLastingPermit(w, e.now) {
			continue
		}
		if !e.hasCapacity(s, w, graph.Resources{}, running) {
			draft.full = append(draft.full, w.ID)
			continue
		}
		draft.workers = append(draft.workers, w.ID)
		fit := min(open, s.tasksThatFit(w.free(), running[w.ID]))
		draft.fitting += fit
		draft.expected += share * float64(fit)
	}
}

// hasLastingPermit reports whether the step need not ask about a worker, since it has a permit. A gang needs all its permits at one
// time: those that lapse before the answer comes are asked for again with the others.
func (s *step) hasLastingPermit(w *worker, now monotime.Instant) bool {
	if s.def.Gang {
		now = now.Add(s.job.queue.Permit.For(maxRequestWorkers))
	}
	return s.hasPermit(w, now)
}

// verdictCount counts what the policy service has said of workers for the steps of a queue.
type verdictCount struct{ asked, allowed int }

// allowedShare is the allowedShare of the workers that is allowed, about a half while little is known.
func (c verdictCount) allowedShare() float64 { return float64(c.allowed+1) / float64(c.asked+2) }

// scanOffset is a number that differs from step to step.
func (s *step) scanOffset() uint64 {
	return xxhash.Sum64String(string(s.job.id)) + uint64(s.index)
}

// tasksThatFit counts the tasks of a step that fit into free, beside those that the worker has of it.
func (s *step) tasksThatFit(free graph.Resources, running int) int {
	allocation := s.def.Allocation()
	n := int64(s.def.Count)
	if allocation.MilliCPU > 0 {
		n = min(n, free.MilliCPU/allocation.MilliCPU)
	}
	if allocation.MemoryMB > 0 {
		n = min(n, free.MemoryMB/allocation.MemoryMB)
	}
	if allocation.Accelerators > 0 {
		n = min(n, free.Accelerators/allocation.Accelerators)
	}
	if s.def.MaxPerWorker > 0 {
		n = min(n, int64(s.def.MaxPerWorker-running))
	}
	return int(max(0, n))
}
