package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// cell drives an engine in virtual time.
type cell struct {
	t *testing.T
	*Engine
	clock monotime.Instant
}

func newCell(t *testing.T, epoch uint64) *cell {
	return &cell{t: t, Engine: New(epoch), clock: 1}
}

func (c *cell) advance(d time.Duration) {
	c.clock = c.clock.Add(d)
	c.SetNow(c.clock)
}

func (c *cell) worker(id string, cpu int64) WorkerID {
	w := WorkerID(id)
	c.PutWorker(Worker{ID: w, Pool: "p", Capacity: graph.Resources{MilliCPU: cpu, MemoryMB: 1000}})
	c.SetReachable(w, true)
	return w
}

var plainQueue = graph.Queue{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.5, Target: time.Second}

func (c *cell) job(id string, uncertain bool, steps ...graph.Step) graph.JobID {
	j := graph.JobID(id)
	c.AddJob(j, plainQueue, &graph.Spec{Steps: steps}, c.clock, nil, uncertain)
	return j
}

func plainStep(n int, after ...int) graph.Step {
	return graph.Step{Count: n, Claim: graph.Resources{MilliCPU: 100, MemoryMB: 10}, Estimate: time.Second, After: after}
}

// plan returns the orders by kind.
func (c *cell) plan() (starts []Start, stops []Stop, asks []PermitRequest) {
	for _, order := range c.Plan(0) {
		switch o := order.(type) {
		case Start:
			starts = append(starts, o)
		case Stop:
			stops = append(stops, o)
		case PermitRequest:
			asks = append(asks, o)
		}
	}
	return starts, stops, asks
}

func key(job graph.JobID, step, index int, number uint64) RunKey {
	return RunKey{graph.TaskID{Job: job, Step: step, Index: index}, number}
}

func running(keys ...RunKey) Report {
	var r Report
	for _, k := range keys {
		r.Running = append(r.Running, RunningEntry{RunKey: k})
	}
	return r
}

func ended(sequence uint64, k RunKey, end RunOutcome) Report {
	return Report{Ended: []EndedEntry{{Sequence: sequence, RunKey: k, End: end}}}
}

// A new owner hears of a second step's run before it hears that the first step has ended, which the earlier owner knew.
func TestRunOfLaterStepIsKeptAfterTakeover(t *testing.T) {
	c := newCell(t, 2)
	a, b := c.worker("a", 1000), c.worker("b", 1000)
	c.AwaitReport(a, "p")
	c.AwaitReport(b, "p")
	j := c.job("j", true, plainStep(1), plainStep(1, 0))
	c.HandleReport(a, c.clock, running(key(j, 1, 0, 1)))
	c.HandleReport(b, c.clock, ended(1, key(j, 0, 0, 1), RunDone))
	starts, stops, _ := c.plan()
	if len(starts) != 0 || len(stops) != 0 {
		t.Errorf("starts %v, stops %v, want the run kept", starts, stops)
	}
}

// A task whose unneeded run is still being stopped is not started elsewhere.
func TestTaskWaitsForItsStrayRun(t *testing.T) {
	c := newCell(t, 2)
	a, b := c.worker("a", 1000), c.worker("b", 1000)
	j := c.job("j", false, plainStep(1))
	c.HandleReport(a, c.clock, running(key(j, 0, 0, 1)))
	c.HandleReport(b, c.clock, running(key(j, 0, 0, 2)))
	_, stops, _ := c.plan()
	if len(stops) != 1 || stops[0].Worker != b {
		t.Fatalf("stops %v, want the second run stopped", stops)
	}
	c.HandleReport(a, c.clock, ended(1, key(j, 0, 0, 1), RunInterrupted))
	if starts, _, _ := c.plan(); len(starts) != 0 {
		t.Fatalf("started %v while a stray run is being stopped", starts)
	}
	c.HandleReport(b, c.clock, ended(1, key(j, 0, 0, 2), RunInterrupted))
	if starts, _, _ := c.plan(); len(starts) != 1 {
		t.Errorf("%d starts, want 1 once the stray run has ended", len(starts))
	}
}

