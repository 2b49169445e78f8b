package owner

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
)

// Guards against a job that is shown as failed while no log line names it, its cause and what counted.
func TestJobEndedAsFailedIsLoggedWithItsEvidence(t *testing.T) {
	task := graph.TaskID{Job: "j"}
	key := dispatch.RunKey{Task: task, Number: 1}
	cases := map[string]struct {
		fail func(c *controller)
		want []string
	}{
		"attempts": {func(c *controller) {
			end := dispatch.EndedEntry{Sequence: 1, RunKey: key, End: dispatch.RunFailed}
			c.engine.HandleReport("w", c.now(), dispatch.Report{Ended: []dispatch.EndedEntry{end}})
		}, []string{`"cause":"attempts"`, "failed runs [1]"}},
		"record": {func(c *controller) { c.engine.Fail("j", "rejected", "status 413") }, []string{`"cause":"record"`, "status 413"}},
		"crashes": {func(c *controller) {
			for range 2 {
				c.engine.PutWorker(dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 100}})
				c.engine.SetReachable("w", true)
				for _, order := range c.engine.Plan(0) {
					c.engine.HandleStartOutcome("w", order.(dispatch.Start).RunKey, dispatch.Started)
				}
				c.engine.RemoveWorker("w", dispatch.WorkerCrashed)
				for id := range c.engine.TakeDirty(10) {
					c.engine.ConfirmRecorded(id)
				}
			}
		}, []string{`"cause":"crashes"`, "worker w crashed, proven true, likely cause true, sole true", `"message":"crash counted for a task"`}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var lines bytes.Buffer
				c := newTestController(ctx, &fakeClient{startedAt: time.Now()})
				c.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
				time.Sleep(time.Second)
				c.engine.SetNow(c.now())
				addOneTask(c, "j")
				c.engine.PutWorker(dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 100}})
				test.fail(c)
				c.recordWorkerHealth()
				if state, _ := c.engine.JobState("j"); state != graph.Failed {
					t.Fatalf("job is %s, want failed", state)
				}
				for _, want := range append(test.want, `"message":"job failed"`, `"job":"j"`) {
					if !strings.Contains(lines.String(), want) {
						t.Errorf("no %s in the log:\n%s", want, lines.String())
					}
				}
			})
		})
	}
}
