// Package report tells from the daemons' logs where the time of graph jobs goes: how much is queued, permitted, started and
// ended each second, and how long the jobs of each queue spend between these.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"slices"
	"time"
)

// RowInterval is the length of one row of the table over time.
const RowInterval = time.Second

// Stage is a point on a job's way.
type Stage int

// The stages of a job, in order.
const (
	// StageQueued means that the owner has heard of the job.
	StageQueued Stage = iota
	// StagePermitted means that the policy service has first answered about one of its steps.
	StagePermitted
	// StageStarted means that its first task has started.
	StageStarted
	// StageLastTaskEnded means that the owner has heard of its last task's end.
	StageLastTaskEnded
	// StageRecorded means that its end is durable.
	StageRecorded
	stages
)

// String returns the stage's name in the table.
func (s Stage) String() string {
	return [...]string{"queued", "permitted", "started", "ended", "recorded"}[s]
}

// IntervalCounts are what happened in one interval.
type IntervalCounts struct {
	RefusedSubmits, QueuedJobs, PermitAnswers, UnansweredPermitRequests, StartedRuns, FailedStarts, DoneRuns, InterruptedRuns, RecordedJobs int
}

// job is what the logs tell of one job. Times are 0 for stages that it has not reached.
type job struct {
	queue string
	at    [stages]time.Time
}

// Report is what the logs of a cell tell.
type Report struct {
	counts map[int64]*IntervalCounts
	jobs   map[string]*job
	// SkippedLines counts the lines that hold no log entry.
	SkippedLines int
}

// entry is the part of a log line that matters here.
type entry struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Job     string    `json:"job"`
	Queue   string    `json:"queue"`
	Command string    `json:"command"`
	Result  string    `json:"result"`
	Outcome string    `json:"outcome"`
	End     string    `json:"end"`
}

// maxLine bounds a log line.
const maxLine = 1 << 20

// Read takes in logs, one JSON object a line, of all daemons in any order. What stands before the object is left out. Lines
// without one, and lines that are cut, are counted and skipped.
func Read(in io.Reader) (*Report, error) {
	r := &Report{counts: make(map[int64]*IntervalCounts), jobs: make(map[string]*job)}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	for lines.Scan() {
		line := lines.Bytes()
		begin := bytes.IndexByte(line, '{')
		var e entry
		if begin < 0 || json.Unmarshal(line[begin:], &e) != nil || e.Time.IsZero() {
			r.SkippedLines++
			continue
		}
		r.take(&e)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(r.counts) == 0 {
		return nil, errors.New("no log entries of graph jobs")
	}
	return r, nil
}

func (r *Report) take(e *entry) {
	switch e.Message {
	case "answered":
		if e.Command == "submit" && e.Result == "unavailable" {
			r.at(e).RefusedSubmits++
		}
	case "job queued":
		r.at(e).QueuedJobs++
		r.reach(e, StageQueued).queue = e.Queue
	case "permits":
		r.at(e).PermitAnswers++
		r.reach(e, StagePermitted)
	case "policy service gave no answer":
		r.at(e).UnansweredPermitRequests++
	case "run start":
		r.takeStart(e)
	case "run ended":
		r.takeEnd(e)
	case "job ended":
		r.at(e).RecordedJobs++
		r.reach(e, StageRecorded)
	}
}

func (r *Report) takeStart(e *entry) {
	if e.Outcome != "started" {
		r.at(e).FailedStarts++
		return
	}
	r.at(e).StartedRuns++
	r.reach(e, StageStarted)
}

func (r *Report) takeEnd(e *entry) {
	if e.End != "done" {
		r.at(e).InterruptedRuns++
		return
	}
	r.at(e).DoneRuns++
	r.reach(e, StageLastTaskEnded).at[StageLastTaskEnded] = e.Time
}

func (r *Report) at(e *entry) *IntervalCounts {
	second := e.Time.UnixNano() / int64(RowInterval)
	c := r.counts[second]
	if c == nil {
		c = &IntervalCounts{}
		r.counts[second] = c
	}
	return c
}

// reach notes that a job has reached a stage; the first time counts.
func (r *Report) reach(e *entry, s Stage) *job {
	j := r.jobs[e.Job]
	if j == nil {
		j = &job{}
		r.jobs[e.Job] = j
	}
	if j.at[s].IsZero() {
		j.at[s] = e.Time
	}
	return j
}

// Row is one interval, counted from the first.
type Row struct {
	Offset time.Duration
	IntervalCounts
}

// Rows returns the intervals in order, also those in which nothing happened.
func (r *Report) Rows() []Row {
	first, last := int64(math.MaxInt64), int64(0)
	for second := range r.counts {
		first, last = min(first, second), max(last, second)
	}
	var rows []Row
	for second := first; second <= last; second++ {
		row := Row{Offset: time.Duration(second-first) * RowInterval}
		if c := r.counts[second]; c != nil {
			row.IntervalCounts = *c
		}
		rows = append(rows, row)
	}
	return rows
}

// StageDuration is how long the jobs of a queue took from one stage to the next.
type StageDuration struct {
	Queue string
	To    Stage
	// Jobs counts those that reached both; NotReached those that reached only the first.
	Jobs, NotReached int
	P50, P90    time.Duration
}

// StageDurations returns the waits of each queue, by queue and stage. A stage that no job of a queue reaches is left out.
func (r *Report) StageDurations() []StageDuration {
	queues := make(map[string][]*job)
	for _, j := range r.jobs {
		if j.queue != "" {
			queues[j.queue] = append(queues[j.queue], j)
		}
	}
	var names []string
	for name := range queues {
		names = append(names, name)
	}
	slices.Sort(names)
	var waits []StageDuration
	for _, name := range names {
		from := StageQueued
		for to := StagePermitted; to < stages; to++ {
			if w := waitOf(queues[name], from, to); w.Jobs > 0 {
				w.Queue = name
				waits = append(waits, w)
				from = to
			}
		}
	}
	return waits
}

func waitOf(jobs []*job, from, to Stage) StageDuration {
	w := StageDuration{To: to}
	var took []time.Duration
	for _, j := range jobs {
		switch {
		case j.at[from].IsZero():
		case j.at[to].IsZero():
			w.NotReached++
		default:
			took = append(took, j.at[to].Sub(j.at[from]))
		}
	}
	slices.Sort(took)
	if w.Jobs = len(took); w.Jobs > 0 {
		w.P50, w.P90 = took[w.Jobs/2], took[w.Jobs*9/10]
	}
	return w
}
