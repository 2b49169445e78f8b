package shard

import (
	"context"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/intent"
)

// intentWait bounds how long a request waits for its intent.
const intentWait = 3 * time.Second

// duplicateKey refuses a request whose id another request has.
var duplicateKey = cell.Reason{Code: cell.ReasonDuplicateKey, Detail: "the id belongs to another request"}

// submit takes a request in.
type submit struct {
	request Request
	waiter  *waiter
	// checked means that the intent was found to be of this request.
	checked bool
}

func (ev submit) apply(c *control) {
	r, w := ev.request, ev.waiter
	if c.state != stateServing {
		w.answer(refusal(r, c.stateCode()))
		return
	}
	if e := c.entries[r.Task.ID]; e != nil {
		if e.adopted && !r.Task.Idempotent && !ev.checked {
			c.checkDigest(ev)
			return
		}
		c.join(e, r, w)
		return
	}
	if c.refusals.has(r.Task.ID, time.Now()) {
		w.answer(cell.NotRun(cell.Reason{Code: cell.ReasonFitsNowhere, Detail: "refused here before; it may run in another shard"}, 0))
		return
	}
	e := newEntry(r)
	// Only the intent tells whether an earlier send of a non-idempotent request ran.
	e.keyed = r.MaybeResent && (!r.Task.Idempotent || !c.recovered())
	if reason := c.refuse(r.Task); reason.Code != cell.ReasonNone {
		out := e.dropped(reason.Code, 0)
		out.Reason = reason
		w.answer(out)
		return
	}
	c.add(e)
	c.wait(e, w)
	if r.Task.Idempotent {
		c.admit(e)
		return
	}
	e.phase = phaseIntent
	c.acquire(e)
}

// refuse returns why a task can't be taken in under the configuration in force.
func (c *control) refuse(t cell.Task) cell.Reason {
	c.readConfig()
	if _, ok := c.doc.Teams[t.Team]; !ok && c.version > 0 {
		return cell.Reason{Code: cell.ReasonInvalid, Detail: "unknown team " + t.Team}
	}
	return cell.Reason{}
}

// join adds a waiter to a known entry.
func (c *control) join(e *entry, r Request, w *waiter) {
	if !sameRequest(e.task, r.Task, !e.adopted) {
		w.answer(cell.NotRun(duplicateKey, 0))
		return
	}
	if e.stopping && !e.requeue {
		w.answer(e.unknown(e.stopCode, "the attempt is being stopped"))
		return
	}
	c.wait(e, w)
	if e.adopted {
		// The lease has no payload, and the task may have to run again.
		e.task, e.caller = r.Task, r.Caller
	}
	if e.phase == phaseRunning && !e.open && !e.settling && !e.accepted {
		c.await(e)
	}
}

// wait adds w to e and watches its deadline.
func (c *control) wait(e *entry, w *waiter) {
	e.waiters = append(e.waiters, w)
	if w.deadline.IsZero() {
		return
	}
	gone := waiterGone{id: e.task.ID, waiter: w, code: cell.ReasonDeadline}
	w.timer = time.AfterFunc(time.Until(w.deadline), func() { c.box.post(gone) })
}

// recovered reports whether every worker of the shard has been claimed under this epoch, or is known to be over.
func (c *control) recovered() bool {
	if !c.listedNow {
		return false
	}
	for _, w := range c.workers {
		if !w.everClaimed {
			return false
		}
	}
	return true
}

// admit queues e, holds it, or joins it to the attempt that was found for it.
func (c *control) admit(e *entry) {
	earlier := e.keyed || e.inDoubt
	// A failure fetched here does not hide a later attempt: the task runs again only once every worker is claimed.
	if lease, ok := c.ended[e.task.ID]; ok && earlier && lease.attempt != e.attempt {
		c.joinEnded(e, lease)
		return
	}
	if !c.listed || earlier && !c.recovered() {
		e.phase = phaseHeld
		return
	}
	if e.inDoubt {
		c.finish(e, e.unknown(cell.ReasonInDoubt, "an earlier attempt may have run"))
		return
	}
	e.keyed = false
	c.enqueue(e)
}

func (c *control) enqueue(e *entry) {
	now := time.Now()
	ok, reason := c.sched.Enqueue(now, e.item(now))
	if !ok {
		e.phase = phaseHeld
		c.drop(e, c.refusedBy(e, reason, now))
		return
	}
	e.phase = phaseQueued
	c.dirty = true
}

// refusedBy returns the outcome of an entry that the scheduler refused. A request that fits nowhere here is remembered,
// since it may now be run in another shard; if it can't be, it must not go there.
func (c *control) refusedBy(e *entry, reason cell.Reason, now time.Time) cell.Outcome {
	if reason.Code == cell.ReasonFitsNowhere && e.task.Kind == cell.KindRequest {
		if c.refusals.full(now) {
			reason = cell.Reason{Code: cell.ReasonQueueFull, Detail: "too many requests fitted nowhere lately"}
		} else {
			c.refusals.add(e.task.ID, now)
		}
	}
	out := e.dropped(reason.Code, 0)
	if reason.Code == cell.ReasonQueueFull {
		out.RetryAfter = retryLater
	}
	out.Reason = reason
	return out
}

