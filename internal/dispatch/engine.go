package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/overload"
	"laburnumpoint/internal/workerspeed"
)

const (
	// runNumbersPerEpoch is how many run numbers each owner has for a task. A new owner's numbers are above those of all
	// earlier owners, so that starts need not be recorded. A task that is refused in each round of decisions, every 2 ms, uses
	// them up in half an hour.
	runNumbersPerEpoch = 1_000_000
	// outdatedRunSkip is added to a task's last run number when a worker has seen a higher one.
	outdatedRunSkip = 100
)

// Engine holds the jobs, the workers and the runs of one cell. It is not safe for concurrent use.
type Engine struct {
	now           monotime.Instant
	runNumberBase uint64
	jobs          map[graph.JobID]*job
	workers       map[WorkerID]*worker
	// active holds the steps that have open tasks and whose dependencies are met.
	active map[*step]struct{}
	// calendar holds the scheduled jobs whose next occurrences wait for their time of day; retired are the occurrences that need not exist
	// once they have no runs.
	calendar         calendar
	retired          []*occurrence
	retiredCheckedAt monotime.Instant
	// dirty holds the jobs whose progress has to be recorded, in the order in which they became so; the first urgentlyDirty of them come
	// before the others.
	dirty         []*job
	urgentlyDirty int
	// outdated holds the jobs whose record may have starts that can't be carried out any more.
	outdated []*job
	// orders are those that the next Plan returns.
	orders []Order
	// awaitedReports holds the workers that may run tasks of earlier owners and have not reported yet.
	awaitedReports map[WorkerID]awaitedReport
	// unansweredStops holds the runs whose stop is sent again until the worker acknowledges it.
	unansweredStops map[*run]struct{}
	// unconfirmedEnds holds the sequence number of the last processed end of each worker that has not been told that it is
	// recorded.
	unconfirmedEnds map[WorkerID]uint64
	// pools holds the workers that take new runs; poolsStale means that it has to be rebuilt.
	pools      map[string]*pool
	poolsStale bool
	// waitingTasks counts the unplaced tasks of active steps at the start of the last plan.
	waitingTasks int
	// verdictCounts counts the policy service's verdicts by queue.
	verdictCounts map[string]verdictCount
	// poolSpeeds holds by pool what the speeds of its workers have in common.
	poolSpeeds        map[string]*workerspeed.Pool
	speedsRefreshedAt monotime.Instant
	workerEvents      []WorkerEvent
	// copiesUsed holds by pool the allocations of copies, until they are removed or take their originals' places.
	copiesUsed      map[string]graph.Resources
	copiesCheckedAt monotime.Instant
	// maxCopyShare is the share of a pool's capacity that copies may take.
	maxCopyShare float64
	// copyEagerly makes every run of a Speculative step a straggler. Tests of the life cycle of copies set it.
	copyEagerly bool
	// failureRates holds the failure rates of the pools, without their ejected workers.
	failureRates    map[string]*failureRate
	stallsCheckedAt monotime.Instant
	// uniformSpeeds turns the estimation of speeds off, noEjections ejections. Tests compare decisions with and without them.
	uniformSpeeds, noEjections bool
	locality                   localityState
	// organisations holds those of the configuration and those that jobs name. hasOrganisations means that the configuration has
	// any, organisationsPending that it is awaited, lanesAssigned that the jobs added before the first one have their lanes.
	organisations                                         map[string]*organisation
	hasOrganisations, organisationsPending, lanesAssigned bool
	// rateOptions say how the organisations' rates of jobs are measured.
	rateOptions RateOptions
	shares      fairShares
	// runTimeRatios holds the ratios of run times to estimates by queue.
	runTimeRatios map[string]*overload.Ratios
	// maxCrashes is after how many crashes of its workers a task is given up; crashedAddresses holds when workers crashed, by address.
	maxCrashes       int
	crashedAddresses map[string]monotime.Instant
	crashReports     []CrashReport
	jobFailures      []JobFailure
	// unsettledSilences holds the silences that are not settled, by address.
	unsettledSilences map[string]*silence
	silenceReports    []SilenceReport
	heldTasks         []HeldTask
	// unsentStarts are the starts that wait for their record. usesOpenStarts means that a task may have open starts: where all starts have
	// permits, reports are handled without a look at them.
	unsentStarts   []unsentStart
	usesOpenStarts bool
	// earlierOrdersUntil is the latest time at which an earlier owner may have given orders.
	earlierOrdersUntil monotime.Instant
	// lateStarts holds, by worker, the tasks with late starts there; longestLease is how long a run may go on on a silent worker.
	lateStarts   map[WorkerID]map[*task]struct{}
	longestLease time.Duration
	// runEndTime is how long a run may take to end once its stop is acknowledged.
	runEndTime time.Duration
	// lateRooms holds, by worker, the rooms of runs that may start late there.
	lateRooms map[WorkerID][]lateRoom
	// startsNameProcess means that a worker refuses a start for another process than its present one.
	startsNameProcess bool
	// unreachable holds the workers that stopped answering lately, in order.
	unreachable []unreachableWorker
	stats       Stats
}

