package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

// cancel cancels a job at the daemon for a caller that waits for three seconds.
func (c *testCell) cancel(daemon int, id graph.JobID) Answer {
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return c.daemons[addressOf(daemon)].Cancel(ctx, Request{Path: "/q/" + string(id)})
}

// state asks the daemon for a job's state.
func (c *testCell) state(daemon int, id graph.JobID) Answer {
	return c.daemons[addressOf(daemon)].State(c.t.Context(), Request{Path: "/q/" + string(id)})
}

// Guards against a job that runs although its cancellation was answered: the write that accepts it had got no answer and was applied after
// the cancellation had found no job.
func TestJobThatIsStoredAfterItsCancellationDoesNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		// cancelled is how the store answers the daemon that cancels.
		cancelled storeMode
		// first means that the late write is applied before the cancellation.
		first bool
		want  Result
	}{
		"cancelled first": {answering, false, NoJob}, "stored first": {answering, true, OK}, "cancelled through another daemon": {refusing, false, NoJob},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newTestCell(t, 5)
				cell.setStores(holdingWrites, 0, 1, 2, 3, 4)
				if answer, _ := cell.submit(1, relayedTestJob); answer.Result != Uncertain {
					t.Fatalf("the job is answered %s, want uncertain", answer.Result)
				}
				cell.setStores(answering, 0, 1, 2, 3, 4)
				applied := 0
				perform := func() {
					for _, d := range cell.daemons {
						applied += d.store.performHeld()
					}
				}
				if test.first {
					perform()
				}
				cell.setStores(test.cancelled, 2)
				if answer := cell.cancel(2, relayedTestJob); answer.Result != test.want {
					t.Fatalf("the cancellation is answered %s, want %s", answer.Result, test.want)
				}
				perform()
				time.Sleep(3 * time.Second)
				cell.setStores(answering, 2)
				if test.first != (applied > 0) {
					t.Errorf("%d late writes were applied", applied)
				}
				owner := cell.daemons["d0"].Replica
				if j, stored := owner.Job(relayedTestJob); stored && !j.Cancelled {
					t.Error("the owner has the job, and not as cancelled")
				}
				if got := cell.state(3, relayedTestJob); (got.Result == NoJob) == test.first {
					t.Errorf("the state is answered %s, stored first: %t", got.Result, test.first)
				}
				if answer, _ := cell.submit(4, relayedTestJob); answer.Result != OK {
					t.Errorf("a further try is answered %s, want ok", answer.Result)
				}
				time.Sleep(3 * time.Second)
				j, stored := owner.Job(relayedTestJob)
				if !stored || !j.Cancelled {
					t.Errorf("after a further try the owner has the job: %t, cancelled: %t; want both", stored, j.Cancelled)
				}
				for daemon := range 5 {
					if got := cell.state(daemon, relayedTestJob); got.Result != OK || got.State != graph.Cancelled {
						t.Errorf("after a further try daemon %d answers %s %q, want the cancelled job", daemon, got.Result, got.State)
					}
				}
			})
		})
	}
}

// Guards against a notice of an accepted job that starts it at the owner before the owner has read that it was cancelled before.
func TestJobThatWasCancelledBeforeIsNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 3)
		if answer := cell.cancel(1, relayedTestJob); answer.Result != NoJob {
			t.Fatalf("the cancellation is answered %s, want no job", answer.Result)
		}
		cell.daemons["d0"].Replica.OnJobChange(func(id graph.JobID) {
			if j, _ := cell.daemons["d0"].Replica.Job(id); !j.Cancelled {
				t.Errorf("the owner is told of job %s before it is known to be cancelled", id)
			}
		})
		for name, prepare := range map[string]func(){"here": func() {}, "through another daemon": func() { cell.setStores(refusing, 1) }} {
			prepare()
			if answer, _ := cell.submit(1, relayedTestJob); answer.Result != OK {
				t.Errorf("%s: the job is answered %s, want ok", name, answer.Result)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// Guards against a caller that keeps the jobs of another queue from running by cancelling their ids there.
func TestCancellationInAnotherQueueHoldsForNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 3)
		other := testQueue
		other.Name = "other"
		for _, d := range cell.daemons {
			d.SetConfig(&Config{Version: 2, Routes: []Route{{Prefix: "/other/", Queue: other}, {Prefix: "/q/", Queue: testQueue}}})
		}
		answer := cell.daemons["d1"].Cancel(t.Context(), Request{Path: "/other/" + string(relayedTestJob)})
		if answer.Result != NoJob {
			t.Fatalf("the cancellation is answered %s, want no job", answer.Result)
		}
		if answer, _ := cell.submit(2, relayedTestJob); answer.Result != OK {
			t.Errorf("the job is answered %s, want ok", answer.Result)
		}
		if got := cell.state(0, relayedTestJob); got.Result != OK || got.State != graph.Queued {
			t.Errorf("the state is %s %q, want queued", got.Result, got.State)
		}
	})
}

