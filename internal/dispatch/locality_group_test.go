package dispatch

import (
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// sameRackStep returns a step of n tasks that prefer one rack.
func sameRackStep(n int, gang bool) graph.Step {
	s := plainStep(n)
	s.SameRack, s.Gang = true, gang
	return s
}

// racksOf returns the racks of the workers in the starts, sorted.
func (c *fixture) racksOf(starts []Start) []string {
	var racks []string
	for _, s := range starts {
		racks = append(racks, c.workers[s.Worker].Rack)
	}
	slices.Sort(racks)
	return racks
}

// busy adds a job of one task that is expected to end after d, starts it and returns its run.
func (c *fixture) busy(job string, d time.Duration) RunKey {
	c.t.Helper()
	step := plainStep(1)
	step.Estimate = d
	c.addJob(job, false, step)
	starts := c.startAll()
	if len(starts) != 1 {
		c.t.Fatalf("%d starts of %s, want one", len(starts), job)
	}
	return starts[0].RunKey
}

// newGroupFixture returns a fixture with a factor of 2 and racks r1 and r2, with the given free room each, in workers of one task. On r1
// another worker is occupied for the given time.
func newGroupFixture(t *testing.T, room1, room2 int, busy time.Duration) (*fixture, RunKey) {
	c := newFixture(t, 1)
	c.SetRemoteFactor(2)
	c.advance(time.Second)
	var occupant RunKey
	if busy > 0 {
		c.addRackWorker("occupied", "r1", 1)
		occupant = c.busy("occupant", busy)
	}
	for i := range room1 {
		c.addRackWorker("r1-"+string(rune('a'+i)), "r1", 1)
	}
	for i := range room2 {
		c.addRackWorker("r2-"+string(rune('a'+i)), "r2", 1)
	}
	return c, occupant
}

// Room for a group's tasks is spread over racks: all tasks must start on a rack that holds all of them, the one with the most room.
func TestGroupStartsOnOneRack(t *testing.T) {
	for name, gang := range map[string]bool{"gang": true, "tasks": false} {
		t.Run(name, func(t *testing.T) {
			c, _ := newGroupFixture(t, 2, 4, 0)
			c.addJob("j", false, sameRackStep(3, gang))
			if got, want := c.racksOf(c.startAll()), []string{"r2", "r2", "r2"}; !slices.Equal(got, want) {
				t.Errorf("racks %v, want %v", got, want)
			}
		})
	}
}

// Two groups want the same rack, which holds one of them: the more urgent one must get it.
func TestMoreUrgentGroupGetsTheRack(t *testing.T) {
	c, _ := newGroupFixture(t, 3, 4, 0)
	queue := plainQueue
	queue.Priority = 1
	c.AddJob(JobInput{ID: "a-later", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{sameRackStep(3, true)}}, ArrivedAt: c.virtualTime})
	c.addJob("z-urgent", false, sameRackStep(3, true))
	for _, s := range c.startAll() {
		want := "r1"
		if s.Task.Job == "z-urgent" {
			want = "r2"
		}
		if got := c.workers[s.Worker].Rack; got != want {
			t.Errorf("%s on rack %s, want %s", s.Task.Job, got, want)
		}
	}
}

// A gang fits over two racks only, and one of them is expected to have room for all of it sooner than a spread run would end: it must
// wait and then start there.
func TestGangWaitsForOneRack(t *testing.T) {
	c, occupant := newGroupFixture(t, 2, 2, 300*time.Millisecond)
	c.addJob("j", false, sameRackStep(3, true))
	if starts := c.startAll(); len(starts) != 0 {
		t.Fatalf("started %v, want a wait", starts)
	}
	c.advance(300 * time.Millisecond)
	c.HandleReport("occupied", c.virtualTime, endedReport(1, occupant, RunDone))
	if got, want := c.racksOf(c.startAll()), []string{"r1", "r1", "r1"}; !slices.Equal(got, want) {
		t.Errorf("racks %v, want %v", got, want)
	}
	if got, want := c.events(), []WaitEnd{WaitBegun, WaitKept}; !slices.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// The rack for which a gang waits drains, or its run there goes on: the gang must start over both racks, and not wait again.
func TestGangSpreadsAfterAWait(t *testing.T) {
	for name, tc := range map[string]struct {
		event func(c *fixture)
		end   WaitEnd
	}{
		"drained": {func(c *fixture) {
			for _, id := range []WorkerID{"occupied", "r1-a"} {
				w := c.workers[id].Worker
				w.Draining = true
				c.PutWorker(w)
			}
			c.advance(waitReviewInterval)
		}, WaitRoomTaken},
		"deadline": {func(c *fixture) { c.advance(time.Second) }, WaitDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newGroupFixture(t, 2, 2, 300*time.Millisecond)
			c.addJob("j", false, sameRackStep(3, true))
			c.startAll()
			tc.event(c)
			if got, want := c.racksOf(c.startAll()), []string{"r1", "r2", "r2"}; !slices.Equal(got, want) && !slices.Equal(got, []string{"r1", "r1", "r2"}) {
				t.Errorf("racks %v, want a spread start such as %v", got, want)
			}
			if got, want := c.events(), []WaitEnd{WaitBegun, tc.end}; !slices.Equal(got, want) {
				t.Errorf("events %v, want %v", got, want)
			}
		})
	}
}

