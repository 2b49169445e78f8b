package dispatch

import (
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Bounds of what a failing worker is kept from.
const (
	// roomBackoff keeps new runs from a worker that refused one for want of room.
	roomBackoff = 500 * time.Millisecond
	// suspectFailures in a row without a run that was done make a worker suspect.
	suspectFailures = 2
	// suspectTime keeps new runs from a suspect worker while others have room.
	suspectTime = 4 * time.Second
	// answerTime is how long a start may go unanswered before the worker is suspect: several times what a sound worker takes
	// under load.
	answerTime = 150 * time.Millisecond
)

// isSuspect reports whether a worker gets new runs only where no other has room.
func (e *Engine) isSuspect(w *worker) bool {
	return e.now < w.avoidUntil || (w.unanswered > 0 && e.now.Sub(w.unanswered) > answerTime)
}

// countUnanswered finds the earliest of the worker's starts that have no answer.
func (w *worker) countUnanswered() {
	w.unanswered = 0
	for _, r := range w.runs {
		if r.state == runStarting && (w.unanswered == 0 || r.ordered < w.unanswered) {
			w.unanswered = r.ordered
		}
	}
}

// HandleReport takes in what a worker listed in answer to a call sent at the given time. It returns the runs that are given up
// because the worker should have listed them.
func (e *Engine) HandleReport(id WorkerID, sent monotime.Instant, report Report) (lost []RunKey) {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	e.setReachable(w, true)
	listed := make(map[RunKey]struct{}, len(report.Running))
	for _, entry := range report.Running {
		listed[entry.RunKey] = struct{}{}
		e.listRunning(w, entry)
	}
	for _, ended := range report.Ended {
		listed[ended.RunKey] = struct{}{}
		if ended.Sequence > w.recorded {
			w.recorded = ended.Sequence
			e.endRun(w, ended.RunKey, ended.End, ended.Checkpoint)
		}
	}
	if report.Partial {
		return nil // what is not listed may have ended
	}
	delete(e.awaited, id)
	return e.dropAbsent(w, sent, listed)
}

// dropAbsent ends the runs that the worker should have listed and did not. It returns those that had been confirmed.
func (e *Engine) dropAbsent(w *worker, sent monotime.Instant, listed map[RunKey]struct{}) (lost []RunKey) {
	for key, r := range w.runs {
		if _, ok := listed[key]; ok {
			continue
		}
		missing := r.state == runRunning && r.confirmed < sent
		settled := r.state == runStopping && r.stopAnswered > 0 && r.stopAnswered < sent
		if missing || settled {
			e.endRun(w, key, RunInterrupted, "")
		}
		if missing {
			lost = append(lost, key)
		}
	}
	return lost
}

func (e *Engine) listRunning(w *worker, entry RunningEntry) {
	r := w.runs[entry.RunKey]
	if r == nil {
		r = e.adopt(w, entry)
	}
	if r.state == runStarting {
		r.state = runRunning
	}
	if r.confirmed == 0 {
		r.confirmed = e.now
	}
	if entry.Progress != r.progress || r.progressAt == 0 {
		r.progress, r.progressAt = entry.Progress, e.now
	}
	if r.task != nil && entry.Checkpoint != "" {
		r.task.checkpoint = entry.Checkpoint
	}
}

// adopt takes in a run that the engine did not order, or no longer knows: one of an earlier owner, or an order that was
// carried out late. It becomes its task's run if the task needs one, and is stopped otherwise.
func (e *Engine) adopt(w *worker, entry RunningEntry) *run {
	e.stats.Orphans++
	r := &run{RunKey: entry.RunKey, worker: w, state: runRunning, ordered: e.now}
	w.runs[entry.RunKey] = r
	t := e.task(entry.Task)
	if t == nil {
		r.unsized = true
		w.unsized++
		e.poolsStale = true
		e.stop(r, "no such job")
		return r
	}
	e.reserve(r, t.step.def)
	t.lastRun = max(t.lastRun, entry.Number)
	if t.done || t.run != nil || t.step.job.state.Ended() {
		r.strayOf = t
		t.strays++
		t.step.addExtra(r)
		e.stop(r, "run is not needed")
		return r
	}
	// A step that still waits for another is no reason to stop its run: the earlier owner had heard of the end that
	// this one has yet to hear of.
	r.task = t
	t.assign(r)
	e.markStarted(t.step.job)
	return r
}

func (e *Engine) reserve(r *run, def *graph.Step) {
	r.held = def.Allocation()
	r.filler = def.Filler
	r.worker.used = r.worker.used.Add(r.held)
}

// drop releases a run that is gone.
func (e *Engine) drop(r *run) {
	delete(e.stopping, r)
	if r.worker.runs[r.RunKey] != r {
		return
	}
	delete(r.worker.runs, r.RunKey)
	r.worker.used = r.worker.used.Sub(r.held)
	if r.strayOf != nil {
		r.strayOf.strays--
	}
	if r.extraOf != nil {
		r.extraOf.extra[r.worker.ID]--
	}
	if r.unsized {
		r.worker.unsized--
		e.poolsStale = true
	}
	if r.task != nil && r.task.run == r {
		r.task.assign(nil)
	}
	r.task = nil
	if p := e.pools[r.worker.Pool]; p != nil {
		p.roomGrew(r.worker)
		if r.state != runStopping {
			p.noteEnd(r.held, e.now)
		}
	}
}

func (e *Engine) markStarted(j *job) {
	if !j.started {
		j.started = true
		if j.state == graph.Queued {
			j.state = graph.Running
		}
		e.markDirty(j)
	}
}

// endRun takes in the end of a run on a worker.
func (e *Engine) endRun(w *worker, key RunKey, end RunOutcome, checkpoint string) {
	if r := w.runs[key]; r != nil {
		e.drop(r)
	}
	t := e.task(key.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, key.Number)
	j := t.step.job
	if checkpoint != "" && !t.done {
		t.checkpoint = checkpoint
		e.markDirty(j)
	}
	switch end {
	case RunDone:
		e.stats.Done++
		w.failures = 0
		e.taskDone(t)
	case RunFailed:
		e.stats.Failed++
		e.countFailure(w)
		e.taskFailed(t, key.Number)
	case RunInterrupted:
		e.stats.Interrupted++
	}
	if t.step.def.Gang && end != RunDone {
		e.breakGang(t.step, key.Number)
	}
}

func (e *Engine) countFailure(w *worker) {
	w.failures++
	if w.failures >= suspectFailures {
		w.avoidUntil = e.now.Add(suspectTime)
	}
}

func (e *Engine) taskDone(t *task) {
	if t.step.def.LongRunning {
		return
	}
	if !t.step.def.Gang {
		e.markDone(t)
		return
	}
	// The members of a gang end together: one end stands for all.
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
		t.step.placed--
	}
	t.done = true
	t.step.open--
	e.markDirty(j)
	if t.run != nil && !t.step.def.Gang {
		e.abandon(t.run, "task is done")
	}
	if t.step.open > 0 {
		return
	}
	delete(e.active, t.step)
	t.step.active = false
	j.openSteps--
	if j.state.Ended() {
		return
	}
	if j.openSteps == 0 {
		j.state = graph.Completed
		return
	}
	for _, next := range j.steps[t.step.occurrence] {
		e.countWaiting(next)
		e.activate(next)
	}
}

