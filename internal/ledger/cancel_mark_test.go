package ledger

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

var testMark = NewCancelMark(oneTaskJob.Queue.Name, oneTaskJob.Organisation)

// Guards against marks of cancelled jobs that stay in the store for good, and against the removal of one that was written anew, or that has
// become a job.
func TestCancelMarksAreRemovedOnceTheyAreOld(t *testing.T) {
	const age = time.Minute
	for name, test := range map[string]struct {
		// happens comes between the choice of the mark and its removal.
		happens func(t *testing.T, store rowstore.Store)
		left    int
	}{
		"old": {func(*testing.T, rowstore.Store) {}, 0},
		"cancelled again": {func(t *testing.T, store rowstore.Store) {
			if err := newTestReplica(store, DaemonInfo{}).CancelUnknown(t.Context(), "j", testMark); !errors.Is(err, ErrNoJob) {
				t.Fatal(err)
			}
		}, 1},
		"accepted": {func(t *testing.T, store rowstore.Store) {
			if err := newTestReplica(store, DaemonInfo{}).Accept(t.Context(), "j", oneTaskJob); !errors.Is(err, ErrCancelled) {
				t.Fatal(err)
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := rowstore.NewMemoryStore()
				r := newTestReplica(store, DaemonInfo{})
				r.following.Store(true)
				if err := r.CancelUnknown(t.Context(), "j", testMark); !errors.Is(err, ErrNoJob) {
					t.Fatalf("the cancellation returns %v, want %v", err, ErrNoJob)
				}
				time.Sleep(age)
				now := r.clock.Now()
				if ids := r.CancelMarks(now.Add(-age-time.Millisecond), 10); len(ids) > 0 {
					t.Errorf("marks %v are %s old", ids, age+time.Millisecond)
				}
				old := r.CancelMarks(now.Add(-age), 10)
				if len(old) != 1 {
					t.Fatalf("marks %v are %s old, want one", old, age)
				}
				test.happens(t, store)
				if err := r.RemoveCancelMarks(t.Context(), old); err != nil {
					t.Fatal(err)
				}
				rows, err := r.readRow(t.Context(), jobKey("j"))
				if err != nil || len(rows) != test.left {
					t.Errorf("%d rows are left (%v), want %d", len(rows), err, test.left)
				}
			})
		})
	}
}

// Guards against a mark that outlives its row in a copy: one that was removed while the daemon could not follow the store.
func TestRemovedMarkLeavesTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestReplica(rowstore.NewMemoryStore(), DaemonInfo{})
		mark := rowstore.Row{Key: jobKey("j"), Value: encode(testMark), Version: 1}
		for name, remove := range map[string]func(){
			"removal":   func() { r.apply(rowstore.Change{Row: rowstore.Row{Key: mark.Key, Version: 2}, Removed: true}) },
			"full read": func() { r.applyUpdate(intakeTable, rowstore.Update{Full: true, Version: 2}) },
			"accepted": func() {
				record := oneTaskJob
				record.CancelledBefore = true
				r.apply(rowstore.Change{Row: rowstore.Row{Key: mark.Key, Value: encode(record), Version: 2}})
			},
		} {
			r.apply(rowstore.Change{Row: mark})
			if marks := r.CancelMarks(r.clock.Now(), 10); len(marks) != 1 {
				t.Errorf("%s: marks %v, want one", name, marks)
			}
			remove()
			if marks := r.CancelMarks(r.clock.Now(), 10); len(marks) != 0 {
				t.Errorf("%s: marks %v, want none", name, marks)
			}
			r.dropRecord("j")
		}
	})
}

// Guards against an owner that starts a job which was cancelled before it was accepted, between two changes of one version.
func TestRecordOfAJobThatWasCancelledBeforeSaysSo(t *testing.T) {
	store := rowstore.NewMemoryStore()
	r := newTestReplica(store, DaemonInfo{})
	if err := r.CancelUnknown(t.Context(), "j", testMark); !errors.Is(err, ErrNoJob) {
		t.Fatal(err)
	}
	if err := r.Accept(t.Context(), "j", oneTaskJob); !errors.Is(err, ErrCancelled) {
		t.Fatalf("the job is accepted with %v, want %v", err, ErrCancelled)
	}
	record, err := r.readRow(t.Context(), jobKey("j"))
	if err != nil || len(record) != 1 {
		t.Fatalf("%d rows (%v), want one", len(record), err)
	}
	r.apply(rowstore.Change{Row: record[0]})
	if j, stored := r.Job("j"); !stored || j.State() != graph.Cancelled {
		t.Errorf("by its record the job is stored: %t, %q; want cancelled", stored, j.State())
	}
	if cancel, err := r.readRow(t.Context(), cancelKey("j")); err != nil || len(cancel) != 1 {
		t.Errorf("%d rows of its cancellation (%v), want the one that earlier versions read", len(cancel), err)
	}
	if err := r.Accept(t.Context(), "j", oneTaskJob); err != nil {
		t.Errorf("a further try returns %v, want that it is stored", err)
	}
}
