package membership

import (
	"context"
	"errors"
	"syscall"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// heartbeatInterval is how often each pair of members exchanges a heartbeat.
func (l *loop) heartbeatInterval() time.Duration {
	return max(heartbeatMin, time.Duration(len(l.members)+1)*heartbeatPerMember)
}

// silenceLimit is the time without a heartbeat after which a member may be judged dead: two that are missing, and the
// time for a third.
func (l *loop) silenceLimit() time.Duration {
	return silenceMin + 2*(l.heartbeatInterval()-heartbeatMin)
}

// live reports whether another member is to be taken as running.
func (l *loop) live(o *observed) bool {
	return o.live(l.present, l.silenceLimit())
}

// sendDueHeartbeats begins an exchange with every other member that has begun none lately itself. Both ends learn the
// same from an exchange, so that each pair needs one for each interval; only the configuration needs our own now and
// then.
func (l *loop) sendDueHeartbeats() {
	interval := l.heartbeatInterval()
	l.beatAt = l.present.Add(interval)
	for _, o := range l.members {
		heard := l.present.Sub(o.heard) < interval
		ownDue := l.present.Sub(o.answered) >= ownExchangeInterval
		if !heard || ownDue {
			l.sendHeartbeat(o)
		}
	}
}

// sendHeartbeat begins an exchange with the member unless one is in flight.
func (l *loop) sendHeartbeat(o *observed) {
	if o.inFlight {
		return
	}
	o.inFlight = true
	go l.svc.beat(l.ctx, o.id, o.addr)
}

// spreadNow tells every other member at once what this member now says of itself, also those with an exchange in
// flight that may have begun before.
func (l *loop) spreadNow() {
	for _, o := range l.members {
		o.again = o.inFlight
		l.sendHeartbeat(o)
	}
}

// beat exchanges one heartbeat with the member that should be at addr.
func (s *Service) beat(ctx context.Context, id cell.MemberID, addr string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	started := s.opts.Clock.Now()
	body := &wire.Request_Heartbeat{Heartbeat: s.heartbeat()}
	reply, err := s.opts.PeerClient.Call(ctx, addr, &wire.Request{Body: body})
	s.post(heartbeatAnswered{id: id, started: started, hb: reply.GetHeartbeat(), err: err})
}

// heartbeatAnswered reports the end of an exchange. A nil hb without an error is a refusal by a member that stops.
type heartbeatAnswered struct {
	id      cell.MemberID
	started monotime.Instant
	hb      *wire.Heartbeat
	err     error
}

func (e heartbeatAnswered) apply(l *loop) {
	o, ok := l.members[e.id]
	if !ok {
		return
	}
	o.inFlight = false
	if o.again {
		o.again = false
		l.sendHeartbeat(o)
	}
	if e.err != nil {
		l.noteUnanswered(o, e.err)
		return
	}
	o.refused = 0
	if e.hb == nil {
		return
	}
	if cell.MemberID(e.hb.GetMember()) != o.id {
		o.replaced = true
		l.readRowsSoon()
		return
	}
	o.alive = max(o.alive, e.started)
	o.answered = max(o.answered, e.started)
	l.noteHeartbeat(o, e.hb)
	l.svc.opts.ConfigStore.RecordPeerVersion(config.Heard{
		Member:  o.id,
		Addr:    o.addr,
		Version: e.hb.GetConfigVersion(),
		Pending: e.hb.GetConfigPending(),
		Started: e.started,
	})
}

func (l *loop) noteUnanswered(o *observed, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		o.refused = 0
		return
	}
	o.refused++
	if o.refused == refusedLimit {
		l.readRowsSoon()
	}
}

// heartbeatReceived reports a heartbeat that another member sent.
type heartbeatReceived struct {
	hb *wire.Heartbeat
}

func (e heartbeatReceived) apply(l *loop) {
	o, ok := l.members[cell.MemberID(e.hb.GetMember())]
	if !ok {
		l.readRowsSoon()
		return
	}
	o.heard = l.present
	o.alive = l.present
	o.refused = 0
	l.noteHeartbeat(o, e.hb)
}

// noteHeartbeat takes over what a member says of itself.
func (l *loop) noteHeartbeat(o *observed, hb *wire.Heartbeat) {
	o.leaving = o.leaving || hb.GetLeaving()
	o.takes = hb.GetTakesShards()
	o.config = max(o.config, hb.GetConfigVersion())
	o.digests = hb.GetShards()
	if hb.GetRowChanges() > o.rowChanges {
		o.rowChanges = hb.GetRowChanges()
		l.readRowsSoon()
	}
	if l.announcesUnknownEpoch(hb) {
		l.readRowsSoon()
	}
	l.noteSuperseded(hb)
	if len(hb.GetLeavingWorkers()) > 0 {
		l.svc.opts.ShardHost.MarkWorkersLeaving(workerIDs(hb.GetLeavingWorkers()))
	}
}

// noteSuperseded gives up the shards that another member owns under a higher epoch: a member cut off from the table
// learns so too.
func (l *loop) noteSuperseded(hb *wire.Heartbeat) {
	for _, d := range hb.GetShards() {
		s, ok := l.shards[cell.ShardID(d.GetShard())]
		if ok && s.held && d.GetEpoch() > uint64(s.epoch) {
			l.lose(s, cell.MemberID(hb.GetMember()))
		}
	}
}

// announcesUnknownEpoch reports whether the heartbeat tells of an ownership that the rows read so far don't.
func (l *loop) announcesUnknownEpoch(hb *wire.Heartbeat) bool {
	for _, d := range hb.GetShards() {
		s, ok := l.shards[cell.ShardID(d.GetShard())]
		if !ok || uint64(s.row.Epoch) < d.GetEpoch() {
			return true
		}
	}
	return false
}
