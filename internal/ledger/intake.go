package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

func decodeOwner(value []byte, owner *OwnerRecord) bool {
	return len(value) > 0 && json.Unmarshal(value, owner) == nil
}

// Accept stores a job. It returns nil if the job is stored already.
// Errors: ErrCancelled, ErrUnavailable, ErrUncertain.
func (r *Replica) Accept(ctx context.Context, id graph.JobID, record JobRecord) error {
	if _, known := r.Job(id); known {
		return nil
	}
	key := jobKey(id)
	row := rowstore.Row{Key: key, Value: encode(record)}
	tx := rowstore.Tx{Expect: []rowstore.Condition{{Key: key}}, Put: []rowstore.Row{row}}
	for range maxMarkTries {
		version, current, err := r.store.Apply(ctx, tx)
		if err == nil {
			row.Version = version
			r.applyIfFollowing(rowstore.Change{Row: row})
			return nil
		}
		if !errors.Is(err, rowstore.ErrConflict) {
			return err
		}
		mark, version, marked := markIn(current, key)
		if !marked {
			return nil // the job is stored already
		}
		if err := r.acceptMarked(ctx, id, record, mark, version); !errors.Is(err, rowstore.ErrConflict) {
			return err
		}
	}
	return rowstore.ErrUncertain
}

// applyIfFollowing applies a change that the daemon learns of before the store's feed reports it, if it has a copy.
func (r *Replica) applyIfFollowing(change rowstore.Change) {
	if r.following.Load() {
		r.apply(change)
	}
}

// Cancel stores a job's cancellation. Errors: ErrUnavailable, ErrUncertain.
func (r *Replica) Cancel(ctx context.Context, id graph.JobID) error {
	if j, known := r.Job(id); known && (j.Cancelled || j.State().Ended()) {
		return nil
	}
	row := rowstore.Row{Key: cancelKey(id), Value: []byte("{}")}
	version, _, err := r.store.Apply(ctx, rowstore.Tx{Put: []rowstore.Row{row}})
	if err != nil {
		return err
	}
	row.Version = version
	r.applyIfFollowing(rowstore.Change{Row: row})
	return nil
}

// DeleteJobRecords removes the records of jobs that have ended. Their progress must be removed later than that.
// Errors: ErrUnavailable, ErrUncertain; some of the records may then have been removed.
func (r *Replica) DeleteJobRecords(ctx context.Context, ids []graph.JobID) error {
	parts := make(map[string][]rowstore.Key)
	for _, id := range ids {
		key := jobKey(id)
		parts[key.Part] = append(parts[key.Part], key)
		if j, known := r.Job(id); known && j.Cancelled {
			parts[key.Part] = append(parts[key.Part], cancelKey(id))
		}
	}
	for _, keys := range parts {
		version, _, err := r.store.Apply(ctx, rowstore.Tx{Delete: keys})
		if err != nil {
			return err
		}
		for _, key := range keys {
			r.apply(rowstore.Change{Row: rowstore.Row{Key: key, Version: version}, Removed: true})
		}
	}
	return nil
}

// ObserveAccepted applies a job that another daemon has stored, before the store's feed reports it.
func (r *Replica) ObserveAccepted(id graph.JobID, record JobRecord) {
	r.applyIfFollowing(rowstore.Change{Row: rowstore.Row{Key: jobKey(id), Value: encode(record)}})
}

// ObserveCancelled applies a cancellation that another daemon has stored, before the store's feed reports it.
func (r *Replica) ObserveCancelled(id graph.JobID) {
	r.applyIfFollowing(rowstore.Change{Row: rowstore.Row{Key: cancelKey(id)}})
}

// Find returns an accepted job, which it reads from the store if the replica doesn't have it; the second result reports
// whether there is one. Errors: ErrUnavailable.
func (r *Replica) Find(ctx context.Context, id graph.JobID) (Job, bool, error) {
	if !r.following.Load() {
		return r.readJob(ctx, id)
	}
	if j, known := r.Job(id); known {
		return j, true, nil
	}
	rows, err := r.readRow(ctx, jobKey(id))
	if err != nil {
		return Job{}, false, err
	}
	for _, row := range rows {
		r.apply(rowstore.Change{Row: row})
	}
	j, known := r.Job(id)
	return j, known, nil
}

// readJob reads a job from the store, for a daemon without a copy.
func (r *Replica) readJob(ctx context.Context, id graph.JobID) (Job, bool, error) {
	found := Job{}
	records, err := r.readRow(ctx, jobKey(id))
	if err != nil || len(records) == 0 {
		return Job{}, false, err
	}
	err = json.Unmarshal(records[0].Value, &found.JobRecord)
	if err == nil && found.isMark() {
		return Job{}, false, nil
	}
	if err == nil {
		err = found.check()
	}
	if err != nil {
		r.log.Error().Str("job", string(id)).Err(err).Msg("job record could not be decoded, skipped")
		return Job{}, false, nil
	}
	found.Cancelled = found.CancelledBefore
	progress, err := r.readRow(ctx, progressKey(id))
	if err != nil {
		return Job{}, false, err
	}
	if len(progress) > 0 {
		found.Progress = new(dispatch.Progress)
		if err := json.Unmarshal(progress[0].Value, found.Progress); err != nil {
			r.log.Error().Str("job", string(id)).Err(err).Msg("job progress could not be decoded, skipped")
			found.Progress = nil
		}
	}
	return found, true, nil
}

// readRow reads the row with the key; the result is empty if there is none.
func (r *Replica) readRow(ctx context.Context, key rowstore.Key) ([]rowstore.Row, error) {
	rows, _, _, err := r.store.Range(ctx, key.Table, key.Part, key.Name, key.Name+"\x00")
	return rows, err
}
