package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/rowstore"
)

// ErrNotOwner means that another daemon owns the cell.
var ErrNotOwner = errors.New("ledger: another daemon owns the cell")

// A commit whose answer takes long is read back: its own entry in the ownership row shows that it was applied.
const (
	// readBackDelay is how long a commit waits for its answer before each read of the ownership row.
	readBackDelay = 250 * time.Millisecond
	// commitTimeout bounds a commit that was not applied by then. It must be repeated well before the ownership's validity ends.
	commitTimeout = 650 * time.Millisecond
	// slowCommitTimeout bounds it instead while the store is slow: a commit that is sent again would only wait behind the first.
	slowCommitTimeout = 2 * time.Second
	// slowReadTime is the time of a read from which the store counts as slow; a healthy one answers in milliseconds.
	slowReadTime = 100 * time.Millisecond
)

// Batch is the changes that an owner commits together.
type Batch struct {
	Progress       map[graph.JobID]dispatch.Progress
	Workers        []dispatch.Worker
	RemovedWorkers []dispatch.WorkerID
	// RemovedJobs are the ended jobs whose progress is to be removed; their records have been removed before.
	RemovedJobs []graph.JobID
}

// RowCount returns the number of rows that the batch writes, without detail rows.
func (b *Batch) RowCount() int {
	return len(b.Progress) + len(b.Workers) + len(b.RemovedWorkers) + len(b.RemovedJobs)
}

// Ownership is a daemon's ownership of the cell for one epoch. Except for SetStandbys, it is used by one goroutine at a time.
type Ownership struct {
	replica *Replica
	owner   OwnerRecord
	version uint64
	// sentAt is when the last commit was sent. Other daemons can't have seen the ownership row change before that.
	sentAt monotime.Instant
	// rewrite holds the jobs whose detail rows may differ from those that the replica has, since a commit of them failed.
	rewrite map[graph.JobID]struct{}
	// onRenewal is called with the time of sending of each transaction that was applied; nil for none.
	onRenewal func(sentAt monotime.Instant)
	// standbys is the number that the next commit writes to the ownership row.
	standbys atomic.Int64
}

// EpochStride is the distance between the epochs of successive owners. The numbers between are fencing tokens of the earlier one, for
// workers whose process restarted under it.
const EpochStride = 1024

func nextEpoch(last uint64) uint64 {
	if last == 0 {
		return 1
	}
	return last + EpochStride
}

// Acquire makes the daemon described by self the owner, if the ownership row still has the version in view.
// Errors: ErrNotOwner if another daemon was faster, ErrUnavailable, ErrUncertain.
func (r *Replica) Acquire(ctx context.Context, view OwnerView, self OwnerRecord) (*Ownership, error) {
	self.Epoch = nextEpoch(view.Epoch)
	t := &Ownership{replica: r, owner: self, version: view.Version, rewrite: make(map[graph.JobID]struct{})}
	t.standbys.Store(int64(self.Standbys))
	err := t.Commit(ctx, Batch{})
	for tries := 1; errors.Is(err, rowstore.ErrUncertain) && tries < maxAcquireAttempts; tries++ {
		err = t.Commit(ctx, Batch{})
	}
	if err != nil {
		return nil, err
	}
	return t, nil
}

// maxAcquireAttempts bounds the commits of an Acquire. A commit that gets no answer is repeated to learn whether it made the
// daemon the owner.
const maxAcquireAttempts = 3

// SetStandbys sets the number of other daemons on VMs about as strong as the owner's. It is safe for concurrent use.
func (t *Ownership) SetStandbys(n int) { t.standbys.Store(int64(n)) }

// Epoch returns the fencing epoch of this ownership.
func (t *Ownership) Epoch() uint64 { return t.owner.Epoch }

// CommitSentAt returns when the last commit was sent.
func (t *Ownership) CommitSentAt() monotime.Instant { return t.sentAt }

// Version returns the version of the ownership row as this owner last wrote it.
func (t *Ownership) Version() uint64 { return t.version }

// CatchUp applies to the replica all that earlier owners have committed. None of them can commit after the write that made
// this daemon the owner. Errors: ErrUnavailable.
func (t *Ownership) CatchUp(ctx context.Context) error { return t.replica.CatchUp(ctx, t.version) }

// OnRenewal sets the function that is called with the time of sending of each transaction that has renewed the ownership.
func (t *Ownership) OnRenewal(f func(sentAt monotime.Instant)) { t.onRenewal = f }

// Commit writes a batch and renews the ownership, in as many transactions as the batch needs. After an error other than ErrNotOwner the
// batch must be committed again; some of it may have been written.
// Errors: ErrNotOwner, ErrUnavailable, ErrRejected, ErrUncertain.
func (t *Ownership) Commit(ctx context.Context, b Batch) error {
	changes := t.changes(b)
	for {
		if err := t.commitNext(ctx, changes); err != nil {
			for id := range b.Progress {
				t.rewrite[id] = struct{}{}
			}
			return err
		}
		if changes.empty() {
			break
		}
	}
	for id := range b.Progress {
		delete(t.rewrite, id)
	}
	return nil
}

