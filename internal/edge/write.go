package edge

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// writeAnswer writes a as JSON. If the caller accepts raw answers, it writes the task's answer as the body and the
// other fields as headers.
func (h *handler) writeAnswer(w http.ResponseWriter, r *http.Request, status int, a api.Answer) {
	setRetryAfter(w, a.RetryAfter())
	if acceptsRaw(r) {
		setAnswerHeaders(w.Header(), a)
		h.writeBody(w, status, api.TypeRaw, a.Answer)
		return
	}
	h.writeJSON(w, status, a)
}

func (h *handler) writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("edge: response body not encoded: %v", err))
	}
	h.writeBody(w, status, api.TypeJSON, append(body, '\n'))
}

// writeBody writes the body with its Content-Length, so that the caller can detect a truncated one.
func (h *handler) writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	deadline := time.Now().Add(h.opts.WriteTimeout)
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // fails only for the recorder of a test
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails if the caller has disconnected; otherwise the caller sees a truncated body
}

func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := math.Ceil(after.Seconds())
	w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
}

func setAnswerHeaders(header http.Header, a api.Answer) {
	header.Set(api.HeaderRequestID, a.ID)
	header.Set(api.HeaderTask, string(a.Task))
	header.Set(api.HeaderResult, string(a.Result))
	header.Set(api.HeaderReasonCode, string(a.Reason.Code))
	header.Set(api.HeaderReasonDetail, a.Reason.Detail)
	header.Set(api.HeaderRetryAfterMS, strconv.FormatInt(a.RetryAfterMS, 10))
	header.Set(api.HeaderAttempt, fmt.Sprintf("%s/%d/%d", a.Attempt.Task, a.Attempt.Epoch, a.Attempt.Number))
	header.Set(api.HeaderWorker, string(a.Worker))
	header.Set(api.HeaderWaitedMS, strconv.FormatFloat(a.WaitedMS, 'f', -1, 64))
}

func acceptsRaw(r *http.Request) bool {
	for _, part := range strings.Split(r.Header.Get("Accept"), ",") {
		mediaType, _, _ := strings.Cut(part, ";")
		if strings.TrimSpace(mediaType) == api.TypeRaw {
			return true
		}
	}
	return false
}

// outcomeStatus returns the HTTP status for an outcome.
func outcomeStatus(o cell.Outcome) int {
	switch o.Result {
	case cell.ResultCompleted, cell.ResultFailed:
		return http.StatusOK
	case cell.ResultNotRun:
		return notRunStatus(o.Reason.Code)
	default:
		return http.StatusGatewayTimeout
	}
}

func notRunStatus(code cell.ReasonCode) int {
	switch code {
	case cell.ReasonQueueFull, cell.ReasonQuota:
		return http.StatusTooManyRequests
	case cell.ReasonFitsNowhere, cell.ReasonInvalid:
		return http.StatusUnprocessableEntity
	case cell.ReasonDuplicateKey:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// newAnswer returns the answer body for outcome o. id is the id of the request or job.
func newAnswer(id string, task cell.TaskID, o cell.Outcome) api.Answer {
	return api.Answer{
		ID:           id,
		Task:         task,
		Result:       o.Result,
		Reason:       o.Reason,
		RetryAfterMS: o.RetryAfter.Milliseconds(),
		Attempt:      o.Attempt,
		Worker:       o.Worker,
		WaitedMS:     float64(o.Waited.Microseconds()) / 1000,
		Answer:       o.Answer,
	}
}
