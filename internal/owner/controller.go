package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
)

// Timing and limits of the control loop.
const (
	eventQueueSize = 4096
	// tickInterval is how often the loop handles what depends on time alone, such as expired leases.
	tickInterval = 100 * time.Millisecond
	// roundDelay is the least time between two rounds of decisions, so that under load a round follows several events.
	roundDelay = 2 * time.Millisecond
	// leaseDuration is the length of a worker's lease from each extension. It is longer than a takeover. It also bounds how
	// long the tasks of a worker that is cut off wait before they are started elsewhere.
	leaseDuration = 5 * time.Second
	// earlierOrderMargin covers the time that the last order of an earlier owner, or of an earlier connection, takes to reach a worker.
	earlierOrderMargin = 300 * time.Millisecond
)

// withdrawTimeout bounds the commit at the end of an ownership that takes starts out of the ledger that were not sent.
const withdrawTimeout = 300 * time.Millisecond

// controller runs the control loop of the owner for one epoch. Only the control loop's goroutine uses the fields below ctx.
type controller struct {
	*Daemon
	ownership *ledger.Ownership
	// validUntil is the time up to which orders may be given.
	validUntil atomic.Int64
	// tasksWaiting, startsUnrecorded and permitRequestsWaiting are for the metrics.
	tasksWaiting, startsUnrecorded, permitRequestsWaiting atomic.Int64
	workerHealth                                          workerHealth
	organisationUsages                                    atomic.Pointer[[]dispatch.OrganisationUsage]
	events                                                chan func()
	// gate admits the orders to workers.
	gate *flowcontrol.Gate
	// holdLosses follows how many hold calls get no answer; workersInUse is the number of workerConns.
	holdLosses   flowcontrol.Losses
	workersInUse atomic.Int64
	// lossesLogged means that the last log line about lost answers said that they are likely.
	lossesLogged bool
	ctx          context.Context

	engine *dispatch.Engine
	// organisationsVersion is the version of the configuration whose organisations the engine has; 0 for none yet.
	organisationsVersion uint64

	workerConns map[dispatch.WorkerID]*workerConn
	// tokensGiven counts the fencing tokens of each worker: one for each connection, and those that starts needed.
	tokensGiven map[dispatch.WorkerID]uint64
	// callsNameProcess means that a worker refuses a call for another process than its present one.
	callsNameProcess bool
	// unsettled holds, by worker, the starts that another process than the one which reports may have carried out.
	unsettled map[dispatch.WorkerID]*unsettledStarts
	permits   *permitQueue
	// registered holds the workers that the registry lists. registryRead means that it holds all.
	registered   map[dispatch.WorkerID]dispatch.Worker
	registryRead bool
	// pendingWorkerRows are the changes of workers' rows that wait for a commit: the worker to put, or nil to remove its row.
	pendingWorkerRows map[dispatch.WorkerID]*dispatch.Worker
	// endsBarrier is set while progress is left after each commit.
	endsBarrier *endsBarrier
	// maxBatchRows bounds the rows of jobs in the next commit. It is below maxCommitRows after the store has rejected one.
	maxBatchRows int
	// suspects are the jobs of the last rejected batch whose progress has not been recorded since, suspectWorkers the workers whose rows have
	// not. They are recorded apart from other changes and in halves, so that a rejected row is told from the rest however many changes wait.
	suspects       map[graph.JobID]struct{}
	suspectWorkers map[dispatch.WorkerID]struct{}
	// searching means that the last batch was one of suspects.
	searching bool
	// restartedDuringCommit holds the workers whose process ended while the current commit was under way. The sequences that the
	// commit records are those of the ended process.
	restartedDuringCommit map[dispatch.WorkerID]struct{}
	// endedJobs are jobs whose rows are to be removed, those due first at the front. removalScheduled holds the same jobs;
	// removableProgress holds those whose progress is to be removed with the next commits.
	endedJobs         []endedJob
	removalScheduled  map[graph.JobID]bool
	removableProgress map[graph.JobID]struct{}
	// deletingRecords, removingMarks and committing mean that a call of that kind to the store is under way.
	deletingRecords bool
	removingMarks   bool
	committing      bool
	nextCommitAt    monotime.Instant
	// nextRoundAt is when the next round may begin.
	nextRoundAt  monotime.Instant
	renewalDueAt monotime.Instant
	// lastRenewalAt is when the last successful commit was sent.
	lastRenewalAt monotime.Instant
	// commitTime is how long the last successful commit took.
	commitTime        time.Duration
	takeoverStartedAt monotime.Instant
	// hadEarlierOwner means that there were owners before, earlierOrdersUntil is the latest time at which one may have given orders.
	hadEarlierOwner    bool
	earlierOrdersUntil monotime.Instant
	// reportsComplete means that all workers of earlier owners have reported their runs or have ended.
	reportsComplete bool
	// localityRecorded are the counts of waits for racks that are in the metrics.
	localityRecorded dispatch.LocalityStats
	previews         previewLimiter
	ownershipLost    bool
	// backlogAt is when the backlog was last summarised; storeTroubleUntil is described at overload.Summary.
	backlogAt, storeTroubleUntil monotime.Instant
	cancel                       context.CancelFunc
}

