package rowstore

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/monotime/monotimetest"
)

// lateStore delays the answers of feed calls that may wait for changes.
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

// Guards against older changes replacing newer ones: an answer to Run is still on its way when CatchUp has already processed
// later changes.
func TestFeedAnswerOlderThanCatchUpIsIgnored(t *testing.T) {
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
					t.Errorf("change of version %d is processed after version %d", change.Version, newest)
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
			t.Errorf("newest processed version is %d, want %d", newest, version)
		}
		cancel()
		synctest.Wait()
		time.Sleep(20 * time.Second)
	})
}

// failOnceStore fails the first feed call that does not wait for changes.
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

// Guards against CatchUp failing after one unanswered call, by which ownership would be given up although there is time to
// retry.
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
			t.Errorf("CatchUp gave up after one failed call: %v", err)
		}
	})
}

// slowFirstReadStore answers the first call of Range late.
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

// Guards against an older read of the table replacing a newer one: the answer to Run's first read is still on its way when
// CatchUp has already read the table with later rows.
func TestFullReadOlderThanCatchUpIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &slowFirstReadStore{MemoryStore: NewMemoryStore()}
		f := &Follower{Store: store, Clock: monotimetest.Clock{Start: time.Now()}, Log: discardLogger(), Table: "t", Parts: []string{""}, FeedWait: time.Second}
		newest := uint64(0)
		f.OnUpdate = func(u Update) {
			if u.Version < newest {
				t.Errorf("table read at version %d is processed after version %d", u.Version, newest)
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
			t.Errorf("follower is at version %d, want %d", f.Version(), version)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against a removed row that counts as present: of several changes of a row in one answer, the last one counts.
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
			t.Errorf("changes are %v, want one removed row and one written row", got)
		}
	})
}
