package shard

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Parameters of worker ejection.
const (
	ejectAfterFailures   = 5                // failures of different jobs or tasks in a row
	workersPerEjection   = 4                // at most one of so many workers of a pool is ejected
	initialEjectionTime  = 10 * time.Second // doubled with each further ejection
	maxEjectionDoublings = 5                // limits how often the time is doubled
	maxFailureSources    = 4096             // jobs and tasks remembered in firstFailedOn
)

// healthTracker distinguishes bad workers, on which many different tasks fail, from poison tasks, which fail on many workers.
//
// A worker moves through these states:
//
//	        ejectAfterFailures         ejection time over         success
//	healthy ------------------> ejected -----------------> probing ------> healthy
//	                               ^                          |
//	                               +--------------------------+ failure
type healthTracker struct {
	workers map[cell.WorkerID]*workerHealth
	// firstFailedOn names the worker on which a job or task failed first.
	firstFailedOn map[string]cell.WorkerID
}

// workerHealth is the state of a worker with failures since its last success. A worker without an entry is healthy.
type workerHealth struct {
	pool string
	// failed holds the jobs and tasks that failed on this worker since its last success, and on no other worker.
	failed       map[string]bool
	ejections    int
	ejectedUntil time.Time
	ejected      bool
	probing      bool
	// probePlaced means that the one task that a probe consists of has been placed.
	probePlaced bool
}

func newHealthTracker() *healthTracker {
	return &healthTracker{workers: make(map[cell.WorkerID]*workerHealth), firstFailedOn: make(map[string]cell.WorkerID)}
}

// usable reports whether the worker may get another task.
func (h *healthTracker) usable(id cell.WorkerID) bool {
	w := h.workers[id]
	return w == nil || !w.ejected && !(w.probing && w.probePlaced)
}

// countPlacement reports whether the worker may get a task. On a worker that is being probed, the task is the probe.
func (h *healthTracker) countPlacement(id cell.WorkerID) bool {
	if !h.usable(id) {
		return false
	}
	if w := h.workers[id]; w != nil && w.probing {
		w.probePlaced = true
	}
	return true
}

// recordResult counts a success or failure of an attempt and reports whether the worker's usability changed. source names
// the task's job, or the task itself if it has none. poolSize returns the number of workers of the pool.
func (h *healthTracker) recordResult(now time.Time, w cell.Worker, source string, ok bool, poolSize func(pool string) int) bool {
	s := h.workers[w.ID]
	if ok {
		if s == nil {
			return false
		}
		changed := s.probing
		delete(h.workers, w.ID)
		return changed
	}
	if s == nil {
		s = &workerHealth{pool: w.Pool, failed: make(map[string]bool)}
		h.workers[w.ID] = s
	}
	if s.probing {
		h.eject(now, s)
		return true
	}
	h.recordFailure(s, w.ID, source)
	if s.ejected || len(s.failed) < ejectAfterFailures || h.ejectedCount(w.Pool) >= poolSize(w.Pool)/workersPerEjection {
		return false
	}
	h.eject(now, s)
	return true
}

// recordFailure counts a failure against the worker, unless the same job or task failed on another worker before. In that
// case it no longer counts against that worker either, unless that worker is ejected.
func (h *healthTracker) recordFailure(s *workerHealth, id cell.WorkerID, source string) {
	if len(h.firstFailedOn) >= maxFailureSources {
		clear(h.firstFailedOn)
	}
	first, seen := h.firstFailedOn[source]
	switch {
	case !seen:
		h.firstFailedOn[source] = id
		s.failed[source] = true
	case first == id:
		s.failed[source] = true
	default:
		if other := h.workers[first]; other != nil && !other.ejected {
			delete(other.failed, source)
		}
	}
}

func (h *healthTracker) eject(now time.Time, s *workerHealth) {
	s.ejected, s.probing, s.probePlaced = true, false, false
	s.ejectedUntil = now.Add(initialEjectionTime << min(s.ejections, maxEjectionDoublings))
	s.ejections++
	clear(s.failed)
}

func (h *healthTracker) ejectedCount(pool string) int {
	n := 0
	for _, s := range h.workers {
		if s.pool == pool && (s.ejected || s.probing) {
			n++
		}
	}
	return n
}

// startDueProbes lets workers be probed whose ejection time is over, and reports whether there was one.
func (h *healthTracker) startDueProbes(now time.Time) bool {
	changed := false
	for _, s := range h.workers {
		if s.ejected && !now.Before(s.ejectedUntil) {
			s.ejected, s.probing, s.probePlaced = false, true, false
			changed = true
		}
	}
	return changed
}

// cancelProbe forgets the probe placed on a worker, so that the next task is the probe, and reports whether there was one.
func (h *healthTracker) cancelProbe(id cell.WorkerID) bool {
	w := h.workers[id]
	if w == nil || !w.probePlaced {
		return false
	}
	w.probePlaced = false
	return true
}

func (h *healthTracker) forget(id cell.WorkerID) {
	delete(h.workers, id)
}

// recordAttemptResult counts a success or failure of e's attempt for its worker.
func (c *controlLoop) recordAttemptResult(e *taskEntry, ok bool) {
	w := c.workers[e.worker]
	if w == nil {
		return
	}
	source := string(e.task.Job)
	if source == "" {
		source = string(e.task.ID)
	}
	if !c.health.recordResult(time.Now(), w.Worker, source, ok, c.poolSize) {
		return
	}
	c.params.Logger.Warn().Str("shard", string(c.params.Shard)).Str("worker", string(w.ID)).Bool("usable", c.health.usable(w.ID)).Msg("worker health changed")
	c.publishWorker(w)
}

func (c *controlLoop) poolSize(pool string) int {
	n := 0
	for _, w := range c.workers {
		if w.Pool == pool {
			n++
		}
	}
	return n
}
