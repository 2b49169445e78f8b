package ledger

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime/monotimetest"
	"laburnumpoint/internal/rowstore"
)

// forgetfulStore has lost its history before a version. Its feed goes on after its caller has left, as on the platform, where a
// call ends at its deadline only.
type forgetfulStore struct {
	*gatedStore
	oldest atomic.Uint64
}

func (s *forgetfulStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	if after < s.oldest.Load() {
		return nil, 0, rowstore.ErrHistoryLost
	}
	return s.gatedStore.Feed(context.WithoutCancel(ctx), table, after, wait)
}

func testReplica(store rowstore.Store, self Self) *Replica {
	clock := monotimetest.Clock{Start: time.Now()}
	return NewReplica(store, clock, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, self)
}

var oneTask = JobRecord{
	Queue: graph.Queue{Name: "q", Pool: "p", Attempts: 1},
	Spec:  &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Claim{MilliCPU: 1}}}},
}

// A VM is turned away for so long that a job which it knows as running ends and is forgotten, and that the feed's history is
// lost. Once it has read the tables again, the job is no unfinished one that a new owner would start.
func TestJobForgottenMeanwhileIsNotUnfinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer leave(cancel)
		memory := rowstore.NewMemory()
		store := &forgetfulStore{gatedStore: &gatedStore{Memory: memory}}
		ownerCopy := testReplica(memory, Self{Life: "a"})
		go ownerCopy.Run(ctx)
		owner, err := ownerCopy.Acquire(ctx, ownerCopy.Owner(), Owner{Node: "a", Life: "a"})
		if err != nil {
			t.Fatal(err)
		}
		other := testReplica(store, Self{Life: "b"})
		go other.Run(ctx)
		progress := func(state graph.State) Batch {
			return Batch{Progress: map[graph.JobID]dispatch.Progress{"j": {State: state, Started: true}}}
		}
		if err := ownerCopy.Accept(ctx, "j", oneTask); err != nil {
			t.Fatal(err)
		}
		if err := owner.Record(ctx, progress(graph.Running)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		store.shut.Store(true)
		time.Sleep(time.Second)
		if err := owner.Record(ctx, progress(graph.Completed)); err != nil {
			t.Fatal(err)
		}
		if err := ownerCopy.Forget(ctx, []graph.JobID{"j"}); err != nil {
			t.Fatal(err)
		}
		if err := owner.Record(ctx, Batch{OldJobs: []graph.JobID{"j"}}); err != nil {
			t.Fatal(err)
		}
		store.oldest.Store(owner.version)
		store.shut.Store(false)
		time.Sleep(5 * time.Second)
		if !other.Complete() || other.Age() > 2*time.Second {
			t.Fatal("the copy is not current")
		}
		for id, j := range other.Jobs() {
			t.Errorf("job %s is %s in the copy, and the store has no row of it", id, j.State())
		}
	})
}

// A new owner catches up while its follower still takes in an older answer: a worker that was removed and is in use again is
// not missing.
func TestWorkerInUseIsNotRemovedByAnOlderChange(t *testing.T) {
	r := testReplica(rowstore.NewMemory(), Self{})
	key := workerKey("w")
	put := func(version uint64) rowstore.Change {
		return rowstore.Change{Row: rowstore.Row{Key: key, Value: encode(WorkerRecord{}), Version: version}}
	}
	removed := rowstore.Change{Row: rowstore.Row{Key: key, Version: 2}, Removed: true}
	r.applyAll(progressTable, rowstore.Update{Changes: []rowstore.Change{put(1), removed, put(3)}})
	r.applyAll(progressTable, rowstore.Update{Changes: []rowstore.Change{put(1), removed}})
	if len(r.Workers()) != 1 {
		t.Error("a worker in use is missing from the copy")
	}
}

