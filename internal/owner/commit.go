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
	// commitDelay is kept between two records, so that what ends together is recorded together.
	commitDelay = 25 * time.Millisecond
	// commitRetryDelay is kept before a record that failed is tried again.
	commitRetryDelay = 100 * time.Millisecond
	// maxCommitRows bounds the jobs of one record, below the store's bound of a transaction with the ownership row.
	maxCommitRows = 80
)

// commitChanges writes what changed, if nothing is being written and it is time.
func (c *controller) commitChanges() {
	now := c.now()
	due := now >= c.renewalDueAt || c.engine.HasDirty() || len(c.pendingWorkerRows) > 0 || len(c.removableProgress) > 0
	if c.committing || !due || now < c.nextCommitAt {
		if !c.committing && due {
			time.AfterFunc(max(0, c.nextCommitAt.Sub(now)), func() { c.post(func() {}) })
		}
		return
	}
	batch := c.takeBatch()
	covered := map[dispatch.WorkerID]uint64(nil)
	if !c.engine.HasDirty() {
		covered = c.engine.LastEndSequences()
	}
	c.committing = true
	sent := now
	go func() {
		err := c.ownership.Commit(context.WithoutCancel(c.ctx), batch)
		c.events <- func() { c.handleCommitResult(batch, covered, sent, err) }
	}()
}

func (c *controller) takeBatch() ledger.Batch {
	batch := ledger.Batch{}
	// Workers come first, since progress alone may fill one record after the other.
	for id, w := range c.pendingWorkerRows {
		if batch.RowCount() >= maxCommitRows/2 {
			break
		}
		if w != nil {
			batch.Workers = append(batch.Workers, *w)
		} else {
			batch.RemovedWorkers = append(batch.RemovedWorkers, id)
		}
		delete(c.pendingWorkerRows, id)
	}
	batch.Progress = c.engine.TakeDirty(maxCommitRows - batch.RowCount())
	for id := range c.removableProgress {
		if batch.RowCount() >= maxCommitRows {
			break
		}
		batch.RemovedJobs = append(batch.RemovedJobs, id)
		delete(c.removableProgress, id)
	}
	return batch
}

// handleCommitResult takes in the outcome of a record sent at the given time.
func (c *controller) handleCommitResult(batch ledger.Batch, covered map[dispatch.WorkerID]uint64, sent monotime.Instant, err error) {
	c.committing = false
	now := c.now()
	if err != nil {
		c.handleCommitFailure(batch, err)
		c.nextCommitAt = now.Add(commitRetryDelay)
		return
	}
	c.instruments.commits.Inc()
	c.lastRenewalAt = sent
	c.nextCommitAt = sent.Add(commitDelay)
	c.renewalDueAt = sent.Add(renewInterval)
	if !c.ownershipLost {
		c.validUntil.Store(int64(sent.Add(ownershipValidity)))
	}
	for _, w := range batch.Workers {
		c.startUsingWorker(w)
	}
	for id, p := range batch.Progress {
		if p.State.Ended() {
			c.Log.Info().Str("job", string(id)).Str("state", string(p.State)).Uint64("epoch", c.ownership.Epoch()).Msg("job ended")
			c.scheduleRemoval(id, true)
		}
	}
	c.setRecorded(covered)
}

// startUsingWorker takes a worker into use whose row is written, as the register has it now: it may have drained, left or ended
// meanwhile.
func (c *controller) startUsingWorker(w dispatch.Worker) {
	if row, newer := c.pendingWorkerRows[w.ID]; newer && row == nil {
		return // it has ended, and its row goes with the next record
	}
	c.addWorkerConn(w, false)
	if listed, ok := c.registered[w.ID]; ok {
		c.handleRegistered(listed)
	} else {
		c.handleUnregistered(w.ID)
	}
}

func (c *controller) handleCommitFailure(batch ledger.Batch, err error) {
	c.instruments.commitFailures.Inc()
	if errors.Is(err, ledger.ErrNotOwner) {
		c.loseOwnership("ownership row changed")
		return
	}
	c.Log.Warn().Uint64("epoch", c.ownership.Epoch()).Int("rows", batch.RowCount()).Err(err).Msg("record not written, trying again")
	for id := range batch.Progress {
		c.engine.MarkDirty(id)
	}
	for _, w := range batch.Workers {
		c.requeueWorkerRow(w.ID, &w)
	}
	for _, id := range batch.RemovedWorkers {
		c.requeueWorkerRow(id, nil)
	}
	for _, id := range batch.RemovedJobs {
		c.removableProgress[id] = struct{}{}
	}
}

// requeueWorkerRow has a row that was not written recorded again, unless something newer is known of the worker.
func (c *controller) requeueWorkerRow(id dispatch.WorkerID, w *dispatch.Worker) {
	if _, newer := c.pendingWorkerRows[id]; !newer {
		c.pendingWorkerRows[id] = w
	}
}

// acknowledgeEnds lets workers forget ends that need no record, when nothing waits to be recorded.
func (c *controller) acknowledgeEnds() {
	if !c.committing && !c.engine.HasDirty() {
		c.setRecorded(c.engine.LastEndSequences())
	}
}

// setRecorded tells the links up to which sequence their workers' ends are recorded. Once ownership is lost nothing is known of
// what the store has.
func (c *controller) setRecorded(recorded map[dispatch.WorkerID]uint64) {
	if c.ownershipLost {
		return
	}
	for id, sequence := range recorded {
		if l := c.workerConns[id]; l != nil {
			l.setRecorded(sequence)
		}
	}
}
