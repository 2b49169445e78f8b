package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// maxRequestWorkers bounds the workers of one permit request.
const maxRequestWorkers = 100

// requestCapacityFactor is how many times the capacity that the open tasks need a request covers, weighted by the share of
// workers that the policy service allows. Capacity may be taken before the answer comes.
const requestCapacityFactor = 4

// mayRequestPermits reports whether permits may be requested for a step: it has no pending request and the pool has free
// capacity for one of its tasks. Other steps may request permits for the same capacity. Some of them will not get a permit
// there, and what they don't use would otherwise stay idle.
func (e *Engine) mayRequestPermits(s *step, p *pool) bool {
	return s.job.queue.Permit != nil && s.pendingPermitRequests == 0 && e.now >= s.nextPermitRequestAt && s.def.Allocation().Fits(p.free)
}

// requestPermits orders permit requests for a step. PreparePermitRequest chooses their workers anew when they are sent.
func (e *Engine) requestPermits(s *step, p *pool, open []*task) {
	draft := e.draftPermitRequest(s, p, len(open))
	if !draft.useful {
		return
	}
	s.pendingPermitRequests = 1
	if s.def.Gang && s.verdicts == nil {
		s.pendingPermitRequests = e.initialPermitRequests(s, p, len(open))
	}
	for range s.pendingPermitRequests {
		e.stats.PermitRequests++
		e.orders = append(e.orders, s.newPermitRequest(draft.workers))
	}
}

// maxPermitRequests bounds the pending requests of one step, so that a gang doesn't keep all daemons that send requests busy.
const maxPermitRequests = 3

// initialPermitRequests returns how many requests a gang starts with. A gang needs all its permits at the same time. In a busy
// pool each allowed worker has capacity, free or by preemption, for about as many members as fit into the pool's idle share of
// a worker, and for at least one. A gang wider than what one request is likely to gain would request permits again and again
// for a part of its members.
func (e *Engine) initialPermitRequests(s *step, p *pool, open int) int {
	idle := float64(p.free.MilliCPU) / float64(max(1, p.capacity.MilliCPU))
	perWorker := max(1, idle*float64(s.tasksThatFit(p.workers[0].Capacity, 0)))
	allowedTasks := e.verdictCounts[s.job.queue.Name].allowedShare() * maxRequestWorkers * perWorker
	wholePoolRequests := (len(p.workers) + maxRequestWorkers - 1) / maxRequestWorkers
	return max(1, min(maxPermitRequests, wholePoolRequests, int(math.Ceil(float64(open)/allowedTasks))))
}

// addRequestedWorkers notes that a pending request covers the workers.
func (s *step) addRequestedWorkers(workers []WorkerID) {
	if s.requestedWorkers == nil {
		s.requestedWorkers = make(map[WorkerID]struct{})
	}
	for _, w := range workers {
		s.requestedWorkers[w] = struct{}{}
	}
}

// finishPermitRequest notes that a request for the workers is no longer pending.
func (s *step) finishPermitRequest(workers []WorkerID) {
	s.pendingPermitRequests = max(0, s.pendingPermitRequests-1)
	for _, w := range workers {
		delete(s.requestedWorkers, w)
	}
}

// newPermitRequest returns a permit request for the step and the workers.
func (s *step) newPermitRequest(workers []WorkerID) PermitRequest {
	return PermitRequest{
		Step:     s.id(),
		Workers:  workers,
		Latency:  s.job.queue.Permit.For(len(workers)),
		Priority: s.job.queue.Priority,
		Demotion: s.demotion() + laneDemotion*s.job.lane,
		Band:     s.job.band(),
		Due:      s.due,
	}
}

