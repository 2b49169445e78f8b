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

// The stageCount of a job, in order.
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
	stageCount
)

// String returns the stage's name in the table.
func (s Stage) String() string {
	return [...]string{"queued", "permitted", "started", "ended", "recorded"}[s]
}

// IntervalCounts are what happened in one interval.
type IntervalCounts struct {
	RefusedSubmits, QueuedJobs, PermitAnswers, UnansweredPermitRequests, StartedRuns, FailedStarts, DoneRuns, InterruptedRuns, RecordedJobs int
}

// jobProgress is what the logs tell of one jobProgress. Times are 0 for stages that it has not reached.
type jobProgress struct {
	queue     string
	reachedAt [stageCount]time.Time
}

// Report is what the logs of a cell tell.
type Report struct {
	counts map[int64]*IntervalCounts
	jobs   map[string]*jobProgress
	// SkippedLines counts the lines that hold no log entry.
	SkippedLines int
}

// logEntry is the part of a log line that matters here.
type logEntry struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Job     string    `json:"job"`
	Queue   string    `json:"queue"`
	Command string    `json:"command"`
	Result  string    `json:"result"`
	Outcome string    `json:"outcome"`
	End     string    `json:"end"`
}

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Read takes in logs, one JSON object a line, of all daemons in any order. What stands before the object is left out. Lines
// without one, and lines that are cut, are counted and skipped.
func Read(in io.Reader) (*Report, error) {
	r := &Report{counts: make(map[int64]*IntervalCounts), jobs: make(map[string]*jobProgress)}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		line := lines.Bytes()
		begin := bytes.IndexByte(line, '{')
		var e logEntry
		if begin < 0 || json.Unmarshal(line[begin:], &e) != nil || e.Time.IsZero() {
			r.SkippedLines++
			continue
		}
		r.addEntry(&e)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(r.counts) == 0 {
		return nil, errors.New("no log entries of graph jobs")
	}
	return r, nil
}

func (r *Report) addEntry(e *logEntry) {
	switch e.Message {
	case "answered":
		if e.Command == "submit" && e.Result == "unavailable" {
			r.countsAt(e).RefusedSubmits++
		}
	case "job queued":
		r.countsAt(e).QueuedJobs++
		r.markReached(e, StageQueued).queue = e.Queue
	case "permits":
		r.countsAt(e).PermitAnswers++
		r.markReached(e, StagePermitted)
	case "policy service gave no answer":
		r.countsAt(e).UnansweredPermitRequests++
	case "run start":
		r.addRunStart(e)
	case "run ended":
		r.addRunEnd(e)
	case "job ended":
		r.countsAt(e).RecordedJobs++
		r.markReached(e, StageRecorded)
	}
}

func (r *Report) addRunStart(e *logEntry) {
	if e.Outcome != "started" {
		r.countsAt(e).FailedStarts++
		return
	}
	r.countsAt(e).StartedRuns++
	r.markReached(e, StageStarted)
}

func (r *Report) addRunEnd(e *logEntry) {
	if e.End != "done" {
		r.countsAt(e).InterruptedRuns++
		return
	}
	r.countsAt(e).DoneRuns++
	r.markReached(e, StageLastTaskEnded).reachedAt[StageLastTaskEnded] = e.Time
}

func (r *Report) countsAt(e *logEntry) *IntervalCounts {
	second := e.Time.UnixNano() / int64(RowInterval)
	c := r.counts[second]
	if c == nil {
		c = &IntervalCounts{}
		r.counts[second] = c
	}
	return c
}

// markReached notes that a job has reached a stage; the first time counts.
func (r *Report) markReached(e *logEntry, s Stage) *jobProgress {
	j := r.jobs[e.Job]
	if j == nil {
		j = &jobProgress{}
		r.jobs[e.Job] = j
	}
	if j.reachedAt[s].IsZero() {
		j.reachedAt[s] = e.Time
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
	P50, P90         time.Duration
}

// StageDurations returns the waits of each queue, by queue and stage. A stage that no job of a queue reaches is left out.
func (r *Report) StageDurations() []StageDuration {
	queues := make(map[string][]*jobProgress)
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
	var durations []StageDuration
	for _, name := range names {
		from := StageQueued
		for to := StagePermitted; to < stageCount; to++ {
			if d := stageDuration(queues[name], from, to); d.Jobs > 0 {
				d.Queue = name
				durations = append(durations, d)
				from = to
			}
		}
	}
	return durations
}

func stageDuration(jobs []*jobProgress, from, to Stage) StageDuration {
	d := StageDuration{To: to}
	var samples []time.Duration
	for _, j := range jobs {
		switch {
		case j.reachedAt[from].IsZero():
		case j.reachedAt[to].IsZero():
			d.NotReached++
		default:
			samples = append(samples, j.reachedAt[to].Sub(j.reachedAt[from]))
		}
	}
	slices.Sort(samples)
	if d.Jobs = len(samples); d.Jobs > 0 {
		d.P50, d.P90 = samples[d.Jobs/2], samples[d.Jobs*9/10]
	}
	return d
}
