package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// RefusedError means that the cell refused a message or could not answer it.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	Answer api.Answer
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Answer.Reason.String()
}

// BadInput reports whether the message was at fault rather than the cell.
func (e *RefusedError) BadInput() bool {
	return BadInput(e.Status)
}

// BadInput reports whether an HTTP status means that the message was at fault rather than the cell.
func BadInput(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusMethodNotAllowed, http.StatusNotFound:
		return true
	default:
		return false
	}
}

// Outcome is the final answer to a command, over all its tries.
type Outcome struct {
	api.Answer
	// Status is the HTTP status of the last answer; 0 if the last try got none.
	Status int
	// Tries counts how often the message was sent or was tried to be sent.
	Tries int
}

// toOutcome converts the result of sending a command into its outcome. id is the request's id, empty if the cell chose it.
//
// An answer "not run" covers only the last send. If an earlier one is in doubt, so is the request.
func toOutcome(r sendResult, id string) Outcome {
	out := Outcome{Tries: r.tries}
	if r.err != nil {
		out.Answer = noAnswer(r, id)
		return out
	}
	out.Status = r.reply.status
	if err := json.Unmarshal(r.reply.body, &out.Answer); err != nil {
		out.Answer = inDoubtAnswer(id, fmt.Sprintf("decode an answer with status %d: %v", r.reply.status, err))
		return out
	}
	if id != "" && out.ID != id {
		out.Answer = inDoubtAnswer(id, fmt.Sprintf("the answer is for another request, %q", out.ID))
		return out
	}
	if r.earlierInDoubt && out.Result == cell.ResultNotRun {
		out.Result = cell.ResultUnknown
		out.Reason = cell.Reason{Code: cell.ReasonInDoubt, Detail: "an earlier send got no answer; the last one got: " + out.Reason.String()}
	}
	return out
}

func noAnswer(r sendResult, id string) api.Answer {
	if r.err.maybeSent || r.earlierInDoubt {
		return inDoubtAnswer(id, r.err.Error())
	}
	reason := cell.Reason{Code: cell.ReasonNoOwner, Detail: "no server can be reached: " + r.err.Error()}
	return api.Answer{ID: id, Result: cell.ResultNotRun, Reason: reason}
}

func inDoubtAnswer(id, detail string) api.Answer {
	return api.Answer{ID: id, Result: cell.ResultUnknown, Reason: cell.Reason{Code: cell.ReasonInDoubt, Detail: detail}}
}

// decodeReply decodes a successful answer into v. It returns a RefusedError for any other answer.
func decodeReply(r sendResult, v any) error {
	if r.err != nil {
		return r.err
	}
	if r.reply.status == http.StatusOK {
		return json.Unmarshal(r.reply.body, v)
	}
	refused := &RefusedError{Status: r.reply.status}
	if err := json.Unmarshal(r.reply.body, &refused.Answer); err != nil {
		return fmt.Errorf("decode an answer with status %d: %w", r.reply.status, err)
	}
	return refused
}

// retryAfter returns the delay after which the server asks for another call; 0 if it asks for none. The body gives it in
// milliseconds, the header only in seconds.
func retryAfter(h http.Header, body []byte) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0
	}
	var precise struct {
		RetryAfterMS int64 `json:"retry_after_ms"`
	}
	if json.Unmarshal(body, &precise) == nil && precise.RetryAfterMS > 0 {
		return time.Duration(precise.RetryAfterMS) * time.Millisecond
	}
	return time.Duration(seconds) * time.Second
}
