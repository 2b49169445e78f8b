package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
)

// queuedOrder is an order from the engine's decision to its outcome. Until it has its places nothing of it has been sent, and the control
// loop may withdraw it:
//
//	queued ──places──▶ sent
//	   │
//	   └──withdrawn, or waited too long──▶ dropped
type queuedOrder struct {
	wc   *workerConn
	call *flowcontrol.Call
	// ctx ends when the order is withdrawn or its connection ends. It and withdraw are nil for an order that had its places at once.
	ctx      context.Context
	withdraw context.CancelFunc
	state    atomic.Int32
	joinedAt time.Time
	// waited is how long the order has waited for its places; 0 if it had them at once. Only the order's goroutine uses it.
	waited time.Duration
	// waitedForWorker means that a part of the wait was for a place of the worker.
	waitedForWorker bool
	// repeated means that the order was sent more than once. Only the order's goroutine uses it.
	repeated bool
}

// States of a queued order.
const (
	orderQueued int32 = iota
	orderSent
	orderDropped
)

// queue puts an order in line for the places that it needs. It is called by the control loop, so that orders of a class are sent in the
// order of the engine's decisions.
func (wc *workerConn) queue(class flowcontrol.Class) *queuedOrder {
	o := &queuedOrder{wc: wc, call: wc.controller.gate.Join(class, wc.places)}
	if o.call.Waited() {
		o.joinedAt = time.Now()
		o.ctx, o.withdraw = context.WithCancel(wc.ordersCtx)
	}
	return o
}

// await waits for the order's places, for the given time at most unless it is 0, and reports whether the order is to be sent.
func (o *queuedOrder) await(limit time.Duration) bool {
	if o.call.Waited() && !o.awaitPlaces(limit) {
		o.state.CompareAndSwap(orderQueued, orderDropped)
		return false
	}
	if !o.state.CompareAndSwap(orderQueued, orderSent) {
		o.wc.leavePlaces()
		return false
	}
	return true
}

// awaitPlaces waits for the order's places and reports whether it has them.
func (o *queuedOrder) awaitPlaces(limit time.Duration) bool {
	defer o.withdraw()
	ctx, cancel := o.ctx, context.CancelFunc(func() {})
	if limit > 0 {
		ctx, cancel = context.WithTimeout(o.ctx, limit)
	}
	defer cancel()
	err := o.call.Wait(ctx)
	c := o.wc.controller
	o.waited = time.Since(o.joinedAt)
	if o.waitedForWorker = o.call.WaitedForServer(); o.waitedForWorker {
		c.instruments.workerWaits.Inc()
		c.instruments.workerWaitTime.Add(o.waited.Seconds())
	}
	return err == nil
}

// logWait adds the order's wait to a log line, if it has waited.
func (o *queuedOrder) logWait(entry *log.Entry) {
	if o.waited > 0 {
		entry.Dur("waited", o.waited).Bool("for_worker", o.waitedForWorker)
	}
}

// sent reports whether the order had its places and may have been sent.
func (o *queuedOrder) sent() bool { return o.state.Load() == orderSent }

// drop withdraws the order and reports whether nothing of it has been or will be sent.
func (o *queuedOrder) drop() bool {
	dropped := o.state.CompareAndSwap(orderQueued, orderDropped)
	if dropped && o.withdraw != nil {
		o.withdraw()
	}
	return dropped
}

// leavePlaces frees the places of an order that is not sent.
func (wc *workerConn) leavePlaces() {
	wc.controller.gate.Leave()
	wc.controller.gate.LeaveServer(wc.places)
}

// executeStart queues a start and sends it. An order without a deadline is not sent and counts as refused.
func (wc *workerConn) executeStart(order dispatch.Start) {
	call := wc.newStartCall(order)
	if call.Deadline == 0 {
		go wc.refuseStart(order)
		return
	}
	queued := wc.queue(startClass(order))
	wc.queuedStarts[order.RunKey] = queued
	go wc.start(call, queued)
}

// executeStop queues a stop and sends it. A start of the run that has not been sent is withdrawn instead: its outcome releases the run.
func (wc *workerConn) executeStop(order dispatch.Stop) {
	if start := wc.queuedStarts[order.RunKey]; start != nil && start.drop() {
		return
	}
	if wc.queuedStops[order.RunKey] != nil {
		return // the last order has no outcome yet
	}
	queued := wc.queue(flowcontrol.Stop)
	wc.queuedStops[order.RunKey] = queued
	if queued.call.Waited() {
		wc.controller.engine.HandleStopWaiting(wc.worker.ID, order.RunKey)
	}
	go wc.stop(order, queued)
}

// forgetOrder removes an order that has its outcome.
func (wc *workerConn) forgetOrder(orders map[dispatch.RunKey]*queuedOrder, key dispatch.RunKey, o *queuedOrder) {
	if orders[key] == o {
		delete(orders, key)
	}
}

// withdrawStop withdraws the stop of a run that has ended.
func (wc *workerConn) withdrawStop(key dispatch.RunKey) {
	if stop := wc.queuedStops[key]; stop != nil {
		stop.drop()
	}
}
