package rowstore

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumpoint/internal/monotime"
)

// Timeouts and concurrency of reading a whole table.
const (
	// loadTimeout is half of the shortest time for which the users' store keeps the history from which the feed continues.
	loadTimeout = 10 * time.Second
	// maxConcurrentReads is how many parts are read at once, so that a slow store delays the read of a table only a little.
	maxConcurrentReads = 8
	// initialPageTimeout is the timeout of the first tries of a page: about twice what a store takes that is sixty times
	// slower than usual.
	initialPageTimeout = 500 * time.Millisecond
	// maxShortTries is how many tries of a page keep initialPageTimeout while the store has answered no call: a call sent to a
	// store that is down is never answered, and the store may return at any moment.
	maxShortTries = 12
	// maxTimeoutDoublings is how often the timeout is doubled after further failed tries, for a slow store or network link.
	maxTimeoutDoublings = 3
)

// loader reads a table page by page. It retries a page that fails and keeps the pages already read.
type loader struct {
	store Store
	table string
	// answered means that the store has answered a call.
	answered atomic.Bool
}

// readTable returns the rows of all parts, and the version from which the feed returns every change that they lack.
func (l *loader) readTable(ctx context.Context, parts []string) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	rows := make([][]Change, len(parts))
	versions := make([]uint64, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, part := range parts {
		group.Go(func() (err error) {
			rows[i], versions[i], err = l.readPart(ctx, part)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	return slices.Concat(rows...), slices.Min(versions), nil
}

// readPart returns a part's rows and the version of its first page.
func (l *loader) readPart(ctx context.Context, part string) (changes []Change, firstVersion uint64, err error) {
	for from := ""; ; {
		rows, next, version, err := l.readPage(ctx, part, from)
		if err != nil {
			return nil, 0, err
		}
		if firstVersion == 0 {
			firstVersion = version
		}
		for _, row := range rows {
			changes = append(changes, Change{Row: row})
		}
		if from = next; from == "" {
			return changes, firstVersion, nil
		}
	}
}

func (l *loader) readPage(ctx context.Context, part, from string) (rows []Row, next string, version uint64, err error) {
	for tries := 0; ; tries++ {
		rows, next, version, err = l.tryPage(ctx, part, from, l.pageTimeout(tries))
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

// pageTimeout returns the timeout of a page's next try after a number of failed tries.
func (l *loader) pageTimeout(failedTries int) time.Duration {
	if !l.answered.Load() {
		failedTries = max(0, failedTries-maxShortTries)
	}
	return initialPageTimeout << min(failedTries, maxTimeoutDoublings)
}

func (l *loader) tryPage(ctx context.Context, part, from string, timeout time.Duration) ([]Row, string, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.store.Range(ctx, l.table, part, from, "")
}
