package dispatch

import (
	"maps"
	"time"

	"laburnumpoint/internal/monotime"
)

// Where a failed task is tried again. A worker on which a run has failed has room again at once, and is often the best one for the next
// attempt, which fails as well if the worker is at fault: a task's attempts could be used up before the worker is ejected.
const (
	// avoidanceTime is how long a step avoids a worker on which one of its runs has failed. It is short, since the fault may be the job's.
	avoidanceTime = 2 * time.Second
	// earlyFailureShare is the share of its estimated run time in which a run fails early: rather by its worker's fault than its own.
	earlyFailureShare = 0.1
)

// avoidance is how a step avoids a worker on which one of its runs has failed.
type avoidance struct {
	until monotime.Instant
	// strict means that the worker is likely at fault: it gets none of the step's tasks while there is another one. Otherwise it only
	// comes last.
	strict bool
}

// avoidAfterFailure makes the step avoid the worker on which its run r has failed; r is nil if it isn't known.
func (e *Engine) avoidAfterFailure(s *step, w *worker, r *run) {
	if e.noEjections {
		return
	}
	maps.DeleteFunc(s.avoidances, func(_ *worker, a avoidance) bool { return e.now >= a.until })
	if s.avoidances == nil {
		s.avoidances = make(map[*worker]avoidance)
	}
	early := r != nil && e.now.Sub(r.orderedAt) < time.Duration(earlyFailureShare*float64(s.def.Estimate))
	s.avoidances[w] = avoidance{
		until:  e.now.Add(avoidanceTime),
		strict: early || w.consecutiveFailures >= suspectAfterFailures || s.avoidances[w].strict,
	}
	s.lastSearchAt = 0 // others may have room
}

// avoids reports whether the worker comes last for the step since one of its runs has failed there.
func (e *Engine) avoids(s *step, w *worker) bool { return e.now < s.avoidances[w].until }

// avoidsStrictly reports whether the worker gets no tasks of the step since one of its runs has failed there.
func (e *Engine) avoidsStrictly(s *step, w *worker) bool {
	return e.avoids(s, w) && s.avoidances[w].strict && e.hasOtherWorker(s)
}

// hasOtherWorker reports whether there is a worker that may run the step's tasks, now or once it has room, and is neither avoided nor
// ejected.
func (e *Engine) hasOtherWorker(s *step) bool {
	p := e.pools[s.job.queue.Pool]
	if p == nil {
		return false
	}
	for _, w := range p.workers {
		if !w.health.ejected && !e.avoids(s, w) && s.eligible(w) && !s.deniedBy(w) && s.def.Allocation().Fits(w.Capacity) {
			return true
		}
	}
	return false
}
