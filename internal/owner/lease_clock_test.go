package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumpoint/internal/monotime"
)

// clockedWorker is a worker's side of its lease: its clock, and the end of the lease on it.
type clockedWorker struct {
	// rate is that of the clock against the owner's; offset is its reading at the owner's time 0.
	rate     float64
	offset   time.Duration
	leaseEnd time.Duration
}

func (w *clockedWorker) clock(now monotime.Instant) time.Duration {
	return w.offset + time.Duration(float64(now)*w.rate)
}

// Guards against runs that are given up before the worker's lease has ended: clock readings come with answers that are held for seconds and
// overtake each other, an owner stands still between a deadline and its call, calls are carried out late or never, with an answer or without,
// and the worker's clock is slow or fast.
func TestLeaseIsNeverOverBeforeTheWorkersIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &clockedWorker{rate: rapid.SampledFrom([]float64{0.98, 0.99, 1, 1.02}).Draw(t, "rate"), offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))}
		lease := &workerLease{endMargin: leaseMargin}
		now := monotime.Instant(0)
		type reading struct {
			clock time.Duration
			at    monotime.Instant
		}
		var held []reading
		var calls []time.Duration
		check := func() {
			if left := w.leaseEnd - w.clock(now); lease.expired(now) && left > 0 {
				t.Fatalf("the lease counts as over %s before the worker ends it", left)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "passes")))
			check()
			switch rapid.SampledFrom([]string{"answer", "receive", "extend", "carry out", "lose"}).Draw(t, "event") {
			case "answer":
				held = append(held, reading{w.clock(now).Truncate(time.Millisecond), now})
			case "receive":
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "which answer")
					lease.observeClock(held[i].clock, now)
					held = append(held[:i], held[i+1:]...)
				}
			case "extend":
				if deadline, ok := lease.extend(now, leaseDuration); ok {
					calls = append(calls, deadline)
				}
			case "carry out":
				if len(calls) > 0 {
					i := rapid.IntRange(0, len(calls)-1).Draw(t, "which call")
					w.leaseEnd = max(w.leaseEnd, min(calls[i], w.clock(now)+10*time.Second))
					calls = append(calls[:i], calls[i+1:]...)
				}
			case "lose":
				calls = nil
			}
			check()
		}
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			check()
		}
	})
}

// The end of a lease follows from the oldest clock reading that a deadline was set by, also once there is a newer one.
func TestDeadlineByAnOldReadingIsCountedOnASlowClock(t *testing.T) {
	w := &clockedWorker{rate: 0.98}
	lease := &workerLease{endMargin: leaseMargin}
	lease.observeClock(w.clock(0), 0)
	now := monotime.Instant(time.Minute)
	w.leaseEnd, _ = lease.extend(now, leaseDuration)
	lease.observeClock(w.clock(now), now)
	if deadline, _ := lease.extend(now, leaseDuration); deadline >= w.leaseEnd {
		t.Fatalf("the second deadline is %s, want one before the first, %s", deadline, w.leaseEnd)
	}
	for ; !lease.expired(now); now = now.Add(time.Millisecond) {
	}
	if left := w.leaseEnd - w.clock(now); left > 0 {
		t.Errorf("the lease counts as over %s before the worker ends it", left)
	}
}
