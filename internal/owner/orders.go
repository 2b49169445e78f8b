package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/monotime"
)

// Timing of orders to workers.
const (
	// startTimeout and stopTimeout bound an order with all its attempts. A healthy worker answers within milliseconds.
	startTimeout = 700 * time.Millisecond
	stopTimeout  = 700 * time.Millisecond
	// orderAttemptTimeout bounds one attempt of an order: several times what a healthy worker takes, and short compared with the
	// objective of one second of the fastest jobs, whose wide steps wait for the slowest of their starts.
	orderAttemptTimeout = 110 * time.Millisecond
	// orderRetryDelay is the delay between two attempts, for a worker whose calls fail at once.
	orderRetryDelay = 20 * time.Millisecond
)

// newStartCall returns the call for a start order. Its lease deadline is set when the control loop decides: the control loop gives
// up the run when that lease has expired, and a call that is delayed until then does nothing.
func (wc *workerConn) newStartCall(order dispatch.Start) StartCall {
	deadline, _ := wc.lease.extend(wc.controller.now(), wc.controller.workerLeaseDuration()) // the deadline is 0 while the worker's clock is not known
	return StartCall{order, wc.controller.ownership.Epoch(), deadline}
}

// start sends a start order and posts its outcome. An order without a deadline, or after the ownership's validity, is not sent and
// counts as refused.
func (wc *workerConn) start(order StartCall) {
	c := wc.controller
	outcome, err := dispatch.StartRefused, error(nil)
	sentAt := c.now()
	if order.Deadline > 0 && c.ownershipValid() {
		outcome, err = wc.sendStart(order)
	}
	took := c.now().Sub(sentAt)
	c.instruments.startTime.Update(took.Seconds())
	entry := c.Log.Info()
	if outcome != dispatch.Started {
		entry = c.Log.Warn()
	}
	entry.Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Uint64("epoch", c.ownership.Epoch()).Str("worker", string(order.Worker)).Str("outcome", outcome.String()).Dur("took", took).Err(err).Msg("run start")
	c.post(func() {
		c.engine.HandleStartOutcome(wc.worker.ID, order.RunKey, outcome)
		c.handleOrderFailure(wc, err)
	})
}

// sendStart sends a start order until it is answered, for startTimeout at most; a worker that has the run already answers that it
// has started. After an attempt without an answer only that answer is conclusive: an earlier attempt may yet be carried out, or
// its run may have ended.
func (wc *workerConn) sendStart(call StartCall) (dispatch.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(wc.controller.ctx, startTimeout)
	defer cancel()
	for inDoubt := false; ; inDoubt = true {
		outcome, err := wc.tryStart(ctx, call)
		conclusive := outcome == dispatch.Started || errors.Is(err, ErrOtherIncarnation) || errors.Is(err, ErrSuperseded)
		if conclusive || (!inDoubt && outcome != dispatch.StartInDoubt) {
			return outcome, err
		}
		if outcome != dispatch.StartInDoubt || ctx.Err() != nil || !wc.controller.ownershipValid() {
			return dispatch.StartInDoubt, err
		}
		wc.controller.instruments.orderRetries.Inc()
		monotime.Sleep(ctx, orderRetryDelay)
	}
}

func (wc *workerConn) tryStart(ctx context.Context, call StartCall) (dispatch.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	return wc.controller.Workers.Start(ctx, wc.worker, call)
}

// sendStop sends a stop order until it is answered, for stopTimeout at most; the worker may carry it out more than once.
func (wc *workerConn) sendStop(key dispatch.RunKey) error {
	ctx, cancel := context.WithTimeout(wc.controller.ctx, stopTimeout)
	defer cancel()
	for {
		err := wc.tryStop(ctx, key)
		if !errors.Is(err, ErrNoAnswer) || ctx.Err() != nil {
			return err
		}
		wc.controller.instruments.orderRetries.Inc()
		monotime.Sleep(ctx, orderRetryDelay)
	}
}

func (wc *workerConn) tryStop(ctx context.Context, key dispatch.RunKey) error {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	return wc.controller.Workers.Stop(ctx, wc.worker, key, wc.controller.ownership.Epoch())
}

// stop sends a stop order and posts its outcome.
func (wc *workerConn) stop(order dispatch.Stop) {
	c := wc.controller
	err := wc.sendStop(order.RunKey)
	c.Log.Info().Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Str("worker", string(order.Worker)).Str("why", order.Reason).Err(err).Msg("run stop")
	c.post(func() {
		c.engine.HandleStopAnswer(wc.worker.ID, order.RunKey, err == nil)
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
		c.removeEndedWorker(wc, "another incarnation answers at its address")
	}
}
