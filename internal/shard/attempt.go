package shard

import (
	"context"
	"fmt"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/scheduler"
)

// poisonThreshold is the number of failed attempts after which a task is not tried again; attempts that ended with their workers
// count by themselves.
const poisonThreshold = 3

// dispatch starts e on the worker that the scheduler chose.
func (c *controlLoop) dispatch(now time.Time, e *taskEntry, d scheduler.Decision) {
	w := c.workers[d.Worker]
	if w == nil || !c.health.countPlacement(w.ID) {
		c.sched.Requeue(now, e.queueItem(now))
		c.schedulingNeeded = true
		return
	}
	if e.retries == 0 {
		c.budget.earn()
	}
	c.lastAttempt++
	e.attempt = cell.Attempt{Task: e.task.ID, Epoch: c.params.Epoch, Number: c.lastAttempt}
	e.sentAt, e.startedAt, e.sentAtBootClock = now, now, c.params.Clock.Now()
	e.waited = now.Sub(e.arrived)
	c.markRunning(e, w)
	if !c.health.usable(w.ID) {
		c.publishWorker(w)
	}
	c.logDecision(e, "place", d.Reason)
	recordStart(e.task.Class, e.waited)
	c.sendStart(e, w)
}

// sendStart sends the start and waits for the attempt's answer, on another goroutine. The configuration is checked again
// there, since time has passed since the decision.
func (c *controlLoop) sendStart(e *taskEntry, w *worker) {
	ctx, ev := c.beginCall(e)
	target, bootID, attempt, task := w.Worker, w.bootID, e.attempt, e.task
	go func() {
		if _, fresh := c.params.Config(); !fresh {
			ev.configStale = true
		} else {
			ev.reply = c.params.Runner.Start(ctx, target, bootID, attempt, task, c.params.LeaseTTL)
		}
		c.events.post(ev)
	}()
}

// awaitAnswer waits for the answer of an attempt that a worker has reported.
func (c *controlLoop) awaitAnswer(e *taskEntry) {
	w := c.workers[e.worker]
	if w == nil {
		return
	}
	ctx, ev := c.beginCall(e)
	ev.awaitOnly = true
	target, attempt := w.Worker, e.attempt
	go func() {
		ev.reply = c.params.Runner.Await(ctx, target, attempt)
		c.events.post(ev)
	}()
}

