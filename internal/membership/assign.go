package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/cell"
)

// Candidate is a member that may be assigned shards.
type Candidate struct {
	ID   cell.MemberID
	Zone string
}

// Assign assigns every shard to a candidate. The result is empty if there are no candidates. It depends only on the
// inputs and not on the order of the candidates. The loads of any two candidates differ by at most one shard. A shard
// stays with its current owner unless balance or the shard's availability zone requires a move. With the result as the
// current owners, Assign returns the same result again.
func Assign(shards []Shard, candidates []Candidate, current map[cell.ShardID]cell.MemberID) map[cell.ShardID]cell.MemberID {
	a := newAssignment(shards, candidates)
	if len(a.candidates) == 0 {
		return a.owner
	}
	a.keepCurrentOwners(current)
	a.placeUnowned()
	a.balanceLoads()
	a.improveZones()
	return a.owner
}

// assignment is the working state of Assign.
type assignment struct {
	shards     []Shard
	candidates []Candidate
	load       map[cell.MemberID]int
	owner      map[cell.ShardID]cell.MemberID
	// kept holds the shards whose current owner is a candidate.
	kept map[cell.ShardID]bool
}

func newAssignment(shards []Shard, candidates []Candidate) *assignment {
	a := &assignment{
		shards:     slices.Clone(shards),
		candidates: slices.Clone(candidates),
		load:       make(map[cell.MemberID]int, len(candidates)),
		owner:      make(map[cell.ShardID]cell.MemberID, len(shards)),
		kept:       make(map[cell.ShardID]bool, len(shards)),
	}
	slices.SortFunc(a.shards, func(x, y Shard) int { return cmp.Compare(x.ID, y.ID) })
	slices.SortFunc(a.candidates, func(x, y Candidate) int { return cmp.Compare(x.ID, y.ID) })
	for _, m := range a.candidates {
		a.load[m.ID] = 0
	}
	return a
}

// keepCurrentOwners leaves each shard with its current owner if that is a candidate.
func (a *assignment) keepCurrentOwners(current map[cell.ShardID]cell.MemberID) {
	for _, s := range a.shards {
		owner, ok := current[s.ID]
		if !ok {
			continue
		}
		if _, live := a.load[owner]; live {
			a.setOwner(s.ID, owner)
			a.kept[s.ID] = true
		}
	}
}

// placeUnowned assigns each shard without an owner to the least loaded candidate of the shard's zone that is below the
// even share, or to the least loaded candidate of all if there is none.
func (a *assignment) placeUnowned() {
	share := a.evenShare()
	for _, s := range a.shards {
		if a.owner[s.ID] != "" {
			continue
		}
		m := a.leastLoaded(s, func(c Candidate) bool { return c.Zone == s.Zone && a.load[c.ID] < share })
		if m == "" {
			m = a.leastLoaded(s, func(Candidate) bool { return true })
		}
		a.setOwner(s.ID, m)
	}
}

// balanceLoads moves shards from the most to the least loaded candidates until their loads differ by at most one.
func (a *assignment) balanceLoads() {
	for {
		least, most := a.loadRange()
		if most-least <= 1 {
			return
		}
		shard, to := a.bestMove(least, most)
		a.move(shard, to)
	}
}

// improveZones moves shards that are owned outside their zone to less loaded candidates inside it, while there are any.
func (a *assignment) improveZones() {
	zone := a.zoneByMember()
	for a.improveOneZone(zone) {
	}
}

// improveOneZone makes one move for improveZones and returns false if none is possible.
func (a *assignment) improveOneZone(zone map[cell.MemberID]string) bool {
	for _, s := range a.shards {
		owner := a.owner[s.ID]
		if zone[owner] == s.Zone {
			continue
		}
		to := a.leastLoaded(s, func(c Candidate) bool { return c.Zone == s.Zone && a.load[c.ID] < a.load[owner] })
		if to != "" {
			a.move(s.ID, to)
			return true
		}
	}
	return false
}

// evenShare returns the largest load in a balanced assignment.
func (a *assignment) evenShare() int {
	return (len(a.shards) + len(a.candidates) - 1) / len(a.candidates)
}

// leastLoaded returns the least loaded eligible candidate, or "" if there is none. Among equal loads, rendezvous
// hashing decides.
func (a *assignment) leastLoaded(s Shard, eligible func(Candidate) bool) cell.MemberID {
	var best cell.MemberID
	for _, m := range a.candidates {
		if eligible(m) && (best == "" || a.preferred(s, m.ID, best)) {
			best = m.ID
		}
	}
	return best
}

// preferred reports whether x is a better owner for the shard than y.
func (a *assignment) preferred(s Shard, x, y cell.MemberID) bool {
	if a.load[x] != a.load[y] {
		return a.load[x] < a.load[y]
	}
	return affinity(s.ID, x) > affinity(s.ID, y)
}

// loadRange returns the smallest and the largest load.
func (a *assignment) loadRange() (least, most int) {
	least, most = len(a.shards), 0
	for _, n := range a.load {
		least = min(least, n)
		most = max(most, n)
	}
	return least, most
}

// bestMove returns the shard and target of the best move from a candidate with load most to one with load least. It
// prefers shards that move anyway, and among those the move that suits the zones best.
func (a *assignment) bestMove(least, most int) (cell.ShardID, cell.MemberID) {
	zone := a.zoneByMember()
	var shard cell.ShardID
	var to cell.MemberID
	bestGain := 0
	for _, s := range a.shards {
		from := a.owner[s.ID]
		if a.load[from] != most {
			continue
		}
		for _, m := range a.candidates {
			if a.load[m.ID] != least {
				continue
			}
			gain := a.moveGain(s, zone[from], m.Zone)
			if shard == "" || gain > bestGain {
				shard, to, bestGain = s.ID, m.ID, gain
			}
		}
	}
	return shard, to
}

// forcedMoveGain is added for a shard that moves anyway. It outweighs every difference that zones can make.
const forcedMoveGain = 4

// moveGain rates a move between zones: 1 if it brings the shard into its zone, -1 if it takes it out of its zone, else
// 0; plus forcedMoveGain if the shard's current owner is not a candidate, so that the shard moves anyway.
func (a *assignment) moveGain(s Shard, from, to string) int {
	gain := 0
	if to == s.Zone {
		gain++
	}
	if from == s.Zone {
		gain--
	}
	if !a.kept[s.ID] {
		gain += forcedMoveGain
	}
	return gain
}

func (a *assignment) zoneByMember() map[cell.MemberID]string {
	out := make(map[cell.MemberID]string, len(a.candidates))
	for _, m := range a.candidates {
		out[m.ID] = m.Zone
	}
	return out
}

func (a *assignment) setOwner(shard cell.ShardID, to cell.MemberID) {
	a.owner[shard] = to
	a.load[to]++
}

func (a *assignment) move(shard cell.ShardID, to cell.MemberID) {
	a.load[a.owner[shard]]--
	a.setOwner(shard, to)
}

// affinity is the rendezvous hash of a shard and a member.
func affinity(shard cell.ShardID, member cell.MemberID) uint64 {
	return xxhash.Sum64String(string(shard) + "/" + string(member))
}
