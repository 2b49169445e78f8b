package httpserver

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/standin"
)

// ControlHandler returns the HTTP interface for lists of workers, the history, faults and actions.
func (h *Host) ControlHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/control/workers", h.listWorkers)
	r.Get("/control/history", h.history)
	r.Put("/control/faults", h.setAllFaults)
	r.Put("/control/workers/{id}/faults", h.setFaults)
	r.Post("/control/workers/{id}/{action}", h.applyAction)
	return r
}

func (h *Host) listWorkers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, httpplatform.WorkerList{Workers: h.Workers()})
}

func (h *Host) history(w http.ResponseWriter, r *http.Request) {
	writeHistory(w, r, h.fleet.History())
}

func (h *Host) setAllFaults(w http.ResponseWriter, r *http.Request) {
	var f standin.WorkerFaults
	if !readJSON(w, r, &f) {
		return
	}
	for _, worker := range h.Workers() {
		if err := h.SetFaults(worker.ID, f); err != nil {
			writeError(w, http.StatusInternalServerError, httpplatform.CodeInvalid, err.Error())
			return
		}
	}
	writeJSON(w, http.StatusOK, f)
}

func (h *Host) setFaults(w http.ResponseWriter, r *http.Request) {
	var f standin.WorkerFaults
	if !readJSON(w, r, &f) {
		return
	}
	writeActionResult(w, h.SetFaults(cell.WorkerID(chi.URLParam(r, "id")), f))
}

func (h *Host) applyAction(w http.ResponseWriter, r *http.Request) {
	writeActionResult(w, h.ApplyAction(cell.WorkerID(chi.URLParam(r, "id")), Action(chi.URLParam(r, "action"))))
}

func writeActionResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, http.StatusBadRequest, httpplatform.CodeInvalid, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
