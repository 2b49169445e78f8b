package dispatch

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// fixture drives an engine in virtual time.
type fixture struct {
	t *testing.T
	*Engine
	virtualTime monotime.Instant
}

func newFixture(t *testing.T, epoch uint64) *fixture {
	return &fixture{t: t, Engine: New(epoch), virtualTime: 1}
}

func (c *fixture) advance(d time.Duration) {
	c.virtualTime = c.virtualTime.Add(d)
	c.SetNow(c.virtualTime)
}

func (c *fixture) addWorker(id string, cpu int64) WorkerID {
	w := WorkerID(id)
	c.PutWorker(Worker{ID: w, Address: id, Pool: "p", Capacity: graph.Resources{MilliCPU: cpu, MemoryMB: 1000}})
	c.SetReachable(w, true)
	return w
}

var plainQueue = graph.Queue{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: time.Second}

func (c *fixture) addJob(id string, unconfirmed bool, steps ...graph.Step) graph.JobID {
	j := graph.JobID(id)
	c.AddJob(JobInput{ID: j, Queue: plainQueue, Spec: &graph.Spec{Steps: steps}, ArrivedAt: c.virtualTime, Unconfirmed: unconfirmed})
	return j
}

func plainStep(n int, after ...int) graph.Step {
	return graph.Step{Count: n, Claim: graph.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second, After: after}
}

// record makes the progress of all jobs durable.
func (c *fixture) record() {
	for id := range c.TakeDirty(1000) {
		c.ConfirmRecorded(id)
	}
}

// planRecorded returns the orders of a plan, with those that wait for a record once that is durable.
func (c *fixture) planRecorded() []Order {
	orders := c.Plan(0)
	if c.UnsentStarts() == 0 {
		return orders
	}
	for id := range c.TakeDirty(math.MaxInt) {
		c.ConfirmRecorded(id)
	}
	return append(orders, c.Plan(0)...)
}

// planByKind returns the orders of a plan by their kind.
func (c *fixture) planByKind() (starts []Start, stops []Stop, requests []PermitRequest) {
	for _, order := range c.planRecorded() {
		switch o := order.(type) {
		case Start:
			starts = append(starts, o)
		case Stop:
			stops = append(stops, o)
		case PermitRequest:
			requests = append(requests, o)
		}
	}
	return starts, stops, requests
}

func runKey(job graph.JobID, step, index int, number uint64) RunKey {
	return RunKey{graph.TaskID{Job: job, Step: step, Index: index}, number}
}

func runningReport(keys ...RunKey) Report {
	var r Report
	for _, k := range keys {
		r.Running = append(r.Running, RunningEntry{RunKey: k})
	}
	return r
}

func endedReport(sequence uint64, k RunKey, outcome RunOutcome) Report {
	return Report{Ended: []EndedEntry{{Sequence: sequence, RunKey: k, End: outcome}}}
}

// A new owner learns of a run of the second step before it learns that the first step is done, which the earlier owner knew. The
// run must be kept.
func TestRunOfLaterStepIsKeptAfterTakeover(t *testing.T) {
	c := newFixture(t, 2)
	a, b := c.addWorker("a", 1000), c.addWorker("b", 1000)
	c.AwaitReport(a, "p")
	c.AwaitReport(b, "p")
	j := c.addJob("j", true, plainStep(1), plainStep(1, 0))
	c.HandleReport(a, c.virtualTime, runningReport(runKey(j, 1, 0, 1)))
	c.HandleReport(b, c.virtualTime, endedReport(1, runKey(j, 0, 0, 1), RunDone))
	starts, stops, _ := c.planByKind()
	if len(starts) != 0 || len(stops) != 0 {
		t.Errorf("starts %v, stops %v, want the run kept", starts, stops)
	}
}

