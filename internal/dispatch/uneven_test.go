package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/workerspeed"
)

// unevenWorker is a worker of an unevenCell.
type unevenWorker struct {
	id WorkerID
	// speed is the speed of the runs that start at the given time since the cell's start.
	speed func(time.Duration) float64
	// failureRate is the share of its runs that the worker fails by its own fault.
	failureRate float64
	// failing means that runs fail soon after they start.
	failing func(time.Duration) bool
	// stalled means that runs neither progress nor end.
	stalled  func(time.Duration) bool
	sequence uint64
	running  map[RunKey]*unevenRun
}

type unevenRun struct {
	key    RunKey
	worker *unevenWorker
	// workFrom is when the run began to make progress.
	workFrom monotime.Instant
	takes    time.Duration
	outcome  RunOutcome
	stalled  bool
}

// unevenEvent is something that happens at a time in an unevenCell.
type unevenEvent struct {
	at  monotime.Instant
	seq int
	do  func()
}

type unevenEvents []unevenEvent

func (q unevenEvents) Len() int { return len(q) }
func (q unevenEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q unevenEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *unevenEvents) Push(x any)   { *q = append(*q, x.(unevenEvent)) }
func (q *unevenEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// unevenLoad is the load of an unevenCell. Times are at the usual speed.
type unevenLoad struct {
	// share is the work that arrives as a share of what the pool does at the speeds at its start.
	share float64
	// wrongEstimates makes the estimates of whole jobs wrong by a factor of up to ten either way.
	wrongEstimates bool
	// longTails is the share of the tasks that take seven times as long as their siblings.
	longTails float64
	// failures is the share of the runs that fail by their task's fault.
	failures float64
	// speculative sets Speculative for the steps of quick jobs.
	speculative bool
	// wideWidth is the number of tasks in each step of wide jobs, wideAttempts how often they may fail; 0 for the usual ones.
	wideWidth, wideAttempts int
}

const (
	unevenCores     = 64_000
	quickTime       = 570 * time.Millisecond
	quickCores      = 11_000
	wideTime        = 4600 * time.Millisecond
	wideCores       = 18_000
	unevenOrderTime = 5 * time.Millisecond
	unevenFailTime  = 10 * time.Millisecond
)

var (
	unevenQuickQueue = graph.Queue{Name: "quick", Pool: "p", MaxAttempts: 4, Stretch: 1.5, Target: 300 * time.Millisecond, Permit: &graph.PermitLatency{Base: 17 * time.Millisecond, PerWorker: 234 * time.Microsecond}}
	unevenWideQueue  = graph.Queue{Name: "wide", Pool: "p", Priority: 2, MaxAttempts: 4, Stretch: 4, Target: 3 * time.Second, Permit: &graph.PermitLatency{Base: 100 * time.Millisecond, PerWorker: time.Millisecond}}
)

// unevenCell drives an engine with quick and wide jobs on workers of different speed and health, in virtual time.
type unevenCell struct {
	t      *testing.T
	engine *Engine
	// arrivals draws the jobs, rng all else, so that cells with the same seed get the same jobs.
	arrivals, rng *rand.Rand
	now           monotime.Instant
	begin         monotime.Instant
	events        unevenEvents
	seq           int
	workers       []*unevenWorker
	byID          map[WorkerID]*unevenWorker
	load          unevenLoad
	jobs          int
	due           map[graph.JobID]monotime.Instant
	open          map[graph.JobID]bool
	// trace holds the orders, if traced is set.
	traced bool
	trace  []string
	// startsOn counts the starts by worker, failedOn the failed runs.
	startsOn, failedOn map[WorkerID]int
	workerEvents       []string
	met, quick         int
	wideStarts         int
	failedJobs         int
	// lastFailedOn holds by task the worker of the last run that failed, failedAgain counts those that failed there again.
	lastFailedOn map[graph.TaskID]WorkerID
	failedAgain  int
}

func constantSpeed(s float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return s }
}

