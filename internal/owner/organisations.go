package owner

import (
	"cmp"
	"slices"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
)

// updateOrganisations passes the organisations of the configuration in force to the engine if its version has changed.
func (c *controller) updateOrganisations() {
	if c.Organisations == nil {
		return
	}
	version, organisations := c.Organisations()
	if version == c.organisationsVersion {
		return
	}
	c.organisationsVersion = version
	c.engine.SetOrganisations(organisations, c.RateWindow)
	if len(organisations) > 0 {
		c.Log.Info().Uint64("config", version).Int("organisations", len(organisations)).Msg("organisations in force")
	}
}

// byArrival returns the jobs in order of arrival, in which the engine decides which are within their organisation's rate.
func byArrival(jobs map[graph.JobID]ledger.Job) []graph.JobID {
	ids := make([]graph.JobID, 0, len(jobs))
	for id := range jobs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b graph.JobID) int {
		return cmp.Or(cmp.Compare(jobs[a].AcceptedMS, jobs[b].AcceptedMS), cmp.Compare(a, b))
	})
	return ids
}
