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

// truncatedFeedStore has lost the feed's history before oldestVersion. A call for the feed goes on after its context has ended,
// as on the platform, where a call ends only at its deadline.
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

// The store doesn't answer a daemon for so long that a job which the daemon knows as running ends, its rows are removed, and the
// feed's history is lost. When the daemon has read the tables again, the job must not be in the copy: as an unfinished job it would be
// started again by a new owner.
func TestJobRemovedDuringAnOutageIsNotUnfinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		memory := rowstore.NewMemoryStore()
		store := &truncatedFeedStore{interruptibleStore: &interruptibleStore{MemoryStore: memory}}
		ownerReplica := newTestReplica(memory, DaemonInfo{Incarnation: "a"})
		go ownerReplica.Run(ctx)
		owner, err := ownerReplica.Acquire(ctx, ownerReplica.Owner(), OwnerRecord{Node: "a", Incarnation: "a"})
		if err != nil {
			t.Fatal(err)
		}
		other := newTestReplica(store, DaemonInfo{Incarnation: "b"})
		go other.Run(ctx)
		progress := func(state graph.JobState) Batch {
			return Batch{Progress: map[graph.JobID]dispatch.Progress{"j": {State: state, Started: true}}}
		}
		if err := ownerReplica.Accept(ctx, "j", oneTaskJob); err != nil {
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
		if err := ownerReplica.DeleteJobRecords(ctx, []graph.JobID{"j"}); err != nil {
			t.Fatal(err)
		}
		if err := owner.Commit(ctx, Batch{RemovedJobs: []graph.JobID{"j"}}); err != nil {
			t.Fatal(err)
		}
		store.oldestVersion.Store(owner.version)
		store.unavailable.Store(false)
		time.Sleep(5 * time.Second)
		if !other.HasFullCopy() || other.Age() > 2*time.Second {
			t.Fatalf("the copy is not current: complete %v, %s old", other.HasFullCopy(), other.Age())
		}
		for id, j := range other.Jobs() {
			t.Errorf("job %s is %s in the copy, but the store has no row of it", id, j.State())
		}
	})
}

// A new owner catches up while its follower still applies an older answer: a worker that was removed and added again must not
// be missing afterwards.
func TestWorkerInUseIsNotRemovedByAnOlderChange(t *testing.T) {
	r := newTestReplica(rowstore.NewMemoryStore(), DaemonInfo{})
	key := workerKey("w")
	put := func(version uint64) rowstore.Change {
		return rowstore.Change{Row: rowstore.Row{Key: key, Value: encode(WorkerRecord{}), Version: version}}
	}
	removed := rowstore.Change{Row: rowstore.Row{Key: key, Version: 2}, Removed: true}
	r.applyUpdate(progressTable, rowstore.Update{Changes: []rowstore.Change{put(1), removed, put(3)}})
	r.applyUpdate(progressTable, rowstore.Update{Changes: []rowstore.Change{put(1), removed}})
	if len(r.Workers()) != 1 {
		t.Errorf("%d workers in the copy, want the one in use", len(r.Workers()))
	}
}

// A daemon takes over while it drops its copy because other daemons have one. Whenever HasFullCopy has returned true, the copy
// must stay.
func TestCopyOfANewOwnerIsNotDropped(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		for delay := time.Duration(0); delay < time.Second; delay += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) { takeOverWhileCopyIsDropped(t, phase, delay) })
			if t.Failed() {
				return
			}
		}
	}
}

// takeOverWhileCopyIsDropped takes over when the delay has passed since the copy became unneeded. phase shifts the calls of the
// followers against that time.
func takeOverWhileCopyIsDropped(t *testing.T, phase, delay time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancelAndWait(cancel)
	store := &truncatedFeedStore{interruptibleStore: &interruptibleStore{MemoryStore: rowstore.NewMemoryStore()}}
	ownerReplica := newTestReplica(store.MemoryStore, DaemonInfo{Incarnation: "a", Cores: 0.8})
	owner, err := ownerReplica.Acquire(ctx, ownerReplica.Owner(), OwnerRecord{Node: "a", Incarnation: "a", Cores: 0.8, Standbys: minStandbys})
	if err != nil {
		t.Fatal(err)
	}
	if err := ownerReplica.Accept(ctx, "j", oneTaskJob); err != nil {
		t.Fatal(err)
	}
	if err := owner.Commit(ctx, Batch{Workers: []dispatch.Worker{{ID: "w", Pool: "p"}}}); err != nil {
		t.Fatal(err)
	}
	weak := newTestReplica(store, DaemonInfo{Incarnation: "b", Cores: 0.2, Weak: true})
	weak.RequestCopy()
	requestedAt := time.Now()
	time.Sleep(phase)
	go weak.Run(ctx)
	for ; time.Since(requestedAt) < requestedCopyTTL+delay; time.Sleep(50 * time.Millisecond) {
		if err := owner.Commit(ctx, Batch{}); err != nil {
			t.Fatal(err)
		}
	}
	if !weak.HasFullCopy() {
		return // such a daemon doesn't try to take over
	}
	weak.SetOwning(true)
	if err := weak.ReadOwner(ctx); err != nil {
		t.Fatal(err)
	}
	ownership, err := weak.Acquire(ctx, weak.Owner(), OwnerRecord{Node: "b", Incarnation: "b"})
	if err != nil {
		t.Fatal(err)
	}
	if err := ownership.CatchUp(ctx); err != nil || !weak.HasFullCopy() {
		return // such a daemon gives up ownership again
	}
	for checkedAt := time.Now(); time.Since(checkedAt) < time.Second; time.Sleep(100 * time.Microsecond) {
		if jobs, workers := len(weak.Jobs()), len(weak.Workers()); jobs != 1 || workers != 1 {
			t.Errorf("%s after the new owner had a full copy it has %d jobs and %d workers, want one of each", time.Since(checkedAt), jobs, workers)
			return
		}
	}
}
