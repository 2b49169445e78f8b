package owner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
)

// A new owner must load the jobs in order of arrival, or else other jobs of an organisation than before are beyond its rate.
func TestJobsAreLoadedByArrival(t *testing.T) {
	jobs := map[graph.JobID]ledger.Job{}
	for id, at := range map[graph.JobID]int64{"c": 1, "a": 3, "b": 2, "d": 2} {
		jobs[id] = ledger.Job{JobRecord: ledger.JobRecord{AcceptedMS: at}}
	}
	got := byArrival(jobs)
	for i, want := range []graph.JobID{"c", "b", "d", "a"} {
		if got[i] != want {
			t.Fatalf("order %v, want c, b, d, a", got)
		}
	}
}

// The control loop must pass a limit to the engine as soon as its configuration is in force, and start nothing for an organisation
// before the first one.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := &fakeClient{startedAt: time.Now()}
	var version uint64
	var list []graph.Organisation
	d := newTestController(ctx, client).Daemon
	d.Organisations = func() (uint64, []graph.Organisation) { return version, list }
	d.Rates.Window = time.Second
	c := newController(ctx, d, &ledger.Ownership{}, d.Clock.Now(), d.Clock.Now())
	c.engine.PutWorker(dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 1000}})
	c.engine.SetReachable("w", true)
	spec := &graph.Spec{Steps: []graph.Step{{Count: 10, Claim: graph.Resources{MilliCPU: 10}}}}
	c.engine.AddJob(dispatch.JobInput{ID: "j", Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Organisation: "a", Spec: spec, ArrivedAt: c.now()})
	for _, tc := range []struct {
		version uint64
		limit   int64
		starts  uint64
	}{{0, 0, 0}, {1, 20, 2}, {1, 50, 2}, {2, 50, 5}, {3, 30, 5}, {4, 0, 10}} {
		version, list = tc.version, []graph.Organisation{{Name: "a", Weight: 1, Limit: graph.Resources{MilliCPU: tc.limit}}}
		c.updateOrganisations()
		c.engine.Plan(0)
		if starts := c.engine.Stats().Starts; starts != tc.starts {
			t.Errorf("%d starts with version %d and limit %d, want %d", starts, tc.version, tc.limit, tc.starts)
		}
	}
}

// The metrics by organisation must not grow with the number of organisations: the largest have their own, the others are added up.
func TestOrganisationMetricsAreBounded(t *testing.T) {
	d := newTestController(t.Context(), &fakeClient{startedAt: time.Now()}).Daemon
	c := newController(t.Context(), d, &ledger.Ownership{}, d.Clock.Now(), d.Clock.Now())
	var list []graph.Organisation
	for i := range maxOrganisationMetrics + 8 {
		list = append(list, graph.Organisation{Name: fmt.Sprintf("o%02d", i), Weight: 1000, Limit: graph.Resources{MilliCPU: 100}})
	}
	c.engine.SetOrganisations(list, dispatch.RateOptions{Window: time.Second})
	c.engine.PutWorker(dispatch.Worker{ID: "w", Pool: "p", Capacity: graph.Resources{MilliCPU: 10_000}})
	c.engine.SetReachable("w", true)
	for i, o := range list {
		spec := &graph.Spec{Steps: []graph.Step{{Count: 5 + i, Claim: graph.Resources{MilliCPU: 25}}}}
		c.engine.AddJob(dispatch.JobInput{ID: graph.JobID(o.Name), Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Organisation: o.Name, Spec: spec, ArrivedAt: c.now()})
	}
	c.engine.Plan(0)
	c.engine.Plan(0)
	c.publishOrganisationUsages()
	var out strings.Builder
	d.Metrics.WritePrometheus(&out)
	if strings.Contains(out.String(), "laburnumpoint_organisation") {
		t.Error("a daemon that doesn't own the cell has metrics by organisation")
	}
	d.controller.Store(c)
	out.Reset()
	d.Metrics.WritePrometheus(&out)
	if n := strings.Count(out.String(), "laburnumpoint_organisation_limit_used{"); n != maxOrganisationMetrics+1 {
		t.Errorf("%d organisations in the metrics, want %d and the sum of the others", n, maxOrganisationMetrics)
	}
	waiting := 0
	for i := range 8 {
		waiting += i + 1
	}
	for _, want := range []string{
		`laburnumpoint_organisation_limit_used{organisation="o39"} 1`,
		`laburnumpoint_organisation_cell_used{organisation="o39"} 0.01`,
		`laburnumpoint_organisation_tasks_waiting{organisation="o39"} 40`,
		fmt.Sprintf(`laburnumpoint_organisation_tasks_waiting{organisation="(others)"} %d`, waiting),
	} {
		if !strings.Contains(out.String(), want+"\n") {
			t.Errorf("no %s in the metrics:\n%s", want, out.String())
		}
	}
}