// newUnevenCell returns a cell with the given number of workers, a quarter of them at 0.55 times the usual speed and the others at
// 1.2 if uneven is set, otherwise all at the usual speed.
func newUnevenCell(t *testing.T, seed uint64, workers int, uneven bool, load unevenLoad) *unevenCell {
	c := &unevenCell{
		t: t, engine: New(1), arrivals: rand.New(rand.NewPCG(seed, 3)), rng: rand.New(rand.NewPCG(seed, 7)), now: monotime.Instant(time.Second), load: load,
		byID: map[WorkerID]*unevenWorker{}, due: map[graph.JobID]monotime.Instant{}, open: map[graph.JobID]bool{},
		startsOn: map[WorkerID]int{}, failedOn: map[WorkerID]int{}, lastFailedOn: map[graph.TaskID]WorkerID{},
	}
	c.begin = c.now
	c.engine.SetNow(c.now)
	for i := range workers {
		speed := 1.0
		if uneven {
			speed = 1.2
			if i%4 == 0 {
				speed = 0.55
			}
		}
		w := &unevenWorker{id: WorkerID(fmt.Sprintf("w%03d", i)), speed: constantSpeed(speed), running: map[RunKey]*unevenRun{}}
		c.workers = append(c.workers, w)
		c.byID[w.id] = w
		c.engine.PutWorker(Worker{ID: w.id, Pool: "p", Capacity: graph.Resources{MilliCPU: unevenCores, MemoryMB: 131072}})
		c.engine.SetReachable(w.id, true)
	}
	return c
}

func (c *unevenCell) age() time.Duration { return c.now.Sub(c.begin) }

func (c *unevenCell) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, unevenEvent{c.now.Add(d), c.seq, do})
}

// run drives the cell for the given time with arriving jobs. Jobs that arrive in the first part, warmup, don't count.
func (c *unevenCell) run(warmup, length time.Duration) {
	const (
		quickWork   = 1.5 * 10 * float64(quickTime) * quickCores
		quickPerOne = 14.0 // quick jobs for each wide one
	)
	width, wideQueue := 20, unevenWideQueue
	if c.load.wideWidth > 0 {
		width, wideQueue.MaxAttempts = c.load.wideWidth, c.load.wideAttempts
	}
	wideWork := 2 * float64(width) * float64(wideTime) * wideCores
	speeds := 0.0
	for _, w := range c.workers {
		speeds += w.speed(0)
	}
	wideGap := time.Duration((quickWork*quickPerOne + wideWork) / (c.load.share * speeds * unevenCores))
	until := c.now.Add(length)
	var quick, wide func()
	quick = func() {
		if c.now < until {
			c.addQuickJob(c.age() >= warmup)
			c.after(time.Duration(c.arrivals.ExpFloat64()*float64(wideGap)/quickPerOne), quick)
		}
	}
	wide = func() {
		if c.now < until {
			c.addJob("wide", wideQueue, false, false, c.step(width, wideTime, wideCores), c.step(width, wideTime, wideCores, 0))
			c.after(time.Duration(c.arrivals.ExpFloat64()*float64(wideGap)), wide)
		}
	}
	c.after(0, quick)
	c.after(0, wide)
	for i, w := range c.workers {
		c.reportLater(w, time.Duration(i)*time.Second/time.Duration(len(c.workers)))
	}
	planAt := c.now
	for c.events.Len() > 0 && c.events[0].at < until {
		e := heap.Pop(&c.events).(unevenEvent)
		c.now = e.at
		c.engine.SetNow(c.now)
		e.do()
		if c.now >= planAt {
			planAt = c.now.Add(2 * time.Millisecond)
			c.plan()
		}
	}
}

func (c *unevenCell) step(count int, takes time.Duration, cores int64, after ...int) graph.Step {
	return graph.Step{Count: count, Claim: graph.Resources{MilliCPU: cores, MemoryMB: 1000}, Estimate: takes, After: after}
}

func (c *unevenCell) addQuickJob(counts bool) {
	steps := []graph.Step{c.step(10, quickTime, quickCores)}
	if c.arrivals.IntN(2) == 0 {
		steps = append(steps, c.step(10, quickTime, quickCores, 0))
	}
	c.addJob("quick", unevenQuickQueue, counts, c.load.speculative, steps...)
}

func (c *unevenCell) addJob(kind string, queue graph.Queue, counts, speculative bool, steps ...graph.Step) {
	c.jobs++
	id := graph.JobID(fmt.Sprintf("%s%05d", kind, c.jobs))
	if counts {
		c.quick++
		c.due[id] = c.now.Add(queue.Objective(&graph.Spec{Steps: steps}))
	}
	wrong := 1.0
	if c.load.wrongEstimates {
		wrong = math.Pow(10, 2*c.arrivals.Float64()-1)
	}
	for i := range steps {
		steps[i].Speculative = speculative
		steps[i].Estimate = time.Duration(wrong * float64(steps[i].Estimate))
	}
	c.open[id] = true
	c.engine.AddJob(JobInput{ID: id, Queue: queue, Spec: &graph.Spec{Steps: steps}, ArrivedAt: c.now})
}

