package owner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/overload"
)

// twoBurstsScenario is a pool of 250 workers in which a burst of jobs with tasks of 0.6 s at priority 0 meets one of jobs with tasks of
// 4.5 s at priority 2. The usual load takes 73% of the pool. During the bursts the jobs of priority 0 alone ask for four times its
// capacity. No job needs permits.
func twoBurstsScenario() loadScenario {
	return loadScenario{
		helpers: 34, roundInterval: 10 * time.Millisecond, goodEstimates: true,
		arrivalDuration: 9 * time.Second, burstFrom: 3 * time.Second, burstTo: 8 * time.Second, burstFactor: 18,
		pools: []loadPool{{"sheets", 250, graph.Resources{MilliCPU: 64000, MemoryMB: 131072}}},
		kinds: []loadKind{
			{
				name: "quick", perSecond: 36, steps: 1, extraStepShare: 0.5, width: 10, work: 600 * time.Millisecond,
				claim: graph.Resources{MilliCPU: 11000, MemoryMB: 11000}, allowedShare: 0.7, value: 0.6,
				queue: graph.Queue{Name: "quick", Pool: "sheets", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 300 * time.Millisecond},
			},
			{
				name: "wide", perSecond: 2.5, steps: 2, width: 20, work: 4500 * time.Millisecond,
				claim: graph.Resources{MilliCPU: 18000, MemoryMB: 19000}, allowedShare: 0.45, value: 4.7, checkpoints: true,
				queue: graph.Queue{Name: "wide", Pool: "sheets", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second},
			},
		},
	}
}

// urgentWideScenario is twoBurstsScenario with the priorities and the sizes of tasks exchanged: jobs with tasks of 4.5 s come before
// those with tasks of 0.6 s, which don't fit beside them. The usual load goes on for long enough that the owner knows the run times.
func urgentWideScenario() loadScenario {
	scenario := twoBurstsScenario()
	quick, wide := &scenario.kinds[0], &scenario.kinds[1]
	quick.queue.Priority, wide.queue.Priority = wide.queue.Priority, quick.queue.Priority
	quick.claim, wide.claim = wide.claim, quick.claim
	scenario.burstFactor = 6
	scenario.burstFrom, scenario.burstTo, scenario.arrivalDuration = 15*time.Second, 21*time.Second, 22*time.Second
	return scenario
}

// refuseOverload makes the simulation refuse jobs by a summary that is up to helloInterval and backlogInterval old.
func (s *loadSim) refuseOverload() {
	var summary overload.Summary
	var at monotime.Instant
	rng := rand.New(rand.NewPCG(1, 2))
	s.refuses = func(_ graph.JobID, j *loadJob) bool {
		if at == 0 || s.now.Sub(at) > helloInterval+backlogInterval {
			summary, at = s.engine.Backlog(), s.now
		}
		job, ok := overload.NewJob(&s.scenario.kinds[j.kind].queue, j.spec)
		return ok && summary.Decide(&job, rng.Float64()).Refuse
	}
}

// refusalResult compares a simulation with refusals to the same one without.
type refusalResult struct {
	jobs, refused int
	// inTime and late are how many of the refused jobs would have been completed in time, and late but before they are worthless.
	inTime, late int
	// valueWithout and valueWith are the shares of the value that is earned, acceptedWithout and acceptedWith the same for the
	// jobs that are not refused.
	valueWithout, valueWith, acceptedWithout, acceptedWith float64
}

func (j *loadJob) earned() float64 {
	switch {
	case !j.done || j.took > overload.LateObjectives*j.targetTime:
		return 0
	case j.took > j.targetTime:
		return j.value / 5
	}
	return j.value
}

func compareRefusal(t *testing.T, scenario loadScenario) (r refusalResult) {
	without, with := newLoadSim(t, scenario, 1), newLoadSim(t, scenario, 1)
	without.run()
	with.refuseOverload()
	with.run()
	var full, acceptedFull float64
	for id, j := range with.jobs {
		other := without.jobs[id]
		r.jobs++
		full += j.value
		r.valueWithout += other.earned()
		r.valueWith += j.earned()
		if !j.refused {
			acceptedFull += j.value
			r.acceptedWithout += other.earned()
			r.acceptedWith += j.earned()
			continue
		}
		r.refused++
		switch earned := other.earned(); {
		case earned == other.value:
			r.inTime++
		case earned > 0:
			r.late++
		}
	}
	r.valueWithout /= full
	r.valueWith /= full
	r.acceptedWithout /= acceptedFull
	r.acceptedWith /= acceptedFull
	return r
}

// Two bursts meet, with good estimates and with wrong ones. No job may be refused that would have been completed before it is
// worthless, and the jobs that are accepted must earn no less than without refusals.
//
// Jobs of priority 0 are not refused although most of them are late: what is ahead of them are jobs like themselves, which expire
// first, so that none is certain to be late. Jobs behind urgent work with long objectives are certain to be.
func TestRefusalsWhenTwoBurstsMeet(t *testing.T) {
	const maxValueLoss = 0.005
	errors := map[string]func(*rand.Rand) float64{
		"good estimates":          nil,
		"all ten times too long":  func(*rand.Rand) float64 { return 10 },
		"all ten times too short": func(*rand.Rand) float64 { return 0.1 },
		"each wrong by up to ten": func(rng *rand.Rand) float64 { return math.Pow(10, 2*rng.Float64()-1) },
	}
	for _, c := range []struct {
		name     string
		scenario loadScenario
		// refuses is whether jobs are to be refused with good estimates.
		refuses bool
	}{
		{"quick work is urgent", twoBurstsScenario(), false},
		{"long work is urgent", urgentWideScenario(), true},
	} {
		for name, estimateError := range errors {
			t.Run(c.name+", "+name, func(t *testing.T) {
				scenario := c.scenario
				scenario.estimateError = estimateError
				r := compareRefusal(t, scenario)
				t.Logf("%d jobs, %d refused, of which %d would have been completed in time and %d late; value share of all %.3f without, %.3f with, of the accepted %.3f without, %.3f with",
					r.jobs, r.refused, r.inTime, r.late, r.valueWithout, r.valueWith, r.acceptedWithout, r.acceptedWith)
				if estimateError == nil && (r.refused > 0) != c.refuses {
					t.Errorf("%d jobs refused, want some: %t", r.refused, c.refuses)
				}
				if r.inTime+r.late > 0 {
					t.Errorf("%d of the refused jobs would have been completed before they are worthless, want none", r.inTime+r.late)
				}
				if r.acceptedWith < r.acceptedWithout-maxValueLoss {
					t.Errorf("value share of the accepted jobs %.3f with refusals, %.3f without", r.acceptedWith, r.acceptedWithout)
				}
			})
		}
	}
}
