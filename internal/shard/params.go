package shard

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/intent"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
)

// ErrNotOwner is what Params.ConfirmOwnership returns if the table names another owner or a higher epoch.
// Any other error means that the ownership can't be confirmed now.
var ErrNotOwner = errors.New("shard: ownership superseded")

// Defaults of the timing fields of Params.
const (
	defaultLeaseTTL            = 30 * time.Second
	defaultClaimInterval       = 5 * time.Second
	defaultCallTimeout         = time.Second
	defaultRetryInterval       = time.Second
	defaultReportGrace         = 2 * time.Second
	defaultStopGrace           = time.Second
	defaultStaleConfigTimeout  = 5 * time.Second
	defaultAttemptRetention    = 55 * time.Second
	defaultIntentReturnTimeout = 300 * time.Millisecond
)

// Params configures an Owner. Fields without a default must be set.
type Params struct {
	Shard  cell.ShardID
	Epoch  cell.Epoch
	Member cell.MemberID
	Runner platformapi.RunnerClient
	// Intents makes non-idempotent requests run at most once.
	Intents *intent.Log
	// ConfirmOwnership reads the table, linearizably, and returns nil if the table still names this owner and epoch.
	// Errors: ErrNotOwner; any other if the table does not answer.
	ConfirmOwnership func(ctx context.Context) error
	// Config returns the configuration in force and whether it was confirmed within its bound.
	Config func() (config.Versioned, bool)
	// QuotaShare returns the part of a team's quota that this shard may place; nil gives every shard the whole quota.
	QuotaShare func(team string, d config.Document) cell.Resources
	// OnSuperseded is called once when a worker or the table shows a higher epoch. May be nil.
	OnSuperseded func()
	// Logger receives the owner's log lines, among them one for each decision and outcome. Nil drops them.
	Logger *log.Logger

	// LeaseTTL is how long a worker keeps its leases without a further claim. Zero means 30 s.
	LeaseTTL time.Duration
	// ClaimInterval is the time between two claims of a worker. Zero means 5 s.
	ClaimInterval time.Duration
	// CallTimeout bounds a call to a worker or to ConfirmOwnership that does not wait for a task. Zero means 1 s.
	CallTimeout time.Duration
	// RetryInterval is the pause before a call to an unreachable worker is repeated. Zero means 1 s.
	RetryInterval time.Duration
	// ReportGrace is the time after its start in which an attempt may be missing from its worker's reports. Zero means 2 s.
	ReportGrace time.Duration
	// StopGrace is how long the answer of a stopped attempt is waited for after the stop. Zero means 1 s.
	StopGrace time.Duration
	// StaleConfigTimeout is how long a request waits while the configuration can't be confirmed. Zero means 5 s.
	StaleConfigTimeout time.Duration
	// AttemptRetention is how long after a start was sent the attempt's absence from its worker proves that it never started.
	// It must be shorter than the time for which workers remember attempts. Zero means 55 s.
	AttemptRetention time.Duration
	// Clock measures AttemptRetention. It must also advance while the process or VM is paused. Nil means the machine's boot
	// clock.
	Clock monotime.Clock
	// IntentReturnTimeout bounds how long the answer "not run" to a non-idempotent request is held up by the return of its
	// intent. Zero means 300 ms.
	IntentReturnTimeout time.Duration
}

// Request asks for one task to be run.
type Request struct {
	Task cell.Task
	// MaybeResent means that a request with the same id may have been sent before, to this or another owner.
	MaybeResent bool
	Caller      string
	// Arrived is when the request reached its entry VM.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

func withDefaults(p Params) Params {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&p.LeaseTTL, defaultLeaseTTL)
	set(&p.ClaimInterval, defaultClaimInterval)
	set(&p.CallTimeout, defaultCallTimeout)
	set(&p.RetryInterval, defaultRetryInterval)
	set(&p.ReportGrace, defaultReportGrace)
	set(&p.StopGrace, defaultStopGrace)
	set(&p.StaleConfigTimeout, defaultStaleConfigTimeout)
	set(&p.AttemptRetention, defaultAttemptRetention)
	set(&p.IntentReturnTimeout, defaultIntentReturnTimeout)
	if p.Clock == nil {
		p.Clock = monotime.BootClock{}
	}
	if p.Logger == nil {
		p.Logger = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	return p
}
