package owner

import (
	"context"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Limits on the removal of ended jobs.
const (
	// maxJobsPerDeletion bounds the jobs whose records are removed at once.
	maxJobsPerDeletion = 40
	// deletionTimeout bounds the removal of these records, which takes one transaction for each part of the intake table.
	deletionTimeout = 5 * time.Second
)

// endedJob is a job that has ended and whose rows are removed in two steps: the record after the retention time, and the progress
// after as long again. In the other order, a daemon that read only the record would take the job for a new one.
type endedJob struct {
	job      graph.JobID
	removeAt monotime.Instant
	// hasRecord means that the record has not been removed yet.
	hasRecord bool
}

// markRetention is how long the mark of a cancelled job is kept: longer than a write that accepts the job, or a further try of its caller, may
// be late.
const markRetention = 2 * time.Minute

// marksPerRemoval bounds the marks of cancelled jobs that are removed at once, one transaction each. It keeps up with marksPerSecond of package
// entry.
const marksPerRemoval = 4

// removeCancelMarks starts the removal of old marks.
func (c *controller) removeCancelMarks() {
	if c.removingMarks || !c.reportsComplete || !c.ownershipValid() {
		return
	}
	old := c.Replica.CancelMarks(c.now().Add(-markRetention), marksPerRemoval)
	if len(old) == 0 {
		return
	}
	c.removingMarks = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, deletionTimeout)
		defer cancel()
		err := c.Replica.RemoveCancelMarks(ctx, old)
		c.Log.Info().Int("rows", len(old)).Err(err).Msg("finished deleting marks of cancelled jobs")
		c.post(func() { c.removingMarks = false })
	}()
}

// scheduleRemoval schedules the next step of an ended job's removal, unless one is scheduled.
func (c *controller) scheduleRemoval(id graph.JobID, hasRecord bool) {
	if c.removalScheduled[id] {
		return
	}
	c.removalScheduled[id] = true
	c.endedJobs = append(c.endedJobs, endedJob{id, c.now().Add(c.Retention), hasRecord})
}

// removeEndedJobs starts the removal of rows that are due, up to maxJobsPerDeletion jobs at once.
func (c *controller) removeEndedJobs() {
	if c.deletingRecords || !c.reportsComplete || !c.ownershipValid() {
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

// deleteRecords removes jobs' records from the ledger and schedules their next step, or the same one again after a failure.
func (c *controller) deleteRecords(jobs []graph.JobID) {
	ctx, cancel := context.WithTimeout(c.ctx, deletionTimeout)
	defer cancel()
	err := c.Replica.DeleteJobRecords(ctx, jobs)
	c.Log.Info().Int("rows", len(jobs)).Err(err).Msg("finished deleting records of ended jobs")
	c.post(func() {
		c.deletingRecords = false
		for _, id := range jobs {
			c.scheduleRemoval(id, err != nil)
		}
	})
}
