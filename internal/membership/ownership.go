package membership

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// shardState is a shard's ownership as this process last read it, and the state of this process's own operations on it.
type shardState struct {
	id         cell.ShardID
	row        shardRow
	rowVersion uint64
	// acquiring means that a transaction to acquire the shard is in flight.
	acquiring bool
	// owned means that this member owns the shard under ownedEpoch and has notified the host.
	owned      bool
	ownedEpoch cell.Epoch
	// lastEndedEpoch is the latest epoch that this process owned and released or lost.
	lastEndedEpoch cell.Epoch
	// release is set while this process releases the shard.
	release *release
}

// release is the state of handing a shard over to another member.
type release struct {
	nextOwner cell.MemberID
	// hostStopped means that the host has stopped deciding for the shard.
	hostStopped   bool
	writeInFlight bool
}

// addToView adds the shard's ownership to the view.
func (s *shardState) addToView(l *loop, v *view) {
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
	if s.owned {
		v.owned = append(v.owned, o)
	}
}

// shard returns the state of a shard and creates it if there is none.
func (l *loop) shard(id cell.ShardID) *shardState {
	s, ok := l.shards[id]
	if !ok {
		s = &shardState{id: id}
		l.shards[id] = s
	}
	return s
}

// applyShardRow applies a shard's row unless a newer one has been seen.
func (l *loop) applyShardRow(id cell.ShardID, rowVersion uint64, row shardRow) {
	s := l.shard(id)
	if row.olderThan(s.row) {
		return
	}
	s.row = row
	s.rowVersion = rowVersion
	l.detectLoss(s)
	l.detectAcquisition(s)
}

// detectLoss ends this member's ownership if the row shows another owner, a newer epoch or a completed release.
func (l *loop) detectLoss(s *shardState) {
	if !s.owned || (s.row.Epoch == s.ownedEpoch && s.row.Owner == l.self()) {
		return
	}
	if s.row.Epoch < s.ownedEpoch {
		return
	}
	if s.release != nil && s.release.hostStopped {
		l.finishRelease(s)
		return
	}
	l.endSuperseded(s, s.row.Owner)
}

// endSuperseded ends an ownership that another member has superseded and notifies the host.
func (l *loop) endSuperseded(s *shardState, owner cell.MemberID) {
	l.endOwnership(s)
	l.svc.opts.Log.Warn().Str("shard", string(s.id)).Uint64("epoch", uint64(s.ownedEpoch)).
		Str("owner", string(owner)).Msg("shard lost")
	l.svc.opts.ShardHost.OnShardLost(s.id, s.ownedEpoch)
}

// endOwnership clears the ownership under ownedEpoch.
func (l *loop) endOwnership(s *shardState) {
	s.owned = false
	s.release = nil
	s.lastEndedEpoch = s.ownedEpoch
}

// detectAcquisition notifies the host of a new ownership that the row shows. That includes an acquisition whose answer
// was lost: no other process writes this member's id, so the row proves the ownership.
func (l *loop) detectAcquisition(s *shardState) {
	if s.owned || s.acquiring || s.row.Owner != l.self() || s.row.Epoch <= s.lastEndedEpoch {
		return
	}
	s.owned = true
	s.ownedEpoch = s.row.Epoch
	l.svc.opts.Log.Info().Str("shard", string(s.id)).Uint64("epoch", uint64(s.ownedEpoch)).Msg("shard acquired")
	l.svc.opts.ShardHost.OnShardAcquired(s.id, s.ownedEpoch)
	l.svc.rowChanges.Add(1)
	l.broadcastHeartbeat()
}

// acquireAssigned begins to acquire the shards that are assigned to this member and have no live owner.
func (l *loop) acquireAssigned() {
	if !l.mayAcquire() {
		return
	}
	assigned := l.assign()
	for id, owner := range assigned {
		s := l.shard(id)
		if s.acquiring || s.owned || l.ownerLive(s) {
			continue
		}
		if owner == l.self() {
			l.acquire(s)
		}
	}
}