func (c *unevenCell) plan() {
	for _, order := range c.engine.Plan(0) {
		if c.traced {
			c.trace = append(c.trace, fmt.Sprintf("%d %+v", c.now, order))
		}
		switch o := order.(type) {
		case Start:
			c.startsOn[o.Worker]++
			c.after(unevenOrderTime, func() { c.start(o) })
		case Stop:
			c.after(unevenOrderTime, func() { c.stop(o) })
		case PermitRequest:
			if request, ok := c.engine.PreparePermitRequest(o.Step); ok {
				c.after(request.Latency, func() { c.answer(request) })
			}
		}
	}
	for _, e := range c.engine.TakeWorkerEvents() {
		c.workerEvents = append(c.workerEvents, fmt.Sprintf("%.1f %s %s", c.age().Seconds(), e.Worker, e.Kind))
	}
}

// answer answers a permit request. Half of the workers are allowed for a step.
func (c *unevenCell) answer(request PermitRequest) {
	tickets := map[WorkerID]string{}
	for _, w := range request.Workers {
		if c.rng.IntN(2) == 0 {
			tickets[w] = "t"
		}
	}
	c.engine.HandlePermits(request.Step, request.Workers, tickets, 2*time.Second, true)
}

func (c *unevenCell) start(o Start) {
	w := c.byID[o.Worker]
	usual := quickTime
	if o.Task.Job[0] == 'w' {
		usual = wideTime
		c.wideStarts++
	}
	takes := float64(usual) / w.speed(c.age()) * (0.95 + 0.1*c.rng.Float64())
	if c.rng.Float64() < c.load.longTails {
		takes *= 7
	}
	r := &unevenRun{key: o.RunKey, worker: w, takes: time.Duration(takes)}
	if c.rng.Float64() < c.load.failures+w.failureRate {
		r.outcome = RunFailed
		r.takes /= 2
	}
	if w.failing != nil && w.failing(c.age()) {
		r.outcome, r.takes = RunFailed, unevenFailTime
	}
	w.running[o.RunKey] = r
	c.engine.HandleStartOutcome(o.Worker, o.RunKey, Started)
	c.endLater(r)
}

// endLater ends a run when it has done its work. A run that stands still starts its work when its worker recovers.
func (c *unevenCell) endLater(r *unevenRun) {
	r.stalled = r.worker.stalled != nil && r.worker.stalled(c.age())
	if r.stalled {
		c.after(100*time.Millisecond, func() { c.endLater(r) })
		return
	}
	r.workFrom = c.now
	c.after(r.takes, func() { c.end(r, r.outcome) })
}

func (c *unevenCell) stop(o Stop) {
	c.engine.HandleStopAnswer(o.Worker, o.RunKey, true)
	if r := c.byID[o.Worker].running[o.RunKey]; r != nil {
		c.end(r, RunInterrupted)
	}
}

func (c *unevenCell) end(r *unevenRun, outcome RunOutcome) {
	w := r.worker
	if w.running[r.key] != r {
		return
	}
	delete(w.running, r.key)
	if outcome == RunFailed {
		c.failedOn[w.id]++
		if c.lastFailedOn[r.key.Task] == w.id {
			c.failedAgain++
		}
		c.lastFailedOn[r.key.Task] = w.id
	}
	w.sequence++
	report := endedReport(w.sequence, r.key, outcome)
	report.Partial = true
	c.engine.HandleReport(w.id, c.now, report)
	id := r.key.Task.Job
	state, _ := c.engine.JobState(id)
	if !state.Ended() || !c.open[id] {
		return
	}
	delete(c.open, id)
	if due, counts := c.due[id]; counts && state == graph.Completed && c.now <= due {
		c.met++
	}
	if state == graph.Failed {
		c.failedJobs++
	}
}

// reportLater lets the worker report its runs each second.
func (c *unevenCell) reportLater(w *unevenWorker, d time.Duration) {
	c.after(d, func() {
		report := Report{Partial: true}
		for _, key := range slices.SortedFunc(maps.Keys(w.running), compareRuns) {
			r, progress := w.running[key], 0
			if !r.stalled {
				progress = int(100 * c.now.Sub(r.workFrom) / r.takes)
			}
			report.Running = append(report.Running, RunningEntry{RunKey: r.key, Progress: progress})
		}
		c.engine.HandleReport(w.id, c.now, report)
		c.reportLater(w, time.Second)
	})
}

func compareRuns(a, b RunKey) int {
	return cmp.Or(strings.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Number, b.Number))
}

// metShare is the share of the quick jobs that met their objective.
func (c *unevenCell) metShare() float64 { return float64(c.met) / float64(max(1, c.quick)) }

