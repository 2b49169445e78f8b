package shard

import (
	"context"
	"time"

	"laburnumpoint/internal/cell"
)

// addEntry adds e to the entries and to its job.
func (c *controlLoop) addEntry(e *taskEntry) {
	c.entries[e.task.ID] = e
	if e.task.Job == "" {
		return
	}
	if c.jobs[e.task.Job] == nil {
		c.jobs[e.task.Job] = make(map[cell.TaskID]bool)
	}
	c.jobs[e.task.Job][e.task.ID] = true
}

// removeEntry removes e and releases its capacity. The caller has taken it off the queue.
func (c *controlLoop) removeEntry(e *taskEntry) {
	c.releaseCapacity(e)
	if e.awaitingGang {
		c.sched.Release(e.task.ID)
	}
	delete(c.entries, e.task.ID)
	if tasks := c.jobs[e.task.Job]; tasks != nil {
		delete(tasks, e.task.ID)
		if len(tasks) == 0 {
			delete(c.jobs, e.task.Job)
		}
	}
	if e.task.Kind == cell.KindGang {
		c.requeueRemainingGang(e.task.Job)
	}
	if e.cancelCall != nil {
		e.cancelCall()
	}
}

// releaseCapacity frees what a running entry takes of its worker's capacity. Its attempt is known to have ended.
func (c *controlLoop) releaseCapacity(e *taskEntry) {
	if e.phase != phaseRunning {
		return
	}
	c.sched.Release(e.task.ID)
	if w := c.workers[e.worker]; w != nil {
		c.removeFromWorker(e, w)
	}
	c.schedulingNeeded = true
}

// removeFromWorker removes e from w's entries. If e was the worker's probe, the worker can be probed again.
func (c *controlLoop) removeFromWorker(e *taskEntry, w *worker) {
	delete(w.entries, e.task.ID)
	if c.health.cancelProbe(w.ID) {
		c.publishWorker(w)
	}
}

// finish answers every waiter of e, records the outcome if e has an intent, and removes e.
func (c *controlLoop) finish(e *taskEntry, out cell.Outcome) {
	if e.intentHandle != nil && (out.Result == cell.ResultCompleted || out.Result == cell.ResultFailed) {
		c.params.Intents.RecordOutcome(*e.intentHandle, out)
	}
	c.answerWaiters(e, out)
	c.removeEntry(e)
}

// dropAll drops entries that no attempt runs for, after taking them off the queue in one step.
func (c *controlLoop) dropAll(entries []*taskEntry, code cell.ReasonCode, retryAfter time.Duration) {
	var queued []cell.TaskID
	for _, e := range entries {
		if e.phase == phaseQueued {
			queued = append(queued, e.task.ID)
		}
	}
	if len(queued) > 0 {
		c.sched.Cancel(queued...)
	}
	for _, e := range entries {
		if c.entries[e.task.ID] == e {
			c.drop(e, e.droppedOutcome(code, retryAfter))
		}
	}
}

// drop removes an entry that no attempt runs for and that is not queued, returns its intent and answers every waiter.
func (c *controlLoop) drop(e *taskEntry, out cell.Outcome) {
	c.removeEntry(e)
	if e.intentHandle == nil || e.handleForOutcomeOnly || e.maybeRan {
		c.answerWaiters(e, out)
		return
	}
	c.pendingReturns++
	waiters := e.waiters
	e.waiters = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.params.IntentReturnTimeout)
		defer cancel()
		// After the timeout the write goes on in the background and the answer is given without it.
		_ = c.params.Intents.Return(ctx, *e.intentHandle)
		for _, w := range waiters {
			w.answer(out)
		}
		c.events.post(intentReturned{})
	}()
}

// intentReturned notifies the loop that an answer that waited for the return of its intent has been given.
type intentReturned struct{}

func (intentReturned) apply(c *controlLoop) { c.pendingReturns-- }

// answerWaiters answers every waiter of e with out.
func (c *controlLoop) answerWaiters(e *taskEntry, out cell.Outcome) {
	for _, w := range e.waiters {
		w.answer(out)
	}
	if len(e.waiters) > 0 {
		c.logOutcome(e, out)
	}
	e.waiters = nil
}

func (c *controlLoop) logDecision(e *taskEntry, kind string, r cell.Reason) {
	c.params.Logger.Info().Str("decision", kind).Str("caller", e.caller).Str("team", e.task.Team).Str("task", string(e.task.ID)).
		Str("shard", string(c.params.Shard)).Str("worker", string(e.worker)).Uint32("attempt", uint32(e.attempt.Number)).
		Str("reason", r.String()).Dur("waited", e.waited).Msg("decision")
}

func (c *controlLoop) logOutcome(e *taskEntry, out cell.Outcome) {
	c.params.Logger.Info().Str("result", string(out.Result)).Str("caller", e.caller).Str("team", e.task.Team).Str("task", string(e.task.ID)).
		Str("shard", string(c.params.Shard)).Str("worker", string(e.worker)).Uint32("attempt", uint32(e.attempt.Number)).
		Str("reason", out.Reason.String()).Dur("waited", e.waited).Msg("outcome")
}