func TestUncertainJobWaitsForAwaitedWorkers(t *testing.T) {
	c := newCell(t, 2)
	a, b := c.worker("a", 1000), c.worker("b", 1000)
	c.AwaitReport(a, "p")
	c.AwaitReport(b, "p")
	c.job("old", true, plainStep(1))
	c.job("new", false, plainStep(1))
	c.HandleReport(a, c.clock, Report{})
	starts, _, _ := c.plan()
	if len(starts) != 1 || starts[0].Task.Job != "new" {
		t.Fatalf("starts %v, want only the job that no earlier owner knew", starts)
	}
	c.RemoveWorker(b)
	if starts, _, _ = c.plan(); len(starts) != 1 || starts[0].Number <= runNumbersPerEpoch {
		t.Errorf("starts %v, want the old job under a number above the earlier owner's", starts)
	}
}

// A silent worker holds back only jobs that may run on its pool.
func TestAwaitedWorkerHoldsBackItsPoolOnly(t *testing.T) {
	c := newCell(t, 2)
	c.worker("a", 1000)
	c.AwaitReport("gone", "other")
	c.job("old", true, plainStep(1))
	if starts, _, _ := c.plan(); len(starts) != 1 {
		t.Errorf("%d starts, want 1", len(starts))
	}
}

func TestStartInDoubtIsSettledBeforeTheNext(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 1000)
	j := c.job("j", false, plainStep(1))
	starts, _, _ := c.plan()
	c.HandleStartOutcome(a, starts[0].RunKey, StartInDoubt)
	starts, stops, _ := c.plan()
	if len(starts) != 0 || len(stops) != 1 {
		t.Fatalf("starts %v, stops %v, want only a stop", starts, stops)
	}
	sent := c.clock
	c.advance(time.Millisecond)
	c.HandleStopAnswer(a, key(j, 0, 0, 1), true)
	c.HandleReport(a, sent, Report{})
	if starts, _, _ = c.plan(); len(starts) != 0 {
		t.Fatal("started on a report that is older than the answer to the stop")
	}
	c.advance(time.Millisecond)
	c.HandleReport(a, c.clock, Report{})
	if starts, _, _ = c.plan(); len(starts) != 1 || starts[0].Number != 2 {
		t.Errorf("starts %v, want run 2", starts)
	}
}

// A machine has gone without a word: what is sent to it until its looks fail is in doubt for most of a second each.
func TestWorkerThatLeavesStartsUnansweredGetsNoMore(t *testing.T) {
	c := newCell(t, 1)
	c.advance(time.Second)
	dead, sound := c.worker("a", 1000), c.worker("b", 1000)
	first := c.job("first", false, plainStep(1))
	starts, _, _ := c.plan()
	if len(starts) != 1 || starts[0].Worker != dead {
		t.Fatalf("starts %v, want one on the worker that is about to go", starts)
	}
	startsOn := func(job string) map[WorkerID]int {
		c.job(job, false, plainStep(3))
		on := make(map[WorkerID]int)
		starts, _, _ := c.plan()
		for _, s := range starts {
			on[s.Worker]++
			if s.Worker == sound {
				c.HandleStartOutcome(sound, s.RunKey, Started)
			}
		}
		return on
	}
	c.advance(200 * time.Millisecond)
	if on := startsOn("second"); on[dead] > 0 || on[sound] != 3 {
		t.Errorf("starts %v while one is unanswered, want them on the other worker", on)
	}
	c.advance(500 * time.Millisecond)
	c.HandleStartOutcome(dead, key(first, 0, 0, 1), StartInDoubt)
	if on := startsOn("third"); on[dead] > 0 || on[sound] != 3 {
		t.Errorf("starts %v after one went unanswered, want them on the other worker", on)
	}
}

func TestNeverBeyondCapacity(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 250)
	j := c.job("j", false, plainStep(5))
	starts, _, _ := c.plan()
	if len(starts) != 2 {
		t.Fatalf("%d starts on a worker with room for 2", len(starts))
	}
	c.HandleStartOutcome(a, starts[0].RunKey, Started)
	c.HandleStartOutcome(a, starts[1].RunKey, Started)
	c.Cancel(j)
	c.job("k", false, plainStep(5))
	if starts, _, _ = c.plan(); len(starts) != 0 {
		t.Errorf("started %v while what is being stopped holds its claim", starts)
	}
}

