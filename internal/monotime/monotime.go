// Package monotime measures elapsed time that includes the time a process or its VM was paused.
//
// Go's own monotonic clock may not do for that: time.Time reads CLOCK_MONOTONIC on Linux, which stops while the system
// is suspended, so that a bound checked after a resume can seem unexpired. The clock here is CLOCK_BOOTTIME, which goes
// on through a suspend. A process stopped by a signal sees both clocks move. A hypervisor that freezes a guest and hides
// the gap from every guest clock can't be seen by any clock; what must hold then is fenced by epochs, not by time.
package monotime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on one machine's boot clock, in nanoseconds. Instants of different machines are not comparable.
type Instant int64

// Sub returns the time elapsed from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(i - earlier)
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Clock tells the present instant. Successive readings never go back. It is safe for concurrent use.
type Clock interface {
	Now() Instant
}

// BootClock is the machine's boot clock.
type BootClock struct{}

// Now implements Clock.
func (BootClock) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("monotime: the boot clock is always readable: %v", err))
	}
	return Instant(ts.Nano())
}
