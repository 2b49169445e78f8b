package shard

import (
	"context"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/scheduler"
)

// poisonWorkers is the number of workers that a task may fail on before it is given up.
const poisonWorkers = 3

// dispatch starts a placed entry on its worker.
func (c *control) dispatch(now time.Time, e *entry, d scheduler.Decision) {
	w := c.workers[d.Worker]
	if w == nil || !c.health.take(w.ID) {
		c.sched.Requeue(now, e.item(now))
		c.dirty = true
		return
	}
	if e.tries == 0 {
		c.budget.earn()
	}
	c.attempts++
	e.attempt = cell.Attempt{Task: e.task.ID, Epoch: c.p.Epoch, N: c.attempts}
	e.sentAt, e.startedAt, e.sentBoot = now, now, c.p.Clock.Now()
	e.waited = now.Sub(e.arrived)
	c.occupy(e, w)
	if !c.health.usable(w.ID) {
		c.refresh(w)
	}
	c.logDecision(e, "place", d.Reason)
	countStart(e.task.Class, e.waited)
	c.start(e, w)
}

// start sends the attempt and waits for its answer on another goroutine. The configuration is checked once more there,
// since time has passed since the decision.
func (c *control) start(e *entry, w *worker) {
	ctx, ev := c.open(e)
	target, boot, attempt, task := w.Worker, w.boot, e.attempt, e.task
	go func() {
		if _, fresh := c.p.Config(); !fresh {
			ev.stale = true
		} else {
			ev.reply = c.p.Runner.Start(ctx, target, boot, attempt, task, c.p.LeaseTTL)
		}
		c.box.post(ev)
	}()
}

// await waits for the answer of an attempt that a worker has reported.
func (c *control) await(e *entry) {
	w := c.workers[e.worker]
	if w == nil {
		return
	}
	ctx, ev := c.open(e)
	ev.await = true
	target, attempt := w.Worker, e.attempt
	go func() {
		ev.reply = c.p.Runner.Await(ctx, target, attempt)
		c.box.post(ev)
	}()
}

