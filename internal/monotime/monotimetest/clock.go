// Package monotimetest has a clock for tests in virtual time.
package monotimetest

import (
	"time"

	"laburnumpoint/internal/monotime"
)

// Clock counts from Start by the time that package time tells, which in a bubble of testing/synctest is the bubble's.
type Clock struct{ Start time.Time }

var _ monotime.Clock = Clock{}

// Now implements monotime.Clock. It is never 0, which elsewhere stands for no time.
func (c Clock) Now() monotime.Instant { return monotime.Instant(1 + time.Since(c.Start)) }
