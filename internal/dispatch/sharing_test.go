package dispatch

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

const testTailTarget = 60 * time.Millisecond

func fillerStep(n int) graph.Step {
	s := plainStep(n)
	s.Filler, s.Checkpoints, s.MaxPerWorker = true, true, 1
	return s
}

func targetStep(n int) graph.Step {
	s := plainStep(n)
	s.LongRunning, s.TailTarget, s.MaxPerWorker = true, testTailTarget, 1
	return s
}

// confirmStarts confirms the starts of a plan and returns them by worker.
func (c *fixture) confirmStarts() map[WorkerID]Start {
	started := make(map[WorkerID]Start)
	starts, _, _ := c.planByKind()
	for _, s := range starts {
		c.HandleStartOutcome(s.Worker, s.RunKey, Started)
		started[s.Worker] = s
	}
	return started
}

// tailReport is a report of a serving run with a tail latency.
func tailReport(key RunKey, tail time.Duration) Report {
	return Report{Running: []RunningEntry{{RunKey: key, Progress: 100, Measure: float64(tail.Milliseconds()), Measured: true}}}
}

// Guards against tasks that never start: a task with a latency target waited for as long as a filler was on each worker.
func TestTaskWithATargetMakesFillersLeave(t *testing.T) {
	for _, workers := range []int{1, 6} {
		for name, queue := range map[string]graph.Queue{"same priority": plainQueue, "fillers more urgent": {Name: "low", Pool: "p", Priority: 5, MaxAttempts: 2}} {
			c := newFixture(t, 1)
			for n := range workers {
				c.addWorker(fmt.Sprint(n), 1000)
			}
			c.addJob("fillers", false, fillerStep(workers))
			fillers := c.confirmStarts()
			c.AddJob(JobInput{ID: "serving", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{targetStep(1)}}, ArrivedAt: c.virtualTime})
			starts, stops, _ := c.planByKind()
			if len(starts) != 1 || len(stops) != 1 || stops[0].Worker != starts[0].Worker || stops[0].RunKey != fillers[stops[0].Worker].RunKey {
				t.Errorf("%d workers, %s: starts %v, stops %v, want one start and the filler there stopped", workers, name, starts, stops)
			}
		}
	}
}

// A filler is stopped only where there is no other worker, and not if its step would miss more tasks than it may.
func TestFillersLeaveOnlyWhereTheyHaveTo(t *testing.T) {
	c := newFixture(t, 1)
	c.addWorker("a", 1000)
	c.addJob("fillers", false, fillerStep(1))
	c.confirmStarts()
	c.addWorker("b", 1000)
	c.addJob("serving", false, targetStep(1))
	if starts, stops, _ := c.planByKind(); len(stops) != 0 || len(starts) != 1 || starts[0].Worker != "b" {
		t.Errorf("starts %v, stops %v, want a start on the worker without fillers", starts, stops)
	}

	c = newFixture(t, 1)
	c.addWorker("a", 1000)
	c.addWorker("b", 1000)
	lasting := fillerStep(2)
	lasting.LongRunning, lasting.MaxUnavailable = true, 1
	c.addJob("fillers", false, lasting)
	for w, s := range c.confirmStarts() {
		c.HandleReport(w, c.virtualTime, tailReport(s.RunKey, 0))
	}
	c.addJob("serving", false, targetStep(2))
	if starts, stops, _ := c.planByKind(); len(stops) != 1 || len(starts) != 1 {
		t.Errorf("starts %v, stops %v, want one of each: the step of fillers may miss one task", starts, stops)
	}
}

// Guards against a job of fillers that never runs while a task with a latency target is on each worker. Fillers start beside tasks that are
// well below their targets alone, and leave before one misses its own.
func TestFillersRunBesideCalmTasks(t *testing.T) {
	c := newFixture(t, 1)
	for _, id := range []string{"a", "b"} {
		c.addWorker(id, 1000)
	}
	c.addJob("serving", false, targetStep(2))
	serving := c.confirmStarts()
	report := func(tails map[WorkerID]time.Duration) {
		c.advance(time.Second)
		for w, tail := range tails {
			c.HandleReport(w, c.virtualTime, tailReport(serving[w].RunKey, tail))
		}
	}
	c.addJob("fillers", false, fillerStep(1))
	if starts := c.confirmStarts(); len(starts) != 0 {
		t.Fatalf("starts %v while nothing is known of the tails", starts)
	}
	report(map[WorkerID]time.Duration{"a": 50 * time.Millisecond, "b": 20 * time.Millisecond})
	fillers := c.confirmStarts()
	filler, ok := fillers["b"]
	if !ok || len(fillers) != 1 {
		t.Fatalf("starts %v, want the filler beside the calm task", fillers)
	}
	report(map[WorkerID]time.Duration{"a": 55 * time.Millisecond})
	if _, stops, _ := c.planByKind(); len(stops) != 0 {
		t.Fatalf("stops %v for a task on another worker", stops)
	}
	c.advance(time.Second)
	r := tailReport(serving["b"].RunKey, 50*time.Millisecond)
	r.Running = append(r.Running, RunningEntry{RunKey: filler.RunKey})
	c.HandleReport("b", c.virtualTime, r)
	if _, stops, _ := c.planByKind(); len(stops) != 1 || stops[0].RunKey != filler.RunKey {
		t.Fatalf("stops %v, want the filler beside the task that comes near its target", stops)
	}
	stoppedAt := c.virtualTime
	c.HandleReport("b", c.virtualTime, endedReport(1, filler.RunKey, RunInterrupted))
	for range 3 * minFillerPause / time.Second {
		report(map[WorkerID]time.Duration{"a": 55 * time.Millisecond, "b": 20 * time.Millisecond})
		passed := c.virtualTime.Sub(stoppedAt)
		if started := len(c.confirmStarts()) > 0; started != (passed >= minFillerPause) {
			t.Fatalf("after %s: started %v, want a start once %s have passed", passed, started, minFillerPause)
		} else if started {
			return
		}
	}
	t.Error("the filler is not started again")
}
