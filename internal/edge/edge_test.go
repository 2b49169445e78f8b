package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

const validTask = `{"team":"sparks","claim":{"milli_cpu":500},"payload":"sheet 7"}`

// call serves one request with a new handler over f and decodes the answer.
func call(t *testing.T, f *fakeCell, opts Options, r *http.Request) (*httptest.ResponseRecorder, api.Answer) {
	t.Helper()
	w := httptest.NewRecorder()
	NewHandler(f, f, opts).ServeHTTP(w, r)
	var a api.Answer
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
		t.Fatalf("%s %s: body %q: %v", r.Method, r.URL, w.Body, err)
	}
	return w, a
}

func post(path, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func TestRunPassesTheTaskOnAndAnswersWhole(t *testing.T) {
	f := &fakeCell{outcome: cell.Outcome{
		Result:  cell.ResultCompleted,
		Answer:  []byte("done\x00"),
		Worker:  "w1",
		Attempt: cell.Attempt{Task: "ad1~r1", Epoch: 3, Number: 2},
		Waited:  1500 * time.Microsecond,
	}}
	w, a := call(t, f, Options{}, post("/v1/requests", validTask,
		api.HeaderCaller, "ad1", api.HeaderRequestID, "r1", api.HeaderTimeout, "2s"))
	if w.Code != http.StatusOK || a.Result != cell.ResultCompleted || string(a.Answer) != "done\x00" {
		t.Fatalf("status %d, answer %+v", w.Code, a)
	}
	if a.ID != "r1" || a.Task != "ad1~r1" || a.WaitedMS != 1.5 || a.Attempt.Number != 2 {
		t.Errorf("answer %+v", a)
	}
	got := f.runs[0]
	if !got.Resendable || got.Timeout != 2*time.Second || got.Caller != "ad1" || got.Task.ID != "ad1~r1" {
		t.Errorf("run %+v", got)
	}
	if got.Task.Kind != cell.KindRequest || got.Task.Class != cell.ClassNormal || got.Task.Claim.Slots != 1 ||
		!got.Task.Idempotent || string(got.Task.Payload) != "sheet 7" {
		t.Errorf("task %+v", got.Task)
	}
}

func TestRawAnswerCarriesTheRestInHeaders(t *testing.T) {
	f := &fakeCell{outcome: cell.Outcome{Result: cell.ResultFailed, Answer: []byte("{raw}"),
		Reason: cell.Reason{Code: cell.ReasonTaskFailed, Detail: "exit 1\nline two"}, Worker: "w1"}}
	w := httptest.NewRecorder()
	r := post("/v1/requests", validTask, "Accept", "text/html, application/octet-stream;q=0.9")
	NewHandler(f, f, Options{}).ServeHTTP(w, r)
	if w.Body.String() != "{raw}" || w.Header().Get("Content-Length") != "5" {
		t.Fatalf("body %q, headers %v", w.Body, w.Header())
	}
	if w.Header().Get(api.HeaderResult) != "failed" || w.Header().Get(api.HeaderWorker) != "w1" ||
		w.Header().Get(api.HeaderReasonCode) != "task_failed" {
		t.Errorf("headers %v", w.Header())
	}
}

func TestStatusTellsTheKindOfOutcome(t *testing.T) {
	notRun := func(code cell.ReasonCode) cell.Outcome {
		return cell.NotRun(cell.Reason{Code: code}, 1200*time.Millisecond)
	}
	cases := []struct {
		outcome    cell.Outcome
		status     int
		retryAfter string
	}{
		{cell.Outcome{Result: cell.ResultCompleted}, 200, ""},
		{cell.Outcome{Result: cell.ResultFailed}, 200, ""},
		{notRun(cell.ReasonQueueFull), 429, "2"},
		{notRun(cell.ReasonQuota), 429, "2"},
		{cell.NotRun(cell.Reason{Code: cell.ReasonFitsNowhere}, 0), 422, ""},
		{cell.NotRun(cell.Reason{Code: cell.ReasonInvalid}, 0), 422, ""},
		{cell.NotRun(cell.Reason{Code: cell.ReasonDuplicateKey}, 0), 409, ""},
		{notRun(cell.ReasonStoreUnavailable), 503, "2"},
		{cell.Unknown(cell.Reason{Code: cell.ReasonInDoubt}, time.Second), 504, "1"},
		{cell.Outcome{}, 504, ""},
	}
	for _, c := range cases {
		w, a := call(t, &fakeCell{outcome: c.outcome}, Options{}, post("/v1/requests", validTask))
		if w.Code != c.status || w.Header().Get("Retry-After") != c.retryAfter || a.Reason.Code != c.outcome.Reason.Code {
			t.Errorf("%v: status %d, Retry-After %q, answer %+v", c.outcome, w.Code, w.Header().Get("Retry-After"), a)
		}
	}
}

func TestBadInputIsRefusedWholeAndReachesNobody(t *testing.T) {
	longID := strings.Repeat("x", 129)
	withRequestID := []string{api.HeaderCaller, "c", api.HeaderRequestID, "r"}
	cases := []struct {
		name     string
		request  *http.Request
		status   int
		problems int
	}{
		{"not JSON", post("/v1/requests", `{`), 400, 1},
		{"unknown field", post("/v1/requests", `{"team":"a","tema":"b"}`), 400, 1},
		{"trailing data", post("/v1/requests", validTask+`{}`), 400, 1},
		{"large body", post("/v1/requests", `{"payload":"`+strings.Repeat("x", 2000)+`"}`), 413, 0},
		{"every mistake", post("/v1/requests", `{"team":"a b","class":"fast","claim":{"milli_cpu":-1},"payload":"x","payload_base64":"eA=="}`,
			api.HeaderTimeout, "soon", api.HeaderCaller, "c c"), 400, 6},
		{"timeout too long", post("/v1/requests", validTask, api.HeaderTimeout, "11m"), 400, 1},
		{"id too long", post("/v1/requests", validTask, api.HeaderCaller, "c", api.HeaderRequestID, longID), 400, 1},
		{"request id without caller", post("/v1/requests", validTask, api.HeaderRequestID, "r"), 400, 1},
		{"non-idempotent without id", post("/v1/requests", `{"team":"a","idempotent":false}`), 400, 1},
		{"overflowing claim", post("/v1/requests", `{"team":"a","claim":{"memory_mib":9223372036854775807}}`, withRequestID...), 400, 1},
		{"job of requests", post("/v1/jobs", `{"kind":"request","count":1,"task":{"team":"a"}}`), 400, 1},
		{"job too large", post("/v1/jobs", `{"kind":"batch","count":100001,"task":{"team":"a"}}`), 400, 1},
		{"job with floor", post("/v1/jobs", `{"kind":"batch","count":2,"floor":1,"task":{"team":"a"}}`), 400, 1},
		{"service with floor", post("/v1/jobs", `{"kind":"service","count":2,"floor":1,"task":{"team":"a"}}`), 400, 1},
		{"first send neither true nor false", post("/v1/requests", validTask, api.HeaderFirstSend, "yes", api.HeaderCaller, "c", api.HeaderRequestID, "r"), 400, 1},
		{"cancel without ids", post("/v1/tasks/cancel", `{"tasks":[]}`), 400, 1},
		{"cancel bad ids", post("/v1/tasks/cancel", `{"tasks":["ok","a~b","j/7","a~b~c","/","j/x"]}`), 400, 3},
		{"patch without base", post("/v1/config/patches", `{"merge":[]}`), 400, 2},
		{"no such path", post("/v2/requests", validTask), 404, 0},
		{"wrong method", post("/v1/shards", ``), 405, 0},
		{"drain unknown worker", httptest.NewRequest(http.MethodPut, "/v1/workers/w9/drain", nil), 404, 0},
		{"history of no versions", httptest.NewRequest(http.MethodGet, "/v1/config/history?limit=0", nil), 400, 1},
		{"absent job", httptest.NewRequest(http.MethodGet, "/v1/jobs/absent", nil), 404, 0},
	}
	for _, c := range cases {
		f := &fakeCell{}
		w, a := call(t, f, Options{MaxBodyBytes: 1000}, c.request)
		if w.Code != c.status || len(a.Problems) != c.problems || a.Result != cell.ResultNotRun || a.Reason.Code != cell.ReasonInvalid {
			t.Errorf("%s: status %d, answer %+v", c.name, w.Code, a)
		}
		if f.calls() != 0 {
			t.Errorf("%s: reached the cell", c.name)
		}
	}
}

func TestTwoCallersWithOneIDNameTwoTasks(t *testing.T) {
	f := &fakeCell{}
	for _, caller := range []string{"a", "b"} {
		call(t, f, Options{}, post("/v1/requests", validTask, api.HeaderCaller, caller, api.HeaderRequestID, "r"))
	}
	if f.runs[0].Task.ID == f.runs[1].Task.ID {
		t.Errorf("both are %q", f.runs[0].Task.ID)
	}
}

func TestGangsTasksStartTogether(t *testing.T) {
	f := &fakeCell{outcome: cell.Outcome{Result: cell.ResultCompleted}}
	w, a := call(t, f, Options{}, post("/v1/jobs", `{"id":"g1","kind":"gang","count":4,"task":{"team":"a"}}`))
	if w.Code != http.StatusOK || a.ID != "g1" || f.jobs[0].Template.GangSize != 4 || f.jobs[0].Template.Kind != cell.KindGang {
		t.Errorf("status %d, answer %+v, job %+v", w.Code, a, f.jobs)
	}
}

func TestFullLimitRefusesRequestsButNotCancels(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	f := &fakeCell{run: func(context.Context, RunRequest) cell.Outcome {
		close(entered)
		<-leave
		return cell.Outcome{Result: cell.ResultCompleted}
	}, outcome: cell.Outcome{Result: cell.ResultCompleted}}
	h := NewHandler(f, f, Options{MaxRequests: 1})
	first := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(first, post("/v1/requests", validTask))
	}()
	<-entered
	second, cancel := httptest.NewRecorder(), httptest.NewRecorder()
	h.ServeHTTP(second, post("/v1/requests", validTask))
	h.ServeHTTP(cancel, post("/v1/tasks/cancel", `{"tasks":["a"]}`))
	close(leave)
	<-done
	if second.Code != http.StatusTooManyRequests || second.Header().Get("Retry-After") == "" {
		t.Errorf("second: status %d, headers %v", second.Code, second.Header())
	}
	if cancel.Code != http.StatusOK || first.Code != http.StatusOK {
		t.Errorf("cancel: status %d; first: status %d", cancel.Code, first.Code)
	}
}

