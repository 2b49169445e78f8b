package owner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
)

// disconnectableClient is the client of one worker that runs what it is ordered to until its lease ends. Either only the worker's
// answers can be cut off or requests as well.
type disconnectableClient struct {
	WorkerClient
	startedAt time.Time

	mu             sync.Mutex
	disconnected   bool
	requestsArrive bool
	failingHolds   int
	leaseEnd       time.Duration
	running        []dispatch.RunningEntry
}

// disconnect cuts off the worker's answers, and requests to it unless requestsArrive is set.
func (f *disconnectableClient) disconnect(requestsArrive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected, f.requestsArrive = true, requestsArrive
}

func (f *disconnectableClient) reconnect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected = false
}

// failHolds makes the next n hold calls fail.
func (f *disconnectableClient) failHolds(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failingHolds = n
}

// leaseRemaining returns the time to the end of the worker's lease, up to which its tasks run.
func (f *disconnectableClient) leaseRemaining() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseEnd - time.Since(f.startedAt)
}

// deliver extends the lease to deadline if requests arrive, and reports whether answers arrive.
func (f *disconnectableClient) deliver(deadline time.Duration) (answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.disconnected || f.requestsArrive {
		f.leaseEnd = max(f.leaseEnd, deadline)
	}
	return !f.disconnected
}

func (f *disconnectableClient) Start(ctx context.Context, _ dispatch.Worker, call StartCall) (dispatch.StartOutcome, error) {
	if !f.deliver(call.Deadline) {
		<-ctx.Done()
		return dispatch.StartInDoubt, ErrNoAnswer
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, dispatch.RunningEntry{RunKey: call.RunKey})
	return dispatch.Started, nil
}

func (f *disconnectableClient) Stop(ctx context.Context, _ dispatch.Worker, _ dispatch.RunKey, _ uint64) error {
	<-ctx.Done()
	return ErrNoAnswer
}

func (f *disconnectableClient) Hold(ctx context.Context, _ dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	if f.deliver(call.Deadline) {
		time.Sleep(max(call.Wait, time.Millisecond))
	}
	if !f.deliver(0) {
		<-ctx.Done()
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingHolds > 0 {
		f.failingHolds--
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	return dispatch.Report{Running: slices.Clone(f.running)}, time.Since(f.startedAt), nil
}

// runLoop runs the control loop for a time, without commits; check is called after each event and tick.
func runLoop(c *controller, d time.Duration, check func()) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for end := time.After(d); ; {
		select {
		case f := <-c.events:
			c.handleEvent(f)
		case <-ticker.C:
			c.engine.SetNow(c.now())
			c.expireLeases()
			c.recordStarts()
			record(c, c.engine.TakeOutdated(maxCommitRows)) // with a renewal of the ownership
		case <-end:
			return
		}
		executeOrders(c)
		check()
	}
}

// progressRecorder keeps what a ledger has of jobs.
type progressRecorder interface {
	recordProgress(id graph.JobID, progress dispatch.Progress)
}

// record makes the progress of jobs durable.
func record(c *controller, taken map[graph.JobID]dispatch.Progress) {
	for id, progress := range taken {
		if recorder, ok := c.Workers.(progressRecorder); ok {
			recorder.recordProgress(id, progress)
		}
		c.engine.ConfirmRecorded(id)
	}
}

// planRecorded returns the orders of a plan, with those that wait for a record once that is durable.
func planRecorded(c *controller) []dispatch.Order {
	orders := c.engine.Plan(0)
	if c.engine.UnsentStarts() == 0 {
		return orders
	}
	record(c, c.engine.TakeDirty(maxCommitRows))
	return append(orders, c.engine.Plan(0)...)
}

var testWorker = dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 1000}}

func addOneTask(c *controller, id graph.JobID) {
	spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}}
	c.engine.AddJob(dispatch.JobInput{ID: id, Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Spec: spec, ArrivedAt: c.now()})
}

// newControllerWithRun returns an owner with a job whose only task runs on the worker.
func newControllerWithRun(ctx context.Context, t *testing.T, client WorkerClient, w dispatch.Worker) *controller {
	t.Helper()
	c := newTestController(ctx, client)
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	c.addWorkerConn(testWorker, false)
	c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
	addOneTask(c, "j")
	runLoop(c, 3*time.Second, func() {})
	if !c.engine.HasRuns("w") {
		t.Fatal("the task does not run")
	}
	c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{w}})
	return c
}

