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

// truncatedFeedStore has lost its history before a version. Its feed goes on after its caller has left, as on the platform, where a
// call ends at its deadline only.
type truncatedFeedStore struct {
	*interruptibleStore
	oldestVersion atomic.Uint64
}

func (s *truncatedFeedStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	if after < s.oldestVersion.Load() {
		return nil, 0, rowstore.ErrHistoryLost
	}
	return s.interruptibleStore.Feed(context.WithoutCancel(ctx), table, after, wait)
}

func newTestReplica(store rowstore.Store, self DaemonInfo) *Replica {
	clock := monotimetest.Clock{Start: time.Now()}
	return NewReplica(store, clock, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, self)
}

var oneTaskJob = JobRecord{
	Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1},
	Spec:  &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}},
}

// A VM is turned away for so long that a job which it knows as running ends and is forgotten, and that the feed's history is
// lost. Once it has read the tables again, the job is no unfinished one that a new owner would start.
func TestJobForgottenMeanwhileIsNotUnfinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		memory := rowstore.NewMemory()
		store := &truncatedFeedStore{interruptibleStore: &interruptibleStore{Memory: memory}}
		ownerCopy := newTestReplica(memory, DaemonInfo{Incarnation: "a"})
		go ownerCopy.Run(ctx)
		owner, err := ownerCopy.Acquire(ctx, ownerCopy.Owner(), OwnerRecord{Node: "a", Incarnation: "a"})
		if err != nil {
			t.Fatal(err)
		}
		other := newTestReplica(store, DaemonInfo{Incarnation: "b"})
		go other.Run(ctx)
		progress := func(state graph.JobState) Batch {
			return Batch{Progress: map[graph.JobID]dispatch.Progress{"j": {State: state, Started: true}}}
		}
		if err := ownerCopy.Accept(ctx, "j", oneTaskJob); err != nil {
			t.Fatal(err)
		}
		if err := owner.Commit(ctx, progress(graph.Running)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		store.unavailable.Store(true)
		time.Sleep(time.Second)
		if err := owner.Commit(ctx, progress(graph.Completed)); err != nil {
			t.Fatal(err)
		}
		if err := ownerCopy.DeleteJobRecords(ctx, []graph.JobID{"j"}); err != nil {
			t.Fatal(err)
		}
		if err := owner.Commit(ctx, Batch{RemovedJobs: []graph.JobID{"j"}}); err != nil {
			t.Fatal(err)
		}
		store.oldestVersion.Store(owner.version)
		store.unavailable.Store(false)
		time.Sleep(5 * time.Second)
		if !other.HasFullCopy() || other.Age() > 2*time.Second {
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
	r := newTestReplica(rowstore.NewMemory(), DaemonInfo{})
	key := workerKey("w")
	put := func(version uint64) rowstore.Change {
		return rowstore.Change{Row: rowstore.Row{Key: key, Value: encode(WorkerRecord{}), Version: version}}
	}
	removed := rowstore.Change{Row: rowstore.Row{Key: key, Version: 2}, Removed: true}
	r.applyUpdate(progressTable, rowstore.Update{Changes: []rowstore.Change{put(1), removed, put(3)}})
	r.applyUpdate(progressTable, rowstore.Update{Changes: []rowstore.Change{put(1), removed}})
	if len(r.Workers()) != 1 {
		t.Error("a worker in use is missing from the copy")
	}
}

// A daemon that just gave up its copy, since others have one, takes over: once it has found its copy whole the copy stays, at
// whichever moment that was.
func TestCopyOfANewOwnerIsNotDropped(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		for late := time.Duration(0); late < time.Second; late += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) { takeOverWhileCopyIsDropped(t, phase, late) })
			if t.Failed() {
				return
			}
		}
	}
}

// takeOverWhileCopyIsDropped takes over so long after the copy is needed no more, which is at some phase of the follower's calls.
func takeOverWhileCopyIsDropped(t *testing.T, phase, late time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancelAndWait(cancel)
	store := &truncatedFeedStore{interruptibleStore: &interruptibleStore{Memory: rowstore.NewMemory()}}
	ownerCopy := newTestReplica(store.Memory, DaemonInfo{Incarnation: "a", Cores: 0.8})
	owner, err := ownerCopy.Acquire(ctx, ownerCopy.Owner(), OwnerRecord{Node: "a", Incarnation: "a", Cores: 0.8, Standbys: minStandbys})
	if err != nil {
		t.Fatal(err)
	}
	if err := ownerCopy.Accept(ctx, "j", oneTaskJob); err != nil {
		t.Fatal(err)
	}
	if err := owner.Commit(ctx, Batch{Workers: []dispatch.Worker{{ID: "w", Pool: "p"}}}); err != nil {
		t.Fatal(err)
	}
	weak := newTestReplica(store, DaemonInfo{Incarnation: "b", Cores: 0.2, Weak: true})
	weak.RequestCopy()
	began := time.Now()
	time.Sleep(phase)
	go weak.Run(ctx)
	for ; time.Since(began) < requestedCopyTTL+late; time.Sleep(50 * time.Millisecond) {
		if err := owner.Commit(ctx, Batch{}); err != nil {
			t.Fatal(err)
		}
	}
	if !weak.HasFullCopy() {
		return // it would not try to take over
	}
	weak.SetOwning(true)
	if err := weak.ReadOwner(ctx); err != nil {
		t.Fatal(err)
	}
	tenure, err := weak.Acquire(ctx, weak.Owner(), OwnerRecord{Node: "b", Incarnation: "b"})
	if err != nil {
		t.Fatal(err)
	}
	if err := tenure.CatchUp(ctx); err != nil || !weak.HasFullCopy() {
		return // it gives ownership up
	}
	for taken := time.Now(); time.Since(taken) < time.Second; time.Sleep(100 * time.Microsecond) {
		if jobs, workers := len(weak.Jobs()), len(weak.Workers()); jobs != 1 || workers != 1 {
			t.Errorf("%s after the new owner found its copy whole it has %d jobs and %d workers, want one of each", time.Since(taken), jobs, workers)
			return
		}
	}
}