func newController(parent context.Context, d *Daemon, ownership *ledger.Ownership, takeoverStartedAt, earlierOrdersUntil monotime.Instant) *controller {
	ctx, cancel := context.WithCancel(parent)
	c := &controller{
		ctx:                   ctx,
		cancel:                cancel,
		Daemon:                d,
		ownership:             ownership,
		events:                make(chan func(), eventQueueSize),
		gate:                  d.newGate(),
		engine:                dispatch.New(ownership.Epoch()),
		workerConns:           make(map[dispatch.WorkerID]*workerConn),
		tokensGiven:           make(map[dispatch.WorkerID]uint64),
		unsettled:             make(map[dispatch.WorkerID]*unsettledStarts),
		permits:               newPermitQueue(),
		registered:            make(map[dispatch.WorkerID]dispatch.Worker),
		pendingWorkerRows:     make(map[dispatch.WorkerID]*dispatch.Worker),
		removalScheduled:      make(map[graph.JobID]bool),
		removableProgress:     make(map[graph.JobID]struct{}),
		takeoverStartedAt:     takeoverStartedAt,
		hadEarlierOwner:       ownership.Epoch() > 1,
		earlierOrdersUntil:    earlierOrdersUntil,
		lastRenewalAt:         ownership.CommitSentAt(),
		restartedDuringCommit: make(map[dispatch.WorkerID]struct{}),
		maxBatchRows:          maxCommitRows,
		suspects:              make(map[graph.JobID]struct{}),
		suspectWorkers:        make(map[dispatch.WorkerID]struct{}),
	}
	if c.Organisations != nil {
		c.engine.AwaitOrganisations()
	}
	c.validUntil.Store(int64(ownership.CommitSentAt().Add(ownershipValidity)))
	ownership.OnRenewal(c.extendValidity)
	c.engine.SetRemoteFactor(d.RemoteFactor)
	if _, c.callsNameProcess = d.Workers.(ProcessNamer); c.callsNameProcess {
		c.engine.SetStartsNameProcess()
	}
	c.engine.SetLongestLease(c.longestLease())
	c.engine.SetRunEndTime(c.RunEndTime)
	if d.MaxCrashes > 0 {
		c.engine.SetMaxCrashes(d.MaxCrashes)
	}
	return c
}

// longestLease is how long a run may go on on a worker that doesn't answer.
func (c *controller) longestLease() time.Duration {
	return monotime.OnSlowestClock(c.MaxLease) + earlierOrderMargin + c.runEndMargin()
}

// runEndMargin is how long after the end of a worker's lease its runs may go on.
func (c *controller) runEndMargin() time.Duration { return c.RunEndTime + leaseMargin }

func (c *controller) now() monotime.Instant { return c.Clock.Now() }

// ownershipValid reports whether this daemon may still give orders: no other daemon can own the cell yet.
func (c *controller) ownershipValid() bool { return int64(c.now()) < c.validUntil.Load() }

// extendValidity extends the time up to which orders may be given after a renewal that was sent at the given time, unless the ownership
// is lost. It is safe for concurrent use.
func (c *controller) extendValidity(sentAt monotime.Instant) {
	until := int64(sentAt.Add(ownershipValidity))
	for {
		current := c.validUntil.Load()
		if current == ownershipEnded || current >= until || c.validUntil.CompareAndSwap(current, until) {
			return
		}
	}
}

// ownershipEnded is the value of validUntil once the ownership is lost.
const ownershipEnded = 0

// post queues an event for the control loop. It blocks while the queue is full, unless the ownership has ended.
func (c *controller) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// errNoLedgerCopy means that the copy of the ledger was dropped just before this daemon took over.
var errNoLedgerCopy = errors.New("owner: the copy of the ledger was dropped before the takeover")

