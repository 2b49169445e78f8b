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
var ErrNotOwner = errors.New("ledger: not the owner")

// commitTimeout bounds a write. A store sixty times slower than usual answers in a quarter of a second; one that loses
// answers must be asked again well before the ownership's validity ends.
const commitTimeout = 650 * time.Millisecond

// Batch is what an owner records in one transaction.
type Batch struct {
	Progress       map[graph.JobID]dispatch.Progress
	Workers        []dispatch.Worker
	RemovedWorkers []dispatch.WorkerID
	// RemovedJobs are jobs that ended long ago, whose records have been removed.
	RemovedJobs []graph.JobID
}

// RowCount returns the number of rows that the batch writes.
func (b *Batch) RowCount() int {
	return len(b.Progress) + len(b.Workers) + len(b.RemovedWorkers) + len(b.RemovedJobs)
}

// Ownership is a daemon's ownership of the cell. It is used by one goroutine at a time.
type Ownership struct {
	replica *Replica
	owner   OwnerRecord
	version uint64
	// sentAt is when the last record was sent: others count the age of the ownership row from no earlier.
	sentAt monotime.Instant
	// standbys is what the next record says of them.
	standbys atomic.Int64
}

// Acquire makes self the owner in place of the owner in view.
// Errors: ErrNotOwner if another daemon was faster, ErrUnavailable, ErrUncertain.
func (r *Replica) Acquire(ctx context.Context, view OwnerView, self OwnerRecord) (*Ownership, error) {
	self.Epoch = view.Epoch + 1
	t := &Ownership{replica: r, owner: self, version: view.Version}
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

// maxAcquireAttempts bounds the writes by which a daemon learns whether an unanswered one made it the owner.
const maxAcquireAttempts = 3

// SetStandbys tells how many daemons on VMs about as strong as the owner's stand by. It may be called at any time.
func (t *Ownership) SetStandbys(n int) { t.standbys.Store(int64(n)) }

// Epoch returns the tenure's fencing epoch.
func (t *Ownership) Epoch() uint64 { return t.owner.Epoch }

// CommitSentAt returns when the last record was sent.
func (t *Ownership) CommitSentAt() monotime.Instant { return t.sentAt }

// Version returns the version of the ownership row as this tenure last wrote it.
func (t *Ownership) Version() uint64 { return t.version }

// CatchUp takes in all that earlier owners have recorded: none of them can write after the row that made this one the
// owner. Errors: ErrUnavailable.
func (t *Ownership) CatchUp(ctx context.Context) error { return t.replica.CatchUp(ctx, t.version) }

// Commit writes a batch and renews the ownership. After ErrUncertain the batch must be recorded again.
// Errors: ErrNotOwner, ErrUnavailable, ErrUncertain.
func (t *Ownership) Commit(ctx context.Context, b Batch) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t.sentAt = t.replica.clock.Now()
	t.owner.Renewals++
	t.owner.Standbys = int(t.standbys.Load())
	tx := t.transaction(b)
	version, current, err := t.replica.store.Apply(ctx, tx)
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
	return nil
}

func (t *Ownership) transaction(b Batch) rowstore.Tx {
	tx := rowstore.Tx{Expect: []rowstore.Condition{{Key: ownerKey(), Version: t.version}}}
	tx.Put = append(tx.Put, rowstore.Row{Key: ownerKey(), Value: encode(t.owner)})
	for id, p := range b.Progress {
		tx.Put = append(tx.Put, rowstore.Row{Key: progressKey(id), Value: encode(p)})
	}
	for _, w := range b.Workers {
		tx.Put = append(tx.Put, rowstore.Row{Key: workerKey(w.ID), Value: encode(WorkerRecord{w})})
	}
	for _, id := range b.RemovedWorkers {
		tx.Delete = append(tx.Delete, workerKey(id))
	}
	for _, id := range b.RemovedJobs {
		tx.Delete = append(tx.Delete, progressKey(id))
	}
	return tx
}

// resolveConflict tells a transaction of this tenure that was applied unnoticed from the loss of ownership.
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

// Release gives up ownership, so that another daemon takes over at once. The caller sends no order any more.
func (t *Ownership) Release(ctx context.Context) error {
	t.owner.Released = true
	err := t.Commit(ctx, Batch{})
	if errors.Is(err, rowstore.ErrUncertain) {
		err = t.Commit(ctx, Batch{})
	}
	return err
}
