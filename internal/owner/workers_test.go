package owner

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/monotime/monotimetest"
)

// fakeClient answers hold calls with its report, unless it is unresponsive; if refusing is set, its calls then fail at once.
type fakeClient struct {
	WorkerClient
	mu           sync.Mutex
	unresponsive bool
	refusing     bool
	holds        []HoldCall
	startedAt    time.Time
	report       dispatch.Report
}

func (f *fakeClient) setUnresponsive(unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive = unresponsive
}

func (f *fakeClient) Hold(ctx context.Context, _ dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	f.mu.Lock()
	unresponsive, refusing := f.unresponsive, f.refusing
	f.holds = append(f.holds, call)
	f.mu.Unlock()
	if unresponsive && refusing {
		return dispatch.Report{}, 0, errRefused
	}
	if unresponsive {
		<-ctx.Done()
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	time.Sleep(max(call.Wait, time.Millisecond))
	return f.report, time.Since(f.startedAt), nil
}

// errRefused is the error of a call to an address that refuses connections.
var errRefused = fmt.Errorf("%w: %w", ErrNoAnswer, syscall.ECONNREFUSED)

// lossyClient leaves the first starts and stops without an answer, and answers later ones with the given outcome.
type lossyClient struct {
	WorkerClient
	unanswered int
	outcome    dispatch.StartOutcome
	attempts   atomic.Int64
}

func (f *lossyClient) attempt(ctx context.Context) bool {
	if int(f.attempts.Add(1)) > f.unanswered {
		return true
	}
	<-ctx.Done()
	return false
}

func (f *lossyClient) Start(ctx context.Context, _ dispatch.Worker, _ StartCall) (dispatch.StartOutcome, error) {
	if f.attempt(ctx) {
		return f.outcome, nil
	}
	return dispatch.StartInDoubt, ErrNoAnswer
}

func (f *lossyClient) Stop(ctx context.Context, _ dispatch.Worker, _ dispatch.RunKey, _ uint64) error {
	if f.attempt(ctx) {
		return nil
	}
	return ErrNoAnswer
}

// Answers to orders get lost, as when a link drops packets or a worker delays calls: an order must be sent again soon and not be
// given up after the first attempt. After an attempt without an answer, only the answer that the run has started is conclusive.
func TestOrderWithoutAnswerIsSentAgain(t *testing.T) {
	cases := map[string]struct {
		unanswered    int
		outcome, want dispatch.StartOutcome
		within        time.Duration
	}{
		"answered":                    {0, dispatch.Started, dispatch.Started, 0},
		"refused":                     {0, dispatch.StartNoCapacity, dispatch.StartNoCapacity, 0},
		"second attempt answered":     {1, dispatch.Started, dispatch.Started, 150 * time.Millisecond},
		"third attempt answered":      {2, dispatch.Started, dispatch.Started, 300 * time.Millisecond},
		"refused after one in doubt":  {1, dispatch.StartNoCapacity, dispatch.StartInDoubt, 300 * time.Millisecond},
		"outdated after one in doubt": {1, dispatch.StartOutdated, dispatch.StartInDoubt, 300 * time.Millisecond},
		"never answered":              {1000, dispatch.Started, dispatch.StartInDoubt, flowcontrol.DefaultMinTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controller := newTestController(t.Context(), &lossyClient{unanswered: c.unanswered, outcome: c.outcome})
				controller.validUntil.Store(int64(controller.now().Add(time.Hour)))
				conn := newTestConn(controller, "")
				sentAt := time.Now()
				outcome := conn.sendStart(StartCall{}, conn.queue(flowcontrol.Normal)).outcome
				if took := time.Since(sentAt); outcome != c.want || took > c.within {
					t.Errorf("start: %s after %s, want %s within %s", outcome, took, c.want, c.within)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				conn := newTestConn(newTestController(t.Context(), &lossyClient{unanswered: c.unanswered}), "")
				sentAt := time.Now()
				err := conn.sendStop(dispatch.RunKey{}, conn.queue(flowcontrol.Stop))
				if took := time.Since(sentAt); took > c.within || (err == nil) != (c.unanswered < 1000) {
					t.Errorf("stop: error %v after %s, want an end within %s", err, took, c.within)
				}
			})
		})
	}
}

// newTestConn returns a connection to a worker that the control loop doesn't know.
func newTestConn(c *controller, id dispatch.WorkerID) *workerConn {
	return c.newWorkerConn(dispatch.Worker{ID: id}, flowcontrol.NewServer())
}

