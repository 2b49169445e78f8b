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

// loop is the state that the event loop owns.
type loop struct {
	svc *Service
	ctx context.Context

	lastTick monotime.Instant
	// present caches the instant of the event being handled.
	present monotime.Instant

	members  map[cell.MemberID]*observed
	shards   map[cell.ShardID]*shard
	rows     rowReader
	refresh  rowRefresher
	beatAt   monotime.Instant
	liveIDs  []cell.MemberID
	liveFrom monotime.Instant
	movedAt  monotime.Instant
	// takesFrom is since when this member can acquire shards.
	takesFrom monotime.Instant
	// leaveCtx is set once a graceful leave has begun.
	leaveCtx context.Context
	removing map[cell.MemberID]bool
	deleting bool
}

// rowReader is the state of reading the rows.
type rowReader struct {
	inFlight bool
	wanted   bool
	startAt  monotime.Instant
	// done means that the rows were read at least once; readAt is when the latest successful reading ended.
	done   bool
	readAt monotime.Instant
}

// rowRefresher is the state of writing this member's own row.
type rowRefresher struct {
	inFlight bool
	// written means that the row was written at least once.
	written bool
	startAt monotime.Instant
}

func newLoop(ctx context.Context, svc *Service) *loop {
	now := svc.opts.Clock.Now()
	return &loop{
		svc:      svc,
		ctx:      ctx,
		lastTick: now,
		present:  now,
		liveFrom: now,
		movedAt:  now,
		beatAt:   now,
		members:  make(map[cell.MemberID]*observed),
		shards:   make(map[cell.ShardID]*shard),
		removing: make(map[cell.MemberID]bool),
	}
}

// step handles one event and publishes the state after it.
func (l *loop) step(e event) {
	l.present = l.svc.opts.Clock.Now()
	l.noticePause()
	e.apply(l)
	l.publish()
}

// noticePause gives every member the benefit of the doubt after this process was paused.
func (l *loop) noticePause() {
	if l.present.Sub(l.lastTick) <= pauseLimit {
		return
	}
	l.lastTick = l.present
	l.liveFrom = l.present
	for _, o := range l.members {
		o.restart(l.present)
	}
	l.svc.opts.Log.Warn().Msg("resumed after a pause; judgements of members start anew")
}

// tick is the passing of time.
type tick struct{}

func (tick) apply(l *loop) {
	l.lastTick = l.present
	l.noteTakes()
	l.refreshRow()
	l.readRows()
	if l.present >= l.beatAt {
		l.sendDueHeartbeats()
	}
	l.noteLive()
	l.takeShards()
	l.retryReleases()
	l.moveForBalance()
	l.removeDead()
	l.continueLeave()
}

func (l *loop) self() cell.MemberID {
	return l.svc.opts.ID
}

// memberLive reports whether the member, which may be this one, is taken as running.
func (l *loop) memberLive(id cell.MemberID) bool {
	if id == l.self() {
		return true
	}
	o, ok := l.members[id]
	return ok && l.live(o)
}

// noteTakes keeps whether this member can acquire shards, and tells the others at once of a change.
func (l *loop) noteTakes() {
	takes := l.leaveCtx == nil && l.refresh.written && l.tableAnswers()
	if l.svc.takes.Swap(takes) != takes {
		l.takesFrom = l.present
		l.spreadNow()
	}
}

// candidates lists the members that can be given shards: live, not leaving, and in reach of the table.
func (l *loop) candidates() []Candidate {
	var out []Candidate
	if l.svc.takes.Load() {
		out = append(out, Candidate{ID: l.self(), Zone: l.svc.opts.Zone})
	}
	for _, o := range l.members {
		if l.live(o) && !o.leaving && o.takes {
			out = append(out, Candidate{ID: o.id, Zone: o.zone})
		}
	}
	slices.SortFunc(out, func(x, y Candidate) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// noteLive keeps since when the set of candidates has been the same.
func (l *loop) noteLive() {
	var ids []cell.MemberID
	for _, c := range l.candidates() {
		ids = append(ids, c.ID)
	}
	if slices.Equal(ids, l.liveIDs) {
		return
	}
	l.liveIDs = ids
	l.liveFrom = l.present
}

// publish makes the state visible to readers.
func (l *loop) publish() {
	v := &view{
		owners:  make(map[cell.ShardID]Ownership, len(l.shards)),
		digests: make(map[cell.ShardID]*wire.ShardDigest),
	}
	v.members = l.describeMembers()
	for _, o := range l.members {
		for _, d := range o.digests {
			noteDigest(v.digests, d)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.shards)) {
		l.shards[id].describe(l, v)
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
	for _, o := range l.members {
		out = append(out, Member{
			ID:            o.id,
			Addr:          o.addr,
			Zone:          o.zone,
			Live:          l.live(o),
			Leaving:       o.leaving,
			ConfigVersion: o.config,
		})
	}
	slices.SortFunc(out, func(x, y Member) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// noteDigest keeps the digest of the highest epoch.
func noteDigest(digests map[cell.ShardID]*wire.ShardDigest, d *wire.ShardDigest) {
	id := cell.ShardID(d.GetShard())
	if last, ok := digests[id]; ok && last.GetEpoch() > d.GetEpoch() {
		return
	}
	digests[id] = d
}
