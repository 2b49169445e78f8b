package shard

import (
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

// status is a snapshot of the shard's state.
type status struct {
	totals scheduler.Totals
	// claimed is the number of claimed workers.
	claimed int
	workers []scheduler.WorkerView
	teams   []scheduler.TeamView
}

// readStatus requests a snapshot.
type readStatus struct {
	reply func(status)
}

func (ev readStatus) apply(c *controlLoop) {
	s := status{totals: c.sched.Totals(), workers: c.sched.Workers(), teams: c.sched.Teams()}
	for _, w := range c.workers {
		if w.claimed {
			s.claimed++
		}
	}
	ev.reply(s)
}

// explainTask requests the explanation of a task's state.
type explainTask struct {
	id    cell.TaskID
	reply func(scheduler.Explanation)
}

func (ev explainTask) apply(c *controlLoop) {
	x := c.sched.Explain(ev.id)
	if e := c.entries[ev.id]; e != nil {
		x.Found = true
		c.explainEntry(e, &x)
	}
	ev.reply(x)
}

// explainEntry adds to x what the owner knows and the scheduler does not.
func (c *controlLoop) explainEntry(e *taskEntry, x *scheduler.Explanation) {
	add := func(code cell.ReasonCode, detail string) {
		x.Chain = append(x.Chain, cell.Reason{Code: code, Detail: detail})
	}
	switch {
	case e.phase == phaseAcquiringIntent:
		x.State = scheduler.StateQueued
		add(cell.ReasonStoreUnavailable, "waits for its intent in the table")
	case e.phase == phaseAwaitingRecovery:
		x.State = scheduler.StateQueued
		add(cell.ReasonRecovering, "waits until every worker of the shard has been claimed")
	case e.phase == phaseQueued && c.configStale:
		add(cell.ReasonConfigStale, "the version in force can't be confirmed")
	case e.stopping:
		x.State = scheduler.StateStopping
		add(e.stopReason, "is being stopped")
	case e.resolving:
		x.State = scheduler.StatePlaced
		x.Worker = e.worker
		add(cell.ReasonInDoubt, "its worker is being asked what became of the attempt")
	}
	if e.retries > 0 {
		add(cell.ReasonWorkerLost, "earlier attempts did not bring an answer")
	}
}
