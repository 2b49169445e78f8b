// Package dispatch decides which task of which job runs on which worker. It does no I/O and has no clock of its own:
// one goroutine passes events to the Engine and executes the orders that Plan returns.
//
// A run passes through these states:
//
//	starting ──answered──▶ running ──end listed──▶ (removed)
//	    │                     │
//	    │ no answer           │ cancelled, failed elsewhere
//	    ▼                     ▼
//	 stopping ──end listed, or absent from a report requested after the stop was answered──▶ (removed)
//
// A run keeps its allocation on the worker until it is removed, so that a worker is never filled beyond its capacity.
package dispatch

import (
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/workerspeed"
)

// WorkerID identifies one incarnation of a worker: a worker that restarts gets another ID.
type WorkerID string

// Worker is a worker's entry in the worker registry.
type Worker struct {
	ID       WorkerID
	Pool     string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity graph.Resources
	// Draining means that the worker leaves soon and gets no new runs.
	Draining bool
	// ProcessStart is when the worker's process that wrote the entry started, as in Report; 0 if it does not say.
	ProcessStart time.Duration `json:",omitempty"`
	// LongestLease is for the ledger: the worker has restarted, and its process may hold the longest lease that workers grant. LateCalls means that
	// the process has not answered since, so that it may still carry out calls for an earlier one.
	LongestLease bool `json:",omitempty"`
	LateCalls    bool `json:",omitempty"`
}

// RunOutcome is how a run ended.
type RunOutcome int

// The outcomes of a run.
const (
	// RunDone means that the task is done.
	RunDone RunOutcome = iota
	// RunFailed means that the task or its worker failed. It counts as an attempt.
	RunFailed
	// RunInterrupted means any other end: the run was stopped, its lease expired, or another member of the gang ended.
	RunInterrupted
)

// String returns the outcome's name in logs.
func (e RunOutcome) String() string { return [...]string{"done", "failed", "interrupted"}[e] }

// RunKey identifies one run of a task. Each run of a task has a higher number than the one before.
type RunKey struct {
	Task   graph.TaskID
	Number uint64
}

// RunningEntry is a run that a worker lists as running.
type RunningEntry struct {
	RunKey
	Checkpoint string
	// Progress is the percentage of the work that is done; 100 for a long-running task that is serving.
	Progress int
	// Measure is a rough figure of the last half second: of a task with a tail latency target its tail latency in milliseconds, of any
	// other the CPU in use. Measured is false if the worker gives none.
	Measure  float64 `json:",omitempty"`
	Measured bool    `json:",omitempty"`
}

// EndedEntry is a run that has ended. The worker lists it until the owner confirms that the end is recorded.
type EndedEntry struct {
	// Sequence numbers the ended runs of one incarnation of a worker, from 1.
	Sequence uint64
	RunKey
	End        RunOutcome
	Checkpoint string
}

// Report lists a worker's runs.
type Report struct {
	Running []RunningEntry
	Ended   []EndedEntry
	// Partial means that the worker has more ended runs than the report holds.
	Partial bool
	// ProcessStart is when the worker's process started, by its own time of day; 0 if it does not say. A worker whose process
	// has restarted under its id runs nothing of before, and its counts start anew.
	ProcessStart time.Duration
}

// StartOutcome is the outcome of an order to start a run.
type StartOutcome int

// The outcomes of a start order.
const (
	// Started means that the worker has the run.
	Started StartOutcome = iota
	// StartNoCapacity means that the worker lacks free capacity. The run does not exist.
	StartNoCapacity
	// StartOutdated means that the worker has seen a run of the task with the same or a higher number.
	StartOutdated
	// StartNoPermit means that the permit was not valid.
	StartNoPermit
	// StartRefused means any other refusal. The run does not exist and this order will not create it.
	StartRefused
	// StartInDoubt means that no answer came. The run may exist now or later.
	StartInDoubt
	// StartNotSent means that the order was not sent. It says nothing about the worker.
	StartNotSent
)

// String returns the outcome's name in logs.
func (o StartOutcome) String() string {
	return [...]string{"started", "no_room", "outdated", "no_permit", "refused", "in_doubt", "not_sent"}[o]
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        graph.JobID
	Occurrence int
	Step       int
}

// Order is a Start, a Stop or a PermitRequest.
type Order interface{ order() }

// Start orders a worker to run a task.
type Start struct {
	RunKey
	Worker  WorkerID
	Payload string
	Permit  string
	// PermitUntil is when the permit expires; 0 for a step that needs none.
	PermitUntil monotime.Instant
	Checkpoint  string
	// Urgent means that the job's callers wait for it: its priority is the highest. Gang means that the other members wait.
	Urgent, Gang bool
	// LongRunning is that of the step. Workers don't know it.
	LongRunning bool `json:"-"`
	// Copy means that the task has another run. Workers don't know it.
	Copy bool `json:"-"`
	// Once means that the start must not be sent again. Its worker may restart under its id, and nothing but the permit, which it lacks, keeps
	// the next process from carrying out an attempt that got no answer, also after the run is done.
	Once bool `json:"-"`
}

