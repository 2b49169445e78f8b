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

// RefusedError is a query that the cell refused or could not answer.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	Answer api.Answer
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Answer.Reason.String()
}

// BadInput reports whether the cell refused the message itself.
func (e *RefusedError) BadInput() bool {
	return BadInput(e.Status)
}

// BadInput reports whether a status refuses the message itself.
func BadInput(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusMethodNotAllowed, http.StatusNotFound:
		return true
	default:
		return false
	}
}

// Outcome is what a command's caller is told.
type Outcome struct {
	api.Answer
	// Status is the HTTP status; 0 if no answer came.
	Status int
	// Tries counts the sendings.
	Tries int
}

// outcomeOf turns what came of a command into its outcome. id is the request's id, empty if the cell chose it.
//
// An answer "not run" is the last sending's alone. If an earlier one is in doubt, so is the request.
func outcomeOf(r result, id string) Outcome {
	out := Outcome{Tries: r.tries}
	if r.err != nil {
		out.Answer = unanswered(r, id)
		return out
	}
	out.Status = r.reply.status
	if err := json.Unmarshal(r.reply.body, &out.Answer); err != nil {
		out.Answer = doubtful(id, fmt.Sprintf("an answer of status %d that can't be read: %v", r.reply.status, err))
		return out
	}
	if id != "" && out.ID != id {
		out.Answer = doubtful(id, fmt.Sprintf("an answer to request %q", out.ID))
		return out
	}
	if r.doubt && out.Result == cell.ResultNotRun {
		out.Result = cell.ResultUnknown
		out.Reason = cell.Reason{Code: cell.ReasonInDoubt, Detail: "an earlier sending was not answered; the last: " + out.Reason.String()}
	}
	return out
}

func unanswered(r result, id string) api.Answer {
	if r.err.sent || r.doubt {
		return doubtful(id, r.err.Error())
	}
	reason := cell.Reason{Code: cell.ReasonNoOwner, Detail: "no server can be reached: " + r.err.Error()}
	return api.Answer{ID: id, Result: cell.ResultNotRun, Reason: reason}
}

func doubtful(id, detail string) api.Answer {
	return api.Answer{ID: id, Result: cell.ResultUnknown, Reason: cell.Reason{Code: cell.ReasonInDoubt, Detail: detail}}
}

// view decodes the answer to a query into v.
func view(r result, v any) error {
	if r.err != nil {
		return r.err
	}
	if r.reply.status == http.StatusOK {
		return json.Unmarshal(r.reply.body, v)
	}
	refused := &RefusedError{Status: r.reply.status}
	if err := json.Unmarshal(r.reply.body, &refused.Answer); err != nil {
		return fmt.Errorf("an answer of status %d that can't be read: %w", r.reply.status, err)
	}
	return refused
}

// retryAfter returns when a server asks to be called again: in milliseconds by the body, or in seconds by the header.
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
