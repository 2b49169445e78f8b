package shard

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// stop stops a running entry's attempt. The request ends with it, unless the entry is to be requeued.
func (c *controlLoop) stop(e *taskEntry, code cell.ReasonCode, mode platformapi.StopMode) {
	if e.stopping || c.state == stateSuperseded {
		return
	}
	e.stopping, e.stopReason = true, code
	c.sendStop(e, mode)
}

// sendStop sends the stop on another goroutine.
func (c *controlLoop) sendStop(e *taskEntry, mode platformapi.StopMode) {
	w := c.workers[e.worker]
	if w == nil {
		return
	}
	q := inquiry{params: c.params, worker: w.Worker, bootID: e.bootID, attempt: e.attempt, sentAtBootClock: e.sentAtBootClock}
	ev := stopDone{entry: e, attempt: e.attempt, mode: mode}
	go func() {
		ev.result = q.stop(c.ctx, mode)
		c.events.post(ev)
	}()
}

// stopDone is the result of a stop call.
type stopDone struct {
	entry   *taskEntry
	attempt cell.Attempt
	mode    platformapi.StopMode
	result  inquiryResult
}

func (ev stopDone) apply(c *controlLoop) {
	e := ev.entry
	if c.entries[e.task.ID] != e || e.phase != phaseRunning || e.attempt != ev.attempt || e.attemptEnded {
		return
	}
	switch ev.result {
	case resultNotStarted:
		c.handleTombstone(e)
	case resultEnded, resultWorkerEnded:
		c.handleStopConfirmed(e)
	case resultFenced:
		superseded{detail: "a worker rejected a stop: it has seen a higher epoch"}.apply(c)
	default:
		time.AfterFunc(c.params.RetryInterval, func() { c.events.post(stopRetry(ev)) })
	}
}

// stopRetry makes the loop repeat a stop.
type stopRetry stopDone

func (ev stopRetry) apply(c *controlLoop) {
	e := ev.entry
	if c.entries[e.task.ID] == e && e.phase == phaseRunning && e.attempt == ev.attempt && !e.attemptEnded {
		c.sendStop(e, ev.mode)
	}
}

// handleStopConfirmed handles an attempt that the worker has confirmed to be over. An open call has StopGrace to bring the
// answer.
func (c *controlLoop) handleStopConfirmed(e *taskEntry) {
	e.attemptEnded, e.stopConfirmed, e.maybeRan = true, true, true
	c.releaseCapacity(e)
	if !e.callOpen {
		c.attemptLost(e, "stopped")
		return
	}
	ev := stopGraceExpired{entry: e, callNumber: e.callNumber}
	time.AfterFunc(c.params.StopGrace, func() { c.events.post(ev) })
}

// stopGraceExpired makes the loop stop waiting for a stopped attempt's answer.
type stopGraceExpired struct {
	entry      *taskEntry
	callNumber uint64
}

func (ev stopGraceExpired) apply(c *controlLoop) {
	if c.isCurrentCall(ev.entry, ev.callNumber) {
		c.attemptLost(ev.entry, "stopped")
	}
}
