package rowstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/monotime"
)

// Timeout and retry delay of a follower.
const (
	// feedTimeoutMargin is how long a follower waits for the answer of a feed call beyond the call's own wait. Later it gives
	// the call up, since the connection may be dead.
	feedTimeoutMargin = 500 * time.Millisecond
	// retryDelay is the delay between a failed call and the next.
	retryDelay = 100 * time.Millisecond
)

// Follower reads a table and then follows its change feed. It passes the rows and their later changes to OnUpdate.
type Follower struct {
	Store Store
	Clock monotime.Clock
	Log   *log.Logger
	Table string
	// Parts lists the partitions of the table.
	Parts []string
	// FeedWait is how long the store holds a feed call open while there is no change.
	FeedWait time.Duration
	// PollDelay, if set, returns the delay between two feed calls, by which frequent changes are batched into one answer.
	PollDelay func() time.Duration
	// OnUpdate is called with the updates in order, one at a time.
	OnUpdate func(Update)
	// OnCurrent, if set, is called after each call that made the rows current, with the time at which the call was sent: the
	// rows are at least as new as that. It must not call methods of the follower.
	OnCurrent func(sent monotime.Instant)

	// applyMu is held while an answer is processed.
	applyMu sync.Mutex

	mu      sync.Mutex
	loaded  bool
	version uint64
	// behind means that the last answer may have been truncated, so that later changes are missing.
	behind      bool
	lastCurrent monotime.Instant
	// storeLost means that the last call failed.
	storeLost bool
}

// Update is a set of changes to a table.
type Update struct {
	// Changes holds the last change of each row.
	Changes []Change
	// Full means that Changes holds the whole table: any other row was removed by Version at the latest.
	Full bool
	// Version is the version up to which all changes are known.
	Version uint64
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.advance(ctx, f.FeedWait)
		if ctx.Err() != nil {
			return
		}
		f.logStoreChange(err)
		switch {
		case err != nil:
			monotime.Sleep(ctx, retryDelay)
		case f.PollDelay != nil && !f.isBehind():
			monotime.Sleep(ctx, f.PollDelay())
		}
	}
}

func (f *Follower) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behind
}

// logStoreChange logs when calls start to fail and when they succeed again.
func (f *Follower) logStoreChange(err error) {
	f.mu.Lock()
	wasLost := f.storeLost
	f.storeLost = err != nil
	version := f.version
	f.mu.Unlock()
	switch {
	case err != nil && !wasLost:
		f.Log.Warn().Str("table", f.Table).Uint64("version", version).Err(err).Msg("store lost")
	case err == nil && wasLost:
		f.Log.Info().Str("table", f.Table).Uint64("version", version).Msg("store regained")
	}
}

// CatchUp processes every change up to a version that the store is known to have reached. It retries until ctx ends.
// Errors: ErrUnavailable.
func (f *Follower) CatchUp(ctx context.Context, version uint64) error {
	for {
		err := f.advance(ctx, 0)
		if f.reached(version) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
		if err != nil && !errors.Is(err, ErrHistoryLost) {
			monotime.Sleep(ctx, retryDelay)
		}
	}
}

// reached reports whether every change up to the version has been processed.
func (f *Follower) reached(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && f.version >= version
}

// continuesFrom reports whether an answer of the feed with the changes after a version follows directly on what has been
// processed.
func (f *Follower) continuesFrom(after uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && f.version == after
}

// Reset discards the state, so that the table is read again as a whole. It must not be called while Run is running.
func (f *Follower) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded, f.behind, f.version, f.lastCurrent = false, false, 0, 0
}

// Loaded reports whether the whole table has been read.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// LastCurrent returns when the follower was last known to be current. While changes are missing, it is not current.
func (f *Follower) LastCurrent() monotime.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastCurrent
}

// Version returns the version up to which every change has been processed; 0 before the table has been read.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// advance makes one call for changes, or reads the whole table if it has not been loaded yet.
func (f *Follower) advance(ctx context.Context, wait time.Duration) error {
	if !f.Loaded() {
		return f.loadTable(ctx)
	}
	return f.readFeed(ctx, wait)
}

// loadTable reads the whole table. Rows may be newer than the version from which the feed continues, which then repeats
// their changes.
func (f *Follower) loadTable(ctx context.Context) error {
	sent := f.Clock.Now()
	l := &loader{store: f.Store, table: f.Table}
	rows, version, err := l.readTable(ctx, f.Parts)
	if err != nil {
		return err
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if f.reached(version) {
		return nil // a concurrent CatchUp or Run has read the table
	}
	f.OnUpdate(Update{rows, true, version})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = true
	f.behind = false
	f.version = version
	f.lastCurrent = sent
	f.reportCurrent(sent)
	return nil
}

func (f *Follower) reportCurrent(sent monotime.Instant) {
	if f.OnCurrent != nil {
		f.OnCurrent(sent)
	}
}

func (f *Follower) readFeed(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	after := f.version
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+feedTimeoutMargin)
	defer cancel()
	sent := f.Clock.Now()
	changes, next, err := f.Store.Feed(ctx, f.Table, after, wait)
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if !f.continuesFrom(after) {
		return err // a concurrent CatchUp or Run has processed newer changes
	}
	if errors.Is(err, ErrHistoryLost) {
		f.Log.Warn().Str("table", f.Table).Uint64("after", after).Msg("history lost, reading the table again")
		f.mu.Lock()
		f.loaded = false
		f.mu.Unlock()
		return err
	}
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		f.OnUpdate(Update{Changes: lastChangePerRow(changes), Version: next})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = max(f.version, next)
	f.behind = mayBeTruncated(changes)
	if !f.behind {
		f.lastCurrent = max(f.lastCurrent, sent)
		f.reportCurrent(sent)
	}
	return nil
}

// lastChangePerRow returns the last change of each row, in the order of changes.
func lastChangePerRow(changes []Change) []Change {
	last := make(map[Key]int, len(changes))
	for i, c := range changes {
		last[c.Key] = i
	}
	if len(last) == len(changes) {
		return changes
	}
	var latest []Change
	for i, c := range changes {
		if last[c.Key] == i {
			latest = append(latest, c)
		}
	}
	return latest
}

// mayBeTruncated reports whether an answer may lack later changes because it is full. Values are sent encoded and with their
// names, so an answer may have reached MaxTxBytes when its values take half of that.
func mayBeTruncated(changes []Change) bool {
	bytes := 0
	for _, c := range changes {
		bytes += len(c.Value)
	}
	return len(changes) >= FeedBatchSize || bytes >= MaxTxBytes/2
}
