package dispatch

import (
	"iter"
	"math"
	"time"

	"laburnumpoint/internal/workerspeed"
)

// speedRefreshInterval is how often the workers' speeds are brought up to date.
const speedRefreshInterval = 200 * time.Millisecond

// observeSpeed notes the run time of a run that ended as done. Gangs end together and tell nothing about a single worker; a run
// that resumed from a checkpoint or was being stopped did not do all of the work.
func (e *Engine) observeSpeed(r *run) {
	if e.uniformSpeeds || !r.fullRun || r.state != runRunning || r.confirmedAt == 0 || r.task == nil {
		return
	}
	s := r.task.step
	if e.placesMatter(s) && !s.isNear(r.worker) {
		return // the run was slow because of its place, not of its worker
	}
	run := workerspeed.Run{Worker: &r.worker.speed, Time: e.now.Sub(r.confirmedAt)}
	s.siblings.Add(e.poolSpeed(r.worker.Pool), e.now, run, len(s.tasks), s.openTasks-1)
}

// isFullRun reports whether the run time of a new run of the task may be compared with those of its siblings.
func (t *task) isFullRun() bool {
	return t.checkpoint == "" && !t.step.def.Gang && !t.step.def.LongRunning
}

func (e *Engine) poolSpeed(pool string) *workerspeed.Pool {
	p := e.poolSpeeds[pool]
	if p == nil {
		p = &workerspeed.Pool{}
		e.poolSpeeds[pool] = p
	}
	return p
}

// refreshSpeeds brings the workers' speeds up to date.
func (e *Engine) refreshSpeeds() {
	if e.now.Sub(e.speedsRefreshedAt) < speedRefreshInterval || len(e.poolSpeeds) == 0 {
		return
	}
	e.speedsRefreshedAt = e.now
	for name, p := range e.pools {
		speeds := make([]*workerspeed.Speed, 0, len(p.workers))
		wasSlow := make([]bool, 0, len(p.workers))
		for _, w := range p.workers {
			speeds = append(speeds, &w.speed)
			wasSlow = append(wasSlow, w.speed.Slow())
		}
		e.poolSpeed(name).Refresh(e.now, speeds)
		p.slowWorkers = 0
		for i, w := range p.workers {
			w.updateImpaired()
			if w.speed.Slow() {
				p.slowWorkers++
				if !wasSlow[i] {
					e.addWorkerEvent(w, WorkerSlow)
				}
			}
		}
	}
}

// updateImpaired brings impaired up to date.
func (w *worker) updateImpaired() {
	w.impaired = w.speed.Slow() || w.health.ejected || w.probation.job != nil
}

// speedPreference is which workers of a pool with slow ones a step's tasks prefer.
type speedPreference int

const (
	preferNone speedPreference = iota
	preferFast
	preferSlow
)

const (
	// littleSlack is the slack, as a share of the remaining path, up to which a step prefers fast workers.
	littleSlack = 0.5
	// muchSlack is the slack, as a multiple of the remaining path, from which a step prefers slow workers. Its job completes
	// in time even at 0.4 times the usual speed.
	muchSlack = 1.5
)

// speedPreference returns which workers the step prefers. The members of a gang are as slow as the slowest of them.
func (e *Engine) speedPreference(s *step) speedPreference {
	if s.job.queue.Priority == 0 || s.def.Gang {
		return preferFast
	}
	if s.def.LongRunning {
		return preferNone
	}
	slack := float64(s.due.Sub(e.now) - s.remainingPath)
	switch {
	case slack < littleSlack*float64(s.remainingPath):
		return preferFast
	case slack > muchSlack*float64(s.remainingPath):
		return preferSlow
	}
	return preferNone
}

// slowWeight is what a worker's slowness counts in its score: more than packing, less than the rack of the data.
const slowWeight = 2.0

// compareSlowness orders slow workers after others.
func compareSlowness(a, b *worker) int {
	switch {
	case a.speed.Slow() == b.speed.Slow():
		return 0
	case a.speed.Slow():
		return 1
	}
	return -1
}

// speedScore is the part of a worker's score that its speed adds. It is 0 unless the worker counts as slow.
func (e *Engine) speedScore(s *step, w *worker) float64 {
	if !w.speed.Slow() {
		return 0
	}
	switch e.speedPreference(s) {
	case preferFast:
		return -slowWeight + w.speed.Relative()
	case preferSlow:
		return slowWeight
	}
	return 0
}

// expectedTime returns the run time on the worker of a task that takes the given time at the usual speed.
func (w *worker) expectedTime(usual time.Duration) time.Duration {
	if !w.speed.Slow() {
		return usual
	}
	return time.Duration(float64(usual) * math.Exp(-w.speed.Relative()))
}

// byPreference yields the pool's workers in the order in which a step requests permits for them: those that its tasks prefer
// first. Each step starts at another worker, so that requests spread over a large pool.
func (e *Engine) byPreference(s *step, p *pool) iter.Seq[*worker] {
	first := int(s.scanOffset() % uint64(len(p.workers)))
	preference, ranks := preferNone, 1
	if p.slowWorkers > 0 || p.ejectedWorkers() > 0 {
		preference, ranks = e.speedPreference(s), requestRanks
	}
	return func(yield func(*worker) bool) {
		for rank := range ranks {
			for i := range p.workers {
				w := p.workers[(first+i)%len(p.workers)]
				if (ranks == 1 || e.requestRank(s, w, preference) == rank) && !yield(w) {
					return
				}
			}
		}
	}
}

// requestRanks is the number of values of requestRank.
const requestRanks = 4

// requestRank orders the workers of a permit request: those that a trial is due for, those that the step prefers, the others, and
// ejected ones.
func (e *Engine) requestRank(s *step, w *worker, preference speedPreference) int {
	switch {
	case w.health.ejected && e.isTrialFor(s, w):
		return 0
	case w.health.ejected:
		return 3
	case preference == preferNone || w.speed.Slow() == (preference == preferSlow):
		return 1
	}
	return 2
}

// WorkerEventKind is what was found out about a worker.
type WorkerEventKind string

// The kinds of events.
const (
	// WorkerSlow means that the worker now counts as slow.
	WorkerSlow WorkerEventKind = "slow"
	// WorkerEjected means that the worker gets no new runs while others have capacity.
	WorkerEjected WorkerEventKind = "ejected"
	// WorkerReadmitted means that the worker is no longer ejected.
	WorkerReadmitted WorkerEventKind = "readmitted"
)

// WorkerEvent is a change of what the engine thinks of a worker.
type WorkerEvent struct {
	Worker WorkerID
	Kind   WorkerEventKind
	// Speed is the worker's estimated speed as a multiple of the pool's median.
	Speed float64
	// FailureRate is the share of the worker's recent runs that failed or stood still.
	FailureRate float64
}

func (e *Engine) addWorkerEvent(w *worker, kind WorkerEventKind) {
	e.workerEvents = append(e.workerEvents, WorkerEvent{w.ID, kind, math.Exp(w.speed.Relative()), w.health.rate.share()})
}

// TakeWorkerEvents returns the events since the last call.
func (e *Engine) TakeWorkerEvents() []WorkerEvent {
	events := e.workerEvents
	e.workerEvents = nil
	return events
}

// SlowWorkers returns how many workers that take new runs count as slow.
func (e *Engine) SlowWorkers() int {
	n := 0
	for _, p := range e.pools {
		n += p.slowWorkers
	}
	return n
}
