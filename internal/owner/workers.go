package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
)

// Timing of hold calls.
const (
	// holdWait is how long a worker may wait for a run to end before it answers a hold call.
	holdWait = 1200 * time.Millisecond
	// holdWaitAfterLoss is used instead while answers get lost, or while it is open whether a run is over: the owner learns of an end only from
	// the next call.
	holdWaitAfterLoss = 300 * time.Millisecond
	// lossPeriod is how long after a lost answer more are expected to be lost.
	lossPeriod = 4 * time.Second
	// holdTimeout bounds a hold call beyond its wait while answers come fast.
	holdTimeout = 800 * time.Millisecond
	// lossyHoldTimeout is used instead while answers of many workers get lost.
	lossyHoldTimeout = 250 * time.Millisecond
	// maxLossyHolds bounds the hold calls of all workers, per second, while answers get lost: half of what an owner with most
	// of a core sends in all.
	maxLossyHolds = 1200
	// holdRetryDelay is the delay after a hold call without an answer.
	holdRetryDelay = 150 * time.Millisecond
	// commitWait is how long the hold loop waits until the reported ends are recorded in the ledger. After that it sends the
	// next call without a wait, so that the worker's lease is extended while the store is down.
	commitWait = 300 * time.Millisecond
)

// workerConn is the owner's connection to one worker: it extends the worker's lease, fetches its reports and sends it orders.
type workerConn struct {
	controller *controller
	// worker never changes; calls go to its address, and its runs are of jobs of its pool. A later owner finds it by the same.
	worker dispatch.Worker
	lease  workerLease
	// fencingToken is that of the next call on this connection. It is higher than those of earlier connections to the worker, so that its
	// process refuses calls of before its start once it has answered one of this connection. The control loop raises it.
	fencingToken  atomic.Uint64
	confirmations confirmations
	// aliveSentAt is when the last hold call was sent that the process answered which has reported, a monotime.Instant; 0 before the first.
	aliveSentAt atomic.Int64
	// tokensUsedUp means that starts can't raise the token any more. Only the control loop uses it.
	tokensUsedUp bool
	// unsettled are shared by all connections to the worker, also after it was given up.
	unsettled *unsettledStarts
	cancel    context.CancelFunc
	// listing is the worker's last entry in the registry. Only the control loop uses listing and the fields down to
	// unregistered.
	listing dispatch.Worker
	// laterStartListedAt is when an entry was read that names a later start of the worker's process than its reports; 0 if there was none, or if
	// the process has answered since.
	laterStartListedAt monotime.Instant
	// unresponsive means that the last hold call failed; unnamed means that its report named no process although earlier ones did.
	unresponsive, unnamed bool
	// replaced means that the worker's process has ended and another connection has taken this one's place.
	replaced atomic.Bool
	// processStart is that of the first report. The hold loop sets it before the worker's clock is known, without which no start is sent.
	processStart atomic.Int64
	// reportedStart is the same for the control loop; aliveAt is when the last hold call was sent that the process answered.
	reportedStart time.Duration
	aliveAt       monotime.Instant
	// reported means that the worker has answered a hold call of this connection.
	reported bool
	// recordedStart is the start of the worker's process in the ledger, 0 if it is not known. All leases of that process were extended on its
	// own clock. Another one may hold the longest lease until longestLeaseUntil; after that its start is recorded. Before that
	// recordedLongestLease means that the ledger tells a later owner of it, recordedLateCalls that the process has not answered as far as the
	// ledger tells, and restartUnrecorded that the ledger does not tell of the restart yet: the worker gets no new runs then.
	recordedStart                           time.Duration
	recordedLongestLease, recordedLateCalls bool
	restartUnrecorded                       bool
	longestLeaseUntil                       monotime.Instant
	// earlierCallsUntil is when no call of an earlier connection can be carried out any more, unless the worker answers this one before.
	earlierCallsUntil monotime.Instant
	// unregistered means that the registry does not list the worker as it is used, or has not been read yet, unregisteredAt since when.
	unregistered   bool
	unregisteredAt monotime.Instant
	// recordedDraining means that the ledger records the worker as draining, or may soon: it gets no new runs until a row that does
	// not is committed, since a later owner relies on it.
	recordedDraining bool
	// places are the calls that the worker may get at once. A connection that replaces this one has the same: calls of this one may still be
	// under way.
	places *flowcontrol.Server
	// ordersCtx ends when the worker is removed or its process has ended: orders that wait are not sent then.
	ordersCtx    context.Context
	cancelOrders context.CancelFunc
	// queuedStarts and queuedStops are the orders without an outcome. Only the control loop uses them.
	queuedStarts, queuedStops map[dispatch.RunKey]*queuedOrder

	mu sync.Mutex
	// recordedSequence is the sequence up to which the worker's ends are recorded; recordedAdvanced signals that it grew.
	recordedSequence uint64
	recordedAdvanced chan struct{}
	// leaseHeldBack means that the lease must not be extended.
	leaseHeldBack atomic.Bool
	// starts counts the starts ordered. idle means that the last report listed no run and that none was ordered since its call;
	// only the hold loop uses idle.
	starts atomic.Uint64
	idle   bool
	// answeredUnnamed means that the last report named no process; only the hold loop uses it.
	answeredUnnamed bool
	// unconfirmed counts the last reports in a row that listed ends which could not be confirmed; only the hold loop uses it. The worker answers at
	// once as long as it has any.
	unconfirmed int
	// awaitsReport means that further reports are to tell whether a run is over.
	awaitsReport atomic.Bool
	// answerTime follows the worker's answers to orders.
	answerTime flowcontrol.AnswerTime
}

