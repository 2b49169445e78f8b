package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Bounds of preemption. A task with checkpoints loses no work when it is stopped, only the time to stop and to resume.
const (
	// preemptionInterval is the least time between two preemptions for one step.
	preemptionInterval = 1 * time.Second
	// maxPreemptions bounds how often one task is preempted. Otherwise the tasks of a wide step could be stopped and resumed
	// again and again without progress.
	maxPreemptions = 2
	// typicalStopTime is about how long a stop takes. A step whose tasks fit sooner because other runs end needs no
	// preemption.
	typicalStopTime = 500 * time.Millisecond
	// minVictimSlack is the share of its objective that a job must have left for its tasks to be preempted.
	minVictimSlack = 0.5
	// preemptionHoldTime is how long preempted capacity is held for its step. It is longer than a stop takes.
	preemptionHoldTime = 1500 * time.Millisecond
)

// capacityHold is a part of a worker's capacity that is kept for one step until a given time.
type capacityHold struct {
	step   *step
	amount graph.Resources
	until  monotime.Instant
}

// inForce reports whether the hold has not expired and its step still needs it.
func (h *capacityHold) inForce(now monotime.Instant) bool {
	return now <= h.until && h.step.active && h.step.unplacedCount() > 0 && !h.step.limitBlocked
}

// heldForOthers returns the worker's resources that capacity holds keep for steps other than s.
func (w *worker) heldForOthers(s *step, now monotime.Instant) graph.Resources {
	var held graph.Resources
	for i := range w.capacityHolds {
		if h := &w.capacityHolds[i]; h.step != s && h.inForce(now) {
			held = held.Add(h.amount)
		}
	}
	return held
}

// hasCapacityHold reports whether a capacity hold on the worker is in force.
func (w *worker) hasCapacityHold(now monotime.Instant) bool {
	return slices.ContainsFunc(w.capacityHolds, func(h capacityHold) bool { return h.inForce(now) })
}

// isHeldFor reports whether a capacity hold for the step is in force on the worker.
func (w *worker) isHeldFor(s *step, now monotime.Instant) bool {
	return slices.ContainsFunc(w.capacityHolds, func(h capacityHold) bool { return h.step == s && h.inForce(now) })
}

// hold keeps a part of the worker's capacity for a step, in place of what was kept for it before.
func (w *worker) hold(h capacityHold, now monotime.Instant) {
	w.capacityHolds = slices.DeleteFunc(w.capacityHolds, func(old capacityHold) bool { return old.step == h.step || !old.inForce(now) })
	w.capacityHolds = append(w.capacityHolds, h)
}

// preempt stops tasks of lower priority to make capacity for the open tasks of s. For a gang it does so only if all of them
// then fit, for another step if some do.
func (e *Engine) preempt(s *step, p *pool, open []*task) {
	if s.job.lane == laneBeyondRate || (e.now.Sub(s.lastPreemptionAt) < preemptionInterval && s.lastPreemptionAt > 0) {
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
		plan.worker.hold(capacityHold{s, s.def.Allocation().Times(plan.tasks), e.now.Add(preemptionHoldTime)}, e.now)
		for _, r := range plan.victims {
			e.stats.Preempted++
			r.task.preemptions++
			e.stop(r, "preempted by job "+string(s.job.id))
		}
	}
}

// preemption lists the runs to stop on a worker so that the given number of a step's tasks fits there.
type preemption struct {
	worker  *worker
	victims []*run
	tasks   int
}

// preemptions returns the possible preemptions on the workers of a pool, each for up to want tasks of s. Those with the fewest
// stops per task come first, since each stop costs its victim the time to stop and to resume.
func (e *Engine) preemptions(s *step, p *pool, want int) []preemption {
	counts := s.runsPerWorker()
	var plans []preemption
	for _, w := range p.workers {
		e.stats.WorkersEvaluated++
		if !s.eligible(w) || !s.hasPermit(w, e.now) || w.reservedFor != nil || e.conflicts(s, w) || w.hasCapacityHold(e.now) || w.health.ejected || e.avoidsStrictly(s, w) {
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

// victims returns the runs to stop so that up to want tasks of s fit on the worker, and how many tasks then fit. That number
// includes tasks that fit into free capacity.
func (e *Engine) victims(s *step, w *worker, want, running int) (victims []*run, tasks int) {
	var stoppable []*run
	for _, r := range w.runs {
		if r.state == runRunning && r.task != nil && e.mayPreempt(r, s) {
			stoppable = append(stoppable, r)
		}
	}
	// The runs of jobs beyond their rate are stopped first, and of these the one that started last.
	slices.SortFunc(stoppable, func(a, b *run) int {
		return cmp.Or(b.task.step.job.lane-a.task.step.job.lane, cmp.Compare(b.orderedAt, a.orderedAt), cmp.Compare(a.Task.String(), b.Task.String()))
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

// mayPreempt reports whether a run may be stopped for a task of s: it loses no work, has a lower priority, and its job has
// enough time left to make up for the pause.
func (e *Engine) mayPreempt(r *run, s *step) bool {
	victim := r.task.step
	def := victim.def
	if r.task.preemptions >= maxPreemptions {
		return false
	}
	if !def.Checkpoints || def.Gang || def.LongRunning {
		return false
	}
	if victim.job.lane != s.job.lane {
		return victim.job.lane > s.job.lane // a job beyond its organisation's rate has no objective to meet
	}
	if victim.job.queue.Priority <= s.job.queue.Priority {
		return false
	}
	return victim.due.Sub(e.now) > time.Duration(minVictimSlack*float64(victim.job.objective))
}
