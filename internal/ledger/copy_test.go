package ledger

import (
	"context"
	"fmt"
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

// slowLinkStore is a store behind a slow link: it delays and counts each row that is read.
type slowLinkStore struct {
	*rowstore.MemoryStore
	rowsRead atomic.Int64
}

// rowTransferTime is about the time that a row of a kilobyte takes on a link of 10 Mbit/s.
const rowTransferTime = time.Millisecond

func (s *slowLinkStore) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	rows, next, version, err := s.MemoryStore.Range(ctx, table, part, from, to)
	s.rowsRead.Add(int64(len(rows)))
	time.Sleep(time.Duration(1+len(rows)) * rowTransferTime)
	return rows, next, version, err
}

func (s *slowLinkStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	changes, version, err := s.MemoryStore.Feed(ctx, table, after, wait)
	s.rowsRead.Add(int64(len(changes)))
	time.Sleep(time.Duration(1+len(changes)) * rowTransferTime)
	return changes, version, err
}

// copyFixture holds an owner that commits jobs' progress, and the replica of a daemon on a weak VM.
type copyFixture struct {
	store      *slowLinkStore
	owner      *Ownership
	weak       *Replica
	ownerAlive atomic.Bool
}

func newCopyFixture(ctx context.Context, t *testing.T, ownerCores float64, standbys int) *copyFixture {
	t.Helper()
	clock := monotimetest.Clock{Start: time.Now()}
	discard := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	f := &copyFixture{store: &slowLinkStore{MemoryStore: rowstore.NewMemoryStore()}}
	strong := NewReplica(f.store.MemoryStore, clock, discard, DaemonInfo{Incarnation: "a", Cores: ownerCores})
	var err error
	if f.owner, err = strong.Acquire(ctx, strong.Owner(), OwnerRecord{Node: "a", Incarnation: "a", Cores: ownerCores, Standbys: standbys}); err != nil {
		t.Fatal(err)
	}
	for n := range 100 {
		f.commitProgress(ctx, t, n*60)
	}
	f.ownerAlive.Store(true)
	go func() {
		for ctx.Err() == nil {
			if f.ownerAlive.Load() {
				f.commitProgress(ctx, t, 0)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	f.weak = NewReplica(f.store, clock, discard, DaemonInfo{Incarnation: "b", Cores: 0.2, Weak: true})
	f.weak.SetDaemonCount(40)
	go f.weak.Run(ctx)
	return f
}

// commitProgress commits the progress of sixty jobs, numbered from first.
func (f *copyFixture) commitProgress(ctx context.Context, t *testing.T, first int) {
	batch := Batch{Progress: make(map[graph.JobID]dispatch.Progress)}
	for n := range 60 {
		batch.Progress[graph.JobID(fmt.Sprintf("%016x", first+n))] = dispatch.Progress{State: graph.Running, Started: true}
	}
	if err := f.owner.Commit(ctx, batch); err != nil && ctx.Err() == nil {
		t.Error(err)
	}
}

// cancelAndWait cancels the goroutines of a synctest bubble and gives them time to end.
func cancelAndWait(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Second)
}

// All daemons restart at once. A daemon on a weak VM must soon be ready to answer callers, since strong ones have the ledger,
// and must read little more than the ownership row.
func TestWeakDaemonLeavesTheCopyToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		f := newCopyFixture(ctx, t, 0.8, 3)
		time.Sleep(maxTimeToReady)
		if !f.weak.Ready() || f.weak.Owner().Node != "a" {
			t.Errorf("not ready %s after the start", maxTimeToReady)
		}
		time.Sleep(20 * time.Second)
		if rows := f.store.rowsRead.Load(); rows > 200 || f.weak.HasFullCopy() {
			t.Errorf("%d rows read in 20 s, full copy %v; want only reads of the ownership row, 200 at most", rows, f.weak.HasFullCopy())
		}
		if age := f.weak.Age(); age > time.Second {
			t.Errorf("the ownership row was last read %s ago, want 1 s at most", age)
		}
	})
}

// maxTimeToReady is well below the time after which callers' first requests come after a restart.
const maxTimeToReady = 100 * time.Millisecond

// No strong VM is left: a weak daemon must get a copy, so that it can take over.
func TestWeakDaemonGetsACopyWithoutAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		f := newCopyFixture(ctx, t, 0.8, 3)
		time.Sleep(5 * time.Second)
		f.ownerAlive.Store(false)
		time.Sleep(ownerTimeout + copyGracePeriod + 10*time.Second)
		if !f.weak.HasFullCopy() {
			t.Fatal("no copy although there is no owner")
		}
		f.ownerAlive.Store(true)
		time.Sleep(copyGracePeriod + 2*time.Second)
		if f.weak.HasFullCopy() {
			t.Error("the copy is kept although the owner renews its ownership again")
		}
	})
}

// If the owner's VM is not much stronger, or too few other daemons on strong VMs are up, every daemon must have a copy.
func TestEqualDaemonsHaveCopies(t *testing.T) {
	for _, c := range []struct {
		cores    float64
		standbys int
	}{{0.25, 5}, {0.8, 1}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancelAndWait(cancel)
			f := newCopyFixture(ctx, t, c.cores, c.standbys)
			time.Sleep(copyGracePeriod + 10*time.Second)
			if !f.weak.HasFullCopy() {
				t.Errorf("owner with %.2f cores, %d standbys: no copy", c.cores, c.standbys)
			}
		})
	}
}

// A daemon that is asked to take over must get a copy at once.
func TestRequestedCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		f := newCopyFixture(ctx, t, 0.8, 3)
		time.Sleep(time.Second)
		f.weak.RequestCopy()
		time.Sleep(9 * time.Second)
		if !f.weak.HasFullCopy() {
			t.Error("no copy although one was requested")
		}
	})
}

// A daemon that is taking over must keep its copy, even while it sees another owner.
func TestCopyIsKeptWhileTakingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		f := newCopyFixture(ctx, t, 0.8, 3)
		f.weak.RequestCopy()
		time.Sleep(8 * time.Second)
		f.weak.SetOwning(true)
		time.Sleep(requestedCopyTTL + copyGracePeriod)
		if !f.weak.HasFullCopy() {
			t.Error("the copy is dropped by a daemon that takes over")
		}
		f.weak.SetOwning(false)
		time.Sleep(time.Second)
		if f.weak.HasFullCopy() {
			t.Error("the copy is kept by a daemon that no longer takes over")
		}
	})
}
