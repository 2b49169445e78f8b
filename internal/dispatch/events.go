package dispatch

import (
	"fmt"
	"math"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/workerspeed"
)

// Bounds for suspect workers. A suspect gets new runs only where no other worker has free capacity.
const (
	// refusalBackoff is how long a worker is a suspect after it refused a start.
	refusalBackoff = 500 * time.Millisecond
	// suspectAfterFailures is how many failed runs in a row, without one that was done, make a worker a suspect.
	suspectAfterFailures = 2
	// suspectDuration is how long a worker is a suspect after repeated failures or a start in doubt.
	suspectDuration = 4 * time.Second
	// startAnswerTimeout is how long a start may be unanswered before its worker is a suspect. It is several times what a
	// healthy worker takes under load.
	startAnswerTimeout = 150 * time.Millisecond
)

// isSuspect reports whether a worker gets new runs only where no other worker has free capacity.
func (e *Engine) isSuspect(w *worker) bool {
	return e.now < w.avoidUntil || (w.impaired && e.isEjected(w)) || (w.oldestUnansweredStart > 0 && e.now.Sub(w.oldestUnansweredStart) > startAnswerTimeout)
}

// updateOldestUnansweredStart finds the oldest of the worker's unanswered starts. A worker may have thousands of runs, so that only the
// first of those that were started last is looked at.
func (w *worker) updateOldestUnansweredStart() {
	w.oldestUnansweredStart = 0
	for len(w.lastStarted) > 0 {
		if r := w.lastStarted[0]; r.state == runStarting && w.runs[r.RunKey] == r {
			w.oldestUnansweredStart = r.orderedAt
			return
		}
		w.lastStarted[0] = nil
		w.lastStarted = w.lastStarted[1:]
	}
}

// HandleReport processes the report with which a worker answered a call sent at the given time. It returns the runs
// that are given up because a complete report should have listed them.
func (e *Engine) HandleReport(id WorkerID, sent monotime.Instant, report Report) (given []GivenUpRun) {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	e.setReachable(w, true)
	e.settleByReport(w, report.ProcessStart)
	w.processStart = report.ProcessStart
	listed := make(map[RunKey]struct{}, len(report.Running))
	for _, entry := range report.Running {
		listed[entry.RunKey] = struct{}{}
		e.freeRoomOf(w, entry.RunKey)
		e.handleRunningEntry(w, entry)
	}
	for _, ended := range report.Ended {
		listed[ended.RunKey] = struct{}{}
		e.freeRoomOf(w, ended.RunKey)
		if r := w.runs[ended.RunKey]; r != nil {
			r.noteListed()
		}
		e.settleStart(ended.RunKey)
		if ended.Sequence > w.lastEndSequence {
			w.lastEndSequence = ended.Sequence
			e.unconfirmedEnds[id] = ended.Sequence
			e.handleEnd(w, ended.RunKey, ended.End, ended.Checkpoint)
		}
	}
	if report.Partial {
		return nil // runs that are not listed may have ended
	}
	delete(e.awaitedReports, id)
	e.settleLateStarts(id, sent)
	e.freeRooms(w, func(room lateRoom) bool { return sent >= room.over })
	return e.endUnlistedRuns(w, sent, listed)
}

// minUnlistedTime is how long complete reports must lack a confirmed run before it counts as over. A worker may compose its lists a little
// before it answers, or move a run from one list to the other between the two.
const minUnlistedTime = 500 * time.Millisecond

// isLost reports whether a running run is over, by a complete report without it that was requested at the given time. One that its worker's
// former process may have had is over with the first such report of the next.
func (e *Engine) isLost(r *run, sent monotime.Instant) bool {
	if r.state != runRunning || r.confirmedAt >= sent {
		return false
	}
	if r.unlistedSince == 0 {
		r.unlistedSince = e.now
	}
	return r.pendingCrash != nil || sent.Sub(r.unlistedSince) >= minUnlistedTime
}

// isStopped reports whether a run that is being stopped is over, by a complete report without it that was requested at the given time. A worker
// may list a run no longer once it has acknowledged the stop, while the run takes its time to end.
func (e *Engine) isStopped(r *run, sent monotime.Instant) bool {
	return r.state == runStopping && r.stopAnsweredAt > 0 && sent > r.stopAnsweredAt.Add(e.runEndTime)
}

