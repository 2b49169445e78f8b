package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/rowstore"
)

// Timing and size of commits.
const (
	// commitDelay is the least time between the starts of two commits, so that runs that end together are recorded together.
	commitDelay = 25 * time.Millisecond
	// commitRetryDelay is the delay after a failed commit.
	commitRetryDelay = 100 * time.Millisecond
	// maxCommitRows bounds the rows of a commit besides the ownership row, below the store's limit for a transaction.
	maxCommitRows = 80
)

// commitChanges starts a commit if there are changes or the renewal of the ownership is due, unless one is under way or it is too
// early for the next.
func (c *controller) commitChanges() {
	if c.ownershipLost {
		return // the successor has been told what is not recorded
	}
	now := c.now()
	due := now >= c.renewalDueAt || c.engine.HasDirty() || len(c.pendingWorkerRows) > 0 || len(c.removableProgress) > 0
	if c.committing || !due || now < c.nextCommitAt {
		if !c.committing && due {
			time.AfterFunc(max(0, c.nextCommitAt.Sub(now)), func() { c.post(func() {}) })
		}
		return
	}
	batch := c.takeBatch()
	// If the batch leaves no progress for a later commit, it covers all ends that the workers have reported.
	recordedEnds := map[dispatch.WorkerID]uint64(nil)
	switch {
	case !c.engine.HasDirty():
		recordedEnds = c.engine.LastEndSequences()
	case c.endsBarrier == nil:
		c.endsBarrier = newEndsBarrier(c.engine, batch)
	}
	c.committing = true
	sentAt, renewalDueAt := now, c.renewalDueAt
	go func() {
		ctx := context.WithoutCancel(c.ctx)
		err := c.ownership.Commit(ctx, batch)
		if errors.Is(err, rowstore.ErrRejected) && c.now() >= renewalDueAt {
			err = c.renewAfterRejection(ctx, err)
		}
		c.events <- func() { c.handleCommitResult(batch, recordedEnds, sentAt, err) }
	}()
}

// renewAfterRejection renews the ownership without the rows of a rejected commit: those of the next one may be rejected too, as may many after
// it. It returns the commit's error, or the renewal's if another daemon owns the cell.
func (c *controller) renewAfterRejection(ctx context.Context, rejection error) error {
	sentAt := c.now()
	switch err := c.ownership.Commit(ctx, ledger.Batch{}); {
	case err == nil:
		c.events <- func() { c.noteRenewal(sentAt) }
	case errors.Is(err, ledger.ErrNotOwner):
		return err
	}
	return rejection
}

// noteRenewal notes a commit that was sent at the given time and has renewed the ownership.
func (c *controller) noteRenewal(sentAt monotime.Instant) {
	c.lastRenewalAt, c.renewalDueAt = sentAt, sentAt.Add(renewInterval)
	c.extendValidity(sentAt)
}

// endsBarrier are ends that are recorded once the progress of all jobs that waited for a commit at that time is. Without it workers could
// not forget any end as long as each commit leaves some progress.
type endsBarrier struct {
	// sequences are those of the last end of each worker that the progress covers.
	sequences map[dispatch.WorkerID]uint64
	waiting   map[graph.JobID]struct{}
}

// newEndsBarrier returns a barrier for the jobs in the batch and those that are left for later ones.
func newEndsBarrier(engine *dispatch.Engine, batch ledger.Batch) *endsBarrier {
	b := &endsBarrier{sequences: engine.LastEndSequences(), waiting: make(map[graph.JobID]struct{})}
	for id := range batch.Progress {
		b.waiting[id] = struct{}{}
	}
	for _, id := range engine.DirtyJobs() {
		b.waiting[id] = struct{}{}
	}
	return b
}

