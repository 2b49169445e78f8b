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
	eventQueue = 4096
	// tick is how often the loop looks at what only time brings about.
	tick = 100 * time.Millisecond
	// roundGap is kept between two rounds of decisions, so that under load they answer several events each.
	roundGap = 2 * time.Millisecond
	// leaseLength is for how long a worker's lease is extended. It outlasts a takeover, and bounds how long tasks of a
	// worker that is cut off wait.
	leaseLength = 5 * time.Second
	// unknownLeaseMargin covers the way of an earlier owner's last order to a worker.
	unknownLeaseMargin = 300 * time.Millisecond
)

// control is one tenure's control loop. Only its goroutine touches the fields below events.
type control struct {
	*Daemon
	tenure *ledger.Ownership
	// validUntil bounds the time in which orders may be given.
	validUntil atomic.Int64
	// tasksWaiting and questionsWaiting are for the metrics.
	tasksWaiting, questionsWaiting atomic.Int64
	events                         chan func()
	ctx                            context.Context

	engine  *dispatch.Engine
	links   map[dispatch.WorkerID]*link
	permits *permitQueue
	// registered holds what the register lists.
	registered map[dispatch.WorkerID]dispatch.Worker
	// workerRows wait to be recorded: a worker to put, or nil to remove its row. The last word on a worker replaces others.
	workerRows map[dispatch.WorkerID]*dispatch.Worker
	// endings are jobs whose rows are to be removed, the first due first; noted holds the same, oldJobs those whose progress is.
	endings    []ending
	noted      map[graph.JobID]bool
	oldJobs    map[graph.JobID]struct{}
	forgetting bool
	recording  bool
	recordAt   monotime.Instant
	// roundAt is when the next round may begin.
	roundAt   monotime.Instant
	renewAt   monotime.Instant
	renewedAt monotime.Instant
	startedAt monotime.Instant
	settled   bool
	lost      bool
	end       context.CancelFunc
}

func newControl(parent context.Context, d *Daemon, tenure *ledger.Ownership, started monotime.Instant) *control {
	ctx, cancel := context.WithCancel(parent)
	c := &control{
		ctx:        ctx,
		end:        cancel,
		Daemon:     d,
		tenure:     tenure,
		events:     make(chan func(), eventQueue),
		engine:     dispatch.New(tenure.Epoch()),
		links:      make(map[dispatch.WorkerID]*link),
		permits:    newPermitQueue(),
		registered: make(map[dispatch.WorkerID]dispatch.Worker),
		workerRows: make(map[dispatch.WorkerID]*dispatch.Worker),
		noted:      make(map[graph.JobID]bool),
		oldJobs:    make(map[graph.JobID]struct{}),
		startedAt:  started,
		renewedAt:  tenure.CommitSentAt(),
	}
	c.validUntil.Store(int64(tenure.CommitSentAt().Add(validFor)))
	return c
}

func (c *control) now() monotime.Instant { return c.Clock.Now() }

// valid reports whether no other daemon can own the cell yet.
func (c *control) valid() bool { return int64(c.now()) < c.validUntil.Load() }

// post hands an event to the control loop. It waits while the queue is full, unless the tenure has ended.
func (c *control) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// errNoCopy means that the copy of the ledger was given up just before this daemon took over.
var errNoCopy = errors.New("owner: no copy of the ledger")

// load takes over what the ledger holds: its jobs, and the workers that earlier owners used.
func (c *control) load() error {
	ctx, cancel := context.WithTimeout(c.ctx, catchUpTimeout)
	defer cancel()
	had := c.Replica.Version()
	if err := c.tenure.CatchUp(ctx); err != nil {
		return err
	}
	c.Log.Info().Uint64("epoch", c.tenure.Epoch()).Uint64("version", c.tenure.Version()).Uint64("had", had).Dur("took", c.now().Sub(c.startedAt)).Msg("ledger caught up")
	if !c.Replica.HasFullCopy() {
		return errNoCopy
	}
	c.engine.SetNow(c.now())
	uncertain := c.tenure.Epoch() > 1
	for id, j := range c.Replica.Jobs() {
		c.addJob(id, j, uncertain)
		if j.State().Ended() {
			c.noteEnded(id, true)
		}
	}
	for _, id := range c.Replica.OrphanedProgress() {
		c.noteEnded(id, false)
	}
	for _, w := range c.Replica.Workers() {
		c.engine.AwaitReport(w.ID, w.Pool)
		c.addLink(w, true)
	}
	if c.engine.ReportsComplete() {
		c.settle()
	}
	return nil
}

