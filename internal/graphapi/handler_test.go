package graphapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/access"
	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/rowstore"
)

// newTestHandler serves a queue and a public one to callers with the key k1, over a store in memory.
func newTestHandler(t *testing.T) http.Handler {
	t.Helper()
	return newTestHandlerWithInput(t, inbound.Options{})
}

// newTestHandlerWithInput is newTestHandler with other limits of input.
func newTestHandlerWithInput(t *testing.T, input inbound.Options) http.Handler {
	t.Helper()
	clock, quiet := monotime.BootClock{}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	replica := ledger.NewReplica(rowstore.NewMemoryStore(), clock, quiet, ledger.DaemonInfo{Incarnation: "a"})
	service := entry.NewService(entry.Options{
		Replica: replica, Clock: clock, Log: quiet, Incarnation: "a", Metrics: metrics.NewSet(), MaxConfigAge: time.Minute, RequireKeys: true,
		StoreDown:      func() bool { return false },
		StoreUp:        func() bool { return true },
		StoreAge:       func() time.Duration { return 0 },
		OtherDaemons:   func() []string { return nil },
		ExplainIfOwner: func(context.Context, graph.JobID) ([]string, bool) { return nil, true },
	})
	policy := graph.Queue{Name: "q", MaxAttempts: 1}
	config := &entry.Config{Version: 1, Routes: []entry.Route{{Prefix: "/q/", Queue: policy}, {Prefix: "/open/", Queue: policy, Public: true}}}
	if err := config.Keys.Add("sparks", access.NewKey("k1")); err != nil {
		t.Fatal(err)
	}
	service.SetConfig(config)
	service.MarkConfigCurrent(clock.Now())
	return Handler(service, inbound.New(input, quiet, metrics.NewSet()))
}

const testJobBody = `{"payload":"","steps":[{"count":1}]}`

