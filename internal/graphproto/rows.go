package graphproto

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/rowstore"
)

// Paths of the row store.
const (
	pathRowsApply = "/v1/rows/apply"
	pathRowsRange = "/v1/rows/range"
	pathRowsFeed  = "/v1/rows/feed"
)

// Names of the row store's errors in answers.
const (
	errorConflict    = "conflict"
	errorUnavailable = "unavailable"
	errorRejected    = "rejected"
	errorUncertain   = "uncertain"
	errorHistoryLost = "history_lost"
)

var rowErrors = map[string]error{
	errorConflict:    rowstore.ErrConflict,
	errorUnavailable: rowstore.ErrUnavailable,
	errorRejected:    rowstore.ErrRejected,
	errorUncertain:   rowstore.ErrUncertain,
	errorHistoryLost: rowstore.ErrHistoryLost,
}

type rangeBody struct{ Table, Part, From, To string }

type feedBody struct {
	Table string
	After uint64
	Wait  time.Duration
}

type rowsAnswer struct {
	Error   string `json:",omitempty"`
	Version uint64
	Rows    []rowstore.Row    `json:",omitempty"`
	Next    string            `json:",omitempty"`
	Changes []rowstore.Change `json:",omitempty"`
}

// errorName returns the name of a store's error in answers; "" if err is nil. An unknown error may have come after the
// transaction took effect and therefore counts as uncertain.
func errorName(err error) string {
	if errors.Is(err, rowstore.ErrRejected) {
		return errorRejected // it is an ErrUnavailable as well
	}
	for name, known := range rowErrors {
		if errors.Is(err, known) {
			return name
		}
	}
	if err != nil {
		return errorUncertain
	}
	return ""
}

// StoreHandler returns the handler that gives clients access to store.
func StoreHandler(store rowstore.Store) http.Handler {
	r := chi.NewRouter()
	r.Post(pathRowsApply, jsonHandler(func(ctx context.Context, tx rowstore.Tx) rowsAnswer {
		version, current, err := store.Apply(ctx, tx)
		return rowsAnswer{Error: errorName(err), Version: version, Rows: current}
	}))
	r.Post(pathRowsRange, jsonHandler(func(ctx context.Context, b rangeBody) rowsAnswer {
		rows, next, version, err := store.Range(ctx, b.Table, b.Part, b.From, b.To)
		return rowsAnswer{Error: errorName(err), Version: version, Rows: rows, Next: next}
	}))
	r.Post(pathRowsFeed, jsonHandler(func(ctx context.Context, b feedBody) rowsAnswer {
		changes, version, err := store.Feed(ctx, b.Table, b.After, b.Wait)
		return rowsAnswer{Error: errorName(err), Version: version, Changes: changes}
	}))
	return r
}

// StoreClient accesses a row store that a StoreHandler serves.
type StoreClient struct {
	// Addr is the address of the store.
	Addr   string
	Client *Client
}

var _ rowstore.Store = (*StoreClient)(nil)

// Apply implements rowstore.Store.
func (s *StoreClient) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	var answer rowsAnswer
	err := s.Client.call(ctx, s.Addr, pathRowsApply, tx, &answer)
	switch {
	case errors.Is(err, errNotSent):
		return 0, nil, fmt.Errorf("%w: %w", rowstore.ErrUnavailable, err)
	case err != nil:
		return 0, nil, fmt.Errorf("%w: %w", rowstore.ErrUncertain, err)
	}
	return answer.Version, answer.Rows, rowErrors[answer.Error]
}

// Range implements rowstore.Store.
func (s *StoreClient) Range(ctx context.Context, table, part, from, to string) ([]rowstore.Row, string, uint64, error) {
	answer, err := s.read(ctx, pathRowsRange, rangeBody{table, part, from, to})
	return answer.Rows, answer.Next, answer.Version, err
}

// Feed implements rowstore.Store.
func (s *StoreClient) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Change, uint64, error) {
	answer, err := s.read(ctx, pathRowsFeed, feedBody{table, after, wait})
	return answer.Changes, answer.Version, err
}

func (s *StoreClient) read(ctx context.Context, path string, body any) (answer rowsAnswer, err error) {
	if err := s.Client.call(ctx, s.Addr, path, body, &answer); err != nil {
		return rowsAnswer{}, fmt.Errorf("%w: %w", rowstore.ErrUnavailable, err)
	}
	return answer, rowErrors[answer.Error]
}
