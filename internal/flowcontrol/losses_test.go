package flowcontrol

import (
	"testing"
	"time"

	"laburnumpoint/internal/monotime"
)

// Losses are likely while a few percent of the calls to many servers get no answer, and no longer some seconds after. A single
// silent server, or a few lost answers among thousands, are no reason to call all servers more often.
func TestLossesAreLikelyWhileManyServersLoseAnswers(t *testing.T) {
	at := func(d time.Duration) monotime.Instant { return monotime.Instant(time.Hour + d) }
	cases := []struct {
		name string
		// perSecond calls end each second, every lostEach-th of them without an answer; 0 for none.
		perSecond, lostEach int
		likely              bool
	}{
		{"4% of 500 calls a second", 500, 25, true},
		{"4% of 100 calls a second", 100, 25, true},
		{"0.2% of 500 calls a second", 500, 500, false},
		{"one of 40 calls a second", 40, 40, false},
		{"none", 500, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Losses
			for i := range 3 * c.perSecond {
				l.Observe(at(time.Duration(i)*time.Second/time.Duration(c.perSecond)), c.lostEach > 0 && i%c.lostEach == 0)
			}
			if got := l.Likely(at(3 * time.Second)); got != c.likely {
				t.Errorf("likely %t after three seconds, want %t", got, c.likely)
			}
			if l.Likely(at(15 * time.Second)) {
				t.Error("losses are still likely 12 s after the last one")
			}
		})
	}
}
