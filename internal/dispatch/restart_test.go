package dispatch

import (
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// A worker's process crashes and starts again under the worker's id. Its ends count from 1 again: if they passed for known ones,
// tasks that are done would be run again.
func TestEndsOfARestartedWorkerAreProcessed(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	j := c.addJob("j", false, plainStep(1))
	c.planByKind()
	first := runKey(j, 0, 0, 1)
	c.HandleStartOutcome(w, first, Started)
	c.HandleReport(w, c.virtualTime, endedReport(7, runKey("other", 0, 0, 1), RunDone))
	if ended := c.HandleRestart(w, WorkerCrashed, c.virtualTime); len(ended) != 1 || ended[0].RunKey != first {
		t.Fatalf("runs %v ended with the worker's process, want %v", ended, first)
	}
	c.SetReachable(w, true)
	c.record()
	starts, _, _ := c.planByKind()
	if len(starts) != 1 || starts[0].Number != 2 {
		t.Fatalf("starts %v after the restart, want run 2", starts)
	}
	c.HandleStartOutcome(w, starts[0].RunKey, Started)
	c.HandleReport(w, c.virtualTime, endedReport(1, starts[0].RunKey, RunDone))
	if c.Stats().Done != 1 {
		t.Errorf("%d runs are done, want that of the restarted worker", c.Stats().Done)
	}
}

// A start has no answer when its worker's process ends. The order may still arrive and be carried out by the next process under
// the same id, so the task must not start elsewhere before that process has acknowledged a stop.
func TestStartInDoubtIsStoppedOnTheRestartedWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	j := c.addJob("j", false, plainStep(1))
	c.planByKind()
	c.addWorker("w2", 100)
	if ended := c.HandleRestart(w, WorkerCrashed, c.virtualTime); len(ended) != 0 {
		t.Fatalf("runs %v ended, want none: the start is in doubt", ended)
	}
	starts, stops, _ := c.planByKind()
	if len(starts) != 0 || len(stops) != 1 {
		t.Fatalf("%d starts and %d stops after the restart, want one stop", len(starts), len(stops))
	}
	c.HandleStopAnswer(w, runKey(j, 0, 0, 1), true)
	// A second restart takes the mark that the stop left, so that the stop is sent again.
	c.HandleRestart(w, WorkerCrashed, c.virtualTime)
	if _, stops, _ := c.planByKind(); len(stops) != 1 {
		t.Fatalf("%d stops after the second restart, want one", len(stops))
	}
	c.HandleStopAnswer(w, runKey(j, 0, 0, 1), true)
	c.advance(time.Millisecond)
	c.HandleReport(w, c.virtualTime, Report{})
	c.record()
	if starts, _, _ := c.planByKind(); len(starts) != 1 || starts[0].Number != 2 {
		t.Errorf("starts %v once the run is ruled out, want run 2", starts)
	}
}

// Guards against a task running in two places: what the ended process acknowledged doesn't keep the next one from a start that is under way,
// so a report of that one ends nothing before it has acknowledged a stop too.
func TestStopOfTheEndedProcessProvesNothing(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	j := c.addJob("j", false, plainStep(1))
	c.planByKind()
	c.addWorker("w2", 100)
	key := runKey(j, 0, 0, 1)
	c.HandleStartOutcome(w, key, StartInDoubt)
	c.HandleStopAnswer(w, key, true)
	c.advance(time.Millisecond)
	if ended := c.HandleRestart(w, WorkerCrashed, c.virtualTime); len(ended) != 0 {
		t.Fatalf("runs %v ended, want none: the next process may carry the start out", ended)
	}
	c.advance(time.Millisecond)
	if ended := c.HandleReport(w, c.virtualTime, Report{}); len(ended) != 0 {
		t.Errorf("runs %v ended by the next process's report before it has acknowledged a stop", ended)
	}
	c.HandleStopAnswer(w, key, true)
	c.advance(time.Millisecond)
	if ended := c.HandleReport(w, c.virtualTime, Report{}); len(ended) != 1 {
		t.Errorf("runs %v ended by a report since, want the run", ended)
	}
}

