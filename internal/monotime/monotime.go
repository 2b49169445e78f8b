// Package monotime measures elapsed time, including time during which the process or its VM was paused.
//
// Go's own monotonic clock is not sufficient: on Linux, time.Time reads CLOCK_MONOTONIC, which stops while the system is
// suspended, so that a time limit checked after a resume can seem not to have expired. This package reads CLOCK_BOOTTIME,
// which continues during a suspend. Both clocks continue while a process is stopped by a signal. No clock shows a pause in
// which a hypervisor freezes a guest and hides the gap from all of the guest's clocks; what must hold even then is protected
// by epochs, not by time.
package monotime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of one machine's boot clock, in nanoseconds. Instants of different machines are not comparable.
type Instant int64

// Sub returns the time elapsed from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(i - earlier)
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Clock returns the current instant. Successive readings never decrease. It is safe for concurrent use.
type Clock interface {
	Now() Instant
}

// BootClock is the machine's boot clock.
type BootClock struct{}

// Now implements Clock.
func (BootClock) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("monotime: CLOCK_BOOTTIME can't be read: %v", err))
	}
	return Instant(ts.Nano())
}