// A worker is cut off from the store and from the owner, in either order, and runs on under its lease. Although its registry entry
// expires, its tasks must not be given up before the lease has expired.
func TestCutOffWorkerKeepsItsRunsWhileItsLeaseLasts(t *testing.T) {
	cases := map[string]struct {
		// disconnectAfter is when the owner gets no more answers from the worker. entryExpiresAfter is when the worker's
		// registry entry expires: three heartbeat intervals of 1.5 s after its last heartbeat.
		disconnectAfter, entryExpiresAfter time.Duration
		requestsArrive                     bool
	}{
		"answers to owner and store lost": {disconnectAfter: 0, entryExpiresAfter: 3 * time.Second, requestsArrive: true},
		"cut off from the store first":    {disconnectAfter: 3 * time.Second, entryExpiresAfter: 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				client := &disconnectableClient{startedAt: time.Now()}
				c := newControllerWithRun(ctx, t, client, testWorker)
				time.AfterFunc(test.disconnectAfter, func() { client.disconnect(test.requestsArrive) })
				time.AfterFunc(test.entryExpiresAfter, func() {
					c.post(func() { c.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{"w"}}) })
				})
				// For some time after the disconnection the owner may still order another start.
				time.AfterFunc(test.disconnectAfter+time.Second, func() { c.post(func() { addOneTask(c, "later") }) })
				givenUp := false
				runLoop(c, 12*time.Second, func() {
					if left := client.leaseRemaining(); !givenUp && !c.engine.HasRuns("w") && left > 0 {
						givenUp = true
						t.Errorf("the run is given up %s before its lease expires", left)
					}
				})
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a task that starts again after it was done: a worker that had fallen silent was removed from the ledger as it had no runs, while
// the end that it had reported was not recorded yet. An owner that took over then awaited no report of it.
func TestWorkerStaysInTheLedgerUntilItsEndsAreRecorded(t *testing.T) {
	for name, recorded := range map[string]bool{"not recorded": false, "recorded": true} {
		t.Run(name, func(t *testing.T) {
			runHoldTest(t, func(ctx context.Context, t *testing.T) {
				c, worker := newRebornFixture(ctx)
				runLoop(c, 3*time.Second, func() {})
				commitWorkerRow(c)
				addOneTask(c, "j")
				runLoop(c, 2*holdWait, func() {})
				worker.endRun(worker.starts[0].RunKey)
				runLoop(c, 2*holdWait, func() {})
				if c.engine.HasRuns(testWorker.ID) || c.engine.Stats().Done != 1 {
					t.Fatal("the end of the run has not been heard")
				}
				if recorded {
					c.setRecorded(c.engine.LastEndSequences())
				}
				worker.setDown(true)
				c.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{testWorker.ID}})
				lease := &c.workerConns[testWorker.ID].lease
				runLoop(c, 2*holdWait, func() {})
				if removed := c.workerConns[testWorker.ID] == nil; removed != recorded || lease.expired(c.now()) {
					t.Errorf("worker removed %t before its lease is over, want %t", removed, recorded)
				}
				runLoop(c, longestWait(c.MaxLease), func() {})
				if c.workerConns[testWorker.ID] != nil {
					t.Error("the worker is not removed once its lease is over")
				}
			})
		})
	}
}

// Guards against the same of a worker that answers and lists itself elsewhere: its row was put anew, with an address that others may have written.
func TestWorkerKeepsItsAddressUntilItsEndsAreRecorded(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c, worker := newRebornFixture(ctx)
		runLoop(c, 3*time.Second, func() {})
		commitWorkerRow(c)
		addOneTask(c, "j")
		runLoop(c, 2*holdWait, func() {})
		worker.endRun(worker.starts[0].RunKey)
		runLoop(c, 2*holdWait, func() {})
		moved := worker.entry()
		moved.Address = otherAddress
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{moved}})
		runLoop(c, elsewhereDelay+2*holdWait, func() {})
		if row, committed := commitWorkerRow(c); committed && row.Address != testWorker.Address {
			t.Errorf("the row %+v is put while an end that the worker has reported is not recorded", row)
		}
		c.setRecorded(c.engine.LastEndSequences())
		runLoop(c, 2*tickInterval, func() {})
		if row, committed := commitWorkerRow(c); !committed || row.Address != otherAddress {
			t.Errorf("the row is %+v (put: %t) once the end is recorded, want the new address", row, committed)
		}
	})
}

// A new owner has not read the registry yet, and its first hold call to a worker that was recorded as draining fails: the worker's
// report must still be awaited.
func TestWorkerIsAwaitedUntilTheRegistryIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client := &disconnectableClient{startedAt: time.Now()}
		client.failHolds(1)
		c := newTestController(ctx, client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		draining := testWorker
		draining.Draining = true
		c.engine.AwaitReport("w", "p")
		c.addWorkerConn(draining, true)
		runLoop(c, 100*time.Millisecond, func() {})
		if c.engine.ReportsComplete() {
			t.Error("the report of a worker that may still run an earlier owner's tasks is not awaited")
		}
		cancel()
		synctest.Wait()
	})
}

// A start order is delayed until its run has been given up: it must not extend the worker's lease from then on.
func TestOrderThatWasGivenUpHasNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client := &disconnectableClient{startedAt: time.Now()}
		c := newTestController(ctx, client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addWorkerConn(testWorker, false)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		runLoop(c, 3*time.Second, func() {})
		addOneTask(c, "j")
		orders := c.engine.Plan(0)
		if len(orders) != 1 {
			t.Fatalf("%d orders, want a start", len(orders))
		}
		order := orders[0].(dispatch.Start)
		call := c.workerConns["w"].newStartCall(order)
		client.disconnect(false)
		runLoop(c, 8*time.Second, func() {})
		if c.engine.HasRuns("w") {
			t.Fatal("the run is not given up")
		}
		client.reconnect()
		c.workerConns["w"].start(call, c.workerConns["w"].queue(startClass(order)))
		if left := client.leaseRemaining(); left > 0 {
			t.Errorf("the order of a run that was given up extends the lease by %s", left)
		}
		cancel()
		time.Sleep(holdWait) // lets the hold call under way end
		synctest.Wait()
	})
}

// A queue has been moved to another pool since an earlier owner started the job: the reports of the former pool's workers must be
// awaited too.
func TestWorkersOfTheFormerPoolAreAwaited(t *testing.T) {
	c := newTestController(t.Context(), &disconnectableClient{})
	c.Queue = func(string) (graph.Queue, bool) { return graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, true }
	c.engine.SetNow(c.now())
	c.engine.AwaitReport("former", "former")
	c.engine.PutWorker(testWorker)
	c.engine.SetReachable("w", true)
	spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}}
	record := ledger.JobRecord{Queue: graph.Queue{Name: "q", Pool: "former", MaxAttempts: 1}, Spec: spec}
	c.addJob("j", ledger.Job{JobRecord: record}, true)
	if orders := c.engine.Plan(0); len(orders) != 0 {
		t.Errorf("%d orders while the report of a worker that may run the task is awaited, want none", len(orders))
	}
}
