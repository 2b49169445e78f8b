package dispatch

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// crashOne lets the worker's process end shortly after it has acknowledged the start.
func (c *fixture) crashOne(s Start) {
	c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	c.advance(10 * time.Millisecond)
	c.HandleRestart(s.Worker)
	c.advance(time.Second)
}

// Guards against a task that crashes each worker that starts it being started again without end.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	const maxStarts = 5 // three crashes and two more starts
	steps := map[string]graph.Step{"plain": plainStep(1), "gang": plainStep(2), "long-running": plainStep(1), "speculative": plainStep(1)}
	for name, s := range steps {
		s.Gang, s.LongRunning, s.Speculative = name == "gang", name == "long-running", name == "speculative"
		t.Run(name, func(t *testing.T) {
			c := newFixture(t, 1)
			c.copyEagerly = s.Speculative
			c.advance(time.Second)
			for i := range 20 {
				c.addWorker(fmt.Sprintf("w%02d", i), 100)
			}
			j := c.addJob("j", false, s)
			deadly := 0
			for range 100 {
				starts, _, _ := c.planByKind()
				for _, start := range starts {
					if start.Task.Index == 0 {
						deadly++
						c.crashOne(start)
					} else {
						c.HandleStartOutcome(start.Worker, start.RunKey, Started)
					}
				}
				c.settle()
			}
			if deadly > maxStarts {
				t.Errorf("the task was started %d times, want at most %d", deadly, maxStarts)
			}
			if state, _ := c.JobState(j); state != graph.Failed {
				t.Errorf("job is %s, want failed", state)
			}
		})
	}
}

// settle lets all workers carry out the stops that they were ordered and report their runs.
func (c *fixture) settle() {
	for id, w := range c.workers {
		c.SetReachable(id, true)
		for key, r := range w.runs {
			if r.state == runStopping {
				c.HandleStopAnswer(id, key, true)
			}
		}
	}
	c.advance(100 * time.Millisecond)
	for id, w := range c.workers {
		var report Report
		for key, r := range w.runs {
			if r.state != runStopping {
				report.Running = append(report.Running, RunningEntry{RunKey: key})
			}
		}
		c.HandleReport(id, c.virtualTime, report)
	}
}
