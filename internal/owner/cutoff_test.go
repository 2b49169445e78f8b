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

// cutRunners is one worker that runs what it is told to until its lease is over. Its answers can be cut off, or both ways.
type cutRunners struct {
	WorkerClient
	began time.Time

	mu       sync.Mutex
	cut      bool
	oneWay   bool
	failing  int
	deadline time.Duration
	running  []dispatch.RunningEntry
}

func (f *cutRunners) setCut(oneWay bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.oneWay = true, oneWay
}

func (f *cutRunners) mend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = false
}

// fail has the worker answer so many looks with an error.
func (f *cutRunners) fail(looks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = looks
}

// leaseLeft returns how much longer what runs there runs on.
func (f *cutRunners) leaseLeft() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadline - time.Since(f.began)
}

// arrives has an order take effect, if it arrives, and reports whether its answer does.
func (f *cutRunners) arrives(deadline time.Duration) (answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cut || f.oneWay {
		f.deadline = max(f.deadline, deadline)
	}
	return !f.cut
}

func (f *cutRunners) Start(ctx context.Context, _ dispatch.Worker, call StartCall) (dispatch.StartOutcome, error) {
	if !f.arrives(call.Deadline) {
		<-ctx.Done()
		return dispatch.StartInDoubt, ErrNoAnswer
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, dispatch.RunningEntry{RunKey: call.RunKey})
	return dispatch.Started, nil
}

func (f *cutRunners) Stop(ctx context.Context, _ dispatch.Worker, _ dispatch.RunKey, _ uint64) error {
	<-ctx.Done()
	return ErrNoAnswer
}

func (f *cutRunners) Hold(ctx context.Context, _ dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	if f.arrives(call.Deadline) {
		time.Sleep(max(call.Wait, time.Millisecond))
	}
	if !f.arrives(0) {
		<-ctx.Done()
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing > 0 {
		f.failing--
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	return dispatch.Report{Running: slices.Clone(f.running)}, time.Since(f.began), nil
}

// attend is the control loop for a while, without records; each is called after every event and tick.
func attend(c *control, d time.Duration, each func()) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for end := time.After(d); ; {
		select {
		case f := <-c.events:
			c.takeIn(f)
		case <-ticker.C:
			c.engine.SetNow(c.now())
			c.expireLinks()
		case <-end:
			return
		}
		for _, order := range c.engine.Plan(0) {
			c.execute(order)
		}
		each()
	}
}

var cutWorker = dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 1000}}

func addOneTask(c *control, id graph.JobID) {
	spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}}
	c.engine.AddJob(id, graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, spec, c.now(), nil, false)
}

// newCutControl returns an owner with a job, whose one task runs on the worker.
func newCutControl(ctx context.Context, t *testing.T, runners WorkerClient, w dispatch.Worker) *control {
	t.Helper()
	c := newTestControl(ctx, runners)
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	c.addLink(cutWorker, false)
	c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{cutWorker}})
	addOneTask(c, "j")
	attend(c, 3*time.Second, func() {})
	if !c.engine.HasRuns("w") {
		t.Fatal("the task does not run")
	}
	c.registerChanged(RegistryChange{Put: []dispatch.Worker{w}})
	return c
}

// A worker is cut off from the store and from the owner, in either order, and runs on under its lease: its entry expires, and
// its tasks are started nowhere else before the lease is over.
func TestCutOffWorkerKeepsItsRunsWhileItsLeaseLasts(t *testing.T) {
	cases := map[string]struct {
		// cut is when the owner hears the worker no more, expires when its entry goes: three heartbeats of 1.5 s after the last.
		cut, expires time.Duration
		oneWay       bool
	}{
		"answers of all":          {cut: 0, expires: 3 * time.Second, oneWay: true},
		"from the store at first": {cut: 3 * time.Second, expires: 0},
	}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				runners := &cutRunners{began: time.Now()}
				c := newCutControl(ctx, t, runners, cutWorker)
				time.AfterFunc(cut.cut, func() { runners.setCut(cut.oneWay) })
				time.AfterFunc(cut.expires, func() {
					c.post(func() { c.registerChanged(RegistryChange{Removed: []dispatch.WorkerID{"w"}}) })
				})
				// The owner has no answer for long, and may yet order another start.
				time.AfterFunc(cut.cut+time.Second, func() { c.post(func() { addOneTask(c, "later") }) })
				given := false
				attend(c, 12*time.Second, func() {
					if left := runners.leaseLeft(); !given && !c.engine.HasRuns("w") && left > 0 {
						given = true
						t.Errorf("the run is given up %s before its lease is over", left)
					}
				})
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A new owner has not read the register yet, and its first look at a worker that was recorded as draining fails: the worker is
// still awaited.
func TestWorkerIsNotGoneBeforeTheRegisterIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		runners := &cutRunners{began: time.Now()}
		runners.fail(1)
		c := newTestControl(ctx, runners)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		draining := cutWorker
		draining.Draining = true
		c.engine.AwaitReport("w", "p")
		c.addLink(draining, true)
		attend(c, 100*time.Millisecond, func() {})
		if c.engine.ReportsComplete() {
			t.Error("a worker that may still run an earlier owner's tasks is not awaited")
		}
		cancel()
		synctest.Wait()
	})
}

// An order is held up on its way to the worker until its run has been given up: it brings no lease of its own.
func TestOrderThatWasGivenUpHasNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		runners := &cutRunners{began: time.Now()}
		c := newTestControl(ctx, runners)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addLink(cutWorker, false)
		c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{cutWorker}})
		attend(c, 3*time.Second, func() {})
		addOneTask(c, "j")
		orders := c.engine.Plan(0)
		if len(orders) != 1 {
			t.Fatalf("%d orders, want a start", len(orders))
		}
		call := c.links["w"].startCall(orders[0].(dispatch.Start))
		runners.setCut(false)
		attend(c, 8*time.Second, func() {})
		if c.engine.HasRuns("w") {
			t.Fatal("the run is not given up")
		}
		runners.mend()
		c.links["w"].start(call)
		if left := runners.leaseLeft(); left > 0 {
			t.Errorf("after its run was given up the order is sent with a lease of %s", left)
		}
		cancel()
		time.Sleep(holdWait) // the look under way
		synctest.Wait()
	})
}

// A queue was sent to another pool since an earlier owner started the job: its workers there are awaited too.
func TestWorkersOfTheFormerPoolAreAwaited(t *testing.T) {
	c := newTestControl(t.Context(), &cutRunners{})
	c.Queue = func(string) (graph.Queue, bool) { return graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, true }
	c.engine.SetNow(c.now())
	c.engine.AwaitReport("former", "former")
	c.engine.PutWorker(cutWorker)
	c.engine.SetReachable("w", true)
	spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}}
	record := ledger.JobRecord{Queue: graph.Queue{Name: "q", Pool: "former", MaxAttempts: 1}, Spec: spec}
	c.addJob("j", ledger.Job{JobRecord: record}, true)
	if orders := c.engine.Plan(0); len(orders) != 0 {
		t.Errorf("%d orders while a worker that may run the task is awaited", len(orders))
	}
}
