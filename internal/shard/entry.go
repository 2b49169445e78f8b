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

// Times that refused callers are told to come back after.
const (
	shortRetryAfter = 100 * time.Millisecond
	longRetryAfter  = time.Second
)

// phase is a request's place in the life cycle of the package comment.
type phase int

const (
	phaseAcquiringIntent phase = iota
	phaseAwaitingRecovery
	phaseQueued
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

// taskEntry is one task that this owner answers for or counts.
type taskEntry struct {
	task    cell.Task
	caller  string
	arrived time.Time
	phase   phase
	waiters []*waiter

	// maybeEarlierAttempt means that an earlier attempt by another owner is not ruled out yet.
	maybeEarlierAttempt bool
	// intentExisted means that the intent was there before this request.
	intentExisted bool
	// maybeRan means that an attempt under this entry maybeRan or may have, so that "not run" would be untrue.
	maybeRan bool
	// adopted means that another owner started the attempt.
	adopted bool

	intentHandle *intent.Handle
	// handleOnlyRecords means that handle belongs to an earlier attempt, whose outcome may be recorded under it.
	handleOnlyRecords bool

	attempt   cell.Attempt
	worker    cell.WorkerID
	bootID    string
	sentAt    time.Time
	startedAt time.Time
	// sentAtBootClock is the boot clock's reading before the start was sent.
	sentAtBootClock monotime.Instant
	waited          time.Duration
	// cancelCall ends the call that waits for the attempt's answer.
	cancelCall context.CancelFunc
	// callNumber numbers the calls that may bring the answer; the replies of earlier ones are void.
	callNumber uint64
	// callOpen means that a call waits for the attempt's answer.
	callOpen bool
	// accepted means that a service runs and its end is seen in reports.
	accepted  bool
	resolving bool
	// endedReports counts reports that listed the attempt as ended while its answer was missing.
	endedReports int
	// attemptEnded means that the attempt is known to be attemptEnded; the open call is given a moment for its answer.
	attemptEnded bool

	stopReason cell.ReasonCode
	stopping   bool
	// stopConfirmed means that the worker has confirmed the stop of an attempt that had started.
	stopConfirmed bool
	// requeueAfterStop means that the attempt is stopped in order to start again with its gang.
	requeueAfterStop bool
	// awaitingGang means that the entry waits for the other members of its gang to be over.
	awaitingGang bool

	retries     int
	failedOn    []cell.WorkerID
	avoid       []cell.WorkerID
	lastFailure cell.Outcome
}

func newEntry(r Request) *taskEntry {
	return &taskEntry{task: r.Task, caller: r.Caller, arrived: r.Arrived, maybeEarlierAttempt: r.MaybeResent}
}

func (e *taskEntry) queueItem(now time.Time) scheduler.Item {
	it := scheduler.Item{Task: e.task, Arrived: e.arrived, Deadline: e.deadline(), Avoid: slices.Clone(e.avoid)}
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

// droppedOutcome returns the outcome of an entry that is droppedOutcome before an attempt of it started: not_run if that is known.
func (e *taskEntry) droppedOutcome(code cell.ReasonCode, retryAfter time.Duration) cell.Outcome {
	if e.lastFailure.Result == cell.ResultFailed && !e.maybeEarlierAttempt {
		return e.lastFailure
	}
	if e.maybeEarlierAttempt || e.maybeRan || e.intentExisted {
		out := cell.Unknown(cell.Reason{Code: code, Detail: "an earlier attempt may have run"}, retryAfter)
		out.Attempt, out.Worker = e.attempt, e.worker
		return out
	}
	return cell.NotRun(cell.Reason{Code: code}, retryAfter)
}

// unknownOutcome returns the outcome of an entry whose attempt may have run.
func (e *taskEntry) unknownOutcome(code cell.ReasonCode, detail string) cell.Outcome {
	out := cell.Unknown(cell.Reason{Code: code, Detail: detail}, longRetryAfter)
	out.Attempt, out.Worker, out.Waited = e.attempt, e.worker, e.waited
	return out
}

// refusalOutcome returns the outcome of a request that is not taken in.
func refusalOutcome(r Request, code cell.ReasonCode) cell.Outcome {
	return newEntry(r).droppedOutcome(code, shortRetryAfter)
}

// sameRequest reports whether two tasks under one id ask for the same work. A task that was read from a lease has no payload
// to compare.
func sameRequest(a, b cell.Task, comparePayload bool) bool {
	return a.Team == b.Team && a.Kind == b.Kind && a.Claim == b.Claim &&
		a.Idempotent == b.Idempotent && (!comparePayload || bytes.Equal(a.Payload, b.Payload))
}

// backoff returns the pause before the next try after so many.
func backoff(retries int) time.Duration {
	const first, maxShift = 20 * time.Millisecond, 6
	return first << min(retries-1, maxShift)
}
