package job

import (
	"context"
	"errors"
	"slices"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// pendingRead is a read of a job's rows that is in flight.
type pendingRead struct {
	job cell.JobID
	// stale means that the job's part was closed or abandoned after the read began.
	stale bool
}

// loadJob reads a job's record and, if the part is not running yet, its progress. Reads of one job don't wait for each
// other, since a later one may show a cancellation.
func (c *Controller) loadJob(id cell.JobID) {
	known := c.parts[id] != nil
	pending := &pendingRead{job: id}
	c.pendingReads[id] = append(c.pendingReads[id], pending)
	go func() {
		r, row, err := c.readRows(id, known)
		c.events.post(func(c *Controller) {
			c.endRead(pending)
			switch {
			case err != nil:
			case known:
				c.updateRecord(r)
			case !pending.stale:
				c.openPart(r, row)
			}
		})
	}()
}

// readRows reads a job's record and, unless the part is known, its progress.
func (c *Controller) readRows(id cell.JobID, known bool) (Record, PartRow, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	r, _, err := c.store.Load(ctx, id)
	if err != nil {
		c.log.Warn().Str("job", string(id)).Err(err).Msg("job record not read")
		return r, PartRow{}, err
	}
	if known {
		return r, PartRow{}, nil
	}
	row, err := c.store.LoadPart(ctx, c.shard, id)
	if err != nil && !errors.Is(err, platformapi.ErrNotFound) {
		c.log.Warn().Str("job", string(id)).Err(err).Msg("job part not read")
	}
	return r, row, err
}

// endRead removes a read from those in flight.
func (c *Controller) endRead(r *pendingRead) {
	remaining := slices.DeleteFunc(c.pendingReads[r.job], func(other *pendingRead) bool { return other == r })
	if len(remaining) == 0 {
		delete(c.pendingReads, r.job)
		return
	}
	c.pendingReads[r.job] = remaining
}

// removePart drops a part. Reads in flight may return rows from before its end, so they must not open it again.
func (c *Controller) removePart(id cell.JobID) {
	delete(c.parts, id)
	for _, r := range c.pendingReads[id] {
		r.stale = true
	}
}

// openPart begins to run the job's part in this shard.
func (c *Controller) openPart(r Record, row PartRow) {
	if c.parts[r.Spec.ID] != nil {
		c.updateRecord(r)
		return
	}
	bounds, ok := partOfShard(r, c.shard)
	if !ok {
		return
	}
	p := newPartState(r, bounds, row)
	c.parts[r.Spec.ID] = p
	c.log.Info().Str("shard", string(c.shard)).Str("job", string(r.Spec.ID)).Str("kind", string(r.Spec.Kind)).
		Int("from", bounds.From).Int("to", bounds.To).Int("done", row.Progress.Counts.Done()).Msg("job part opened")
	c.advance(p)
}
