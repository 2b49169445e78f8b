package monotime

import (
	"testing"

	"golang.org/x/sys/unix"
)

func TestBootCountsSuspendedTime(t *testing.T) {
	var before, after unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &before); err != nil {
		t.Fatal(err)
	}
	got := BootClock{}.Now()
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &after); err != nil {
		t.Fatal(err)
	}
	if got < Instant(before.Nano()) || got > Instant(after.Nano()) {
		t.Errorf("Now = %d, want a reading of CLOCK_BOOTTIME between %d and %d", got, before.Nano(), after.Nano())
	}
}
