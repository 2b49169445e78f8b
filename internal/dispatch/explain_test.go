package dispatch

import (
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

func TestExplain(t *testing.T) {
	single := func(step graph.Step) []graph.Step { return []graph.Step{step} }
	labelled := plainStep(2)
	labelled.Label = "fast"
	large := plainStep(3)
	large.Claim.MilliCPU = 800
	gang := large
	gang.Gang = true
	cases := []struct {
		name    string
		workers int
		awaited bool
		permit  bool
		steps   []graph.Step
		want    []string
	}{
		{"runs", 1, false, false, single(plainStep(2)), []string{"running", "0 of 2 tasks done, 2 placed"}},
		{"no workers", 0, false, false, single(plainStep(2)), []string{"queued", "pool p has no workers"}},
		{"no capacity", 2, false, false, single(large), []string{"2 placed", "1 tasks waiting for capacity: of 2 workers in the pool 2 match the label, 2 of these have a permit, 0 of these have capacity for one task"}},
		{"gang without capacity", 2, false, false, single(gang), []string{"0 placed", "3 tasks of a gang waiting for capacity"}},
		{"no label", 2, false, false, single(labelled), []string{"of 2 workers in the pool 0 match the label"}},
		{"permit", 2, false, true, single(plainStep(1)), []string{"waiting for the policy service"}},
		{"earlier step", 1, false, false, []graph.Step{plainStep(1), plainStep(1, 0)}, []string{"step 1 of occurrence 0", "waiting for 1 earlier steps"}},
		{"after a takeover", 1, true, false, single(plainStep(1)), []string{"workers that an earlier owner used"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newFixture(t, 2)
			for i := range tc.workers {
				c.addWorker(string(rune('a'+i)), 1000)
			}
			if tc.awaited {
				c.AwaitReport("gone", "p")
			}
			queue := plainQueue
			if tc.permit {
				queue.Permit = &graph.PermitLatency{Base: time.Millisecond}
			}
			c.advance(time.Second)
			c.AddJob(JobInput{ID: "j", Queue: queue, Spec: &graph.Spec{Steps: tc.steps}, ArrivedAt: c.virtualTime, Unconfirmed: tc.awaited})
			starts, _, _ := c.planByKind()
			for _, start := range starts {
				c.HandleStartOutcome(start.Worker, start.RunKey, Started)
			}
			explanation := strings.Join(c.Explain("j", 0), "\n")
			for _, want := range tc.want {
				if !strings.Contains(explanation, want) {
					t.Errorf("explanation %q, want %q in it", explanation, want)
				}
			}
		})
	}
	if explanation := newFixture(t, 1).Explain("unknown", 0); explanation != nil {
		t.Errorf("explanation %q of an unknown job, want none", explanation)
	}
}
