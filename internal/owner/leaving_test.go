package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
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
