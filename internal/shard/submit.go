package shard

import (
	"context"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/intent"
)

// intentTimeout bounds how long a request waits for the acquisition of its intent.
const intentTimeout = 3 * time.Second

// duplicateIDReason is the reason to refuse a request whose id belongs to another request.
var duplicateIDReason = cell.Reason{Code: cell.ReasonDuplicateKey, Detail: "the id belongs to another request"}

// submitRequest handles a new request.
type submitRequest struct {
	request Request
	waiter  *waiter
	// digestChecked means that the digest of the task's intent is not that of another request.
	digestChecked bool
}

func (ev submitRequest) apply(c *controlLoop) {
	r, w := ev.request, ev.waiter
	if c.state != stateServing {
		w.answer(refusalOutcome(r, c.stateReason()))
		return
	}
	if e := c.entries[r.Task.ID]; e != nil {
		if e.adopted && !r.Task.Idempotent && !ev.digestChecked {
			c.checkDigest(ev)
			return
		}
		c.joinEntry(e, r, w)
		return
	}
	if c.refusals.has(r.Task.ID, time.Now()) {
		w.answer(cell.NotRun(cell.Reason{Code: cell.ReasonFitsNowhere, Detail: "this shard refused the request before; it may run in another shard"}, 0))
		return
	}
	e := newEntry(r)
	// Whether an earlier send of a non-idempotent request ran is known only from its intent.
	e.maybeEarlierAttempt = r.MaybeResent && (!r.Task.Idempotent || !c.recovered())
	if reason := c.validate(r.Task); reason.Code != cell.ReasonNone {
		out := e.droppedOutcome(reason.Code, 0)
		out.Reason = reason
		w.answer(out)
		return
	}
	c.addEntry(e)
	c.addWaiter(e, w)
	if r.Task.Idempotent {
		c.admit(e)
		return
	}
	e.phase = phaseAcquiringIntent
	c.acquireIntent(e)
}

// validate returns why a task is not accepted under the configuration in force.
func (c *controlLoop) validate(t cell.Task) cell.Reason {
	c.updateConfig()
	if _, ok := c.configDoc.Teams[t.Team]; !ok && c.configVersion > 0 {
		return cell.Reason{Code: cell.ReasonInvalid, Detail: "unknown team " + t.Team}
	}
	return cell.Reason{}
}

// joinEntry adds a waiter to the entry that the request's id already has.
func (c *controlLoop) joinEntry(e *taskEntry, r Request, w *waiter) {
	if !sameRequest(e.task, r.Task, !e.adopted) {
		w.answer(cell.NotRun(duplicateIDReason, 0))
		return
	}
	if e.stopping && !e.requeueAfterStop {
		w.answer(e.unknownOutcome(e.stopReason, "the attempt is being stopped"))
		return
	}
	c.addWaiter(e, w)
	if e.adopted {
		// The task of a lease has no payload. The request's task has it, in case the task has to run again.
		e.task, e.caller = r.Task, r.Caller
	}
	if e.phase == phaseRunning && !e.callOpen && !e.resolving && !e.accepted {
		c.awaitAnswer(e)
	}
}

// addWaiter adds w to e and starts the timer of its deadline.
func (c *controlLoop) addWaiter(e *taskEntry, w *waiter) {
	e.waiters = append(e.waiters, w)
	if w.deadline.IsZero() {
		return
	}
	expired := waitEnded{id: e.task.ID, waiter: w, code: cell.ReasonDeadline}
	w.timer = time.AfterFunc(time.Until(w.deadline), func() { c.events.post(expired) })
}

// recovered reports whether every worker of the shard has been claimed under this epoch or is known to have been removed.
func (c *controlLoop) recovered() bool {
	if !c.workerListCurrent {
		return false
	}
	for _, w := range c.workers {
		if !w.everClaimed {
			return false
		}
	}
	return true
}

