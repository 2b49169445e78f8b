package membership

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platform"
)

// refreshInterval is how often this member writes its row.
func (l *loop) refreshInterval() time.Duration {
	return max(refreshMin, time.Duration(len(l.members)+1)*refreshPerMember)
}

// refreshRow writes this member's row when it is due.
func (l *loop) refreshRow() {
	if l.leaveCtx != nil || l.refresh.inFlight {
		return
	}
	if l.refresh.written && l.present.Sub(l.refresh.startAt) < l.refreshInterval() {
		return
	}
	l.refresh.inFlight = true
	l.refresh.startAt = l.present
	row := memberRow{
		Addr:      l.svc.opts.Addr,
		Zone:      l.svc.opts.Zone,
		RefreshMS: l.refreshInterval().Milliseconds(),
	}
	op := platform.Op{Key: memberKey(l.self()), AnyVersion: true, Value: platform.EncodeRow(row)}
	go l.svc.applyRow(l.ctx, op, func(err error) event { return rowRefreshed{err: err} })
}

// applyRow applies one step and posts what done makes of its error.
func (s *Service) applyRow(ctx context.Context, op platform.Op, done func(error) event) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := s.opts.Table.Apply(ctx, []platform.Op{op})
	s.post(done(err))
}

// rowRefreshed reports that this member's row was written, or why it was not.
type rowRefreshed struct {
	err error
}

func (e rowRefreshed) apply(l *loop) {
	l.refresh.inFlight = false
	if e.err == nil {
		l.refresh.written = true
	}
	l.continueLeave()
}

// readRowsSoon asks for a reading of the rows before its regular time.
func (l *loop) readRowsSoon() {
	l.rows.wanted = true
	l.readRows()
}

// readRows reads the rows of members and shards when that is due.
func (l *loop) readRows() {
	if l.rows.inFlight {
		return
	}
	age := l.present.Sub(l.rows.startAt)
	due := !l.rows.done || age >= rowsInterval
	early := l.rows.wanted && age >= rowsMinInterval
	if !due && !early {
		return
	}
	l.rows.inFlight = true
	l.rows.wanted = false
	l.rows.startAt = l.present
	go l.svc.readRows(l.ctx, l.present)
}

func (s *Service) readRows(ctx context.Context, started monotime.Instant) {
	members, err := s.list(ctx, memberPrefix)
	if err != nil {
		s.post(rowsRead{started: started, err: err})
		return
	}
	shards, err := s.list(ctx, shardPrefix)
	s.post(rowsRead{started: started, members: members, shards: shards, err: err})
}

func (s *Service) list(ctx context.Context, prefix string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return s.opts.Table.List(ctx, prefix)
}

// rowsRead reports the rows as they were at some instant after started, or why they could not be read.
type rowsRead struct {
	started monotime.Instant
	members []platform.Row
	shards  []platform.Row
	err     error
}

func (e rowsRead) apply(l *loop) {
	l.rows.inFlight = false
	if e.err != nil {
		for _, o := range l.members {
			o.restartRow(l.present)
		}
		return
	}
	l.rows.done = true
	l.rows.readAt = l.present
	l.observeMembers(e.members, e.started)
	for _, row := range e.shards {
		decoded, err := decodeShard(row)
		if err != nil {
			l.svc.opts.Log.Error().Err(err).Str("key", row.Key).Msg("shard row is malformed")
			continue
		}
		l.observeShard(shardOf(row.Key), row.Version, decoded)
	}
	l.noteLive()
	l.takeShards()
	if l.rows.wanted {
		l.readRows()
	}
}

// observeMembers takes note of the members' rows and forgets members that have none.
func (l *loop) observeMembers(rows []platform.Row, started monotime.Instant) {
	seen := make(map[cell.MemberID]bool, len(rows))
	for _, row := range rows {
		id := memberOf(row.Key)
		if id == l.self() {
			continue
		}
		decoded, err := decodeMember(row)
		if err != nil {
			l.svc.opts.Log.Error().Err(err).Str("key", row.Key).Msg("member row is malformed")
			continue
		}
		seen[id] = true
		l.member(id, decoded.Addr, decoded.Zone).noteRow(row.Version, decoded, started, l.present)
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

// member returns what is known of another member, from now on if nothing was.
func (l *loop) member(id cell.MemberID, addr, zone string) *observed {
	o, ok := l.members[id]
	if ok {
		return o
	}
	o = &observed{id: id, addr: addr, zone: zone, alive: l.present, rowSince: l.present, rowUntil: l.present}
	l.members[id] = o
	go l.svc.beat(l.ctx, id, addr)
	o.inFlight = true
	return o
}

// removeDead deletes the rows of members that have been dead for long.
func (l *loop) removeDead() {
	for id, o := range l.members {
		if l.removing[id] || !o.removable(l.present, l.silenceLimit()) {
			continue
		}
		l.removing[id] = true
		op := platform.Op{Key: memberKey(id), IfVersion: o.rowVersion, Delete: true}
		go l.svc.applyRow(l.ctx, op, func(error) event { return rowRemoved{id: id} })
	}
}

// rowRemoved reports that an attempt to delete a dead member's row has ended.
type rowRemoved struct {
	id cell.MemberID
}

func (e rowRemoved) apply(l *loop) {
	delete(l.removing, e.id)
	l.readRowsSoon()
}

// tableAnswers reports whether the table has answered lately.
func (l *loop) tableAnswers() bool {
	return l.rows.done && l.present.Sub(l.rows.readAt) <= tableSilenceLimit
}

// isUnwritten reports whether the error means that nothing was written.
func isUnwritten(err error) bool {
	return errors.Is(err, platform.ErrUnavailable)
}
