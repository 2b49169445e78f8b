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
	retrySoon  = 100 * time.Millisecond
	retryLater = time.Second
)

// phase is a request's place in the life cycle of the package comment.
type phase int

const (
	phaseIntent phase = iota
	phaseHeld
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

// entry is one task that this owner answers for or counts.
type entry struct {
	task    cell.Task
	caller  string
	arrived time.Time
	phase   phase
	waiters []*waiter

	// keyed means that an earlier attempt by another owner is not ruled out yet.
	keyed bool
	// inDoubt means that the intent was there before this request.
	inDoubt bool
	// ran means that an attempt under this entry ran or may have, so that "not run" would be untrue.
	ran bool
	// adopted means that another owner started the attempt.
	adopted bool

	handle *intent.Handle
	// finishOnly means that handle belongs to an earlier attempt, whose outcome may be recorded under it.
	finishOnly bool

	attempt   cell.Attempt
	worker    cell.WorkerID
	boot      string
	sentAt    time.Time
	startedAt time.Time
	// sentBoot is the boot clock's reading before the start was sent.
	sentBoot monotime.Instant
	waited   time.Duration
	// cancel ends the call that waits for the attempt's answer.
	cancel context.CancelFunc
	// call numbers the calls that may bring the answer; the replies of earlier ones are void.
	call uint64
	// open means that a call waits for the attempt's answer.
	open bool
	// accepted means that a service runs and its end is seen in reports.
	accepted bool
	settling bool
	// endedReports counts reports that listed the attempt as ended while its answer was missing.
	endedReports int
	// over means that the attempt is known to be over; the open call is given a moment for its answer.
	over bool

	stopCode cell.ReasonCode
	stopping bool
	// stopEnded means that the worker has confirmed the stop of an attempt that had started.
	stopEnded bool
	// requeue means that the attempt is stopped in order to start again with its gang.
	requeue bool
	// regroup means that the entry waits for the other members of its gang to be over.
	regroup bool

	tries    int
	failedOn []cell.WorkerID
	avoid    []cell.WorkerID
	last     cell.Outcome
}

func newEntry(r Request) *entry {
	return &entry{task: r.Task, caller: r.Caller, arrived: r.Arrived, keyed: r.MaybeResent}
}

func (e *entry) item(now time.Time) scheduler.Item {
	it := scheduler.Item{Task: e.task, Arrived: e.arrived, Deadline: e.deadline(), Avoid: slices.Clone(e.avoid)}
	if e.tries > 0 {
		it.NotBefore = now.Add(backoff(e.tries))
	}
	return it
}

// deadline returns when the last waiter stops waiting; zero means never.
func (e *entry) deadline() time.Time {
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

// dropped returns the outcome of an entry that is dropped before an attempt of it started: not_run if that is known.
func (e *entry) dropped(code cell.ReasonCode, retryAfter time.Duration) cell.Outcome {
	if e.last.Result == cell.ResultFailed && !e.keyed {
		return e.last
	}
	if e.keyed || e.ran || e.inDoubt {
		out := cell.Unknown(cell.Reason{Code: code, Detail: "an earlier attempt may have run"}, retryAfter)
		out.Attempt, out.Worker = e.attempt, e.worker
		return out
	}
	return cell.NotRun(cell.Reason{Code: code}, retryAfter)
}

// unknown returns the outcome of an entry whose attempt may have run.
func (e *entry) unknown(code cell.ReasonCode, detail string) cell.Outcome {
	out := cell.Unknown(cell.Reason{Code: code, Detail: detail}, retryLater)
	out.Attempt, out.Worker, out.Waited = e.attempt, e.worker, e.waited
	return out
}

// refusal returns the outcome of a request that is not taken in.
func refusal(r Request, code cell.ReasonCode) cell.Outcome {
	return newEntry(r).dropped(code, retrySoon)
}

// sameRequest reports whether two tasks under one id ask for the same work. A task that was read from a lease has no payload
// to compare.
func sameRequest(a, b cell.Task, payload bool) bool {
	return a.Team == b.Team && a.Kind == b.Kind && a.Claim == b.Claim &&
		a.Idempotent == b.Idempotent && (!payload || bytes.Equal(a.Payload, b.Payload))
}

// backoff returns the pause before the next try after so many.
func backoff(tries int) time.Duration {
	const first, maxShift = 20 * time.Millisecond, 6
	return first << min(tries-1, maxShift)
}