// Stats counts decisions and events since the engine was created.
type Stats struct {
	// Orphans counts reported runs that the engine did not order or no longer knows.
	Starts, Refused, InDoubt, Done, Failed, Interrupted, PermitRequests, Orphans, Preempted uint64
	// Copies counts the starts of copies, CopiesWon those that were done before their originals.
	Copies, CopiesWon uint64
	// TrialRuns counts the starts on ejected workers that are to show whether these are sound again.
	TrialRuns uint64
	// GivenUp counts the tasks that were given up since they crash their workers.
	GivenUp uint64
	// WorkersEvaluated counts how often a worker was evaluated for a step, which is most of the cost of a decision.
	WorkersEvaluated uint64
}

// New returns an engine without jobs and workers for the owner with the given epoch.
func New(epoch uint64) *Engine {
	return &Engine{
		runNumberBase:   (epoch - 1) * runNumbersPerEpoch,
		jobs:            make(map[graph.JobID]*job),
		workers:         make(map[WorkerID]*worker),
		active:          make(map[*step]struct{}),
		awaitedReports:  make(map[WorkerID]awaitedReport),
		unansweredStops: make(map[*run]struct{}),
		unconfirmedEnds: make(map[WorkerID]uint64),
		verdictCounts:   make(map[string]verdictCount),
		poolSpeeds:      make(map[string]*workerspeed.Pool),
		organisations:   make(map[string]*organisation),
		copiesUsed:      make(map[string]graph.Resources),
		maxCopyShare:    defaultCopyShare,
		failureRates:    make(map[string]*failureRate),
		runTimeRatios:   make(map[string]*overload.Ratios),

		maxCrashes:        DefaultMaxCrashes,
		crashedAddresses:  make(map[string]monotime.Instant),
		unsettledSilences: make(map[string]*silence),
		lateStarts:        make(map[WorkerID]map[*task]struct{}),
		lateRooms:         make(map[WorkerID][]lateRoom),
	}
}

// SetNow advances the engine's time, which all other methods use.
func (e *Engine) SetNow(now monotime.Instant) { e.now = max(e.now, now) }

// Stats returns the counts so far.
func (e *Engine) Stats() Stats { return e.stats }

// WaitingTasks returns how many tasks were to be placed when the last plan began.
func (e *Engine) WaitingTasks() int { return e.waitingTasks }

// awaitedReport is the report of a worker that earlier owners used.
type awaitedReport struct {
	pool string
	// drainedAt is the version at which the ledger recorded that the worker drains: no owner has started a task of a later job there.
	// It is the highest version if the worker does not drain.
	drainedAt uint64
}

// AwaitReport keeps the pool's unconfirmed jobs from starting tasks until the worker has reported or is removed.
func (e *Engine) AwaitReport(id WorkerID, pool string) {
	e.awaitedReports[id] = awaitedReport{pool, math.MaxUint64}
}

// AwaitDrainingReport does so for the jobs that were recorded before the version at which the worker was recorded as draining.
func (e *Engine) AwaitDrainingReport(id WorkerID, pool string, drainedAt uint64) {
	e.awaitedReports[id] = awaitedReport{pool, drainedAt}
}

