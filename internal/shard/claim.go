package shard

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// claimTries is how often a claim is sent before its worker counts as unreachable; each try has a deadline of its own.
const claimTries = 2

// claimDue claims every worker whose time has come.
func (c *control) claimDue(now time.Time) {
	if c.state == stateSuperseded {
		return
	}
	for _, w := range c.workers {
		if w.calling || now.Before(w.nextClaim) {
			continue
		}
		w.calling = true
		call := claimCall{p: c.p, worker: w.Worker, boot: w.boot}
		go func() { c.box.post(call.run(c.ctx)) }()
	}
}

// claimCall is one claim of a worker, with its repetition.
type claimCall struct {
	p      Params
	worker cell.Worker
	boot   string
}

// claimDone is what became of a claim.
type claimDone struct {
	worker cell.WorkerID
	sentAt time.Time
	report platform.WorkerReport
	err    error
}

func (k claimCall) run(ctx context.Context) claimDone {
	done := claimDone{worker: k.worker.ID}
	for range claimTries {
		done.sentAt = time.Now()
		done.report, done.err = k.once(ctx)
		if done.err == nil || errors.Is(done.err, platform.ErrFenced) {
			break
		}
	}
	return done
}

// once claims the worker. If its boot id is not known, that is asked for first; a worker that has accepted no epoch since
// it booted is claimed only after the table has confirmed the ownership, so that a superseded owner can't win it.
func (k claimCall) once(ctx context.Context) (platform.WorkerReport, error) {
	if k.boot != "" {
		return k.send(ctx, k.boot)
	}
	report, err := k.send(ctx, "")
	if err != nil {
		return report, err
	}
	if report.Epoch > k.p.Epoch {
		return report, platform.ErrFenced
	}
	if report.Epoch == 0 {
		if err := k.confirm(ctx); err != nil {
			return report, err
		}
	}
	return k.send(ctx, report.Boot)
}

func (k claimCall) send(ctx context.Context, boot string) (platform.WorkerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, k.p.CallTimeout)
	defer cancel()
	return k.p.Runner.Claim(ctx, k.worker, platform.Claim{Shard: k.p.Shard, Epoch: k.p.Epoch, Boot: boot, TTL: k.p.LeaseTTL})
}

func (k claimCall) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.p.CallTimeout)
	defer cancel()
	err := k.p.ConfirmOwnership(ctx)
	if errors.Is(err, ErrNotOwner) {
		return platform.ErrFenced
	}
	return err
}

func (ev claimDone) apply(c *control) {
	w := c.workers[ev.worker]
	if w == nil {
		return
	}
	w.calling = false
	w.nextClaim = ev.sentAt.Add(c.p.ClaimInterval)
	switch {
	case errors.Is(ev.err, platform.ErrFenced):
		fenced{detail: "worker " + string(w.ID) + " has a higher epoch"}.apply(c)
	case ev.err != nil:
		c.workerMissed(w, ev)
	case !ev.report.Claimed:
		c.workerRebooted(w)
	default:
		c.workerClaimed(w, ev)
	}
}

// workerMissed keeps an unreachable worker from new work. What runs on it stays counted.
func (c *control) workerMissed(w *worker, ev claimDone) {
	w.nextClaim = time.Now().Add(c.p.RetryInterval)
	if w.reachable {
		c.p.Logger.Warn().Str("shard", string(c.p.Shard)).Str("worker", string(w.ID)).Err(ev.err).Msg("worker unreachable")
	}
	w.reachable = false
	c.refresh(w)
}

// workerRebooted ends what ran on the worker's earlier boot and asks for the new one.
func (c *control) workerRebooted(w *worker) {
	w.boot, w.claimed = "", false
	c.health.forget(w.ID)
	w.nextClaim = time.Now()
	c.forgetEnded(w)
	for _, id := range sortedKeys(w.entries) {
		c.leaseOver(w.entries[id], "the runner restarted")
	}
	c.refresh(w)
	c.claimDue(w.nextClaim)
}

func (c *control) workerClaimed(w *worker, ev claimDone) {
	if w.claimed && w.boot != ev.report.Boot {
		c.workerRebooted(w)
		return
	}
	first := !w.claimed
	w.boot, w.claimed, w.everClaimed, w.reachable = ev.report.Boot, true, true, true
	w.leaving = w.leaving || ev.report.Leaving
	c.refresh(w)
	c.readEnded(w, ev.report.Leases)
	if first {
		c.adopt(w, ev.report.Leases)
		c.releaseHeld()
	}
	c.compare(w, ev)
}
