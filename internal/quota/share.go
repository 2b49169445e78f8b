// Package quota divides each team's quota over the shards of the cell.
//
// A team's quota applies to the whole cell, but each shard's owner decides its placements alone. So every shard has a
// share of the quota, and its owner places within that share only: the sum of the shares bounds what the team uses.
// Shares change by transactions on one table row per team. A larger share is written to the table before it is used; a
// smaller one takes effect in the shard before it is written to the table.
//
// Table rows:
//
//	quota/team/<team>    TeamShares: the share of each shard
//	quota/wants          Shortfalls: how much of which team's quota each shard is short of
package quota

import (
	"maps"
	"slices"

	"laburnumpoint/internal/cell"
)

// TeamShares is the table row with each shard's share of one team's quota.
type TeamShares struct {
	ByShard map[cell.ShardID]cell.Resources `json:"shares"`
}

// Shortfalls is, by team and shard, how much a shard's demand exceeds its share of the team's quota.
type Shortfalls map[string]map[cell.ShardID]cell.Resources

// Demand is what one team uses and has queued in one shard.
type Demand struct {
	Team string
	// Used is the sum of the placed tasks' claims, Queued that of the queued tasks' claims.
	Used   cell.Resources
	Queued cell.Resources
}

// evenShares divides quota evenly over shards; the remainder of the division stays unallocated.
func evenShares(quota cell.Resources, shards []cell.ShardID) TeamShares {
	n := int64(len(shards))
	each := perDimension(quota, quota, func(q, _ int64) int64 { return q / n })
	t := TeamShares{ByShard: make(map[cell.ShardID]cell.Resources, len(shards))}
	for _, s := range shards {
		t.ByShard[s] = each
	}
	return t
}

// allocated returns the sum of the shares.
func (t TeamShares) allocated() cell.Resources {
	var sum cell.Resources
	for _, s := range t.ByShard {
		sum = sum.Add(s)
	}
	return sum
}

// withShare returns a copy of t in which shard has the given share.
func (t TeamShares) withShare(shard cell.ShardID, share cell.Resources) TeamShares {
	out := TeamShares{ByShard: maps.Clone(t.ByShard)}
	if out.ByShard == nil {
		out.ByShard = make(map[cell.ShardID]cell.Resources)
	}
	out.ByShard[shard] = share
	return out
}

// increased returns the share that shard may have for demand d: what it has, and of what it is short of as much as is
// unallocated.
func (t TeamShares) increased(shard cell.ShardID, quota cell.Resources, d Demand) cell.Resources {
	share := t.ByShard[shard]
	missing := nonNegative(d.Used.Add(d.Queued).Sub(share))
	unallocated := nonNegative(quota.Sub(t.allocated()))
	return share.Add(minPerDimension(missing, unallocated))
}

// reduced returns the share that remains for shard after it gives up its part of an over-allocation and what other shards
// are short of. It is never less than what the shard uses; for other shards it gives up nothing that its own queued tasks
// need.
func (t TeamShares) reduced(shard cell.ShardID, quota cell.Resources, d Demand, wantedByOthers cell.Resources) cell.Resources {
	share := t.ByShard[shard]
	excess := nonNegative(t.allocated().Sub(quota))
	forced := minPerDimension(excess, nonNegative(share.Sub(d.Used)))
	share = share.Sub(forced)
	spare := nonNegative(share.Sub(d.Used).Sub(d.Queued))
	unallocated := nonNegative(quota.Sub(t.allocated()))
	missing := nonNegative(wantedByOthers.Sub(unallocated))
	return share.Sub(minPerDimension(spare, missing))
}

// shortfall returns by how much the demand d exceeds share, at most quota. Dimensions that the quota does not bound are
// zero.
func shortfall(share, quota cell.Resources, d Demand) cell.Resources {
	missing := nonNegative(d.Used.Add(d.Queued).Sub(share))
	return minPerDimension(missing, quota)
}

// ofOthers returns the sum of the team's shortfalls in all shards but own.
func (s Shortfalls) ofOthers(team string, own []cell.ShardID) cell.Resources {
	var sum cell.Resources
	for shard, lacking := range s[team] {
		if !slices.Contains(own, shard) {
			sum = sum.Add(lacking)
		}
	}
	return sum
}

// withShortfall returns a copy of s in which the team's shortfall in shard is lacking.
func (s Shortfalls) withShortfall(team string, shard cell.ShardID, lacking cell.Resources) Shortfalls {
	out := make(Shortfalls, len(s)+1)
	for t, shards := range s {
		out[t] = maps.Clone(shards)
	}
	if lacking.IsZero() {
		delete(out[team], shard)
		if len(out[team]) == 0 {
			delete(out, team)
		}
		return out
	}
	if out[team] == nil {
		out[team] = make(map[cell.ShardID]cell.Resources)
	}
	out[team][shard] = lacking
	return out
}

// schedulerLimit converts a share to the form of scheduler.TeamPolicy.Quota: zero in the dimensions that the quota does
// not bound, negative in the bounded dimensions of which the share is zero.
func schedulerLimit(quota, share cell.Resources) cell.Resources {
	return perDimension(quota, share, func(q, s int64) int64 {
		switch {
		case q == 0:
			return 0
		case s <= 0:
			return -1
		default:
			return s
		}
	})
}

// nonNegative returns r with its negative dimensions set to zero.
func nonNegative(r cell.Resources) cell.Resources {
	return perDimension(r, r, func(v, _ int64) int64 { return max(v, 0) })
}

func minPerDimension(a, b cell.Resources) cell.Resources {
	return perDimension(a, b, func(x, y int64) int64 { return min(x, y) })
}

func perDimension(a, b cell.Resources, f func(a, b int64) int64) cell.Resources {
	return cell.Resources{
		MilliCPU:     f(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    f(a.MemoryMiB, b.MemoryMiB),
		Accelerators: f(a.Accelerators, b.Accelerators),
		Slots:        f(a.Slots, b.Slots),
	}
}
