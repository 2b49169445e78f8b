package owner

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
)

var (
	// usersRates are the users' settings.
	usersRates = dispatch.RateOptions{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	// unmeteredRates allow any number of jobs, so that only the shares differ.
	unmeteredRates = dispatch.RateOptions{Window: time.Second, Slack: 1_000_000}
)

// contendedScenario is a cell that equal organisations fill nearly, each with jobs of all kinds. From 8 s to 22 s the first hot
// organisations send hotFactor times their usual number of jobs. The rates of all are a fifth above the usual.
func contendedScenario(workers, organisations, hot int, hotFactor float64, rates dispatch.RateOptions) loadScenario {
	kinds := []loadKind{
		{
			name: "quick", perSecond: 9, steps: 1, extraStepShare: 0.5, width: 10, work: 580 * time.Millisecond,
			claim: graph.Resources{MilliCPU: 11000, MemoryMB: 14000}, allowedShare: 0.7, value: 0.6,
			queue: graph.Queue{Name: "quick", Pool: "main", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 270 * time.Millisecond, Permit: permitCost(17, 0.23)},
		},
		{
			name: "gang", perSecond: 1, steps: 1, width: 4, work: 3500 * time.Millisecond, gang: true, accelerators: []int64{2},
			claim: graph.Resources{MilliCPU: 31000, MemoryMB: 40000}, allowedShare: 0.5, value: 3.3,
			queue: graph.Queue{Name: "gang", Pool: "main", Priority: 1, MaxAttempts: 2, Stretch: 2.2, Target: time.Second, Permit: permitCost(300, 4)},
		},
		{
			name: "wide", perSecond: 0.62, steps: 2, width: 20, work: 4600 * time.Millisecond,
			claim: graph.Resources{MilliCPU: 18000, MemoryMB: 20000}, allowedShare: 0.45, value: 4.7, checkpoints: true,
			queue: graph.Queue{Name: "wide", Pool: "main", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second, Permit: permitCost(150, 2.1)},
		},
	}
	s := loadScenario{
		helpers: 9, pools: []loadPool{{"main", workers, graph.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}}},
		arrivalDuration: 30 * time.Second, rates: rates,
	}
	total := 0.0
	for _, k := range kinds {
		total += k.perSecond
	}
	for i := range organisations {
		name := organisationName(i)
		s.organisations = append(s.organisations, graph.Organisation{Name: name, Weight: 1.2 * total / float64(organisations)})
		for _, k := range kinds {
			k.perSecond /= float64(organisations)
			k.organisation = name
			s.kinds = append(s.kinds, k)
			if i < hot {
				k.from, k.to = 8*time.Second, 22*time.Second
				k.perSecond *= hotFactor - 1
				s.kinds = append(s.kinds, k)
			}
		}
	}
	return s
}

func organisationName(i int) string { return fmt.Sprint("organisation-", i) }

// resultsBeside runs a scenario with several seeds and returns the results of the well-behaved organisations' jobs, and of those of
// the first hot organisations.
func resultsBeside(t *testing.T, name string, scenario loadScenario, hot int) (calm, beyond loadResult) {
	isHot := make(map[string]bool)
	for i := range hot {
		isHot[organisationName(i)] = true
	}
	for seed := range uint64(organisationSeeds) {
		for k, r := range runScenario(t, scenario, seed+1) {
			sum := &calm
			if isHot[scenario.kinds[k].organisation] {
				sum = &beyond
			}
			sum.jobs += r.jobs
			sum.inTime += r.inTime
			sum.earnedValue += r.earnedValue
			sum.fullValue += r.fullValue
		}
	}
	t.Logf("%-36s %d jobs of well-behaved organisations: %.3f in time, value share %.3f; %d of hot ones: %.3f, %.3f",
		name, calm.jobs, calm.inTimeShare(), calm.valueShare(), beyond.jobs, beyond.inTimeShare(), beyond.valueShare())
	return calm, beyond
}

func (r loadResult) inTimeShare() float64 { return float64(r.inTime) / float64(r.jobs) }

const organisationSeeds = 4

// One organisation sends five times its usual load into a cell that is nearly full. The jobs of the others must meet their objectives
// more often than in order of arrival, both where the excess is beyond the organisation's rate and where only the shares tell.
func TestWellBehavedOrganisationsBesideAHotOne(t *testing.T) {
	for _, workers := range []int{46, 39} {
		unordered := contendedScenario(workers, 6, 1, 5, dispatch.RateOptions{})
		unordered.organisations = nil
		before, _ := resultsBeside(t, fmt.Sprintf("%d workers, no organisations", workers), unordered, 1)
		byRate, _ := resultsBeside(t, fmt.Sprintf("%d workers, rates and shares", workers), contendedScenario(workers, 6, 1, 5, usersRates), 1)
		byShare, _ := resultsBeside(t, fmt.Sprintf("%d workers, shares alone", workers), contendedScenario(workers, 6, 1, 5, unmeteredRates), 1)
		if byRate.inTimeShare() <= before.inTimeShare() || byShare.inTimeShare() <= before.inTimeShare() {
			t.Errorf("%d workers: %.3f in time by rate, %.3f by share, want more than %.3f without organisations", workers, byRate.inTimeShare(), byShare.inTimeShare(), before.inTimeShare())
		}
	}
}

// Three organisations send five times their usual load at the same time. The others must still be served, and none may use more than
// its limit and one task.
func TestThreeHotOrganisations(t *testing.T) {
	unordered := contendedScenario(60, 10, 3, 5, dispatch.RateOptions{})
	unordered.organisations = nil
	before, _ := resultsBeside(t, "three hot, no organisations", unordered, 3)
	scenario := contendedScenario(60, 10, 3, 5, usersRates)
	for i := range 3 {
		scenario.organisations[i].Limit = graph.Resources{MilliCPU: 960_000, MemoryMB: 1_900_000}
	}
	calm, hot := resultsBeside(t, "three hot, rates, shares and limits", scenario, 3)
	if calm.valueShare() <= before.valueShare() || calm.inTimeShare() < targetValueShare {
		t.Errorf("well-behaved organisations: value share %.3f, want more than %.3f without organisations; %.3f in time, want %.2f", calm.valueShare(), before.valueShare(), calm.inTimeShare(), targetValueShare)
	}
	if hot.inTime == 0 {
		t.Error("no job of a hot organisation is in time, want those within its rate served")
	}

	s := newLoadSim(t, scenario, 1)
	most := graph.Resources{}
	s.observe = func() {
		used := make(map[string]graph.Resources)
		for key := range s.runs {
			j := s.jobs[key.Task.Job]
			name := scenario.kinds[j.kind].organisation
			used[name] = used[name].Add(j.spec.Steps[key.Task.Step].Claim)
		}
		for _, o := range scenario.organisations[:3] {
			u := used[o.Name]
			most.MilliCPU = max(most.MilliCPU, u.MilliCPU)
			if u.MilliCPU > o.Limit.MilliCPU+62_000 || u.MemoryMB > o.Limit.MemoryMB+80_000 {
				t.Fatalf("%s uses %+v at %s, its limit is %+v", o.Name, u, time.Duration(s.now), o.Limit)
			}
		}
	}
	s.run()
	t.Logf("most that a hot organisation used: %d of %d thousandths of a core", most.MilliCPU, scenario.organisations[0].Limit.MilliCPU)
	if most.MilliCPU < scenario.organisations[0].Limit.MilliCPU*9/10 {
		t.Errorf("at most %d thousandths of a core used, want the limit of %d to matter", most.MilliCPU, scenario.organisations[0].Limit.MilliCPU)
	}
}
