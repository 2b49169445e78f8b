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

// scriptedServer answers the n-th call with the n-th reply, and all further calls with the last one.
type scriptedServer struct {
	replies    []http.HandlerFunc
	ids        []string
	firstSends []string
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i := min(len(s.ids), len(s.replies)-1)
	s.ids = append(s.ids, r.Header.Get(api.HeaderRequestID))
	s.firstSends = append(s.firstSends, r.Header.Get(api.HeaderFirstSend))
	s.replies[i](w, r)
}

// replyWith answers with the result and the id of the request.
func replyWith(status int, result cell.Result) http.HandlerFunc {
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

// closeConnection reads the request and closes the connection without an answer.
func closeConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// truncateReply sends fewer bytes than its Content-Length declares.
func truncateReply(w http.ResponseWriter, _ *http.Request) {
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
	c.turn.Store(^uint64(0)) // the first server comes first
	t.Cleanup(c.Close)
	return c
}

func TestSendsAgainOnlyWhatIsSafe(t *testing.T) {
	completed := replyWith(http.StatusOK, cell.ResultCompleted)
	cases := []struct {
		name    string
		id      string
		replies []http.HandlerFunc
		result  cell.Result
		tries   int
	}{
		{"first answer", "", []http.HandlerFunc{completed}, cell.ResultCompleted, 1},
		{"not run", "", []http.HandlerFunc{replyWith(503, cell.ResultNotRun), replyWith(429, cell.ResultNotRun), completed}, cell.ResultCompleted, 3},
		{"failed", "k", []http.HandlerFunc{replyWith(http.StatusOK, cell.ResultFailed), completed}, cell.ResultFailed, 1},
		{"fits nowhere", "k", []http.HandlerFunc{replyWith(422, cell.ResultNotRun), completed}, cell.ResultNotRun, 1},
		{"with an id, connection closed", "k", []http.HandlerFunc{closeConnection, completed}, cell.ResultCompleted, 2},
		{"with an id, answer truncated", "k", []http.HandlerFunc{truncateReply, completed}, cell.ResultCompleted, 2},
		{"with an id, result unknown", "k", []http.HandlerFunc{replyWith(504, cell.ResultUnknown), completed}, cell.ResultCompleted, 2},
		{"without id, connection closed", "", []http.HandlerFunc{closeConnection, completed}, cell.ResultUnknown, 1},
		{"without id, answer truncated", "", []http.HandlerFunc{truncateReply, completed}, cell.ResultUnknown, 1},
		{"without id, result unknown", "", []http.HandlerFunc{replyWith(504, cell.ResultUnknown), completed}, cell.ResultUnknown, 1},
		{"not run, after a try in doubt", "k", []http.HandlerFunc{closeConnection, replyWith(422, cell.ResultNotRun)}, cell.ResultUnknown, 2},
	}
	for _, c := range cases {
		s := &scriptedServer{replies: c.replies}
		server := httptest.NewServer(s)
		client := newClient(t, time.Minute, server.Listener.Addr().String())
		got := client.Run(context.Background(), Request{ID: c.id, Timeout: time.Second})
		server.Close()
		if got.Result != c.result || got.Tries != c.tries || len(s.ids) != c.tries {
			t.Errorf("%s: outcome %+v, request ids %q", c.name, got, s.ids)
		}
		if strings.Join(s.ids, "") != strings.Repeat(c.id, c.tries) {
			t.Errorf("%s: request ids %q", c.name, s.ids)
		}
	}
}

func TestFirstSendIsClaimedOnlyWithoutDoubt(t *testing.T) {
	s := &scriptedServer{replies: []http.HandlerFunc{replyWith(503, cell.ResultNotRun), closeConnection, replyWith(503, cell.ResultNotRun), replyWith(http.StatusOK, cell.ResultCompleted)}}
	server := httptest.NewServer(s)
	defer server.Close()
	client := newClient(t, time.Minute, server.Listener.Addr().String())
	client.Run(context.Background(), Request{ID: "k", FirstSend: true, Timeout: time.Second})
	client.Run(context.Background(), Request{ID: "k", Timeout: time.Second})
	if want := []string{"true", "true", "false", "false", "false"}; !slices.Equal(s.firstSends, want) {
		t.Errorf("first sends %q, want %q", s.firstSends, want)
	}
}

func TestGoesOnToTheNextServer(t *testing.T) {
	server := httptest.NewServer(replyWith(http.StatusOK, cell.ResultCompleted))
	defer server.Close()
	client := newClient(t, time.Minute, unusedAddr(t), unusedAddr(t), server.Listener.Addr().String())
	got := client.Run(context.Background(), Request{Timeout: time.Second})
	if got.Result != cell.ResultCompleted || got.Tries != 3 {
		t.Errorf("outcome %+v", got)
	}
}

// A server that can't be reached, or that closes the connection after its answer, is not called for avoidDuration.
func TestAvoidsServersThatAreLeaving(t *testing.T) {
	answers := make([]atomic.Int64, 2)
	answer := replyWith(http.StatusOK, cell.ResultCompleted)
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
		t.Errorf("the leaving server answered %d calls, the staying one %d, with %d tries; want 1, 19 and 21", answers[0].Load(), answers[1].Load(), tries)
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
	s := &scriptedServer{replies: []http.HandlerFunc{closeConnection, replyWith(http.StatusServiceUnavailable, cell.ResultNotRun)}}
	server := httptest.NewServer(s)
	defer server.Close()
	answer, err := newClient(t, time.Second, server.Listener.Addr().String()).PatchConfig(context.Background(), api.PatchSpec{Base: 1})
	if err != nil || answer.Accepted || answer.Reason.Code != cell.ReasonInDoubt {
		t.Errorf("answer %+v, %v", answer, err)
	}
}
