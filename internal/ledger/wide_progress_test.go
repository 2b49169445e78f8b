package ledger

import (
	"context"
	"fmt"
	"io"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime/monotimetest"
	"laburnumpoint/internal/rowstore"
)

const wideJob graph.JobID = "00000000000b19ad"

// wideProgress is the progress of a job whose tasks have each a checkpoint of the given length, and every third a failed run.
func wideProgress(tasks, checkpoint int) dispatch.Progress {
	s := dispatch.StepProgress{Done: make([]byte, (tasks+7)/8)}
	for i := range tasks {
		t := dispatch.TaskProgress{Index: i, Checkpoint: fmt.Sprintf("%0*x", checkpoint, i)}
		if i%3 == 0 {
			t.FailedRuns = []uint64{uint64(i) + 1_000_000}
		}
		s.Tasks = append(s.Tasks, t)
	}
	return dispatch.Progress{State: graph.Running, Started: true, Steps: []dispatch.StepProgress{s}}
}

func newQuietReplica(store rowstore.Store, incarnation string) *Replica {
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return NewReplica(store, monotimetest.Clock{Start: time.Now()}, quiet, DaemonInfo{Incarnation: incarnation})
}

// successorProgress returns the job's progress as a daemon reads it from the store.
func successorProgress(t *testing.T, store rowstore.Store, id graph.JobID) *dispatch.Progress {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	successor := newQuietReplica(store, "b")
	go successor.Run(ctx)
	for !successor.HasFullCopy() {
		time.Sleep(10 * time.Millisecond)
	}
	j, ok := successor.Job(id)
	if !ok {
		t.Fatal("the successor does not know the job")
	}
	progress, err := j.FullProgress()
	if err != nil {
		t.Fatal(err)
	}
	return progress
}

func newWideOwner(t *testing.T) (*Ownership, *rowstore.MemoryStore) {
	t.Helper()
	store := rowstore.NewMemoryStore()
	replica := newQuietReplica(store, "a")
	owner, err := replica.Acquire(t.Context(), replica.Owner(), OwnerRecord{Node: "a", Incarnation: "a"})
	if err != nil {
		t.Fatal(err)
	}
	if err := replica.Accept(t.Context(), wideJob, JobRecord{Spec: &graph.Spec{Steps: []graph.Step{{Count: 10_000}}}}); err != nil {
		t.Fatal(err)
	}
	return owner, store
}