// Guards against a task running in two places: a worker lists a run of it, begun late, while another start is under way. The listed one is
// stopped; whatever becomes of the other, the task is not started a third time before both are over.
func TestRunListedWhileAnotherStartIsUnderWay(t *testing.T) {
	for _, outcome := range []StartOutcome{Started, StartRefused, StartNotSent, StartInDoubt} {
		t.Run(outcome.String(), func(t *testing.T) {
			c := newFixture(t, 5)
			a := c.addWorker("a", 1000)
			j := c.addJob("j", false, plainStep(1))
			starts, _, _ := c.planByKind()
			b := c.addWorker("b", 1000)
			late := runKey(j, 0, 0, 1)
			late.Number = starts[0].Number + 1
			c.HandleReport(b, c.virtualTime, runningReport(late))
			if _, stops, _ := c.planByKind(); len(stops) != 1 || stops[0].Worker != b {
				t.Fatalf("stops %v, want that of the listed run", stops)
			}
			c.HandleStartOutcome(a, starts[0].RunKey, outcome)
			c.HandleStopAnswer(b, late, true)
			c.advance(5 * time.Second)
			if again, _, _ := c.planByKind(); len(again) != 0 {
				t.Errorf("starts %v while the listed run is being stopped", again)
			}
			c.HandleReport(b, c.virtualTime, endedReport(1, late, RunInterrupted))
			c.advance(5 * time.Second)
			over := outcome == StartRefused || outcome == StartNotSent
			if again, _, _ := c.planByKind(); (len(again) == 1) != over {
				t.Errorf("starts %v after the listed run has ended, the other one over: %t", again, over)
			}
		})
	}
}

// A task is not started elsewhere while a surplus run of it is being stopped.
func TestTaskWaitsForItsSurplusRun(t *testing.T) {
	c := newFixture(t, 2)
	a, b := c.addWorker("a", 1000), c.addWorker("b", 1000)
	j := c.addJob("j", false, plainStep(1))
	c.HandleReport(a, c.virtualTime, runningReport(runKey(j, 0, 0, 1)))
	c.HandleReport(b, c.virtualTime, runningReport(runKey(j, 0, 0, 2)))
	_, stops, _ := c.planByKind()
	if len(stops) != 1 || stops[0].Worker != b {
		t.Fatalf("stops %v, want the second run stopped", stops)
	}
	c.HandleReport(a, c.virtualTime, endedReport(1, runKey(j, 0, 0, 1), RunInterrupted))
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Fatalf("started %v while a surplus run is being stopped", starts)
	}
	c.HandleReport(b, c.virtualTime, endedReport(1, runKey(j, 0, 0, 2), RunInterrupted))
	if starts, _, _ := c.planByKind(); len(starts) != 1 {
		t.Errorf("%d starts, want 1 once the surplus run has ended", len(starts))
	}
}

func TestUnconfirmedJobWaitsForAwaitedWorkers(t *testing.T) {
	c := newFixture(t, 2)
	a, b := c.addWorker("a", 1000), c.addWorker("b", 1000)
	c.AwaitReport(a, "p")
	c.AwaitReport(b, "p")
	c.addJob("old", true, plainStep(1))
	c.addJob("new", false, plainStep(1))
	c.HandleReport(a, c.virtualTime, Report{})
	starts, _, _ := c.planByKind()
	if len(starts) != 1 || starts[0].Task.Job != "new" {
		t.Fatalf("starts %v, want only the job that no earlier owner knew", starts)
	}
	c.RemoveWorker(b, WorkerSilent)
	if starts, _, _ = c.planByKind(); len(starts) != 1 || starts[0].Number <= runNumbersPerEpoch {
		t.Errorf("starts %v, want the old job under a number above the earlier owner's", starts)
	}
}

// A worker whose report is awaited delays only the jobs of its pool.
func TestAwaitedWorkerHoldsBackItsPoolOnly(t *testing.T) {
	c := newFixture(t, 2)
	c.addWorker("a", 1000)
	c.AwaitReport("gone", "other")
	c.addJob("old", true, plainStep(1))
	if starts, _, _ := c.planByKind(); len(starts) != 1 {
		t.Errorf("%d starts, want 1", len(starts))
	}
}

