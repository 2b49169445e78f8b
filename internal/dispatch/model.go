// Package dispatch decides which task of which job runs on which worker. It is pure: no I/O and no clock of its own.
// One goroutine feeds it what happened and carries out the orders that Plan returns.
//
// A run passes through these states:
//
//	starting ──answered──▶ running ──end listed──▶ (gone)
//	    │                     │
//	    │ no answer           │ cancelled, failed elsewhere
//	    ▼                     ▼
//	 stopping ──end listed, or absent from a report sent after the stop was answered──▶ (gone)
//
// A run holds its claim on the worker until it is gone, so that a worker is never filled beyond its capacity.
package dispatch

import (
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// WorkerID names one life of a worker.
type WorkerID string

// Worker is what the register of workers says of one.
type Worker struct {
	ID       WorkerID
	Pool     string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity graph.Resources
	// Draining means that the worker leaves soon and gets nothing new.
	Draining bool
}

// RunOutcome is how a run ended.
type RunOutcome int

// The ends of a run.
const (
	// RunDone means that the task is done.
	RunDone RunOutcome = iota
	// RunFailed means that the task, or its worker, failed; it counts as an attempt.
	RunFailed
	// RunInterrupted means any other end: stopped, lease lapsed, another member of the gang ended.
	RunInterrupted
)

// String returns the end's name in logs.
func (e RunOutcome) String() string { return [...]string{"done", "failed", "interrupted"}[e] }

// RunKey names a run of a task. Numbers rise with each run of the task.
type RunKey struct {
	Task   graph.TaskID
	Number uint64
}

// RunningEntry is a run that a worker lists as present.
type RunningEntry struct {
	RunKey
	Checkpoint string
	// Progress is the share of the work that is done, in percent; 100 for a long-running task that serves.
	Progress int
}

// EndedEntry is an end that a worker lists until it is told that the end has been recorded.
type EndedEntry struct {
	// Sequence numbers the ends of one life of a worker from 1.
	Sequence uint64
	RunKey
	End        RunOutcome
	Checkpoint string
}

// Report is what a worker says of all its runs.
type Report struct {
	Running []RunningEntry
	Ended   []EndedEntry
	// Partial means that more ends wait than the report holds.
	Partial bool
}

// StartOutcome is what became of an order to start a run.
type StartOutcome int

// The outcomes of a start.
const (
	// Started means that the worker has the run.
	Started StartOutcome = iota
	// StartNoCapacity means that the worker refused for want of room; the run does not exist.
	StartNoCapacity
	// StartOutdated means that the worker has seen a run of the task that is not lower.
	StartOutdated
	// StartNoPermit means that the permit was not valid.
	StartNoPermit
	// StartRefused means any other refusal; the run does not exist and this order will not create it.
	StartRefused
	// StartInDoubt means that no answer came; the run may exist now or later.
	StartInDoubt
)

// String returns the outcome's name in logs.
func (o StartOutcome) String() string {
	return [...]string{"started", "no_room", "outdated", "no_permit", "refused", "in_doubt"}[o]
}

// StepID names a step of one occurrence.
type StepID struct {
	Job        graph.JobID
	Occurrence int
	Step       int
}

// Order is a Start, a Stop or an Ask.
type Order interface{ order() }

// Start orders a worker to run a task.
type Start struct {
	RunKey
	Worker     WorkerID
	Payload    string
	Permit     string
	Checkpoint string
}

// Stop orders a worker to end a run, or never to begin it.
type Stop struct {
	RunKey
	Worker WorkerID
	// Reason is for the log.
	Reason string
}

// PermitRequest asks the policy service which workers may run a step.
type PermitRequest struct {
	Step     StepID
	Workers  []WorkerID
	Latency  time.Duration
	Priority int
	// Demotion is 1 if the job comes after those that can still complete in time, 2 if it is worth little any more, else 0.
	Demotion int
	Due      monotime.Instant
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

type run struct {
	RunKey
	worker *worker
	// task is nil if the run is not its task's current one; it is then being stopped.
	task *task
	// surplusOf is set if the run is of a task that did not need it; the task is not started while it lasts.
	surplusOf *task
	// detachedFrom is set if the run is of a task of the step, but not the task's current one: it counts against the step's bound
	// on one worker until it is gone.
	detachedFrom *step
	allocation   graph.Resources
	// unknownSize means that the claim is not known.
	unknownSize bool
	filler      bool
	state       runState
	// confirmedAt is when the worker acknowledged the start or listed the run.
	confirmedAt monotime.Instant
	// orderedAt is when the run was started, or first listed.
	orderedAt monotime.Instant
	// stopAnsweredAt is when the worker acknowledged a stop; 0 before.
	stopAnsweredAt monotime.Instant
	stopRetryAt    monotime.Instant
	stopReason     string

	progress          int
	progressChangedAt monotime.Instant
}

type worker struct {
	Worker
	used graph.Resources
	runs map[RunKey]*run
	// lastEndSequence is the sequence of the last end that was taken into the engine.
	lastEndSequence uint64
	reachable       bool
	// avoidUntil keeps new runs away for a while after a refusal or repeated failures.
	avoidUntil monotime.Instant
	// oldestUnansweredStart is when the earliest start was ordered of those that the worker has yet to answer; 0 if there is none.
	oldestUnansweredStart monotime.Instant
	// consecutiveFailures counts failed runs since the last one that was done.
	consecutiveFailures int
	// runsOfUnknownSize counts runs whose claims are not known: while there are any, the worker counts as full.
	runsOfUnknownSize int
	// reservedFor is the gang for which the worker is kept free in the present plan.
	reservedFor *step
	// capacityHold is room that a preemption makes.
	capacityHold capacityHold
}

func (w *worker) free() graph.Resources { return w.Capacity.Sub(w.used) }

type permit struct {
	ticket     string
	validUntil monotime.Instant
}

// runNumbers is a set of run numbers, each listed once in any order. It holds as many as a queue allows attempts.
type runNumbers []uint64

// add adds a number and reports whether it is new.
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
	failedRuns    runNumbers
	lastRunNumber uint64
	checkpoint    string
	run           *run
	// surplusRuns counts runs of the task beside run that have not ended.
	surplusRuns int
	// preemptions counts how often the task was stopped for others.
	preemptions int
}

// setRun makes r the task's run; nil for none.
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
	job                    *job
	occurrence             int
	index                  int
	def                    *graph.Step
	tasks                  []*task
	openTasks              int
	unfinishedDependencies int
	// failedRuns are the numbers of a gang's runs that failed.
	failedRuns runNumbers

	// placedTasks counts the tasks that are not done and have a run.
	placedTasks int
	// detachedRuns counts, by worker, the runs of the step's tasks that are being stopped and are no task's current one.
	detachedRuns map[WorkerID]int

	due monotime.Instant
	// remainingPath is about how long the job yet takes from the step's start.
	remainingPath time.Duration
	// overdueAtPlan and missedAtPlan are the step's lateness and whether it missed its objective in the present plan.
	overdueAtPlan, missedAtPlan int
	// blockedAtVersion is the pool's count of changes when the step last found no room, at triedAt.
	blockedAtVersion uint64
	lastSearchAt     monotime.Instant
	// lastPreemptionAt is when tasks were last stopped for this step.
	lastPreemptionAt monotime.Instant
	active           bool
	// pendingPermitRequests counts the pendingPermitRequests about the step that have no answer yet, inQuestion the workers that they are about.
	pendingPermitRequests int
	requestedWorkers      map[WorkerID]struct{}
	nextPermitRequestAt   monotime.Instant
	permits               map[WorkerID]permit
	// verdicts holds what the policy service has said; its verdicts on a step don't change.
	verdicts map[WorkerID]bool
	// reservedWorkers are the workers that are kept free for a gang.
	reservedWorkers []*worker
}

// addDetachedRun notes that a run is of one of the step's tasks beside the task's current one.
func (s *step) addDetachedRun(r *run) {
	r.detachedFrom = s
	if s.detachedRuns == nil {
		s.detachedRuns = make(map[WorkerID]int)
	}
	s.detachedRuns[r.worker.ID]++
}

func (s *step) id() StepID { return StepID{s.job.id, s.occurrence, s.index} }

type job struct {
	id        graph.JobID
	queue     graph.Queue
	spec      *graph.Spec
	arrivedAt monotime.Instant
	// objective is the time in which the job should complete.
	objective time.Duration
	state     graph.JobState
	started   bool
	// unconfirmed means that an earlier owner may have started tasks that no worker has reported yet.
	unconfirmed bool
	steps       [][]*step
	// openSteps counts the steps with open tasks, over all occurrences.
	openSteps int
	dirty     bool
}

func (j *job) eachTask(visit func(*task)) {
	for _, occurrence := range j.steps {
		for _, s := range occurrence {
			for _, t := range s.tasks {
				visit(t)
			}
		}
	}
}