// awaitsReports reports whether the report of a worker is awaited that may run tasks of the unconfirmed job.
func (e *Engine) awaitsReports(j *job) bool {
	for _, awaited := range e.awaitedReports {
		if awaited.pool == j.queue.Pool && j.recordedAt < awaited.drainedAt {
			return true
		}
	}
	return false
}

// ReportsComplete reports whether every awaited worker has reported or has been removed.
func (e *Engine) ReportsComplete() bool { return len(e.awaitedReports) == 0 }

// JobInput is a job to add to the engine.
type JobInput struct {
	ID    graph.JobID
	Queue graph.Queue
	// Organisation names the organisation that handed the job in; empty for none.
	Organisation string
	Spec         *graph.Spec
	// ArrivedAt is when the job was accepted. Its objective counts from then.
	ArrivedAt monotime.Instant
	// Progress is the recorded progress, nil if there is none.
	Progress *Progress
	// Unconfirmed means that an earlier owner may have started tasks that no worker has reported yet.
	Unconfirmed bool
	// RecordedAt is the version of the ledger in which the job was recorded; 0 if that is not known.
	RecordedAt uint64
}

// AddJob adds a job unless the engine knows it. Jobs are added in order of arrival: it decides which ones are within their
// organisation's rate.
func (e *Engine) AddJob(in JobInput) {
	if e.jobs[in.ID] != nil {
		return
	}
	j := newJob(in)
	j.organisation = e.organisation(in.Organisation)
	e.jobs[in.ID] = j
	if in.Progress != nil {
		j.restore(*in.Progress)
	}
	e.assignLane(j)
	j.organisation.addJob(j)
	if j.state.Ended() {
		return
	}
	e.adoptOpenStarts(j)
	for _, o := range j.openOccurrences() {
		for _, s := range o.steps {
			e.countUnfinishedDependencies(s)
			e.activateIfReady(s)
		}
	}
	e.addToCalendar(j)
}

// newJob returns a job without progress.
func newJob(in JobInput) *job {
	spec := in.Spec
	j := &job{
		id: in.ID, queue: in.Queue, spec: spec, arrivedAt: in.ArrivedAt, state: graph.Queued,
		unconfirmed: in.Unconfirmed, recordedAt: in.RecordedAt, objective: in.Queue.Objective(spec),
		criticalPaths: spec.CriticalPaths(in.Queue.ExpectedPermitLatency()),
		occurrences:   make(map[int]*occurrence), calendarIndex: notInCalendar,
	}
	if spec.Occurrences == 0 {
		j.occurrence(0)
	}
	return j
}

func newStep(o *occurrence, index int) *step {
	def := &o.job.spec.Steps[index]
	s := &step{job: o.job, within: o, occurrence: o.index, index: index, def: def, openTasks: def.Count}
	for i := range def.Count {
		s.tasks = append(s.tasks, &task{step: s, index: i})
	}
	return s
}

// countUnfinishedDependencies counts the steps that s depends on and that have open tasks.
func (e *Engine) countUnfinishedDependencies(s *step) {
	s.unfinishedDependencies = 0
	for _, dependency := range s.def.After {
		if s.within.steps[dependency].openTasks > 0 {
			s.unfinishedDependencies++
		}
	}
}

// activateIfReady makes a step active if it has open tasks and its dependencies are met. The first steps of an occurrence wait until it
// is due.
func (e *Engine) activateIfReady(s *step) {
	if s.unfinishedDependencies > 0 || s.openTasks == 0 || s.active || s.job.state.Ended() {
		return
	}
	if len(s.def.After) == 0 && !s.within.due {
		return
	}
	e.setActive(s)
}

func (e *Engine) setActive(s *step) {
	s.active, s.activeSince = true, e.now
	if s.due == 0 {
		s.due = s.job.arrivedAt.Add(s.job.objective)
	}
	e.active[s] = struct{}{}
}

// Cancel ends a job as cancelled and stops its runs.
func (e *Engine) Cancel(id graph.JobID) {
	if j := e.jobs[id]; j != nil && !j.state.Ended() {
		e.endJob(j, graph.Cancelled, "job cancelled")
	}
}

