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

// ownerState is the state of an ownership.
type ownerState int

const (
	// stateServing means that the owner takes requests and places tasks.
	stateServing ownerState = iota
	// stateDraining means that the shard is being released.
	stateDraining
	// stateSuperseded means that another owner has a higher epoch.
	stateSuperseded
)

// controlLoop is the state of the control loop. Only the loop's goroutine may access it, except for the event queue and fields
// that never change.
type controlLoop struct {
	params  Params
	events  *eventQueue
	stopped chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	state   ownerState
	sched   *scheduler.Scheduler
	entries map[cell.TaskID]*taskEntry
	// jobs holds the ids of the entries of each job.
	jobs    map[cell.JobID]map[cell.TaskID]bool
	workers map[cell.WorkerID]*worker
	// endedLeases holds the latest ended lease of each task that a worker still has an answer of.
	endedLeases map[cell.TaskID]endedLease
	// evacuations is the last evacuation of each service.
	evacuations map[cell.JobID]evacuation
	health      *healthTracker
	refusals    *capacityRefusals
	budget      *retryBudget
	startedAt   time.Time
	// workerListSeen means that a VM list has been received; workerListCurrent means that it was read after the ownership
	// began.
	workerListSeen, workerListCurrent bool
	// lastAttempt is the number of the last attempt that was started under this epoch.
	lastAttempt   cell.AttemptNumber
	configVersion uint64
	policy        scheduler.Policy
	configDoc     config.Document
	// configStale means that the configuration in force can't be confirmed; nothing is placed meanwhile.
	configStale bool
	// schedulingNeeded means that a change since the last round may lead to new decisions.
	schedulingNeeded bool
	// nextWake is when the scheduler has to run next even if nothing changes.
	nextWake time.Time
	// pendingReturns counts answers that wait for their intent to be returned.
	pendingReturns int
}

func newControlLoop(p Params) *controlLoop {
	ctx, cancel := context.WithCancel(context.Background())
	return &controlLoop{
		params:      p,
		events:      newEventQueue(),
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
		case <-c.events.ready:
		case <-ticker.C:
			c.tick(time.Now())
		case <-wake.C:
		}
		for _, e := range c.events.take(eventsPerRound) {
			e.apply(c)
		}
		c.scheduleRound(time.Now())
		// If nextWake has passed, something that the ticker checks prevented the round; the ticker runs it again.
		if d := time.Until(c.nextWake); d > 0 {
			wake.Reset(d)
		}
	}
	c.close()
}

// finished reports whether the owner has stopped serving and has answered every request.
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

// close ends the loop and refuses the requests that are still in the event queue.
func (c *controlLoop) close() {
	unhandled := c.events.close()
	c.cancel()
	for _, e := range unhandled {
		if s, ok := e.(submitRequest); ok {
			s.waiter.answer(refusalOutcome(s.request, c.stateReason()))
		}
	}
	close(c.stopped)
}

// stateReason returns why an owner that is no longer serving refuses requests.
func (c *controlLoop) stateReason() cell.ReasonCode {
	if c.state == stateDraining {
		return cell.ReasonDraining
	}
	return cell.ReasonSuperseded
}

// tick does the work that depends on time only.
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

// scheduleRound runs the scheduler once if needed and applies at most placementsPerRound decisions.
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
		c.events.wake()
		return
	}
	c.nextWake = c.sched.NextWake(now)
}

// applyDecision carries out one decision of the scheduler.
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
		c.stop(e, cell.ReasonPreempted, d.StopMode)
	case scheduler.Expire:
		c.drop(e, e.droppedOutcome(cell.ReasonDeadline, 0))
	}
}
