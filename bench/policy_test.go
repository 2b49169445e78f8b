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
	// maxUrgentRatio is how much of the baseline's p99 wait urgent work may wait.
	maxUrgentRatio = 0.2
	// minPackingRatio is how much of the relaxed bound is in use while work waits on the Rimac load.
	minPackingRatio = 0.95
	// minFairness is the least that Jain's index of the teams' shares may be while all have work waiting.
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

// TestReport prints every figure of both offices over three seeds. It bounds nothing and is skipped in short runs.
func TestReport(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a report; run with -v")
	}
	for _, o := range workloadCases() {
		for s := uint64(1); s <= 3; s++ {
			load := o.newWorkload(s, reportHorizon)
			fmt.Printf("%s seed %d first-fit\n%s", o.name, s, Run(NewFirstFit(), load))
			fmt.Printf("%s seed %d scheduler\n%s", o.name, s, Run(scheduler.New(o.policy), load))
		}
	}
}

// The runs that several tests judge.
var (
	galwadBaseline = sync.OnceValue(func() *Result { return Run(NewFirstFit(), Galwad(seed, boundHorizon)) })
	galwadResult   = sync.OnceValue(func() *Result { return Run(scheduler.New(GalwadPolicy()), Galwad(seed, boundHorizon)) })
	rimacResult    = sync.OnceValue(func() *Result { return Run(scheduler.New(RimacPolicy()), Rimac(seed, boundHorizon)) })
)

// TestReportSharding prints what dividing the cell into shards costs. It bounds nothing and is skipped in short runs.
func TestReportSharding(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a report; run with -v")
	}
	for _, o := range workloadCases() {
		load := o.newWorkload(seed, boundHorizon)
		for _, perZone := range []int{0, 1, 2} {
			p := Scheduler(scheduler.New(o.policy))
			if perZone > 0 {
				p = NewSharded(o.policy, 4, perZone)
			}
			fmt.Printf("%s, %d shards\n%s", o.name, max(4*perZone, 1), Run(p, load))
		}
	}
}

func TestGalwadUrgentWorkWaitsLittle(t *testing.T) {
	base, got := galwadBaseline(), galwadResult()
	if b, g := base.WaitQuantile("urgent", 0.99), got.WaitQuantile("urgent", 0.99); float64(g) > maxUrgentRatio*float64(b) {
		t.Errorf("urgent p99 wait %s, baseline %s", g, b)
	}
	if g := got.WaitQuantile("urgent", 0.99); g > GalwadPolicy().UrgentWait {
		t.Errorf("urgent p99 wait %s, promised %s", g, GalwadPolicy().UrgentWait)
	}
}

// TestGalwadPackingIsNoWorse compares the share of each pool in use over the whole run, less what stops made to be redone.
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
		t.Errorf("packing is %.4f of the relaxed bound, want %.2f", r, minPackingRatio)
	}
}

func TestNoGangStarves(t *testing.T) {
	for name, run := range map[string]*Result{"galwad": galwadResult(), "rimac": rimacResult()} {
		if n := run.Starved["normal gang"]; n > 0 {
			t.Errorf("%s: %d gang tasks that arrived in the first half did not start", name, n)
		}
	}
}

// TestBatchWorkAges offers more normal work than the cell runs, which would keep batch work out for good.
func TestBatchWorkAges(t *testing.T) {
	policy := RimacPolicy()
	policy.AgeingStep = 10 * time.Minute
	if n := Run(scheduler.New(policy), Overload(seed, boundHorizon)).Starved["batch"]; n > 0 {
		t.Errorf("%d batch tasks that arrived in the first half did not start", n)
	}
	policy.AgeingStep = 0
	if n := Run(scheduler.New(policy), Overload(seed, boundHorizon)).Starved["batch"]; n == 0 {
		t.Error("no batch task starves without ageing: the load does not show what ageing does")
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
	load := Backlog(seed, time.Hour/2)
	base, got := jainIndex(Run(NewFirstFit(), load)), jainIndex(Run(scheduler.New(RimacPolicy()), load))
	t.Logf("Jain's index: first-fit %.4f, scheduler %.4f", base, got)
	if got < minFairness {
		t.Errorf("Jain's index of the teams' shares is %.4f (baseline %.4f), want %.2f", got, base, minFairness)
	}
}

// jainIndex is Jain's index of the teams' work: 1 if all are equal, 1/teams if one has everything.
func jainIndex(r *Result) float64 {
	sum, squares := 0.0, 0.0
	for _, work := range r.TeamUsage {
		sum += work
		squares += work * work
	}
	return sum * sum / (teamCount * squares)
}
