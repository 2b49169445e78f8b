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
	"laburnumpoint/internal/wire"
)

// Bounds of the control loop.
const (
	eventQueue = 4096
	// tick is how often the loop looks at what only time brings about.
	tick = 100 * time.Millisecond
	// roundGap is kept between two rounds of decisions, so that under load they answer several events each.
	roundGap = 2 * time.Millisecond
	// recordGap is kept between two records, so that what ends together is recorded together.
	recordGap = 25 * time.Millisecond
	// recordRetry is kept before a record that failed is tried again.
	recordRetry = 100 * time.Millisecond
	// leaseLength is for how long a worker's lease is extended. It outlasts a takeover, and bounds how long tasks of a
	// worker that is cut off wait.
	leaseLength = 5 * time.Second
	// startTimeout and stopTimeout bound an order to a worker that answers within milliseconds when it is sound.
	startTimeout = 700 * time.Millisecond
	stopTimeout  = 700 * time.Millisecond
	// orderTry bounds one try of an order: several times what a sound worker takes, and short beside the objective of a
	// second of the quickest jobs, whose wide steps wait for the slowest of their starts.
	orderTry = 110 * time.Millisecond
	// orderPause is kept between two tries, for a worker that answers at once that it can't.
	orderPause = 20 * time.Millisecond
	// unknownLeaseMargin covers the way of an earlier owner's last order to a worker.
	unknownLeaseMargin = 300 * time.Millisecond
)

