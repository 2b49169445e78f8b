package shard

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// evacuationTimeout is how long the replacement of a moved service task is waited for before the next task of the job is moved.
const evacuationTimeout = time.Minute

// evacuation is the last move of a service's task off a leaving worker.
type evacuation struct {
	startedAt time.Time
	// jobSize is the number of the job's tasks before the move.
	jobSize int
}

// evacuate stops service tasks on leaving workers, which would otherwise never end, one of each job at a time. The job's
// controller starts it again, on another worker. Work that ends by itself is left to its end.
func (c *controlLoop) evacuate(now time.Time) {
	if c.state != stateServing {
		return
	}
	for _, id := range sortedKeys(c.workers) {
		w := c.workers[id]
		if !w.leaving && w.State != cell.WorkerLeaving {
			continue
		}
		for _, task := range sortedKeys(w.entries) {
			e := w.entries[task]
			if e.task.Kind == cell.KindService && e.accepted && c.mayEvacuate(e, now) {
				c.evacuations[e.task.Job] = evacuation{startedAt: now, jobSize: len(c.jobs[e.task.Job])}
				c.logDecision(e, "evacuate", cell.Reason{Code: cell.ReasonDraining, Detail: "the worker is leaving"})
				c.stop(e, cell.ReasonDraining, platform.StopCheckpoint)
			}
		}
	}
}

// mayEvacuate reports whether every task of e's job runs, the replacement of the one moved last included.
func (c *controlLoop) mayEvacuate(e *taskEntry, now time.Time) bool {
	tasks := c.jobs[e.task.Job]
	last := c.evacuations[e.task.Job]
	if now.Sub(last.startedAt) < evacuationTimeout && len(tasks) < last.jobSize {
		return false
	}
	for id := range tasks {
		if member := c.entries[id]; member.phase != phaseRunning || !member.accepted || member.stopping {
			return false
		}
	}
	return true
}
