package owner

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/overload"
	"laburnumpoint/internal/wire"
)

// CommandBacklog is the command of an IntakeRequest that asks the owner for a summary of its backlog. The reply's details are the
// summary's age in milliseconds and the summary as JSON.
const CommandBacklog = "backlog"

const (
	// backlogInterval is how often an owner summarises its backlog.
	backlogInterval = 300 * time.Millisecond
	// storeTroubleTime is how long after the store has not answered a daemon no job is refused for overload: a write that was
	// not answered may be applied seconds later.
	storeTroubleTime = 8 * time.Second
)

// backlogView is a summary of the owner's backlog.
type backlogView struct {
	summary overload.Summary
	// encoded is the summary as JSON.
	encoded string
	asOf    monotime.Instant
}

// Backlog returns the latest summary of the owner's backlog that is not older than overload.MaxAge; ok is false if there is none.
func (d *Daemon) Backlog() (summary *overload.Summary, ok bool) {
	view := d.backlog.Load()
	if view == nil || d.Clock.Now().Sub(view.asOf) > overload.MaxAge {
		return nil, false
	}
	return &view.summary, true
}

// publishBacklog summarises the backlog for the daemons, if the settings ask for it and the engine knows all runs.
func (c *controller) publishBacklog() {
	now := c.now()
	if !c.RefuseOverload || !c.reportsComplete || !c.ownershipValid() || now.Sub(c.backlogAt) < backlogInterval {
		return
	}
	c.backlogAt = now
	if !c.StoreUp() || c.permits.anyWithoutStore(now) {
		c.storeTroubleUntil = now.Add(storeTroubleTime)
	}
	view := &backlogView{summary: c.engine.Backlog(), asOf: now}
	view.summary.StoreTrouble = now < c.storeTroubleUntil
	encoded, err := json.Marshal(view.summary)
	if err != nil {
		c.Log.Error().Err(err).Msg("backlog could not be encoded")
		return
	}
	view.encoded = string(encoded)
	c.backlog.Store(view)
}

// anyWithoutStore reports whether the store has lately not answered one of the other live daemons.
func (q *permitQueue) anyWithoutStore(now monotime.Instant) bool {
	for addr, h := range q.helpers {
		if addr != "" && now.Sub(h.lastHelloAt) < helperTimeout && h.lastHelloAt.Sub(h.storeAnsweredAt) > maxReachableStoreAge {
			return true
		}
	}
	return false
}

// HandleBacklog answers another daemon with the summary of the backlog, if this daemon owns the cell.
func (d *Daemon) HandleBacklog() *wire.Reply {
	view := d.backlog.Load()
	if view == nil || view.encoded == "" || !d.IsOwner() {
		return &wire.Reply{Body: &wire.Reply_NotOwner{NotOwner: &wire.Empty{}}}
	}
	age := d.Clock.Now().Sub(view.asOf).Milliseconds()
	body := &wire.IntakeReply{Result: "ok", Detail: []string{strconv.FormatInt(age, 10), view.encoded}}
	return &wire.Reply{Body: &wire.Reply_Intake{Intake: body}}
}

// fetchBacklog asks the owner at addr for the summary of its backlog.
func (d *Daemon) fetchBacklog(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, helloInterval)
	defer cancel()
	sent := d.Clock.Now()
	req := &wire.IntakeRequest{Command: CommandBacklog, TimeoutMs: helloInterval.Milliseconds()}
	reply, err := d.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Intake{Intake: req}})
	if err != nil {
		d.instruments.helloFailures.Inc()
		return
	}
	detail := reply.GetIntake().GetDetail()
	if len(detail) != 2 {
		return // not the owner, or it has no summary yet
	}
	// The age counts from when the request was sent: it is never taken for less than it is.
	age, err := strconv.ParseInt(detail[0], 10, 64)
	view := &backlogView{asOf: sent.Add(-time.Duration(age) * time.Millisecond)}
	if err == nil {
		err = json.Unmarshal([]byte(detail[1]), &view.summary)
	}
	if err != nil {
		d.Log.Warn().Str("owner", addr).Err(err).Msg("backlog could not be decoded")
		return
	}
	d.backlog.Store(view)
}