// Guards against jobs that wait for seconds after a takeover for the report of a worker that had drained before they were accepted.
func TestJobOfAfterTheDrainDoesNotAwaitTheWorker(t *testing.T) {
	c := newFixture(t, 2)
	c.addWorker("a", 1000)
	c.AwaitDrainingReport("gone", "p", 10)
	for id, recordedAt := range map[graph.JobID]uint64{"unknown": 0, "before": 9, "after": 11} {
		c.AddJob(JobInput{ID: id, Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime, Unconfirmed: true, RecordedAt: recordedAt})
	}
	starts, _, _ := c.planByKind()
	if len(starts) != 1 || starts[0].Task.Job != "after" {
		t.Errorf("starts %v, want one of the job of after the drain", starts)
	}
	c.RemoveWorker("gone", WorkerLeft)
	if starts, _, _ := c.planByKind(); len(starts) != 2 {
		t.Errorf("%d starts once the worker is removed, want 2", len(starts))
	}
}

func TestStartInDoubtIsResolvedBeforeTheNext(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	j := c.addJob("j", false, plainStep(1))
	starts, _, _ := c.planByKind()
	c.HandleStartOutcome(a, starts[0].RunKey, StartInDoubt)
	starts, stops, _ := c.planByKind()
	if len(starts) != 0 || len(stops) != 1 {
		t.Fatalf("starts %v, stops %v, want only a stop", starts, stops)
	}
	sent := c.virtualTime
	c.advance(time.Millisecond)
	c.HandleStopAnswer(a, runKey(j, 0, 0, 1), true)
	c.HandleReport(a, sent, Report{})
	if starts, _, _ = c.planByKind(); len(starts) != 0 {
		t.Fatal("started on a report that is older than the answer to the stop")
	}
	c.advance(time.Millisecond)
	c.HandleReport(a, c.virtualTime, Report{})
	if starts, _, _ = c.planByKind(); len(starts) != 1 || starts[0].Number != 2 {
		t.Errorf("starts %v, want run 2", starts)
	}
}

// A worker has disappeared without notice. Each start sent to it before its hold calls fail is in doubt for most of a second, so
// that a worker with an unanswered start gets no more starts.
func TestWorkerWithAnUnansweredStartGetsNoMore(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	unresponsive, healthy := c.addWorker("a", 1000), c.addWorker("b", 1000)
	first := c.addJob("first", false, plainStep(1))
	starts, _, _ := c.planByKind()
	if len(starts) != 1 || starts[0].Worker != unresponsive {
		t.Fatalf("starts %v, want one on the worker that will not answer", starts)
	}
	startsOn := func(job string) map[WorkerID]int {
		c.addJob(job, false, plainStep(3))
		on := make(map[WorkerID]int)
		starts, _, _ := c.planByKind()
		for _, s := range starts {
			on[s.Worker]++
			if s.Worker == healthy {
				c.HandleStartOutcome(healthy, s.RunKey, Started)
			}
		}
		return on
	}
	c.advance(200 * time.Millisecond)
	if on := startsOn("second"); on[unresponsive] > 0 || on[healthy] != 3 {
		t.Errorf("starts %v while one is unanswered, want them on the other worker", on)
	}
	c.advance(500 * time.Millisecond)
	c.HandleStartOutcome(unresponsive, runKey(first, 0, 0, 1), StartInDoubt)
	if on := startsOn("third"); on[unresponsive] > 0 || on[healthy] != 3 {
		t.Errorf("starts %v after one went unanswered, want them on the other worker", on)
	}
}

func TestNeverBeyondCapacity(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 250)
	j := c.addJob("j", false, plainStep(5))
	starts, _, _ := c.planByKind()
	if len(starts) != 2 {
		t.Fatalf("%d starts on a worker with capacity for 2", len(starts))
	}
	c.HandleStartOutcome(a, starts[0].RunKey, Started)
	c.HandleStartOutcome(a, starts[1].RunKey, Started)
	c.Cancel(j)
	c.addJob("k", false, plainStep(5))
	if starts, _, _ = c.planByKind(); len(starts) != 0 {
		t.Errorf("started %v while the runs being stopped keep their allocations", starts)
	}
}

