package owner

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/monotime/monotimetest"
)

// fakeRunners answers looks with its report until it is told to be silent.
type fakeRunners struct {
	WorkerClient
	mu     sync.Mutex
	silent bool
	holds  []HoldCall
	start  time.Time
	report dispatch.Report
}

func (f *fakeRunners) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *fakeRunners) Hold(ctx context.Context, _ dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	f.mu.Lock()
	silent := f.silent
	f.holds = append(f.holds, call)
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	time.Sleep(max(call.Wait, time.Millisecond))
	return f.report, time.Since(f.start), nil
}

// forgetfulRunners leaves the first starts and stops unanswered, and answers later ones with the given outcome.
type forgetfulRunners struct {
	WorkerClient
	unanswered int
	then       dispatch.StartOutcome
	tries      int
}

func (f *forgetfulRunners) try(ctx context.Context) bool {
	if f.tries++; f.tries > f.unanswered {
		return true
	}
	<-ctx.Done()
	return false
}

func (f *forgetfulRunners) Start(ctx context.Context, _ dispatch.Worker, _ StartCall) (dispatch.StartOutcome, error) {
	if f.try(ctx) {
		return f.then, nil
	}
	return dispatch.StartInDoubt, ErrNoAnswer
}

func (f *forgetfulRunners) Stop(ctx context.Context, _ dispatch.Worker, _ dispatch.RunKey, _ uint64) error {
	if f.try(ctx) {
		return nil
	}
	return ErrNoAnswer
}

// Answers to orders get lost, as when a link drops some packets or a worker holds calls up: an order is sent again soon
// and not given up after the first. What an earlier try has done is known only from the answer that the run is there.
func TestOrderWithoutAnswerIsSentAgain(t *testing.T) {
	cases := map[string]struct {
		unanswered int
		then, want dispatch.StartOutcome
		within     time.Duration
	}{
		"answered":                    {0, dispatch.Started, dispatch.Started, 0},
		"refused":                     {0, dispatch.StartNoCapacity, dispatch.StartNoCapacity, 0},
		"second answered":             {1, dispatch.Started, dispatch.Started, 150 * time.Millisecond},
		"third answered":              {2, dispatch.Started, dispatch.Started, 300 * time.Millisecond},
		"refused after one in doubt":  {1, dispatch.StartNoCapacity, dispatch.StartInDoubt, 300 * time.Millisecond},
		"outdated after one in doubt": {1, dispatch.StartOutdated, dispatch.StartInDoubt, 300 * time.Millisecond},
		"never answered":              {1000, dispatch.Started, dispatch.StartInDoubt, startTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control := newTestControl(t.Context(), &forgetfulRunners{unanswered: c.unanswered, then: c.then})
				control.validUntil.Store(int64(control.now().Add(time.Hour)))
				l := &link{c: control}
				began := time.Now()
				outcome, _ := l.sendStart(StartCall{})
				if took := time.Since(began); outcome != c.want || took > c.within {
					t.Errorf("%s after %s, want %s within %s", outcome, took, c.want, c.within)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				l := &link{c: newTestControl(t.Context(), &forgetfulRunners{unanswered: c.unanswered})}
				began := time.Now()
				err := l.sendStop(dispatch.RunKey{})
				if took := time.Since(began); took > c.within || (err == nil) != (c.unanswered < 1000) {
					t.Errorf("stop: %v after %s, want it within %s", err, took, c.within)
				}
			})
		})
	}
}

func newTestControl(ctx context.Context, runners WorkerClient) *control {
	d := New(Options{
		Workers: runners, Clock: monotimetest.Clock{Start: time.Now()}, MaxLease: 10 * time.Second, Metrics: metrics.NewSet(),
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	c := newControl(ctx, d, &ledger.Ownership{}, d.Clock.Now())
	return c
}

// Guards against a task in two places: a worker that is silent and that the register drops may only be cut off, so what it
// runs is given up once its lease is over, and no sooner; it is not waited for any longer either.
func TestRunsOfSilentWorkerAreKeptUntilItsLeaseIsOver(t *testing.T) {
	cases := map[string]struct {
		// before is what the register said of the worker; a worker that it drops is no longer listed while it is silent.
		before dispatch.Worker
		drops  bool
		// known means that an earlier owner used the worker.
		known bool
	}{
		"registered":                               {dispatch.Worker{ID: "w"}, false, false},
		"not registered":                           {dispatch.Worker{ID: "w"}, true, false},
		"draining and not registered":              {dispatch.Worker{ID: "w", Draining: true}, true, false},
		"of an earlier owner":                      {dispatch.Worker{ID: "w"}, false, true},
		"of an earlier owner, not registered":      {dispatch.Worker{ID: "w"}, true, true},
		"of an earlier owner, drained, unlisted":   {dispatch.Worker{ID: "w", Draining: true}, true, true},
		"of an earlier owner, drained, and listed": {dispatch.Worker{ID: "w", Draining: true}, false, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				task := graph.TaskID{Job: "j"}
				runners := &fakeRunners{start: time.Now()}
				runners.report.Running = []dispatch.RunningEntry{{RunKey: dispatch.RunKey{Task: task, Number: 1}}}
				c := newTestControl(ctx, runners)
				c.validUntil.Store(int64(c.now().Add(time.Hour)))
				if test.known {
					runners.setSilent(true)
					c.engine.AwaitReport("w", "")
				}
				c.addLink(test.before, test.known)
				c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{test.before}})
				loop := func(until func() bool) {
					for !until() {
						select {
						case f := <-c.events:
							c.takeIn(f)
						case <-time.After(tick):
						}
						c.expireLinks()
					}
				}
				l := c.links["w"]
				if !test.known {
					loop(func() bool { return c.engine.HasRuns("w") && l.lease.left(c.now()) > leaseLength/2 })
				}
				runners.setSilent(true)
				if test.drops {
					c.registerChanged(RegistryChange{Removed: []dispatch.WorkerID{"w"}})
				}
				givenUp := func() bool { return !c.engine.HasRuns("w") && c.engine.ReportsComplete() }
				loop(func() bool { return givenUp() || l.lease.over(c.now()) })
				if left := l.lease.left(c.now()); left > 0 {
					t.Errorf("given up %s before its lease was over", left)
				}
				over := time.Now()
				loop(func() bool { return givenUp() || time.Since(over) > holdWait+holdTimeout+tick })
				if !givenUp() {
					t.Error("its lease is over, and tasks wait for it")
				}
				cancel()
				time.Sleep(holdWait + holdTimeout) // the look under way
				synctest.Wait()
			})
		})
	}
}

