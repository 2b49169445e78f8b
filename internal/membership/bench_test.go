package membership

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/wire"
)

// The size to design for: 17 availability zones with two entry VMs and four shards each.
const (
	designZones         = 17
	designMembers       = 34
	designShardsPerZone = 4
	// controlBytesPerSecond is the stated bound for a node.
	controlBytesPerSecond = 26_000
	// framingBytes is the yamux framing of one exchange: seven frames of 12 bytes.
	framingBytes = 84
	// headerBytes is the TCP/IP headers of one exchange: eight segments, acknowledgements included, of 52 bytes each.
	headerBytes = 416
)

func designLoop(b testing.TB) *loop {
	s := newSim(&testing.T{}, designZones, designShardsPerZone)
	n := &node{sim: s, id: "member-0123456789abcdef-00", held: make(map[cell.ShardID]cell.Epoch)}
	l := newLoop(context.Background(), New(Options{
		ID: n.id, Addr: "10.100.100.100:7000", Zone: zoneName(0), Clock: n, ShardHost: n, ConfigStore: n, Shards: n.shardList,
	}))
	l.svc.takes.Store(true)
	for m := 1; m < designMembers; m++ {
		id := cell.MemberID(fmt.Sprintf("member-0123456789abcdef-%02d", m))
		l.members[id] = &observed{id: id, zone: zoneName(m % designZones), alive: l.present, takes: true, inFlight: true}
	}
	for shard, owner := range l.assign() {
		l.observeShard(shard, 1, shardRow{Owner: owner, Epoch: 1000})
	}
	return l
}

// TestControlTrafficAtDesignSize bounds what heartbeats cost a node: with every other member it has one exchange each
// second, begun by either, and at most one more each ownExchangeInterval.
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
	if perSecond > controlBytesPerSecond {
		t.Errorf("heartbeats cost %d bytes/s, want at most %d", perSecond, controlBytesPerSecond)
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

// BenchmarkHeartbeatReceivedAtDesignSize is what one received heartbeat costs the event loop.
func BenchmarkHeartbeatReceivedAtDesignSize(b *testing.B) {
	l := designLoop(b)
	hb := &wire.Heartbeat{Member: "member-0123456789abcdef-01", TakesShards: true}
	for id, s := range l.shards {
		if s.row.Owner == "member-0123456789abcdef-01" {
			hb.Shards = append(hb.Shards, &wire.ShardDigest{Shard: string(id), Epoch: 1000})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		l.step(heartbeatReceived{hb: hb})
	}
}

// BenchmarkTickAtDesignSize is what the passing of time costs the event loop.
func BenchmarkTickAtDesignSize(b *testing.B) {
	l := designLoop(b)
	l.refresh.inFlight = true
	l.rows.inFlight = true
	b.ReportAllocs()
	for b.Loop() {
		l.step(tick{})
	}
}
