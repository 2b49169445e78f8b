package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/overload"
)

// overloadedBacklog returns a summary of a pool that is full with work ahead for four seconds, so that a job of testSpec would be
// complete after more than three times its objective of 1.2 s.
func overloadedBacklog() (*overload.Summary, bool) {
	return &overload.Summary{
		Pools: map[string]overload.Pool{testQueue.Pool: {
			Capacity: overload.Amounts{1000}, FreedPerSecond: overload.Amounts{1600},
			Classes: []overload.Class{{DueWithin: 1, Claims: overload.Amounts{6700}, Work: overload.Amounts{4000}, LowShare: 1, MissesAfter: 1e4, ExpiresAfter: 1e4}},
		}},
		HighRatios: map[string]float64{testQueue.Name: 1},
	}, true
}

func newOverloadedCell(t *testing.T, size int) *testCell {
	cell := newTestCell(t, size)
	for _, d := range cell.daemons {
		d.Backlog = overloadedBacklog
	}
	return cell
}

// A job that would be worthless is refused with a Retry-After, and nothing is stored or relayed, also not later.
func TestOverloadRefusesBeforeAnythingIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newOverloadedCell(t, 3)
		answer, took := cell.submit(1, relayedTestJob)
		if answer.Result != Overloaded || answer.RetryAfter < time.Second || took > 10*time.Millisecond {
			t.Errorf("result %s, Retry-After %s after %s; want overloaded at once with a Retry-After", answer.Result, answer.RetryAfter, took)
		}
		time.Sleep(5 * time.Second)
		if cell.isStored(relayedTestJob) || cell.relayed() > 0 {
			t.Errorf("stored %t, %d commands relayed; want neither", cell.isStored(relayedTestJob), cell.relayed())
		}
		if refused := cell.daemons["d1"].Metrics.GetOrCreateCounter(`laburnumpoint_refused_total{pool="p"}`).Get(); refused != 1 {
			t.Errorf("%d refusals counted, want 1", refused)
		}
		// The caller comes back when the overload is over.
		cell.daemons["d2"].Backlog = func() (*overload.Summary, bool) { return &overload.Summary{}, true }
		if answer, _ := cell.submit(2, relayedTestJob); answer.Result != OK {
			t.Errorf("result %s after the overload, want ok", answer.Result)
		}
	})
}

// A job that was accepted gets its 200 during an overload, wherever it is sent again: from a daemon that knows it, from one whose
// copy lags, and from one that has not heard of it because it has just started.
func TestResendOfAnAcceptedJobIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 4)
		if answer, _ := cell.submit(2, relayedTestJob); answer.Result != OK {
			t.Fatalf("result %s, want ok", answer.Result)
		}
		for _, d := range cell.daemons {
			d.Backlog = overloadedBacklog
		}
		if _, known := cell.daemons["d1"].Replica.Job(relayedTestJob); known {
			t.Fatal("the daemon knows the job already, want one whose copy lags")
		}
		for daemon := range 4 {
			if answer, _ := cell.submit(daemon, relayedTestJob); answer.Result != OK {
				t.Errorf("daemon %d: result %s, want ok", daemon, answer.Result)
			}
		}
		time.Sleep(3 * time.Second)
		if answer, _ := cell.submit(1, relayedTestJob); answer.Result != OK {
			t.Errorf("result %s once the daemon knows the job, want ok", answer.Result)
		}
	})
}

// Without a fresh summary, as after the loss of an owner, jobs are accepted as ever.
func TestNoRefusalWithoutASummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 2)
		cell.daemons["d1"].Backlog = func() (*overload.Summary, bool) { return nil, false }
		if answer, _ := cell.submit(1, relayedTestJob); answer.Result != OK {
			t.Errorf("result %s, want ok", answer.Result)
		}
	})
}

// A daemon that can't tell whether an earlier try of the job may yet be stored doesn't refuse it.
func TestNoRefusalWhileAnEarlierTryMayBeStored(t *testing.T) {
	for name, prepare := range map[string]func(*testCell, *testDaemon){
		"store silent":        func(c *testCell, _ *testDaemon) { c.setStores(silent, 1) },
		"store failed before": func(c *testCell, _ *testDaemon) { c.setStores(refusing, 1); c.setStores(answering, 1) },
		"store slow":          func(_ *testCell, d *testDaemon) { d.store.delay.Store(int64(240 * time.Millisecond)) },
		"store failed elsewhere": func(_ *testCell, d *testDaemon) {
			d.Backlog = func() (*overload.Summary, bool) {
				summary, ok := overloadedBacklog()
				summary.StoreTrouble = true
				return summary, ok
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newOverloadedCell(t, 3)
				prepare(cell, cell.daemons["d1"])
				if answer, took := cell.submit(1, relayedTestJob); answer.Result != OK || took > 600*time.Millisecond {
					t.Errorf("result %s after %s, want ok", answer.Result, took)
				}
			})
		})
	}
}

// Jobs that wait for their time of day or run until they are cancelled are never refused.
func TestScheduledAndLongRunningJobsAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newOverloadedCell(t, 2)
		scheduled, longRunning := testSpec(), testSpec()
		scheduled.Occurrences, scheduled.Interval = 3, time.Second
		longRunning.Steps[0].LongRunning = true
		var id atomic.Int64
		for name, spec := range map[string]*graph.Spec{"scheduled": scheduled, "long-running": longRunning} {
			path := "/q/00000000000000a" + string(rune('0'+id.Add(1)))
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			answer := cell.daemons["d1"].Submit(ctx, Request{Path: path}, func() (*graph.Spec, error) { return spec, nil })
			cancel()
			if answer.Result != OK {
				t.Errorf("%s: result %s, want ok", name, answer.Result)
			}
		}
	})
}
