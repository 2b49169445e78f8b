// Package scheduler decides which task runs on which worker of one shard.
//
// A Scheduler holds the shard's workers, the tasks placed on each worker, and the queue. Every method is deterministic:
// it depends on that state, its arguments and the time it is given, and on no I/O, clock or map order.
// A Scheduler is not safe for concurrent use.
//
// A task moves through these states:
//
//	         Enqueue              Schedule (Place)            Release
//	(absent) -------> queued ----------------------> placed ----------> (absent)
//	    |             |    ^                         |    |                ^
//	    |             |    |  Requeue, RequeueGang   |    | Schedule       | Release
//	    |             |    +-------------------------+    | (Stop)         |
//	    |             |    |                              v                |
//	    |             |    +-------------------------- stopping -----------+
//	    |             +--> (absent)  Cancel, Schedule (Expire)
//	    +------------------------------------------> placed
//	                   Adopt (a task found running on a worker)
//
// The claim of a placed or stopping task counts against its worker until Release, Requeue or RemoveWorker.
//
// A queued task is delayed until QueueItem.NotBefore. It then waits in the lane (a queue) of its team, class and shape;
// a gang member first waits for the rest of its gang. Two kinds of tasks leave the lane for capacity that is set aside:
//
//   - An urgent task for which other tasks are being stopped has a capacity hold on their worker.
//   - A gang that does not fit, or a single task that is urgent or has waited for an ageing step, can get a
//     reservation: a worker for each member, on which capacity is set aside as running tasks end.
//
// If the hold or the reservation is given up, the task returns to its lane.
//
// The capacity of a worker that no task claims is free. The part of it that is not set aside is available to any task.
// Capacity is set aside for holds, for reservations, and as headroom for urgent work.
//
// Files: state.go and worker.go (state and workers), queue.go, shape.go and order.go (lanes and their order),
// admission.go, schedule.go (one scheduling round), feasible.go, index.go and score.go (choice of a worker), gang.go,
// reserve.go, plan.go and assignment.go (reservations), preempt.go and hold.go (preemption), headroom.go, place.go,
// team.go (shares and quotas), explain.go and views.go.
package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// QueueItem is a task to be placed, with its timing and the workers to avoid.
type QueueItem struct {
	Task cell.Task
	// Arrived is when the request reached its entry VM; waiting time counts from it.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// NotBefore is the earliest time of placement, for back-off after a failed attempt.
	NotBefore time.Time
	// Avoid lists workers and racks on which earlier attempts failed; they are used only if no other worker fits.
	Avoid []cell.WorkerID
}

// DecisionKind is the action that a Decision asks for.
type DecisionKind int

// The kinds of decision.
const (
	// Place starts Task on Worker. The claim already counts against the worker.
	Place DecisionKind = iota
	// Stop preempts a running task for Preemptor. Its claim counts against the worker until Release or Requeue.
	Stop
	// Expire drops a queued task whose deadline has passed. Reason is the final answer to its request.
	Expire
)

// Decision is one action for the caller of Schedule to carry out.
type Decision struct {
	Kind   DecisionKind
	Task   cell.Task
	Worker cell.WorkerID
	Reason cell.Reason
	// Waited is the time from the arrival of the task, for Stop that of the preemptor, to this decision.
	Waited time.Duration
	// StopMode is how to stop the task. Only with Stop.
	StopMode platformapi.StopMode
	// Preemptor is the task that the stop frees capacity for. Only with Stop.
	Preemptor cell.TaskID
}

// TaskState is a state of the diagram in the package comment.
type TaskState string

// The states of a task that the Scheduler holds.
const (
	StateQueued   TaskState = "queued"
	StatePlaced   TaskState = "placed"
	StateStopping TaskState = "stopping"
)

// Explanation says why a task is queued or placed where it is.
type Explanation struct {
	Found  bool
	State  TaskState
	Worker cell.WorkerID
	// Chain lists the reasons that apply to the task now, the most general first.
	Chain []cell.Reason
}

// Totals sums up the shard.
type Totals struct {
	Capacity cell.Resources
	// Available is the sum of what usable workers have available.
	Available cell.Resources
	// LargestAvailable is what the usable worker with the most CPU available has available.
	LargestAvailable cell.Resources
	Queued           int
	Placed           int
	Workers          int
	UsableWorkers    int
}

// WorkerView is the scheduler's record of a worker.
type WorkerView struct {
	Worker cell.Worker
	Usable bool
	Used   cell.Resources
	Tasks  int
}

// TeamView is what a team uses and has queued in this shard.
type TeamView struct {
	Team string
	// Used is the sum of the placed tasks' claims.
	Used   cell.Resources
	Quota  cell.Resources
	Queued int
	// QueuedClaims is the sum of the queued tasks' claims.
	QueuedClaims cell.Resources
}

// TeamPolicy holds the weight and the quota that operators give a team.
type TeamPolicy struct {
	// Weight is the team's weight in fair sharing among the teams that have queued tasks; 1 if not positive.
	Weight float64
	// Quota bounds what the team may use in this shard. A zero dimension is unbounded; of a negative one the team may
	// use nothing.
	Quota cell.Resources
}

// Policy holds the settings that operators control.
type Policy struct {
	// PackingWeight is between 0 (short waiting times only) and 1 (dense packing only). Capacity that an urgent task
	// leaves is set aside for other urgent tasks for 5 s * (1 - PackingWeight). Among teams whose dominant shares differ
	// by less than 1% * PackingWeight, larger work goes first.
	PackingWeight float64
	// Teams is the policy of each known team. A team that is not listed has weight 1 and no quota.
	Teams map[string]TeamPolicy
	// MaxQueued bounds the number of queued tasks; a task beyond it is refused. Zero means no bound.
	MaxQueued int
	// UrgentWait is the time within which urgent work is to start, by preemption if necessary. It is also how long a
	// capacity hold lasts. Zero turns preemption by single urgent tasks off.
	UrgentWait time.Duration
	// AgeingStep is the waiting time after which a task moves up by one rank. Zero turns ageing off.
	AgeingStep time.Duration
	// MaxPreemptions is how often one task may be stopped for urgent work; 30 if not positive.
	MaxPreemptions int
	// MaxLostWorkShare is the largest share of the shard's worker time that may be lost by preemption; 0.1 if not positive.
	// Every stop counts as if the checkpoint were lost. An unused budget accumulates for up to half an hour.
	MaxLostWorkShare float64
}