// releaseHeld admits what was held, once every worker has been heard or is known to be over.
func (c *control) releaseHeld() {
	if !c.recovered() {
		return
	}
	for _, id := range sortedKeys(c.entries) {
		if e := c.entries[id]; e.phase == phaseHeld {
			c.admit(e)
		}
	}
}

// keepHandle lets the outcome of an attempt that was found running be recorded.
func (e *entry) keepHandle(grant intent.AcquireResult, err error) {
	if err == nil && grant.Status == intent.Exists && e.handle == nil {
		e.handle, e.finishOnly = &grant.Handle, true
	}
}

// checkDigest reads the intent of a request for a task that an earlier owner started. The lease does not tell what was asked,
// so that only the intent shows whether the request is the same.
func (c *control) checkDigest(ev submit) {
	r := ev.request
	wait := intentWait
	if !r.Deadline.IsZero() {
		wait = min(wait, time.Until(r.Deadline))
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, wait)
		defer cancel()
		grant, err := c.p.Intents.Acquire(ctx, r.Task.ID, intent.Digest(r.Task), c.p.Epoch)
		c.giveBack(grant, err)
		switch {
		case err != nil:
			ev.waiter.answer(refusal(r, cell.ReasonStoreUnavailable))
		case grant.Status == intent.DigestMismatch:
			ev.waiter.answer(cell.NotRun(duplicateKey, 0))
		default:
			ev.checked = true
			if !c.box.post(ev) {
				ev.waiter.answer(refusal(r, cell.ReasonSuperseded))
			}
		}
	}()
}

// joinEnded fetches the answer of an attempt that is over.
func (c *control) joinEnded(e *entry, l endedLease) {
	e.adopted, e.ran, e.keyed = true, true, false
	e.attempt = l.attempt
	c.occupy(e, c.workers[l.worker])
	c.await(e)
}

// acquire asks for e's intent.
func (c *control) acquire(e *entry) {
	digest := intent.Digest(e.task)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, intentWait)
		defer cancel()
		grant, err := c.p.Intents.Acquire(ctx, e.task.ID, digest, c.p.Epoch)
		if !c.box.post(intentDone{entry: e, grant: grant, err: err}) {
			c.giveBack(grant, err)
		}
	}()
}

// giveBack returns a granted intent that nobody waits for any more.
func (c *control) giveBack(grant intent.AcquireResult, err error) {
	if err == nil && grant.Status == intent.Granted {
		go func() { _ = c.p.Intents.Return(context.Background(), grant.Handle) }()
	}
}

// intentDone says what became of an entry's intent.
type intentDone struct {
	entry *entry
	grant intent.AcquireResult
	err   error
}

func (ev intentDone) apply(c *control) {
	e := ev.entry
	if c.entries[e.task.ID] != e || e.phase != phaseIntent {
		c.giveBack(ev.grant, ev.err)
		e.keepHandle(ev.grant, ev.err)
		return
	}
	if ev.err != nil {
		e.phase = phaseHeld
		out := e.dropped(cell.ReasonStoreUnavailable, retryLater)
		out.Reason.Detail = ev.err.Error()
		c.drop(e, out)
		return
	}
	handle := ev.grant.Handle
	switch ev.grant.Status {
	case intent.Granted:
		// The row was absent or returned, so that no earlier attempt can have run.
		e.handle, e.keyed = &handle, false
	case intent.DigestMismatch:
		e.phase = phaseHeld
		c.drop(e, cell.NotRun(duplicateKey, 0))
		return
	case intent.Exists:
		e.handle, e.finishOnly, e.inDoubt = &handle, true, true
		if ev.grant.Record.Outcome != nil {
			e.phase = phaseHeld
			e.handle = nil
			c.finish(e, *ev.grant.Record.Outcome)
			return
		}
	}
	e.phase = phaseHeld
	c.admit(e)
}

// waiterGone says that a waiter's deadline passed or that its caller went away.
type waiterGone struct {
	id     cell.TaskID
	waiter *waiter
	code   cell.ReasonCode
}

func (ev waiterGone) apply(c *control) {
	e := c.entries[ev.id]
	if e == nil || !e.drop(ev.waiter) {
		return
	}
	if e.phase == phaseRunning {
		out := e.unknown(ev.code, "the attempt was not over")
		ev.waiter.answer(out)
		c.logOutcome(e, out)
		if len(e.waiters) == 0 && e.task.Idempotent && e.task.Kind == cell.KindRequest {
			c.stop(e, ev.code, stopNow)
		}
		return
	}
	if len(e.waiters) > 0 {
		ev.waiter.answer(e.dropped(ev.code, 0))
		return
	}
	e.waiters = []*waiter{ev.waiter}
	code := ev.code
	if e.phase == phaseHeld && e.keyed {
		code = cell.ReasonRecovering
	}
	c.dropAll([]*entry{e}, code, 0)
}

// drop removes a waiter and reports whether it was there.
func (e *entry) drop(w *waiter) bool {
	for i, have := range e.waiters {
		if have == w {
			e.waiters = append(e.waiters[:i:i], e.waiters[i+1:]...)
			return true
		}
	}
	return false
}