// Stop orders a worker to end a run, or not to start it if the start order has not arrived yet.
type Stop struct {
	RunKey
	Worker WorkerID
	// Reason appears in the log only.
	Reason string
}

// PermitRequest asks the policy service which of the workers may run a step's tasks.
type PermitRequest struct {
	Step    StepID
	Workers []WorkerID
	// Latency is how long the policy service takes to answer.
	Latency  time.Duration
	Priority int
	// Demotion orders requests before Priority does: 0 for a job that is served by its priority, 1 for one that can no longer
	// complete in time, 2 for one that is far beyond its objective, and laneDemotion more for one beyond its organisation's
	// rate.
	Demotion int
	// Band orders requests of one demotion and priority before Due does: organisations that are further ahead of others go last.
	Band int
	Due  monotime.Instant
}

func (Start) order()         {}
func (Stop) order()          {}
func (PermitRequest) order() {}

type runState int

const (
	runStarting runState = iota
	runRunning
	runStopping
)

// String returns the state's name in logs.
func (s runState) String() string { return [...]string{"starting", "running", "stopping"}[s] }

type run struct {
	RunKey
	worker *worker
	// task is the task whose current run, or copy of that, this is; nil if it is no task's current run and being stopped.
	task *task
	// surplusOf is the task that already had a run, or needed none, when a worker reported this one. The task is not started
	// again until this run is removed.
	surplusOf *task
	// detachedFrom is the step that the run belongs to if it is no task's current run. It counts against the step's
	// MaxPerWorker until it is removed.
	detachedFrom *step
	allocation   graph.Resources
	// organisation is the one that the allocation counts for; nil for none.
	organisation *organisation
	// unknownSize means that the allocation is not known, since the run's job is not known.
	unknownSize bool
	// orphan means that the engine did not order the run: when it started is not known.
	orphan bool
	// away means that the run takes longer than on the rack that its step prefers.
	away   bool
	filler bool
	state  runState
	// confirmedAt is when the worker acknowledged the start, or first listed the run; 0 before that.
	confirmedAt monotime.Instant
	// orderedAt is when the start was ordered; for a run that the engine did not order, when it was first listed.
	orderedAt monotime.Instant
	// stopAnsweredAt is when the worker acknowledged the stop; 0 before that.
	stopAnsweredAt monotime.Instant
	// stopSent means that a stop has been sent, at stopSentAt for the first time. firstStop means that it was the last order.
	stopSent, firstStop bool
	stopSentAt          monotime.Instant
	stopRetryAt         monotime.Instant
	stopReason          string
	// jobEnded means that the run is stopped because its job has ended, was cancelled or is not known.
	jobEnded bool

	// countsAsCopy means that the allocation counts towards what copies may use.
	countsAsCopy bool
	// fullRun means that the run does all of a task's work, so that its run time tells the worker's speed.
	fullRun bool
	// stalled means that the run made no progress and was counted for its worker's health.
	stalled bool
	// stallFailure is how that was counted; nil if it was not.
	stallFailure *countedFailure
	// pendingCrash is a crash of the worker that the task counts unless the worker's next process lists the run; nil for none.
	pendingCrash *taskCrash
	// startAnswered means that the start order has ended, or that the engine did not order the run. Until then the order may be carried
	// out, also again.
	startAnswered bool
	// attemptInDoubt means that an attempt of the start has no answer although another one has: it may be carried out late.
	attemptInDoubt bool
	// once means that the start is sent only once, as in Start: a worker that lists the run has carried it out.
	once bool
	// ordered means that the start order has been given.
	ordered bool

	progress          int
	progressChangedAt monotime.Instant
	// tail is what the worker reported of a task with a tail latency target.
	tail tailLatency
	// listedAt is when the worker last listed the run as running. unlistedSince is when it gave the first of the complete reports since then that
	// should have listed the run and did not; 0 if there was none.
	listedAt, unlistedSince monotime.Instant
}

