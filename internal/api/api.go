// Package api defines the JSON bodies, headers and paths of the HTTP interface, for the server (package edge) and the client
// (package client). It validates nothing.
package api

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Headers of requests and answers.
const (
	// HeaderTimeout carries the time that the caller waits for the outcome, as a Go duration.
	HeaderTimeout = "Laburnumpoint-Timeout"
	// HeaderCaller carries the name of the caller.
	HeaderCaller = "Laburnumpoint-Caller"
	// HeaderRequestID carries the caller's own id of the request. A request with this header may be sent again.
	HeaderRequestID = "Laburnumpoint-Request-Id"
	// HeaderFirstSend is "true" if the caller has never sent the request with its id before, or was answered "not run" each
	// time. Without it an earlier send may have run, so some refusals can't be answered as "not run".
	HeaderFirstSend = "Laburnumpoint-First-Send"

	// The remaining headers carry the fields of an Answer if its body is raw.
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
	// TypeRaw in an Accept header requests the task's raw answer as the body.
	TypeRaw = "application/octet-stream"
)

// Paths of the interface. The id of an item follows after a slash.
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

// TaskIDSeparator separates the caller's name from the caller's own request id in a task id. Neither may contain it.
const TaskIDSeparator = "~"

// RequestTaskID returns the id of the task for a request with the caller's own id. It includes the caller's name, so two
// callers may choose the same request id.
func RequestTaskID(caller, requestID string) cell.TaskID {
	return cell.TaskID(caller + TaskIDSeparator + requestID)
}

// TaskSpec is the JSON of a task in a request or a job.
type TaskSpec struct {
	Team string `json:"team"`
	// Class is urgent, service, normal or batch; empty means the default class of the task's kind.
	Class     cell.PriorityClass `json:"class,omitempty"`
	Pool      string             `json:"pool,omitempty"`
	Claim     cell.Resources     `json:"claim"`
	Stoppable bool               `json:"stoppable,omitempty"`
	// Idempotent defaults to true.
	Idempotent     *bool `json:"idempotent,omitempty"`
	EstimatedRunMS int64 `json:"estimated_run_ms,omitempty"`
	// Payload and PayloadBase64 are two encodings of the payload; at most one is set.
	Payload       string `json:"payload,omitempty"`
	PayloadBase64 []byte `json:"payload_base64,omitempty"`
}

// JobSpec is the body of a request to submit a job.
type JobSpec struct {
	// ID is the caller's own id of the job. Sending a job again with the same id creates no second job. Empty means a new id.
	ID    cell.JobID    `json:"id,omitempty"`
	Kind  cell.TaskKind `json:"kind"`
	Count int           `json:"count"`
	// Floor is the number of a service's tasks that must keep running during planned changes. Jobs that set it are still
	// refused.
	Floor int      `json:"floor,omitempty"`
	Task  TaskSpec `json:"task"`
}

// CancelSpec is the body of a request to cancel tasks.
type CancelSpec struct {
	Tasks []cell.TaskID `json:"tasks"`
}

// PatchSpec is the body of a configuration patch.
type PatchSpec struct {
	// ID is the id of the patch; a patch sent again with the same id takes effect once. Empty means a new id.
	ID string `json:"id,omitempty"`
	// Base is the version of the document that the patch changes.
	Base uint64 `json:"base"`
	// Merge is a JSON merge patch (RFC 7396) of the configuration document.
	Merge RawObject `json:"merge"`
}

// RawObject is JSON that is kept as it was received, without decoding.
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

// Problem is one invalid field of a request.
type Problem struct {
	// Field is the header, query parameter or body field that is invalid.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Answer is the body of the answer to a command and of every refusal.
type Answer struct {
	// ID is the request's id: the caller's own, or one that the cell generated.
	ID string `json:"id"`
	// Task is the id of the task in queries and cancellations.
	Task   cell.TaskID `json:"task,omitempty"`
	Result cell.Result `json:"result"`
	Reason cell.Reason `json:"reason"`
	// RetryAfterMS is the time after which the caller should retry, in milliseconds; zero if a retry will not help.
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	Attempt      cell.Attempt  `json:"attempt"`
	Worker       cell.WorkerID `json:"worker,omitempty"`
	// WaitedMS is the time from the request's arrival to its start, in milliseconds.
	WaitedMS float64 `json:"waited_ms"`
	// Answer is what the task returned.
	Answer []byte `json:"answer"`
	// Cancelled counts the queued and running tasks that a cancellation found.
	Cancelled int       `json:"cancelled,omitempty"`
	Problems  []Problem `json:"problems,omitempty"`
}

// RetryAfter returns RetryAfterMS as a duration.
func (a Answer) RetryAfter() time.Duration {
	return time.Duration(a.RetryAfterMS) * time.Millisecond
}
