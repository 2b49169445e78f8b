package rowstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/monotime/monotimetest"
)

// lateStore hands answers of the feed that waited on to its caller late.
type lateStore struct {
	*Memory
	late time.Duration
}

func (s *lateStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	changes, version, err := s.Memory.Feed(ctx, table, after, wait)
	if wait > 0 {
		time.Sleep(s.late)
	}
	return changes, version, err
}

// Guards against older changes that are taken in over newer ones: Run's answer is still on its way when CatchUp has all that
// is known, later changes included.
func TestAnswerThatCatchUpOvertookIsNotTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &lateStore{Memory: NewMemory(), late: 300 * time.Millisecond}
		f := &Follower{
			Store: store, Clock: monotimetest.Clock{Start: time.Now()}, Log: quiet(), Table: "t", Parts: []string{""}, Wait: 10 * time.Second,
		}
		newest := uint64(0)
		f.Apply = func(u Update) {
			for _, change := range u.Changes {
				if change.Version <= newest {
					t.Errorf("version %d is taken in after %d", change.Version, newest)
				}
				newest = change.Version
			}
		}
		write := func(name string) uint64 {
			version, _, err := store.Apply(ctx, Tx{Put: []Row{{Key: Key{Table: "t", Name: name}}}})
			if err != nil {
				t.Fatal(err)
			}
			return version
		}
		write("a")
		go f.Run(ctx)
		time.Sleep(time.Second)
		write("b")
		time.Sleep(100 * time.Millisecond) // Run has been answered
		version := write("c")
		if err := f.CatchUp(ctx, version); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if newest != version {
			t.Errorf("version %d is the newest, want %d", newest, version)
		}
		cancel()
		synctest.Wait()
		time.Sleep(20 * time.Second)
	})
}
