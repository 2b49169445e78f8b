// Package api holds the JSON bodies, headers and paths of the HTTP interface, shared by the server (package edge) and
// the client (package client). It checks nothing.
package api

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Headers of requests and answers.
const (
	// HeaderTimeout is a Go duration: how long the caller waits for the outcome.
	HeaderTimeout = "Laburnumpoint-Timeout"
	// HeaderCaller names the caller.
	HeaderCaller = "Laburnumpoint-Caller"
	// HeaderRequestID is the caller's own id of the request. A request that carries it may be sent again.
	HeaderRequestID = "Laburnumpoint-Request-Id"
	// HeaderFirstSend, if "true", says that the caller has never sent the request under its id before, or was told "not
	// run" each time. Without it an earlier send may have run, which keeps some refusals from being "not run".
	HeaderFirstSend = "Laburnumpoint-First-Send"

	// The remaining headers carry an Answer's fields beside a raw body.
	HeaderTask         = "Laburnumpoint-Task"
	HeaderResult       = "Laburnumpoint-Result"
	HeaderReasonCode   = "Laburnumpoint-Reason-Code"
	HeaderReasonDetail = "Laburnumpoint-Reason-Detail"
	HeaderRetryAfterMS = "Laburnumpoint-Retry-After-Ms"
	HeaderAttempt      = "Laburnumpoint-Attempt"
	HeaderWorker       = "Laburnumpoint-Worker"
	HeaderWaitedMS     = "Laburnumpoint-Waited-Ms"
)

// Content types.
const (
	TypeJSON = "application/json"
	// TypeRaw in an Accept header asks for the raw answer as the body.
	TypeRaw = "application/octet-stream"
)

// Paths of the interface. A path that ends in a slash is followed by an id.
const (
	PathRequests          = "/v1/requests"
	PathJobs              = "/v1/jobs"
	PathTasks             = "/v1/tasks"
	PathTasksCancel       = "/v1/tasks/cancel"
	PathConfig            = "/v1/config"
	PathConfigHistory     = "/v1/config/history"
	PathConfigPatches     = "/v1/config/patches"
	PathConfigPatchDryRun = "/v1/config/patches/try"
	PathShards            = "/v1/shards"
	PathWorkers           = "/v1/workers"
	PathTeams             = "/v1/teams"
	PathMembers           = "/v1/members"
)

// TaskIDSeparator stands between the caller and the caller's own request id in a task's id. Neither may contain it.
const TaskIDSeparator = "~"

// RequestTaskID returns the task id of a caller's own request id. Two callers that choose the same id name two tasks.
func RequestTaskID(caller, requestID string) cell.TaskID {
	return cell.TaskID(caller + TaskIDSeparator + requestID)
}

// TaskSpec is the task of a request or a job as a caller writes it.
type TaskSpec struct {
	Team string `json:"team"`
	// Class is urgent, service, normal or batch; empty means the ordinary class of the task's kind.
	Class     cell.Class     `json:"class,omitempty"`
	Pool      string         `json:"pool,omitempty"`
	Claim     cell.Resources `json:"claim"`
	Stoppable bool           `json:"stoppable,omitempty"`
	// Idempotent is true if left out.
	Idempotent     *bool `json:"idempotent,omitempty"`
	EstimatedRunMS int64 `json:"estimated_run_ms,omitempty"`
	// Payload and PayloadBase64 are two ways to write the payload; at most one is set.
	Payload       string `json:"payload,omitempty"`
	PayloadBase64 []byte `json:"payload_base64,omitempty"`
}

// JobSpec is the body of a job's submission.
type JobSpec struct {
	// ID is the caller's own id of the job. A job sent again under the same id is the same job. Empty means a new id.
	ID    cell.JobID `json:"id,omitempty"`
	Kind  cell.Kind  `json:"kind"`
	Count int        `json:"count"`
	// Floor is the number of a service's tasks that a planned change is to keep running. It is refused as yet.
	Floor int      `json:"floor,omitempty"`
	Task  TaskSpec `json:"task"`
}

// CancelSpec is the body of a cancellation of tasks.
type CancelSpec struct {
	Tasks []cell.TaskID `json:"tasks"`
}

// PatchSpec is the body of a configuration patch.
type PatchSpec struct {
	// ID names the patch; a patch sent again under the same id takes effect once. Empty means a new id.
	ID   string `json:"id,omitempty"`
	Base uint64 `json:"base"`
	// Merge is a JSON merge patch (RFC 7396) of the document.
	Merge RawObject `json:"merge"`
}

// RawObject is JSON that is passed on as it was written.
type RawObject []byte

// MarshalJSON returns o itself.
func (o RawObject) MarshalJSON() ([]byte, error) {
	if len(o) == 0 {
		return []byte("null"), nil
	}
	return o, nil
}

// UnmarshalJSON keeps a copy of data.
func (o *RawObject) UnmarshalJSON(data []byte) error {
	*o = append((*o)[:0], data...)
	return nil
}

// Problem is one mistake in a request.
type Problem struct {
	// Field is the header, query parameter or body field that is wrong.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Answer is the body of every command's answer and of every refusal.
type Answer struct {
	// ID is the request's id: the caller's own, or one made up for it.
	ID string `json:"id"`
	// Task names the task in queries and cancellations.
	Task   cell.TaskID `json:"task,omitempty"`
	Result cell.Result `json:"result"`
	Reason cell.Reason `json:"reason"`
	// RetryAfterMS is in milliseconds; zero if coming back will not help.
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	Attempt      cell.Attempt  `json:"attempt"`
	Worker       cell.WorkerID `json:"worker,omitempty"`
	// WaitedMS is the time from the request's arrival to its start, in milliseconds.
	WaitedMS float64 `json:"waited_ms"`
	Answer   []byte  `json:"answer"`
	// Cancelled counts the tasks that a cancellation found queued or running.
	Cancelled int       `json:"cancelled,omitempty"`
	Problems  []Problem `json:"problems,omitempty"`
}

// RetryAfter returns RetryAfterMS as a duration.
func (a Answer) RetryAfter() time.Duration {
	return time.Duration(a.RetryAfterMS) * time.Millisecond
}
