package owner

import (
	"context"
	"errors"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/wire"
)

// Timing of ownership and of the election of an owner.
const (
	// renewInterval is the longest time between two renewals of the ownership.
	renewInterval = 300 * time.Millisecond
	// ownershipValidity is how long an owner gives orders after it sent its last successful renewal. It is shorter than
	// takeoverAfter by more than the drift of clocks.
	ownershipValidity = 900 * time.Millisecond
	// takeoverAfter is how long the ownership row must have been unchanged before another daemon takes over.
	takeoverAfter = 1200 * time.Millisecond
	// maxTakeoverJitter spreads the daemons' attempts to take over, so that they don't all write at once.
	maxTakeoverJitter = 300 * time.Millisecond
	// maxWeakVMDelay is how much longer than others a daemon on a VM without any processor time would wait before it takes
	// over.
	maxWeakVMDelay = 1 * time.Second
	// electionPollInterval is how often a daemon checks whether ownership is free.
	electionPollInterval = 40 * time.Millisecond
	// electionRetryDelay is the delay after a failed attempt to take over.
	electionRetryDelay = 250 * time.Millisecond
	// maxTakeoverCopyAge is the greatest age of the ledger's copy at which a daemon tries to take over. An older copy means
	// that the store doesn't answer this daemon.
	maxTakeoverCopyAge = 1500 * time.Millisecond
	// helloInterval is how often a daemon sends a hello to the owner.
	helloInterval = 400 * time.Millisecond
	// catchUpTimeout bounds how long a new owner waits for its replica to catch up with the ledger.
	catchUpTimeout = 3 * time.Second
)

// RecommendedOwnerCores is the processor time, in cores, of a VM that can own a cell of the current size; an owner uses a
// quarter of it. A VM with less counts as weak.
const RecommendedOwnerCores = 0.4

// Options are the dependencies and settings of a Daemon. All fields are required.
type Options struct {
	Node string
	// Incarnation distinguishes this process from earlier ones of the node.
	Incarnation string
	// PeerAddr is where this daemon accepts calls of other daemons.
	PeerAddr      string
	Zone          string
	Replica       *ledger.Replica
	Workers       WorkerClient
	Registry      WorkerRegistry
	PolicyService PolicyService
	Peers         peer.Sender
	Clock         monotime.Clock
	Log           *log.Logger
	Metrics       *metrics.Set
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// RunEndTime is how long a worker may take to end a run that is stopped or whose lease has ended.
	RunEndTime time.Duration
	// Retention is how long callers can ask for a job that has ended.
	Retention time.Duration
	// Queue returns the current settings of a queue; the second result reports whether there are any.
	Queue func(name string) (graph.Queue, bool)
	// Organisations returns the version of the configuration in force and its organisations.
	Organisations func() (version uint64, organisations []graph.Organisation)
	// ConfigState and ObserveConfig exchange the configuration between daemons; nil if they don't. ConfigState returns the version
	// and the document of the one in force, and the time since it was known to be the newest. ObserveConfig takes in a version
	// that was the newest at the given time, and its document if it was asked for.
	ConfigState   func() (version uint64, document []byte, age time.Duration)
	ObserveConfig func(version uint64, document []byte, newestAt monotime.Instant)
	// StoreUp reports whether the store answers this daemon.
	StoreUp func() bool
	// StoreAge returns how long ago the store last answered this daemon.
	StoreAge func() time.Duration
	// Cores is the processor time of this daemon's VM, in cores.
	Cores float64
	// Orders bounds the starts and stops that are sent to workers.
	Orders flowcontrol.Options
	// Rates say how organisations' rates of jobs are measured.
	Rates dispatch.RateOptions
	// RefuseOverload means that the daemons refuse jobs that can't be completed in time.
	RefuseOverload bool
	// RemoteFactor is how many times as long a task takes away from its data or its group.
	RemoteFactor float64
	// MaxCrashes is after how many crashes of its workers a task is given up, whatever their likely cause; 0 for
	// dispatch.DefaultMaxCrashes.
	MaxCrashes int
}

// Daemon takes part in the election of the owner: it owns the cell, or helps the daemon that does.
type Daemon struct {
	Options
	startedAt monotime.Instant
	// controller is nil while this daemon does not own the cell.
	controller  atomic.Pointer[controller]
	instruments instruments
	// policyCallSlot is a semaphore for the calls to the policy service.
	policyCallSlot chan struct{}
	// invitedEpoch is the epoch of an owner that has asked this daemon to take over.
	invitedEpoch atomic.Uint64
	// handover is what that owner could not record; nil for nothing.
	handover atomic.Pointer[handover]
	// peerAddrs are the addresses of the daemons that the owner last listed.
	peerAddrs atomic.Pointer[[]string]
	// backlog is the latest summary of the owner's backlog, nil before the first.
	backlog atomic.Pointer[backlogView]
}