func (e *Engine) endJob(j *job, state graph.JobState, reason string) {
	j.state = state
	e.markDirty(j)
	e.removeFromCalendar(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(e.active, s)
			s.active = false
		}
		e.retire(o)
	}
	j.eachTask(func(t *task) {
		for _, r := range []*run{t.run, t.copy} {
			if r != nil {
				r.jobEnded = true
			}
		}
		e.stopTaskRuns(t, reason)
	})
}

// detachAndStop stops a run and leaves its task without a current run.
func (e *Engine) detachAndStop(r *run, reason string) {
	if r.task != nil {
		r.task.step.addDetachedRun(r)
		e.removeTaskRun(r)
		r.task = nil
	}
	e.stop(r, reason)
}

// stop orders the worker to end a run. The run remains its task's current one until it is removed.
func (e *Engine) stop(r *run, reason string) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.stopReason = reason
	if r.isUnsent() {
		return // the next Plan withdraws the start
	}
	e.unansweredStops[r] = struct{}{}
	e.sendStop(r)
}

// SetRunEndTime sets how long a run may take to end once its stop is acknowledged.
func (e *Engine) SetRunEndTime(d time.Duration) { e.runEndTime = d }

func (e *Engine) sendStop(r *run) {
	r.stopRetryAt = e.now.Add(maxStopTime)
	r.firstStop = !r.stopSent
	if r.firstStop {
		r.stopSent, r.stopSentAt = true, e.now // unless HandleStopWaiting says that it waits
	}
	e.orders = append(e.orders, Stop{RunKey: r.RunKey, Worker: r.worker.ID, Reason: r.stopReason})
}

const (
	// stopRetryDelay is the time from the end of a stop order without an answer to the next one.
	stopRetryDelay = 500 * time.Millisecond
	// maxStopTime is the time after which a stop that was sent is sent again although its order has not ended. It is longer than any
	// order takes.
	maxStopTime = 4 * time.Second
	// stopOverdueAfter is how long the stop of a run whose job has ended may go without an answer once it was sent. After that the run is ended
	// by the end of its worker's lease.
	stopOverdueAfter = 2 * time.Second
)

// WorkersWithOverdueStops returns the workers that have not answered for stopOverdueAfter that they stop a run whose job has
// ended. Their leases must not be extended: the run would go on as long as they are.
func (e *Engine) WorkersWithOverdueStops() map[WorkerID]struct{} {
	var overdue map[WorkerID]struct{}
	for r := range e.unansweredStops {
		if !r.jobEnded || !r.stopSent || e.now.Sub(r.stopSentAt) < stopOverdueAfter {
			continue
		}
		if overdue == nil {
			overdue = make(map[WorkerID]struct{})
		}
		overdue[r.worker.ID] = struct{}{}
	}
	return overdue
}

// markDirty notes that the job's progress has to be recorded. The record of an ended job holds its state only, and is final.
func (e *Engine) markDirty(j *job) {
	urgent := j.recorded < j.urgentRecord
	switch {
	case j.endTaken || (j.dirty && (j.urgentlyDirty || !urgent)):
	case !urgent:
		j.dirty = true
		e.dirty = append(e.dirty, j)
	default:
		if j.dirty {
			at := slices.Index(e.dirty, j)
			e.dirty = slices.Delete(e.dirty, at, at+1)
		}
		j.dirty, j.urgentlyDirty = true, true
		e.dirty = slices.Insert(e.dirty, e.urgentlyDirty, j)
		e.urgentlyDirty++
	}
}

// Forget removes a job that has ended and reports whether the engine no longer knows it. A job stays while progress has to be
// recorded or while it has runs.
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
	j.organisation.removeJob()
	return true
}

