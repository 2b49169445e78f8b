package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// shared returns an organisation without a limit, whose rate no test exceeds, with a share in proportion to the given weight.
func shared(name string, weight float64) graph.Organisation {
	return graph.Organisation{Name: name, Weight: 1000 * weight}
}

// runFor carries out plans every 50 ms for the given time, and ends each run when the job's run time has passed. It returns the
// processor time, in thousandths of a core times seconds, that each organisation's runs used, and each job's first start.
func (f *organisationFixture) runFor(d time.Duration, runTime func(task graph.TaskID) time.Duration) (used map[string]float64, firstStart map[graph.JobID]time.Duration) {
	const interval = 50 * time.Millisecond
	used, firstStart = make(map[string]float64), make(map[graph.JobID]time.Duration)
	began := f.virtualTime
	for f.virtualTime.Sub(began) < d {
		for id := range f.startsByJob() {
			if _, known := firstStart[id]; !known {
				firstStart[id] = f.virtualTime.Sub(began)
			}
		}
		f.advance(interval)
		for _, w := range f.workers {
			for key, r := range w.runs {
				used[r.organisation.name] += float64(r.allocation.MilliCPU) * interval.Seconds()
				if f.virtualTime.Sub(r.orderedAt) >= runTime(key.Task) {
					f.HandleReport(w.ID, f.virtualTime, endedReportPartial(w.lastEndSequence+1, key))
				}
			}
		}
	}
	return used, firstStart
}

// Organisations that always wait share a full cell in proportion to their weights, whatever the size of their tasks and the time at
// which their jobs are due. In order of due time the one with the earlier jobs would have all of it.
func TestFullCellIsSharedByWeight(t *testing.T) {
	for _, tc := range []struct {
		name             string
		weight           float64
		cpu              int64
		runTime          time.Duration
		minShare, mostOf float64
	}{
		{"equal", 1, 100, time.Second, 0.45, 0.55},
		{"double weight", 2, 100, time.Second, 0.6, 0.73},
		{"larger tasks", 1, 300, time.Second, 0.44, 0.56},
		{"longer tasks", 1, 100, 3 * time.Second, 0.43, 0.57},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newOrganisationFixture(t, 10, 1000, shared("a", tc.weight), shared("b", 1))
			early, late := plainQueue, plainQueue
			early.Target, late.Target = time.Hour, 2*time.Hour
			f.submit("late", "a", late, withCPU(5000, tc.cpu))
			f.submit("early", "b", early, withCPU(5000, 100))
			used, _ := f.runFor(40*time.Second, func(task graph.TaskID) time.Duration {
				if task.Job == "late" {
					return tc.runTime
				}
				return time.Second
			})
			if share := used["a"] / (used["a"] + used["b"]); share < tc.minShare || share > tc.mostOf {
				t.Errorf("organisation a used %.3f of the time in use, want %.2f to %.2f", share, tc.minShare, tc.mostOf)
			}
		})
	}
}

// Inside an organisation, and among organisations with about the same share, the job that is due first goes first; an organisation
// that is ahead goes behind within its priority only.
func TestOrderInsideABandIsByObjective(t *testing.T) {
	low := plainQueue
	low.Priority = 1
	small, equal, ahead := &organisation{}, &organisation{lead: shareBand / 2}, &organisation{lead: 3 * shareBand, band: 3}
	newStep := func(o *organisation, queue graph.Queue, lane int, due time.Duration) *organisationStep {
		return &organisationStep{o, queue, lane, due}
	}
	for _, tc := range []struct {
		name          string
		first, second *organisationStep
	}{
		{"one organisation, by due time", newStep(small, plainQueue, 0, 1), newStep(small, plainQueue, 0, 2)},
		{"same band, by due time", newStep(equal, plainQueue, 0, 1), newStep(small, plainQueue, 0, 2)},
		{"ahead goes behind", newStep(small, plainQueue, 0, 2), newStep(ahead, plainQueue, 0, 1)},
		{"priority before share", newStep(ahead, plainQueue, 0, 1), newStep(small, low, 0, 1)},
		{"rate before share", newStep(ahead, plainQueue, 0, 2), newStep(small, plainQueue, 1, 1)},
		{"rate before priority", newStep(ahead, low, 0, 2), newStep(nil, plainQueue, 1, 1)},
		{"no organisation counts as not ahead", newStep(nil, plainQueue, 0, 2), newStep(ahead, plainQueue, 0, 1)},
	} {
		if compareUrgency(tc.first.step(), tc.second.step()) >= 0 {
			t.Errorf("%s: wrong order", tc.name)
		}
	}
}

// organisationStep describes a step for the order.
type organisationStep struct {
	organisation *organisation
	queue        graph.Queue
	lane         int
	due          time.Duration
}

func (s *organisationStep) step() *step {
	j := &job{organisation: s.organisation, queue: s.queue, lane: s.lane}
	return &step{job: j, due: monotime.Instant(s.due)}
}

// An organisation that used an idle cell for long must not be kept from it for as long when others come.
func TestLeadIsBounded(t *testing.T) {
	f := newOrganisationFixture(t, 10, 1000, shared("busy", 1), shared("idle", 1))
	far := plainQueue
	far.Target = 10 * time.Hour
	f.submit("busy", "busy", far, withCPU(9000, 100))
	small := withCPU(9000, 1)
	small.MaxPerWorker = 1 // it always waits and uses little
	f.submit("small", "idle", far, small)
	second := func(graph.TaskID) time.Duration { return time.Second }
	f.runFor(2*time.Minute, second)
	if lead := f.organisations["busy"].lead; lead > maxShareLead {
		t.Errorf("lead of %s, want at most %s", lead, maxShareLead)
	}
}

