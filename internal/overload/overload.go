// Package overload predicts when a job that is submitted now would complete, from a summary of the owner's backlog, and decides
// whether it is refused. It does no I/O and has no clock of its own.
//
// A job is refused only if it could not complete within LateObjectives times its objective even at the low end of the
// prediction. The low end assumes that all capacity serves the work ahead at once, takes the smaller one of two predictions with
// different sources of error, and reduces amounts of work by the observed errors of estimates.
package overload

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
)

const (
	// MaxAge is the age above which a summary is not used.
	MaxAge = 1500 * time.Millisecond
	// LateObjectives is the number of objectives after which a job that has not completed is worthless.
	LateObjectives = 3
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused job.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 60 * time.Second
	// retrySpread is the share of a Retry-After that is added at random, so that callers don't return together.
	retrySpread = 0.5
	// roundingError is the precision of the amounts in a summary.
	roundingError = 0.01
	// longestWait stands for a wait that is not bounded by what is known.
	longestWait = 1 * time.Hour
)

// Amounts is an amount of each resource: cores, GB of memory and accelerators, or their products with seconds.
type Amounts [3]float64

// AmountsOf converts resources.
func AmountsOf(r graph.Resources) Amounts {
	return Amounts{float64(r.MilliCPU) / 1000, float64(r.MemoryMB) / 1024, float64(r.Accelerators)}
}

// Add returns a plus factor times b.
func (a Amounts) Add(b Amounts, factor float64) Amounts {
	for r := range a {
		a[r] += b[r] * factor
	}
	return a
}

// Class sums up waiting tasks of a pool that are served in the same order.
type Class struct {
	Priority int `json:"p"`
	// Lane orders work before priority does; 0 is served first.
	Lane int `json:"l,omitempty"`
	// Missed means that the jobs can no longer meet their objectives, but are not yet worthless.
	Missed bool `json:"m,omitempty"`
	// DueWithin is the time, in seconds, within which all the jobs are due; 0 for missed ones.
	DueWithin float64 `json:"d,omitempty"`
	// MissesAfter is the time, in seconds, after which the first of the jobs can no longer meet its objective unless it is served
	// before; 0 for missed ones. ExpiresAfter is the same for LateObjectives times the objective: the job then comes last.
	MissesAfter  float64 `json:"n,omitempty"`
	ExpiresAfter float64 `json:"x"`
	// Claims is what the tasks claim, Work what they claim times their expected run times in seconds.
	Claims Amounts `json:"c"`
	Work   Amounts `json:"w"`
	// LargestTask is the most of each resource that one of the tasks claims.
	LargestTask Amounts `json:"t"`
	// LowShare is the share of Work that remains at its low end.
	LowShare float64 `json:"s"`
}

// Pool sums up a pool.
type Pool struct {
	// Capacity is that of all workers that are not about to leave, without what long-running tasks take.
	Capacity Amounts `json:"cap"`
	// Free is the capacity that no task claims.
	Free Amounts `json:"free"`
	// FreedPerSecond is the rate at which runs that ended have freed capacity, over about the last second.
	FreedPerSecond Amounts `json:"rate"`
	Classes        []Class `json:"classes,omitempty"`
}

// Summary sums up the backlog of a cell.
type Summary struct {
	Pools map[string]Pool `json:"pools"`
	// HighRatios holds, by queue, the factor from an estimated run time to the longest one that may be meant by it.
	HighRatios map[string]float64 `json:"ratios,omitempty"`
	// StoreTrouble means that the store has lately not answered one of the daemons. A write that it has not answered may yet
	// be applied, so that no job can be said not to be accepted.
	StoreTrouble bool `json:"store_trouble,omitempty"`
}

// Job is what a prediction needs to know of a job.
type Job struct {
	Queue, Pool    string
	Priority, Lane int
	// smallestTask is the least of each resource that one of the job's tasks claims, largestTask the most.
	smallestTask, largestTask Amounts
	objective                 time.Duration
	// path is the estimated length of the job's critical path.
	path    time.Duration
	stretch float64
	target  time.Duration
}

// NewJob returns the job of a queue with the given spec. ok is false for jobs that are never refused: scheduled and long-running
// ones.
func NewJob(queue *graph.Queue, spec *graph.Spec) (job Job, ok bool) {
	if spec.Occurrences > 0 {
		return Job{}, false
	}
	job = Job{Queue: queue.Name, Pool: queue.Pool, Priority: queue.Priority, objective: queue.Objective(spec), stretch: queue.Stretch, target: queue.Target}
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return Job{}, false
		}
		for r, amount := range AmountsOf(spec.Steps[i].Allocation()) {
			if i == 0 || amount < job.smallestTask[r] {
				job.smallestTask[r] = amount
			}
			job.largestTask[r] = max(job.largestTask[r], amount)
		}
	}
	for _, path := range spec.CriticalPaths(queue.ExpectedPermitLatency()) {
		job.path = max(job.path, path)
	}
	return job, true
}

// Objective returns the job's objective by its estimates.
func (j *Job) Objective() time.Duration { return j.objective }

// slack returns how long the job can wait and still complete within the given number of objectives, if its critical path is ratio
// times as long as estimated.
func (j *Job) slack(objectives, ratio float64) time.Duration {
	path := ratio * float64(j.path)
	return time.Duration(objectives*(j.stretch*path+float64(j.target)) - path)
}

