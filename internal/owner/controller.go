package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
)

// Bounds of the control loop.
const (
	eventQueueSize = 4096
	// tickInterval is how often the loop looks at what only time brings about.
	tickInterval = 100 * time.Millisecond
	// roundDelay is kept between two rounds of decisions, so that under load they answer several events each.
	roundDelay = 2 * time.Millisecond
	// leaseDuration is for how long a worker's lease is extended. It outlasts a takeover, and bounds how long tasks of a
	// worker that is cut off wait.
	leaseDuration = 5 * time.Second
	// earlierOrderMargin covers the way of an earlier owner's last order to a worker.
	earlierOrderMargin = 300 * time.Millisecond
)

// controller is one tenure's controller loop. Only its goroutine touches the fields below events.
type controller struct {
	*Daemon
	ownership *ledger.Ownership
	// validUntil bounds the time in which orders may be given.
	validUntil atomic.Int64
	// tasksWaiting and permitRequestsWaiting are for the metrics.
	tasksWaiting, permitRequestsWaiting atomic.Int64
	events                              chan func()
	ctx                                 context.Context

	engine      *dispatch.Engine
	workerConns map[dispatch.WorkerID]*workerConn
	permits     *permitQueue
	// registered holds what the register lists.
	registered map[dispatch.WorkerID]dispatch.Worker
	// pendingWorkerRows wait to be recorded: a worker to put, or nil to remove its row. The last word on a worker replaces others.
	pendingWorkerRows map[dispatch.WorkerID]*dispatch.Worker
	// endedJobs are jobs whose rows are to be removed, the first due first; noted holds the same, oldJobs those whose progress is.
	endedJobs         []endedJob
	removalScheduled  map[graph.JobID]bool
	removableProgress map[graph.JobID]struct{}
	deletingRecords   bool
	committing        bool
	nextCommitAt      monotime.Instant
	// nextRoundAt is when the next round may begin.
	nextRoundAt       monotime.Instant
	renewalDueAt      monotime.Instant
	lastRenewalAt     monotime.Instant
	takeoverStartedAt monotime.Instant
	reportsComplete   bool
	ownershipLost     bool
	cancel            context.CancelFunc
}

func newController(parent context.Context, d *Daemon, tenure *ledger.Ownership, started monotime.Instant) *controller {
	ctx, cancel := context.WithCancel(parent)
	c := &controller{
		ctx:               ctx,
		cancel:            cancel,
		Daemon:            d,
		ownership:         tenure,
		events:            make(chan func(), eventQueueSize),
		engine:            dispatch.New(tenure.Epoch()),
		workerConns:       make(map[dispatch.WorkerID]*workerConn),
		permits:           newPermitQueue(),
		registered:        make(map[dispatch.WorkerID]dispatch.Worker),
		pendingWorkerRows: make(map[dispatch.WorkerID]*dispatch.Worker),
		removalScheduled:  make(map[graph.JobID]bool),
		removableProgress: make(map[graph.JobID]struct{}),
		takeoverStartedAt: started,
		lastRenewalAt:     tenure.CommitSentAt(),
	}
	c.validUntil.Store(int64(tenure.CommitSentAt().Add(ownershipValidity)))
	return c
}

func (c *controller) now() monotime.Instant { return c.Clock.Now() }

// valid reports whether no other daemon can own the cell yet.
func (c *controller) valid() bool { return int64(c.now()) < c.validUntil.Load() }

// post hands an event to the control loop. It waits while the queue is full, unless the tenure has ended.
func (c *controller) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// errNoLedgerCopy means that the copy of the ledger was given up just before this daemon took over.
var errNoLedgerCopy = errors.New("owner: no copy of the ledger")

// loadLedger takes over what the ledger holds: its jobs, and the workers that earlier owners used.
func (c *controller) loadLedger() error {
	ctx, cancel := context.WithTimeout(c.ctx, catchUpTimeout)
	defer cancel()
	had := c.Replica.Version()
	if err := c.ownership.CatchUp(ctx); err != nil {
		return err
	}
	c.Log.Info().Uint64("epoch", c.ownership.Epoch()).Uint64("version", c.ownership.Version()).Uint64("had", had).Dur("took", c.now().Sub(c.takeoverStartedAt)).Msg("ledger caught up")
	if !c.Replica.HasFullCopy() {
		return errNoLedgerCopy
	}
	c.engine.SetNow(c.now())
	uncertain := c.ownership.Epoch() > 1
	for id, j := range c.Replica.Jobs() {
		c.addJob(id, j, uncertain)
		if j.State().Ended() {
			c.scheduleRemoval(id, true)
		}
	}
	for _, id := range c.Replica.OrphanedProgress() {
		c.scheduleRemoval(id, false)
	}
	for _, w := range c.Replica.Workers() {
		c.engine.AwaitReport(w.ID, w.Pool)
		c.addWorkerConn(w, true)
	}
	if c.engine.ReportsComplete() {
		c.markReportsComplete()
	}
	return nil
}

// markReportsComplete notes that all that earlier owners may have started is known.
func (c *controller) markReportsComplete() {
	c.reportsComplete = true
	c.instruments.takeoverTime.Update(c.now().Sub(c.takeoverStartedAt).Seconds())
}

