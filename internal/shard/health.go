package shard

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Parameters of worker ejection.
const (
	ejectAfter       = 5 // different jobs or tasks failed in a row
	ejectShare       = 4 // at most one worker of so many of a pool is ejected
	ejectFirst       = 10 * time.Second
	ejectMaxShift    = 5
	maxFailureSource = 4096
)

// health tells bad workers, which fail many different tasks, from poison tasks, which fail on many workers.
//
// A worker moves through these states:
//
//	        ejectAfter failures        back-off over          success
//	healthy -------------------> ejected ----------> probing -------> healthy
//	                                ^                   |
//	                                +-------------------+ failure
type health struct {
	workers map[cell.WorkerID]*workerHealth
	// failedAt names the worker that a job or task failed on first.
	failedAt map[string]cell.WorkerID
}

type workerHealth struct {
	pool string
	// failed holds the jobs and tasks that failed here since the last success, and on no other worker.
	failed    map[string]bool
	ejections int
	until     time.Time
	ejected   bool
	probing   bool
	// probeOut means that the one task of a probe is placed.
	probeOut bool
}

func newHealth() *health {
	return &health{workers: make(map[cell.WorkerID]*workerHealth), failedAt: make(map[string]cell.WorkerID)}
}

// usable reports whether the worker may get another task.
func (h *health) usable(id cell.WorkerID) bool {
	w := h.workers[id]
	return w == nil || !w.ejected && !(w.probing && w.probeOut)
}

// take counts a task that is placed on the worker and reports whether the worker may get it.
func (h *health) take(id cell.WorkerID) bool {
	if !h.usable(id) {
		return false
	}
	if w := h.workers[id]; w != nil && w.probing {
		w.probeOut = true
	}
	return true
}

// note counts the end of an attempt and reports whether the worker's usability changed. source names the task's job, or
// the task itself if it has none. poolSize returns the number of workers of the pool.
func (h *health) note(now time.Time, w cell.Worker, source string, ok bool, poolSize func(pool string) int) bool {
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
	h.blame(s, w.ID, source)
	if s.ejected || len(s.failed) < ejectAfter || h.ejectedOf(w.Pool) >= poolSize(w.Pool)/ejectShare {
		return false
	}
	h.eject(now, s)
	return true
}

// blame counts a failure against the worker unless the same job or task failed on another worker too.
func (h *health) blame(s *workerHealth, id cell.WorkerID, source string) {
	if len(h.failedAt) >= maxFailureSource {
		clear(h.failedAt)
	}
	first, seen := h.failedAt[source]
	switch {
	case !seen:
		h.failedAt[source] = id
		s.failed[source] = true
	case first == id:
		s.failed[source] = true
	default:
		if other := h.workers[first]; other != nil && !other.ejected {
			delete(other.failed, source)
		}
	}
}

func (h *health) eject(now time.Time, s *workerHealth) {
	s.ejected, s.probing, s.probeOut = true, false, false
	s.until = now.Add(ejectFirst << min(s.ejections, ejectMaxShift))
	s.ejections++
	clear(s.failed)
}

func (h *health) ejectedOf(pool string) int {
	n := 0
	for _, s := range h.workers {
		if s.pool == pool && (s.ejected || s.probing) {
			n++
		}
	}
	return n
}

// returnDue starts the probes whose back-off is over and reports whether there was one.
func (h *health) returnDue(now time.Time) bool {
	changed := false
	for _, s := range h.workers {
		if s.ejected && !now.Before(s.until) {
			s.ejected, s.probing, s.probeOut = false, true, false
			changed = true
		}
	}
	return changed
}

// put takes back a task that was counted with take, so that a probe that brought nothing can be made again.
func (h *health) put(id cell.WorkerID) bool {
	w := h.workers[id]
	if w == nil || !w.probeOut {
		return false
	}
	w.probeOut = false
	return true
}

func (h *health) forget(id cell.WorkerID) {
	delete(h.workers, id)
}

// noteHealth counts the end of e's attempt for its worker.
func (c *control) noteHealth(e *entry, ok bool) {
	w := c.workers[e.worker]
	if w == nil {
		return
	}
	source := string(e.task.Job)
	if source == "" {
		source = string(e.task.ID)
	}
	if !c.health.note(time.Now(), w.Worker, source, ok, c.poolSize) {
		return
	}
	c.p.Logger.Warn().Str("shard", string(c.p.Shard)).Str("worker", string(w.ID)).Bool("usable", c.health.usable(w.ID)).Msg("worker health changed")
	c.refresh(w)
}

func (c *control) poolSize(pool string) int {
	n := 0
	for _, w := range c.workers {
		if w.Pool == pool {
			n++
		}
	}
	return n
}
