package owner

import (
	"testing"
	"time"

	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// In an outage for all, a daemon that the store answered just before it is no successor.
func TestOutageForAllIsNoReasonToResign(t *testing.T) {
	q := newPermitQueue()
	at := func(d time.Duration) monotime.Instant { return monotime.Instant(time.Hour + d) }
	outage := at(0)
	renewed := outage.Add(-50 * time.Millisecond)
	// The other daemon was answered as the outage began, and says so 500 ms later.
	q.hello(&wire.Hello{Addr: "b", StoreAgeMs: 500, MilliCores: 400}, outage.Add(500*time.Millisecond))
	if h := q.successor(outage.Add(resignAfter), renewed.Add(renewInterval+resignEvidence)); h != nil {
		t.Errorf("successor %s, want none", h.addr)
	}
	// One that is answered during the outage is a successor, and the strongest is preferred.
	q.hello(&wire.Hello{Addr: "c", StoreAgeMs: 10, MilliCores: 400}, outage.Add(600*time.Millisecond))
	q.hello(&wire.Hello{Addr: "d", StoreAgeMs: 10, MilliCores: 800}, outage.Add(600*time.Millisecond))
	if h := q.successor(outage.Add(resignAfter), renewed.Add(renewInterval+resignEvidence)); h == nil || h.addr != "d" {
		t.Errorf("successor %v, want d", h)
	}
}
