package job

import (
	"laburnumpoint/internal/cell"
)

// minPartTasks is the number of tasks below which a batch isn't split further.
const minPartTasks = 64

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
func Split(s Spec, rooms []ShardCapacity) []Part {
	able := usable(s, rooms)
	if len(able) == 0 {
		return nil
	}
	switch {
	case s.Kind == cell.KindGang, s.Kind == cell.KindBatch && s.Count <= minPartTasks:
		return []Part{{Shard: roomiest(able).Shard, From: 0, To: s.Count}}
	case s.Kind == cell.KindService:
		return ranges(able, evenShares(able, s.Count))
	default:
		return ranges(able, proportionalShares(able, s.Count))
	}
}

func usable(s Spec, rooms []ShardCapacity) []ShardCapacity {
	need := 1
	if s.Kind == cell.KindGang {
		need = s.Count
	}
	var able []ShardCapacity
	for _, r := range rooms {
		if r.Total >= need {
			able = append(able, r)
		}
	}
	return able
}

func roomiest(rooms []ShardCapacity) ShardCapacity {
	best := rooms[0]
	for _, r := range rooms[1:] {
		if r.Free > best.Free || r.Free == best.Free && r.Total > best.Total {
			best = r
		}
	}
	return best
}

// evenShares deals tasks out to the zones in turn, and within a zone to its shards in turn.
func evenShares(rooms []ShardCapacity, count int) []int {
	shares := make([]int, len(rooms))
	perZone := make(map[string]int)
	for range count {
		pick := 0
		for i := range rooms {
			if lessLoaded(rooms, shares, perZone, i, pick) {
				pick = i
			}
		}
		shares[pick]++
		perZone[rooms[pick].Zone]++
	}
	return shares
}

func lessLoaded(rooms []ShardCapacity, shares []int, perZone map[string]int, a, b int) bool {
	if perZone[rooms[a].Zone] != perZone[rooms[b].Zone] {
		return perZone[rooms[a].Zone] < perZone[rooms[b].Zone]
	}
	return shares[a] < shares[b]
}

// proportionalShares divides count by each room's total; what rounding leaves goes to the first rooms.
func proportionalShares(rooms []ShardCapacity, count int) []int {
	total := 0
	for _, r := range rooms {
		total += r.Total
	}
	shares := make([]int, len(rooms))
	left := count
	for i, r := range rooms {
		shares[i] = count * r.Total / total
		left -= shares[i]
	}
	for i := 0; left > 0; i = (i + 1) % len(rooms) {
		shares[i]++
		left--
	}
	return shares
}

func ranges(rooms []ShardCapacity, shares []int) []Part {
	var parts []Part
	from := 0
	for i, n := range shares {
		if n > 0 {
			parts = append(parts, Part{Shard: rooms[i].Shard, From: from, To: from + n})
		}
		from += n
	}
	return parts
}
