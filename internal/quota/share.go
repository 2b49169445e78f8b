// Package quota divides each team's quota over the shards of the cell.
//
// A team's quota is one number for the cell, and placements are decided by each shard's owner alone. Every shard holds
// a share of the quota, and its owner places within that share only, so the shares' sum bounds what the team holds.
// Shares move by transactions on one table row a team. A share is raised in the table before it is used, and is no
// longer used before it is lowered in the table.
//
// Table rows:
//
//	quota/team/<team>    Row: the share of each shard
//	quota/wants          Wants: which shards lack how much of which team's quota
package quota

import (
	"maps"
	"slices"

	"laburnumpoint/internal/cell"
)

// TeamShares holds the shares of one team's quota.
type TeamShares struct {
	ByShard map[cell.ShardID]cell.Resources `json:"shares"`
}

// Shortfalls says how much each shard lacks of each team's quota.
type Shortfalls map[string]map[cell.ShardID]cell.Resources

// Demand is what one team holds and waits for in one shard.
type Demand struct {
	Team   string
	Used   cell.Resources
	Queued cell.Resources
}

// evenShares spreads quota evenly; what rounding leaves is unallocated.
func evenShares(quota cell.Resources, shards []cell.ShardID) TeamShares {
	n := int64(len(shards))
	each := perDimension(quota, quota, func(q, _ int64) int64 { return q / n })
	t := TeamShares{ByShard: make(map[cell.ShardID]cell.Resources, len(shards))}
	for _, s := range shards {
		t.ByShard[s] = each
	}
	return t
}

func (t TeamShares) allocated() cell.Resources {
	var sum cell.Resources
	for _, s := range t.ByShard {
		sum = sum.Add(s)
	}
	return sum
}

func (t TeamShares) withShare(shard cell.ShardID, share cell.Resources) TeamShares {
	out := TeamShares{ByShard: maps.Clone(t.ByShard)}
	if out.ByShard == nil {
		out.ByShard = make(map[cell.ShardID]cell.Resources)
	}
	out.ByShard[shard] = share
	return out
}

// increased returns the share that shard may take for d: up to what it holds and waits for, out of what is unallocated.
func (t TeamShares) increased(shard cell.ShardID, quota cell.Resources, d Demand) cell.Resources {
	share := t.ByShard[shard]
	missing := nonNegative(d.Used.Add(d.Queued).Sub(share))
	unallocated := nonNegative(quota.Sub(t.allocated()))
	return share.Add(minPerDimension(missing, unallocated))
}

// reduced returns the share that shard keeps so that others get what they want and the quota is not over-allocated.
// It never falls below what is held; for the wants of others it does not fall below what the shard itself waits for.
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

// shortfall returns what shard wants beyond its share. Dimensions that the quota does not bound are zero.
func shortfall(share, quota cell.Resources, d Demand) cell.Resources {
	missing := nonNegative(d.Used.Add(d.Queued).Sub(share))
	return minPerDimension(missing, quota)
}

// ofOthers sums up what the shards but those in own want.
func (s Shortfalls) ofOthers(team string, own []cell.ShardID) cell.Resources {
	var sum cell.Resources
	for shard, lacking := range s[team] {
		if !slices.Contains(own, shard) {
			sum = sum.Add(lacking)
		}
	}
	return sum
}

// withShortfall returns a copy of w in which shard wants exactly lack of team's quota.
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

// schedulerLimit turns a share into the bound that a scheduler takes: zero where the quota bounds nothing, negative where it
// bounds and the share is nothing.
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