// open begins the one call that may bring e's answer and makes the replies of earlier calls void.
func (c *control) open(e *entry) (context.Context, answered) {
	if e.cancel != nil {
		e.cancel()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	e.cancel = cancel
	e.open = true
	e.call++
	return ctx, answered{entry: e, call: e.call}
}

// answered is the reply of a call that waited for an attempt's answer.
type answered struct {
	entry *entry
	call  uint64
	await bool
	// stale means that nothing was sent because the configuration could not be confirmed.
	stale bool
	reply platform.StartReply
}

func (ev answered) apply(c *control) {
	e := ev.entry
	if !c.current(e, ev.call) {
		lateAnswers.Inc()
		c.p.Logger.Debug().Str("task", string(e.task.ID)).Msg("late answer dropped")
		return
	}
	e.open = false
	if ev.stale {
		c.notStarted(e, string(cell.ReasonConfigStale))
		return
	}
	if ev.await && ev.reply.Result != platform.StartFinished {
		c.awaitFailed(e, ev.reply)
		return
	}
	switch ev.reply.Result {
	case platform.StartFinished:
		c.ranToEnd(e, ev.reply)
	case platform.StartAccepted:
		c.accepted(e)
	case platform.StartRefused, platform.StartNotSent:
		c.refused(e, ev.reply)
	case platform.StartFenced:
		c.drop(e, e.dropped(cell.ReasonSuperseded, retrySoon))
		fenced{detail: "a start was fenced: " + ev.reply.Detail}.apply(c)
	default:
		c.inDoubt(e, ev.reply.Detail)
	}
}

// current reports whether call is the one that e's answer is expected from.
func (c *control) current(e *entry, call uint64) bool {
	return c.entries[e.task.ID] == e && e.phase == phaseRunning && e.call == call
}

func (c *control) awaitFailed(e *entry, r platform.StartReply) {
	if e.over || r.Result == platform.StartRefused {
		c.gone(e, "its answer is no longer kept: "+r.Detail)
		return
	}
	c.settle(e)
}

func (c *control) accepted(e *entry) {
	e.accepted, e.ran = true, true
	c.noteHealth(e, true)
	if e.over {
		c.gone(e, "the worker ended")
	}
}

// inDoubt settles an attempt whose answer did not come whole.
func (c *control) inDoubt(e *entry, detail string) {
	if e.over {
		c.gone(e, detail)
		return
	}
	c.settle(e)
}

// ranToEnd handles a whole answer.
func (c *control) ranToEnd(e *entry, r platform.StartReply) {
	e.ran = true
	stopped := e.stopping
	if !stopped {
		c.noteHealth(e, !r.Failed)
	}
	out := cell.Outcome{Result: cell.ResultCompleted, Answer: r.Answer, Attempt: e.attempt, Worker: e.worker, Waited: e.waited}
	if !r.Failed {
		c.finish(e, out)
		return
	}
	out.Result = cell.ResultFailed
	out.Reason = cell.Reason{Code: cell.ReasonTaskFailed, Detail: r.Detail}
	if stopped {
		out.Reason = cell.Reason{Code: e.stopCode, Detail: "stopped while it ran"}
	}
	e.last = out
	e.failedOn = append(e.failedOn, e.worker)
	if c.mayRunAgain(e) {
		c.again(e, cell.ReasonTaskFailed)
		return
	}
	c.finish(e, out)
}

// mayRunAgain reports whether a task may run after an attempt that ran.
func (c *control) mayRunAgain(e *entry) bool {
	return e.task.Idempotent && e.task.Kind != cell.KindService && (!e.stopping || e.requeue) && len(e.failedOn) < poisonWorkers
}

// refused handles a start that did not happen.
func (c *control) refused(e *entry, r platform.StartReply) {
	if w := c.workers[e.worker]; w != nil {
		// The next claim tells whether the runner restarted or can't be reached.
		w.nextClaim = time.Time{}
		w.reachable = w.reachable && r.Result == platform.StartRefused
		c.refresh(w)
	}
	if r.Result == platform.StartRefused {
		c.noteHealth(e, false)
	}
	c.notStarted(e, r.Detail)
}

// notStarted handles an attempt that did not start and never will.
func (c *control) notStarted(e *entry, detail string) {
	if c.state == stateServing && !e.stopping && c.wholeGang(e) {
		c.abortGang(e)
	}
	c.p.Logger.Debug().Str("task", string(e.task.ID)).Str("worker", string(e.worker)).Str("detail", detail).Msg("attempt did not start")
	c.again(e, cell.ReasonWorkerLost)
}

// gone handles an attempt that is over without an answer.
func (c *control) gone(e *entry, detail string) {
	e.ran = true
	out := e.unknown(cell.ReasonWorkerLost, detail)
	switch {
	case len(e.waiters) == 0:
		c.remove(e)
	case e.stopEnded:
		out.Result, out.Reason = cell.ResultFailed, cell.Reason{Code: e.stopCode, Detail: "stopped while it ran"}
		if c.mayRunAgain(e) {
			c.again(e, e.stopCode)
			return
		}
		c.finish(e, out)
	case c.mayRunAgain(e):
		c.again(e, cell.ReasonWorkerLost)
	default:
		if e.accepted {
			out.Result = cell.ResultFailed
		}
		c.finish(e, out)
	}
}

// again returns an entry whose attempt is over to the queue, if its callers still wait and the budget allows it.
func (c *control) again(e *entry, code cell.ReasonCode) {
	now := time.Now()
	switch {
	case len(e.waiters) == 0:
		c.drop(e, e.dropped(code, 0))
	case e.stopping && !e.requeue:
		c.drop(e, e.dropped(e.stopCode, 0))
	case c.state != stateServing:
		c.drop(e, e.dropped(c.stateCode(), retrySoon))
	case !c.budget.spend(now):
		c.drop(e, e.dropped(cell.ReasonRetryBudget, retryLater))
	default:
		c.requeue(now, e)
	}
}

func (c *control) requeue(now time.Time, e *entry) {
	if w := c.workers[e.worker]; w != nil {
		c.vacate(e, w)
		e.avoidWorker(w)
	}
	requeuesTotal.Inc()
	earlier := e.adopted
	e.tries++
	e.adopted, e.accepted, e.over, e.settling, e.open = false, false, false, false, false
	e.regroup = e.requeue
	e.stopping, e.stopEnded, e.requeue = false, false, false
	e.endedReports = 0
	e.call++
	if earlier && !c.recovered() {
		// The owner that started the attempt may have started the next on a worker that is not claimed yet.
		c.sched.Release(e.task.ID)
		e.phase, e.keyed = phaseHeld, true
		c.dirty = true
		return
	}
	e.phase = phaseQueued
	if e.regroup {
		c.regroup(now, e.task.Job)
		return
	}
	c.sched.Requeue(now, e.item(now))
	c.dirty = true
}

// avoidWorker keeps the next attempt away from w and its rack if there is another.
func (e *entry) avoidWorker(w *worker) {
	if slices.Contains(e.avoid, w.ID) {
		return
	}
	e.avoid = append(e.avoid, w.ID)
	if w.Rack != "" {
		e.avoid = append(e.avoid, cell.WorkerID(w.Rack))
	}
}

// leaseOver handles a running entry whose lease is known to be over. A call that is still open is ended and may yet
// bring the answer.
func (c *control) leaseOver(e *entry, detail string) {
	e.over = true
	c.uncount(e)
	if e.open {
		e.cancel()
		return
	}
	c.gone(e, detail)
}
