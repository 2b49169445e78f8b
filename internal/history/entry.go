// Package history records what callers, operators and workers observed while the scheduler ran, and checks the history
// against invariants: worker capacity is not exceeded, attempts of a task never overlap, callers receive complete answers
// to their own requests and true outcomes, and configuration versions are linearizable.
//
// A history is a sequence of entries, one JSON object per line. Entries of several processes on one machine may be
// merged, since every entry carries its wall-clock time.
package history

import (
	"time"

	"laburnumpoint/internal/cell"
)

// EntryKind is the kind of an event. It determines which pointer of an Entry is set.
type EntryKind string

// The kinds of entries.
const (
	// KindCall is a caller's request, recorded before it is sent. Call is set.
	KindCall EntryKind = "call"
	// KindReturn is the answer to a call, or its failure. Return is set.
	KindReturn EntryKind = "return"
	// KindLeaseStart is a worker starting an attempt. Lease is set.
	KindLeaseStart EntryKind = "lease_start"
	// KindLeaseEnd is a worker ending an attempt. Lease is set.
	KindLeaseEnd EntryKind = "lease_end"
	// KindWorker is a change of a worker VM. Worker is set.
	KindWorker EntryKind = "worker"
	// KindPatchCall is an operator's patch, recorded before it is sent. Patch is set.
	KindPatchCall EntryKind = "patch_call"
	// KindPatchReturn is the outcome of a patch. Patch is set.
	KindPatchReturn EntryKind = "patch_return"
	// KindReadCall is a query for the configuration version in force, recorded before it is sent. Read is set.
	KindReadCall EntryKind = "read_call"
	// KindReadReturn is the answer to a query for the version in force. Read is set.
	KindReadReturn EntryKind = "read_return"
)

// Entry is one line of a history.
type Entry struct {
	// At is the wall-clock time of the event.
	At   time.Time `json:"at"`
	Kind EntryKind `json:"kind"`
	// OpID is the id that a call and its return share. It is unique in a history.
	OpID   string       `json:"op,omitempty"`
	Call   *Call        `json:"call,omitempty"`
	Return *Return      `json:"return,omitempty"`
	Lease  *Lease       `json:"lease,omitempty"`
	Worker *WorkerEvent `json:"worker,omitempty"`
	Patch  *Patch       `json:"patch,omitempty"`
	Read   *VersionRead `json:"read,omitempty"`
}

// Call is a caller's request.
type Call struct {
	// Key is the caller's request key. Retries of a request carry the same key.
	Key string `json:"key"`
	// Task is the task's id if the caller chose it, otherwise empty.
	Task       cell.TaskID `json:"task,omitempty"`
	Idempotent bool        `json:"idempotent"`
	// Echo is the text that the answer must repeat.
	Echo string `json:"echo,omitempty"`
	// AnswerBytes is the length that the answer's padding must have; 0 if the caller did not choose it.
	AnswerBytes int `json:"answer_bytes,omitempty"`
}

// Return is the answer that a caller received, or its absence.
type Return struct {
	// Lost means that no complete answer arrived. Result is then empty.
	Lost   bool        `json:"lost,omitempty"`
	Result cell.Result `json:"result,omitempty"`
	// Task is the id that the scheduler gave the request's task.
	Task   cell.TaskID `json:"task,omitempty"`
	Answer []byte      `json:"answer,omitempty"`
}

// EndCause is the reason why a lease ended.
type EndCause string

// The causes of a lease's end.
const (
	// EndFinished means that the task ran to completion.
	EndFinished EndCause = "finished"
	// EndFailed means that the task ran and failed.
	EndFailed EndCause = "failed"
	// EndStopped means that the owner stopped the task.
	EndStopped EndCause = "stopped"
	// EndExpired means that the lease was not renewed in time.
	EndExpired EndCause = "lapsed"
	// EndLost means that the worker VM or its runner ended.
	EndLost EndCause = "lost"
)

// Lease is one attempt on one worker.
type Lease struct {
	Worker  cell.WorkerID `json:"worker"`
	BootID  string        `json:"boot"`
	Attempt cell.Attempt  `json:"attempt"`
	// Claim, Kind, Team, Idempotent and Echo are set at the start.
	Claim      cell.Resources `json:"claim"`
	Kind       cell.TaskKind  `json:"kind,omitempty"`
	Team       string         `json:"team,omitempty"`
	Idempotent bool           `json:"idempotent"`
	Echo       string         `json:"echo,omitempty"`
	// Cause is set at the end.
	Cause EndCause `json:"cause,omitempty"`
}

// WorkerChange is what happened to a worker VM.
type WorkerChange string

// The changes of a worker VM.
const (
	// WorkerAdded means that the worker VM was added. Capacity is set.
	WorkerAdded WorkerChange = "added"
	// WorkerLeaving means that the VM was told to shut down.
	WorkerLeaving WorkerChange = "leaving"
	// WorkerLost means that the VM has ended.
	WorkerLost WorkerChange = "lost"
	// WorkerRestarted means that the runner lost its leases and has a new boot id.
	WorkerRestarted WorkerChange = "restarted"
	// WorkerFrozen means that the VM is paused.
	WorkerFrozen WorkerChange = "frozen"
	// WorkerThawed means that the VM runs again after a pause.
	WorkerThawed WorkerChange = "thawed"
)

// WorkerEvent is a change of one worker VM.
type WorkerEvent struct {
	ID       cell.WorkerID  `json:"id"`
	Change   WorkerChange   `json:"change"`
	Capacity cell.Resources `json:"capacity"`
}

// Patch is an operator's request to replace version Base of the configuration by a new version.
type Patch struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
	// Outcome and Version are set on return.
	Outcome PatchOutcome `json:"verdict,omitempty"`
	// Version is the new version if the patch was accepted, and the version in force if it was stale.
	Version uint64 `json:"version,omitempty"`
}

// PatchOutcome is what became of a patch, as the operator was told.
type PatchOutcome string

// The outcomes of a patch.
const (
	// PatchAccepted means that the patch became the new version.
	PatchAccepted PatchOutcome = "accepted"
	// PatchStale means that the patch was refused because Base was not the version in force.
	PatchStale PatchOutcome = "stale"
	// PatchRefused means that the patch was refused for another reason and changed nothing.
	PatchRefused PatchOutcome = "refused"
	// PatchUnknown means that the patch may or may not have been accepted, now or later.
	PatchUnknown PatchOutcome = "unknown"
)

// VersionRead is a query for the configuration version in force at one member, or a linearizable one if Member is empty.
type VersionRead struct {
	// Member is the process on an entry VM that answered.
	Member cell.MemberID `json:"member,omitempty"`
	// Version is set on return; 0 means that the answer had no version.
	Version uint64 `json:"version,omitempty"`
}
