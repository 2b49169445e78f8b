package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// maxAsk bounds the workers of one question to the policy service.
const maxAsk = 100

// askRoom times the room that the open tasks need is what a question is about, by the share of workers that is allowed: room
// may be gone when the answer comes.
const askRoom = 4

// mayAsk reports whether the policy service may be asked about a step: there is room for a task of it. Others that ask may
// want the same room, but some of them will not get their permits there; what they don't take would idle.
func (e *Engine) mayAsk(s *step, p *pool) bool {
	return s.job.queue.Permit != nil && s.questions == 0 && e.now >= s.askAt && s.def.Allocation().Fits(p.free)
}

// ask wants the policy service asked about a step. What the question is about is decided when it is sent.
func (e *Engine) ask(s *step, p *pool, open []*task) {
	workers, room := e.toAskAbout(s, p, len(open))
	if room == 0 || (s.def.Gang && s.allowed != nil && room < len(open)) {
		return
	}
	s.questions = 1
	if s.def.Gang && s.allowed == nil {
		s.questions = e.questionsFor(s, p, len(open))
	}
	for range s.questions {
		e.stats.PermitRequests++
		e.orders = append(e.orders, s.question(workers))
	}
}

// maxQuestions bounds the questions about one step at a time, so that a gang doesn't take the lines of all daemons.
const maxQuestions = 3

// questionsFor returns how many questions a gang asks at first. Its tasks need permits at one time, and in a busy pool each
// allowed worker has room, or victims, for about as many as its free share holds, at least one: a gang that is wider than what
// one question will allow would ask again and again about a part of what it needs.
func (e *Engine) questionsFor(s *step, p *pool, open int) int {
	idle := float64(p.free.MilliCPU) / float64(max(1, p.size.MilliCPU))
	perWorker := max(1, idle*float64(s.tasksThatFit(p.workers[0].Capacity, 0)))
	allowed := e.verdicts[s.job.queue.Name].share() * maxAsk * perWorker
	all := (len(p.workers) + maxAsk - 1) / maxAsk
	return max(1, min(maxQuestions, all, int(math.Ceil(float64(open)/allowed))))
}

// sent notes that a question is about the workers.
func (s *step) sent(workers []WorkerID) {
	if s.inQuestion == nil {
		s.inQuestion = make(map[WorkerID]struct{})
	}
	for _, w := range workers {
		s.inQuestion[w] = struct{}{}
	}
}

// answered notes that a question about the workers is over.
func (s *step) answered(workers []WorkerID) {
	s.questions = max(0, s.questions-1)
	for _, w := range workers {
		delete(s.inQuestion, w)
	}
}

// question is the question about a step and the workers.
func (s *step) question(workers []WorkerID) PermitRequest {
	return PermitRequest{
		Step:     s.id(),
		Workers:  workers,
		Latency:  s.job.queue.Permit.For(len(workers)),
		Priority: s.job.queue.Priority,
		Demotion: s.standing(),
		Due:      s.due,
	}
}

// PreparePermitRequest returns the question about a step as it is to be asked now; ok is false if it need not be asked any more. A step
// whose question has waited has other needs, and other workers have room.
func (e *Engine) PreparePermitRequest(id StepID) (ask PermitRequest, ok bool) {
	s := e.step(id)
	if s == nil || s.questions == 0 {
		return PermitRequest{}, false
	}
	p := e.pools[s.job.queue.Pool]
	if !s.active || s.toPlace() == 0 || p == nil || len(p.workers) == 0 {
		s.answered(nil)
		return PermitRequest{}, false
	}
	workers, room := e.toAskAbout(s, p, s.toPlace())
	learns := s.def.Gang && s.allowed == nil && len(workers) > 0
	if room == 0 && !learns {
		s.answered(nil)
		return PermitRequest{}, false
	}
	if s.def.Gang && s.allowed != nil {
		e.keepRoom(s, workers)
	}
	s.sent(workers)
	return s.question(workers), true
}

