package shard

import (
	"time"

	"laburnumpoint/internal/cell"
)

// endedLease is a lease that a worker reported as ended. The worker still has its answer.
type endedLease struct {
	attempt cell.Attempt
	worker  cell.WorkerID
	bootID  string
}

// recordEndedLeases replaces the ended leases known of w by those of its latest report.
func (c *controlLoop) recordEndedLeases(w *worker, leases []cell.Lease) {
	c.forgetEndedLeases(w)
	for _, l := range leases {
		if l.Phase != cell.LeaseEnded {
			continue
		}
		have, ok := c.endedLeases[l.Attempt.Task]
		if ok && isLater(have.attempt, l.Attempt) {
			continue
		}
		c.endedLeases[l.Attempt.Task] = endedLease{attempt: l.Attempt, worker: w.ID, bootID: w.bootID}
		w.endedTasks = append(w.endedTasks, l.Attempt.Task)
	}
}

func (c *controlLoop) forgetEndedLeases(w *worker) {
	for _, id := range w.endedTasks {
		if c.endedLeases[id].worker == w.ID {
			delete(c.endedLeases, id)
		}
	}
	w.endedTasks = w.endedTasks[:0]
}

// adoptLeases takes over the running leases that earlier owners started on w.
func (c *controlLoop) adoptLeases(w *worker, leases []cell.Lease) {
	for _, l := range leases {
		if l.Phase == cell.LeaseRunning && l.Attempt.Epoch != c.params.Epoch {
			c.adoptLease(w, l)
		}
	}
}

// adoptLease counts the capacity of a lease that an earlier owner started. A request for its task that already waits gets
// its answer.
func (c *controlLoop) adoptLease(w *worker, l cell.Lease) {
	now := time.Now()
	e := c.entries[l.Attempt.Task]
	if e != nil && e.phase == phaseRunning {
		if e.attempt != l.Attempt {
			c.stopDuplicateLease(w, l, now)
		}
		return
	}
	if e == nil {
		e = &taskEntry{task: l.Task, arrived: now}
		c.addEntry(e)
	} else if e.phase == phaseQueued {
		c.sched.Cancel(e.task.ID)
	}
	e.adopted, e.maybeRan, e.maybeEarlierAttempt = true, true, false
	e.attempt = l.Attempt
	e.startedAt = now.Add(-l.Elapsed)
	c.sched.Adopt(l.Task, w.ID, e.startedAt)
	c.markRunning(e, w)
	e.accepted = l.Task.Kind == cell.KindService
	if !e.accepted {
		// The answer is awaited even if nobody waits for it, since the end of the lease frees capacity.
		c.awaitAnswer(e)
	}
}

// stopDuplicateLease counts the capacity of a second lease of one task, under an id of its own, and stops it. Owners that
// follow the lease contract never leave one behind.
func (c *controlLoop) stopDuplicateLease(w *worker, l cell.Lease, now time.Time) {
	c.params.Logger.Error().Str("task", string(l.Attempt.Task)).Str("worker", string(w.ID)).Msg("two leases of one task")
	duplicate := l.Task
	duplicate.ID = cell.TaskID(string(l.Attempt.Task) + "#" + string(w.ID))
	e := &taskEntry{task: duplicate, arrived: now, adopted: true, maybeRan: true, attempt: l.Attempt, startedAt: now}
	c.addEntry(e)
	c.sched.Adopt(duplicate, w.ID, now)
	c.markRunning(e, w)
	c.stop(e, cell.ReasonSuperseded, stopNow)
}

// markRunning marks e as running on w.
func (c *controlLoop) markRunning(e *taskEntry, w *worker) {
	e.phase = phaseRunning
	e.worker, e.bootID = w.ID, w.bootID
	w.entries[e.task.ID] = e
}

// reconcile compares the entries on w with the worker's report and handles those that it does not list as running.
func (c *controlLoop) reconcile(w *worker, ev claimDone) {
	phases := make(map[cell.Attempt]cell.LeasePhase, len(ev.report.Leases))
	for _, l := range ev.report.Leases {
		phases[l.Attempt] = l.Phase
	}
	for _, id := range sortedKeys(w.entries) {
		e := w.entries[id]
		switch {
		case phases[e.attempt] == cell.LeaseRunning:
			e.maybeRan = true
		case !e.resolving && !e.attemptEnded:
			c.handleMissing(e, phases[e.attempt], ev)
		}
	}
}

// handleMissing handles a running entry that its worker does not list as running.
func (c *controlLoop) handleMissing(e *taskEntry, phase cell.LeasePhase, ev claimDone) {
	switch {
	case e.adopted && !e.callOpen && len(e.waiters) == 0:
		c.removeEntry(e)
	case !e.callOpen:
		c.resolve(e)
	case phase != "":
		// The answer may be on its way. The worker is queried only if its next report shows the same.
		e.endedReports++
		if e.endedReports > 1 {
			c.resolve(e)
		}
	case ev.sentAt.Sub(e.sentAt) > c.params.ReportGrace:
		c.resolve(e)
	}
}

// isLater reports whether a started after b.
func isLater(a, b cell.Attempt) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Number > b.Number
}
