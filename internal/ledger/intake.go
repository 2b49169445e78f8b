package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

func decodeOwner(value []byte, owner *Owner) bool {
	return len(value) > 0 && json.Unmarshal(value, owner) == nil
}

// Accept stores a job. It is nil also if the job is stored already.
// Errors: ErrUnavailable, ErrUncertain.
func (r *Replica) Accept(ctx context.Context, id graph.JobID, record JobRecord) error {
	if _, known := r.Job(id); known {
		return nil
	}
	key := jobKey(id)
	row := rowstore.Row{Key: key, Value: encode(record)}
	tx := rowstore.Tx{Expect: []rowstore.Condition{{Key: key}}, Put: []rowstore.Row{row}}
	version, _, err := r.store.Apply(ctx, tx)
	if errors.Is(err, rowstore.ErrConflict) {
		return nil // the job was stored before
	}
	if err != nil {
		return err
	}
	row.Version = version
	r.apply(rowstore.Change{Row: row})
	return nil
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
	r.apply(rowstore.Change{Row: row})
	return nil
}

// Forget removes the records of jobs that have ended. Their progress must outlive them. Errors: ErrUnavailable, ErrUncertain;
// some of the records may then be gone.
func (r *Replica) Forget(ctx context.Context, ids []graph.JobID) error {
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

// NoteAccepted takes in a job that another daemon has stored, before the store's feed tells of it.
func (r *Replica) NoteAccepted(id graph.JobID, record JobRecord) {
	r.apply(rowstore.Change{Row: rowstore.Row{Key: jobKey(id), Value: encode(record)}})
}

// NoteCancelled takes in a cancellation that another daemon has stored.
func (r *Replica) NoteCancelled(id graph.JobID) {
	r.apply(rowstore.Change{Row: rowstore.Row{Key: cancelKey(id)}})
}

// Find reports whether a job was accepted, asking the store if the replica doesn't know it. Errors: ErrUnavailable.
func (r *Replica) Find(ctx context.Context, id graph.JobID) (Job, bool, error) {
	if j, known := r.Job(id); known {
		return j, true, nil
	}
	key := jobKey(id)
	rows, _, _, err := r.store.Range(ctx, key.Table, key.Part, key.Name, key.Name+"\x00")
	if err != nil {
		return Job{}, false, err
	}
	for _, row := range rows {
		r.apply(rowstore.Change{Row: row})
	}
	j, known := r.Job(id)
	return j, known, nil
}
