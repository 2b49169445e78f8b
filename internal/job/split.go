package job

import (
	"laburnumpoint/internal/cell"
)

// maxUnsplitTasks is the number of tasks below which a batch isn't split further.
const maxUnsplitTasks = 64

// ShardCapacity is what one shard can hold, for splitting a job.
type ShardCapacity struct {
	Shard cell.ShardID
	Zone  string
	// Free is the number of tasks like the job's that the shard could start now.
	Free int
	// Total is the number of tasks like the job's that the shard's whole capacity holds.
	Total int
}

// Split divides a job over the shards that can hold it. It returns nil if no shard can, or none can hold a whole gang.
// A gang stays in one shard; a service is spread evenly over availability zones; a batch is divided in proportion to
// what each shard can hold.
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

func withMostFree(capacities []ShardCapacity) ShardCapacity {
	best := capacities[0]
	for _, c := range capacities[1:] {
		if c.Free > best.Free || c.Free == best.Free && c.Total > best.Total {
			best = c
		}
	}
	return best
}

// evenShares deals tasks out to the zones in turn, and within a zone to its shards in turn.
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

func fewerTasks(capacities []ShardCapacity, shares []int, perZone map[string]int, a, b int) bool {
	if perZone[capacities[a].Zone] != perZone[capacities[b].Zone] {
		return perZone[capacities[a].Zone] < perZone[capacities[b].Zone]
	}
	return shares[a] < shares[b]
}

// proportionalShares divides count by each capacity's total; what rounding leaves goes to the first capacities.
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
