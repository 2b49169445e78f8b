package owner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/rowstore"
)

// slowStore applies transactions at once and answers them after answerDelay.
type slowStore struct {
	*rowstore.MemoryStore
	answerDelay time.Duration
}

func (s *slowStore) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	version, rows, err := s.MemoryStore.Apply(ctx, tx)
	time.Sleep(s.answerDelay)
	return version, rows, err
}

// newCommitController returns an owner that commits to the store, and a function that waits until no commit is under way.
func newCommitController(ctx context.Context, t *testing.T, store rowstore.Store) (c *controller, awaitCommit func()) {
	t.Helper()
	d := newTestDaemon(store, &fakeClient{startedAt: time.Now()})
	ownership, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "a", Incarnation: "a"})
	if err != nil {
		t.Fatal(err)
	}
	c = newController(ctx, d, ownership, d.Clock.Now(), d.Clock.Now())
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	c.engine.SetNow(c.now())
	return c, func() {
		for c.committing {
			c.handleEvent(<-c.events)
		}
	}
}

// A new worker's registry entry changes while the commit of its row is under way, so that a second commit of the row follows.
// While that one is under way, the worker is removed as ended. It was only cut off, and is used again: the ledger must have its
// row.
func TestWorkerThatIsRecordedTwiceIsInTheLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &slowStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		client := c.Workers.(*fakeClient)
		store.answerDelay = 300 * time.Millisecond // a slow store
		w := dispatch.Worker{ID: "w", Pool: "p"}
		time.Sleep(commitRetryDelay)
		client.setUnresponsive(true)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{w}})
		c.commitChanges()
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{w}}) // a heartbeat
		awaitCommit()
		time.Sleep(commitDelay)
		if len(c.pendingWorkerRows) != 1 {
			t.Fatalf("%d rows of workers wait for a commit, want the worker's second", len(c.pendingWorkerRows))
		}
		c.commitChanges() // the second commit of the same row
		c.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{"w"}})
		c.handleHoldFailure(c.workerConns["w"], ErrNoAnswer) // its first hold call fails, as by an unhealthy worker
		c.expireLeases()
		if c.workerConns["w"] != nil {
			t.Fatal("the worker is not removed as ended")
		}
		client.setUnresponsive(false)
		awaitCommit()
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{w}}) // a heartbeat arrives again
		for range 3 {
			time.Sleep(commitDelay)
			c.commitChanges()
			awaitCommit()
		}
		rows, _, _, err := store.Range(ctx, "laburnumpoint-progress", "", "worker/", "worker0")
		if err != nil {
			t.Fatal(err)
		}
		if c.workerConns["w"] != nil && len(rows) != 1 {
			t.Errorf("a worker is in use, and the ledger has %d rows of it, want 1", len(rows))
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// A new worker begins to drain while the commit of its row is under way: it must get no new runs.
func TestWorkerThatDrainsWhileItIsRecordedGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &slowStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		store.answerDelay = 100 * time.Millisecond
		time.Sleep(commitRetryDelay)
		w := testWorker
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{w}})
		c.commitChanges()
		w.Draining = true
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{w}})
		awaitCommit()
		for range 3 {
			time.Sleep(commitDelay)
			c.commitChanges()
			awaitCommit()
		}
		addOneTask(c, "j")
		for range 20 {
			time.Sleep(tickInterval)
			c.engine.SetNow(c.now())
			c.handleQueuedEvents()
			if orders := c.engine.Plan(0); len(orders) > 0 {
				t.Errorf("a draining worker gets the orders %v", orders)
				break
			}
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// A new worker leaves while the commit of its row is under way: it must get no new runs.
func TestWorkerThatLeavesWhileItIsRecordedGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &slowStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		store.answerDelay = 100 * time.Millisecond
		time.Sleep(commitRetryDelay)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		c.commitChanges()
		c.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{"w"}})
		awaitCommit()
		addOneTask(c, "j")
		for range 20 {
			time.Sleep(tickInterval)
			c.engine.SetNow(c.now())
			c.handleQueuedEvents()
			if orders := c.engine.Plan(0); len(orders) > 0 {
				t.Errorf("a worker that is not registered gets the orders %v", orders)
				break
			}
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// A worker's registry entry is written and then removed, and both are reported in one change: the worker must not count as
// registered.
func TestEntryThatIsWrittenAndRemovedIsNotRecorded(t *testing.T) {
	c := newTestController(t.Context(), &disconnectableClient{})
	c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
	// Both registries decode a feed answer with the entry's last heartbeat and its removal in this way.
	c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{testWorker}, Removed: []dispatch.WorkerID{"w"}})
	if _, listed := c.registered["w"]; listed {
		t.Error("a worker whose entry was removed counts as registered")
	}
}

