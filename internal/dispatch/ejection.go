package dispatch

import (
	"math"
	"slices"
	"time"

	"laburnumpoint/internal/monotime"
)

// A worker whose runs fail, or stand still, much more often than those of its pool is ejected: it gets no new runs while others
// have capacity, and is readmitted by trial runs. The evidence is a cumulative sum of log-likelihood ratios of the rate of a bad
// worker to that of the pool, which is never below 0.
const (
	// badFailureRate is the share of its runs that a bad worker is assumed to fail.
	badFailureRate = 0.5
	// minPoolFailureRate and maxPoolFailureRate bound the failure rate of the pool. Below, a few failures would eject a worker;
	// above, many bad workers would hide each other.
	minPoolFailureRate, maxPoolFailureRate = 0.03, 0.15
	// ejectionEvidence is the evidence at which a worker is ejected: three failed runs in a row where 3% fail, five where 10%
	// do.
	ejectionEvidence = 8
	// readmissionEvidence is the evidence that is left when a worker is readmitted, so that a relapse shows soon.
	readmissionEvidence = ejectionEvidence / 2
	// uselessFailureRate is the share of failed runs from which an ejected worker gets no runs even where no other worker has
	// capacity: each would cost its task one of its attempts.
	uselessFailureRate = 0.7
	// minRunsForUselessness is the least number of runs that this share is computed from, and the number of failed runs in a row that
	// mean the same.
	minRunsForUselessness = 3
	// maxEjectedShare is the share of a pool's workers that may be ejected at the same time.
	maxEjectedShare = 0.1
	// minTrialDelay and maxTrialDelay bound the time until an ejected worker gets a trial run. It doubles with each ejection
	// and each trial that fails.
	minTrialDelay, maxTrialDelay = 2 * time.Second, 30 * time.Second
	// trialsToReadmit is how many trial runs must be done for a worker to be readmitted.
	trialsToReadmit = 3
	// urgentTrialDelay is how long a trial is left to steps that don't prefer fast workers.
	urgentTrialDelay = 10 * time.Second
	// trialWeight is what a due trial counts in a worker's score: more than speed and packing, less than the rack of the data.
	trialWeight = 3.0
	// relapseTime is how long after its readmission a worker that is ejected again waits longer than the first time.
	relapseTime = 60 * time.Second
	// failureRateTime is the time constant with which failure rates forget.
	failureRateTime = 20 * time.Second
	// commonFaultWorkers is on how many other workers runs of a step have failed when a further failure says nothing about its
	// worker.
	commonFaultWorkers = 2
	// maxCountedFailures bounds the failures of a step that are kept. A long-running step may fail any number of times.
	maxCountedFailures = 64
)

// Bounds of runs that stand still. Such a run counts like one that failed, and is not stopped.
const (
	stallCheckInterval = 500 * time.Millisecond
	// stallFactor is for how many times its siblings' run time a run has to make no progress.
	stallFactor = 3
	// overtakenStallFactor is the same for a run that its copy has overtaken: one that takes seven times as long as its siblings
	// makes a tenth of its progress in this time.
	overtakenStallFactor = 0.7
	// unknownProgressDuration is how long a worker is a suspect after a copy has overtaken a run there whose progress is not
	// known yet: until the next report.
	unknownProgressDuration = 1 * time.Second
	// minStallTime is the least time without progress. Workers report about every second.
	minStallTime = 3 * time.Second
)

// failureRate counts runs that were done and that failed, with decay.
type failureRate struct {
	done, failed float64
	at           monotime.Instant
}

func (f *failureRate) add(now monotime.Instant, failed bool) {
	decay := math.Exp(-float64(now.Sub(f.at)) / float64(failureRateTime))
	f.done, f.failed, f.at = f.done*decay, f.failed*decay, now
	if failed {
		f.failed++
	} else {
		f.done++
	}
}

func (f *failureRate) share() float64 {
	if f.done+f.failed == 0 {
		return 0
	}
	return f.failed / (f.done + f.failed)
}

// workerHealth is what the engine knows of the failures of one worker. The zero value is a worker without runs.
type workerHealth struct {
	rate     failureRate
	evidence float64
	ejected  bool
	// useless means that the worker failed nearly all its runs, or all its last ones, before it was ejected.
	useless bool
	// trialAt is from when an ejected worker gets trial runs.
	trialAt monotime.Instant
	// trialsDone counts the trial runs that were done since the last ejection.
	trialsDone int
	// ejections counts the ejections and failed trials in a row.
	ejections    int
	readmittedAt monotime.Instant
}

// isEjected reports whether the worker is ejected and gets no trial runs yet.
func (e *Engine) isEjected(w *worker) bool { return w.health.ejected && e.now < w.health.trialAt }