// settle notes that all that earlier owners may have started is known.
func (c *control) settle() {
	c.settled = true
	c.counts.takeoverTime.Update(c.now().Sub(c.startedAt).Seconds())
}

// addJob hands a job to the engine.
func (c *control) addJob(id graph.JobID, j ledger.Job, uncertain bool) {
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

func (c *control) takeJob(id graph.JobID) {
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
func (c *control) run() {
	ctx := c.ctx
	defer c.end()
	go c.Registry.Follow(ctx, func(change RegistryChange) {
		c.post(func() { c.registerChanged(change) })
	})
	// Jobs that arrived between the load and now are told again; the engine ignores those that it has.
	for id, j := range c.Replica.Jobs() {
		if state, known := c.engine.JobState(id); !known || (j.Cancelled && !state.Ended()) {
			c.takeJob(id)
		}
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.awaitRecord()
			return
		case f := <-c.events:
			c.takeIn(f)
			c.drainEvents()
		case <-ticker.C:
			c.engine.SetNow(c.now())
			c.expireLinks()
			c.considerResigning()
			c.tenure.SetStandbys(c.permits.standbys(c.now(), c.Cores))
			c.forgetEnded()
		}
		c.gather()
		began := c.now()
		c.round()
		c.counts.roundTime.Update(c.now().Sub(began).Seconds())
		c.roundAt = c.now().Add(roundGap)
	}
}

// takeIn takes in one event at its own time. A start that counted as confirmed before it was would be given up as lost when
// a report comes that was asked for in between.
func (c *control) takeIn(f func()) {
	c.engine.SetNow(c.now())
	f()
}

// gather takes in events until the next round may begin.
func (c *control) gather() {
	wait := c.roundAt.Sub(c.now())
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for gathering := true; gathering; {
			select {
			case f := <-c.events:
				c.takeIn(f)
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
func (c *control) explain(ctx context.Context, id graph.JobID) ([]string, bool) {
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

// maxBatch bounds the events that are taken in before decisions follow from them.
const maxBatch = 256

func (c *control) drainEvents() {
	for range maxBatch {
		select {
		case f := <-c.events:
			c.takeIn(f)
		default:
			return
		}
	}
}

// awaitRecord waits until no record is under way, so that the tenure can be released.
func (c *control) awaitRecord() {
	for c.recording {
		f := <-c.events
		f()
	}
}

// round lets the engine decide and carries out what follows.
func (c *control) round() {
	if c.valid() {
		for _, order := range c.engine.Plan(time.Duration(time.Now().UnixNano())) {
			c.execute(order)
		}
		c.assignPermits()
		c.tasksWaiting.Store(int64(c.engine.WaitingTasks()))
		c.questionsWaiting.Store(int64(len(c.permits.waiting)))
	}
	if !c.settled && c.engine.ReportsComplete() {
		c.settle()
		c.Log.Info().Uint64("epoch", c.tenure.Epoch()).Dur("after", c.now().Sub(c.startedAt)).Msg("workers settled after takeover")
	}
	c.record()
	c.acknowledge()
}

func (c *control) execute(order dispatch.Order) {
	switch o := order.(type) {
	case dispatch.Start:
		if l := c.links[o.Worker]; l != nil {
			go l.start(l.startCall(o))
		}
	case dispatch.Stop:
		if l := c.links[o.Worker]; l != nil {
			go l.stop(o)
		}
	case dispatch.PermitRequest:
		c.permits.add(o)
	}
}

// lose ends the tenure because another daemon owns the cell.
func (c *control) lose(why string) {
	if c.lost {
		return
	}
	c.lost = true
	c.validUntil.Store(0)
	c.Log.Warn().Uint64("epoch", c.tenure.Epoch()).Str("why", why).Msg("ownership lost")
	c.end()
}
