package job

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
)

// Timing of a controller.
const (
	flushInterval  = 2 * time.Second
	pollInterval   = 15 * time.Second
	sweepInterval  = 10 * time.Minute
	retention      = 24 * time.Hour
	tableTimeout   = 3 * time.Second
	resubmitDelay  = time.Second
	minRestart     = time.Second
	maxRestart     = time.Minute
	steadyRun      = time.Minute
	maxOutstanding = 2_000
)

// TaskSubmitter runs single tasks; a shard's owner is one.
type TaskSubmitter interface {
	// SubmitTask queues a task and calls done exactly once with its outcome, on any goroutine. A task that was
	// submitted before, by this owner or an earlier one, is attached to and not run a second time.
	SubmitTask(t cell.Task, done func(cell.Outcome))
	// CancelJob drops the queued tasks of a job and stops its running ones. Their outcomes are reported as usual.
	CancelJob(id cell.JobID) int
}

// Controller runs the parts of jobs that are in one shard. One goroutine owns its state.
type Controller struct {
	shard  cell.ShardID
	store  *Store
	placer TaskSubmitter
	log    *log.Logger
	inbox  *inbox
	parts  map[cell.JobID]*part
	// readings holds the readings under way of each job.
	readings map[cell.JobID][]*reading
	// onLost is called when another owner is seen to have written a part.
	onLost func()
	cancel context.CancelFunc
	ended  chan struct{}
}

// event is handled by the controller's goroutine.
type event func(c *Controller)

// StartController begins to run the jobs of shard. It finds the open parts in the table, at once and then at intervals.
// onLost may be called more than once.
func StartController(shard cell.ShardID, store *Store, placer TaskSubmitter, logger *log.Logger, onLost func()) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		shard:    shard,
		store:    store,
		placer:   placer,
		log:      logger,
		inbox:    newInbox(),
		parts:    make(map[cell.JobID]*part),
		readings: make(map[cell.JobID][]*reading),
		onLost:   onLost,
		cancel:   cancel,
		ended:    make(chan struct{}),
	}
	go c.loop(ctx)
	return c
}

// Stop ends the controller after a last flush of progress, or when ctx ends.
func (c *Controller) Stop(ctx context.Context) {
	flushed := make(chan struct{})
	c.inbox.post(func(c *Controller) {
		go func() {
			c.flushNow(ctx)
			close(flushed)
		}()
	})
	select {
	case <-flushed:
	case <-ctx.Done():
	case <-c.ended:
	}
	c.cancel()
	<-c.ended
}

// NotifyJobChanged says that a job's record is new or has changed.
func (c *Controller) NotifyJobChanged(id cell.JobID) {
	c.inbox.post(func(c *Controller) { c.load(id) })
}

// PartStatus counts the tasks of one part by state.
type PartStatus struct {
	Queued    int
	Running   int
	Counts    ResultCounts
	Cancelled int
	Reason    cell.Reason
}

// Status returns the state of a job's part, or false if the controller does not run it.
func (c *Controller) Status(ctx context.Context, id cell.JobID) (PartStatus, bool) {
	type answer struct {
		status PartStatus
		found  bool
	}
	reply := make(chan answer, 1)
	c.inbox.post(func(c *Controller) {
		p, ok := c.parts[id]
		if !ok {
			reply <- answer{}
			return
		}
		reply <- answer{status: p.status(), found: true}
	})
	select {
	case a := <-reply:
		return a.status, a.found
	case <-ctx.Done():
		return PartStatus{}, false
	case <-c.ended:
		return PartStatus{}, false
	}
}

func (c *Controller) loop(ctx context.Context) {
	defer close(c.ended)
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	c.poll()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.inbox.ready:
			c.handleAll()
		case <-flush.C:
			c.flush()
		case <-poll.C:
			c.poll()
		case <-sweep.C:
			c.sweep()
		}
	}
}

func (c *Controller) handleAll() {
	for _, e := range c.inbox.take() {
		e(c)
	}
}

// poll looks for open parts that no notice has told of, and for cancellations.
func (c *Controller) poll() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		rows, err := c.store.ListOpenParts(ctx, c.shard)
		if err != nil {
			c.log.Warn().Str("shard", string(c.shard)).Err(err).Msg("open jobs not read")
			return
		}
		for _, row := range rows {
			c.NotifyJobChanged(row.Job)
		}
	}()
}

func (c *Controller) update(r Record) {
	p := c.parts[r.Spec.ID]
	if p == nil || !r.Cancelled || p.record.Cancelled {
		return
	}
	p.record.Cancelled = true
	n := c.placer.CancelJob(r.Spec.ID)
	c.log.Info().Str("shard", string(c.shard)).Str("job", string(r.Spec.ID)).Int("tasks", n).Msg("job cancelled")
	c.advance(p)
}

// advance submits what is due and closes the part when nothing of it is left.
func (c *Controller) advance(p *part) {
	for {
		i, ok := p.nextDue()
		if !ok {
			break
		}
		c.submit(p, i)
	}
	if p.finished() {
		c.close(p)
	}
}

func (c *Controller) submit(p *part, i int) {
	id := p.record.Spec.ID
	c.placer.SubmitTask(p.record.Task(i), func(o cell.Outcome) {
		c.inbox.post(func(c *Controller) { c.taskEnded(id, i, o) })
	})
}

func (c *Controller) taskEnded(id cell.JobID, i int, o cell.Outcome) {
	p := c.parts[id]
	if p == nil {
		return
	}
	delay, again := p.ended(i, o, time.Now())
	if !again {
		c.advance(p)
		return
	}
	c.log.Info().Str("job", string(id)).Int("task", i).Str("result", string(o.Result)).
		Str("reason", o.Reason.String()).Dur("delay", delay).Msg("task will be submitted again")
	time.AfterFunc(delay, func() {
		c.inbox.post(func(c *Controller) { c.retry(id, i) })
	})
}

func (c *Controller) retry(id cell.JobID, i int) {
	p := c.parts[id]
	if p == nil {
		return
	}
	if p.dropDelayed() {
		c.advance(p)
		return
	}
	p.resubmitted()
	c.submit(p, i)
}