func TestFailureIsCountedOnceAcrossOwners(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 1000)
	j := c.job("j", false, plainStep(1))
	c.plan()
	c.HandleReport(a, c.clock, ended(1, key(j, 0, 0, 1), RunFailed))
	recorded := c.TakeDirty(10)[j]

	next := newCell(t, 2)
	next.worker("a", 1000)
	next.AddJob(j, plainQueue, &graph.Spec{Steps: []graph.Step{plainStep(1)}}, next.clock, &recorded, true)
	next.HandleReport(a, next.clock, ended(1, key(j, 0, 0, 1), RunFailed))
	if state, _ := next.JobState(j); state == graph.Failed {
		t.Fatal("one failed run counted as two attempts")
	}
	next.HandleReport(a, next.clock, ended(2, key(j, 0, 0, runNumbersPerEpoch+1), RunFailed))
	if state, _ := next.JobState(j); state != graph.Failed {
		t.Errorf("state %s after two failed runs, want failed", state)
	}
}

// A new owner hears of two failed runs from two workers, the later run first.
func TestFailuresHeardOutOfOrderAllCount(t *testing.T) {
	c := newCell(t, 2)
	a, b := c.worker("a", 1000), c.worker("b", 1000)
	j := c.job("j", true, plainStep(1))
	c.HandleReport(b, c.clock, ended(1, key(j, 0, 0, 2), RunFailed))
	c.HandleReport(a, c.clock, ended(1, key(j, 0, 0, 1), RunFailed))
	if starts, _, _ := c.plan(); len(starts) != 0 {
		t.Errorf("started %v after two failed runs", starts)
	}
	if state, _ := c.JobState(j); state != graph.Failed {
		t.Errorf("state %s, want failed", state)
	}
}

func TestGangStartsTogetherAndRestartsAsAWhole(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 150)
	gang := plainStep(2)
	gang.Gang = true
	j := c.job("j", false, gang)
	if starts, _, _ := c.plan(); len(starts) != 0 {
		t.Fatalf("started %v of a gang that does not fit", starts)
	}
	b := c.worker("b", 150)
	starts, _, _ := c.plan()
	if len(starts) != 2 || starts[0].Number != starts[1].Number {
		t.Fatalf("starts %v, want both members under one number", starts)
	}
	c.HandleStartOutcome(starts[0].Worker, starts[0].RunKey, Started)
	c.HandleStartOutcome(starts[1].Worker, starts[1].RunKey, StartNoCapacity)
	starts, stops, _ := c.plan()
	if len(stops) != 1 || len(starts) != 0 {
		t.Fatalf("starts %v, stops %v, want the other member stopped", starts, stops)
	}
	c.advance(time.Second)
	c.HandleReport(stops[0].Worker, c.clock, ended(1, stops[0].RunKey, RunInterrupted))
	starts, _, _ = c.plan()
	if len(starts) != 2 {
		t.Fatalf("%d starts, want the gang again", len(starts))
	}
	c.HandleReport(a, c.clock, ended(5, key(j, 0, 0, starts[0].Number), RunDone))
	c.HandleReport(b, c.clock, ended(5, key(j, 0, 1, starts[0].Number), RunDone))
	if state, _ := c.JobState(j); state != graph.Completed {
		t.Errorf("state %s, want completed", state)
	}
}

func TestLongRunningTaskIsRestartedHoweverItEnds(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 1000)
	lasting := plainStep(1)
	lasting.LongRunning = true
	j := c.job("j", false, lasting)
	for i, end := range []RunOutcome{RunFailed, RunFailed, RunFailed, RunDone, RunInterrupted} {
		starts, _, _ := c.plan()
		if len(starts) != 1 {
			t.Fatalf("%d starts after %d ends, want 1", len(starts), i)
		}
		c.HandleReport(a, c.clock, ended(uint64(i+1), key(j, 0, 0, starts[0].Number), end))
	}
}

func TestCheckpointIsCarriedToTheNextRun(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 1000)
	j := c.job("j", false, plainStep(1))
	c.plan()
	report := ended(1, key(j, 0, 0, 1), RunInterrupted)
	report.Ended[0].Checkpoint = "saved"
	c.HandleReport(a, c.clock, report)
	if starts, _, _ := c.plan(); len(starts) != 1 || starts[0].Checkpoint != "saved" {
		t.Errorf("starts %v, want one that resumes", starts)
	}
}

