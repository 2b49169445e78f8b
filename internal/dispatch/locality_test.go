package dispatch

import (
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// addRackWorker adds a worker on a rack with room for the given number of plain tasks.
func (c *fixture) addRackWorker(id, rack string, tasks int64) WorkerID {
	w := WorkerID(id)
	c.PutWorker(Worker{ID: w, Pool: "p", Rack: rack, Capacity: graph.Resources{MilliCPU: 100 * tasks, MemoryMB: 1000}})
	c.SetReachable(w, true)
	return w
}

// newRackFixture returns a fixture with the given remote factor, a full worker "near" on rack r1, whose run of the job "occupant" is
// expected to end after busy, and a free worker "away" on rack r2.
func newRackFixture(t *testing.T, factor float64, busy time.Duration) (*fixture, RunKey) {
	c := newFixture(t, 1)
	c.SetRemoteFactor(factor)
	c.advance(time.Second)
	near := c.addRackWorker("near", "r1", 1)
	occupant := plainStep(1)
	occupant.Estimate = busy
	key := runKey(c.addJob("occupant", false, occupant), 0, 0, 1)
	c.startAll()
	c.addRackWorker("away", "r2", 10)
	if !c.HasRuns(near) {
		t.Fatal("the worker on the rack has no run")
	}
	return c, key
}

// startAll plans and confirms the starts, and returns them.
func (c *fixture) startAll() []Start {
	starts, _, _ := c.planByKind()
	for _, s := range starts {
		c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	}
	return starts
}

func dataStep(n int, estimate time.Duration) graph.Step {
	s := plainStep(n)
	s.DataRack, s.Estimate = "r1", estimate
	return s
}

// events returns the ends of the waits that TakeLocalityEvents returns.
func (c *fixture) events() []WaitEnd {
	var ends []WaitEnd
	for _, e := range c.TakeLocalityEvents() {
		ends = append(ends, e.End)
	}
	return ends
}

// Room near the data is expected sooner than the longer run elsewhere would end: the task must wait for it and then start there.
func TestTaskWaitsForRoomNearItsData(t *testing.T) {
	c, occupant := newRackFixture(t, 2, 300*time.Millisecond)
	c.addJob("j", false, dataStep(1, time.Second))
	if starts := c.startAll(); len(starts) != 0 {
		t.Fatalf("started %v, want a wait", starts)
	}
	if why := strings.Join(c.Explain("j", 0), "\n"); !strings.Contains(why, "1 tasks wait for room on rack r1 for at most 500ms more: they take 2 times as long elsewhere") {
		t.Errorf("explanation %q, want the wait in it", why)
	}
	c.advance(300 * time.Millisecond)
	c.HandleReport("near", c.virtualTime, endedReport(1, occupant, RunDone))
	starts := c.startAll()
	if len(starts) != 1 || starts[0].Worker != "near" {
		t.Fatalf("started %v, want a start on the rack", starts)
	}
	c.advance(time.Second)
	c.HandleReport("near", c.virtualTime, endedReport(2, starts[0].RunKey, RunDone))
	if got, want := c.LocalityStats(), (LocalityStats{Begun: 1, Kept: 1, Won: 1}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	if got, want := c.events(), []WaitEnd{WaitBegun, WaitKept}; !slices.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// A wait must not hold the room that it does not use, neither elsewhere nor on the rack.
func TestWaitHoldsNoRoom(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond)
	c.addJob("j", false, dataStep(10, time.Second))
	starts := c.startAll()
	if len(starts) != 9 {
		t.Fatalf("%d starts, want 9 elsewhere and one wait", len(starts))
	}
	c.addJob("other", false, plainStep(1))
	if starts := c.startAll(); len(starts) != 1 || starts[0].Worker != "away" {
		t.Errorf("started %v, want the other job in the room that the wait does not use", starts)
	}
}

// The expected run ends late although its estimate was short, by ten: the wait must end at its deadline, and the task must start
// elsewhere and not wait again when that start is refused.
func TestWaitEndsAtItsDeadlineIfTheEstimateIsWrongByTen(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond) // the run takes 3 s
	c.addJob("j", false, dataStep(1, time.Second))
	began := c.virtualTime
	var starts []Start
	for len(starts) == 0 && c.virtualTime < began.Add(3*time.Second) {
		c.advance(5 * time.Millisecond)
		starts, _, _ = c.planByKind()
	}
	if len(starts) != 1 || starts[0].Worker != "away" {
		t.Fatalf("started %v, want a start elsewhere", starts)
	}
	if waited := c.virtualTime.Sub(began); waited > 1010*time.Millisecond {
		t.Errorf("waited %s, want at most what a wait can gain, 1 s", waited)
	}
	c.HandleStartOutcome("away", starts[0].RunKey, StartRefused)
	c.advance(5 * time.Millisecond)
	if starts := c.startAll(); len(starts) != 1 {
		t.Errorf("%d starts after the refusal, want one: a task waits once", len(starts))
	}
	if got, want := c.LocalityStats(), (LocalityStats{Begun: 1, GivenUp: 1, Lost: 1}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// A wait was given up and the start elsewhere was not sent. The rack is usable again, and room is expected there: the task must not
// wait a second time, since waits would add up beyond what one can gain.
func TestTaskWaitsOnce(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond)
	c.addJob("j", false, dataStep(1, time.Second))
	c.startAll()
	near := Worker{ID: "near", Pool: "p", Rack: "r1", Capacity: graph.Resources{MilliCPU: 100, MemoryMB: 1000}, Draining: true}
	c.PutWorker(near)
	starts, _, _ := c.planByKind()
	if len(starts) != 1 {
		t.Fatalf("%d starts while the rack drains, want one", len(starts))
	}
	c.HandleStartOutcome("away", starts[0].RunKey, StartNotSent)
	near.Draining = false
	c.PutWorker(near)
	c.advance(5 * time.Millisecond)
	if starts := c.startAll(); len(starts) != 1 || starts[0].Worker != "away" {
		t.Errorf("started %v, want a start elsewhere", starts)
	}
}

// The owner's loop is late: a wait whose deadline has passed must end before anything else is decided about it.
func TestWaitEndsAfterItsDeadline(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond)
	c.addJob("j", false, dataStep(1, time.Second))
	c.startAll()
	c.advance(time.Second)
	if starts := c.startAll(); len(starts) != 1 || starts[0].Worker != "away" {
		t.Fatalf("started %v, want a start elsewhere", starts)
	}
	if got, want := c.events(), []WaitEnd{WaitBegun, WaitDeadline}; !slices.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// Progress shows that the run on the rack takes ten times its estimate: no task must wait for its end.
func TestProgressOverridesTheEstimate(t *testing.T) {
	c, occupant := newRackFixture(t, 2, 300*time.Millisecond)
	c.advance(200 * time.Millisecond)
	c.HandleReport("near", c.virtualTime, Report{Running: []RunningEntry{{RunKey: occupant, Progress: 11}}})
	c.addJob("j", false, dataStep(1, time.Second))
	if starts := c.startAll(); len(starts) != 1 || starts[0].Worker != "away" {
		t.Errorf("started %v, want a start elsewhere: the room is expected after 1.6 s", starts)
	}
}

// The rack drains while a task waits for it: the wait must end with the next plan.
func TestWaitEndsWhenTheRackDrains(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond)
	c.addJob("j", false, dataStep(1, time.Second))
	c.startAll()
	c.advance(5 * time.Millisecond)
	c.PutWorker(Worker{ID: "near", Pool: "p", Rack: "r1", Capacity: graph.Resources{MilliCPU: 100, MemoryMB: 1000}, Draining: true})
	if starts := c.startAll(); len(starts) != 1 || starts[0].Worker != "away" {
		t.Fatalf("started %v, want a start elsewhere", starts)
	}
	if got, want := c.events(), []WaitEnd{WaitBegun, WaitRackGone}; !slices.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// More urgent work arrives that will take the expected room: the wait must end, and the task must start elsewhere.
func TestWaitEndsWhenMoreUrgentWorkTakesTheRoom(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond)
	queue := plainQueue
	queue.Priority = 1
	c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{dataStep(1, time.Second)}}, ArrivedAt: c.virtualTime})
	c.startAll()
	c.addJob("urgent", false, dataStep(1, time.Second))
	c.advance(waitReviewInterval)
	starts := c.startAll()
	if len(starts) != 1 || starts[0].Task.Job != "j" || starts[0].Worker != "away" {
		t.Fatalf("started %v, want the less urgent job elsewhere", starts)
	}
	if got, want := c.events(), []WaitEnd{WaitBegun, WaitBegun, WaitRoomTaken}; !slices.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// Steps ahead already want more than the room that is expected: there is no gain in waiting, and no wait must begin.
