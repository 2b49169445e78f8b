package node

import (
	"context"
	"maps"
	"slices"

	"laburnumpoint/internal/config"
	"laburnumpoint/internal/edge"
	"laburnumpoint/internal/quota"
)

// Members implements edge.Queries.
func (n *Node) Members(context.Context) ([]edge.MemberStatus, error) {
	var out []edge.MemberStatus
	for _, m := range n.members.Members() {
		out = append(out, edge.MemberStatus{
			Member:        m.ID,
			Addr:          m.Addr,
			Zone:          m.Zone,
			ConfigVersion: m.ConfigVersion,
			Live:          m.Live,
			Leaving:       m.Leaving,
		})
	}
	return out, nil
}

// Demand implements quota.Shard.
func (s *ownedShard) Demand() []quota.Demand {
	_, _, _, teams := s.owner.Status()
	out := make([]quota.Demand, 0, len(teams))
	for _, t := range teams {
		out = append(out, quota.Demand{Team: t.Team, Used: t.Used, Queued: t.QueuedClaims})
	}
	return out
}

// ApplyShares implements quota.Shard.
func (s *ownedShard) ApplyShares() {
	s.owner.RefreshPolicy()
}

func sortedTeams(byName map[string]*edge.TeamStatus) []edge.TeamStatus {
	out := make([]edge.TeamStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}

func patchResult(r config.SubmitResult) edge.PatchResult {
	return edge.PatchResult{
		Accepted:   r.Status == config.StatusAccepted,
		Version:    r.Version,
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
		Document:   r.Document,
	}
}