func TestFailureIsCountedOnceAcrossOwners(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	j := c.addJob("j", false, plainStep(1))
	c.planByKind()
	c.HandleReport(a, c.virtualTime, endedReport(1, runKey(j, 0, 0, 1), RunFailed))
	recorded := c.TakeDirty(10)[j]

	next := newFixture(t, 2)
	next.addWorker("a", 1000)
	next.AddJob(JobInput{ID: j, Queue: plainQueue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: next.virtualTime, Progress: &recorded, Unconfirmed: true})
	next.HandleReport(a, next.virtualTime, endedReport(1, runKey(j, 0, 0, 1), RunFailed))
	if state, _ := next.JobState(j); state == graph.Failed {
		t.Fatal("one failed run counted as two attempts")
	}
	next.HandleReport(a, next.virtualTime, endedReport(2, runKey(j, 0, 0, runNumbersPerEpoch+1), RunFailed))
	if state, _ := next.JobState(j); state != graph.Failed {
		t.Errorf("state %s after two failed runs, want failed", state)
	}
}

// A new owner learns of two failed runs from two workers, of the later run first. Both must count.
func TestFailuresReportedOutOfOrderAllCount(t *testing.T) {
	c := newFixture(t, 2)
	a, b := c.addWorker("a", 1000), c.addWorker("b", 1000)
	j := c.addJob("j", true, plainStep(1))
	c.HandleReport(b, c.virtualTime, endedReport(1, runKey(j, 0, 0, 2), RunFailed))
	c.HandleReport(a, c.virtualTime, endedReport(1, runKey(j, 0, 0, 1), RunFailed))
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Errorf("started %v after two failed runs", starts)
	}
	if state, _ := c.JobState(j); state != graph.Failed {
		t.Errorf("state %s, want failed", state)
	}
}

func TestGangStartsTogetherAndRestartsAsAWhole(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 150)
	gang := plainStep(2)
	gang.Gang = true
	j := c.addJob("j", false, gang)
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Fatalf("started %v of a gang that does not fit", starts)
	}
	b := c.addWorker("b", 150)
	starts, _, _ := c.planByKind()
	if len(starts) != 2 || starts[0].Number != starts[1].Number {
		t.Fatalf("starts %v, want both members under one number", starts)
	}
	c.HandleStartOutcome(starts[0].Worker, starts[0].RunKey, Started)
	c.HandleStartOutcome(starts[1].Worker, starts[1].RunKey, StartNoCapacity)
	starts, stops, _ := c.planByKind()
	if len(stops) != 1 || len(starts) != 0 {
		t.Fatalf("starts %v, stops %v, want the other member stopped", starts, stops)
	}
	c.advance(time.Second)
	c.HandleReport(stops[0].Worker, c.virtualTime, endedReport(1, stops[0].RunKey, RunInterrupted))
	starts, _, _ = c.planByKind()
	if len(starts) != 2 {
		t.Fatalf("%d starts, want the gang started again", len(starts))
	}
	c.HandleReport(a, c.virtualTime, endedReport(5, runKey(j, 0, 0, starts[0].Number), RunDone))
	c.HandleReport(b, c.virtualTime, endedReport(5, runKey(j, 0, 1, starts[0].Number), RunDone))
	if state, _ := c.JobState(j); state != graph.Completed {
		t.Errorf("state %s, want completed", state)
	}
}

func TestLongRunningTaskIsRestartedHoweverItEnds(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	longRunning := plainStep(1)
	longRunning.LongRunning = true
	j := c.addJob("j", false, longRunning)
	for i, end := range []RunOutcome{RunFailed, RunFailed, RunFailed, RunDone, RunInterrupted} {
		starts, _, _ := c.planByKind()
		if len(starts) != 1 {
			t.Fatalf("%d starts after %d ends, want 1", len(starts), i)
		}
		c.HandleReport(a, c.virtualTime, endedReport(uint64(i+1), runKey(j, 0, 0, starts[0].Number), end))
	}
}

