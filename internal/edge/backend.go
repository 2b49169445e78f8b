// Package edge serves callers and operators over HTTP: it checks what comes in, hands it to the cell's Commands or
// Queries and writes the whole answer. Commands and queries have handlers of their own.
package edge

import (
	"context"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// RunRequest is one request for a task that the caller waits for.
type RunRequest struct {
	Task cell.Task
	// Resendable means that the caller chose the task's id and may send it again.
	Resendable bool
	// FirstSend means that the caller says that no earlier send of the task may have run.
	FirstSend bool
	Caller    string
	Timeout   time.Duration
}

// Job is a job as a caller submits it: Count tasks alike.
type Job struct {
	ID    cell.JobID    `json:"id"`
	Kind  cell.TaskKind `json:"kind"`
	Count int           `json:"count"`
	// Template is the task that every task of the job repeats; its ID and Job are set by the system.
	Template cell.Task `json:"template"`
	// Floor is the number of a service's tasks that a planned change keeps running.
	Floor int `json:"floor,omitempty"`
}

// The views that queries return are the bodies of their answers.
type (
	JobStatus    = api.JobStatus
	Explanation  = api.Explanation
	ShardStatus  = api.ShardStatus
	WorkerStatus = api.WorkerStatus
	TeamStatus   = api.TeamStatus
	MemberStatus = api.MemberStatus
)

// Patch is an operator's change against a version of the configuration.
type Patch struct {
	// ID names the patch; a patch sent again under the same id takes effect once.
	ID   string `json:"id"`
	Base uint64 `json:"base"`
	// Merge is a JSON merge patch (RFC 7396) of the document.
	Merge []byte `json:"merge"`
}

// PatchResult says what became of a patch.
type PatchResult struct {
	// Accepted means that Version is the patch's own version and in force.
	Accepted bool `json:"accepted"`
	// Version is the version in force, as far as known.
	Version uint64      `json:"version"`
	Reason  cell.Reason `json:"reason"`
	// RetryAfter tells when to come back, if that can help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Document is the document after the patch. Only for a trial.
	Document *config.Document `json:"document,omitempty"`
}

// Commands changes the cell.
type Commands interface {
	// Run runs a task and returns its final outcome, at the latest when its timeout has passed.
	Run(ctx context.Context, r RunRequest) cell.Outcome
	// SubmitJob makes a job durable. The outcome's result is completed once it is, and not_run or unknown otherwise.
	SubmitJob(ctx context.Context, j Job) cell.Outcome
	// CancelJob ends a job. CancelTasks cancels tasks by id and returns how many were queued or running.
	CancelJob(ctx context.Context, id cell.JobID) cell.Outcome
	CancelTasks(ctx context.Context, ids []cell.TaskID) (int, error)
	// Patch submits a change of the configuration.
	Patch(ctx context.Context, p Patch) PatchResult
}

// Queries reads the cell and changes nothing.
type Queries interface {
	Job(ctx context.Context, id cell.JobID) (JobStatus, bool, error)
	Explain(ctx context.Context, id cell.TaskID) (Explanation, bool, error)
	Shards(ctx context.Context) ([]ShardStatus, error)
	Workers(ctx context.Context) ([]WorkerStatus, error)
	Teams(ctx context.Context) ([]TeamStatus, error)
	Members(ctx context.Context) ([]MemberStatus, error)
	Config(ctx context.Context) (config.Versioned, error)
	// History returns the versions before and including the one in force, newest first, at most limit.
	History(ctx context.Context, limit int) ([]config.Versioned, error)
	// TryPatch says what a patch would do, without effect.
	TryPatch(ctx context.Context, p Patch) PatchResult
	// Ready reports whether the balancer should send callers here, and why not.
	Ready() (bool, cell.Reason)
}
