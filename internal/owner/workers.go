package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/monotime"
)

// Bounds of looking at a worker.
const (
	// holdWait is how long a worker may wait for an end before it answers a look.
	holdWait = 1200 * time.Millisecond
	// lossyWait is holdWait while answers get lost: an end is heard of only after the look that should have told of it.
	lossyWait = 300 * time.Millisecond
	// lossyTime is how long after a lost answer more are expected to be lost.
	lossyTime = 4 * time.Second
	// holdTimeout bounds a look beyond its wait.
	holdTimeout = 800 * time.Millisecond
	// holdRetry is kept after a look without an answer.
	holdRetry = 150 * time.Millisecond
	// recordWait is how long a look waits for the ends of the last one to be recorded. Beyond it the worker is looked
	// at without waiting, so that its lease is extended while the store is down.
	recordWait = 300 * time.Millisecond
)

// link is the owner's connection to one worker.
type link struct {
	c *control
	// worker never changes; calls go to its address.
	worker dispatch.Worker
	lease  workerLease
	cancel context.CancelFunc
	// listed is what the register said last; listed and failing belong to the control loop.
	listed  dispatch.Worker
	failing bool
	// absent means that the register does not list the worker.
	absent bool

	mu       sync.Mutex
	recorded uint64
	advanced chan struct{}
}

// addLink begins to look after a worker. known tells that an earlier owner may have started tasks on it.
func (c *control) addLink(w dispatch.Worker, known bool) {
	if c.links[w.ID] != nil {
		return
	}
	l := &link{c: c, worker: w, listed: w, advanced: make(chan struct{}, 1)}
	if known {
		l.lease.bound(c.startedAt.Add(onSlowestClock(c.leaseLength()) + unknownLeaseMargin))
	}
	c.links[w.ID] = l
	c.engine.PutWorker(w)
	l.begin()
}

func (l *link) begin() {
	ctx, cancel := context.WithCancel(l.c.ctx)
	l.cancel = cancel
	go l.run(ctx)
}

// cover notes up to which sequence the worker's ends are recorded.
func (l *link) cover(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence <= l.recorded {
		return
	}
	l.recorded = sequence
	select {
	case l.advanced <- struct{}{}:
	default:
	}
}

func (l *link) covered() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recorded
}

// run looks at the worker again and again.
func (l *link) run(ctx context.Context) {
	wait := time.Duration(0)
	var lostAt monotime.Instant
	// A look that may go unanswered extends no lease: otherwise the lease of a worker that has gone would never be over.
	answering := false
	for ctx.Err() == nil {
		last, err := l.hold(ctx, wait, answering)
		answering = err == nil
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			lostAt = l.c.now()
			l.c.post(func() { l.c.linkFailed(l, err) })
			monotime.Sleep(ctx, holdRetry)
			wait = 0
			continue
		}
		wait = nextWait(lostAt, l.c.now())
		if !l.awaitRecorded(ctx, last) {
			wait = 0
		}
	}
}

// nextWait returns how long the next look may wait for an end, if the last lost answer was at lostAt, 0 for never.
func nextWait(lostAt, now monotime.Instant) time.Duration {
	if lostAt > 0 && now.Sub(lostAt) < lossyTime {
		return lossyWait
	}
	return holdWait
}