func TestCheckpointIsCarriedToTheNextRun(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 1000)
	j := c.addJob("j", false, plainStep(1))
	c.planByKind()
	report := endedReport(1, runKey(j, 0, 0, 1), RunInterrupted)
	report.Ended[0].Checkpoint = "saved"
	c.HandleReport(a, c.virtualTime, report)
	if starts, _, _ := c.planByKind(); len(starts) != 1 || starts[0].Checkpoint != "saved" {
		t.Errorf("starts %v, want one that resumes from the checkpoint", starts)
	}
}

func TestScheduledJobStartsAtItsTimes(t *testing.T) {
	c := newFixture(t, 1)
	c.addWorker("a", 1000)
	spec := &graph.Spec{Steps: []graph.Step{plainStep(1)}, Occurrences: 2, StartAt: 10 * time.Second, Interval: 5 * time.Second}
	c.AddJob(JobInput{ID: "j", Queue: plainQueue, Spec: spec, ArrivedAt: c.virtualTime})
	for _, step := range []struct {
		wall time.Duration
		want int
	}{{9 * time.Second, 0}, {10 * time.Second, 1}, {14 * time.Second, 0}, {15 * time.Second, 1}} {
		starts := 0
		for _, order := range c.Plan(step.wall) {
			if _, ok := order.(Start); ok {
				starts++
			}
		}
		if starts != step.want {
			t.Errorf("%d starts at %s, want %d", starts, step.wall, step.want)
		}
	}
}

func TestPermitsLimitTheWorkers(t *testing.T) {
	c := newFixture(t, 1)
	a, b := c.addWorker("a", 1000), c.addWorker("b", 1000)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: time.Millisecond}
	c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(3)}}, ArrivedAt: c.virtualTime})
	starts, _, requests := c.planByKind()
	if len(starts) != 0 || len(requests) != 1 || len(requests[0].Workers) != 2 {
		t.Fatalf("starts %v, permit requests %v, want one request for both workers", starts, requests)
	}
	c.HandlePermits(requests[0].Step, requests[0].Workers, map[WorkerID]string{b: "ticket"}, 2*time.Second, true)
	starts, _, _ = c.planByKind()
	if len(starts) != 3 {
		t.Fatalf("%d starts, want 3", len(starts))
	}
	for _, s := range starts {
		if s.Worker == a || s.Permit != "ticket" {
			t.Errorf("start %v, want it on the allowed worker with its ticket", s)
		}
	}
}

// A gang that needs whole workers gets them although small tasks keep arriving for each worker, if half of the pool is free.
func TestGangIsNotStarvedBySmallTasks(t *testing.T) {
	const workers = 8
	c := newFixture(t, 1)
	name := func(i int) string { return fmt.Sprint("w", i) }
	for i := range workers {
		c.PutWorker(Worker{ID: WorkerID(name(i)), Pool: "p", Labels: []string{name(i)}, Capacity: graph.Resources{MilliCPU: 300, MemoryMB: 1000}})
		c.SetReachable(WorkerID(name(i)), true)
	}
	jobs := 0
	addSmallJob := func(worker string) {
		step := plainStep(1)
		step.Label = worker
		jobs++
		c.addJob(fmt.Sprint("small", jobs), false, step)
	}
	for i := range workers {
		addSmallJob(name(i))
	}
	running, _, _ := c.planByKind()
	gang := plainStep(2)
	gang.Gang = true
	gang.Claim.MilliCPU = 300
	c.addJob("gang", false, gang)
	sequences := make(map[WorkerID]uint64)
	for range 5 * workers {
		c.advance(100 * time.Millisecond)
		oldest := running[0]
		running = running[1:]
		addSmallJob(string(oldest.Worker))
		sequences[oldest.Worker]++
		c.HandleReport(oldest.Worker, c.virtualTime, endedReport(sequences[oldest.Worker], oldest.RunKey, RunDone))
		starts, _, _ := c.planByKind()
		for _, s := range starts {
			if s.Task.Job == "gang" {
				return
			}
		}
		running = append(running, starts...)
	}
	t.Error("the gang never started although more than half of the pool was free all the time")
}