// addWorkerConn starts to use a worker. usedBefore means that an earlier owner may have started tasks on it; w is then what that owner
// recorded, and the worker gets no new runs until the registry tells its capacity and whether it drains.
func (c *controller) addWorkerConn(w dispatch.Worker, usedBefore bool) {
	if c.workerConns[w.ID] != nil {
		return
	}
	wc := c.newWorkerConn(w, flowcontrol.NewServer())
	wc.listing = w
	wc.setRecordedRow(w)
	c.workerConns[w.ID] = wc
	if usedBefore {
		from, length := c.earlierOrdersUntil, c.workerLeaseDuration()
		if w.LongestLease {
			length = c.MaxLease
		}
		if !w.LongestLease || w.LateCalls {
			wc.earlierCallsUntil = c.earlierOrdersUntil.Add(dispatch.MaxCallDelay)
		}
		if w.LateCalls {
			from = wc.earlierCallsUntil
		}
		wc.lease.extendUntil(from.Add(monotime.OnSlowestClock(length)+earlierOrderMargin), leaseOfEarlierOwner)
		wc.unregistered = true
		c.putWithoutNewRuns(w)
	} else {
		c.engine.PutWorker(w)
	}
	wc.startHoldLoop()
}

// newWorkerConn returns a connection to a worker that may get as many calls at once as places has.
func (c *controller) newWorkerConn(w dispatch.Worker, places *flowcontrol.Server) *workerConn {
	wc := &workerConn{
		controller: c, worker: w, recordedAdvanced: make(chan struct{}, 1), places: places, unsettled: c.unsettledStarts(w.ID),
		queuedStarts: make(map[dispatch.RunKey]*queuedOrder), queuedStops: make(map[dispatch.RunKey]*queuedOrder),
	}
	wc.lease.endMargin = c.runEndMargin()
	wc.fencingToken.Store(c.nextFencingToken(w.ID))
	wc.ordersCtx, wc.cancelOrders = context.WithCancel(c.ctx)
	return wc
}

// nextFencingToken returns the fencing token of a new connection to a worker: the owner's epoch, plus one for each earlier connection.
func (c *controller) nextFencingToken(id dispatch.WorkerID) uint64 {
	n := c.tokensGiven[id]
	if n < ledger.EpochStride-1 {
		c.tokensGiven[id] = n + 1
	}
	return c.ownership.Epoch() + n
}

// target returns the worker as the connection's calls name it: by the process that has reported on it, or by any before the first report.
func (wc *workerConn) target() dispatch.Worker {
	w := wc.worker
	w.ProcessStart = time.Duration(wc.processStart.Load())
	return w
}

func (wc *workerConn) startHoldLoop() {
	ctx, cancel := context.WithCancel(wc.controller.ctx)
	wc.cancel = cancel
	go wc.runHoldLoop(ctx)
}

// setRecorded sets the sequence up to which the worker's ends are recorded, unless a higher one is set.
func (wc *workerConn) setRecorded(sequence uint64) {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	if sequence <= wc.recordedSequence {
		return
	}
	wc.recordedSequence = sequence
	select {
	case wc.recordedAdvanced <- struct{}{}:
	default:
	}
}

// recorded returns the sequence up to which the worker's ends are recorded.
func (wc *workerConn) recorded() uint64 {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	return wc.recordedSequence
}

// runHoldLoop sends hold calls to the worker until ctx ends.
func (wc *workerConn) runHoldLoop(ctx context.Context) {
	wait := time.Duration(0)
	var lostAt monotime.Instant
	// While the worker doesn't answer, calls don't extend its lease: the lease of a worker that has ended would never expire.
	answering := false
	for ctx.Err() == nil {
		last, err := wc.hold(ctx, wait, answering)
		if errors.Is(err, errRestarted) {
			wc.controller.post(func() { wc.controller.replaceWorkerConn(wc, wc.aliveAt, processRestarted) })
			return
		}
		answering = err == nil // a process that refuses the call since it carried out a later one may be the next one
		if errors.Is(err, errOvertaken) {
			wait = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			lostAt = wc.controller.now()
			wc.controller.post(func() { wc.controller.handleHoldFailure(wc, err) })
			if !errors.Is(err, errAnswerLost) {
				monotime.Sleep(ctx, holdRetryDelay)
			}
			wait = 0
			continue
		}
		wait = wc.nextHoldWait(lostAt, wc.controller.now())
		if !wc.awaitRecorded(ctx, last) {
			wait = 0
		}
		wc.awaitSettled(ctx)
		if wc.unconfirmed > 1 && wc.unsettled.any() { // the first one has settled the starts before it, as a rule
			monotime.Sleep(ctx, wc.unconfirmedDelay())
		}
	}
}

