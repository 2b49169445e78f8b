// Package report summarises the daemons' logs of graph jobs: how many jobs and runs are queued, permitted, started and ended
// each second, and how long the jobs of each queue take from one stage to the next.
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

// RowInterval is the length of the interval that one row of the table covers.
const RowInterval = time.Second

// Stage is a point in the life cycle of a job.
type Stage int

// The stages of a job, in order.
const (
	// StageQueued means that the owner has queued the job.
	StageQueued Stage = iota
	// StagePermitted means that the policy service has answered a permit request for one of the job's steps.
	StagePermitted
	// StageStarted means that the first run of one of the job's tasks has started.
	StageStarted
	// StageLastTaskEnded means that the owner has received the last end of a run that is done.
	StageLastTaskEnded
	// StageRecorded means that the job's end is durable.
	StageRecorded
	stageCount
)

// String returns the stage's name as the table shows it.
func (s Stage) String() string {
	return [...]string{"queued", "permitted", "started", "ended", "recorded"}[s]
}

// IntervalCounts counts the log entries of one interval by what they say.
type IntervalCounts struct {
	// RefusedSubmits counts the submissions that were answered "unavailable".
	RefusedSubmits int
	QueuedJobs     int
	// PermitAnswers counts the permit requests that the policy service answered, UnansweredPermitRequests the others.
	PermitAnswers, UnansweredPermitRequests int
	StartedRuns, FailedStarts               int
	// DoneRuns counts the runs that ended as done, InterruptedRuns those with any other end.
	DoneRuns, InterruptedRuns int
	// RecordedJobs counts the jobs whose end became durable.
	RecordedJobs int
}

// jobProgress holds when a job reached each stage. The time of a stage that it has not reached is zero.
type jobProgress struct {
	queue     string
	reachedAt [stageCount]time.Time
}

// Report holds what the logs of a cell say about its graph jobs.
type Report struct {
	// counts is keyed by the number of the interval since the Unix epoch.
	counts map[int64]*IntervalCounts
	// jobs is keyed by job id.
	jobs map[string]*jobProgress
	// SkippedLines counts the lines that contain no valid log entry.
	SkippedLines int
}

// logEntry holds the fields of a log line that the report uses.
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

// maxLineBytes bounds a log line; a longer one fails Read.
const maxLineBytes = 1 << 20

// Read reads the logs of all daemons in any order, one JSON object a line. Text before the object is ignored. Lines without
// an object, truncated lines and entries without a time are counted and skipped.
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

// addEntry counts an entry in its interval and marks the stage that its job has reached. Other entries are ignored.
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

// addRunStart counts the start of a run, or the failure to start it.
func (r *Report) addRunStart(e *logEntry) {
	if e.Outcome != "started" {
		r.countsAt(e).FailedStarts++
		return
	}
	r.countsAt(e).StartedRuns++
	r.markReached(e, StageStarted)
}

// addRunEnd counts the end of a run. Of the ends of done runs, the last one read counts for the stage.
func (r *Report) addRunEnd(e *logEntry) {
	if e.End != "done" {
		r.countsAt(e).InterruptedRuns++
		return
	}
	r.countsAt(e).DoneRuns++
	r.markReached(e, StageLastTaskEnded).reachedAt[StageLastTaskEnded] = e.Time
}

// countsAt returns the counts of the interval of e.
func (r *Report) countsAt(e *logEntry) *IntervalCounts {
	second := e.Time.UnixNano() / int64(RowInterval)
	c := r.counts[second]
	if c == nil {
		c = &IntervalCounts{}
		r.counts[second] = c
	}
	return c
}

// markReached marks that the job of e has reached a stage, and returns the job. The first entry read for a stage counts.
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

// Row holds the counts of one interval. Offset is the time since the start of the first interval.
type Row struct {
	Offset time.Duration
	IntervalCounts
}

// Rows returns the intervals in order, including those without entries.
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

// StageDuration holds how long the jobs of a queue took to reach stage To from the stage before it in the table.
type StageDuration struct {
	Queue string
	To    Stage
	// Jobs counts the jobs that reached both stages, NotReached those that reached only the first.
	Jobs, NotReached int
	P50, P90         time.Duration
}

// StageDurations returns the durations of each queue, ordered by queue and stage. A stage that no job of a queue reaches
// is left out.
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

// stageDuration returns the percentiles of the time that jobs took between two stages.
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