// admit queues e, lets it wait for the recovery, or joins it to an ended attempt of its task.
func (c *controlLoop) admit(e *taskEntry) {
	maybeEarlier := e.maybeEarlierAttempt || e.intentExisted
	// If the ended attempt failed there may be a later one; the task runs again only once every worker is claimed.
	if lease, ok := c.endedLeases[e.task.ID]; ok && maybeEarlier && lease.attempt != e.attempt {
		c.joinEndedAttempt(e, lease)
		return
	}
	if !c.workerListSeen || maybeEarlier && !c.recovered() {
		e.phase = phaseAwaitingRecovery
		return
	}
	if e.intentExisted {
		c.finish(e, e.unknownOutcome(cell.ReasonInDoubt, "an earlier attempt may have run"))
		return
	}
	e.maybeEarlierAttempt = false
	c.enqueue(e)
}

// enqueue hands e to the scheduler.
func (c *controlLoop) enqueue(e *taskEntry) {
	now := time.Now()
	ok, reason := c.sched.Enqueue(now, e.queueItem(now))
	if !ok {
		e.phase = phaseAwaitingRecovery
		c.drop(e, c.enqueueRefused(e, reason, now))
		return
	}
	e.phase = phaseQueued
	c.schedulingNeeded = true
}

// enqueueRefused returns the outcome of an entry that the scheduler refused. A request that fits on no worker of the shard is
// remembered, since it may now run in another shard. If it can't be remembered it is refused with another reason, so that it
// does not go to another shard.
func (c *controlLoop) enqueueRefused(e *taskEntry, reason cell.Reason, now time.Time) cell.Outcome {
	if reason.Code == cell.ReasonFitsNowhere && e.task.Kind == cell.KindRequest {
		if c.refusals.full(now) {
			reason = cell.Reason{Code: cell.ReasonQueueFull, Detail: "too many requests were refused recently because they fit nowhere"}
		} else {
			c.refusals.add(e.task.ID, now)
		}
	}
	out := e.droppedOutcome(reason.Code, 0)
	if reason.Code == cell.ReasonQueueFull {
		out.RetryAfter = longRetryAfter
	}
	out.Reason = reason
	return out
}

// admitRecovered admits the entries that wait for the recovery once it is complete.
func (c *controlLoop) admitRecovered() {
	if !c.recovered() {
		return
	}
	for _, id := range sortedKeys(c.entries) {
		if e := c.entries[id]; e.phase == phaseAwaitingRecovery {
			c.admit(e)
		}
	}
}

// keepOutcomeHandle keeps the handle of an intent that existed before, so that the outcome of the attempt that runs under it
// can be recorded.
func (e *taskEntry) keepOutcomeHandle(acquired intent.AcquireResult, err error) {
	if err == nil && acquired.Status == intent.Exists && e.intentHandle == nil {
		e.intentHandle, e.handleForOutcomeOnly = &acquired.Handle, true
	}
}

// checkDigest checks a request for a task that an earlier owner started against the task's intent. A lease has no payload, so
// that only the intent's digest shows whether the request is the same.
func (c *controlLoop) checkDigest(ev submitRequest) {
	r := ev.request
	timeout := intentTimeout
	if !r.Deadline.IsZero() {
		timeout = min(timeout, time.Until(r.Deadline))
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		acquired, err := c.params.Intents.Acquire(ctx, r.Task.ID, intent.Digest(r.Task), c.params.Epoch)
		c.returnIntent(acquired, err)
		switch {
		case err != nil:
			ev.waiter.answer(refusalOutcome(r, cell.ReasonStoreUnavailable))
		case acquired.Status == intent.DigestMismatch:
			ev.waiter.answer(cell.NotRun(duplicateIDReason, 0))
		default:
			ev.digestChecked = true
			if !c.events.post(ev) {
				ev.waiter.answer(refusalOutcome(r, cell.ReasonSuperseded))
			}
		}
	}()
}