// endUnlistedRuns ends the runs that complete reports should have listed and did not, and returns them.
func (e *Engine) endUnlistedRuns(w *worker, sent monotime.Instant, listed map[RunKey]struct{}) (given []GivenUpRun) {
	var lostRuns []*run
	w.awaitsReport = false
	for key, r := range w.runs {
		if _, ok := listed[key]; ok {
			r.pendingCrash = nil
			continue
		}
		missing := e.isLost(r, sent)
		stopConfirmed := e.isStopped(r, sent)
		if missing || stopConfirmed {
			given = append(given, e.giveUp(r))
			e.handleEnd(w, key, RunInterrupted, "")
		}
		if missing {
			lostRuns = append(lostRuns, r)
		}
		open := r.unlistedSince > 0 || r.state == runStopping && r.stopAnsweredAt > 0
		w.awaitsReport = w.awaitsReport || open && !missing && !stopConfirmed
	}
	if len(lostRuns) > 0 {
		e.countPendingCrashes(lostRuns)
	}
	return given
}

// HandleRestart processes that a worker's process has ended, or that all its runs have, which was last known to live at aliveAt. Another
// one may run under the worker's id; it has none of the runs of the ended one. A run that was confirmed since aliveAt may be one of the
// next process: its report tells. A start, or an attempt of one, without an answer may still reach the next process, so its run is stopped
// there before the task is started again. HandleRestart returns the runs that are given up.
func (e *Engine) HandleRestart(id WorkerID, end WorkerEnd, aliveAt monotime.Instant) (given []GivenUpRun) {
	delete(e.awaitedReports, id)
	w := e.workers[id]
	if w == nil {
		return nil
	}
	e.setReachable(w, false)
	e.withdrawUnsentStartsOn(w)
	crashed := e.recordEnd(w, end, aliveAt)
	w.lastEndSequence, w.processStart = 0, 0
	delete(e.unconfirmedEnds, id)
	e.forgetProcess(w)
	for key, r := range w.runs {
		if r.maybeOfNextProcess(aliveAt) {
			continue
		}
		if r.confirmedAt == 0 || !r.startAnswered || r.attemptInDoubt || r.confirmedAt > aliveAt {
			e.stopAfterRestart(r)
			continue
		}
		given = append(given, e.giveUp(r))
		e.handleEnd(w, key, RunInterrupted, "")
	}
	e.giveUpCause(crashed)
	return given
}

// maybeOfNextProcess reports whether a run may be one of the worker's next process, and goes on if that lists it. aliveAt is when the
// process that has ended was last known to live.
func (r *run) maybeOfNextProcess(aliveAt monotime.Instant) bool {
	return r.confirmedAt > aliveAt && r.startAnswered && r.state == runRunning
}

// forgetProcess drops what the engine has learned of the worker's process: how its runs went, and the permits and verdicts for it.
func (e *Engine) forgetProcess(w *worker) {
	w.speed, w.health = workerspeed.Speed{}, workerHealth{}
	w.consecutiveFailures, w.avoidUntil = 0, 0
	w.updateImpaired()
	for s := range e.active {
		delete(s.permits, w.ID)
		delete(s.verdicts, w.ID)
		delete(s.avoidances, w)
		s.lastSearchAt = 0
	}
}

// stopAfterRestart stops a run in doubt on the new process of its worker. A stop that the ended process acknowledged does not
// keep the new one from starting the run.
func (e *Engine) stopAfterRestart(r *run) {
	if r.state != runStopping {
		e.stop(r, "a start without an answer may reach the restarted worker")
		return
	}
	r.stopAnsweredAt = 0
	e.unansweredStops[r] = struct{}{}
	e.sendStop(r)
}

func (e *Engine) handleRunningEntry(w *worker, entry RunningEntry) {
	r := w.runs[entry.RunKey]
	if r == nil {
		r = e.addOrphan(w, entry)
	}
	e.confirmRunning(r)
	if r.confirmedAt == 0 {
		r.confirmedAt = e.now
	}
	r.listedAt, r.unlistedSince = e.now, 0
	r.noteListed()
	e.settleStart(r.RunKey)
	e.observeTail(r, entry)
	if entry.Progress != r.progress || r.progressChangedAt == 0 {
		e.noteProgress(r)
		r.progress, r.progressChangedAt = entry.Progress, e.now
	}
	if r.task != nil && entry.Checkpoint != "" {
		r.task.checkpoint = entry.Checkpoint
	}
}

