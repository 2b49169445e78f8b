package scheduler

import "laburnumpoint/internal/cell"

// team is the ledger's record of one team.
type team struct {
	name   string
	weight float64
	quota  cell.Resources
	// held is the claims of the team's placed tasks.
	held cell.Resources
	// promised is the claims of the team's earmarked and reserved units.
	promised cell.Resources
	// share is the dominant share of held and promised, divided by the team's weight.
	share  float64
	queued int
	placed int
	// waiting is the claims of the team's queued tasks.
	waiting cell.Resources
	// overQuota lists the team's lanes that wait for the team to hold less.
	overQuota []*lane
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
	s.reshare(t)
	s.quotaGrew(t)
}

// dropTeam forgets a team that holds nothing and waits for nothing.
func (s *Scheduler) dropTeam(t *team) {
	if t.queued == 0 && t.placed == 0 {
		delete(s.teams, t.name)
	}
}

func (s *Scheduler) reshare(t *team) {
	t.share = t.held.Add(t.promised).DominantShare(s.capacity) / t.weight
}

// allows reports whether the team may hold claim in addition. A zero dimension of the quota is unbounded; a negative one
// allows nothing.
func (t *team) allows(claim cell.Resources) bool {
	if t.quota.IsZero() {
		return true
	}
	quota := amountsOf(t.quota)
	asked := amountsOf(claim)
	for d, v := range amountsOf(t.held.Add(t.promised)) {
		if quota[d] != 0 && asked[d] > 0 && v+asked[d] > quota[d] {
			return false
		}
	}
	return true
}

func (s *Scheduler) hold(t *team, claim cell.Resources) {
	t.held = t.held.Add(claim)
	s.reshare(t)
}

func (s *Scheduler) letGo(t *team, claim cell.Resources) {
	t.held = t.held.Sub(claim)
	s.reshare(t)
	s.quotaGrew(t)
}

func (s *Scheduler) promise(t *team, claim cell.Resources) {
	t.promised = t.promised.Add(claim)
	s.reshare(t)
}

func (s *Scheduler) unpromise(t *team, claim cell.Resources) {
	t.promised = t.promised.Sub(claim)
	s.reshare(t)
	s.quotaGrew(t)
}

// quotaGrew lets the lanes that are no longer over the team's quota try again.
func (s *Scheduler) quotaGrew(t *team) {
	waiting := t.overQuota[:0]
	for _, l := range t.overQuota {
		if l.size > 0 && !t.allows(l.key.shape.total) {
			waiting = append(waiting, l)
			continue
		}
		l.overQuota = false
		s.activate(l)
	}
	clear(t.overQuota[len(waiting):])
	t.overQuota = waiting
}

func (s *Scheduler) blockOnQuota(l *lane) {
	if !l.overQuota {
		l.overQuota = true
		l.team.overQuota = append(l.team.overQuota, l)
	}
}