// addJob hands a job to the engine.
func (c *controller) addJob(id graph.JobID, j ledger.Job, uncertain bool) {
	queue := j.Queue
	if current, ok := c.Queue(queue.Name); ok {
		queue = current
		queue.Pool = j.Queue.Pool // earlier owners ran the job there, and those workers are awaited
	}
	age := max(0, time.Duration(time.Now().UnixMilli()-j.AcceptedMS)*time.Millisecond)
	c.engine.AddJob(id, queue, j.Spec, c.now().Add(-age), j.Progress, uncertain)
	if j.Cancelled {
		c.engine.Cancel(id)
	}
}

func (c *controller) handleJobChange(id graph.JobID) {
	j, ok := c.Replica.Job(id)
	if !ok {
		return
	}
	state, known := c.engine.JobState(id)
	if !known {
		c.addJob(id, j, false)
		c.Log.Info().Str("job", string(id)).Str("queue", j.Queue.Name).Msg("job queued")
		return
	}
	if j.Cancelled && !state.Ended() {
		c.Log.Info().Str("job", string(id)).Msg("job cancelled")
		c.engine.Cancel(id)
	}
}

// run is the control loop. It returns when ownership is lost or its context ends.
func (c *controller) run() {
	ctx := c.ctx
	defer c.cancel()
	go c.Registry.Follow(ctx, func(change RegistryChange) {
		c.post(func() { c.handleRegistryChange(change) })
	})
	// Jobs that arrived between the load and now are told again; the engine ignores those that it has.
	for id, j := range c.Replica.Jobs() {
		if state, known := c.engine.JobState(id); !known || (j.Cancelled && !state.Ended()) {
			c.handleJobChange(id)
		}
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.awaitCommit()
			return
		case f := <-c.events:
			c.handleEvent(f)
			c.handleQueuedEvents()
		case <-ticker.C:
			c.engine.SetNow(c.now())
			c.expireLeases()
			c.resignIfNeeded()
			c.ownership.SetStandbys(c.permits.countStandbys(c.now(), c.Cores))
			c.removeEndedJobs()
		}
		c.handleEventsUntilRound()
		began := c.now()
		c.runRound()
		c.instruments.roundTime.Update(c.now().Sub(began).Seconds())
		c.nextRoundAt = c.now().Add(roundDelay)
	}
}

// handleEvent takes in one event at its own time. A start that counted as confirmed before it was would be given up as lost when
// a report comes that was asked for in between.
func (c *controller) handleEvent(f func()) {
	c.engine.SetNow(c.now())
	f()
}

// handleEventsUntilRound takes in events until the next round may begin.
func (c *controller) handleEventsUntilRound() {
	wait := c.nextRoundAt.Sub(c.now())
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for gathering := true; gathering; {
			select {
			case f := <-c.events:
				c.handleEvent(f)
			case <-timer.C:
				gathering = false
			case <-c.ctx.Done():
				gathering = false
			}
		}
	}
	c.engine.SetNow(c.now())
}

// explain asks the control loop why a job is where it is, and waits for its answer.
func (c *controller) explain(ctx context.Context, id graph.JobID) ([]string, bool) {
	lines := make(chan []string, 1)
	c.post(func() { lines <- c.engine.Explain(id, time.Duration(time.Now().UnixNano())) })
	select {
	case told := <-lines:
		return told, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return nil, false
}

// maxQueuedEventsPerRound bounds the events that are taken in before decisions follow from them.
const maxQueuedEventsPerRound = 256

func (c *controller) handleQueuedEvents() {
	for range maxQueuedEventsPerRound {
		select {
		case f := <-c.events:
			c.handleEvent(f)
		default:
			return
		}
	}
}

// awaitCommit waits until no record is under way, so that the tenure can be released.
func (c *controller) awaitCommit() {
	for c.committing {
		f := <-c.events
		f()
	}
}

// runRound lets the engine decide and carries out what follows.
func (c *controller) runRound() {
	if c.valid() {
		for _, order := range c.engine.Plan(time.Duration(time.Now().UnixNano())) {
			c.execute(order)
		}
		c.sendPermitRequests()
		c.tasksWaiting.Store(int64(c.engine.WaitingTasks()))
		c.permitRequestsWaiting.Store(int64(len(c.permits.waiting)))
	}
	if !c.reportsComplete && c.engine.ReportsComplete() {
		c.markReportsComplete()
		c.Log.Info().Uint64("epoch", c.ownership.Epoch()).Dur("after", c.now().Sub(c.takeoverStartedAt)).Msg("workers settled after takeover")
	}
	c.commitChanges()
	c.acknowledgeEnds()
}

func (c *controller) execute(order dispatch.Order) {
	switch o := order.(type) {
	case dispatch.Start:
		if l := c.workerConns[o.Worker]; l != nil {
			go l.start(l.newStartCall(o))
		}
	case dispatch.Stop:
		if l := c.workerConns[o.Worker]; l != nil {
			go l.stop(o)
		}
	case dispatch.PermitRequest:
		c.permits.add(o)
	}
}

// loseOwnership ends the tenure because another daemon owns the cell.
func (c *controller) loseOwnership(why string) {
	if c.ownershipLost {
		return
	}
	c.ownershipLost = true
	c.validUntil.Store(0)
	c.Log.Warn().Uint64("epoch", c.ownership.Epoch()).Str("why", why).Msg("ownership lost")
	c.cancel()
}
