package client

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// script answers one call after the other; the last step answers all further ones.
type script struct {
	steps []http.HandlerFunc
	keys  []string
	first []string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i := min(len(s.keys), len(s.steps)-1)
	s.keys = append(s.keys, r.Header.Get(api.HeaderRequestID))
	s.first = append(s.first, r.Header.Get(api.HeaderFirstSend))
	s.steps[i](w, r)
}

// says answers with the result, under the request's own id.
func says(status int, result cell.Result) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer := api.Answer{ID: r.Header.Get(api.HeaderRequestID), Result: result, Answer: []byte("a")}
		if status >= http.StatusTooManyRequests {
			answer.RetryAfterMS = 1
			w.Header().Set("Retry-After", "1")
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// hangsUp takes the request and closes the connection.
func hangsUp(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// cutsShort declares a longer answer than it sends.
func cutsShort(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"result":"completed"}`))
}

func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func newClient(t *testing.T, retryFor time.Duration, servers ...string) *Client {
	t.Helper()
	c, err := New(Options{Servers: servers, Caller: "c", RetryFor: retryFor})
	if err != nil {
		t.Fatal(err)
	}
	c.next.Store(^uint64(0)) // the first server comes first
	t.Cleanup(c.Close)
	return c
}

func TestSendsAgainOnlyWhatIsSafe(t *testing.T) {
	completed := says(http.StatusOK, cell.ResultCompleted)
	cases := []struct {
		name   string
		id     string
		steps  []http.HandlerFunc
		result cell.Result
		tries  int
	}{
		{"first answer", "", []http.HandlerFunc{completed}, cell.ResultCompleted, 1},
		{"not run", "", []http.HandlerFunc{says(503, cell.ResultNotRun), says(429, cell.ResultNotRun), completed}, cell.ResultCompleted, 3},
		{"failed", "k", []http.HandlerFunc{says(http.StatusOK, cell.ResultFailed), completed}, cell.ResultFailed, 1},
		{"fits nowhere", "k", []http.HandlerFunc{says(422, cell.ResultNotRun), completed}, cell.ResultNotRun, 1},
		{"keyed and hung up", "k", []http.HandlerFunc{hangsUp, completed}, cell.ResultCompleted, 2},
		{"keyed and cut short", "k", []http.HandlerFunc{cutsShort, completed}, cell.ResultCompleted, 2},
		{"keyed and unknown", "k", []http.HandlerFunc{says(504, cell.ResultUnknown), completed}, cell.ResultCompleted, 2},
		{"no id and hung up", "", []http.HandlerFunc{hangsUp, completed}, cell.ResultUnknown, 1},
		{"no id and cut short", "", []http.HandlerFunc{cutsShort, completed}, cell.ResultUnknown, 1},
		{"no id and unknown", "", []http.HandlerFunc{says(504, cell.ResultUnknown), completed}, cell.ResultUnknown, 1},
		{"not run after doubt", "k", []http.HandlerFunc{hangsUp, says(422, cell.ResultNotRun)}, cell.ResultUnknown, 2},
	}
	for _, c := range cases {
		s := &script{steps: c.steps}
		server := httptest.NewServer(s)
		client := newClient(t, time.Minute, server.Listener.Addr().String())
		got := client.Run(context.Background(), Request{ID: c.id, Timeout: time.Second})
		server.Close()
		if got.Result != c.result || got.Tries != c.tries || len(s.keys) != c.tries {
			t.Errorf("%s: outcome %+v, keys %q", c.name, got, s.keys)
		}
		if strings.Join(s.keys, "") != strings.Repeat(c.id, c.tries) {
			t.Errorf("%s: keys %q", c.name, s.keys)
		}
	}
}

func TestFirstSendIsClaimedOnlyWithoutDoubt(t *testing.T) {
	s := &script{steps: []http.HandlerFunc{says(503, cell.ResultNotRun), hangsUp, says(503, cell.ResultNotRun), says(http.StatusOK, cell.ResultCompleted)}}
	server := httptest.NewServer(s)
	defer server.Close()
	client := newClient(t, time.Minute, server.Listener.Addr().String())
	client.Run(context.Background(), Request{ID: "k", FirstSend: true, Timeout: time.Second})
	client.Run(context.Background(), Request{ID: "k", Timeout: time.Second})
	if want := []string{"true", "true", "false", "false", "false"}; !slices.Equal(s.first, want) {
		t.Errorf("first sends %q, want %q", s.first, want)
	}
}

func TestGoesOnToTheNextServer(t *testing.T) {
	server := httptest.NewServer(says(http.StatusOK, cell.ResultCompleted))
	defer server.Close()
	client := newClient(t, time.Minute, unusedAddr(t), unusedAddr(t), server.Listener.Addr().String())
	got := client.Run(context.Background(), Request{Timeout: time.Second})
	if got.Result != cell.ResultCompleted || got.Tries != 3 {
		t.Errorf("outcome %+v", got)
	}
}

// A server that can't be reached, or closes the connection after its answer, is about to stop and is left alone for a time.
func TestAvoidsServersThatAreLeaving(t *testing.T) {
	answers := make([]atomic.Int64, 2)
	answer := says(http.StatusOK, cell.ResultCompleted)
	count := func(i int, header string) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answers[i].Add(1)
			w.Header().Set("Connection", header)
			answer(w, r)
		}))
	}
	leaving, staying := count(0, "close"), count(1, "keep-alive")
	defer leaving.Close()
	defer staying.Close()
	client := newClient(t, time.Minute, leaving.Listener.Addr().String(), unusedAddr(t), staying.Listener.Addr().String())
	start := time.Now()
	client.now = func() time.Time { return start }
	tries := 0
	for range 20 {
		tries += client.Run(context.Background(), Request{Timeout: time.Second}).Tries
	}
	if answers[0].Load() != 1 || answers[1].Load() != 19 || tries != 21 {
		t.Errorf("answers %d and %d, sendings %d", answers[0].Load(), answers[1].Load(), tries)
	}
}

func TestNoServerMeansNotRun(t *testing.T) {
	client := newClient(t, 0, unusedAddr(t))
	got := client.Run(context.Background(), Request{ID: "k", Timeout: time.Second})
	if got.Result != cell.ResultNotRun || got.ID != "k" {
		t.Errorf("outcome %+v", got)
	}
}

func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.Answer{ID: "other", Result: cell.ResultCompleted, Answer: []byte("secret")})
	}))
	defer server.Close()
	got := newClient(t, 0, server.Listener.Addr().String()).Run(context.Background(), Request{ID: "k", Timeout: time.Second})
	if got.Result != cell.ResultUnknown || len(got.Answer.Answer) != 0 {
		t.Errorf("outcome %+v", got)
	}
}

func TestRefusedQueryTellsWhy(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(api.Answer{Reason: cell.Reason{Code: cell.ReasonInvalid, Detail: "no job"}})
	}))
	defer server.Close()
	_, err := newClient(t, 0, server.Listener.Addr().String()).Job(context.Background(), "j")
	var refused *RefusedError
	if !errors.As(err, &refused) || !refused.BadInput() || refused.Error() != "invalid: no job" {
		t.Errorf("error %v", err)
	}
}

func TestPatchInDoubtStaysInDoubt(t *testing.T) {
	s := &script{steps: []http.HandlerFunc{hangsUp, says(http.StatusServiceUnavailable, cell.ResultNotRun)}}
	server := httptest.NewServer(s)
	defer server.Close()
	answer, err := newClient(t, time.Second, server.Listener.Addr().String()).PatchConfig(context.Background(), api.PatchSpec{Base: 1})
	if err != nil || answer.Accepted || answer.Reason.Code != cell.ReasonInDoubt {
		t.Errorf("answer %+v, %v", answer, err)
	}
}
