package membership

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/wire"
)

// The design size: 17 availability zones with two entry VMs and four shards each.
const (
	designZones         = 17
	designMembers       = 34
	designShardsPerZone = 4
	// maxControlBytesPerSecond is the stated bound on the control traffic of one node.
	maxControlBytesPerSecond = 26_000
	// framingBytes is the size of the yamux frame headers of one exchange: seven frames of 12 bytes.
	framingBytes = 84
	// headerBytes is the size of the TCP/IP headers of one exchange: eight segments, including acknowledgements, of 52
	// bytes each.
	headerBytes = 416
)

// designLoop returns the loop of one member at the design size, to which every shard has an owner.
func designLoop(b testing.TB) *loop {
	s := newSim(&testing.T{}, designZones, designShardsPerZone)
	self := &simMember{sim: s, id: "member-0123456789abcdef-00", owned: make(map[cell.ShardID]cell.Epoch)}
	l := newLoop(context.Background(), New(Options{
		ID:          self.id,
		Addr:        "10.100.100.100:7000",
		Zone:        zoneName(0),
		Clock:       self,
		ShardHost:   self,
		ConfigStore: self,
		Shards:      self.shardList,
	}))
	l.svc.canAcquire.Store(true)
	for i := 1; i < designMembers; i++ {
		id := cell.MemberID(fmt.Sprintf("member-0123456789abcdef-%02d", i))
		l.members[id] = &memberState{
			id:               id,
			zone:             zoneName(i % designZones),
			lastAlive:        l.now,
			canAcquire:       true,
			exchangeInFlight: true,
		}
	}
	for shard, owner := range l.assign() {
		l.applyShardRow(shard, 1, shardRow{Owner: owner, Epoch: 1000})
	}
	return l
}

// TestControlTrafficAtDesignSize bounds a node's heartbeat traffic. With every other member, a node has one exchange
// per heartbeat interval, begun by either of them, and at most one more per ownExchangeInterval.
func TestControlTrafficAtDesignSize(t *testing.T) {
	l := designLoop(t)
	beat := &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: l.svc.heartbeat()}}
	for _, d := range beat.GetHeartbeat().GetShards() {
		capacity := &wire.Resources{MilliCpu: 2_816_000, MemoryMib: 5_767_168, Accelerators: 64, Slots: 352}
		d.Free, d.Capacity, d.LargestFree = capacity, capacity, capacity
		d.Workers, d.WorkersClaimed, d.Queued, d.Running = 44, 44, 20_000, 300
	}
	exchange := 2*proto.Size(beat) + framingBytes + headerBytes
	rate := 1/l.heartbeatInterval().Seconds() + 1/ownExchangeInterval.Seconds()
	perSecond := int(float64(exchange*(designMembers-1)) * rate)
	t.Logf("heartbeat with %d shards %d bytes, exchange %d bytes; %d bytes/s for a node among %d",
		len(beat.GetHeartbeat().GetShards()), proto.Size(beat), exchange, perSecond, designMembers)
	if perSecond > maxControlBytesPerSecond {
		t.Errorf("heartbeat traffic is %d bytes/s, want at most %d", perSecond, maxControlBytesPerSecond)
	}
}

func BenchmarkAssignUnchangedAtDesignSize(b *testing.B) {
	l := designLoop(b)
	b.ReportAllocs()
	for b.Loop() {
		l.assign()
	}
}

func BenchmarkAssignAfterDeathAtDesignSize(b *testing.B) {
	l := designLoop(b)
	for id := range l.members {
		l.members[id].replaced = true
		break
	}
	b.ReportAllocs()
	for b.Loop() {
		l.assign()
	}
}

// BenchmarkHeartbeatReceivedAtDesignSize measures the event loop's handling of one received heartbeat.
func BenchmarkHeartbeatReceivedAtDesignSize(b *testing.B) {
	l := designLoop(b)
	heartbeat := &wire.Heartbeat{Member: "member-0123456789abcdef-01", TakesShards: true}
	for id, s := range l.shards {
		if s.row.Owner == "member-0123456789abcdef-01" {
			heartbeat.Shards = append(heartbeat.Shards, &wire.ShardDigest{Shard: string(id), Epoch: 1000})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		l.step(heartbeatReceived{heartbeat: heartbeat})
	}
}

// BenchmarkTickAtDesignSize measures the event loop's handling of one tick.
func BenchmarkTickAtDesignSize(b *testing.B) {
	l := designLoop(b)
	l.rowRefresh.inFlight = true
	l.rowRead.inFlight = true
	b.ReportAllocs()
	for b.Loop() {
		l.step(tick{})
	}
}