// Guards against a task running in two places: a start was sent twice and answered once. The next process under its worker's id may carry out
// the other attempt late, so that the task must not start elsewhere before that process has acknowledged a stop.
func TestRunWithAnAttemptInDoubtIsStoppedOnTheRestartedWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	j := c.addJob("j", false, plainStep(1))
	c.planByKind()
	c.addWorker("w2", 100)
	c.HandleAttemptInDoubt(w, runKey(j, 0, 0, 1))
	c.HandleStartOutcome(w, runKey(j, 0, 0, 1), Started)
	c.advance(time.Millisecond)
	if ended := c.HandleRestart(w, WorkerCrashed, c.virtualTime); len(ended) != 0 {
		t.Fatalf("runs %v ended, want none: an attempt of the start is in doubt", ended)
	}
	c.record()
	if starts, stops, _ := c.planByKind(); len(starts) != 0 || len(stops) != 1 {
		t.Fatalf("%d starts and %d stops after the restart, want one stop", len(starts), len(stops))
	}
	c.HandleStopAnswer(w, runKey(j, 0, 0, 1), true)
	c.advance(time.Millisecond)
	c.HandleReport(w, c.virtualTime, Report{})
	c.record()
	if starts, _, _ := c.planByKind(); len(starts) != 1 || starts[0].Number != 2 {
		t.Errorf("starts %v once the run is ruled out, want run 2", starts)
	}
}

// Guards against a task running in two places: its start got no answer, the worker acknowledged a stop and restarted, and its next process
// carried out the start late, while the task ran elsewhere. Only a permit is bound to the worker's process.
func TestTaskWaitsForAStartThatMayBeCarriedOutLate(t *testing.T) {
	cases := map[string]struct {
		// restarts means that the worker names the start of its process, permit that the step needs a permit.
		restarts, permit bool
		// heard is what the worker then lists of the run.
		heard Report
		// gone means that another incarnation answers at the worker's address.
		gone bool
		want bool
	}{
		"neither listed nor answered": {restarts: true, want: true},
		"listed as running":           {restarts: true, heard: Report{Running: []RunningEntry{{RunKey: RunKey{Number: 1}}}}},
		"listed as ended":             {restarts: true, heard: Report{Ended: []EndedEntry{{Sequence: 1, RunKey: RunKey{Number: 1}, End: RunInterrupted}}}},
		"other incarnation":           {restarts: true, gone: true},
		"never restarts under its id": {},
		"with a permit":               {restarts: true, permit: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.advance(time.Second)
			w := c.addWorker("w", 100)
			process := time.Duration(0)
			if test.restarts {
				process = time.Hour
			}
			c.HandleReport(w, c.virtualTime, Report{ProcessStart: process})
			queue := graph.Queue{Name: "q", Pool: "p", MaxAttempts: 2}
			if test.permit {
				queue.Permit = &graph.PermitLatency{}
			}
			c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime})
			ordered := c.virtualTime
			starts, _, requests := c.planByKind()
			for _, r := range requests {
				c.HandlePermits(r.Step, r.Workers, map[WorkerID]string{w: "ticket"}, time.Minute, true)
				starts, _, _ = c.planByKind()
			}
			if len(starts) != 1 || starts[0].Once != (test.restarts && !test.permit) {
				t.Fatalf("starts %+v, want one, sent once: %t", starts, test.restarts && !test.permit)
			}
			key := starts[0].RunKey
			c.HandleStartOutcome(w, key, StartInDoubt)
			c.planByKind()
			c.HandleStopAnswer(w, key, true)
			c.advance(time.Millisecond)
			test.heard.ProcessStart = process
			for i := range test.heard.Running {
				test.heard.Running[i].Task = key.Task
			}
			for i := range test.heard.Ended {
				test.heard.Ended[i].Task = key.Task
			}
			if test.gone {
				c.RemoveWorker(w, WorkerCrashed)
			} else {
				c.HandleReport(w, c.virtualTime, test.heard)
				c.advance(time.Millisecond)
				c.HandleReport(w, c.virtualTime, Report{ProcessStart: process})
			}
			if held := c.TakeHeldTasks(); (len(held) == 1 && held[0].RunKey == key) != test.want {
				t.Errorf("held tasks %+v, want that of run %v: %t", held, key, test.want)
			}
			c.HandlePermits(StepID{Job: "j"}, []WorkerID{"w2"}, map[WorkerID]string{"w2": "ticket"}, time.Hour, test.permit)
			c.addWorker("w2", 100)
			c.record()
			var next monotime.Instant
			for next == 0 && c.virtualTime < ordered.Add(2*MaxCallDelay) {
				if starts, _, _ := c.planByKind(); len(starts) > 0 {
					next = c.virtualTime
				}
				c.advance(100 * time.Millisecond)
			}
			if waited := next.Sub(ordered) >= MaxCallDelay; next == 0 || waited != test.want {
				t.Errorf("the next run starts %s after the order, want after %s: %t", next.Sub(ordered), MaxCallDelay, test.want)
			}
		})
	}
}

