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

// rendezvous orders shards for a key: every entry VM computes the same order, and a shard that is added or removed moves
// only its own keys.
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

// orderByLoad orders shards for a request that any shard may run: the better of two drawn at random first, by their digests,
// then the others in random order. Drawing two keeps many entry VMs from all choosing the one shard that was emptiest a
// heartbeat ago.
func orderByLoad(r *rand.Rand, claim cell.Resources, shards []cell.ShardID, digest digestFunc) []cell.ShardID {
	out := slices.Clone(shards)
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if len(out) > 1 && isBetter(claim, digest(out[1]), digest(out[0])) {
		out[0], out[1] = out[1], out[0]
	}
	return out
}

// isBetter reports whether a shard with digest a is the isBetter choice than one with digest b.
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
