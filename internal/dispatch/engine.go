package dispatch

import (
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

const (
	// runNumbersPerEpoch is the space of run numbers that each owner has for a task, so that a new owner's numbers are above
	// those of every earlier one without a record of each start. A task that is refused in each round of decisions, every
	// 2 ms, uses it up in half an hour.
	runNumbersPerEpoch = 1_000_000
	// outdatedRunSkip is how far a task's numbers go on where a worker has seen a higher one.
	outdatedRunSkip = 100
)

// Engine holds the jobs, the workers and the runs of one cell. It is not safe for concurrent use.
type Engine struct {
	now           monotime.Instant
	runNumberBase uint64
	jobs          map[graph.JobID]*job
	workers       map[WorkerID]*worker
	// active holds the steps whose dependencies are met and which have open tasks.
	active map[*step]struct{}
	// scheduled holds the steps that wait only for their time of day.
	scheduled map[*step]struct{}
	dirty     map[*job]struct{}
	orders    []Order
	// awaitedReports holds the workers that may run tasks of earlier owners and have not reported yet, with their pools.
	awaitedReports map[WorkerID]string
	// unansweredStops holds the runs whose stop may have to be sent again.
	unansweredStops map[*run]struct{}
	// pools holds the workers that take new runs; poolsStale means that it has to be made anew.
	pools      map[string]*pool
	poolsStale bool
	// waitingTasks counts the tasks that the last plan could have placed.
	waitingTasks int
	// verdictCounts counts what the policy service has said, by queue.
	verdictCounts map[string]verdictCount
	stats         Stats
}

// Stats counts decisions since the engine was made.
type Stats struct {
	Starts, Refused, InDoubt, Done, Failed, Interrupted, PermitRequests, Orphans, Preempted uint64
	// WorkersEvaluated counts the workers that were looked at for a step, which is most of what deciding costs.
	WorkersEvaluated uint64
}

// New returns an engine without jobs for the owner with the given epoch.
func New(epoch uint64) *Engine {
	return &Engine{
		runNumberBase:   (epoch - 1) * runNumbersPerEpoch,
		jobs:            make(map[graph.JobID]*job),
		workers:         make(map[WorkerID]*worker),
		active:          make(map[*step]struct{}),
		scheduled:       make(map[*step]struct{}),
		dirty:           make(map[*job]struct{}),
		awaitedReports:  make(map[WorkerID]string),
		unansweredStops: make(map[*run]struct{}),
		verdictCounts:   make(map[string]verdictCount),
	}
}

// SetNow advances the engine's time; every other call takes place at that time.
func (e *Engine) SetNow(now monotime.Instant) { e.now = max(e.now, now) }

// Stats returns the counts so far.
func (e *Engine) Stats() Stats { return e.stats }

// WaitingTasks returns the number of tasks that were to be placed at the last plan.
func (e *Engine) WaitingTasks() int { return e.waitingTasks }

// AwaitReport keeps the tasks of uncertain jobs of the pool from starting until the worker has reported or is dead.
func (e *Engine) AwaitReport(id WorkerID, pool string) { e.awaitedReports[id] = pool }

// awaitsReports reports whether a worker of the pool is awaited.
func (e *Engine) awaitsReports(pool string) bool {
	for _, p := range e.awaitedReports {
		if p == pool {
			return true
		}
	}
	return false
}

// ReportsComplete reports whether every awaited worker has reported or is dead.
func (e *Engine) ReportsComplete() bool { return len(e.awaitedReports) == 0 }

// AddJob takes a job in. arrived orders jobs; uncertain says that an earlier owner may have started its tasks.
func (e *Engine) AddJob(id graph.JobID, queue graph.Queue, spec *graph.Spec, arrivedAt monotime.Instant, progress *Progress, unconfirmed bool) {
	if e.jobs[id] != nil {
		return
	}
	j := &job{id: id, queue: queue, spec: spec, arrivedAt: arrivedAt, state: graph.Queued, unconfirmed: unconfirmed, objective: queue.Objective(spec)}
	criticalPaths := spec.CriticalPaths(queue.ExpectedPermitLatency())
	for k := range spec.OccurrenceCount() {
		steps := make([]*step, len(spec.Steps))
		for i := range spec.Steps {
			steps[i] = newStep(j, k, i)
			steps[i].remainingPath = criticalPaths[i]
		}
		j.steps = append(j.steps, steps)
	}
	j.openSteps = len(j.steps) * len(spec.Steps)
	e.jobs[id] = j
	if progress != nil {
		j.restore(*progress)
	}
	if j.state.Ended() {
		return
	}
	for _, occurrence := range j.steps {
		for _, s := range occurrence {
			e.countUnfinishedDependencies(s)
		}
	}
	for _, occurrence := range j.steps {
		for _, s := range occurrence {
			e.activateIfReady(s)
		}
	}
}

func newStep(j *job, occurrence, index int) *step {
	def := &j.spec.Steps[index]
	s := &step{job: j, occurrence: occurrence, index: index, def: def, openTasks: def.Count}
	for i := range def.Count {
		s.tasks = append(s.tasks, &task{step: s, index: i})
	}
	return s
}

// countUnfinishedDependencies counts the earlier steps that s still waits for.
func (e *Engine) countUnfinishedDependencies(s *step) {
	s.unfinishedDependencies = 0
	for _, before := range s.def.After {
		if s.job.steps[s.occurrence][before].openTasks > 0 {
			s.unfinishedDependencies++
		}
	}
}

// activateIfReady makes a step eligible if its dependencies are met and its time of day has come.
func (e *Engine) activateIfReady(s *step) {
	if s.unfinishedDependencies > 0 || s.openTasks == 0 || s.active || s.job.state.Ended() {
		return
	}
	if s.job.spec.Occurrences > 0 && len(s.def.After) == 0 {
		e.scheduled[s] = struct{}{}
		return
	}
	e.setActive(s)
}

func (e *Engine) setActive(s *step) {
	s.active = true
	if s.due == 0 {
		s.due = s.job.arrivedAt.Add(s.job.objective)
	}
	e.active[s] = struct{}{}
}

// activateDue activates the scheduled steps that are due at the time of day, given since the Unix epoch.
func (e *Engine) activateDue(wall time.Duration) {
	for s := range e.scheduled {
		if late := wall - s.job.spec.DueAt(s.occurrence); late >= 0 {
			delete(e.scheduled, s)
			for _, other := range s.job.steps[s.occurrence] {
				other.due = e.now.Add(s.job.objective - late)
			}
			e.setActive(s)
		}
	}
}

// Cancel ends a job and stops its runs.
func (e *Engine) Cancel(id graph.JobID) {
	if j := e.jobs[id]; j != nil && !j.state.Ended() {
		e.endJob(j, graph.Cancelled, "job cancelled")
	}
}

func (e *Engine) endJob(j *job, state graph.JobState, reason string) {
	j.state = state
	e.markDirty(j)
	for _, occurrence := range j.steps {
		for _, s := range occurrence {
			delete(e.active, s)
			delete(e.scheduled, s)
			s.active = false
		}
	}
	j.eachTask(func(t *task) {
		if t.run != nil {
			e.detachAndStop(t.run, reason)
		}
	})
}

// detachAndStop stops a run and takes it from its task.
func (e *Engine) detachAndStop(r *run, reason string) {
	if r.task != nil {
		r.task.step.addDetachedRun(r)
		r.task.setRun(nil)
		r.task = nil
	}
	e.stop(r, reason)
}

// stop orders a run's end; the task keeps the run until it is gone.
func (e *Engine) stop(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.stopReason = reason
	e.unansweredStops[r] = struct{}{}
	e.sendStop(r)
}

func (e *Engine) sendStop(r *run) {
	r.stopRetryAt = e.now.Add(stopRetryInterval)
	e.orders = append(e.orders, Stop{RunKey: r.RunKey, Worker: r.worker.ID, Reason: r.stopReason})
}

// stopRetryInterval is how long an unanswered stop waits before it is sent again; a little over the calls' timeout.
const stopRetryInterval = 1200 * time.Millisecond

func (e *Engine) markDirty(j *job) {
	j.dirty = true
	e.dirty[j] = struct{}{}
}

// Forget drops a job that has ended, and reports whether it is gone: a job with runs that are still being stopped stays.
func (e *Engine) Forget(id graph.JobID) bool {
	j := e.jobs[id]
	if j == nil {
		return true
	}
	needed := !j.state.Ended() || j.dirty
	j.eachTask(func(t *task) { needed = needed || t.run != nil || t.surplusRuns > 0 })
	if needed {
		return false
	}
	delete(e.jobs, id)
	return true
}

// TakeDirty returns the jobs whose progress changed since the last call.
func (e *Engine) TakeDirty(limit int) map[graph.JobID]Progress {
	changed := make(map[graph.JobID]Progress, min(limit, len(e.dirty)))
	for j := range e.dirty {
		if len(changed) == limit {
			break
		}
		delete(e.dirty, j)
		j.dirty = false
		changed[j.id] = j.progress()
	}
	return changed
}

// HasDirty reports whether progress waits to be recorded.
func (e *Engine) HasDirty() bool { return len(e.dirty) > 0 }

// MarkDirty makes a job's progress be recorded again, after a record whose outcome is not known.
func (e *Engine) MarkDirty(id graph.JobID) {
	if j := e.jobs[id]; j != nil {
		e.markDirty(j)
	}
}

// LastEndSequences returns, for each worker, the sequence of the last end that the engine has taken in.
func (e *Engine) LastEndSequences() map[WorkerID]uint64 {
	sequences := make(map[WorkerID]uint64, len(e.workers))
	for id, w := range e.workers {
		sequences[id] = w.lastEndSequence
	}
	return sequences
}

// PutWorker adds a worker or updates what the register says of it.
func (e *Engine) PutWorker(registered Worker) {
	w := e.workers[registered.ID]
	if w == nil {
		w = &worker{runs: make(map[RunKey]*run)}
		e.workers[registered.ID] = w
	}
	w.Worker = registered
	e.poolsStale = true
}

// SetReachable tells whether the worker answers; one that does not gets nothing new.
func (e *Engine) SetReachable(id WorkerID, reachable bool) {
	if w := e.workers[id]; w != nil {
		e.setReachable(w, reachable)
	}
}

func (e *Engine) setReachable(w *worker, reachable bool) {
	if w.reachable != reachable {
		w.reachable = reachable
		e.poolsStale = true
	}
}

// RemoveWorker takes a worker out that has certainly ended, with everything that ran on it, and returns those runs.
func (e *Engine) RemoveWorker(id WorkerID) (ended []RunKey) {
	delete(e.awaitedReports, id)
	w := e.workers[id]
	if w == nil {
		return nil
	}
	delete(e.workers, id)
	e.poolsStale = true
	for _, r := range w.runs {
		ended = append(ended, r.RunKey)
		e.handleEnd(w, r.RunKey, RunInterrupted, "")
	}
	return ended
}

// HasRuns reports whether the worker may run anything.
func (e *Engine) HasRuns(id WorkerID) bool {
	w := e.workers[id]
	return w != nil && len(w.runs) > 0
}

func (e *Engine) task(id graph.TaskID) *task {
	s := e.step(StepID{id.Job, id.Occurrence, id.Step})
	if s == nil || id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

func (e *Engine) step(id StepID) *step {
	j := e.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= len(j.steps) {
		return nil
	}
	steps := j.steps[id.Occurrence]
	if id.Step < 0 || id.Step >= len(steps) {
		return nil
	}
	return steps[id.Step]
}

// JobState returns the state of a job that the engine knows.
func (e *Engine) JobState(id graph.JobID) (graph.JobState, bool) {
	j := e.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}
