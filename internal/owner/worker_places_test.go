package owner

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/graph"
)

// poolClient calls workers that answer in a few milliseconds, over a limited number of connections to each. Calls beyond them fail
// nearly at once.
type poolClient struct {
	mu       sync.Mutex
	underWay map[dispatch.WorkerID]int
	running  map[dispatch.WorkerID]map[dispatch.RunKey]uint64
	ended    map[dispatch.WorkerID][]dispatch.EndedEntry
	failed   int
	// calls are the orders in the order in which they were sent.
	calls []poolCall
	began time.Time
}

type poolCall struct {
	key  dispatch.RunKey
	stop bool
}

const (
	poolConnections = 24
	poolAnswerTime  = 3 * time.Millisecond
	// poolFailureTime lets time pass between a call beyond the connections and the next.
	poolFailureTime = 100 * time.Microsecond
)

func newPoolClient() *poolClient {
	return &poolClient{
		underWay: make(map[dispatch.WorkerID]int), running: make(map[dispatch.WorkerID]map[dispatch.RunKey]uint64),
		ended: make(map[dispatch.WorkerID][]dispatch.EndedEntry), began: time.Now(),
	}
}

// call reports whether the call found a connection, and carries it out before the answer if it did.
func (p *poolClient) call(id dispatch.WorkerID, took time.Duration, carryOut func()) bool {
	p.mu.Lock()
	if p.underWay[id] >= poolConnections {
		p.failed++
		p.mu.Unlock()
		time.Sleep(poolFailureTime)
		return false
	}
	p.underWay[id]++
	carryOut()
	p.mu.Unlock()
	time.Sleep(took)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.underWay[id]--
	return true
}

func (p *poolClient) Start(_ context.Context, w dispatch.Worker, call StartCall) (dispatch.StartOutcome, error) {
	sent := p.call(w.ID, poolAnswerTime, func() {
		p.calls = append(p.calls, poolCall{key: call.RunKey})
		if p.running[w.ID] == nil {
			p.running[w.ID] = make(map[dispatch.RunKey]uint64)
		}
		p.running[w.ID][call.RunKey] = call.Token
	})
	if !sent {
		return dispatch.StartRefused, nil
	}
	return dispatch.Started, nil
}

func (p *poolClient) Stop(_ context.Context, w dispatch.Worker, key dispatch.RunKey, _ uint64) error {
	sent := p.call(w.ID, poolAnswerTime, func() {
		p.calls = append(p.calls, poolCall{key, true})
		if _, running := p.running[w.ID][key]; running {
			delete(p.running[w.ID], key)
			sequence := uint64(len(p.ended[w.ID]) + 1)
			p.ended[w.ID] = append(p.ended[w.ID], dispatch.EndedEntry{Sequence: sequence, RunKey: key, End: dispatch.RunInterrupted})
		}
	})
	if !sent {
		return ErrNoAnswer
	}
	return nil
}

func (p *poolClient) Hold(_ context.Context, w dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	report := dispatch.Report{ProcessStart: 1}
	sent := p.call(w.ID, call.Wait+poolAnswerTime, func() {
		for key := range p.running[w.ID] {
			report.Running = append(report.Running, dispatch.RunningEntry{RunKey: key})
		}
		report.Ended = append(report.Ended, p.ended[w.ID]...)
	})
	if !sent {
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	return report, time.Since(p.began) + time.Second, nil
}

// end ends a run by itself.
func (p *poolClient) end(id dispatch.WorkerID, key dispatch.RunKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running[id], key)
}

func (p *poolClient) runs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, runs := range p.running {
		n += len(runs)
	}
	return n
}

// newPoolController returns an owner of workers with room for a thousand tasks each.
func newPoolController(ctx context.Context, client WorkerClient, workers int) *controller {
	c := newTestController(ctx, client)
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	change := RegistryChange{Full: true}
	for i := range workers {
		w := dispatch.Worker{ID: dispatch.WorkerID(fmt.Sprintf("w%d", i)), Pool: "p", Capacity: graph.Resources{MilliCPU: 1000}}
		change.Put = append(change.Put, w)
		c.addWorkerConn(w, false)
	}
	c.handleRegistryChange(change)
	runLoop(c, 3*holdWait, func() {})
	return c
}

