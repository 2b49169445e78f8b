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

// slowLinkStore is the store behind a slow link: each row that is read takes its time, and is counted.
type slowLinkStore struct {
	*rowstore.Memory
	rowsRead atomic.Int64
}

// rowTransferTime is what a row of a kilobyte takes on a link of 10 Mbit/s.
const rowTransferTime = time.Millisecond

func (s *slowLinkStore) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	rows, next, version, err := s.Memory.Range(ctx, table, part, from, to)
	s.rowsRead.Add(int64(len(rows)))
	time.Sleep(time.Duration(1+len(rows)) * rowTransferTime)
	return rows, next, version, err
}

func (s *slowLinkStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	changes, version, err := s.Memory.Feed(ctx, table, after, wait)
	s.rowsRead.Add(int64(len(changes)))
	time.Sleep(time.Duration(1+len(changes)) * rowTransferTime)
	return changes, version, err
}

// copyFixture is an owner that records ends, and a daemon on a weak VM.
type copyFixture struct {
	store      *slowLinkStore
	owner      *Ownership
	weak       *Replica
	ownerAlive atomic.Bool
}

func newCopyFixture(ctx context.Context, t *testing.T, ownerCores float64, standbys int) *copyFixture {
	t.Helper()
	clock := monotimetest.Clock{Start: time.Now()}
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	w := &copyFixture{store: &slowLinkStore{Memory: rowstore.NewMemory()}}
	strong := NewReplica(w.store.Memory, clock, quiet, DaemonInfo{Incarnation: "a", Cores: ownerCores})
	var err error
	if w.owner, err = strong.Acquire(ctx, strong.Owner(), OwnerRecord{Node: "a", Incarnation: "a", Cores: ownerCores, Standbys: standbys}); err != nil {
		t.Fatal(err)
	}
	for n := range 100 {
		w.record(ctx, t, n*60)
	}
	w.ownerAlive.Store(true)
	go func() {
		for ctx.Err() == nil {
			if w.ownerAlive.Load() {
				w.record(ctx, t, 0)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	w.weak = NewReplica(w.store, clock, quiet, DaemonInfo{Incarnation: "b", Cores: 0.2, Weak: true})
	w.weak.SetDaemonCount(40)
	go w.weak.Run(ctx)
	return w
}

// record has the owner record the progress of sixty jobs.
func (w *copyFixture) record(ctx context.Context, t *testing.T, first int) {
	batch := Batch{Progress: make(map[graph.JobID]dispatch.Progress)}
	for n := range 60 {
		batch.Progress[graph.JobID(fmt.Sprintf("%016x", first+n))] = dispatch.Progress{State: graph.Running, Started: true}
	}
	if err := w.owner.Commit(ctx, batch); err != nil && ctx.Err() == nil {
		t.Error(err)
	}
}

// cancelAndWait ends what runs in a bubble and waits for it.
func cancelAndWait(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Second)
}

// All daemons start again at once. One on a weak VM answers callers soon, since strong ones have the ledger, and reads next
// to nothing.
func TestWeakDaemonLeavesTheCopyToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		w := newCopyFixture(ctx, t, 0.8, 3)
		time.Sleep(maxTimeToReady)
		if !w.weak.Ready() || w.weak.Owner().Node != "a" {
			t.Errorf("not ready %s after the start", maxTimeToReady)
		}
		time.Sleep(20 * time.Second)
		if rows := w.store.rowsRead.Load(); rows > 200 || w.weak.HasFullCopy() {
			t.Errorf("%d rows read in 20 s, want the ownership row alone", rows)
		}
		if age := w.weak.Age(); age > time.Second {
			t.Errorf("what is known of the owner is %s old", age)
		}
	})
}

// maxTimeToReady is well within the time in which callers' first requests come after a restart.
const maxTimeToReady = 100 * time.Millisecond

// The strong VMs are gone: the weak daemon gets its copy, so that it can take over.
func TestWeakDaemonGetsACopyWhenTheOwnerIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		w := newCopyFixture(ctx, t, 0.8, 3)
		time.Sleep(5 * time.Second)
		w.ownerAlive.Store(false)
		time.Sleep(ownerTimeout + copyGracePeriod + 10*time.Second)
		if !w.weak.HasFullCopy() {
			t.Fatal("no copy although the owner is gone")
		}
		w.ownerAlive.Store(true)
		time.Sleep(copyGracePeriod + 2*time.Second)
		if w.weak.HasFullCopy() {
			t.Error("the copy is kept although the owner is back")
		}
	})
}

// Where no VM is much stronger, or too few stand by, every daemon has a copy.
func TestEqualDaemonsHaveCopies(t *testing.T) {
	for _, c := range []struct {
		cores    float64
		standbys int
	}{{0.25, 5}, {0.8, 1}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancelAndWait(cancel)
			w := newCopyFixture(ctx, t, c.cores, c.standbys)
			time.Sleep(copyGracePeriod + 10*time.Second)
			if !w.weak.HasFullCopy() {
				t.Errorf("owner with %.2f cores, %d standbys: no copy", c.cores, c.standbys)
			}
		})
	}
}

// A daemon that is asked to take over gets its copy at once.
func TestRequestedCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		w := newCopyFixture(ctx, t, 0.8, 3)
		time.Sleep(time.Second)
		w.weak.RequestCopy()
		time.Sleep(9 * time.Second)
		if !w.weak.HasFullCopy() {
			t.Error("no copy although it was asked for")
		}
	})
}

// A daemon that is taking over keeps its copy, whatever it hears of another owner meanwhile.
func TestCopyIsKeptWhileTakingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancelAndWait(cancel)
		w := newCopyFixture(ctx, t, 0.8, 3)
		w.weak.RequestCopy()
		time.Sleep(8 * time.Second)
		w.weak.SetOwning(true)
		time.Sleep(requestedCopyTTL + copyGracePeriod)
		if !w.weak.HasFullCopy() {
			t.Error("the copy is given up by a daemon that takes over")
		}
		w.weak.SetOwning(false)
		time.Sleep(time.Second)
		if w.weak.HasFullCopy() {
			t.Error("the copy is kept by a daemon that does not take over")
		}
	})
}
