package dispatch

import (
	"math"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Organisations share a full cell by virtual time: each one's lead is what its runs have used of the cell beyond the organisation
// that has used least among those that wait, in proportion to their weights. Steps of one lane and priority are ordered by the
// lead in bands, and inside a band by their objectives. docs/design/organisations.md has the measured alternatives.
const (
	// shareBand is the width of a band, in time of a fair share of the cell. Between 250 ms and 2 s it made no measurable
	// difference; a wide band keeps the order by objective among organisations with about the same share.
	shareBand = 500 * time.Millisecond
	// maxShareLead bounds the lead, so that an organisation that has used idle capacity for long is not kept from a full cell for
	// as long. Bounds of 1 s and 4 s earned well-behaved organisations less.
	maxShareLead = 15 * time.Second
)

// fairShares is the state of the shares that is not an organisation's own.
type fairShares struct {
	updatedAt monotime.Instant
	// activeWeight is the sum of the weights of the organisations that have runs or wait.
	activeWeight float64
}

// updateShares brings the organisations' leads up to date. It is called when their waiting tasks have been counted.
func (e *Engine) updateShares() {
	if !e.hasOrganisations {
		return
	}
	elapsed := e.now.Sub(e.shares.updatedAt)
	if e.shares.updatedAt == 0 {
		elapsed = 0
	}
	e.shares.updatedAt = e.now
	e.shares.activeWeight = 0
	for _, o := range e.organisations {
		if o.runs > 0 || o.waitingTasks > 0 {
			e.shares.activeWeight += o.weight
		}
	}
	capacity := e.cellCapacity()
	least := math.Inf(1)
	for _, o := range e.organisations {
		o.share = dominantShare(o.used, capacity)
		o.lead += time.Duration(o.share * e.shares.activeWeight / o.weight * float64(elapsed))
		if o.waitingTasks > 0 && o.wasWaiting {
			least = min(least, float64(o.lead))
		}
		o.wasWaiting = o.waitingTasks > 0
	}
	if math.IsInf(least, 1) {
		least = float64(elapsed) // nobody waits: what a fair share has used in the time counts for nobody
	}
	for _, o := range e.organisations {
		o.lead = min(max(0, o.lead-time.Duration(least)), maxShareLead)
		o.band = int(o.lead / shareBand)
	}
}

// band returns the job's place in the order of the organisations of one lane and priority: 0 goes first.
func (j *job) band() int {
	if j.organisation == nil {
		return 0
	}
	return j.organisation.band
}

// cellCapacity returns the capacity of all pools.
func (e *Engine) cellCapacity() graph.Resources {
	var total graph.Resources
	for _, p := range e.pools {
		total = total.Add(p.capacity)
	}
	return total
}

// dominantShare returns the share of the capacity that is used of the resource where it is largest.
func dominantShare(used, capacity graph.Resources) float64 {
	share := 0.0
	u, c := amounts(used), amounts(capacity)
	for i := range c {
		if c[i] > 0 {
			share = max(share, float64(u[i])/float64(c[i]))
		}
	}
	return share
}

// reservesForSmallShare reports whether workers are reserved for a gang although its pool is busy: the gang's organisation uses less
// than its fair share and another one that runs is ahead of it by a band, and half of the gang's objective has passed. Otherwise
// the small tasks of an organisation that sends much would take the capacity of each worker piece by piece, and the gang would
// never fit. It does so for one gang of a pool at a time, since reserved workers are idle, and not for a gang that has just missed
// its objective: jobs that can still meet theirs come first until it is overdue.
func (e *Engine) reservesForSmallShare(s *step, p *pool) bool {
	o := s.job.organisation
	if o == nil || !e.hasOrganisations || p.reservedForShare || s.job.band() > 0 || s.due.Sub(e.now) > s.job.objective/2 {
		return false
	}
	if o.share*e.shares.activeWeight >= o.weight || (s.missedAtPlan > 0 && s.overdueAtPlan == 0) {
		return false
	}
	for _, other := range e.organisations {
		if other.runs > 0 && other.band > 0 {
			return true
		}
	}
	return false
}
