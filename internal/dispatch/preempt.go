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
	claim graph.Claim
	until monotime.Instant
}

// promised returns the room of the worker that is kept for steps other than s.
func (w *worker) promised(s *step, now monotime.Instant) graph.Claim {
	if !w.isPromised(now) || w.promise.step == s {
		return graph.Claim{}
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
	type victimPlan struct {
		worker  *worker
		victims []*run
		tasks   int
	}
	var plans []victimPlan
	left := len(open)
	counts := s.onWorkers()
	for _, w := range p.workers {
		if left == 0 {
			break
		}
		e.stats.Looks++
		if !s.eligible(w) || !s.permitted(w, e.now) || w.reservedFor != nil || w.clashes(s.def) || w.isPromised(e.now) {
			continue
		}
		victims, tasks := e.victims(s, w, left, counts[w.ID])
		if tasks == 0 {
			continue
		}
		plans = append(plans, victimPlan{w, victims, tasks})
		left -= tasks
	}
	if left > 0 && s.def.Gang || len(plans) == 0 {
		return
	}
	s.preemptedAt = e.now
	for _, plan := range plans {
		plan.worker.promise = promise{s, s.def.Held().Times(plan.tasks), e.now.Add(holdRoom)}
		for _, r := range plan.victims {
			e.stats.Preempted++
			r.task.preempted++
			e.stop(r, "preempted by "+string(s.job.id))
		}
	}
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