// commitNext renews the ownership and writes what of the changes fits into one transaction.
func (t *Ownership) commitNext(ctx context.Context, changes *rowChanges) error {
	t.sentAt = t.replica.clock.Now()
	t.owner.Renewals++
	t.owner.Standbys = int(t.standbys.Load())
	tx := rowstore.Tx{Expect: []rowstore.Condition{{Key: ownerKey(), Version: t.version}}}
	tx.Put = append(tx.Put, rowstore.Row{Key: ownerKey(), Value: encode(t.owner)})
	changes.take(&tx)
	version, current, err := t.applyOrReadBack(ctx, tx)
	if errors.Is(err, rowstore.ErrConflict) {
		return t.resolveConflict(current)
	}
	if err != nil {
		return err
	}
	t.version = version
	for _, row := range tx.Put {
		row.Version = version
		t.replica.apply(rowstore.Change{Row: row})
	}
	for _, key := range tx.Delete {
		t.replica.apply(rowstore.Change{Row: rowstore.Row{Key: key, Version: version}, Removed: true})
	}
	if t.onRenewal != nil {
		t.onRenewal(t.sentAt)
	}
	return nil
}

// applied is the result of a transaction.
type applied struct {
	version uint64
	current []rowstore.Row
	err     error
}

// applyOrReadBack sends the commit's transaction and waits for its answer, or until the ownership row shows what became of it.
func (t *Ownership) applyOrReadBack(ctx context.Context, tx rowstore.Tx) (version uint64, current []rowstore.Row, err error) {
	ctx, cancel := context.WithTimeout(ctx, slowCommitTimeout)
	defer cancel()
	answer := make(chan applied, 1)
	go func() {
		version, current, err := t.replica.store.Apply(ctx, tx)
		answer <- applied{version, current, err}
	}()
	for {
		select {
		case a := <-answer:
			return a.version, a.current, a.err
		case <-time.After(readBackDelay):
		}
		row, slow := t.readBack(ctx)
		if row.Version > t.version {
			if t.isLastCommit(row) {
				return row.Version, nil, nil
			}
			return 0, []rowstore.Row{row}, rowstore.ErrConflict
		}
		if !slow && t.replica.clock.Now().Sub(t.sentAt) >= commitTimeout {
			return 0, nil, rowstore.ErrUncertain
		}
	}
}

// readBack reads the ownership row; it returns a zero row if there is none or no answer. slow means that the answer took long.
func (t *Ownership) readBack(ctx context.Context) (row rowstore.Row, slow bool) {
	readAt := t.replica.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout-readBackDelay)
	defer cancel()
	rows, err := t.replica.readRow(ctx, ownerKey())
	if err != nil || len(rows) == 0 {
		return rowstore.Row{}, false
	}
	return rows[0], t.replica.clock.Now().Sub(readAt) >= slowReadTime
}

// isLastCommit reports whether the ownership row is as this owner's last commit has written it.
func (t *Ownership) isLastCommit(row rowstore.Row) bool {
	var owner OwnerRecord
	return decodeOwner(row.Value, &owner) && owner.Incarnation == t.owner.Incarnation && owner.Epoch == t.owner.Epoch && owner.Renewals == t.owner.Renewals
}

// changes returns the rows that the batch writes and removes.
func (t *Ownership) changes(b Batch) *rowChanges {
	changes := &rowChanges{}
	for _, w := range b.Workers {
		changes.put(workerKey(w.ID), encode(WorkerRecord{w}))
	}
	for id, p := range b.Progress {
		_, rewrite := t.rewrite[id]
		t.replica.progressChanges(id, p, rewrite, changes)
	}
	for _, id := range b.RemovedWorkers {
		changes.delete(workerKey(id))
	}
	for _, id := range b.RemovedJobs {
		changes.delete(progressKey(id))
		for name := range t.replica.details(id) {
			changes.delete(detailKey(name))
		}
	}
	return changes
}

// resolveConflict returns ErrUncertain if an earlier commit of this ownership was applied although its answer was lost, and
// ErrNotOwner if another daemon owns the cell.
func (t *Ownership) resolveConflict(current []rowstore.Row) error {
	for _, row := range current {
		if row.Key != ownerKey() {
			continue
		}
		t.replica.apply(rowstore.Change{Row: row})
		var owner OwnerRecord
		if decodeOwner(row.Value, &owner) && owner.Incarnation == t.owner.Incarnation && owner.Epoch == t.owner.Epoch {
			t.version = row.Version
			return rowstore.ErrUncertain
		}
	}
	return ErrNotOwner
}

// Release gives up ownership, so that another daemon can take over at once. The caller must send no more orders.
func (t *Ownership) Release(ctx context.Context) error {
	t.owner.Released = true
	err := t.Commit(ctx, Batch{})
	if errors.Is(err, rowstore.ErrUncertain) {
		err = t.Commit(ctx, Batch{})
	}
	return err
}
