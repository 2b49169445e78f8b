package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/wire"
)

func shardIDs(n int) []cell.ShardID {
	out := make([]cell.ShardID, n)
	for i := range out {
		out[i] = cell.ShardID(fmt.Sprintf("z%d-0", i))
	}
	return out
}

func TestRendezvousMovesOnlyKeysOfAddedShard(t *testing.T) {
	before, after := shardIDs(8), shardIDs(9)
	for i := range 1000 {
		key := fmt.Sprint(i)
		was, is := rendezvous(key, before)[0], rendezvous(key, after)[0]
		if is != was && is != after[8] {
			t.Fatalf("key %s moved from %s to %s", key, was, is)
		}
	}
}

func TestRendezvousSpreadsKeys(t *testing.T) {
	count := make(map[cell.ShardID]int)
	for i := range 8000 {
		count[rendezvous(fmt.Sprint(i), shardIDs(8))[0]]++
	}
	for shard, n := range count {
		if n < 500 || n > 2000 {
			t.Errorf("shard %s has %d of 8000 keys, want 500 to 2000", shard, n)
		}
	}
}

func TestOrderByLoadPrefersTheShardWithFreeCapacity(t *testing.T) {
	shards := shardIDs(2)
	free := wire.FromResources(cell.Resources{MilliCPU: 1000, Slots: 1})
	digest := func(s cell.ShardID) *wire.ShardDigest {
		if s == shards[1] {
			return &wire.ShardDigest{Free: free, LargestFree: free, Queued: 5}
		}
		return &wire.ShardDigest{}
	}
	r := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		if got := orderByLoad(r, cell.Resources{MilliCPU: 500, Slots: 1}, shards, digest)[0]; got != shards[1] {
			t.Fatalf("first choice is %s, which has no free capacity", got)
		}
	}
}
