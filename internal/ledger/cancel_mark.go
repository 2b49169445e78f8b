package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/rowstore"
)

// A read that finds no job proves nothing about a write that is under way: Accept may be applied seconds later, since its condition, that the
// job has no record, still holds. So the cancellation of a job that isn't stored takes the place of its record: a mark. Of an Accept and a mark
// only the first one is applied, and the other one finds it:
//
//	no record ──Accept──▶ record ──Cancel──▶ record, cancelled
//	    │                                        ▲
//	    └──CancelUnknown──▶ mark ──Accept────────┘
//	                         │
//	                         └──removed by the owner, minutes later──▶ no record

// ErrNoJob means that the job is not stored. It is marked, so that it will not run.
var ErrNoJob = errors.New("ledger: no such job")

// ErrCancelled means that the job was cancelled before it was accepted. It is stored as cancelled.
var ErrCancelled = errors.New("ledger: job was cancelled before")

// cancelMark is a mark as the replica has it.
type cancelMark struct {
	version uint64
	// seenAt is when the replica learned of this version.
	seenAt monotime.Instant
}

// NewCancelMark returns the record of a mark. It holds for jobs of the same queue and organisation.
func NewCancelMark(queue, organisation string) JobRecord {
	return JobRecord{Queue: graph.Queue{Name: queue}, Organisation: organisation, CancelledBefore: true}
}

// isMark reports whether the record is a mark.
func (r *JobRecord) isMark() bool { return r.CancelledBefore && r.Spec == nil }

// covers reports whether a mark holds for a job.
func (r *JobRecord) covers(job *JobRecord) bool {
	return r.Queue.Name == job.Queue.Name && r.Organisation == job.Organisation
}

// markIn returns the mark that a transaction with a condition on the job's record has run into, if it was one.
func markIn(current []rowstore.Row, key rowstore.Key) (mark JobRecord, version uint64, ok bool) {
	for _, row := range current {
		if row.Key == key && json.Unmarshal(row.Value, &mark) == nil && mark.isMark() {
			return mark, row.Version, true
		}
	}
	return JobRecord{}, 0, false
}

// maxMarkTries bounds the transactions of one command that find another mark than expected. Each means that another command was faster.
const maxMarkTries = 4

// CancelUnknown cancels a job that a read has not found, by the given mark. It returns nil if the job is stored by now.
// Errors: ErrNoJob, ErrUnavailable, ErrUncertain.
func (r *Replica) CancelUnknown(ctx context.Context, id graph.JobID, mark JobRecord) error {
	key := jobKey(id)
	row := rowstore.Row{Key: key, Value: encode(mark)}
	expected := uint64(0)
	for range maxMarkTries {
		tx := rowstore.Tx{Expect: []rowstore.Condition{{Key: key, Version: expected}}, Put: []rowstore.Row{row}}
		version, current, err := r.store.Apply(ctx, tx)
		if err == nil {
			row.Version = version
			r.applyIfFollowing(rowstore.Change{Row: row})
			return ErrNoJob
		}
		if !errors.Is(err, rowstore.ErrConflict) {
			return err
		}
		_, version, marked := markIn(current, key)
		if !marked && len(current) > 0 {
			return r.Cancel(ctx, id)
		}
		expected = version // a mark is written anew, so that it lasts as long from now; 0 if it was removed
	}
	return rowstore.ErrUncertain
}

// acceptMarked stores a job that was marked, as cancelled if the mark holds for it. It returns nil if the job is stored by now.
// Errors: ErrCancelled, ErrConflict if the mark has changed, ErrUnavailable, ErrUncertain.
func (r *Replica) acceptMarked(ctx context.Context, id graph.JobID, record JobRecord, mark JobRecord, markVersion uint64) error {
	key := jobKey(id)
	record.CancelledBefore = mark.covers(&record)
	tx := rowstore.Tx{Expect: []rowstore.Condition{{Key: key, Version: markVersion}}, Put: []rowstore.Row{{Key: key, Value: encode(record)}}}
	if record.CancelledBefore {
		// Versions before marks know a cancelled job by this row.
		tx.Put = append(tx.Put, rowstore.Row{Key: cancelKey(id), Value: []byte("{}")})
	}
	version, _, err := r.store.Apply(ctx, tx)
	if err != nil {
		return err
	}
	for _, row := range tx.Put {
		row.Version = version
		r.applyIfFollowing(rowstore.Change{Row: row})
	}
	if record.CancelledBefore {
		return ErrCancelled
	}
	return nil
}

// CancelMarks returns up to limit marks that the replica has known since the given time or longer.
func (r *Replica) CancelMarks(since monotime.Instant, limit int) []graph.JobID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ids []graph.JobID
	for id, mark := range r.marks {
		if len(ids) < limit && mark.seenAt <= since {
			ids = append(ids, id)
		}
	}
	return ids
}

// RemoveCancelMarks removes marks that have not been written anew. Errors: ErrUnavailable, ErrUncertain; some of the marks may then have been
// removed.
func (r *Replica) RemoveCancelMarks(ctx context.Context, ids []graph.JobID) error {
	for _, id := range ids {
		r.mu.RLock()
		mark, marked := r.marks[id]
		r.mu.RUnlock()
		if !marked {
			continue
		}
		key := jobKey(id)
		version, _, err := r.store.Apply(ctx, rowstore.Tx{Expect: []rowstore.Condition{{Key: key, Version: mark.version}}, Delete: []rowstore.Key{key}})
		if errors.Is(err, rowstore.ErrConflict) {
			continue // the feed brings what it is now
		}
		if err != nil {
			return err
		}
		r.applyIfFollowing(rowstore.Change{Row: rowstore.Row{Key: key, Version: version}, Removed: true})
	}
	return nil
}
