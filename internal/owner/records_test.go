package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/rowstore"
)

// gappedStore answers transactions late once told so.
type gappedStore struct {
	*rowstore.Memory
	late time.Duration
}

func (s *gappedStore) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	version, rows, err := s.Memory.Apply(ctx, tx)
	time.Sleep(s.late)
	return version, rows, err
}

// newRecordControl returns an owner over a store, and a function that waits until no record is under way.
func newRecordControl(ctx context.Context, t *testing.T, store rowstore.Store) (c *control, finish func()) {
	t.Helper()
	d := newStoreDaemon(store, &fakeRunners{start: time.Now()})
	tenure, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "a", Incarnation: "a"})
	if err != nil {
		t.Fatal(err)
	}
	c = newControl(ctx, d, tenure, d.Clock.Now())
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	c.engine.SetNow(c.now())
	return c, func() {
		for c.recording {
			c.takeIn(<-c.events)
		}
	}
}

// A new worker's entry is listed again while its first record is under way, so that a second one follows. While that is under
// way the worker is taken for gone. It is cut off only, and is used again: the ledger has it.
func TestWorkerThatIsRecordedTwiceIsInTheLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &gappedStore{Memory: rowstore.NewMemory()}
		c, finish := newRecordControl(ctx, t, store)
		runners := c.Workers.(*fakeRunners)
		store.late = 300 * time.Millisecond // a slow store
		w := dispatch.Worker{ID: "w", Pool: "p"}
		time.Sleep(recordRetry)
		runners.setSilent(true)
		c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{w}})
		c.record()
		c.registerChanged(RegistryChange{Put: []dispatch.Worker{w}}) // a heartbeat
		finish()
		time.Sleep(recordGap)
		if len(c.workerRows) != 1 {
			t.Fatal("no second record of the worker")
		}
		c.record() // the second record of the same row
		c.registerChanged(RegistryChange{Removed: []dispatch.WorkerID{"w"}})
		c.linkFailed(c.links["w"], ErrNoAnswer) // its first look is refused, as by an unhealthy worker
		c.expireLinks()
		if c.links["w"] != nil {
			t.Fatal("the worker is not taken for gone")
		}
		runners.setSilent(false)
		finish()
		c.registerChanged(RegistryChange{Put: []dispatch.Worker{w}}) // it is heard of again
		for range 3 {
			time.Sleep(recordGap)
			c.record()
			finish()
		}
		rows, _, _, err := store.Range(ctx, "laburnumpoint-progress", "", "worker/", "worker0")
		if err != nil {
			t.Fatal(err)
		}
		if c.links["w"] != nil && len(rows) != 1 {
			t.Error("a worker is in use, and the ledger has no row of it")
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// A worker reports that it drains while the record of its being new is under way: it gets nothing new from then on.
func TestWorkerThatDrainsWhileItIsRecordedGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &gappedStore{Memory: rowstore.NewMemory()}
		c, finish := newRecordControl(ctx, t, store)
		store.late = 100 * time.Millisecond
		time.Sleep(recordRetry)
		w := cutWorker
		c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{w}})
		c.record()
		w.Draining = true
		c.registerChanged(RegistryChange{Put: []dispatch.Worker{w}})
		finish()
		for range 3 {
			time.Sleep(recordGap)
			c.record()
			finish()
		}
		addOneTask(c, "j")
		for range 20 {
			time.Sleep(tick)
			c.engine.SetNow(c.now())
			c.drainEvents()
			if orders := c.engine.Plan(0); len(orders) > 0 {
				t.Errorf("a worker that drains is sent %v", orders)
				break
			}
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// A new worker leaves while the record of its being new is under way: it gets nothing new.
func TestWorkerThatLeavesWhileItIsRecordedGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &gappedStore{Memory: rowstore.NewMemory()}
		c, finish := newRecordControl(ctx, t, store)
		store.late = 100 * time.Millisecond
		time.Sleep(recordRetry)
		c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{cutWorker}})
		c.record()
		c.registerChanged(RegistryChange{Removed: []dispatch.WorkerID{"w"}})
		finish()
		addOneTask(c, "j")
		for range 20 {
			time.Sleep(tick)
			c.engine.SetNow(c.now())
			c.drainEvents()
			if orders := c.engine.Plan(0); len(orders) > 0 {
				t.Errorf("a worker that is not registered is sent %v", orders)
				break
			}
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// A worker's entry is written and then removed, and both are told in one change: the worker is not registered.
func TestEntryThatIsWrittenAndRemovedIsGone(t *testing.T) {
	c := newTestControl(t.Context(), &cutRunners{})
	c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{cutWorker}})
	// As both registers decode an answer of the feed with the entry's last heartbeat and its removal.
	c.registerChanged(RegistryChange{Put: []dispatch.Worker{cutWorker}, Removed: []dispatch.WorkerID{"w"}})
	if _, listed := c.registered["w"]; listed {
		t.Error("a worker whose entry was removed counts as registered")
	}
}

// As TestWorkerInUseIsInTheLedger, and the worker is in use in the end: a record that failed does not bring back that it has
// gone.
func TestWorkerThatRegistersAgainIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &unsteadyStore{Memory: rowstore.NewMemory()}
		c, finish := newRecordControl(ctx, t, store)
		record := func() {
			time.Sleep(recordRetry)
			c.record()
			finish()
		}
		w := dispatch.Worker{ID: "w", Pool: "p"}
		c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{w}})
		record()
		c.workerEnded(c.links["w"], "lease over, not registered")
		store.refuses.Store(true)
		time.Sleep(recordRetry)
		c.record()
		c.registerChanged(RegistryChange{Put: []dispatch.Worker{w}})
		finish()
		store.refuses.Store(false)
		record()
		record()
		rows, _, _, err := store.Range(ctx, "laburnumpoint-progress", "", "worker/", "worker0")
		if err != nil {
			t.Fatal(err)
		}
		if c.links["w"] == nil || len(rows) != 1 {
			t.Errorf("in use %v, with %d rows in the ledger; want it in use with one", c.links["w"] != nil, len(rows))
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// More jobs change between two records than one holds, for long, as in a busy cell with a slow store: a new worker comes into
// use all the same, and workers may forget ends.
func TestNewWorkerIsRecordedWhileManyJobsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c, finish := newRecordControl(ctx, t, &unsteadyStore{Memory: rowstore.NewMemory()})
		for n := range 2 * maxRecords {
			addOneTask(c, graph.JobID(fmt.Sprint(n)))
		}
		c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{cutWorker}})
		for range 100 {
			for n := range 2 * maxRecords {
				c.engine.MarkDirty(graph.JobID(fmt.Sprint(n)))
			}
			time.Sleep(recordGap)
			c.record()
			finish()
		}
		if c.links["w"] == nil {
			t.Error("a new worker is not in use after 100 records")
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}