// loadLedger loads the ledger's jobs, and the workers that earlier owners used.
func (c *controller) loadLedger() error {
	ctx, cancel := context.WithTimeout(c.ctx, catchUpTimeout)
	defer cancel()
	versionBefore := c.Replica.Version()
	if err := c.ownership.CatchUp(ctx); err != nil {
		return err
	}
	c.Log.Info().Uint64("epoch", c.ownership.Epoch()).Uint64("version", c.ownership.Version()).Uint64("had", versionBefore).Dur("took", c.now().Sub(c.takeoverStartedAt)).Msg("ledger caught up")
	if !c.Replica.HasFullCopy() {
		return errNoLedgerCopy
	}
	c.engine.SetNow(c.now())
	c.engine.SetEarlierOrdersUntil(c.earlierOrdersUntil)
	c.updateOrganisations()
	jobs := c.Replica.Jobs()
	for _, id := range byArrival(jobs) {
		j := jobs[id]
		c.addJob(id, j, c.hadEarlierOwner)
		if j.State().Ended() {
			c.scheduleRemoval(id, true)
		}
	}
	c.adoptHandover()
	c.adoptLateStarts()
	for _, id := range c.Replica.OrphanedProgress() {
		c.scheduleRemoval(id, false)
	}
	for _, w := range c.Replica.Workers() {
		if w.Draining {
			c.engine.AwaitDrainingReport(w.ID, w.Pool, w.Version)
		} else {
			c.engine.AwaitReport(w.ID, w.Pool)
		}
		c.addWorkerConn(w.Worker, true)
	}
	if c.engine.ReportsComplete() {
		c.markReportsComplete()
	}
	return nil
}

// markReportsComplete notes that every run which earlier owners may have started is known.
func (c *controller) markReportsComplete() {
	c.reportsComplete = true
	c.instruments.takeoverTime.Update(c.now().Sub(c.takeoverStartedAt).Seconds())
}

// addJob adds a job to the engine. unconfirmed means that an earlier owner may have started tasks of the job that no worker has
// reported yet.
func (c *controller) addJob(id graph.JobID, j ledger.Job, unconfirmed bool) {
	queue := j.Queue
	if current, ok := c.Queue(queue.Name); ok {
		queue = current
		queue.Pool = j.Queue.Pool // earlier owners ran the job in this pool, and the reports of its workers are awaited
	}
	progress, err := j.FullProgress()
	if err != nil {
		c.Log.Error().Str("job", string(id)).Err(err).Msg("details of a job's progress could not be decoded, skipped")
	}
	c.engine.AddJob(dispatch.JobInput{ID: id, Queue: queue, Organisation: j.Organisation, Spec: j.Spec, ArrivedAt: c.now().Add(-j.Age()), Progress: progress, Unconfirmed: unconfirmed, RecordedAt: j.RecordedAt()})
	if j.Cancelled {
		c.engine.Cancel(id)
	}
}

// handleJobChange adds a new job to the engine, or cancels one there.
func (c *controller) handleJobChange(id graph.JobID) {
	j, ok := c.Replica.Job(id)
	if !ok {
		return
	}
	state, known := c.engine.JobState(id)
	if !known {
		c.addJob(id, j, false)
		entry := c.Log.Info().Str("job", string(id)).Str("queue", j.Queue.Name).Dur("since_accepted", j.Age())
		if j.Organisation != "" {
			entry.Str("organisation", j.Organisation).Bool("beyond_rate", c.engine.BeyondRate(id))
		}
		entry.Msg("job queued")
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
	// Changes of jobs since the load were not posted to this control loop: handle them now.
	jobs := c.Replica.Jobs()
	for _, id := range byArrival(jobs) {
		j := jobs[id]
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
			c.logStartsInDoubt()
			c.withdrawStarts()
			return
		case f := <-c.events:
			c.handleEvent(f)
			c.handleQueuedEvents()
		case <-ticker.C:
			c.engine.SetNow(c.now())
			c.workersInUse.Store(int64(len(c.workerConns)))
			c.logLosses()
			c.expireLeases()
			c.holdBackLeases()
			c.recordStarts()
			c.resignIfNeeded()
			c.ownership.SetStandbys(c.permits.countStandbys(c.now(), c.Cores))
			c.removeEndedJobs()
			c.removeCancelMarks()
			c.publishOrganisationUsages()
			c.publishBacklog()
		}
		c.handleEventsUntilRound()
		roundStartedAt := c.now()
		c.runRound()
		c.instruments.roundTime.Update(c.now().Sub(roundStartedAt).Seconds())
		c.nextRoundAt = c.now().Add(roundDelay)
	}
}

// handleEvent handles one event, with the engine's clock set to the current time. If a confirmed start got an earlier time, a
// report that was requested before the confirmation would count as later and the run as lost.
func (c *controller) handleEvent(f func()) {
	c.engine.SetNow(c.now())
	f()
}

// handleEventsUntilRound handles events until the next round may begin.
func (c *controller) handleEventsUntilRound() {
	wait := c.nextRoundAt.Sub(c.now())
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for waiting := true; waiting; {
			select {
			case f := <-c.events:
				c.handleEvent(f)
			case <-timer.C:
				waiting = false
			case <-c.ctx.Done():
				waiting = false
			}
		}
	}
	c.engine.SetNow(c.now())
}

