package shard

import (
	"context"
	"time"

	"laburnumpoint/internal/cell"
)

// add makes e known by its task and job.
func (c *control) add(e *entry) {
	c.entries[e.task.ID] = e
	if e.task.Job == "" {
		return
	}
	if c.jobs[e.task.Job] == nil {
		c.jobs[e.task.Job] = make(map[cell.TaskID]bool)
	}
	c.jobs[e.task.Job][e.task.ID] = true
}

// remove forgets e and what is counted for it. The caller has taken it off the queue.
func (c *control) remove(e *entry) {
	c.uncount(e)
	if e.regroup {
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
		c.regroupRest(e.task.Job)
	}
	if e.cancel != nil {
		e.cancel()
	}
}

// uncount releases the claim of a running entry once its attempt is known to be over.
func (c *control) uncount(e *entry) {
	if e.phase != phaseRunning {
		return
	}
	c.sched.Release(e.task.ID)
	if w := c.workers[e.worker]; w != nil {
		c.vacate(e, w)
	}
	c.dirty = true
}

// vacate takes e off w.
func (c *control) vacate(e *entry, w *worker) {
	delete(w.entries, e.task.ID)
	if c.health.put(w.ID) {
		c.refresh(w)
	}
}

// finish answers every waiter of e and forgets e.
func (c *control) finish(e *entry, out cell.Outcome) {
	if e.handle != nil && (out.Result == cell.ResultCompleted || out.Result == cell.ResultFailed) {
		c.p.Intents.RecordOutcome(*e.handle, out)
	}
	c.answerAll(e, out)
	c.remove(e)
}

// dropAll answers and forgets entries that no attempt runs for, taking them off the queue in one step.
func (c *control) dropAll(es []*entry, code cell.ReasonCode, retryAfter time.Duration) {
	var queued []cell.TaskID
	for _, e := range es {
		if e.phase == phaseQueued {
			queued = append(queued, e.task.ID)
		}
	}
	if len(queued) > 0 {
		c.sched.Cancel(queued...)
	}
	for _, e := range es {
		if c.entries[e.task.ID] == e {
			c.drop(e, e.dropped(code, retryAfter))
		}
	}
}

// drop answers every waiter of an entry that no attempt runs for and that is not queued, forgets it and returns its intent.
func (c *control) drop(e *entry, out cell.Outcome) {
	c.remove(e)
	if e.handle == nil || e.finishOnly || e.ran {
		c.answerAll(e, out)
		return
	}
	c.returning++
	waiters := e.waiters
	e.waiters = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.p.IntentReturnTimeout)
		defer cancel()
		// The write goes on in the background if it is late; the answer does not wait for it.
		_ = c.p.Intents.Return(ctx, *e.handle)
		for _, w := range waiters {
			w.answer(out)
		}
		c.box.post(intentReturned{})
	}()
}

// intentReturned says that an answer that waited for its intent has been given.
type intentReturned struct{}

func (intentReturned) apply(c *control) { c.returning-- }

func (c *control) answerAll(e *entry, out cell.Outcome) {
	for _, w := range e.waiters {
		w.answer(out)
	}
	if len(e.waiters) > 0 {
		c.logOutcome(e, out)
	}
	e.waiters = nil
}

func (c *control) logDecision(e *entry, what string, r cell.Reason) {
	c.p.Logger.Info().Str("decision", what).Str("caller", e.caller).Str("team", e.task.Team).Str("task", string(e.task.ID)).
		Str("shard", string(c.p.Shard)).Str("worker", string(e.worker)).Uint32("attempt", uint32(e.attempt.N)).
		Str("reason", r.String()).Dur("waited", e.waited).Msg("decision")
}

func (c *control) logOutcome(e *entry, out cell.Outcome) {
	c.p.Logger.Info().Str("result", string(out.Result)).Str("caller", e.caller).Str("team", e.task.Team).Str("task", string(e.task.ID)).
		Str("shard", string(c.p.Shard)).Str("worker", string(e.worker)).Uint32("attempt", uint32(e.attempt.N)).
		Str("reason", out.Reason.String()).Dur("waited", e.waited).Msg("outcome")
}
