package cli

import (
	"os"
	"path/filepath"
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
		{"unknown key", []string{"graph", "status", "--queue", "q", "a1"}, 401, `{"queue":"q","id":"a1","result":"unauthorized","error":"unknown key"}`, "GET", ExitUsage, ""},
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

// Every graph command sends the key of the flag or of the environment variable, and prints it nowhere. The failures are a
// command that forgets the key, and a help text that shows the variable's value as the default.
func TestGraphCommandsSendTheKey(t *testing.T) {
	const fromFlag, fromEnv = "secret-of-the-flag", "secret-of-the-variable"
	job := filepath.Join(t.TempDir(), "job")
	if err := os.WriteFile(job, []byte(`{"payload":"","steps":[{"count":1}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LABURNUMPOINT_KEY", fromEnv)
	for _, args := range [][]string{
		{"submit", "--queue", "q", job}, {"status", "--queue", "q", "a1"}, {"cancel", "--queue", "q", "a1"}, {"pending", "--queue", "q"}, {"why", "--queue", "q", "a1"},
	} {
		for key, all := range map[string][]string{
			fromEnv:  append([]string{"graph"}, args...),
			fromFlag: append([]string{"graph", "--key", fromFlag}, args...),
		} {
			s := &recordingServer{status: 401, body: `{"result":"unauthorized","error":"unknown key"}`}
			code, out, errOut := runTool(t, s, all...)
			if s.key != key || code != ExitUsage || !strings.Contains(errOut, "401 unauthorized") || strings.Contains(out+errOut, "secret") {
				t.Errorf("%q: key %q, code %d, output %q, errors %q", args, s.key, code, out, errOut)
			}
		}
	}
	s := &recordingServer{status: 200, body: `{}`}
	if runTool(t, s, "why", "--queue", "q", "--key", fromFlag, "a1"); s.key != fromFlag {
		t.Errorf("general command why: key %q, want that of the flag", s.key)
	}
	if _, out, errOut := runTool(t, s, "graph", "--help"); strings.Contains(out+errOut, "secret") || !strings.Contains(out, "--key") {
		t.Errorf("help text without the flag, or with its value: %s%s", out, errOut)
	}
}
