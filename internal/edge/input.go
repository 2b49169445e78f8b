package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/job"
)

// problems collects the validation errors of one request.
type problems []api.Problem

func (p *problems) add(field, format string, args ...any) {
	*p = append(*p, api.Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

// require adds a problem unless ok is true.
func (p *problems) require(ok bool, field, format string, args ...any) {
	if !ok {
		p.add(field, format, args...)
	}
}

// What a decoded body holds of the budget for each of its bytes: while it is decoded, and until the request is answered, since a payload
// is kept for as long.
const (
	decodingPerByte = 10
	keptPerByte     = 5
)

// heldKey is the key of the function that gives back what a request holds of the budget, a *func() in its context.
type heldKey struct{}

// endInput gives back what a decoded request holds once it is answered. A long answer doesn't wait for a body that no route reads.
func (h *handler) endInput(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		release := func() {}
		defer func() { release() }()
		if r.Method != http.MethodPost {
			h.opts.Limits.SkipBody(w, r)
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), heldKey{}, &release)))
	})
}

// readJSON decodes the whole body, of at most limit bytes, into v. Unknown fields are errors.
func (h *handler) readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) *requestError {
	return h.decodeBody(w, r, limit, func(body []byte) *requestError { return decodeJSON(body, v) })
}

func decodeJSON(body []byte, v any) *requestError {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return bodyError(err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return bodyError("the JSON value is followed by more data")
	}
	return nil
}

// decodeBody reads the whole body and decodes it with decode, within the limits.
func (h *handler) decodeBody(w http.ResponseWriter, r *http.Request, limit int64, decode func(body []byte) *requestError) *requestError {
	body, reqErr := h.readBody(w, r, limit)
	if reqErr != nil {
		return reqErr
	}
	size := int64(len(body.Bytes))
	decoding, err := h.opts.Limits.Reserve(decodingPerByte * size)
	if err != nil {
		body.Release()
		return noRoomError()
	}
	reqErr = decode(body.Bytes)
	body.Release()
	decoding()
	if reqErr != nil {
		return reqErr
	}
	kept, err := h.opts.Limits.Reserve(keptPerByte * size)
	if err != nil {
		return noRoomError()
	}
	*r.Context().Value(heldKey{}).(*func()) = kept
	return nil
}

// readBody reads the whole body within the body timeout. It first clears the write deadline that the connection's
// previous answer has set; net/http clears the read deadline at the end of the body.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, limit int64) (*inbound.Body, *requestError) {
	conn := http.NewResponseController(w)
	_ = conn.SetWriteDeadline(time.Time{}) // fails only for the recorder of a test
	_ = conn.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout))
	body, err := h.opts.Limits.ReadBody(w, r, limit)
	if err != nil {
		return nil, bodyReadError(err, limit)
	}
	return body, nil
}

func bodyReadError(err error, limit int64) *requestError {
	if errors.Is(err, inbound.ErrTooLarge) {
		reason := invalid(fmt.Sprintf("the body is larger than %d bytes", limit))
		return &requestError{status: http.StatusRequestEntityTooLarge, reason: reason}
	}
	if errors.Is(err, inbound.ErrNoRoom) {
		return noRoomError()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &requestError{status: http.StatusRequestTimeout, reason: invalid("the body was not received in time")}
	}
	return bodyError("the body is incomplete: " + err.Error())
}

func bodyError(message string) *requestError {
	reqErr := badRequest([]api.Problem{{Field: "body", Message: message}})
	return &reqErr
}

// readTimeout returns the timeout in the request's header, or the default.
func (h *handler) readTimeout(r *http.Request, p *problems) time.Duration {
	text := r.Header.Get(api.HeaderTimeout)
	if text == "" {
		return h.opts.DefaultTimeout
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		p.add(api.HeaderTimeout, "%q is not a duration such as 1.5s", text)
		return 0
	}
	p.require(timeout > 0 && timeout <= h.opts.MaxTimeout, api.HeaderTimeout, "%s is not between 0 and %s", timeout, h.opts.MaxTimeout)
	return timeout
}

// readCountParam returns the query parameter name, a number between 1 and limit, or defaultCount if it is missing.
func readCountParam(r *http.Request, name string, defaultCount, limit int, p *problems) int {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultCount
	}
	n, err := strconv.Atoi(text)
	p.require(err == nil && n >= 1 && n <= limit, name, "%q is not a number between 1 and %d", text, limit)
	return n
}

// Maximum lengths of ids and names, in bytes.
const (
	maxIDBytes   = 128
	maxNameBytes = 64
)

// Messages for ids and names with wrong syntax.
const (
	idSyntax   = "must be 1 to 128 characters out of A-Z a-z 0-9 . _ : -"
	nameSyntax = "must be 1 to 64 characters out of A-Z a-z 0-9 . _ : -"
	taskSyntax = "must be a request's id, a caller and its request's id joined by ~, or a job and a number joined by /"
)

// validID reports whether s is the id of a request, job, patch or worker.
func validID(s string) bool {
	return len(s) <= maxIDBytes && validChars(s)
}

// validName reports whether s is the name of a caller, team or pool.
func validName(s string) bool {
	return len(s) <= maxNameBytes && validChars(s)
}

// validTaskID reports whether s is the id of a request's or a job's task.
func validTaskID(s string) bool {
	if caller, id, ok := strings.Cut(s, api.TaskIDSeparator); ok {
		return validName(caller) && validID(id)
	}
	if job, _, ok := job.ParseTaskID(cell.TaskID(s)); ok {
		return validID(string(job))
	}
	return validID(s)
}

func validChars(s string) bool {
	for i := range len(s) {
		if !validChar(s[i]) {
			return false
		}
	}
	return s != ""
}

func validChar(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == ':' || c == '-'
	}
}
