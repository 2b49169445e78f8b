package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// organisationFixture is a fixture whose jobs belong to organisations.
type organisationFixture struct{ *fixture }

func newOrganisationFixture(t *testing.T, workers int, cpu int64, organisations ...graph.Organisation) *organisationFixture {
	f := &organisationFixture{newFixture(t, 1)}
	f.advance(time.Second)
	for i := range workers {
		f.addWorker(fmt.Sprint("w", i), cpu)
	}
	f.SetOrganisations(organisations, RateOptions{Window: 5 * time.Second})
	return f
}

// limited returns an organisation with a limit on processors and a rate that no test exceeds.
func limited(name string, cpu int64) graph.Organisation {
	return graph.Organisation{Name: name, Weight: 1000, Limit: graph.Resources{MilliCPU: cpu}}
}

func (f *organisationFixture) submit(id, organisation string, queue graph.Queue, steps ...graph.Step) graph.JobID {
	f.AddJob(JobInput{ID: graph.JobID(id), Queue: queue, Organisation: organisation, Spec: &graph.Spec{Steps: steps}, ArrivedAt: f.virtualTime})
	return graph.JobID(id)
}

func withCPU(tasks int, cpu int64) graph.Step {
	return graph.Step{Count: tasks, Claim: graph.Resources{MilliCPU: cpu}, Estimate: time.Second}
}

func gangOf(tasks int, cpu int64) graph.Step {
	step := withCPU(tasks, cpu)
	step.Gang = true
	return step
}

// startsByJob carries out a plan and returns how many tasks of each job it starts.
func (f *organisationFixture) startsByJob() map[graph.JobID]int {
	jobs := make(map[graph.JobID]int)
	starts, _, _ := f.planByKind()
	for _, start := range starts {
		jobs[start.Task.Job]++
		f.HandleStartOutcome(start.Worker, start.RunKey, Started)
	}
	return jobs
}

// end ends the job's running tasks, up to the given number.
func (f *organisationFixture) end(id graph.JobID, tasks int) {
	for _, w := range f.workers {
		for key := range w.runs {
			if key.Task.Job == id && tasks > 0 {
				tasks--
				f.HandleReport(w.ID, f.virtualTime, endedReportPartial(w.lastEndSequence+1, key))
			}
		}
	}
}

func endedReportPartial(sequence uint64, key RunKey) Report {
	report := endedReport(sequence, key, RunDone)
	report.Partial = true
	return report
}

func expectStarts(t *testing.T, got map[graph.JobID]int, want map[graph.JobID]int) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("starts %v, want %v", got, want)
	}
}

// The limit admits what fits, and one task or gang too many where nothing could run otherwise. Two such exceptions at once, or a
// gang beyond the bound that is checked, would break the rule.
func TestLimitExceptions(t *testing.T) {
	cpu := func(n int64) graph.Resources { return graph.Resources{MilliCPU: n} }
	both := func(n, accelerators int64) graph.Resources {
		return graph.Resources{MilliCPU: n, Accelerators: accelerators}
	}
	cases := []struct {
		name                   string
		limit, used, need, one graph.Resources
		admits, never          bool
	}{
		{"fits exactly", cpu(100), cpu(60), cpu(40), cpu(40), true, false},
		{"one too many at half", cpu(100), cpu(50), cpu(51), cpu(51), false, false},
		{"larger than the rest below half", cpu(100), cpu(49), cpu(52), cpu(52), true, false},
		{"larger than the limit, none used", cpu(100), cpu(0), cpu(500), cpu(500), true, false},
		{"larger than the limit, exception active", cpu(100), cpu(500), cpu(500), cpu(500), false, false},
		{"resource without a limit", cpu(100), both(90, 50), both(10, 8), both(10, 8), true, false},
		{"other resource full, not needed", both(100, 8), both(10, 8), cpu(20), cpu(20), true, false},
		{"other resource beyond its limit, no second exception", both(100, 8), both(10, 9), cpu(95), cpu(95), false, false},
		{"one of two resources at half", both(100, 8), both(10, 4), both(10, 5), both(10, 5), false, false},
		{"gang fits", cpu(100), cpu(20), cpu(80), cpu(20), true, false},
		{"gang one task too many below half", cpu(100), cpu(40), cpu(80), cpu(20), true, false},
		{"gang two tasks too many below half", cpu(100), cpu(45), cpu(80), cpu(20), false, false},
		{"gang larger than the limit", cpu(100), cpu(0), cpu(130), cpu(26), true, false},
		{"gang larger than the limit beside others", cpu(100), cpu(10), cpu(130), cpu(26), false, false},
		{"gang beyond the checked bound", cpu(100), cpu(0), cpu(150), cpu(30), false, true},
		{"no limit", cpu(0), cpu(1000), cpu(1000), cpu(1000), true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := &organisation{limit: tc.limit}
			if got := o.admits(tc.used, tc.need, tc.one); got != tc.admits {
				t.Errorf("admits is %v, want %v", got, tc.admits)
			}
			if got := o.neverAdmits(tc.need, tc.one); got != tc.never {
				t.Errorf("neverAdmits is %v, want %v", got, tc.never)
			}
		})
	}
}

