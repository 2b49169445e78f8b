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
	// holdWaitAfterLoss is holdWait while answers get lost: an end is heard of only after the look that should have told of it.
	holdWaitAfterLoss = 300 * time.Millisecond
	// lossPeriod is how long after a lost answer more are expected to be lost.
	lossPeriod = 4 * time.Second
	// holdTimeout bounds a look beyond its wait.
	holdTimeout = 800 * time.Millisecond
	// holdRetryDelay is kept after a look without an answer.
	holdRetryDelay = 150 * time.Millisecond
	// commitWait is how long a look waits for the ends of the last one to be recorded. Beyond it the worker is looked
	// at without waiting, so that its lease is extended while the store is down.
	commitWait = 300 * time.Millisecond
)

// workerConn is the owner's connection to one worker.
type workerConn struct {
	controller *controller
	// worker never changes; calls go to its address.
	worker dispatch.Worker
	lease  workerLease
	cancel context.CancelFunc
	// listing is what the register said last; listing and failing belong to the control loop.
	listing      dispatch.Worker
	unresponsive bool
	// unregistered means that the register does not list the worker.
	unregistered bool

	mu               sync.Mutex
	recordedSequence uint64
	recordedAdvanced chan struct{}
}

// addWorkerConn begins to look after a worker. known tells that an earlier owner may have started tasks on it.
func (c *controller) addWorkerConn(w dispatch.Worker, known bool) {
	if c.workerConns[w.ID] != nil {
		return
	}
	l := &workerConn{controller: c, worker: w, listing: w, recordedAdvanced: make(chan struct{}, 1)}
	if known {
		l.lease.extendUntil(c.takeoverStartedAt.Add(onSlowestClock(c.leaseLength()) + earlierOrderMargin))
	}
	c.workerConns[w.ID] = l
	c.engine.PutWorker(w)
	l.startHoldLoop()
}

func (l *workerConn) startHoldLoop() {
	ctx, cancel := context.WithCancel(l.controller.ctx)
	l.cancel = cancel
	go l.runHoldLoop(ctx)
}

// setRecorded notes up to which sequence the worker's ends are recorded.
func (l *workerConn) setRecorded(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence <= l.recordedSequence {
		return
	}
	l.recordedSequence = sequence
	select {
	case l.recordedAdvanced <- struct{}{}:
	default:
	}
}

func (l *workerConn) recorded() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordedSequence
}

// runHoldLoop looks at the worker again and again.
func (l *workerConn) runHoldLoop(ctx context.Context) {
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
			lostAt = l.controller.now()
			l.controller.post(func() { l.controller.handleHoldFailure(l, err) })
			monotime.Sleep(ctx, holdRetryDelay)
			wait = 0
			continue
		}
		wait = nextHoldWait(lostAt, l.controller.now())
		if !l.awaitRecorded(ctx, last) {
			wait = 0
		}
	}
}

// nextHoldWait returns how long the next look may wait for an end, if the last lost answer was at lostAt, 0 for never.
func nextHoldWait(lostAt, now monotime.Instant) time.Duration {
	if lostAt > 0 && now.Sub(lostAt) < lossPeriod {
		return holdWaitAfterLoss
	}
	return holdWait
}

