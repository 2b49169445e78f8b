package shard

import "laburnumpoint/internal/cell"

// cancelBatchSize is the number of cancellations that are handled before other events.
const cancelBatchSize = 1000

// superseded means that another owner has a higher epoch.
type superseded struct {
	detail string
}

func (ev superseded) apply(c *controlLoop) {
	if c.state == stateSuperseded {
		return
	}
	c.state = stateSuperseded
	supersededTotal.Inc()
	c.params.Logger.Warn().Str("shard", string(c.params.Shard)).Uint64("epoch", uint64(c.params.Epoch)).Str("detail", ev.detail).Msg("superseded")
	if c.params.OnSuperseded != nil {
		go c.params.OnSuperseded()
	}
	c.dropWaiting(cell.ReasonSuperseded)
	for _, id := range sortedKeys(c.entries) {
		e := c.entries[id]
		if e.task.Kind != cell.KindRequest || !e.callOpen {
			c.answerWaiters(e, e.unknownOutcome(cell.ReasonSuperseded, "the attempt may run under the next owner"))
		}
	}
}

// beginRelease starts the release of the shard.
type beginRelease struct{}

func (beginRelease) apply(c *controlLoop) {
	if c.state != stateServing {
		return
	}
	c.state = stateDraining
	c.dropWaiting(cell.ReasonDraining)
	for _, id := range sortedKeys(c.entries) {
		e := c.entries[id]
		if e.task.Kind != cell.KindRequest {
			c.answerWaiters(e, e.unknownOutcome(cell.ReasonDraining, "the attempt runs under the next owner"))
		}
	}
}

// endRelease answers the requests that still run, so that the release ends.
type endRelease struct{}

func (endRelease) apply(c *controlLoop) {
	for _, id := range sortedKeys(c.entries) {
		e := c.entries[id]
		c.answerWaiters(e, e.unknownOutcome(c.stateReason(), "the attempt runs under the next owner"))
	}
}

// dropWaiting drops every entry that no attempt runs for.
func (c *controlLoop) dropWaiting(code cell.ReasonCode) {
	var waiting []*taskEntry
	for _, id := range sortedKeys(c.entries) {
		if e := c.entries[id]; e.phase != phaseRunning {
			waiting = append(waiting, e)
		}
	}
	c.dropAll(waiting, code, shortRetryAfter)
}

// cancelTasks cancels tasks in batches, so that many cancellations do not delay the placement of other tasks.
type cancelTasks struct {
	ids   []cell.TaskID
	found int
	reply func(int)
}

func (ev *cancelTasks) apply(c *controlLoop) {
	n := min(cancelBatchSize, len(ev.ids))
	var waiting []*taskEntry
	for _, id := range ev.ids[:n] {
		e := c.entries[id]
		if e == nil {
			continue
		}
		ev.found++
		if e.phase == phaseRunning {
			e.requeueAfterStop = false
			c.stop(e, cell.ReasonCancelled, stopNow)
			continue
		}
		waiting = append(waiting, e)
	}
	c.dropAll(waiting, cell.ReasonCancelled, 0)
	ev.ids = ev.ids[n:]
	if len(ev.ids) == 0 || !c.events.post(ev) {
		ev.reply(ev.found)
	}
}

// cancelJob cancels every task of a job.
type cancelJob struct {
	job   cell.JobID
	reply func(int)
}

func (ev cancelJob) apply(c *controlLoop) {
	cancel := &cancelTasks{ids: sortedKeys(c.jobs[ev.job]), reply: ev.reply}
	cancel.apply(c)
}
