// Package owner runs the one daemon that decides for the cell's graph jobs: it takes ownership in the store, learns from
// the workers what runs, lets package dispatch decide, carries the decisions out and records what must last.
//
// One goroutine owns the engine. Calls to workers, the store, other daemons and the policy service run in goroutines of
// their own and post their results to it.
package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
)

// Errors of calls to workers.
var (
	// ErrSuperseded means that the worker has seen a higher epoch; the call did nothing.
	ErrSuperseded = errors.New("worker: epoch superseded")
	// ErrOtherIncarnation means that another life of a worker answers at the address: the one meant has ended.
	ErrOtherIncarnation = errors.New("worker: another life answers")
	// ErrNoAnswer means that no answer came; the call may have been carried out, or may be later.
	ErrNoAnswer = errors.New("worker: no answer")
)

// StartCall is an order to start a run.
type StartCall struct {
	dispatch.Start
	Epoch uint64
	// Deadline is the time on the worker's clock at which its lease ends; an order that arrives later does nothing.
	Deadline time.Duration
}

// HoldCall extends a worker's lease and asks for its report.
type HoldCall struct {
	Epoch uint64
	// Deadline is the time on the worker's clock up to which its lease is extended; 0 leaves the lease as it is.
	Deadline time.Duration
	// Recorded is the sequence up to which the worker may forget ends.
	Recorded uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// WorkerClient calls workers. Every method ends with its context at the latest.
type WorkerClient interface {
	// Start returns what became of the order. Errors: ErrSuperseded, ErrOtherLife; the run then does not exist.
	Start(ctx context.Context, w dispatch.Worker, call StartCall) (dispatch.StartOutcome, error)
	// Stop ends a run, or keeps it from ever starting. Errors: ErrSuperseded, ErrOtherLife, ErrNoAnswer.
	Stop(ctx context.Context, w dispatch.Worker, key dispatch.RunKey, epoch uint64) error
	// Hold returns the worker's report and its clock. Errors: ErrSuperseded, ErrOtherLife, ErrNoAnswer.
	Hold(ctx context.Context, w dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error)
}

// RegistryChange is a change of the register of workers.
type RegistryChange struct {
	// Full means that Put holds every worker. A worker in Put and Removed has been removed last.
	Full    bool
	Put     []dispatch.Worker
	Removed []dispatch.WorkerID
}

// WorkerRegistry is the platform's register of workers.
type WorkerRegistry interface {
	// Follow reports the register's content and then its changes until ctx ends.
	Follow(ctx context.Context, changed func(RegistryChange))
}

// PermitAnswer is what the policy service says of a step.
type PermitAnswer struct {
	// Tickets holds a ticket for each worker that may run the step.
	Tickets  map[dispatch.WorkerID]string
	ValidFor time.Duration
}

// PolicyService asks the policy service. It answers one call at a time of each daemon.
type PolicyService interface {
	RequestPermits(ctx context.Context, step dispatch.StepID, workers []dispatch.WorkerID) (PermitAnswer, error)
}
