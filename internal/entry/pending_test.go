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

// refusingStore answers no reads while it refuses.
type refusingStore struct {
	*rowstore.Memory
	refuses atomic.Bool
}

func (s *refusingStore) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	if s.refuses.Load() {
		return nil, "", 0, rowstore.ErrUnavailable
	}
	return s.Memory.Range(ctx, table, part, from, to)
}

func (s *refusingStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	if s.refuses.Load() {
		return nil, 0, rowstore.ErrUnavailable
	}
	return s.Memory.Feed(ctx, table, after, wait)
}

// A daemon that is asked for the number of waiting jobs in place of another does not count them in a copy that is outdated.
func TestOutdatedCopyIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		store := &refusingStore{Memory: rowstore.NewMemory()}
		clock := monotimetest.Clock{Start: time.Now()}
		quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		replica := ledger.NewReplica(store, clock, quiet, ledger.DaemonInfo{Incarnation: "a"})
		go replica.Run(ctx)
		s := &Service{Options: Options{Replica: replica, Clock: clock, Log: quiet}}
		ask := func() string {
			return s.intake(ctx, &wire.IntakeRequest{Command: commandPending, Job: "q"}).Result
		}
		time.Sleep(time.Second)
		if got := ask(); got != resultOK {
			t.Errorf("a current copy: %s, want %s", got, resultOK)
		}
		store.refuses.Store(true)
		time.Sleep(staleReplica + time.Second)
		if got := ask(); got != resultUnavailable {
			t.Errorf("an outdated copy: %s, want %s", got, resultUnavailable)
		}
	})
}
