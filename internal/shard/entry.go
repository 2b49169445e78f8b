package shard

import (
	"bytes"
	"context"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/intent"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/scheduler"
)

// Times after which refused callers should send the request again.
const (
	shortRetryAfter = 100 * time.Millisecond
	longRetryAfter  = time.Second
)

// phase is a request's phase, as shown in the package comment.
type phase int

const (
	// phaseAcquiringIntent means that the intent of a non-idempotent request is being acquired.
	phaseAcquiringIntent phase = iota
	// phaseAwaitingRecovery means that the request waits until every worker is claimed. An entry that is about to be answered
	// without having been queued is in this phase too.
	phaseAwaitingRecovery
	// phaseQueued means that the scheduler has the task.
	phaseQueued
	// phaseRunning means that an attempt was sent or adopted and is not known to have ended.
	phaseRunning
)

// waiter is one caller that waits for an entry's outcome.
type waiter struct {
	task     cell.TaskID
	done     func(cell.Outcome)
	deadline time.Time
	timer    *time.Timer
}

func (w *waiter) answer(out cell.Outcome) {
	if w.timer != nil {
		w.timer.Stop()
	}
	out.Attempt.Task = w.task
	countOutcome(out)
	go w.done(out)
}

// taskEntry is one task that this owner answers requests for or whose attempt uses capacity of the shard.
type taskEntry struct {
	task    cell.Task
	caller  string
	arrived time.Time
	phase   phase
	waiters []*waiter

	// maybeEarlierAttempt means that an earlier attempt by another owner is not ruled out yet.
	maybeEarlierAttempt bool
	// intentExisted means that the intent was in the table before this request.
	intentExisted bool
	// maybeRan means that an attempt under this entry has run or may have, so that "not run" would be untrue.
	maybeRan bool
	// adopted means that another owner started the attempt.
	adopted bool

	intentHandle *intent.Handle
	// handleForOutcomeOnly means that intentHandle belongs to an earlier attempt: it may be used to record that attempt's outcome,
	// but not to dispatch.
	handleForOutcomeOnly bool

	attempt   cell.Attempt
	worker    cell.WorkerID
	bootID    string
	sentAt    time.Time
	startedAt time.Time
	// sentAtBootClock is the boot clock's reading before the start was sent.
	sentAtBootClock monotime.Instant
	// waited is the time from the request's arrival to the start.
	waited time.Duration
	// cancelCall cancels the call that waits for the attempt's answer.
	cancelCall context.CancelFunc
	// callNumber is the number of the latest call that may bring the answer; replies of earlier calls are ignored.
	callNumber uint64
	// callOpen means that a call waits for the attempt's answer.
	callOpen bool
	// accepted means that the worker has accepted a service. Its end is seen in the worker's reports.
	accepted bool
	// resolving means that a call to the worker is in flight to find out whether the attempt started or ended.
	resolving bool
	// endedReports counts the worker's reports that listed the attempt as not running while its answer was missing.
	endedReports int
	// attemptEnded means that the attempt is known to have ended, while a call that is still open may bring its answer.
	attemptEnded bool
	// workerEnded means that the attempt has ended with its worker, without notice: the runner has restarted, or the VM is gone.
	workerEnded bool

	stopReason cell.ReasonCode
	stopping   bool
	// stopConfirmed means that the worker has confirmed the stop of an attempt that had started.
	stopConfirmed bool
	// requeueAfterStop means that the attempt is stopped in order to start again with its gang.
	requeueAfterStop bool
	// awaitingGang means that the entry waits until no other member of its gang runs.
	awaitingGang bool

	// retries counts how often the task was requeued after an attempt.
	retries int
	// failedOn names the worker of each failed attempt.
	failedOn []cell.WorkerID
	// lostAttempts counts the attempts that ended with their workers.
	lostAttempts int
	// avoid names workers and racks that the scheduler should avoid if there are others.
	avoid []cell.WorkerID
	// lastFailure is the outcome of the last attempt that failed.
	lastFailure cell.Outcome
}

func newEntry(r Request) *taskEntry {
	return &taskEntry{task: r.Task, caller: r.Caller, arrived: r.Arrived, maybeEarlierAttempt: r.MaybeResent}
}

// queueItem returns the entry as the scheduler queues it.
func (e *taskEntry) queueItem(now time.Time) scheduler.QueueItem {
	it := scheduler.QueueItem{Task: e.task, Arrived: e.arrived, Deadline: e.deadline(), Avoid: slices.Clone(e.avoid)}
	if e.retries > 0 {
		it.NotBefore = now.Add(backoff(e.retries))
	}
	return it
}

// deadline returns when the last waiter stops waiting; zero means never.
func (e *taskEntry) deadline() time.Time {
	var latest time.Time
	for _, w := range e.waiters {
		if w.deadline.IsZero() {
			return time.Time{}
		}
		if w.deadline.After(latest) {
			latest = w.deadline
		}
	}
	return latest
}

// droppedOutcome returns the outcome of an entry that is dropped while no attempt runs: the last failure, unless an earlier
// attempt by another owner is not ruled out; not_run if it is known that no attempt ran; otherwise unknown.
func (e *taskEntry) droppedOutcome(code cell.ReasonCode, retryAfter time.Duration) cell.Outcome {
	if e.lastFailure.Result == cell.ResultFailed && !e.maybeEarlierAttempt {
		return e.lastFailure
	}
	if e.maybeEarlierAttempt || e.maybeRan || e.intentExisted {
		out := cell.Unknown(cell.Reason{Code: code, Detail: "an earlier attempt may have run"}, retryAfter)
		out.Attempt, out.Worker, out.LostAttempts = e.attempt, e.worker, e.lostAttempts
		return out
	}
	return cell.NotRun(cell.Reason{Code: code}, retryAfter)
}

// unknownOutcome returns the outcome of an entry whose attempt may have run.
func (e *taskEntry) unknownOutcome(code cell.ReasonCode, detail string) cell.Outcome {
	out := cell.Unknown(cell.Reason{Code: code, Detail: detail}, longRetryAfter)
	out.Attempt, out.Worker, out.Waited, out.LostAttempts = e.attempt, e.worker, e.waited, e.lostAttempts
	return out
}

// refusalOutcome returns the outcome of a request that is refused on arrival.
func refusalOutcome(r Request, code cell.ReasonCode) cell.Outcome {
	return newEntry(r).droppedOutcome(code, shortRetryAfter)
}

// sameRequest reports whether two tasks with one id ask for the same work. A task from a lease has no payload to compare.
func sameRequest(a, b cell.Task, comparePayload bool) bool {
	return a.Team == b.Team && a.Kind == b.Kind && a.Claim == b.Claim &&
		a.Idempotent == b.Idempotent && (!comparePayload || bytes.Equal(a.Payload, b.Payload))
}

// backoff returns the pause before the next attempt of a task that was requeued retries times.
func backoff(retries int) time.Duration {
	const initial, maxDoublings = 20 * time.Millisecond, 6
	return initial << min(retries-1, maxDoublings)
}
