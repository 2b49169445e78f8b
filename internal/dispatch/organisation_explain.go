package dispatch

import (
	"fmt"
	"strings"

	"laburnumpoint/internal/graph"
)

// explainOrganisation names the job's organisation, and says if the job is beyond its rate.
func (e *Engine) explainOrganisation(j *job) string {
	o := j.organisation
	switch {
	case o == nil:
		return ""
	case j.lane == laneBeyondRate:
		return fmt.Sprintf(", of organisation %s, beyond its rate of %g jobs a second", o.name, o.weight)
	}
	return ", of organisation " + o.name
}

// explainLimit describes how the organisation's limit keeps all unplaced tasks of a step from starting; it is empty if it doesn't.
func (e *Engine) explainLimit(s *step) string {
	o := s.job.organisation
	if o == nil || o.limit == (graph.Resources{}) {
		return ""
	}
	unit, one := s.limitUnit(), s.def.Allocation()
	noun := "a task"
	if s.def.Gang {
		noun = fmt.Sprintf("the gang of %d tasks", len(s.tasks))
	}
	needs := fmt.Sprintf("%s needs %s, the limit of organisation %s is %s", noun, describe(unit, o.limit), o.name, describe(o.limit, o.limit))
	switch {
	case o.neverAdmits(unit, one):
		return "never starts under this limit: " + needs
	case !o.admits(o.usage(), unit, one):
		reason := fmt.Sprintf("waiting for the organisation's limit: %s, its runs use %s", needs, describe(o.used, o.limit))
		if o.mayUse != (graph.Resources{}) {
			reason += fmt.Sprintf(" and may use %s more on workers that have not reported", describe(o.mayUse, o.limit))
		}
		return reason
	case s.limitBlocked && o.head != nil && o.head != s:
		return fmt.Sprintf("waiting for the organisation's limit: the rest is kept for job %s, which comes first; %s, its runs use %s", o.head.job.id, needs, describe(o.used, o.limit))
	}
	return ""
}

// describe lists the amounts of the resources that the limit bounds.
func describe(r, limit graph.Resources) string {
	var parts []string
	if limit.MilliCPU > 0 {
		parts = append(parts, fmt.Sprintf("%g cores", float64(r.MilliCPU)/1000))
	}
	if limit.MemoryMB > 0 {
		parts = append(parts, fmt.Sprintf("%d MB", r.MemoryMB))
	}
	if limit.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", r.Accelerators))
	}
	return strings.Join(parts, ", ")
}

// explainOrder describes what puts a job behind others that wait for capacity as well.
func (e *Engine) explainOrder(j *job) string {
	o := j.organisation
	switch {
	case o == nil:
		return ""
	case j.lane == laneBeyondRate:
		return fmt.Sprintf("; jobs within their organisations' rates go first, this one is beyond the rate of %s, %g jobs a second", o.name, o.weight)
	case o.band > 0:
		return fmt.Sprintf("; organisations with a smaller share go first within a priority: %s is %s of a fair share of the cell ahead and uses %.0f%% of it now", o.name, roundToMS(o.lead), 100*o.share)
	}
	return ""
}
