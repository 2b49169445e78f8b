package shard

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// claimTries is how often a claim is sent before its worker counts as unreachable; each try has a deadline of its own.
const claimTries = 2

// worker is what the owner knows of one worker VM.
type worker struct {
	cell.Worker
	// boot is the boot id under which the worker was claimed; empty if it is not known.
	boot    string
	claimed bool
	// everClaimed means that the worker's leases have been learned once under this epoch.
	everClaimed bool
	reachable   bool
	leaving     bool
	calling     bool
	nextClaim   time.Time
	// shownAs and shownUsable are what the scheduler was told last, if shown is set.
	shown       bool
	shownAs     cell.Worker
	shownUsable bool
	// entries are the running entries on this worker.
	entries map[cell.TaskID]*entry
	// ended names the tasks that this worker contributed to control.ended.
	ended []cell.TaskID
}

// endedLease is a lease that a worker reported as ended, with its answer still there.
type endedLease struct {
	attempt cell.Attempt
	worker  cell.WorkerID
	boot    string
}

// workersListed is the platform's VM list, for this shard.
type workersListed struct {
	workers []cell.Worker
	// early means that the list was read before the ownership began.
	early bool
}

func (ev workersListed) apply(c *control) {
	if ev.early && c.listedNow {
		return
	}
	c.listed = true
	c.listedNow = !ev.early
	now := time.Now()
	named := make(map[cell.WorkerID]bool, len(ev.workers))
	for _, described := range ev.workers {
		if described.State == cell.WorkerGone {
			continue
		}
		named[described.ID] = true
		w := c.workers[described.ID]
		if w == nil {
			w = &worker{nextClaim: now, entries: make(map[cell.TaskID]*entry)}
			c.workers[described.ID] = w
		}
		w.Worker = described
		c.refresh(w)
	}
	for _, id := range sortedKeys(c.workers) {
		if !named[id] && c.listedNow {
			c.workerGone(c.workers[id])
		}
	}
	c.claimDue(now)
	c.releaseHeld()
}

// workersLeaving names workers that get no new work from now on.
type workersLeaving struct {
	ids []cell.WorkerID
}

func (ev workersLeaving) apply(c *control) {
	for _, id := range ev.ids {
		if w := c.workers[id]; w != nil {
			w.leaving = true
			c.refresh(w)
		}
	}
}

// workerGone forgets a worker that the VM list dropped: its leases are over.
func (c *control) workerGone(w *worker) {
	c.forgetEnded(w)
	delete(c.workers, w.ID)
	c.sched.RemoveWorker(w.ID)
	c.health.forget(w.ID)
	for _, id := range sortedKeys(w.entries) {
		c.leaseOver(w.entries[id], "the worker VM is gone")
	}
	c.dirty = true
}

// refresh tells the scheduler whether w may get new work.
func (c *control) refresh(w *worker) {
	described := w.Worker
	if w.leaving {
		described.State = cell.WorkerLeaving
	}
	usable := w.claimed && w.reachable && !c.doc.Drained[w.ID] && c.health.usable(w.ID)
	if w.shown && w.shownAs == described && w.shownUsable == usable {
		return
	}
	w.shown, w.shownAs, w.shownUsable = true, described, usable
	c.sched.UpsertWorker(described, usable)
	c.dirty = true
}

func (c *control) refreshWorkers() {
	for _, id := range sortedKeys(c.workers) {
		c.refresh(c.workers[id])
	}
}

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
	return k.p.Runner.Claim(ctx, k.worker, platform.Claim{Shard: k.p.Shard, Epoch: k.p.Epoch, Boot: boot, TTL: k.p.TTL})
}

func (k claimCall) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.p.CallTimeout)
	defer cancel()
	err := k.p.Confirm(ctx)
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
	w.nextClaim = time.Now().Add(c.p.RetryPause)
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

