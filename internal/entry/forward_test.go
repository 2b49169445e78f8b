package entry

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime/monotimetest"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

// storeMode is how the store answers one daemon.
type storeMode int32

const (
	// answering means that the store answers after the daemon's delay.
	answering storeMode = iota
	// silent means that the store answers no call and applies no write.
	silent
	// refusing means that the store refuses each call at once.
	refusing
	// resetting means that the store ends each call at once without an answer.
	resetting
	// losingAnswers means that the store applies writes but answers no call.
	losingAnswers
	// losingWrites means that the store answers reads but no write, which it doesn't apply either.
	losingWrites
	// holdingWrites means that the store answers reads but no write, which it applies when performHeld is called.
	holdingWrites
)

// testStore is the view of one daemon on a shared store.
type testStore struct {
	*rowstore.MemoryStore
	mode  atomic.Int32
	delay atomic.Int64
	// parts serialises the writes of a part over all daemons, each of which takes the delay.
	parts *partQueues
	mu    sync.Mutex
	// held are the writes that performHeld applies.
	held []rowstore.Tx
}

// performHeld applies the writes that were held, as far as their conditions hold, and returns how many of these did.
func (s *testStore) performHeld() (applied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.held {
		if _, _, err := s.MemoryStore.Apply(context.Background(), tx); err == nil {
			applied++
		}
	}
	s.held = nil
	return applied
}

func (s *testStore) set(mode storeMode) { s.mode.Store(int32(mode)) }

// await returns after the delay of a call, or with an error if there is no answer.
func (s *testStore) await(ctx context.Context, write bool) error {
	mode := storeMode(s.mode.Load())
	switch {
	case mode == refusing:
		return rowstore.ErrUnavailable
	case mode == resetting:
		return rowstore.ErrUncertain
	case mode == silent || mode == losingAnswers || ((mode == losingWrites || mode == holdingWrites) && write):
		<-ctx.Done()
		return fmt.Errorf("%w: %w", rowstore.ErrUncertain, ctx.Err())
	}
	select {
	case <-time.After(time.Duration(s.delay.Load())):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", rowstore.ErrUncertain, ctx.Err())
	}
}

// answer returns nil, or the error of a call that is not answered because an outage has begun meanwhile.
func (s *testStore) answer(ctx context.Context) error {
	if storeMode(s.mode.Load()) == silent {
		<-ctx.Done()
		return rowstore.ErrUnavailable
	}
	return nil
}

func (s *testStore) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	switch storeMode(s.mode.Load()) {
	case losingAnswers:
		_, _, _ = s.MemoryStore.Apply(ctx, tx)
	case holdingWrites:
		s.mu.Lock()
		s.held = append(s.held, tx)
		s.mu.Unlock()
	}
	if s.parts != nil && storeMode(s.mode.Load()) == answering {
		return s.parts.apply(ctx, s, tx)
	}
	if err := s.await(ctx, true); err != nil {
		return 0, nil, err
	}
	return s.MemoryStore.Apply(ctx, tx)
}

func (s *testStore) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	if s.await(ctx, false) != nil {
		return nil, "", 0, rowstore.ErrUnavailable
	}
	return s.MemoryStore.Range(ctx, table, part, from, to)
}

func (s *testStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	if s.await(ctx, false) != nil {
		return nil, 0, rowstore.ErrUnavailable
	}
	changes, version, err := s.MemoryStore.Feed(ctx, table, after, wait)
	if storeMode(s.mode.Load()) == resetting {
		return nil, 0, rowstore.ErrUnavailable
	}
	if unanswered := s.answer(ctx); unanswered != nil {
		return nil, 0, unanswered
	}
	return changes, version, err
}

// partQueues applies the writes of each part of a slow store one after the other, also those that no caller waits for any more.
type partQueues struct {
	mu   sync.Mutex
	free map[string]time.Time
	// writes counts the writes.
	writes int64
}

