package shard

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
)

// checkpointTimeout bounds a stop call that lets the task save its progress first.
const checkpointTimeout = 10 * time.Second

// stopNow is the mode for work whose progress need not be saved.
const stopNow = platformapi.StopNow

// inquiryResult is what is known of an attempt after its worker was called.
type inquiryResult int

const (
	// resultUnreachable means that the worker could not be reached or gave no definite reply.
	resultUnreachable inquiryResult = iota
	// resultFinished means that the attempt has ended and its answer was fetched.
	resultFinished
	// resultNotStarted means that the attempt did not start and never will.
	resultNotStarted
	// resultEnded means that the attempt does not run any more, if it ever ran, and that its answer is not known.
	resultEnded
	// resultWorkerEnded means the same, and that the runner has restarted since.
	resultWorkerEnded
	// resultFenced means that the worker has seen a higher epoch.
	resultFenced
)

// inquiry makes the calls to a worker that find out the state of one attempt or stop it.
type inquiry struct {
	params  Params
	worker  cell.Worker
	bootID  string
	attempt cell.Attempt
	// sentAtBootClock is the boot clock's reading before the start was sent.
	sentAtBootClock monotime.Instant
}

// resolve finds out what became of an attempt whose answer did not arrive, by asking its worker.
func (c *controlLoop) resolve(e *taskEntry) {
	w := c.workers[e.worker]
	if c.state == stateSuperseded || w == nil {
		c.finish(e, e.unknownOutcome(c.unresolvedReason(), "what became of the attempt can't be found out"))
		return
	}
	inquiriesTotal.Inc()
	ctx, ev := c.beginCall(e)
	e.callOpen, e.resolving = false, true
	q := inquiry{params: c.params, worker: w.Worker, bootID: e.bootID, attempt: e.attempt, sentAtBootClock: e.sentAtBootClock}
	go func() {
		result, reply := q.resolve(ctx)
		c.events.post(attemptResolved{entry: e, callNumber: ev.callNumber, result: result, reply: reply})
	}()
}

// unresolvedReason returns the reason code of an attempt whose result can't be found out.
func (c *controlLoop) unresolvedReason() cell.ReasonCode {
	if c.state == stateSuperseded {
		return cell.ReasonSuperseded
	}
	return cell.ReasonInDoubt
}

// attemptResolved is the result of an inquiry that resolve started.
type attemptResolved struct {
	entry      *taskEntry
	callNumber uint64
	result     inquiryResult
	reply      platformapi.StartReply
}

func (ev attemptResolved) apply(c *controlLoop) {
	e := ev.entry
	if !c.isCurrentCall(e, ev.callNumber) {
		return
	}
	e.resolving = false
	switch ev.result {
	case resultFinished:
		c.attemptFinished(e, ev.reply)
	case resultNotStarted:
		c.handleTombstone(e)
	case resultEnded, resultWorkerEnded:
		e.workerEnded = e.workerEnded || ev.result == resultWorkerEnded
		c.attemptLost(e, "the lease is over and its answer is lost")
	case resultFenced:
		superseded{detail: "a worker rejected an inquiry: it has seen a higher epoch"}.apply(c)
		if c.entries[e.task.ID] == e {
			c.finish(e, e.unknownOutcome(cell.ReasonSuperseded, "the attempt may have run"))
		}
	default:
		c.retryResolve(e)
	}
}

// handleTombstone handles a worker's tombstone for e's attempt, which means that the worker will never start it. A worker also
// leaves one for an attempt that ran and that it has forgotten.
func (c *controlLoop) handleTombstone(e *taskEntry) {
	if e.maybeRan {
		c.attemptLost(e, "the worker has forgotten the attempt")
		return
	}
	c.attemptNotStarted(e, "tombstone")
}

