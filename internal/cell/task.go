package cell

import "time"

// TaskID identifies a task over all its attempts.
type TaskID string

// AttemptNumber numbers the attempts of one task under one owner epoch.
type AttemptNumber uint32

// JobID identifies a submitted job.
type JobID string

// PriorityClass is the priority of a task.
type PriorityClass string

// The priority classes, most urgent first.
const (
	// ClassUrgent is for interactive work that starts within seconds, preempting stoppable work if necessary.
	ClassUrgent PriorityClass = "urgent"
	// ClassService is for long-running work that stays up.
	ClassService PriorityClass = "service"
	// ClassNormal is for ordinary requests and for gangs.
	ClassNormal PriorityClass = "normal"
	// ClassBatch is for work that may wait.
	ClassBatch PriorityClass = "batch"
)

// Rank returns the position of c in priority order, 0 for the most urgent. An unknown class ranks last.
func (c PriorityClass) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassService:
		return 1
	case ClassNormal:
		return 2
	default:
		return 3
	}
}

// Valid reports whether c is one of the known classes.
func (c PriorityClass) Valid() bool {
	return c == ClassUrgent || c == ClassService || c == ClassNormal || c == ClassBatch
}

// TaskKind says how a task is run.
type TaskKind string

// The kinds of task.
const (
	// KindRequest is a task that runs once for a caller that waits for the answer.
	KindRequest TaskKind = "request"
	// KindBatch is a task that runs to its end as part of a batch job.
	KindBatch TaskKind = "batch"
	// KindGang is a task that starts together with all other tasks of its gang.
	KindGang TaskKind = "gang"
	// KindService is a task that runs until it is stopped, and is replaced if it ends.
	KindService TaskKind = "service"
)

// Task is one unit of placement.
type Task struct {
	ID   TaskID   `json:"id"`
	Job  JobID    `json:"job,omitempty"`
	Kind TaskKind `json:"kind"`
	// Team is the team whose quota the task counts against.
	Team  string        `json:"team"`
	Class PriorityClass `json:"class"`
	// Pool restricts placement to workers of that pool; empty means any.
	Pool  string    `json:"pool,omitempty"`
	Claim Resources `json:"claim"`
	// GangSize is the number of tasks of Job that must start together; 0 for a task that belongs to no gang.
	GangSize int `json:"gang_size,omitempty"`
	// Stoppable means that operators allow the task to be checkpointed, throttled or stopped for more urgent work.
	Stoppable bool `json:"stoppable,omitempty"`
	// Idempotent means that the task may be run again after an attempt that may have run.
	Idempotent bool `json:"idempotent"`
	// EstimatedRun is the declared run time. It is used to order and backfill work; no guarantee depends on it.
	EstimatedRun time.Duration `json:"estimated_run,omitempty"`
	// Payload is passed to the runner unchanged.
	Payload []byte `json:"payload,omitempty"`
}

// Attempt identifies one start of a task. Every hop matches answers to requests by it.
type Attempt struct {
	Task TaskID `json:"task"`
	// Epoch is the shard epoch under which the attempt was made.
	Epoch  Epoch         `json:"epoch"`
	Number AttemptNumber `json:"n"`
}

// LeasePhase is the phase of a lease, as reported by its worker.
type LeasePhase string

// The phases of a lease. A lease moves from running to ended, or is a tombstone from the start.
const (
	// LeaseRunning means that the task runs now.
	LeaseRunning LeasePhase = "running"
	// LeaseEnded means that the task ran and has ended.
	LeaseEnded LeasePhase = "ended"
	// LeaseTombstone means that the attempt never started and never will.
	LeaseTombstone LeasePhase = "tombstone"
)

// Lease is a worker's record of one attempt.
type Lease struct {
	Attempt Attempt    `json:"attempt"`
	Worker  WorkerID   `json:"worker"`
	Phase   LeasePhase `json:"phase"`
	// Task describes what runs, without its payload, so that a new owner can rebuild its state from
	// leases alone.
	Task Task `json:"task"`
	// Elapsed is how long the attempt has run, on the worker's clock.
	Elapsed time.Duration `json:"elapsed"`
}