// Workers get free capacity for a gang one after the other. As soon as the whole gang fits, it requests all the permits that it
// needs at the same time, including those that would expire before the answer comes.
func TestGangRequestsAllItsPermitsAtOnce(t *testing.T) {
	c := newFixture(t, 1)
	freedFirst := []WorkerID{c.addWorker("a", 100), c.addWorker("b", 100)}
	freedLater := []WorkerID{c.addWorker("c", 100), c.addWorker("d", 100)}
	c.addJob("small", false, plainStep(4))
	running, _, _ := c.planByKind()
	sequences := map[WorkerID]uint64{}
	endRunsOn := func(workers []WorkerID) {
		for _, s := range running {
			if slices.Contains(workers, s.Worker) {
				sequences[s.Worker]++
				c.HandleReport(s.Worker, c.virtualTime, endedReport(sequences[s.Worker], s.RunKey, RunDone))
			}
		}
	}
	endRunsOn(freedFirst)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 500 * time.Millisecond}
	gang := plainStep(4)
	gang.Gang = true
	c.AddJob(JobInput{ID: "gang", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{gang}}, ArrivedAt: c.virtualTime})
	_, _, requests := c.planByKind()
	if len(requests) != 1 {
		t.Fatalf("%d permit requests, want one", len(requests))
	}
	c.advance(500 * time.Millisecond)
	c.HandlePermits(requests[0].Step, freedFirst, map[WorkerID]string{"a": "t", "b": "t"}, time.Second, true)
	c.advance(300 * time.Millisecond)
	endRunsOn(freedLater)
	_, _, requests = c.planByKind()
	if len(requests) != 1 {
		t.Fatalf("%d permit requests, want one as soon as the gang fits", len(requests))
	}
	if request, ok := c.PreparePermitRequest(requests[0].Step); !ok || len(request.Workers) != 4 {
		t.Errorf("permit request for %v, want all four workers", request.Workers)
	}
}

// A gang that needs more workers than the policy service allows of one request sends several requests at the same time. With one
// request after the other, the first permits would expire before the last are granted.
func TestWideGangSendsPermitRequestsInParallel(t *testing.T) {
	c := newFixture(t, 1)
	for i := range 3 * maxRequestWorkers {
		c.addWorker(fmt.Sprintf("w%03d", i), 100)
	}
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 500 * time.Millisecond}
	c.addJob("small", false, plainStep(2*maxRequestWorkers+maxRequestWorkers/2)) // leaves some workers free
	c.planByKind()
	gang := plainStep(maxRequestWorkers)
	gang.Gang = true
	c.AddJob(JobInput{ID: "gang", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{gang}}, ArrivedAt: c.virtualTime})
	_, _, requests := c.planByKind()
	if len(requests) != 2 {
		t.Fatalf("%d permit requests, want two: half of the workers are expected to be allowed", len(requests))
	}
	asked := map[WorkerID]bool{}
	for _, a := range requests {
		q, ok := c.PreparePermitRequest(a.Step)
		if !ok {
			t.Fatal("a pending permit request is no longer needed")
		}
		for _, w := range q.Workers {
			if asked[w] {
				t.Errorf("two permit requests for %s", w)
			}
			asked[w] = true
		}
	}
	if len(asked) != 2*maxRequestWorkers {
		t.Errorf("permit requests for %d workers, want %d", len(asked), 2*maxRequestWorkers)
	}
	if _, _, more := c.planByKind(); len(more) != 0 {
		t.Errorf("%d more permit requests while two are unanswered", len(more))
	}
}

// Each stop costs its victim time, so that tasks are preempted where the fewest stops suffice.
func TestFewestTasksArePreempted(t *testing.T) {
	c := newFixture(t, 1)
	manySmall, oneLarge := c.addWorker("a-many", 300), c.addWorker("b-few", 300)
	lowPriority := plainQueue
	lowPriority.Priority = 2
	lowPriority.Target = time.Minute
	fill := func(job graph.JobID, w WorkerID, tasks int, cpu int64) {
		c.PutWorker(Worker{ID: w, Pool: "p", Labels: []string{string(w)}, Capacity: graph.Resources{MilliCPU: 300, MemoryMB: 1000}})
		step := plainStep(tasks)
		step.Claim.MilliCPU, step.Label, step.Checkpoints = cpu, string(w), true
		c.AddJob(JobInput{ID: job, Queue: lowPriority, Spec: &graph.Spec{Steps: []graph.Step{step}}, ArrivedAt: c.virtualTime})
	}
	fill("small", manySmall, 6, 50)
	fill("large", oneLarge, 1, 300)
	running, _, _ := c.planByKind()
	for _, s := range running {
		c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	}
	c.advance(time.Second)
	urgent := plainStep(1)
	urgent.Claim.MilliCPU = 300
	c.addJob("urgent", false, urgent)
	_, stops, _ := c.planByKind()
	if len(stops) != 1 || stops[0].Worker != oneLarge {
		t.Errorf("stops %v, want one on %s", stops, oneLarge)
	}
}