// noteRecorded notes a batch that has been committed, and confirms the barrier's ends if no job is left. recordedEnds covers all ends
// if it is set.
func (c *controller) noteRecorded(batch ledger.Batch, recordedEnds map[dispatch.WorkerID]uint64) {
	b := c.endsBarrier
	switch {
	case b == nil:
	case recordedEnds != nil:
		c.endsBarrier = nil
	default:
		for id := range batch.Progress {
			delete(b.waiting, id)
		}
		if len(b.waiting) == 0 {
			recordedEnds, c.endsBarrier = b.sequences, nil
		}
	}
	c.setRecorded(recordedEnds)
}

// takeBatch takes up to maxCommitRows of the changes that wait for a commit. While there are suspects it takes half of them alone, jobs first; every
// second batch is of other changes if the suspects are workers and progress waits.
func (c *controller) takeBatch() ledger.Batch {
	batch := ledger.Batch{}
	for id := range c.suspectWorkers {
		if _, pending := c.pendingWorkerRows[id]; !pending {
			delete(c.suspectWorkers, id)
		}
	}
	jobs, workers := len(c.suspects), len(c.suspectWorkers)
	progressWaits := jobs == 0 && c.engine.HasDirty()
	c.searching = jobs+workers > 0 && (!c.searching || !progressWaits)
	if c.searching && jobs > 0 {
		batch.Progress = c.engine.TakeDirty(max(1, jobs/2))
		return batch
	}
	if c.searching {
		c.takeWorkerRows(&batch, max(1, workers/2))
		return batch
	}
	// Workers come first, since progress alone may fill one commit after the other.
	c.takeWorkerRows(&batch, maxCommitRows/2)
	left := min(c.maxBatchRows, maxCommitRows-batch.RowCount())
	batch.Progress = c.engine.TakeDirty(left)
	for id := range c.removableProgress {
		if len(batch.Progress)+len(batch.RemovedJobs) >= left {
			break
		}
		batch.RemovedJobs = append(batch.RemovedJobs, id)
		delete(c.removableProgress, id)
	}
	return batch
}

// takeWorkerRows adds up to limit changes of workers' rows to an empty batch: of suspects if they are searched, else of others.
func (c *controller) takeWorkerRows(batch *ledger.Batch, limit int) {
	for id, w := range c.pendingWorkerRows {
		if batch.RowCount() >= limit {
			return
		}
		if _, suspect := c.suspectWorkers[id]; suspect != c.searching {
			continue
		}
		if w != nil {
			batch.Workers = append(batch.Workers, *w)
		} else {
			batch.RemovedWorkers = append(batch.RemovedWorkers, id)
		}
		delete(c.pendingWorkerRows, id)
	}
}

// handleCommitResult handles the result of a commit. recordedEnds holds, for each worker, the sequence up to which its ends are
// recorded if the commit succeeded.
func (c *controller) handleCommitResult(batch ledger.Batch, recordedEnds map[dispatch.WorkerID]uint64, sentAt monotime.Instant, err error) {
	c.committing = false
	now := c.now()
	for id := range c.restartedDuringCommit {
		delete(recordedEnds, id)
	}
	clear(c.restartedDuringCommit)
	if err != nil {
		c.handleCommitFailure(batch, err)
		c.nextCommitAt = now.Add(commitRetryDelay)
		return
	}
	c.instruments.commits.Inc()
	c.noteRenewal(sentAt)
	c.commitTime = now.Sub(sentAt)
	c.nextCommitAt = sentAt.Add(commitDelay)
	c.maxBatchRows = min(maxCommitRows, 2*c.maxBatchRows)
	for _, w := range batch.Workers {
		c.startUsingWorker(w)
	}
	for id, p := range batch.Progress {
		delete(c.suspects, id)
		c.engine.ConfirmRecorded(id)
		if p.State.Ended() {
			c.Log.Info().Str("job", string(id)).Str("state", string(p.State)).Uint64("epoch", c.ownership.Epoch()).Msg("job ended")
			c.scheduleRemoval(id, true)
		}
	}
	c.noteRecorded(batch, recordedEnds)
}

