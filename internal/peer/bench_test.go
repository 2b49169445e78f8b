package peer

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// tcpTotals returns the bytes and segments sent and received on the client's connection to addr. Bytes exclude TCP
// headers; segments include bare acknowledgements.
func tcpTotals(b *testing.B, c *Client, addr string) (bytes, segments uint64) {
	b.Helper()
	c.mu.Lock()
	conn := c.peers[addr].current.conn.Conn.(*frameConn).Conn.(*net.TCPConn)
	c.mu.Unlock()
	raw, err := conn.SyscallConn()
	if err != nil {
		b.Fatal(err)
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || infoErr != nil {
		b.Fatal(err, infoErr)
	}
	return info.Bytes_acked + info.Bytes_received, uint64(info.Segs_out) + uint64(info.Segs_in)
}

func designDigest(n int) *wire.ShardDigest {
	capacity := &wire.Resources{MilliCpu: 2_816_000, MemoryMib: 5_767_168, Accelerators: 64, Slots: 352}
	return &wire.ShardDigest{
		Shard:          fmt.Sprintf("aberystwyth-%d", n),
		Epoch:          1000,
		Free:           capacity,
		Capacity:       capacity,
		LargestFree:    &wire.Resources{MilliCpu: 64_000, MemoryMib: 131_072, Accelerators: 8, Slots: 8},
		Queued:         20_000,
		Running:        300,
		Workers:        44,
		WorkersClaimed: 44,
	}
}

// BenchmarkHeartbeat sends heartbeats with two shards each, one after the other, over loopback.
func BenchmarkHeartbeat(b *testing.B) {
	answer := &wire.Reply{Body: &wire.Reply_Heartbeat{Heartbeat: &wire.Heartbeat{
		Member: "member-0123456789abcdef", ConfigVersion: 13_000, RowChanges: 100, TakesShards: true,
	}}}
	s, err := Listen("127.0.0.1:0", handlerFunc(func(context.Context, *wire.Request) *wire.Reply { return answer }), metrics.NewSet())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	addr := s.Addr()
	c := NewClient(monotime.BootClock{}, metrics.NewSet())
	b.Cleanup(c.Close)
	req := &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{
		Member: "member-0123456789abcdef", Addr: "10.100.100.100:7000", Zone: "aberystwyth", ConfigVersion: 13_000,
		Shards: []*wire.ShardDigest{designDigest(0), designDigest(1)}, Sequence: 1_000_000, RowChanges: 100, TakesShards: true,
	}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Call(context.Background(), addr, req); err != nil {
			b.Fatal(err)
		}
	}
	bytes, segments := tcpTotals(b, c, addr)
	b.ReportMetric(float64(bytes)/float64(b.N), "wire-bytes/op")
	b.ReportMetric(float64(segments)/float64(b.N), "segments/op")
}

// BenchmarkConcurrentCalls sends calls from many goroutines over one session.
func BenchmarkConcurrentCalls(b *testing.B) {
	s, err := Listen("127.0.0.1:0", handlerFunc(echo), metrics.NewSet())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	c := NewClient(monotime.BootClock{}, metrics.NewSet())
	b.Cleanup(c.Close)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Call(context.Background(), s.Addr(), explain("t")); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
