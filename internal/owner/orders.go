package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
)

// Timing of orders to workers.
const (
	// orderRetryDelay is the delay after a failed attempt, for a worker whose calls fail at once.
	orderRetryDelay = 20 * time.Millisecond
	// maxStartWait bounds how long a start waits for its places. After that the engine decides anew.
	maxStartWait = dispatch.MaxStartWait
)

// newStartCall returns the call for a start order, without a deadline if it must not be sent. Its lease deadline is set when the control loop decides: the control loop gives
// up the run when that lease has expired, and a call that is delayed until then does nothing.
func (wc *workerConn) newStartCall(order dispatch.Start) StartCall {
	wc.starts.Add(1)
	mayBeSent := wc.prepareStart(order)
	call := StartCall{Start: order}
	if mayBeSent && !wc.leaseHeldBack.Load() {
		call.Deadline, _ = wc.lease.extend(wc.controller.now(), wc.controller.workerLeaseDuration()) // 0 while the worker's clock is not known
	}
	return call
}

// refuseStart posts the outcome of a start order that can't be sent.
func (wc *workerConn) refuseStart(order dispatch.Start) {
	wc.finishStart(order, 0, orderAnswer{outcome: dispatch.StartRefused}, &queuedOrder{})
}

// start sends a start order and posts its outcome.
func (wc *workerConn) start(order StartCall, queued *queuedOrder) {
	orderedAt := wc.controller.now()
	answer := wc.sendStart(order, queued)
	wc.finishStart(order.Start, wc.controller.now().Sub(orderedAt), answer, queued)
}

// finishStart logs and posts the outcome of a start order.
func (wc *workerConn) finishStart(order dispatch.Start, took time.Duration, answer orderAnswer, queued *queuedOrder) {
	c := wc.controller
	c.instruments.startTime.Update(took.Seconds())
	entry := c.Log.Info()
	if answer.outcome != dispatch.Started {
		entry = c.Log.Warn()
	}
	queued.logWait(entry)
	entry.Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Uint64("epoch", c.ownership.Epoch()).Str("worker", string(order.Worker)).Bool("copy", order.Copy).Str("outcome", answer.outcome.String()).Dur("took", took).Err(answer.err).Msg("run start")
	switch answer.outcome {
	case dispatch.StartInDoubt:
	case dispatch.Started:
		wc.noteAnsweredStart(order.RunKey, answer.clock)
	default:
		wc.unsettled.remove(order.RunKey)
	}
	c.post(func() {
		wc.forgetOrder(wc.queuedStarts, order.RunKey, queued)
		if queued.repeated {
			c.engine.HandleAttemptInDoubt(wc.worker.ID, order.RunKey)
		}
		c.engine.HandleStartOutcome(wc.worker.ID, order.RunKey, answer.outcome)
		c.handleOrderFailure(wc, answer.err)
	})
}

// startClass returns the class in which a start waits for a place: the callers of urgent jobs wait for it, the members of a
// gang wait for each other, and a long-running task is missing until its start.
func startClass(order dispatch.Start) flowcontrol.Class {
	switch {
	case order.Urgent || order.Gang:
		return flowcontrol.Urgent
	case order.LongRunning:
		return flowcontrol.Lasting
	}
	return flowcontrol.Normal
}

