package job

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// flush writes the progress of every part that has changed and has no write or close in flight.
func (c *Controller) flush() {
	for _, p := range c.parts {
		if p.dirty && !p.writeInFlight && !p.closeInFlight {
			c.writePart(p)
		}
	}
}

func (c *Controller) writePart(p *partState) {
	p.dirty = false
	p.writeInFlight = true
	row := p.snapshot()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		version, err := c.savePart(ctx, row)
		c.events.post(func(c *Controller) { c.partWritten(row.Job, version, err) })
	}()
}

// savePart writes a part's row. After a conflict or a lost answer it reads the row back to find out whether the write
// took effect.
func (c *Controller) savePart(ctx context.Context, row PartRow) (uint64, error) {
	version, err := c.store.SavePart(ctx, c.shard, row)
	if !errors.Is(err, platformapi.ErrUncertain) && !errors.Is(err, platformapi.ErrConflict) {
		return version, err
	}
	got, readErr := c.store.LoadPart(ctx, c.shard, row.Job)
	if readErr != nil {
		return 0, readErr
	}
	if bytes.Equal(platformapi.EncodeRow(got.Progress), platformapi.EncodeRow(row.Progress)) {
		return got.Version, nil
	}
	if got.Version == row.Version {
		return 0, platformapi.ErrUncertain
	}
	return 0, platformapi.ErrConflict
}

// partWritten handles the result of a write of a part's row.
func (c *Controller) partWritten(id cell.JobID, version uint64, err error) {
	p := c.parts[id]
	if p == nil {
		return
	}
	p.writeInFlight = false
	switch {
	case err == nil:
		p.row.Version = version
	case errors.Is(err, platformapi.ErrConflict):
		c.abandonPart(p)
		return
	default:
		p.dirty = true
	}
	if p.finished() {
		c.closePart(p)
	}
}

// closePart closes the part in the table, unless a write or close of it is in flight. A failed attempt is retried after
// flushInterval.
func (c *Controller) closePart(p *partState) {
	if p.writeInFlight || p.closeInFlight {
		return
	}
	p.closeInFlight = true
	row := p.snapshot()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		err := c.store.ClosePart(ctx, c.shard, row, time.Now())
		c.events.post(func(c *Controller) { c.partClosed(row.Job, err) })
	}()
}

// partClosed handles the result of an attempt to close a part.
func (c *Controller) partClosed(id cell.JobID, err error) {
	p := c.parts[id]
	if p == nil {
		return
	}
	p.closeInFlight = false
	switch {
	case err == nil, errors.Is(err, platformapi.ErrNotFound):
		c.removePart(id)
		c.log.Info().Str("shard", string(c.shard)).Str("job", string(id)).
			Int("succeeded", p.row.Progress.Counts.Succeeded).Int("failed", p.row.Progress.Counts.Failed).Msg("job part closed")
	case errors.Is(err, platformapi.ErrConflict):
		c.abandonPart(p)
	default:
		time.AfterFunc(flushInterval, func() {
			c.events.post(func(c *Controller) {
				if c.parts[id] == p {
					c.closePart(p)
				}
			})
		})
	}
}

// abandonPart stops running a part that another owner has written.
func (c *Controller) abandonPart(p *partState) {
	c.removePart(p.record.Spec.ID)
	c.log.Warn().Str("shard", string(c.shard)).Str("job", string(p.record.Spec.ID)).
		Msg("job part written by another owner")
	c.onSuperseded()
}

// flushNow writes every changed part once before a planned stop.
func (c *Controller) flushNow(ctx context.Context) {
	reply := make(chan []PartRow, 1)
	c.events.post(func(c *Controller) {
		var rows []PartRow
		for _, p := range c.parts {
			if p.dirty && !p.writeInFlight && !p.closeInFlight {
				rows = append(rows, p.snapshot())
			}
		}
		reply <- rows
	})
	select {
	case rows := <-reply:
		for _, row := range rows {
			_, _ = c.savePart(ctx, row)
		}
	case <-ctx.Done():
	case <-c.done:
	}
}

// sweep removes ended jobs from the table whose part was closed endedJobRetention ago.
func (c *Controller) sweep() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		now := time.Now()
		err := c.store.Sweep(ctx, c.shard, now.Add(-endedJobRetention), now)
		if err != nil {
			c.log.Warn().Str("shard", string(c.shard)).Err(err).Msg("ended jobs not removed from the table")
		}
	}()
}

// snapshot copies the part's row, so that tasks may end while the copy is written.
func (p *partState) snapshot() PartRow {
	row := p.row
	row.Progress.Done = bytes.Clone(row.Progress.Done)
	row.Progress.LostAttempts = maps.Clone(row.Progress.LostAttempts)
	return row
}
