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
	// bootID is the boot id under which the worker was claimed; empty if it is not known.
	bootID  string
	claimed bool
	// everClaimed means that the worker was claimed and its leases were read at least once under this epoch.
	everClaimed bool
	// reachable means that the last claim or start reached the worker.
	reachable bool
	// leaving means that the worker gets no new work because it is to end.
	leaving       bool
	claimInFlight bool
	nextClaimAt   time.Time
	// publishedWorker and publishedUsable are what was last passed to the scheduler, if published is set.
	published       bool
	publishedWorker cell.Worker
	publishedUsable bool
	// entries are the running entries on this worker.
	entries map[cell.TaskID]*taskEntry
	// endedTasks names the tasks whose leases on this worker are in controlLoop.endedLeases.
	endedTasks []cell.TaskID
}

// workersListed is the platform's VM list, limited to this shard.
type workersListed struct {
	workers []cell.Worker
	// beforeOwnership means that the list was read before the ownership began.
	beforeOwnership bool
}

func (ev workersListed) apply(c *controlLoop) {
	if ev.beforeOwnership && c.workerListCurrent {
		return
	}
	c.workerListSeen = true
	c.workerListCurrent = !ev.beforeOwnership
	now := time.Now()
	stillListed := make(map[cell.WorkerID]bool, len(ev.workers))
	for _, listed := range ev.workers {
		if listed.State == cell.WorkerGone {
			continue
		}
		stillListed[listed.ID] = true
		w := c.workers[listed.ID]
		if w == nil {
			w = &worker{nextClaimAt: now, entries: make(map[cell.TaskID]*taskEntry)}
			c.workers[listed.ID] = w
		}
		w.Worker = listed
		c.publishWorker(w)
	}
	for _, id := range sortedKeys(c.workers) {
		if !stillListed[id] && c.workerListCurrent {
			c.removeWorker(c.workers[id])
		}
	}
	c.updatePolicy() // quotas depend on which workers have not been claimed yet
	c.claimDueWorkers(now)
	c.admitRecovered()
}

// workersLeaving marks workers that get no new work from now on.
type workersLeaving struct {
	ids []cell.WorkerID
}

func (ev workersLeaving) apply(c *controlLoop) {
	for _, id := range ev.ids {
		if w := c.workers[id]; w != nil {
			w.leaving = true
			c.publishWorker(w)
		}
	}
}

// removeWorker removes a worker that is no longer on the VM list. Its leases have ended.
func (c *controlLoop) removeWorker(w *worker) {
	c.forgetEndedLeases(w)
	delete(c.workers, w.ID)
	c.sched.RemoveWorker(w.ID)
	c.health.forget(w.ID)
	for _, id := range sortedKeys(w.entries) {
		c.leaseEnded(w.entries[id], "the worker VM is gone", w.leaving)
	}
	c.schedulingNeeded = true
}

// publishWorker passes w's description, and whether it may get new work, to the scheduler if they have changed.
func (c *controlLoop) publishWorker(w *worker) {
	current := w.Worker
	if w.leaving {
		current.State = cell.WorkerLeaving
	}
	usable := w.claimed && w.reachable && !c.configDoc.Drained[w.ID] && c.health.usable(w.ID)
	if w.published && w.publishedWorker == current && w.publishedUsable == usable {
		return
	}
	w.published, w.publishedWorker, w.publishedUsable = true, current, usable
	c.sched.UpsertWorker(current, usable)
	c.schedulingNeeded = true
}

func (c *controlLoop) publishWorkers() {
	for _, id := range sortedKeys(c.workers) {
		c.publishWorker(c.workers[id])
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(string(a), string(b)) })
	return keys
}
