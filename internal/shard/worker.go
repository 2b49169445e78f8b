package shard

import (
	"slices"
	"strings"
	"time"

	"laburnumpoint/internal/cell"
)

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

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(string(a), string(b)) })
	return keys
}
