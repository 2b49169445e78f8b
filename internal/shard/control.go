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

// serving is the owner's state.
type serving int

const (
	stateServing serving = iota
	stateDraining
	stateSuperseded
)

// control is the state of the control loop. Only the loop's goroutine touches it, but for box and stopped.
type control struct {
	p       Params
	box     *mailbox
	stopped chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	state   serving
	sched   *scheduler.Scheduler
	entries map[cell.TaskID]*entry
	jobs    map[cell.JobID]map[cell.TaskID]bool
	workers map[cell.WorkerID]*worker
	ended   map[cell.TaskID]endedLease
	// evacuations is the last move of each service's tasks.
	evacuations map[cell.JobID]evacuation
	health      *health
	refusals    *refusals
	budget      *retryBudget
	began       time.Time
	// listed means that a VM list has been seen; listedNow, that it was read since the ownership began.
	listed, listedNow bool
	// attempts numbers the attempts of this epoch.
	attempts cell.AttemptID
	version  uint64
	policy   scheduler.Policy
	doc      config.Document
	stale    bool
	dirty    bool
	wake     time.Time
	// returning counts answers that wait for their intent to be returned.
	returning int
}

func newControl(p Params) *control {
	ctx, cancel := context.WithCancel(context.Background())
	return &control{
		p:           p,
		box:         newMailbox(),
		began:       time.Now(),
		stopped:     make(chan struct{}),
		ctx:         ctx,
		cancel:      cancel,
		sched:       scheduler.New(scheduler.Policy{}),
		entries:     make(map[cell.TaskID]*entry),
		jobs:        make(map[cell.JobID]map[cell.TaskID]bool),
		workers:     make(map[cell.WorkerID]*worker),
		ended:       make(map[cell.TaskID]endedLease),
		evacuations: make(map[cell.JobID]evacuation),
		health:      newHealth(),
		refusals:    newRefusals(),
		budget:      newRetryBudget(time.Now()),
	}
}

// run is the control loop.
func (c *control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(tickInterval)
	defer wake.Stop()
	for !c.finished() {
		select {
		case <-c.box.ready:
		case <-ticker.C:
			c.tick(time.Now())
		case <-wake.C:
		}
		for _, e := range c.box.take(eventsPerRound) {
			e.apply(c)
		}
		c.place(time.Now())
		// A wake that is due already was held up by something that the ticker watches.
		if d := time.Until(c.wake); d > 0 {
			wake.Reset(d)
		}
	}
	c.close()
}

// finished reports whether the owner has stopped serving and owes no answer.
func (c *control) finished() bool {
	if c.state == stateServing || c.returning > 0 {
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
func (c *control) close() {
	late := c.box.close()
	c.cancel()
	for _, e := range late {
		if s, ok := e.(submit); ok {
			s.waiter.answer(refusal(s.request, c.stateCode()))
		}
	}
	close(c.stopped)
}

func (c *control) stateCode() cell.ReasonCode {
	if c.state == stateDraining {
		return cell.ReasonDraining
	}
	return cell.ReasonSuperseded
}

// tick does what is due by time alone.
func (c *control) tick(now time.Time) {
	c.readConfig()
	c.readPolicy()
	c.claimDue(now)
	c.evacuate(now)
	if c.health.returnDue(now) {
		c.refreshWorkers()
	}
	if c.stale {
		c.dropStale(now)
	}
}

// place makes one bounded round of decisions.
func (c *control) place(now time.Time) {
	due := !c.wake.IsZero() && !now.Before(c.wake)
	if c.state != stateServing || !c.dirty && !due {
		return
	}
	if !c.readConfig() {
		return
	}
	c.dirty = false
	decisions := c.sched.Schedule(now, placementsPerRound)
	for _, d := range decisions {
		c.carryOut(now, d)
	}
	if len(decisions) >= placementsPerRound {
		c.dirty = true
		c.box.kick()
		return
	}
	c.wake = c.sched.NextWake(now)
}

func (c *control) carryOut(now time.Time, d scheduler.Decision) {
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
		c.drop(e, e.dropped(cell.ReasonDeadline, 0))
	}
}
