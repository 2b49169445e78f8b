package dispatch

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

// rated returns an organisation without a limit whose rate is the given number of jobs a second.
func rated(name string, jobsPerSecond float64) graph.Organisation {
	return graph.Organisation{Name: name, Weight: jobsPerSecond}
}

// An organisation that sends more than its rate must not take capacity from those that don't, even with jobs of high priority.
func TestJobsBeyondTheRateGoLast(t *testing.T) {
	f := newOrganisationFixture(t, 1, 300, rated("hot", 0.4), rated("calm", 0.4))
	low := plainQueue
	low.Priority = 2
	for i := range 5 {
		f.submit(fmt.Sprint("hot", i), "hot", plainQueue, withCPU(1, 100))
	}
	f.submit("calm", "calm", low, withCPU(1, 100))
	f.submit("public", "", low, withCPU(1, 100))
	// A window of 5 s at 0.4 jobs a second admits two jobs.
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"hot0": 1, "hot1": 1, "calm": 1})
	f.end("hot0", 1)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"public": 1})
	f.end("calm", 1)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"hot2": 1})
}

// The rate is counted by arrival, so that a new owner that adds the same jobs in order of arrival decides alike.
func TestLanesAreTheSameAfterTakeover(t *testing.T) {
	lanes := func(epoch uint64, arrivals []time.Duration, lateConfiguration bool) (got []int) {
		f := &organisationFixture{newFixture(t, epoch)}
		if !lateConfiguration {
			f.SetOrganisations([]graph.Organisation{rated("a", 2)}, RateOptions{Window: time.Second})
		}
		f.advance(time.Hour)
		for i, at := range arrivals {
			f.AddJob(JobInput{ID: graph.JobID(fmt.Sprintf("j%02d", i)), Queue: plainQueue, Organisation: "a", Spec: &graph.Spec{Steps: []graph.Step{withCPU(1, 1)}}, ArrivedAt: 1 + f.virtualTime.Add(at-time.Hour), Unconfirmed: epoch > 1})
		}
		if lateConfiguration {
			f.SetOrganisations([]graph.Organisation{rated("a", 2)}, RateOptions{Window: time.Second})
		}
		for i := range arrivals {
			got = append(got, f.jobs[graph.JobID(fmt.Sprintf("j%02d", i))].lane)
		}
		return got
	}
	ms := time.Millisecond
	arrivals := []time.Duration{0, 0, 0, 100 * ms, 500 * ms, 600 * ms, 1000 * ms, 5000 * ms, 5001 * ms, 5002 * ms}
	want := fmt.Sprint([]int{0, 0, 1, 1, 1, 1, 0, 0, 0, 1})
	for _, tc := range []struct {
		name  string
		epoch uint64
		late  bool
	}{{"first owner", 1, false}, {"after a takeover", 2, false}, {"configuration after the jobs", 2, true}} {
		if got := fmt.Sprint(lanes(tc.epoch, arrivals, tc.late)); got != want {
			t.Errorf("%s: lanes %s, want %s", tc.name, got, want)
		}
	}
}

// A weight below one job in the window still admits one job at a time, and an organisation that the configuration doesn't name has
// the default weight.
func TestSmallestRates(t *testing.T) {
	f := newOrganisationFixture(t, 1, 1000, rated("rare", 0.1))
	for _, tc := range []struct {
		id, organisation string
		lane             int
	}{{"a", "rare", 0}, {"b", "rare", 1}, {"c", "unnamed", 0}, {"d", "unnamed", 0}, {"e", "", 0}} {
		f.submit(tc.id, tc.organisation, plainQueue, withCPU(1, 1))
		if got := f.jobs[graph.JobID(tc.id)].lane; got != tc.lane {
			t.Errorf("job %s of %q in lane %d, want %d", tc.id, tc.organisation, got, tc.lane)
		}
	}
}

// Tasks beyond the rate must not take the room of tasks within it that only wait for their permits.
func TestRoomOfTasksThatWaitForPermitsIsNotTaken(t *testing.T) {
	f := newOrganisationFixture(t, 1, 1000, rated("hot", 0.1), rated("calm", 10))
	f.submit("within", "hot", plainQueue, withCPU(1, 100))
	asking := plainQueue
	asking.Permit = &graph.PermitLatency{Base: 100 * time.Millisecond}
	f.submit("asking", "calm", asking, withCPU(6, 100))
	f.submit("beyond", "hot", plainQueue, withCPU(9, 100))
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"within": 1, "beyond": 3})
	f.HandlePermits(StepID{Job: "asking"}, []WorkerID{"w0"}, map[WorkerID]string{"w0": "t"}, time.Second, true)
	expectStarts(t, f.startsByJob(), map[graph.JobID]int{"asking": 6})
}

// Runs beyond the rate give way to any job within its rate, but never the reverse.
func TestRunsBeyondTheRateArePreemptedByAnyJobWithinIt(t *testing.T) {
	high, low := plainQueue, plainQueue
	low.Priority, low.Target = 2, time.Hour
	for _, tc := range []struct {
		name            string
		runs, waits     string
		runsQ, waitsQ   graph.Queue
		checkpoints     bool
		wantPreemptions int
	}{
		{"beyond the rate gives way", "hot", "calm", high, low, true, 2},
		{"not without checkpoints", "hot", "calm", high, low, false, 0},
		{"within the rate stays", "calm", "hot", low, high, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newOrganisationFixture(t, 1, 400, rated("hot", 0.1), rated("calm", 10))
			f.submit("first", "hot", plainQueue, withCPU(2, 1)) // uses up the rate of hot
			running := withCPU(3, 100)
			running.Checkpoints = tc.checkpoints
			f.submit("running", tc.runs, tc.runsQ, running)
			expectStarts(t, f.startsByJob(), map[graph.JobID]int{"first": 2, "running": 3})
			f.advance(3 * time.Second) // beyond the objective of a job of high priority
			f.submit("waiting", tc.waits, tc.waitsQ, withCPU(2, 130))
			_, stops, _ := f.planByKind()
			if len(stops) != tc.wantPreemptions {
				t.Errorf("%d preemptions, want %d", len(stops), tc.wantPreemptions)
			}
		})
	}
}

// A permit request beyond the rate must wait behind all others.
func TestPermitRequestsBeyondTheRateGoLast(t *testing.T) {
	f := newOrganisationFixture(t, 1, 1000, rated("hot", 0.1))
	asking := plainQueue
	asking.Permit = &graph.PermitLatency{Base: time.Millisecond}
	f.submit("within", "hot", asking, withCPU(1, 100))
	f.submit("beyond", "hot", asking, withCPU(1, 100))
	_, _, requests := f.planByKind()
	if len(requests) != 2 || requests[0].Step.Job != "within" || requests[1].Demotion < laneDemotion || requests[0].Demotion >= laneDemotion {
		t.Errorf("requests %+v, want that beyond the rate demoted", requests)
	}
}
