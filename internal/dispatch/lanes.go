package dispatch

import (
	"cmp"
	"slices"

	"laburnumpoint/internal/graph"
)

// The lanes of jobs. A job within its organisation's rate goes before all jobs beyond the rate of theirs.
const (
	laneWithinRate = iota
	laneBeyondRate
)

// laneDemotion is added to the demotion of a permit request for a job beyond its organisation's rate. It is greater than any
// demotion of a step.
const laneDemotion = 3

// assignLane decides the lane of a job as it arrives. Jobs without an organisation are within any rate.
func (e *Engine) assignLane(j *job) {
	j.lane = laneWithinRate
	if e.hasOrganisations && j.organisation != nil && !j.organisation.rate.admit(j.arrivedAt, e.rateOptions.Window, e.rateOptions.jobsPerWindow(j.organisation.weight)) {
		j.lane = laneBeyondRate
	}
}

// BeyondRate reports whether a job arrived beyond its organisation's rate.
func (e *Engine) BeyondRate(id graph.JobID) bool {
	j := e.jobs[id]
	return j != nil && j.lane == laneBeyondRate
}

// assignLanes decides the lanes of all jobs anew in order of arrival, when the first configuration with organisations arrives.
func (e *Engine) assignLanes() {
	e.lanesAssigned = true
	jobs := make([]*job, 0, len(e.jobs))
	for _, j := range e.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id))
	})
	for _, j := range jobs {
		e.assignLane(j)
	}
}

// noteWaitingPermits notes that a step within its organisation's rate may take room of the pool once its permits come.
func (e *Engine) noteWaitingPermits(s *step, p *pool) {
	if s.job.lane == laneWithinRate && s.pendingPermitRequests > 0 {
		p.permitDemand = p.permitDemand.Add(s.def.Allocation().Times(e.admittedTasks(s, s.unplacedCount(), nil)))
	}
}

// spareTasks returns how many of the given number of tasks of a step beyond its organisation's rate may start. Steps within their
// rates have taken what they can use in this plan; what those need that wait for permits is left free for them.
func (p *pool) spareTasks(s *step, open int) int {
	if s.job.lane == laneWithinRate {
		return open
	}
	if p.spare == nil {
		var free graph.Resources
		for _, w := range p.workers {
			free = free.Add(w.free())
		}
		free = free.Sub(p.permitDemand)
		p.spare = &free
	}
	unit := s.limitUnit()
	if s.def.Gang {
		if unit.Fits(*p.spare) {
			return open
		}
		return 0
	}
	return tasksWithin(*p.spare, unit, unit, open)
}

// notePlaced notes that tasks of a step have been placed.
func (p *pool) notePlaced(s *step, tasks int) {
	if tasks == 0 {
		return
	}
	s.limitHoldFrom = 0
	if p.spare != nil {
		*p.spare = p.spare.Sub(s.def.Allocation().Times(tasks))
	}
}
