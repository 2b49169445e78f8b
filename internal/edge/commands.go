package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// outcomeGrace is how long after a request's timeout the handler still waits for the outcome.
const outcomeGrace = 5 * time.Second

// commandTimeout bounds the commands that don't take a timeout from the caller.
const commandTimeout = 30 * time.Second

// run runs a task and answers with its outcome.
func (h *handler) run(w http.ResponseWriter, r *http.Request) {
	req, id, reqErr := h.readRun(w, r)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.Timeout+outcomeGrace)
	defer cancel()
	outcome := h.commands.Run(ctx, req)
	h.metrics.countOutcome(req.Task.Class, outcome)
	h.logOutcome("request", req.Caller, req.Task, outcome)
	h.writeAnswer(w, r, outcomeStatus(outcome), newAnswer(id, req.Task.ID, outcome))
}

// submitJob stores a job durably.
func (h *handler) submitJob(w http.ResponseWriter, r *http.Request) {
	job, reqErr := h.readJob(w, r)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	outcome := h.commands.SubmitJob(ctx, job)
	task := job.Template
	task.Job = job.ID
	h.logOutcome("job", r.Header.Get(api.HeaderCaller), task, outcome)
	h.writeAnswer(w, r, outcomeStatus(outcome), newAnswer(string(job.ID), "", outcome))
}

// cancelJob cancels a job.
func (h *handler) cancelJob(w http.ResponseWriter, r *http.Request) {
	id, reqErr := pathID(r, validID, idSyntax)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	outcome := h.commands.CancelJob(ctx, cell.JobID(id))
	h.logOutcome("cancel job", r.Header.Get(api.HeaderCaller), cell.Task{Job: cell.JobID(id)}, outcome)
	h.writeAnswer(w, r, outcomeStatus(outcome), newAnswer(id, "", outcome))
}

// cancelTasks cancels tasks by id.
func (h *handler) cancelTasks(w http.ResponseWriter, r *http.Request) {
	ids, reqErr := h.readCancel(w, r)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	n, err := h.commands.CancelTasks(ctx, ids)
	outcome := cancelTasksOutcome(err)
	answer := newAnswer(h.requestID(r), "", outcome)
	answer.Cancelled = n
	h.logOutcome("cancel tasks", r.Header.Get(api.HeaderCaller), cell.Task{}, outcome)
	h.writeAnswer(w, r, outcomeStatus(outcome), answer)
}

// cancelRetryAfter is the Retry-After of a cancellation in doubt, which is safe to send again.
const cancelRetryAfter = time.Second

func cancelTasksOutcome(err error) cell.Outcome {
	if err != nil {
		reason := cell.Reason{Code: cell.ReasonInDoubt, Detail: "some of the tasks may not have been cancelled: " + err.Error()}
		return cell.Unknown(reason, cancelRetryAfter)
	}
	return cell.Outcome{Result: cell.ResultCompleted}
}

// patch submits a change of the configuration.
func (h *handler) patch(w http.ResponseWriter, r *http.Request) {
	patch, reqErr := h.readPatch(w, r)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	result := h.commands.Patch(ctx, patch)
	h.logPatch(r, patch, result)
	h.writePatch(w, patch, result)
}

func (h *handler) writePatch(w http.ResponseWriter, patch Patch, result PatchResult) {
	setRetryAfter(w, result.RetryAfter)
	h.writeJSON(w, patchStatus(result), api.PatchAnswer{
		ID:           patch.ID,
		Accepted:     result.Accepted,
		Version:      result.Version,
		Reason:       result.Reason,
		RetryAfterMS: result.RetryAfter.Milliseconds(),
		Document:     result.Document,
	})
}

func patchStatus(result PatchResult) int {
	switch {
	case result.Accepted:
		return http.StatusOK
	case result.Reason.Code == cell.ReasonInDoubt:
		return http.StatusGatewayTimeout
	case hasStaleBase(result):
		return http.StatusConflict
	default:
		return notRunStatus(result.Reason.Code)
	}
}

// hasStaleBase reports whether a patch was refused because its base is not the version in force.
func hasStaleBase(result PatchResult) bool {
	return !result.Accepted && result.Reason.Code == config.ReasonStaleBase
}

// pathID returns the id in the request's path. syntax is the message for an id that is not valid.
func pathID(r *http.Request, valid func(string) bool, syntax string) (string, *requestError) {
	id, err := url.PathUnescape(chi.URLParam(r, "id"))
	if err == nil && valid(id) {
		return id, nil
	}
	reqErr := badRequest([]api.Problem{{Field: "id", Message: syntax}})
	return "", &reqErr
}

// logOutcome logs the final outcome of a command.
func (h *handler) logOutcome(command, caller string, task cell.Task, o cell.Outcome) {
	if h.opts.Log == nil {
		return
	}
	h.opts.Log.Info().
		Str("command", command).
		Str("caller", caller).
		Str("team", task.Team).
		Str("task", string(task.ID)).
		Str("job", string(task.Job)).
		Str("class", string(task.Class)).
		Str("result", string(o.Result)).
		Str("reason", o.Reason.String()).
		Str("worker", string(o.Worker)).
		Int64("waited_us", o.Waited.Microseconds()).
		Msg("outcome")
}

// logPatch logs the result of a patch.
func (h *handler) logPatch(r *http.Request, patch Patch, result PatchResult) {
	if h.opts.Log == nil {
		return
	}
	h.opts.Log.Info().
		Str("command", "patch").
		Str("caller", r.Header.Get(api.HeaderCaller)).
		Str("patch", patch.ID).
		Str("base", fmt.Sprint(patch.Base)).
		Bool("accepted", result.Accepted).
		Str("version", fmt.Sprint(result.Version)).
		Str("reason", result.Reason.String()).
		Msg("outcome")
}
