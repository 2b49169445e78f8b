package owner

import (
	"context"
	"encoding/json"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
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
	// maxHandedOverJobs and maxHandedOverBytes bound what the message to the successor holds of jobs.
	maxHandedOverJobs  = 256
	maxHandedOverBytes = 32 << 10
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
		if c.inviteSuccessor(successor.addr, c.resignation()) {
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
	go c.inviteSuccessor(successor.addr, c.resignation())
}

// resignation returns the message to the successor.
func (c *controller) resignation() *wire.Resign {
	body := &wire.Resign{Epoch: c.ownership.Epoch()}
	unrecorded := c.engine.UnrecordedCrashes()
	size := 0
	for _, u := range unrecorded {
		data, err := json.Marshal(u.Progress)
		if err != nil || size+len(data) > maxHandedOverBytes || len(body.Unrecorded) == maxHandedOverJobs {
			continue
		}
		size += len(data)
		body.Unrecorded = append(body.Unrecorded, &wire.UnrecordedCrashes{Job: string(u.Job), Progress: data})
	}
	if left := len(unrecorded) - len(body.Unrecorded); left > 0 {
		c.Log.Warn().Uint64("epoch", c.ownership.Epoch()).Int("jobs", left).Msg("handover too large, crashes of jobs left out")
	}
	return body
}

// handover is what an owner that has resigned could not record.
type handover struct {
	epoch   uint64
	crashes []*wire.UnrecordedCrashes
}

// keepHandover keeps what the owner that resigns has handed over, within the bounds of the message.
func (d *Daemon) keepHandover(resign *wire.Resign) {
	size := 0
	for _, unrecorded := range resign.Unrecorded {
		size += len(unrecorded.Progress)
	}
	if size > maxHandedOverBytes || len(resign.Unrecorded) > maxHandedOverJobs {
		d.Log.Warn().Uint64("epoch", resign.Epoch).Int("jobs", len(resign.Unrecorded)).Msg("handover too large, dropped")
		return
	}
	if last := d.handover.Load(); last == nil || last.epoch <= resign.Epoch {
		d.handover.Store(&handover{resign.Epoch, resign.Unrecorded})
	}
}

// adoptHandover applies what the owner just before this one has handed over.
func (c *controller) adoptHandover() {
	h := c.handover.Swap(nil)
	if h == nil || len(h.crashes) == 0 || h.epoch+ledger.EpochStride != c.ownership.Epoch() {
		return
	}
	for _, unrecorded := range h.crashes {
		var p dispatch.Progress
		if err := json.Unmarshal(unrecorded.Progress, &p); err != nil {
			c.Log.Warn().Str("job", unrecorded.Job).Err(err).Msg("crashes of a job's tasks that were handed over could not be decoded")
			continue
		}
		c.engine.AdoptCrashes(graph.JobID(unrecorded.Job), p)
	}
	c.Log.Info().Uint64("epoch", c.ownership.Epoch()).Int("jobs", len(h.crashes)).Msg("crashes adopted that the owner before could not record")
}

// inviteSuccessor asks the daemon at addr to take over, and reports whether the call succeeded.
func (c *controller) inviteSuccessor(addr string, body *wire.Resign) bool {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if _, err := c.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Resign{Resign: body}}); err != nil {
		c.Log.Warn().Str("successor", addr).Err(err).Msg("successor did not answer the request to take over, ownership has to expire first")
		return false
	}
	return true
}
