package entry

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime/monotimetest"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

// unreachableStore answers no reads while unreachable is set, and no writes while silent is set.
type unreachableStore struct {
	*rowstore.MemoryStore
	unreachable, silent atomic.Bool
}

func (s *unreachableStore) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return 0, nil, rowstore.ErrUncertain
	}
	return s.MemoryStore.Apply(ctx, tx)
}

func (s *unreachableStore) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	if s.unreachable.Load() {
		return nil, "", 0, rowstore.ErrUnavailable
	}
	return s.MemoryStore.Range(ctx, table, part, from, to)
}

func (s *unreachableStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	if s.unreachable.Load() {
		return nil, 0, rowstore.ErrUnavailable
	}
	changes, next, err := s.MemoryStore.Feed(ctx, table, after, wait)
	if s.unreachable.Load() { // the answer of a call that was under way is lost too
		return nil, 0, rowstore.ErrUnavailable
	}
	return changes, next, err
}

// A daemon that counts a queue's pending jobs for another daemon doesn't count them in an outdated replica.
func TestOutdatedReplicaIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		store := &unreachableStore{MemoryStore: rowstore.NewMemoryStore()}
		clock := monotimetest.Clock{Start: time.Now()}
		quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		replica := ledger.NewReplica(store, clock, quiet, ledger.DaemonInfo{Incarnation: "a"})
		go replica.Run(ctx)
		s := &Service{Options: Options{Replica: replica, Clock: clock, Log: quiet}}
		requestPending := func() string {
			return s.handleCommand(ctx, &wire.IntakeRequest{Command: commandPending, Job: "q"}).Result
		}
		time.Sleep(time.Second)
		if got := requestPending(); got != resultOK {
			t.Errorf("current replica: result %s, want %s", got, resultOK)
		}
		store.unreachable.Store(true)
		time.Sleep(maxReplicaAge + time.Second)
		if got := requestPending(); got != resultUnavailable {
			t.Errorf("outdated replica: result %s, want %s", got, resultUnavailable)
		}
	})
}
