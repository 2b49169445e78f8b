package graphapi

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/access"
	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/inbound"
)

// Limits of requests.
const (
	maxBodyBytes = 256 << 10
	// defaultTimeout applies to a request without a valid HeaderTimeout.
	defaultTimeout = 3 * time.Second
	maxTimeout     = 60 * time.Second
)

var httpStatuses = map[entry.Result]int{
	entry.OK:           http.StatusOK,
	entry.NoQueue:      http.StatusNotFound,
	entry.NoJob:        http.StatusNotFound,
	entry.Invalid:      http.StatusBadRequest,
	entry.Unavailable:  http.StatusServiceUnavailable,
	entry.Uncertain:    http.StatusGatewayTimeout,
	entry.Unauthorized: http.StatusUnauthorized,
	entry.Overloaded:   http.StatusTooManyRequests,
}

// Handler returns the handler of the callers' HTTP interface. Bodies draw on limits.
func Handler(service *entry.Service, limits *inbound.Limits) http.Handler {
	h := &handler{service, limits}
	r := chi.NewRouter()
	r.Get("/v1/queues/{queue}", h.pending)
	r.Put("/v1/queues/{queue}/jobs/{id}", h.submit)
	r.Get("/v1/queues/{queue}/jobs/{id}", h.query(service.State))
	r.Get("/v1/queues/{queue}/jobs/{id}/why", h.query(service.Explain))
	r.Post("/v1/queues/{queue}/explain", h.preview)
	r.Delete("/v1/queues/{queue}/jobs/{id}", h.query(service.Cancel))
	return r
}

type handler struct {
	service *entry.Service
	limits  *inbound.Limits
}

// bearerPrefix precedes the key in the header Authorization.
const bearerPrefix = "Bearer "

// entryRequest returns the request with its key, which is in HeaderKey or, as a bearer token, in the header Authorization.
func entryRequest(r *http.Request) entry.Request {
	key := r.Header.Get(HeaderKey)
	if token := r.Header.Get("Authorization"); key == "" && len(token) > len(bearerPrefix) && strings.EqualFold(token[:len(bearerPrefix)], bearerPrefix) {
		key = token[len(bearerPrefix):]
	}
	return entry.Request{Path: routePath(r), Key: access.NewKey(key)}
}

// routePath returns the path of the request's job in the routes of package entry, or that of its queue if the request names
// no job.
func routePath(r *http.Request) string {
	return "/" + chi.URLParam(r, "queue") + "/" + chi.URLParam(r, "id")
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := requestContext(r)
	defer cancel()
	reader := inbound.JobReader{Limits: h.limits, Writer: w, Request: r, MaxBytes: maxBodyBytes, Decode: decodeSpec}
	defer reader.Release()
	answer := h.service.Submit(ctx, entryRequest(r), reader.Read)
	if answer.Result == entry.OK {
		answer.State = graph.Queued
	}
	h.writeJobAnswer(&reader, answer)
}

// writeJobAnswer answers a request with a job.
func (h *handler) writeJobAnswer(reader *inbound.JobReader, answer entry.Answer) {
	status := httpStatuses[answer.Result]
	if reader.Finish() == inbound.ErrTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	writeAnswer(reader.Writer, reader.Request, status, answer)
}

// decodeSpec parses a job. Unknown fields are errors, so that none is silently ignored.
func decodeSpec(body []byte) (*graph.Spec, error) {
	job, err := ParseJob(body)
	if err != nil {
		return nil, err
	}
	return job.Spec(), nil
}

func (h *handler) query(do func(context.Context, entry.Request) entry.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := requestContext(r)
		defer cancel()
		answer := do(ctx, entryRequest(r))
		writeAnswer(w, r, httpStatuses[answer.Result], answer)
	}
}

func (h *handler) pending(w http.ResponseWriter, r *http.Request) {
	answer := h.service.State(r.Context(), entryRequest(r))
	writeAnswer(w, r, httpStatuses[answer.Result], answer)
}

// requestContext returns a context that ends after the time that the request's HeaderTimeout gives, at most maxTimeout.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	timeout, err := time.ParseDuration(r.Header.Get(HeaderTimeout))
	if err != nil || timeout <= 0 {
		timeout = defaultTimeout
	}
	return context.WithTimeout(r.Context(), min(timeout, maxTimeout))
}

func writeAnswer(w http.ResponseWriter, r *http.Request, status int, a entry.Answer) {
	out := Answer{Queue: chi.URLParam(r, "queue"), ID: chi.URLParam(r, "id"), State: a.State, Reasons: a.Reasons, Error: a.Detail}
	if a.Result != entry.OK {
		out.Result = a.Result.String()
	} else if out.ID == "" {
		out.Pending = &a.Pending
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // fails only if the caller has closed the connection
}
