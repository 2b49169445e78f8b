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
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/wire"
)

// networkDelay is the one-way delay between members.
const networkDelay = time.Millisecond

// drainTime is enough for every call in flight to end.
const drainTime = time.Minute

var errSilent = errors.New("no answer")

// sim is a cell of members in one synctest bubble, so that all its times are virtual.
type sim struct {
	t      *testing.T
	table  *standin.Table
	shards []Shard
	mu     sync.Mutex
	nodes  map[string]*node
	starts int
	// calls counts the exchanges between members.
	calls atomic.Int64
	// realConfig gives the members that start a configuration store each.
	realConfig bool
	// hideMembers makes the table list no members.
	hideMembers atomic.Bool
	// owners holds who was told of each epoch of each shard.
	owners map[string]cell.MemberID
}

func newSim(t *testing.T, zones, shardsPerZone int) *sim {
	doc := config.Default()
	doc.Zones = nil
	for z := range zones {
		doc.Zones = append(doc.Zones, zoneName(z))
	}
	doc.ShardsPerZone = shardsPerZone
	return &sim{t: t, table: standin.NewTable(), shards: ShardsOf(doc), nodes: make(map[string]*node), owners: make(map[string]cell.MemberID)}
}

// runSim runs body on a new cell in virtual time and ends every member after it.
func runSim(t *testing.T, zones, shardsPerZone int, body func(t *testing.T, s *sim)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, zones, shardsPerZone)
		body(t, s)
		s.mu.Lock()
		nodes := slices.Collect(maps.Values(s.nodes))
		s.mu.Unlock()
		for _, n := range nodes {
			n.kill()
		}
		time.Sleep(drainTime)
	})
}

func zoneName(n int) string { return string(rune('a' + n)) }

// node is one member: its service, its host and the faults of its process and network.
type node struct {
	sim  *sim
	id   cell.MemberID
	addr string
	svc  *Service
	// store is nil if the test plays the configuration itself.
	store *config.Store
	stop  context.CancelFunc

	tableCut atomic.Bool
	peersCut atomic.Bool

	mu     sync.Mutex
	frozen chan struct{} // closed when the process resumes; nil while it runs
	// held is what the host was told to own; log is what it was told, in order.
	held     map[cell.ShardID]cell.Epoch
	log      []string
	released []time.Time
	leaving  []cell.WorkerID
	noted    []cell.WorkerID
	version  uint64
	heard    map[cell.MemberID]uint64
	members  []cell.MemberID
}

// start adds a member in the zone and runs it.
func (s *sim) start(zone int) *node {
	return s.startAt(zone, "")
}

// startAt is start at an address, or at a new one if that is empty.
func (s *sim) startAt(zone int, addr string) *node {
	s.mu.Lock()
	s.starts++
	if addr == "" {
		addr = fmt.Sprintf("10.0.0.%d:1", s.starts)
	}
	n := &node{
		sim:   s,
		id:    cell.MemberID(fmt.Sprintf("m%d", s.starts)),
		addr:  addr,
		held:  make(map[cell.ShardID]cell.Epoch),
		heard: make(map[cell.MemberID]uint64),
	}
	s.nodes[n.addr] = n
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.t.Context())
	n.stop = cancel
	if s.realConfig {
		n.startStore(ctx)
	}
	n.svc = New(Options{
		ID:          n.id,
		Addr:        n.addr,
		Zone:        zoneName(zone),
		Table:       nodeTable{n},
		PeerClient:  n,
		Clock:       n,
		ShardHost:   n,
		ConfigStore: n.configOf(),
		Shards:      n.shardList,
	})
	go n.svc.Run(ctx)
	return n
}

// kill ends the process; its host then refuses connections.
func (n *node) kill() {
	n.stop()
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	delete(n.sim.nodes, n.addr)
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = make(chan struct{})
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.frozen)
	n.frozen = nil
}

// waitRunning blocks while the process is frozen.
func (n *node) waitRunning() {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (n *node) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen != nil
}

// Now implements monotime.Clock. A frozen process stops at its next look at the clock.
func (n *node) Now() monotime.Instant {
	n.waitRunning()
	return monotime.Instant(time.Now().UnixNano())
}

// Call implements Caller.
func (n *node) Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error) {
	n.waitRunning()
	n.sim.calls.Add(1)
	time.Sleep(networkDelay)
	n.sim.mu.Lock()
	to, ok := n.sim.nodes[addr]
	n.sim.mu.Unlock()
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	if n.peersCut.Load() || to.peersCut.Load() || to.isFrozen() {
		<-ctx.Done()
		return nil, errSilent
	}
	reply := to.handle(req)
	time.Sleep(networkDelay)
	n.waitRunning()
	return reply, nil
}

func (n *node) handle(req *wire.Request) *wire.Reply {
	if req.GetConfig() != nil {
		return n.store.Answer(req.GetConfig())
	}
	return n.svc.HandleHeartbeat(req.GetHeartbeat())
}

// nodeTable is the table as one process reaches it.
type nodeTable struct{ n *node }

