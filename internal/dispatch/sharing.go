package dispatch

import (
	"time"

	"laburnumpoint/internal/monotime"
)

// Filler tasks slow tasks with a tail latency target, so that they share a worker only where there is no other. A task with a target then
// has precedence: fillers are stopped where it starts. A filler that has waited may start beside tasks that are well below their targets,
// and is stopped when one of these comes near its own.

const (
	// sharingWeight makes workers that are not shared come first. It is less than suspectWeight.
	sharingWeight = 6.0
	// fillerPatience is how long a step of fillers has to wait without a run before it may share workers.
	fillerPatience = 1 * time.Second
	// calmShare and nearShare are the shares of its target up to which a tail leaves room for fillers, and from which they are stopped.
	calmShare, nearShare = 0.5, 0.8
	// maxTailAge is the age up to which a tail counts. Workers report at least every two seconds.
	maxTailAge = 3 * time.Second
	// minFillerPause is how long no filler is started beside the tasks of a worker after fillers were stopped for them. It doubles each
	// time, up to maxFillerPause.
	minFillerPause = 10 * time.Second
	maxFillerPause = 5 * time.Minute
	// fullyAtWork is the progress, in percent, of a long-running task that serves.
	fullyAtWork = 100
)

// tailLatency is a run's last reported tail latency.
type tailLatency struct {
	latency time.Duration
	at      monotime.Instant
}

// fillerPause keeps fillers from a worker.
type fillerPause struct {
	until  monotime.Instant
	length time.Duration
}

func (r *run) hasTailTarget() bool { return r.task != nil && r.task.step.def.TailTarget > 0 }

// conflicts reports whether tasks of the step must not share the worker with runs that are there.
func (e *Engine) conflicts(s *step, w *worker) bool {
	switch {
	case s.def.Filler:
		return w.hasTailTarget() && !e.mayFillBeside(s, w)
	case s.def.TailTarget > 0:
		return w.hasFiller() && !w.mayStopFillers()
	}
	return false
}

// shares reports whether a task of the step would share the worker with runs that it slows, or that slow it.
func (s *step) shares(w *worker) bool {
	return (s.def.Filler && w.hasTailTarget()) || (s.def.TailTarget > 0 && w.hasFiller())
}

func (w *worker) hasTailTarget() bool {
	for _, r := range w.runs {
		if r.hasTailTarget() {
			return true
		}
	}
	return false
}

func (w *worker) hasFiller() bool {
	for _, r := range w.runs {
		if r.filler && r.state != runStopping {
			return true
		}
	}
	return false
}

// mayStopFillers reports whether all fillers of the worker may be stopped: no step may lose more tasks than its MaxUnavailable at a time.
func (w *worker) mayStopFillers() bool {
	stopped := make(map[*step]int)
	for _, r := range w.runs {
		if r.filler && r.task != nil && r.task.step.def.MaxUnavailable > 0 && r.atWork() {
			stopped[r.task.step]++
		}
	}
	for s, n := range stopped {
		if s.away()+n > s.def.MaxUnavailable {
			return false
		}
	}
	return true
}

func (r *run) atWork() bool { return r.state == runRunning && r.progress == fullyAtWork }

// away counts the open tasks of a long-running step that are not at work.
func (s *step) away() int {
	away := s.openTasks
	for _, t := range s.tasks {
		if !t.done && t.run != nil && t.run.atWork() {
			away--
		}
	}
	return away
}

// stopFillers stops the fillers of a worker.
func (e *Engine) stopFillers(w *worker, reason string) {
	for _, r := range w.runs {
		if r.filler && r.state != runStopping {
			e.stop(r, reason)
		}
	}
}

// mayFillBeside reports whether a task of a step of fillers may start beside the worker's tasks with a target: the step has waited and has
// no run, and all these tasks are well below their targets.
func (e *Engine) mayFillBeside(s *step, w *worker) bool {
	if s.placedTasks > 0 || e.now.Sub(s.activeSince) < fillerPatience || e.now < w.fillers.until {
		return false
	}
	for _, r := range w.runs {
		if r.hasTailTarget() && !e.isCalm(r) {
			return false
		}
	}
	return true
}

// isCalm reports whether a run with a target is known to be well below it.
func (e *Engine) isCalm(r *run) bool {
	target := float64(r.task.step.def.TailTarget)
	return r.tail.at > 0 && e.now.Sub(r.tail.at) <= maxTailAge && float64(r.tail.latency) <= calmShare*target
}

// observeTail notes a run's tail latency, and stops the fillers beside it if that comes near its target.
func (e *Engine) observeTail(r *run, entry RunningEntry) {
	if !entry.Measured || !r.hasTailTarget() {
		return
	}
	r.tail = tailLatency{time.Duration(entry.Measure * float64(time.Millisecond)), e.now}
	w := r.worker
	if float64(r.tail.latency) < nearShare*float64(r.task.step.def.TailTarget) || !w.hasFiller() || !w.mayStopFillers() {
		return
	}
	w.fillers.length = min(maxFillerPause, max(minFillerPause, 2*w.fillers.length))
	w.fillers.until = e.now.Add(w.fillers.length)
	e.stopFillers(w, "slows a task with a latency target")
}
