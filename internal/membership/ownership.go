package membership

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// shard is one shard's ownership as this process last read it, and what this process does about it.
type shard struct {
	id         cell.ShardID
	row        shardRow
	rowVersion uint64
	// acquiring means that a transaction to acquire the shard is in flight.
	acquiring bool
	// held means that the host was told of the ownership under epoch.
	held  bool
	epoch cell.Epoch
	// ended is the highest epoch that this process has held and given up or lost.
	ended cell.Epoch
	// release is set while this process gives the shard up.
	release *release
}

// release is a shard on its way to another member.
type release struct {
	next cell.MemberID
	// quiet means that the host has stopped deciding for the shard.
	quiet   bool
	writing bool
}

// describe adds the shard to the view.
func (s *shard) describe(l *loop, v *view) {
	if s.row.Owner == "" {
		return
	}
	o := Ownership{
		Shard: s.id,
		Owner: s.row.Owner,
		Addr:  s.row.Addr,
		Epoch: s.row.Epoch,
		Live:  l.memberLive(s.row.Owner),
	}
	v.owners[s.id] = o
	if s.held {
		v.owned = append(v.owned, o)
	}
}

func (l *loop) shard(id cell.ShardID) *shard {
	s, ok := l.shards[id]
	if !ok {
		s = &shard{id: id}
		l.shards[id] = s
	}
	return s
}

// observeShard takes note of a shard's row, unless a later one was seen.
func (l *loop) observeShard(id cell.ShardID, rowVersion uint64, row shardRow) {
	s := l.shard(id)
	if row.olderThan(s.row) {
		return
	}
	s.row = row
	s.rowVersion = rowVersion
	l.noteLoss(s)
	l.adopt(s)
}

// noteLoss tells the host if the row shows that its epoch is over.
func (l *loop) noteLoss(s *shard) {
	if !s.held || (s.row.Epoch == s.epoch && s.row.Owner == l.self()) {
		return
	}
	if s.row.Epoch < s.epoch {
		return
	}
	if s.release != nil && s.release.quiet {
		l.finishRelease(s)
		return
	}
	l.lose(s, s.row.Owner)
}

// lose ends an ownership that another member has superseded.
func (l *loop) lose(s *shard, owner cell.MemberID) {
	l.end(s)
	l.svc.opts.Log.Warn().Str("shard", string(s.id)).Uint64("epoch", uint64(s.epoch)).
		Str("owner", string(owner)).Msg("shard lost")
	l.svc.opts.ShardHost.OnShardLost(s.id, s.epoch)
}

// end gives up the epoch held.
func (l *loop) end(s *shard) {
	s.held = false
	s.release = nil
	s.ended = s.epoch
}

// adopt tells the host of an ownership that the row shows and that it was not told of: the answer of the transaction
// was lost. No other process writes this member's id.
func (l *loop) adopt(s *shard) {
	if s.held || s.acquiring || s.row.Owner != l.self() || s.row.Epoch <= s.ended {
		return
	}
	s.held = true
	s.epoch = s.row.Epoch
	l.svc.opts.Log.Info().Str("shard", string(s.id)).Uint64("epoch", uint64(s.epoch)).Msg("shard acquired")
	l.svc.opts.ShardHost.OnShardAcquired(s.id, s.epoch)
	l.svc.rowChanges.Add(1)
	l.spreadNow()
}

// takeShards acquires the shards that have no live owner and are assigned to this member.
func (l *loop) takeShards() {
	if !l.mayTake() {
		return
	}
	assigned := l.assign()
	for id, owner := range assigned {
		s := l.shard(id)
		if s.acquiring || s.held || l.ownerLive(s) {
			continue
		}
		if owner == l.self() {
			l.acquire(s)
		}
	}
}

// mayTake reports whether this member may acquire shards now. One that has just come to be able to first waits for
// others that do at the same time, as after a start of the whole cell or an outage of the table.
func (l *loop) mayTake() bool {
	return l.svc.takes.Load() && l.leaveCtx == nil && l.present.Sub(l.takesFrom) >= takeDelay
}

func (l *loop) ownerLive(s *shard) bool {
	return s.row.Owner != "" && s.row.Owner != l.self() && l.memberLive(s.row.Owner)
}

// assign computes which member should own each shard, with the owners as known now. What this member is acquiring
// counts as its own, so that it takes no more than its share while others acquire theirs.
func (l *loop) assign() map[cell.ShardID]cell.MemberID {
	current := make(map[cell.ShardID]cell.MemberID)
	for id, s := range l.shards {
		current[id] = s.row.Owner
		if s.row.Owner == "" {
			current[id] = s.row.Next
		}
		if s.acquiring {
			current[id] = l.self()
		}
	}
	return Assign(l.svc.opts.Shards(), l.candidates(), current)
}

// acquire begins the transaction that raises the shard's epoch in this member's name.
func (l *loop) acquire(s *shard) {
	s.acquiring = true
	row := shardRow{Owner: l.self(), Addr: l.svc.opts.Addr, Epoch: s.row.Epoch + 1}
	op := platform.Op{Key: shardKey(s.id), IfVersion: s.rowVersion, Value: platform.EncodeRow(row)}
	go l.svc.writeShard(l.ctx, op, func(version uint64, err error) event {
		return acquired{shard: s.id, row: row, rowVersion: version, err: err}
	})
}

