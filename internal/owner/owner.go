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
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/wire"
)

// Bounds of ownership.
const (
	// renewInterval is how often an owner renews its ownership at least.
	renewInterval = 300 * time.Millisecond
	// validFor is how long an owner gives orders after it sent its last successful renewal. It is shorter than
	// takeoverAfter by more than clocks drift.
	validFor = 900 * time.Millisecond
	// takeoverAfter is how long an ownership row must have been unchanged before another daemon takes over.
	takeoverAfter = 1200 * time.Millisecond
	// takeoverSpread spreads the daemons' attempts, so that they don't all write at once.
	takeoverSpread = 300 * time.Millisecond
	// weakDelay is how much longer than others a VM without any processor time would wait before it takes over.
	weakDelay = 1 * time.Second
	// electionPoll is how often a daemon looks whether ownership is free.
	electionPoll = 40 * time.Millisecond
	// electionRetry is kept after an attempt that failed.
	electionRetry = 250 * time.Millisecond
	// blindAfter is the age of the ledger's copy from which a daemon doesn't try to take over: the store turns it away.
	blindAfter = 1500 * time.Millisecond
	// helloInterval is how often a daemon tells the owner that it can help.
	helloInterval = 400 * time.Millisecond
	// catchUpTimeout bounds how long a new owner waits for its ledger to catch up.
	catchUpTimeout = 3 * time.Second
)

// RecommendedOwnerCores is the processor time of a VM that can own a cell of today's size; an owner there uses a quarter of it.
const RecommendedOwnerCores = 0.4

// Options are what an owner needs. All fields are required.
type Options struct {
	Node string
	// Incarnation tells this process from earlier ones of the node.
	Incarnation string
	// PeerAddr is where this daemon answers others.
	PeerAddr      string
	Zone          string
	Replica       *ledger.Replica
	Workers       WorkerClient
	Registry      WorkerRegistry
	PolicyService PolicyService
	Peers         peer.Caller
	Clock         monotime.Clock
	Log           *log.Logger
	Metrics       *metrics.Set
	// MaxLease bounds the lease that a worker grants.
	MaxLease time.Duration
	// Retention is how long a job that has ended is told of.
	Retention time.Duration
	// Queue returns the policy in force of a queue, if there is one.
	Queue func(name string) (graph.Queue, bool)
	// StoreUp reports whether the store answers this daemon.
	StoreUp func() bool
	// StoreAge returns how long ago the store last answered this daemon.
	StoreAge func() time.Duration
	// Cores is the processor time that this daemon's VM has, in cores.
	Cores float64
}

// Daemon takes part in ownership: it owns the cell, or helps the daemon that does.
type Daemon struct {
	Options
	startedAt monotime.Instant
	control   atomic.Pointer[control]
	counts    counts
	asking    chan struct{}
	// invited is the epoch of an owner that has resigned in this daemon's favour.
	invited atomic.Uint64
	// peers are the addresses of other daemons, as the owner told them.
	peers atomic.Pointer[[]string]
}

// New returns a daemon that does nothing before Run.
func New(o Options) *Daemon {
	d := &Daemon{Options: o, startedAt: o.Clock.Now(), asking: make(chan struct{}, 1)}
	d.counts = newCounts(o.Metrics, d)
	return d
}

// Run takes part until ctx ends, and then gives up ownership.
func (d *Daemon) Run(ctx context.Context) {
	go d.sayHello(ctx)
	for ctx.Err() == nil {
		if !d.mayTake() {
			monotime.Sleep(ctx, electionPoll)
			continue
		}
		// From before the attempt on the copy of the ledger is kept: what is taken over is read from it.
		d.Replica.SetOwning(true)
		if !d.Replica.HasFullCopy() {
			d.Replica.SetOwning(false) // it was dropped just before
			continue
		}
		tenure, err := d.take(ctx)
		if err != nil {
			d.Replica.SetOwning(false)
			d.Log.Info().Err(err).Msg("ownership not taken")
			monotime.Sleep(ctx, electionRetry)
			continue
		}
		d.rule(ctx, tenure)
		d.Replica.SetOwning(false)
	}
}

// mayTake reports whether ownership is free as far as this daemon knows.
func (d *Daemon) mayTake() bool {
	if !d.Replica.HasFullCopy() || d.Replica.Age() > blindAfter {
		return false
	}
	view := d.Replica.Owner()
	spread := d.spread()
	switch {
	case view.Epoch > 0 && view.Epoch == d.invited.Load():
		return true
	case view.Version == 0 || view.Released:
		return view.UnchangedFor > spread
	case view.Node == d.Node && view.Incarnation != d.Incarnation:
		return true // a node runs one process: the owner was an earlier one of ours, and has ended
	default:
		return view.UnchangedFor > takeoverAfter+spread
	}
}

// spread is how much later than others this daemon tries to take over: its share of takeoverSpread, and more on a weak VM.
func (d *Daemon) spread() time.Duration {
	h := fnv.New32a()
	h.Write([]byte(d.Node))
	spread := time.Duration(h.Sum32()%64) * takeoverSpread / 64
	if weakness := 1 - d.Cores/RecommendedOwnerCores; weakness > 0 {
		spread += time.Duration(weakness * float64(weakDelay))
	}
	return spread
}

