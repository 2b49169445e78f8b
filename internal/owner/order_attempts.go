package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/monotime"
)

// maxAttempts bounds the attempts of an order.
const maxAttempts = 6

// orderAnswer is the result of one attempt of an order.
type orderAnswer struct {
	// outcome is that of a start.
	outcome dispatch.StartOutcome
	// clock is the worker's clock in the answer to a start, 0 if it gave none.
	clock time.Duration
	err   error
	// answered means that the worker has answered or was not reached: the attempt leaves nothing in doubt.
	answered bool
}

// notSent means that the attempt found no connection. That says nothing about the worker.
func (a orderAnswer) notSent() bool {
	return a.outcome == dispatch.StartNotSent || errors.Is(a.err, ErrNoConnection)
}

// orderAttempts are the attempts of one order.
type orderAttempts struct {
	wc   *workerConn
	send func(context.Context) orderAnswer
	// mayRepeat reports whether the order may still be sent.
	mayRepeat func() bool
	answers   chan orderAnswer
	sentAt    monotime.Instant // when the first attempt was sent
	deadline  time.Time        // when the order is given up
	attempts  int
	// pending counts the attempts without a result.
	pending int
	// leave frees the place of the latest attempt. Calls after the first do nothing.
	leave func()
}

// always is the condition of orders that may be sent at any time.
func always() bool { return true }

// sendOrder sends an order, for which places have been taken, until one attempt is answered or the order is given up. An attempt
// goes on when the next is sent: its answer may only be late. sendOrder returns the answer and the number of attempts.
func (wc *workerConn) sendOrder(mayRepeat func() bool, send func(context.Context) orderAnswer) (orderAnswer, int) {
	c := wc.controller
	timeout := c.gate.Timeout()
	o := &orderAttempts{
		wc: wc, send: send, mayRepeat: mayRepeat, answers: make(chan orderAnswer, maxAttempts),
		sentAt: c.now(), deadline: time.Now().Add(timeout),
	}
	giveUp := time.NewTimer(timeout)
	defer giveUp.Stop()
	o.sendAttempt()
	repeat := time.NewTimer(o.repeatDelay())
	defer repeat.Stop()
	last := orderAnswer{outcome: dispatch.StartInDoubt, err: ErrNoAnswer}
	for {
		select {
		case last = <-o.answers:
			o.pending--
			if last.answered {
				o.leave()
				return last, o.attempts
			}
			if o.pending == 0 {
				if !o.mayRepeat() {
					o.leave()
					return last, o.attempts
				}
				repeat.Reset(orderRetryDelay)
			}
		case <-repeat.C:
			o.repeat()
			repeat.Reset(o.repeatDelay())
		case <-giveUp.C:
			o.leave()
			return last, o.attempts
		case <-c.ctx.Done():
			o.leave()
			return last, o.attempts
		}
	}
}

// repeat frees the place of the latest attempt, which may be lost, and sends another one if there is a place and budget for it.
func (o *orderAttempts) repeat() {
	o.leave()
	if o.attempts == maxAttempts || !o.mayRepeat() || !o.wc.controller.gate.EnterRepeat(o.wc.places) {
		return
	}
	c := o.wc.controller
	c.instruments.orderRetries.Inc()
	if closer, ok := c.Workers.(SilentConnCloser); ok {
		closer.CloseSilentConns(o.wc.worker, c.now().Sub(o.sentAt))
	}
	o.sendAttempt()
}

// sendAttempt sends the order, for which places have been taken. The worker's is kept until the call ends, since it keeps a connection.
func (o *orderAttempts) sendAttempt() {
	c := o.wc.controller
	o.attempts++
	o.pending++
	o.leave = sync.OnceFunc(c.gate.Leave)
	go func() {
		ctx, cancel := context.WithDeadline(c.ctx, o.deadline)
		defer cancel()
		sentAt := c.now()
		answer := o.send(ctx)
		c.gate.LeaveServer(o.wc.places)
		if c.ctx.Err() == nil && !answer.notSent() {
			o.wc.observeAnswer(c.now().Sub(sentAt), answer.answered, time.Now().Before(o.deadline))
		}
		o.answers <- answer
	}()
}

// repeatDelay returns the time from now to the next attempt.
func (o *orderAttempts) repeatDelay() time.Duration {
	return o.wc.controller.gate.RepeatDelay(o.attempts-1, o.wc.latestAnswer())
}

// observeAnswer notes the time of an attempt's result. An attempt that failed before the order was given up says nothing of how
// long answers take.
func (wc *workerConn) observeAnswer(took time.Duration, answered, early bool) {
	if !answered && early {
		return
	}
	c := wc.controller
	c.gate.Observe(c.now(), took)
	if answered {
		wc.mu.Lock()
		defer wc.mu.Unlock()
		wc.answerTime.Observe(took)
	}
}

// latestAnswer returns the time by which the worker's answer to an order is expected, from its earlier answers.
func (wc *workerConn) latestAnswer() time.Duration {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	return wc.answerTime.Latest()
}

// newGate returns the gate of all orders of this daemon.
func (d *Daemon) newGate() *flowcontrol.Gate {
	gate := flowcontrol.NewGate(d.Orders)
	gate.OnBoundChange = func(bound int, typical time.Duration, waiting int) {
		d.Log.Info().Int("bound", bound).Dur("answer_time", typical).Int("waiting", waiting).Msg("bound on orders under way changed")
	}
	return gate
}
