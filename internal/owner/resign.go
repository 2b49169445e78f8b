package owner

import (
	"context"
	"time"

	"laburnumpoint/internal/wire"
)

// Bounds of resigning. An owner that the store turns away, while it serves other daemons, would lose its ownership once it
// lapses; it hands over before, so that work goes on.
const (
	// resignAfter is how long renewals must have failed.
	resignAfter = 700 * time.Millisecond
	// resignFresh is how lately another daemon must have said that the store answers it.
	resignFresh = 600 * time.Millisecond
	// resignTimeout bounds the call by which the other daemon is asked.
	resignTimeout = 500 * time.Millisecond
)

// considerResigning hands ownership over if renewals fail here and the store answers another daemon.
func (c *control) considerResigning() {
	now := c.now()
	if now.Sub(c.renewedAt) < resignAfter || c.StoreUp() {
		return
	}
	successor := c.permits.withStore(now)
	if successor == "" {
		return
	}
	c.Log.Warn().Uint64("epoch", c.tenure.Epoch()).Str("successor", successor).Dur("since_renewal", now.Sub(c.renewedAt)).Msg("store turns this daemon away, resigning")
	// From here on no order is given: the successor relies on it.
	c.lose("resigned")
	go c.invite(successor)
}

func (c *control) invite(successor string) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	body := &wire.Resign{Epoch: c.tenure.Epoch()}
	if _, err := c.Peers.Call(ctx, successor, &wire.Request{Body: &wire.Request_Resign{Resign: body}}); err != nil {
		c.Log.Warn().Str("successor", successor).Err(err).Msg("successor not told, it takes over once ownership lapses")
	}
}
