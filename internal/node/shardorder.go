package node

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/wire"
)

// digestFunc returns the last known digest of a shard, or nil.
type digestFunc func(cell.ShardID) *wire.ShardDigest

// rendezvous orders shards for a key by rendezvous hashing: every entry VM computes the same order, and adding or
// removing a shard moves only that shard's keys.
func rendezvous(key string, shards []cell.ShardID) []cell.ShardID {
	type scored struct {
		shard cell.ShardID
		score uint64
	}
	all := make([]scored, len(shards))
	for i, s := range shards {
		all[i] = scored{shard: s, score: xxhash.Sum64String(string(s) + "\x00" + key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return 0
		}
	})
	out := make([]cell.ShardID, len(all))
	for i, s := range all {
		out[i] = s.shard
	}
	return out
}

// orderByLoad orders shards for a request that any shard may run: first the better of two random shards by their
// digests, then the others in random order. Comparing only two keeps many entry VMs from all choosing the one shard
// that was least loaded at the last heartbeat.
func orderByLoad(r *rand.Rand, claim cell.Resources, shards []cell.ShardID, digest digestFunc) []cell.ShardID {
	out := slices.Clone(shards)
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if len(out) > 1 && isBetter(claim, digest(out[1]), digest(out[0])) {
		out[0], out[1] = out[1], out[0]
	}
	return out
}

// isBetter reports whether a shard with digest a is a better choice for claim than one with digest b.
func isBetter(claim cell.Resources, a, b *wire.ShardDigest) bool {
	if a == nil || b == nil {
		return a != nil
	}
	fitsA := claim.Fits(wire.ToResources(a.GetLargestFree()))
	fitsB := claim.Fits(wire.ToResources(b.GetLargestFree()))
	if fitsA != fitsB {
		return fitsA
	}
	if fitsA {
		return wire.ToResources(a.GetFree()).MilliCPU > wire.ToResources(b.GetFree()).MilliCPU
	}
	return a.GetQueued() < b.GetQueued()
}
