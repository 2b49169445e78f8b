package job

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/standin"
)

// slowTable hands the second answer about a job's part to its caller late.
type slowTable struct {
	platform.Table
	reads atomic.Int64
}

func (t *slowTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	if strings.HasPrefix(key, partPrefix) && t.reads.Add(1) == 2 {
		time.Sleep(500 * time.Millisecond)
	}
	return row, err
}

// Two notices of a new job come at one time, as from its submission and from the poll, and the second's reading of the job's
// progress arrives when the job has run to its end: it does not run again.
func TestOlderReadingDoesNotOpenAJobThatHasClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(&slowTable{Table: standin.NewTable()})
		if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); err != nil {
			t.Fatal(err)
		}
		p := newFakePlacer()
		c := startController(t, store, p)
		// A notice that is handled before the answer to another's reading has come reads the part as well.
		c.inbox.post(func(c *Controller) { c.load("j"); c.load("j") })
		p.await(t, 1)
		time.Sleep(10 * time.Millisecond) // all notices have read the part
		p.end(t, "j/0", cell.Outcome{Result: cell.ResultCompleted})
		time.Sleep(2 * time.Second)
		if r, _, err := store.Load(t.Context(), "j"); err != nil || !r.Ended() {
			t.Fatalf("the job has not ended: %v", err)
		}
		if n := p.submitted["j/0"]; n != 1 {
			t.Errorf("a task that has completed is submitted %d times", n)
		}
		c.Stop(context.Background())
	})
}

// slowFirst hands the first answer about a job's part to its caller late.
type slowFirst struct {
	platform.Table
	reads atomic.Int64
}

func (t *slowFirst) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := t.Table.Get(ctx, key)
	if strings.HasPrefix(key, partPrefix) && t.reads.Add(1) == 1 {
		time.Sleep(500 * time.Millisecond)
	}
	return row, err
}

// A job is cancelled while the first reading of it is on its way: none of its tasks is submitted afterwards.
func TestOlderReadingDoesNotOpenAJobThatWasCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(&slowFirst{Table: standin.NewTable()})
		if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); err != nil {
			t.Fatal(err)
		}
		p := newFakePlacer()
		c := startController(t, store, p)
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
		if n := p.submitted["j/0"]; n != 0 {
			t.Errorf("a task of a job that was cancelled, and has ended, is submitted %d times", n)
		}
		c.Stop(context.Background())
	})
}

// A job has closed and every reading of it has been answered: nothing is remembered of it, so that memory stays bounded.
func TestNothingIsRememberedOfAClosedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(&slowTable{Table: standin.NewTable()})
		if _, err := store.Create(t.Context(), testRecord(cell.KindBatch, 1)); err != nil {
			t.Fatal(err)
		}
		p := newFakePlacer()
		c := startController(t, store, p)
		c.inbox.post(func(c *Controller) { c.load("j"); c.load("j"); c.load("absent") })
		p.await(t, 1)
		p.end(t, "j/0", cell.Outcome{Result: cell.ResultCompleted})
		time.Sleep(2 * time.Second)
		left := make(chan int, 1)
		c.inbox.post(func(c *Controller) { left <- len(c.readings) + len(c.parts) })
		if n := <-left; n != 0 {
			t.Errorf("%d jobs are remembered", n)
		}
		c.Stop(context.Background())
	})
}
