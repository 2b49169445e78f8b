package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
)

// Timing of orders to workers.
const (
	// orderRetryDelay is the delay after a failed attempt, for a worker whose calls fail at once.
	orderRetryDelay = 20 * time.Millisecond
	// maxPlaceWait bounds how long an order waits for a place among those under way. After that the engine decides anew.
	maxPlaceWait = 1 * time.Second
)

// newStartCall returns the call for a start order. Its lease deadline is set when the control loop decides: the control loop gives
// up the run when that lease has expired, and a call that is delayed until then does nothing.
func (wc *workerConn) newStartCall(order dispatch.Start) StartCall {
	wc.starts.Add(1)
	call := StartCall{Start: order, Token: wc.fencingToken}
	if !wc.leaseHeldBack.Load() {
		call.Deadline, _ = wc.lease.extend(wc.controller.now(), wc.controller.workerLeaseDuration()) // 0 while the worker's clock is not known
	}
	return call
}

// start sends a start order and posts its outcome. An order without a deadline is not sent and counts as refused.
func (wc *workerConn) start(order StartCall) {
	c := wc.controller
	outcome, err := dispatch.StartRefused, error(nil)
	orderedAt := c.now()
	if order.Deadline > 0 {
		outcome, err = wc.sendStart(order)
	}
	took := c.now().Sub(orderedAt)
	c.instruments.startTime.Update(took.Seconds())
	entry := c.Log.Info()
	if outcome != dispatch.Started {
		entry = c.Log.Warn()
	}
	entry.Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Uint64("epoch", c.ownership.Epoch()).Str("worker", string(order.Worker)).Bool("copy", order.Copy).Str("outcome", outcome.String()).Dur("took", took).Err(err).Msg("run start")
	c.post(func() {
		c.engine.HandleStartOutcome(wc.worker.ID, order.RunKey, outcome)
		c.handleOrderFailure(wc, err)
	})
}

// startClass returns the class in which a start waits for a place: the callers of urgent jobs wait for it, and the members of a
// gang wait for each other.
func startClass(order dispatch.Start) flowcontrol.Class {
	if order.Urgent || order.Gang {
		return flowcontrol.Urgent
	}
	return flowcontrol.Normal
}

// sendStart sends a start order until it is answered or given up; a worker that has the run already answers that it has started.
// After several attempts only that answer is conclusive: an earlier attempt may yet be carried out, or its run may have ended. An
// order that finds no place before its permit or the ownership's validity ends is not sent.
func (wc *workerConn) sendStart(call StartCall) (dispatch.StartOutcome, error) {
	c := wc.controller
	if !wc.enterGate(startClass(call.Start)) {
		return dispatch.StartNotSent, nil
	}
	expired := call.PermitUntil > 0 && c.now() >= call.PermitUntil
	if expired || !c.ownershipValid() {
		c.gate.Leave()
		return dispatch.StartNotSent, nil
	}
	mayRepeat := func() bool { return c.ownershipValid() && !wc.replaced.Load() }
	last, attempts := wc.sendOrder(mayRepeat, func(ctx context.Context) orderAnswer {
		outcome, err := c.Workers.Start(ctx, wc.worker, call)
		return orderAnswer{outcome: outcome, err: err, answered: outcome != dispatch.StartInDoubt}
	})
	// A worker that restarted refuses this connection's token, after which it carries out none of the attempts. It may have before.
	superseded := errors.Is(last.err, ErrSuperseded) && !wc.replaced.Load()
	conclusive := last.outcome == dispatch.Started || errors.Is(last.err, ErrOtherIncarnation) || superseded
	if !conclusive && attempts > 1 {
		return dispatch.StartInDoubt, last.err
	}
	return last.outcome, last.err
}

// sendStop sends a stop order until it is answered or given up; the worker may carry it out more than once.
func (wc *workerConn) sendStop(key dispatch.RunKey) error {
	if !wc.enterGate(flowcontrol.Stop) {
		return fmt.Errorf("%w: %w", ErrNoAnswer, flowcontrol.ErrNoPlace)
	}
	last, _ := wc.sendOrder(always, func(ctx context.Context) orderAnswer {
		err := wc.controller.Workers.Stop(ctx, wc.worker, key, wc.fencingToken)
		return orderAnswer{err: err, answered: !errors.Is(err, ErrNoAnswer)}
	})
	return last.err
}

// enterGate waits for a place among the orders under way, and reports whether the order may still be sent then.
func (wc *workerConn) enterGate(class flowcontrol.Class) bool {
	ctx, cancel := context.WithTimeout(wc.controller.ctx, maxPlaceWait)
	defer cancel()
	return wc.controller.gate.Enter(ctx, class) == nil
}

// stop sends a stop order and posts its outcome.
func (wc *workerConn) stop(order dispatch.Stop) {
	c := wc.controller
	err := wc.sendStop(order.RunKey)
	c.Log.Info().Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Str("worker", string(order.Worker)).Str("why", order.Reason).Err(err).Msg("run stop")
	c.post(func() {
		// What an ended process acknowledged does not bind the next one.
		c.engine.HandleStopAnswer(wc.worker.ID, order.RunKey, err == nil && !wc.replaced.Load())
		c.handleOrderFailure(wc, err)
	})
}

// handleOrderFailure handles an order's error: the worker has ended, or another daemon owns the cell.
func (c *controller) handleOrderFailure(wc *workerConn, err error) {
	if c.workerConns[wc.worker.ID] != wc {
		return
	}
	switch {
	case errors.Is(err, ErrSuperseded):
		c.loseOwnership("worker has seen a higher epoch")
	case errors.Is(err, ErrOtherIncarnation):
		c.removeEndedWorker(wc, wc.endUnlessDraining(dispatch.WorkerCrashed), "another incarnation answers at its address")
	}
}