// mayAcquire reports whether this member may acquire shards now. A member that has just become able to first waits
// for acquireDelay, because other members may become able to at the same time, as after a start of the whole cell or
// an outage of the table.
func (l *loop) mayAcquire() bool {
	return l.svc.canAcquire.Load() && l.leaveCtx == nil && l.now.Sub(l.canAcquireSince) >= acquireDelay
}

// ownerLive reports whether the shard is owned by another member that counts as running.
func (l *loop) ownerLive(s *shardState) bool {
	return s.row.Owner != "" && s.row.Owner != l.self() && l.memberLive(s.row.Owner)
}

// assign computes which member should own each shard, given the owners known now. Shards that this member is acquiring
// count as its own, so that it acquires no more than its share while others acquire theirs.
func (l *loop) assign() map[cell.ShardID]cell.MemberID {
	current := make(map[cell.ShardID]cell.MemberID)
	for id, s := range l.shards {
		current[id] = s.row.Owner
		if s.row.Owner == "" {
			current[id] = s.row.NextOwner
		}
		if s.acquiring {
			current[id] = l.self()
		}
	}
	return Assign(l.svc.opts.Shards(), l.candidates(), current)
}

// acquire begins the transaction that makes this member the shard's owner under the next epoch.
func (l *loop) acquire(s *shardState) {
	s.acquiring = true
	row := shardRow{Owner: l.self(), Addr: l.svc.opts.Addr, Epoch: s.row.Epoch + 1}
	op := platformapi.Op{Key: shardKey(s.id), IfVersion: s.rowVersion, Value: platformapi.EncodeRow(row)}
	go l.svc.writeShardRow(l.ctx, op, func(version uint64, err error) event {
		return acquireWritten{shard: s.id, row: row, rowVersion: version, err: err}
	})
}

// writeShardRow writes a shard's row and posts the event that done makes from the new row version or the error.
func (s *Service) writeShardRow(ctx context.Context, op platformapi.Op, done func(uint64, error) event) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	versions, err := s.opts.Table.Apply(ctx, []platformapi.Op{op})
	if err != nil {
		s.post(done(0, err))
		return
	}
	s.post(done(versions[0], nil))
}

// acquireWritten reports the result of the transaction to acquire a shard.
type acquireWritten struct {
	shard      cell.ShardID
	row        shardRow
	rowVersion uint64
	err        error
}

func (e acquireWritten) apply(l *loop) {
	s := l.shard(e.shard)
	s.acquiring = false
	if e.err != nil {
		l.readRowsSoon()
		return
	}
	l.applyShardRow(e.shard, e.rowVersion, e.row)
}

// rebalance begins to release one shard that is assigned to another member, if the candidates have been stable.
func (l *loop) rebalance() {
	stable := l.now.Sub(l.candidatesSince) >= stableBeforeRebalance
	intervalPassed := l.now.Sub(l.lastRebalance) >= rebalanceInterval
	if !stable || !intervalPassed || !l.mayAcquire() || l.inTransition() {
		return
	}
	for id, owner := range l.assign() {
		s := l.shard(id)
		if !s.owned || owner == l.self() {
			continue
		}
		l.lastRebalance = l.now
		l.beginRelease(s, owner, rebalanceReleaseTimeout)
		return
	}
}

// inTransition reports whether a shard is being acquired or released or has no owner, or the table is unreachable.
func (l *loop) inTransition() bool {
	if !l.tableReachable() {
		return true
	}
	for _, s := range l.shards {
		if s.acquiring || s.release != nil || s.row.Owner == "" {
			return true
		}
	}
	return false
}