// nextHoldWait returns the wait of the next hold call. lostAt is when the last answer of the worker was lost, 0 for never. A hold
// call whose answer gets lost hides the ends of all runs on its worker until the next one. While answers of many workers get lost,
// the calls to those with runs are therefore short.
func (wc *workerConn) nextHoldWait(lostAt, now monotime.Instant) time.Duration {
	if lostAt > 0 && now.Sub(lostAt) < lossPeriod || wc.awaitsReport.Load() {
		return holdWaitAfterLoss
	}
	c := wc.controller
	if wc.idle || !c.holdLosses.Likely(now) {
		return holdWait
	}
	workers := time.Duration(c.workersInUse.Load())
	return min(holdWait, max(holdWaitAfterLoss, workers*time.Second/maxLossyHolds))
}

// logLosses logs when answers of many workers begin to get lost and when they no longer do.
func (c *controller) logLosses() {
	if likely := c.holdLosses.Likely(c.now()); likely != c.lossesLogged {
		c.lossesLogged = likely
		c.Log.Warn().Bool("likely", likely).Msg("lost answers of workers")
	}
}

// holdTimeout returns how long a hold call may take beyond its wait.
func (c *controller) holdTimeout(now monotime.Instant) time.Duration {
	if c.holdLosses.Likely(now) {
		return max(lossyHoldTimeout, c.gate.RepeatDelay(0, 0))
	}
	return max(holdTimeout, c.gate.Timeout())
}