func TestNoWaitBehindALongQueue(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond)
	labelled := dataStep(5, time.Second)
	labelled.MaxPerWorker = 1 // one starts away, four remain and want the rack
	c.addJob("ahead", false, labelled)
	c.startAll()
	c.TakeLocalityEvents()
	c.advance(time.Millisecond)
	c.addJob("j", false, dataStep(3, time.Second))
	if starts := c.startAll(); len(starts) != 3 {
		t.Errorf("%d starts, want 3 elsewhere at once", len(starts))
	}
	if events := c.events(); len(events) != 0 {
		t.Errorf("events %v, want no wait", events)
	}
}

// The job's slack bounds a wait: with less slack than the expected wait, a job that can complete in time elsewhere must start at once.
func TestWaitLeavesTheJobItsSlack(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond)
	queue := plainQueue
	queue.Stretch, queue.Target = 2, 200*time.Millisecond // elsewhere the job ends 200 ms before it is due
	c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{dataStep(1, time.Second)}}, ArrivedAt: c.virtualTime})
	if starts := c.startAll(); len(starts) != 1 {
		t.Errorf("%d starts, want one elsewhere", len(starts))
	}
}

// A permit for the worker on the rack expires before room is expected there: it is worth nothing, and no wait must begin.
func TestNoWaitForRoomAfterThePermitExpires(t *testing.T) {
	for name, tc := range map[string]struct {
		valid time.Duration
		waits bool
	}{"expires": {400 * time.Millisecond, false}, "lasts": {2 * time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			c, _ := newRackFixture(t, 2, 300*time.Millisecond)
			queue := plainQueue
			queue.Permit = &graph.PermitLatency{Base: time.Millisecond}
			c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{dataStep(1, time.Second)}}, ArrivedAt: c.virtualTime})
			_, _, requests := c.planByKind()
			if len(requests) != 1 || !slices.Equal(requests[0].Workers, []WorkerID{"near", "away"}) {
				t.Fatalf("permit requests %v, want one that includes the full worker on the rack", requests)
			}
			c.HandlePermits(requests[0].Step, requests[0].Workers, map[WorkerID]string{"near": "t", "away": "t"}, tc.valid, true)
			if waits := len(c.startAll()) == 0; waits != tc.waits {
				t.Errorf("waits: %v, want %v", waits, tc.waits)
			}
		})
	}
}