// Guards against a store that is filled with rows, or kept busy, by cancellations of jobs that don't exist. The load is 200 a second at each of
// three daemons for 10 s.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, perSecond, daemons = 10, 200, 3
		cell := newTestCell(t, daemons)
		refused := 0
		for i := range seconds * perSecond {
			for d := range daemons {
				switch answer := cell.cancel(d, graph.JobID(fmt.Sprintf("%016x", daemons*i+d))); {
				case answer.Result == Unavailable && answer.RetryAfter > 0:
					refused++
				case answer.Result != NoJob:
					t.Fatalf("a cancellation is answered %s", answer.Result)
				}
			}
			time.Sleep(time.Second / perSecond)
		}
		stored := seconds*perSecond*daemons - refused
		if most := marksPerSecond*(seconds+1) + daemons*marksBurst; stored > most || stored < marksPerSecond*seconds/2 {
			t.Errorf("%d cancellations of unknown jobs are stored in %d s, want up to %d", stored, seconds, most)
		}
		if answer, _ := cell.submit(1, relayedTestJob); answer.Result != OK {
			t.Fatalf("a job is answered %s, want ok", answer.Result)
		}
		if answer := cell.cancel(2, relayedTestJob); answer.Result != OK {
			t.Errorf("the cancellation of a job that exists is answered %s, want ok", answer.Result)
		}
	})
}

// Guards against a cancellation whose own write is applied late and takes a job with it that was accepted meanwhile.
func TestLateCancellationOfAnUnknownJobLeavesAnAcceptedOneAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 3)
		cell.setStores(holdingWrites, 0, 1, 2)
		if answer := cell.cancel(1, relayedTestJob); answer.Result != Uncertain {
			t.Fatalf("the cancellation is answered %s, want uncertain", answer.Result)
		}
		cell.setStores(answering, 0, 1, 2)
		if answer, _ := cell.submit(2, relayedTestJob); answer.Result != OK {
			t.Fatalf("the job is answered %s, want ok", answer.Result)
		}
		for _, d := range cell.daemons {
			if n := d.store.performHeld(); n > 0 {
				t.Errorf("%d late cancellations were applied", n)
			}
		}
		time.Sleep(3 * time.Second)
		if got := cell.state(0, relayedTestJob); got.State != graph.Queued {
			t.Errorf("the state is %q, want queued", got.State)
		}
	})
}

// Guards against a daemon of an earlier version that accepts a job which was cancelled: its write has the same condition.
func TestMarkBreaksTheConditionOfEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newTestCell(t, 2)
		cell.cancel(1, relayedTestJob)
		var key rowstore.Key
		for part := range 64 {
			rows, _, _, err := cell.shared.Range(t.Context(), "laburnumpoint-intake", fmt.Sprintf("%02d", part), "", "")
			if err != nil {
				t.Fatal(err)
			}
			for _, row := range rows {
				key = row.Key
			}
		}
		if key.Name != "job/"+string(relayedTestJob) {
			t.Fatalf("the cancellation is stored as %q, want the row of the job's record", key.Name)
		}
		if _, _, err := cell.shared.Apply(t.Context(), rowstore.Tx{Expect: []rowstore.Condition{{Key: key}}, Put: []rowstore.Row{{Key: key}}}); err == nil {
			t.Error("the record is written over the cancellation")
		}
		if _, found, err := cell.daemons["d0"].Replica.Find(t.Context(), relayedTestJob); found || err != nil {
			t.Errorf("found %t (%v), want no job", found, err)
		}
	})
}