// awaitRecorded waits for commitWait at most until the ends up to last are recorded, and reports whether they are.
func (wc *workerConn) awaitRecorded(ctx context.Context, last uint64) bool {
	timer := time.NewTimer(commitWait)
	defer timer.Stop()
	for wc.recorded() < last {
		select {
		case <-wc.recordedAdvanced:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// hold sends one hold call, which extends the worker's lease if extend is set, and returns the sequence of the last end that the
// worker has reported.
func (wc *workerConn) hold(ctx context.Context, wait time.Duration, extend bool) (uint64, error) {
	sentAt := wc.controller.now()
	timeout := wait + wc.controller.holdTimeout(sentAt)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startsBefore := wc.starts.Load()
	recorded := uint64(0)
	if extend {
		// Otherwise the process may have restarted since the last answer. Its ends count from 1 again and must not pass for recorded.
		recorded = wc.recorded()
	}
	call := wc.beginHold(recorded, wait)
	if extend && wc.controller.ownershipValid() && !wc.leaseHeldBack.Load() {
		if deadline, ok := wc.lease.extend(sentAt, wc.controller.workerLeaseDuration()); ok {
			call.Deadline = deadline
		}
	}
	wc.controller.instruments.holds.Inc()
	report, clock, err := wc.controller.Workers.Hold(ctx, wc.target(), call)
	answeredAt := wc.controller.now()
	err = wc.overtakenError(err, call.Token)
	wc.confirmations.end(sentAt, err)
	if errors.Is(err, errOvertaken) {
		return 0, err
	}
	lost := err != nil && !errors.Is(err, ErrNoConnection) && answeredAt.Sub(sentAt) >= timeout
	if extend {
		wc.controller.holdLosses.Observe(answeredAt, lost)
	}
	if errors.Is(err, ErrOtherProcess) {
		return 0, errRestarted
	}
	if err != nil {
		wc.controller.instruments.holdFailures.Inc()
		if lost && extend && wc.controller.holdLosses.Likely(answeredAt) {
			return 0, fmt.Errorf("%w: %w", errAnswerLost, err)
		}
		return 0, err
	}
	known := time.Duration(wc.processStart.Load())
	if known != 0 && report.ProcessStart == 0 {
		return 0, errUnnamedProcess
	}
	if wc.answeredUnnamed && report.ProcessStart != 0 {
		return 0, errRestarted
	}
	wc.answeredUnnamed = report.ProcessStart == 0
	wc.idle = len(report.Running) == 0 && wc.starts.Load() == startsBefore
	if call.Recorded == 0 && recorded > 0 && len(report.Ended) > 0 && report.Ended[0].Sequence <= recorded {
		wc.unconfirmed++
	} else {
		wc.unconfirmed = 0
	}
	if known != 0 && report.ProcessStart != known {
		if call.Recorded > 0 {
			wc.logConfirmedToAnother(call, report, answeredAt.Sub(sentAt))
		}
		return 0, errRestarted
	}
	wc.processStart.Store(int64(report.ProcessStart))
	wc.aliveSentAt.Store(int64(sentAt))
	wc.unsettled.settle(sentAt)
	wc.lease.observeClock(clock, answeredAt)
	last := call.Recorded
	for _, e := range report.Ended {
		last = max(last, e.Sequence)
	}
	wc.controller.post(func() { wc.controller.handleReport(wc, sentAt, report) })
	return last, nil
}

// errAnswerLost means that a worker that had answered before gave no answer while those of many workers get lost.
var errAnswerLost = errors.New("owner: answer lost")

// errUnnamedProcess means that a report doesn't say which process it is of although earlier ones did. It may be of any.
var errUnnamedProcess = fmt.Errorf("%w: the report names no process", ErrNoAnswer)

// logConfirmedToAnother logs a hold call that confirmed ends of a process and was answered by the next one, which has forgotten its own ends up to
// the same sequence.
func (wc *workerConn) logConfirmedToAnother(call HoldCall, report dispatch.Report, took time.Duration) {
	line := wc.controller.Log.Warn().Str("worker", string(wc.worker.ID)).Uint64("confirming", call.Recorded).Uint64("token", call.Token).Dur("took", took)
	line.Int64("process_start", report.ProcessStart.Milliseconds()).Int("running", len(report.Running)).Int("ended", len(report.Ended)).Msg("ends confirmed to another process of the worker")
}

// errRestarted means that the worker's process is not the one that answered before.
var errRestarted = errors.New("owner: the worker's process has restarted")

// workerLeaseDuration returns the length of the leases that workers get.
func (c *controller) workerLeaseDuration() time.Duration { return min(leaseDuration, c.MaxLease) }

// logLease adds to a log line how long the worker may still run what it has, and what that rests on.
func (wc *workerConn) logLease(entry *log.Entry) *log.Entry {
	return entry.Dur("lease_left", wc.lease.remaining(wc.controller.now())).Str("lease_basis", string(wc.lease.latestEndBasis()))
}

// logStarts adds to a log line which start of the worker's process the ledger records, and which one the worker has reported; 0 for none.
func (wc *workerConn) logStarts(entry *log.Entry) *log.Entry {
	return entry.Int64("recorded_start", wc.recordedStart.Milliseconds()).Int64("process_start", wc.reportedStart.Milliseconds())
}

// handleReport handles the report of a worker that was requested at sentAt.
func (c *controller) handleReport(wc *workerConn, sentAt monotime.Instant, report dispatch.Report) {
	if c.workerConns[wc.worker.ID] != wc {
		return
	}
	wc.aliveAt = sentAt
	if sentAt > wc.laterStartListedAt {
		wc.laterStartListedAt = 0
	}
	if wc.reported || c.tokensGiven[wc.worker.ID] > 1 { // the first report lists the runs of earlier owners
		c.logUnknownRuns(wc, report)
	}
	if !wc.reported || wc.reportedStart != report.ProcessStart {
		c.handleReportedStart(wc, report.ProcessStart)
	}
	if wc.unresponsive {
		wc.unresponsive = false
		c.Log.Info().Str("worker", string(wc.worker.ID)).Msg("worker answers again")
	}
	for _, r := range report.Running {
		wc.unsettled.remove(r.RunKey)
	}
	for _, e := range report.Ended {
		wc.unsettled.remove(e.RunKey)
		c.Log.Info().Str("job", string(e.Task.Job)).Str("task", e.Task.String()).Uint64("run", e.Number).Str("worker", string(wc.worker.ID)).Str("end", e.End.String()).Msg("run ended")
		wc.withdrawStop(e.RunKey)
	}
	c.handleRunsLost(wc, c.engine.HandleReport(wc.worker.ID, sentAt, report), notReported)
	wc.awaitsReport.Store(c.engine.AwaitsReport(wc.worker.ID))
}

// handleReportedStart handles the start of the worker's process in the first report on a connection. Up to then the process may have carried
// out calls of earlier connections, also those for an earlier process.
func (c *controller) handleReportedStart(wc *workerConn, start time.Duration) {
	wc.reported, wc.reportedStart = true, start
	if start != wc.recordedStart {
		c.awaitLongestLease(wc)
		wc.logStarts(wc.logLease(c.Log.Info().Str("worker", string(wc.worker.ID)))).Msg("worker runs another process than recorded")
		if wc.recordedStart != 0 || wc.recordedLateCalls {
			c.recordRestart(wc)
		}
	}
	c.putListing(wc)
}

// logUnknownRuns logs the runs that a worker lists and that this owner doesn't know, or no longer: their starts were carried out late.
func (c *controller) logUnknownRuns(wc *workerConn, report dispatch.Report) {
	for _, entry := range report.Running {
		if c.engine.HasRun(wc.worker.ID, entry.RunKey) {
			continue
		}
		c.instruments.runsUnknown.Inc()
		line := c.Log.Warn().Str("job", string(entry.Task.Job)).Str("task", entry.Task.String()).Uint64("run", entry.Number).Str("worker", string(wc.worker.ID))
		line.Int64("process_start", report.ProcessStart.Milliseconds()).Msg("worker lists an unknown run")
	}
}

// handleHoldFailure handles a hold call that failed or got no answer.
func (c *controller) handleHoldFailure(wc *workerConn, err error) {
	if c.workerConns[wc.worker.ID] != wc {
		return
	}
	if errors.Is(err, ErrSuperseded) {
		c.loseOwnership("worker has seen a higher epoch")
		return
	}
	if !wc.unresponsive {
		wc.unresponsive = true
		c.Log.Warn().Str("worker", string(wc.worker.ID)).Err(err).Msg("worker does not answer")
	}
	wc.unnamed = errors.Is(err, errUnnamedProcess)
	c.engine.SetReachable(wc.worker.ID, false)
	if errors.Is(err, ErrOtherIncarnation) && c.wasCalledAtItsAddress(wc) {
		c.removeEndedWorker(wc, wc.endUnlessDraining(dispatch.WorkerCrashed), otherIncarnation)
		return
	}
	c.recordPossibleRestart(wc)
}

// wasCalledAtItsAddress reports whether the address of a worker's connection is the worker's, as far as is known: a refusal as another incarnation
// proves that the worker has ended only then. An earlier owner may have recorded an address that others had written to the registry.
func (c *controller) wasCalledAtItsAddress(wc *workerConn) bool {
	if listed, ok := c.registered[wc.worker.ID]; ok {
		return listed.Address == wc.worker.Address
	}
	return wc.reported || c.registryRead
}

// replaceWorkerConn gives up the runs of a worker whose process, last known to live at aliveAt, has certainly ended, and connects anew: its
// next process runs under its id. Only an answer of that process proves it. The worker's entry in the registry doesn't, since others may
// have written it, nor do connections that are refused or reset: a firewall refuses them too, while the worker runs on.
func (c *controller) replaceWorkerConn(wc *workerConn, aliveAt monotime.Instant, why giveUpReason) {
	id := wc.worker.ID
	if c.workerConns[id] != wc {
		return
	}
	wc.logEvidence(c.Log.Info().Str("worker", string(id)), why).Msg("worker process ended")
	c.instruments.processesEnded.Inc()
	c.connectAnew(wc, aliveAt, dispatch.WorkerCrashed, why)
}

// connectAnew gives up the runs of the process that a connection is to, which was last known to live at aliveAt, and replaces the connection:
// another process may run under the worker's id.
func (c *controller) connectAnew(wc *workerConn, aliveAt monotime.Instant, end dispatch.WorkerEnd, why giveUpReason) {
	id := wc.worker.ID
	wc.replaced.Store(true)
	wc.cancel()
	wc.cancelOrders()
	c.handleRunsLost(wc, c.engine.HandleRestart(id, wc.endUnlessDraining(end), aliveAt), why)
	c.dropSequences(id)
	next := c.newWorkerConn(wc.worker, wc.places)
	next.listing, next.unresponsive = wc.listing, wc.unresponsive
	next.unregistered, next.unregisteredAt = wc.unregistered, wc.unregisteredAt
	next.recordedDraining, next.recordedStart = wc.recordedDraining, wc.recordedStart
	next.recordedLongestLease, next.recordedLateCalls, next.restartUnrecorded = wc.recordedLongestLease, wc.recordedLateCalls, wc.restartUnrecorded
	next.lease.extendUntil(c.now().Add(wc.lease.remaining(c.now())), wc.lease.latestEndBasis())
	next.earlierCallsUntil = wc.lease.lastExtension().Add(dispatch.MaxCallDelay)
	if !wc.reported {
		next.earlierCallsUntil = max(next.earlierCallsUntil, wc.earlierCallsUntil)
	}
	c.awaitLongestLease(next)
	c.workerConns[id] = next
	c.recordRestart(next)
	c.putListing(next)
	next.startHoldLoop()
}

// dropSequences drops the sequences of ends that are being recorded of a worker's process which has ended, or may have: those of the next one under
// its id begin anew.
func (c *controller) dropSequences(id dispatch.WorkerID) {
	if c.committing {
		c.restartedDuringCommit[id] = struct{}{}
	}
	if c.endsBarrier != nil {
		delete(c.endsBarrier.sequences, id)
	}
}

// awaitLongestLease counts a worker's lease as the longest one. The present process of a worker that has restarted may carry out calls for an
// earlier one until it answers a call of this connection, and none after that. Their deadlines are on the earlier clock, and it never shortens
// a lease.
func (c *controller) awaitLongestLease(wc *workerConn) {
	from := c.now()
	if !wc.reported {
		from = max(from, wc.earlierCallsUntil)
	}
	wc.longestLeaseUntil = from.Add(monotime.OnSlowestClock(c.MaxLease) + earlierOrderMargin)
	if wc.reported {
		wc.lease.endsUntil(wc.longestLeaseUntil, leaseAfterRestart)
		return
	}
	wc.lease.extendUntil(wc.longestLeaseUntil, leaseAfterRestart)
}

// lateCallsUntil returns when no call of an earlier connection can be carried out any more, of this owner or of an earlier one: a process that
// begins after that holds no lease by one.
func (c *controller) lateCallsUntil(wc *workerConn) monotime.Instant {
	if !c.hadEarlierOwner {
		return wc.earlierCallsUntil
	}
	return max(wc.earlierCallsUntil, c.earlierOrdersUntil.Add(dispatch.MaxCallDelay))
}

// recordRestart records that a worker's process is not, or may not be, the one in the ledger. Until that is committed the worker gets no
// new runs: a later owner that hears of the restart from neither the worker nor the registry would count on too short a lease for them.
func (c *controller) recordRestart(wc *workerConn) {
	_, pending := c.pendingWorkerRows[wc.worker.ID]
	told := wc.recordedLongestLease && !c.committing && !pending
	if told && wc.recordedLateCalls == wc.mayCarryOutLateCalls() {
		return
	}
	if !told && !wc.restartUnrecorded {
		wc.restartUnrecorded = true
		wc.logStarts(c.Log.Info().Str("worker", string(wc.worker.ID))).Msg("restarted worker gets no runs until its restart is recorded")
	}
	c.pendingWorkerRows[wc.worker.ID] = wc.row(wc.listing)
}

// recordPossibleRestart is recordRestart for a worker that may have restarted, unless the ledger tells of it. A commit under way that vouches for the
// process again is followed by another call.
func (c *controller) recordPossibleRestart(wc *workerConn) {
	_, pending := c.pendingWorkerRows[wc.worker.ID]
	if !wc.mayHaveRestarted() || wc.recordedLongestLease && wc.recordedLateCalls && !pending {
		return
	}
	c.recordRestart(wc)
}

// isNamedBy reports whether an entry in the registry names the worker as it is used. One that doesn't is another writer's, or that of a later
// process that started elsewhere.
func (wc *workerConn) isNamedBy(entry dispatch.Worker) bool {
	return entry.Address == wc.worker.Address && entry.Pool == wc.worker.Pool
}

// mayCarryOutLateCalls reports whether calls of earlier connections may still be carried out: the worker's present process has not answered on
// this one, as far as is known.
func (wc *workerConn) mayCarryOutLateCalls() bool { return !wc.reported || wc.mayHaveRestarted() }

// row returns the row of the worker with the given entry in the registry. It vouches for no other process than the ledger does.
func (wc *workerConn) row(w dispatch.Worker) *dispatch.Worker {
	w.ProcessStart, w.LongestLease, w.LateCalls = wc.recordedStart, false, false
	if wc.restartUnrecorded || wc.recordedLongestLease {
		w.ProcessStart, w.LongestLease, w.LateCalls = 0, true, wc.mayCarryOutLateCalls()
	}
	return &w
}

// setRecordedRow notes what the ledger says of the worker.
func (wc *workerConn) setRecordedRow(row dispatch.Worker) {
	wc.recordedDraining, wc.recordedStart = row.Draining, row.ProcessStart
	wc.recordedLongestLease, wc.recordedLateCalls = row.LongestLease, row.LateCalls
	wc.restartUnrecorded = wc.restartUnrecorded && !row.LongestLease
}

// recordStarts records the processes of workers that no longer hold a longest lease, so that a later owner doesn't await it.
func (c *controller) recordStarts() {
	if c.committing {
		return
	}
	now := c.now()
	for id, wc := range c.workerConns {
		if !wc.reported || wc.reportedStart == wc.recordedStart || wc.unresponsive || wc.recordedDraining || now < wc.longestLeaseUntil {
			continue
		}
		if _, pending := c.pendingWorkerRows[id]; !pending {
			row := wc.worker
			row.Draining, row.ProcessStart, row.LongestLease, row.LateCalls = false, wc.reportedStart, false, false
			c.pendingWorkerRows[id] = &row
		}
	}
}

// expireLeases gives up the runs of unresponsive workers whose lease has expired. A missing entry in the registry doesn't prove
// that a worker has ended: the registry also drops workers whose heartbeats don't reach it, and those may run on. One without runs is
// removed without a wait, since a later owner would await its report until the longest lease has expired.
func (c *controller) expireLeases() {
	now := c.now()
	for _, wc := range c.workerConns {
		if c.startedElsewhere(wc) && !c.mayTellOfRuns(wc) {
			c.removeEndedWorker(wc, wc.endUnlessDraining(dispatch.WorkerSilent), listedElsewhere)
			continue
		}
		if !wc.unresponsive {
			continue
		}
		if wc.unregistered && !c.mayTellOfRuns(wc) {
			c.removeEndedWorker(wc, wc.endUnlessDraining(dispatch.WorkerSilent), unregisteredWithoutRuns)
			continue
		}
		if !wc.lease.expired(now) {
			continue
		}
		if _, listed := c.registered[wc.worker.ID]; !listed && !wc.mayHaveRestarted() {
			c.removeEndedWorker(wc, wc.endUnlessDraining(dispatch.WorkerSilent), leaseOverUnregistered)
			continue
		}
		if wc.unnamed && !c.engine.HasRuns(wc.worker.ID) {
			c.connectAnew(wc, wc.aliveAt, dispatch.WorkerSilent, leaseOver) // its next process may be one that names no start
			continue
		}
		if c.engine.HasRuns(wc.worker.ID) {
			wc.logEvidence(c.Log.Warn().Str("worker", string(wc.worker.ID)), leaseOver).Msg("lease of unresponsive worker expired, its runs are given up")
			if wc.mayHaveRestarted() {
				c.connectAnew(wc, wc.aliveAt, dispatch.WorkerSilent, leaseOver) // runs that the next process may have go on
				continue
			}
			c.handleRunsLost(wc, c.engine.RemoveWorker(wc.worker.ID, wc.endUnlessDraining(dispatch.WorkerSilent)), leaseOver)
			c.putListing(wc)
		}
	}
}

// mayTellOfRuns reports whether a later owner would have to hear the worker: it has, or may have, runs, or it has reported ends that are not
// recorded yet.
func (c *controller) mayTellOfRuns(wc *workerConn) bool {
	return c.engine.HasRuns(wc.worker.ID) || c.engine.HasUnconfirmedEnds(wc.worker.ID)
}

// elsewhereDelay is how long a worker that answers must be listed elsewhere to be used there: several heartbeats, with each of which it writes its
// entry again over another writer's. Each move costs two commits, and fencing tokens, of which an owner has few for a worker.
const elsewhereDelay = 10 * time.Second

// startedElsewhere reports whether the process that answers the worker's calls lists itself with another address or pool, and goes on to.
func (c *controller) startedElsewhere(wc *workerConn) bool {
	if !wc.unregistered || !wc.reported || c.since(wc.unregisteredAt) < elsewhereDelay {
		return false
	}
	listed, ok := c.registered[wc.worker.ID]
	return ok && !wc.isNamedBy(listed) && listed.ProcessStart == wc.reportedStart
}

// holdBackLeases stops extending the leases of workers that can't be got to stop a run whose job has ended, and extends the others'
// again.
func (c *controller) holdBackLeases() {
	overdue := c.engine.WorkersWithOverdueStops()
	for id, wc := range c.workerConns {
		_, holdBack := overdue[id]
		if wc.leaseHeldBack.Swap(holdBack) != holdBack {
			wc.logLease(c.Log.Warn().Str("worker", string(id)).Bool("held_back", holdBack)).Msg("extension of a worker's lease")
		}
	}
}

// endUnlessDraining returns how a worker has ended: as planned if it had said that it leaves, else as given.
func (wc *workerConn) endUnlessDraining(end dispatch.WorkerEnd) dispatch.WorkerEnd {
	if wc.listing.Draining {
		return dispatch.WorkerLeft
	}
	return end
}

// removeEndedWorker removes a worker that has certainly ended, and its row from the ledger.
func (c *controller) removeEndedWorker(wc *workerConn, end dispatch.WorkerEnd, why giveUpReason) {
	id := wc.worker.ID
	wc.logEvidence(c.Log.Info().Str("worker", string(id)).Str("end", end.String()), why).Msg("worker gone")
	if wc.cancel != nil {
		wc.cancel()
	}
	wc.cancelOrders()
	delete(c.workerConns, id)
	c.dropSequences(id)
	if end != dispatch.WorkerSilent {
		c.instruments.processesEnded.Inc()
	}
	c.handleRunsLost(wc, c.engine.RemoveWorker(id, end), why)
	c.pendingWorkerRows[id] = nil
	if listed, ok := c.registered[id]; ok && !wc.isNamedBy(listed) {
		c.handleRegistered(listed)
	}
}

// handleRegistryChange applies a change of the worker registry.
func (c *controller) handleRegistryChange(change RegistryChange) {
	if change.Full {
		c.registryRead = true
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
		c.handleEntry(w)
	}
	for _, id := range change.Removed {
		delete(c.registered, id)
		c.handleUnregistered(id)
	}
}

// handleEntry handles a worker's entry in the registry. To a worker in use one that names another address or pool is as good as none: its
// calls, its runs and its row go by the former ones until it has no runs.
func (c *controller) handleEntry(w dispatch.Worker) {
	if wc := c.workerConns[w.ID]; wc != nil && !wc.isNamedBy(w) {
		c.handleUnregistered(w.ID)
		return
	}
	c.handleRegistered(w)
}

// handleRegistered updates a worker from its entry in the registry. A new worker is used once its row is committed, so that a
// later owner awaits its report.
func (c *controller) handleRegistered(w dispatch.Worker) {
	if w.Draining {
		c.engine.HandleLeaving(w.ID, w.Address)
	}
	wc := c.workerConns[w.ID]
	if wc == nil {
		row := w
		if w.ProcessStart != 0 && c.earlierCallsMayArrive(w.ID) {
			row.ProcessStart, row.LongestLease, row.LateCalls = 0, true, true
		}
		c.pendingWorkerRows[w.ID] = &row
		return
	}
	if !wc.reported && w.ProcessStart > max(wc.recordedStart, wc.listing.ProcessStart) && c.now() < c.lateCallsUntil(wc) {
		c.awaitLongestLease(wc)
		if wc.recordedStart != 0 {
			c.recordRestart(wc)
		}
	}
	if wc.listing.Draining != w.Draining {
		c.Log.Info().Str("worker", string(w.ID)).Bool("draining", w.Draining).Msg("worker state")
	}
	wc.listing = w
	wc.unregistered = false
	if w.Draining != wc.recordedDraining {
		wc.recordedDraining = true
		c.pendingWorkerRows[w.ID] = wc.row(w)
	}
	if wc.listsLaterStart() {
		wc.laterStartListedAt = c.now()
		go wc.confirmRestart(wc.reportedStart, wc.aliveAt)
	}
	c.recordPossibleRestart(wc)
	c.putListing(wc)
}

// earlierCallsMayArrive reports whether calls for an earlier process of a worker that is not in use may be under way: of this owner, or of
// an earlier one, which may have removed the worker from the ledger.
func (c *controller) earlierCallsMayArrive(id dispatch.WorkerID) bool {
	return c.tokensGiven[id] > 0 || c.hadEarlierOwner && c.now() < c.earlierOrdersUntil.Add(dispatch.MaxCallDelay)
}

// listsLaterStart reports whether the worker's entry in the registry names a later start of its process than its reports. Others may have
// written the entry: it keeps new runs from the worker, and ends none.
func (wc *workerConn) listsLaterStart() bool {
	return !wc.unregistered && wc.reportedStart != 0 && wc.listing.ProcessStart > wc.reportedStart
}

// mayHaveRestarted reports whether another process may run under the worker's id that can't be asked: its lease may be the longest.
func (wc *workerConn) mayHaveRestarted() bool { return wc.unresponsive && wc.laterStartListedAt > 0 }

// confirmRestart asks the worker at once whether its process has restarted since the given start. The hold call under way may wait on a
// connection of the ended process.
func (wc *workerConn) confirmRestart(start time.Duration, aliveAt monotime.Instant) {
	c := wc.controller
	ctx, cancel := context.WithTimeout(c.ctx, c.holdTimeout(c.now()))
	defer cancel()
	c.instruments.holds.Inc()
	report, _, err := c.Workers.Hold(ctx, wc.target(), HoldCall{Token: wc.fencingToken.Load()})
	if err != nil && !errors.Is(err, ErrOtherProcess) {
		c.instruments.holdFailures.Inc()
		return // the hold loop finds out
	}
	if err != nil || report.ProcessStart != 0 && report.ProcessStart != start {
		c.post(func() { c.replaceWorkerConn(wc, aliveAt, processRestarted) })
	}
}

// putListing updates a worker in the engine by its entry in the registry. An entry that an earlier process wrote says nothing of the
// capacity and the labels that the worker has now: it gets no new runs until its present process has written one. The same holds for an
// entry of a process that has not reported yet.
func (c *controller) putListing(wc *workerConn) {
	outdated := wc.listing.ProcessStart != 0 && wc.listing.ProcessStart < wc.reportedStart
	if wc.unregistered || outdated || wc.listsLaterStart() || wc.recordedDraining || wc.restartUnrecorded {
		c.putWithoutNewRuns(wc.listing)
		return
	}
	c.engine.PutWorker(wc.listing)
}

// handleUnregistered keeps new runs from a worker that the registry no longer lists.
func (c *controller) handleUnregistered(id dispatch.WorkerID) {
	wc := c.workerConns[id]
	if c.pendingWorkerRows[id] != nil && (wc == nil || !wc.restartUnrecorded) {
		delete(c.pendingWorkerRows, id) // the worker is not in use yet, or was to be recorded as draining
	}
	if wc == nil || wc.unregistered {
		return
	}
	wc.unregistered, wc.unregisteredAt = true, c.now()
	c.Log.Info().Str("worker", string(id)).Msg("worker no longer registered")
	c.putWithoutNewRuns(wc.listing)
}

// putWithoutNewRuns adds or updates a worker in the engine that the registry does not list.
func (c *controller) putWithoutNewRuns(w dispatch.Worker) {
	w.Draining = true
	c.engine.PutWorker(w)
}