// PreparePermitRequest returns a step's permit request as it is to be sent now; ok is false if it is no longer needed. While a
// request waits to be sent, the step's needs change and other workers get free capacity.
func (e *Engine) PreparePermitRequest(id StepID) (request PermitRequest, ok bool) {
	s := e.step(id)
	if s == nil || s.pendingPermitRequests == 0 {
		return PermitRequest{}, false
	}
	p := e.pools[s.job.queue.Pool]
	if !s.active || s.permitDemand() == 0 || p == nil || len(p.workers) == 0 {
		s.finishPermitRequest(nil)
		return PermitRequest{}, false
	}
	admitted := e.admittedTasks(s, s.permitDemand(), nil)
	if admitted == 0 || s.limitBlocked {
		s.finishPermitRequest(nil)
		return PermitRequest{}, false
	}
	draft := e.draftPermitRequest(s, p, admitted)
	needsVerdicts := s.def.Gang && s.verdicts == nil && len(draft.workers) > 0
	if !draft.useful && !needsVerdicts {
		s.finishPermitRequest(nil)
		return PermitRequest{}, false
	}
	e.holdForRenewal(s, draft)
	s.addRequestedWorkers(draft.workers)
	return s.newPermitRequest(draft.workers), true
}

// renewalHoldMargin is how long capacity is held beyond the policy service's latency.
const renewalHoldMargin = 100 * time.Millisecond

// holdForRenewal sets the draft's capacity holds. Other steps would take that capacity before the answer comes, and the gang would
// request permits again and again.
func (e *Engine) holdForRenewal(s *step, draft permitRequestDraft) {
	if s.job.lane == laneBeyondRate {
		return
	}
	until := e.now.Add(s.job.queue.Permit.For(len(draft.workers)) + renewalHoldMargin)
	for _, h := range draft.holds {
		h.worker.hold(capacityHold{s, s.def.Allocation().Times(h.tasks), until}, e.now)
	}
}

// permitRequestDraft collects the workers for a permit request.
type permitRequestDraft struct {
	workers []WorkerID
	// fitting is how many of the open tasks fit on the workers now.
	fitting int
	// expected is how many of the fitting tasks are expected to be allowed there.
	expected float64
	// full are the workers with too little free capacity.
	full []WorkerID
	// fullNear counts the workers among those to ask about that have too little free capacity and are on the step's rack.
	fullNear int
	// useful means that the answer may let tasks start.
	useful bool
	// holds is the capacity to hold until the answer comes.
	holds []plannedHold
}

// plannedHold is capacity for a number of a step's tasks on a worker.
type plannedHold struct {
	worker *worker
	tasks  int
}

// draftPermitRequest chooses the workers to request permits for, given the number of open tasks. Workers known to be allowed come
// first, then others with free capacity. A step's first request also includes full workers if it has space for them: verdicts
// don't change, and they show where tasks may be preempted for the step.
func (e *Engine) draftPermitRequest(s *step, p *pool, open int) permitRequestDraft {
	if s.def.Gang && s.verdicts != nil {
		return e.draftGangRequest(s, p, open)
	}
	var draft permitRequestDraft
	if s.verdicts != nil {
		e.addWorkers(&draft, s, p, open, true)
	}
	e.addWorkers(&draft, s, p, open, false)
	draft.useful = draft.fitting > 0
	if s.verdicts == nil && draft.expected < requestCapacityFactor*float64(open) {
		draft.workers = append(draft.workers, draft.full[:min(len(draft.full), maxRequestWorkers-len(draft.workers))]...)
	}
	return draft
}

// minExpectedShare is the share of a gang's remaining members that must be expected to get permits for a request to be worth the
// policy service's time.
const minExpectedShare = 0.5

// draftGangRequest chooses the workers for a gang that has verdicts: as few allowed ones as hold all members. Their capacity is then
// held. If the members don't fit there now, the request also covers workers whose verdict isn't known. Capacity is held only if
// all members are expected to get their permits: holding a part would only keep it from gangs that fit.
func (e *Engine) draftGangRequest(s *step, p *pool, open int) permitRequestDraft {
	var draft permitRequestDraft
	left := open
	for _, h := range e.allowedCapacity(s, p) {
		if left == 0 || len(draft.workers) == maxRequestWorkers {
			break
		}
		h.tasks = min(left, h.tasks)
		left -= h.tasks
		draft.holds = append(draft.holds, h)
		if !s.hasLastingPermit(h.worker, e.now) {
			draft.workers = append(draft.workers, h.worker.ID)
		}
	}
	if left > 0 {
		e.addWorkers(&draft, s, p, left, false)
		if draft.expected < float64(left) {
			draft.holds = nil
		}
	}
	draft.useful = len(draft.workers) > 0 && draft.fitting >= left && draft.expected >= minExpectedShare*float64(left)
	return draft
}

