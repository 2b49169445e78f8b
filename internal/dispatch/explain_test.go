package dispatch

import (
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
)

func TestExplain(t *testing.T) {
	wants := func(step graph.Step) []graph.Step { return []graph.Step{step} }
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
		{"runs", 1, false, false, wants(plainStep(2)), []string{"running", "0 of 2 tasks done, 2 placed"}},
		{"no workers", 0, false, false, wants(plainStep(2)), []string{"queued", "pool p has no workers"}},
		{"no room", 2, false, false, wants(large), []string{"2 placed", "1 tasks wait for room: of 2 workers 2 have the label, 2 of these a permit, 0 of these room"}},
		{"gang without room", 2, false, false, wants(gang), []string{"0 placed", "3 a gang of tasks wait for room"}},
		{"no label", 2, false, false, wants(labelled), []string{"of 2 workers 0 have the label"}},
		{"permit", 2, false, true, wants(plainStep(1)), []string{"waiting for the policy service"}},
		{"earlier step", 1, false, false, []graph.Step{plainStep(1), plainStep(1, 0)}, []string{"step 1 of occurrence 0", "waiting for 1 earlier steps"}},
		{"after a takeover", 1, true, false, wants(plainStep(1)), []string{"workers that an earlier owner used"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(t, 2)
			for i := range c.workers {
				cell.worker(string(rune('a'+i)), 1000)
			}
			if c.awaited {
				cell.AwaitReport("gone", "p")
			}
			queue := plainQueue
			if c.permit {
				queue.Permit = &graph.PermitLatency{Base: time.Millisecond}
			}
			cell.advance(time.Second)
			cell.AddJob("j", queue, &graph.Spec{Steps: c.steps}, cell.clock, nil, c.awaited)
			cell.plan()
			told := strings.Join(cell.Explain("j", 0), "\n")
			for _, want := range c.want {
				if !strings.Contains(told, want) {
					t.Errorf("told %q, want %q in it", told, want)
				}
			}
		})
	}
	if told := newCell(t, 1).Explain("unknown", 0); told != nil {
		t.Errorf("of an unknown job %q is told", told)
	}
}