// addOrphan adds a reported run that the engine did not order or no longer knows: a run of an earlier owner, or one whose
// start order was executed late. It becomes its task's current run if the task needs one, and is stopped otherwise.
func (e *Engine) addOrphan(w *worker, entry RunningEntry) *run {
	e.stats.Orphans++
	r := &run{RunKey: entry.RunKey, worker: w, state: runRunning, startAnswered: true, orderedAt: e.now, orphan: true}
	w.runs[entry.RunKey] = r
	t := e.task(entry.Task)
	if t == nil {
		r.unknownSize = true
		w.runsOfUnknownSize++
		e.poolsStale = true
		r.jobEnded = true
		e.stop(r, "no such job")
		return r
	}
	e.allocate(r, t.step)
	t.lastRunNumber = max(t.lastRunNumber, entry.Number)
	if e.keepAsCopy(t) {
		r.task = t
		e.setCopy(t, r)
		return r
	}
	if t.done || t.run != nil || t.step.job.state.Ended() {
		r.surplusOf = t
		t.surplusRuns++
		t.step.addDetachedRun(r)
		r.jobEnded = t.step.job.state.Ended()
		e.stop(r, "run is not needed")
		return r
	}
	// The run is kept even if its step still waits for another one: the earlier owner knew of an end that no worker
	// has reported to this owner yet.
	r.task = t
	t.setRun(r)
	e.markJobStarted(t.step.job)
	return r
}

// allocate takes the allocation of a run of the step from its worker's free capacity.
func (e *Engine) allocate(r *run, s *step) {
	r.allocation = s.def.Allocation()
	r.filler = s.def.Filler
	r.worker.used = r.worker.used.Add(r.allocation)
	s.job.organisation.countRun(r, s)
}

// releaseRun removes a run and frees its allocation.
func (e *Engine) releaseRun(r *run) {
	delete(e.unansweredStops, r)
	if r.worker.runs[r.RunKey] != r {
		return
	}
	delete(r.worker.runs, r.RunKey)
	mayStartLate := r.mayStartLate()
	if mayStartLate {
		e.holdForLateStart(r)
		e.keepRoom(r.worker.ID, lateRoom{r.RunKey, r.allocation, r.lateUntil()})
	} else {
		r.worker.used = r.worker.used.Sub(r.allocation)
		if r.once {
			e.settleStart(r.RunKey)
		}
	}
	r.organisation.releaseRun(r)
	if r.surplusOf != nil {
		r.surplusOf.surplusRuns--
	}
	if r.detachedFrom != nil {
		r.detachedFrom.detachedRuns[r.worker.ID]--
	}
	if r.unknownSize {
		r.worker.runsOfUnknownSize--
		e.poolsStale = true
	}
	e.stopCountingCopy(r)
	if r.task != nil {
		e.removeTaskRun(r)
	}
	r.task = nil
	if p := e.pools[r.worker.Pool]; p != nil && r.worker.takesNewRuns() && !mayStartLate {
		p.capacityGrew(r.worker)
		if r.state != runStopping {
			p.recordFreed(r.allocation, e.now)
			if !r.worker.speed.Slow() {
				p.fastFreed.add(r.allocation, e.now)
			}
		}
	}
}

// confirmRunning notes that the worker has the run.
func (e *Engine) confirmRunning(r *run) {
	if r.state == runStarting {
		r.state = runRunning
	}
	if r.task != nil {
		e.markJobStarted(r.task.step.job)
	}
}

// markJobStarted notes that a task of the job has started. An order to start one does not suffice: callers see the job as
// pending until a worker has carried it out.
func (e *Engine) markJobStarted(j *job) {
	if !j.started {
		j.started = true
		if j.state == graph.Queued {
			j.state = graph.Running
		}
		e.markDirty(j)
	}
}

