package membership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/wire"
)

// networkDelay is the one-way delay between members.
const networkDelay = time.Millisecond

// drainTime is long enough for every call in flight to end.
const drainTime = time.Minute

var errNoAnswer = errors.New("no answer")

// sim is a simulated cell. It runs in one synctest bubble, so that all times are virtual.
type sim struct {
	t       *testing.T
	table   *standin.Table
	shards  []Shard
	mu      sync.Mutex
	members map[string]*simMember
	starts  int
	// exchanges counts the calls between members.
	exchanges atomic.Int64
	// realConfig gives each member that starts a real configuration store.
	realConfig bool
	// hideMembers makes lists of member rows empty.
	hideMembers atomic.Bool
	// ownerByEpoch records which member became the owner under each epoch of each shard.
	ownerByEpoch map[string]cell.MemberID
}

func newSim(t *testing.T, zones, shardsPerZone int) *sim {
	doc := config.Default()
	doc.Zones = nil
	for z := range zones {
		doc.Zones = append(doc.Zones, zoneName(z))
	}
	doc.ShardsPerZone = shardsPerZone
	return &sim{
		t:            t,
		table:        standin.NewTable(),
		shards:       ShardsOf(doc),
		members:      make(map[string]*simMember),
		ownerByEpoch: make(map[string]cell.MemberID),
	}
}

// runSim runs body on a new cell in virtual time and then stops every member.
func runSim(t *testing.T, zones, shardsPerZone int, body func(t *testing.T, s *sim)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, zones, shardsPerZone)
		body(t, s)
		s.mu.Lock()
		members := slices.Collect(maps.Values(s.members))
		s.mu.Unlock()
		for _, m := range members {
			m.kill()
		}
		time.Sleep(drainTime)
	})
}

func zoneName(index int) string { return string(rune('a' + index)) }

// simMember is one simulated member: its service, its host and the faults of its process and network.
type simMember struct {
	sim  *sim
	id   cell.MemberID
	addr string
	svc  *Service
	// store is nil if the member itself serves as its ConfigStore.
	store *config.Store
	stop  context.CancelFunc

	tableUnreachable atomic.Bool
	peersUnreachable atomic.Bool

	mu     sync.Mutex
	frozen chan struct{} // closed when the process resumes; nil while it runs
	// owned holds the shards that the host has to run; hostCalls lists the calls to the host in order.
	owned          map[cell.ShardID]cell.Epoch
	hostCalls      []string
	released       []time.Time
	leavingWorkers []cell.WorkerID
	markedLeaving  []cell.WorkerID
	configVersion  uint64
	peerVersions   map[cell.MemberID]uint64
	configMembers  []cell.MemberID
}

// start adds a member in the zone and runs its service.
func (s *sim) start(zone int) *simMember {
	return s.startAt(zone, "")
}

// startAt is like start, at the given address, or at a new one if addr is empty.
func (s *sim) startAt(zone int, addr string) *simMember {
	s.mu.Lock()
	s.starts++
	if addr == "" {
		addr = fmt.Sprintf("10.0.0.%d:1", s.starts)
	}
	m := &simMember{
		sim:          s,
		id:           cell.MemberID(fmt.Sprintf("m%d", s.starts)),
		addr:         addr,
		owned:        make(map[cell.ShardID]cell.Epoch),
		peerVersions: make(map[cell.MemberID]uint64),
	}
	s.members[m.addr] = m
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.t.Context())
	m.stop = cancel
	if s.realConfig {
		m.startStore(ctx)
	}
	m.svc = New(Options{
		ID:          m.id,
		Addr:        m.addr,
		Zone:        zoneName(zone),
		Table:       memberTable{m},
		Peers:       m,
		Clock:       m,
		ShardHost:   m,
		ConfigStore: m.configStore(),
		Shards:      m.shardList,
	})
	go m.svc.Run(ctx)
	return m
}

// kill ends the process. Connections to its address are then refused.
func (m *simMember) kill() {
	m.stop()
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	delete(m.sim.members, m.addr)
}

func (m *simMember) freeze() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozen = make(chan struct{})
}

func (m *simMember) thaw() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.frozen)
	m.frozen = nil
}

// waitWhileFrozen blocks while the process is frozen.
func (m *simMember) waitWhileFrozen() {
	m.mu.Lock()
	frozen := m.frozen
	m.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (m *simMember) isFrozen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.frozen != nil
}

// Now implements monotime.Clock. A frozen process blocks when it next reads the clock.
func (m *simMember) Now() monotime.Instant {
	m.waitWhileFrozen()
	return monotime.Instant(time.Now().UnixNano())
}