// A step that its organisation's limit blocked must start as soon as a run of the organisation ends, although the pool has been
// searched for it just before; the other organisation is not affected.
func TestBlockedStepStartsWhenARunOfItsOrganisationEnds(t *testing.T) {
	f := newOrganisationFixture(t, 3, 1000, limited("a", 250))
	f.submit("first", "a", plainQueue, withCPU(4, 100))
	f.submit("other", "b", plainQueue, withCPU(3, 100))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"first": 2, "other": 3})
	for range 3 {
		f.advance(time.Millisecond)
		expectStarts(t, f.startsByJob(), map[graph.JobID]int{})
	}
	f.end("other", 1)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{})
	f.end("first", 1)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"first": 1})
}

// A limit that becomes lower stops nothing, and nothing new starts until the usage has fallen. A higher one, or none, takes effect
// in the next plan.
func TestChangedLimit(t *testing.T) {
	f := newOrganisationFixture(t, 1, 2000, limited("a", 500))
	f.submit("j", "a", plainQueue, withCPU(20, 100))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"j": 5})
	f.SetOrganisations([]graph.Organisation{limited("a", 300)}, RateOptions{Window: time.Second})
	f.advance(time.Millisecond)
	starts, stops, _ := f.planByKind()
	if len(starts) != 0 || len(stops) != 0 {
		t.Fatalf("starts %v, stops %v after the limit became lower, want none", starts, stops)
	}
	f.end("j", 2)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{})
	f.end("j", 1)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"j": 1})
	f.SetOrganisations([]graph.Organisation{limited("a", 600)}, RateOptions{Window: time.Second})
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"j": 3})
	f.SetOrganisations(nil, RateOptions{Window: time.Second})
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"j": 11})
}

// Neither preemptions nor reservations, capacity holds or permit requests are made for what the limit forbids: they would take
// capacity from others for nothing.
func TestNothingIsDoneForWhatTheLimitForbids(t *testing.T) {
	f := newOrganisationFixture(t, 2, 1000, limited("a", 100))
	filling := withCPU(19, 100)
	filling.Checkpoints = true
	low := plainQueue
	low.Priority, low.Target = 2, time.Hour
	f.submit("using", "a", plainQueue, withCPU(1, 100))
	f.submit("filling", "b", low, filling)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"using": 1, "filling": 19})
	f.submit("urgent", "a", plainQueue, withCPU(1, 100))
	f.submit("gang", "a", plainQueue, gangOf(2, 50))
	asking := plainQueue
	asking.Permit = &graph.PermitLatency{Base: time.Millisecond}
	f.submit("asking", "a", asking, withCPU(1, 100))
	f.end("filling", 10)
	for range 5 {
		f.advance(time.Second)
		starts, stops, requests := f.planByKind()
		if len(starts)+len(stops)+len(requests) != 0 {
			t.Fatalf("starts %v, stops %v, requests %v, want none", starts, stops, requests)
		}
	}
	if f.pools["p"].reservedCount != 0 {
		t.Errorf("%d workers reserved, want none", f.pools["p"].reservedCount)
	}
}

