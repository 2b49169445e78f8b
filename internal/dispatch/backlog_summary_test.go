package dispatch

import (
	"reflect"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/overload"
)

// The backlog holds what waits in a pool in its order, by how soon it is due: no task that runs, no step that waits for another
// one, no job that is far beyond its objective and no long-running one.
func TestBacklogOfAPool(t *testing.T) {
	c := newFixture(t, 1)
	c.addWorker("a", 1000)
	c.addWorker("b", 1000)
	leaving := Worker{ID: "leaving", Pool: "p", Draining: true, Capacity: graph.Resources{MilliCPU: 1000}}
	c.PutWorker(leaving)
	c.PutWorker(Worker{ID: "silent", Pool: "p", Capacity: graph.Resources{MilliCPU: 1000, MemoryMB: 1000}})
	add := func(id string, priority int, steps ...graph.Step) {
		queue := plainQueue
		queue.Priority = priority
		c.AddJob(JobInput{ID: graph.JobID(id), Queue: queue, Spec: &graph.Spec{Steps: steps}, ArrivedAt: c.virtualTime})
	}
	longRunning := graph.Step{Count: 20, Claim: graph.Resources{MilliCPU: 50}, LongRunning: true}
	add("service", 9, longRunning)
	add("old", 1, plainStep(30))
	if starts, _, _ := c.planByKind(); len(starts) != 20 {
		t.Fatalf("%d starts, want 20 to fill both workers", len(starts))
	}
	// The objective is 2.5 s: the old job can be complete in time until 1.5 s, and is worthless after 6.5 s.
	c.advance(2 * time.Second)
	add("new", 0, plainStep(10), plainStep(40, 0))
	add("other", 2, plainStep(5))
	task := overload.Amounts{0.1, 0.01}
	want := overload.Pool{
		Capacity: overload.Amounts{3, 2.93}, Free: overload.Amounts{0, 1.76},
		Classes: []overload.Class{
			{Priority: 0, DueWithin: 5.7, MissesAfter: 2, ExpiresAfter: 10, Claims: overload.Amounts{1, 0.1}, Work: overload.Amounts{1, 0.1}, LowShare: 0.1, LargestTask: task},
			{Priority: 1, Missed: true, ExpiresAfter: 4.5, Claims: overload.Amounts{1, 0.1}, Work: overload.Amounts{1, 0.1}, LowShare: 0.1, LargestTask: task},
			{Priority: 2, DueWithin: 2.54, MissesAfter: 1.5, ExpiresAfter: 6.5, Claims: overload.Amounts{0.5, 0.05}, Work: overload.Amounts{0.5, 0.05}, LowShare: 0.1, LargestTask: task},
		},
	}
	if got := c.Backlog().Pools["p"]; !reflect.DeepEqual(got, want) {
		t.Errorf("backlog\n%+v, want\n%+v", got, want)
	}
	c.advance(5 * time.Second)
	for _, class := range c.Backlog().Pools["p"].Classes {
		if class.Priority == 1 {
			t.Errorf("a job that is worthless counts as work ahead: %+v", class)
		}
	}
}

// Estimates are corrected by the run times of the queue's steps. A run that resumed another one's work does not count.
func TestBacklogLearnsFromRunTimes(t *testing.T) {
	c := newFixture(t, 1)
	w := c.addWorker("a", 1000)
	sequence := uint64(0)
	end := func(key RunKey, outcome RunOutcome) {
		sequence++
		c.HandleReport(w, c.virtualTime, endedReport(sequence, key, outcome))
	}
	for i := range 40 {
		id := c.addJob(string(rune('A'+i)), false, plainStep(1))
		c.planByKind()
		key := runKey(id, 0, 0, 1)
		c.HandleStartOutcome(w, key, Started)
		if i%2 == 0 {
			c.advance(3 * time.Second)
			end(key, RunDone)
			continue
		}
		end(key, RunInterrupted)
		c.planByKind()
		c.advance(100 * time.Millisecond)
		end(runKey(id, 0, 0, 2), RunDone)
	}
	c.addJob("waiting", false, plainStep(50))
	if _, _, requests := c.planByKind(); len(requests) != 0 {
		t.Fatal("permits requested")
	}
	backlog := c.Backlog()
	class := backlog.Pools["p"].Classes[0]
	if class.Work[0] != 12 || class.LowShare != 1 || backlog.HighRatios["q"] != 3 {
		t.Errorf("work %.1f core seconds, low share %.2f, high ratio %.1f; want 4 cores for 3 s, 1, 3", class.Work[0], class.LowShare, backlog.HighRatios["q"])
	}
}
