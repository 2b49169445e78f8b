package owner

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

// In a store outage for all daemons, a daemon that the store answered just before the outage must not be chosen as successor.
func TestNoResignationWhenTheStoreIsDownForAll(t *testing.T) {
	q := newPermitQueue()
	at := func(d time.Duration) monotime.Instant { return monotime.Instant(time.Hour + d) }
	outage := at(0)
	renewed := outage.Add(-50 * time.Millisecond)
	// The store answered daemon b as the outage began; its hello comes 500 ms later.
	q.handleHello(&wire.Hello{Addr: "b", StoreAgeMs: 500, MilliCores: 400}, outage.Add(500*time.Millisecond))
	if h := q.strongestSuccessor(outage.Add(resignAfter), renewed.Add(renewInterval+storeAnswerMargin)); h != nil {
		t.Errorf("successor %s, want none", h.addr)
	}
	// Daemons that the store answers during the outage can be successors, and the strongest is preferred.
	q.handleHello(&wire.Hello{Addr: "c", StoreAgeMs: 10, MilliCores: 400}, outage.Add(600*time.Millisecond))
	q.handleHello(&wire.Hello{Addr: "d", StoreAgeMs: 10, MilliCores: 800}, outage.Add(600*time.Millisecond))
	if h := q.strongestSuccessor(outage.Add(resignAfter), renewed.Add(renewInterval+storeAnswerMargin)); h == nil || h.addr != "d" {
		t.Errorf("successor %+v, want d", h)
	}
}

// In a rolling restart the owner must hand over to a daemon that has been restarted already, not to one whose turn is next.
func TestRollingRestartMovesOwnershipOnce(t *testing.T) {
	const vms, gap = 8, 1300 * time.Millisecond
	start := monotime.Instant(time.Hour)
	started := make([]monotime.Instant, vms)
	owner, moves := 3, 0
	for turn := range vms {
		now := start.Add(time.Duration(turn) * gap)
		if turn == owner {
			q := newPermitQueue()
			for n := range vms {
				if n != owner {
					q.handleHello(&wire.Hello{Addr: string(rune('a' + n)), MilliCores: 400, UptimeMs: now.Sub(started[n]).Milliseconds()}, now)
				}
			}
			successor := q.lastStartedSuccessor(now, 0.4)
			if successor == nil {
				t.Fatal("no successor")
			}
			owner = int(successor.addr[0] - 'a')
			moves++
		}
		started[turn] = now
	}
	if moves != 1 {
		t.Errorf("ownership moved %d times, want once", moves)
	}
}

// A daemon on a weak VM or one that the store doesn't answer must not be the successor at a planned stop, however lately it
// started.
func TestSuccessorMustBeAbleToOwn(t *testing.T) {
	now := monotime.Instant(time.Hour)
	q := newPermitQueue()
	q.handleHello(&wire.Hello{Addr: "weak", MilliCores: 190, UptimeMs: 10}, now)
	q.handleHello(&wire.Hello{Addr: "cut-off", MilliCores: 800, UptimeMs: 10, StoreAgeMs: 2000}, now)
	if h := q.lastStartedSuccessor(now, 0.8); h != nil {
		t.Errorf("successor %s, want none", h.addr)
	}
	q.handleHello(&wire.Hello{Addr: "healthy", MilliCores: 800, UptimeMs: 100_000}, now)
	if h := q.lastStartedSuccessor(now, 0.8); h == nil || h.addr != "healthy" {
		t.Errorf("successor %+v, want the healthy one", h)
	}
}