// handleEnd processes the end of a run on a worker.
func (e *Engine) handleEnd(w *worker, key RunKey, outcome RunOutcome, checkpoint string) {
	r := w.runs[key]
	if r != nil {
		if outcome == RunDone {
			e.observeSpeed(r)
			if r.isCopy() {
				e.stats.CopiesWon++
				e.noteOvertaken(r.task)
			}
		}
		e.observeEnd(r, outcome)
		e.observeRunTime(r, outcome)
		e.releaseRun(r)
	}
	t := e.task(key.Task)
	if t == nil {
		return
	}
	t.lastRunNumber = max(t.lastRunNumber, key.Number)
	j := t.step.job
	if outcome != RunInterrupted {
		e.markJobStarted(j)
	}
	if checkpoint != "" && !t.done {
		t.checkpoint = checkpoint
		e.markDirty(j)
	}
	switch outcome {
	case RunDone:
		e.stats.Done++
		w.consecutiveFailures = 0
		e.recordOutcome(w, r, t.step, false)
		e.handleTaskDone(t)
	case RunFailed:
		e.stats.Failed++
		e.countFailure(w)
		e.recordOutcome(w, r, t.step, true)
		e.avoidAfterFailure(t.step, w, r)
		e.handleTaskFailure(t, key.Number)
	case RunInterrupted:
		e.stats.Interrupted++
	}
	if t.step.def.Gang && outcome != RunDone {
		e.stopGang(t.step, key.Number)
	}
}

func (e *Engine) countFailure(w *worker) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= suspectAfterFailures {
		w.avoidUntil = e.now.Add(suspectDuration)
	}
}

func (e *Engine) handleTaskDone(t *task) {
	if t.step.def.LongRunning {
		return
	}
	if !t.step.def.Gang {
		e.markDone(t)
		return
	}
	// The members of a gang end together, so that one member's end counts for all.
	for _, member := range t.step.tasks {
		e.markDone(member)
	}
}

func (e *Engine) markDone(t *task) {
	if t.done {
		return
	}
	j := t.step.job
	if t.run != nil {
		t.step.placedTasks--
	}
	t.done = true
	if len(t.crashes) > 0 {
		t.crashes = nil
		t.step.countSuspects()
	}
	if !t.step.def.Speculative {
		j.organisation.markReported(t)
	}
	t.step.openTasks--
	e.markDirty(j)
	if !t.step.def.Gang {
		e.stopTaskRuns(t, "task is done")
	}
	if t.step.openTasks > 0 {
		return
	}
	e.recordRunTimes(t.step)
	delete(e.active, t.step)
	t.step.active = false
	o := t.step.within
	o.openSteps--
	if j.state.Ended() {
		return
	}
	if o.openSteps == 0 {
		e.completeOccurrence(o)
		return
	}
	for _, next := range o.steps {
		e.countUnfinishedDependencies(next)
		e.activateIfReady(next)
	}
}

func (e *Engine) handleTaskFailure(t *task, number uint64) {
	s := t.step
	if s.def.LongRunning {
		return
	}
	failed := &t.failedRuns
	if s.def.Gang {
		failed = &s.failedRuns
	}
	if !failed.add(number) {
		return // counted before, by this owner or an earlier one
	}
	e.markDirty(s.job)
	if len(*failed) >= s.job.queue.MaxAttempts && !t.done && !s.job.state.Ended() {
		reason := fmt.Sprintf("task %s has failed %d times", t.id(), len(*failed))
		e.failJob(s.job, FailedByAttempts, reason, []string{fmt.Sprintf("failed runs %v", *failed)}, "job failed")
	}
}

// stopGang stops the other members of a gang's run after one of them has ended.
func (e *Engine) stopGang(s *step, number uint64) {
	for _, member := range s.tasks {
		if member.run != nil && member.run.Number <= number {
			e.stop(member.run, "another member of the gang ended")
		}
	}
}

// HandleAttemptInDoubt notes that an attempt of a start order has no answer although another one has. The worker refuses it, but its next
// process under its id may not.
func (e *Engine) HandleAttemptInDoubt(id WorkerID, key RunKey) {
	if w := e.workers[id]; w != nil && w.runs[key] != nil {
		w.runs[key].attemptInDoubt = true
	}
}

// HandleStartOutcome processes the outcome of a start order.
func (e *Engine) HandleStartOutcome(id WorkerID, key RunKey, outcome StartOutcome) {
	w := e.workers[id]
	if w == nil {
		return
	}
	defer w.updateOldestUnansweredStart()
	r := w.runs[key]
	if r == nil {
		return // the run's end was processed before the answer
	}
	listed := r.startAnswered
	r.startAnswered = listed || outcome != StartInDoubt
	if r.startAnswered && r.once {
		e.settleStart(key)
	}
	switch outcome {
	case Started:
		e.confirmRunning(r)
		r.confirmedAt = e.now
	case StartInDoubt:
		e.stats.InDoubt++
		w.avoidUntil = max(w.avoidUntil, e.now.Add(suspectDuration))
		if !listed {
			e.stop(r, "start was not answered")
		}
	default:
		if r.listedAt > 0 {
			return // another attempt has begun the run, whose end the worker will list
		}
		e.stats.Refused++
		e.handleStartRefusal(w, r, outcome)
	}
}

