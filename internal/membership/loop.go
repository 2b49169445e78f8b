package membership

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// loop is the state of the event loop. Only the goroutine of Service.Run uses it.
type loop struct {
	svc *Service
	ctx context.Context

	lastTick monotime.Instant
	// now is the time at which the current event's handling began.
	now monotime.Instant

	members         map[cell.MemberID]*memberState
	shards          map[cell.ShardID]*shardState
	rowRead         rowReadState
	rowRefresh      rowRefreshState
	nextHeartbeats  monotime.Instant
	candidateIDs    []cell.MemberID
	candidatesSince monotime.Instant
	lastRebalance   monotime.Instant
	// canAcquireSince is when this member last became able or unable to acquire shards.
	canAcquireSince monotime.Instant
	// leaveCtx is the context of a graceful leave, nil before one begins.
	leaveCtx        context.Context
	removalInFlight map[cell.MemberID]bool
	deletingOwnRow  bool
}

// rowReadState is the state of reading the rows.
type rowReadState struct {
	inFlight  bool
	requested bool
	startedAt monotime.Instant
	// succeeded means that the rows were read at least once; lastSuccess is when the latest successful read ended.
	succeeded   bool
	lastSuccess monotime.Instant
}

// rowRefreshState is the state of writing this member's own row.
type rowRefreshState struct {
	inFlight bool
	// written means that the row was written at least once.
	written   bool
	startedAt monotime.Instant
}

func newLoop(ctx context.Context, svc *Service) *loop {
	now := svc.opts.Clock.Now()
	return &loop{
		svc:             svc,
		ctx:             ctx,
		lastTick:        now,
		now:             now,
		candidatesSince: now,
		lastRebalance:   now,
		nextHeartbeats:  now,
		members:         make(map[cell.MemberID]*memberState),
		shards:          make(map[cell.ShardID]*shardState),
		removalInFlight: make(map[cell.MemberID]bool),
	}
}

// step handles one event and publishes the resulting state.
func (l *loop) step(e event) {
	l.now = l.svc.opts.Clock.Now()
	l.detectPause()
	e.apply(l)
	l.publish()
}

// detectPause restarts every member's failure timeout after this process was paused, so that the pause does not count as
// time without heartbeats.
func (l *loop) detectPause() {
	if l.now.Sub(l.lastTick) <= pauseThreshold {
		return
	}
	l.lastTick = l.now
	l.candidatesSince = l.now
	for _, m := range l.members {
		m.resetLiveness(l.now)
	}
	l.svc.opts.Log.Warn().Msg("this process was paused; the failure timeouts of all members start again")
}

// tick is the event of the periodic timer.
type tick struct{}

func (tick) apply(l *loop) {
	l.lastTick = l.now
	l.updateCanAcquire()
	l.refreshRow()
	l.readRows()
	if l.now >= l.nextHeartbeats {
		l.sendDueHeartbeats()
	}
	l.updateCandidates()
	l.acquireAssigned()
	l.retryReleases()
	l.rebalance()
	l.removeDeadMembers()
	l.continueLeave()
}

func (l *loop) self() cell.MemberID {
	return l.svc.opts.ID
}

// memberLive reports whether a member counts as running. This member always does.
func (l *loop) memberLive(id cell.MemberID) bool {
	if id == l.self() {
		return true
	}
	m, ok := l.members[id]
	return ok && l.isLive(m)
}

// updateCanAcquire updates whether this member can acquire shards and announces a change to the others at once.
func (l *loop) updateCanAcquire() {
	canAcquire := l.leaveCtx == nil && l.rowRefresh.written && l.tableReachable()
	if l.svc.canAcquire.Swap(canAcquire) != canAcquire {
		l.canAcquireSince = l.now
		l.broadcastHeartbeat()
	}
}

// candidates lists the members that can be assigned shards: those that are live, not leaving and able to acquire.
func (l *loop) candidates() []Candidate {
	var out []Candidate
	if l.svc.canAcquire.Load() {
		out = append(out, Candidate{ID: l.self(), Zone: l.svc.opts.Zone})
	}
	for _, m := range l.members {
		if l.isLive(m) && !m.leaving && m.canAcquire {
			out = append(out, Candidate{ID: m.id, Zone: m.zone})
		}
	}
	slices.SortFunc(out, func(x, y Candidate) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// updateCandidates records when the set of candidates last changed.
func (l *loop) updateCandidates() {
	var ids []cell.MemberID
	for _, c := range l.candidates() {
		ids = append(ids, c.ID)
	}
	if slices.Equal(ids, l.candidateIDs) {
		return
	}
	l.candidateIDs = ids
	l.candidatesSince = l.now
}

// publish stores a new view of the state for the service's readers.
func (l *loop) publish() {
	v := &view{
		owners:  make(map[cell.ShardID]Ownership, len(l.shards)),
		digests: make(map[cell.ShardID]*wire.ShardDigest),
	}
	v.members = l.describeMembers()
	for _, m := range l.members {
		for _, d := range m.digests {
			keepNewestDigest(v.digests, d)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.shards)) {
		l.shards[id].addToView(l, v)
	}
	l.svc.view.Store(v)
}

func (l *loop) describeMembers() []Member {
	version, _ := l.svc.opts.ConfigStore.AnnouncedVersion()
	out := []Member{{
		ID:            l.self(),
		Addr:          l.svc.opts.Addr,
		Zone:          l.svc.opts.Zone,
		Live:          true,
		Leaving:       l.leaveCtx != nil,
		ConfigVersion: version,
		Self:          true,
	}}
	for _, m := range l.members {
		out = append(out, Member{
			ID:            m.id,
			Addr:          m.addr,
			Zone:          m.zone,
			Live:          l.isLive(m),
			Leaving:       m.leaving,
			ConfigVersion: m.configVersion,
		})
	}
	slices.SortFunc(out, func(x, y Member) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// keepNewestDigest stores the digest unless one of a higher epoch is there.
func keepNewestDigest(digests map[cell.ShardID]*wire.ShardDigest, d *wire.ShardDigest) {
	id := cell.ShardID(d.GetShard())
	if last, ok := digests[id]; ok && last.GetEpoch() > d.GetEpoch() {
		return
	}
	digests[id] = d
}
