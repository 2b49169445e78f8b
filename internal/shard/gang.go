package shard

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

// isCompleteGang reports whether e belongs to a gang whose members all have an entry here, so that none has ended yet.
func (c *controlLoop) isCompleteGang(e *taskEntry) bool {
	return e.task.Kind == cell.KindGang && len(c.jobs[e.task.Job]) == e.task.GangSize
}

// abortGang stops the other members of e's gang, since e did not start, so that all members can start together later.
func (c *controlLoop) abortGang(e *taskEntry) {
	e.requeueAfterStop = true
	for _, id := range sortedKeys(c.jobs[e.task.Job]) {
		member := c.entries[id]
		if member == e || member.phase != phaseRunning || member.stopping {
			continue
		}
		member.requeueAfterStop = true
		c.stop(member, cell.ReasonGangReserved, stopNow)
	}
}

// requeueGang returns an aborted gang to the queue once no member of it runs any more.
func (c *controlLoop) requeueGang(now time.Time, job cell.JobID) {
	var items []scheduler.QueueItem
	for _, id := range sortedKeys(c.jobs[job]) {
		e := c.entries[id]
		switch {
		case e.phase == phaseRunning:
			return
		case e.awaitingGang:
			items = append(items, e.queueItem(now))
		}
	}
	for _, it := range items {
		c.entries[it.Task.ID].awaitingGang = false
	}
	c.sched.RequeueGang(now, items)
	c.schedulingNeeded = true
}

// requeueRemainingGang requeues the rest of an aborted gang after one of its members was removed.
func (c *controlLoop) requeueRemainingGang(job cell.JobID) {
	for id := range c.jobs[job] {
		if c.entries[id].awaitingGang {
			c.requeueGang(time.Now(), job)
			return
		}
	}
}