// The policy service refuses the only worker on the rack: no wait must begin.
func TestNoWaitForAWorkerThatIsNotAllowed(t *testing.T) {
	c, _ := newRackFixture(t, 2, 300*time.Millisecond)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: time.Millisecond}
	c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{dataStep(1, time.Second)}}, ArrivedAt: c.virtualTime})
	c.startAll()
	c.HandlePermits(StepID{Job: "j"}, []WorkerID{"near", "away"}, map[WorkerID]string{"away": "t"}, 2*time.Second, true)
	if starts := c.startAll(); len(starts) != 1 || starts[0].Worker != "away" {
		t.Errorf("started %v, want a start elsewhere", starts)
	}
}

// The owner is lost while a task waits. The new one knows of no wait; it must start the task once, and no earlier run of it may exist.
func TestTakeoverForgetsAWait(t *testing.T) {
	c, occupant := newRackFixture(t, 2, 300*time.Millisecond)
	j := c.addJob("j", false, dataStep(1, time.Second))
	if starts := c.startAll(); len(starts) != 0 {
		t.Fatalf("started %v, want a wait", starts)
	}
	next := newFixture(t, 2)
	next.SetRemoteFactor(2)
	next.virtualTime = c.virtualTime
	next.advance(100 * time.Millisecond)
	next.AwaitReport("near", "p")
	next.addRackWorker("near", "r1", 1)
	next.addRackWorker("away", "r2", 10)
	step := plainStep(1)
	step.Estimate = 300 * time.Millisecond
	next.addJob("occupant", true, step)
	next.addJob(string(j), true, dataStep(1, time.Second))
	if starts := next.startAll(); len(starts) != 0 {
		t.Fatalf("started %v before the workers reported", starts)
	}
	next.HandleReport("near", next.virtualTime, runningReport(occupant))
	next.startAll() // it may wait anew: when the occupant started is not known any more
	next.advance(200 * time.Millisecond)
	next.HandleReport("near", next.virtualTime, endedReport(1, occupant, RunDone))
	next.startAll()
	if got := next.jobs[j].occurrence(0).steps[0].tasks[0].run; got == nil || got.worker.ID != "near" {
		t.Errorf("run %+v, want one on the rack", got)
	}
	if len(next.locality.waits) != 0 {
		t.Errorf("%d waits are left", len(next.locality.waits))
	}
}

