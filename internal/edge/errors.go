package edge

import (
	"net/http"
	"strings"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/inbound"
)

// overloadRetryAfter is the Retry-After of a request refused because a limit of concurrent requests is reached.
const overloadRetryAfter = time.Second

// requestError describes why the HTTP interface refuses a request. The request has had no effect.
type requestError struct {
	status     int
	reason     cell.Reason
	retryAfter time.Duration
	problems   []api.Problem
}

func overloadError() requestError {
	reason := cell.Reason{Code: cell.ReasonQueueFull, Detail: "this entry VM has reached its limit of concurrent requests"}
	return requestError{status: http.StatusTooManyRequests, reason: reason, retryAfter: overloadRetryAfter}
}

// noRoomError refuses a request that the process has no memory for now.
func noRoomError() *requestError {
	reason := cell.Reason{Code: cell.ReasonQueueFull, Detail: "this entry VM has no room for the request"}
	return &requestError{status: http.StatusServiceUnavailable, reason: reason, retryAfter: inbound.RetryAfter()}
}

// badRequest returns the error of a request that has problems; it lists all of them.
func badRequest(problems []api.Problem) requestError {
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.Field + ": " + p.Message
	}
	return requestError{status: http.StatusBadRequest, reason: invalid(strings.Join(texts, "; ")), problems: problems}
}

// writeError refuses a request with reqErr and counts the refusal.
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

// requestID returns the request id that the caller chose if it is well formed, otherwise a new one.
func (h *handler) requestID(r *http.Request) string {
	id := r.Header.Get(api.HeaderRequestID)
	if validID(id) {
		return id
	}
	return h.opts.NewID()
}
