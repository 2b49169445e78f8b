package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The tool sends the job to the explain path and prints a line for each worker, wait and reason.
func TestGraphExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(`{"payload":"x","steps":[{"count":4,"data_rack":"r1"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	const answer = `{"queue":"q","objective_ms":900,"steps":[{"step":0,"tasks":4,"rack":"r1",
		"permits":{"workers":30,"latency_ms":25,"allowed_share":0.5},
		"places":[{"worker":"w7","rack":"r1","tasks":1,"reason":"near","start_ms":25,"end_ms":625},{"worker":"w9","rack":"r2","tasks":1,"away":true,"reason":"away","start_ms":25,"end_ms":1225}],
		"wait":{"tasks":1,"rack":"r1","deadline_ms":300,"gain_ms":250},
		"no_room":{"tasks":1,"first_start_ms":800},
		"refused":[{"reason":"room","workers":12,"near":4}]}]}`
	s := &recordingServer{status: 200, body: answer}
	code, out, errOut := runTool(t, s, "graph", "explain", "--queue", "q", file)
	if code != ExitCompleted || !strings.HasPrefix(s.request, `POST /v1/queues/q/explain {"payload":"x"`) {
		t.Errorf("code %d, errors %q, sent %q", code, errOut, s.request)
	}
	for _, line := range []string{
		"0 30 workers asked about permits, 50% allowed so far 25 ms",
		"0 1 w7 r1 near 25 ms 625 ms",
		"0 1 w9 r2 away 25 ms 1225 ms",
		"0 1 wait r1 ends 250 ms sooner than elsewhere by 300 ms",
		"0 1 no room 800 ms to ?",
		"0 0 12 other workers 4 on r1 room",
	} {
		if !strings.Contains(strings.Join(strings.Fields(out), " "), line) {
			t.Errorf("output %q lacks %q", out, line)
		}
	}
	s = &recordingServer{status: 503, body: `{"queue":"q","result":"unavailable","error":"limited"}`}
	if code, _, errOut := runTool(t, s, "graph", "explain", "--queue", "q", file); code != ExitNotRun || !strings.Contains(errOut, "limited") {
		t.Errorf("code %d, errors %q for a refused question", code, errOut)
	}
}
