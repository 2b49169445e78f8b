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

// unresponsiveStore answers no call that is sent while unresponsive is set, also not later.
type unresponsiveStore struct {
	*MemoryStore
	unresponsive atomic.Bool
	// delay is the time until a call is answered, after the first delayAfter calls, which are answered at once.
	delay      time.Duration
	delayAfter int64
	calls      atomic.Int64
}

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// awaitAnswer returns when a call is to be answered, or with ErrUnavailable when ctx ends.
func (s *unresponsiveStore) awaitAnswer(ctx context.Context) error {
	if s.unresponsive.Load() {
		<-ctx.Done()
		return ErrUnavailable
	}
	if s.calls.Add(1) <= s.delayAfter {
		return nil
	}
	select {
	case <-time.After(s.delay):
		return nil
	case <-ctx.Done():
		return ErrUnavailable
	}
}

func (s *unresponsiveStore) Range(ctx context.Context, table, part, from, to string) ([]Row, string, uint64, error) {
	if err := s.awaitAnswer(ctx); err != nil {
		return nil, "", 0, err
	}
	return s.MemoryStore.Range(ctx, table, part, from, to)
}

func (s *unresponsiveStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	if err := s.awaitAnswer(ctx); err != nil {
		return nil, 0, err
	}
	return s.MemoryStore.Feed(ctx, table, after, wait)
}

func startFollower(ctx context.Context, store Store, clock monotime.Clock, parts int) *Follower {
	f := &Follower{Store: store, Clock: clock, Log: discardLogger(), Table: "t", FeedWait: 500 * time.Millisecond}
	for i := range parts {
		f.Parts = append(f.Parts, string(rune('a'+i)))
	}
	f.OnUpdate = func(Update) {}
	go f.Run(ctx)
	return f
}

// maxRecoveryTime is the time after the return of the store within which work must continue, so that jobs with a latency
// objective of one second that arrive then are served in time.
const maxRecoveryTime = 700 * time.Millisecond

// All VMs restart during an outage of the store. The calls they make then are never answered, and they must read the table
// soon after the store has returned.
func TestStartDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, startedBefore := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 900 * time.Millisecond, 2900 * time.Millisecond, 5 * time.Second} {
			ctx, cancel := context.WithCancel(t.Context())
			clock := monotimetest.Clock{Start: time.Now()}
			store := &unresponsiveStore{MemoryStore: NewMemoryStore()}
			store.unresponsive.Store(true)
			f := startFollower(ctx, NewMonitoredStore(store, clock, metrics.NewSet()), clock, 20)
			time.Sleep(startedBefore)
			store.unresponsive.Store(false)
			time.Sleep(maxRecoveryTime)
			if !f.Loaded() {
				t.Errorf("follower started %s before the store returned: table not read %s after its return", startedBefore, maxRecoveryTime)
			}
			cancel()
			synctest.Wait()
		}
	})
}

// All VMs of a large cell start at once and read a long table: each page takes most of a call's timeout, or longer. Pages that
// were read must not be read again.
func TestLongTableIsReadPageByPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, delay := range []time.Duration{initialPageTimeout * 4 / 5, initialPageTimeout * 3 / 2} {
			ctx, cancel := context.WithCancel(t.Context())
			clock := monotimetest.Clock{Start: time.Now()}
			store := &unresponsiveStore{MemoryStore: NewMemoryStore()}
			const pages = 4
			for i := range pages * maxRangeRows {
				row := Row{Key: Key{Table: "t", Part: "a", Name: fmt.Sprintf("%08d", i)}}
				if _, _, err := store.Apply(ctx, Tx{Put: []Row{row}}); err != nil {
					t.Fatal(err)
				}
			}
			store.delayAfter = 1
			store.delay = delay
			var rows atomic.Int64
			f := &Follower{Store: store, Clock: clock, Log: discardLogger(), Table: "t", Parts: []string{"a"}, FeedWait: time.Second}
			f.OnUpdate = func(u Update) { rows.Add(int64(len(u.Changes))) }
			go f.Run(ctx)
			time.Sleep(loadTimeout - time.Second)
			if rows.Load() != pages*maxRangeRows {
				t.Errorf("each page takes %s: %d rows read, want %d", delay, rows.Load(), pages*maxRangeRows)
			}
			cancel()
			synctest.Wait()
		}
	})
}

// After an outage, the return of the store must be noticed soon, however long calls that were sent during the outage still
// wait.
func TestReturnOfTheStoreIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, outage := range []time.Duration{2 * time.Second, 4200 * time.Millisecond} {
			ctx, cancel := context.WithCancel(t.Context())
			clock := monotimetest.Clock{Start: time.Now()}
			store := &unresponsiveStore{MemoryStore: NewMemoryStore()}
			m := NewMonitoredStore(store, clock, metrics.NewSet())
			f := startFollower(ctx, m, clock, 1)
			time.Sleep(time.Second)
			store.unresponsive.Store(true)
			time.Sleep(outage)
			if !m.Down() {
				t.Errorf("outage of %s: the store does not count as down", outage)
			}
			store.unresponsive.Store(false)
			time.Sleep(maxRecoveryTime)
			if m.Down() || m.SinceLastAnswer() > maxRecoveryTime || clock.Now().Sub(f.LastCurrent()) > maxRecoveryTime {
				t.Errorf("outage of %s: the store's return is not noticed within %s", outage, maxRecoveryTime)
			}
			cancel()
			synctest.Wait()
		}
	})
}

// A store that has become slower than downCallTimeout, but not slower than a follower waits, must not count as down for ever.
func TestSlowStoreIsFoundUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := monotimetest.Clock{Start: time.Now()}
		store := &unresponsiveStore{MemoryStore: NewMemoryStore()}
		m := NewMonitoredStore(store, clock, metrics.NewSet())
		startFollower(ctx, m, clock, 1)
		store.unresponsive.Store(true)
		time.Sleep(3 * time.Second)
		store.delay = (downCallTimeout + feedTimeoutMargin) / 2
		store.unresponsive.Store(false)
		time.Sleep(10 * time.Second)
		if m.Down() {
			t.Errorf("a store that answers in %s counts as down", store.delay)
		}
		cancel()
		synctest.Wait()
	})
}
