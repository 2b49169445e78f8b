package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Bounds of preemption. A task that checkpoints loses no work when it is stopped, only the time to stop and to resume.
const (
	// preemptGap is kept between two preemptions for one step.
	preemptGap = 1 * time.Second
	// maxPreempted bounds how often one task is stopped for others: otherwise a wide step is stopped and resumed again and
	// again without getting on.
	maxPreempted = 2
	// stopTime is what a stop takes, about: a step whose tasks find room sooner as others end need not have any stopped.
	stopTime = 500 * time.Millisecond
	// yieldSlack is the share of its objective that a job must have left for its tasks to be stopped.
	yieldSlack = 0.5
	// holdRoom is how long the room that a preemption makes is kept for its step: longer than a stop takes.
	holdRoom = 1500 * time.Millisecond
)

// promise is room on a worker that is kept for a step.
type promise struct {
	step  *step
	claim graph.Resources
	until monotime.Instant
}

// promised returns the room of the worker that is kept for steps other than s.
func (w *worker) promised(s *step, now monotime.Instant) graph.Resources {
	if !w.isPromised(now) || w.promise.step == s {
		return graph.Resources{}
	}
	return w.promise.claim
}

// isPromised reports whether room of the worker is kept for a step that still needs it.
func (w *worker) isPromised(now monotime.Instant) bool {
	kept := w.promise.step
	return kept != nil && now <= w.promise.until && kept.active && kept.toPlace() > 0
}

// preempt stops tasks of lower priority so that the open tasks of s find room, if all of them or, for a step that is no
// gang, some of them do.
func (e *Engine) preempt(s *step, p *pool, open []*task) {
	if e.now.Sub(s.preemptedAt) < preemptGap && s.preemptedAt > 0 {
		return
	}
	plans := e.preemptions(s, p, len(open))
	left := len(open)
	for i, plan := range plans {
		if plan.tasks >= left {
			plans = plans[:i+1]
			left = 0
			break
		}
		left -= plan.tasks
	}
	if left > 0 && s.def.Gang || len(plans) == 0 {
		return
	}
	s.preemptedAt = e.now
	for _, plan := range plans {
		plan.worker.promise = promise{s, s.def.Allocation().Times(plan.tasks), e.now.Add(holdRoom)}
		for _, r := range plan.victims {
			e.stats.Preempted++
			r.task.preempted++
			e.stop(r, "preempted by "+string(s.job.id))
		}
	}
}

// preemption is what to stop on a worker so that so many tasks of a step fit there.
type preemption struct {
	worker  *worker
	victims []*run
	tasks   int
}

// preemptions returns what could be stopped on each worker of a pool for up to want tasks of s, the fewest stops for a task
// first: each costs its victim the time to stop and to resume.
func (e *Engine) preemptions(s *step, p *pool, want int) []preemption {
	counts := s.onWorkers()
	var plans []preemption
	for _, w := range p.workers {
		e.stats.WorkersEvaluated++
		if !s.eligible(w) || !s.permitted(w, e.now) || w.reservedFor != nil || w.clashes(s.def) || w.isPromised(e.now) {
			continue
		}
		if victims, tasks := e.victims(s, w, want, counts[w.ID]); tasks > 0 {
			plans = append(plans, preemption{w, victims, tasks})
		}
	}
	slices.SortStableFunc(plans, func(a, b preemption) int {
		return cmp.Compare(len(a.victims)*b.tasks, len(b.victims)*a.tasks)
	})
	return plans
}

// victims returns the runs to stop so that up to want tasks of s fit on the worker, and how many then do. Room that is
// free counts too.
func (e *Engine) victims(s *step, w *worker, want, present int) (victims []*run, tasks int) {
	var stoppable []*run
	for _, r := range w.runs {
		if r.state == runRunning && r.task != nil && e.mayYield(r, s) {
			stoppable = append(stoppable, r)
		}
	}
	// The run that began last goes first.
	slices.SortFunc(stoppable, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.ordered, a.ordered), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	room := w.free()
	tasks = min(want, s.tasksThatFit(room, present))
	for _, r := range stoppable {
		if tasks >= want {
			break
		}
		room = room.Add(r.held)
		victims = append(victims, r)
		if fit := min(want, s.tasksThatFit(room, present)); fit > tasks {
			tasks = fit
			continue
		}
	}
	if tasks == min(want, s.tasksThatFit(w.free(), present)) {
		return nil, tasks // stopping anything would not help
	}
	return victims, tasks
}

// mayYield reports whether a run may be stopped for a task of s: if it loses no work, its priority is lower, and its job has
// time left to make the pause good.
func (e *Engine) mayYield(r *run, s *step) bool {
	victim := r.task.step
	def := victim.def
	if r.task.preempted >= maxPreempted {
		return false
	}
	if victim.job.queue.Priority <= s.job.queue.Priority || !def.Checkpoints || def.Gang || def.LongRunning {
		return false
	}
	return victim.due.Sub(e.now) > time.Duration(yieldSlack*float64(victim.job.objective))
}
