package cell

import "time"

// Result is the kind of a request's final answer.
type Result string

// The results of a request.
const (
	// ResultCompleted means that the task ran once to its end and Answer holds its whole answer.
	ResultCompleted Result = "completed"
	// ResultFailed means that the task ran and failed; Answer holds what the runner said.
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
	// Reason explains every result but ResultCompleted.
	Reason Reason `json:"reason"`
	// RetryAfter tells the caller when to come back; zero if coming back will not help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Attempt    Attempt       `json:"attempt"`
	Worker     WorkerID      `json:"worker,omitempty"`
	// Waited is the time from the request's arrival to its start.
	Waited time.Duration `json:"waited,omitempty"`
}

// NotRun returns the outcome of a request that did not run.
func NotRun(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Result: ResultNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the outcome of a request that may have run.
func Unknown(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{Result: ResultUnknown, Reason: reason, RetryAfter: retryAfter}
}

// ReasonCode is a stable name for why a decision was made. Log lines, queries and the command-line tool show the same codes.
type ReasonCode string

// The reason codes.
const (
	ReasonNone             ReasonCode = ""
	ReasonPlaced           ReasonCode = "placed"
	ReasonInvalid          ReasonCode = "invalid"           // the request or job is malformed
	ReasonFitsNowhere      ReasonCode = "fits_nowhere"      // no worker's whole capacity covers the claim
	ReasonNoCapacity       ReasonCode = "no_capacity"       // workers would fit the claim but are full
	ReasonQuota            ReasonCode = "quota"             // the team holds all that its quota allows
	ReasonQueueFull        ReasonCode = "queue_full"        // the bounded queue takes no more
	ReasonBehindOthers     ReasonCode = "behind_others"     // work of higher order waits for the same capacity
	ReasonGangReserved     ReasonCode = "gang_reserved"     // capacity is kept for a gang's start
	ReasonDeadline         ReasonCode = "deadline"          // the caller's deadline passed while waiting
	ReasonCancelled        ReasonCode = "cancelled"         // the caller or an operator cancelled
	ReasonPreempted        ReasonCode = "preempted"         // stopped for more urgent work
	ReasonNoOwner          ReasonCode = "no_owner"          // the shard has no reachable owner
	ReasonSuperseded       ReasonCode = "superseded"        // the deciding owner lost its shard
	ReasonStoreUnavailable ReasonCode = "store_unavailable" // the table service is needed and did not answer
	ReasonConfigStale      ReasonCode = "config_stale"      // the version in force could not be confirmed
	ReasonDraining         ReasonCode = "draining"          // the entry VM or worker is shutting down
	ReasonWorkerLost       ReasonCode = "worker_lost"       // the worker can't be reached or is gone
	ReasonTaskFailed       ReasonCode = "task_failed"       // the runner reported failure
	ReasonRetryBudget      ReasonCode = "retry_budget"      // retries are over their share of fresh traffic
	ReasonInDoubt          ReasonCode = "in_doubt"          // an earlier attempt may have run or may still run
	ReasonRecovering       ReasonCode = "recovering"        // the owner has not yet heard from every worker
	ReasonDuplicateKey     ReasonCode = "duplicate_key"     // the key was used for another request
)

// Reason explains one decision.
type Reason struct {
	Code ReasonCode `json:"code,omitempty"`
	// Detail names the numbers and names behind the code, for people.
	Detail string `json:"detail,omitempty"`
}

// String formats r for logs.
func (r Reason) String() string {
	if r.Detail == "" {
		return string(r.Code)
	}
	return string(r.Code) + ": " + r.Detail
}
