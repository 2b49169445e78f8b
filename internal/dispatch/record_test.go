package dispatch

import (
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// Guards against an ended job that is recorded again each time one of its runs ends.
func TestEndedJobIsRecordedOnce(t *testing.T) {
	const tasks = 20
	c := newFixture(t, 1)
	for i := range tasks {
		c.addWorker(string(rune('a'+i)), 100)
	}
	step := plainStep(tasks)
	step.Checkpoints = true
	j := c.addJob("j", false, step)
	starts, _, _ := c.planByKind()
	for _, s := range starts {
		c.HandleStartOutcome(s.Worker, s.RunKey, Started)
	}
	c.Cancel(j)
	records := 0
	for _, s := range starts {
		records += len(c.TakeDirty(10))
		c.advance(time.Millisecond)
		report := endedReport(1, s.RunKey, RunInterrupted)
		report.Ended[0].Checkpoint = "c"
		c.HandleReport(s.Worker, c.virtualTime, report)
	}
	if records += len(c.TakeDirty(10)); records != 1 {
		t.Errorf("%d records of the cancelled job, want 1", records)
	}
}

// The final record may get lost: its commit fails, and the job is recorded again.
func TestEndedJobIsRecordedAgainAfterAFailedCommit(t *testing.T) {
	c := newFixture(t, 1)
	j := c.addJob("j", false, plainStep(1))
	c.Cancel(j)
	if n := len(c.TakeDirty(10)); n != 1 {
		t.Fatalf("%d records, want 1", n)
	}
	c.MarkDirty(j)
	if p, ok := c.TakeDirty(10)[j]; !ok || p.State != graph.Cancelled {
		t.Errorf("record %+v, %v, want the cancelled job's", p, ok)
	}
}