// control is one tenure's control loop. Only its goroutine touches the fields below events.
type control struct {
	*Daemon
	tenure *ledger.Tenure
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
	// newWorkers and oldWorkers wait to be recorded.
	newWorkers map[dispatch.WorkerID]dispatch.Worker
	oldWorkers map[dispatch.WorkerID]struct{}
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

func newControl(parent context.Context, d *Daemon, tenure *ledger.Tenure, started monotime.Instant) *control {
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
		newWorkers: make(map[dispatch.WorkerID]dispatch.Worker),
		oldWorkers: make(map[dispatch.WorkerID]struct{}),
		noted:      make(map[graph.JobID]bool),
		oldJobs:    make(map[graph.JobID]struct{}),
		startedAt:  started,
		renewedAt:  started,
	}
	c.validUntil.Store(int64(started.Add(validFor)))
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

// load takes over what the ledger holds: its jobs, and the workers that earlier owners used.
func (c *control) load() error {
	ctx, cancel := context.WithTimeout(c.ctx, catchUpTimeout)
	defer cancel()
	if err := c.Replica.CatchUp(ctx); err != nil {
		return err
	}
	c.engine.SetNow(c.now())
	uncertain := c.tenure.Epoch() > 1
	for id, j := range c.Replica.Jobs() {
		c.addJob(id, j, uncertain)
		if j.State().Ended() {
			c.noteEnded(id, true)
		}
	}
	for _, id := range c.Replica.Orphans() {
		c.noteEnded(id, false)
	}
	for _, w := range c.Replica.Workers() {
		c.engine.Await(w.ID, w.Pool)
		c.addLink(w, true)
	}
	if c.engine.Settled() {
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
	go c.Register.Follow(ctx, func(change RegisterChange) {
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
		c.tasksWaiting.Store(int64(c.engine.Waiting()))
		c.questionsWaiting.Store(int64(len(c.permits.waiting)))
	}
	if !c.settled && c.engine.Settled() {
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
			go l.start(o)
		}
	case dispatch.Stop:
		if l := c.links[o.Worker]; l != nil {
			go l.stop(o)
		}
	case dispatch.Ask:
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

// maxRecords bounds the jobs of one record, below the store's bound of a transaction with the ownership row.
const maxRecords = 80

// record writes what changed, if nothing is being written and it is time.
func (c *control) record() {
	now := c.now()
	due := now >= c.renewAt || c.engine.HasDirty() || len(c.newWorkers) > 0 || len(c.oldWorkers) > 0 || len(c.oldJobs) > 0
	if c.recording || !due || now < c.recordAt {
		if !c.recording && due {
			time.AfterFunc(max(0, c.recordAt.Sub(now)), func() { c.post(func() {}) })
		}
		return
	}
	batch := c.takeBatch()
	covered := map[dispatch.WorkerID]uint64(nil)
	if !c.engine.HasDirty() {
		covered = c.engine.Recorded()
	}
	c.recording = true
	sent := now
	go func() {
		err := c.tenure.Record(context.WithoutCancel(c.ctx), batch)
		c.events <- func() { c.recorded(batch, covered, sent, err) }
	}()
}

func (c *control) takeBatch() ledger.Batch {
	batch := ledger.Batch{Progress: c.engine.TakeDirty(maxRecords)}
	for id, w := range c.newWorkers {
		if batch.Entries() >= maxRecords {
			break
		}
		batch.Workers = append(batch.Workers, w)
		delete(c.newWorkers, id)
	}
	for id := range c.oldWorkers {
		if batch.Entries() >= maxRecords {
			break
		}
		batch.OldWorkers = append(batch.OldWorkers, id)
		delete(c.oldWorkers, id)
	}
	for id := range c.oldJobs {
		if batch.Entries() >= maxRecords {
			break
		}
		batch.OldJobs = append(batch.OldJobs, id)
		delete(c.oldJobs, id)
	}
	return batch
}

// recorded takes in the outcome of a record sent at the given time.
func (c *control) recorded(batch ledger.Batch, covered map[dispatch.WorkerID]uint64, sent monotime.Instant, err error) {
	c.recording = false
	now := c.now()
	if err != nil {
		c.recordFailed(batch, err)
		c.recordAt = now.Add(recordRetry)
		return
	}
	c.counts.records.Inc()
	c.renewedAt = sent
	c.recordAt = sent.Add(recordGap)
	c.renewAt = sent.Add(renewInterval)
	if !c.lost {
		c.validUntil.Store(int64(sent.Add(validFor)))
	}
	for _, w := range batch.Workers {
		c.addLink(w, false)
	}
	for id, p := range batch.Progress {
		if p.State.Ended() {
			c.Log.Info().Str("job", string(id)).Str("state", string(p.State)).Uint64("epoch", c.tenure.Epoch()).Msg("job ended")
			c.noteEnded(id, true)
		}
	}
	c.cover(covered)
}

func (c *control) recordFailed(batch ledger.Batch, err error) {
	c.counts.recordFailures.Inc()
	if errors.Is(err, ledger.ErrNotOwner) {
		c.lose("ownership row changed")
		return
	}
	c.Log.Warn().Uint64("epoch", c.tenure.Epoch()).Int("rows", batch.Entries()).Err(err).Msg("record not written, trying again")
	for id := range batch.Progress {
		c.engine.MarkDirty(id)
	}
	for _, w := range batch.Workers {
		c.newWorkers[w.ID] = w
	}
	for _, id := range batch.OldWorkers {
		c.oldWorkers[id] = struct{}{}
	}
	for _, id := range batch.OldJobs {
		c.oldJobs[id] = struct{}{}
	}
}

// acknowledge lets workers forget ends that need no record, when nothing waits to be recorded.
func (c *control) acknowledge() {
	if !c.recording && !c.engine.HasDirty() {
		c.cover(c.engine.Recorded())
	}
}

// cover tells the links up to which sequence their workers' ends are recorded.
func (c *control) cover(recorded map[dispatch.WorkerID]uint64) {
	for id, sequence := range recorded {
		if l := c.links[id]; l != nil {
			l.cover(sequence)
		}
	}
}

// assignPermits asks the policy service what waits to be asked, from the daemons that are free.
func (c *control) assignPermits() {
	for {
		ask, h, ok := c.permits.next(c.now())
		if !ok {
			return
		}
		if state, known := c.engine.JobState(ask.Step.Job); !known || state.Ended() {
			c.permits.done(h, c.now(), true)
			continue
		}
		go c.ask(ask, h, h.addr)
	}
}

// permitSlack is granted to a question beyond the time that the policy service needs.
const permitSlack = 600 * time.Millisecond

func (c *control) ask(ask dispatch.Ask, h *helper, addr string) {
	timeout := 2*ask.Cost + permitSlack
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	sent := c.now()
	var answer PermitAnswer
	var err error
	if addr == "" {
		answer, err = c.askPolicy(ctx, ask.Step, ask.Workers)
	} else {
		answer, err = c.askThrough(ctx, addr, ask, timeout)
	}
	took := c.now().Sub(sent)
	c.counts.permitTime.Update(took.Seconds())
	if err != nil {
		c.counts.permitFailures.Inc()
		c.Log.Warn().Str("job", string(ask.Step.Job)).Int("step", ask.Step.Step).Str("via", addr).Dur("took", took).Err(err).Msg("policy service gave no answer")
	} else {
		c.Log.Info().Str("job", string(ask.Step.Job)).Int("step", ask.Step.Step).Str("via", addr).Int("asked", len(ask.Workers)).Int("allowed", len(answer.Tickets)).Dur("took", took).Msg("permits")
	}
	c.post(func() {
		c.permits.done(h, c.now(), err == nil)
		c.engine.Permits(ask.Step, ask.Workers, answer.Tickets, answer.Valid, err == nil)
	})
}

var errNoPermitAnswer = errors.New("owner: the daemon asked got no answer from the policy service")

func (c *control) askThrough(ctx context.Context, addr string, ask dispatch.Ask, timeout time.Duration) (PermitAnswer, error) {
	req := &wire.PermitRequest{
		Job:        string(ask.Step.Job),
		Occurrence: uint32(ask.Step.Occurrence),
		Step:       uint32(ask.Step.Step),
		TimeoutMs:  timeout.Milliseconds(),
	}
	for _, w := range ask.Workers {
		req.Workers = append(req.Workers, string(w))
	}
	reply, err := c.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Permit{Permit: req}})
	if err != nil {
		return PermitAnswer{}, err
	}
	body := reply.GetPermit()
	if body == nil || !body.Answered {
		return PermitAnswer{}, errNoPermitAnswer
	}
	answer := PermitAnswer{Tickets: make(map[dispatch.WorkerID]string), Valid: time.Duration(body.ValidMs) * time.Millisecond}
	for _, p := range body.Permits {
		answer.Tickets[dispatch.WorkerID(p.Worker)] = p.Ticket
	}
	return answer, nil
}