// A worker that is gone for good has its lease over in time, however often it is looked at in vain.
func TestLooksInVainExtendNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		runners := &fakeRunners{start: time.Now()}
		c := newTestControl(ctx, runners)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addLink(dispatch.Worker{ID: "w"}, false)
		l := c.links["w"]
		time.Sleep(3 * time.Second)
		if l.lease.over(c.now()) {
			t.Error("lease over while the worker answers")
		}
		runners.setSilent(true)
		time.Sleep(onSlowestClock(leaseLength) + leaseMargin + holdWait + holdTimeout)
		if !l.lease.over(c.now()) {
			t.Error("lease of a silent worker is never over")
		}
		cancel()
		synctest.Wait()
	})
}

// Some answers of a worker get lost: its looks then wait less, so that ends are heard of sooner, and wait as before once none
// has been lost for a while.
func TestLooksWaitLessWhileAnswersGetLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		runners := &fakeRunners{start: time.Now()}
		c := newTestControl(ctx, runners)
		c.addLink(dispatch.Worker{ID: "w"}, false)
		longest := func(over time.Duration) (wait time.Duration) {
			runners.mu.Lock()
			runners.holds = nil
			runners.mu.Unlock()
			time.Sleep(over)
			runners.mu.Lock()
			defer runners.mu.Unlock()
			for _, h := range runners.holds {
				wait = max(wait, h.Wait)
			}
			return wait
		}
		if wait := longest(3 * time.Second); wait != holdWait {
			t.Errorf("looks wait %s, want %s", wait, holdWait)
		}
		runners.setSilent(true)
		time.Sleep(holdWait + holdTimeout)
		runners.setSilent(false)
		time.Sleep(holdTimeout + holdRetry)
		if wait := longest(lossyTime / 2); wait != lossyWait {
			t.Errorf("after a lost answer looks wait %s, want %s", wait, lossyWait)
		}
		time.Sleep(lossyTime)
		if wait := longest(3 * time.Second); wait != holdWait {
			t.Errorf("looks wait %s long after, want %s", wait, holdWait)
		}
		cancel()
		time.Sleep(holdWait) // the look under way
		synctest.Wait()
	})
}

// Thousands of ends a second come one by one: decisions follow from several together, and from a single one at once.
func TestRoundsAreBoundedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestControl(ctx, &fakeRunners{start: time.Now()})
		c.recording = true // nothing is recorded here
		rounds := 0
		loop := func(until time.Duration) {
			for end := time.After(until); ; {
				select {
				case f := <-c.events:
					f()
				case <-end:
					return
				}
				c.gather()
				rounds++
				c.roundAt = c.now().Add(roundGap)
			}
		}
		began := c.now()
		handled := monotime.Instant(0)
		go c.post(func() { handled = c.now() })
		loop(10 * time.Millisecond)
		if rounds != 1 || handled != began {
			t.Fatalf("%d rounds, the event handled after %s; want it handled at once", rounds, handled.Sub(began))
		}
		rounds = 0
		go func() {
			for range 1000 {
				c.post(func() {})
				time.Sleep(100 * time.Microsecond)
			}
		}()
		loop(200 * time.Millisecond)
		if most := int(100*time.Millisecond/roundGap) + 1; rounds > most || rounds < most/2 {
			t.Errorf("%d rounds for 1000 events in 100 ms, want about %d", rounds, most)
		}
	})
}

// While events are gathered, a worker is asked for its report, gets a run, confirms it, and its report without the run
// comes last. The run is not lost: the report is older than what the worker has confirmed.
func TestReportAskedForBeforeARunIsConfirmedDoesNotLoseIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestControl(ctx, &fakeRunners{start: time.Now()})
		c.engine.SetNow(c.now())
		w := dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 1000}}
		c.engine.PutWorker(w)
		c.engine.SetReachable("w", true)
		spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}}
		c.engine.AddJob("j", graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, spec, c.now(), nil, false)
		orders := c.engine.Plan(0)
		if len(orders) != 1 {
			t.Fatalf("%d orders, want a start", len(orders))
		}
		start := orders[0].(dispatch.Start)
		c.roundAt = c.now().Add(10 * time.Millisecond)
		go func() {
			time.Sleep(time.Millisecond)
			asked := c.now()
			time.Sleep(time.Millisecond)
			c.post(func() { c.engine.HandleStartOutcome("w", start.RunKey, dispatch.Started) })
			c.post(func() { c.engine.HandleReport("w", asked, dispatch.Report{}) })
		}()
		c.gather()
		if !c.engine.HasRuns("w") {
			t.Error("the run was given up")
		}
	})
}
