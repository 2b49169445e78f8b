package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/overload"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

// ownerSender delivers requests for the backlog to one daemon, after a delay, unless it is lost.
type ownerSender struct {
	owner *Daemon
	// delay is the time until an answer, a time.Duration.
	delay atomic.Int64
	lost  atomic.Bool
}

func (s *ownerSender) Call(ctx context.Context, _ string, req *wire.Request) (*wire.Reply, error) {
	if s.lost.Load() {
		return nil, fmt.Errorf("%w: connection refused", peer.ErrNotSent)
	}
	time.Sleep(time.Duration(s.delay.Load()))
	if req.GetResign() != nil {
		return nil, fmt.Errorf("%w: not wanted", peer.ErrNotSent)
	}
	if hello := req.GetHello(); hello != nil {
		return s.owner.HandleHello(hello), nil
	}
	return s.owner.HandleBacklog(), nil
}

// backlogCell is an owner and a daemon that gets its backlog.
type backlogCell struct {
	owner, other *Daemon
	sender       *ownerSender
	// otherStoreAge is how long ago the store last answered the other daemon.
	otherStoreAge atomic.Int64
}

// newBacklogCell returns a cell after five seconds.
func newBacklogCell(ctx context.Context, refuse bool) *backlogCell {
	store := rowstore.NewMemoryStore()
	c := &backlogCell{owner: newTestDaemon(store, &fakeClient{startedAt: time.Now()})}
	c.owner.RefuseOverload, c.owner.PeerAddr = refuse, "owner"
	c.sender = &ownerSender{owner: c.owner}
	c.sender.delay.Store(int64(5 * time.Millisecond))
	c.owner.Peers = c.sender
	c.other = newTestDaemon(store, &fakeClient{startedAt: time.Now()})
	c.other.RefuseOverload, c.other.Node, c.other.Incarnation, c.other.PeerAddr, c.other.Peers = refuse, "b", "b", "other", c.sender
	c.other.StoreAge = func() time.Duration { return time.Duration(c.otherStoreAge.Load()) }
	for _, d := range []*Daemon{c.owner, c.other} {
		go d.Replica.Run(ctx)
	}
	go c.owner.Run(ctx)
	time.Sleep(4 * time.Second)
	go c.other.runHelloLoop(ctx)
	time.Sleep(time.Second)
	return c
}

func runBacklogCell(t *testing.T, refuse bool, check func(*backlogCell)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newBacklogCell(ctx, refuse)
		check(c)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Every daemon has a recent summary while the owner answers, and none that is older than overload.MaxAge after it is lost.
func TestBacklogReachesDaemonsAndExpires(t *testing.T) {
	runBacklogCell(t, true, func(c *backlogCell) {
		for range 100 {
			for _, d := range []*Daemon{c.owner, c.other} {
				if _, ok := d.Backlog(); !ok {
					t.Fatalf("daemon %s has no recent backlog", d.Node)
				}
			}
			time.Sleep(37 * time.Millisecond)
		}
		c.sender.lost.Store(true)
		time.Sleep(overload.MaxAge - helloInterval - backlogInterval)
		if _, ok := c.other.Backlog(); !ok {
			t.Errorf("no backlog although the last one is younger than %s", overload.MaxAge)
		}
		time.Sleep(helloInterval + backlogInterval)
		if _, ok := c.other.Backlog(); ok {
			t.Error("the backlog of a lost owner is used for too long")
		}
	})
}

// The time that a summary takes to arrive counts towards its age.
func TestBacklogAgeIncludesTheCall(t *testing.T) {
	runBacklogCell(t, true, func(c *backlogCell) {
		const delay = 350 * time.Millisecond
		c.sender.delay.Store(int64(delay))
		time.Sleep(time.Second)
		view := c.other.backlog.Load()
		if summarised := c.owner.backlog.Load().asOf; view.asOf > summarised {
			t.Errorf("a summary made at %d counts as made at %d", summarised, view.asOf)
		}
		if age := c.other.Clock.Now().Sub(view.asOf); age < delay {
			t.Errorf("age %s of a summary that took %s to arrive", age, delay)
		}
	})
}

// Without the setting, no summary is made or sent.
func TestBacklogIsOffUnlessTheSettingsAskForIt(t *testing.T) {
	runBacklogCell(t, false, func(c *backlogCell) {
		if c.owner.backlog.Load() != nil || c.other.backlog.Load() != nil {
			t.Error("a backlog was summarised")
		}
	})
}

// For storeTroubleTime after the store has not answered a daemon, the summary says so: a write of that daemon may be applied late.
func TestBacklogTellsOfStoreTrouble(t *testing.T) {
	runBacklogCell(t, true, func(c *backlogCell) {
		trouble := func() bool {
			summary, ok := c.other.Backlog()
			if !ok {
				t.Fatal("no recent backlog")
			}
			return summary.StoreTrouble
		}
		if trouble() {
			t.Error("trouble although the store answers all")
		}
		c.otherStoreAge.Store(int64(2 * time.Second))
		time.Sleep(1200 * time.Millisecond)
		if !trouble() {
			t.Error("no trouble although the store doesn't answer a daemon")
		}
		c.otherStoreAge.Store(0)
		time.Sleep(storeTroubleTime - time.Second)
		if !trouble() {
			t.Error("no trouble shortly after the store has not answered a daemon")
		}
		time.Sleep(3 * time.Second)
		if trouble() {
			t.Error("trouble long after the store answers all again")
		}
	})
}

// A daemon that does not own the cell hands out no summary, also not the one that it got from an owner.
func TestOnlyTheOwnerAnswersWithItsBacklog(t *testing.T) {
	runBacklogCell(t, true, func(c *backlogCell) {
		if c.other.HandleBacklog().GetNotOwner() == nil {
			t.Error("a daemon that is not the owner answered")
		}
	})
}