// A key in either header, and calls without a known one. The failures are a header that is not read, a call that is served
// without a key, and a refusal that callers can't tell from others.
func TestKeyInHeader(t *testing.T) {
	handler := newTestHandler(t)
	const job, public = "/v1/queues/q/jobs/00000000000000aa", "/v1/queues/open/jobs/00000000000000bb"
	for _, c := range []struct {
		name, header, value, method, path string
		status                            int
	}{
		{"no key", "", "", http.MethodPut, job, http.StatusUnauthorized},
		{"unknown key", HeaderKey, "k2", http.MethodPut, job, http.StatusUnauthorized},
		{"known key", HeaderKey, "k1", http.MethodPut, job, http.StatusOK},
		{"unknown bearer token", "Authorization", "Bearer k2", http.MethodPut, job, http.StatusUnauthorized},
		{"known bearer token", "Authorization", "Bearer k1", http.MethodPut, job, http.StatusOK},
		{"scheme in lower case", "Authorization", "bearer k1", http.MethodPut, job, http.StatusOK},
		{"another scheme", "Authorization", "Digest k1", http.MethodPut, job, http.StatusUnauthorized},
		{"empty bearer token", "Authorization", "Bearer ", http.MethodPut, job, http.StatusUnauthorized},
		{"public queue", "", "", http.MethodPut, public, http.StatusOK},
		{"state", HeaderKey, "k2", http.MethodGet, job, http.StatusUnauthorized},
		{"why", HeaderKey, "k2", http.MethodGet, job + "/why", http.StatusUnauthorized},
		{"cancel", HeaderKey, "k2", http.MethodDelete, job, http.StatusUnauthorized},
		{"pending", HeaderKey, "k2", http.MethodGet, "/v1/queues/q", http.StatusUnauthorized},
	} {
		req := httptest.NewRequest(c.method, c.path, strings.NewReader(testJobBody))
		if c.header != "" {
			req.Header.Set(c.header, c.value)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		refused := strings.Contains(w.Body.String(), `"result":"unauthorized"`)
		if w.Code != c.status || refused != (c.status == http.StatusUnauthorized) {
			t.Errorf("%s: status %d %s, want %d", c.name, w.Code, w.Body, c.status)
		}
	}
}

// The client's key and its refusal. The failures are a client that does not send its key, or that sends a refused call again
// and again.
func TestClientSendsItsKey(t *testing.T) {
	calls := 0
	handler := newTestHandler(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	job, err := ParseJob([]byte(testJobBody))
	if err != nil {
		t.Fatal(err)
	}
	client := &Client{Servers: []string{server.Listener.Addr().String()}, RetryFor: time.Minute, Key: "k1", HTTP: server.Client()}
	if _, err := client.Submit(t.Context(), "q", "00000000000000aa", job); err != nil {
		t.Errorf("known key: %v", err)
	}
	client.Key = "k2"
	calls = 0
	var refused *RefusedError
	if _, err := client.Submit(t.Context(), "q", "00000000000000aa", job); !errors.As(err, &refused) || refused.Status != http.StatusUnauthorized || calls != 1 {
		t.Errorf("unknown key: error %v after %d calls, want 401 after one", err, calls)
	}
}

// countingReader counts the bytes that are read from it.
type countingReader struct {
	io.Reader
	n int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += n
	return n, err
}

// Guards against bodies that are read and decoded for callers without a key or for queues that don't exist, against a document of many
// empty steps that is decoded, and against a refusal for want of room that isn't told as one.
func TestBodiesThatAreRefused(t *testing.T) {
	const job, unknownQueue, badID = "/v1/queues/q/jobs/00000000000000aa", "/v1/queues/none/jobs/00000000000000aa", "/v1/queues/q/jobs/aa"
	steps := func(n int) string {
		return `{"payload":"","steps":[` + strings.Repeat(`{"count":1},`, n-1) + `{"count":1}]}`
	}
	for _, c := range []struct {
		name, path, key, body string
		input                 inbound.Options
		status                int
		read                  bool
	}{
		{"no key", job, "", testJobBody, inbound.Options{}, http.StatusUnauthorized, false},
		{"unknown queue", unknownQueue, "k1", testJobBody, inbound.Options{}, http.StatusNotFound, false},
		{"invalid id", badID, "k1", testJobBody, inbound.Options{}, http.StatusBadRequest, false},
		{"most steps", job, "k1", steps(graph.MaxSteps), inbound.Options{}, http.StatusOK, true},
		{"too many steps", job, "k1", steps(graph.MaxSteps + 1), inbound.Options{}, http.StatusBadRequest, true},
		{"very many steps", job, "k1", `{"steps":[` + strings.Repeat("{},", 80_000) + `{}]}`, inbound.Options{}, http.StatusBadRequest, true},
		{"the largest body", job, "k1", testJobBody + strings.Repeat(" ", maxBodyBytes-len(testJobBody)), inbound.Options{}, http.StatusOK, true},
		{"too large", job, "k1", strings.Repeat(" ", maxBodyBytes+1), inbound.Options{}, http.StatusRequestEntityTooLarge, false},
		{"no room for the body", job, "k1", testJobBody, inbound.Options{BudgetBytes: 1}, http.StatusServiceUnavailable, false},
		{"no room for the decoded form", job, "k1", testJobBody, inbound.Options{BudgetBytes: 60}, http.StatusServiceUnavailable, true},
		{"the largest body on a small machine", job, "k1", testJobBody + strings.Repeat(" ", maxBodyBytes-len(testJobBody)), inbound.Options{MemoryBytes: 64 << 20, Descriptors: 1024}, http.StatusOK, true},
	} {
		body := &countingReader{Reader: strings.NewReader(c.body)}
		req := httptest.NewRequest(http.MethodPut, c.path, body)
		req.ContentLength = int64(len(c.body))
		req.Header.Set(HeaderKey, c.key)
		w := httptest.NewRecorder()
		newTestHandlerWithInput(t, c.input).ServeHTTP(w, req)
		if w.Code != c.status || (body.n > 0) != c.read {
			t.Errorf("%s: status %d %s after %d bytes, want %d", c.name, w.Code, w.Body, body.n, c.status)
		}
		if (w.Header().Get("Retry-After") != "") != (c.status == http.StatusServiceUnavailable) {
			t.Errorf("%s: Retry-After %q", c.name, w.Header().Get("Retry-After"))
		}
	}
}
