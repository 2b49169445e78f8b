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
	// orderTry bounds one try of an order: several times what a sound worker takes, and short beside the objective of a
	// second of the quickest jobs, whose wide steps wait for the slowest of their starts.
	orderTry = 110 * time.Millisecond
	// orderPause is kept between two tries, for a worker that answers at once that it can't.
	orderPause = 20 * time.Millisecond
)

// startCall returns the call for a start order. The lease that it brings is fixed when the control loop decides, which gives
// the run up once that lease is over: a call that is held up until then does nothing.
func (l *link) startCall(order dispatch.Start) StartCall {
	deadline, _ := l.lease.extend(l.c.now(), l.c.leaseLength()) // 0 while the worker's clock is not known
	return StartCall{order, l.c.tenure.Epoch(), deadline}
}

// start carries out a start order.
func (l *link) start(order StartCall) {
	c := l.c
	outcome, err := dispatch.StartRefused, error(nil)
	now := c.now()
	if order.Deadline > 0 && c.valid() {
		outcome, err = l.sendStart(order)
	}
	took := c.now().Sub(now)
	c.counts.startTime.Update(took.Seconds())
	entry := c.Log.Info()
	if outcome != dispatch.Started {
		entry = c.Log.Warn()
	}
	entry.Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Uint64("epoch", c.tenure.Epoch()).Str("worker", string(order.Worker)).Str("outcome", outcome.String()).Dur("took", took).Err(err).Msg("run start")
	c.post(func() {
		c.engine.HandleStartOutcome(l.worker.ID, order.RunKey, outcome)
		c.callFailed(l, err)
	})
}

// sendStart sends an order until it is answered, within startTimeout: a worker that has the run says so again. After a try
// without an answer only that is conclusive, since an earlier try may yet be carried out, or its run have ended.
func (l *link) sendStart(call StartCall) (dispatch.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(l.c.ctx, startTimeout)
	defer cancel()
	for doubted := false; ; doubted = true {
		outcome, err := l.tryStart(ctx, call)
		conclusive := outcome == dispatch.Started || errors.Is(err, ErrOtherIncarnation) || errors.Is(err, ErrSuperseded)
		if conclusive || (!doubted && outcome != dispatch.StartInDoubt) {
			return outcome, err
		}
		if outcome != dispatch.StartInDoubt || ctx.Err() != nil || !l.c.valid() {
			return dispatch.StartInDoubt, err
		}
		l.c.counts.orderRetries.Inc()
		monotime.Sleep(ctx, orderPause)
	}
}

func (l *link) tryStart(ctx context.Context, call StartCall) (dispatch.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTry)
	defer cancel()
	return l.c.Workers.Start(ctx, l.worker, call)
}

// sendStop sends an order until it is answered, within stopTimeout; a stop may be carried out more than once.
func (l *link) sendStop(key dispatch.RunKey) error {
	ctx, cancel := context.WithTimeout(l.c.ctx, stopTimeout)
	defer cancel()
	for {
		err := l.tryStop(ctx, key)
		if !errors.Is(err, ErrNoAnswer) || ctx.Err() != nil {
			return err
		}
		l.c.counts.orderRetries.Inc()
		monotime.Sleep(ctx, orderPause)
	}
}

func (l *link) tryStop(ctx context.Context, key dispatch.RunKey) error {
	ctx, cancel := context.WithTimeout(ctx, orderTry)
	defer cancel()
	return l.c.Workers.Stop(ctx, l.worker, key, l.c.tenure.Epoch())
}

// stop carries out a stop order.
func (l *link) stop(order dispatch.Stop) {
	c := l.c
	err := l.sendStop(order.RunKey)
	c.Log.Info().Str("job", string(order.Task.Job)).Str("task", order.Task.String()).Uint64("run", order.Number).Str("worker", string(order.Worker)).Str("why", order.Reason).Err(err).Msg("run stop")
	c.post(func() {
		c.engine.HandleStopAnswer(l.worker.ID, order.RunKey, err == nil)
		c.callFailed(l, err)
	})
}

// callFailed takes in what an order's failure tells of the worker or of ownership.
func (c *control) callFailed(l *link, err error) {
	if c.links[l.worker.ID] != l {
		return
	}
	switch {
	case errors.Is(err, ErrSuperseded):
		c.lose("worker has seen a higher epoch")
	case errors.Is(err, ErrOtherIncarnation):
		c.workerEnded(l, "another life answers")
	}
}
