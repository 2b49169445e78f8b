package shard

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// evacuationTimeout bounds the wait for the replacement of an evacuated task before the next task of the job is evacuated.
const evacuationTimeout = time.Minute

// evacuation records when a service's task was last stopped because its worker was leaving.
type evacuation struct {
	startedAt time.Time
	// jobSize is the number of the job's tasks before the stop.
	jobSize int
}

// evacuate stops service tasks on leaving workers, since they don't end by themselves, one task of each job at a time. The
// job's controller starts them again on other workers. Work that ends by itself is not stopped.
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
				c.stop(e, cell.ReasonDraining, platformapi.StopCheckpoint)
			}
		}
	}
}

// mayEvacuate reports whether a task of e's job may be stopped: every task of the job runs, including the replacement of the
// task that was evacuated last. A missing replacement is waited for until evacuationTimeout.
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
