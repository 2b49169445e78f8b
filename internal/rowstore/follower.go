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

// Bounds of following a table.
const (
	// feedTimeoutMargin is the time beyond its wait in which a call for changes must be answered; a silent connection is left.
	feedTimeoutMargin = 500 * time.Millisecond
	// retryDelay is kept between a failed call and the next.
	retryDelay = 100 * time.Millisecond
)

// Follower keeps its user informed of a table's rows.
type Follower struct {
	Store Store
	Clock monotime.Clock
	Log   *log.Logger
	Table string
	// Parts are the parts that the table has.
	Parts []string
	// FeedWait is how long a call for changes waits.
	FeedWait time.Duration
	// PollDelay tells, if set, what is kept between two calls, so that frequent changes come together in one.
	PollDelay func() time.Duration
	// OnUpdate takes in updates in order, one at a time.
	OnUpdate func(Update)
	// OnCurrent is called, if set, after each call with the time at which it was sent: the rows are as new as that.
	OnCurrent func(sent monotime.Instant)

	// applyMu is held while an answer is taken in.
	applyMu sync.Mutex

	mu      sync.Mutex
	loaded  bool
	version uint64
	// behind means that the last answer may have lacked later changes.
	behind      bool
	lastCurrent monotime.Instant
	storeLost   bool
}

// Update is what a follower has learnt of its table.
type Update struct {
	// Changes holds the last change of each row.
	Changes []Change
	// Full means that the table was read whole: rows that Changes lack were removed by Version.
	Full bool
	// Version is that up to which everything is known.
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

// logStoreChange logs the loss of the store and its return.
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

// CatchUp takes in every change up to a version that the store is known to have reached, for as long as ctx lasts.
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

// reached reports whether every change up to the version has been taken in.
func (f *Follower) reached(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && f.version >= version
}

// continuesFrom reports whether an answer of the feed after a version continuesFrom what has been taken in.
func (f *Follower) continuesFrom(after uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded && f.version == after
}

// Reset forgets what was read, so that the table is read anew. Run must not be running.
func (f *Follower) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded, f.behind, f.version, f.lastCurrent = false, false, 0, 0
}

// Loaded reports whether the table has been read whole.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// LastCurrent returns when the follower was last known to be current. One that is behind is not.
func (f *Follower) LastCurrent() monotime.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastCurrent
}

// Version returns the version up to which every change has been taken in; 0 before the table has been read.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *Follower) advance(ctx context.Context, wait time.Duration) error {
	if !f.Loaded() {
		return f.loadTable(ctx)
	}
	return f.readFeed(ctx, wait)
}

// loadTable reads the whole table. Rows may be newer than the version from which the feed goes on, which then repeats them.
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
		return nil // CatchUp or Run was faster
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
		return err // CatchUp or Run was faster, and what it took in is newer
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

// lastChangePerRow leaves out what later changes of the same row replace.
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

// mayBeTruncated reports whether an answer may lack later changes because it is full. Values are encoded on the way, with names
// around them: one of half the bound may have reached it.
func mayBeTruncated(changes []Change) bool {
	bytes := 0
	for _, c := range changes {
		bytes += len(c.Value)
	}
	return len(changes) >= FeedBatchSize || bytes >= MaxTxBytes/2
}