func (q *partQueues) apply(ctx context.Context, s *testStore, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	part := ""
	for _, row := range tx.Put {
		part = row.Table + "/" + row.Part
	}
	q.mu.Lock()
	done := time.Now()
	if q.free[part].After(done) {
		done = q.free[part]
	}
	done = done.Add(time.Duration(s.delay.Load()))
	q.free[part] = done
	q.writes++
	q.mu.Unlock()
	type outcome struct {
		version uint64
		rows    []rowstore.Row
		err     error
	}
	result := make(chan outcome, 1)
	time.AfterFunc(time.Until(done), func() {
		version, rows, err := s.MemoryStore.Apply(context.Background(), tx)
		result <- outcome{version, rows, err}
	})
	select {
	case o := <-result:
		return o.version, o.rows, o.err
	case <-ctx.Done():
		return 0, nil, fmt.Errorf("%w: %w", rowstore.ErrUncertain, ctx.Err())
	}
}

// testDaemon is one daemon of a testCell.
type testDaemon struct {
	*Service
	store *testStore
	// lost means that calls to the daemon are not sent, frozen that they are not answered, losesReplies that they are carried
	// out but not answered.
	lost, frozen, losesReplies atomic.Bool
	// full means that the daemon has no room for relayed commands.
	full atomic.Bool
	// received counts the commands relayed to the daemon, without notices.
	received atomic.Int64
}

// testCell is a cell of daemons that share a store. The first one is the owner.
type testCell struct {
	t       *testing.T
	daemons map[string]*testDaemon
	shared  *rowstore.MemoryStore
}

func addressOf(n int) string { return fmt.Sprintf("d%d", n) }

func newTestCell(t *testing.T, size int) *testCell {
	c := &testCell{t: t, daemons: map[string]*testDaemon{}, shared: rowstore.NewMemoryStore()}
	clock := monotimetest.Clock{Start: time.Now()}
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(5 * time.Second)
	})
	var addresses []string
	for n := range size {
		addresses = append(addresses, addressOf(n))
	}
	for _, addr := range addresses {
		d := &testDaemon{store: &testStore{MemoryStore: c.shared}}
		set := metrics.NewSet()
		monitored := rowstore.NewMonitoredStore(d.store, clock, set)
		replica := ledger.NewReplica(monitored, clock, quiet, ledger.DaemonInfo{Incarnation: addr, Cores: 1})
		d.Service = NewService(Options{
			Replica: replica, Clock: clock, Log: quiet, Peers: &testSender{c}, Incarnation: addr, Metrics: set,
			SinceStoreFailure: monitored.SinceLastFailure, StoreDown: monitored.Down, StoreUp: monitored.Up, StoreAge: monitored.SinceLastAnswer,
			OtherDaemons: func() []string {
				return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == addr || a == addresses[0] })
			},
		})
		d.SetConfig(&Config{Version: 1, Routes: []Route{{Prefix: "/q/", Queue: testQueue}}})
		replica.SetDaemonCount(size)
		c.daemons[addr] = d
		go replica.Run(ctx)
	}
	for _, d := range c.daemons {
		d.Replica.ObserveOwner(ledger.OwnerRecord{Node: addresses[0], Incarnation: addresses[0], Address: addresses[0], Epoch: 1}, 1)
	}
	time.Sleep(2 * time.Second)
	return c
}

// testSender delivers relayed commands to the daemons of a cell.
type testSender struct{ cell *testCell }

func (s *testSender) Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error) {
	d := s.cell.daemons[addr]
	if d == nil || d.lost.Load() {
		return nil, fmt.Errorf("%w: connection refused", peer.ErrNotSent)
	}
	if d.frozen.Load() {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", peer.ErrInDoubt, ctx.Err())
	}
	if !req.GetIntake().Stored {
		d.received.Add(1)
	}
	if d.full.Load() {
		return &wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Reason{Code: string(cell.ReasonQueueFull)}}}, nil
	}
	reply := d.HandleIntake(ctx, req.GetIntake())
	if d.losesReplies.Load() {
		return nil, fmt.Errorf("%w: session lost", peer.ErrInDoubt)
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", peer.ErrInDoubt, ctx.Err())
	}
	return reply, nil
}

var testQueue = graph.Queue{Name: "q", Pool: "p", Stretch: 1.5, Target: 300 * time.Millisecond}

func testSpec() *graph.Spec {
	return &graph.Spec{Steps: []graph.Step{{Count: 10, Claim: graph.Resources{MilliCPU: 1000}, Estimate: 600 * time.Millisecond}}}
}

const relayedTestJob = graph.JobID("00000000000000aa")

// submit submits a job to the daemon for a caller that waits for three seconds, and returns the answer and the time it took.
func (c *testCell) submit(daemon int, id graph.JobID) (Answer, time.Duration) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	start := time.Now()
	answer := c.daemons[addressOf(daemon)].Submit(ctx, Request{Path: "/q/" + string(id)}, func() (*graph.Spec, error) { return testSpec(), nil })
	return answer, time.Since(start)
}

