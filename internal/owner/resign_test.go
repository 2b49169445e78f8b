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
	q.handleHello(&wire.Hello{Addr: "b", StoreAgeMs: 500, MilliCores: 400}, outage.Add(500*time.Millisecond))
	if h := q.strongestSuccessor(outage.Add(resignAfter), renewed.Add(renewInterval+storeAnswerMargin)); h != nil {
		t.Errorf("successor %s, want none", h.addr)
	}
	// One that is answered during the outage is a successor, and the strongest is preferred.
	q.handleHello(&wire.Hello{Addr: "c", StoreAgeMs: 10, MilliCores: 400}, outage.Add(600*time.Millisecond))
	q.handleHello(&wire.Hello{Addr: "d", StoreAgeMs: 10, MilliCores: 800}, outage.Add(600*time.Millisecond))
	if h := q.strongestSuccessor(outage.Add(resignAfter), renewed.Add(renewInterval+storeAnswerMargin)); h == nil || h.addr != "d" {
		t.Errorf("successor %v, want d", h)
	}
}

// Pattern: VMs are stopped and started again in turn. The owner hands over to one that has been restarted already, not to
// one whose turn is next.
func TestRollingRestartMovesOwnershipOnce(t *testing.T) {
	const vms, gap = 8, 1300 * time.Millisecond
	start := monotime.Instant(time.Hour)
	started := make([]monotime.Instant, vms)
	owner, moves := 3, 0
	for turn := range vms {
		now := start.Add(time.Duration(turn) * gap)
		if turn == owner {
			q := newPermitQueue()
			for n := range vms {
				if n != owner {
					q.handleHello(&wire.Hello{Addr: string(rune('a' + n)), MilliCores: 400, UptimeMs: now.Sub(started[n]).Milliseconds()}, now)
				}
			}
			heir := q.lastStartedSuccessor(now, 0.4)
			if heir == nil {
				t.Fatal("no successor")
			}
			owner = int(heir.addr[0] - 'a')
			moves++
		}
		started[turn] = now
	}
	if moves != 1 {
		t.Errorf("ownership moved %d times, want once", moves)
	}
}

// Neither a weak VM nor one that the store turns away is an heir, however lately it started.
func TestHeirCanOwn(t *testing.T) {
	now := monotime.Instant(time.Hour)
	q := newPermitQueue()
	q.handleHello(&wire.Hello{Addr: "weak", MilliCores: 190, UptimeMs: 10}, now)
	q.handleHello(&wire.Hello{Addr: "refused", MilliCores: 800, UptimeMs: 10, StoreAgeMs: 2000}, now)
	if h := q.lastStartedSuccessor(now, 0.8); h != nil {
		t.Errorf("heir %s, want none", h.addr)
	}
	q.handleHello(&wire.Hello{Addr: "sound", MilliCores: 800, UptimeMs: 100_000}, now)
	if h := q.lastStartedSuccessor(now, 0.8); h == nil || h.addr != "sound" {
		t.Errorf("heir %v, want the sound one", h)
	}
}
