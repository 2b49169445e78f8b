package rowstore

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/monotime/monotimetest"
)

// lateStore hands answers of the feed that waited on to its caller late.
type lateStore struct {
	*MemoryStore
	delay time.Duration
}

func (s *lateStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	changes, version, err := s.MemoryStore.Feed(ctx, table, after, wait)
	if wait > 0 {
		time.Sleep(s.delay)
	}
	return changes, version, err
}

// Guards against older changes that are taken in over newer ones: Run's answer is still on its way when CatchUp has all that
// is known, later changes included.
func TestAnswerThatCatchUpOvertookIsNotTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &lateStore{MemoryStore: NewMemoryStore(), delay: 300 * time.Millisecond}
		f := &Follower{
			Store: store, Clock: monotimetest.Clock{Start: time.Now()}, Log: discardLogger(), Table: "t", Parts: []string{""}, FeedWait: 10 * time.Second,
		}
		newest := uint64(0)
		f.OnUpdate = func(u Update) {
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

// failOnceStore leaves one call of the feed that does not wait without an answer.
type failOnceStore struct {
	*MemoryStore
	failed bool
}

func (s *failOnceStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	if wait == 0 && !s.failed {
		s.failed = true
		return nil, 0, ErrUnavailable
	}
	return s.MemoryStore.Feed(ctx, table, after, wait)
}

// One call without an answer is no reason to give up catching up, and with it ownership: there is time for others.
func TestCatchUpOutlivesACallWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		store := &failOnceStore{MemoryStore: NewMemoryStore()}
		f := &Follower{Store: store, Clock: monotimetest.Clock{Start: time.Now()}, Log: discardLogger(), Table: "t", Parts: []string{""}, FeedWait: time.Second}
		f.OnUpdate = func(Update) {}
		if err := f.CatchUp(ctx, 0); err != nil {
			t.Fatal(err)
		}
		version, _, err := store.Apply(ctx, Tx{Put: []Row{{Key: Key{Table: "t", Name: "a"}}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := f.CatchUp(ctx, version); err != nil {
			t.Errorf("given up after one call: %v", err)
		}
	})
}

// slowFirstReadStore answers the first reading of a table late.
type slowFirstReadStore struct {
	*MemoryStore
	reads atomic.Int64
}

func (s *slowFirstReadStore) Range(ctx context.Context, table, part, from, to string) ([]Row, string, uint64, error) {
	rows, next, version, err := s.MemoryStore.Range(ctx, table, part, from, to)
	if s.reads.Add(1) == 1 {
		time.Sleep(300 * time.Millisecond)
	}
	return rows, next, version, err
}

// Run's first reading of the table is still on its way when CatchUp has read it, with later rows: it is not taken in.
func TestReadingThatCatchUpOvertookIsNotTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &slowFirstReadStore{MemoryStore: NewMemoryStore()}
		f := &Follower{Store: store, Clock: monotimetest.Clock{Start: time.Now()}, Log: discardLogger(), Table: "t", Parts: []string{""}, FeedWait: time.Second}
		newest := uint64(0)
		f.OnUpdate = func(u Update) {
			if u.Version < newest {
				t.Errorf("a reading of version %d is taken in after %d", u.Version, newest)
			}
			newest = u.Version
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
		time.Sleep(100 * time.Millisecond)
		version := write("b")
		if err := f.CatchUp(ctx, version); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if f.Version() != version {
			t.Errorf("version %d, want %d", f.Version(), version)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against an entry that counts as present after its removal: an answer with several changes of a row tells the last.
func TestLastChangeOfARowCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		store := NewMemoryStore()
		f := &Follower{Store: store, Clock: monotimetest.Clock{Start: time.Now()}, Log: discardLogger(), Table: "t", Parts: []string{""}, FeedWait: time.Second}
		var got []Change
		f.OnUpdate = func(u Update) { got = u.Changes }
		if err := f.CatchUp(ctx, 0); err != nil {
			t.Fatal(err)
		}
		removedKey, rewrittenKey := Key{Table: "t", Name: "gone"}, Key{Table: "t", Name: "kept"}
		version := uint64(0)
		for _, tx := range []Tx{{Put: []Row{{Key: removedKey}, {Key: rewrittenKey}}}, {Delete: []Key{removedKey, rewrittenKey}}, {Put: []Row{{Key: rewrittenKey}}}} {
			var err error
			if version, _, err = store.Apply(ctx, tx); err != nil {
				t.Fatal(err)
			}
		}
		if err := f.CatchUp(ctx, version); err != nil {
			t.Fatal(err)
		}
		removed := make(map[Key]bool)
		for _, change := range got {
			removed[change.Key] = change.Removed
		}
		if len(got) != 2 || !removed[removedKey] || removed[rewrittenKey] {
			t.Errorf("told %v, want the removal of one row and the entry of the other", got)
		}
	})
}
