package owner

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime/monotimetest"
	"laburnumpoint/internal/rowstore"
)

// failingStore applies its first transaction and answers it after firstAnswerDelay; reads fail meanwhile. It fails transactions while
// it is unavailable, as it is after a delayed first answer.
type failingStore struct {
	*rowstore.MemoryStore
	firstAnswerDelay time.Duration
	writes           atomic.Int64
	unavailable      atomic.Bool
	answering        atomic.Bool
	// refused counts the transactions that came while it was unavailable.
	refused atomic.Int64
}

func (s *failingStore) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	if s.answering.Load() {
		return nil, "", 0, rowstore.ErrUnavailable
	}
	return s.MemoryStore.Range(ctx, table, part, from, to)
}

func (s *failingStore) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	time.Sleep(time.Millisecond)
	if s.unavailable.Load() {
		s.refused.Add(1)
		return 0, nil, rowstore.ErrUnavailable
	}
	version, rows, err := s.MemoryStore.Apply(ctx, tx)
	if s.writes.Add(1) == 1 {
		s.answering.Store(true)
		time.Sleep(s.firstAnswerDelay)
		s.answering.Store(false)
		s.unavailable.Store(s.firstAnswerDelay > 0)
	}
	return version, rows, err
}

// emptyRegistry lists no workers.
type emptyRegistry struct{}

func (emptyRegistry) Follow(ctx context.Context, _ func(RegistryChange)) { <-ctx.Done() }

func newTestDaemon(store rowstore.Store, client WorkerClient) *Daemon {
	clock := monotimetest.Clock{Start: time.Now()}
	discard := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	replica := ledger.NewReplica(store, clock, discard, ledger.DaemonInfo{Incarnation: "a"})
	return New(Options{
		Node: "a", Incarnation: "a", Replica: replica, Workers: client, Registry: emptyRegistry{}, Clock: clock, Log: discard, Metrics: metrics.NewSet(),
		MaxLease: 10 * time.Second, Retention: time.Hour, Cores: 1,
		Queue:   func(string) (graph.Queue, bool) { return graph.Queue{}, false },
		StoreUp: func() bool { return true }, StoreAge: func() time.Duration { return 0 },
	})
}

// The answer that makes a daemon the owner comes late, as after a pause of its VM. Other daemons count the time to a takeover from
// the transaction: the owner must stop giving orders before that time has passed.
func TestOwnershipCountsFromItsTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &failingStore{MemoryStore: rowstore.NewMemoryStore(), firstAnswerDelay: 600 * time.Millisecond}
		d := newTestDaemon(store, &fakeClient{startedAt: time.Now()})
		go d.Replica.Run(ctx)
		go d.Run(ctx)
		for store.writes.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		committedAt := d.Clock.Now()
		time.Sleep(takeoverAfter)
		if c := d.controller.Load(); c != nil && c.ownershipValid() {
			t.Errorf("the owner still gives orders %s after its last transaction, when others take over", d.Clock.Now().Sub(committedAt))
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// A worker that was removed as ended registers again while the commit that removes its row fails. As long as the worker is in use,
// the ledger must have its row.
func TestWorkerInUseIsInTheLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &failingStore{MemoryStore: rowstore.NewMemoryStore()}
		d := newTestDaemon(store, &fakeClient{startedAt: time.Now()})
		ownership, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "a", Incarnation: "a"})
		if err != nil {
			t.Fatal(err)
		}
		c := newController(ctx, d, ownership, d.Clock.Now(), d.Clock.Now())
		commit := func() {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			for c.committing {
				c.handleEvent(<-c.events)
			}
		}
		w := dispatch.Worker{ID: "w", Pool: "p"}
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{w}})
		commit()
		c.removeEndedWorker(c.workerConns["w"], dispatch.WorkerSilent, "lease expired, worker not registered")
		store.unavailable.Store(true)
		time.Sleep(commitRetryDelay)
		c.commitChanges()
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{w}})
		for c.committing {
			c.handleEvent(<-c.events)
		}
		store.unavailable.Store(false)
		commit()
		commit()
		rows, _, _, err := store.Range(ctx, "laburnumpoint-progress", "", "worker/", "worker0")
		if err != nil {
			t.Fatal(err)
		}
		if c.workerConns["w"] != nil && len(rows) != 1 {
			t.Errorf("a worker is in use, and the ledger has %d rows of it, want 1", len(rows))
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// A commit fails because another daemon owns the cell: the worker must get no confirmation of its ends.
func TestEndsOfAFailedCommitAreNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &failingStore{MemoryStore: rowstore.NewMemoryStore()}
		d := newTestDaemon(store, &fakeClient{startedAt: time.Now()})
		ownership, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "a", Incarnation: "a"})
		if err != nil {
			t.Fatal(err)
		}
		c := newController(ctx, d, ownership, d.Clock.Now(), d.Clock.Now())
		c.engine.SetNow(c.now())
		c.addWorkerConn(testWorker, false)
		conn := c.workerConns["w"]
		addOneTask(c, "j")
		if _, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "b", Incarnation: "b"}); err != nil {
			t.Fatal(err)
		}
		key := dispatch.RunKey{Task: graph.TaskID{Job: "j"}, Number: 1}
		c.engine.HandleReport("w", c.now(), dispatch.Report{Ended: []dispatch.EndedEntry{{Sequence: 1, RunKey: key, End: dispatch.RunDone}}})
		c.commitChanges()
		for c.committing {
			c.handleEvent(<-c.events)
		}
		c.runRound()
		if conn.recorded() > 0 {
			t.Errorf("the worker may forget ends up to %d, which the store does not have", conn.recorded())
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}
