package owner

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"laburnumpoint/internal/dispatch"
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
	c.engine.SetOrganisations(organisations, c.Rates)
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

// maxOrganisationMetrics bounds the organisations that have metrics of their own; the others are added up.
const maxOrganisationMetrics = 32

// otherOrganisations is the label of the sums over the organisations that have no metrics of their own.
const otherOrganisations = "(others)"

// publishOrganisationUsages makes the organisations' usage available to the metrics.
func (c *controller) publishOrganisationUsages() {
	usages := boundUsages(c.engine.OrganisationUsages())
	c.organisationUsages.Store(&usages)
}

// boundUsages returns the maxOrganisationMetrics organisations that use or wait for most, and the sum of the others. Of these the
// largest used share of a limit is kept.
func boundUsages(usages []dispatch.OrganisationUsage) []dispatch.OrganisationUsage {
	slices.SortStableFunc(usages, func(a, b dispatch.OrganisationUsage) int {
		return cmp.Or(cmp.Compare(b.WaitingTasks, a.WaitingTasks), cmp.Compare(b.LimitShare, a.LimitShare), cmp.Compare(b.CellShare, a.CellShare))
	})
	if len(usages) <= maxOrganisationMetrics {
		return usages
	}
	others := dispatch.OrganisationUsage{Name: otherOrganisations}
	for _, u := range usages[maxOrganisationMetrics:] {
		others.WaitingTasks += u.WaitingTasks
		others.CellShare += u.CellShare
		others.LimitShare = max(others.LimitShare, u.LimitShare)
	}
	return append(usages[:maxOrganisationMetrics:maxOrganisationMetrics], others)
}

// writeOrganisationMetrics writes the organisations' gauges. A daemon that doesn't own the cell has none.
func (d *Daemon) writeOrganisationMetrics(w io.Writer) {
	c := d.controller.Load()
	if c == nil {
		return
	}
	usages := c.organisationUsages.Load()
	if usages == nil {
		return
	}
	for _, u := range *usages {
		fmt.Fprintf(w, "laburnumpoint_organisation_limit_used{organisation=%q} %g\n", u.Name, u.LimitShare)
		fmt.Fprintf(w, "laburnumpoint_organisation_cell_used{organisation=%q} %g\n", u.Name, u.CellShare)
		fmt.Fprintf(w, "laburnumpoint_organisation_tasks_waiting{organisation=%q} %d\n", u.Name, u.WaitingTasks)
	}
}