// New returns a daemon that does nothing until Run is called.
func New(o Options) *Daemon {
	d := &Daemon{Options: o, startedAt: o.Clock.Now(), policyCallSlot: make(chan struct{}, 1)}
	d.instruments = newInstruments(o.Metrics, d)
	return d
}

// Run takes part in the election until ctx ends, and then gives up ownership.
func (d *Daemon) Run(ctx context.Context) {
	go d.runHelloLoop(ctx)
	for ctx.Err() == nil {
		if !d.canTakeOver() {
			monotime.Sleep(ctx, electionPollInterval)
			continue
		}
		// The copy of the ledger must not be dropped from here on: the new owner loads the jobs from it.
		d.Replica.SetOwning(true)
		if !d.Replica.HasFullCopy() {
			d.Replica.SetOwning(false) // the copy was dropped just before
			continue
		}
		ownership, earlierOrdersUntil, err := d.takeOver(ctx)
		if err != nil {
			d.Replica.SetOwning(false)
			d.Log.Info().Err(err).Msg("ownership not taken")
			monotime.Sleep(ctx, electionRetryDelay)
			continue
		}
		d.runAsOwner(ctx, ownership, earlierOrdersUntil)
		d.Replica.SetOwning(false)
	}
}

// canTakeOver reports whether ownership is free by what this daemon knows, and its copy of the ledger current.
func (d *Daemon) canTakeOver() bool {
	if !d.Replica.HasFullCopy() || d.Replica.Age() > maxTakeoverCopyAge {
		return false
	}
	view := d.Replica.Owner()
	jitter := d.takeoverJitter()
	switch {
	case view.Epoch > 0 && view.Epoch == d.invitedEpoch.Load():
		return true
	case view.Version == 0 || view.Released:
		return view.UnchangedFor > jitter
	case view.Node == d.Node && view.Incarnation != d.Incarnation:
		return true // a node runs one process at a time: the owner was an earlier process of this node, and has ended
	default:
		return view.UnchangedFor > takeoverAfter+jitter
	}
}

// takeoverJitter returns how much later than takeoverAfter this daemon tries to take over: its share of maxTakeoverJitter, and
// more on a weak VM.
func (d *Daemon) takeoverJitter() time.Duration {
	h := fnv.New32a()
	h.Write([]byte(d.Node))
	jitter := time.Duration(h.Sum32()%64) * maxTakeoverJitter / 64
	if weakness := 1 - d.Cores/RecommendedOwnerCores; weakness > 0 {
		jitter += time.Duration(weakness * float64(maxWeakVMDelay))
	}
	return jitter
}

// errOwnerAlive means that the owner has renewed its ownership.
var errOwnerAlive = errors.New("owner: the current owner has renewed its ownership")

// takeOver makes this daemon the owner. Unless ownership was given up, it reads the ownership row first: the replica's copy may
// be behind while the store is slow, and attempts of many daemons would delay the owner's own commits. takeOver also returns the
// latest time at which an earlier owner may have given orders.
func (d *Daemon) takeOver(ctx context.Context) (*ledger.Ownership, monotime.Instant, error) {
	view := d.Replica.Owner()
	if view.Version > 0 && !view.Released && view.Node != d.Node && view.Epoch != d.invitedEpoch.Load() {
		readCtx, cancel := context.WithTimeout(ctx, takeoverAfter)
		defer cancel()
		if err := d.Replica.ReadOwner(readCtx); err != nil {
			return nil, 0, err
		}
		if !d.canTakeOver() {
			return nil, 0, errOwnerAlive
		}
		view = d.Replica.Owner()
	}
	self := ledger.OwnerRecord{Node: d.Node, Incarnation: d.Incarnation, Address: d.PeerAddr, Cores: d.Cores, Standbys: view.Standbys}
	until := earlierOrdersUntil(d.Clock.Now(), view.UnchangedFor)
	ownership, err := d.Replica.Acquire(ctx, view, self)
	return ownership, until, err
}

