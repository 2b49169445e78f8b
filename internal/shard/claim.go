package shard

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// maxClaimTries is how often a claim is sent before its worker counts as unreachable. Each try has its own timeout.
const maxClaimTries = 2

// claimDueWorkers claims every worker whose next claim is due.
func (c *controlLoop) claimDueWorkers(now time.Time) {
	if c.state == stateSuperseded {
		return
	}
	for _, w := range c.workers {
		if w.claimInFlight || now.Before(w.nextClaimAt) {
			continue
		}
		w.claimInFlight = true
		call := claimCall{params: c.params, worker: w.Worker, bootID: w.bootID}
		go func() { c.events.post(call.run(c.ctx)) }()
	}
}

// claimCall claims one worker, with repetition.
type claimCall struct {
	params Params
	worker cell.Worker
	bootID string
}

// claimDone is the result of a claimCall.
type claimDone struct {
	worker cell.WorkerID
	// sentAt is when the last try was sent.
	sentAt time.Time
	report platformapi.WorkerReport
	err    error
}

// run claims the worker, at most maxClaimTries times.
func (k claimCall) run(ctx context.Context) claimDone {
	done := claimDone{worker: k.worker.ID}
	for range maxClaimTries {
		done.sentAt = time.Now()
		done.report, done.err = k.claimOnce(ctx)
		if done.err == nil || errors.Is(done.err, platformapi.ErrFenced) {
			break
		}
	}
	return done
}

// claimOnce claims the worker. If its boot id is not known, it requests the id first. A worker that has accepted no epoch since
// it booted is claimed only after the table has confirmed the ownership, so that a superseded owner can't claim it.
func (k claimCall) claimOnce(ctx context.Context) (platformapi.WorkerReport, error) {
	if k.bootID != "" {
		return k.send(ctx, k.bootID)
	}
	report, err := k.send(ctx, "")
	if err != nil {
		return report, err
	}
	if report.Epoch > k.params.Epoch {
		return report, platformapi.ErrFenced
	}
	if report.Epoch == 0 {
		if err := k.confirm(ctx); err != nil {
			return report, err
		}
	}
	return k.send(ctx, report.BootID)
}

// send sends one claim call for the given boot id.
func (k claimCall) send(ctx context.Context, bootID string) (platformapi.WorkerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, k.params.CallTimeout)
	defer cancel()
	return k.params.Runner.Claim(ctx, k.worker, platformapi.WorkerClaim{Shard: k.params.Shard, Epoch: k.params.Epoch, BootID: bootID, TTL: k.params.LeaseTTL})
}

// confirm returns platformapi.ErrFenced if the table names another ownership.
func (k claimCall) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.params.CallTimeout)
	defer cancel()
	err := k.params.ConfirmOwnership(ctx)
	if errors.Is(err, ErrNotOwner) {
		return platformapi.ErrFenced
	}
	return err
}

func (ev claimDone) apply(c *controlLoop) {
	w := c.workers[ev.worker]
	if w == nil {
		return
	}
	w.claimInFlight = false
	w.nextClaimAt = ev.sentAt.Add(c.params.ClaimInterval)
	switch {
	case errors.Is(ev.err, platformapi.ErrFenced):
		superseded{detail: "worker " + string(w.ID) + " has seen a higher epoch"}.apply(c)
	case ev.err != nil:
		c.workerUnreachable(w, ev)
	case !ev.report.Claimed:
		c.workerRebooted(w)
	default:
		c.workerClaimed(w, ev)
	}
}

// workerUnreachable keeps new work off an unreachable worker. The capacity of what runs on it stays taken.
func (c *controlLoop) workerUnreachable(w *worker, ev claimDone) {
	w.nextClaimAt = time.Now().Add(c.params.RetryInterval)
	if w.reachable {
		c.params.Logger.Warn().Str("shard", string(c.params.Shard)).Str("worker", string(w.ID)).Err(ev.err).Msg("worker unreachable")
	}
	w.reachable = false
	c.publishWorker(w)
}

// workerRebooted handles a worker with a new boot id: the leases of the earlier boot have ended, and the worker is claimed
// again.
func (c *controlLoop) workerRebooted(w *worker) {
	w.bootID, w.claimed = "", false
	c.health.forget(w.ID)
	w.nextClaimAt = time.Now()
	c.forgetEndedLeases(w)
	for _, id := range sortedKeys(w.entries) {
		c.leaseEnded(w.entries[id], "the runner restarted", w.leaving)
	}
	c.publishWorker(w)
	c.claimDueWorkers(w.nextClaimAt)
}

// workerClaimed handles the report of a claimed worker. After the first claim it adopts the worker's leases.
func (c *controlLoop) workerClaimed(w *worker, ev claimDone) {
	if w.claimed && w.bootID != ev.report.BootID {
		c.workerRebooted(w)
		return
	}
	firstClaim := !w.claimed
	w.bootID, w.claimed, w.everClaimed, w.reachable = ev.report.BootID, true, true, true
	w.leaving = w.leaving || ev.report.Leaving
	c.publishWorker(w)
	c.recordEndedLeases(w, ev.report.Leases)
	if firstClaim {
		c.adoptLeases(w, ev.report.Leases)
		c.updatePolicy()
		c.admitRecovered()
	}
	c.reconcile(w, ev)
}
