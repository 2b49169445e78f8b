package dispatch

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// planAt plans at a time of day and returns the starts.
func (c *fixture) planAt(wall time.Duration) (starts []Start) {
	for _, order := range c.Plan(wall) {
		if s, ok := order.(Start); ok {
			starts = append(starts, s)
		}
	}
	return starts
}

// existingTasks counts the tasks that the engine holds.
func (c *fixture) existingTasks() int {
	tasks := 0
	for _, j := range c.jobs {
		j.eachTask(func(*task) { tasks++ })
	}
	return tasks
}

func hourlySpec(times int, steps ...graph.Step) *graph.Spec {
	return &graph.Spec{Steps: steps, Occurrences: times, StartAt: time.Hour, Interval: time.Hour}
}

// Guards against an owner that exceeds its memory, and each of its successors: it held the tasks of all occurrences of hourly jobs, of which
// none was due for weeks. Load: 160 jobs of twelve tasks, a thousand times each.
func TestOccurrencesThatAreNotDueTakeNoMemory(t *testing.T) {
	c := newFixture(t, 1)
	for n := range 160 {
		spec := hourlySpec(1000, plainStep(6), plainStep(6, 0))
		c.AddJob(JobInput{ID: graph.JobID(fmt.Sprint(n)), Queue: plainQueue, Spec: spec, ArrivedAt: c.virtualTime, Unconfirmed: n%2 == 0})
	}
	for range 3 {
		if starts := c.planAt(0); len(starts) != 0 || c.existingTasks() != 0 {
			t.Fatalf("%d starts, %d tasks exist before any is due, want none", len(starts), c.existingTasks())
		}
	}
	c.Cancel("7")
	c.planAt(time.Hour)
	if tasks := c.existingTasks(); tasks != 159*12 {
		t.Errorf("%d tasks exist when the first occurrence of each job is due, want those of one", tasks)
	}
	if len(c.calendar) != 159 {
		t.Errorf("%d jobs in the calendar, want those that are not cancelled", len(c.calendar))
	}
}

// Guards against the same by occurrences that are due all at once: they exist a few at a time, and all of them run.
func TestOccurrencesThatAreDueAtOnceRunAFewAtATime(t *testing.T) {
	c := newFixture(t, 1)
	w := c.addWorker("a", 500_000)
	spec := &graph.Spec{Steps: []graph.Step{{Count: 4000}}, Occurrences: 30}
	c.AddJob(JobInput{ID: "j", Queue: plainQueue, Spec: spec, ArrivedAt: c.virtualTime})
	sequence, started := uint64(0), make(map[graph.TaskID]int)
	for range 100 {
		starts := c.planAt(time.Hour)
		if tasks := c.existingTasks(); tasks > maxOpenTasks {
			t.Fatalf("%d tasks exist, want at most %d", tasks, maxOpenTasks)
		}
		var report Report
		for _, s := range starts {
			started[s.Task]++
			c.HandleStartOutcome(w, s.RunKey, Started)
			sequence++
			report.Ended = append(report.Ended, EndedEntry{Sequence: sequence, RunKey: s.RunKey})
		}
		c.advance(2 * dropInterval)
		c.HandleReport(w, c.virtualTime, report)
	}
	if state, _ := c.JobState("j"); state != graph.Completed || len(started) != 30*4000 {
		t.Errorf("the job is %s after the start of %d tasks, want it completed after %d", state, len(started), 30*4000)
	}
	for task, n := range started {
		if n != 1 {
			t.Fatalf("%d starts of %s, want one", n, task)
		}
	}
}

