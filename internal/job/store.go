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
	"laburnumpoint/internal/platform"
)

const (
	recordPrefix = "job/"
	partPrefix   = "jobpart/"
	donePrefix   = "jobdone/"
)

// ErrExists means that another job has the id.
var ErrExists = errors.New("job: id is taken by another job")

// Store reads and writes jobs in the table.
type Store struct {
	table platform.Table
}

// NewStore returns a Store on table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table}
}

// Create makes a job durable. Creating the same job again is accepted without effect and returns the record in force.
// Errors: ErrExists, platform.ErrUnavailable (the job does not exist through this call), platform.ErrUncertain.
func (s *Store) Create(ctx context.Context, r Record) (Record, error) {
	ops := []platform.Op{{Key: recordKey(r.Spec.ID), Value: platform.EncodeRow(r)}}
	for _, p := range r.Parts {
		ops = append(ops, platform.Op{Key: partKey(p.Shard, r.Spec.ID), Value: platform.EncodeRow(Progress{})})
	}
	_, err := s.table.Apply(ctx, ops)
	switch {
	case err == nil:
		return r, nil
	case errors.Is(err, platform.ErrUnavailable):
		return Record{}, err
	default:
		return s.settleCreate(ctx, r, err)
	}
}

// settleCreate reads the row back after a conflict or a lost answer.
func (s *Store) settleCreate(ctx context.Context, r Record, cause error) (Record, error) {
	got, _, err := s.Load(ctx, r.Spec.ID)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Record{}, cause
	case err != nil:
		return Record{}, platform.ErrUncertain
	case !bytes.Equal(platform.EncodeRow(got.Spec), platform.EncodeRow(r.Spec)):
		return Record{}, ErrExists
	default:
		return got, nil
	}
}

// Load returns a job's record and its row version. Errors: platform.ErrNotFound, platform.ErrUnavailable.
func (s *Store) Load(ctx context.Context, id cell.JobID) (Record, uint64, error) {
	var r Record
	version, err := platform.ReadRow(ctx, s.table, recordKey(id), &r)
	if err == nil && version == 0 {
		err = platform.ErrNotFound
	}
	return r, version, err
}

// Cancel marks a job cancelled for good. Errors: platform.ErrNotFound, platform.ErrUnavailable, platform.ErrUncertain.
func (s *Store) Cancel(ctx context.Context, id cell.JobID) (Record, error) {
	for {
		r, version, err := s.Load(ctx, id)
		if err != nil || r.Cancelled || r.Ended() {
			return r, err
		}
		r.Cancelled = true
		_, err = s.table.Apply(ctx, []platform.Op{{Key: recordKey(id), IfVersion: version, Value: platform.EncodeRow(r)}})
		if !errors.Is(err, platform.ErrConflict) {
			return r, err
		}
	}
}

// ClosePart removes an open part's row, notes its final counts in the job's record and indexes it for removal, all or
// none. Errors: platform.ErrConflict (another owner has written the part), platform.ErrUnavailable, platform.ErrUncertain.
func (s *Store) ClosePart(ctx context.Context, shard cell.ShardID, p PartRow, now time.Time) error {
	for {
		r, version, err := s.Load(ctx, p.Job)
		if err != nil {
			return err
		}
		if _, closed := r.Closed[shard]; closed {
			return nil
		}
		_, err = s.table.Apply(ctx, closeOps(shard, p, r, version, now))
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		row, err := s.LoadPart(ctx, shard, p.Job)
		if err != nil {
			return err
		}
		if row.Version != p.Version {
			return platform.ErrConflict
		}
	}
}

func closeOps(shard cell.ShardID, p PartRow, r Record, version uint64, now time.Time) []platform.Op {
	closed := make(map[cell.ShardID]ResultCounts, len(r.Closed)+1)
	maps.Copy(closed, r.Closed)
	closed[shard] = p.Progress.Counts
	r.Closed = closed
	return []platform.Op{
		{Key: partKey(shard, p.Job), IfVersion: p.Version, Delete: true},
		{Key: recordKey(p.Job), IfVersion: version, Value: platform.EncodeRow(r)},
		{Key: doneKey(shard, now, p.Job), AnyVersion: true, Value: []byte("{}")},
	}
}

// Sweep removes the records of jobs whose parts in shard closed during the hour of t and which have ended. An index row
// of a job that has not ended moves to the hour of now. Errors: platform.ErrUnavailable, platform.ErrUncertain.
func (s *Store) Sweep(ctx context.Context, shard cell.ShardID, t, now time.Time) error {
	rows, err := s.table.List(ctx, doneKey(shard, t, ""))
	if err != nil {
		return err
	}
	for _, row := range rows {
		id := cell.JobID(strings.TrimPrefix(row.Key, doneKey(shard, t, "")))
		if err := s.sweepJob(ctx, shard, id, row, now); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) sweepJob(ctx context.Context, shard cell.ShardID, id cell.JobID, row platform.Row, now time.Time) error {
	ops := []platform.Op{{Key: row.Key, IfVersion: row.Version, Delete: true}}
	r, version, err := s.Load(ctx, id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return err
	case r.Ended():
		ops = append(ops, platform.Op{Key: recordKey(id), IfVersion: version, Delete: true})
	default:
		ops = append(ops, platform.Op{Key: doneKey(shard, now, id), AnyVersion: true, Value: row.Value})
	}
	_, err = s.table.Apply(ctx, ops)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// PartRow is a part's progress with its row version.
type PartRow struct {
	Job      cell.JobID
	Progress Progress
	Version  uint64
}

// ListOpenParts lists the parts of a shard. Errors: platform.ErrUnavailable.
func (s *Store) ListOpenParts(ctx context.Context, shard cell.ShardID) ([]PartRow, error) {
	prefix := partPrefix + string(shard) + "/"
	rows, err := s.table.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	out := make([]PartRow, 0, len(rows))
	for _, row := range rows {
		p := PartRow{Job: cell.JobID(strings.TrimPrefix(row.Key, prefix)), Version: row.Version}
		if err := platform.DecodeRow(row, &p.Progress); err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// LoadPart returns a part's progress. Errors: platform.ErrNotFound, platform.ErrUnavailable.
func (s *Store) LoadPart(ctx context.Context, shard cell.ShardID, id cell.JobID) (PartRow, error) {
	p := PartRow{Job: id}
	version, err := platform.ReadRow(ctx, s.table, partKey(shard, id), &p.Progress)
	if err == nil && version == 0 {
		err = platform.ErrNotFound
	}
	p.Version = version
	return p, err
}

// SavePart writes a part's progress if its row is still at version, and returns the new version.
// Errors: platform.ErrConflict (another owner has written), platform.ErrUnavailable, platform.ErrUncertain.
func (s *Store) SavePart(ctx context.Context, shard cell.ShardID, p PartRow) (uint64, error) {
	op := platform.Op{Key: partKey(shard, p.Job), IfVersion: p.Version, Value: platform.EncodeRow(p.Progress)}
	versions, err := s.table.Apply(ctx, []platform.Op{op})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

func recordKey(id cell.JobID) string {
	return recordPrefix + string(id)
}

func doneKey(shard cell.ShardID, t time.Time, id cell.JobID) string {
	return fmt.Sprintf("%s%s/%d/%s", donePrefix, shard, t.Unix()/int64(time.Hour/time.Second), id)
}

func partKey(shard cell.ShardID, id cell.JobID) string {
	return partPrefix + string(shard) + "/" + string(id)
}
