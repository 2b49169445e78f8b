package job

import (
	"bytes"
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// flush writes the progress of every part that changed and has no write under way.
func (c *Controller) flush() {
	for _, p := range c.parts {
		if p.dirty && !p.writing && !p.closing {
			c.write(p)
		}
	}
}

func (c *Controller) write(p *part) {
	p.dirty = false
	p.writing = true
	row := p.snapshot()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		version, err := c.save(ctx, row)
		c.inbox.post(func(c *Controller) { c.written(row.Job, version, err) })
	}()
}

// save writes a part's row and settles a lost answer by reading the row back.
func (c *Controller) save(ctx context.Context, row PartRow) (uint64, error) {
	version, err := c.store.SavePart(ctx, c.shard, row)
	if !errors.Is(err, platform.ErrUncertain) && !errors.Is(err, platform.ErrConflict) {
		return version, err
	}
	got, readErr := c.store.LoadPart(ctx, c.shard, row.Job)
	if readErr != nil {
		return 0, readErr
	}
	if bytes.Equal(platform.EncodeRow(got.Progress), platform.EncodeRow(row.Progress)) {
		return got.Version, nil
	}
	if got.Version == row.Version {
		return 0, platform.ErrUncertain
	}
	return 0, platform.ErrConflict
}

func (c *Controller) written(id cell.JobID, version uint64, err error) {
	p := c.parts[id]
	if p == nil {
		return
	}
	p.writing = false
	switch {
	case err == nil:
		p.row.Version = version
	case errors.Is(err, platform.ErrConflict):
		c.lost(p)
		return
	default:
		p.dirty = true
	}
	if p.finished() {
		c.close(p)
	}
}

// close removes the part once its last write has ended; a failure is tried again at the next flush.
func (c *Controller) close(p *part) {
	if p.writing || p.closing {
		return
	}
	p.closing = true
	row := p.snapshot()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		err := c.store.ClosePart(ctx, c.shard, row, time.Now())
		c.inbox.post(func(c *Controller) { c.closed(row.Job, err) })
	}()
}

func (c *Controller) closed(id cell.JobID, err error) {
	p := c.parts[id]
	if p == nil {
		return
	}
	p.closing = false
	switch {
	case err == nil, errors.Is(err, platform.ErrNotFound):
		c.remove(id)
		c.log.Info().Str("shard", string(c.shard)).Str("job", string(id)).
			Int("succeeded", p.row.Progress.Counts.Succeeded).Int("failed", p.row.Progress.Counts.Failed).Msg("job closed")
	case errors.Is(err, platform.ErrConflict):
		c.lost(p)
	default:
		time.AfterFunc(flushInterval, func() {
			c.inbox.post(func(c *Controller) {
				if c.parts[id] == p {
					c.close(p)
				}
			})
		})
	}
}

// lost gives up a part that another owner has written.
func (c *Controller) lost(p *part) {
	c.remove(p.record.Spec.ID)
	c.log.Warn().Str("shard", string(c.shard)).Str("job", string(p.record.Spec.ID)).Msg("job written by another owner")
	c.onLost()
}

// flushNow writes every changed part once, for a planned stop.
func (c *Controller) flushNow(ctx context.Context) {
	reply := make(chan []PartRow, 1)
	c.inbox.post(func(c *Controller) {
		var rows []PartRow
		for _, p := range c.parts {
			if p.dirty && !p.writing && !p.closing {
				rows = append(rows, p.snapshot())
			}
		}
		reply <- rows
	})
	select {
	case rows := <-reply:
		for _, row := range rows {
			_, _ = c.save(ctx, row)
		}
	case <-ctx.Done():
	case <-c.ended:
	}
}

func (c *Controller) sweep() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		now := time.Now()
		err := c.store.Sweep(ctx, c.shard, now.Add(-retention), now)
		if err != nil {
			c.log.Warn().Str("shard", string(c.shard)).Err(err).Msg("ended jobs not swept")
		}
	}()
}

// snapshot copies the part's row, so that a write can go on while tasks end.
func (p *part) snapshot() PartRow {
	row := p.row
	row.Progress.Done = bytes.Clone(row.Progress.Done)
	return row
}
