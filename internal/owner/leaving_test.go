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

// letWorkerLeave lets the only worker drain and leave without a word. The owner learns of it from the registry.
func letWorkerLeave(c *controller, commit func()) {
	client := c.Workers.(*fakeClient)
	c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
	commit()
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
		commit()
	}
}

// testOwner calls test with an owner whose store is in memory, and a function that commits what is due.
func testOwner(t *testing.T, test func(t *testing.T, c *controller, commit func())) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c, awaitCommit := newCommitController(ctx, t, rowstore.NewMemoryStore())
		time.Sleep(commitRetryDelay)
		test(t, c, func() {
			time.Sleep(commitDelay)
			c.commitChanges()
			awaitCommit()
		})
		cancel()
		time.Sleep(3 * time.Second) // calls under way end
	})
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

// Guards against a new owner that starts no earlier job for five seconds since it awaits the report of a worker that had left idle.
func TestWorkerThatLeftIdleIsNotAwaitedByTheNextOwner(t *testing.T) {
	testOwner(t, func(t *testing.T, c *controller, commit func()) {
		letWorkerLeave(c, commit)
		if n := len(c.Replica.Workers()); n != 0 {
			t.Errorf("%d workers recorded, of which a new owner awaits the report, want none", n)
		}
	})
}

// A worker that left with runs may be cut off and run on until its lease expires.
func TestWorkerThatLeftWithRunsStaysRecordedUntilItsLeaseExpires(t *testing.T) {
	testOwner(t, func(t *testing.T, c *controller, commit func()) {
		c.Workers.(*fakeClient).report = dispatch.Report{Running: []dispatch.RunningEntry{{RunKey: dispatch.RunKey{Number: 1}}}}
		letWorkerLeave(c, commit)
		if n := len(c.Replica.Workers()); n != 1 {
			t.Errorf("%d workers recorded while a run may go on, want 1", n)
		}
	})
}

// Guards against a worker that is recorded as draining and gets new runs nevertheless: a later owner does not await its report for them.
func TestDrainingWorkerIsRecordedBeforeItIsUsedAgain(t *testing.T) {
	testOwner(t, func(t *testing.T, c *controller, commit func()) {
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
		if !recordedWorker(t, c).Draining {
			t.Error("not recorded as draining")
		}
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{testWorker}})
		if mayStart() {
			t.Error("a start while the ledger has the worker as draining")
		}
		commit()
		if recordedWorker(t, c).Draining || !mayStart() {
			t.Error("the worker does not drain any more and is not in use")
		}
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
