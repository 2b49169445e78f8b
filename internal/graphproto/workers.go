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

// Paths of a worker.
const (
	pathStart = "/v1/runs/start"
	pathStop  = "/v1/runs/stop"
	pathHold  = "/v1/hold"
)

// Names of a worker's refusals on the wire.
const (
	refusedSuperseded = "superseded"
	refusedOtherLife  = "other_life"
)

var refusals = map[string]error{refusedSuperseded: owner.ErrSuperseded, refusedOtherLife: owner.ErrOtherIncarnation}

// Worker carries out orders. Errors of each method: owner.ErrSuperseded; nothing was done then.
type Worker interface {
	// Incarnation names this life of the worker; orders to another are refused.
	Incarnation() dispatch.WorkerID
	// Clock is the worker's steady clock, on which leases are measured.
	Clock() time.Duration
	Start(call owner.StartCall) (dispatch.StartOutcome, error)
	// Stop ends a run; one that is not there will never start.
	Stop(key dispatch.RunKey, epoch uint64) error
	// Hold extends the lease, forgets what is recorded and returns the report, after an end or the call's wait.
	Hold(ctx context.Context, call owner.HoldCall) (dispatch.Report, error)
}

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

// WorkerHandler serves a worker.
func WorkerHandler(w Worker) http.Handler {
	refusal := func(life dispatch.WorkerID, err error) string {
		switch {
		case life != w.Incarnation():
			return refusedOtherLife
		case errors.Is(err, owner.ErrSuperseded):
			return refusedSuperseded
		}
		return ""
	}
	r := chi.NewRouter()
	r.Post(pathStart, serve(func(_ context.Context, b startBody) workerAnswer {
		if b.Life != w.Incarnation() {
			return workerAnswer{Refused: refusedOtherLife}
		}
		outcome, err := w.Start(b.Call)
		return workerAnswer{Refused: refusal(b.Life, err), Clock: w.Clock(), Outcome: outcome}
	}))
	r.Post(pathStop, serve(func(_ context.Context, b stopBody) workerAnswer {
		if b.Life != w.Incarnation() {
			return workerAnswer{Refused: refusedOtherLife}
		}
		return workerAnswer{Refused: refusal(b.Life, w.Stop(b.Run, b.Epoch)), Clock: w.Clock()}
	}))
	r.Post(pathHold, serve(func(ctx context.Context, b holdBody) workerAnswer {
		if b.Life != w.Incarnation() {
			return workerAnswer{Refused: refusedOtherLife}
		}
		report, err := w.Hold(ctx, b.Call)
		return workerAnswer{Refused: refusal(b.Life, err), Clock: w.Clock(), Report: &report}
	}))
	return r
}

// WorkerClient calls workers that are served elsewhere.
type WorkerClient struct{ Client *Client }

var _ owner.WorkerClient = (*WorkerClient)(nil)

// Start implements owner.Runners.
func (r *WorkerClient) Start(ctx context.Context, w dispatch.Worker, call owner.StartCall) (dispatch.StartOutcome, error) {
	answer, err := r.call(ctx, w, pathStart, startBody{w.ID, call})
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

// Stop implements owner.Runners.
func (r *WorkerClient) Stop(ctx context.Context, w dispatch.Worker, key dispatch.RunKey, epoch uint64) error {
	_, err := r.call(ctx, w, pathStop, stopBody{w.ID, key, epoch})
	return err
}

// Hold implements owner.Runners.
func (r *WorkerClient) Hold(ctx context.Context, w dispatch.Worker, call owner.HoldCall) (dispatch.Report, time.Duration, error) {
	answer, err := r.call(ctx, w, pathHold, holdBody{w.ID, call})
	if err != nil {
		return dispatch.Report{}, 0, err
	}
	if answer.Report == nil {
		return dispatch.Report{}, 0, fmt.Errorf("%w: no report", owner.ErrNoAnswer)
	}
	return *answer.Report, answer.Clock, nil
}

func (r *WorkerClient) call(ctx context.Context, w dispatch.Worker, path string, body any) (answer workerAnswer, err error) {
	if err := r.Client.call(ctx, w.Address, path, body, &answer); err != nil {
		return workerAnswer{}, fmt.Errorf("%w: %w", owner.ErrNoAnswer, err)
	}
	return answer, refusals[answer.Refused]
}
