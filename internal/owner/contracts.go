// Package owner elects the one daemon that schedules the cell's graph jobs, and runs it: the owner acquires the ownership row
// in the store, fetches the workers' reports, lets the engine of package dispatch decide, sends its orders to the workers and
// commits what must be durable to the ledger.
//
// One goroutine, the control loop, uses the engine. Calls to workers, the store, other daemons and the policy service run in
// their own goroutines and post their results to the control loop as events.
package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
)

// Errors of calls to workers.
var (
	// ErrSuperseded means that the worker has seen a higher epoch than the call's; the call did nothing.
	ErrSuperseded = errors.New("worker: epoch superseded")
	// ErrOtherIncarnation means that another incarnation of the worker answers at the address: the one called has ended.
	ErrOtherIncarnation = errors.New("worker: another incarnation answers at its address")
	// ErrOtherProcess means that the worker's process is not the one that the call is for, which has ended; the call did nothing.
	ErrOtherProcess = errors.New("worker: the call is for another process")
	// ErrNoAnswer means that no answer came; the call may have been carried out, or may yet be.
	ErrNoAnswer = errors.New("worker: no answer to the call")
	// ErrNoConnection means that the call was not sent: its time was over before it had a connection. It says nothing about the worker.
	ErrNoConnection = errors.New("worker: no free connection")
)

// StartCall orders a worker to start a run.
type StartCall struct {
	dispatch.Start
	// Token is the call's fencing token: the worker refuses a call with a lower one than it has seen. Each attempt has the connection's present one.
	Token uint64 `json:"Epoch"`
	// Deadline is the time on the worker's clock up to which its lease is extended; a call that arrives later does nothing.
	Deadline time.Duration
	// ObserveClock is called with the reading of the worker's clock in the answer, if there is one, before Start returns.
	ObserveClock func(reading time.Duration) `json:"-"`
}

// HoldCall extends a worker's lease and fetches its report.
type HoldCall struct {
	// Token is the call's fencing token.
	Token uint64 `json:"Epoch"`
	// Deadline is the time on the worker's clock up to which its lease is extended; 0 leaves the lease as it is.
	Deadline time.Duration
	// Recorded is the sequence up to which the worker's ends of runs are recorded in the ledger; the worker may forget them.
	Recorded uint64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// WorkerClient calls workers. Every method returns at the latest when its context ends. The worker that is passed says whom the call is
// for: an incarnation, and that process of it which started at ProcessStart, or any if that is 0. Another process that the call
// reaches late refuses it, if the platform's protocol can name a process.
type WorkerClient interface {
	// Start returns the outcome of the order; dispatch.StartNotSent if there was no free connection. Errors: ErrSuperseded,
	// ErrOtherIncarnation, ErrOtherProcess; the run then does not exist.
	Start(ctx context.Context, w dispatch.Worker, call StartCall) (dispatch.StartOutcome, error)
	// Stop ends a run, or keeps it from ever starting. Errors: ErrSuperseded, ErrOtherIncarnation, ErrOtherProcess, ErrNoAnswer, ErrNoConnection.
	Stop(ctx context.Context, w dispatch.Worker, key dispatch.RunKey, epoch uint64) error
	// Hold returns the worker's report and its clock. Errors: ErrSuperseded, ErrOtherIncarnation, ErrOtherProcess, ErrNoAnswer, ErrNoConnection.
	Hold(ctx context.Context, w dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error)
}

// ProcessNamer is a WorkerClient whose protocol names the process that a call is for: another process refuses it.
type ProcessNamer interface {
	// NamesProcess marks such a client; it does nothing.
	NamesProcess()
}

// SilentConnCloser is a WorkerClient that keeps idle connections. A connection may go silent for good while new ones work.
type SilentConnCloser interface {
	// CloseSilentConns closes the idle connections to a worker that has answered no call for the given time.
	CloseSilentConns(w dispatch.Worker, silence time.Duration)
}

// RegistryChange is a change of the worker registry.
type RegistryChange struct {
	// Full means that Put holds every registered worker. A worker in both Put and Removed was removed after it was put.
	Full    bool
	Put     []dispatch.Worker
	Removed []dispatch.WorkerID
}

// WorkerRegistry is the platform's registry of workers.
type WorkerRegistry interface {
	// Follow reports the registry's content and then its changes until ctx ends.
	Follow(ctx context.Context, changed func(RegistryChange))
}

// PermitAnswer is the policy service's answer to a permit request for a step.
type PermitAnswer struct {
	// Tickets holds a ticket for each worker that may run the step.
	Tickets map[dispatch.WorkerID]string
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}

// PolicyService calls the policy service, which serves one call at a time for each daemon.
type PolicyService interface {
	// RequestPermits asks which of the workers may run the step.
	RequestPermits(ctx context.Context, step dispatch.StepID, workers []dispatch.WorkerID) (PermitAnswer, error)
}
