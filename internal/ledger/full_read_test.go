package ledger

import (
	"testing"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

func jobRowChange(version uint64) rowstore.Change {
	return rowstore.Change{Row: rowstore.Row{Key: jobKey("j"), Value: encode(oneTaskJob), Version: version}}
}

func progressRowChange(state graph.JobState, version uint64) rowstore.Change {
	return rowstore.Change{Row: rowstore.Row{Key: progressKey("j"), Value: encode(dispatch.Progress{State: state, Started: true}), Version: version}}
}

func workerRowChange(version uint64) rowstore.Change {
	return rowstore.Change{Row: rowstore.Row{Key: workerKey("w"), Value: encode(WorkerRecord{}), Version: version}}
}

// A full read of a table is older than rows that this daemon has written since: those rows must stay.
func TestFullReadKeepsNewerRows(t *testing.T) {
	r := newTestReplica(rowstore.NewMemoryStore(), DaemonInfo{})
	r.applyUpdate(intakeTable, rowstore.Update{Changes: []rowstore.Change{jobRowChange(10)}})
	r.applyUpdate(progressTable, rowstore.Update{Changes: []rowstore.Change{progressRowChange(graph.Completed, 11), workerRowChange(12)}})
	r.applyUpdate(intakeTable, rowstore.Update{Full: true, Version: 9})
	r.applyUpdate(progressTable, rowstore.Update{Full: true, Version: 9})
	if j, ok := r.Job("j"); !ok || j.State() != graph.Completed {
		t.Error("a job that is newer than the read is missing from the copy")
	}
	if len(r.Workers()) != 1 {
		t.Error("a worker that is newer than the read is missing from the copy")
	}
}

// A full read of the table lacks a worker that the copy has: the worker must be removed from the copy, so that no new owner
// awaits its report.
func TestFullReadRemovesADeletedWorker(t *testing.T) {
	r := newTestReplica(rowstore.NewMemoryStore(), DaemonInfo{})
	r.applyUpdate(progressTable, rowstore.Update{Changes: []rowstore.Change{workerRowChange(1)}})
	r.applyUpdate(progressTable, rowstore.Update{Full: true, Version: 9})
	if len(r.Workers()) != 0 {
		t.Errorf("%d workers in the copy, want none: the only one was removed", len(r.Workers()))
	}
}

// The removal of a job's progress is applied before that of its record: in between the job must not count as new, and afterwards
// nothing of it may be left.
func TestJobWithoutProgressRowIsNotNew(t *testing.T) {
	removed := rowstore.Change{Row: rowstore.Row{Key: progressKey("j"), Version: 5}, Removed: true}
	for name, removal := range map[string]rowstore.Update{
		"by the feed":    {Changes: []rowstore.Change{removed}, Version: 5},
		"by a full read": {Full: true, Version: 5},
	} {
		r := newTestReplica(rowstore.NewMemoryStore(), DaemonInfo{})
		r.applyUpdate(intakeTable, rowstore.Update{Changes: []rowstore.Change{jobRowChange(1)}})
		r.applyUpdate(progressTable, rowstore.Update{Changes: []rowstore.Change{progressRowChange(graph.Completed, 2)}})
		r.applyUpdate(progressTable, removal)
		if j, ok := r.Job("j"); ok && j.State() != graph.Completed {
			t.Errorf("%s: a job that has ended is reported as %s", name, j.State())
		}
		// The record is applied once more, as by a request for the job's state that reads it from the store.
		r.apply(jobRowChange(1))
		if j, ok := r.Job("j"); !ok || j.State() != graph.Completed {
			t.Errorf("%s: a job that has ended is reported as %s", name, j.State())
		}
		r.applyUpdate(intakeTable, rowstore.Update{Changes: []rowstore.Change{{Row: rowstore.Row{Key: jobKey("j"), Version: 4}, Removed: true}}})
		if len(r.jobs) != 0 || len(r.OrphanedProgress()) != 0 {
			t.Errorf("%s: %d jobs and %d orphaned progress rows in the copy, want none", name, len(r.jobs), len(r.OrphanedProgress()))
		}
	}
}
