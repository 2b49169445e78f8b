// Package monotimetest provides a clock for tests that run in virtual time.
package monotimetest

import (
	"time"

	"laburnumpoint/internal/monotime"
)

// Clock returns the time since Start according to package time, which is virtual inside a testing/synctest bubble.
type Clock struct{ Start time.Time }

var _ monotime.Clock = Clock{}

// Now implements monotime.Clock. It never returns 0, since other packages use 0 for "no time".
func (c Clock) Now() monotime.Instant { return monotime.Instant(1 + time.Since(c.Start)) }