// A job is cancelled, or its run is reported by a worker, while its task waits: nothing of the wait must be left.
func TestWaitThatIsNotNeededEnds(t *testing.T) {
	for name, event := range map[string]func(c *fixture){
		"cancelled": func(c *fixture) { c.Cancel("j") },
		"run found": func(c *fixture) { c.HandleReport("away", c.virtualTime, runningReport(runKey("j", 0, 0, 7))) },
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newRackFixture(t, 2, 300*time.Millisecond)
			c.addJob("j", false, dataStep(1, time.Second))
			c.startAll()
			c.advance(5 * time.Millisecond)
			event(c)
			c.startAll()
			if got, want := c.events(), []WaitEnd{WaitBegun, WaitNotNeeded}; !slices.Equal(got, want) {
				t.Errorf("events %v, want %v", got, want)
			}
			if got, want := c.LocalityStats(), (LocalityStats{Begun: 1, GivenUp: 1}); got != want {
				t.Errorf("counts %+v, want %+v", got, want)
			}
		})
	}
}

// In cells where places make no difference, the orders must be those of an engine that knows no factor.
func TestOrdersWithoutRemoteFactor(t *testing.T) {
	orders := func(set func(*placesWorld)) []string {
		l := localityLoad{background: 0.7, hot: 0.6, rate: 34, gangs: 3, factor: 1, drains: true}
		return l.run(t, 1, set, 4*time.Second).orders
	}
	want := orders(func(w *placesWorld) { w.locality = localityState{} })
	for name, factor := range map[string]float64{"0": 0, "1": 1} {
		if got := orders(func(w *placesWorld) { w.SetRemoteFactor(factor) }); !slices.Equal(got, want) {
			t.Errorf("factor %s: %d orders differ from the %d of an engine without a factor", name, len(got), len(want))
		}
	}
	if len(want) < 1000 {
		t.Errorf("%d orders, want at least 1000 to compare", len(want))
	}
}

// Tasks wait for a rack. Others that could run anywhere must not take the room that becomes free there, as packing alone would have them do.
func TestOthersLeaveAWantedRackAlone(t *testing.T) {
	for name, tc := range map[string]struct {
		factor float64
		want   WorkerID
	}{"places matter": {2, "away"}, "places make no difference": {1, "near"}} {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.SetRemoteFactor(tc.factor)
			c.advance(time.Second)
			c.addRackWorker("near", "r1", 10)
			filler := plainStep(9)
			filler.Estimate = 300 * time.Millisecond
			c.addJob("filler", false, filler)
			c.startAll()
			away := c.workers[c.addRackWorker("away", "r2", 20)].Worker
			away.Labels = []string{"away"}
			c.PutWorker(away)
			filler.Label, filler.Count = "away", 17
			c.addJob("other filler", false, filler)
			c.startAll()
			large := dataStep(1, time.Second)
			large.Claim.MilliCPU = 500
			if tc.factor == 1 {
				large.Claim.MilliCPU = 2000 // fits nowhere
			}
			c.addJob("waits", false, large)
			c.startAll()
			c.advance(5 * time.Millisecond)
			c.addJob("other", false, plainStep(1))
			if starts := c.startAll(); len(starts) != 1 || starts[0].Worker != tc.want {
				t.Errorf("started %v, want a start on %s", starts, tc.want)
			}
		})
	}
}

// Most quick jobs want one rack, which has room for half of their tasks: waits must make fewer of them late, and most waits must be
// worth it.
func TestHotRack(t *testing.T) {
	l := localityLoad{background: 0.4, hot: 0.6, rate: 34, factor: 2}
	without := l.run(t, 1, never, 6*time.Second)
	with := l.run(t, 1, nil, 6*time.Second)
	a, b := without.result("quick"), with.result("quick")
	t.Logf("late quick jobs of %d: %d without waits, %d with; %d and %d runs near; %+v", a.jobs, a.late, b.late, without.nearRuns, with.nearRuns, with.LocalityStats())
	if b.late >= a.late || with.nearRuns <= without.nearRuns {
		t.Errorf("%d late jobs and %d runs near with waits, %d and %d without", b.late, with.nearRuns, a.late, without.nearRuns)
	}
	if s := with.LocalityStats(); s.Won < 2*s.Lost {
		t.Errorf("waits %+v, want twice as many won as lost", s)
	}
}