func TestCancelInDoubtIsUnknown(t *testing.T) {
	f := &fakeCell{err: errors.New("shard a-0 unreachable")}
	w, a := call(t, f, Options{}, post("/v1/tasks/cancel", `{"tasks":["a","b~c"]}`))
	if w.Code != http.StatusGatewayTimeout || a.Result != cell.ResultUnknown || a.Cancelled != 2 {
		t.Errorf("status %d, answer %+v", w.Code, a)
	}
}

func TestExplainOfAJobsTask(t *testing.T) {
	f := &fakeCell{}
	w := httptest.NewRecorder()
	NewHandler(f, f, Options{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/tasks/nightly%2F7/why", nil))
	if !strings.Contains(w.Body.String(), `"task":"nightly/7"`) {
		t.Errorf("status %d, body %s", w.Code, w.Body)
	}
}

func TestOutcomeIsLoggedAndCounted(t *testing.T) {
	var lines bytes.Buffer
	logger := &log.Logger{Writer: log.IOWriter{Writer: &lines}}
	f := &fakeCell{outcome: cell.NotRun(cell.Reason{Code: cell.ReasonQuota, Detail: "8 of 8 slots"}, time.Second)}
	h := NewHandler(f, f, Options{Log: logger})
	h.ServeHTTP(httptest.NewRecorder(), post("/v1/requests", validTask, api.HeaderCaller, "ad1"))
	for _, want := range []string{`"caller":"ad1"`, `"team":"sparks"`, `"result":"not_run"`, `"reason":"quota: 8 of 8 slots"`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("log %q lacks %s", lines.String(), want)
		}
	}
	page := httptest.NewRecorder()
	h.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	want := `laburnumpoint_requests_total{result="not_run",class="normal"} 1`
	if !strings.Contains(page.Body.String(), want) {
		t.Errorf("metrics lack %s", want)
	}
}