// explain gets the reasons for a job's current state from the control loop.
func (c *controller) explain(ctx context.Context, id graph.JobID) ([]string, bool) {
	lines := make(chan []string, 1)
	c.post(func() { lines <- c.engine.Explain(id, time.Duration(time.Now().UnixNano())) })
	select {
	case reasons := <-lines:
		return reasons, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return nil, false
}

// maxQueuedEventsPerRound bounds the queued events that are handled at once before a round.
const maxQueuedEventsPerRound = 256

// handleQueuedEvents handles the events that are queued already.
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

// awaitCommit waits until no commit is under way, so that the ownership can be released.
func (c *controller) awaitCommit() {
	for c.committing {
		f := <-c.events
		f()
	}
}

// adoptLateStarts takes over the starts that earlier owners have recorded and that may be carried out late: their workers' next processes must
// not be made to forget the ends of the runs that these begin.
func (c *controller) adoptLateStarts() {
	for _, late := range c.engine.LateStarts() {
		c.unsettledStarts(late.Worker).set(late.RunKey, c.now().Add(late.Wait))
		c.logHeldTask(late, "start of an earlier owner may be carried out late")
	}
}

// withdrawStarts withdraws the starts that have not been sent as the ownership ends, and records that. The tasks of those that stay recorded wait
// under the next owner.
func (c *controller) withdrawStarts() {
	if c.ownershipLost {
		return
	}
	for id, wc := range c.workerConns {
		for key, order := range wc.queuedStarts {
			if order.drop() {
				c.engine.HandleStartOutcome(id, key, dispatch.StartNotSent)
			}
		}
	}
	c.engine.WithdrawUnsentStarts()
	progress := c.engine.TakeOutdated(maxCommitRows)
	if len(progress) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), withdrawTimeout)
	defer cancel()
	if err := c.ownership.Commit(ctx, ledger.Batch{Progress: progress}); err != nil {
		c.Log.Warn().Uint64("epoch", c.ownership.Epoch()).Int("jobs", len(progress)).Err(err).Msg("starts that were not sent stay recorded, their tasks wait under the next owner")
	}
}

// logStartsInDoubt logs the starts that have no answer as the ownership ends: they may be carried out while the next owner decides.
func (c *controller) logStartsInDoubt() {
	for id, wc := range c.workerConns {
		for key, order := range wc.queuedStarts {
			c.Log.Warn().Str("job", string(key.Task.Job)).Str("task", key.Task.String()).Uint64("run", key.Number).Str("worker", string(id)).Bool("sent", order.sent()).Uint64("epoch", c.ownership.Epoch()).Msg("start without an answer as the ownership ends")
		}
	}
}

// runRound lets the engine decide, carries out its orders and commits changes.
func (c *controller) runRound() {
	c.updateOrganisations()
	if c.ownershipValid() {
		for _, order := range c.engine.Plan(time.Duration(time.Now().UnixNano())) {
			c.execute(order)
		}
		c.sendPermitRequests()
		c.recordLocality()
		c.tasksWaiting.Store(int64(c.engine.WaitingTasks()))
		c.startsUnrecorded.Store(int64(c.engine.UnsentStarts()))
		c.permitRequestsWaiting.Store(int64(len(c.permits.waiting)))
	}
	c.recordWorkerHealth()
	if !c.reportsComplete && c.engine.ReportsComplete() {
		c.markReportsComplete()
		c.Log.Info().Uint64("epoch", c.ownership.Epoch()).Dur("after", c.now().Sub(c.takeoverStartedAt)).Msg("workers settled after takeover")
	}
	c.commitChanges()
	c.acknowledgeEnds()
}

// execute sends an order to its worker, or queues a permit request. An order to a worker that has been removed is dropped.
func (c *controller) execute(order dispatch.Order) {
	switch o := order.(type) {
	case dispatch.Start:
		if wc := c.workerConns[o.Worker]; wc != nil {
			wc.executeStart(o)
		}
	case dispatch.Stop:
		if wc := c.workerConns[o.Worker]; wc != nil {
			wc.executeStop(o)
		}
	case dispatch.PermitRequest:
		c.permits.add(o)
	}
}

// loseOwnership ends the control loop because another daemon owns the cell or is to take over.
func (c *controller) loseOwnership(why string) {
	if c.ownershipLost {
		return
	}
	c.ownershipLost = true
	c.validUntil.Store(ownershipEnded)
	c.Log.Warn().Uint64("epoch", c.ownership.Epoch()).Str("why", why).Msg("ownership lost")
	c.cancel()
}