// A worker that an earlier owner used has crashed. Its jobs must not wait for its report.
func TestRestartedWorkerIsNotAwaited(t *testing.T) {
	c := newFixture(t, 2)
	c.AwaitReport("gone", "p")
	c.addWorker("w", 100)
	c.addJob("j", true, plainStep(1))
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Fatalf("%d starts while a report is awaited, want none", len(starts))
	}
	c.HandleRestart("gone", WorkerCrashed, c.virtualTime)
	if starts, _, _ := c.planByKind(); len(starts) != 1 {
		t.Errorf("%d starts once the awaited worker's process has ended, want one", len(starts))
	}
}

// Guards against a blocked step being placed on a worker whose process has just ended: the end of its runs frees capacity that nobody
// can use.
func TestBlockedStepIsNotPlacedOnAnEndedWorker(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	c.addWorker("full", 50)
	j := c.addJob("j", false, plainStep(1))
	c.planByKind()
	c.HandleStartOutcome(w, runKey(j, 0, 0, 1), Started)
	c.addJob("blocked", false, plainStep(1))
	c.planByKind()
	c.SetReachable(w, false)
	c.planByKind()
	c.HandleRestart(w, WorkerCrashed, c.virtualTime)
	for range 3 {
		c.advance(2 * time.Millisecond)
		if starts, _, _ := c.planByKind(); len(starts) != 0 {
			t.Fatalf("%v is started on a worker whose process has ended", starts[0].RunKey)
		}
	}
}

// Guards against starts with a permit of a worker's earlier process, which the next one refuses, and against the next one being avoided
// for what the earlier one did.
func TestRestartForgetsPermitsAndHealth(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	queue := plainQueue
	queue.Permit = &graph.PermitLatency{}
	c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: []graph.Step{plainStep(1)}}, ArrivedAt: c.virtualTime})
	if _, _, requests := c.planByKind(); len(requests) != 1 {
		t.Fatalf("%d permit requests, want 1", len(requests))
	}
	c.HandlePermits(StepID{Job: "j"}, []WorkerID{w}, map[WorkerID]string{w: "ticket"}, time.Minute, true)
	c.workers[w].health.ejected, c.workers[w].avoidUntil = true, c.now.Add(time.Minute)
	c.HandleRestart(w, WorkerCrashed, c.virtualTime)
	c.SetReachable(w, true)
	c.advance(time.Second)
	starts, _, requests := c.planByKind()
	if len(starts) != 0 || len(requests) != 1 {
		t.Errorf("%d starts and %d permit requests after the restart, want one request", len(starts), len(requests))
	}
	if c.isSuspect(c.workers[w]) {
		t.Error("the restarted worker is avoided for what its earlier process did")
	}
}

// Guards against a task running in two places: its run is being stopped, and the next process of its worker may have it.
func TestStoppedRunOfTheNextProcessIsNotGivenUp(t *testing.T) {
	c := newFixture(t, 1)
	c.advance(time.Second)
	w := c.addWorker("w", 100)
	j := c.addJob("j", false, plainStep(1))
	c.planByKind()
	c.addWorker("w2", 100)
	aliveAt := c.virtualTime
	c.advance(time.Millisecond)
	first := runKey(j, 0, 0, 1)
	c.HandleStartOutcome(w, first, Started)
	c.stop(c.workers[w].runs[first], "preempted")
	if ended := c.HandleRestart(w, WorkerCrashed, aliveAt); len(ended) != 0 {
		t.Fatalf("runs %v ended, want none", ended)
	}
	if starts, _, _ := c.planByKind(); len(starts) != 0 {
		t.Errorf("%v is started while its earlier run may go on", starts[0].RunKey)
	}
}
