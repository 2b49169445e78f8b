package ledger

import (
	"testing"
	"time"
)

// maxFeedCallsPerSecond bounds the calls a second that following one table costs the store: a thirtieth of the 6,000 that the users'
// store answers.
const maxFeedCallsPerSecond = 200

// Each VM follows the ledger: a hundred of them must not cost the store ten times what ten do.
func TestFeedCallsAreBoundedOverAllDaemons(t *testing.T) {
	for _, daemons := range []int{0, 1, 7, 20, 42, 100} {
		gap := pollDelay(progressPollDelay, daemons)
		if calls := float64(daemons) / gap.Seconds(); calls > maxFeedCallsPerSecond {
			t.Errorf("%d daemons: %.0f calls a second, want at most %d", daemons, calls, maxFeedCallsPerSecond)
		}
		if gap < progressPollDelay || gap > maxPollDelay {
			t.Errorf("%d daemons: gap of %s", daemons, gap)
		}
	}
	// A daemon that follows so seldom still knows the store to be up.
	if most := maxPollDelay + feedWait; most > 1500*time.Millisecond {
		t.Errorf("a copy may be %s old", most)
	}
}
