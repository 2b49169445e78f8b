package shard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
)

func TestTakeoverCountsWhatAlreadyRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2, 3*time.Second)
		old := r.owner(1)
		outs := make(chan cell.Outcome, 12)
		for i := range 4 {
			old.Submit(request(fmt.Sprint("old", i)), func(out cell.Outcome) { outs <- out })
		}
		time.Sleep(time.Second)
		next := r.owner(2)
		for i := range 8 {
			next.Submit(request(fmt.Sprint("new", i)), func(out cell.Outcome) { outs <- out })
		}
		for range 12 {
			expect(t, <-outs, cell.ResultCompleted, cell.ReasonNone)
		}
		r.check()
	})
}

// A superseded owner with requests in hand learns at its next start that it was fenced and answers truthfully.
func TestSupersededOwnerStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, 2*time.Second)
		old := r.owner(1)
		outs := make(chan cell.Outcome, 5)
		for i := range 5 {
			old.Submit(request(fmt.Sprint(i)), func(out cell.Outcome) { outs <- out })
		}
		time.Sleep(time.Second)
		r.owner(2)
		results := make(map[cell.Result]int)
		for range 5 {
			results[(<-outs).Result]++
		}
		if results[cell.ResultCompleted] != 2 || results[cell.ResultNotRun] != 3 {
			t.Errorf("results = %v, want 2 completed and 3 not_run", results)
		}
		if len(r.runner.starts) != 2 {
			t.Errorf("%d tasks started, want 2", len(r.runner.starts))
		}
		r.check()
	})
}

// A runner that restarts forgets epochs. An owner that the table no longer names must not win it back.
func TestSupersededOwnerCannotClaimRestartedRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, time.Second)
		old := r.owner(1)
		time.Sleep(time.Second)
		r.epoch.Store(2)
		r.runner.reboot("w0", "b2")
		out := old.Run(t.Context(), request("a"))
		if out.Result != cell.ResultNotRun {
			t.Errorf("outcome = %s, want not_run", out.Result)
		}
		r.runner.set("w0", func(h *host) {
			if h.epoch != 0 {
				t.Errorf("the superseded owner claimed the restarted runner with epoch %d", h.epoch)
			}
		})
		<-old.Stopped()
	})
}
