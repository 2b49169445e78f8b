// Package rowstore defines the interface of a transactional store of rows with a change feed, and what its users share: a
// follower of a table, a wrapper that monitors the store, and a store in memory.
package rowstore

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"time"
)

// Errors of a store.
var (
	// ErrConflict means that a condition of the transaction did not hold; nothing was written.
	ErrConflict = errors.New("store: condition failed")
	// ErrUnavailable means that the operation was certainly not applied.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRejected is an ErrUnavailable that lasts: the store never applies the transaction as it is, for example since a row is too large.
	ErrRejected = fmt.Errorf("%w: transaction rejected", ErrUnavailable)
	// ErrNoConnection is an ErrUnavailable that says nothing about the store: the call's time was over before it had a connection.
	ErrNoConnection = fmt.Errorf("%w: no free connection", ErrUnavailable)
	// ErrUncertain means that the operation may have been applied, or may be applied later while its conditions hold.
	ErrUncertain = errors.New("store: outcome uncertain")
	// ErrHistoryLost means that the feed can't be continued; the table must be read again.
	ErrHistoryLost = errors.New("store: history no longer available")
)

// Key identifies a row. Part is the partition of the table; all rows of one transaction have the same Part.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row of the store. Version is the version of the transaction that wrote it; each transaction has a higher version
// than any before it, over all rows. Version 0 means that the row does not exist.
type Row struct {
	Key
	Value   []byte
	Version uint64
}

// Condition requires that a row has the given version (0: does not exist) when a transaction is applied.
type Condition struct {
	Key     Key
	Version uint64
}

// Tx is a transaction: if all conditions of Expect hold, the rows of Put are written and those of Delete removed, and
// otherwise nothing is changed.
type Tx struct {
	Expect []Condition
	Put    []Row
	Delete []Key
}

// Limits of one transaction. MaxTxBytes bounds it as it is sent; MaxRowBytes is the usual bound on the value of a row, MinRowBytes the
// least that jobs' records need.
const (
	MaxTxEntries = 100
	MaxTxBytes   = 1 << 20
	MaxRowBytes  = 64 << 10
	MinRowBytes  = 16 << 10
)

// rowOverheadBytes is about what a row takes in a transaction beside its value.
const rowOverheadBytes = 200

// TxBytes returns about how many bytes of a transaction a row takes, whose value is sent as base64.
func (r *Row) TxBytes() int { return rowOverheadBytes + base64.StdEncoding.EncodedLen(len(r.Value)) }

// withinLimits reports whether a store may apply the transaction.
func (tx *Tx) withinLimits() bool {
	size := 0
	for i := range tx.Put {
		if len(tx.Put[i].Value) > MaxRowBytes {
			return false
		}
		size += tx.Put[i].TxBytes()
	}
	return size <= MaxTxBytes && len(tx.Expect)+len(tx.Put)+len(tx.Delete) <= MaxTxEntries
}

// FeedBatchSize is the number of changes after which an answer of the feed ends, once the last change's transaction is
// complete.
const FeedBatchSize = 500

// Change is a row that was written, or removed if Removed is set.
type Change struct {
	Row
	Removed bool
}

// Store is a linearizable store of rows.
type Store interface {
	// Apply executes tx and returns its version. On ErrConflict it returns the current rows of the keys in Expect.
	// Errors: ErrConflict, ErrUnavailable, ErrRejected, ErrUncertain.
	Apply(ctx context.Context, tx Tx) (version uint64, current []Row, err error)
	// Range returns one page of the rows of a table's part with from <= name < to (empty: no bound), in order of their names
	// and as of one version. next is the name from which the next page starts, empty after the last page.
	// Errors: ErrUnavailable.
	Range(ctx context.Context, table, part, from, to string) (rows []Row, next string, version uint64, err error)
	// Feed returns the changes of a table after a version and the version to continue from. It returns as soon as there is a
	// change, and after wait at the latest. If there are many changes, it returns the earliest: at least FeedBatchSize of
	// them, or MaxTxBytes.
	// Errors: ErrUnavailable, ErrHistoryLost.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
