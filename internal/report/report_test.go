package report

import (
	"strings"
	"testing"
	"time"
)

const sampleLogs = `
{"time":"2026-01-02T03:04:05.100Z","message":"starting"}
not a log line
{"time":"2026-01-02T03:04:05.100Z","job":"a","queue":"nightly","message":"job queued"}
 12.3 node-1 {"time":"2026-01-02T03:04:05.300Z","job":"a","step":0,"message":"permits"}
{"time":"2026-01-02T03:04:05.310Z","job":"a","task":"a/0/0/0","outcome":"started","message":"run start"}
{"time":"2026-01-02T03:04:05.320Z","job":"a","task":"a/0/0/1","outcome":"no_room","message":"run start"}
{"time":"2026-01-02T03:04:07.310Z","job":"a","end":"done","message":"run ended"}
{"time":"2026-01-02T03:04:07.410Z","job":"a","end":"done","message":"run ended"}
{"time":"2026-01-02T03:04:07.450Z","job":"a","state":"completed","message":"job ended"}
{"time":"2026-01-02T03:04:05.900Z","job":"b","queue":"nightly","message":"job queued"}
{"time":"2026-01-02T03:04:06.900Z","job":"b","message":"policy service gave no answer"}
{"time":"2026-01-02T03:04:06.950Z","job":"c","command":"submit","result":"unavailable","message":"answered"}
{"time":"2026-01-02T03:04:06.950Z","job":"a","command":"state","result":"unavailable","message":"answered"}
{"time":"2026-01-02T03:04:0`

func readSample(t *testing.T) *Report {
	t.Helper()
	r, err := Read(strings.NewReader(sampleLogs))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRowsCountEachSecond(t *testing.T) {
	r := readSample(t)
	want := []Row{
		{0, IntervalCounts{QueuedJobs: 2, PermitAnswers: 1, StartedRuns: 1, FailedStarts: 1}},
		{time.Second, IntervalCounts{RefusedSubmits: 1, UnansweredPermitRequests: 1}},
		{2 * time.Second, IntervalCounts{DoneRuns: 2, RecordedJobs: 1}},
	}
	rows := r.Rows()
	if len(rows) != len(want) {
		t.Fatalf("%d rows, want %d", len(rows), len(want))
	}
	for i := range want {
		if rows[i] != want[i] {
			t.Errorf("row %d: %+v, want %+v", i, rows[i], want[i])
		}
	}
	if r.SkippedLines != 3 {
		t.Errorf("%d lines skipped, want 3: an empty one, one without an entry and a truncated one", r.SkippedLines)
	}
}

func TestWaitsBetweenStages(t *testing.T) {
	want := []StageDuration{
		{"nightly", StagePermitted, 1, 1, 200 * time.Millisecond, 200 * time.Millisecond},
		{"nightly", StageStarted, 1, 0, 10 * time.Millisecond, 10 * time.Millisecond},
		{"nightly", StageLastTaskEnded, 1, 0, 2100 * time.Millisecond, 2100 * time.Millisecond},
		{"nightly", StageRecorded, 1, 0, 40 * time.Millisecond, 40 * time.Millisecond},
	}
	durations := readSample(t).StageDurations()
	if len(durations) != len(want) {
		t.Fatalf("stage durations %+v, want %+v", durations, want)
	}
	for i := range want {
		if durations[i] != want[i] {
			t.Errorf("stage duration %d: %+v, want %+v", i, durations[i], want[i])
		}
	}
}

func TestNoEntriesIsAnError(t *testing.T) {
	if _, err := Read(strings.NewReader("nothing here\n")); err == nil {
		t.Error("logs without an entry: no error")
	}
}

func TestWriteShowsTableAndPlot(t *testing.T) {
	var out strings.Builder
	if err := readSample(t).Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"unanswered", strings.Repeat("#", plotWidth), "nightly", "2.1s", "3 lines held no log entry"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("the output lacks %q:\n%s", part, out.String())
		}
	}
}
