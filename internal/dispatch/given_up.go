package dispatch

import (
	"time"

	"laburnumpoint/internal/monotime"
)

// GivenUpRun is a run that the engine takes for over although its worker has reported no end of it: its task may start again. The times
// are those since then, 0 if it has not happened.
type GivenUpRun struct {
	RunKey
	// State is what the engine knew of the run last: starting, running or stopping.
	State string
	// Ordered is the time since the start was ordered, Confirmed since the worker was first known to have the run, Listed since it was last
	// listed, and StopAnswered since a stop was acknowledged.
	Ordered, Confirmed, Listed, StopAnswered time.Duration
}

// giveUp describes a run that is about to be given up.
func (e *Engine) giveUp(r *run) GivenUpRun {
	since := func(at monotime.Instant) time.Duration {
		if at == 0 {
			return 0
		}
		return e.now.Sub(at)
	}
	return GivenUpRun{
		RunKey: r.RunKey, State: r.state.String(), Ordered: since(r.orderedAt), Confirmed: since(r.confirmedAt), Listed: since(r.listedAt),
		StopAnswered: since(r.stopAnsweredAt),
	}
}
