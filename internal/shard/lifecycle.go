package shard

import "laburnumpoint/internal/cell"

// cancelChunk is the number of cancellations handled before other events get their turn.
const cancelChunk = 1000

// fenced says that another owner holds a higher epoch.
type fenced struct {
	detail string
}

func (ev fenced) apply(c *control) {
	if c.state == stateSuperseded {
		return
	}
	c.state = stateSuperseded
	supersededTotal.Inc()
	c.p.Logger.Warn().Str("shard", string(c.p.Shard)).Uint64("epoch", uint64(c.p.Epoch)).Str("detail", ev.detail).Msg("superseded")
	if c.p.OnSuperseded != nil {
		go c.p.OnSuperseded()
	}
	c.dropWaiting(cell.ReasonSuperseded)
	for _, id := range sortedKeys(c.entries) {
		e := c.entries[id]
		if e.task.Kind != cell.KindRequest || !e.open {
			c.answerAll(e, e.unknown(cell.ReasonSuperseded, "the attempt may run under the next owner"))
		}
	}
}

// beginRelease starts a hand-over.
type beginRelease struct{}

func (beginRelease) apply(c *control) {
	if c.state != stateServing {
		return
	}
	c.state = stateDraining
	c.dropWaiting(cell.ReasonDraining)
	for _, id := range sortedKeys(c.entries) {
		e := c.entries[id]
		if e.task.Kind != cell.KindRequest {
			c.answerAll(e, e.unknown(cell.ReasonDraining, "the attempt runs under the next owner"))
		}
	}
}

// endRelease ends the wait for running requests.
type endRelease struct{}

func (endRelease) apply(c *control) {
	for _, id := range sortedKeys(c.entries) {
		e := c.entries[id]
		c.answerAll(e, e.unknown(c.stateCode(), "the attempt runs under the next owner"))
	}
}

// dropWaiting answers everything that no attempt runs for.
func (c *control) dropWaiting(code cell.ReasonCode) {
	var waiting []*entry
	for _, id := range sortedKeys(c.entries) {
		if e := c.entries[id]; e.phase != phaseRunning {
			waiting = append(waiting, e)
		}
	}
	c.dropAll(waiting, code, retrySoon)
}

// cancelTasks cancels tasks in chunks, so that a wave of cancellations does not keep others from being placed.
type cancelTasks struct {
	ids   []cell.TaskID
	found int
	reply func(int)
}

func (ev *cancelTasks) apply(c *control) {
	n := min(cancelChunk, len(ev.ids))
	var waiting []*entry
	for _, id := range ev.ids[:n] {
		e := c.entries[id]
		if e == nil {
			continue
		}
		ev.found++
		if e.phase == phaseRunning {
			e.requeue = false
			c.stop(e, cell.ReasonCancelled, stopNow)
			continue
		}
		waiting = append(waiting, e)
	}
	c.dropAll(waiting, cell.ReasonCancelled, 0)
	ev.ids = ev.ids[n:]
	if len(ev.ids) == 0 || !c.box.post(ev) {
		ev.reply(ev.found)
	}
}

// cancelJob cancels every task of a job.
type cancelJob struct {
	job   cell.JobID
	reply func(int)
}

func (ev cancelJob) apply(c *control) {
	all := &cancelTasks{ids: sortedKeys(c.jobs[ev.job]), reply: ev.reply}
	all.apply(c)
}
