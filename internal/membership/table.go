package membership

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
)

// refreshInterval returns how often this member writes its row.
func (l *loop) refreshInterval() time.Duration {
	return max(minRowRefreshInterval, time.Duration(len(l.members)+1)*rowRefreshIntervalPerMember)
}

// refreshRow writes this member's row if that is due.
func (l *loop) refreshRow() {
	if l.leaveCtx != nil || l.rowRefresh.inFlight {
		return
	}
	if l.rowRefresh.written && l.now.Sub(l.rowRefresh.startedAt) < l.refreshInterval() {
		return
	}
	l.rowRefresh.inFlight = true
	l.rowRefresh.startedAt = l.now
	row := memberRow{
		Addr:      l.svc.opts.Addr,
		Zone:      l.svc.opts.Zone,
		RefreshMS: l.refreshInterval().Milliseconds(),
	}
	op := platformapi.Op{Key: memberKey(l.self()), AnyVersion: true, Value: platformapi.EncodeRow(row)}
	go l.svc.writeMemberRow(l.ctx, op, func(err error) event { return ownRowWritten{err: err} })
}

// writeMemberRow writes or deletes a member's row and posts the event that done makes from the error.
func (s *Service) writeMemberRow(ctx context.Context, op platformapi.Op, done func(error) event) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := s.opts.Table.Apply(ctx, []platformapi.Op{op})
	s.post(done(err))
}

// ownRowWritten reports the result of writing this member's row.
type ownRowWritten struct {
	err error
}

func (e ownRowWritten) apply(l *loop) {
	l.rowRefresh.inFlight = false
	if e.err == nil {
		l.rowRefresh.written = true
	}
	l.continueLeave()
}

// readRowsSoon requests a read of the rows before the regular one is due.
func (l *loop) readRowsSoon() {
	l.rowRead.requested = true
	l.readRows()
}

// readRows begins to read the rows of members and shards if that is due or requested.
func (l *loop) readRows() {
	if l.rowRead.inFlight {
		return
	}
	age := l.now.Sub(l.rowRead.startedAt)
	due := !l.rowRead.succeeded || age >= rowReadInterval
	early := l.rowRead.requested && age >= minRowReadInterval
	if !due && !early {
		return
	}
	l.rowRead.inFlight = true
	l.rowRead.requested = false
	l.rowRead.startedAt = l.now
	go l.svc.readRows(l.ctx, l.now)
}

// readRows reads the rows of members, then those of shards, and posts the result.
func (s *Service) readRows(ctx context.Context, started monotime.Instant) {
	members, err := s.list(ctx, memberPrefix)
	if err != nil {
		s.post(rowsRead{started: started, err: err})
		return
	}
	shards, err := s.list(ctx, shardPrefix)
	s.post(rowsRead{started: started, members: members, shards: shards, err: err})
}

func (s *Service) list(ctx context.Context, prefix string) ([]platformapi.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return s.opts.Table.List(ctx, prefix)
}

// rowsRead reports the rows as they were at some time after started, or why they could not be read.
type rowsRead struct {
	started monotime.Instant
	members []platformapi.Row
	shards  []platformapi.Row
	err     error
}

func (e rowsRead) apply(l *loop) {
	l.rowRead.inFlight = false
	if e.err != nil {
		for _, m := range l.members {
			m.resetRowAge(l.now)
		}
		return
	}
	l.rowRead.succeeded = true
	l.rowRead.lastSuccess = l.now
	l.applyMemberRows(e.members, e.started)
	for _, row := range e.shards {
		decoded, err := decodeShardRow(row)
		if err != nil {
			l.svc.opts.Log.Error().Err(err).Str("key", row.Key).Msg("shard row is malformed")
			continue
		}
		l.applyShardRow(shardFromKey(row.Key), row.Version, decoded)
	}
	l.updateCandidates()
	l.acquireAssigned()
	if l.rowRead.requested {
		l.readRows()
	}
}

// applyMemberRows applies the members' rows and drops members that have none.
func (l *loop) applyMemberRows(rows []platformapi.Row, started monotime.Instant) {
	seen := make(map[cell.MemberID]bool, len(rows))
	for _, row := range rows {
		id := memberFromKey(row.Key)
		if id == l.self() {
			continue
		}
		decoded, err := decodeMemberRow(row)
		if err != nil {
			l.svc.opts.Log.Error().Err(err).Str("key", row.Key).Msg("member row is malformed")
			continue
		}
		seen[id] = true
		l.member(id, decoded.Addr, decoded.Zone).recordRow(row.Version, decoded, started, l.now)
	}
	ids := make([]cell.MemberID, 0, len(seen))
	for id := range l.members {
		if seen[id] {
			ids = append(ids, id)
			continue
		}
		delete(l.members, id)
	}
	l.svc.opts.ConfigStore.SetMembers(ids)
}

// member returns the state of another member. For a new member it creates the state and begins an exchange.
func (l *loop) member(id cell.MemberID, addr, zone string) *memberState {
	m, ok := l.members[id]
	if ok {
		return m
	}
	m = &memberState{id: id, addr: addr, zone: zone, lastAlive: l.now, rowUnchangedSince: l.now, rowUnchangedUntil: l.now}
	l.members[id] = m
	go l.svc.exchangeHeartbeat(l.ctx, id, addr)
	m.exchangeInFlight = true
	return m
}

// removeDeadMembers begins to delete the rows that rowRemovable allows to delete.
func (l *loop) removeDeadMembers() {
	for id, m := range l.members {
		if l.removalInFlight[id] || !m.rowRemovable(l.now, l.failureTimeout()) {
			continue
		}
		l.removalInFlight[id] = true
		op := platformapi.Op{Key: memberKey(id), IfVersion: m.rowVersion, Delete: true}
		go l.svc.writeMemberRow(l.ctx, op, func(error) event { return deadRowRemoved{id: id} })
	}
}

// deadRowRemoved reports that an attempt to delete a dead member's row has ended.
type deadRowRemoved struct {
	id cell.MemberID
}

func (e deadRowRemoved) apply(l *loop) {
	delete(l.removalInFlight, e.id)
	l.readRowsSoon()
}

// tableReachable reports whether the rows were read within tableUnreachableAfter.
func (l *loop) tableReachable() bool {
	return l.rowRead.succeeded && l.now.Sub(l.rowRead.lastSuccess) <= tableUnreachableAfter
}

// nothingWritten reports whether the error proves that the transaction wrote nothing.
func nothingWritten(err error) bool {
	return errors.Is(err, platformapi.ErrUnavailable)
}
