package graphapi

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"laburnumpoint/internal/entry"
)

// Each result of the service has a status of its own, and a refusal for overload is told with its Retry-After in whole seconds.
func TestStatusOfEachResult(t *testing.T) {
	for result := entry.OK; result <= entry.Overloaded; result++ {
		if httpStatuses[result] == 0 {
			t.Errorf("result %s has no status", result)
		}
	}
	w := httptest.NewRecorder()
	answer := entry.Answer{Result: entry.Overloaded, RetryAfter: 2500 * time.Millisecond}
	writeAnswer(w, httptest.NewRequest(http.MethodPut, "/v1/queues/q/jobs/00000000000000aa", nil), httpStatuses[answer.Result], answer)
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "3" {
		t.Errorf("status %d, Retry-After %q, want 429, 3", w.Code, w.Header().Get("Retry-After"))
	}
}

// A caller that is told to come back during an overload does so, as long as it has time.
func TestClientComesBackAfterAnOverload(t *testing.T) {
	tries := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tries++
		if tries == 1 {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"result":"overloaded"}`))
			return
		}
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	client := Client{Servers: []string{server.Listener.Addr().String()}, HTTP: server.Client(), RetryFor: 3 * time.Second}
	start := time.Now()
	if _, err := client.Submit(t.Context(), "q", "00000000000000aa", &Job{}); err != nil || tries != 2 || time.Since(start) < time.Second {
		t.Errorf("%v after %d tries and %s, want success with the second try after a second", err, tries, time.Since(start))
	}
	tries, client.RetryFor = 0, 500*time.Millisecond
	if _, err := client.Submit(t.Context(), "q", "00000000000000aa", &Job{}); err == nil || tries != 1 {
		t.Errorf("%v after %d tries, want a refusal after one, since there is no time for another", err, tries)
	}
}
