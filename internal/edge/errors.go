package edge

import (
	"net/http"
	"strings"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// overloadRetryAfter is when a caller that met a full limit is told to come back.
const overloadRetryAfter = time.Second

// requestError is a request that the interface itself refuses. Nothing has changed.
type requestError struct {
	status     int
	reason     cell.Reason
	retryAfter time.Duration
	problems   []api.Problem
}

func overloadError() requestError {
	reason := cell.Reason{Code: cell.ReasonQueueFull, Detail: "this entry VM serves as many requests as it may"}
	return requestError{status: http.StatusTooManyRequests, reason: reason, retryAfter: overloadRetryAfter}
}

// badRequest refuses a request for all its problems.
func badRequest(problems []api.Problem) requestError {
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.Field + ": " + p.Message
	}
	return requestError{status: http.StatusBadRequest, reason: invalid(strings.Join(texts, "; ")), problems: problems}
}

// writeError answers a request that the interface itself refuses.
func (h *handler) writeError(w http.ResponseWriter, r *http.Request, reqErr requestError) {
	h.metrics.countRefusal(reqErr.reason.Code)
	h.writeAnswer(w, r, reqErr.status, api.Answer{
		ID:           h.requestID(r),
		Result:       cell.ResultNotRun,
		Reason:       reqErr.reason,
		RetryAfterMS: reqErr.retryAfter.Milliseconds(),
		Problems:     reqErr.problems,
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