func TestScheduledJobStartsAtItsTimes(t *testing.T) {
	c := newCell(t, 1)
	c.worker("a", 1000)
	spec := &graph.Spec{Steps: []graph.Step{plainStep(1)}, Occurrences: 2, StartAt: 10 * time.Second, Interval: 5 * time.Second}
	c.AddJob("j", plainQueue, spec, c.clock, nil, false)
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
	c := newCell(t, 1)
	a, b := c.worker("a", 1000), c.worker("b", 1000)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: time.Millisecond}
	c.AddJob("j", queue, &graph.Spec{Steps: []graph.Step{plainStep(3)}}, c.clock, nil, false)
	starts, _, asks := c.plan()
	if len(starts) != 0 || len(asks) != 1 || len(asks[0].Workers) != 2 {
		t.Fatalf("starts %v, asks %v, want one question about both workers", starts, asks)
	}
	c.HandlePermits(asks[0].Step, asks[0].Workers, map[WorkerID]string{b: "ticket"}, 2*time.Second, true)
	starts, _, _ = c.plan()
	if len(starts) != 3 {
		t.Fatalf("%d starts, want 3", len(starts))
	}
	for _, s := range starts {
		if s.Worker == a || s.Permit != "ticket" {
			t.Errorf("start %v, want it on the allowed worker with its ticket", s)
		}
	}
}

// A gang that needs whole workers gets them although small tasks keep coming to each worker, if half the pool is free.
func TestGangIsNotStarvedBySmallTasks(t *testing.T) {
	const workers = 8
	c := newCell(t, 1)
	name := func(i int) string { return fmt.Sprint("w", i) }
	for i := range workers {
		c.PutWorker(Worker{ID: WorkerID(name(i)), Pool: "p", Labels: []string{name(i)}, Capacity: graph.Resources{MilliCPU: 300, MemoryMB: 1000}})
		c.SetReachable(WorkerID(name(i)), true)
	}
	jobs := 0
	small := func(worker string) {
		step := plainStep(1)
		step.Label = worker
		jobs++
		c.job(fmt.Sprint("small", jobs), false, step)
	}
	for i := range workers {
		small(name(i))
	}
	running, _, _ := c.plan()
	gang := plainStep(2)
	gang.Gang = true
	gang.Claim.MilliCPU = 300
	c.job("gang", false, gang)
	sequences := make(map[WorkerID]uint64)
	for range 5 * workers {
		c.advance(100 * time.Millisecond)
		oldest := running[0]
		running = running[1:]
		small(string(oldest.Worker))
		sequences[oldest.Worker]++
		c.HandleReport(oldest.Worker, c.clock, ended(sequences[oldest.Worker], oldest.RunKey, RunDone))
		starts, _, _ := c.plan()
		for _, s := range starts {
			if s.Task.Job == "gang" {
				return
			}
		}
		running = append(running, starts...)
	}
	t.Error("the gang never started although more than half of the pool was free all the while")
}

// Workers get room for a gang one after the other: as soon as all of it fits, it asks for all the permits that it needs at one
// time, also for those that would lapse before the answer comes.
func TestGangAsksForAllItsPermitsAtOneTime(t *testing.T) {
	c := newCell(t, 1)
	early := []WorkerID{c.worker("a", 100), c.worker("b", 100)}
	late := []WorkerID{c.worker("c", 100), c.worker("d", 100)}
	c.job("small", false, plainStep(4))
	running, _, _ := c.plan()
	sequences := map[WorkerID]uint64{}
	free := func(workers []WorkerID) {
		for _, s := range running {
			if slices.Contains(workers, s.Worker) {
				sequences[s.Worker]++
				c.HandleReport(s.Worker, c.clock, ended(sequences[s.Worker], s.RunKey, RunDone))
			}
		}
	}
	free(early)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 500 * time.Millisecond}
	gang := plainStep(4)
	gang.Gang = true
	c.AddJob("gang", queue, &graph.Spec{Steps: []graph.Step{gang}}, c.clock, nil, false)
	_, _, asks := c.plan()
	if len(asks) != 1 {
		t.Fatalf("%d questions, want one", len(asks))
	}
	c.advance(500 * time.Millisecond)
	c.HandlePermits(asks[0].Step, early, map[WorkerID]string{"a": "t", "b": "t"}, time.Second, true)
	c.advance(300 * time.Millisecond)
	free(late)
	_, _, asks = c.plan()
	if len(asks) != 1 {
		t.Fatalf("%d questions, want one as soon as the gang fits", len(asks))
	}
	if ask, ok := c.PreparePermitRequest(asks[0].Step); !ok || len(ask.Workers) != 4 {
		t.Errorf("asked about %v, want all four", ask.Workers)
	}
}

