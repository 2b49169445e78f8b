// Package edge is the HTTP interface for callers and operators: it validates a request, passes it to the cell's
// Commands or Queries and writes the complete answer. Commands and queries have separate handlers.
package edge

import (
	"context"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// RunRequest is a caller's request to run one task and wait for its outcome.
type RunRequest struct {
	Task cell.Task
	// Resendable means that the caller chose the request's id and may send the request again under it.
	Resendable bool
	// FirstSend means that, according to the caller, no earlier send of the request can have run.
	FirstSend bool
	Caller    string
	Timeout   time.Duration
}

// Job is a job as a caller submits it: Count identical tasks.
type Job struct {
	ID    cell.JobID    `json:"id"`
	Kind  cell.TaskKind `json:"kind"`
	Count int           `json:"count"`
	// Template is the task that every task of the job repeats; its ID and Job are set by the system.
	Template cell.Task `json:"template"`
	// Floor is the number of a service's tasks that stay running during a planned change.
	Floor int `json:"floor,omitempty"`
}

// The types that queries return are the bodies of their answers.
type (
	JobStatus    = api.JobStatus
	Explanation  = api.Explanation
	ShardStatus  = api.ShardStatus
	WorkerStatus = api.WorkerStatus
	TeamStatus   = api.TeamStatus
	MemberStatus = api.MemberStatus
)

// Patch is an operator's change to the configuration.
type Patch struct {
	// ID identifies the patch. A patch that is sent again under the same id takes effect once.
	ID string `json:"id"`
	// Base is the version of the configuration that the patch was made against.
	Base uint64 `json:"base"`
	// Merge is a JSON merge patch (RFC 7396) of the document.
	Merge []byte `json:"merge"`
}

// PatchResult is the result of a patch or of its dry run.
type PatchResult struct {
	// Accepted means that the patch has created Version, which is in force.
	Accepted bool `json:"accepted"`
	// Version is the last known version in force.
	Version uint64      `json:"version"`
	Reason  cell.Reason `json:"reason"`
	// RetryAfter is how long to wait before another try; zero if another try can't help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Document is the document after the patch. It is set only by a dry run.
	Document *config.Document `json:"document,omitempty"`
}

// Commands are the operations that change the cell.
type Commands interface {
	// Run runs a task and returns its final outcome, at the latest when its timeout has passed.
	Run(ctx context.Context, r RunRequest) cell.Outcome
	// SubmitJob stores a job durably. The outcome's result is completed if the job is stored, otherwise not_run or
	// unknown.
	SubmitJob(ctx context.Context, j Job) cell.Outcome
	// CancelJob cancels a job.
	CancelJob(ctx context.Context, id cell.JobID) cell.Outcome
	// CancelTasks cancels tasks and returns how many of them were queued or running.
	CancelTasks(ctx context.Context, ids []cell.TaskID) (int, error)
	// Patch submits a change of the configuration.
	Patch(ctx context.Context, p Patch) PatchResult
}

// Queries are the operations that only read the state of the cell.
type Queries interface {
	// Job returns a job's status; the bool is false if the job doesn't exist.
	Job(ctx context.Context, id cell.JobID) (JobStatus, bool, error)
	// Explain returns why a task is in its state; the bool is false if the task is unknown.
	Explain(ctx context.Context, id cell.TaskID) (Explanation, bool, error)
	Shards(ctx context.Context) ([]ShardStatus, error)
	Workers(ctx context.Context) ([]WorkerStatus, error)
	Teams(ctx context.Context) ([]TeamStatus, error)
	Members(ctx context.Context) ([]MemberStatus, error)
	Config(ctx context.Context) (config.Versioned, error)
	// History returns the version in force and those before it, newest first, at most limit.
	History(ctx context.Context, limit int) ([]config.Versioned, error)
	// DryRunPatch returns what a patch would do, without applying it.
	DryRunPatch(ctx context.Context, p Patch) PatchResult
	// Ready reports whether the balancer should send callers to this daemon, and if not, why.
	Ready() (bool, cell.Reason)
}
