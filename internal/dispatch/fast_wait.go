package dispatch

import (
	"math"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// A task that prefers fast workers waits for one, instead of starting on a slow worker, while capacity there is expected to
// become free soon. The wait reserves nothing, and other steps may use the slow worker meanwhile.
const (
	// fastWaitShare is the share of the difference between the run times on the slow worker and on a fast one that is waited.
	fastWaitShare = 0.5
	// maxFastWait bounds the wait, since estimates of run times may be wrong by a factor of ten.
	maxFastWait = 300 * time.Millisecond
)

// freedCapacity is a decaying sum of the allocations that ended runs have freed, as of the last one.
type freedCapacity struct {
	sum graph.Resources
	at  monotime.Instant
}

func (f *freedCapacity) decay(now monotime.Instant) float64 {
	return math.Exp(-float64(now.Sub(f.at)) / float64(freedDecayTime))
}

func (f *freedCapacity) add(allocation graph.Resources, now monotime.Instant) {
	f.sum, f.at = f.sum.Scale(f.decay(now)).Add(allocation), now
}

// expected returns the resources that are expected to become free within d, at the recent rate.
func (f *freedCapacity) expected(d time.Duration, now monotime.Instant) graph.Resources {
	return f.sum.Scale(f.decay(now) * float64(d) / float64(freedDecayTime))
}

// waitsForFast reports whether the open tasks of s should wait for a fast worker rather than start on w. The wait ends at a time
// that is fixed when it begins, or as soon as the expected capacity no longer suffices.
func (e *Engine) waitsForFast(s *step, w *worker, open int) bool {
	if !w.speed.Slow() || s.def.Gang || e.speedPreference(s) != preferFast {
		return false
	}
	p := e.pools[w.Pool]
	usual := s.def.Estimate
	if typical, ok := s.siblings.TypicalTime(); ok {
		usual = typical
	}
	wait := min(maxFastWait, time.Duration(fastWaitShare*float64(w.expectedTime(usual)-usual)))
	if s.fastWaitUntil == 0 {
		s.fastWaitUntil = e.now.Add(wait)
	}
	left := s.fastWaitUntil.Sub(e.now)
	if left <= 0 {
		return false
	}
	usable := 1.0
	if s.job.queue.Permit != nil {
		usable = float64(len(s.permits)) / float64(len(p.workers))
	}
	demand := p.waitingForFast.Add(s.def.Allocation().Times(open))
	if !demand.Fits(p.fastFreed.expected(left, e.now).Scale(usable)) {
		return false
	}
	p.waitingForFast = demand
	return true
}

// fastWaitEnded reports whether the step's wait for a fast worker has ended since it last searched the whole pool. It then has to
// consider slow workers whose free capacity has not grown.
func (e *Engine) fastWaitEnded(s *step) bool {
	return s.fastWaitUntil > 0 && s.lastSearchAt < s.fastWaitUntil && e.now >= s.fastWaitUntil
}
