package owner

import (
	"context"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

const (
	// maxForget bounds the jobs that are forgotten at once.
	maxForget = 40
	// forgetTimeout bounds the removal of their records, a transaction for each part of the intake.
	forgetTimeout = 5 * time.Second
)

// ending is a job that has ended, whose rows are removed in two steps: its record once callers no longer ask for it, and its
// progress as long again after that. A record without progress would be that of a new job, which must never be read of one
// that has run.
type ending struct {
	job graph.JobID
	due monotime.Instant
	// recorded means that the record is still there.
	recorded bool
}

// noteEnded has a job forgotten in time.
func (c *control) noteEnded(id graph.JobID, recorded bool) {
	if c.noted[id] {
		return
	}
	c.noted[id] = true
	c.endings = append(c.endings, ending{id, c.now().Add(c.Retention), recorded})
}

// forgetEnded removes the rows that are due.
func (c *control) forgetEnded() {
	if c.forgetting || !c.settled || !c.valid() {
		return
	}
	now := c.now()
	var records []graph.JobID
	for len(c.endings) > 0 && now >= c.endings[0].due && len(records) < maxForget && len(c.oldJobs) < maxForget {
		e := c.endings[0]
		c.endings = c.endings[1:]
		delete(c.noted, e.job)
		switch {
		case !e.recorded:
			c.oldJobs[e.job] = struct{}{}
		case c.engine.Forget(e.job):
			records = append(records, e.job)
		default:
			c.noteEnded(e.job, true)
		}
	}
	if len(records) > 0 {
		c.forgetting = true
		go c.forget(records)
	}
}

func (c *control) forget(jobs []graph.JobID) {
	ctx, cancel := context.WithTimeout(c.ctx, forgetTimeout)
	defer cancel()
	err := c.Replica.DeleteJobRecords(ctx, jobs)
	c.Log.Info().Int("rows", len(jobs)).Err(err).Msg("records of old jobs removed")
	c.post(func() {
		c.forgetting = false
		for _, id := range jobs {
			c.noteEnded(id, err != nil)
		}
	})
}