// TakeDirty returns the progress that has to be recorded: first that of jobs with a start that waits for it, then that of the jobs that wait
// for it longest, and in the room that is left that of jobs whose record is only outdated. It is as much as takes about limit rows but at least
// one job's if limit is positive. These jobs are no longer dirty.
func (e *Engine) TakeDirty(limit int) map[graph.JobID]Progress {
	changed := make(map[graph.JobID]Progress, min(max(0, limit), len(e.dirty)))
	rows := 0
	for len(e.dirty) > 0 && rows < limit {
		j := e.dirty[0]
		e.dirty[0] = nil
		e.dirty = e.dirty[1:]
		rows += j.progressRows()
		if j.urgentlyDirty {
			j.urgentlyDirty = false
			e.urgentlyDirty--
		}
		j.dirty = false
		changed[j.id] = j.takeProgress()
	}
	maps.Copy(changed, e.TakeOutdated(limit-rows))
	return changed
}

// TakeOutdated returns the progress of jobs whose record is only outdated, about limit rows at most. These jobs are no longer so.
func (e *Engine) TakeOutdated(limit int) map[graph.JobID]Progress {
	changed := make(map[graph.JobID]Progress)
	for rows := 0; len(e.outdated) > 0 && rows < limit; {
		j := e.outdated[0]
		e.outdated[0] = nil
		e.outdated = e.outdated[1:]
		if j.outdated && !j.endTaken {
			rows += j.progressRows()
			changed[j.id] = j.takeProgress()
		}
	}
	return changed
}

// takeProgress returns the job's progress to record.
func (j *job) takeProgress() Progress {
	j.outdated, j.endTaken = false, j.state.Ended()
	j.recordsTaken++
	return j.progress()
}

// ConfirmRecorded notes that the progress of a job that TakeDirty returned last is durable.
func (e *Engine) ConfirmRecorded(id graph.JobID) {
	if j := e.jobs[id]; j != nil {
		j.recorded = j.recordsTaken
	}
}

// DirtyJobs returns the jobs whose progress has to be recorded.
func (e *Engine) DirtyJobs() []graph.JobID {
	ids := make([]graph.JobID, len(e.dirty))
	for i, j := range e.dirty {
		ids[i] = j.id
	}
	return ids
}

// Fail ends a job as failed since its progress can't be recorded. reason and evidence are for operators.
func (e *Engine) Fail(id graph.JobID, reason, evidence string) {
	if j := e.jobs[id]; j != nil && !j.state.Ended() {
		e.failJob(j, FailedByRecord, reason, []string{evidence}, reason)
	}
}

// HasDirty reports whether the progress of any job has to be recorded.
func (e *Engine) HasDirty() bool { return len(e.dirty) > 0 }

// MarkDirty makes TakeDirty return a job's progress again, after a write whose outcome is not known.
func (e *Engine) MarkDirty(id graph.JobID) {
	if j := e.jobs[id]; j != nil {
		j.endTaken = false
		e.markDirty(j)
	}
}

// MarkDirtyFirst is MarkDirty for a job whose progress TakeDirty is to return before that of other jobs that are as urgent. It reports
// whether the engine knows the job.
func (e *Engine) MarkDirtyFirst(id graph.JobID) bool {
	j := e.jobs[id]
	if j == nil {
		return false
	}
	e.MarkDirty(id)
	at, first := slices.Index(e.dirty, j), e.urgentlyDirty
	if j.urgentlyDirty {
		first = 0
	}
	e.dirty = slices.Insert(slices.Delete(e.dirty, at, at+1), first, j)
	return true
}

// LastEndSequences returns the sequence number of the last ended run that the engine has processed, for each worker where
// ConfirmEnds has not been called with it.
func (e *Engine) LastEndSequences() map[WorkerID]uint64 { return maps.Clone(e.unconfirmedEnds) }

// LastEndSequence returns the sequence number of the last processed end of a worker's process, 0 if there is none.
func (e *Engine) LastEndSequence(id WorkerID) uint64 {
	if w := e.workers[id]; w != nil {
		return w.lastEndSequence
	}
	return 0
}

// HasUnconfirmedEnds reports whether ConfirmEnds has not been called with the last end of the worker that the engine has processed.
func (e *Engine) HasUnconfirmedEnds(id WorkerID) bool {
	_, unconfirmed := e.unconfirmedEnds[id]
	return unconfirmed
}