// A permit request that waits to be sent is dropped if the limit forbids its step's tasks by then.
func TestPermitRequestIsDroppedIfTheLimitIsUsedUp(t *testing.T) {
	f := newOrganisationFixture(t, 1, 1000, limited("a", 300))
	asking := plainQueue
	asking.Permit = &graph.PermitLatency{Base: time.Millisecond}
	f.submit("asking", "a", asking, withCPU(1, 200))
	if _, _, requests := f.planByKind(); len(requests) != 1 {
		t.Fatalf("%d requests, want one", len(requests))
	}
	urgent := plainQueue
	urgent.Target = time.Millisecond
	f.submit("urgent", "a", urgent, withCPU(2, 100))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"urgent": 2})
	if request, ok := f.PreparePermitRequest(StepID{Job: "asking"}); ok {
		t.Errorf("permit request %v, want none", request)
	}
}

// A gang whose members don't fit into the limit must get its turn: the later tasks of its organisation must not take each part of
// the limit that becomes free.
func TestGangIsNotStarvedByItsOrganisationsOtherTasks(t *testing.T) {
	f := newOrganisationFixture(t, 4, 1000, limited("a", 1000))
	low := plainQueue
	low.Priority = 2
	f.submit("small", "a", low, withCPU(200, 100))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"small": 10})
	f.submit("gang", "a", plainQueue, gangOf(4, 200))
	for second := range 9 {
		f.advance(100 * time.Millisecond)
		f.end("small", 1)
		starts := f.startsByJob()
		if starts["gang"] == 4 {
			return
		}
		if starts["small"] > 0 {
			t.Fatalf("small task started while the gang waits, round %d", second)
		}
	}
	t.Fatal("the gang did not start")
}

// While a step that needs more than is left of the limit waits, others of its organisation must start within 3 s as long as less
// than half of the limit is used.
func TestHeadDoesNotBlockItsOrganisationBelowHalf(t *testing.T) {
	f := newOrganisationFixture(t, 4, 1000, limited("a", 1000))
	service := withCPU(1, 400)
	service.LongRunning = true
	f.submit("service", "a", plainQueue, service)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"service": 1})
	f.submit("gang", "a", plainQueue, gangOf(9, 100))
	low := plainQueue
	low.Priority = 2
	f.startsByJob()
	f.submit("small", "a", low, withCPU(1, 50))
	for range 30 {
		f.advance(100 * time.Millisecond)
		if f.startsByJob()["small"] == 1 {
			return
		}
	}
	t.Fatal("the small task did not start within 3 s")
}

// After a takeover the workers that have not reported may run tasks of the organisation's jobs. New jobs must not start in their
// place, but only the capacity of those workers counts.
func TestTasksThatMayRunCountAfterTakeover(t *testing.T) {
	f := &organisationFixture{newFixture(t, 2)}
	f.SetOrganisations([]graph.Organisation{limited("a", 1500)}, RateOptions{Window: time.Second})
	f.advance(time.Second)
	for _, id := range []string{"w0", "w1", "w2"} {
		f.AwaitReport(f.addWorker(id, 1000), "p")
	}
	f.AddJob(JobInput{ID: "old", Queue: plainQueue, Organisation: "a", Spec: &graph.Spec{Steps: []graph.Step{withCPU(20, 100)}}, ArrivedAt: f.virtualTime, Unconfirmed: true})
	f.submit("new", "a", plainQueue, withCPU(10, 100))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{})
	f.HandleReport("w0", f.virtualTime, runningReport(runKey("old", 0, 0, 1)))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{})
	f.HandleReport("w1", f.virtualTime, Report{})
	// 100 are used, and the worker without a report may use 1,000 more.
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"new": 4})
	f.HandleReport("w2", f.virtualTime, Report{})
	starts := f.startsByJob()
	if total := starts["new"] + starts["old"]; total != 10 {
		t.Errorf("starts %v once all have reported, want ten", starts)
	}
}

