// Package rowstore states the contract of a transactional store of rows with a feed of changes.
package rowstore

import (
	"context"
	"errors"
	"time"
)

// Errors of a store.
var (
	// ErrConflict means that a condition of the transaction did not hold; nothing was written.
	ErrConflict = errors.New("store: condition failed")
	// ErrUnavailable means that the operation was certainly not applied.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUncertain means that the operation may have been applied, or may be applied later while its conditions hold.
	ErrUncertain = errors.New("store: outcome uncertain")
	// ErrHistoryLost means that the feed can't be continued; the table must be read again.
	ErrHistoryLost = errors.New("store: history no longer available")
)

// Key names a row. Rows of one transaction share a Part.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row of the store. Version rises with each transaction over all rows; 0 means that the row does not exist.
type Row struct {
	Key
	Value   []byte
	Version uint64
}

// Condition is a row's version that a transaction relies on.
type Condition struct {
	Key     Key
	Version uint64
}

// Tx is applied whole or not at all.
type Tx struct {
	Expect []Condition
	Put    []Row
	Delete []Key
}

// Bounds of one transaction.
const (
	MaxTxEntries = 100
	MaxTxBytes   = 1 << 20
)

// FeedBatchSize is how many changes an answer of the feed holds at most, beside the rest of the last change's transaction.
const FeedBatchSize = 500

// Change is a row that was written or removed.
type Change struct {
	Row
	Removed bool
}

// Store is a linearizable store.
type Store interface {
	// Apply executes tx and returns its version. On ErrConflict it returns the rows named in Expect as they are.
	// Errors: ErrConflict, ErrUnavailable, ErrUncertain.
	Apply(ctx context.Context, tx Tx) (version uint64, current []Row, err error)
	// Range returns rows of a table's part with from <= name < to (empty: no bound) in order as of one version, as many as
	// one call answers. next is the bound from which to go on, empty at the end. Errors: ErrUnavailable.
	Range(ctx context.Context, table, part, from, to string) (rows []Row, next string, version uint64, err error)
	// Feed returns the changes of a table after a version, as soon as there is one and after wait at the latest,
	// and the version to continue from. Of many changes it returns the first: at least FeedRows, or MaxTxBytes of them.
	// Errors: ErrUnavailable, ErrHistoryLost.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
