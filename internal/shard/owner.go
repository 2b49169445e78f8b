// Package shard runs the owner of one shard: it claims the shard's workers, places tasks, dispatches attempts and answers
// every request exactly once.
//
// One goroutine, the control loop, owns the scheduler and the entries. Other goroutines call workers and the table and send
// the results to the loop as events. docs/design/requests.md and docs/design/recovery.md state why the answers are correct.
//
// A request moves through these phases:
//
//	          non-idempotent               granted
//	Submit ------------------> acquiring intent -----+
//	   |                             |               |
//	   | may be resent,              | exists        |
//	   | or no VM list               v               | every worker
//	   +---------------------> awaiting recovery ----+ claimed
//	   |                             |               v
//	   +-----------------------------|---------> queued <------+ known not
//	                                 |               | Place   | started
//	                     lease found |               v         |
//	                                 +---------> running ------+
//	                                                 | answer, or the lease has ended
//	                                                 v
//	                                             (answered)
package shard

import (
	"context"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

// Owner runs a shard under one epoch. Its methods may be called from any goroutine.
type Owner struct {
	loop *controlLoop
}

// Start starts the owner of a shard. Its epoch must already be in the table.
func Start(p Params) *Owner {
	c := newControlLoop(withDefaults(p))
	go c.run()
	return &Owner{loop: c}
}

// Submit submits a request. done is called exactly once, on another goroutine. A request for a task that is already queued
// or running joins it and gets the same outcome.
func (o *Owner) Submit(r Request, done func(cell.Outcome)) {
	o.submit(r, done)
}

// Run submits a request and waits for its outcome. If ctx ends, the caller no longer waits: queued work is dropped, and running
// idempotent work that no other caller waits for is stopped.
func (o *Owner) Run(ctx context.Context, r Request) cell.Outcome {
	result := make(chan cell.Outcome, 1)
	w := o.submit(r, func(out cell.Outcome) { result <- out })
	select {
	case out := <-result:
		return out
	case <-ctx.Done():
		o.loop.events.post(waitEnded{id: r.Task.ID, waiter: w, code: cell.ReasonCancelled})
		return <-result
	}
}

// SetWorkers sets the shard's workers as the platform lists them now. A worker that is no longer listed has ended.
func (o *Owner) SetWorkers(ws []cell.Worker) {
	o.SetWorkersAsOf(ws, time.Now())
}

// SetWorkersAsOf is SetWorkers for a list whose read began at the given time. A list from before the ownership may lack a
// worker on which the previous owner has placed work. Its workers are claimed, but it does not rule out earlier attempts.
func (o *Owner) SetWorkersAsOf(ws []cell.Worker, read time.Time) {
	o.loop.events.post(workersListed{workers: ws, beforeOwnership: read.Before(o.loop.startedAt)})
}

// MarkLeaving makes the owner give no new work to the named workers.
func (o *Owner) MarkLeaving(ids []cell.WorkerID) {
	o.loop.events.post(workersLeaving{ids: ids})
}

// Cancel drops queued tasks and stops running ones. It returns how many of the tasks it found.
func (o *Owner) Cancel(ids []cell.TaskID) int {
	return postAndWait(o, 0, func(reply func(int)) event { return &cancelTasks{ids: ids, reply: reply} })
}

// CancelJob cancels every task of a job. It returns the number of tasks.
func (o *Owner) CancelJob(id cell.JobID) int {
	return postAndWait(o, 0, func(reply func(int)) event { return cancelJob{job: id, reply: reply} })
}

// Explain returns the state of a task and the reasons for it.
func (o *Owner) Explain(id cell.TaskID) scheduler.Explanation {
	return postAndWait(o, scheduler.Explanation{}, func(reply func(scheduler.Explanation)) event {
		return explainTask{id: id, reply: reply}
	})
}

// Status returns the shard's totals, the number of claimed workers, and the workers and teams.
func (o *Owner) Status() (scheduler.Totals, int, []scheduler.WorkerView, []scheduler.TeamView) {
	s := postAndWait(o, status{}, func(reply func(status)) event { return readStatus{reply: reply} })
	return s.totals, s.claimed, s.workers, s.teams
}

// Release gives up the shard. Nothing new is placed. Waiting requests are answered at once, so that their entry VMs send them
// to the next owner. Release waits for the answers of running requests until ctx ends. The Owner is then closed.
func (o *Owner) Release(ctx context.Context) {
	o.loop.events.post(beginRelease{})
	select {
	case <-o.loop.stopped:
	case <-ctx.Done():
		o.loop.events.post(endRelease{})
		<-o.loop.stopped
	}
}

// Supersede notifies the owner that another owner has a higher epoch. Waiting requests are answered at once; the answers of
// running attempts are still delivered when they arrive.
func (o *Owner) Supersede() {
	o.loop.events.post(superseded{detail: "the ownership table names a higher epoch"})
}

// Stopped returns a channel that is closed when the owner has given its last answer after Release or Supersede.
func (o *Owner) Stopped() <-chan struct{} {
	return o.loop.stopped
}

func (o *Owner) submit(r Request, done func(cell.Outcome)) *waiter {
	w := &waiter{task: r.Task.ID, done: done, deadline: r.Deadline}
	if !o.loop.events.post(submitRequest{request: r, waiter: w}) {
		w.answer(refusalOutcome(r, cell.ReasonSuperseded))
	}
	return w
}

// postAndWait posts an event that replies once and returns the reply. It returns zero if the loop has ended.
func postAndWait[T any](o *Owner, zero T, newEvent func(reply func(T)) event) T {
	result := make(chan T, 1)
	if !o.loop.events.post(newEvent(func(v T) { result <- v })) {
		return zero
	}
	select {
	case v := <-result:
		return v
	case <-o.loop.stopped:
		return zero
	}
}
