package monotime

import "time"

// minClockRate is the least rate of a worker's clock against ours: by the platform's contract it may run 2% slow.
const minClockRate = 0.98

// OnSlowestClock returns the longest time that a worker's clock can take to advance by d.
func OnSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}