// beginRelease asks the host to stop deciding for the shard; the release is written once the host has stopped.
func (l *loop) beginRelease(s *shardState, nextOwner cell.MemberID, timeout time.Duration) {
	s.release = &release{nextOwner: nextOwner}
	epoch := s.ownedEpoch
	parent := l.ctx
	if l.leaveCtx != nil {
		parent = l.leaveCtx
	}
	l.svc.opts.Log.Info().Str("shard", string(s.id)).Uint64("epoch", uint64(epoch)).
		Str("next", string(nextOwner)).Msg("shard release started")
	go func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		l.svc.opts.ShardHost.ReleaseShard(ctx, s.id, epoch)
		l.svc.post(hostReleased{shard: s.id, epoch: epoch})
	}()
}

// hostReleased reports that ShardHost.ReleaseShard has returned for the shard.
type hostReleased struct {
	shard cell.ShardID
	epoch cell.Epoch
}

func (e hostReleased) apply(l *loop) {
	s := l.shard(e.shard)
	if s.release == nil || s.ownedEpoch != e.epoch {
		return
	}
	s.release.hostStopped = true
	l.writeRelease(s)
}

// writeRelease begins the transaction that leaves the shard without an owner and names the next one.
func (l *loop) writeRelease(s *shardState) {
	s.release.writeInFlight = true
	row := shardRow{Epoch: s.ownedEpoch, NextOwner: s.release.nextOwner}
	op := platformapi.Op{Key: shardKey(s.id), IfVersion: s.rowVersion, Value: platformapi.EncodeRow(row)}
	go l.svc.writeShardRow(l.ctx, op, func(version uint64, err error) event {
		return releaseWritten{shard: s.id, row: row, rowVersion: version, err: err}
	})
}

// releaseWritten reports the result of the transaction to release a shard.
type releaseWritten struct {
	shard      cell.ShardID
	row        shardRow
	rowVersion uint64
	err        error
}

func (e releaseWritten) apply(l *loop) {
	s := l.shard(e.shard)
	if s.release == nil || s.ownedEpoch != e.row.Epoch {
		return
	}
	s.release.writeInFlight = false
	if e.err != nil {
		l.handleReleaseError(s, e.err)
		return
	}
	l.applyShardRow(e.shard, e.rowVersion, e.row)
}

// finishRelease ends an ownership whose release is written, and makes the other members read the rows.
func (l *loop) finishRelease(s *shardState) {
	l.endOwnership(s)
	l.svc.rowChanges.Add(1)
	l.broadcastHeartbeat()
	l.continueLeave()
}

// handleReleaseError has the rows read again if the release may have been written or the row has changed. The release
// is retried at a later tick.
func (l *loop) handleReleaseError(s *shardState, err error) {
	if errors.Is(err, platformapi.ErrConflict) || !nothingWritten(err) {
		l.readRowsSoon()
	}
}

// retryReleases writes releases again whose transaction failed.
func (l *loop) retryReleases() {
	for _, s := range l.shards {
		if s.release != nil && s.release.hostStopped && !s.release.writeInFlight {
			l.writeRelease(s)
		}
	}
}

// continueLeave takes the next steps of a graceful leave: it releases every shard, then deletes the member's row. While
// the table is unreachable no other member could acquire a shard, so the host goes on deciding for it.
func (l *loop) continueLeave() {
	if l.leaveCtx == nil || l.deletingOwnRow {
		return
	}
	assigned := l.assign()
	shardsRemain := false
	for id, s := range l.shards {
		if !s.owned && !s.acquiring {
			continue
		}
		shardsRemain = true
		if s.owned && s.release == nil && l.tableReachable() {
			l.beginRelease(s, assigned[id], leaveReleaseTimeout)
		}
	}
	if shardsRemain || l.rowRefresh.inFlight {
		return
	}
	l.deletingOwnRow = true
	op := platformapi.Op{Key: memberKey(l.self()), AnyVersion: true, Delete: true}
	go l.svc.writeMemberRow(l.ctx, op, func(error) event { return ownRowDeleted{} })
}

// ownRowDeleted reports that the attempt to delete this member's row has ended.
type ownRowDeleted struct{}

func (ownRowDeleted) apply(l *loop) {
	l.svc.leftOnce.Do(func() { close(l.svc.left) })
}
