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

// maxDrainTries bounds how often a drain is submitted against a newer version after losing to another patch.
const maxDrainTries = 8

// drainRetryAfter is when an operator whose drain lost every race is told to come back.
const drainRetryAfter = time.Second

// drain stops new work on a worker.
func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	h.setDrained(w, r, true)
}

// undrain lets a worker take new work again.
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
		h.writeError(w, r, requestError{status: http.StatusNotFound, reason: invalid(fmt.Sprintf("no worker %q", worker))})
		return
	}
	patch, result := h.patchDrained(ctx, worker, drained)
	h.logPatch(r, patch, result)
	h.writePatch(w, patch, result)
}

// isUnknownWorker reports whether the workers' list can be had and does not name worker.
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

// patchDrained submits the patch against the version in force until it no longer loses to another one.
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

func drainMergePatch(worker cell.WorkerID, drained bool) []byte {
	var value any
	if drained {
		value = true
	}
	data, err := json.Marshal(map[string]any{"drained": map[cell.WorkerID]any{worker: value}})
	if err != nil {
		panic(fmt.Sprintf("edge: a drain always encodes: %v", err))
	}
	return api.RawObject(data)
}
