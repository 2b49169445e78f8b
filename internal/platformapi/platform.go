// Package platformapi defines the interfaces of the services that the scheduler depends on: the transactional table,
// the object store, the VM list and the runners on worker VMs.
//
// The rest of the project uses these interfaces only. Wire formats are in adapters such as package httpplatform.
package platformapi

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/cell"
)

// Errors of the table, the object store and the VM list.
var (
	// ErrConflict means that a transaction's conditions did not hold; nothing was written.
	ErrConflict = errors.New("table: condition failed")
	// ErrUnavailable means that the operation was certainly not applied.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUncertain means that the operation may have been applied or may still be applied shortly.
	ErrUncertain = errors.New("platform: outcome uncertain")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: not found")
)

// Row is one row of the table. Version is 0 for a row that does not exist. A key never has the same version twice.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Op is one conditional operation of a transaction.
type Op struct {
	Key string `json:"key"`
	// IfVersion is the version that the row must have; 0 means that it must not exist.
	IfVersion uint64 `json:"if_version"`
	// AnyVersion means that the operation has no condition.
	AnyVersion bool `json:"any_version,omitempty"`
	// Value is written unless CheckOnly or Delete is set.
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	CheckOnly bool   `json:"check_only,omitempty"`
}

// Table is the platform's transactional table service. It is linearizable, serves several hundred writes and about two
// thousand reads per second, and can be unavailable for long.
type Table interface {
	// Get returns the row of key, with Version 0 if there is none.
	// Errors: ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, in key order.
	// Errors: ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Apply applies all ops or none and returns the rows' new versions in the order of ops.
	// Errors: ErrConflict, ErrUnavailable, ErrUncertain.
	Apply(ctx context.Context, ops []Op) ([]uint64, error)
}

// ObjectStore is the platform's object store, for values too large for the table.
type ObjectStore interface {
	// Put stores data under key, replacing an existing value.
	// Errors: ErrUnavailable, ErrUncertain.
	Put(ctx context.Context, key string, data []byte) error
	// Get returns the complete value of key.
	// Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
}

// VMList is the platform's list of worker VMs. It lags behind the actual state.
type VMList interface {
	// Workers returns the live and leaving workers. A worker that was listed and no longer is has ended.
	// Errors: ErrUnavailable.
	Workers(ctx context.Context) ([]cell.Worker, error)
}

// StartResult is a runner's answer to a start, or what is known about the start if no complete answer arrived.
type StartResult int

// The results of a start.
const (
	// StartFinished means that the attempt has ended and Answer is complete.
	StartFinished StartResult = iota
	// StartRefused means that the attempt did not start and never will under this attempt id.
	StartRefused
	// StartFenced means that the attempt did not start because the worker has seen a higher epoch.
	StartFenced
	// StartNotSent means that no byte of the request left this process.
	StartNotSent
	// StartInDoubt means that the request may have reached the worker, and no complete answer arrived.
	StartInDoubt
	// StartAccepted means that a service runs. Its end shows in the worker's leases.
	StartAccepted
)

// StartReply is the outcome of RunnerClient.Start or RunnerClient.Await.
type StartReply struct {
	Result StartResult
	// Failed means that the task ran and reported failure. Set only with StartFinished.
	Failed bool
	// Answer is the complete answer. Set only with StartFinished.
	Answer []byte
	// Detail explains any result but StartFinished and StartAccepted.
	Detail string
}

// StopMode is the way in which a lease is stopped.
type StopMode string

// The ways to stop a lease.
const (
	// StopNow ends the task at once.
	StopNow StopMode = "now"
	// StopCheckpoint saves the task's progress, then ends it.
	StopCheckpoint StopMode = "checkpoint"
)

// Usage is a worker's report of the resources that its tasks use. It lags behind and limits nothing.
type Usage struct {
	Worker cell.WorkerID  `json:"worker"`
	Used   cell.Resources `json:"used"`
}

// WorkerReport is a worker's report of its state: every running lease and every lease that ended recently.
type WorkerReport struct {
	Worker cell.WorkerID `json:"worker"`
	// Epoch is the highest shard epoch the worker has accepted since it booted; 0 if none.
	Epoch cell.Epoch `json:"epoch"`
	// BootID is the id of the runner's current boot. It changes whenever the runner restarts, and every lease of an earlier
	// boot has then ended.
	BootID string `json:"boot"`
	// Claimed reports whether the claim was accepted. A claim with another boot id than the worker's is not accepted, and
	// only BootID and Epoch are then set.
	Claimed bool         `json:"claimed"`
	Leases  []cell.Lease `json:"leases"`
	Usage   Usage        `json:"usage"`
	// Leaving means that the VM has been told to shut down and takes no new leases.
	Leaving bool `json:"leaving"`
}

// WorkerClaim is an owner's claim on a worker. The owner repeats it to keep the worker.
type WorkerClaim struct {
	Shard cell.ShardID `json:"shard"`
	Epoch cell.Epoch   `json:"epoch"`
	// BootID is the worker's boot id as the owner knows it; empty to ask for it.
	BootID string `json:"boot"`
	// TTL is how long the worker's leases last without another claim.
	TTL time.Duration `json:"ttl"`
}

// Errors of runners.
var (
	// ErrFenced means that the worker has seen a higher epoch.
	ErrFenced = errors.New("runner: epoch superseded")
	// ErrUnreachable means that the runner gave no valid answer.
	ErrUnreachable = errors.New("runner: unreachable")
)

// RunnerClient calls the runners on worker VMs. The lease contract is in docs/LEASES.md.
type RunnerClient interface {
	// Claim raises the worker's epoch to the claim's, renews every lease for the claim's TTL and returns the worker's
	// report. It is also the heartbeat. Errors: ErrFenced, ErrUnreachable.
	Claim(ctx context.Context, w cell.Worker, c WorkerClaim) (WorkerReport, error)
	// Start runs the attempt and waits for its complete answer. For a service it returns once the service runs.
	// It is refused if bootID is not the worker's, or if the attempt's epoch is not the claimed one.
	Start(ctx context.Context, w cell.Worker, bootID string, a cell.Attempt, t cell.Task, ttl time.Duration) StartReply
	// Await waits for the complete answer of an attempt that a report of the worker has listed.
	Await(ctx context.Context, w cell.Worker, a cell.Attempt) StartReply
	// Stop ends the attempt, or leaves a tombstone if it never started, and returns the resulting lease.
	// Errors: ErrFenced, ErrUnreachable.
	Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, mode StopMode) (cell.Lease, error)
}
