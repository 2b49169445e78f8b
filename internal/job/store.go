package job

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

const (
	recordPrefix     = "job/"
	partPrefix       = "jobpart/"
	closedPartPrefix = "jobdone/"
)

// ErrExists means that a different job has the same id.
var ErrExists = errors.New("job: id is taken by another job")

// Store reads and writes the rows of jobs in the table.
type Store struct {
	table platformapi.Table
}

// NewStore returns a Store that uses table.
func NewStore(table platformapi.Table) *Store {
	return &Store{table: table}
}

// Create stores a job's record and an empty progress row for each part. Creating the same job again has no effect and
// returns the stored record. Errors: ErrExists, platformapi.ErrUnavailable (this call has not created the job),
// platformapi.ErrUncertain.
func (s *Store) Create(ctx context.Context, r Record) (Record, error) {
	ops := []platformapi.Op{{Key: recordKey(r.Spec.ID), Value: platformapi.EncodeRow(r)}}
	for _, p := range r.Parts {
		ops = append(ops, platformapi.Op{Key: partKey(p.Shard, r.Spec.ID), Value: platformapi.EncodeRow(Progress{})})
	}
	_, err := s.table.Apply(ctx, ops)
	switch {
	case err == nil:
		return r, nil
	case errors.Is(err, platformapi.ErrUnavailable):
		return Record{}, err
	default:
		return s.resolveCreate(ctx, r, err)
	}
}

// resolveCreate reads the record back to find out what became of a Create that met a conflict or lost its answer.
func (s *Store) resolveCreate(ctx context.Context, r Record, cause error) (Record, error) {
	got, _, err := s.Load(ctx, r.Spec.ID)
	switch {
	case errors.Is(err, platformapi.ErrNotFound):
		return Record{}, cause
	case err != nil:
		return Record{}, platformapi.ErrUncertain
	case !bytes.Equal(platformapi.EncodeRow(got.Spec), platformapi.EncodeRow(r.Spec)):
		return Record{}, ErrExists
	default:
		return got, nil
	}
}

// Load returns a job's record and its row version. Errors: platformapi.ErrNotFound, platformapi.ErrUnavailable.
func (s *Store) Load(ctx context.Context, id cell.JobID) (Record, uint64, error) {
	var r Record
	version, err := platformapi.ReadRow(ctx, s.table, recordKey(id), &r)
	if err == nil && version == 0 {
		err = platformapi.ErrNotFound
	}
	return r, version, err
}

// Cancel permanently marks a job's record as cancelled, unless the job has ended. Errors: platformapi.ErrNotFound,
// platformapi.ErrUnavailable, platformapi.ErrUncertain.
func (s *Store) Cancel(ctx context.Context, id cell.JobID) (Record, error) {
	for {
		r, version, err := s.Load(ctx, id)
		if err != nil || r.Cancelled || r.Ended() {
			return r, err
		}
		r.Cancelled = true
		_, err = s.table.Apply(ctx, []platformapi.Op{{Key: recordKey(id), IfVersion: version, Value: platformapi.EncodeRow(r)}})
		if !errors.Is(err, platformapi.ErrConflict) {
			return r, err
		}
	}
}

// ClosePart deletes an open part's row, adds its final counts to the job's record and indexes the closed part for
// removal, all in one transaction. Errors: platformapi.ErrConflict (another owner has written the part),
// platformapi.ErrUnavailable, platformapi.ErrUncertain.
func (s *Store) ClosePart(ctx context.Context, shard cell.ShardID, p PartRow, now time.Time) error {
	for {
		r, version, err := s.Load(ctx, p.Job)
		if err != nil {
			return err
		}
		if _, closed := r.Closed[shard]; closed {
			return nil
		}
		_, err = s.table.Apply(ctx, closePartOps(shard, p, r, version, now))
		if !errors.Is(err, platformapi.ErrConflict) {
			return err
		}
		row, err := s.LoadPart(ctx, shard, p.Job)
		if err != nil {
			return err
		}
		if row.Version != p.Version {
			return platformapi.ErrConflict
		}
	}
}