func newTestController(ctx context.Context, client WorkerClient) *controller {
	d := New(Options{
		Workers: client, Clock: monotimetest.Clock{Start: time.Now()}, MaxLease: 10 * time.Second, Metrics: metrics.NewSet(),
		Orders: flowcontrol.DefaultOptions(),
		Log:    &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	c := newController(ctx, d, &ledger.Ownership{}, d.Clock.Now(), d.Clock.Now())
	return c
}

// An unresponsive worker that the registry drops may only be cut off, also if its address refuses connections. To keep a task from
// running twice, its runs must not be given up before its lease has expired; once it has, they must not be kept any longer either.
func TestRunsOfUnresponsiveWorkerAreKeptUntilItsLeaseExpires(t *testing.T) {
	cases := map[string]struct {
		// entry is the worker's entry in the registry; dropped means that the registry drops it while the worker is
		// unresponsive.
		entry   dispatch.Worker
		dropped bool
		// usedBefore means that an earlier owner used the worker.
		usedBefore bool
		// refusing means that calls fail at once while the worker is unresponsive.
		refusing bool
	}{
		"registered":                                    {dispatch.Worker{ID: "w"}, false, false, false},
		"registered, refusing":                          {dispatch.Worker{ID: "w"}, false, false, true},
		"not registered":                                {dispatch.Worker{ID: "w"}, true, false, false},
		"not registered, refusing":                      {dispatch.Worker{ID: "w"}, true, false, true},
		"draining and not registered":                   {dispatch.Worker{ID: "w", Draining: true}, true, false, false},
		"draining and not registered, refusing":         {dispatch.Worker{ID: "w", Draining: true}, true, false, true},
		"of an earlier owner":                           {dispatch.Worker{ID: "w"}, false, true, false},
		"of an earlier owner, refusing":                 {dispatch.Worker{ID: "w"}, false, true, true},
		"of an earlier owner, not registered":           {dispatch.Worker{ID: "w"}, true, true, false},
		"of an earlier owner, not registered, refusing": {dispatch.Worker{ID: "w"}, true, true, true},
		"of an earlier owner, drained, unlisted":        {dispatch.Worker{ID: "w", Draining: true}, true, true, false},
		"of an earlier owner, drained, and listed":      {dispatch.Worker{ID: "w", Draining: true}, false, true, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				task := graph.TaskID{Job: "j"}
				client := &fakeClient{startedAt: time.Now(), refusing: test.refusing}
				client.report.Running = []dispatch.RunningEntry{{RunKey: dispatch.RunKey{Task: task, Number: 1}}}
				c := newTestController(ctx, client)
				c.validUntil.Store(int64(c.now().Add(time.Hour)))
				if test.usedBefore {
					client.setUnresponsive(true)
					c.engine.AwaitReport("w", "")
				}
				c.addWorkerConn(test.entry, test.usedBefore)
				c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{test.entry}})
				loop := func(until func() bool) {
					for !until() {
						select {
						case f := <-c.events:
							c.handleEvent(f)
						case <-time.After(tickInterval):
						}
						c.expireLeases()
					}
				}
				conn := c.workerConns["w"]
				if !test.usedBefore {
					loop(func() bool { return c.engine.HasRuns("w") && conn.lease.remaining(c.now()) > leaseDuration/2 })
				}
				client.setUnresponsive(true)
				if test.dropped {
					c.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{"w"}})
				}
				givenUp := func() bool { return !c.engine.HasRuns("w") && c.engine.ReportsComplete() }
				loop(func() bool { return givenUp() || conn.lease.expired(c.now()) })
				if left := conn.lease.remaining(c.now()); left > 0 {
					t.Errorf("runs given up %s before the lease has expired", left)
				}
				expiredAt := time.Now()
				loop(func() bool { return givenUp() || time.Since(expiredAt) > holdWait+holdTimeout+tickInterval })
				if !givenUp() {
					t.Error("the lease has expired, but the worker's runs are not given up")
				}
				cancel()
				time.Sleep(holdWait + holdTimeout) // lets the hold call under way end
				synctest.Wait()
			})
		})
	}
}

// The lease of a worker that has ended must expire in time, however many hold calls it doesn't answer.
func TestFailedHoldCallsExtendNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client := &fakeClient{startedAt: time.Now()}
		c := newTestController(ctx, client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addWorkerConn(dispatch.Worker{ID: "w"}, false)
		conn := c.workerConns["w"]
		time.Sleep(3 * time.Second)
		if conn.lease.expired(c.now()) {
			t.Error("the lease has expired although the worker answers")
		}
		client.setUnresponsive(true)
		time.Sleep(monotime.OnSlowestClock(leaseDuration) + leaseMargin + holdWait + holdTimeout)
		if !conn.lease.expired(c.now()) {
			t.Errorf("the lease of an unresponsive worker lasts for another %s", conn.lease.remaining(c.now()))
		}
		cancel()
		synctest.Wait()
	})
}

