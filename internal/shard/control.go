package shard

import (
	"context"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/scheduler"
)

// Bounds of one round of the control loop.
const (
	eventsPerRound     = 512
	placementsPerRound = 256
	tickInterval       = 100 * time.Millisecond
)

// ownerState is the owner's state.
type ownerState int

const (
	stateServing ownerState = iota
	stateDraining
	stateSuperseded
)

// controlLoop is the state of the controlLoop loop. Only the loop's goroutine touches it, but for box and stopped.
type controlLoop struct {
	params  Params
	mailbox *mailbox
	stopped chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	state       ownerState
	sched       *scheduler.Scheduler
	entries     map[cell.TaskID]*taskEntry
	jobs        map[cell.JobID]map[cell.TaskID]bool
	workers     map[cell.WorkerID]*worker
	endedLeases map[cell.TaskID]endedLease
	// evacuations is the last move of each service's tasks.
	evacuations map[cell.JobID]evacuation
	health      *healthTracker
	refusals    *capacityRefusals
	budget      *retryBudget
	startedAt   time.Time
	// workerListSeen means that a VM list has been seen; workerListCurrent, that it was read since the ownership began.
	workerListSeen, workerListCurrent bool
	// lastAttempt numbers the lastAttempt of this epoch.
	lastAttempt      cell.AttemptID
	configVersion    uint64
	policy           scheduler.Policy
	configDoc        config.Document
	configStale      bool
	schedulingNeeded bool
	nextWake         time.Time
	// pendingReturns counts answers that wait for their intent to be returned.
	pendingReturns int
}

func newControlLoop(p Params) *controlLoop {
	ctx, cancel := context.WithCancel(context.Background())
	return &controlLoop{
		params:      p,
		mailbox:     newMailbox(),
		startedAt:   time.Now(),
		stopped:     make(chan struct{}),
		ctx:         ctx,
		cancel:      cancel,
		sched:       scheduler.New(scheduler.Policy{}),
		entries:     make(map[cell.TaskID]*taskEntry),
		jobs:        make(map[cell.JobID]map[cell.TaskID]bool),
		workers:     make(map[cell.WorkerID]*worker),
		endedLeases: make(map[cell.TaskID]endedLease),
		evacuations: make(map[cell.JobID]evacuation),
		health:      newHealthTracker(),
		refusals:    newCapacityRefusals(),
		budget:      newRetryBudget(time.Now()),
	}
}

// run is the control loop.
func (c *controlLoop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(tickInterval)
	defer wake.Stop()
	for !c.finished() {
		select {
		case <-c.mailbox.ready:
		case <-ticker.C:
			c.tick(time.Now())
		case <-wake.C:
		}
		for _, e := range c.mailbox.take(eventsPerRound) {
			e.apply(c)
		}
		c.scheduleRound(time.Now())
		// A wake that is due already was held up by something that the ticker watches.
		if d := time.Until(c.nextWake); d > 0 {
			wake.Reset(d)
		}
	}
	c.close()
}

// finished reports whether the owner has stopped serving and owes no answer.
func (c *controlLoop) finished() bool {
	if c.state == stateServing || c.pendingReturns > 0 {
		return false
	}
	for _, e := range c.entries {
		if len(e.waiters) > 0 {
			return false
		}
	}
	return true
}

// close ends the loop and refuses the requests that came too late for it.
func (c *controlLoop) close() {
	unhandled := c.mailbox.close()
	c.cancel()
	for _, e := range unhandled {
		if s, ok := e.(submitRequest); ok {
			s.waiter.answer(refusalOutcome(s.request, c.stateReason()))
		}
	}
	close(c.stopped)
}

func (c *controlLoop) stateReason() cell.ReasonCode {
	if c.state == stateDraining {
		return cell.ReasonDraining
	}
	return cell.ReasonSuperseded
}

// tick does what is due by time alone.
func (c *controlLoop) tick(now time.Time) {
	c.updateConfig()
	c.updatePolicy()
	c.claimDueWorkers(now)
	c.evacuate(now)
	if c.health.startDueProbes(now) {
		c.publishWorkers()
	}
	if c.configStale {
		c.dropWaitingForConfig(now)
	}
}

// scheduleRound makes one bounded round of decisions.
func (c *controlLoop) scheduleRound(now time.Time) {
	due := !c.nextWake.IsZero() && !now.Before(c.nextWake)
	if c.state != stateServing || !c.schedulingNeeded && !due {
		return
	}
	if !c.updateConfig() {
		return
	}
	c.schedulingNeeded = false
	decisions := c.sched.Schedule(now, placementsPerRound)
	for _, d := range decisions {
		c.applyDecision(now, d)
	}
	if len(decisions) >= placementsPerRound {
		c.schedulingNeeded = true
		c.mailbox.wake()
		return
	}
	c.nextWake = c.sched.NextWake(now)
}

func (c *controlLoop) applyDecision(now time.Time, d scheduler.Decision) {
	e := c.entries[d.Task.ID]
	if e == nil {
		c.sched.Release(d.Task.ID)
		return
	}
	switch d.Kind {
	case scheduler.Place:
		c.dispatch(now, e, d)
	case scheduler.Stop:
		c.logDecision(e, "stop", d.Reason)
		c.stop(e, cell.ReasonPreempted, d.Mode)
	case scheduler.Expire:
		c.drop(e, e.droppedOutcome(cell.ReasonDeadline, 0))
	}
}