// Call implements PeerSender.
func (m *simMember) Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error) {
	m.waitWhileFrozen()
	m.sim.exchanges.Add(1)
	time.Sleep(networkDelay)
	m.sim.mu.Lock()
	to, ok := m.sim.members[addr]
	m.sim.mu.Unlock()
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	if m.peersUnreachable.Load() || to.peersUnreachable.Load() || to.isFrozen() {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	reply := to.handle(req)
	time.Sleep(networkDelay)
	m.waitWhileFrozen()
	return reply, nil
}

func (m *simMember) handle(req *wire.Request) *wire.Reply {
	if req.GetConfig() != nil {
		return m.store.HandleConfigRequest(req.GetConfig())
	}
	return m.svc.HandleHeartbeat(req.GetHeartbeat())
}

// memberTable is the table as one member's process reaches it.
type memberTable struct{ m *simMember }

func (t memberTable) reach(ctx context.Context) error {
	t.m.waitWhileFrozen()
	if t.m.tableUnreachable.Load() {
		<-ctx.Done()
		return platformapi.ErrUnavailable
	}
	return nil
}

func (t memberTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	if err := t.reach(ctx); err != nil {
		return platformapi.Row{}, err
	}
	return t.m.sim.table.Get(ctx, key)
}

func (t memberTable) List(ctx context.Context, prefix string) ([]platformapi.Row, error) {
	if err := t.reach(ctx); err != nil {
		return nil, err
	}
	if t.m.sim.hideMembers.Load() && prefix == memberPrefix {
		return nil, nil
	}
	return t.m.sim.table.List(ctx, prefix)
}

func (t memberTable) Apply(ctx context.Context, ops []platformapi.Op) ([]uint64, error) {
	if err := t.reach(ctx); err != nil {
		return nil, err
	}
	return t.m.sim.table.Apply(ctx, ops)
}

// OnShardAcquired implements ShardHost.
func (m *simMember) OnShardAcquired(shard cell.ShardID, epoch cell.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[shard] >= epoch {
		m.sim.t.Errorf("%s: acquired epoch %d of %s after epoch %d", m.id, epoch, shard, m.owned[shard])
	}
	m.owned[shard] = epoch
	m.sim.recordOwner(m.id, shard, epoch)
	m.hostCalls = append(m.hostCalls, fmt.Sprintf("acquired %s %d", shard, epoch))
}

// recordOwner fails the test if two members became owners under one epoch.
func (s *sim) recordOwner(id cell.MemberID, shard cell.ShardID, epoch cell.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fmt.Sprintf("%s epoch %d", shard, epoch)
	if other, taken := s.ownerByEpoch[key]; taken {
		s.t.Errorf("%s was acquired by %s and by %s", key, other, id)
	}
	s.ownerByEpoch[key] = id
}

// OnShardLost implements ShardHost.
func (m *simMember) OnShardLost(shard cell.ShardID, epoch cell.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owned[shard] != epoch {
		m.sim.t.Errorf("%s: lost epoch %d of %s, but owned it under epoch %d", m.id, epoch, shard, m.owned[shard])
	}
	delete(m.owned, shard)
	m.hostCalls = append(m.hostCalls, fmt.Sprintf("lost %s %d", shard, epoch))
}

// ReleaseShard implements ShardHost.
func (m *simMember) ReleaseShard(_ context.Context, shard cell.ShardID, epoch cell.Epoch) {
	time.Sleep(10 * networkDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.owned, shard)
	m.released = append(m.released, time.Now())
	m.hostCalls = append(m.hostCalls, fmt.Sprintf("released %s %d", shard, epoch))
}

// ShardDigests implements ShardHost.
func (m *simMember) ShardDigests() []*wire.ShardDigest {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.ShardDigest
	for shard, epoch := range m.owned {
		out = append(out, &wire.ShardDigest{Shard: string(shard), Epoch: uint64(epoch), Queued: 5})
	}
	return out
}

// LeavingWorkers implements ShardHost.
func (m *simMember) LeavingWorkers() []cell.WorkerID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.leavingWorkers)
}

// MarkWorkersLeaving implements ShardHost.
func (m *simMember) MarkWorkersLeaving(workers []cell.WorkerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markedLeaving = workers
}

// AnnouncedVersion implements ConfigStore.
func (m *simMember) AnnouncedVersion() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configVersion, false
}

// RecordPeerVersion implements ConfigStore.
func (m *simMember) RecordPeerVersion(h config.PeerVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerVersions[h.Member] = h.Version
}

// LearnVersion implements ConfigStore.
func (m *simMember) LearnVersion(string, uint64) {}

// SetMembers implements ConfigStore.
func (m *simMember) SetMembers(ids []cell.MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configMembers = slices.Sorted(slices.Values(ids))
}

func (m *simMember) ownedShards() map[cell.ShardID]cell.Epoch {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[cell.ShardID]cell.Epoch, len(m.owned))
	for shard, epoch := range m.owned {
		out[shard] = epoch
	}
	return out
}

func (m *simMember) releaseCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.released)
}

// ownersByShard returns which of the members own each shard.
func ownersByShard(members ...*simMember) map[cell.ShardID][]cell.MemberID {
	out := make(map[cell.ShardID][]cell.MemberID)
	for _, m := range members {
		for shard := range m.ownedShards() {
			out[shard] = append(out[shard], m.id)
		}
	}
	return out
}

// wantBalanced fails unless every shard is owned by exactly one of the members and their loads differ by at most one.
func (s *sim) wantBalanced(members ...*simMember) {
	s.t.Helper()
	owners := ownersByShard(members...)
	for _, shard := range s.shards {
		if len(owners[shard.ID]) != 1 {
			s.t.Errorf("shard %s is owned by %v, want one member", shard.ID, owners[shard.ID])
		}
	}
	least, most := len(s.shards), 0
	for _, m := range members {
		least = min(least, len(m.ownedShards()))
		most = max(most, len(m.ownedShards()))
	}
	if most-least > 1 {
		s.t.Errorf("loads range from %d to %d shards, want a difference of at most one", least, most)
	}
}

// wantEachOwnedOnce fails unless every shard is owned by exactly one of the members.
func (s *sim) wantEachOwnedOnce(members ...*simMember) {
	s.t.Helper()
	owners := ownersByShard(members...)
	for _, shard := range s.shards {
		if len(owners[shard.ID]) != 1 {
			s.t.Errorf("shard %s is owned by %v, want one member", shard.ID, owners[shard.ID])
		}
	}
}

func (s *sim) startAll(zones ...int) []*simMember {
	var out []*simMember
	for _, zone := range zones {
		out = append(out, s.start(zone))
	}
	return out
}
