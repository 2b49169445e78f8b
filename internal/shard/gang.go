package shard

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

// wholeGang reports whether e belongs to a gang of which every member is known here and none has ended yet.
func (c *control) wholeGang(e *entry) bool {
	return e.task.Kind == cell.KindGang && len(c.jobs[e.task.Job]) == e.task.GangSize
}

// abortGang stops the other members of a gang of which e did not start, so that all can start together later.
func (c *control) abortGang(e *entry) {
	e.requeue = true
	for _, id := range sortedKeys(c.jobs[e.task.Job]) {
		member := c.entries[id]
		if member == e || member.phase != phaseRunning || member.stopping {
			continue
		}
		member.requeue = true
		c.stop(member, cell.ReasonGangReserved, stopNow)
	}
}

// regroup returns an aborted gang to the queue once no member of it runs any more.
func (c *control) regroup(now time.Time, job cell.JobID) {
	var items []scheduler.QueueItem
	for _, id := range sortedKeys(c.jobs[job]) {
		e := c.entries[id]
		switch {
		case e.phase == phaseRunning:
			return
		case e.regroup:
			items = append(items, e.item(now))
		}
	}
	for _, it := range items {
		c.entries[it.Task.ID].regroup = false
	}
	c.sched.RequeueGang(now, items)
	c.dirty = true
}

// regroupRest goes on with an aborted gang after a member has left it.
func (c *control) regroupRest(job cell.JobID) {
	for id := range c.jobs[job] {
		if c.entries[id].regroup {
			c.regroup(time.Now(), job)
			return
		}
	}
}
