package bench

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"laburnumpoint/internal/scheduler"
)

const (
	seed          = 1
	reportHorizon = 6 * time.Hour
	boundHorizon  = 2 * time.Hour
	// maxUrgentRatio bounds the p99 wait time of urgent tasks as a share of the baseline's.
	maxUrgentRatio = 0.2
	// minPackingRatio is the least share of ScarcestBound that is in use while tasks wait in the Rimac workload.
	minPackingRatio = 0.95
	// minFairness is the least Jain's index of the teams' usage while all teams have tasks waiting.
	minFairness = 0.9
)

type workloadCase struct {
	name        string
	newWorkload func(uint64, time.Duration) *Workload
	policy      scheduler.Policy
}

func workloadCases() []workloadCase {
	return []workloadCase{{"galwad", Galwad, GalwadPolicy()}, {"rimac", Rimac, RimacPolicy()}}
}

// TestReport prints all results of both workloads for three seeds. It checks no bounds and is skipped without -v.
func TestReport(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a report; run with -v")
	}
	for _, c := range workloadCases() {
		for s := uint64(1); s <= 3; s++ {
			workload := c.newWorkload(s, reportHorizon)
			fmt.Printf("%s seed %d first-fit\n%s", c.name, s, Run(NewFirstFit(), workload))
			fmt.Printf("%s seed %d scheduler\n%s", c.name, s, Run(scheduler.New(c.policy), workload))
		}
	}
}

// Results that several tests check.
var (
	galwadBaseline = sync.OnceValue(func() *Result { return Run(NewFirstFit(), Galwad(seed, boundHorizon)) })
	galwadResult   = sync.OnceValue(func() *Result { return Run(scheduler.New(GalwadPolicy()), Galwad(seed, boundHorizon)) })
	rimacResult    = sync.OnceValue(func() *Result { return Run(scheduler.New(RimacPolicy()), Rimac(seed, boundHorizon)) })
)

// TestReportSharding prints the results with the cell divided into different numbers of shards. It checks no bounds and is
// skipped without -v.
func TestReportSharding(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a report; run with -v")
	}
	for _, c := range workloadCases() {
		workload := c.newWorkload(seed, boundHorizon)
		for _, perZone := range []int{0, 1, 2} {
			p := Scheduler(scheduler.New(c.policy))
			if perZone > 0 {
				p = NewSharded(c.policy, 4, perZone)
			}
			fmt.Printf("%s, %d shards\n%s", c.name, max(4*perZone, 1), Run(p, workload))
		}
	}
}

func TestGalwadUrgentWorkWaitsLittle(t *testing.T) {
	base, got := galwadBaseline(), galwadResult()
	if b, g := base.WaitQuantile("urgent", 0.99), got.WaitQuantile("urgent", 0.99); float64(g) > maxUrgentRatio*float64(b) {
		t.Errorf("urgent p99 wait %s, baseline %s", g, b)
	}
	if g := got.WaitQuantile("urgent", 0.99); g > GalwadPolicy().UrgentWait {
		t.Errorf("urgent p99 wait %s, want at most the UrgentWait of the policy, %s", g, GalwadPolicy().UrgentWait)
	}
}

// TestGalwadPackingIsNoWorse compares the share of each pool in use over the whole run, less what restores
// after stops take, with that of the baseline.
func TestGalwadPackingIsNoWorse(t *testing.T) {
	base, got := galwadBaseline(), galwadResult()
	for _, pool := range []string{callsheet, media} {
		if b, g := base.OverallPacking(pool), got.OverallPacking(pool); g < b {
			t.Errorf("%s: %.4f in use, baseline %.4f", pool, g, b)
		}
	}
}

func TestRimacPackingNearsTheRelaxedBound(t *testing.T) {
	if r := rimacResult().PackingRatio(); r < minPackingRatio {
		t.Errorf("packing is %.4f of the relaxed bound, want at least %.2f", r, minPackingRatio)
	}
}

func TestNoGangStarves(t *testing.T) {
	for name, run := range map[string]*Result{"galwad": galwadResult(), "rimac": rimacResult()} {
		if n := run.Starved["normal gang"]; n > 0 {
			t.Errorf("%s: %d gang tasks that arrived in the first half did not start", name, n)
		}
	}
}

// TestBatchWorkAges offers more normal tasks than the cell can run, so that batch tasks would never start without ageing.
func TestBatchWorkAges(t *testing.T) {
	policy := RimacPolicy()
	policy.AgeingStep = 10 * time.Minute
	if n := Run(scheduler.New(policy), Overload(seed, boundHorizon)).Starved["batch"]; n > 0 {
		t.Errorf("%d batch tasks that arrived in the first half did not start", n)
	}
	policy.AgeingStep = 0
	if n := Run(scheduler.New(policy), Overload(seed, boundHorizon)).Starved["batch"]; n == 0 {
		t.Error("no batch task starves without ageing, so the workload does not show the effect of ageing")
	}
}

func TestNoWorkerIsOverfull(t *testing.T) {
	for name, run := range map[string]*Result{"galwad": galwadResult(), "rimac": rimacResult()} {
		if run.Overcommitted > 0 || run.Placements == 0 {
			t.Errorf("%s: %d of %d placements left a worker over its capacity", name, run.Overcommitted, run.Placements)
		}
	}
}

func TestTeamsWithBacklogShareEvenly(t *testing.T) {
	workload := Backlog(seed, time.Hour/2)
	base, got := jainIndex(Run(NewFirstFit(), workload)), jainIndex(Run(scheduler.New(RimacPolicy()), workload))
	t.Logf("Jain's index: first-fit %.4f, scheduler %.4f", base, got)
	if got < minFairness {
		t.Errorf("Jain's index of the teams' usage is %.4f (baseline %.4f), want at least %.2f", got, base, minFairness)
	}
}

// jainIndex returns Jain's index of the teams' usage: 1 if all are equal, 1/teamCount if one team uses everything.
func jainIndex(r *Result) float64 {
	sum, squares := 0.0, 0.0
	for _, work := range r.TeamUsage {
		sum += work
		squares += work * work
	}
	return sum * sum / (teamCount * squares)
}
