package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// ackTime is within what time of calm an end has to be taken note of.
const ackTime = 4 * time.Second

// runKey names a run.
type runKey struct {
	task   string
	number uint64
	runner string
}

// record is the case's record: what was sent, answered and run. It is written to a file, and it knows what runs now.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// running holds the runs by task, done the tasks with a run that ended as done.
	running map[string][]runKey
	done    map[string]bool
	// starts, ends and noted count starts, ends and the ends that were taken note of; notedInTime those of the last that were within
	// ackTime.
	starts, ends, noted, notedInTime int
	// twice holds the tasks that had two runs at the same time.
	twice []string
	// quiet are the jobs whose runs are not written line by line.
	quiet map[string]bool
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &record{
		started: time.Now(), file: file, out: bufio.NewWriter(file), running: make(map[string][]runKey), done: make(map[string]bool),
		quiet: make(map[string]bool),
	}
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write is line for a caller that holds mu.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func (r *record) runBegins(task string, number uint64, runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	if !r.quiet[jobOf(task)] {
		r.write("start %s run %d on %s", task, number, runner)
	}
	if others := r.running[task]; len(others) > 0 {
		r.twice = append(r.twice, task)
		r.write("TWO RUNS of %s at the same time: run %d on %s, and run %d on %s", task, others[0].number, others[0].runner, number, runner)
	}
	r.running[task] = append(r.running[task], runKey{task, number, runner})
}

func (r *record) runEnds(task string, number uint64, runner, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends++
	if !r.quiet[jobOf(task)] {
		r.write("end   %s run %d on %s: %s", task, number, runner, how)
	}
	r.running[task] = slices.DeleteFunc(r.running[task], func(k runKey) bool { return k == runKey{task, number, runner} })
	if how == "done" {
		r.done[task] = true
	}
}

// endNoted counts an end that is taken note of after the given time.
func (r *record) endNoted(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noted++
	if after <= ackTime {
		r.notedInTime++
	}
}

// runningOf returns the runs of a job.
func (r *record) runningOf(job string) []runKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []runKey
	for task, keys := range r.running {
		if jobOf(task) == job {
			runs = append(runs, keys...)
		}
	}
	return runs
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
