package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// countingRelay passes connections on and counts the bytes of both directions, without TCP's own headers.
func countingRelay(b *testing.B, target string, bytes *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				return
			}
			go countedCopy(out, in, bytes)
			go countedCopy(in, out, bytes)
		}
	}()
	return listener.Addr().String()
}

func countedCopy(dst, src net.Conn, bytes *atomic.Int64) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		bytes.Add(int64(n))
		if err != nil {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
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

// BenchmarkHeartbeat exchanges a heartbeat that carries two shards, in sequence, over loopback.
func BenchmarkHeartbeat(b *testing.B) {
	answer := &wire.Reply{Body: &wire.Reply_Heartbeat{Heartbeat: &wire.Heartbeat{
		Member: "member-0123456789abcdef", ConfigVersion: 13_000, RowChanges: 100, TakesShards: true,
	}}}
	s, err := Listen("127.0.0.1:0", handlerFunc(func(context.Context, *wire.Request) *wire.Reply { return answer }), metrics.NewSet())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	var bytes atomic.Int64
	addr := countingRelay(b, s.Addr(), &bytes)
	c := NewClient(monotime.Boot{}, metrics.NewSet())
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
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-bytes/op")
}

// BenchmarkConcurrentCalls has many callers share one session.
func BenchmarkConcurrentCalls(b *testing.B) {
	s, err := Listen("127.0.0.1:0", handlerFunc(echo), metrics.NewSet())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	c := NewClient(monotime.Boot{}, metrics.NewSet())
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