func (t nodeTable) reach(ctx context.Context) error {
	t.n.waitRunning()
	if t.n.tableCut.Load() {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	return nil
}

func (t nodeTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.reach(ctx); err != nil {
		return platform.Row{}, err
	}
	return t.n.sim.table.Get(ctx, key)
}

func (t nodeTable) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	if err := t.reach(ctx); err != nil {
		return nil, err
	}
	if t.n.sim.hideMembers.Load() && prefix == memberPrefix {
		return nil, nil
	}
	return t.n.sim.table.List(ctx, prefix)
}

func (t nodeTable) Apply(ctx context.Context, ops []platform.Op) ([]uint64, error) {
	if err := t.reach(ctx); err != nil {
		return nil, err
	}
	return t.n.sim.table.Apply(ctx, ops)
}

// OnShardAcquired implements Host.
func (n *node) OnShardAcquired(shard cell.ShardID, epoch cell.Epoch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held[shard] >= epoch {
		n.sim.t.Errorf("%s: told of epoch %d of %s after %d", n.id, epoch, shard, n.held[shard])
	}
	n.held[shard] = epoch
	n.sim.noteOwner(n.id, shard, epoch)
	n.log = append(n.log, fmt.Sprintf("acquired %s %d", shard, epoch))
}

// noteOwner fails the test if two members were told of one epoch.
func (s *sim) noteOwner(id cell.MemberID, shard cell.ShardID, epoch cell.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fmt.Sprintf("%s epoch %d", shard, epoch)
	if other, taken := s.owners[key]; taken {
		s.t.Errorf("%s was given to %s and to %s", key, other, id)
	}
	s.owners[key] = id
}

// OnShardLost implements Host.
func (n *node) OnShardLost(shard cell.ShardID, epoch cell.Epoch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held[shard] != epoch {
		n.sim.t.Errorf("%s: lost epoch %d of %s, held %d", n.id, epoch, shard, n.held[shard])
	}
	delete(n.held, shard)
	n.log = append(n.log, fmt.Sprintf("lost %s %d", shard, epoch))
}

// ReleaseShard implements Host.
func (n *node) ReleaseShard(_ context.Context, shard cell.ShardID, epoch cell.Epoch) {
	time.Sleep(10 * networkDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.held, shard)
	n.released = append(n.released, time.Now())
	n.log = append(n.log, fmt.Sprintf("released %s %d", shard, epoch))
}

// ShardDigests implements Host.
func (n *node) ShardDigests() []*wire.ShardDigest {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*wire.ShardDigest
	for shard, epoch := range n.held {
		out = append(out, &wire.ShardDigest{Shard: string(shard), Epoch: uint64(epoch), Queued: 5})
	}
	return out
}

// LeavingWorkers implements Host.
func (n *node) LeavingWorkers() []cell.WorkerID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.leaving)
}

// MarkWorkersLeaving implements Host.
func (n *node) MarkWorkersLeaving(workers []cell.WorkerID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noted = workers
}

// AnnouncedVersion implements Config.
func (n *node) AnnouncedVersion() (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version, false
}

// RecordPeerVersion implements Config.
func (n *node) RecordPeerVersion(h config.Heard) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[h.Member] = h.Version
}

// LearnVersion implements Config.
func (n *node) LearnVersion(string, uint64) {}

// SetMembers implements Config.
func (n *node) SetMembers(ids []cell.MemberID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = slices.Sorted(slices.Values(ids))
}

func (n *node) holds() map[cell.ShardID]cell.Epoch {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[cell.ShardID]cell.Epoch, len(n.held))
	for shard, epoch := range n.held {
		out[shard] = epoch
	}
	return out
}

func (n *node) releaseCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.released)
}

// held sums up which of the nodes hold each shard.
func held(nodes ...*node) map[cell.ShardID][]cell.MemberID {
	out := make(map[cell.ShardID][]cell.MemberID)
	for _, n := range nodes {
		for shard := range n.holds() {
			out[shard] = append(out[shard], n.id)
		}
	}
	return out
}

// wantSpread fails unless every shard is held by exactly one of the nodes, with loads that differ by at most one.
func (s *sim) wantSpread(nodes ...*node) {
	s.t.Helper()
	holders := held(nodes...)
	for _, shard := range s.shards {
		if len(holders[shard.ID]) != 1 {
			s.t.Errorf("shard %s is held by %v, want one member", shard.ID, holders[shard.ID])
		}
	}
	least, most := len(s.shards), 0
	for _, n := range nodes {
		least = min(least, len(n.holds()))
		most = max(most, len(n.holds()))
	}
	if most-least > 1 {
		s.t.Errorf("loads are from %d to %d shards", least, most)
	}
}

// wantHeldBy fails unless the nodes together hold every shard exactly once.
func (s *sim) wantHeldBy(nodes ...*node) {
	s.t.Helper()
	holders := held(nodes...)
	for _, shard := range s.shards {
		if len(holders[shard.ID]) != 1 {
			s.t.Errorf("shard %s is held by %v, want one member", shard.ID, holders[shard.ID])
		}
	}
}

func (s *sim) startMany(zones ...int) []*node {
	var out []*node
	for _, zone := range zones {
		out = append(out, s.start(zone))
	}
	return out
}