// As in TestWorkerInUseIsInTheLedger, a worker registers again while the commit that removes its row fails. The repeated commit
// must not remove the row again: in the end the worker is in use and has a row.
func TestWorkerThatRegistersAgainIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &failingStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		commit := func() {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		w := dispatch.Worker{ID: "w", Pool: "p"}
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{w}})
		commit()
		c.removeEndedWorker(c.workerConns["w"], dispatch.WorkerSilent, "lease expired, worker not registered")
		store.unavailable.Store(true)
		time.Sleep(commitRetryDelay)
		c.commitChanges()
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{w}})
		awaitCommit()
		store.unavailable.Store(false)
		commit()
		commit()
		rows, _, _, err := store.Range(ctx, "laburnumpoint-progress", "", "worker/", "worker0")
		if err != nil {
			t.Fatal(err)
		}
		if c.workerConns["w"] == nil || len(rows) != 1 {
			t.Errorf("in use %v, with %d rows in the ledger; want it in use with one", c.workerConns["w"] != nil, len(rows))
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// For a long time more jobs change between two commits than one commit holds, as in a busy cell with a slow store. Their progress
// must not take up all commits: a new worker must come into use nevertheless, and workers may forget ends.
func TestNewWorkerIsRecordedWhileManyJobsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c, awaitCommit := newCommitController(ctx, t, &failingStore{MemoryStore: rowstore.NewMemoryStore()})
		for n := range 2 * maxCommitRows {
			addOneTask(c, graph.JobID(fmt.Sprint(n)))
		}
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		for range 100 {
			for n := range 2 * maxCommitRows {
				c.engine.MarkDirty(graph.JobID(fmt.Sprint(n)))
			}
			time.Sleep(commitDelay)
			c.commitChanges()
			awaitCommit()
		}
		if c.workerConns["w"] == nil {
			t.Error("a new worker is not in use after 100 commits")
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against marks of cancelled jobs that no owner removes: their owners come and go, and the store is full of them.
func TestOwnerRemovesOldMarksOfCancelledJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const marks = 30
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := rowstore.NewMemoryStore()
		c, _ := newCommitController(ctx, t, store)
		c.reportsComplete = true
		following, stop := context.WithCancel(ctx)
		go c.Replica.Run(following)
		c.Replica.SetOwning(true)
		time.Sleep(time.Second)
		for i := range marks {
			if err := c.Replica.CancelUnknown(ctx, graph.JobID(fmt.Sprint("j", i)), ledger.NewCancelMark("q", "")); !errors.Is(err, ledger.ErrNoJob) {
				t.Fatal(err)
			}
		}
		tick := func() {
			c.engine.SetNow(c.now())
			c.removeCancelMarks()
			for c.removingMarks {
				c.handleEvent(<-c.events)
			}
			time.Sleep(tickInterval)
		}
		tick()
		if left := len(c.Replica.CancelMarks(c.now(), marks)); left != marks {
			t.Errorf("%d marks are left at once, want all", left)
		}
		time.Sleep(markRetention)
		for range marks {
			tick()
		}
		if left := c.Replica.CancelMarks(c.now(), marks); len(left) > 0 {
			t.Errorf("marks %v are left", left)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
