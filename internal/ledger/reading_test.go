package ledger

import (
	"testing"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

func jobRow(version uint64) rowstore.Change {
	return rowstore.Change{Row: rowstore.Row{Key: jobKey("j"), Value: encode(oneTask), Version: version}}
}

func progressRow(state graph.JobState, version uint64) rowstore.Change {
	return rowstore.Change{Row: rowstore.Row{Key: progressKey("j"), Value: encode(dispatch.Progress{State: state, Started: true}), Version: version}}
}

func workerRowOf(version uint64) rowstore.Change {
	return rowstore.Change{Row: rowstore.Row{Key: workerKey("w"), Value: encode(WorkerRecord{}), Version: version}}
}

// A table is read again, and the reading is older than what this daemon has written since: that stays.
func TestReadingKeepsWhatIsNewer(t *testing.T) {
	r := testReplica(rowstore.NewMemory(), Self{})
	r.applyAll(intakeTable, rowstore.Update{Changes: []rowstore.Change{jobRow(10)}})
	r.applyAll(progressTable, rowstore.Update{Changes: []rowstore.Change{progressRow(graph.Completed, 11), workerRowOf(12)}})
	r.applyAll(intakeTable, rowstore.Update{Full: true, Version: 9})
	r.applyAll(progressTable, rowstore.Update{Full: true, Version: 9})
	if j, ok := r.Job("j"); !ok || j.State() != graph.Completed {
		t.Error("a job that is newer than the reading is missing from the copy")
	}
	if len(r.Workers()) != 1 {
		t.Error("a worker that is newer than the reading is missing from the copy")
	}
}

// A table is read again and lacks a worker that the copy has: it is not awaited.
func TestReadingLacksAWorkerThatWasRemoved(t *testing.T) {
	r := testReplica(rowstore.NewMemory(), Self{})
	r.applyAll(progressTable, rowstore.Update{Changes: []rowstore.Change{workerRowOf(1)}})
	r.applyAll(progressTable, rowstore.Update{Full: true, Version: 9})
	if len(r.Workers()) != 0 {
		t.Error("a worker that was removed is in the copy")
	}
}

// The removal of a job's progress is heard of before that of its record: in between it is no new job, and nothing of it is
// left afterwards.
func TestJobWhoseProgressIsGoneIsNotNew(t *testing.T) {
	removed := rowstore.Change{Row: rowstore.Row{Key: progressKey("j"), Version: 5}, Removed: true}
	for name, gone := range map[string]rowstore.Update{
		"by the feed":  {Changes: []rowstore.Change{removed}, Version: 5},
		"by a reading": {Full: true, Version: 5},
	} {
		r := testReplica(rowstore.NewMemory(), Self{})
		r.applyAll(intakeTable, rowstore.Update{Changes: []rowstore.Change{jobRow(1)}})
		r.applyAll(progressTable, rowstore.Update{Changes: []rowstore.Change{progressRow(graph.Completed, 2)}})
		r.applyAll(progressTable, gone)
		if j, ok := r.Job("j"); ok && j.State() != graph.Completed {
			t.Errorf("%s: a job that has ended is %s", name, j.State())
		}
		// The record is heard of once more, as by a request for the job's state that asks the store.
		r.apply(jobRow(1))
		if j, ok := r.Job("j"); !ok || j.State() != graph.Completed {
			t.Errorf("%s: a job that has ended is %s", name, j.State())
		}
		r.applyAll(intakeTable, rowstore.Update{Changes: []rowstore.Change{{Row: rowstore.Row{Key: jobKey("j"), Version: 4}, Removed: true}}})
		if len(r.jobs) != 0 || len(r.Orphans()) != 0 {
			t.Errorf("%s: a job without rows is in the copy", name)
		}
	}
}
