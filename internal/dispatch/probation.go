package dispatch

import (
	"slices"
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
	// announcedShare is which part of a pool's workers may be kept for suspects that wait: one in that many.
	announcedShare = 4
	// crashedAddressTime is how long suspects avoid the address of a worker that has crashed, which may be at fault itself.
	crashedAddressTime = 10 * time.Second
)

// probation keeps tasks of other jobs from a worker while it starts a suspect.
type probation struct {
	job   *job
	until monotime.Instant
	// announced means that the suspect has not started yet.
	announced bool
}

// quietWait is a suspect's wait for a worker to be quiet. It ends at the start of the task.
type quietWait struct {
	// worker is the one that is kept for it; nil if it waits no longer.
	worker *worker
	since  monotime.Instant
}

// startAwaited starts the suspects whose worker is quiet now, and returns the open tasks that wait for none.
func (e *Engine) startAwaited(s *step, p *pool, open []*task) []*task {
	if s.suspects == 0 {
		return open
	}
	counts := s.runsPerWorker()
	var rest []*task
	for _, t := range open {
		w := t.quietWait.worker
		switch {
		case w == nil:
			rest = append(rest, t)
		case !slices.Contains(p.workers, w) || !e.hasCapacity(s, w, graph.Resources{}, counts) || !s.eligible(w) || !s.hasPermit(w, e.now):
			t.quietWait.worker = nil
			w.endAnnouncement(s.job)
			rest = append(rest, t)
		case w.isQuietFor(s.job, e.now):
			e.startRun(t, w, e.nextRunNumber(t.lastRunNumber))
			counts[w.ID]++
			p.notePlaced(s, 1)
		case e.now.Sub(t.quietWait.since) >= maxQuietWait:
			t.quietWait.worker = nil
			w.endAnnouncement(s.job)
			rest = append(rest, t)
		}
	}
	return rest
}

// awaitQuiet lets a suspect wait until the worker is quiet, and keeps other jobs' tasks from it. It reports false if the task has waited
// long enough, or too many of the pool's workers are kept so.
func (e *Engine) awaitQuiet(t *task, w *worker, p *pool) bool {
	since := t.quietWait.since
	switch {
	case since == 0:
		since = e.now
	case e.now.Sub(since) >= maxQuietWait:
		return false
	}
	if w.probation.job != t.step.job {
		if e.announcedProbations(p) >= max(1, len(p.workers)/announcedShare) {
			return false
		}
		w.probation = probation{job: t.step.job, until: e.now.Add(startSpread + probationTime), announced: true}
		w.updateImpaired()
	}
	t.quietWait = quietWait{w, since}
	return true
}

// announcedProbations counts the pool's workers that are kept for suspects which have not started there yet.
func (e *Engine) announcedProbations(p *pool) int {
	n := 0
	for _, w := range p.workers {
		if w.probation.announced && e.now < w.probation.until {
			n++
		}
	}
	return n
}

// endAnnouncement ends the probation of a worker that was kept for a suspect of the job.
func (w *worker) endAnnouncement(j *job) {
	if w.probation.announced && w.probation.job == j {
		w.probation = probation{}
		w.updateImpaired()
	}
}

// isQuietFor reports whether no run of another job would be as likely a cause of a crash that follows a start of the job's.
func (w *worker) isQuietFor(j *job, now monotime.Instant) bool {
	if w.startedOtherJob(j, now) {
		return false
	}
	for key, r := range w.runs {
		if key.Task.Job != j.id && r.confirmedAt == 0 {
			return false
		}
	}
	return true
}

// startedOtherJob reports whether a task of another job was just started on the worker.
func (w *worker) startedOtherJob(j *job, now monotime.Instant) bool {
	last := w.lastStartAt
	if w.lastStartJob == j {
		last = w.earlierStartAt
	}
	return last > 0 && now.Sub(last) <= startSpread
}

// noteStart notes that a run of the task is started on the worker.
func (e *Engine) noteStart(w *worker, t *task) {
	if w.lastStartJob != t.step.job {
		w.earlierStartAt = w.lastStartAt
	}
	w.lastStartAt, w.lastStartJob = e.now, t.step.job
	t.quietWait = quietWait{}
	if t.step.suspects > 0 && t.isSuspect() {
		w.probation = probation{job: t.step.job, until: e.now.Add(probationTime)}
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
	if w.startedOtherJob(s.job, e.now) {
		score -= suspectWeight
	}
	return score
}

// forgetCrashes drops the addresses that suspects no longer avoid, and what is too old for proof or for a common cause.
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