// writeShard applies one step and posts what done makes of the new row version or the error.
func (s *Service) writeShard(ctx context.Context, op platform.Op, done func(uint64, error) event) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	versions, err := s.opts.Table.Apply(ctx, []platform.Op{op})
	if err != nil {
		s.post(done(0, err))
		return
	}
	s.post(done(versions[0], nil))
}

// acquired reports the end of a transaction to acquire a shard.
type acquired struct {
	shard      cell.ShardID
	row        shardRow
	rowVersion uint64
	err        error
}

func (e acquired) apply(l *loop) {
	s := l.shard(e.shard)
	s.acquiring = false
	if e.err != nil {
		l.readRowsSoon()
		return
	}
	l.observeShard(e.shard, e.rowVersion, e.row)
}

// moveForBalance gives up one shard that is assigned to another member, if the members have long been the same.
func (l *loop) moveForBalance() {
	stable := l.present.Sub(l.liveFrom) >= stableBefore
	rested := l.present.Sub(l.movedAt) >= moveInterval
	if !stable || !rested || !l.mayTake() || l.busy() {
		return
	}
	for id, owner := range l.assign() {
		s := l.shard(id)
		if !s.held || owner == l.self() {
			continue
		}
		l.movedAt = l.present
		l.beginRelease(s, owner, releaseTimeout)
		return
	}
}

// busy reports whether the table does not answer or an ownership is on the move.
func (l *loop) busy() bool {
	if !l.tableAnswers() {
		return true
	}
	for _, s := range l.shards {
		if s.acquiring || s.release != nil || s.row.Owner == "" {
			return true
		}
	}
	return false
}

// beginRelease asks the host to stop deciding for the shard, then writes the release.
func (l *loop) beginRelease(s *shard, next cell.MemberID, timeout time.Duration) {
	s.release = &release{next: next}
	epoch := s.epoch
	parent := l.ctx
	if l.leaveCtx != nil {
		parent = l.leaveCtx
	}
	l.svc.opts.Log.Info().Str("shard", string(s.id)).Uint64("epoch", uint64(epoch)).
		Str("next", string(next)).Msg("shard is handed over")
	go func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		l.svc.opts.ShardHost.ReleaseShard(ctx, s.id, epoch)
		l.svc.post(hostReleased{shard: s.id, epoch: epoch})
	}()
}

// hostReleased reports that the host has stopped deciding for the shard.
type hostReleased struct {
	shard cell.ShardID
	epoch cell.Epoch
}

func (e hostReleased) apply(l *loop) {
	s := l.shard(e.shard)
	if s.release == nil || s.epoch != e.epoch {
		return
	}
	s.release.quiet = true
	l.writeRelease(s)
}

// writeRelease writes that the shard has no owner.
func (l *loop) writeRelease(s *shard) {
	s.release.writing = true
	row := shardRow{Epoch: s.epoch, Next: s.release.next}
	op := platform.Op{Key: shardKey(s.id), IfVersion: s.rowVersion, Value: platform.EncodeRow(row)}
	go l.svc.writeShard(l.ctx, op, func(version uint64, err error) event {
		return released{shard: s.id, row: row, rowVersion: version, err: err}
	})
}

// released reports the end of a transaction to release a shard.
type released struct {
	shard      cell.ShardID
	row        shardRow
	rowVersion uint64
	err        error
}

func (e released) apply(l *loop) {
	s := l.shard(e.shard)
	if s.release == nil || s.epoch != e.row.Epoch {
		return
	}
	s.release.writing = false
	if e.err != nil {
		l.noteReleaseFailed(s, e.err)
		return
	}
	l.observeShard(e.shard, e.rowVersion, e.row)
}

// finishRelease ends an ownership whose release is written, and tells the others to read the rows.
func (l *loop) finishRelease(s *shard) {
	l.end(s)
	l.svc.rowChanges.Add(1)
	l.spreadNow()
	l.continueLeave()
}

// noteReleaseFailed leaves the release to be tried again at a later tick, after the row was read.
func (l *loop) noteReleaseFailed(s *shard, err error) {
	if errors.Is(err, platform.ErrConflict) || !isUnwritten(err) {
		l.readRowsSoon()
	}
}

// retryReleases writes again the releases that failed.
func (l *loop) retryReleases() {
	for _, s := range l.shards {
		if s.release != nil && s.release.quiet && !s.release.writing {
			l.writeRelease(s)
		}
	}
}

// continueLeave takes the next steps of a graceful leave: every shard released, then the member's row deleted. While
// the table does not answer, nobody could take a shard over, so that the host goes on deciding.
func (l *loop) continueLeave() {
	if l.leaveCtx == nil || l.deleting {
		return
	}
	assigned := l.assign()
	busy := false
	for id, s := range l.shards {
		if !s.held && !s.acquiring {
			continue
		}
		busy = true
		if s.held && s.release == nil && l.tableAnswers() {
			l.beginRelease(s, assigned[id], leaveTimeout)
		}
	}
	if busy || l.refresh.inFlight {
		return
	}
	l.deleting = true
	op := platform.Op{Key: memberKey(l.self()), AnyVersion: true, Delete: true}
	go l.svc.applyRow(l.ctx, op, func(error) event { return rowDeleted{} })
}

// rowDeleted reports that the attempt to delete this member's own row has ended.
type rowDeleted struct{}

func (rowDeleted) apply(l *loop) {
	l.svc.leftOnce.Do(func() { close(l.svc.left) })
}
