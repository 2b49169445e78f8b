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

// unsteadyStore answers its first transaction late, after it was carried out, and refuses later ones if told so.
type unsteadyStore struct {
	*rowstore.Memory
	late    time.Duration
	writes  atomic.Int64
	refuses atomic.Bool
}

func (s *unsteadyStore) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	time.Sleep(time.Millisecond)
	if s.refuses.Load() {
		return 0, nil, rowstore.ErrUnavailable
	}
	version, rows, err := s.Memory.Apply(ctx, tx)
	if s.writes.Add(1) == 1 {
		time.Sleep(s.late)
		s.refuses.Store(s.late > 0)
	}
	return version, rows, err
}

// silentRegister lists nothing.
type silentRegister struct{}

func (silentRegister) Follow(ctx context.Context, _ func(RegistryChange)) { <-ctx.Done() }

func newStoreDaemon(store rowstore.Store, runners WorkerClient) *Daemon {
	clock := monotimetest.Clock{Start: time.Now()}
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	replica := ledger.NewReplica(store, clock, quiet, ledger.DaemonInfo{Incarnation: "a"})
	return New(Options{
		Node: "a", Incarnation: "a", Replica: replica, Workers: runners, Registry: silentRegister{}, Clock: clock, Log: quiet, Metrics: metrics.NewSet(),
		MaxLease: 10 * time.Second, Retention: time.Hour, Cores: 1,
		Queue:   func(string) (graph.Queue, bool) { return graph.Queue{}, false },
		StoreUp: func() bool { return true }, StoreAge: func() time.Duration { return 0 },
	})
}

// The answer that tells a daemon that it owns the cell is late, as after a pause of its VM: its orders end in time before
// others take over, which count from the transaction.
func TestOwnershipCountsFromItsTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &unsteadyStore{Memory: rowstore.NewMemory(), late: 600 * time.Millisecond}
		d := newStoreDaemon(store, &fakeRunners{start: time.Now()})
		go d.Replica.Run(ctx)
		go d.Run(ctx)
		for store.writes.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		written := d.Clock.Now()
		time.Sleep(takeoverAfter)
		if c := d.control.Load(); c != nil && c.valid() {
			t.Errorf("the owner gives orders %s after its last transaction, when others take over", d.Clock.Now().Sub(written))
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// A worker that was taken for gone registers again while the record of its going fails: as long as it is in use the ledger
// has it.
func TestWorkerInUseIsInTheLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &unsteadyStore{Memory: rowstore.NewMemory()}
		d := newStoreDaemon(store, &fakeRunners{start: time.Now()})
		tenure, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "a", Incarnation: "a"})
		if err != nil {
			t.Fatal(err)
		}
		c := newControl(ctx, d, tenure, d.Clock.Now())
		record := func() {
			time.Sleep(recordRetry)
			c.record()
			for c.recording {
				c.takeIn(<-c.events)
			}
		}
		w := dispatch.Worker{ID: "w", Pool: "p"}
		c.registerChanged(RegistryChange{Full: true, Put: []dispatch.Worker{w}})
		record()
		c.workerEnded(c.links["w"], "silent and not registered")
		store.refuses.Store(true)
		time.Sleep(recordRetry)
		c.record()
		c.registerChanged(RegistryChange{Put: []dispatch.Worker{w}})
		for c.recording {
			c.takeIn(<-c.events)
		}
		store.refuses.Store(false)
		record()
		record()
		rows, _, _, err := store.Range(ctx, "laburnumpoint-progress", "", "worker/", "worker0")
		if err != nil {
			t.Fatal(err)
		}
		if c.links["w"] != nil && len(rows) != 1 {
			t.Error("a worker is in use, and the ledger has no row of it")
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// Another daemon owns the cell, so that a record fails for good: the worker is not told that its ends are recorded.
func TestEndsOfALostRecordAreNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &unsteadyStore{Memory: rowstore.NewMemory()}
		d := newStoreDaemon(store, &fakeRunners{start: time.Now()})
		tenure, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "a", Incarnation: "a"})
		if err != nil {
			t.Fatal(err)
		}
		c := newControl(ctx, d, tenure, d.Clock.Now())
		c.engine.SetNow(c.now())
		c.addLink(cutWorker, false)
		l := c.links["w"]
		addOneTask(c, "j")
		if _, err := d.Replica.Acquire(ctx, d.Replica.Owner(), ledger.OwnerRecord{Node: "b", Incarnation: "b"}); err != nil {
			t.Fatal(err)
		}
		key := dispatch.RunKey{Task: graph.TaskID{Job: "j"}, Number: 1}
		c.engine.HandleReport("w", c.now(), dispatch.Report{Ended: []dispatch.EndedEntry{{Sequence: 1, RunKey: key, End: dispatch.RunDone}}})
		c.record()
		for c.recording {
			c.takeIn(<-c.events)
		}
		c.round()
		if l.covered() > 0 {
			t.Error("the worker may forget an end that the store does not have")
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}
