// Package platform states the contracts of the services that the scheduler runs on:
// the transactional table, the object store, the VM list and the runners on worker VMs.
//
// The rest of the project sees these interfaces only. Wire formats live in adapters (package httpplatform).
package platform

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
)

// Errors of the table and object store.
var (
	// ErrConflict means that a transaction's conditions did not hold; nothing was written.
	ErrConflict = errors.New("table: condition failed")
	// ErrUnavailable means that the operation was certainly not applied.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUncertain means that the operation may or may not have been applied, now or shortly.
	ErrUncertain = errors.New("platform: outcome uncertain")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: not found")
)

// Row is one row of the table. Version is 0 for a row that does not exist and is never reused by a key.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Op is one conditional step of a transaction.
type Op struct {
	Key string `json:"key"`
	// IfVersion is the version that the row must have; 0 means that it must not exist.
	IfVersion uint64 `json:"if_version"`
	// AnyVersion drops the condition.
	AnyVersion bool `json:"any_version,omitempty"`
	// Value is written unless CheckOnly or Delete is set.
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	CheckOnly bool   `json:"check_only,omitempty"`
}

// Table is the platform's transactional table service: linearizable, several hundred writes and
// about two thousand reads a second, with long outages.
type Table interface {
	// Get returns the row of key, with Version 0 if there is none.
	// Errors: ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, in key order.
	// Errors: ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Apply executes all ops or none and returns the rows' new versions in the order of ops.
	// Errors: ErrConflict, ErrUnavailable, ErrUncertain.
	Apply(ctx context.Context, ops []Op) ([]uint64, error)
}

// ObjectStore is the platform's object store, for values too large for the table.
type ObjectStore interface {
	// Put stores data under key, replacing what was there.
	// Errors: ErrUnavailable, ErrUncertain.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the whole value of key.
	// Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
}

// VMList is the platform's list of worker VMs. It lags behind the facts.
type VMList interface {
	// Workers returns the live and leaving workers. A worker that was listed once and is no longer has ended.
	// Errors: ErrUnavailable.
	Workers(ctx context.Context) ([]cell.Worker, error)
}

// StartResult is what a runner said to a start, or what is known of it when the runner did not answer.
type StartResult int

// The results of a start.
const (
	// StartFinished means that the attempt ran to its end and Answer is whole.
	StartFinished StartResult = iota
	// StartRefused means that the attempt did not start and, under this attempt id, never will.
	StartRefused
	// StartFenced means that the attempt did not start because the worker has seen a higher epoch.
	StartFenced
	// StartNotSent means that no byte of the request left this process.
	StartNotSent
	// StartInDoubt means that the request may have reached the worker and no whole answer came back.
	StartInDoubt
	// StartAccepted means that a service runs; its end is seen in the worker's leases.
	StartAccepted
)

// StartReply is the outcome of Runner.Start.
type StartReply struct {
	Result StartResult
	// Failed means that the task ran and reported failure. Only with StartFinished.
	Failed bool
	// Answer is the whole answer. Only with StartFinished.
	Answer []byte
	// Detail explains any result but StartFinished and StartAccepted.
	Detail string
}

// StopMode tells how a lease is to be stopped.
type StopMode string

// The ways to stop a lease.
const (
	// StopNow ends the task.
	StopNow StopMode = "now"
	// StopCheckpoint saves the task's progress, then ends it.
	StopCheckpoint StopMode = "checkpoint"
)

// Usage is a worker's report of what its tasks use. It lags and bounds nothing.
type Usage struct {
	Worker cell.WorkerID  `json:"worker"`
	Used   cell.Resources `json:"used"`
}

// WorkerReport is what a worker says of itself: every lease it runs and every one that ended lately.
type WorkerReport struct {
	Worker cell.WorkerID `json:"worker"`
	// Epoch is the highest shard epoch the worker has accepted since it booted; 0 if none.
	Epoch cell.Epoch `json:"epoch"`
	// BootID changes whenever the runner restarts; every lease of an earlier boot has ended.
	BootID string `json:"boot"`
	// Claimed reports whether this claim was accepted. A claim that names another boot than the worker's
	// is not: the reply then gives Boot and Epoch only.
	Claimed bool         `json:"claimed"`
	Leases  []cell.Lease `json:"leases"`
	Usage   Usage        `json:"usage"`
	// Leaving means that the VM has been told to shut down and takes no new leases.
	Leaving bool `json:"leaving"`
}

// WorkerClaim is what an owner tells a worker to make it the owner's, and to keep it so.
type WorkerClaim struct {
	Shard cell.ShardID `json:"shard"`
	Epoch cell.Epoch   `json:"epoch"`
	// BootID is the worker's boot id as the owner knows it; empty to ask for it.
	BootID string `json:"boot"`
	// TTL is how long the worker keeps its leases running without another claim.
	TTL time.Duration `json:"ttl"`
}

// Errors of runners.
var (
	// ErrFenced means that the worker has seen a higher epoch.
	ErrFenced = errors.New("runner: epoch superseded")
	// ErrUnreachable means that the runner did not answer.
	ErrUnreachable = errors.New("runner: unreachable")
)

// RunnerClient talks to the runner on one worker VM. The lease contract is in docs/LEASES.md.
type RunnerClient interface {
	// Claim raises the worker's epoch, renews every lease for the ttl and returns the worker's report.
	// It is the heartbeat too. Errors: ErrFenced, ErrUnreachable.
	Claim(ctx context.Context, w cell.Worker, c WorkerClaim) (WorkerReport, error)
	// Start runs the attempt and waits for its whole answer; for a service it returns once the service runs.
	// It is refused if boot is not the worker's, or if the attempt's epoch is not the claimed one.
	Start(ctx context.Context, w cell.Worker, boot string, a cell.Attempt, t cell.Task, ttl time.Duration) StartReply
	// Await waits for the whole answer of an attempt that the worker has listed.
	Await(ctx context.Context, w cell.Worker, a cell.Attempt) StartReply
	// Stop ends the attempt or leaves a tombstone if it never started, and returns the lease as it then is.
	// Errors: ErrFenced, ErrUnreachable.
	Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, mode StopMode) (cell.Lease, error)
}