// beginCall cancels the call that waits for e's answer and starts a new one. Replies of earlier calls are ignored.
func (c *controlLoop) beginCall(e *taskEntry) (context.Context, callDone) {
	if e.cancelCall != nil {
		e.cancelCall()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	e.cancelCall = cancel
	e.callOpen = true
	e.callNumber++
	return ctx, callDone{entry: e, callNumber: e.callNumber}
}

// callDone is the reply of a call that waited for an attempt's answer.
type callDone struct {
	entry      *taskEntry
	callNumber uint64
	// awaitOnly means that the call did not start the attempt but only waited for its answer.
	awaitOnly bool
	// configStale means that nothing was sent because the configuration could not be confirmed.
	configStale bool
	reply       platformapi.StartReply
}

func (ev callDone) apply(c *controlLoop) {
	e := ev.entry
	if !c.isCurrentCall(e, ev.callNumber) {
		lateAnswersTotal.Inc()
		c.params.Logger.Debug().Str("task", string(e.task.ID)).Msg("late answer dropped")
		return
	}
	e.callOpen = false
	if ev.configStale {
		c.attemptNotStarted(e, string(cell.ReasonConfigStale))
		return
	}
	if ev.awaitOnly && ev.reply.Result != platformapi.StartFinished {
		c.awaitFailed(e, ev.reply)
		return
	}
	switch ev.reply.Result {
	case platformapi.StartFinished:
		c.attemptFinished(e, ev.reply)
	case platformapi.StartAccepted:
		c.serviceStarted(e)
	case platformapi.StartRefused, platformapi.StartNotSent:
		c.startRefused(e, ev.reply)
	case platformapi.StartFenced:
		c.drop(e, e.droppedOutcome(cell.ReasonSuperseded, shortRetryAfter))
		superseded{detail: "a worker rejected a start: " + ev.reply.Detail}.apply(c)
	default:
		c.startInDoubt(e, ev.reply.Detail)
	}
}

// isCurrentCall reports whether callNumber is the call that e's answer is expected from.
func (c *controlLoop) isCurrentCall(e *taskEntry, callNumber uint64) bool {
	return c.entries[e.task.ID] == e && e.phase == phaseRunning && e.callNumber == callNumber
}

// awaitFailed handles a call that waited for the answer of a running attempt and brought none.
func (c *controlLoop) awaitFailed(e *taskEntry, r platformapi.StartReply) {
	if e.attemptEnded || r.Result == platformapi.StartRefused {
		c.attemptLost(e, "the worker no longer keeps its answer: "+r.Detail)
		return
	}
	c.resolve(e)
}

// serviceStarted handles a worker's confirmation that it runs a service.
func (c *controlLoop) serviceStarted(e *taskEntry) {
	e.accepted, e.maybeRan = true, true
	c.recordAttemptResult(e, true)
	if e.attemptEnded {
		c.attemptLost(e, "the worker ended")
	}
}

// startInDoubt handles a start of which it is not known whether it took effect.
func (c *controlLoop) startInDoubt(e *taskEntry, detail string) {
	if e.attemptEnded {
		c.attemptLost(e, detail)
		return
	}
	c.resolve(e)
}

// attemptFinished handles the complete answer of an attempt.
func (c *controlLoop) attemptFinished(e *taskEntry, r platformapi.StartReply) {
	e.maybeRan = true
	stopped := e.stopping
	if !stopped {
		c.recordAttemptResult(e, !r.Failed)
	}
	out := cell.Outcome{Result: cell.ResultCompleted, Answer: r.Answer, Attempt: e.attempt, Worker: e.worker, Waited: e.waited}
	if !r.Failed {
		c.finish(e, out)
		return
	}
	out.Result = cell.ResultFailed
	out.Reason = cell.Reason{Code: cell.ReasonTaskFailed, Detail: r.Detail}
	if stopped {
		out.Reason = cell.Reason{Code: e.stopReason, Detail: "stopped while it ran"}
	}
	e.lastFailure = out
	e.failedOn = append(e.failedOn, e.worker)
	if c.mayRunAgain(e) {
		c.retryOrDrop(e, cell.ReasonTaskFailed)
		return
	}
	c.finish(e, out)
}

// mayRunAgain reports whether a task may have another attempt after one that ran.
func (c *controlLoop) mayRunAgain(e *taskEntry) bool {
	return e.task.Idempotent && e.task.Kind != cell.KindService && (!e.stopping || e.requeueAfterStop) && len(e.failedOn) < poisonThreshold &&
		e.lostAttempts < poisonThreshold
}

// startRefused handles a start that did not happen.
func (c *controlLoop) startRefused(e *taskEntry, r platformapi.StartReply) {
	if w := c.workers[e.worker]; w != nil {
		// The next claim shows whether the runner restarted or can't be reached.
		w.nextClaimAt = time.Time{}
		w.reachable = w.reachable && r.Result == platformapi.StartRefused
		c.publishWorker(w)
	}
	if r.Result == platformapi.StartRefused {
		c.recordAttemptResult(e, false)
	}
	c.attemptNotStarted(e, r.Detail)
}

// attemptNotStarted handles an attempt that did not start and never will.
func (c *controlLoop) attemptNotStarted(e *taskEntry, detail string) {
	if c.state == stateServing && !e.stopping && c.isCompleteGang(e) {
		c.abortGang(e)
	}
	c.params.Logger.Debug().Str("task", string(e.task.ID)).Str("worker", string(e.worker)).Str("detail", detail).Msg("attempt did not start")
	c.retryOrDrop(e, cell.ReasonWorkerLost)
}

// attemptLost handles an attempt that has ended without an answer.
func (c *controlLoop) attemptLost(e *taskEntry, detail string) {
	e.maybeRan = true
	if e.workerEnded && !e.stopConfirmed {
		e.lostAttempts++
	}
	out := e.unknownOutcome(cell.ReasonWorkerLost, detail)
	if e.lostAttempts >= poisonThreshold {
		out.Reason = cell.Reason{Code: cell.ReasonGivenUp, Detail: fmt.Sprintf("%d workers ended while they ran it", e.lostAttempts)}
		out.RetryAfter = 0
	}
	switch {
	case len(e.waiters) == 0:
		c.removeEntry(e)
	case e.stopConfirmed:
		out.Result, out.Reason = cell.ResultFailed, cell.Reason{Code: e.stopReason, Detail: "stopped while it ran"}
		if c.mayRunAgain(e) {
			c.retryOrDrop(e, e.stopReason)
			return
		}
		c.finish(e, out)
	case c.mayRunAgain(e):
		c.retryOrDrop(e, cell.ReasonWorkerLost)
	default:
		if e.accepted {
			out.Result = cell.ResultFailed
		}
		c.finish(e, out)
	}
}

// retryOrDrop requeues an entry whose attempt is over if its callers still wait and the retry budget allows it. Otherwise
// it drops the entry; code is the reason if nobody waits.
func (c *controlLoop) retryOrDrop(e *taskEntry, code cell.ReasonCode) {
	now := time.Now()
	switch {
	case len(e.waiters) == 0:
		c.drop(e, e.droppedOutcome(code, 0))
	case e.stopping && !e.requeueAfterStop:
		c.drop(e, e.droppedOutcome(e.stopReason, 0))
	case c.state != stateServing:
		c.drop(e, e.droppedOutcome(c.stateReason(), shortRetryAfter))
	case !c.budget.spend(now):
		c.drop(e, e.droppedOutcome(cell.ReasonRetryBudget, longRetryAfter))
	default:
		c.requeue(now, e)
	}
}

// requeue resets e for another attempt and returns it to the queue.
func (c *controlLoop) requeue(now time.Time, e *taskEntry) {
	if w := c.workers[e.worker]; w != nil {
		c.removeFromWorker(e, w)
		e.avoidWorker(w)
	}
	requeuesTotal.Inc()
	wasAdopted := e.adopted
	e.retries++
	e.adopted, e.accepted, e.attemptEnded, e.workerEnded, e.resolving, e.callOpen = false, false, false, false, false, false
	e.awaitingGang = e.requeueAfterStop
	e.stopping, e.stopConfirmed, e.requeueAfterStop = false, false, false
	e.endedReports = 0
	e.callNumber++
	if wasAdopted && !c.recovered() {
		// The owner that started the attempt may have started the next one on a worker that is not claimed yet.
		c.sched.Release(e.task.ID)
		e.phase, e.maybeEarlierAttempt = phaseAwaitingRecovery, true
		c.schedulingNeeded = true
		return
	}
	e.phase = phaseQueued
	if e.awaitingGang {
		c.requeueGang(now, e.task.Job)
		return
	}
	c.sched.Requeue(now, e.queueItem(now))
	c.schedulingNeeded = true
}

// avoidWorker makes the scheduler avoid w and its rack for the next attempt, if there are others.
func (e *taskEntry) avoidWorker(w *worker) {
	if slices.Contains(e.avoid, w.ID) {
		return
	}
	e.avoid = append(e.avoid, w.ID)
	if w.Rack != "" {
		e.avoid = append(e.avoid, cell.WorkerID(w.Rack))
	}
}

// leaseEnded handles a running entry whose lease is known to have ended with its worker. A call that is still open is cancelled; its reply,
// which may still be the answer, is waited for. planned means that the worker was known to leave.
func (c *controlLoop) leaseEnded(e *taskEntry, detail string, planned bool) {
	e.attemptEnded, e.workerEnded = true, !planned
	c.releaseCapacity(e)
	if e.callOpen {
		e.cancelCall()
		return
	}
	c.attemptLost(e, detail)
}
