package owner

import (
	"context"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

const (
	// maxJobsPerDeletion bounds the jobs that are forgotten at once.
	maxJobsPerDeletion = 40
	// deletionTimeout bounds the removal of their records, a transaction for each part of the intake.
	deletionTimeout = 5 * time.Second
)

// endedJob is a job that has ended, whose rows are removed in two steps: its record once callers no longer ask for it, and its
// progress as long again after that. A record without progress would be that of a new job, which must never be read of one
// that has run.
type endedJob struct {
	job      graph.JobID
	removeAt monotime.Instant
	// hasRecord means that the record is still there.
	hasRecord bool
}

// scheduleRemoval has a job forgotten in time.
func (c *controller) scheduleRemoval(id graph.JobID, recorded bool) {
	if c.removalScheduled[id] {
		return
	}
	c.removalScheduled[id] = true
	c.endedJobs = append(c.endedJobs, endedJob{id, c.now().Add(c.Retention), recorded})
}

// removeEndedJobs removes the rows that are due.
func (c *controller) removeEndedJobs() {
	if c.deletingRecords || !c.reportsComplete || !c.valid() {
		return
	}
	now := c.now()
	var records []graph.JobID
	for len(c.endedJobs) > 0 && now >= c.endedJobs[0].removeAt && len(records) < maxJobsPerDeletion && len(c.removableProgress) < maxJobsPerDeletion {
		e := c.endedJobs[0]
		c.endedJobs = c.endedJobs[1:]
		delete(c.removalScheduled, e.job)
		switch {
		case !e.hasRecord:
			c.removableProgress[e.job] = struct{}{}
		case c.engine.Forget(e.job):
			records = append(records, e.job)
		default:
			c.scheduleRemoval(e.job, true)
		}
	}
	if len(records) > 0 {
		c.deletingRecords = true
		go c.deleteRecords(records)
	}
}

func (c *controller) deleteRecords(jobs []graph.JobID) {
	ctx, cancel := context.WithTimeout(c.ctx, deletionTimeout)
	defer cancel()
	err := c.Replica.DeleteJobRecords(ctx, jobs)
	c.Log.Info().Int("rows", len(jobs)).Err(err).Msg("records of old jobs removed")
	c.post(func() {
		c.deletingRecords = false
		for _, id := range jobs {
			c.scheduleRemoval(id, err != nil)
		}
	})
}
