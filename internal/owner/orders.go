package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/monotime"
)

// Bounds of orders to workers.
const (
	// startTimeout and stopTimeout bound an order to a worker that answers within milliseconds when it is sound.
	startTimeout = 700 * time.Millisecond
	stopTimeout  = 700 * time.Millisecond
	// orderAttemptTimeout bounds one try of an order: several times what a sound worker takes, and short beside the objective of a
	// second of the quickest jobs, whose wide steps wait for the slowest of their starts.
	orderAttemptTimeout = 110 * time.Millisecond
	// orderRetryDelay is kept between two tries, for a worker that answers at once that it can't.
	orderRetryDelay = 20 * time.Millisecond
)

// newStartCall returns the call for a start order. The lease that it brings is fixed when the control loop decides, which gives
// the run up once that lease is over: a call that is held up until then does nothing.
func (l *workerConn) newStartCall(order dispatch.Start) StartCall {
	deadline, _ := l.lease.extend(l.controller.now(), l.controller.leaseLength()) // 0 while the worker's clock is not known
	return StartCall{order, l.controller.ownership.Epoch(), deadline}
}

// start carries out a start order.
func (l *workerConn) start(order StartCall) {
	c := l.controller
	outcome, err := dispatch.StartRefused, error(nil)
	now := c.now()
	if order.Deadline > 0 && c.valid() {
		outcome, err = l.sendStart(order)
	}
	took := c.now().Sub(now)
	c.instruments.startTime.Update(took.Seconds())
	entry := c.Log.Info()
	if outcome != dispatch.Started {
		entry = c.Log.Warn()
	}
	entry.Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Uint64("epoch", c.ownership.Epoch()).Str("worker", string(order.Worker)).Str("outcome", outcome.String()).Dur("took", took).Err(err).Msg("run start")
	c.post(func() {
		c.engine.HandleStartOutcome(l.worker.ID, order.RunKey, outcome)
		c.handleOrderFailure(l, err)
	})
}

// sendStart sends an order until it is answered, within startTimeout: a worker that has the run says so again. After a try
// without an answer only that is conclusive, since an earlier try may yet be carried out, or its run have ended.
func (l *workerConn) sendStart(call StartCall) (dispatch.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(l.controller.ctx, startTimeout)
	defer cancel()
	for doubted := false; ; doubted = true {
		outcome, err := l.tryStart(ctx, call)
		conclusive := outcome == dispatch.Started || errors.Is(err, ErrOtherIncarnation) || errors.Is(err, ErrSuperseded)
		if conclusive || (!doubted && outcome != dispatch.StartInDoubt) {
			return outcome, err
		}
		if outcome != dispatch.StartInDoubt || ctx.Err() != nil || !l.controller.valid() {
			return dispatch.StartInDoubt, err
		}
		l.controller.instruments.orderRetries.Inc()
		monotime.Sleep(ctx, orderRetryDelay)
	}
}

func (l *workerConn) tryStart(ctx context.Context, call StartCall) (dispatch.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	return l.controller.Workers.Start(ctx, l.worker, call)
}

// sendStop sends an order until it is answered, within stopTimeout; a stop may be carried out more than once.
func (l *workerConn) sendStop(key dispatch.RunKey) error {
	ctx, cancel := context.WithTimeout(l.controller.ctx, stopTimeout)
	defer cancel()
	for {
		err := l.tryStop(ctx, key)
		if !errors.Is(err, ErrNoAnswer) || ctx.Err() != nil {
			return err
		}
		l.controller.instruments.orderRetries.Inc()
		monotime.Sleep(ctx, orderRetryDelay)
	}
}

func (l *workerConn) tryStop(ctx context.Context, key dispatch.RunKey) error {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	return l.controller.Workers.Stop(ctx, l.worker, key, l.controller.ownership.Epoch())
}

// stop carries out a stop order.
func (l *workerConn) stop(order dispatch.Stop) {
	c := l.controller
	err := l.sendStop(order.RunKey)
	c.Log.Info().Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Str("worker", string(order.Worker)).Str("why", order.Reason).Err(err).Msg("run stop")
	c.post(func() {
		c.engine.HandleStopAnswer(l.worker.ID, order.RunKey, err == nil)
		c.handleOrderFailure(l, err)
	})
}

// handleOrderFailure takes in what an order's failure tells of the worker or of ownership.
func (c *controller) handleOrderFailure(l *workerConn, err error) {
	if c.workerConns[l.worker.ID] != l {
		return
	}
	switch {
	case errors.Is(err, ErrSuperseded):
		c.loseOwnership("worker has seen a higher epoch")
	case errors.Is(err, ErrOtherIncarnation):
		c.removeEndedWorker(l, "another life answers")
	}
}