// While a gang renews its permits, its capacity is held, although tasks that need no permits would fit there.
func TestCapacityIsHeldWhileAGangRenewsItsPermits(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 200)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 500 * time.Millisecond}
	gang := plainStep(2)
	gang.Gang = true
	c.AddJob(JobInput{ID: "gang", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{gang}}, ArrivedAt: c.virtualTime})
	_, _, requests := c.planByKind()
	c.advance(500 * time.Millisecond)
	// The permits expire before they can be used.
	c.HandlePermits(requests[0].Step, requests[0].Workers, map[WorkerID]string{a: "t"}, time.Millisecond, true)
	if _, _, requests = c.planByKind(); len(requests) != 1 {
		t.Fatalf("%d permit requests, want one that renews the permits", len(requests))
	}
	if _, ok := c.PreparePermitRequest(requests[0].Step); !ok {
		t.Fatal("the permit request is no longer needed")
	}
	c.advance(100 * time.Millisecond)
	c.addJob("other", false, plainStep(2))
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Fatalf("started %v in the capacity held for the gang", starts)
	}
	c.advance(400 * time.Millisecond)
	c.HandlePermits(requests[0].Step, requests[0].Workers, map[WorkerID]string{a: "t"}, 2*time.Second, true)
	if starts, _, _ := c.planByKind(); len(starts) != 2 || starts[0].Task.Job != "gang" {
		t.Errorf("starts %v, want the gang", starts)
	}
}

// Tasks with checkpoints are preempted for more urgent ones, and the capacity is held for the step that they were preempted for.
func TestUrgentGangPreemptsTasksThatCheckpoint(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 200)
	background := plainQueue
	background.Priority = 2
	background.Target = time.Minute
	checkpointing := plainStep(2)
	checkpointing.Checkpoints = true
	c.AddJob(JobInput{ID: "low", Queue: background, Spec: &graph.Spec{Steps: []graph.Step{checkpointing}}, ArrivedAt: c.virtualTime})
	starts, _, _ := c.planByKind()
	for _, s := range starts {
		c.HandleStartOutcome(a, s.RunKey, Started)
	}
	gang := plainStep(2)
	gang.Gang = true
	c.advance(10 * time.Millisecond)
	c.addJob("high", false, gang)
	starts, stops, _ := c.planByKind()
	if len(starts) != 0 || len(stops) != 2 {
		t.Fatalf("starts %v, stops %v, want both tasks stopped", starts, stops)
	}
	c.HandleReport(a, c.virtualTime, endedReport(1, stops[0].RunKey, RunInterrupted))
	if starts, _, _ = c.planByKind(); len(starts) != 0 {
		t.Fatalf("started %v in the capacity held for the preempting gang", starts)
	}
	c.HandleReport(a, c.virtualTime, endedReport(2, stops[1].RunKey, RunInterrupted))
	if starts, _, _ = c.planByKind(); len(starts) != 2 || starts[0].Task.Job != "high" {
		t.Errorf("starts %v, want the gang", starts)
	}
}

