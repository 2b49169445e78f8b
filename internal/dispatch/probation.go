package dispatch

import (
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Bounds of the probation with which the next run of a suspect begins.
const (
	// probationTime is how long the start of a suspect keeps tasks of other jobs from its worker.
	probationTime = 250 * time.Millisecond
	// maxQuietWait is how long a suspect that has found room waits for a worker on which no other job's task was started just before.
	maxQuietWait = 1 * time.Second
	// crashedAddressTime is how long suspects avoid the address of a worker that has crashed, which may be at fault itself.
	crashedAddressTime = 10 * time.Second
)

// probation keeps tasks of other jobs from a worker while it starts a suspect.
type probation struct {
	job   *job
	until monotime.Instant
}

// placeSuspects starts the suspects among the open tasks on quiet workers. Where the best worker is not quiet, its probation begins before
// the start and the suspect is kept waiting. It returns the open tasks that are neither started nor kept, and how many are kept.
func (e *Engine) placeSuspects(s *step, workers []*worker, open []*task) (rest []*task, kept int) {
	if s.suspects == 0 {
		return open, 0
	}
	counts := s.runsPerWorker()
	ranked := e.rank(s, workers, nil, counts)
	for _, t := range open {
		w := ranked.best()
		switch {
		case w == nil || !t.isSuspect() || t.locality.wait != nil:
			rest = append(rest, t)
		case !w.isQuietFor(s.job.id, e.now) && e.mayWaitForQuiet(t):
			w.probation = probation{s.job, e.now.Add(startSpread + probationTime)}
			w.updateImpaired()
			kept++
		default:
			e.startRun(t, w, e.nextRunNumber(t.lastRunNumber))
			t.run.away = e.placesMatter(s) && !s.isNear(w)
			t.quietWaitFrom = 0
			counts[w.ID]++
			if s.def.TailTarget > 0 {
				ranked = e.rank(s, workers, nil, counts) // as in placeTasks
			} else {
				ranked.placed()
			}
		}
	}
	return rest, kept
}

// mayWaitForQuiet reports whether a suspect has not waited too long for a quiet worker, and notes that it waits.
func (e *Engine) mayWaitForQuiet(t *task) bool {
	if t.quietWaitFrom == 0 {
		t.quietWaitFrom = e.now
	}
	return e.now.Sub(t.quietWaitFrom) < maxQuietWait
}

// isQuietFor reports whether no run of another job would be as likely a cause of a crash that follows a start of the job's.
func (w *worker) isQuietFor(id graph.JobID, now monotime.Instant) bool {
	for key, r := range w.runs {
		if key.Task.Job != id && (r.confirmedAt == 0 || now.Sub(r.orderedAt) <= startSpread) {
			return false
		}
	}
	return true
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
	for len(e.unreachable) > 0 && e.now.Sub(e.unreachable[0].at) >= crashedAddressTime {
		e.unreachable = e.unreachable[1:]
	}
	for address, at := range e.crashedAddresses {
		if e.now.Sub(at) >= crashedAddressTime {
			delete(e.crashedAddresses, address)
		}
	}
}