// sendStart sends a start order until it is answered or given up; a worker that has the run already answers that it has started.
// After several attempts only that answer is conclusive: an earlier attempt may yet be carried out, or its run may have ended. A start
// that must be sent once is given up when its attempt has failed. An order is not sent if it finds no place in time, or if what allowed it
// has ended by then: its permit, the ownership's validity or the extension of the worker's lease.
func (wc *workerConn) sendStart(call StartCall, queued *queuedOrder) orderAnswer {
	c := wc.controller
	notSent := orderAnswer{outcome: dispatch.StartNotSent}
	if !queued.await(maxStartWait) {
		return notSent
	}
	expired := call.PermitUntil > 0 && c.now() >= call.PermitUntil
	if expired || !c.ownershipValid() || wc.leaseHeldBack.Load() {
		wc.leavePlaces()
		return notSent
	}
	if queued.call.Waited() {
		wc.unsettled.add(call.Start, c.now())
	}
	mayRepeat := func() bool { return !call.Once && c.ownershipValid() && !wc.replaced.Load() }
	last, attempts := wc.sendOrder(mayRepeat, func(ctx context.Context) orderAnswer {
		attempt := call
		attempt.Token = wc.fencingToken.Load()
		var clock time.Duration
		attempt.ObserveClock = func(reading time.Duration) { clock = reading }
		outcome, err := c.Workers.Start(ctx, wc.target(), attempt)
		err = wc.overtakenError(err, attempt.Token)
		return orderAnswer{outcome: outcome, err: err, answered: outcome != dispatch.StartInDoubt, clock: clock}
	})
	queued.repeated = attempts > 1
	// A worker that restarted refuses this connection's token, after which it carries out none of the attempts. It may have before.
	superseded := errors.Is(last.err, ErrSuperseded) && !wc.replaced.Load()
	conclusive := last.outcome == dispatch.Started || errors.Is(last.err, ErrOtherIncarnation) || superseded
	switch {
	case !conclusive && attempts > 1:
		last.outcome = dispatch.StartInDoubt
	case errors.Is(last.err, errOvertaken):
		return notSent // the worker is not to blame
	}
	return last
}

// errWithdrawn means that a stop was not sent since its run ended, or its worker was given up, while it waited for its places.
var errWithdrawn = errors.New("owner: the run ended before the stop was sent")

// sendStop sends a stop order until it is answered or given up; the worker may carry it out more than once.
func (wc *workerConn) sendStop(key dispatch.RunKey, queued *queuedOrder) error {
	c := wc.controller
	if !queued.await(0) {
		return errWithdrawn
	}
	if queued.call.Waited() {
		c.post(func() { c.engine.HandleStopSent(wc.worker.ID, key) })
	}
	last, _ := wc.sendOrder(always, func(ctx context.Context) orderAnswer {
		token := wc.fencingToken.Load()
		err := wc.overtakenError(c.Workers.Stop(ctx, wc.target(), key, token), token)
		return orderAnswer{err: err, answered: !errors.Is(err, ErrNoAnswer)}
	})
	return last.err
}

// stop sends a stop order and posts its outcome.
func (wc *workerConn) stop(order dispatch.Stop, queued *queuedOrder) {
	c := wc.controller
	err := wc.sendStop(order.RunKey, queued)
	entry := c.Log.Info()
	queued.logWait(entry)
	entry.Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Str("worker", string(order.Worker)).Str("why", order.Reason).Err(err).Msg("run stop")
	c.post(func() {
		wc.forgetOrder(wc.queuedStops, order.RunKey, queued)
		if errors.Is(err, ErrNoConnection) {
			c.engine.HandleStopNotSent(wc.worker.ID, order.RunKey)
			return
		}
		// What an ended process acknowledged does not bind the next one.
		c.engine.HandleStopAnswer(wc.worker.ID, order.RunKey, err == nil && !wc.replaced.Load())
		wc.awaitsReport.Store(c.engine.AwaitsReport(wc.worker.ID))
		c.handleOrderFailure(wc, err)
	})
}

// handleOrderFailure handles an order's error: the worker or its process has ended, or another daemon owns the cell.
func (c *controller) handleOrderFailure(wc *workerConn, err error) {
	if c.workerConns[wc.worker.ID] != wc {
		return
	}
	switch {
	case errors.Is(err, ErrSuperseded):
		c.loseOwnership("worker has seen a higher epoch")
	case errors.Is(err, ErrOtherProcess):
		c.replaceWorkerConn(wc, wc.aliveAt, processRestarted)
	case errors.Is(err, ErrOtherIncarnation) && c.wasCalledAtItsAddress(wc):
		c.removeEndedWorker(wc, wc.endUnlessDraining(dispatch.WorkerCrashed), otherIncarnation)
	}
}
