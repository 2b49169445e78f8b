package dispatch

import (
	"time"

	"laburnumpoint/internal/monotime"
)

// Bounds of the probation with which the next run of a suspect begins.
const (
	// probationTime is how long the start of a suspect keeps tasks of other jobs from its worker.
	probationTime = 250 * time.Millisecond
	// crashedAddressTime is how long suspects avoid the address of a worker that has crashed, which may be at fault itself.
	crashedAddressTime = 10 * time.Second
)

// probation keeps tasks of other jobs from a worker while it starts a suspect.
type probation struct {
	job   *job
	until monotime.Instant
}

// noteStart notes that a run of the task is started on the worker.
func (e *Engine) noteStart(w *worker, t *task) {
	w.lastStartAt, w.lastStartJob = e.now, t.step.job
	if t.step.suspects > 0 && t.isSuspect() {
		w.probation = probation{t.step.job, e.now.Add(probationTime)}
		w.updateImpaired()
	}
}

// isOnProbation reports whether the worker must not start tasks of the step's job.
func (e *Engine) isOnProbation(w *worker, s *step) bool {
	if w.probation.job == nil {
		return false
	}
	if e.now >= w.probation.until {
		w.probation = probation{}
		w.updateImpaired()
		return false
	}
	return w.probation.job != s.job
}

// crashScore is the part of a worker's score that counts for a step with a suspect: a further crash tells most on a worker
// that has not crashed lately and on which no other job's task was just started.
func (e *Engine) crashScore(s *step, w *worker) float64 {
	score := 0.0
	if at, ok := e.crashedAddresses[w.Address]; ok && e.now.Sub(at) < crashedAddressTime {
		score -= suspectWeight
	}
	if w.lastStartJob != s.job && w.lastStartAt > 0 && e.now.Sub(w.lastStartAt) <= startSpread {
		score -= suspectWeight
	}
	return score
}

// forgetCrashes drops the addresses that suspects no longer avoid, and the times of old silences.
func (e *Engine) forgetCrashes() {
	e.forgetSilences()
	for len(e.unreachableTimes) > 0 && e.now.Sub(e.unreachableTimes[0]) >= crashedAddressTime {
		e.unreachableTimes = e.unreachableTimes[1:]
	}
	for address, at := range e.crashedAddresses {
		if e.now.Sub(at) >= crashedAddressTime {
			delete(e.crashedAddresses, address)
		}
	}
}