// onTrial reports whether the worker is ejected and gets trial runs.
func (e *Engine) onTrial(w *worker) bool { return w.health.ejected && e.now >= w.health.trialAt }

// isExcluded reports whether the worker gets no task of the step, whether or not others have capacity: an ejected worker that
// fails nearly all its runs, or one with a trial run. Where a step needs a label, the worker may be the only one that has it;
// long-running tasks, which nothing else may keep waiting, use it as the last one. A gang may need the worker too, but leaves the
// trials to other steps at first.
func (e *Engine) isExcluded(s *step, w *worker) bool {
	if !w.health.ejected || s.def.Label != "" || s.def.LongRunning {
		return false
	}
	if e.onTrial(w) {
		return w.hasTrialRun() || (s.def.Gang && e.now.Sub(w.health.trialAt) < urgentTrialDelay)
	}
	return w.health.useless || e.speedPreference(s) == preferFast
}

// hasTrialRun reports whether a trial run is on the worker. Long-running tasks are no trials, since they don't end.
func (w *worker) hasTrialRun() bool {
	for _, r := range w.runs {
		if r.orderedAt >= w.health.trialAt && !(r.task != nil && r.task.step.def.LongRunning) {
			return true
		}
	}
	return false
}

// healthScore is the part of a worker's score that its ejection adds.
func (e *Engine) healthScore(s *step, w *worker) float64 {
	if !e.onTrial(w) {
		return 0
	}
	if e.isTrialFor(s, w) {
		return trialWeight
	}
	return -suspectWeight
}

// isTrialFor reports whether a task of the step may be the trial run of an ejected worker.
func (e *Engine) isTrialFor(s *step, w *worker) bool {
	return e.onTrial(w) && !s.def.LongRunning && (e.speedPreference(s) != preferFast || e.now.Sub(w.health.trialAt) >= urgentTrialDelay)
}

// recordOutcome counts a run that was done, failed or stands still for its worker's health.
func (e *Engine) recordOutcome(w *worker, r *run, s *step, failed bool) {
	if e.noEjections || (failed && (s.isCommonFault(w) || (r != nil && r.stalled))) {
		return // a run that stood still has been counted
	}
	h := &w.health
	h.rate.add(e.now, failed)
	rate := e.poolFailureRate(w.Pool)
	if !h.ejected {
		rate.add(e.now, failed)
	}
	usual := min(maxPoolFailureRate, max(minPoolFailureRate, rate.share()))
	if failed {
		before := h.evidence
		h.evidence = min(2*ejectionEvidence, before+math.Log(badFailureRate/usual))
		if len(s.failures) < maxCountedFailures {
			s.failures = append(s.failures, &countedFailure{w, h.evidence - before})
		}
	} else {
		h.evidence = max(0, h.evidence+math.Log((1-badFailureRate)/(1-usual)))
	}
	if !h.ejected {
		if failed && h.evidence >= ejectionEvidence && e.mayEject(w) {
			e.eject(w)
		}
		return
	}
	if r == nil || r.orderedAt < h.trialAt {
		return // the run is no trial
	}
	if failed {
		e.eject(w)
		return
	}
	h.trialsDone++
	if h.trialsDone >= trialsToReadmit {
		e.readmit(w)
	}
}

func (e *Engine) readmit(w *worker) {
	h := &w.health
	h.ejected, h.useless, h.evidence, h.readmittedAt = false, false, min(h.evidence, readmissionEvidence), e.now
	w.updateImpaired()
	e.addWorkerEvent(w, WorkerReadmitted)
}

// countedFailure is a failure of a step's run as it was counted against its worker.
type countedFailure struct {
	worker   *worker
	evidence float64
}

// isCommonFault reports whether runs of the step have failed on so many other workers that the fault is rather the job's. If none
// of its tasks is done, what was counted against the first workers is then taken back.
func (s *step) isCommonFault(w *worker) bool {
	others := 0
	for i, f := range s.failures {
		if f.worker != w && !slices.ContainsFunc(s.failures[:i], func(g *countedFailure) bool { return g.worker == f.worker }) {
			others++
		}
	}
	if others < commonFaultWorkers {
		return false
	}
	if s.openTasks == len(s.tasks) {
		for i := range s.failures {
			s.failures[i].takeBack()
		}
	}
	return true
}

func (f *countedFailure) takeBack() {
	if f.evidence > 0 {
		f.worker.health.evidence = max(0, f.worker.health.evidence-f.evidence)
		f.worker.health.rate.failed = max(0, f.worker.health.rate.failed-1)
		f.evidence = 0
	}
}

func (e *Engine) poolFailureRate(pool string) *failureRate {
	rate := e.failureRates[pool]
	if rate == nil {
		rate = &failureRate{}
		e.failureRates[pool] = rate
	}
	return rate
}