type worker struct {
	Worker
	// awaitsReport means that a stop was acknowledged since the last complete report, or that it lacked a run that may not be over.
	awaitsReport bool
	used         graph.Resources
	// impaired means that the worker is slow, ejected or on probation. Evaluating a worker for a step reads only this unless it is
	// set.
	impaired bool
	runs     map[RunKey]*run
	// lastEndSequence is the sequence number of the last ended run that the engine has processed.
	lastEndSequence uint64
	reachable       bool
	// avoidUntil makes the worker a suspect until then, after a refusal, a start in doubt or repeated failures.
	avoidUntil monotime.Instant
	// oldestUnansweredStart is when the oldest of the unanswered starts was ordered; 0 if all are answered. lastStarted are the runs that
	// the engine has started, from that one on, in order.
	oldestUnansweredStart monotime.Instant
	lastStarted           []*run
	// consecutiveFailures counts the runs that failed since the last one that was done.
	consecutiveFailures int
	// runsOfUnknownSize counts the runs whose allocation is not known. While there are any, the worker counts as full.
	runsOfUnknownSize int
	// rankedBy is the last ranking that evaluated the worker.
	rankedBy *ranking
	// reservedFor is the gang for which the whole worker is kept free in the current plan.
	reservedFor *step
	// capacityHolds are the parts of the worker's capacity that are kept for steps, at most one for each.
	capacityHolds []capacityHold
	*workerCondition
}

// workerCondition is what the engine has learned of a worker from its runs. It is apart from the worker to keep that small: evaluating
// a worker for a step is most of the cost of a decision.
type workerCondition struct {
	speed     workerspeed.Speed
	health    workerHealth
	probation probation
	// fillers keeps fillers from the worker after some were stopped there.
	fillers fillerPause
	// processStart is that of the last report; 0 before one, or if it named none.
	processStart time.Duration
	// unreachableSince is when the worker stopped answering; 0 while it answers.
	unreachableSince monotime.Instant
	// lastStartAt is when a run was last started on the worker, for lastStartJob; earlierStartAt when the last one of another job was.
	lastStartAt, earlierStartAt monotime.Instant
	lastStartJob                *job
}

func (w *worker) free() graph.Resources { return w.Capacity.Sub(w.used) }

type permit struct {
	ticket     string
	validUntil monotime.Instant
}

// runNumbers is an unordered set of run numbers. It is small: a queue's MaxAttempts bounds it.
type runNumbers []uint64

// add adds a number to the set and reports whether it is new.
func (s *runNumbers) add(number uint64) bool {
	if slices.Contains(*s, number) {
		return false
	}
	*s = append(*s, number)
	return true
}

type task struct {
	step  *step
	index int
	done  bool
	// failedRuns are the numbers of the runs that failed.
	failedRuns runNumbers
	// crashes are the crashes of the task's workers that count for it.
	crashes []taskCrash
	// silences counts the task's runs whose worker fell silent, as long as that is not settled. The next run is not started before notBefore.
	silences  int
	notBefore monotime.Instant
	// openStarts are the starts of the task that are sent once and that may still be carried out, as far as is known.
	openStarts []openStart
	// awaitsRecord is which record of the job's progress, in the order of TakeDirty, has the task's last crash; 0 for none.
	awaitsRecord  uint64
	lastRunNumber uint64
	checkpoint    string
	run           *run
	// copy is a second run of the task that started later; nil unless the step is Speculative and run is set.
	copy *run
	// surplusRuns counts the task's runs with surplusOf set.
	surplusRuns int
	// preemptions counts how often the task was preempted.
	preemptions int
	locality    taskLocality
	quietWait   quietWait
	// unreported is how many runs of the task are counted among its organisation's unreported ones.
	unreported int
}

// setRun makes r the task's current run; nil means that the task has none.
func (t *task) setRun(r *run) {
	if !t.done {
		if t.run != nil {
			t.step.placedTasks--
		}
		if r != nil {
			t.step.placedTasks++
		}
	}
	t.run = r
}

