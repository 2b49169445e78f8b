package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/rowstore"
)

// leaveCell has an owner that uses one worker, which leaves a second before the owner is lost.
func leaveCell(t *testing.T, c *controller, awaitCommit func()) {
	t.Helper()
	client := c.Workers.(*fakeClient)
	c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
	c.commitChanges()
	awaitCommit()
	awaitReports(c, client, 2)
	draining := testWorker
	draining.Draining = true
	c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{draining}})
	client.setUnresponsive(true)
	c.handleHoldFailure(c.workerConns[testWorker.ID], ErrNoAnswer)
	c.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{testWorker.ID}})
	for range 3 {
		time.Sleep(tickInterval)
		c.engine.SetNow(c.now())
		c.expireLeases()
		c.commitChanges()
		awaitCommit()
	}
}

// awaitReports handles events until the worker has answered n hold calls.
func awaitReports(c *controller, client *fakeClient, n int) {
	for {
		client.mu.Lock()
		holds := len(client.holds)
		client.mu.Unlock()
		if holds > n {
			return
		}
		c.handleEvent(<-c.events)
	}
}

func recordedWorkers(ctx context.Context, t *testing.T, store rowstore.Store) int {
	t.Helper()
	rows, _, _, err := store.Range(ctx, "laburnumpoint-progress", "", "worker/", "worker0")
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// Guards against a new owner that starts no earlier job for five seconds since it awaits the report of a worker that had left idle.
func TestWorkerThatLeftIdleIsNotAwaitedByTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &slowStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		time.Sleep(commitRetryDelay)
		leaveCell(t, c, awaitCommit)
		if n := recordedWorkers(ctx, t, store); n != 0 {
			t.Errorf("%d workers recorded, of which a new owner awaits the report, want none", n)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// A worker that left with runs may be cut off and run on until its lease expires.
func TestWorkerThatLeftWithRunsStaysRecordedUntilItsLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &slowStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		client := c.Workers.(*fakeClient)
		client.report = dispatch.Report{Running: []dispatch.RunningEntry{{RunKey: dispatch.RunKey{Number: 1}}}}
		time.Sleep(commitRetryDelay)
		leaveCell(t, c, awaitCommit)
		if n := recordedWorkers(ctx, t, store); n != 1 {
			t.Errorf("%d workers recorded while a run may go on, want 1", n)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against a worker that is recorded as draining and gets new runs nevertheless: a later owner does not await its report for them.
func TestDrainingWorkerIsRecordedBeforeItIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &slowStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		commit := func() {
			time.Sleep(commitDelay)
			c.commitChanges()
			awaitCommit()
		}
		mayStart := func() bool {
			c.engine.SetNow(c.now())
			for _, order := range c.engine.Plan(0) {
				if start, ok := order.(dispatch.Start); ok {
					c.engine.HandleStartOutcome(start.Worker, start.RunKey, dispatch.StartNotSent)
					return true
				}
			}
			return false
		}
		time.Sleep(commitRetryDelay)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		commit()
		awaitReports(c, c.Workers.(*fakeClient), 2)
		addOneTask(c, "j")
		if !mayStart() {
			t.Fatal("no start on the worker")
		}
		draining := testWorker
		draining.Draining = true
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{draining}})
		commit()
		if recorded := recordedWorker(t, c); !recorded.Draining {
			t.Error("not recorded as draining")
		}
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{testWorker}})
		if mayStart() {
			t.Error("a start while the ledger has the worker as draining")
		}
		commit()
		if recorded := recordedWorker(t, c); recorded.Draining || !mayStart() {
			t.Errorf("recorded as draining %v, want a worker in use", recorded.Draining)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// recordedWorker returns the only worker in the ledger.
func recordedWorker(t *testing.T, c *controller) ledger.RecordedWorker {
	t.Helper()
	workers := c.Replica.Workers()
	if len(workers) != 1 {
		t.Fatalf("%d workers recorded, want 1", len(workers))
	}
	return workers[0]
}