// A task is preempted at most maxPreemptions times.
func TestTaskIsNotPreemptedWithoutBound(t *testing.T) {
	c := newFixture(t, 1)
	a := c.addWorker("a", 100)
	background := plainQueue
	background.Priority = 2
	background.Target = time.Hour
	checkpointing := plainStep(1)
	checkpointing.Checkpoints = true
	c.AddJob(JobInput{ID: "low", Queue: background, Spec: &graph.Spec{Steps: []graph.Step{checkpointing}}, ArrivedAt: c.virtualTime})
	sequence := uint64(0)
	end := func(key RunKey, outcome RunOutcome) {
		sequence++
		c.HandleReport(a, c.virtualTime, endedReport(sequence, key, outcome))
	}
	preempted := 0
	for i := range 3 * maxPreemptions {
		low, _, _ := c.planByKind()
		if len(low) != 1 || low[0].Task.Job != "low" {
			t.Fatalf("starts %v, want the preempted task again", low)
		}
		c.HandleStartOutcome(a, low[0].RunKey, Started)
		c.advance(2 * preemptionInterval)
		urgent := c.addJob(fmt.Sprint("urgent", i), false, plainStep(1))
		if _, stops, _ := c.planByKind(); len(stops) == 0 {
			break
		}
		preempted++
		end(low[0].RunKey, RunInterrupted)
		c.planByKind()
		end(runKey(urgent, 0, 0, 1), RunDone)
	}
	if preempted != maxPreemptions {
		t.Errorf("preempted %d times, want %d", preempted, maxPreemptions)
	}
}

func TestWhatWouldLoseWorkIsNotPreempted(t *testing.T) {
	checkpointing := plainStep(1)
	checkpointing.Checkpoints = true
	longRunning := checkpointing
	longRunning.LongRunning = true
	for name, step := range map[string]graph.Step{"no checkpoint": plainStep(1), "long-running": longRunning} {
		c := newFixture(t, 1)
		a := c.addWorker("a", 100)
		background := plainQueue
		background.Priority = 2
		background.Target = time.Minute
		c.AddJob(JobInput{ID: "low", Queue: background, Spec: &graph.Spec{Steps: []graph.Step{step}}, ArrivedAt: c.virtualTime})
		starts, _, _ := c.planByKind()
		c.HandleStartOutcome(a, starts[0].RunKey, Started)
		c.advance(10 * time.Millisecond)
		c.addJob("high", false, plainStep(1))
		if _, stops, _ := c.planByKind(); len(stops) != 0 {
			t.Errorf("%s: stopped %v", name, stops)
		}
	}
}

// Under overload, a job that has missed its objective does not make others of its priority miss theirs.
func TestMissedJobsDoNotDelayOthers(t *testing.T) {
	c := newFixture(t, 1)
	c.addWorker("a", 100)
	c.addJob("old", false, plainStep(1))
	c.advance(plainQueue.Objective(&graph.Spec{Steps: []graph.Step{plainStep(1)}}) + time.Second)
	c.addJob("new", false, plainStep(1))
	if starts, _, _ := c.planByKind(); len(starts) != 1 || starts[0].Task.Job != "new" {
		t.Errorf("starts %v, want the job that can still complete in time", starts)
	}
}

func ExampleRunKey() {
	fmt.Println(runKey("0123456789abcdef", 1, 2, 3).Task)
	// Output: 0123456789abcdef/0/1/2
}

// Guards against starts beyond the capacity of a worker that has shrunk, and against its missing capacity hiding what others have free.
func TestWorkerWhoseCapacityShrinksAndGrows(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 400)
	c.addJob("j", false, plainStep(6))
	if starts, _, _ := c.planByKind(); len(starts) != 4 {
		t.Fatalf("%d starts, want 4", len(starts))
	}
	c.addWorker("w", 200)
	c.advance(time.Second)
	c.HandleReport(w, c.virtualTime, endedReport(1, runKey("j", 0, 0, 1), RunDone))
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Fatalf("%d starts on a worker with three runs and room for two", len(starts))
	}
	c.addWorker("other", 50)
	c.planByKind()
	if free := c.pools["p"].free.MilliCPU; free != 50 {
		t.Errorf("the pool has %d free, want the 50 of the other worker", free)
	}
	c.addWorker("w", 400)
	c.advance(time.Second)
	if starts, _, _ := c.planByKind(); len(starts) != 1 {
		t.Errorf("%d starts after the capacity has grown, want 1", len(starts))
	}
}
