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
	// preemptionInterval is kept between two preemptions for one step.
	preemptionInterval = 1 * time.Second
	// maxPreemptions bounds how often one task is stopped for others: otherwise a wide step is stopped and resumed again and
	// again without getting on.
	maxPreemptions = 2
	// typicalStopTime is what a stop takes, about: a step whose tasks find room sooner as others end need not have any stopped.
	typicalStopTime = 500 * time.Millisecond
	// minVictimSlack is the share of its objective that a job must have left for its tasks to be stopped.
	minVictimSlack = 0.5
	// preemptionHoldTime is how long the room that a preemption makes is kept for its step: longer than a stop takes.
	preemptionHoldTime = 1500 * time.Millisecond
)

// capacityHold is room on a worker that is kept for a step.
type capacityHold struct {
	step   *step
	amount graph.Resources
	until  monotime.Instant
}

// heldForOthers returns the room of the worker that is kept for steps other than s.
func (w *worker) heldForOthers(s *step, now monotime.Instant) graph.Resources {
	if !w.hasCapacityHold(now) || w.capacityHold.step == s {
		return graph.Resources{}
	}
	return w.capacityHold.amount
}

// hasCapacityHold reports whether room of the worker is kept for a step that still needs it.
func (w *worker) hasCapacityHold(now monotime.Instant) bool {
	holder := w.capacityHold.step
	return holder != nil && now <= w.capacityHold.until && holder.active && holder.unplacedCount() > 0
}

// preempt stops tasks of lower priority so that the open tasks of s find room, if all of them or, for a step that is no
// gang, some of them do.
func (e *Engine) preempt(s *step, p *pool, open []*task) {
	if e.now.Sub(s.lastPreemptionAt) < preemptionInterval && s.lastPreemptionAt > 0 {
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
	s.lastPreemptionAt = e.now
	for _, plan := range plans {
		plan.worker.capacityHold = capacityHold{s, s.def.Allocation().Times(plan.tasks), e.now.Add(preemptionHoldTime)}
		for _, r := range plan.victims {
			e.stats.Preempted++
			r.task.preemptions++
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
	counts := s.runsPerWorker()
	var plans []preemption
	for _, w := range p.workers {
		e.stats.WorkersEvaluated++
		if !s.eligible(w) || !s.hasPermit(w, e.now) || w.reservedFor != nil || w.conflictsWith(s.def) || w.hasCapacityHold(e.now) {
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
func (e *Engine) victims(s *step, w *worker, want, running int) (victims []*run, tasks int) {
	var stoppable []*run
	for _, r := range w.runs {
		if r.state == runRunning && r.task != nil && e.mayPreempt(r, s) {
			stoppable = append(stoppable, r)
		}
	}
	// The run that began last goes first.
	slices.SortFunc(stoppable, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.orderedAt, a.orderedAt), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	free := w.free()
	tasks = min(want, s.tasksThatFit(free, running))
	for _, r := range stoppable {
		if tasks >= want {
			break
		}
		free = free.Add(r.allocation)
		victims = append(victims, r)
		if fit := min(want, s.tasksThatFit(free, running)); fit > tasks {
			tasks = fit
			continue
		}
	}
	if tasks == min(want, s.tasksThatFit(w.free(), running)) {
		return nil, tasks // stopping anything would not help
	}
	return victims, tasks
}

// mayPreempt reports whether a run may be stopped for a task of s: if it loses no work, its priority is lower, and its job has
// time left to make the pause good.
func (e *Engine) mayPreempt(r *run, s *step) bool {
	victim := r.task.step
	def := victim.def
	if r.task.preemptions >= maxPreemptions {
		return false
	}
	if victim.job.queue.Priority <= s.job.queue.Priority || !def.Checkpoints || def.Gang || def.LongRunning {
		return false
	}
	return victim.due.Sub(e.now) > time.Duration(minVictimSlack*float64(victim.job.objective))
}