// retryResolve repeats the inquiry after RetryInterval, while the worker is listed. The attempt's capacity stays taken.
// Callers of non-idempotent work are answered "unknown" at once; idempotent work may still run again before its deadline.
func (c *controlLoop) retryResolve(e *taskEntry) {
	e.resolving = true
	if !e.task.Idempotent {
		c.answerWaiters(e, e.unknownOutcome(cell.ReasonInDoubt, "the worker can't be reached"))
	}
	retry := resolveRetry{entry: e, callNumber: e.callNumber}
	time.AfterFunc(c.params.RetryInterval, func() { c.events.post(retry) })
}

// resolveRetry makes the loop repeat an inquiry.
type resolveRetry struct {
	entry      *taskEntry
	callNumber uint64
}

func (ev resolveRetry) apply(c *controlLoop) {
	if c.isCurrentCall(ev.entry, ev.callNumber) {
		c.resolve(ev.entry)
	}
}

// resolve reads the worker's leases. If the attempt is among them it fetches its answer; if not, it makes sure that the
// attempt never starts.
func (q inquiry) resolve(ctx context.Context) (inquiryResult, platformapi.StartReply) {
	report, err := q.claim(ctx, q.bootID)
	switch {
	case errors.Is(err, platformapi.ErrFenced):
		return resultFenced, platformapi.StartReply{}
	case err != nil:
		return resultUnreachable, platformapi.StartReply{}
	case !report.Claimed:
		return resultWorkerEnded, platformapi.StartReply{}
	}
	for _, l := range report.Leases {
		if l.Attempt != q.attempt {
			continue
		}
		if l.Phase == cell.LeaseTombstone {
			return q.resultIfAbsent(), platformapi.StartReply{}
		}
		return q.fetchAnswer(ctx, l.Phase)
	}
	result := q.stop(ctx, stopNow)
	if result == resultEnded {
		return q.fetchAnswer(ctx, cell.LeaseEnded)
	}
	return result, platformapi.StartReply{}
}

// fetchAnswer waits for the answer of an attempt that the worker lists in the given phase.
func (q inquiry) fetchAnswer(ctx context.Context, phase cell.LeasePhase) (inquiryResult, platformapi.StartReply) {
	reply := q.params.Runner.Await(ctx, q.worker, q.attempt)
	switch {
	case reply.Result == platformapi.StartFinished:
		return resultFinished, reply
	case phase == cell.LeaseEnded && reply.Result == platformapi.StartRefused:
		return resultEnded, reply
	}
	return resultUnreachable, reply
}

// stop ends the attempt, or leaves a tombstone on the worker so that it never starts. A tombstone counts only if the
// worker's boot id is still the attempt's: a runner that restarted in between has forgotten what ran before.
func (q inquiry) stop(ctx context.Context, mode platformapi.StopMode) inquiryResult {
	timeout := q.params.CallTimeout
	if mode == platformapi.StopCheckpoint {
		timeout = checkpointTimeout
	}
	stopCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lease, err := q.params.Runner.Stop(stopCtx, q.worker, q.attempt, q.params.Epoch, mode)
	switch {
	case errors.Is(err, platformapi.ErrFenced):
		return resultFenced
	case err != nil || lease.Phase == cell.LeaseRunning:
		return resultUnreachable
	case lease.Phase == cell.LeaseEnded:
		return resultEnded
	}
	report, err := q.claim(ctx, "")
	switch {
	case err != nil:
		return resultUnreachable
	case report.BootID != q.bootID:
		return resultWorkerEnded
	}
	return q.resultIfAbsent()
}

// resultIfAbsent is the result for an attempt that the worker does not know and will not start. Its absence proves that it
// never ran only within AttemptRetention: after that, the worker may have forgotten an attempt that ran.
func (q inquiry) resultIfAbsent() inquiryResult {
	if q.params.Clock.Now().Sub(q.sentAtBootClock) >= q.params.AttemptRetention {
		return resultEnded
	}
	return resultNotStarted
}

// claim claims the worker, once. With an empty boot id it only reads the worker's boot id.
func (q inquiry) claim(ctx context.Context, bootID string) (platformapi.WorkerReport, error) {
	return claimCall{params: q.params, worker: q.worker}.send(ctx, bootID)
}