// The runs of a job that was cancelled or failed just before a takeover may not have been stopped yet. Those of a completed job have
// ended.
func TestRunsOfEndedJobsCountAfterTakeover(t *testing.T) {
	for state, starts := range map[graph.JobState]int{graph.Cancelled: 2, graph.Failed: 2, graph.Completed: 5} {
		f := &organisationFixture{newFixture(t, 2)}
		f.advance(time.Second)
		f.SetOrganisations([]graph.Organisation{limited("a", 500)}, RateOptions{Window: time.Second})
		f.AwaitReport(f.addWorker("w0", 1000), "p")
		f.addWorker("w1", 1000)
		f.AddJob(JobInput{ID: "old", Queue: plainQueue, Organisation: "a", Spec: &graph.Spec{Steps: []graph.Step{withCPU(3, 100)}}, Progress: &Progress{State: state, Started: true}, Unconfirmed: true})
		f.submit("new", "a", plainQueue, withCPU(9, 100))
		expectStarts(t, f.startsByJob(), map[graph.JobID]int{"new": starts})
		f.HandleReport("w0", f.virtualTime, Report{})
		if total := f.startsByJob()["new"] + starts; total != 5 {
			t.Errorf("%d starts beside a %s job once all have reported, want 5", total, state)
		}
	}
}

// A task that may be copied can have a second run on a worker that has not reported.
func TestCopiesMayRunAfterTakeover(t *testing.T) {
	f := &organisationFixture{newFixture(t, 2)}
	f.advance(time.Second)
	f.SetOrganisations([]graph.Organisation{limited("a", 500)}, RateOptions{Window: time.Second})
	f.AwaitReport(f.addWorker("w0", 1000), "p")
	f.AwaitReport(f.addWorker("w1", 1000), "p")
	copied := withCPU(1, 200)
	copied.Speculative = true
	f.AddJob(JobInput{ID: "old", Queue: plainQueue, Organisation: "a", Spec: &graph.Spec{Steps: []graph.Step{copied}}, ArrivedAt: f.virtualTime, Unconfirmed: true})
	f.submit("new", "a", plainQueue, withCPU(3, 100))
	f.HandleReport("w0", f.virtualTime, runningReport(runKey("old", 0, 0, 1)))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"new": 1})
	f.HandleReport("w1", f.virtualTime, Report{})
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"new": 2})
}

// A new owner without a configuration doesn't know the limits: it must not start what may exceed them.
func TestJobsOfOrganisationsWaitForTheConfiguration(t *testing.T) {
	f := &organisationFixture{newFixture(t, 1)}
	f.AwaitOrganisations()
	f.addWorker("w", 1000)
	f.submit("named", "a", plainQueue, withCPU(1, 100))
	f.submit("plain", "", plainQueue, withCPU(1, 100))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"plain": 1})
	if explanation := strings.Join(f.Explain("named", 0), "\n"); !strings.Contains(explanation, "configuration") {
		t.Errorf("explanation %q, want the configuration in it", explanation)
	}
	f.SetOrganisations([]graph.Organisation{limited("a", 1000)}, RateOptions{Window: time.Second})
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"named": 1})
}

// Organisations that neither the configuration nor a job names are forgotten, or else they add up.
func TestUnusedOrganisationsAreForgotten(t *testing.T) {
	f := newOrganisationFixture(t, 1, 1000, limited("a", 500))
	f.submit("j", "a", plainQueue, withCPU(1, 100))
	f.startsByJob()
	f.SetOrganisations(nil, RateOptions{Window: time.Second})
	if len(f.organisations) != 1 {
		t.Fatalf("%d organisations, want one with a job", len(f.organisations))
	}
	f.end("j", 1)
	f.TakeDirty(10)
	if !f.Forget("j") {
		t.Fatal("the job is still known")
	}
	f.SetOrganisations(nil, RateOptions{Window: time.Second})
	if len(f.organisations) != 0 {
		t.Errorf("%d organisations, want none", len(f.organisations))
	}
}