// isStored reports whether the shared store holds the job.
func (c *testCell) isStored(id graph.JobID) bool {
	replica := ledger.NewReplica(c.shared, monotimetest.Clock{Start: time.Now()}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, ledger.DaemonInfo{})
	_, found, err := replica.Find(context.Background(), id)
	return err == nil && found
}

// setStores sets how the store answers the daemons with the given numbers, and lets them notice.
func (c *testCell) setStores(mode storeMode, daemons ...int) {
	for _, n := range daemons {
		c.daemons[addressOf(n)].store.set(mode)
	}
	time.Sleep(3 * time.Second)
}

// relayed returns how many commands were relayed in the cell.
func (c *testCell) relayed() (total int64) {
	for _, d := range c.daemons {
		total += d.received.Load()
	}
	return total
}

// A daemon that the store doesn't answer has a job stored while the owner is lost, cut off or frozen, as long as other daemons
// reach the store.
func TestJobIsStoredThroughAnotherDaemon(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*testCell)
		within  time.Duration
	}{
		"owner answers":       {func(c *testCell) { c.setStores(silent, 1) }, 10 * time.Millisecond},
		"owner lost":          {func(c *testCell) { c.daemons["d0"].lost.Store(true); c.setStores(silent, 1) }, 10 * time.Millisecond},
		"owner cut off too":   {func(c *testCell) { c.setStores(silent, 0, 1) }, 10 * time.Millisecond},
		"owner frozen":        {func(c *testCell) { c.daemons["d0"].frozen.Store(true); c.setStores(silent, 1) }, hedgeDelay + 10*time.Millisecond},
		"owner is the daemon": {func(c *testCell) { c.setStores(refusing, 1); c.setOwner(1) }, 10 * time.Millisecond},
		"all but one cut off": {func(c *testCell) { c.setStores(refusing, 0, 1, 2, 3) }, 10 * time.Millisecond},
		"outage just begun": {func(c *testCell) {
			c.daemons["d0"].lost.Store(true)
			c.daemons["d1"].store.set(silent)
		}, storeSilence + hedgeCheckInterval + 10*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t, 5)
				c.prepare(cell)
				answer, took := cell.submit(1, relayedTestJob)
				if answer.Result != OK || !cell.isStored(relayedTestJob) || took > c.within {
					t.Errorf("result %s after %s, stored %t; want ok within %s, stored", answer.Result, took, cell.isStored(relayedTestJob), c.within)
				}
			})
		})
	}
}

func (c *testCell) setOwner(n int) {
	for _, d := range c.daemons {
		d.Replica.ObserveOwner(ledger.OwnerRecord{Node: addressOf(n), Incarnation: addressOf(n), Address: addressOf(n), Epoch: 2}, 2)
	}
}

// While the store answers nobody, a job is refused at once and nothing is stored, also later. The command is relayed to the
// owner and maxRelays others, none of which relays it further.
func TestTotalOutageIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 12)
		cell.setStores(silent, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
		answer, took := cell.submit(1, relayedTestJob)
		if answer.Result != Unavailable || took > 10*time.Millisecond || answer.RetryAfter != time.Second {
			t.Errorf("result %s after %s, Retry-After %s; want unavailable at once, 1s", answer.Result, took, answer.RetryAfter)
		}
		if got := cell.relayed(); got != 1+maxRelays {
			t.Errorf("relayed %d times, want %d", got, 1+maxRelays)
		}
		cell.setStores(answering, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
		if cell.isStored(relayedTestJob) {
			t.Error("a refused job is stored")
		}
	})
}

// A daemon that has noticed an outage does not make its answers uncertain by relaying to daemons that have not noticed it.
func TestRelaysDoNotMakeARefusalUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 5)
		cell.setStores(silent, 0, 1)
		for _, n := range []int{2, 3, 4} {
			cell.daemons[addressOf(n)].store.set(silent)
		}
		// The store has not answered the others for longer than usual, but none of their calls has failed yet.
		for _, addr := range []string{"d2", "d3", "d4"} {
			d := cell.daemons[addr]
			for d.StoreUp() {
				time.Sleep(10 * time.Millisecond)
			}
			if d.StoreDown() {
				t.Fatalf("the store is down for %s, want it neither up nor down", addr)
			}
		}
		answer, _ := cell.submit(1, relayedTestJob)
		if answer.Result != Unavailable {
			t.Errorf("result %s, want unavailable", answer.Result)
		}
	})
}

