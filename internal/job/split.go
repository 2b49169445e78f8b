package job

import (
	"laburnumpoint/internal/cell"
)

// maxUnsplitTasks is the largest number of tasks of a batch that runs in one shard.
const maxUnsplitTasks = 64

// ShardCapacity is the capacity of a shard for tasks of the job that is being split.
type ShardCapacity struct {
	Shard cell.ShardID
	Zone  string
	// Free is the number of the job's tasks that the shard could start now.
	Free int
	// Total is the number of the job's tasks that would fill the shard's whole capacity.
	Total int
}

// Split divides a job among the shards whose capacity fits at least one of its tasks, or all tasks of a gang. It
// returns nil if there is no such shard. A gang or a batch of at most maxUnsplitTasks runs in one shard. A service is
// spread evenly over availability zones. A larger batch is divided in proportion to each shard's total capacity.
func Split(s Spec, capacities []ShardCapacity) []Part {
	fitting := shardsThatFit(s, capacities)
	if len(fitting) == 0 {
		return nil
	}
	switch {
	case s.Kind == cell.KindGang, s.Kind == cell.KindBatch && s.Count <= maxUnsplitTasks:
		return []Part{{Shard: withMostFree(fitting).Shard, From: 0, To: s.Count}}
	case s.Kind == cell.KindService:
		return partsFromShares(fitting, evenShares(fitting, s.Count))
	default:
		return partsFromShares(fitting, proportionalShares(fitting, s.Count))
	}
}

// shardsThatFit returns the shards whose total capacity fits a task of the job, or a whole gang.
func shardsThatFit(s Spec, capacities []ShardCapacity) []ShardCapacity {
	need := 1
	if s.Kind == cell.KindGang {
		need = s.Count
	}
	var fitting []ShardCapacity
	for _, c := range capacities {
		if c.Total >= need {
			fitting = append(fitting, c)
		}
	}
	return fitting
}

// withMostFree returns the shard with the most free capacity, and among equals the one with the most capacity in all.
func withMostFree(capacities []ShardCapacity) ShardCapacity {
	best := capacities[0]
	for _, c := range capacities[1:] {
		if c.Free > best.Free || c.Free == best.Free && c.Total > best.Total {
			best = c
		}
	}
	return best
}

// evenShares assigns each task to the zone with the fewest tasks, and there to the shard with the fewest.
func evenShares(capacities []ShardCapacity, count int) []int {
	shares := make([]int, len(capacities))
	perZone := make(map[string]int)
	for range count {
		pick := 0
		for i := range capacities {
			if fewerTasks(capacities, shares, perZone, i, pick) {
				pick = i
			}
		}
		shares[pick]++
		perZone[capacities[pick].Zone]++
	}
	return shares
}

// fewerTasks reports whether shard a is to get the next task rather than shard b.
func fewerTasks(capacities []ShardCapacity, shares []int, perZone map[string]int, a, b int) bool {
	if perZone[capacities[a].Zone] != perZone[capacities[b].Zone] {
		return perZone[capacities[a].Zone] < perZone[capacities[b].Zone]
	}
	return shares[a] < shares[b]
}

// proportionalShares divides count in proportion to total capacity. The first shards get what rounding leaves over.
func proportionalShares(capacities []ShardCapacity, count int) []int {
	total := 0
	for _, c := range capacities {
		total += c.Total
	}
	shares := make([]int, len(capacities))
	remaining := count
	for i, c := range capacities {
		shares[i] = count * c.Total / total
		remaining -= shares[i]
	}
	for i := 0; remaining > 0; i = (i + 1) % len(capacities) {
		shares[i]++
		remaining--
	}
	return shares
}

// partsFromShares returns consecutive ranges of task indices with the given sizes.
func partsFromShares(capacities []ShardCapacity, shares []int) []Part {
	var parts []Part
	from := 0
	for i, n := range shares {
		if n > 0 {
			parts = append(parts, Part{Shard: capacities[i].Shard, From: from, To: from + n})
		}
		from += n
	}
	return parts
}