// Some answers of a worker get lost: hold calls must then wait less, so that the owner learns of ends sooner, and wait as before
// once no answer has been lost for a while.
func TestHoldCallsWaitLessWhileAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client := &fakeClient{startedAt: time.Now()}
		c := newTestController(ctx, client)
		c.addWorkerConn(dispatch.Worker{ID: "w"}, false)
		// longestWait returns the longest wait of the hold calls within a time.
		longestWait := func(d time.Duration) (wait time.Duration) {
			client.mu.Lock()
			client.holds = nil
			client.mu.Unlock()
			time.Sleep(d)
			client.mu.Lock()
			defer client.mu.Unlock()
			for _, h := range client.holds {
				wait = max(wait, h.Wait)
			}
			return wait
		}
		if wait := longestWait(3 * time.Second); wait != holdWait {
			t.Errorf("hold calls wait %s, want %s", wait, holdWait)
		}
		client.setUnresponsive(true)
		time.Sleep(holdWait + holdTimeout)
		client.setUnresponsive(false)
		time.Sleep(holdTimeout + holdRetryDelay)
		if wait := longestWait(lossPeriod / 2); wait != holdWaitAfterLoss {
			t.Errorf("hold calls wait %s after a lost answer, want %s", wait, holdWaitAfterLoss)
		}
		time.Sleep(lossPeriod)
		if wait := longestWait(3 * time.Second); wait != holdWait {
			t.Errorf("hold calls wait %s long after a lost answer, want %s", wait, holdWait)
		}
		cancel()
		time.Sleep(holdWait) // lets the hold call under way end
		synctest.Wait()
	})
}

// Thousands of ends of runs a second come one by one: a round must follow several of them, but a single event at once.
func TestRoundsAreBoundedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestController(ctx, &fakeClient{startedAt: time.Now()})
		c.committing = true // keeps the controller from committing
		rounds := 0
		loop := func(until time.Duration) {
			for end := time.After(until); ; {
				select {
				case f := <-c.events:
					f()
				case <-end:
					return
				}
				c.handleEventsUntilRound()
				rounds++
				c.nextRoundAt = c.now().Add(roundDelay)
			}
		}
		postedAt := c.now()
		handledAt := monotime.Instant(0)
		go c.post(func() { handledAt = c.now() })
		loop(10 * time.Millisecond)
		if rounds != 1 || handledAt != postedAt {
			t.Fatalf("%d rounds, the event handled after %s; want one round and the event handled at once", rounds, handledAt.Sub(postedAt))
		}
		rounds = 0
		go func() {
			for range 1000 {
				c.post(func() {})
				time.Sleep(100 * time.Microsecond)
			}
		}()
		loop(200 * time.Millisecond)
		if most := int(100*time.Millisecond/roundDelay) + 1; rounds > most || rounds < most/2 {
			t.Errorf("%d rounds for 1000 events in 100 ms, want about %d", rounds, most)
		}
	})
}

// Between two rounds a report is requested from a worker, the worker confirms the start of a run, and then its report without the
// run arrives. The run must not count as lost: the report is older than the confirmation.
func TestReportAskedForBeforeARunIsConfirmedDoesNotLoseIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestController(ctx, &fakeClient{startedAt: time.Now()})
		c.engine.SetNow(c.now())
		w := dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 1000}}
		c.engine.PutWorker(w)
		c.engine.SetReachable("w", true)
		spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}}
		c.engine.AddJob(dispatch.JobInput{ID: "j", Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Spec: spec, ArrivedAt: c.now()})
		orders := c.engine.Plan(0)
		if len(orders) != 1 {
			t.Fatalf("%d orders, want a start", len(orders))
		}
		start := orders[0].(dispatch.Start)
		c.nextRoundAt = c.now().Add(10 * time.Millisecond)
		go func() {
			time.Sleep(time.Millisecond)
			requestedAt := c.now()
			time.Sleep(time.Millisecond)
			c.post(func() { c.engine.HandleStartOutcome("w", start.RunKey, dispatch.Started) })
			c.post(func() { c.engine.HandleReport("w", requestedAt, dispatch.Report{}) })
		}()
		c.handleEventsUntilRound()
		if !c.engine.HasRuns("w") {
			t.Error("a confirmed run was given up because of an older report")
		}
	})
}

