package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// queryTimeout bounds one query of the cell's state.
const queryTimeout = 10 * time.Second

// queryRetryAfter is the Retry-After of a query that could not be answered.
const queryRetryAfter = time.Second

// Bounds of the number of versions that a history answer lists.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1_000
)

// healthz answers that the process is running.
func (h *handler) healthz(w http.ResponseWriter, _ *http.Request) {
	h.writeBody(w, http.StatusOK, "text/plain", []byte("live\n"))
}

// readyz tells the balancer whether to send callers to this daemon.
func (h *handler) readyz(w http.ResponseWriter, _ *http.Request) {
	ok, reason := h.queries.Ready()
	if !ok {
		h.writeBody(w, http.StatusServiceUnavailable, "text/plain", []byte(reason.String()+"\n"))
		return
	}
	h.writeBody(w, http.StatusOK, "text/plain", []byte("ready\n"))
}

// job answers with a job's status: at once, or with ?watch=wait when the job has settled or the timeout has passed.
func (h *handler) job(w http.ResponseWriter, r *http.Request) {
	id, reqErr := pathID(r, validID, idSyntax)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	var p problems
	watch := r.URL.Query().Get("watch")
	p.require(watch == "" || watch == "wait", "watch", "%q is not \"wait\"", watch)
	timeout := h.readTimeout(r, &p)
	if len(p) > 0 {
		h.writeError(w, r, badRequest(p))
		return
	}
	if watch == "" {
		timeout = 0
	}
	status, found, err := h.watchJob(r.Context(), cell.JobID(id), timeout)
	h.writeQueryResult(w, r, status, found, err)
}

// watchJob polls the job's status and returns it once the job has settled or timeout has passed.
func (h *handler) watchJob(ctx context.Context, id cell.JobID, timeout time.Duration) (JobStatus, bool, error) {
	deadline := time.Now().Add(timeout)
	for {
		status, found, err := h.queryJob(ctx, id)
		if err != nil || !found || status.Settled() {
			return status, found, err
		}
		if time.Until(deadline) < h.opts.WatchInterval || !sleep(ctx, h.opts.WatchInterval) {
			return status, found, nil
		}
	}
}

func (h *handler) queryJob(ctx context.Context, id cell.JobID) (JobStatus, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return h.queries.Job(ctx, id)
}

// sleep waits for d. It returns false early if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// explain answers with the reasons why a task is in its state.
func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	id, reqErr := pathID(r, validTaskID, taskSyntax)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	explanation, found, err := h.queries.Explain(ctx, cell.TaskID(id))
	h.writeQueryResult(w, r, explanation, found, err)
}

// config answers with the configuration in force.
func (h *handler) config(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	current, err := h.queries.Config(ctx)
	h.writeQueryResult(w, r, current, true, err)
}

// history answers with the latest versions of the configuration, newest first.
func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	var p problems
	limit := readCountParam(r, "limit", defaultHistoryLimit, maxHistoryLimit, &p)
	if len(p) > 0 {
		h.writeError(w, r, badRequest(p))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	versions, err := h.queries.History(ctx, limit)
	h.writeQueryResult(w, r, api.VersionList{Versions: versions}, true, err)
}

// dryRunPatch answers with the result of a patch's dry run.
func (h *handler) dryRunPatch(w http.ResponseWriter, r *http.Request) {
	patch, reqErr := h.readPatch(w, r)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	h.writePatch(w, patch, h.queries.DryRunPatch(ctx, patch))
}

func (h *handler) shards(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	shards, err := h.queries.Shards(ctx)
	h.writeQueryResult(w, r, api.ShardList{Shards: shards}, true, err)
}

func (h *handler) workers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	workers, err := h.queries.Workers(ctx)
	h.writeQueryResult(w, r, api.WorkerList{Workers: workers}, true, err)
}

func (h *handler) teams(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	teams, err := h.queries.Teams(ctx)
	h.writeQueryResult(w, r, api.TeamList{Teams: teams}, true, err)
}

func (h *handler) members(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	members, err := h.queries.Members(ctx)
	h.writeQueryResult(w, r, api.MemberList{Members: members}, true, err)
}

// writeQueryResult writes a query's result v, or the error if the query failed or found nothing.
func (h *handler) writeQueryResult(w http.ResponseWriter, r *http.Request, v any, found bool, err error) {
	switch {
	case err != nil:
		h.writeError(w, r, requestError{status: http.StatusServiceUnavailable, reason: queryFailureReason(err), retryAfter: queryRetryAfter})
	case !found:
		h.writeError(w, r, requestError{status: http.StatusNotFound, reason: invalid(fmt.Sprintf("%s does not exist", r.URL.Path))})
	default:
		h.writeJSON(w, http.StatusOK, v)
	}
}

// queryFailureReason returns the reason for a query that failed with err.
func queryFailureReason(err error) cell.Reason {
	if errors.Is(err, platformapi.ErrUnavailable) {
		return cell.Reason{Code: cell.ReasonStoreUnavailable, Detail: err.Error()}
	}
	return cell.Reason{Code: cell.ReasonNoOwner, Detail: err.Error()}
}