// awaitRecorded waits until the ends up to last are recorded, within bounds.
func (l *workerConn) awaitRecorded(ctx context.Context, last uint64) bool {
	timer := time.NewTimer(commitWait)
	defer timer.Stop()
	for l.recorded() < last {
		select {
		case <-l.recordedAdvanced:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// hold looks at the worker once, extends its lease if asked to, and returns the sequence of the last end that it listed.
func (l *workerConn) hold(ctx context.Context, wait time.Duration, extend bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+holdTimeout)
	defer cancel()
	call := HoldCall{Epoch: l.controller.ownership.Epoch(), Recorded: l.recorded(), Wait: wait}
	sent := l.controller.now()
	if extend && l.controller.valid() {
		if deadline, ok := l.lease.extend(sent, l.controller.leaseLength()); ok {
			call.Deadline = deadline
		}
	}
	l.controller.instruments.holds.Inc()
	report, clock, err := l.controller.Workers.Hold(ctx, l.worker, call)
	if err != nil {
		l.controller.instruments.holdFailures.Inc()
		return 0, err
	}
	l.lease.observeClock(clock, l.controller.now())
	last := call.Recorded
	for _, e := range report.Ended {
		last = max(last, e.Sequence)
	}
	l.controller.post(func() { l.controller.handleReport(l, sent, report) })
	return last, nil
}

func (c *controller) leaseLength() time.Duration { return min(leaseDuration, c.MaxLease) }

func (c *controller) handleReport(l *workerConn, sent monotime.Instant, report dispatch.Report) {
	if c.workerConns[l.worker.ID] != l {
		return
	}
	if l.unresponsive {
		l.unresponsive = false
		c.Log.Info().Str("worker", string(l.worker.ID)).Msg("worker answers again")
	}
	for _, e := range report.Ended {
		c.Log.Info().Str("job", string(e.Task.Job)).Str("task", e.Task.String()).Uint64("run", e.Number).Str("worker", string(l.worker.ID)).Str("end", e.End.String()).Msg("run ended")
	}
	c.logRunsLost(l, c.engine.HandleReport(l.worker.ID, sent, report), "worker does not list it")
}

// logRunsLost says why the owner takes runs for ended without having heard of their ends.
func (c *controller) logRunsLost(l *workerConn, runs []dispatch.RunKey, why string) {
	left := l.lease.remaining(c.now())
	for _, run := range runs {
		c.Log.Warn().Str("job", string(run.Task.Job)).Str("task", run.Task.String()).Uint64("run", run.Number).Str("worker", string(l.worker.ID)).Str("why", why).Dur("lease_left", left).Msg("run lost")
	}
}

// handleHoldFailure takes in that the worker did not answer a look.
func (c *controller) handleHoldFailure(l *workerConn, err error) {
	if c.workerConns[l.worker.ID] != l {
		return
	}
	if errors.Is(err, ErrSuperseded) {
		c.loseOwnership("worker has seen a higher epoch")
		return
	}
	if !l.unresponsive {
		l.unresponsive = true
		c.Log.Warn().Str("worker", string(l.worker.ID)).Err(err).Msg("worker does not answer")
	}
	c.engine.SetReachable(l.worker.ID, false)
	if errors.Is(err, ErrOtherIncarnation) {
		c.removeEndedWorker(l, "another life answers")
	}
}

// expireLeases gives up what ran on silent workers whose lease is over. That the register no longer lists a worker proves
// nothing: it drops those that it has not heard of, and they run on.
func (c *controller) expireLeases() {
	now := c.now()
	for _, l := range c.workerConns {
		if !l.unresponsive || !l.lease.expired(now) {
			continue
		}
		if _, listed := c.registered[l.worker.ID]; !listed {
			c.removeEndedWorker(l, "lease over, not registered")
			continue
		}
		if c.engine.HasRuns(l.worker.ID) || !c.engine.ReportsComplete() {
			c.Log.Warn().Str("worker", string(l.worker.ID)).Msg("lease of silent worker is over, its runs are given up")
			c.logRunsLost(l, c.engine.RemoveWorker(l.worker.ID), "lease over")
			c.engine.PutWorker(l.listing)
		}
	}
}

// removeEndedWorker forgets a worker that has certainly ended.
func (c *controller) removeEndedWorker(l *workerConn, why string) {
	id := l.worker.ID
	c.Log.Info().Str("worker", string(id)).Str("why", why).Dur("lease_left", l.lease.remaining(c.now())).Msg("worker gone")
	if l.cancel != nil {
		l.cancel()
	}
	delete(c.workerConns, id)
	c.logRunsLost(l, c.engine.RemoveWorker(id), why)
	c.pendingWorkerRows[id] = nil
}

// handleRegistryChange takes in what the register lists.
func (c *controller) handleRegistryChange(change RegistryChange) {
	if change.Full {
		c.registered = make(map[dispatch.WorkerID]dispatch.Worker, len(change.Put))
		for _, w := range change.Put {
			c.registered[w.ID] = w
		}
		for id := range c.workerConns {
			if _, listed := c.registered[id]; !listed {
				c.handleUnregistered(id)
			}
		}
		for id := range c.pendingWorkerRows {
			if _, listed := c.registered[id]; !listed {
				c.handleUnregistered(id)
			}
		}
	}
	for _, w := range change.Put {
		c.registered[w.ID] = w
		c.handleRegistered(w)
	}
	for _, id := range change.Removed {
		delete(c.registered, id)
		c.handleUnregistered(id)
	}
}

func (c *controller) handleRegistered(w dispatch.Worker) {
	l := c.workerConns[w.ID]
	if l == nil {
		c.pendingWorkerRows[w.ID] = &w
		return
	}
	if l.listing.Draining != w.Draining {
		c.Log.Info().Str("worker", string(w.ID)).Bool("draining", w.Draining).Msg("worker state")
	}
	l.listing = w
	l.unregistered = false
	c.engine.PutWorker(w)
}

// handleUnregistered keeps new runs from a worker that the register no longer lists.
func (c *controller) handleUnregistered(id dispatch.WorkerID) {
	if c.pendingWorkerRows[id] != nil {
		delete(c.pendingWorkerRows, id) // not used yet
	}
	l := c.workerConns[id]
	if l == nil || l.unregistered {
		return
	}
	l.unregistered = true
	c.Log.Info().Str("worker", string(id)).Msg("worker no longer registered")
	w := l.listing
	w.Draining = true
	c.engine.PutWorker(w)
}
