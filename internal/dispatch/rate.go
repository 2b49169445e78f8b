package dispatch

import (
	"time"

	"laburnumpoint/internal/monotime"
)

// RateOptions say how an organisation's rate of jobs is measured.
type RateOptions struct {
	// Window is the time over which jobs are counted: in any span of that length an organisation has a number of jobs within its
	// rate, its weight in jobs per second times Window, more by Overage as a share, and Slack jobs besides.
	Window  time.Duration
	Overage float64
	Slack   int
}

// jobsPerWindow returns how many jobs in any window are within the rate of an organisation with the given weight, at least one.
func (o RateOptions) jobsPerWindow(weight float64) int {
	return max(1, int(weight*o.Window.Seconds()*(1+o.Overage))+o.Slack)
}

// rateMeter counts the jobs of an organisation that are within its rate, in order of arrival. Those beyond it don't count.
type rateMeter struct {
	// arrivals are those of the jobs within the rate in the last window, the oldest first.
	arrivals []monotime.Instant
}

// admit reports whether a job that arrives at the given time is within the rate, and counts it if so.
func (m *rateMeter) admit(at monotime.Instant, window time.Duration, most int) bool {
	old := 0
	for old < len(m.arrivals) && at.Sub(m.arrivals[old]) >= window {
		old++
	}
	m.arrivals = append(m.arrivals[:0], m.arrivals[old:]...)
	if len(m.arrivals) >= most {
		return false
	}
	m.arrivals = append(m.arrivals, max(at, m.last()))
	return true
}

func (m *rateMeter) last() monotime.Instant {
	if len(m.arrivals) == 0 {
		return 0
	}
	return m.arrivals[len(m.arrivals)-1]
}