// Guards against an owner that hands over while each of its renewals succeeds, but takes long, and its successor's take as long.
func TestOwnerKeepsTheCellWhileRenewalsAreSlow(t *testing.T) {
	for name, c := range map[string]struct {
		commitTime   time.Duration
		sinceRenewal time.Duration
		resigns      bool
	}{
		"slow store, renewal under way":  {600 * time.Millisecond, 1200 * time.Millisecond, false},
		"slow store, renewals fail":      {600 * time.Millisecond, 1400 * time.Millisecond, true},
		"usual store, renewals fail":     {5 * time.Millisecond, 750 * time.Millisecond, true},
		"usual store, renewal under way": {5 * time.Millisecond, 650 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				owner, _ := newCommitController(ctx, t, rowstore.NewMemoryStore())
				owner.StoreUp = func() bool { return false }
				owner.Peers = deafPeers{}
				owner.commitTime, owner.lastRenewalAt = c.commitTime, owner.now()
				time.Sleep(c.sinceRenewal)
				owner.permits.handleHello(&wire.Hello{Addr: "b", MilliCores: 1000}, owner.now())
				owner.resignIfNeeded()
				if owner.ownershipLost != c.resigns {
					t.Errorf("resigned %v, want %v", owner.ownershipLost, c.resigns)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against an owner that resigns in an outage of the store and takes the crashes of a task with it, so that its successor starts the
// task at once; a handover counts only for the owner that follows.
func TestSuccessorAdoptsUnrecordedCrashes(t *testing.T) {
	for name, epochsBehind := range map[string]uint64{"next owner": 0, "later owner": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := rowstore.NewMemoryStore()
				earlier, _ := newCommitController(ctx, t, store)
				if n := crashOnce(t, earlier); n != 1 {
					t.Fatalf("%d starts, want one", n)
				}
				body := earlier.resignation()
				body.Epoch -= epochsBehind * ledger.EpochStride

				d := newTestDaemon(store, &fakeClient{startedAt: time.Now()})
				d.HandleResign(ctx, body)
				ownership, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "b", Incarnation: "b"})
				if err != nil {
					t.Fatal(err)
				}
				successor := newController(ctx, d, ownership, d.Clock.Now(), d.Clock.Now())
				addOneTask(successor, "j")
				successor.adoptHandover()
				if got, want := crashOnce(t, successor), int(epochsBehind); got != want {
					t.Errorf("%d starts before the crash is recorded, want %d", got, want)
				}
			})
		})
	}
}

// crashOnce lets the worker crash that starts the task of job "j", if one does, and returns the number of starts.
func crashOnce(t *testing.T, c *controller) (starts int) {
	t.Helper()
	time.Sleep(time.Second)
	c.engine.SetNow(c.now())
	if _, known := c.engine.JobState("j"); !known {
		addOneTask(c, "j")
	}
	c.engine.PutWorker(dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 100}})
	c.engine.SetReachable("w", true)
	for _, order := range c.engine.Plan(0) {
		c.engine.HandleStartOutcome("w", order.(dispatch.Start).RunKey, dispatch.Started)
		starts++
	}
	c.engine.RemoveWorker("w", dispatch.WorkerCrashed)
	return starts
}

// deafPeers are daemons that don't answer.
type deafPeers struct{}

func (deafPeers) Call(context.Context, string, *wire.Request) (*wire.Reply, error) {
	return nil, errors.New("no answer")
}

// Guards against tasks that wait under the next owner for starts that were recorded and never sent.
func TestPlannedStopTakesUnsentStartsOutOfTheLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := rowstore.NewMemoryStore()
		c, awaitCommit := newCommitController(ctx, t, store)
		time.Sleep(time.Second)
		c.engine.SetNow(c.now())
		addOneTask(c, "j")
		c.engine.PutWorker(dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 100}, ProcessStart: time.Hour})
		c.engine.SetReachable("w", true)
		c.engine.Plan(0)
		recordsStart := func() bool {
			rows, _, _, err := store.Range(ctx, "laburnumpoint-progress", "", "progress/j", "progress/j0")
			if err != nil || len(rows) != 1 {
				t.Fatalf("%d rows of the job's progress (%v), want one", len(rows), err)
			}
			return strings.Contains(string(rows[0].Value), `"w":"w"`)
		}
		c.commitChanges()
		awaitCommit()
		if !recordsStart() {
			t.Fatal("the ledger doesn't have the start")
		}
		c.withdrawStarts()
		if recordsStart() {
			t.Error("the ledger still has a start that was not sent")
		}
	})
}
