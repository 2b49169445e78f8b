package graphproto

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/owner"
)

// Paths of a worker's interface.
const (
	pathStartRun = "/v1/runs/start"
	pathStopRun  = "/v1/runs/stop"
	pathHold     = "/v1/hold"
)

// Names of a worker's refusals in answers.
const (
	refusedSuperseded       = "superseded"
	refusedOtherIncarnation = "other_life"
)

var refusalErrors = map[string]error{refusedSuperseded: owner.ErrSuperseded, refusedOtherIncarnation: owner.ErrOtherIncarnation}

// Worker executes the orders of the cell's owner. A method that returns owner.ErrSuperseded has done nothing.
type Worker interface {
	// Incarnation is the id of this incarnation of the worker. Orders to any other incarnation are refused.
	Incarnation() dispatch.WorkerID
	// Clock is the reading of the worker's monotonic clock, on which leases are measured.
	Clock() time.Duration
	// Start starts a run.
	Start(call owner.StartCall) (dispatch.StartOutcome, error)
	// Stop ends a run. A run that the worker does not have is never started later.
	Stop(key dispatch.RunKey, epoch uint64) error
	// Hold extends the lease, forgets the ends of runs that are recorded in the ledger and returns the report, once a run
	// has ended or the call's wait is over.
	Hold(ctx context.Context, call owner.HoldCall) (dispatch.Report, error)
}

// The bodies of calls to a worker. Life is the incarnation of the worker that the call is for.

type startBody struct {
	Life dispatch.WorkerID
	Call owner.StartCall
}

type stopBody struct {
	Life  dispatch.WorkerID
	Run   dispatch.RunKey
	Epoch uint64
}

type holdBody struct {
	Life dispatch.WorkerID
	Call owner.HoldCall
}

type workerAnswer struct {
	Refused string `json:",omitempty"`
	Clock   time.Duration
	Outcome dispatch.StartOutcome `json:",omitempty"`
	Report  *dispatch.Report      `json:",omitempty"`
}

// WorkerHandler returns the handler that passes orders to w.
func WorkerHandler(w Worker) http.Handler {
	refusalName := func(incarnation dispatch.WorkerID, err error) string {
		switch {
		case incarnation != w.Incarnation():
			return refusedOtherIncarnation
		case errors.Is(err, owner.ErrSuperseded):
			return refusedSuperseded
		}
		return ""
	}
	r := chi.NewRouter()
	r.Post(pathStartRun, jsonHandler(func(_ context.Context, b startBody) workerAnswer {
		if b.Life != w.Incarnation() {
			return workerAnswer{Refused: refusedOtherIncarnation}
		}
		outcome, err := w.Start(b.Call)
		return workerAnswer{Refused: refusalName(b.Life, err), Clock: w.Clock(), Outcome: outcome}
	}))
	r.Post(pathStopRun, jsonHandler(func(_ context.Context, b stopBody) workerAnswer {
		if b.Life != w.Incarnation() {
			return workerAnswer{Refused: refusedOtherIncarnation}
		}
		return workerAnswer{Refused: refusalName(b.Life, w.Stop(b.Run, b.Epoch)), Clock: w.Clock()}
	}))
	r.Post(pathHold, jsonHandler(func(ctx context.Context, b holdBody) workerAnswer {
		if b.Life != w.Incarnation() {
			return workerAnswer{Refused: refusedOtherIncarnation}
		}
		report, err := w.Hold(ctx, b.Call)
		return workerAnswer{Refused: refusalName(b.Life, err), Clock: w.Clock(), Report: &report}
	}))
	return r
}

// WorkerClient calls workers that a WorkerHandler serves.
type WorkerClient struct{ Client *Client }

var _ owner.WorkerClient = (*WorkerClient)(nil)

// Start implements owner.WorkerClient.
func (r *WorkerClient) Start(ctx context.Context, w dispatch.Worker, call owner.StartCall) (dispatch.StartOutcome, error) {
	answer, err := r.call(ctx, w, pathStartRun, startBody{w.ID, call})
	switch {
	case errors.Is(err, errNotSent):
		return dispatch.StartRefused, nil
	case errors.Is(err, owner.ErrNoAnswer):
		return dispatch.StartInDoubt, err
	case err != nil:
		return dispatch.StartRefused, err
	}
	return answer.Outcome, nil
}

// Stop implements owner.WorkerClient.
func (r *WorkerClient) Stop(ctx context.Context, w dispatch.Worker, key dispatch.RunKey, epoch uint64) error {
	_, err := r.call(ctx, w, pathStopRun, stopBody{w.ID, key, epoch})
	return err
}

// Hold implements owner.WorkerClient.
func (r *WorkerClient) Hold(ctx context.Context, w dispatch.Worker, call owner.HoldCall) (dispatch.Report, time.Duration, error) {
	answer, err := r.call(ctx, w, pathHold, holdBody{w.ID, call})
	if err != nil {
		return dispatch.Report{}, 0, err
	}
	if answer.Report == nil {
		return dispatch.Report{}, 0, fmt.Errorf("%w: the answer to hold of %s has no report", owner.ErrNoAnswer, w.ID)
	}
	return *answer.Report, answer.Clock, nil
}

func (r *WorkerClient) call(ctx context.Context, w dispatch.Worker, path string, body any) (answer workerAnswer, err error) {
	if err := r.Client.call(ctx, w.Address, path, body, &answer); err != nil {
		return workerAnswer{}, fmt.Errorf("%w: %w", owner.ErrNoAnswer, err)
	}
	return answer, refusalErrors[answer.Refused]
}