// A gang that needs nearly whole workers must start although an organisation that sends much fills each worker with small tasks as
// soon as one ends.
func TestGangOfASmallOrganisationUnderAHotOne(t *testing.T) {
	f := newOrganisationFixture(t, 10, 1000, shared("hot", 1), shared("small", 1))
	f.submit("flood", "hot", plainQueue, withCPU(9000, 100))
	// The tasks of a worker end at different times.
	runTime := func(task graph.TaskID) time.Duration {
		return 500*time.Millisecond + time.Duration(task.Index%19)*50*time.Millisecond
	}
	f.runFor(3*time.Second, runTime)
	gang := gangOf(3, 800)
	queue := plainQueue
	queue.Target = 8 * time.Second
	f.submit("gang", "small", queue, gang)
	f.submit("more", "hot", plainQueue, withCPU(9000, 100))
	_, firstStart := f.runFor(12*time.Second, runTime)
	at, started := firstStart["gang"]
	if !started || at > 8*time.Second {
		t.Errorf("gang started: %v, after %s, want a start within its objective", started, at)
	}
}

// The reasons that an organisation's limit, rate or share gives must be named, or else its callers look for a fault in the cell.
func TestExplainNamesLimitRateAndShare(t *testing.T) {
	limit := graph.Organisation{Name: "a", Weight: 0.1, Limit: graph.Resources{MilliCPU: 1000}}
	explain := func(f *organisationFixture, id graph.JobID) string { return strings.Join(f.Explain(id, 0), "\n") }
	expect := func(t *testing.T, got string, want ...string) {
		t.Helper()
		for _, part := range want {
			if !strings.Contains(got, part) {
				t.Errorf("explanation %q, want %q in it", got, part)
			}
		}
	}
	t.Run("limit", func(t *testing.T) {
		f := newOrganisationFixture(t, 10, 1000, limit)
		f.submit("first", "a", plainQueue, withCPU(2, 400))
		f.submit("second", "a", plainQueue, withCPU(1, 400))
		f.startsByJob()
		expect(t, explain(f, "first"), "of organisation a", "2 placed")
		expect(t, explain(f, "second"), "waiting for the organisation's limit", "a task needs 0.4 cores", "the limit of organisation a is 1 cores", "use 0.8 cores")
	})
	t.Run("gang beyond the limit", func(t *testing.T) {
		f := newOrganisationFixture(t, 10, 1000, limit)
		f.submit("gang", "a", plainQueue, gangOf(10, 400))
		expectStarts(t, f.startsByJob(), map[graph.JobID]int{})
		expect(t, explain(f, "gang"), "never starts under this limit", "the gang of 10 tasks needs 4 cores")
	})
	t.Run("kept for an earlier step", func(t *testing.T) {
		f := newOrganisationFixture(t, 10, 1000, limited("a", 1000))
		low := plainQueue
		low.Priority = 2
		f.submit("using", "a", plainQueue, withCPU(6, 100))
		f.startsByJob()
		f.submit("gang", "a", plainQueue, gangOf(5, 100))
		f.startsByJob()
		f.submit("later", "a", low, withCPU(1, 100))
		expectStarts(t, f.startsByJob(), map[graph.JobID]int{})
		expect(t, explain(f, "later"), "kept for job gang")
	})
	t.Run("unreported", func(t *testing.T) {
		f := &organisationFixture{newFixture(t, 2)}
		f.SetOrganisations([]graph.Organisation{limited("a", 1000)}, RateOptions{Window: time.Second})
		f.AwaitReport(f.addWorker("silent", 800), "p")
		f.addWorker("w", 1000)
		f.AddJob(JobInput{ID: "old", Queue: plainQueue, Organisation: "a", Spec: &graph.Spec{Steps: []graph.Step{withCPU(20, 100)}}, Unconfirmed: true})
		f.submit("new", "a", plainQueue, withCPU(1, 300))
		expectStarts(t, f.startsByJob(), map[graph.JobID]int{})
		expect(t, explain(f, "new"), "may use 0.8 cores more on workers that have not reported")
	})
	t.Run("rate", func(t *testing.T) {
		f := newOrganisationFixture(t, 1, 100, rated("a", 0.1))
		for i := range 3 {
			f.submit(fmt.Sprint("j", i), "a", plainQueue, withCPU(1, 100))
		}
		f.startsByJob()
		expect(t, explain(f, "j2"), "beyond its rate of 0.1 jobs a second", "jobs within their organisations' rates go first")
	})
	t.Run("share", func(t *testing.T) {
		f := newOrganisationFixture(t, 1, 1000, shared("a", 1), shared("b", 1))
		f.submit("a", "a", plainQueue, withCPU(90, 100))
		f.submit("b", "b", plainQueue, withCPU(90, 1000))
		for range 30 {
			f.startsByJob()
			f.advance(100 * time.Millisecond)
		}
		expect(t, explain(f, "a"), "organisations with a smaller share go first within a priority: a is", "of a fair share of the cell ahead and uses 100% of it now")
	})
	t.Run("no organisation", func(t *testing.T) {
		f := newOrganisationFixture(t, 1, 100)
		f.submit("j", "", plainQueue, withCPU(2, 100))
		f.startsByJob()
		if got := explain(f, "j"); strings.Contains(got, "organisation") {
			t.Errorf("explanation %q names an organisation", got)
		}
	})
}
