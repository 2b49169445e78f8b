package cli

import (
	"strings"
	"testing"
)

func TestGraphCommands(t *testing.T) {
	cases := []struct {
		name    string
		args    []string
		status  int
		body    string
		request string
		code    int
		out     string
	}{
		{"status", []string{"graph", "status", "--queue", "q", "a1"}, 200, `{"queue":"q","id":"a1","state":"running"}`, "GET /v1/queues/q/jobs/a1", ExitCompleted, "running"},
		{"status of a failed job", []string{"graph", "status", "--queue", "q", "a1"}, 200, `{"queue":"q","id":"a1","state":"failed"}`, "GET", ExitFailed, "failed"},
		{"pending", []string{"graph", "pending", "--queue", "q"}, 200, `{"queue":"q","pending":3}`, "GET /v1/queues/q", ExitCompleted, "3"},
		{"why", []string{"graph", "why", "--queue", "q", "a1"}, 200, `{"queue":"q","id":"a1","state":"queued","reasons":["no room"]}`, "GET /v1/queues/q/jobs/a1/why", ExitCompleted, "no room"},
		{"why by the general command", []string{"why", "--queue", "q", "a1"}, 200, `{"queue":"q","id":"a1","state":"queued","reasons":["no room"]}`, "GET /v1/queues/q/jobs/a1/why", ExitCompleted, "no room"},
		{"unknown job", []string{"graph", "status", "--queue", "q", "a1"}, 404, `{"queue":"q","id":"a1","result":"no_job"}`, "GET", ExitUsage, ""},
		{"refused", []string{"graph", "cancel", "--queue", "q", "a1"}, 503, `{"queue":"q","id":"a1","result":"unavailable","error":"store unavailable"}`, "DELETE /v1/queues/q/jobs/a1", ExitNotRun, ""},
		{"in doubt", []string{"graph", "cancel", "--queue", "q", "a1"}, 504, `{"queue":"q","id":"a1","result":"uncertain"}`, "DELETE", ExitUnknown, ""},
		{"no queue given", []string{"graph", "status", "a1"}, 200, `{}`, "", ExitUsage, ""},
		{"no file", []string{"graph", "submit", "--queue", "q", "/nonexistent"}, 200, `{}`, "", ExitUsage, ""},
		{"no job in the input", []string{"graph", "submit", "--queue", "q", "-"}, 200, `{}`, "", ExitUsage, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &recordingServer{status: c.status, body: c.body}
			code, out, errOut := runTool(t, s, c.args...)
			if code != c.code || !strings.Contains(out, c.out) || !strings.HasPrefix(s.request, c.request) {
				t.Errorf("code %d, output %q, errors %q, sent %q", code, out, errOut, s.request)
			}
		})
	}
}