// Decision is the prediction for a job and whether it is refused.
type Decision struct {
	Refuse bool
	// Wait is the low end of the time until the job's tasks are served.
	Wait time.Duration
	// RetryAfter is the time after which the job could meet its objective, in whole seconds. Set if Refuse is.
	RetryAfter time.Duration
}

// Decide predicts how long a job that is submitted now waits, and decides whether it is refused. random, from 0 to 1, spreads
// RetryAfter.
func (s *Summary) Decide(job *Job, random float64) Decision {
	pool, ok := s.Pools[job.Pool]
	if !ok {
		return Decision{}
	}
	ratio, known := s.HighRatios[job.Queue]
	if !known {
		ratio = unknownError
	}
	d := Decision{Wait: pool.lowWait(job, false)}
	switch {
	case job.Lane > 0 && pool.expectedWait(job, false) > job.slack(1, 1):
		// A job beyond its organisation's rate earns nothing. It is refused as soon as others would make it late.
	case d.Wait <= job.slack(1, ratio):
		return d
	default:
		// The job would miss its objective while it waits, and then wait behind others too.
		d.Wait = pool.lowWait(job, true)
		if d.Wait <= job.slack(LateObjectives, ratio) {
			return d
		}
	}
	if s.StoreTrouble {
		return d
	}
	d.Refuse = true
	until := max(0, pool.expectedWait(job, true)-job.slack(1, 1))
	until += time.Duration(retrySpread * random * float64(until))
	d.RetryAfter = min(max(minRetryAfter, (until+time.Second-1).Truncate(time.Second)), maxRetryAfter)
	return d
}

// isAhead reports whether a class is surely served before a job: one that can still meet its objective or, with missed set, one
// that has missed it while it waited. The order is that of package dispatch, after which lanes come first.
func (c *Class) isAhead(job *Job, missed bool) bool {
	if c.Lane != job.Lane {
		return c.Lane < job.Lane
	}
	// Jobs of priority 0 keep their place among the priorities when they miss their objective; others are put behind all
	// jobs that have not.
	putBack := func(priority int, missed bool) bool { return missed && priority > 0 }
	if classBack, jobBack := putBack(c.Priority, c.Missed), putBack(job.Priority, missed); classBack != jobBack {
		return jobBack
	}
	if c.Priority != job.Priority {
		return c.Priority < job.Priority
	}
	if c.Missed != missed {
		return missed
	}
	return c.Missed || c.DueWithin <= job.objective.Seconds()
}

// fitsWhere reports whether the tasks of a class fit wherever those of a job do. Larger ones don't hold the job up for certain: its
// tasks fill what they leave.
func (c *Class) fitsWhere(job *Job) bool {
	for r, amount := range c.LargestTask {
		if amount > job.smallestTask[r]+roundingError {
			return false
		}
	}
	return true
}

// keepsPlaceFor returns for how long a class that is ahead of a job stays ahead of it while it is not served.
func (c *Class) keepsPlaceFor(job *Job, missed bool) float64 {
	if missed || c.Missed || c.Lane < job.Lane || (c.Priority == 0 && job.Priority > 0) {
		return c.ExpiresAfter
	}
	return c.MissesAfter
}

// lowWait returns the low end of the time until the work ahead of a job has been served. It is the smaller one of two predictions:
// the work ahead at the pool's capacity, which depends on estimates, and the claims ahead at the rate at which capacity has been
// freed lately, which depends on how long the tasks that ran until now took. Work that is not served in time is put behind the
// job. So a job never waits long for work like its own: what is ahead of it expires before it does.
func (p *Pool) lowWait(job *Job, missed bool) time.Duration {
	var ahead []*Class
	for i := range p.Classes {
		if c := &p.Classes[i]; c.isAhead(job, missed) && c.fitsWhere(job) {
			ahead = append(ahead, c)
		}
	}
	slices.SortStableFunc(ahead, func(a, b *Class) int { return cmp.Compare(a.keepsPlaceFor(job, missed), b.keepsPlaceFor(job, missed)) })
	longest := 0.0
	for r, claimed := range job.largestTask {
		if claimed == 0 {
			continue
		}
		byWork, byClaims, free := 0.0, 0.0, p.Free[r]
		for _, c := range ahead {
			until := c.keepsPlaceFor(job, missed)
			claims := max(0, c.Claims[r]-free)
			free = max(0, free-c.Claims[r])
			byWork += min(quotient(c.Work[r]*c.LowShare, p.Capacity[r]), max(0, until-byWork))
			byClaims += min(quotient(claims, p.FreedPerSecond[r]), max(0, until-byClaims))
		}
		longest = max(longest, min(byWork, byClaims))
	}
	return seconds(longest)
}

// expectedWait returns the expected time until the work that is ahead of a job now has been served.
func (p *Pool) expectedWait(job *Job, missed bool) time.Duration {
	var work Amounts
	for i := range p.Classes {
		if c := &p.Classes[i]; c.isAhead(job, missed) {
			work = work.Add(c.Work, 1)
		}
	}
	longest := 0.0
	for r, claimed := range job.largestTask {
		if claimed > 0 {
			longest = max(longest, quotient(work[r], p.Capacity[r]))
		}
	}
	return seconds(longest)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// quotient returns the time, in seconds, in which an amount is served at a rate per second.
func quotient(amount, rate float64) float64 {
	switch {
	case amount <= 0:
		return 0
	case rate <= 0:
		return longestWait.Seconds()
	}
	return min(amount/rate, longestWait.Seconds())
}