// executeOrders carries out the engine's decisions.
func executeOrders(c *controller) []dispatch.Order {
	orders := planRecorded(c)
	for _, order := range orders {
		c.execute(order)
	}
	return orders
}

func addWideJob(c *controller, id graph.JobID, tasks int, gang bool) {
	spec := &graph.Spec{Steps: []graph.Step{{Count: tasks, Gang: gang, Claim: graph.Resources{MilliCPU: 1}}}}
	c.engine.AddJob(dispatch.JobInput{ID: id, Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Spec: spec, ArrivedAt: c.now()})
}

// Guards against tasks of a cancelled job that run on: stops beyond the connections to a worker failed at once, counted as unanswered and
// cost other jobs' tasks their lease. The load is a job of 2,000 tasks on four workers.
func TestStopsOfAWideJobWaitForTheirWorkers(t *testing.T) {
	const (
		tasks = 2000
		// maxTime is the time in which a cancelled job has to be gone, without the grace of a task.
		maxTime = 3 * time.Second
	)
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := newPoolClient()
		c := newPoolController(ctx, client, 4)
		addWideJob(c, "other", 4, false)
		addWideJob(c, "j", tasks, false)
		runLoop(c, 5*time.Second, func() {})
		if n := client.runs(); n != tasks+4 {
			t.Fatalf("%d tasks run, want %d", n, tasks+4)
		}
		cancelledAt := c.now()
		c.engine.Cancel("j")
		var goneAfter time.Duration
		runLoop(c, 2*maxTime, func() {
			c.holdBackLeases()
			for id, wc := range c.workerConns {
				if wc.leaseHeldBack.Load() {
					t.Errorf("after %s the lease of worker %s is held back", c.now().Sub(cancelledAt), id)
				}
			}
			if goneAfter == 0 && client.runs() == 4 {
				goneAfter = c.now().Sub(cancelledAt)
			}
		})
		if goneAfter == 0 || goneAfter > maxTime {
			t.Errorf("the job is gone after %s with %d tasks left, want at most %s", goneAfter, client.runs()-4, maxTime)
		}
		if retries := c.instruments.orderRetries.Get(); client.failed > 0 || retries > 0 {
			t.Errorf("%d calls beyond the connections and %d repeats, want none", client.failed, retries)
		}
	})
}

// Guards against gangs that never start: starts beyond the connections to a worker failed at once and ended the whole gang. The load is a
// gang of 60 members on one worker.
func TestStartsOfAWideGangWaitForTheirWorker(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := newPoolClient()
		c := newPoolController(ctx, client, 1)
		addWideJob(c, "gang", 60, true)
		runLoop(c, 2*time.Second, func() {})
		if stats := c.engine.Stats(); client.runs() != 60 || stats.Starts != 60 || client.failed > 0 {
			t.Errorf("%d members run after %d starts and %d failed calls, want 60 after 60", client.runs(), stats.Starts, client.failed)
		}
	})
}

// Guards against starts that hold up stops: the stops of a cancelled job pass the starts that wait for the same worker, and starts of the
// job that have not been sent are withdrawn.
func TestStopsPassWaitingStarts(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := newPoolClient()
		c := newPoolController(ctx, client, 1)
		addWideJob(c, "cancelled", 100, false)
		executeOrders(c)
		addWideJob(c, "other", 300, false)
		executeOrders(c)
		runLoop(c, 5*poolAnswerTime/2, func() {})
		c.engine.Cancel("cancelled")
		executeOrders(c)
		runLoop(c, 2*time.Second, func() {})
		var stops, startsAfter, othersBefore int
		for _, call := range client.calls {
			switch {
			case call.stop:
				stops++
			case call.key.Task.Job == "cancelled" && stops > 0:
				startsAfter++
			case call.key.Task.Job == "other" && stops == 0:
				othersBefore++
			}
		}
		if startsAfter > 0 || othersBefore > poolConnections || stops == 0 || stops == 100 || client.runs() != 300 {
			t.Errorf("%d stops, %d starts of the cancelled job after the first of them, %d other starts before, %d tasks at the end; want some of 100, 0, few and 300",
				stops, startsAfter, othersBefore, client.runs())
		}
	})
}