// mayEject reports whether the worker may be ejected beside those of its pool that are.
func (e *Engine) mayEject(w *worker) bool {
	p := e.pools[w.Pool]
	if p == nil {
		return false
	}
	return p.ejectedWorkers()+1 <= int(maxEjectedShare*float64(len(p.workers)))
}

// eject ejects a worker, or puts its next trial off.
func (e *Engine) eject(w *worker) {
	h := &w.health
	if !h.ejected {
		if h.readmittedAt == 0 || e.now.Sub(h.readmittedAt) > relapseTime {
			h.ejections = 0
		}
		e.addWorkerEvent(w, WorkerEjected)
	}
	h.ejected, h.trialsDone = true, 0
	w.updateImpaired()
	h.useless = h.useless || w.failsNearlyAll()
	h.trialAt = e.now.Add(min(maxTrialDelay, minTrialDelay<<min(h.ejections, 10)))
	h.ejections++
}

// failsNearlyAll reports whether the worker has lately failed nearly all its runs. A worker that turned bad a moment ago has failed all
// its last ones, after many that were done.
func (w *worker) failsNearlyAll() bool {
	rate := w.health.rate
	return w.consecutiveFailures >= minRunsForUselessness ||
		(rate.done+rate.failed >= minRunsForUselessness && rate.share() >= uselessFailureRate)
}

// findStalledRuns counts the runs that make no progress, while their siblings on other workers were done, as failures of their
// workers.
func (e *Engine) findStalledRuns() {
	if e.noEjections || e.now.Sub(e.stallsCheckedAt) < stallCheckInterval {
		return
	}
	e.stallsCheckedAt = e.now
	for _, p := range e.pools {
		for _, w := range p.workers {
			for _, r := range w.runs {
				if e.isStalled(r) {
					e.recordStall(r)
				}
			}
		}
	}
}

// noteProgress takes back what was counted for a run that stood still and makes progress again. Its worker is readmitted at once if
// nothing else speaks against it.
func (e *Engine) noteProgress(r *run) {
	if !r.stalled {
		return
	}
	r.stalled = false
	if r.stallFailure != nil {
		r.stallFailure.takeBack()
	}
	h := &r.worker.health
	if h.ejected && h.evidence <= readmissionEvidence {
		e.readmit(r.worker)
	}
}

// recordStall counts a run that stands still as one that failed.
func (e *Engine) recordStall(r *run) {
	s := r.task.step
	before := len(s.failures)
	e.recordOutcome(r.worker, r, s, true)
	r.stalled, r.stallFailure = true, nil
	if len(s.failures) > before {
		r.stallFailure = s.failures[before]
	}
}

// noteOvertaken counts the task's run, which its copy has overtaken, as one that stands still if its worker has listed it without
// progress for long enough that even a run many times slower than its siblings would have made some. The stop of such runs makes
// room on their worker, which would take new runs again and again: it is a suspect besides.
func (e *Engine) noteOvertaken(t *task) {
	r := t.run
	typical, ok := t.step.siblings.TypicalTime()
	if !ok || r.stalled || r.state != runRunning {
		return
	}
	progressAt := r.confirmedAt
	if r.progress > 0 {
		progressAt = max(progressAt, r.progressChangedAt)
	}
	switch {
	case r.listedAt.Sub(progressAt) >= time.Duration(overtakenStallFactor*float64(typical)):
		e.recordStall(r)
		r.worker.avoidUntil = max(r.worker.avoidUntil, e.now.Add(suspectDuration))
	case r.progress == 0:
		r.worker.avoidUntil = max(r.worker.avoidUntil, e.now.Add(unknownProgressDuration))
	}
}

// isStalled reports whether a run, not known to be stalled, has made no progress for several times its siblings' run time.
func (e *Engine) isStalled(r *run) bool {
	if r.stalled || r.state != runRunning || r.task == nil || r.confirmedAt == 0 {
		return false
	}
	idle := e.now.Sub(max(r.confirmedAt, r.progressChangedAt))
	if idle < minStallTime {
		return false
	}
	def := r.task.step.def
	if def.Gang || def.LongRunning || def.Filler {
		return false
	}
	typical, ok := r.task.step.siblings.TypicalTime()
	return ok && idle > stallFactor*typical
}

// EjectedWorkers returns how many workers that take new runs are ejected.
func (e *Engine) EjectedWorkers() int {
	n := 0
	for _, p := range e.pools {
		n += p.ejectedWorkers()
	}
	return n
}

func (p *pool) ejectedWorkers() int {
	n := 0
	for _, w := range p.workers {
		if w.health.ejected {
			n++
		}
	}
	return n
}