func (t *task) id() graph.TaskID {
	return graph.TaskID{Job: t.step.job.id, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

type step struct {
	job *job
	// within is the occurrence that the step is part of, occurrence its index.
	within     *occurrence
	occurrence int
	index      int
	def        *graph.Step
	tasks      []*task
	// openTasks counts the tasks that are not done.
	openTasks int
	// unfinishedDependencies counts the earlier steps in def.After with open tasks.
	unfinishedDependencies int
	// failedRuns are the numbers of the runs of a gang that failed; a gang's members share one number.
	failedRuns runNumbers

	// placedTasks counts the tasks that are not done and have a run.
	placedTasks int
	// detachedRuns counts, by worker, the runs with detachedFrom set to this step.
	detachedRuns map[WorkerID]int

	// due is when the job, or the occurrence of a scheduled job, should be complete.
	due monotime.Instant
	// remainingPath is the estimated time from the step's start to the job's end.
	remainingPath time.Duration
	// overdueAtPlan and missedAtPlan are the results of Engine.overdue and Engine.missedObjective for the current plan.
	overdueAtPlan, missedAtPlan int
	// blockedAtVersion is the pool's capacityVersion when the step last found too little free capacity.
	blockedAtVersion uint64
	// lastSearchAt is when the step last found too little free capacity in its whole pool; 0 asks for a new search.
	lastSearchAt monotime.Instant
	// lastPreemptionAt is when tasks were last stopped for this step.
	lastPreemptionAt monotime.Instant
	active           bool
	// activeSince is when the step became active.
	activeSince monotime.Instant
	// pendingPermitRequests counts the permit requests for the step that have no answer yet.
	pendingPermitRequests int
	// requestedWorkers are the workers in pending permit requests.
	requestedWorkers    map[WorkerID]struct{}
	nextPermitRequestAt monotime.Instant
	permits             map[WorkerID]permit
	// verdicts holds whether the policy service allows a worker to run the step. Verdicts don't change; permits expire.
	verdicts map[WorkerID]bool
	// reservedWorkers are the workers chosen to be kept free for a gang.
	reservedWorkers []*worker
	// reservationReviewAt is when they are chosen again at the latest; reservedAtVersion is the pool's capacityVersion at the last choice.
	reservationReviewAt monotime.Instant
	reservedAtVersion   uint64
	// siblings are the runs that ended as done, to compare their workers' speeds.
	siblings workerspeed.Siblings
	// fastWaitUntil is when the step's wait for fast workers ends; 0 if it has not begun.
	fastWaitUntil monotime.Instant
	locality      stepLocality
	// limitBlocked means that the organisation's limit allowed no task of the step in the last plan.
	limitBlocked bool
	// limitHoldFrom is when the step began to keep a part of the organisation's limit from later steps; 0 if it does not.
	limitHoldFrom monotime.Instant
	// wantedCopies counts the copies that lack only a permit.
	wantedCopies int
	// suspects counts the open tasks that are suspects, see task.isSuspect.
	suspects int
	// avoidances holds the workers on which runs of the step have failed lately.
	avoidances map[*worker]avoidance
	// failures are the step's runs that failed or stood still, as counted against their workers.
	failures []*countedFailure
	runTimes stepRunTimes
}

// addDetachedRun counts r as a run of one of the step's tasks that is no task's current run.
func (s *step) addDetachedRun(r *run) {
	r.detachedFrom = s
	if s.detachedRuns == nil {
		s.detachedRuns = make(map[WorkerID]int)
	}
	s.detachedRuns[r.worker.ID]++
}

func (s *step) id() StepID { return StepID{s.job.id, s.occurrence, s.index} }

type job struct {
	id    graph.JobID
	queue graph.Queue
	// organisation is the one that handed the job in; nil for none.
	organisation *organisation
	// lane is laneWithinRate or laneBeyondRate.
	lane      int
	spec      *graph.Spec
	arrivedAt monotime.Instant
	// objective is the time from arrival in which the job should complete.
	objective time.Duration
	state     graph.JobState
	started   bool
	// unconfirmed means that an earlier owner may have started tasks that no worker has reported yet.
	unconfirmed bool
	// recordedAt is the version of the ledger in which the job was recorded; 0 if that is not known.
	recordedAt uint64
	// occurrences are those that exist, by index.
	occurrences map[int]*occurrence
	// doneOccurrences tells for each occurrence whether all its tasks are done, nil if none is; doneCount counts them.
	doneOccurrences []bool
	doneCount       int
	// nextDue is the first occurrence of a schedule whose time has not come. calendarIndex is the job's place in the calendar.
	nextDue, calendarIndex int
	// criticalPaths are those of the spec, by step.
	criticalPaths []time.Duration
	// countsUnreported means that the runs that an earlier owner may have left count for the organisation until they are reported.
	countsUnreported bool
	// dirty means that the job is in Engine.dirty, urgentlyDirty that it is in the first part.
	dirty, urgentlyDirty bool
	// endTaken means that TakeDirty has returned the job's final progress, or that it is recorded already.
	endTaken bool
	// recordsTaken counts the records that TakeDirty has returned; recorded is the last of them that is durable.
	recordsTaken, recorded uint64
	// urgentRecord is the last record that a start waits for.
	urgentRecord uint64
	// outdated means that starts in the job's record can't be carried out any more: the next commit has room for the job.
	outdated bool
	// failure is why the job has failed, for operators; empty if this owner doesn't know.
	failure string
	// failedByCrashes means that this owner has ended the job for the crashes of a task.
	failedByCrashes bool
}

func (j *job) eachTask(visit func(*task)) {
	for _, o := range j.openOccurrences() {
		o.eachTask(visit)
	}
}

func (o *occurrence) eachTask(visit func(*task)) {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			visit(t)
		}
	}
}
