package overload

import (
	"encoding/json"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

var (
	quickQueue = graph.Queue{Name: "quick", Pool: "p", Priority: 0, Stretch: 1.5, Target: 300 * time.Millisecond}
	wideQueue  = graph.Queue{Name: "wide", Pool: "p", Priority: 2, Stretch: 4, Target: 3 * time.Second}
	quickSpec  = graph.Spec{Steps: []graph.Step{{Count: 10, Claim: graph.Resources{MilliCPU: 11000}, Estimate: 600 * time.Millisecond}}}
	wideSpec   = graph.Spec{Steps: []graph.Step{{Count: 20, Claim: graph.Resources{MilliCPU: 18000}, Estimate: 4500 * time.Millisecond}}}
)

func testJob(t *testing.T, queue graph.Queue, spec graph.Spec) *Job {
	t.Helper()
	job, ok := NewJob(&queue, &spec)
	if !ok {
		t.Fatal("the job counts as one that is never refused")
	}
	return &job
}

// summaryOf returns a summary of a full pool of 1000 cores with good estimates. Its capacity is freed at the rate of quick tasks.
func summaryOf(classes ...Class) *Summary {
	return &Summary{
		Pools:      map[string]Pool{"p": {Capacity: Amounts{1000}, FreedPerSecond: Amounts{1600}, Classes: classes}},
		HighRatios: map[string]float64{"quick": 1, "wide": 1},
	}
}

// classOf returns a class of work that takes a pool of 1000 cores the given time and does not expire before it is served.
func classOf(priority int, missed bool, dueWithin float64, takes time.Duration) Class {
	work := 1000 * takes.Seconds()
	return Class{
		Priority: priority, Missed: missed, DueWithin: dueWithin, MissesAfter: 1e4, ExpiresAfter: 1e4,
		Claims: Amounts{work / 0.6}, Work: Amounts{work}, LowShare: 1, LargestTask: Amounts{1},
	}
}

// A quick job has an objective of 1.2 s and 3 s after three objectives, of which it runs 0.6 s.
func TestJobsAreRefusedOnlyIfTheyWouldBeWorthless(t *testing.T) {
	quick, wide := testJob(t, quickQueue, quickSpec), testJob(t, wideQueue, wideSpec)
	for _, c := range []struct {
		name    string
		job     *Job
		classes []Class
		wait    time.Duration
		refuse  bool
	}{
		{"empty pool", quick, nil, 0, false},
		{"in time", quick, []Class{classOf(0, false, 1, 500*time.Millisecond)}, 500 * time.Millisecond, false},
		{"late", quick, []Class{classOf(0, false, 1, 2*time.Second)}, 2 * time.Second, false},
		{"worthless", quick, []Class{classOf(0, false, 1, 4*time.Second)}, 4 * time.Second, true},
		{"work of lower priority", quick, []Class{classOf(2, false, 1, time.Minute)}, 0, false},
		{"work that is due later", quick, []Class{classOf(0, false, 5, time.Minute)}, 0, false},
		{"missed work comes after a job that can be in time", quick, []Class{classOf(0, true, 0, time.Minute), classOf(0, false, 1, 500*time.Millisecond)}, 500 * time.Millisecond, false},
		{"missed work comes before a job that is late", quick, []Class{classOf(0, true, 0, 2*time.Second), classOf(0, false, 1, 2*time.Second)}, 4 * time.Second, true},
		{"wide behind quick work", wide, []Class{classOf(0, false, 1, 10*time.Second), classOf(0, true, 0, 5*time.Second)}, 15 * time.Second, false},
		{"wide behind minutes of quick work", wide, []Class{classOf(0, false, 1, 10*time.Minute)}, 10 * time.Minute, true},
		{"missed wide work is put behind", wide, []Class{classOf(2, true, 0, 10*time.Minute)}, 0, false},
	} {
		d := summaryOf(c.classes...).Decide(c.job, 0)
		if d.Refuse != c.refuse || d.Wait.Round(time.Millisecond) != c.wait {
			t.Errorf("%s: refused %t after a wait of %s, want %t, %s", c.name, d.Refuse, d.Wait, c.refuse, c.wait)
		}
	}
}

// Each of the reasons for which a prediction may be too late keeps the job from being refused.
func TestUncertainPredictionsRefuseNothing(t *testing.T) {
	quick := testJob(t, quickQueue, quickSpec)
	overloaded := func() *Summary { return summaryOf(classOf(0, false, 1, 4*time.Second)) }
	if !overloaded().Decide(quick, 0).Refuse {
		t.Fatal("not refused, want refused")
	}
	for name, change := range map[string]func(*Summary){
		"run times of the queue are not known":    func(s *Summary) { s.HighRatios = nil },
		"run times are up to three times as long": func(s *Summary) { s.HighRatios["quick"] = 3 },
		"work ahead may be half as much":          func(s *Summary) { s.Pools["p"].Classes[0].LowShare = 0.5 },
		"capacity is freed fast":                  func(s *Summary) { p := s.Pools["p"]; p.FreedPerSecond[0] = 5000; s.Pools["p"] = p },
		"capacity is free":                        func(s *Summary) { p := s.Pools["p"]; p.Free[0] = 7000; s.Pools["p"] = p },
		"work ahead expires before":               func(s *Summary) { c := &s.Pools["p"].Classes[0]; c.MissesAfter, c.ExpiresAfter = 0.5, 2 },
		"larger tasks ahead leave room":           func(s *Summary) { s.Pools["p"].Classes[0].LargestTask[0] = 12 },
		"the pool is not known":                   func(s *Summary) { s.Pools = nil },
		"an earlier try may be stored later":      func(s *Summary) { s.StoreTrouble = true },
		"what is short is not what the job claims": func(s *Summary) {
			c := &s.Pools["p"].Classes[0]
			c.Work, c.Claims = Amounts{0, 0, 9e9}, Amounts{0, 0, 9e9}
		},
	} {
		s := overloaded()
		change(s)
		if d := s.Decide(quick, 0); d.Refuse {
			t.Errorf("%s: refused after a wait of %s", name, d.Wait)
		}
	}
}

// Work ahead of a job holds it up for no longer than it stays ahead: until it misses its objective if it has the job's own priority,
// else until it is worthless.
func TestWorkAheadExpires(t *testing.T) {
	quick, wide := testJob(t, quickQueue, quickSpec), testJob(t, wideQueue, wideSpec)
	urgent, alike := classOf(0, false, 1, 30*time.Second), classOf(2, false, 1, 30*time.Second)
	urgent.MissesAfter, urgent.ExpiresAfter = 0.5, 2
	alike.MissesAfter, alike.ExpiresAfter = 4, 9
	for _, c := range []struct {
		name string
		job  *Job
		want time.Duration
	}{
		{"job like that ahead of it", quick, 500 * time.Millisecond},
		{"job of lower priority", wide, 4 * time.Second},
	} {
		if got := summaryOf(urgent, alike).Decide(c.job, 0).Wait; got != c.want {
			t.Errorf("%s: wait %s, want %s", c.name, got, c.want)
		}
	}
}

// A job beyond its organisation's rate earns nothing: it is refused when others would make it late, and others don't wait for it.
func TestJobsBeyondTheirRateAreRefusedSooner(t *testing.T) {
	quick := testJob(t, quickQueue, quickSpec)
	late := classOf(0, false, 1, time.Second)
	if summaryOf(late).Decide(quick, 0).Refuse {
		t.Error("a job within its rate that would be late is refused")
	}
	beyond := *quick
	beyond.Lane = 1
	if !summaryOf(late).Decide(&beyond, 0).Refuse {
		t.Error("a job beyond its rate that would be late is not refused")
	}
	if summaryOf(classOf(0, false, 1, 400*time.Millisecond)).Decide(&beyond, 0).Refuse {
		t.Error("a job beyond its rate that would be in time is refused")
	}
	late.Lane, late.Work, late.Claims = 1, Amounts{9e9}, Amounts{9e9}
	if d := summaryOf(late).Decide(quick, 0); d.Wait > 0 {
		t.Errorf("a job within its rate waits %s behind others beyond theirs", d.Wait)
	}
}

func TestScheduledAndLongRunningJobsAreNeverRefused(t *testing.T) {
	scheduled, longRunning := quickSpec, graph.Spec{Steps: []graph.Step{quickSpec.Steps[0], quickSpec.Steps[0]}}
	scheduled.Occurrences = 2
	longRunning.Steps[1].LongRunning = true
	for name, spec := range map[string]*graph.Spec{"scheduled": &scheduled, "long-running": &longRunning} {
		if _, ok := NewJob(&quickQueue, spec); ok {
			t.Errorf("a %s job may be refused", name)
		}
	}
}

// Retry-After is the time from which the objective can be met, spread over half as long again, so that the callers of refused jobs
// don't return together.
func TestRetryAfterOfRefusedJobs(t *testing.T) {
	quick := testJob(t, quickQueue, quickSpec)
	s := summaryOf(classOf(0, false, 1, 10600*time.Millisecond))
	for random, want := range map[float64]time.Duration{0: 10 * time.Second, 0.5: 13 * time.Second, 1: 15 * time.Second} {
		if got := s.Decide(quick, random).RetryAfter; got != want {
			t.Errorf("Retry-After %s at %.1f, want %s", got, random, want)
		}
	}
	if got := summaryOf(classOf(0, false, 1, time.Hour)).Decide(quick, 1).RetryAfter; got != maxRetryAfter {
		t.Errorf("Retry-After %s after an hour's wait, want %s", got, maxRetryAfter)
	}
}

// The ratio of one job must not tell that of others; those of many jobs do.
func TestRatios(t *testing.T) {
	var r Ratios
	for range minRatios - 1 {
		r.Add(1, 1)
	}
	if expected, low := r.Work(10); expected != 1 || low != 0.1 || r.High() != 10 {
		t.Errorf("too few steps: work %.2f, at least %.2f, high %.1f, want 1, 0.1, 10", expected, low, r.High())
	}
	for range ratioCount {
		r.Add(2, 3)
	}
	if expected, low := r.Work(1); expected != 2 || low != 2 || r.High() != 3 {
		t.Errorf("equal steps: work %.2f, at least %.2f, high %.1f, want 2, 2, 3", expected, low, r.High())
	}
	for range ratioCount / 2 {
		r.Add(0.2, 0.2)
	}
	expected, lowOfOne := r.Work(1)
	_, lowOfMany := r.Work(100)
	if expected < 1.05 || expected > 1.15 || lowOfOne > 0.2 || lowOfMany < 0.7*expected || lowOfMany >= expected {
		t.Errorf("mixed steps: work %.2f, of one job at least %.2f, of a hundred at least %.2f", expected, lowOfOne, lowOfMany)
	}
}

// The summary goes to every daemon two to three times a second over links of 10 Mbit/s.
func TestSummaryIsShort(t *testing.T) {
	s := summaryOf()
	pool := s.Pools["p"]
	for within := 0.5; within < 100; within *= 1.5 {
		pool.Classes = append(pool.Classes, Class{Priority: 2, DueWithin: 12.8, MissesAfter: 12.34, ExpiresAfter: 45.67, Claims: Amounts{12345.67, 23456.78}, Work: Amounts{123456.78, 123456.78}, LowShare: 0.97, LargestTask: Amounts{12.34, 23.45}})
	}
	s.Pools["p"], s.Pools["q"] = pool, pool
	data, err := json.Marshal(s)
	if err != nil || len(data) > 4500 {
		t.Errorf("%d bytes for %d classes, want at most 4500 (%v)", len(data), 2*len(pool.Classes), err)
	}
	t.Logf("%d bytes for %d classes", len(data), 2*len(pool.Classes))
}
