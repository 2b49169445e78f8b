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

// heartbeatInterval returns how often each pair of members exchanges a heartbeat.
func (l *loop) heartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(len(l.members)+1)*heartbeatIntervalPerMember)
}

// failureTimeout returns the time without a heartbeat after which a member may count as dead: two missing heartbeats and
// the time for a third.
func (l *loop) failureTimeout() time.Duration {
	return minFailureTimeout + 2*(l.heartbeatInterval()-minHeartbeatInterval)
}

// isLive reports whether another member counts as running now.
func (l *loop) isLive(m *memberState) bool {
	return m.isLive(l.now, l.failureTimeout())
}

// sendDueHeartbeats begins an exchange with every other member that has not begun one itself within the interval. Both
// members learn the same from an exchange, so each pair needs only one per interval. Only the configuration's freshness
// needs exchanges that this member began, at ownExchangeInterval.
func (l *loop) sendDueHeartbeats() {
	interval := l.heartbeatInterval()
	l.nextHeartbeats = l.now.Add(interval)
	for _, m := range l.members {
		receivedRecently := l.now.Sub(m.lastHeartbeatAt) < interval
		ownDue := l.now.Sub(m.lastAnswered) >= ownExchangeInterval
		if !receivedRecently || ownDue {
			l.sendHeartbeat(m)
		}
	}
}

// sendHeartbeat begins an exchange with the member unless one is already in flight.
func (l *loop) sendHeartbeat(m *memberState) {
	if m.exchangeInFlight {
		return
	}
	m.exchangeInFlight = true
	go l.svc.exchangeHeartbeat(l.ctx, m.id, m.addr)
}

// broadcastHeartbeat sends every other member this member's current state at once. If an exchange is in flight, which
// may carry an older state, another one follows it.
func (l *loop) broadcastHeartbeat() {
	for _, m := range l.members {
		m.exchangeAgain = m.exchangeInFlight
		l.sendHeartbeat(m)
	}
}

// exchangeHeartbeat exchanges one heartbeat with the member that is expected at addr.
func (s *Service) exchangeHeartbeat(ctx context.Context, id cell.MemberID, addr string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	started := s.opts.Clock.Now()
	body := &wire.Request_Heartbeat{Heartbeat: s.heartbeat()}
	reply, err := s.opts.Peers.Call(ctx, addr, &wire.Request{Body: body})
	s.post(exchangeEnded{id: id, started: started, heartbeat: reply.GetHeartbeat(), err: err})
}

// exchangeEnded reports the result of an exchange. A nil heartbeat without an error means that the member refused it
// because it is stopping.
type exchangeEnded struct {
	id        cell.MemberID
	started   monotime.Instant
	heartbeat *wire.Heartbeat
	err       error
}

func (e exchangeEnded) apply(l *loop) {
	m, ok := l.members[e.id]
	if !ok {
		return
	}
	m.exchangeInFlight = false
	if m.exchangeAgain {
		m.exchangeAgain = false
		l.sendHeartbeat(m)
	}
	if e.err != nil {
		l.recordFailedExchange(m, e.err)
		return
	}
	m.refusedHeartbeats = 0
	if e.heartbeat == nil {
		return
	}
	if cell.MemberID(e.heartbeat.GetMember()) != m.id {
		m.replaced = true
		l.readRowsSoon()
		return
	}
	m.lastAlive = max(m.lastAlive, e.started)
	m.lastAnswered = max(m.lastAnswered, e.started)
	l.applyHeartbeat(m, e.heartbeat)
	l.svc.opts.ConfigStore.RecordPeerVersion(config.PeerVersion{
		Member:  m.id,
		Addr:    m.addr,
		Version: e.heartbeat.GetConfigVersion(),
		Pending: e.heartbeat.GetConfigPending(),
		Started: e.started,
	})
}

// recordFailedExchange counts refused connections and has the rows read again at refusedHeartbeatLimit.
func (l *loop) recordFailedExchange(m *memberState, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		m.refusedHeartbeats = 0
		return
	}
	m.refusedHeartbeats++
	if m.refusedHeartbeats == refusedHeartbeatLimit {
		l.readRowsSoon()
	}
}

// heartbeatReceived reports a heartbeat that another member sent.
type heartbeatReceived struct {
	heartbeat *wire.Heartbeat
}

func (e heartbeatReceived) apply(l *loop) {
	m, ok := l.members[cell.MemberID(e.heartbeat.GetMember())]
	if !ok {
		l.readRowsSoon()
		return
	}
	m.lastHeartbeatAt = l.now
	m.lastAlive = l.now
	m.refusedHeartbeats = 0
	l.applyHeartbeat(m, e.heartbeat)
}

// applyHeartbeat applies the state that a member announces in a heartbeat.
func (l *loop) applyHeartbeat(m *memberState, heartbeat *wire.Heartbeat) {
	m.leaving = m.leaving || heartbeat.GetLeaving()
	m.canAcquire = heartbeat.GetTakesShards()
	m.configVersion = max(m.configVersion, heartbeat.GetConfigVersion())
	m.digests = heartbeat.GetShards()
	if heartbeat.GetRowChanges() > m.rowChanges {
		m.rowChanges = heartbeat.GetRowChanges()
		l.readRowsSoon()
	}
	if l.announcesUnknownEpoch(heartbeat) {
		l.readRowsSoon()
	}
	l.endSupersededShards(heartbeat)
	if len(heartbeat.GetLeavingWorkers()) > 0 {
		l.svc.opts.ShardHost.MarkWorkersLeaving(workerIDs(heartbeat.GetLeavingWorkers()))
	}
}

// endSupersededShards ends this member's ownership of shards that the sender owns under a higher epoch. This way a
// member that can't reach the table learns of it too.
func (l *loop) endSupersededShards(heartbeat *wire.Heartbeat) {
	for _, d := range heartbeat.GetShards() {
		s, ok := l.shards[cell.ShardID(d.GetShard())]
		if ok && s.owned && d.GetEpoch() > uint64(s.ownedEpoch) {
			l.endSuperseded(s, cell.MemberID(heartbeat.GetMember()))
		}
	}
}

// announcesUnknownEpoch reports whether the heartbeat announces an epoch that is newer than the rows read so far.
func (l *loop) announcesUnknownEpoch(heartbeat *wire.Heartbeat) bool {
	for _, d := range heartbeat.GetShards() {
		s, ok := l.shards[cell.ShardID(d.GetShard())]
		if !ok || uint64(s.row.Epoch) < d.GetEpoch() {
			return true
		}
	}
	return false
}