// Guards against stops that are sent for nothing: the run of one that waits for its worker ends by itself.
func TestStopOfAnEndedRunIsNotSent(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := newPoolClient()
		c := newPoolController(ctx, client, 1)
		addWideJob(c, "j", 100, false)
		runLoop(c, time.Second, func() {})
		c.engine.Cancel("j")
		orders := executeOrders(c)
		last := orders[len(orders)-1].(dispatch.Stop)
		client.end("w0", last.RunKey)
		wc := c.workerConns["w0"]
		c.handleReport(wc, c.now(), dispatch.Report{ProcessStart: 1, Ended: []dispatch.EndedEntry{{Sequence: 1, RunKey: last.RunKey, End: dispatch.RunDone}}})
		runLoop(c, time.Second, func() {})
		for _, call := range client.calls {
			if call.stop && call.key == last.RunKey {
				t.Error("a stop was sent for a run that had ended")
			}
		}
		if n := len(wc.queuedStops); n != 0 {
			t.Errorf("%d stops are left, want none", n)
		}
	})
}

// Guards against runs that outlive their job: a stop that got its places just before its turn was taken for one that still waits, so that it
// never counted as overdue.
func TestStopThatGetsItsPlacesEarlyCountsAsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestController(t.Context(), &lossyClient{unanswered: math.MaxInt})
		conn := newTestConn(c, "w")
		var before []*queuedOrder
		for range c.Orders.MaxPerServer {
			before = append(before, conn.queue(flowcontrol.Normal))
		}
		stop := conn.queue(flowcontrol.Stop)
		if !stop.call.Waits() {
			t.Fatal("the stop has places beyond those of its worker")
		}
		if !before[0].await(0) {
			t.Fatal("the first order has no places")
		}
		conn.leavePlaces()
		if stop.call.Waits() {
			t.Fatal("the stop has no places although one is free")
		}
		go func() { _ = conn.sendStop(dispatch.RunKey{}, stop) }()
		synctest.Wait()
		if n := len(c.events); n != 1 {
			t.Errorf("%d events for the engine, want one that says that the stop was sent", n)
		}
		time.Sleep(time.Minute) // lets the order end
	})
}

// Guards against tasks of a long-running job that don't run while there is capacity: an owner that fell behind sent only starts of urgent
// jobs, and gave up all others after each second of waiting.
func TestLongRunningTaskStartsBesideMoreUrgentStartsThanAreSent(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		const (
			overload = 10 * time.Second
			maxWait  = 3 * time.Second
			interval = 50 * time.Millisecond
		)
		client := newPoolClient()
		c := newPoolController(ctx, client, 8)
		orders := flowcontrol.DefaultOptions()
		orders.MinUnderWay, orders.MaxUnderWay = 1, 1 // about 330 starts a second
		c.gate = flowcontrol.NewGate(orders)
		var serviceAdded, serviceStarted, nextJob time.Duration
		began := c.now()
		urgent, seen := 0, 0
		runLoop(c, overload, func() {
			now := c.now().Sub(began)
			for ; nextJob <= now; nextJob += interval {
				addWideJob(c, graph.JobID(fmt.Sprint("urgent-", nextJob)), 30, false)
				urgent += 30
			}
			if serviceAdded == 0 && now > overload/2 {
				serviceAdded = now
				spec := &graph.Spec{Steps: []graph.Step{{Count: 1, LongRunning: true, Claim: graph.Resources{MilliCPU: 1}}}}
				queue := graph.Queue{Name: "long", Pool: "p", Priority: 1, MaxAttempts: 1}
				c.engine.AddJob(dispatch.JobInput{ID: "service", Queue: queue, Spec: spec, ArrivedAt: c.now()})
			}
			for ; seen < len(client.calls); seen++ {
				if serviceStarted == 0 && client.calls[seen].key.Task.Job == "service" {
					serviceStarted = now
				}
			}
		})
		if serviceStarted == 0 || serviceStarted-serviceAdded > maxWait {
			t.Errorf("a long-running task added at %s is first started at %s, want within %s", serviceAdded, serviceStarted, maxWait)
		}
		if sent := client.runs(); sent < urgent/3 || sent > urgent*3/4 {
			t.Errorf("%d of %d urgent tasks are started, want a third to three quarters", sent, urgent)
		}
	})
}
