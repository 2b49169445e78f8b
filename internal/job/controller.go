package job

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
)

// Intervals and limits of a controller.
const (
	// flushInterval is the time between two writes of changed progress.
	flushInterval = 2 * time.Second
	// pollInterval is the time between two reads of the shard's open parts.
	pollInterval = 15 * time.Second
	// sweepInterval is the time between two removals of ended jobs.
	sweepInterval = 10 * time.Minute
	// endedJobRetention is how long an ended job's record stays in the table.
	endedJobRetention = 24 * time.Hour
	tableTimeout      = 3 * time.Second
	// resubmitDelay is the minimum time before a task of a batch or gang is submitted again.
	resubmitDelay = time.Second
	// A service's replica is restarted after minRestartDelay. The delay doubles up to maxRestartDelay, and starts anew
	// after a run of restartDelayResetAfter.
	minRestartDelay        = time.Second
	maxRestartDelay        = time.Minute
	restartDelayResetAfter = time.Minute
	// maxLostAttempts is after how many attempts that ended with their workers a task is not submitted again. For a replica of a
	// service only those count that follow each other within restartDelayResetAfter.
	maxLostAttempts = 3
	// maxOutstandingTasks bounds the submitted tasks of one part, except for a gang.
	maxOutstandingTasks = 2_000
)

// TaskSubmitter accepts single tasks and runs them. A shard's owner is one.
type TaskSubmitter interface {
	// SubmitTask queues a task and calls done exactly once with its outcome, on any goroutine. If the task was
	// submitted before, by this owner or an earlier one, the call waits for that run and no second one is started.
	SubmitTask(t cell.Task, done func(cell.Outcome))
	// CancelJob drops a job's queued tasks, stops its running ones and returns how many there were. Their outcomes are
	// still passed to done.
	CancelJob(id cell.JobID) int
}

// Controller runs the parts of jobs in one shard. One goroutine owns its state.
type Controller struct {
	shard     cell.ShardID
	store     *Store
	submitter TaskSubmitter
	log       *log.Logger
	events    *eventQueue
	parts     map[cell.JobID]*partState
	// pendingReads holds each job's reads in flight.
	pendingReads map[cell.JobID][]*pendingRead
	// onSuperseded is called when a part turns out to have been written by another owner.
	onSuperseded func()
	cancel       context.CancelFunc
	done         chan struct{}
}

// event is a function that the controller's goroutine runs.
type event func(c *Controller)

// StartController begins to run the parts of jobs in shard. It reads the open parts from the table at once and then at
// pollInterval. onSuperseded may be called more than once.
func StartController(
	shard cell.ShardID, store *Store, submitter TaskSubmitter, logger *log.Logger, onSuperseded func(),
) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		shard:        shard,
		store:        store,
		submitter:    submitter,
		log:          logger,
		events:       newEventQueue(),
		parts:        make(map[cell.JobID]*partState),
		pendingReads: make(map[cell.JobID][]*pendingRead),
		onSuperseded: onSuperseded,
		cancel:       cancel,
		done:         make(chan struct{}),
	}
	go c.loop(ctx)
	return c
}

// Stop stops the controller after a last write of progress, or when ctx ends.
func (c *Controller) Stop(ctx context.Context) {
	flushed := make(chan struct{})
	c.events.post(func(c *Controller) {
		go func() {
			c.flushNow(ctx)
			close(flushed)
		}()
	})
	select {
	case <-flushed:
	case <-ctx.Done():
	case <-c.done:
	}
	c.cancel()
	<-c.done
}

// NotifyJobChanged notifies the controller that a job's record is new or has changed.
func (c *Controller) NotifyJobChanged(id cell.JobID) {
	c.events.post(func(c *Controller) { c.loadJob(id) })
}

// PartStatus counts the tasks of one part by state.
type PartStatus struct {
	// Queued counts running tasks too: a Controller leaves Running at zero, since it does not know which tasks run.
	Queued  int
	Running int
	// Counts holds the tasks that have ended.
	Counts    ResultCounts
	Cancelled int
	// Reason is that of the latest outcome of any task.
	Reason cell.Reason
}

// Status returns the state of a job's part, or false if the controller does not run it or has not answered when ctx
// ends.
func (c *Controller) Status(ctx context.Context, id cell.JobID) (PartStatus, bool) {
	type answer struct {
		status PartStatus
		found  bool
	}
	reply := make(chan answer, 1)
	c.events.post(func(c *Controller) {
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
	case <-c.done:
		return PartStatus{}, false
	}
}

func (c *Controller) loop(ctx context.Context) {
	defer close(c.done)
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	c.pollOpenParts()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.events.ready:
			c.handleEvents()
		case <-flush.C:
			c.flush()
		case <-poll.C:
			c.pollOpenParts()
		case <-sweep.C:
			c.sweep()
		}
	}
}

func (c *Controller) handleEvents() {
	for _, e := range c.events.take() {
		e(c)
	}
}

// pollOpenParts reloads all jobs with open parts, to find those that no notification has announced, and cancellations.
func (c *Controller) pollOpenParts() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		rows, err := c.store.ListOpenParts(ctx, c.shard)
		if err != nil {
			c.log.Warn().Str("shard", string(c.shard)).Err(err).Msg("open job parts not read")
			return
		}
		for _, row := range rows {
			c.NotifyJobChanged(row.Job)
		}
	}()
}

// updateRecord processes a newer record of a running job: it cancels the part's tasks if the job is now cancelled.
func (c *Controller) updateRecord(r Record) {
	p := c.parts[r.Spec.ID]
	if p == nil || !r.Cancelled || p.record.Cancelled {
		return
	}
	p.record.Cancelled = true
	n := c.submitter.CancelJob(r.Spec.ID)
	c.log.Info().Str("shard", string(c.shard)).Str("job", string(r.Spec.ID)).Int("tasks", n).Msg("job cancelled")
	c.advance(p)
}

// advance submits the tasks that may be submitted now and closes the part if it is finished.
func (c *Controller) advance(p *partState) {
	for {
		i, ok := p.takeNext()
		if !ok {
			break
		}
		c.submit(p, i)
	}
	if p.finished() {
		c.closePart(p)
	}
}

func (c *Controller) submit(p *partState, i int) {
	id := p.record.Spec.ID
	c.submitter.SubmitTask(p.record.Task(i), func(o cell.Outcome) {
		c.events.post(func(c *Controller) { c.taskEnded(id, i, o) })
	})
}

// taskEnded handles a task's outcome and schedules its next submission if there is to be one.
func (c *Controller) taskEnded(id cell.JobID, i int, o cell.Outcome) {
	p := c.parts[id]
	if p == nil {
		return
	}
	delay, again := p.recordOutcome(i, o, time.Now())
	if !again {
		c.advance(p)
		return
	}
	c.log.Info().Str("job", string(id)).Int("task", i).Str("result", string(o.Result)).
		Str("reason", o.Reason.String()).Dur("delay", delay).Msg("task will be submitted again")
	time.AfterFunc(delay, func() {
		c.events.post(func(c *Controller) { c.resubmit(id, i) })
	})
}

// resubmit submits a delayed task again unless its job was cancelled.
func (c *Controller) resubmit(id cell.JobID, i int) {
	p := c.parts[id]
	if p == nil {
		return
	}
	if p.dropIfCancelled() {
		c.advance(p)
		return
	}
	p.markResubmitted()
	c.submit(p, i)
}