// slowIDs lists the workers that count as slow.
func (c *unevenCell) slowIDs() []WorkerID {
	var ids []WorkerID
	for id, w := range c.engine.workers {
		if w.speed.Slow() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// A quarter of the workers run at 0.55 times the usual speed, the others at 1.2. A step of ten tasks nearly always has one on a
// slow worker unless placement knows the speeds. Work of lower priority must not pay with its throughput.
func TestQuickJobsMeetObjectiveOnUnevenWorkers(t *testing.T) {
	for _, load := range []struct{ share, least float64 }{{0.6, 0.9}, {0.9, 0.85}} {
		t.Run(fmt.Sprint(load.share), func(t *testing.T) {
			wideBefore, wideAfter := 0, 0
			for seed := range uint64(3) {
				before := newUnevenCell(t, seed, 64, true, unevenLoad{share: load.share})
				before.engine.uniformSpeeds = true
				before.run(10*time.Second, 40*time.Second)
				after := newUnevenCell(t, seed, 64, true, unevenLoad{share: load.share})
				after.run(10*time.Second, 40*time.Second)
				t.Logf("seed %d: of %d quick jobs %.3f met their objective without speeds, %.3f with; wide starts %d and %d",
					seed, after.quick, before.metShare(), after.metShare(), before.wideStarts, after.wideStarts)
				if after.metShare() < load.least {
					t.Errorf("seed %d: %.3f of the quick jobs met their objective, want at least %.2f", seed, after.metShare(), load.least)
				}
				wideBefore, wideAfter = wideBefore+before.wideStarts, wideAfter+after.wideStarts
				if slow := after.slowIDs(); len(slow) != 16 {
					t.Errorf("seed %d: %d workers count as slow, want 16: %v", seed, len(slow), slow)
				}
			}
			if float64(wideAfter) < 0.98*float64(wideBefore) {
				t.Errorf("%d wide tasks started, %d without speeds", wideAfter, wideBefore)
			}
		})
	}
}

// On sound workers of equal speed, estimates of speeds and of failures must not change a single order.
func TestEqualSpeedsChangeNoOrder(t *testing.T) {
	for _, load := range []unevenLoad{{share: 0.6}, {share: 0.95}, {share: 0.8, wrongEstimates: true, longTails: 0.03}} {
		traces := map[bool][]string{}
		for _, uniform := range []bool{true, false} {
			c := newUnevenCell(t, 5, 40, false, load)
			c.engine.uniformSpeeds, c.engine.noEjections, c.traced = uniform, uniform, true
			c.run(0, 30*time.Second)
			traces[uniform] = c.trace
		}
		if len(traces[false]) < 1000 {
			t.Fatalf("%+v: %d orders, want at least 1000", load, len(traces[false]))
		}
		if !slices.Equal(traces[true], traces[false]) {
			t.Errorf("%+v: the orders differ", load)
		}
	}
}

// An estimate that is wrong for a whole job, by a factor of up to ten, and single tasks that take seven times as long as their
// siblings say nothing about a worker.
func TestWrongEstimatesAndLongTasksMakeNoWorkerSlow(t *testing.T) {
	for seed := range uint64(5) {
		c := newUnevenCell(t, seed, 64, false, unevenLoad{share: 0.8, wrongEstimates: true, longTails: 0.03})
		c.run(0, 60*time.Second)
		if len(c.workerEvents) > 0 {
			t.Errorf("seed %d: workers of the usual speed: %v", seed, c.workerEvents)
		}
	}
}

// The same, where some workers are slow: these are found.
func TestSlowWorkersAreFoundInSpiteOfWrongEstimates(t *testing.T) {
	c := newUnevenCell(t, 1, 64, true, unevenLoad{share: 0.8, wrongEstimates: true, longTails: 0.03})
	c.run(10*time.Second, 40*time.Second)
	if slow := c.slowIDs(); len(slow) != 16 {
		t.Errorf("%d workers count as slow, want 16: %v", len(slow), slow)
	}
}

// A worker turns slow after 10 s and recovers after 30 s. Both must show within a few seconds.
func TestWorkerThatTurnsSlowAndRecovers(t *testing.T) {
	c := newUnevenCell(t, 2, 40, false, unevenLoad{share: 0.7})
	c.workers[7].speed = func(age time.Duration) float64 {
		if age > 10*time.Second && age < 30*time.Second {
			return 0.4
		}
		return 1
	}
	isSlow := map[int]bool{}
	for second := 1; second < 60; second++ {
		c.after(time.Duration(second)*time.Second, func() { isSlow[second] = c.byID["w007"].slowIn(c.engine) })
	}
	c.run(0, 60*time.Second)
	var slowFrom, slowUntil int
	for second := range 60 {
		if isSlow[second] {
			slowUntil = second
			if slowFrom == 0 {
				slowFrom = second
			}
		}
	}
	t.Logf("slow from second %d to %d", slowFrom, slowUntil)
	if slowFrom <= 10 || slowFrom > 18 {
		t.Errorf("counts as slow from second %d, want within 8 s of second 10", slowFrom)
	}
	if slowUntil < 28 || slowUntil > 44 {
		t.Errorf("counts as slow until second %d, want until at most 14 s after second 30", slowUntil)
	}
	if slow := c.slowIDs(); len(slow) != 0 {
		t.Errorf("slow at the end: %v", slow)
	}
}

func (w *unevenWorker) slowIn(e *Engine) bool { return e.workers[w.id].speed.Slow() }

// slowWorker makes a worker count as slow.
func (c *fixture) slowWorker(id WorkerID) {
	pool := c.poolSpeed("p")
	for range 10 {
		var siblings workerspeed.Siblings
		open := len(c.workers)
		end := func(name WorkerID, takes time.Duration) {
			open--
			siblings.Add(pool, c.now, workerspeed.Run{Worker: &c.workers[name].speed, Time: takes}, len(c.workers), open)
		}
		for _, name := range slices.Sorted(maps.Keys(c.workers)) { // runs end in order of their times
			if name != id {
				end(name, time.Second)
			}
		}
		end(id, 2*time.Second)
	}
	c.speedsRefreshedAt = 0
	c.planByKind()
	if !c.workers[id].speed.Slow() {
		c.t.Fatalf("worker %s does not count as slow", id)
	}
}

// The slowest member of a gang holds the others up: a gang asks for its permits on, and starts on, slow workers last.
func TestGangAvoidsSlowWorker(t *testing.T) {
	f := newGangFixture(t, 4)
	f.slowWorker("w0")
	workers := []string{"w0", "w1", "w2", "w3"}
	f.addGang("g", 6, time.Minute, workers...)
	f.advance(searchTime)
	f.planByKind()
	request, ok := f.prepare("g")
	if !ok || len(request.Workers) != 3 || slices.Contains(request.Workers, "w0") {
		t.Fatalf("request %v for workers %v, want the three that are not slow", ok, request.Workers)
	}
	f.answer(request, 2*time.Second)
	starts, _, _ := f.planByKind()
	for _, s := range starts {
		if s.Worker == "w0" {
			t.Errorf("a member starts on the slow worker")
		}
	}
	if len(starts) != 6 {
		t.Errorf("%d starts, want all six members", len(starts))
	}
}

// A slow worker is used when no other has capacity.
func TestSlowWorkerIsUsedWhenOthersAreFull(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	for i := range 4 {
		c.addWorker(fmt.Sprint("w", i), 100)
	}
	c.slowWorker("w0")
	if on := c.startWorkers("a", plainStep(3), 0); len(on) != 3 || slices.Contains(on, "w0") {
		t.Errorf("starts on %v, want the three workers that are not slow", on)
	}
	if on := c.startWorkers("b", plainStep(1), 0); len(on) != 1 || on[0] != "w0" {
		t.Errorf("starts on %v, want the slow worker", on)
	}
}

// Tasks with much slack leave the fast workers free.
func TestTaskWithSlackPrefersSlowWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	for i := range 4 {
		c.addWorker(fmt.Sprint("w", i), 1000)
	}
	c.slowWorker("w3")
	if on := c.startWorkers("a", plainStep(5), 2); len(on) != 5 || slices.ContainsFunc(on, func(w WorkerID) bool { return w != "w3" }) {
		t.Errorf("starts on %v, want all on the slow worker", on)
	}
}

// An urgent task waits for a fast worker while runs there end at a high rate, but no longer than its bound, and then uses the slow
// one.
func TestUrgentTaskWaitsForFastWorkerWithinBound(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	for i := range 4 {
		c.addWorker(fmt.Sprint("w", i), 100)
	}
	c.slowWorker("w0")
	c.startWorkers("full", plainStep(3), 0)
	c.pools["p"].fastFreed.add(graph.Resources{MilliCPU: 10_000, MemoryMB: 10_000}, c.now)
	if on := c.startWorkers("urgent", plainStep(1), 0); len(on) != 0 {
		t.Fatalf("starts on %v, want a wait", on)
	}
	c.advance(maxFastWait)
	starts, _, _ := c.planByKind()
	if len(starts) != 1 || starts[0].Worker != "w0" {
		t.Errorf("starts %v after the bound, want one on the slow worker", starts)
	}
}
