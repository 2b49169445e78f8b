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
	refusedOtherProcess     = "other_process"
)

// errUnknownRefusal means that a worker has refused a call by a name that this daemon doesn't know; the call did nothing.
var errUnknownRefusal = errors.New("the worker refuses the call for another reason")

var refusalErrors = map[string]error{
	refusedSuperseded:       owner.ErrSuperseded,
	refusedOtherIncarnation: owner.ErrOtherIncarnation,
	refusedOtherProcess:     owner.ErrOtherProcess,
}

// Worker executes the orders of the cell's owner. A method that returns owner.ErrSuperseded has done nothing; what
// one has done that returns another error is not known.
type Worker interface {
	// Incarnation is the id of this incarnation of the worker. Orders to any other incarnation are refused.
	Incarnation() dispatch.WorkerID
	// ProcessStart is when this process of the worker started, as in its reports. Orders to any other process are refused: they were meant for
	// one that has ended.
	ProcessStart() time.Duration
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

// recipient is the worker that a call is for, in the call's body.
type recipient struct {
	// Life is the worker's incarnation.
	Life dispatch.WorkerID
	// Process is the start of the worker's process; 0 for any process, as in the calls of older daemons.
	Process time.Duration `json:",omitempty"`
}

func recipientOf(w dispatch.Worker) recipient { return recipient{w.ID, w.ProcessStart} }

// refusal returns the name of the refusal of a call that is not for w; empty for one that is.
func (r recipient) refusal(w Worker) string {
	switch {
	case r.Life != w.Incarnation():
		return refusedOtherIncarnation
	case r.Process != 0 && r.Process != w.ProcessStart():
		return refusedOtherProcess
	}
	return ""
}

// The bodies of calls to a worker.

type startBody struct {
	recipient
	Call owner.StartCall
}

type stopBody struct {
	recipient
	Run   dispatch.RunKey
	Epoch uint64
}

type holdBody struct {
	recipient
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
	r := chi.NewRouter()
	r.Post(pathStartRun, fallibleHandler(func(_ context.Context, b startBody) (workerAnswer, error) {
		if refused := b.refusal(w); refused != "" {
			return workerAnswer{Refused: refused}, nil
		}
		outcome, err := w.Start(b.Call)
		refused, err := refusalName(err)
		return workerAnswer{Refused: refused, Clock: w.Clock(), Outcome: outcome}, err
	}))
	r.Post(pathStopRun, fallibleHandler(func(_ context.Context, b stopBody) (workerAnswer, error) {
		if refused := b.refusal(w); refused != "" {
			return workerAnswer{Refused: refused}, nil
		}
		refused, err := refusalName(w.Stop(b.Run, b.Epoch))
		return workerAnswer{Refused: refused, Clock: w.Clock()}, err
	}))
	r.Post(pathHold, fallibleHandler(func(ctx context.Context, b holdBody) (workerAnswer, error) {
		if refused := b.refusal(w); refused != "" {
			return workerAnswer{Refused: refused}, nil
		}
		report, err := w.Hold(ctx, b.Call)
		refused, err := refusalName(err)
		return workerAnswer{Refused: refused, Clock: w.Clock(), Report: &report}, err
	}))
	return r
}

// refusalName returns the name of a worker's refusal; empty for an order that was carried out. Any other error is returned: what the worker has
// done is not known.
func refusalName(err error) (string, error) {
	if errors.Is(err, owner.ErrSuperseded) {
		return refusedSuperseded, nil
	}
	return "", err
}

// WorkerClient calls workers that a WorkerHandler serves.
type WorkerClient struct{ Client *Client }

var (
	_ owner.WorkerClient = (*WorkerClient)(nil)
	_ owner.ProcessNamer = (*WorkerClient)(nil)
)

// NamesProcess implements owner.ProcessNamer.
func (r *WorkerClient) NamesProcess() {}

// Start implements owner.WorkerClient.
func (r *WorkerClient) Start(ctx context.Context, w dispatch.Worker, call owner.StartCall) (dispatch.StartOutcome, error) {
	answer, err := r.call(ctx, w, pathStartRun, startBody{recipientOf(w), call})
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
	_, err := r.call(ctx, w, pathStopRun, stopBody{recipientOf(w), key, epoch})
	return err
}

// Hold implements owner.WorkerClient.
func (r *WorkerClient) Hold(ctx context.Context, w dispatch.Worker, call owner.HoldCall) (dispatch.Report, time.Duration, error) {
	answer, err := r.call(ctx, w, pathHold, holdBody{recipientOf(w), call})
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
	if answer.Refused == "" {
		return answer, nil
	}
	if refusal, known := refusalErrors[answer.Refused]; known {
		return answer, refusal
	}
	return answer, fmt.Errorf("%w: %q", errUnknownRefusal, answer.Refused)
}
