package shard

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// stop ends a running entry's attempt, and the request with it unless the entry is to start again.
func (c *control) stop(e *entry, code cell.ReasonCode, mode platform.StopMode) {
	if e.stopping || c.state == stateSuperseded {
		return
	}
	e.stopping, e.stopCode = true, code
	c.sendStop(e, mode)
}

func (c *control) sendStop(e *entry, mode platform.StopMode) {
	w := c.workers[e.worker]
	if w == nil {
		return
	}
	ask := inquiry{p: c.p, worker: w.Worker, boot: e.boot, attempt: e.attempt, sentBoot: e.sentBoot}
	ev := stopDone{entry: e, attempt: e.attempt, mode: mode}
	go func() {
		ev.verdict = ask.stop(c.ctx, mode)
		c.box.post(ev)
	}()
}

// stopDone is what a stop brought.
type stopDone struct {
	entry   *entry
	attempt cell.Attempt
	mode    platform.StopMode
	verdict verdict
}

func (ev stopDone) apply(c *control) {
	e := ev.entry
	if c.entries[e.task.ID] != e || e.phase != phaseRunning || e.attempt != ev.attempt || e.over {
		return
	}
	switch ev.verdict {
	case verdictNotStarted:
		c.neverStarted(e)
	case verdictOver:
		c.stopConfirmed(e)
	case verdictFenced:
		fenced{detail: "a stop was fenced"}.apply(c)
	default:
		time.AfterFunc(c.p.RetryInterval, func() { c.box.post(stopAgain(ev)) })
	}
}

// stopAgain repeats a stop.
type stopAgain stopDone

func (ev stopAgain) apply(c *control) {
	e := ev.entry
	if c.entries[e.task.ID] == e && e.phase == phaseRunning && e.attempt == ev.attempt && !e.over {
		c.sendStop(e, ev.mode)
	}
}

// stopConfirmed handles a confirmed end. An open call is given a moment to bring the answer.
func (c *control) stopConfirmed(e *entry) {
	e.over, e.stopEnded, e.ran = true, true, true
	c.uncount(e)
	if !e.open {
		c.gone(e, "stopped")
		return
	}
	ev := graceOver{entry: e, call: e.call}
	time.AfterFunc(c.p.StopGrace, func() { c.box.post(ev) })
}

// graceOver ends the wait for a stopped attempt's answer.
type graceOver struct {
	entry *entry
	call  uint64
}

func (ev graceOver) apply(c *control) {
	if c.current(ev.entry, ev.call) {
		c.gone(ev.entry, "stopped")
	}
}
