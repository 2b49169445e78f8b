package shard

import (
	"time"

	"laburnumpoint/internal/cell"
)

// endedLease is a lease that a worker reported as ended, with its answer still there.
type endedLease struct {
	attempt cell.Attempt
	worker  cell.WorkerID
	boot    string
}

// readEnded remembers which ended leases the worker still has answers of.
func (c *control) readEnded(w *worker, leases []cell.Lease) {
	c.forgetEnded(w)
	for _, l := range leases {
		if l.Phase != cell.LeaseEnded {
			continue
		}
		have, ok := c.ended[l.Attempt.Task]
		if ok && later(have.attempt, l.Attempt) {
			continue
		}
		c.ended[l.Attempt.Task] = endedLease{attempt: l.Attempt, worker: w.ID, boot: w.boot}
		w.ended = append(w.ended, l.Attempt.Task)
	}
}

func (c *control) forgetEnded(w *worker) {
	for _, id := range w.ended {
		if c.ended[id].worker == w.ID {
			delete(c.ended, id)
		}
	}
	w.ended = w.ended[:0]
}

// adopt counts the leases that earlier owners started and joins the requests that were held for them.
func (c *control) adopt(w *worker, leases []cell.Lease) {
	for _, l := range leases {
		if l.Phase == cell.LeaseRunning && l.Attempt.Epoch != c.p.Epoch {
			c.adoptLease(w, l)
		}
	}
}

func (c *control) adoptLease(w *worker, l cell.Lease) {
	now := time.Now()
	e := c.entries[l.Attempt.Task]
	if e != nil && e.phase == phaseRunning {
		if e.attempt != l.Attempt {
			c.adoptTwin(w, l, now)
		}
		return
	}
	if e == nil {
		e = &entry{task: l.Task, arrived: now}
		c.add(e)
	} else if e.phase == phaseQueued {
		c.sched.Cancel(e.task.ID)
	}
	e.adopted, e.ran, e.keyed = true, true, false
	e.attempt = l.Attempt
	e.startedAt = now.Add(-l.Elapsed)
	c.sched.Adopt(l.Task, w.ID, e.startedAt)
	c.occupy(e, w)
	e.accepted = l.Task.Kind == cell.KindService
	if !e.accepted {
		// Also without a waiter, since the end of the lease frees capacity.
		c.await(e)
	}
}

// adoptTwin counts and stops a second lease of one task. No owner that follows the lease contract leaves one behind.
func (c *control) adoptTwin(w *worker, l cell.Lease, now time.Time) {
	c.p.Logger.Error().Str("task", string(l.Attempt.Task)).Str("worker", string(w.ID)).Msg("two leases of one task")
	twin := l.Task
	twin.ID = cell.TaskID(string(l.Attempt.Task) + "#" + string(w.ID))
	e := &entry{task: twin, arrived: now, adopted: true, ran: true, attempt: l.Attempt, startedAt: now}
	c.add(e)
	c.sched.Adopt(twin, w.ID, now)
	c.occupy(e, w)
	c.stop(e, cell.ReasonSuperseded, stopNow)
}

// occupy marks e as running on w.
func (c *control) occupy(e *entry, w *worker) {
	e.phase = phaseRunning
	e.worker, e.boot = w.ID, w.boot
	w.entries[e.task.ID] = e
}

// compare settles the attempts on w that the worker's report contradicts.
func (c *control) compare(w *worker, ev claimDone) {
	phases := make(map[cell.Attempt]cell.LeasePhase, len(ev.report.Leases))
	for _, l := range ev.report.Leases {
		phases[l.Attempt] = l.Phase
	}
	for _, id := range sortedKeys(w.entries) {
		e := w.entries[id]
		switch {
		case phases[e.attempt] == cell.LeaseRunning:
			e.ran = true
		case !e.settling && !e.over:
			c.missing(e, phases[e.attempt], ev)
		}
	}
}

// missing handles a running entry that its worker does not list as running.
func (c *control) missing(e *entry, phase cell.LeasePhase, ev claimDone) {
	switch {
	case e.adopted && !e.open && len(e.waiters) == 0:
		c.remove(e)
	case !e.open:
		c.settle(e)
	case phase != "":
		// The answer may be on its way; it is fetched again if the next report says the same.
		e.endedReports++
		if e.endedReports > 1 {
			c.settle(e)
		}
	case ev.sentAt.Sub(e.sentAt) > c.p.ReportGrace:
		c.settle(e)
	}
}

func later(a, b cell.Attempt) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.N > b.N
}