// In the first second of an outage the store does not count as down yet. Jobs that arrive after a call has failed must be refused as
// certainly not stored: callers do not repeat what is uncertain by themselves.
func TestWriteFollowsAReadWhileTheStoreIsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 3)
		for _, d := range cell.daemons {
			d.store.set(resetting)
		}
		for _, d := range cell.daemons {
			for d.StoreUp() {
				time.Sleep(10 * time.Millisecond)
			}
			if d.StoreDown() {
				t.Fatal("the store is down, want it neither up nor down")
			}
		}
		if answer, _ := cell.submit(1, relayedTestJob); answer.Result != Unavailable {
			t.Errorf("result %s, want unavailable", answer.Result)
		}
	})
}

// A command that one daemon may have stored is not refused as certainly not stored, whatever the other tries return.
func TestLostAnswerOfARelayIsUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 3)
		cell.setStores(refusing, 0, 1, 2)
		cell.daemons["d2"].losesReplies.Store(true)
		answer, _ := cell.submit(1, relayedTestJob)
		if answer.Result != Uncertain {
			t.Errorf("result %s, want uncertain", answer.Result)
		}
	})
}

// A job whose write was applied but not answered is accepted: through the store's own answer to the next try, or through
// another daemon that the store answers.
func TestAppliedWriteWithoutAnswerIsSettled(t *testing.T) {
	for name, prepare := range map[string]func(*testCell){
		"store recovers": func(c *testCell) {
			d := c.daemons["d1"]
			d.store.set(losingAnswers)
			c.daemons["d0"].lost.Store(true)
			c.daemons["d2"].lost.Store(true)
			time.AfterFunc(1500*time.Millisecond, func() { d.store.set(answering) })
		},
		"owner reaches the store": func(c *testCell) { c.daemons["d1"].store.set(losingAnswers) },
		"owner lost, another daemon reaches it": func(c *testCell) {
			c.daemons["d1"].store.set(losingAnswers)
			c.daemons["d0"].lost.Store(true)
		},
		"owner has seen the job before the store failed": func(c *testCell) {
			c.daemons["d1"].store.set(losingAnswers)
			c.daemons["d0"].lost.Store(true)
			c.daemons["d2"].lost.Store(true)
			time.AfterFunc(time.Second, func() {
				c.daemons["d0"].store.set(refusing)
				c.daemons["d0"].lost.Store(false)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t, 3)
				prepare(cell)
				answer, took := cell.submit(1, relayedTestJob)
				if answer.Result != OK {
					t.Errorf("result %s after %s, want ok", answer.Result, took)
				}
			})
		})
	}
}

// The row of a job is read where writes are not answered: an accepted job is not reported as uncertain.
func TestRowIsReadWhereWritesAreNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 2)
		d := cell.daemons["d1"]
		d.store.set(losingAnswers)
		cell.daemons["d0"].lost.Store(true)
		time.AfterFunc(300*time.Millisecond, func() { d.store.set(losingWrites) })
		if answer, took := cell.submit(1, relayedTestJob); answer.Result != OK {
			t.Errorf("result %s after %s, want ok", answer.Result, took)
		}
	})
}

// A row that is not there proves nothing while a write may still be applied: the job stays uncertain.
func TestMissingRowIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 2)
		cell.daemons["d0"].lost.Store(true)
		cell.daemons["d1"].store.set(losingWrites)
		if answer, _ := cell.submit(1, relayedTestJob); answer.Result != Uncertain {
			t.Errorf("result %s, want uncertain", answer.Result)
		}
	})
}

// A job that is accepted already is accepted again while the store answers nobody, as long as a daemon knows it.
func TestResendDuringAnOutageIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 4)
		if answer, _ := cell.submit(2, relayedTestJob); answer.Result != OK {
			t.Fatalf("result %s, want ok", answer.Result)
		}
		cell.setStores(silent, 0, 1, 2, 3)
		if answer, took := cell.submit(1, relayedTestJob); answer.Result != OK || took > 10*time.Millisecond {
			t.Errorf("result %s after %s, want ok at once", answer.Result, took)
		}
	})
}
