package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// maxDrainTries bounds how often a drain is submitted: it is submitted again against the newer version when another
// patch was applied first.
const maxDrainTries = 8

// drainRetryAfter is the Retry-After of a drain for which another patch was applied first in every try.
const drainRetryAfter = time.Second

// drain keeps new work off a worker.
func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	h.setDrained(w, r, true)
}

// undrain lets a worker get new work again.
func (h *handler) undrain(w http.ResponseWriter, r *http.Request) {
	h.setDrained(w, r, false)
}

func (h *handler) setDrained(w http.ResponseWriter, r *http.Request, drained bool) {
	id, reqErr := pathID(r, validID, idSyntax)
	if reqErr != nil {
		h.writeError(w, r, *reqErr)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	worker := cell.WorkerID(id)
	if drained && h.isUnknownWorker(ctx, worker) {
		h.writeError(w, r, requestError{status: http.StatusNotFound, reason: invalid(fmt.Sprintf("worker %q does not exist", worker))})
		return
	}
	patch, result := h.patchDrained(ctx, worker, drained)
	h.logPatch(r, patch, result)
	h.writePatch(w, patch, result)
}

// isUnknownWorker reports whether the list of workers is available and doesn't contain worker.
func (h *handler) isUnknownWorker(ctx context.Context, worker cell.WorkerID) bool {
	workers, err := h.queries.Workers(ctx)
	if err != nil {
		return false
	}
	for _, w := range workers {
		if w.Worker.ID == worker {
			return false
		}
	}
	return true
}

// patchDrained submits the drain against the version in force. It repeats that, up to maxDrainTries times, while
// another patch is applied first.
func (h *handler) patchDrained(ctx context.Context, worker cell.WorkerID, drained bool) (Patch, PatchResult) {
	id := h.opts.NewID()
	var patch Patch
	var result PatchResult
	for try := range maxDrainTries {
		current, err := h.queries.Config(ctx)
		if err != nil {
			return patch, PatchResult{Reason: queryFailureReason(err), RetryAfter: queryRetryAfter}
		}
		if current.Document.Drained[worker] == drained {
			return patch, PatchResult{Accepted: true, Version: current.Version}
		}
		patch = Patch{
			ID:    fmt.Sprintf("%s-%d", id, try),
			Base:  max(current.Version, result.Version),
			Merge: drainMergePatch(worker, drained),
		}
		result = h.commands.Patch(ctx, patch)
		if !hasStaleBase(result) {
			return patch, result
		}
	}
	result.RetryAfter = drainRetryAfter
	return patch, result
}

// drainMergePatch returns the JSON merge patch that adds worker to the drained workers or removes it.
func drainMergePatch(worker cell.WorkerID, drained bool) []byte {
	var value any
	if drained {
		value = true
	}
	data, err := json.Marshal(map[string]any{"drained": map[cell.WorkerID]any{worker: value}})
	if err != nil {
		panic(fmt.Sprintf("edge: drain patch not encoded: %v", err))
	}
	return api.RawObject(data)
}
