package owner

import (
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// Daemons that the store doesn't answer come last in the list of live ones, since commands are relayed to the first. A daemon
// that is gone is not listed, and one that is idle counts as reachable.
func TestDaemonsWithoutStoreAreListedLast(t *testing.T) {
	q := newPermitQueue()
	now := monotime.Instant(time.Hour)
	for addr, storeAge := range map[string]time.Duration{"a": 4 * time.Second, "b": 20 * time.Millisecond, "c": 1300 * time.Millisecond, "d": 900 * time.Millisecond} {
		q.handleHello(&wire.Hello{Addr: addr, StoreAgeMs: storeAge.Milliseconds()}, now)
	}
	q.handleHello(&wire.Hello{Addr: "gone"}, now.Add(-2*helperTimeout))
	if got, want := q.liveAddrs(now), []string{"b", "d", "a", "c"}; !slices.Equal(got, want) {
		t.Errorf("live daemons %v, want %v", got, want)
	}
}
