// Package httpplatform calls the platform's services and the runners on worker VMs over HTTP.
//
// It implements the interfaces of package platformapi. It distinguishes calls that certainly had no effect from calls
// that may have had one: a call that got no connection was not sent, and any other call without a complete answer is in
// doubt.
package httpplatform

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// Paths of the platform's HTTP interface.
const (
	PathRow          = "/v1/table/row"          // GET, query key
	PathRows         = "/v1/table/rows"         // GET, query prefix
	PathTransactions = "/v1/table/transactions" // POST Transaction
	PathObjects      = "/v1/objects/"           // PUT and GET, followed by the key
	PathWorkers      = "/v1/workers"            // GET
	PathHosts        = "/v1/hosts"              // POST HostRegistration
)

// Paths of a runner's HTTP interface. All take POST.
const (
	PathClaim = "/v1/claim" // ClaimRequest
	PathStart = "/v1/start" // StartRequest
	PathAwait = "/v1/await" // AwaitRequest
	PathStop  = "/v1/stop"  // StopRequest
)

// Headers of requests and answers.
const (
	// HeaderMember is the member id of the calling process.
	HeaderMember = "Laburnumpoint-Member"
	// HeaderDigest is the xxhash64 of the complete body, in hexadecimal.
	HeaderDigest = "Laburnumpoint-Digest"
	// HeaderResult is the result of a start or await: one of the Result constants.
	HeaderResult = "Laburnumpoint-Result"
	// HeaderFailed is "true" if the task reported failure.
	HeaderFailed = "Laburnumpoint-Failed"
	// HeaderDetail explains a result.
	HeaderDetail = "Laburnumpoint-Detail"
	// HeaderAttempt is the attempt that the answer belongs to, in the format of FormatAttempt.
	HeaderAttempt = "Laburnumpoint-Attempt"
)

// Values of HeaderResult.
const (
	ResultFinished = "finished"
	ResultRefused  = "refused"
	ResultFenced   = "fenced"
	ResultAccepted = "accepted"
)

// ErrorCode is the code of an error in an ErrorBody. Codes are stable.
type ErrorCode string

// The error codes.
const (
	// CodeConflict means that a transaction's conditions did not hold.
	CodeConflict ErrorCode = "conflict"
	// CodeUnavailable means that the operation was certainly not applied.
	CodeUnavailable ErrorCode = "unavailable"
	// CodeNotFound means that the object does not exist.
	CodeNotFound ErrorCode = "not_found"
	// CodeFenced means that the worker has seen a higher epoch.
	CodeFenced ErrorCode = "fenced"
	// CodeInvalid means that the request is malformed.
	CodeInvalid ErrorCode = "invalid"
	// CodeBusy means that the runner already serves its maximum number of connections.
	CodeBusy ErrorCode = "busy"
	// CodeGone means that the worker VM has ended and can't be listed again.
	CodeGone ErrorCode = "gone"
)

// ErrorBody is the body of every answer with an error status.
type ErrorBody struct {
	Code   ErrorCode `json:"code"`
	Detail string    `json:"detail,omitempty"`
}

// Transaction is a conditional transaction of the table.
type Transaction struct {
	Ops []platformapi.Op `json:"ops"`
}

// TransactionResult holds the rows' new versions in the order of the operations.
type TransactionResult struct {
	Versions []uint64 `json:"versions"`
}

// RowList holds the rows under a prefix, in key order.
type RowList struct {
	Rows []platformapi.Row `json:"rows"`
}

// WorkerList is the platform's list of worker VMs.
type WorkerList struct {
	Workers []cell.Worker `json:"workers"`
}

// HostRegistration registers the worker VMs that a host process runs. The process repeats it while it runs.
type HostRegistration struct {
	// Incarnation identifies the run of the process and is unique to it.
	Incarnation string `json:"run"`
	// Addr is an address that accepts connections for as long as the process exists.
	Addr    string        `json:"addr"`
	Workers []cell.Worker `json:"workers"`
}

// ClaimRequest is a claim together with the revision after which leases are to be reported.
type ClaimRequest struct {
	platformapi.WorkerClaim
	// Since is the highest revision of this boot that the sender knows; 0 asks for every lease.
	Since uint64 `json:"since,omitempty"`
}

// ClaimReply is the answer to a claim. Unless Claimed is set, only Worker, BootID and Epoch are.
type ClaimReply struct {
	Worker   cell.WorkerID  `json:"worker"`
	Epoch    cell.Epoch     `json:"epoch"`
	BootID   string         `json:"boot"`
	Claimed  bool           `json:"claimed,omitempty"`
	Leaving  bool           `json:"leaving,omitempty"`
	Used     cell.Resources `json:"used"`
	Revision uint64         `json:"revision,omitempty"`
	// Full means that Changed holds every lease. The worker sends them all if it no longer knows which leases it has
	// dropped after Since.
	Full bool `json:"full,omitempty"`
	// Retention is how long the worker keeps ended leases.
	Retention time.Duration  `json:"retention_ns,omitempty"`
	Changed   []ChangedLease `json:"changed,omitempty"`
}

// ChangedLease is a lease in a ClaimReply.
type ChangedLease struct {
	Attempt cell.Attempt    `json:"attempt"`
	Phase   cell.LeasePhase `json:"phase"`
	// Task describes the running task, without its payload. It is set only for a running lease.
	Task    *cell.Task    `json:"task,omitempty"`
	Elapsed time.Duration `json:"elapsed_ns"`
	// EndedAgo is the time since the lease's end; 0 while it runs.
	EndedAgo time.Duration `json:"ended_ago_ns,omitempty"`
}

func (r ClaimReply) report() platformapi.WorkerReport {
	return platformapi.WorkerReport{
		Worker:  r.Worker,
		Epoch:   r.Epoch,
		BootID:  r.BootID,
		Claimed: r.Claimed,
		Usage:   platformapi.Usage{Worker: r.Worker, Used: r.Used},
		Leaving: r.Leaving,
	}
}

func (l ChangedLease) lease(worker cell.WorkerID) cell.Lease {
	lease := cell.Lease{Attempt: l.Attempt, Worker: worker, Phase: l.Phase, Task: cell.Task{ID: l.Attempt.Task}, Elapsed: l.Elapsed}
	if l.Task != nil {
		lease.Task = *l.Task
	}
	return lease
}

// StartRequest asks a runner to start an attempt.
type StartRequest struct {
	BootID  string        `json:"boot"`
	Attempt cell.Attempt  `json:"attempt"`
	Task    cell.Task     `json:"task"`
	TTL     time.Duration `json:"ttl_ns"`
}

// AwaitRequest asks a runner for the answer of an attempt that it holds a lease of.
type AwaitRequest struct {
	Attempt cell.Attempt `json:"attempt"`
}

// StopRequest asks a runner to stop an attempt.
type StopRequest struct {
	Attempt cell.Attempt         `json:"attempt"`
	Epoch   cell.Epoch           `json:"epoch"`
	Mode    platformapi.StopMode `json:"mode"`
}

// Digest returns the value of HeaderDigest for body.
func Digest(body []byte) string {
	h := xxhash.New()
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
