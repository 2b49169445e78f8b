package rowstore

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumpoint/internal/monotime"
)

// Bounds of reading a whole table.
const (
	// loadTimeout is half of the shortest time for which the users' store keeps the history that the feed goes on from.
	loadTimeout = 10 * time.Second
	// loadCalls is how many parts are read at once, so that a slow store delays the reading of a table only a little.
	loadCalls = 8
	// pageTimeout bounds one call at first, about twice what a store sixty times slower than usual takes.
	pageTimeout = 500 * time.Millisecond
	// silentTries is how many tries are as short as that while the store has answered none: what is sent to a store that is
	// away is never answered, and it may be back at any moment.
	silentTries = 12
	// maxDoublings bounds how often a call's time is doubled after that, for a slow store or a weak link.
	maxDoublings = 3
)

// loader reads a table page by page. A page without an answer is asked for again; what was read is kept.
type loader struct {
	store Store
	table string
	// answered means that the store has answered a call.
	answered atomic.Bool
}

// read returns the rows of all parts and the version from which a feed has everything that they lack.
func (l *loader) read(ctx context.Context, parts []string) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	rows := make([][]Change, len(parts))
	versions := make([]uint64, len(parts))
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(loadCalls)
	for i, part := range parts {
		calls.Go(func() (err error) {
			rows[i], versions[i], err = l.readPart(ctx, part)
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		return nil, 0, err
	}
	return slices.Concat(rows...), slices.Min(versions), nil
}

// readPart returns a part's rows and the version of its first page.
func (l *loader) readPart(ctx context.Context, part string) (all []Change, first uint64, err error) {
	for from := ""; ; {
		rows, next, version, err := l.readPage(ctx, part, from)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = version
		}
		for _, row := range rows {
			all = append(all, Change{Row: row})
		}
		if from = next; from == "" {
			return all, first, nil
		}
	}
}

func (l *loader) readPage(ctx context.Context, part, from string) (rows []Row, next string, version uint64, err error) {
	for tries := 0; ; tries++ {
		rows, next, version, err = l.tryPage(ctx, part, from, l.timeout(tries))
		if err == nil {
			l.answered.Store(true)
			return rows, next, version, nil
		}
		if ctx.Err() != nil {
			return nil, "", 0, err
		}
		monotime.Sleep(ctx, retryDelay)
	}
}

// timeout returns the time for a page's next try after so many that failed.
func (l *loader) timeout(failed int) time.Duration {
	if !l.answered.Load() {
		failed = max(0, failed-silentTries)
	}
	return pageTimeout << min(failed, maxDoublings)
}

func (l *loader) tryPage(ctx context.Context, part, from string, timeout time.Duration) ([]Row, string, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.store.Range(ctx, l.table, part, from, "")
}
