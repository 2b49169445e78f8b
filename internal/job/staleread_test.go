package job

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

// slowSecondRead is a table that delays the answer to the second read of a job's part.
type slowSecondRead struct {
	platformapi.Table
	reads atomic.Int64
}

func (t *slowSecondRead) Get(ctx context.Context, key string) (platformapi.Row, error) {
	row, err := t.Table.Get(ctx, key)
	if strings.HasPrefix(key, partPrefix) && t.reads.Add(1) == 2 {
		time.Sleep(500 * time.Millisecond)
	}
	return row, err
}

// Guards against running an ended job again. Two notifications of a new job arrive at once, as from its submission and
// from the poll, and the progress that the second one reads arrives only after the job has ended.
func TestOlderReadDoesNotReopenAClosedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(&slowSecondRead{Table: standin.NewTable()})
		if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); err != nil {
			t.Fatal(err)
		}
		submitter := newFakeSubmitter()
		c := startController(t, store, submitter)
		// The second call begins before the first one's read has been answered, so it reads the part as well.
		c.events.post(func(c *Controller) { c.loadJob("j"); c.loadJob("j") })
		submitter.await(t, 1)
		time.Sleep(10 * time.Millisecond) // all reads of the part have begun
		submitter.end(t, "j/0", cell.Outcome{Result: cell.ResultCompleted})
		time.Sleep(2 * time.Second)
		if r, _, err := store.Load(t.Context(), "j"); err != nil || !r.Ended() {
			t.Fatalf("the job has not ended: %v", err)
		}
		if n := submitter.submitted["j/0"]; n != 1 {
			t.Errorf("j/0 was submitted %d times, want 1", n)
		}
		c.Stop(context.Background())
	})
}

// slowFirstRead is a table that delays the answer to the first read of a job's part.
type slowFirstRead struct {
	platformapi.Table
	reads atomic.Int64
}

func (t *slowFirstRead) Get(ctx context.Context, key string) (platformapi.Row, error) {
	row, err := t.Table.Get(ctx, key)
	if strings.HasPrefix(key, partPrefix) && t.reads.Add(1) == 1 {
		time.Sleep(500 * time.Millisecond)
	}
	return row, err
}

// Guards against submitting tasks of a job that was cancelled, and has ended, while the first read of its rows was in
// flight.
func TestOlderReadDoesNotReopenACancelledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(&slowFirstRead{Table: standin.NewTable()})
		if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); err != nil {
			t.Fatal(err)
		}
		submitter := newFakeSubmitter()
		c := startController(t, store, submitter)
		time.Sleep(100 * time.Millisecond)
		if _, err := store.Cancel(t.Context(), "j"); err != nil {
			t.Fatal(err)
		}
		c.NotifyJobChanged("j")
		time.Sleep(100 * time.Millisecond)
		if r, _, err := store.Load(t.Context(), "j"); err != nil || !r.Ended() {
			t.Fatalf("the job has not ended: %v", err)
		}
		time.Sleep(2 * time.Second)
		if n := submitter.submitted["j/0"]; n != 0 {
			t.Errorf("j/0 of the cancelled and ended job was submitted %d times, want 0", n)
		}
		c.Stop(context.Background())
	})
}

// Guards against unbounded memory: the controller keeps nothing of an ended job once all reads of it are answered.
func TestClosedJobLeavesNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(&slowSecondRead{Table: standin.NewTable()})
		if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); err != nil {
			t.Fatal(err)
		}
		submitter := newFakeSubmitter()
		c := startController(t, store, submitter)
		c.events.post(func(c *Controller) { c.loadJob("j"); c.loadJob("j"); c.loadJob("absent") })
		submitter.await(t, 1)
		submitter.end(t, "j/0", cell.Outcome{Result: cell.ResultCompleted})
		time.Sleep(2 * time.Second)
		remaining := make(chan int, 1)
		c.events.post(func(c *Controller) { remaining <- len(c.pendingReads) + len(c.parts) })
		if n := <-remaining; n != 0 {
			t.Errorf("the controller still keeps %d jobs, want 0", n)
		}
		c.Stop(context.Background())
	})
}