// No rack will hold the gang before a spread run would end: it must start over both racks at once.
func TestGangSpreadsIfNoRackWillHoldIt(t *testing.T) {
	c, _ := newGroupFixture(t, 2, 2, 5*time.Second)
	c.addJob("j", false, sameRackStep(3, true))
	if got := c.racksOf(c.startAll()); len(got) != 3 || got[0] == got[2] {
		t.Errorf("racks %v, want a spread start", got)
	}
}

// Small tasks wait for any room: they take what becomes free on the rack one by one, so that a gang must not wait for all of it.
func TestGangDoesNotWaitWhereOthersTakeTheRoom(t *testing.T) {
	c, _ := newGroupFixture(t, 2, 2, 300*time.Millisecond)
	queue := plainQueue
	queue.Priority = 2
	small := plainStep(40)
	small.Claim.MilliCPU = 95 // labels keep these tasks from the workers that are free now
	small.Label = "occupied"
	occupied := c.workers["occupied"].Worker
	occupied.Labels = []string{"occupied"}
	c.PutWorker(occupied)
	c.AddJob(JobInput{ID: "small", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{small}}, ArrivedAt: c.virtualTime})
	c.startAll()
	c.addJob("j", false, sameRackStep(3, true))
	if starts := c.startAll(); len(starts) != 3 {
		t.Errorf("%d starts, want a spread start of 3", len(starts))
	}
}

// Tasks of a group that start later must prefer the rack where the earlier ones run, also after a takeover.
func TestLaterTasksPreferTheRackOfTheGroup(t *testing.T) {
	for name, takeover := range map[string]bool{"same owner": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			c, _ := newGroupFixture(t, 2, 0, 0)
			c.addJob("j", false, sameRackStep(3, false))
			starts := c.startAll()
			if len(starts) != 2 {
				t.Fatalf("%d starts, want the 2 for which there is room", len(starts))
			}
			if takeover {
				before := c
				c = newFixture(t, 2)
				c.SetRemoteFactor(2)
				c.virtualTime = before.virtualTime
				c.advance(time.Second)
				c.addRackWorker("r1-a", "r1", 1)
				c.addRackWorker("r1-b", "r1", 1)
				c.addJob("j", false, sameRackStep(3, false))
				for _, s := range starts {
					c.HandleReport(s.Worker, c.virtualTime, runningReport(s.RunKey))
				}
				c.startAll()
			}
			for i := range 4 {
				c.addRackWorker("r2-"+string(rune('a'+i)), "r2", 1)
			}
			c.addRackWorker("r1-z", "r1", 3)
			if got, want := c.racksOf(c.startAll()), []string{"r1"}; !slices.Equal(got, want) {
				t.Errorf("rack %v of the last task, want %v", got, want)
			}
		})
	}
}

// A step has both a data rack and the wish for one rack: the data rack comes first.
func TestDataRackComesBeforeSameRack(t *testing.T) {
	for name, gang := range map[string]bool{"gang": true, "tasks": false} {
		t.Run(name, func(t *testing.T) {
			c, _ := newGroupFixture(t, 3, 6, 0)
			step := sameRackStep(3, gang)
			step.DataRack = "r1"
			c.addJob("j", false, step)
			if got, want := c.racksOf(c.startAll()), []string{"r1", "r1", "r1"}; !slices.Equal(got, want) {
				t.Errorf("racks %v, want %v", got, want)
			}
		})
	}
}

// Gangs want one rack each in a pool that other work fills to nine tenths: waits must leave fewer of them
// spread over racks, make none of them late and each be counted as won or lost.
func TestGangsInABusyPool(t *testing.T) {
	l := localityLoad{background: 0.85, gangs: 5, factor: 2}
	without, with := l.run(t, 1, never, 10*time.Second), l.run(t, 1, nil, 10*time.Second)
	a, b := without.result("gang"), with.result("gang")
	t.Logf("late gangs of %d: %d without waits, %d with; p99 %s and %s; %d and %d runs away from their group; %+v", a.jobs, a.late, b.late, a.p99, b.p99, without.awayRuns, with.awayRuns, with.LocalityStats())
	if b.late > a.late || b.p99 > a.p99 || with.awayRuns >= without.awayRuns {
		t.Error("gangs end later with waits than without")
	}
	with.runFor(10*time.Second, nil)
	if s := with.LocalityStats(); s.Begun == 0 || s.Kept+s.GivenUp != s.Begun || s.Won+s.Lost != s.Begun {
		t.Errorf("waits %+v, want each kept or given up, and won or lost", s)
	}
}