func (e *Engine) taskFailed(t *task, number uint64) {
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
		e.endJob(s.job, graph.Failed, "job failed")
	}
}

// breakGang stops the members of a gang's run of which one has ended.
func (e *Engine) breakGang(s *step, number uint64) {
	for _, member := range s.tasks {
		if member.run != nil && member.run.Number <= number {
			e.stop(member.run, "another member of the gang ended")
		}
	}
}

// HandleStartOutcome takes in the outcome of a start.
func (e *Engine) HandleStartOutcome(id WorkerID, key RunKey, outcome StartOutcome) {
	w := e.workers[id]
	if w == nil {
		return
	}
	r := w.runs[key]
	if r == nil {
		return
	}
	defer w.countUnanswered()
	switch outcome {
	case Started:
		if r.state == runStarting {
			r.state = runRunning
		}
		r.confirmed = e.now
	case StartInDoubt:
		e.stats.InDoubt++
		w.avoidUntil = max(w.avoidUntil, e.now.Add(suspectTime))
		e.stop(r, "start was not answered")
	default:
		e.stats.Refused++
		e.startRefused(w, r, outcome)
	}
}

func (e *Engine) startRefused(w *worker, r *run, outcome StartOutcome) {
	t := r.task
	e.drop(r)
	switch outcome {
	case StartNoCapacity:
		w.avoidUntil = max(w.avoidUntil, e.now.Add(roomBackoff))
	case StartOutdated:
		if t != nil {
			t.lastRun += outdatedStep
		}
	case StartNoPermit:
		if t != nil {
			delete(t.step.permits, w.ID)
		}
	default:
		w.avoidUntil = max(w.avoidUntil, e.now.Add(roomBackoff))
	}
	if t != nil && t.step.def.Gang {
		e.breakGang(t.step, r.Number)
	}
}

// HandleStopAnswer takes in that a worker acknowledged a stop; ok false means that it did not.
func (e *Engine) HandleStopAnswer(id WorkerID, key RunKey, ok bool) {
	w := e.workers[id]
	if w == nil {
		return
	}
	if r := w.runs[key]; r != nil && ok {
		r.stopAnswered = e.now
		delete(e.stopping, r)
	}
}

// askRetry is kept after a question without an answer.
const askRetry = 200 * time.Millisecond

// HandlePermits takes in the policy service's answer about a step: tickets of the workers that may run it, among those asked.
// ok false means that there was no answer.
func (e *Engine) HandlePermits(id StepID, asked []WorkerID, tickets map[WorkerID]string, valid time.Duration, ok bool) {
	s := e.step(id)
	if s == nil {
		return
	}
	s.answered(asked)
	s.triedAt = 0
	if !ok {
		s.askAt = e.now.Add(askRetry)
		return
	}
	if s.permits == nil {
		s.permits = make(map[WorkerID]permit)
		s.allowed = make(map[WorkerID]bool)
	}
	count := e.verdicts[s.job.queue.Name]
	for _, w := range asked {
		ticket, good := tickets[w]
		count.asked++
		s.allowed[w] = good
		if good {
			count.allowed++
			s.permits[w] = permit{ticket, e.now.Add(valid)}
		}
	}
	e.verdicts[s.job.queue.Name] = count
}