// allowedCapacity returns the capacity for a gang's members on the workers that it knows to be allowed: that of slow workers last, since
// the slowest member holds the others up, and else the largest first, since the policy service takes time for each worker in a request.
func (e *Engine) allowedCapacity(s *step, p *pool) []plannedHold {
	running := s.runsPerWorker()
	var allowed []plannedHold
	for _, w := range p.workers {
		e.stats.WorkersEvaluated++
		if _, asked := s.requestedWorkers[w.ID]; asked || !s.verdicts[w.ID] || !s.eligible(w) || !e.hasCapacity(s, w, graph.Resources{}, running) {
			continue
		}
		allowed = append(allowed, plannedHold{w, s.tasksThatFit(w.free().Sub(w.heldForOthers(s, e.now)), running[w.ID])})
	}
	slices.SortStableFunc(allowed, func(a, b plannedHold) int {
		return cmp.Or(compareSlowness(a.worker, b.worker), cmp.Compare(b.tasks, a.tasks))
	})
	e.sortByRack(s, allowed)
	return allowed
}

// addWorkers adds workers whose verdict is known if withVerdict is set, otherwise those whose verdict is not known.
func (e *Engine) addWorkers(draft *permitRequestDraft, s *step, p *pool, open int, withVerdict bool) {
	running := s.runsPerWorker()
	share := 1.0
	if !withVerdict {
		share = e.verdictCounts[s.job.queue.Name].allowedShare()
	}
	rack := e.requestRack(s, p)
	for w := range e.requestOrder(s, p, rack) {
		if len(draft.workers) == maxRequestWorkers || draft.expected >= requestCapacityFactor*float64(open) {
			return
		}
		e.stats.WorkersEvaluated++
		if _, asked := s.requestedWorkers[w.ID]; asked {
			continue
		}
		allowed, known := s.verdicts[w.ID]
		if known != withVerdict || (withVerdict && !allowed) || !s.eligible(w) {
			continue
		}
		if s.hasLastingPermit(w, e.now) {
			continue
		}
		if !e.hasCapacity(s, w, graph.Resources{}, running) {
			if !e.addNearWorker(draft, s, w, rack) {
				draft.full = append(draft.full, w.ID)
			}
			continue
		}
		draft.workers = append(draft.workers, w.ID)
		fit := min(open, s.tasksThatFit(w.free().Sub(w.heldForOthers(s, e.now)), running[w.ID]))
		draft.fitting += fit
		draft.expected += share * float64(fit)
	}
}

// hasLastingPermit reports whether the step has a permit for a worker and need not request it. A gang needs all its permits at
// the same time: permits that expire before the answer comes are requested again with the others.
func (s *step) hasLastingPermit(w *worker, now monotime.Instant) bool {
	if s.def.Gang {
		now = now.Add(s.job.queue.Permit.For(maxRequestWorkers))
	}
	return s.hasPermit(w, now)
}

// verdictCount counts the policy service's verdicts for the steps of a queue.
type verdictCount struct{ asked, allowed int }

// allowedShare estimates the share of workers that the policy service allows. It is about one half while few verdicts are
// known.
func (c verdictCount) allowedShare() float64 { return float64(c.allowed+1) / float64(c.asked+2) }

// scanOffset returns a number that differs between steps.
func (s *step) scanOffset() uint64 {
	return xxhash.Sum64String(string(s.job.id)) + uint64(s.index)
}

// tasksThatFit counts the tasks of a step that fit into the free resources of a worker that already has the given number of
// its runs.
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