// An idle pool would have workers reserved for a gang that does not fit. One that waits by choice must not keep room from others.
func TestGangThatWaitsReservesNothing(t *testing.T) {
	c, _ := newGroupFixture(t, 3, 3, 300*time.Millisecond)
	for i := range 3 {
		c.addRackWorker("r3-"+string(rune('a'+i)), "r3", 1)
	}
	c.addJob("j", false, sameRackStep(4, true))
	if starts := c.startAll(); len(starts) != 0 {
		t.Fatalf("started %v, want a wait", starts)
	}
	c.advance(time.Millisecond)
	c.addJob("others", false, plainStep(9))
	if starts := c.startAll(); len(starts) != 9 {
		t.Errorf("%d starts, want one on each of the 9 free workers", len(starts))
	}
}

// A gang waits for the end of runs that it could preempt, and others have taken the room for a spread start. Nothing must be stopped for it
// before its wait has ended.
func TestGangThatWaitsPreemptsNothing(t *testing.T) {
	c, _ := newGroupFixture(t, 0, 0, 0)
	for i := range 3 {
		c.addRackWorker("r1-"+string(rune('a'+i)), "r1", 1)
	}
	queue := plainQueue
	queue.Priority, queue.Stretch = 2, 10
	victims := plainStep(3)
	victims.Checkpoints, victims.Estimate = true, 300*time.Millisecond
	c.AddJob(JobInput{ID: "victims", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{victims}}, ArrivedAt: c.virtualTime})
	c.startAll()
	for _, rack := range []string{"r2", "r3"} {
		c.addRackWorker(rack+"-a", rack, 1)
		c.addRackWorker(rack+"-b", rack, 1)
	}
	c.addJob("j", false, sameRackStep(3, true))
	if starts := c.startAll(); len(starts) != 0 || c.LocalityStats().Begun != 3 {
		t.Fatalf("%d starts, %+v, want a wait", len(starts), c.LocalityStats())
	}
	c.addJob("others", false, plainStep(4)) // takes the room for a spread start
	c.startAll()
	c.advance(minSearchInterval)
	if starts, stops, _ := c.planByKind(); len(starts) != 0 || len(stops) != 0 {
		t.Errorf("%d starts, %d stops, want none", len(starts), len(stops))
	}
}

// A gang's permits have expired. It must request them again for workers of one rack that holds it, not for any that it knows to be allowed.
func TestGangRequestsPermitsForOneRack(t *testing.T) {
	c, _ := newGroupFixture(t, 1, 2, 0)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{Base: 10 * time.Millisecond}
	c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{sameRackStep(2, true)}}, ArrivedAt: c.virtualTime})
	_, _, requests := c.planByKind()
	tickets := make(map[WorkerID]string)
	for _, w := range requests[0].Workers {
		tickets[w] = "t"
	}
	c.HandlePermits(requests[0].Step, requests[0].Workers, tickets, 0, true)
	c.planByKind()
	request, ok := c.PreparePermitRequest(requests[0].Step)
	if want := []WorkerID{"r2-a", "r2-b"}; !ok || !slices.Equal(request.Workers, want) {
		t.Errorf("request %v for %v, want one for %v", ok, request.Workers, want)
	}
}

// A gang's wait was given up and its spread start was not sent. The rack is usable again: the gang must not wait a second time.
func TestGangWaitsOnce(t *testing.T) {
	c, _ := newGroupFixture(t, 2, 2, 300*time.Millisecond)
	c.addJob("j", false, sameRackStep(3, true))
	c.startAll()
	occupied := c.workers["occupied"].Worker
	occupied.Draining = true
	c.PutWorker(occupied)
	c.advance(waitReviewInterval)
	starts, _, _ := c.planByKind()
	if len(starts) != 3 {
		t.Fatalf("%d starts while the rack lacks a worker, want 3", len(starts))
	}
	for _, s := range starts {
		c.HandleStartOutcome(s.Worker, s.RunKey, StartNotSent)
	}
	occupied.Draining = false
	c.PutWorker(occupied)
	c.advance(5 * time.Millisecond)
	if starts, _, _ := c.planByKind(); len(starts) != 3 {
		t.Errorf("%d starts, want 3", len(starts))
	}
}
