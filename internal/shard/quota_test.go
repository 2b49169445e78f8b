package shard

import (
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// A team's quota is in use on a worker that the shard's new owner can't reach yet. The team must get no more capacity
// meanwhile.
func TestTeamStaysWithinItsQuotaAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 2, 20*time.Second)
		doc := config.Default()
		doc.Teams = map[string]config.Team{"default": {Weight: 1, Quota: cell.Resources{Slots: 1}}}
		r.doc.Store(&config.Versioned{Version: 2, Document: doc})
		old := r.startOwner(1)
		old.MarkLeaving([]cell.WorkerID{"w1"})
		first := request("a")
		first.Deadline = time.Now().Add(time.Minute)
		old.Submit(first, func(cell.Outcome) {})
		time.Sleep(time.Second)
		if r.runner.running("w0") != 1 {
			t.Fatal("the first task does not run on w0")
		}
		r.runner.update("w0", func(fw *fakeWorker) { fw.down = true })
		next := r.startOwner(2)
		second := request("b")
		second.Deadline = time.Now().Add(time.Minute)
		next.Submit(second, func(cell.Outcome) {})
		time.Sleep(8 * time.Second)
		if n := r.runner.running("w0") + r.runner.running("w1"); n > 1 {
			t.Errorf("%d tasks of a team with a quota of 1 run", n)
		}
	})
}

func TestQuotaLessUnknownUse(t *testing.T) {
	unknown := cell.Resources{MilliCPU: 1000, Slots: 8}
	cases := map[string]struct{ quota, want cell.Resources }{
		"no quota":        {cell.Resources{}, cell.Resources{}},
		"may be used up":  {cell.Resources{Slots: 1}, cell.Resources{Slots: -1}},
		"just used up":    {cell.Resources{Slots: 8}, cell.Resources{Slots: -1}},
		"some left":       {cell.Resources{MilliCPU: 5000, Slots: 9}, cell.Resources{MilliCPU: 4000, Slots: 1}},
		"nothing allowed": {cell.Resources{Slots: -1}, cell.Resources{Slots: -1}},
		"other dimension": {cell.Resources{Accelerators: 3}, cell.Resources{Accelerators: 3}},
	}
	for name, c := range cases {
		if got := lessUnknown(c.quota, unknown); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A team whose quota was held back after a takeover gets all of it once the leases that nobody renews have ended.
func TestQuotaIsWholeOnceEarlierLeasesHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 2, 20*time.Second)
		doc := config.Default()
		doc.Teams = map[string]config.Team{"default": {Weight: 1, Quota: cell.Resources{Slots: 1}}}
		r.doc.Store(&config.Versioned{Version: 2, Document: doc})
		r.runner.update("w0", func(fw *fakeWorker) { fw.down = true })
		next := r.startOwner(2)
		second := request("b")
		second.Deadline = time.Now().Add(2 * time.Minute)
		next.Submit(second, func(cell.Outcome) {})
		time.Sleep(time.Second)
		if n := r.runner.running("w1"); n != 0 {
			t.Errorf("%d tasks run while an unread worker may run the team's quota, want none", n)
		}
		time.Sleep(defaultLeaseTTL + 2*defaultClaimInterval)
		if n := r.runner.running("w1"); n != 1 {
			t.Errorf("%d tasks run once the earlier leases have ended, want 1", n)
		}
	})
}