// holdMargin is how long room is kept beyond the policy service's time for a question.
const holdMargin = 100 * time.Millisecond

// keepRoom keeps room for a gang on the workers that it asks permits for and is known to get them for: another would take it
// meanwhile, and the gang would ask again and again.
func (e *Engine) keepRoom(s *step, workers []WorkerID) {
	until := e.now.Add(s.job.queue.Permit.For(len(workers)) + holdMargin)
	tasks := s.toPlace()
	for _, id := range workers {
		w := e.workers[id]
		fit := min(tasks, s.tasksThatFit(w.free(), 0))
		if fit == 0 || !s.allowed[id] || w.isPromised(e.now) {
			continue
		}
		w.promise = promise{s, s.def.Allocation().Times(fit), until}
		tasks -= fit
	}
}

// questionDraft collects the workers that the policy service is to be asked about for a step.
type questionDraft struct {
	workers []WorkerID
	// room is how many of the open tasks fit on the workers now, likely how many of these will be allowed there.
	room   int
	likely float64
	// full are workers without room.
	full []WorkerID
}

// toAskAbout returns the workers of a question about so many open tasks, and how many of them fit there now. Workers that
// are known to be allowed come first, then others with room. The first question is also about full ones, as far as one
// question goes: verdicts don't change, and tell where tasks may be stopped for the step.
func (e *Engine) toAskAbout(s *step, p *pool, open int) (workers []WorkerID, room int) {
	var q questionDraft
	if s.allowed != nil {
		e.collect(&q, s, p, open, true)
	}
	e.collect(&q, s, p, open, false)
	if s.allowed == nil && q.likely < askRoom*float64(open) {
		q.workers = append(q.workers, q.full[:min(len(q.full), maxAsk-len(q.workers))]...)
	}
	return q.workers, q.room
}

// collect adds workers about which the verdict is known, or is not. Each step begins at another worker, so that in a large
// pool questions spread over all of it.
func (e *Engine) collect(q *questionDraft, s *step, p *pool, open int, known bool) {
	counts := s.onWorkers()
	share := 1.0
	if !known {
		share = e.verdicts[s.job.queue.Name].share()
	}
	begin := int(s.spread() % uint64(len(p.workers)))
	for i := range p.workers {
		if len(q.workers) == maxAsk || q.likely >= askRoom*float64(open) {
			return
		}
		w := p.workers[(begin+i)%len(p.workers)]
		e.stats.WorkersEvaluated++
		if _, asked := s.inQuestion[w.ID]; asked {
			continue
		}
		allowed, told := s.allowed[w.ID]
		if told != known || (known && !allowed) || !s.eligible(w) || s.permitLasts(w, e.now) {
			continue
		}
		if !e.hasRoom(s, w, graph.Resources{}, counts) {
			q.full = append(q.full, w.ID)
			continue
		}
		q.workers = append(q.workers, w.ID)
		fit := min(open, s.tasksThatFit(w.free(), counts[w.ID]))
		q.room += fit
		q.likely += share * float64(fit)
	}
}

// permitLasts reports whether the step need not ask about a worker, since it has a permit. A gang needs all its permits at one
// time: those that lapse before the answer comes are asked for again with the others.
func (s *step) permitLasts(w *worker, now monotime.Instant) bool {
	if s.def.Gang {
		now = now.Add(s.job.queue.Permit.For(maxAsk))
	}
	return s.permitted(w, now)
}

// verdictCount counts what the policy service has said of workers for the steps of a queue.
type verdictCount struct{ asked, allowed int }

// share is the share of the workers that is allowed, about a half while little is known.
func (c verdictCount) share() float64 { return float64(c.allowed+1) / float64(c.asked+2) }

// spread is a number that differs from step to step.
func (s *step) spread() uint64 {
	return xxhash.Sum64String(string(s.job.id)) + uint64(s.index)
}

// tasksThatFit counts the tasks of a step that fit into free, beside those that the worker has of it.
func (s *step) tasksThatFit(free graph.Resources, present int) int {
	held := s.def.Allocation()
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
