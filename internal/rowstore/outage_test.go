package rowstore

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/monotime/monotimetest"
)

// silentStore answers nothing while it is silent, and never what was sent then. Slow delays each answer.
type silentStore struct {
	*MemoryStore
	silent atomic.Bool
	slow   time.Duration
	// slowAfter is how many calls are answered at once before that.
	slowAfter int64
	calls     atomic.Int64
}

func quiet() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

func (s *silentStore) pass(ctx context.Context) error {
	if s.silent.Load() {
		<-ctx.Done()
		return ErrUnavailable
	}
	if s.calls.Add(1) <= s.slowAfter {
		return nil
	}
	select {
	case <-time.After(s.slow):
		return nil
	case <-ctx.Done():
		return ErrUnavailable
	}
}

func (s *silentStore) Range(ctx context.Context, table, part, from, to string) ([]Row, string, uint64, error) {
	if err := s.pass(ctx); err != nil {
		return nil, "", 0, err
	}
	return s.MemoryStore.Range(ctx, table, part, from, to)
}

func (s *silentStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	if err := s.pass(ctx); err != nil {
		return nil, 0, err
	}
	return s.MemoryStore.Feed(ctx, table, after, wait)
}

func follow(ctx context.Context, store Store, clock monotime.Clock, parts int) *Follower {
	f := &Follower{Store: store, Clock: clock, Log: quiet(), Table: "t", FeedWait: 500 * time.Millisecond}
	for i := range parts {
		f.Parts = append(f.Parts, string(rune('a'+i)))
	}
	f.OnUpdate = func(Update) {}
	go f.Run(ctx)
	return f
}

// soonBack is how long after the return of the store everything must go on, so that jobs with an objective of a second that
// arrive then are served in time.
const soonBack = 700 * time.Millisecond

// All VMs restart while the store is silent: what they ask it then is never answered, and they must read it soon after it is
// back.
func TestStartDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, sentBefore := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond, 2900 * time.Millisecond, 5 * time.Second} {
			ctx, cancel := context.WithCancel(t.Context())
			clock := monotimetest.Clock{Start: time.Now()}
			store := &silentStore{MemoryStore: NewMemoryStore()}
			store.silent.Store(true)
			f := follow(ctx, NewMonitoredStore(store, clock, metrics.NewSet()), clock, 20)
			time.Sleep(sentBefore)
			store.silent.Store(false)
			time.Sleep(soonBack)
			if !f.Loaded() {
				t.Errorf("started %s before the store was back: table not read %s after", sentBefore, soonBack)
			}
			cancel()
			synctest.Wait()
		}
	})
}

// All VMs of a large cell start at once, and the table is long: each page takes most of the time of a call, or more than that.
// The pages that were read must not be read again.
func TestLongTableIsReadPageByPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, slow := range []time.Duration{pageTimeout * 4 / 5, pageTimeout * 3 / 2} {
			ctx, cancel := context.WithCancel(t.Context())
			clock := monotimetest.Clock{Start: time.Now()}
			store := &silentStore{MemoryStore: NewMemoryStore()}
			const pages = 4
			for i := range pages * maxRange {
				row := Row{Key: Key{Table: "t", Part: "a", Name: fmt.Sprintf("%08d", i)}}
				if _, _, err := store.Apply(ctx, Tx{Put: []Row{row}}); err != nil {
					t.Fatal(err)
				}
			}
			store.slowAfter = 1
			store.slow = slow
			var rows atomic.Int64
			f := &Follower{Store: store, Clock: clock, Log: quiet(), Table: "t", Parts: []string{"a"}, FeedWait: time.Second}
			f.OnUpdate = func(u Update) { rows.Add(int64(len(u.Changes))) }
			go f.Run(ctx)
			time.Sleep(loadTimeout - time.Second)
			if rows.Load() != pages*maxRange {
				t.Errorf("pages of %s: %d rows read, want %d", slow, rows.Load(), pages*maxRange)
			}
			cancel()
			synctest.Wait()
		}
	})
}

// The store falls silent for a while: once it is back, that is known soon, however long the calls wait that were under way.
func TestReturnOfTheStoreIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, outage := range []time.Duration{2 * time.Second, 4200 * time.Millisecond} {
			ctx, cancel := context.WithCancel(t.Context())
			clock := monotimetest.Clock{Start: time.Now()}
			store := &silentStore{MemoryStore: NewMemoryStore()}
			m := NewMonitoredStore(store, clock, metrics.NewSet())
			f := follow(ctx, m, clock, 1)
			time.Sleep(time.Second)
			store.silent.Store(true)
			time.Sleep(outage)
			if !m.Down() {
				t.Errorf("outage of %s: the store is not found down", outage)
			}
			store.silent.Store(false)
			time.Sleep(soonBack)
			if m.Down() || m.SinceLastAnswer() > soonBack || clock.Now().Sub(f.LastCurrent()) > soonBack {
				t.Errorf("outage of %s: %s after the store is back it counts as down", outage, soonBack)
			}
			cancel()
			synctest.Wait()
		}
	})
}

// A store that has become slower than a call may take while the store is down, though not than a follower waits, is no store
// that is down for ever.
func TestSlowStoreIsFoundUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := monotimetest.Clock{Start: time.Now()}
		store := &silentStore{MemoryStore: NewMemoryStore()}
		m := NewMonitoredStore(store, clock, metrics.NewSet())
		follow(ctx, m, clock, 1)
		store.silent.Store(true)
		time.Sleep(3 * time.Second)
		store.slow = (downCall + callSlack) / 2
		store.silent.Store(false)
		time.Sleep(10 * time.Second)
		if m.Down() {
			t.Error("a slow store counts as down")
		}
		cancel()
		synctest.Wait()
	})
}