// ConfirmEnds notes that workers were told that their ends are recorded, up to the given sequence numbers.
func (e *Engine) ConfirmEnds(sequences map[WorkerID]uint64) {
	for id, sequence := range sequences {
		if e.unconfirmedEnds[id] <= sequence {
			delete(e.unconfirmedEnds, id)
		}
	}
}

// PutWorker adds a worker or updates its registry entry.
func (e *Engine) PutWorker(registered Worker) {
	w := e.workers[registered.ID]
	if w == nil {
		w = &worker{runs: make(map[RunKey]*run), workerCondition: &workerCondition{}}
		e.workers[registered.ID] = w
		for _, room := range e.lateRooms[registered.ID] {
			w.used = w.used.Add(room.allocation)
		}
	}
	w.Worker = registered
	e.poolsStale = true
}

// SetReachable sets whether the worker answers. One that doesn't gets no new runs.
func (e *Engine) SetReachable(id WorkerID, reachable bool) {
	if w := e.workers[id]; w != nil {
		e.setReachable(w, reachable)
	}
}

func (e *Engine) setReachable(w *worker, reachable bool) {
	if w.reachable != reachable {
		w.reachable = reachable
		e.poolsStale = true
		w.unreachableSince = 0
		if !reachable {
			w.unreachableSince = e.now
			if !w.justStartedCause(e.now) {
				e.unreachable = append(e.unreachable, unreachableWorker{w.ID, e.now})
			}
		}
	}
}

// RemoveWorker removes a worker whose runs have certainly ended, with these. It returns them.
func (e *Engine) RemoveWorker(id WorkerID, end WorkerEnd) (given []GivenUpRun) {
	delete(e.awaitedReports, id)
	w := e.workers[id]
	if w == nil {
		return nil
	}
	delete(e.workers, id)
	delete(e.unconfirmedEnds, id)
	e.poolsStale = true
	e.withdrawUnsentStartsOn(w)
	crashed := e.recordEnd(w, end, e.now)
	for _, r := range w.runs {
		given = append(given, e.giveUp(r))
		r.startAnswered = r.startAnswered || end == WorkerCrashed // another incarnation refuses the start
		e.handleEnd(w, r.RunKey, RunInterrupted, "")
	}
	if end == WorkerCrashed {
		e.settleLateStarts(id, math.MaxInt64)
		delete(e.lateRooms, id)
	}
	e.giveUpCause(crashed)
	return given
}

// HasRuns reports whether the worker has, or may have, any runs.
func (e *Engine) HasRuns(id WorkerID) bool {
	if _, awaited := e.awaitedReports[id]; awaited {
		return true
	}
	w := e.workers[id]
	return w != nil && len(w.runs) > 0
}

// HasRun reports whether the worker has, or may have, the run.
func (e *Engine) HasRun(id WorkerID, key RunKey) bool {
	w := e.workers[id]
	return w != nil && w.runs[key] != nil
}

func (e *Engine) task(id graph.TaskID) *task {
	j := e.jobs[id.Job]
	if !j.hasStep(id.Occurrence, id.Step) || id.Index < 0 || id.Index >= j.spec.Steps[id.Step].Count {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil { // a worker has, or had, a run of an occurrence that is not due yet or that is done
		o = j.occurrence(id.Occurrence)
		if o.openSteps == 0 || j.state.Ended() {
			e.retire(o)
		}
	}
	return o.steps[id.Step].tasks[id.Index]
}

// step returns a step of an occurrence that exists, nil if there is none.
func (e *Engine) step(id StepID) *step {
	j := e.jobs[id.Job]
	if !j.hasStep(id.Occurrence, id.Step) || j.occurrences[id.Occurrence] == nil {
		return nil
	}
	return j.occurrences[id.Occurrence].steps[id.Step]
}

// hasStep reports whether the job has a step; a job that is nil has none.
func (j *job) hasStep(occurrence, step int) bool {
	return j != nil && occurrence >= 0 && occurrence < j.spec.OccurrenceCount() && step >= 0 && step < len(j.spec.Steps)
}

// JobState returns a job's state, and whether the engine knows the job.
func (e *Engine) JobState(id graph.JobID) (graph.JobState, bool) {
	j := e.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}
