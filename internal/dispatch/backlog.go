package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumpoint/internal/overload"
)

// Waiting jobs are told apart in a backlog by times with limits from leastTimeLimit to mostTimeLimit, in seconds, each of which is
// timeLimitRatio times the one before.
const (
	leastTimeLimit = 0.5
	mostTimeLimit  = 300.0
	timeLimitRatio = 1.5
)

// Backlog sums up the waiting work and the capacity of each pool.
func (e *Engine) Backlog() overload.Summary {
	pools := e.poolSummaries()
	e.addWaitingWork(pools)
	summary := overload.Summary{Pools: make(map[string]overload.Pool, len(pools)), HighRatios: make(map[string]float64, len(e.runTimeRatios))}
	for name, p := range pools {
		summary.Pools[name] = *p
	}
	for queue, ratios := range e.runTimeRatios {
		summary.HighRatios[queue] = roundUp(ratios.High())
	}
	return summary
}

// poolSummaries returns the capacity of each pool. It counts workers that don't answer now too, since they may answer again.
func (e *Engine) poolSummaries() map[string]*overload.Pool {
	pools := make(map[string]*overload.Pool)
	for _, w := range e.workers {
		if w.Draining {
			continue
		}
		p := pools[w.Pool]
		if p == nil {
			p = &overload.Pool{}
			pools[w.Pool] = p
		}
		capacity := w.Capacity
		for _, r := range w.runs {
			if r.task != nil && r.task.step.def.LongRunning {
				capacity = capacity.Sub(r.allocation)
			}
		}
		p.Capacity = p.Capacity.Add(overload.AmountsOf(capacity), 1)
		if w.reachable && w.runsOfUnknownSize == 0 {
			p.Free = p.Free.Add(overload.AmountsOf(w.free()), 1)
		}
	}
	for name, p := range pools {
		if pool := e.pools[name]; pool != nil {
			p.FreedPerSecond = overload.AmountsOf(pool.expectedFreed(time.Second, e.now))
		}
		roundAll(&p.Capacity, &p.Free, &p.FreedPerSecond)
	}
	return pools
}

// classKey identifies a class of waiting work.
type classKey struct {
	pool, queue    string
	priority, lane int
	missed         bool
	// within is the time until the jobs are due or, if they have missed their objective, until they are worthless.
	within float64
}

// waitingClass is a class of waiting work before its estimates are corrected.
type waitingClass struct {
	overload.Class
	jobs map[*job]struct{}
}

// addWaitingWork adds the tasks that could start now if there were room. Steps that wait for others are left out, since they may be
// served after a job that is submitted now, as are jobs that are far beyond their objective.
func (e *Engine) addWaitingWork(pools map[string]*overload.Pool) {
	classes := make(map[classKey]*waitingClass)
	for s := range e.active {
		waiting := s.unplacedCount()
		if waiting == 0 || s.waitsForPermits() || s.def.LongRunning || pools[s.job.queue.Pool] == nil || e.overdue(s) > 0 {
			continue
		}
		slack := s.due.Sub(e.now) - s.remainingPath
		expiresAfter := slack + (overdueFactor-1)*s.job.objective
		key := classKey{pool: s.job.queue.Pool, queue: s.job.queue.Name, priority: s.job.queue.Priority, lane: s.job.lane, missed: slack < 0}
		if key.missed {
			key.within = timeLimit(expiresAfter)
		} else {
			key.within = timeLimit(s.due.Sub(e.now))
		}
		c := classes[key]
		if c == nil {
			c = &waitingClass{jobs: make(map[*job]struct{})}
			c.Class = overload.Class{Priority: key.priority, Lane: key.lane, Missed: key.missed, MissesAfter: math.Inf(1), ExpiresAfter: math.Inf(1)}
			if !key.missed {
				c.DueWithin = key.within
			}
			classes[key] = c
		}
		claims := overload.AmountsOf(s.def.Allocation())
		c.Claims = c.Claims.Add(claims, float64(waiting))
		c.Work = c.Work.Add(claims, float64(waiting)*s.def.Estimate.Seconds())
		for r, amount := range claims {
			c.LargestTask[r] = max(c.LargestTask[r], amount)
		}
		c.MissesAfter = min(c.MissesAfter, max(0, slack.Seconds()))
		c.ExpiresAfter = min(c.ExpiresAfter, max(0, expiresAfter.Seconds()))
		c.jobs[s.job] = struct{}{}
	}
	for key, c := range classes {
		expected, low := e.ratios(key.queue).Work(len(c.jobs))
		c.Work = overload.Amounts{}.Add(c.Work, expected)
		c.LowShare = math.Floor(low/expected*100) / 100
		c.MissesAfter, c.ExpiresAfter = round(c.MissesAfter), round(c.ExpiresAfter)
		roundAll(&c.Claims, &c.Work, &c.LargestTask)
		p := pools[key.pool]
		p.Classes = append(p.Classes, c.Class)
	}
	for _, p := range pools {
		slices.SortFunc(p.Classes, func(a, b overload.Class) int {
			return cmp.Or(a.Lane-b.Lane, a.Priority-b.Priority, cmp.Compare(a.DueWithin, b.DueWithin), cmp.Compare(a.ExpiresAfter, b.ExpiresAfter))
		})
	}
}

// waitsForPermits reports whether it is not known yet which workers may run the step. It then takes no room from others.
func (s *step) waitsForPermits() bool { return s.job.queue.Permit != nil && s.verdicts == nil }

// timeLimit returns the least limit, in seconds, that is not below d.
func timeLimit(d time.Duration) float64 {
	within := leastTimeLimit
	for within < min(d.Seconds(), mostTimeLimit) {
		within *= timeLimitRatio
	}
	return roundUp(within)
}

// round and roundUp keep the encoded summary short.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// roundUp is for what must not be taken for less than it is, except for the errors of floating-point sums.
func roundUp(x float64) float64 { return math.Ceil(x*100-1e-6) / 100 }

func roundAll(amounts ...*overload.Amounts) {
	for _, a := range amounts {
		for r := range a {
			a[r] = round(a[r])
		}
	}
}

// stepRunTimes sums up the run times of a step's tasks that ran without a stop.
type stepRunTimes struct {
	sum, longest time.Duration
	count        int
}

// ratios returns the ratios of run times to estimates of a queue.
func (e *Engine) ratios(queue string) *overload.Ratios {
	r := e.runTimeRatios[queue]
	if r == nil {
		r = &overload.Ratios{}
		e.runTimeRatios[queue] = r
	}
	return r
}

// observeRunTime notes the run time of a run that ends.
func (e *Engine) observeRunTime(r *run, outcome RunOutcome) {
	// Only a task's first run by this owner counts: a later one may have resumed from a checkpoint.
	if r.task == nil || outcome != RunDone || r.Number != e.runNumberBase+1 {
		return
	}
	times := &r.task.step.runTimes
	took := e.now.Sub(r.orderedAt)
	times.sum += took
	times.longest = max(times.longest, took)
	times.count++
}

// recordRunTimes records the run times of a step that is done.
func (e *Engine) recordRunTimes(s *step) {
	if s.runTimes.count == 0 || s.def.Estimate <= 0 {
		return
	}
	estimate := s.def.Estimate.Seconds()
	e.ratios(s.job.queue.Name).Add(s.runTimes.sum.Seconds()/float64(s.runTimes.count)/estimate, s.runTimes.longest.Seconds()/estimate)
}