// awaitRecorded waits until the ends up to last are recorded, within bounds.
func (l *link) awaitRecorded(ctx context.Context, last uint64) bool {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	for l.covered() < last {
		select {
		case <-l.advanced:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// hold looks at the worker once, extends its lease if asked to, and returns the sequence of the last end that it listed.
func (l *link) hold(ctx context.Context, wait time.Duration, extend bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+holdTimeout)
	defer cancel()
	call := HoldCall{Epoch: l.c.tenure.Epoch(), Recorded: l.covered(), Wait: wait}
	sent := l.c.now()
	if extend && l.c.valid() {
		if deadline, ok := l.lease.extend(sent, l.c.leaseLength()); ok {
			call.Deadline = deadline
		}
	}
	l.c.counts.holds.Inc()
	report, clock, err := l.c.Workers.Hold(ctx, l.worker, call)
	if err != nil {
		l.c.counts.holdFailures.Inc()
		return 0, err
	}
	l.lease.note(clock, l.c.now())
	last := call.Recorded
	for _, e := range report.Ended {
		last = max(last, e.Sequence)
	}
	l.c.post(func() { l.c.linkReported(l, sent, report) })
	return last, nil
}

func (c *control) leaseLength() time.Duration { return min(leaseLength, c.MaxLease) }

func (c *control) linkReported(l *link, sent monotime.Instant, report dispatch.Report) {
	if c.links[l.worker.ID] != l {
		return
	}
	if l.failing {
		l.failing = false
		c.Log.Info().Str("worker", string(l.worker.ID)).Msg("worker answers again")
	}
	for _, e := range report.Ended {
		c.Log.Info().Str("job", string(e.Task.Job)).Str("task", e.Task.String()).Uint64("run", e.Number).Str("worker", string(l.worker.ID)).Str("end", e.End.String()).Msg("run ended")
	}
	c.logRunsLost(l, c.engine.HandleReport(l.worker.ID, sent, report), "worker does not list it")
}

// logRunsLost says why the owner takes runs for ended without having heard of their ends.
func (c *control) logRunsLost(l *link, runs []dispatch.RunKey, why string) {
	left := l.lease.left(c.now())
	for _, run := range runs {
		c.Log.Warn().Str("job", string(run.Task.Job)).Str("task", run.Task.String()).Uint64("run", run.Number).Str("worker", string(l.worker.ID)).Str("why", why).Dur("lease_left", left).Msg("run lost")
	}
}

// linkFailed takes in that the worker did not answer a look.
func (c *control) linkFailed(l *link, err error) {
	if c.links[l.worker.ID] != l {
		return
	}
	if errors.Is(err, ErrSuperseded) {
		c.lose("worker has seen a higher epoch")
		return
	}
	if !l.failing {
		l.failing = true
		c.Log.Warn().Str("worker", string(l.worker.ID)).Err(err).Msg("worker does not answer")
	}
	c.engine.SetReachable(l.worker.ID, false)
	if errors.Is(err, ErrOtherIncarnation) {
		c.workerEnded(l, "another life answers")
	}
}

// expireLinks gives up what ran on silent workers whose lease is over. That the register no longer lists a worker proves
// nothing: it drops those that it has not heard of, and they run on.
func (c *control) expireLinks() {
	now := c.now()
	for _, l := range c.links {
		if !l.failing || !l.lease.over(now) {
			continue
		}
		if _, listed := c.registered[l.worker.ID]; !listed {
			c.workerEnded(l, "lease over, not registered")
			continue
		}
		if c.engine.HasRuns(l.worker.ID) || !c.engine.ReportsComplete() {
			c.Log.Warn().Str("worker", string(l.worker.ID)).Msg("lease of silent worker is over, its runs are given up")
			c.logRunsLost(l, c.engine.RemoveWorker(l.worker.ID), "lease over")
			c.engine.PutWorker(l.listed)
		}
	}
}

// workerEnded forgets a worker that has certainly ended.
func (c *control) workerEnded(l *link, why string) {
	id := l.worker.ID
	c.Log.Info().Str("worker", string(id)).Str("why", why).Dur("lease_left", l.lease.left(c.now())).Msg("worker gone")
	if l.cancel != nil {
		l.cancel()
	}
	delete(c.links, id)
	c.logRunsLost(l, c.engine.RemoveWorker(id), why)
	c.workerRows[id] = nil
}

// registerChanged takes in what the register lists.
func (c *control) registerChanged(change RegistryChange) {
	if change.Full {
		c.registered = make(map[dispatch.WorkerID]dispatch.Worker, len(change.Put))
		for _, w := range change.Put {
			c.registered[w.ID] = w
		}
		for id := range c.links {
			if _, listed := c.registered[id]; !listed {
				c.unregistered(id)
			}
		}
		for id := range c.workerRows {
			if _, listed := c.registered[id]; !listed {
				c.unregistered(id)
			}
		}
	}
	for _, w := range change.Put {
		c.registered[w.ID] = w
		c.workerListed(w)
	}
	for _, id := range change.Removed {
		delete(c.registered, id)
		c.unregistered(id)
	}
}

func (c *control) workerListed(w dispatch.Worker) {
	l := c.links[w.ID]
	if l == nil {
		c.workerRows[w.ID] = &w
		return
	}
	if l.listed.Draining != w.Draining {
		c.Log.Info().Str("worker", string(w.ID)).Bool("draining", w.Draining).Msg("worker state")
	}
	l.listed = w
	l.absent = false
	c.engine.PutWorker(w)
}

// unregistered keeps new runs from a worker that the register no longer lists.
func (c *control) unregistered(id dispatch.WorkerID) {
	if c.workerRows[id] != nil {
		delete(c.workerRows, id) // not used yet
	}
	l := c.links[id]
	if l == nil || l.absent {
		return
	}
	l.absent = true
	c.Log.Info().Str("worker", string(id)).Msg("worker no longer registered")
	w := l.listed
	w.Draining = true
	c.engine.PutWorker(w)
}