// A run whose job was cancelled goes on while its worker doesn't answer stops but gets its lease extended by hold calls. The lease
// must then not be extended, nor a start be sent that would extend it, until the worker has answered a stop.
func TestLeaseOfWorkerWithOverdueStopIsNotExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client := &fakeClient{startedAt: time.Now()}
		c := newTestController(ctx, client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addWorkerConn(dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 1000, MemoryMB: 1000}}, false)
		wc := c.workerConns["w"]
		c.engine.SetReachable("w", true)
		c.engine.AddJob(dispatch.JobInput{ID: "j", Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Spec: &graph.Spec{Steps: []graph.Step{{Count: 1}}}, ArrivedAt: c.now()})
		start := c.engine.Plan(0)[0].(dispatch.Start)
		c.engine.HandleStartOutcome("w", start.RunKey, dispatch.Started)
		c.engine.Cancel("j")
		extended := func() bool {
			time.Sleep(3 * holdWait) // so that a new call is under way
			client.mu.Lock()
			defer client.mu.Unlock()
			return client.holds[len(client.holds)-1].Deadline > 0
		}
		if !extended() {
			t.Fatal("the lease is not extended before the stop is overdue")
		}
		c.engine.SetNow(c.now().Add(10 * time.Second))
		c.holdBackLeases()
		if extended() || wc.newStartCall(start).Deadline != 0 {
			t.Error("the lease is extended while a stop is overdue")
		}
		c.engine.HandleStopAnswer("w", start.RunKey, true)
		c.holdBackLeases()
		if !extended() || wc.newStartCall(start).Deadline == 0 {
			t.Error("the lease is not extended after the stop was answered")
		}
		cancel()
		time.Sleep(time.Minute) // lets the hold loop end
	})
}

func TestEarlierOrdersUntil(t *testing.T) {
	now := monotime.Instant(time.Minute)
	cases := map[string]struct{ unchangedFor, ago time.Duration }{
		"renewed just now":    {0, 0},
		"still valid":         {ownershipValidity, 0},
		"silent":              {takeoverAfter, takeoverAfter - ownershipValidity},
		"outage of the store": {6 * time.Second, 6*time.Second - ownershipValidity},
	}
	for name, c := range cases {
		if got := earlierOrdersUntil(now, c.unchangedFor); got != now.Add(-c.ago) {
			t.Errorf("%s: %s ago, want %s", name, now.Sub(got), c.ago)
		}
	}
}

// After an outage of the store the earlier owner's last orders, and with them the leases of its workers, lie far back. The jobs that
// wait for the report of a worker that has ended must not wait for a whole lease from the takeover.
func TestLeasesOfEarlierOwnersCountFromItsLastOrders(t *testing.T) {
	for _, ago := range []time.Duration{0, 3 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			client := &fakeClient{startedAt: time.Now(), unresponsive: true}
			c := newTestController(ctx, client)
			time.Sleep(time.Minute)
			takenAt := c.now()
			c.takeoverStartedAt, c.earlierOrdersUntil = takenAt, takenAt.Add(-ago)
			c.engine.AwaitReport("w", "p")
			c.addWorkerConn(dispatch.Worker{ID: "w", Pool: "p"}, true)
			for !c.engine.ReportsComplete() {
				select {
				case f := <-c.events:
					c.handleEvent(f)
				case <-time.After(tickInterval):
				}
				c.expireLeases()
			}
			leaseEnd := monotime.OnSlowestClock(leaseDuration) + earlierOrderMargin + leaseMargin - ago
			waited := c.now().Sub(takenAt)
			if most := max(leaseEnd, holdTimeout) + 2*tickInterval; waited < leaseEnd || waited > most {
				t.Errorf("last orders %s before the takeover: the report was waited for for %s, want %s to %s", ago, waited, leaseEnd, most)
			}
			cancel()
			time.Sleep(time.Minute) // lets the hold loop end
		})
	}
}

// Guards against a new owner filling a worker by the capacity that an earlier owner recorded, or starting tasks on one that drains by
// now: the record is as old as the worker's first use.
func TestRecordedWorkerTakesNoRunsUntilTheRegistryListsIt(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		recorded := testWorker
		recorded.Capacity = graph.Resources{MilliCPU: 2000, MemoryMB: 100}
		listed := recorded
		listed.Capacity.MilliCPU = 1000
		client := &restartingClient{processStart: time.Second, listening: true}
		c := newTestController(ctx, client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addWorkerConn(recorded, true)
		spec := &graph.Spec{Steps: []graph.Step{{Count: 2, Claim: graph.Resources{MilliCPU: 1000}, Estimate: time.Second}}}
		c.engine.AddJob(dispatch.JobInput{ID: "j", Queue: graph.Queue{Name: "q", Pool: testWorker.Pool, MaxAttempts: 2}, Spec: spec, ArrivedAt: c.now()})
		runLoop(c, 3*time.Second, func() { c.engine.Plan(0) })
		if n := c.engine.Stats().Starts; n != 0 {
			t.Fatalf("%d starts before the registry lists the worker, want none", n)
		}
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{listed}})
		planRecorded(c)
		if n := c.engine.Stats().Starts; n != 1 {
			t.Errorf("%d starts on a worker with room for one task", n)
		}
	})
}
