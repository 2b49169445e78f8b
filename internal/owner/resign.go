package owner

import (
	"context"
	"time"

	"laburnumpoint/internal/wire"
)

// Conditions of resigning. If the store answers other daemons but not the owner, the ownership would expire; the owner hands over
// before that, so that work goes on. An owner on a weak VM hands over because it decides late.
const (
	// resignAfter is how long renewals must have failed, beside the time that one takes.
	resignAfter = 700 * time.Millisecond
	// maxSuccessorHelloAge is the longest time since a successor's last hello.
	maxSuccessorHelloAge = 600 * time.Millisecond
	// storeAnswerMargin is how much later than the renewal that should have succeeded the store must have answered the
	// successor.
	storeAnswerMargin = 200 * time.Millisecond
	// minStrongerRatio is how many times the owner's cores a successor must have for a weak owner to hand over. VMs whose
	// cores differ by less count as about as strong.
	minStrongerRatio = 1.5
	// resignTimeout bounds the call that asks the successor to take over.
	resignTimeout = 500 * time.Millisecond
)

// resignIfNeeded hands over the ownership if renewals fail here while the store answers another daemon, or if this VM is weak
// and another daemon's is stronger.
func (c *controller) resignIfNeeded() {
	now := c.now()
	sinceRenewal := now.Sub(c.lastRenewalAt)
	// Where each renewal takes long, the next one is still under way at resignAfter, and a successor's would take as long.
	if sinceRenewal >= resignAfter+c.commitTime && !c.StoreUp() {
		// An outage of the store begins at the same time for all daemons. The store answers another daemon only if it has
		// done so after the time when a renewal from here should have been answered.
		if successor := c.permits.strongestSuccessor(now, c.lastRenewalAt.Add(renewInterval+storeAnswerMargin)); successor != nil {
			c.resign(successor, "store does not answer")
		}
		return
	}
	if c.Cores < RecommendedOwnerCores && c.reportsComplete {
		successor := c.permits.strongestSuccessor(now, now.Add(-maxSuccessorHelloAge))
		if successor != nil && successor.cores >= minStrongerRatio*c.Cores {
			c.resign(successor, "weak VM")
		}
	}
}

// handOver gives up the ownership at a planned stop, after the control loop has ended. It asks one daemon to take over, which does
// so at once. If it released the ownership row instead, all daemons would try to take over and delay each other while the store
// is slow.
func (c *controller) handOver() {
	if successor := c.permits.lastStartedSuccessor(c.now(), c.Cores); successor != nil {
		c.Log.Info().Uint64("epoch", c.ownership.Epoch()).Str("successor", successor.addr).Str("why", "planned stop").Msg("resigning")
		if c.inviteSuccessor(successor.addr) {
			return
		}
	}
	releaseOwnership(c.Daemon, c.ownership)
}

// resign ends the ownership and asks the successor to take over.
func (c *controller) resign(successor *helper, why string) {
	c.Log.Warn().Uint64("epoch", c.ownership.Epoch()).Str("successor", successor.addr).Str("why", why).Float64("cores", c.Cores).Float64("successor_cores", successor.cores).Dur("since_renewal", c.now().Sub(c.lastRenewalAt)).Msg("resigning")
	// No order may be given after this: the successor relies on it.
	c.loseOwnership("resigned")
	go c.inviteSuccessor(successor.addr)
}

// inviteSuccessor asks the daemon at addr to take over, and reports whether the call succeeded.
func (c *controller) inviteSuccessor(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	body := &wire.Resign{Epoch: c.ownership.Epoch()}
	if _, err := c.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Resign{Resign: body}}); err != nil {
		c.Log.Warn().Str("successor", addr).Err(err).Msg("successor did not answer the request to take over, ownership has to expire first")
		return false
	}
	return true
}
