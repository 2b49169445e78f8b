package cell

import "testing"

func TestFitsNeedsEveryDimension(t *testing.T) {
	limit := Resources{MilliCPU: 4000, MemoryMiB: 1024, Accelerators: 1, Slots: 2}
	cases := []struct {
		name  string
		claim Resources
		want  bool
	}{
		{"equal", limit, true},
		{"cpu over", limit.Add(Resources{MilliCPU: 1}), false},
		{"memory over", limit.Add(Resources{MemoryMiB: 1}), false},
		{"accelerators over", limit.Add(Resources{Accelerators: 1}), false},
		{"slots over", limit.Add(Resources{Slots: 1}), false},
	}
	for _, c := range cases {
		if got := c.claim.Fits(limit); got != c.want {
			t.Errorf("%s: Fits = %v, want %v", c.name, got, c.want)
		}
	}
}

func TestDominantShareIgnoresMissingDimensions(t *testing.T) {
	total := Resources{MilliCPU: 10_000, MemoryMiB: 1000}
	claim := Resources{MilliCPU: 1000, MemoryMiB: 500, Accelerators: 3}
	if got := claim.DominantShare(total); got != 0.5 {
		t.Errorf("DominantShare = %v, want 0.5", got)
	}
}
