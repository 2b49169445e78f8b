package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/graphapi"
	"laburnumpoint/internal/history"
)

// recordingServer keeps the last request and its key, and sends the same answer to each.
type recordingServer struct {
	status  int
	body    string
	request string
	key     string
}

func (s *recordingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.request = r.Method + " " + r.URL.RequestURI() + " " + string(body)
	s.key = r.Header.Get(graphapi.HeaderKey)
	w.WriteHeader(s.status)
	fmt.Fprint(w, strings.ReplaceAll(s.body, "ID", r.Header.Get(api.HeaderRequestID)))
}

// runTool runs the command-line tool with args against s and returns its exit code and what it wrote.
func runTool(t *testing.T, s http.Handler, args ...string) (code int, out, errOut string) {
	t.Helper()
	server := httptest.NewServer(s)
	defer server.Close()
	var stdout, stderr bytes.Buffer
	all := append([]string{"laburnumpoint", "--server", server.Listener.Addr().String(), "--retry-for", "0"}, args...)
	code = Main(context.Background(), all, Streams{In: strings.NewReader("a\nb\n"), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func TestExitCodesTellTheResult(t *testing.T) {
	cases := []struct {
		status int
		result cell.Result
		code   int
	}{
		{200, cell.ResultCompleted, ExitCompleted},
		{200, cell.ResultFailed, ExitFailed},
		{400, cell.ResultNotRun, ExitUsage},
		{422, cell.ResultNotRun, ExitNotRun},
		{503, cell.ResultNotRun, ExitNotRun},
		{504, cell.ResultUnknown, ExitUnknown},
	}
	for _, c := range cases {
		s := &recordingServer{status: c.status, body: fmt.Sprintf(`{"id":"ID","result":%q,"answer":"aGk="}`, c.result)}
		code, out, errOut := runTool(t, s, "run", "--team", "sparks", "--payload", "x")
		if code != c.code || !strings.Contains(out, "hi") || !strings.Contains(errOut, string(c.result)) {
			t.Errorf("%d %s: code %d, out %q, err %q", c.status, c.result, code, out, errOut)
		}
	}
}

func TestMistakesInUseReachNoServer(t *testing.T) {
	cases := [][]string{
		{"run"},
		{"run", "--team", "a", "stray"},
		{"run", "--team", "a", "--payload", "x", "--payload-file", "y"},
		{"run", "--team", "a", "--milli-cpu", "many"},
		{"job", "submit", "--team", "a"},
		{"job", "status"},
		{"cancel"},
		{"why", "a", "b"},
		{"config", "patch", "--merge", "{}"},
		{"config", "patch", "--base", "1"},
		{"config", "patch", "--base", "1", "--merge", "{"},
		{"drain"},
		{"load", "--mix", "fast:a=1"},
		{"load", "--rate", "0"},
		{"check"},
		{"check", "/nonexistent"},
		{"load", "--keyed-share", "2"},
		{"--server", "nowhere", "shards"},
	}
	for _, args := range cases {
		s := &recordingServer{status: 200, body: "{}"}
		if code, _, errOut := runTool(t, s, args...); code != ExitUsage || errOut == "" || s.request != "" {
			t.Errorf("%q: code %d, want %d; err %q, want one; request %q, want none", args, code, ExitUsage, errOut, s.request)
		}
	}
}

func TestCommandsSendTheirMessage(t *testing.T) {
	const completed = `{"id":"j1","result":"completed","accepted":true}`
	cases := []struct {
		args    []string
		request string
	}{
		{[]string{"job", "submit", "--id", "j1", "--kind", "gang", "--count", "3", "--team", "a"}, `POST /v1/jobs {"id":"j1","kind":"gang","count":3,`},
		{[]string{"job", "status", "j1"}, "GET /v1/jobs/j1 "},
		{[]string{"job", "cancel", "j1"}, "DELETE /v1/jobs/j1 "},
		{[]string{"cancel", "c~1", "--file", "-"}, `POST /v1/tasks/cancel {"tasks":["c~1","a","b"]}`},
		{[]string{"why", "j1/3"}, "GET /v1/tasks/j1%2F3/why "},
		{[]string{"config", "show"}, "GET /v1/config "},
		{[]string{"config", "history", "--limit", "3"}, "GET /v1/config/history?limit=3 "},
		{[]string{"config", "patch", "--id", "p", "--base", "4", "--merge", `{"packing_weight":1}`}, `POST /v1/config/patches {"id":"p","base":4,"merge":{"packing_weight":1}}`},
		{[]string{"config", "try", "--id", "p", "--base", "4", "--merge", "{}"}, `POST /v1/config/patches/try {"id":"p","base":4,"merge":{}}`},
		{[]string{"shards"}, "GET /v1/shards "},
		{[]string{"workers"}, "GET /v1/workers "},
		{[]string{"teams"}, "GET /v1/teams "},
		{[]string{"members"}, "GET /v1/members "},
		{[]string{"drain", "w1"}, "PUT /v1/workers/w1/drain "},
		{[]string{"undrain", "w1"}, "DELETE /v1/workers/w1/drain "},
	}
	for _, c := range cases {
		for _, extra := range [][]string{nil, {"--json"}} {
			s := &recordingServer{status: 200, body: completed}
			code, out, errOut := runTool(t, s, append(extra, c.args...)...)
			if code != ExitCompleted || !strings.HasPrefix(s.request, c.request) || out == "" {
				t.Errorf("%q: code %d, request %q, out %q, err %q", c.args, code, s.request, out, errOut)
			}
			if extra != nil && !json.Valid([]byte(out)) {
				t.Errorf("%q: not JSON: %q", c.args, out)
			}
		}
	}
}

func TestRefusedPatchNamesTheVersionInForce(t *testing.T) {
	s := &recordingServer{status: 409, body: `{"accepted":false,"version":9,"reason":{"code":"stale_base"}}`}
	code, out, errOut := runTool(t, s, "config", "patch", "--base", "4", "--merge", "{}")
	if code != ExitNotRun || !strings.Contains(out, "version in force: 9") || !strings.Contains(errOut, "stale_base") {
		t.Errorf("refused patch: code %d, out %q, err %q", code, out, errOut)
	}
}

// echoServer answers each request with its payload, as the stand-in's tasks do, and refuses the third request.
type echoServer struct {
	calls atomic.Int64
}

func (s *echoServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var task api.TaskSpec
	_ = json.NewDecoder(r.Body).Decode(&task)
	answer := api.Answer{ID: r.Header.Get(api.HeaderRequestID), Result: cell.ResultCompleted, Answer: []byte(task.Payload)}
	if s.calls.Add(1) == 3 {
		answer.Result = cell.ResultNotRun
		answer.Reason.Code = cell.ReasonQuota
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func TestLoadReportsAndRecords(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	code, out, _ := runTool(t, &echoServer{}, "load", "--rate", "200", "--duration", "100ms", "--max-in-flight", "1000",
		"--mix", "urgent:a:p=1", "--mix", "batch:b=1", "--record", path)
	if code != ExitNotRun || !strings.Contains(out, "of these quota") || !strings.Contains(out, "urgent") {
		t.Errorf("code %d, out:\n%s", code, out)
	}
	entries, err := readHistory(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) == 0 || len(entries)%2 != 0 || entries[0].Call == nil {
		t.Errorf("%d recorded entries, want pairs of a call and its return", len(entries))
	}
}

func TestCheckFindsARequestThatRanTwice(t *testing.T) {
	leaseEntry := func(n cell.AttemptNumber, kind history.EntryKind, at int64) history.Entry {
		attempt := cell.Attempt{Task: "t", Epoch: 1, Number: n}
		l := &history.Lease{Worker: "w", BootID: "b", Attempt: attempt, Kind: cell.KindRequest, Cause: history.EndFinished}
		return history.Entry{At: time.Unix(at, 0), Kind: kind, Lease: l}
	}
	entries := []history.Entry{
		{At: time.Unix(0, 0), Kind: history.KindWorker, Worker: &history.WorkerEvent{ID: "w", Change: history.WorkerAdded}},
		leaseEntry(1, history.KindLeaseStart, 1),
		leaseEntry(1, history.KindLeaseEnd, 2),
	}
	twice := append(slices.Clone(entries), leaseEntry(2, history.KindLeaseStart, 3), leaseEntry(2, history.KindLeaseEnd, 4))
	if code, out, errOut := runTool(t, nil, "check", writeEntries(t, entries)); code != ExitCompleted {
		t.Errorf("request that ran once: code %d, out %q, err %q", code, out, errOut)
	}
	if code, out, _ := runTool(t, nil, "check", writeEntries(t, twice)); code != ExitFailed || !strings.Contains(out, "at_most_once") {
		t.Errorf("request that ran twice: code %d, out %q", code, out)
	}
}

// writeEntries writes a history file and returns its path.
func writeEntries(t *testing.T, entries []history.Entry) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "history")
	recorder, closeRecorder, err := openRecorder(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		recorder.Add(e)
	}
	closeRecorder()
	return path
}