// A gang that is wider than what the policy service allows of one question's workers asks about others at the same time: its
// permits would lapse one question after the other.
func TestWideGangAsksSeveralQuestionsAtOnce(t *testing.T) {
	c := newCell(t, 1)
	for i := range 3 * maxRequestWorkers {
		c.worker(fmt.Sprintf("w%03d", i), 100)
	}
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 500 * time.Millisecond}
	c.job("small", false, plainStep(2*maxRequestWorkers+maxRequestWorkers/2)) // only some workers have room left
	c.plan()
	gang := plainStep(maxRequestWorkers)
	gang.Gang = true
	c.AddJob("gang", queue, &graph.Spec{Steps: []graph.Step{gang}}, c.clock, nil, false)
	_, _, asks := c.plan()
	if len(asks) != 2 {
		t.Fatalf("%d questions, want two: half of the workers are allowed as far as is known", len(asks))
	}
	asked := map[WorkerID]bool{}
	for _, a := range asks {
		q, ok := c.PreparePermitRequest(a.Step)
		if !ok {
			t.Fatal("a question need not be asked")
		}
		for _, w := range q.Workers {
			if asked[w] {
				t.Errorf("asked about %s twice", w)
			}
			asked[w] = true
		}
	}
	if len(asked) != 2*maxRequestWorkers {
		t.Errorf("asked about %d workers, want %d", len(asked), 2*maxRequestWorkers)
	}
	if _, _, more := c.plan(); len(more) != 0 {
		t.Errorf("%d more questions while two have no answer", len(more))
	}
}

// Each stop costs its victim time: room is made where it takes the fewest.
func TestFewestTasksArePreempted(t *testing.T) {
	c := newCell(t, 1)
	many, few := c.worker("a-many", 300), c.worker("b-few", 300)
	low := plainQueue
	low.Priority = 2
	low.Target = time.Minute
	fill := func(job graph.JobID, w WorkerID, tasks int, cpu int64) {
		c.PutWorker(Worker{ID: w, Pool: "p", Labels: []string{string(w)}, Capacity: graph.Resources{MilliCPU: 300, MemoryMB: 1000}})
		step := plainStep(tasks)
		step.Claim.MilliCPU, step.Label, step.Checkpoints = cpu, string(w), true
		c.AddJob(job, low, &graph.Spec{Steps: []graph.Step{step}}, c.clock, nil, false)
	}
	fill("small", many, 6, 50)
	fill("large", few, 1, 300)
	running, _, _ := c.plan()
	for _, s := range running {
		c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	}
	c.advance(time.Second)
	urgent := plainStep(1)
	urgent.Claim.MilliCPU = 300
	c.job("urgent", false, urgent)
	_, stops, _ := c.plan()
	if len(stops) != 1 || stops[0].Worker != few {
		t.Errorf("stops %v, want one on %s", stops, few)
	}
}

// A gang that renews its permits finds its room again, although others that need none would take it meanwhile.
func TestRoomIsKeptWhileAGangRenewsItsPermits(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 200)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 500 * time.Millisecond}
	gang := plainStep(2)
	gang.Gang = true
	c.AddJob("gang", queue, &graph.Spec{Steps: []graph.Step{gang}}, c.clock, nil, false)
	_, _, asks := c.plan()
	c.advance(500 * time.Millisecond)
	// The permits lapse before they can be used.
	c.HandlePermits(asks[0].Step, asks[0].Workers, map[WorkerID]string{a: "t"}, time.Millisecond, true)
	if _, _, asks = c.plan(); len(asks) != 1 {
		t.Fatalf("%d questions, want the permits renewed", len(asks))
	}
	if _, ok := c.PreparePermitRequest(asks[0].Step); !ok {
		t.Fatal("the permits need not be renewed")
	}
	c.advance(100 * time.Millisecond)
	c.job("other", false, plainStep(2))
	if starts, _, _ := c.plan(); len(starts) != 0 {
		t.Fatalf("started %v in the room of the gang", starts)
	}
	c.advance(400 * time.Millisecond)
	c.HandlePermits(asks[0].Step, asks[0].Workers, map[WorkerID]string{a: "t"}, 2*time.Second, true)
	if starts, _, _ := c.plan(); len(starts) != 2 || starts[0].Task.Job != "gang" {
		t.Errorf("starts %v, want the gang", starts)
	}
}