func (e *Engine) handleStartRefusal(w *worker, r *run, outcome StartOutcome) {
	t := r.task
	e.releaseRun(r)
	switch outcome {
	case StartNoCapacity:
		w.avoidUntil = max(w.avoidUntil, e.now.Add(refusalBackoff))
	case StartOutdated:
		if t != nil {
			t.lastRunNumber += outdatedRunSkip
		}
	case StartNoPermit:
		if t != nil {
			delete(t.step.permits, w.ID)
		}
	case StartNotSent:
	default:
		w.avoidUntil = max(w.avoidUntil, e.now.Add(refusalBackoff))
	}
	if t != nil && t.step.def.Gang {
		e.stopGang(t.step, r.Number)
	}
}

// AwaitsReport reports whether a run of the worker may be over that only further reports tell of.
func (e *Engine) AwaitsReport(id WorkerID) bool {
	w := e.workers[id]
	return w != nil && w.awaitsReport
}

// HandleStopAnswer processes the outcome of a stop order. A stop that is not acknowledged is sent again.
func (e *Engine) HandleStopAnswer(id WorkerID, key RunKey, acknowledged bool) {
	w := e.workers[id]
	if w == nil {
		return
	}
	r := w.runs[key]
	if r == nil {
		return
	}
	if acknowledged {
		r.stopAnsweredAt = e.now
		w.awaitsReport = true
		delete(e.unansweredStops, r)
		return
	}
	r.stopRetryAt = e.now.Add(stopRetryDelay)
}

// HandleStopWaiting notes that the last stop order of a run waits to be sent. It is not repeated before HandleStopSent, and its worker
// can't be late with an answer.
func (e *Engine) HandleStopWaiting(id WorkerID, key RunKey) {
	if r := e.unansweredStop(id, key); r != nil {
		r.stopRetryAt = math.MaxInt64
		r.stopSent = r.stopSent && !r.firstStop
	}
}

// HandleStopSent notes that a stop order that waited has been sent.
func (e *Engine) HandleStopSent(id WorkerID, key RunKey) {
	if r := e.unansweredStop(id, key); r != nil {
		r.stopRetryAt = e.now.Add(maxStopTime)
		if !r.stopSent {
			r.stopSent, r.stopSentAt = true, e.now
		}
	}
}

// HandleStopNotSent notes that a stop order ended without being sent. It is sent again.
func (e *Engine) HandleStopNotSent(id WorkerID, key RunKey) {
	e.HandleStopWaiting(id, key)
	e.HandleStopAnswer(id, key, false)
}

// unansweredStop returns the run if its worker has not acknowledged its stop, and nil otherwise.
func (e *Engine) unansweredStop(id WorkerID, key RunKey) *run {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	r := w.runs[key]
	if _, unanswered := e.unansweredStops[r]; !unanswered {
		return nil
	}
	return r
}

// permitRetryInterval is how long a step waits after a permit request without an answer.
const permitRetryInterval = 200 * time.Millisecond

// HandlePermits processes the policy service's answer to a permit request for a step. tickets has an entry for each of the
// requested workers that may run it; valid is how long the permits last. ok is false if there was no answer.
func (e *Engine) HandlePermits(id StepID, requested []WorkerID, tickets map[WorkerID]string, valid time.Duration, ok bool) {
	s := e.step(id)
	if s == nil {
		return
	}
	s.finishPermitRequest(requested)
	s.lastSearchAt = 0
	if !ok {
		s.nextPermitRequestAt = e.now.Add(permitRetryInterval)
		return
	}
	if s.permits == nil {
		s.permits = make(map[WorkerID]permit)
		s.verdicts = make(map[WorkerID]bool)
	}
	count := e.verdictCounts[s.job.queue.Name]
	for _, w := range requested {
		ticket, allowed := tickets[w]
		count.asked++
		s.verdicts[w] = allowed
		if allowed {
			count.allowed++
			s.permits[w] = permit{ticket, e.now.Add(valid)}
		}
	}
	e.verdictCounts[s.job.queue.Name] = count
}
