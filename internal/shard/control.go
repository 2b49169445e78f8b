package shard

import (
	"context"
	"reflect"
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
	health  *health
	budget  *retryBudget
	began   time.Time
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
		p:       p,
		box:     newMailbox(),
		began:   time.Now(),
		stopped: make(chan struct{}),
		ctx:     ctx,
		cancel:  cancel,
		sched:   scheduler.New(scheduler.Policy{}),
		entries: make(map[cell.TaskID]*entry),
		jobs:    make(map[cell.JobID]map[cell.TaskID]bool),
		workers: make(map[cell.WorkerID]*worker),
		ended:   make(map[cell.TaskID]endedLease),
		health:  newHealth(),
		budget:  newRetryBudget(time.Now()),
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
	if c.health.returnDue(now) {
		c.refreshWorkers()
	}
	if c.stale {
		c.dropStale(now)
	}
}

// readConfig takes over a newer configuration and reports whether decisions may be made under it.
func (c *control) readConfig() bool {
	v, fresh := c.p.Config()
	if c.stale == fresh {
		c.dirty = true
	}
	c.stale = !fresh
	if v.Version > c.version {
		c.version = v.Version
		c.doc = v.Document
		c.readPolicy()
		c.refreshWorkers()
	}
	return fresh
}

// readPolicy takes over the operators' policy and this shard's part of the quotas, which moves without a new version.
func (c *control) readPolicy() {
	p := c.policyOf(c.doc)
	if c.version == 0 || reflect.DeepEqual(p, c.policy) {
		return
	}
	c.policy = p
	c.sched.SetPolicy(p)
	c.dirty = true
}

func (c *control) policyOf(d config.Document) scheduler.Policy {
	teams := make(map[string]scheduler.TeamPolicy, len(d.Teams))
	for name, t := range d.Teams {
		quota := t.Quota
		if c.p.Share != nil {
			quota = c.p.Share(name, d)
		}
		teams[name] = scheduler.TeamPolicy{Weight: t.Weight, Quota: quota}
	}
	return scheduler.Policy{
		PackingWeight: d.PackingWeight,
		Teams:         teams,
		MaxQueued:     d.MaxQueuedPerShard,
		UrgentWait:    d.UrgentWait(),
		AgeingStep:    d.AgeingStep(),
	}
}

// dropStale answers the queued requests that have waited too long for the configuration to be confirmed.
func (c *control) dropStale(now time.Time) {
	var late []*entry
	for _, e := range c.entries {
		if e.phase == phaseQueued && e.task.Kind == cell.KindRequest && now.Sub(e.arrived) > c.p.StaleBound {
			late = append(late, e)
		}
	}
	c.dropAll(late, cell.ReasonConfigStale, retryLater)
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
		c.stop(e, cell.ReasonPreempted, d.Mode)
	case scheduler.Expire:
		c.drop(e, e.dropped(cell.ReasonDeadline, 0))
	}
}

// add makes e known by its task and job.
func (c *control) add(e *entry) {
	c.entries[e.task.ID] = e
	if e.task.Job == "" {
		return
	}
	if c.jobs[e.task.Job] == nil {
		c.jobs[e.task.Job] = make(map[cell.TaskID]bool)
	}
	c.jobs[e.task.Job][e.task.ID] = true
}

// remove forgets e and what is counted for it. The caller has taken it off the queue.
func (c *control) remove(e *entry) {
	c.uncount(e)
	if e.regroup {
		c.sched.Release(e.task.ID)
	}
	delete(c.entries, e.task.ID)
	if tasks := c.jobs[e.task.Job]; tasks != nil {
		delete(tasks, e.task.ID)
		if len(tasks) == 0 {
			delete(c.jobs, e.task.Job)
		}
	}
	if e.task.Kind == cell.KindGang {
		c.regroupRest(e.task.Job)
	}
	if e.cancel != nil {
		e.cancel()
	}
}

// uncount releases the claim of a running entry once its attempt is known to be over.
func (c *control) uncount(e *entry) {
	if e.phase != phaseRunning {
		return
	}
	c.sched.Release(e.task.ID)
	if w := c.workers[e.worker]; w != nil {
		c.vacate(e, w)
	}
	c.dirty = true
}

// vacate takes e off w.
func (c *control) vacate(e *entry, w *worker) {
	delete(w.entries, e.task.ID)
	if c.health.put(w.ID) {
		c.refresh(w)
	}
}

// finish answers every waiter of e and forgets e.
func (c *control) finish(e *entry, out cell.Outcome) {
	if e.handle != nil && (out.Result == cell.ResultCompleted || out.Result == cell.ResultFailed) {
		c.p.Intents.Finish(*e.handle, out)
	}
	c.answerAll(e, out)
	c.remove(e)
}

// dropAll answers and forgets entries that no attempt runs for, taking them off the queue in one step.
func (c *control) dropAll(es []*entry, code cell.ReasonCode, retryAfter time.Duration) {
	var queued []cell.TaskID
	for _, e := range es {
		if e.phase == phaseQueued {
			queued = append(queued, e.task.ID)
		}
	}
	if len(queued) > 0 {
		c.sched.Cancel(queued...)
	}
	for _, e := range es {
		if c.entries[e.task.ID] == e {
			c.drop(e, e.dropped(code, retryAfter))
		}
	}
}

// drop answers every waiter of an entry that no attempt runs for and that is not queued, forgets it and returns its intent.
func (c *control) drop(e *entry, out cell.Outcome) {
	c.remove(e)
	if e.handle == nil || e.finishOnly || e.ran {
		c.answerAll(e, out)
		return
	}
	c.returning++
	waiters := e.waiters
	e.waiters = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.p.ReturnWait)
		defer cancel()
		// The write goes on in the background if it is late; the answer does not wait for it.
		_ = c.p.Intents.Return(ctx, *e.handle)
		for _, w := range waiters {
			w.answer(out)
		}
		c.box.post(intentReturned{})
	}()
}

// intentReturned says that an answer that waited for its intent has been given.
type intentReturned struct{}

func (intentReturned) apply(c *control) { c.returning-- }

func (c *control) answerAll(e *entry, out cell.Outcome) {
	for _, w := range e.waiters {
		w.answer(out)
	}
	if len(e.waiters) > 0 {
		c.logOutcome(e, out)
	}
	e.waiters = nil
}

func (c *control) logDecision(e *entry, what string, r cell.Reason) {
	c.p.Logger.Info().Str("decision", what).Str("caller", e.caller).Str("team", e.task.Team).Str("task", string(e.task.ID)).
		Str("shard", string(c.p.Shard)).Str("worker", string(e.worker)).Uint32("attempt", uint32(e.attempt.N)).
		Str("reason", r.String()).Dur("waited", e.waited).Msg("decision")
}

func (c *control) logOutcome(e *entry, out cell.Outcome) {
	c.p.Logger.Info().Str("result", string(out.Result)).Str("caller", e.caller).Str("team", e.task.Team).Str("task", string(e.task.ID)).
		Str("shard", string(c.p.Shard)).Str("worker", string(e.worker)).Uint32("attempt", uint32(e.attempt.N)).
		Str("reason", out.Reason.String()).Dur("waited", e.waited).Msg("outcome")
}
