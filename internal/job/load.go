package job

import (
	"context"
	"errors"
	"slices"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// reading is one look at a job's rows that is under way.
type reading struct {
	job cell.JobID
	// overtaken means that the job's part has been closed or given up since the reading began.
	overtaken bool
}

// load reads a job's record and, if the part isn't run yet, its progress. Readings of one job don't wait for each other, since
// a later one may tell of a cancellation.
func (c *Controller) load(id cell.JobID) {
	known := c.parts[id] != nil
	now := &reading{job: id}
	c.readings[id] = append(c.readings[id], now)
	go func() {
		r, row, err := c.read(id, known)
		c.inbox.post(func(c *Controller) {
			c.endReading(now)
			switch {
			case err != nil:
			case known:
				c.update(r)
			case !now.overtaken:
				c.open(r, row)
			}
		})
	}()
}

// read returns a job's record and, unless the part is known, its progress.
func (c *Controller) read(id cell.JobID, known bool) (Record, PartRow, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	r, _, err := c.store.Load(ctx, id)
	if err != nil {
		c.log.Warn().Str("job", string(id)).Err(err).Msg("job not read")
		return r, PartRow{}, err
	}
	if known {
		return r, PartRow{}, nil
	}
	row, err := c.store.LoadPart(ctx, c.shard, id)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		c.log.Warn().Str("job", string(id)).Err(err).Msg("job progress not read")
	}
	return r, row, err
}

func (c *Controller) endReading(r *reading) {
	left := slices.DeleteFunc(c.readings[r.job], func(other *reading) bool { return other == r })
	if len(left) == 0 {
		delete(c.readings, r.job)
		return
	}
	c.readings[r.job] = left
}

// remove forgets a part. What readings under way bring may be older than its end, and must not open it again.
func (c *Controller) remove(id cell.JobID) {
	delete(c.parts, id)
	for _, r := range c.readings[id] {
		r.overtaken = true
	}
}

func (c *Controller) open(r Record, row PartRow) {
	if c.parts[r.Spec.ID] != nil {
		c.update(r)
		return
	}
	bounds, ok := partIn(r, c.shard)
	if !ok {
		return
	}
	p := newPart(r, bounds, row)
	c.parts[r.Spec.ID] = p
	c.log.Info().Str("shard", string(c.shard)).Str("job", string(r.Spec.ID)).Str("kind", string(r.Spec.Kind)).
		Int("from", bounds.From).Int("to", bounds.To).Int("done", row.Progress.Counts.Done()).Msg("job opened")
	c.advance(p)
}
