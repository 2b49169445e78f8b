// Package scheduler decides which task runs on which worker of one shard.
//
// A Scheduler holds the shard's ledger (workers, what runs on each) and its queue. Every method is a pure function of
// that state, its arguments and the time it is given: there is no I/O, no clock and no dependence on map order.
// One goroutine owns a Scheduler.
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
//	                   Adopt (a lease found on a worker)
//
// A task that is placed or stopping has its claim counted on its worker until Release, Requeue or RemoveWorker, whatever
// else is known of it.
//
// A queued task is delayed until Item.NotBefore, then in the lane of its team, class and shape; a gang's task first waits
// for the rest of its gang. An urgent task whose victims stop is earmarked for their worker instead. A gang that does not
// fit, or a single task that has aged, may be reserved: it leaves its lane and gathers room. Both return to the lane when
// what they wait for is gone.
//
// The steps of a decision are in files of their own: admission, order, feasible, rank, gang, reserve and drain
// (reservations and backfill, with slot), preempt and earmark, keep, quota and explain.
package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// QueueItem is a task that waits to be placed.
type QueueItem struct {
	Task cell.Task
	// Arrived is when the request reached its entry VM; waiting time counts from it.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// NotBefore delays placement, for back-off.
	NotBefore time.Time
	// Avoid lists workers and racks that earlier attempts failed on; they are used only if nothing else fits.
	Avoid []cell.WorkerID
}

// DecisionKind tells what a Decision asks for.
type DecisionKind int

// The kinds of decision.
const (
	// Place starts Task on Worker. The claim is already counted.
	Place DecisionKind = iota
	// Stop ends a running task for more urgent work. Its claim stays counted until Release.
	Stop
	// Expire drops a queued task, whose request gets Reason as its final answer.
	Expire
)

// Decision is one step that the scheduler asks its owner to carry out.
type Decision struct {
	Kind   DecisionKind
	Task   cell.Task
	Worker cell.WorkerID
	Reason cell.Reason
	// Waited is the time from arrival to this decision.
	Waited time.Duration
	// StopMode tells how to stop. Only with Stop.
	StopMode platform.StopMode
	// Preemptor is the task that the stop makes room for. Only with Stop.
	Preemptor cell.TaskID
}

// TaskState is a task's place in the life cycle above.
type TaskState string

// The states of a task that the scheduler knows.
const (
	StateQueued   TaskState = "queued"
	StatePlaced   TaskState = "placed"
	StateStopping TaskState = "stopping"
)

// Explanation answers why a task is where it is.
type Explanation struct {
	Found  bool
	State  TaskState
	Worker cell.WorkerID
	// Chain lists the reasons of the last decision about the task, the most general first.
	Chain []cell.Reason
}

// Totals sums up the shard.
type Totals struct {
	Capacity         cell.Resources
	Available        cell.Resources
	LargestAvailable cell.Resources
	Queued           int
	Placed           int
	Workers          int
	UsableWorkers    int
}

// WorkerView is a worker as the ledger sees it.
type WorkerView struct {
	Worker cell.Worker
	Usable bool
	Used   cell.Resources
	Tasks  int
}

// TeamView is a team's holding in this shard.
type TeamView struct {
	Team   string
	Used   cell.Resources
	Quota  cell.Resources
	Queued int
	// QueuedClaims is the sum of the queued tasks' claims.
	QueuedClaims cell.Resources
}

// TeamPolicy is what operators allow one team.
type TeamPolicy struct {
	// Weight is the team's share against other teams when all have work waiting; 1 is ordinary.
	Weight float64
	// Quota bounds what the team may hold in this shard. A zero dimension is unbounded; in a negative one the team may
	// hold nothing.
	Quota cell.Resources
}

// Policy is the operators' part of every decision.
type Policy struct {
	// PackingWeight is between 0 (waiting time only) and 1 (packing only). The room that urgent work leaves is kept for
	// other urgent work for up to 5 s times 1 less the weight; larger work goes first among teams whose shares differ by
	// less than 1% of the shard times the weight.
	PackingWeight float64
	// Teams is the policy of each known team. A team that is not listed has weight 1 and no quota.
	Teams map[string]TeamPolicy
	// MaxQueued bounds the queue; a task beyond it is refused at once.
	MaxQueued int
	// UrgentWait is the waiting time within which urgent work starts, if need be by stopping stoppable work.
	// Zero means that nothing is stopped.
	UrgentWait time.Duration
	// AgeingStep is the waiting time that raises a task by one class. Zero turns ageing off.
	AgeingStep time.Duration
	// MaxPreemptions is how often one task may be stopped for urgent work; 30 if zero.
	MaxPreemptions int
	// MaxLostWorkShare is the share of the shard's worker time that preemption may throw away at most, counting
	// every stop as if its checkpoint were lost; 0.1 if zero. What is not used adds up for half an hour.
	MaxLostWorkShare float64
}
