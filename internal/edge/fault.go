package edge

import (
	"net/http"
	"strings"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// overloadRetry is when a caller that met a full limit is told to come back.
const overloadRetry = time.Second

// fault is a request that the interface itself refuses. Nothing has changed.
type fault struct {
	status     int
	reason     cell.Reason
	retryAfter time.Duration
	problems   []api.Problem
}

func overloaded() fault {
	reason := cell.Reason{Code: cell.ReasonQueueFull, Detail: "this entry VM serves as many requests as it may"}
	return fault{status: http.StatusTooManyRequests, reason: reason, retryAfter: overloadRetry}
}

// badRequest refuses a request for all its problems.
func badRequest(problems []api.Problem) fault {
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.Field + ": " + p.Message
	}
	return fault{status: http.StatusBadRequest, reason: invalid(strings.Join(texts, "; ")), problems: problems}
}

// refuse answers a request that the interface itself refuses.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, f fault) {
	h.metrics.refused(f.reason.Code)
	h.writeAnswer(w, r, f.status, api.Answer{
		ID:           h.requestID(r),
		Result:       cell.ResultNotRun,
		Reason:       f.reason,
		RetryAfterMS: f.retryAfter.Milliseconds(),
		Problems:     f.problems,
	})
}

// requestID returns the caller's own id of the request if it is well formed, and a new one otherwise.
func (h *handler) requestID(r *http.Request) string {
	id := r.Header.Get(api.HeaderRequestID)
	if validID(id) {
		return id
	}
	return h.opts.NewID()
}
