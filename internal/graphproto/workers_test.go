package graphproto

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/owner"
)

// recordingWorker notes the calls that it is passed.
type recordingWorker struct{ calls []string }

// presentProcess is the start of a recordingWorker's process.
const presentProcess = 2 * time.Minute

func (w *recordingWorker) Incarnation() dispatch.WorkerID { return "w" }
func (w *recordingWorker) ProcessStart() time.Duration    { return presentProcess }
func (w *recordingWorker) Clock() time.Duration           { return time.Second }

func (w *recordingWorker) Start(owner.StartCall) (dispatch.StartOutcome, error) {
	w.calls = append(w.calls, "start")
	return dispatch.Started, nil
}

func (w *recordingWorker) Stop(dispatch.RunKey, uint64) error {
	w.calls = append(w.calls, "stop")
	return nil
}

func (w *recordingWorker) Hold(context.Context, owner.HoldCall) (dispatch.Report, error) {
	w.calls = append(w.calls, "hold")
	return dispatch.Report{ProcessStart: presentProcess}, nil
}

// brokenWorker fails to carry out any call.
type brokenWorker struct{ recordingWorker }

var errBroken = errors.New("broken")

func (*brokenWorker) Start(owner.StartCall) (dispatch.StartOutcome, error) {
	return dispatch.StartRefused, errBroken
}
func (*brokenWorker) Stop(dispatch.RunKey, uint64) error { return errBroken }
func (*brokenWorker) Hold(context.Context, owner.HoldCall) (dispatch.Report, error) {
	return dispatch.Report{}, errBroken
}

// Guards against a task running in two places: a worker's failure to carry out a call passed for a complete report without runs, and for an
// acknowledged stop; so did a refusal with a name that the client doesn't know.
func TestFailureOfAWorkerIsNoAnswer(t *testing.T) {
	unknown := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Refused":"later_name","Report":{}}`))
	})
	cases := map[string]struct {
		handler http.Handler
		start   dispatch.StartOutcome
		err     error
	}{
		"broken worker":   {WorkerHandler(&brokenWorker{}), dispatch.StartInDoubt, owner.ErrNoAnswer},
		"unknown refusal": {unknown, dispatch.StartRefused, errUnknownRefusal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := &WorkerClient{NewClient()}
			called := dispatch.Worker{ID: "w", Address: server.Listener.Addr().String()}
			if outcome, err := client.Start(t.Context(), called, owner.StartCall{}); outcome != c.start || !errors.Is(err, c.err) {
				t.Errorf("start: outcome %s, error %v, want %s", outcome, err, c.start)
			}
			if err := client.Stop(t.Context(), called, dispatch.RunKey{}, 1); !errors.Is(err, c.err) {
				t.Errorf("stop: error %v, want %v", err, c.err)
			}
			if report, _, err := client.Hold(t.Context(), called, owner.HoldCall{}); !errors.Is(err, c.err) {
				t.Errorf("hold: report %+v, error %v, want %v", report, err, c.err)
			}
		})
	}
}

// Guards against calls that outlive the process that they are for being carried out by the worker's next process: it refuses them before they
// reach its epoch, its lease, its ends or its runs. A call that names no process, as an older daemon's, is for any.
func TestCallsForAnotherProcessDoNothing(t *testing.T) {
	all := []string{"start", "stop", "hold"}
	cases := map[string]struct {
		id      dispatch.WorkerID
		process time.Duration
		err     error
		calls   []string
	}{
		"the present process": {"w", presentProcess, nil, all},
		"any process":         {"w", 0, nil, all},
		"an earlier process":  {"w", presentProcess - time.Minute, owner.ErrOtherProcess, nil},
		"a later process":     {"w", presentProcess + time.Minute, owner.ErrOtherProcess, nil},
		"another incarnation": {"v", presentProcess, owner.ErrOtherIncarnation, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			worker := &recordingWorker{}
			server := httptest.NewServer(WorkerHandler(worker))
			defer server.Close()
			client := &WorkerClient{NewClient()}
			called := dispatch.Worker{ID: c.id, Address: server.Listener.Addr().String(), ProcessStart: c.process}
			outcome, err := client.Start(t.Context(), called, owner.StartCall{})
			if !errors.Is(err, c.err) || (outcome == dispatch.Started) != (c.err == nil) {
				t.Errorf("start: outcome %s, error %v, want error %v", outcome, err, c.err)
			}
			if err := client.Stop(t.Context(), called, dispatch.RunKey{}, 1); !errors.Is(err, c.err) {
				t.Errorf("stop: error %v, want %v", err, c.err)
			}
			if _, _, err := client.Hold(t.Context(), called, owner.HoldCall{}); !errors.Is(err, c.err) {
				t.Errorf("hold: error %v, want %v", err, c.err)
			}
			if !slices.Equal(worker.calls, c.calls) {
				t.Errorf("the worker was passed %v, want %v", worker.calls, c.calls)
			}
		})
	}
}