// readEnded remembers which ended leases the worker still has answers of.
func (c *control) readEnded(w *worker, leases []cell.Lease) {
	c.forgetEnded(w)
	for _, l := range leases {
		if l.Phase != cell.LeaseEnded {
			continue
		}
		have, ok := c.ended[l.Attempt.Task]
		if ok && later(have.attempt, l.Attempt) {
			continue
		}
		c.ended[l.Attempt.Task] = endedLease{attempt: l.Attempt, worker: w.ID, boot: w.boot}
		w.ended = append(w.ended, l.Attempt.Task)
	}
}

func (c *control) forgetEnded(w *worker) {
	for _, id := range w.ended {
		if c.ended[id].worker == w.ID {
			delete(c.ended, id)
		}
	}
	w.ended = w.ended[:0]
}

// adopt counts the leases that earlier owners started and joins the requests that were held for them.
func (c *control) adopt(w *worker, leases []cell.Lease) {
	for _, l := range leases {
		if l.Phase == cell.LeaseRunning && l.Attempt.Epoch != c.p.Epoch {
			c.adoptLease(w, l)
		}
	}
}

func (c *control) adoptLease(w *worker, l cell.Lease) {
	now := time.Now()
	e := c.entries[l.Attempt.Task]
	if e != nil && e.phase == phaseRunning {
		if e.attempt != l.Attempt {
			c.adoptTwin(w, l, now)
		}
		return
	}
	if e == nil {
		e = &entry{task: l.Task, arrived: now}
		c.add(e)
	} else if e.phase == phaseQueued {
		c.sched.Cancel(e.task.ID)
	}
	e.adopted, e.ran, e.keyed = true, true, false
	e.attempt = l.Attempt
	e.startedAt = now.Add(-l.Elapsed)
	c.sched.Adopt(l.Task, w.ID, e.startedAt)
	c.occupy(e, w)
	e.accepted = l.Task.Kind == cell.KindService
	if !e.accepted {
		// Also without a waiter, since the end of the lease frees capacity.
		c.await(e)
	}
}

// adoptTwin counts and stops a second lease of one task. No owner that follows the lease contract leaves one behind.
func (c *control) adoptTwin(w *worker, l cell.Lease, now time.Time) {
	c.p.Logger.Error().Str("task", string(l.Attempt.Task)).Str("worker", string(w.ID)).Msg("two leases of one task")
	twin := l.Task
	twin.ID = cell.TaskID(string(l.Attempt.Task) + "#" + string(w.ID))
	e := &entry{task: twin, arrived: now, adopted: true, ran: true, attempt: l.Attempt, startedAt: now}
	c.add(e)
	c.sched.Adopt(twin, w.ID, now)
	c.occupy(e, w)
}

// occupy marks e as running on w.
func (c *control) occupy(e *entry, w *worker) {
	e.phase = phaseRunning
	e.worker, e.boot = w.ID, w.boot
	w.entries[e.task.ID] = e
}

// compare settles the attempts on w that the worker's report contradicts.
func (c *control) compare(w *worker, ev claimDone) {
	phases := make(map[cell.Attempt]cell.LeasePhase, len(ev.report.Leases))
	for _, l := range ev.report.Leases {
		phases[l.Attempt] = l.Phase
	}
	for _, id := range sortedKeys(w.entries) {
		e := w.entries[id]
		switch {
		case phases[e.attempt] == cell.LeaseRunning:
			e.ran = true
		case !e.settling && !e.over:
			c.missing(e, phases[e.attempt], ev)
		}
	}
}

// missing handles a running entry that its worker does not list as running.
func (c *control) missing(e *entry, phase cell.LeasePhase, ev claimDone) {
	switch {
	case e.adopted && !e.open && len(e.waiters) == 0:
		c.remove(e)
	case !e.open:
		c.settle(e)
	case phase != "":
		// The answer may be on its way; it is fetched again if the next report says the same.
		e.endedReports++
		if e.endedReports > 1 {
			c.settle(e)
		}
	case ev.sentAt.Sub(e.sentAt) > c.p.ReportGrace:
		c.settle(e)
	}
}

func later(a, b cell.Attempt) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.N > b.N
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(string(a), string(b)) })
	return keys
}
