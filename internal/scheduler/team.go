package scheduler

import "laburnumpoint/internal/cell"

// team is one team's weight, quota and usage.
type team struct {
	name   string
	weight float64
	quota  cell.Resources
	// used is the sum of the claims of the team's placed tasks.
	used cell.Resources
	// reserved is the sum of the claims of the team's units with a capacity hold or a reservation.
	reserved cell.Resources
	// dominantShare is the dominant share of used and reserved, divided by the team's weight.
	dominantShare float64
	queued        int
	placed        int
	// queuedClaims is the sum of the claims of the team's queued tasks.
	queuedClaims cell.Resources
	// lanesOverQuota lists the team's lanes that wait for the team to use less or for a larger quota.
	lanesOverQuota []*lane
}

func (s *Scheduler) teamOf(name string) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name}
		s.applyTeamPolicy(t)
		s.teams[name] = t
	}
	return t
}

func (s *Scheduler) applyTeamPolicy(t *team) {
	p, ok := s.policy.Teams[t.name]
	t.weight = p.Weight
	if !ok || p.Weight <= 0 {
		t.weight = 1
	}
	t.quota = p.Quota
	s.updateDominantShare(t)
	s.retryOverQuota(t)
}

// dropTeam removes a team that has no task.
func (s *Scheduler) dropTeam(t *team) {
	if t.queued == 0 && t.placed == 0 {
		delete(s.teams, t.name)
	}
}

func (s *Scheduler) updateDominantShare(t *team) {
	t.dominantShare = t.used.Add(t.reserved).DominantShare(s.totalCapacity) / t.weight
}

// allows reports whether the team's quota allows claim in addition to what the team uses and has reserved.
// A zero dimension of the quota is unbounded; a negative one allows nothing.
func (t *team) allows(claim cell.Resources) bool {
	if t.quota.IsZero() {
		return true
	}
	quota := amountsOf(t.quota)
	needed := amountsOf(claim)
	for d, v := range amountsOf(t.used.Add(t.reserved)) {
		if quota[d] != 0 && needed[d] > 0 && v+needed[d] > quota[d] {
			return false
		}
	}
	return true
}

func (s *Scheduler) addUsed(t *team, claim cell.Resources) {
	t.used = t.used.Add(claim)
	s.updateDominantShare(t)
}

func (s *Scheduler) removeUsed(t *team, claim cell.Resources) {
	t.used = t.used.Sub(claim)
	s.updateDominantShare(t)
	s.retryOverQuota(t)
}

func (s *Scheduler) addReserved(t *team, claim cell.Resources) {
	t.reserved = t.reserved.Add(claim)
	s.updateDominantShare(t)
}

func (s *Scheduler) removeReserved(t *team, claim cell.Resources) {
	t.reserved = t.reserved.Sub(claim)
	s.updateDominantShare(t)
	s.retryOverQuota(t)
}

// retryOverQuota activates the lanes that are no longer over the team's quota.
func (s *Scheduler) retryOverQuota(t *team) {
	stillOver := t.lanesOverQuota[:0]
	for _, l := range t.lanesOverQuota {
		if l.size > 0 && !t.allows(l.key.shape.total) {
			stillOver = append(stillOver, l)
			continue
		}
		l.overQuota = false
		s.activate(l)
	}
	clear(t.lanesOverQuota[len(stillOver):])
	t.lanesOverQuota = stillOver
}

// markOverQuota keeps l from being tried until the team's quota allows its first unit.
func (s *Scheduler) markOverQuota(l *lane) {
	if !l.overQuota {
		l.overQuota = true
		l.team.lanesOverQuota = append(l.team.lanesOverQuota, l)
	}
}
