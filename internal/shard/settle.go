package shard

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platform"
)

// checkpointTimeout bounds a stop that saves the task's progress first.
const checkpointTimeout = 10 * time.Second

// stopNow is the stop of work that nobody waits for.
const stopNow = platform.StopNow

// verdict is what is known of an attempt after its worker was asked.
type verdict int

const (
	// verdictUnreachable means that nothing is known.
	verdictUnreachable verdict = iota
	// verdictFinished means that the answer is there.
	verdictFinished
	// verdictNotStarted means that the attempt did not start and never will.
	verdictNotStarted
	// verdictOver means that the attempt runs no more, if it ever ran.
	verdictOver
	// verdictFenced means that the worker has seen a higher epoch.
	verdictFenced
)

// inquiry asks a worker about one attempt, over new calls.
type inquiry struct {
	p       Params
	worker  cell.Worker
	boot    string
	attempt cell.Attempt
	// sentBoot is the boot clock's reading before the start was sent.
	sentBoot monotime.Instant
}

// settle asks the worker of an attempt in doubt what became of it.
func (c *control) settle(e *entry) {
	w := c.workers[e.worker]
	if c.state == stateSuperseded || w == nil {
		c.finish(e, e.unknown(c.doubtCode(), "the attempt can't be settled"))
		return
	}
	inquiriesTotal.Inc()
	ctx, ev := c.open(e)
	e.open, e.settling = false, true
	ask := inquiry{p: c.p, worker: w.Worker, boot: e.boot, attempt: e.attempt, sentBoot: e.sentBoot}
	go func() {
		v, reply := ask.settle(ctx)
		c.box.post(settled{entry: e, call: ev.call, verdict: v, reply: reply})
	}()
}

func (c *control) doubtCode() cell.ReasonCode {
	if c.state == stateSuperseded {
		return cell.ReasonSuperseded
	}
	return cell.ReasonInDoubt
}

// settled is what an inquiry brought.
type settled struct {
	entry   *entry
	call    uint64
	verdict verdict
	reply   platform.StartReply
}

func (ev settled) apply(c *control) {
	e := ev.entry
	if !c.current(e, ev.call) {
		return
	}
	e.settling = false
	switch ev.verdict {
	case verdictFinished:
		c.ranToEnd(e, ev.reply)
	case verdictNotStarted:
		c.neverStarted(e)
	case verdictOver:
		c.gone(e, "the lease is over and its answer is lost")
	case verdictFenced:
		fenced{detail: "an inquiry was fenced"}.apply(c)
		if c.entries[e.task.ID] == e {
			c.finish(e, e.unknown(cell.ReasonSuperseded, "the attempt may have run"))
		}
	default:
		c.settleLater(e)
	}
}

// neverStarted handles a tombstone. A worker that has forgotten an attempt that was seen running leaves one too.
func (c *control) neverStarted(e *entry) {
	if e.ran {
		c.gone(e, "the worker has forgotten the attempt")
		return
	}
	c.notStarted(e, "tombstone")
}

// settleLater repeats the inquiry while the worker is listed. The claim stays counted. Callers of non-idempotent work
// are told at once that nothing is known; idempotent work may still run again before its deadline.
func (c *control) settleLater(e *entry) {
	e.settling = true
	if !e.task.Idempotent {
		c.answerAll(e, e.unknown(cell.ReasonInDoubt, "the worker can't be reached"))
	}
	again := settleAgain{entry: e, call: e.call}
	time.AfterFunc(c.p.RetryInterval, func() { c.box.post(again) })
}

// settleAgain repeats an inquiry.
type settleAgain struct {
	entry *entry
	call  uint64
}

func (ev settleAgain) apply(c *control) {
	if c.current(ev.entry, ev.call) {
		c.settle(ev.entry)
	}
}

// settle reads the worker's leases and, if the attempt is among them, fetches its answer; if not, it makes sure that the
// attempt never starts.
func (q inquiry) settle(ctx context.Context) (verdict, platform.StartReply) {
	report, err := q.claim(ctx, q.boot)
	switch {
	case errors.Is(err, platform.ErrFenced):
		return verdictFenced, platform.StartReply{}
	case err != nil:
		return verdictUnreachable, platform.StartReply{}
	case !report.Claimed:
		return verdictOver, platform.StartReply{}
	}
	for _, l := range report.Leases {
		if l.Attempt != q.attempt {
			continue
		}
		if l.Phase == cell.LeaseTombstone {
			return q.absent(), platform.StartReply{}
		}
		return q.fetch(ctx, l.Phase)
	}
	v := q.stop(ctx, stopNow)
	if v == verdictOver {
		return q.fetch(ctx, cell.LeaseEnded)
	}
	return v, platform.StartReply{}
}

func (q inquiry) fetch(ctx context.Context, phase cell.LeasePhase) (verdict, platform.StartReply) {
	reply := q.p.Runner.Await(ctx, q.worker, q.attempt)
	switch {
	case reply.Result == platform.StartFinished:
		return verdictFinished, reply
	case phase == cell.LeaseEnded && reply.Result == platform.StartRefused:
		return verdictOver, reply
	}
	return verdictUnreachable, reply
}

// stop ends the attempt or leaves a tombstone. A tombstone counts only if the worker's boot is still the attempt's: a
// runner that restarted in between has forgotten what ran before.
func (q inquiry) stop(ctx context.Context, mode platform.StopMode) verdict {
	timeout := q.p.CallTimeout
	if mode == platform.StopCheckpoint {
		timeout = checkpointTimeout
	}
	stopCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lease, err := q.p.Runner.Stop(stopCtx, q.worker, q.attempt, q.p.Epoch, mode)
	switch {
	case errors.Is(err, platform.ErrFenced):
		return verdictFenced
	case err != nil || lease.Phase == cell.LeaseRunning:
		return verdictUnreachable
	case lease.Phase == cell.LeaseEnded:
		return verdictOver
	}
	report, err := q.claim(ctx, "")
	switch {
	case err != nil:
		return verdictUnreachable
	case report.Boot != q.boot:
		return verdictOver
	}
	return q.absent()
}

// absent is the verdict on an attempt that the worker does not know and will not start. It proves that the attempt never
// ran only while the worker would still remember that it had.
func (q inquiry) absent() verdict {
	if q.p.Clock.Now().Sub(q.sentBoot) >= q.p.AttemptRetention {
		return verdictOver
	}
	return verdictNotStarted
}

func (q inquiry) claim(ctx context.Context, boot string) (platform.WorkerReport, error) {
	return claimCall{p: q.p, worker: q.worker}.send(ctx, boot)
}