// Tasks that save their progress make room for more urgent ones; the room is kept for the step that it was made for.
func TestUrgentGangPreemptsTasksThatCheckpoint(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 200)
	background := plainQueue
	background.Priority = 2
	background.Target = time.Minute
	saving := plainStep(2)
	saving.Checkpoints = true
	c.AddJob("low", background, &graph.Spec{Steps: []graph.Step{saving}}, c.clock, nil, false)
	starts, _, _ := c.plan()
	for _, s := range starts {
		c.HandleStartOutcome(a, s.RunKey, Started)
	}
	gang := plainStep(2)
	gang.Gang = true
	c.advance(10 * time.Millisecond)
	c.job("high", false, gang)
	starts, stops, _ := c.plan()
	if len(starts) != 0 || len(stops) != 2 {
		t.Fatalf("starts %v, stops %v, want both tasks stopped", starts, stops)
	}
	c.HandleReport(a, c.clock, ended(1, stops[0].RunKey, RunInterrupted))
	if starts, _, _ = c.plan(); len(starts) != 0 {
		t.Fatalf("started %v in room that is kept for the gang", starts)
	}
	c.HandleReport(a, c.clock, ended(2, stops[1].RunKey, RunInterrupted))
	if starts, _, _ = c.plan(); len(starts) != 2 || starts[0].Task.Job != "high" {
		t.Errorf("starts %v, want the gang", starts)
	}
}

// One task is stopped for others only so often, whatever comes.
func TestTaskIsNotPreemptedForEver(t *testing.T) {
	c := newCell(t, 1)
	a := c.worker("a", 100)
	background := plainQueue
	background.Priority = 2
	background.Target = time.Hour
	saving := plainStep(1)
	saving.Checkpoints = true
	c.AddJob("low", background, &graph.Spec{Steps: []graph.Step{saving}}, c.clock, nil, false)
	sequence := uint64(0)
	end := func(key RunKey, how RunOutcome) {
		sequence++
		c.HandleReport(a, c.clock, ended(sequence, key, how))
	}
	stopped := 0
	for i := range 3 * maxPreemptions {
		low, _, _ := c.plan()
		if len(low) != 1 || low[0].Task.Job != "low" {
			t.Fatalf("starts %v, want the preempted task again", low)
		}
		c.HandleStartOutcome(a, low[0].RunKey, Started)
		c.advance(2 * preemptionInterval)
		urgent := c.job(fmt.Sprint("urgent", i), false, plainStep(1))
		if _, stops, _ := c.plan(); len(stops) == 0 {
			break
		}
		stopped++
		end(low[0].RunKey, RunInterrupted)
		c.plan()
		end(key(urgent, 0, 0, 1), RunDone)
	}
	if stopped != maxPreemptions {
		t.Errorf("stopped %d times, want %d", stopped, maxPreemptions)
	}
}

func TestWhatWouldLoseWorkIsNotPreempted(t *testing.T) {
	saving := plainStep(1)
	saving.Checkpoints = true
	lasting := saving
	lasting.LongRunning = true
	for name, step := range map[string]graph.Step{"no checkpoint": plainStep(1), "long-running": lasting} {
		c := newCell(t, 1)
		a := c.worker("a", 100)
		background := plainQueue
		background.Priority = 2
		background.Target = time.Minute
		c.AddJob("low", background, &graph.Spec{Steps: []graph.Step{step}}, c.clock, nil, false)
		starts, _, _ := c.plan()
		c.HandleStartOutcome(a, starts[0].RunKey, Started)
		c.advance(10 * time.Millisecond)
		c.job("high", false, plainStep(1))
		if _, stops, _ := c.plan(); len(stops) != 0 {
			t.Errorf("%s: stopped %v", name, stops)
		}
	}
}

// Under overload a job that has missed its objective does not make others of its priority miss theirs.
func TestMissedJobsDoNotDelayOthers(t *testing.T) {
	c := newCell(t, 1)
	c.worker("a", 100)
	c.job("old", false, plainStep(1))
	c.advance(plainQueue.Objective(&graph.Spec{Steps: []graph.Step{plainStep(1)}}) + time.Second)
	c.job("new", false, plainStep(1))
	if starts, _, _ := c.plan(); len(starts) != 1 || starts[0].Task.Job != "new" {
		t.Errorf("starts %v, want the job that can still complete in time", starts)
	}
}

func ExampleRunKey() {
	fmt.Println(key("0123456789abcdef", 1, 2, 3).Task)
	// Output: 0123456789abcdef/0/1/2
}
