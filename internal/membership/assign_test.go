package membership

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"laburnumpoint/internal/cell"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func drawShards(t *rapid.T) []Shard {
	return makeShards(rapid.IntRange(1, 17).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "shards per zone"))
}

func makeShards(zones, perZone int) []Shard {
	var out []Shard
	for z := range zones {
		for n := range perZone {
			out = append(out, Shard{ID: cell.ShardID(fmt.Sprintf("%s-%d", zoneName(z), n)), Zone: zoneName(z)})
		}
	}
	return out
}

func drawCandidates(t *rapid.T) []Candidate {
	return makeCandidates(rapid.SliceOfN(rapid.IntRange(0, 17), 1, 30).Draw(t, "zones of members")...)
}

func makeCandidates(zones ...int) []Candidate {
	out := make([]Candidate, len(zones))
	for i, z := range zones {
		out[i] = Candidate{ID: cell.MemberID(fmt.Sprintf("m%d", i)), Zone: zoneName(z)}
	}
	return out
}

// drawCurrent draws current owners: some shards have none, and some are owned by a member that is no candidate.
func drawCurrent(t *rapid.T, shards []Shard, members []Candidate) map[cell.ShardID]cell.MemberID {
	out := make(map[cell.ShardID]cell.MemberID)
	for _, s := range shards {
		n := rapid.IntRange(-2, len(members)-1).Draw(t, "owner")
		switch n {
		case -2:
		case -1:
			out[s.ID] = "dead"
		default:
			out[s.ID] = members[n].ID
		}
	}
	return out
}

func loads(members []Candidate, owner map[cell.ShardID]cell.MemberID) map[cell.MemberID]int {
	out := make(map[cell.MemberID]int)
	for _, m := range members {
		out[m.ID] = 0
	}
	for _, id := range owner {
		out[id]++
	}
	return out
}

func TestAssignIsBalancedAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards, members := drawShards(t), drawCandidates(t)
		current := drawCurrent(t, shards, members)
		got := Assign(shards, members, current)
		load := loads(members, got)
		if len(got) != len(shards) || len(load) != len(members) {
			t.Fatalf("%d of %d shards assigned to %d of %d members", len(got), len(shards), len(load), len(members))
		}
		counts := slices.Collect(maps.Values(load))
		if slices.Max(counts)-slices.Min(counts) > 1 {
			t.Fatalf("loads differ by more than one shard: %v", load)
		}
		if again := Assign(shards, members, got); !maps.Equal(again, got) {
			t.Fatalf("Assign with its result as the current owners changes it: %v, then %v", got, again)
		}
		shuffled := rapid.Permutation(members).Draw(t, "order")
		if other := Assign(shards, shuffled, current); !maps.Equal(other, got) {
			t.Fatalf("the result depends on the order of the candidates: %v, then %v", got, other)
		}
	})
}

// TestAssignMovesLittle removes a member and adds one. Shards inside their zone move only to or from that member.
func TestAssignMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards, members := drawShards(t), drawCandidates(t)
		before := Assign(shards, members, nil)
		zone := make(map[cell.MemberID]string)
		for _, m := range members {
			zone[m.ID] = m.Zone
		}
		inZone := func(s Shard) bool { return zone[before[s.ID]] == s.Zone }
		if len(members) > 1 {
			checkLeave(t, shards, members)
		}
		joined := Candidate{ID: "new", Zone: zoneName(rapid.IntRange(0, 17).Draw(t, "zone of the new member"))}
		after := Assign(shards, append(slices.Clone(members), joined), before)
		for _, s := range shards {
			if inZone(s) && after[s.ID] != joined.ID && after[s.ID] != before[s.ID] {
				t.Fatalf("%s moved from %s to %s when another member joined", s.ID, before[s.ID], after[s.ID])
			}
		}
	})
}

// checkLeave removes the first member. Shards of other members that are inside their zone must not move.
func checkLeave(t rapid.TB, shards []Shard, members []Candidate) {
	t.Helper()
	before := Assign(shards, members, nil)
	after := Assign(shards, members[1:], before)
	zone := make(map[cell.MemberID]string)
	for _, m := range members {
		zone[m.ID] = m.Zone
	}
	for _, s := range shards {
		owner := before[s.ID]
		if owner != members[0].ID && zone[owner] == s.Zone && after[s.ID] != owner {
			t.Fatalf("%s moved from %s to %s when %s left", s.ID, owner, after[s.ID], members[0].ID)
		}
	}
}

// TestLeaveMovesShardsThatMoveAnyway has cases in which balancing can move either shards of the member that left, which
// move anyway, or other shards.
func TestLeaveMovesShardsThatMoveAnyway(t *testing.T) {
	checkLeave(t, makeShards(5, 5), makeCandidates(1, 0, 1, 2, 2, 2, 2))
	checkLeave(t, makeShards(6, 6), makeCandidates(4, 0, 0, 0, 1, 1, 3, 2))
}

func TestAssignPrefersTheShardsZone(t *testing.T) {
	shards := makeShards(4, 4)
	var members []Candidate
	for z := range 4 {
		for n := range 2 {
			members = append(members, Candidate{ID: cell.MemberID(fmt.Sprintf("%s%d", zoneName(z), n)), Zone: zoneName(z)})
		}
	}
	for shard, owner := range Assign(shards, members, nil) {
		if shard[0] != owner[0] {
			t.Errorf("%s is assigned to %s, which is in another zone", shard, owner)
		}
	}
}