// joinEndedAttempt fetches the answer of an attempt that is over.
func (c *controlLoop) joinEndedAttempt(e *taskEntry, l endedLease) {
	e.adopted, e.maybeRan, e.maybeEarlierAttempt = true, true, false
	e.attempt = l.attempt
	c.markRunning(e, c.workers[l.worker])
	c.awaitAnswer(e)
}

// acquireIntent acquires e's intent on another goroutine.
func (c *controlLoop) acquireIntent(e *taskEntry) {
	digest := intent.Digest(e.task)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, intentTimeout)
		defer cancel()
		acquired, err := c.params.Intents.Acquire(ctx, e.task.ID, digest, c.params.Epoch)
		if !c.events.post(intentResult{entry: e, acquired: acquired, err: err}) {
			c.returnIntent(acquired, err)
		}
	}()
}

// returnIntent returns a granted intent that is not going to be used.
func (c *controlLoop) returnIntent(acquired intent.AcquireResult, err error) {
	if err == nil && acquired.Status == intent.Granted {
		go func() { _ = c.params.Intents.Return(context.Background(), acquired.Handle) }()
	}
}

// intentResult is the result of acquiring an entry's intent.
type intentResult struct {
	entry    *taskEntry
	acquired intent.AcquireResult
	err      error
}

func (ev intentResult) apply(c *controlLoop) {
	e := ev.entry
	if c.entries[e.task.ID] != e || e.phase != phaseAcquiringIntent {
		c.returnIntent(ev.acquired, ev.err)
		e.keepOutcomeHandle(ev.acquired, ev.err)
		return
	}
	if ev.err != nil {
		e.phase = phaseAwaitingRecovery
		out := e.droppedOutcome(cell.ReasonStoreUnavailable, longRetryAfter)
		out.Reason.Detail = ev.err.Error()
		c.drop(e, out)
		return
	}
	handle := ev.acquired.Handle
	switch ev.acquired.Status {
	case intent.Granted:
		// The row was absent or returned, so that no earlier attempt can have run.
		e.intentHandle, e.maybeEarlierAttempt = &handle, false
	case intent.DigestMismatch:
		e.phase = phaseAwaitingRecovery
		c.drop(e, cell.NotRun(duplicateIDReason, 0))
		return
	case intent.Exists:
		e.intentHandle, e.handleForOutcomeOnly, e.intentExisted = &handle, true, true
		if ev.acquired.Record.Outcome != nil {
			e.phase = phaseAwaitingRecovery
			e.intentHandle = nil
			c.finish(e, *ev.acquired.Record.Outcome)
			return
		}
	}
	e.phase = phaseAwaitingRecovery
	c.admit(e)
}

// waitEnded means that a waiter's deadline passed or that its caller no longer waits.
type waitEnded struct {
	id     cell.TaskID
	waiter *waiter
	code   cell.ReasonCode
}

func (ev waitEnded) apply(c *controlLoop) {
	e := c.entries[ev.id]
	if e == nil || !e.removeWaiter(ev.waiter) {
		return
	}
	if e.phase == phaseRunning {
		out := e.unknownOutcome(ev.code, "the attempt had not ended")
		ev.waiter.answer(out)
		c.logOutcome(e, out)
		if len(e.waiters) == 0 && e.task.Idempotent && e.task.Kind == cell.KindRequest {
			c.stop(e, ev.code, stopNow)
		}
		return
	}
	if len(e.waiters) > 0 {
		ev.waiter.answer(e.droppedOutcome(ev.code, 0))
		return
	}
	e.waiters = []*waiter{ev.waiter}
	code := ev.code
	if e.phase == phaseAwaitingRecovery && e.maybeEarlierAttempt {
		code = cell.ReasonRecovering
	}
	c.dropAll([]*taskEntry{e}, code, 0)
}

// removeWaiter removes a waiter and reports whether it was there.
func (e *taskEntry) removeWaiter(w *waiter) bool {
	for i, have := range e.waiters {
		if have == w {
			e.waiters = append(e.waiters[:i:i], e.waiters[i+1:]...)
			return true
		}
	}
	return false
}