// Guards against tasks that run again, and against progress that outgrows its row of 64 KiB, when owners follow one another under a long
// schedule. Runs end in any order, and some end while there is no owner.
func TestLongScheduleUnderSuccessiveOwners(t *testing.T) {
	const times, rowBytes = 1000, 64 << 10
	rng := rand.New(rand.NewPCG(1, 1))
	spec := hourlySpec(times, plainStep(2), plainStep(1, 0), plainStep(1, 1))
	done := make(map[graph.TaskID]bool)
	var progress *Progress
	var running []RunKey
	c := newFixture(t, 1)
	epoch := uint64(1)
	var unrecorded []EndedEntry
	sequence := uint64(0)
	takeOver := func() {
		c = newFixture(t, epoch)
		epoch++
		c.addWorker("a", 100_000)
		c.AwaitReport("a", "p")
		c.AddJob(JobInput{ID: "j", Queue: plainQueue, Spec: spec, ArrivedAt: c.virtualTime, Progress: progress, Unconfirmed: true})
	}
	takeOver()
	for wall := time.Duration(0); wall < (times+10)*time.Hour; wall += 15 * time.Minute {
		rng.Shuffle(len(running), func(a, b int) { running[a], running[b] = running[b], running[a] })
		for range rng.IntN(len(running) + 1) {
			sequence++
			unrecorded = append(unrecorded, EndedEntry{Sequence: sequence, RunKey: running[0]})
			done[running[0].Task] = true
			running = running[1:]
		}
		if rng.IntN(20) == 0 {
			takeOver()
		}
		c.advance(time.Second)
		report := runningReport(running...)
		report.Ended = unrecorded
		c.HandleReport("a", c.virtualTime, report)
		for _, s := range c.planAt(wall) {
			if done[s.Task] {
				t.Fatalf("%s is started again", s.Task)
			}
			c.HandleStartOutcome("a", s.RunKey, Started)
			running = append(running, s.RunKey)
		}
		if p, ok := c.TakeDirty(1)["j"]; ok {
			data, err := json.Marshal(p)
			if err != nil || len(data) > rowBytes {
				t.Fatalf("progress of %d bytes, error %v, want at most %d", len(data), err, rowBytes)
			}
			progress = new(Progress)
			if err := json.Unmarshal(data, progress); err != nil {
				t.Fatal(err)
			}
		}
		unrecorded = nil
		if n := c.existingTasks(); n > 200 {
			t.Fatalf("%d tasks exist", n)
		}
	}
	if state, _ := c.JobState("j"); state != graph.Completed {
		t.Errorf("the job is %s, want completed", state)
	}
}

// Guards against a run of an occurrence that the engine does not hold being taken for that of an unknown job, which fills its worker: an
// order that is carried out late after the occurrence is done, and one of an earlier owner whose time of day is ahead.
func TestRunsOfOccurrencesThatDoNotExist(t *testing.T) {
	c := newFixture(t, 2)
	w := c.addWorker("a", 10_000)
	done := &Progress{State: graph.Running, Started: true, Done: []OccurrenceRange{{0, 3}}}
	c.AddJob(JobInput{ID: "j", Queue: plainQueue, Spec: hourlySpec(9, plainStep(1)), ArrivedAt: c.virtualTime, Progress: done})
	late := RunKey{graph.TaskID{Job: "j", Occurrence: 1}, 1}
	early := RunKey{graph.TaskID{Job: "j", Occurrence: 5}, 1}
	c.HandleReport(w, c.virtualTime, runningReport(late, early))
	starts, stops, _ := c.planByKind()
	if len(starts) != 0 || len(stops) != 1 || stops[0].RunKey != late {
		t.Fatalf("starts %v, stops %v, want the run of the done occurrence stopped", starts, stops)
	}
	if c.workers[w].runsOfUnknownSize != 0 {
		t.Error("a run of a known job counts as one of unknown size")
	}
	c.advance(time.Second)
	c.HandleReport(w, c.virtualTime, Report{Ended: []EndedEntry{{Sequence: 1, RunKey: late, End: RunInterrupted}, {Sequence: 2, RunKey: early}}})
	c.advance(2 * dropInterval)
	for range 2 {
		if starts := c.planAt(6 * time.Hour); len(starts) > 2 {
			t.Fatalf("starts %v", starts)
		}
	}
	for _, o := range c.jobs["j"].openOccurrences() {
		if o.index != 3 && o.index != 4 {
			t.Errorf("occurrence %d exists, want only those that are due and open", o.index)
		}
	}
}

// Guards against a schedule that stands still after a takeover: the earlier owner, of a build without a bound, had begun more occurrences
// than may exist at the same time, and the first one that has no progress kept the others from going on.
func TestOccurrencesThatWereBegunGoOn(t *testing.T) {
	c := newFixture(t, 2)
	w := c.addWorker("a", 500_000)
	begun := &Progress{State: graph.Running, Started: true}
	for k := 1; k < 30; k++ {
		begun.Steps = append(begun.Steps, StepProgress{Occurrence: k, Done: []byte{1}})
	}
	spec := &graph.Spec{Steps: []graph.Step{{Count: 1000}}, Occurrences: 30}
	c.AddJob(JobInput{ID: "j", Queue: plainQueue, Spec: spec, ArrivedAt: c.virtualTime, Progress: begun})
	sequence := uint64(0)
	for range 10 {
		var report Report
		for _, s := range c.planAt(time.Hour) {
			c.HandleStartOutcome(w, s.RunKey, Started)
			sequence++
			report.Ended = append(report.Ended, EndedEntry{Sequence: sequence, RunKey: s.RunKey})
		}
		c.advance(2 * dropInterval)
		c.HandleReport(w, c.virtualTime, report)
	}
	if state, _ := c.JobState("j"); state != graph.Completed || sequence != 29*999+1000 {
		t.Errorf("the job is %s after %d runs, want it completed after %d", state, sequence, 29*999+1000)
	}
}