// errOwned means that the owner has renewed its ownership.
var errOwned = errors.New("owner: the owner lives")

// take makes this daemon the owner. The copy of the ownership row may be behind while the store is slow, and attempts of
// many daemons would hold up the owner's own writes: unless ownership was given up, the row is read first.
func (d *Daemon) take(ctx context.Context) (*ledger.Ownership, error) {
	view := d.Replica.Owner()
	if view.Version > 0 && !view.Released && view.Node != d.Node && view.Epoch != d.invited.Load() {
		readCtx, cancel := context.WithTimeout(ctx, takeoverAfter)
		defer cancel()
		if err := d.Replica.ReadOwner(readCtx); err != nil {
			return nil, err
		}
		if !d.mayTake() {
			return nil, errOwned
		}
		view = d.Replica.Owner()
	}
	self := ledger.OwnerRecord{Node: d.Node, Incarnation: d.Incarnation, Address: d.PeerAddr, Cores: d.Cores, Standbys: view.Standbys}
	return d.Replica.Acquire(ctx, view, self)
}

// rule owns the cell until ownership is lost or ctx ends.
func (d *Daemon) rule(ctx context.Context, tenure *ledger.Ownership) {
	started := d.Clock.Now()
	view := d.Replica.Owner()
	d.Log.Info().Uint64("epoch", tenure.Epoch()).Str("node", d.Node).Msg("ownership taken")
	c := newControl(ctx, d, tenure, started)
	d.counts.takeovers.Inc()
	if err := c.load(); err != nil {
		c.end()
		d.Log.Warn().Uint64("epoch", tenure.Epoch()).Err(err).Msg("ledger could not be read, giving up ownership")
		release(d, tenure)
		return
	}
	d.control.Store(c)
	c.run()
	d.control.Store(nil)
	d.Log.Info().Uint64("epoch", tenure.Epoch()).Str("owner", view.Node).Bool("planned", ctx.Err() != nil).Msg("ownership ended")
	if ctx.Err() != nil && !c.lost {
		c.leave()
	}
}

// releaseTimeout bounds the giving up of ownership at a planned stop.
const releaseTimeout = 1 * time.Second

func release(d *Daemon, tenure *ledger.Ownership) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := tenure.Release(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("ownership not released, others wait until it lapses")
	}
}

// IsOwner reports whether this daemon owns the cell.
func (d *Daemon) IsOwner() bool { return d.control.Load() != nil }

// HandleResign takes note that an owner gives no orders any more.
func (d *Daemon) HandleResign(ctx context.Context, resign *wire.Resign) *wire.Reply {
	d.Log.Info().Uint64("epoch", resign.Epoch).Msg("asked to take over from an owner that has resigned")
	d.Replica.RequestCopy()
	// The owner's last renewal may not have been heard of yet.
	if err := d.Replica.ReadOwner(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("ownership row not read before taking over")
	}
	d.invited.Store(resign.Epoch)
	return &wire.Reply{Body: &wire.Reply_Done{Done: &wire.Empty{}}}
}

// HandlePermit asks the policy service for the owner.
func (d *Daemon) HandlePermit(ctx context.Context, req *wire.PermitRequest) *wire.Reply {
	step := dispatch.StepID{Job: graph.JobID(req.Job), Occurrence: int(req.Occurrence), Step: int(req.Step)}
	workers := make([]dispatch.WorkerID, len(req.Workers))
	for i, w := range req.Workers {
		workers[i] = dispatch.WorkerID(w)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
	defer cancel()
	answer, err := d.askPolicy(ctx, step, workers)
	reply := &wire.PermitReply{Answered: err == nil, ValidMs: answer.ValidFor.Milliseconds()}
	for w, ticket := range answer.Tickets {
		reply.Permits = append(reply.Permits, &wire.Permit{Worker: string(w), Ticket: ticket})
	}
	return &wire.Reply{Body: &wire.Reply_Permit{Permit: reply}}
}

// askPolicy asks the policy service, one call at a time, as it serves them.
func (d *Daemon) askPolicy(ctx context.Context, step dispatch.StepID, workers []dispatch.WorkerID) (PermitAnswer, error) {
	select {
	case d.asking <- struct{}{}:
		defer func() { <-d.asking }()
	case <-ctx.Done():
		return PermitAnswer{}, ctx.Err()
	}
	return d.PolicyService.RequestPermits(ctx, step, workers)
}

// Explain tells why a job is where it is, a line for each reason; ok is false if this daemon does not own the cell or gives
// no answer before ctx ends.
func (d *Daemon) Explain(ctx context.Context, id graph.JobID) (lines []string, ok bool) {
	if c := d.control.Load(); c != nil {
		return c.explain(ctx, id)
	}
	return nil, false
}

// JobChanged tells the owner, if this daemon is it, that a job is new or was cancelled.
func (d *Daemon) JobChanged(id graph.JobID) {
	if c := d.control.Load(); c != nil {
		c.post(func() { c.takeJob(id) })
	}
}
