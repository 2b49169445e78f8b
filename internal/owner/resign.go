package owner

import (
	"context"
	"time"

	"laburnumpoint/internal/wire"
)

// Bounds of resigning. An owner that the store turns away, while it serves other daemons, would lose its ownership once it
// lapses; it hands over before, so that work goes on. An owner on a weak VM decides late.
const (
	// resignAfter is how long renewals must have failed.
	resignAfter = 700 * time.Millisecond
	// resignFresh is how lately another daemon must have said that the store answers it.
	resignFresh = 600 * time.Millisecond
	// resignEvidence is how much later than a renewal that should have succeeded the store must have answered another.
	resignEvidence = 200 * time.Millisecond
	// strongerFactor is how much stronger another VM must be for a weak one to hand over.
	strongerFactor = 1.5
	// resignTimeout bounds the call by which the other daemon is asked.
	resignTimeout = 500 * time.Millisecond
)

// considerResigning hands ownership over if renewals fail here and the store answers another daemon, or if this VM is weak
// and another is stronger.
func (c *control) considerResigning() {
	now := c.now()
	sinceRenewal := now.Sub(c.renewedAt)
	if sinceRenewal >= resignAfter && !c.StoreUp() {
		// An outage for all begins at the same time for all: the store serves another daemon only if it answered it
		// after a renewal here should have been answered.
		if successor := c.permits.successor(now, c.renewedAt.Add(renewInterval+resignEvidence)); successor != nil {
			c.resign(successor, "store does not answer")
		}
		return
	}
	if c.Cores < RecommendedOwnerCores && c.settled {
		successor := c.permits.successor(now, now.Add(-resignFresh))
		if successor != nil && successor.cores >= strongerFactor*c.Cores {
			c.resign(successor, "weak VM")
		}
	}
}

// leave gives up ownership at a planned stop, after the control loop has ended. A daemon that is invited takes over at once;
// a row that says that ownership is free would make all of them try, and hold each other up while the store is slow.
func (c *control) leave() {
	if heir := c.permits.heir(c.now(), c.Cores); heir != nil {
		c.Log.Info().Uint64("epoch", c.tenure.Epoch()).Str("successor", heir.addr).Str("why", "planned stop").Msg("resigning")
		if c.invite(heir.addr) {
			return
		}
	}
	release(c.Daemon, c.tenure)
}

// resign ends the tenure in favour of another daemon.
func (c *control) resign(successor *helper, why string) {
	c.Log.Warn().Uint64("epoch", c.tenure.Epoch()).Str("successor", successor.addr).Str("why", why).Float64("cores", c.Cores).Float64("successor_cores", successor.cores).Dur("since_renewal", c.now().Sub(c.renewedAt)).Msg("resigning")
	// From here on no order is given: the successor relies on it.
	c.lose("resigned")
	go c.invite(successor.addr)
}

// invite asks another daemon to take over, and reports whether it was told.
func (c *control) invite(successor string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	body := &wire.Resign{Epoch: c.tenure.Epoch()}
	if _, err := c.Peers.Call(ctx, successor, &wire.Request{Body: &wire.Request_Resign{Resign: body}}); err != nil {
		c.Log.Warn().Str("successor", successor).Err(err).Msg("successor not told, it takes over once ownership lapses")
		return false
	}
	return true
}