// startUsingWorker starts to use a worker whose row has been committed, with its current entry in the registry: it may have begun
// to drain, have left or have ended since the commit was sent.
func (c *controller) startUsingWorker(w dispatch.Worker) {
	if row, newer := c.pendingWorkerRows[w.ID]; newer && row == nil {
		return // the worker has ended, and a later commit removes its row
	}
	c.addWorkerConn(w, false)
	wc := c.workerConns[w.ID]
	wc.setRecordedRow(w)
	if listed, ok := c.registered[w.ID]; ok {
		c.handleEntry(listed)
	} else {
		c.handleUnregistered(w.ID)
	}
}

// handleCommitFailure queues the changes of a failed commit again, or ends the ownership if another daemon owns the cell.
func (c *controller) handleCommitFailure(batch ledger.Batch, err error) {
	c.instruments.commitFailures.Inc()
	if errors.Is(err, ledger.ErrNotOwner) {
		c.loseOwnership("ownership row changed")
		return
	}
	c.Log.Warn().Uint64("epoch", c.ownership.Epoch()).Int("rows", batch.RowCount()).Err(err).Msg("commit failed, trying again")
	if errors.Is(err, rowstore.ErrRejected) {
		c.maxBatchRows = max(1, min(c.maxBatchRows, batch.RowCount())/2)
		c.suspect(batch)
		if batch.RowCount() == 1 {
			c.dropRejected(batch, err)
			return
		}
	}
	for id := range batch.Progress {
		if _, suspect := c.suspects[id]; !suspect {
			c.engine.MarkDirty(id)
		} else if !c.engine.MarkDirtyFirst(id) {
			delete(c.suspects, id)
		}
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

// suspect makes the changes of a rejected batch suspects, instead of those of the same kind that were. A batch without progress is rejected only
// when no jobs are.
func (c *controller) suspect(batch ledger.Batch) {
	clear(c.suspects)
	if len(batch.Workers)+len(batch.RemovedWorkers) > 0 {
		clear(c.suspectWorkers)
	}
	if batch.RowCount() == 1 {
		return // it is found
	}
	for id := range batch.Progress {
		c.suspects[id] = struct{}{}
	}
	for _, w := range batch.Workers {
		c.suspectWorkers[w.ID] = struct{}{}
	}
	for _, id := range batch.RemovedWorkers {
		c.suspectWorkers[id] = struct{}{}
	}
}

// dropRejected drops the only change of a batch, which the store never accepts: repeated, it would keep all others from being recorded. A
// job whose progress can't be recorded fails.
func (c *controller) dropRejected(batch ledger.Batch, err error) {
	for id := range batch.Progress {
		c.Log.Error().Str("job", string(id)).Err(err).Msg("the store rejects the job's progress, the job fails")
		c.engine.MarkDirty(id)
		c.engine.Fail(id, "the store rejects the job's progress", err.Error())
	}
	for _, w := range batch.Workers {
		c.Log.Error().Str("worker", string(w.ID)).Msg("the store rejects the worker's row, the worker is not used")
	}
}

// requeueWorkerRow queues a worker's row again that was not committed, unless a newer change of it is queued.
func (c *controller) requeueWorkerRow(id dispatch.WorkerID, w *dispatch.Worker) {
	if _, newer := c.pendingWorkerRows[id]; !newer {
		c.pendingWorkerRows[id] = w
	}
}

// acknowledgeEnds lets workers forget all reported ends if no progress waits for a commit. It covers ends that change no
// progress.
func (c *controller) acknowledgeEnds() {
	if !c.committing && !c.engine.HasDirty() {
		c.setRecorded(c.engine.LastEndSequences())
	}
}

// setRecorded passes on to the workers' connections up to which sequence their ends are recorded. Once ownership is lost, this
// daemon doesn't know what the store has.
func (c *controller) setRecorded(recorded map[dispatch.WorkerID]uint64) {
	if c.ownershipLost {
		return
	}
	for id, sequence := range recorded {
		if wc := c.workerConns[id]; wc != nil {
			wc.setRecorded(sequence)
		}
	}
	c.engine.ConfirmEnds(recorded)
}
