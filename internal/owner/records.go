package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
)

// Bounds of records.
const (
	// recordGap is kept between two records, so that what ends together is recorded together.
	recordGap = 25 * time.Millisecond
	// recordRetry is kept before a record that failed is tried again.
	recordRetry = 100 * time.Millisecond
	// maxRecords bounds the jobs of one record, below the store's bound of a transaction with the ownership row.
	maxRecords = 80
)

// record writes what changed, if nothing is being written and it is time.
func (c *control) record() {
	now := c.now()
	due := now >= c.renewAt || c.engine.HasDirty() || len(c.workerRows) > 0 || len(c.oldJobs) > 0
	if c.recording || !due || now < c.recordAt {
		if !c.recording && due {
			time.AfterFunc(max(0, c.recordAt.Sub(now)), func() { c.post(func() {}) })
		}
		return
	}
	batch := c.takeBatch()
	covered := map[dispatch.WorkerID]uint64(nil)
	if !c.engine.HasDirty() {
		covered = c.engine.LastEndSequences()
	}
	c.recording = true
	sent := now
	go func() {
		err := c.tenure.Commit(context.WithoutCancel(c.ctx), batch)
		c.events <- func() { c.recorded(batch, covered, sent, err) }
	}()
}

func (c *control) takeBatch() ledger.Batch {
	batch := ledger.Batch{}
	// Workers come first, since progress alone may fill one record after the other.
	for id, w := range c.workerRows {
		if batch.RowCount() >= maxRecords/2 {
			break
		}
		if w != nil {
			batch.Workers = append(batch.Workers, *w)
		} else {
			batch.RemovedWorkers = append(batch.RemovedWorkers, id)
		}
		delete(c.workerRows, id)
	}
	batch.Progress = c.engine.TakeDirty(maxRecords - batch.RowCount())
	for id := range c.oldJobs {
		if batch.RowCount() >= maxRecords {
			break
		}
		batch.RemovedJobs = append(batch.RemovedJobs, id)
		delete(c.oldJobs, id)
	}
	return batch
}

// recorded takes in the outcome of a record sent at the given time.
func (c *control) recorded(batch ledger.Batch, covered map[dispatch.WorkerID]uint64, sent monotime.Instant, err error) {
	c.recording = false
	now := c.now()
	if err != nil {
		c.recordFailed(batch, err)
		c.recordAt = now.Add(recordRetry)
		return
	}
	c.counts.records.Inc()
	c.renewedAt = sent
	c.recordAt = sent.Add(recordGap)
	c.renewAt = sent.Add(renewInterval)
	if !c.lost {
		c.validUntil.Store(int64(sent.Add(validFor)))
	}
	for _, w := range batch.Workers {
		c.workerRecorded(w)
	}
	for id, p := range batch.Progress {
		if p.State.Ended() {
			c.Log.Info().Str("job", string(id)).Str("state", string(p.State)).Uint64("epoch", c.tenure.Epoch()).Msg("job ended")
			c.noteEnded(id, true)
		}
	}
	c.cover(covered)
}

// workerRecorded takes a worker into use whose row is written, as the register has it now: it may have drained, left or ended
// meanwhile.
func (c *control) workerRecorded(w dispatch.Worker) {
	if row, newer := c.workerRows[w.ID]; newer && row == nil {
		return // it has ended, and its row goes with the next record
	}
	c.addLink(w, false)
	if listed, ok := c.registered[w.ID]; ok {
		c.workerListed(listed)
	} else {
		c.unregistered(w.ID)
	}
}

func (c *control) recordFailed(batch ledger.Batch, err error) {
	c.counts.recordFailures.Inc()
	if errors.Is(err, ledger.ErrNotOwner) {
		c.lose("ownership row changed")
		return
	}
	c.Log.Warn().Uint64("epoch", c.tenure.Epoch()).Int("rows", batch.RowCount()).Err(err).Msg("record not written, trying again")
	for id := range batch.Progress {
		c.engine.MarkDirty(id)
	}
	for _, w := range batch.Workers {
		c.restoreWorkerRow(w.ID, &w)
	}
	for _, id := range batch.RemovedWorkers {
		c.restoreWorkerRow(id, nil)
	}
	for _, id := range batch.RemovedJobs {
		c.oldJobs[id] = struct{}{}
	}
}

// restoreWorkerRow has a row that was not written recorded again, unless something newer is known of the worker.
func (c *control) restoreWorkerRow(id dispatch.WorkerID, w *dispatch.Worker) {
	if _, newer := c.workerRows[id]; !newer {
		c.workerRows[id] = w
	}
}

// acknowledge lets workers forget ends that need no record, when nothing waits to be recorded.
func (c *control) acknowledge() {
	if !c.recording && !c.engine.HasDirty() {
		c.cover(c.engine.LastEndSequences())
	}
}

// cover tells the links up to which sequence their workers' ends are recorded. Once ownership is lost nothing is known of
// what the store has.
func (c *control) cover(recorded map[dispatch.WorkerID]uint64) {
	if c.lost {
		return
	}
	for id, sequence := range recorded {
		if l := c.links[id]; l != nil {
			l.cover(sequence)
		}
	}
}
