package ledger

import (
	"testing"
	"time"
)

// maxFeedCallsPerSecond bounds the calls for the feed of one table by all daemons: a thirtieth of the 6,000 calls a second that
// the users' store answers.
const maxFeedCallsPerSecond = 200

// Every daemon may follow the ledger: a hundred daemons must not call the store ten times as often as ten.
func TestFeedCallsAreBoundedOverAllDaemons(t *testing.T) {
	for _, daemons := range []int{0, 1, 7, 20, 42, 100} {
		delay := pollDelay(progressPollDelay, daemons)
		if calls := float64(daemons) / delay.Seconds(); calls > maxFeedCallsPerSecond {
			t.Errorf("%d daemons: %.0f calls a second, want at most %d", daemons, calls, maxFeedCallsPerSecond)
		}
		if delay < progressPollDelay || delay > maxPollDelay {
			t.Errorf("%d daemons: delay of %s, want %s to %s", daemons, delay, progressPollDelay, maxPollDelay)
		}
	}
	// Even with the longest delay a copy must be current enough to show that the store is up.
	if maxAge := maxPollDelay + feedWait; maxAge > 1500*time.Millisecond {
		t.Errorf("a copy may be %s old, want 1.5 s at most", maxAge)
	}
}
