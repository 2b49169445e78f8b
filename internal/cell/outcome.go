package cell

import "time"

// Result is the kind of a request's final answer.
type Result string

// The results of a request.
const (
	// ResultCompleted means that the task ran once to its end. Answer holds its complete answer.
	ResultCompleted Result = "completed"
	// ResultFailed means that the task ran and failed. Answer holds what the runner returned.
	ResultFailed Result = "failed"
	// ResultNotRun means that the task did not run and will not run for this request.
	ResultNotRun Result = "not_run"
	// ResultUnknown means that the task may have run.
	ResultUnknown Result = "unknown"
)

// Outcome is the final answer to one request.
type Outcome struct {
	Result Result `json:"result"`
	Answer []byte `json:"answer,omitempty"`
	// Reason explains every result except ResultCompleted.
	Reason Reason `json:"reason"`
	// RetryAfter is how long the caller should wait before it tries again; zero if trying again will not help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Attempt    Attempt       `json:"attempt"`
	Worker     WorkerID      `json:"worker,omitempty"`
	// Waited is the time from the request's arrival to its start.
	Waited time.Duration `json:"waited,omitempty"`
	// LostAttempts counts the attempts that ended with their workers. Only the shard's owner knows it.
	LostAttempts int `json:"-"`
}

// NotRun returns the outcome of a request that did not run.
func NotRun(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Result: ResultNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the outcome of a request that may have run.
func Unknown(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Result: ResultUnknown, Reason: reason, RetryAfter: retryAfter}
}

// ReasonCode is the stable name of the reason for a decision. Log lines, queries and the command-line tool show the same codes.
type ReasonCode string

// The reason codes.
const (
	ReasonNone             ReasonCode = ""
	ReasonPlaced           ReasonCode = "placed"
	ReasonInvalid          ReasonCode = "invalid"           // the request or job is malformed
	ReasonFitsNowhere      ReasonCode = "fits_nowhere"      // the claim exceeds the whole capacity of every worker
	ReasonNoCapacity       ReasonCode = "no_capacity"       // the claim would fit on a worker, but none has enough capacity free
	ReasonQuota            ReasonCode = "quota"             // the team's quota is used up
	ReasonQueueFull        ReasonCode = "queue_full"        // the queue has reached its maximum length
	ReasonBehindOthers     ReasonCode = "behind_others"     // tasks ahead in the queue wait for the same capacity
	ReasonGangReserved     ReasonCode = "gang_reserved"     // the capacity is reserved for a gang
	ReasonDeadline         ReasonCode = "deadline"          // the caller's deadline passed while waiting
	ReasonCancelled        ReasonCode = "cancelled"         // the caller or an operator cancelled
	ReasonPreempted        ReasonCode = "preempted"         // stopped for more urgent work
	ReasonNoOwner          ReasonCode = "no_owner"          // the shard has no reachable owner
	ReasonSuperseded       ReasonCode = "superseded"        // the owner that decided has lost its shard
	ReasonStoreUnavailable ReasonCode = "store_unavailable" // the table service is needed and did not answer
	ReasonConfigStale      ReasonCode = "config_stale"      // the configuration version in force could not be confirmed
	ReasonDraining         ReasonCode = "draining"          // the entry VM or worker is shutting down
	ReasonWorkerLost       ReasonCode = "worker_lost"       // the worker can't be reached or is gone
	ReasonGivenUp          ReasonCode = "given_up"          // several workers ended while they ran the task
	ReasonTaskFailed       ReasonCode = "task_failed"       // the runner reported failure
	ReasonRetryBudget      ReasonCode = "retry_budget"      // retries exceed their allowed share of first attempts
	ReasonInDoubt          ReasonCode = "in_doubt"          // an earlier attempt may have run or may still run
	ReasonRecovering       ReasonCode = "recovering"        // not every worker has reported to the owner yet
	ReasonDuplicateKey     ReasonCode = "duplicate_key"     // the key was already used for another request
)

// Reason explains one decision.
type Reason struct {
	Code ReasonCode `json:"code,omitempty"`
	// Detail gives the values and names behind the code, for people to read.
	Detail string `json:"detail,omitempty"`
}

// String formats r for logs.
func (r Reason) String() string {
	if r.Detail == "" {
		return string(r.Code)
	}
	return string(r.Code) + ": " + r.Detail
}