// closePartOps returns the transaction of ClosePart.
func closePartOps(shard cell.ShardID, p PartRow, r Record, version uint64, now time.Time) []platformapi.Op {
	closed := make(map[cell.ShardID]ResultCounts, len(r.Closed)+1)
	maps.Copy(closed, r.Closed)
	closed[shard] = p.Progress.Counts
	r.Closed = closed
	return []platformapi.Op{
		{Key: partKey(shard, p.Job), IfVersion: p.Version, Delete: true},
		{Key: recordKey(p.Job), IfVersion: version, Value: platformapi.EncodeRow(r)},
		{Key: closedPartKey(shard, now, p.Job), AnyVersion: true, Value: []byte("{}")},
	}
}

// Sweep deletes the records of ended jobs whose part in shard was closed during the hour of t. The index row of a job
// that has not ended moves to the hour of now. Errors: platformapi.ErrUnavailable, platformapi.ErrUncertain.
func (s *Store) Sweep(ctx context.Context, shard cell.ShardID, t, now time.Time) error {
	rows, err := s.table.List(ctx, closedPartKey(shard, t, ""))
	if err != nil {
		return err
	}
	for _, row := range rows {
		id := cell.JobID(strings.TrimPrefix(row.Key, closedPartKey(shard, t, "")))
		if err := s.sweepIndexRow(ctx, shard, id, row, now); err != nil {
			return err
		}
	}
	return nil
}

// sweepIndexRow deletes an index row and its ended job's record, or moves the row if the job has not ended.
func (s *Store) sweepIndexRow(
	ctx context.Context, shard cell.ShardID, id cell.JobID, row platformapi.Row, now time.Time,
) error {
	ops := []platformapi.Op{{Key: row.Key, IfVersion: row.Version, Delete: true}}
	r, version, err := s.Load(ctx, id)
	switch {
	case errors.Is(err, platformapi.ErrNotFound):
	case err != nil:
		return err
	case r.Ended():
		ops = append(ops, platformapi.Op{Key: recordKey(id), IfVersion: version, Delete: true})
	default:
		ops = append(ops, platformapi.Op{Key: closedPartKey(shard, now, id), AnyVersion: true, Value: row.Value})
	}
	_, err = s.table.Apply(ctx, ops)
	if errors.Is(err, platformapi.ErrConflict) {
		return nil
	}
	return err
}

// PartRow is an open part's progress and the version of its row.
type PartRow struct {
	Job      cell.JobID
	Progress Progress
	Version  uint64
}

// ListOpenParts lists a shard's open parts. Errors: platformapi.ErrUnavailable.
func (s *Store) ListOpenParts(ctx context.Context, shard cell.ShardID) ([]PartRow, error) {
	prefix := partPrefix + string(shard) + "/"
	rows, err := s.table.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	out := make([]PartRow, 0, len(rows))
	for _, row := range rows {
		p := PartRow{Job: cell.JobID(strings.TrimPrefix(row.Key, prefix)), Version: row.Version}
		if err := platformapi.DecodeRow(row, &p.Progress); err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// LoadPart returns an open part's progress. Errors: platformapi.ErrNotFound, platformapi.ErrUnavailable.
func (s *Store) LoadPart(ctx context.Context, shard cell.ShardID, id cell.JobID) (PartRow, error) {
	p := PartRow{Job: id}
	version, err := platformapi.ReadRow(ctx, s.table, partKey(shard, id), &p.Progress)
	if err == nil && version == 0 {
		err = platformapi.ErrNotFound
	}
	p.Version = version
	return p, err
}

// SavePart writes a part's progress if its row still has p.Version, and returns the new version.
// Errors: platformapi.ErrConflict (another owner has written), platformapi.ErrUnavailable, platformapi.ErrUncertain.
func (s *Store) SavePart(ctx context.Context, shard cell.ShardID, p PartRow) (uint64, error) {
	op := platformapi.Op{Key: partKey(shard, p.Job), IfVersion: p.Version, Value: platformapi.EncodeRow(p.Progress)}
	versions, err := s.table.Apply(ctx, []platformapi.Op{op})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

func recordKey(id cell.JobID) string {
	return recordPrefix + string(id)
}

// closedPartKey is the key of a closed part's index row; without an id, it is the prefix of an hour's index rows.
func closedPartKey(shard cell.ShardID, t time.Time, id cell.JobID) string {
	return fmt.Sprintf("%s%s/%d/%s", closedPartPrefix, shard, t.Unix()/int64(time.Hour/time.Second), id)
}

func partKey(shard cell.ShardID, id cell.JobID) string {
	return partPrefix + string(shard) + "/" + string(id)
}