// earlierOrdersUntil returns the latest time at which an earlier owner may have given orders if the ownership row, which it renews, was
// last seen to change the given time ago: the row is acquired only if it has not changed since.
func earlierOrdersUntil(now monotime.Instant, unchangedFor time.Duration) monotime.Instant {
	return min(now, now.Add(ownershipValidity-unchangedFor))
}

// runAsOwner runs the control loop until ownership is lost or ctx ends.
func (d *Daemon) runAsOwner(ctx context.Context, ownership *ledger.Ownership, earlierOrdersUntil monotime.Instant) {
	started := d.Clock.Now()
	view := d.Replica.Owner()
	d.Log.Info().Uint64("epoch", ownership.Epoch()).Str("node", d.Node).Msg("ownership taken")
	c := newController(ctx, d, ownership, started, earlierOrdersUntil)
	d.instruments.takeovers.Inc()
	if err := c.loadLedger(); err != nil {
		c.cancel()
		d.Log.Warn().Uint64("epoch", ownership.Epoch()).Err(err).Msg("ledger could not be read, giving up ownership")
		releaseOwnership(d, ownership)
		return
	}
	d.controller.Store(c)
	c.run()
	d.controller.Store(nil)
	d.Log.Info().Uint64("epoch", ownership.Epoch()).Str("owner", view.Node).Bool("planned", ctx.Err() != nil).Msg("ownership ended")
	if ctx.Err() != nil && !c.ownershipLost {
		c.handOver()
	}
}

// releaseTimeout bounds the release of the ownership.
const releaseTimeout = 1 * time.Second

func releaseOwnership(d *Daemon, ownership *ledger.Ownership) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := ownership.Release(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("ownership could not be released, other daemons wait until it expires")
	}
}

// IsOwner reports whether this daemon owns the cell.
func (d *Daemon) IsOwner() bool { return d.controller.Load() != nil }

// HandleResign handles an owner's request to take over from it; that owner gives no more orders.
func (d *Daemon) HandleResign(ctx context.Context, resign *wire.Resign) *wire.Reply {
	d.Log.Info().Uint64("epoch", resign.Epoch).Msg("asked to take over from an owner that has resigned")
	d.keepHandover(resign)
	d.Replica.RequestCopy()
	// The replica may not have seen the owner's last renewal yet.
	if err := d.Replica.ReadOwner(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("ownership row could not be read before taking over")
	}
	d.invitedEpoch.Store(resign.Epoch)
	return &wire.Reply{Body: &wire.Reply_Done{Done: &wire.Empty{}}}
}

// HandlePermit sends a permit request to the policy service on behalf of the owner.
func (d *Daemon) HandlePermit(ctx context.Context, req *wire.PermitRequest) *wire.Reply {
	step := dispatch.StepID{Job: graph.JobID(req.Job), Occurrence: int(req.Occurrence), Step: int(req.Step)}
	workers := make([]dispatch.WorkerID, len(req.Workers))
	for i, w := range req.Workers {
		workers[i] = dispatch.WorkerID(w)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
	defer cancel()
	answer, err := d.callPolicyService(ctx, step, workers)
	reply := &wire.PermitReply{Answered: err == nil, ValidMs: answer.ValidFor.Milliseconds()}
	for w, ticket := range answer.Tickets {
		reply.Permits = append(reply.Permits, &wire.Permit{Worker: string(w), Ticket: ticket})
	}
	return &wire.Reply{Body: &wire.Reply_Permit{Permit: reply}}
}

// callPolicyService calls the policy service, one call at a time: it serves no more for each daemon.
func (d *Daemon) callPolicyService(ctx context.Context, step dispatch.StepID, workers []dispatch.WorkerID) (PermitAnswer, error) {
	select {
	case d.policyCallSlot <- struct{}{}:
		defer func() { <-d.policyCallSlot }()
	case <-ctx.Done():
		return PermitAnswer{}, ctx.Err()
	}
	return d.PolicyService.RequestPermits(ctx, step, workers)
}

// Explain returns the reasons for a job's current state, one a line; ok is false if this daemon does not own the cell or has
// no answer before ctx ends.
func (d *Daemon) Explain(ctx context.Context, id graph.JobID) (lines []string, ok bool) {
	if c := d.controller.Load(); c != nil {
		return c.explain(ctx, id)
	}
	return nil, false
}

// JobChanged notifies the control loop, if this daemon is the owner, that a job is new or was cancelled.
func (d *Daemon) JobChanged(id graph.JobID) {
	if c := d.controller.Load(); c != nil {
		c.post(func() { c.handleJobChange(id) })
	}
}