func commitProgressOf(t *testing.T, owner *Ownership, p dispatch.Progress) {
	t.Helper()
	if err := owner.Commit(t.Context(), Batch{Progress: map[graph.JobID]dispatch.Progress{wideJob: p}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a cell that stops: the progress of a wide job exceeded a row, so that the store rejected each commit.
func TestProgressOfAWideJobIsRecorded(t *testing.T) {
	for _, checkpoint := range []int{16, 200, 5000} {
		synctest.Test(t, func(t *testing.T) {
			owner, store := newWideOwner(t)
			for _, tasks := range []int{10_000, 400, 10_000} {
				want := wideProgress(tasks, checkpoint)
				commitProgressOf(t, owner, want)
				if got := successorProgress(t, store, wideJob); !reflect.DeepEqual(*got, want) {
					t.Errorf("%d tasks with checkpoints of %d bytes: the successor reads another progress", tasks, checkpoint)
				}
			}
			commitProgressOf(t, owner, dispatch.Progress{State: graph.Cancelled})
			if rows, _, _, _ := store.Range(t.Context(), progressTable, "", detailPrefix, detailPrefix+"~"); len(rows) != 0 {
				t.Errorf("%d detail rows of a job that has ended", len(rows))
			}
		})
	}
}

// Guards against a slow owner and a full link: each commit of a wide job must write only what has changed.
func TestUnchangedDetailsAreNotWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, store := newWideOwner(t)
		p := wideProgress(5000, 16)
		commitProgressOf(t, owner, p)
		p = wideProgress(5000, 16)
		p.Steps[0].Tasks[4000].Checkpoint = "later"
		_, before, err := store.Feed(t.Context(), progressTable, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		commitProgressOf(t, owner, p)
		changes, _, err := store.Feed(t.Context(), progressTable, before, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(changes) != 3 {
			t.Errorf("%d rows written, want the ownership, the progress and one detail row", len(changes))
		}
		if got := successorProgress(t, store, wideJob); !reflect.DeepEqual(*got, p) {
			t.Error("the successor reads another progress")
		}
	})
}

// Guards against recorded details that lag behind: a commit without an answer may have been applied.
func TestDetailsAreWrittenAgainAfterAFailedCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := rowstore.NewMemoryStore()
		store := &slowStore{MemoryStore: memory, turn: make(chan struct{}, 1)}
		owner := newSlowOwner(t, store)
		if err := owner.replica.Accept(t.Context(), wideJob, JobRecord{Spec: &graph.Spec{Steps: []graph.Step{{Count: 10_000}}}}); err != nil {
			t.Fatal(err)
		}
		first, second := wideProgress(5000, 16), wideProgress(5000, 16)
		second.Steps[0].Tasks[7].Checkpoint = "other"
		commitProgressOf(t, owner, first)
		store.answersLost.Store(true)
		store.readTime = time.Hour
		if err := owner.Commit(t.Context(), Batch{Progress: map[graph.JobID]dispatch.Progress{wideJob: second}}); err == nil {
			t.Fatal("a commit without an answer succeeded")
		}
		store.answersLost.Store(false)
		store.readTime = 0
		for {
			if err := owner.Commit(t.Context(), Batch{Progress: map[graph.JobID]dispatch.Progress{wideJob: first}}); err == nil {
				break
			}
		}
		if got := successorProgress(t, memory, wideJob); !reflect.DeepEqual(*got, first) {
			t.Error("the successor reads the progress of the commit that failed")
		}
	})
}

// Any progress is read as it was recorded, in rows that the store takes.
func TestEncodedProgressIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRow := rapid.IntRange(1500, 8000).Draw(t, "max row")
		p := dispatch.Progress{State: graph.Running}
		for k := range rapid.IntRange(1, 4).Draw(t, "steps") {
			s := dispatch.StepProgress{Step: k, Done: []byte{1}}
			index := 0
			for range rapid.IntRange(0, 400).Draw(t, "tasks") {
				index += rapid.IntRange(1, 40).Draw(t, "gap")
				s.Tasks = append(s.Tasks, dispatch.TaskProgress{Index: index, Checkpoint: fmt.Sprintf("%0*d", rapid.IntRange(1, 900).Draw(t, "checkpoint"), index)})
			}
			p.Steps = append(p.Steps, s)
		}
		encoded := encodeProgress(wideJob, p, maxRow)
		replica := newQuietReplica(rowstore.NewMemoryStore(), "a")
		replica.apply(rowstore.Change{Row: rowstore.Row{Key: jobKey(wideJob), Value: encode(JobRecord{Spec: &graph.Spec{Steps: []graph.Step{{Count: 1}}}}), Version: 1}})
		replica.apply(rowstore.Change{Row: rowstore.Row{Key: progressKey(wideJob), Value: encoded.progress, Version: 1}})
		if len(encoded.progress) > maxRow {
			t.Fatalf("progress row of %d bytes, want at most %d", len(encoded.progress), maxRow)
		}
		for name, value := range encoded.details {
			if len(value) > maxRow {
				t.Fatalf("detail row of %d bytes, want at most %d", len(value), maxRow)
			}
			replica.apply(rowstore.Change{Row: rowstore.Row{Key: detailKey(name), Value: value, Version: 1}})
		}
		j, _ := replica.Job(wideJob)
		got, err := j.FullProgress()
		if err != nil {
			t.Fatal(err)
		}
		indexes := func(p dispatch.Progress) map[string]string {
			out := make(map[string]string)
			for _, s := range p.Steps {
				for _, task := range s.Tasks {
					out[fmt.Sprint(s.Step, ".", task.Index)] = task.Checkpoint
				}
			}
			return out
		}
		if !reflect.DeepEqual(indexes(*got), indexes(p)) {
			t.Fatal("the tasks that were read differ from the recorded ones")
		}
	})
}
