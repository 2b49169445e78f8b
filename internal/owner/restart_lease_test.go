package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
)

// leasedWorker is the client of testWorker, which keeps the contract of leases, and of other workers, which start everything. The clock of
// testWorker starts anew with each process. A process takes calls that were meant for an earlier one, unless it has seen a higher token.
type leasedWorker struct {
	WorkerClient
	mu        sync.Mutex
	startedAt time.Time
	maxLease  time.Duration
	slow      bool
	// stopTime is how long the worker takes to end its runs once its lease has ended.
	stopTime time.Duration
	// cutOff leaves all calls unanswered, holdsLost hold calls only, confirmationsLost only those that confirm ends.
	cutOff, holdsLost, confirmationsLost bool
	// confirmationTime is how long a hold call that confirms ends takes.
	confirmationTime time.Duration
	// forgets means that the worker forgets the ends that are confirmed.
	forgets bool
	// stopAnswer leaves stops unanswered until it is closed; nil answers them.
	stopAnswer chan struct{}
	// unnamed means that the worker doesn't name its process, which doesn't restart under its id.
	unnamed bool
	token   uint64
	// leaseEnd is on the clock of the present process.
	leaseEnd time.Duration
	running  map[dispatch.RunKey]bool
	// stopped holds, by task, the highest run that was stopped.
	stopped  map[graph.TaskID]uint64
	lastHold HoldCall
	// holds are the hold calls that were carried out, starts the starts.
	holds  []HoldCall
	starts []StartCall
	// ended are the ends that it lists; it answers at once as long as it has any.
	ended []dispatch.EndedEntry
	// overtake is called for each start, which is refused then, unless it is nil.
	overtake func()
	// unanswered is how many of the next starts get no answer; late are those that got none.
	unanswered int
	late       []StartCall
	// elsewhereAt is when a task was first started on another worker.
	elsewhereAt time.Time
	// ledger holds the progress of jobs as it was recorded.
	ledger map[graph.JobID][]byte
}

// unansweringWorker never answers.
const unansweringWorker dispatch.WorkerID = "unanswering"

func newLeasedWorker(maxLease time.Duration) *leasedWorker {
	return &leasedWorker{startedAt: time.Now().Add(-time.Hour), maxLease: maxLease, running: make(map[dispatch.RunKey]bool), stopped: make(map[graph.TaskID]uint64), ledger: make(map[graph.JobID][]byte)}
}

// recordProgress keeps a job's progress for the next owner.
func (w *leasedWorker) recordProgress(id graph.JobID, progress dispatch.Progress) {
	data, err := json.Marshal(progress)
	if err != nil {
		panic(err)
	}
	w.ledger[id] = data
}

// recordedProgress returns the recorded progress of a job, nil if there is none.
func (w *leasedWorker) recordedProgress(id graph.JobID) *dispatch.Progress {
	if w.ledger[id] == nil {
		return nil
	}
	progress := new(dispatch.Progress)
	if err := json.Unmarshal(w.ledger[id], progress); err != nil {
		panic(err)
	}
	return progress
}

// entry returns the worker's entry in the registry as its present process writes it.
func (w *leasedWorker) entry() dispatch.Worker {
	entry := testWorker
	entry.ProcessStart = w.processStart()
	return entry
}

// processStart returns the start of the present process, 0 if the worker doesn't name it.
func (w *leasedWorker) processStart() time.Duration {
	if w.unnamed {
		return 0
	}
	return time.Duration(w.startedAt.UnixNano())
}

// clock returns the reading of the worker's clock, which is as slow as a worker's may be if slow is set.
func (w *leasedWorker) clock() time.Duration {
	if w.slow {
		return time.Since(w.startedAt) * 98 / 100
	}
	return time.Since(w.startedAt)
}

// restart ends the process. The next one takes the hold call that was under way, and the starts that got no answer.
func (w *leasedWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt = time.Now()
	w.token, w.leaseEnd, w.running, w.stopped = 0, 0, make(map[dispatch.RunKey]bool), make(map[graph.TaskID]uint64)
	w.accept(w.lastHold.Token, w.lastHold.Deadline)
	for _, call := range w.late {
		if w.accept(call.Token, call.Deadline) {
			w.running[call.RunKey] = true
		}
	}
	w.late = nil
}

func (w *leasedWorker) setCutOff(cutOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = cutOff
}

// startedElsewhere returns when a task was first started on another worker, the zero time for never.
func (w *leasedWorker) startedElsewhere() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.elsewhereAt
}

// leaveStartsUnanswered leaves the next n starts unanswered.
func (w *leasedWorker) leaveStartsUnanswered(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unanswered = n
}

// lateStarts returns how many starts got no answer and may be carried out.
func (w *leasedWorker) lateStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.late)
}

// holdCount returns how many hold calls were carried out.
func (w *leasedWorker) holdCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.holds)
}

// hold returns a hold call that was carried out, by its index.
func (w *leasedWorker) hold(i int) HoldCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds[i]
}

// startCalls returns the starts that were carried out.
func (w *leasedWorker) startCalls() []StartCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.starts)
}

// loseConfirmations sets whether hold calls that confirm ends get no answer.
func (w *leasedWorker) loseConfirmations(lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmationsLost = lost
}

// loseHolds sets whether hold calls get no answer.
func (w *leasedWorker) loseHolds(lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holdsLost = lost
}

// overtakeStarts calls overtake for each start from now on, and refuses it since another call was carried out before.
func (w *leasedWorker) overtakeStarts(overtake func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overtake = overtake
}

// listEnd lets the worker list the end, for good.
func (w *leasedWorker) listEnd(end dispatch.EndedEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, end)
}

func (w *leasedWorker) listsEnds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ended) > 0
}

// holdLongestLease extends the lease as a late call does, whose deadline is on the clock of an earlier process.
func (w *leasedWorker) holdLongestLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaseEnd = w.clock() + w.maxLease
}

// noticeLate makes the worker notice the end of its lease late.
func (w *leasedWorker) noticeLate(by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTime += by
}

// accept applies the token and the deadline of a call; false means that it is refused.
func (w *leasedWorker) accept(token uint64, deadline time.Duration) bool {
	if token < w.token {
		return false
	}
	w.token = token
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+w.maxLease))
	return true
}

// runs reports whether the worker runs a task.
func (w *leasedWorker) runs() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) > 0 && w.clock() < w.leaseEnd+w.stopTime
}

func (w *leasedWorker) Hold(ctx context.Context, called dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	if called.Address == otherAddress {
		return dispatch.Report{}, 0, ErrOtherIncarnation
	}
	wait := call.Wait
	if w.listsEnds() {
		wait = 0
	}
	if call.Recorded > 0 {
		wait = max(wait, w.confirmationTime)
	}
	time.Sleep(max(wait, time.Millisecond))
	switch called.ID {
	case testWorker.ID:
	case unansweringWorker:
		return dispatch.Report{}, 0, ErrNoAnswer
	default:
		return dispatch.Report{}, time.Hour, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutOff || w.holdsLost || w.confirmationsLost && call.Recorded > 0 {
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	if !w.accept(call.Token, call.Deadline) {
		return dispatch.Report{}, 0, ErrSuperseded
	}
	w.lastHold = call
	w.holds = append(w.holds, call)
	if w.forgets {
		w.ended = slices.DeleteFunc(w.ended, func(e dispatch.EndedEntry) bool { return e.Sequence <= call.Recorded })
	}
	report := dispatch.Report{ProcessStart: w.processStart(), Ended: w.ended}
	for key := range w.running {
		report.Running = append(report.Running, dispatch.RunningEntry{RunKey: key})
	}
	return report, w.clock(), nil
}

// leaveUnanswered reports whether a start gets no answer.
func (w *leasedWorker) leaveUnanswered(id dispatch.WorkerID, call StartCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if id != testWorker.ID || w.unanswered == 0 {
		return false
	}
	w.unanswered--
	w.late = append(w.late, call)
	return true
}

func (w *leasedWorker) Start(ctx context.Context, called dispatch.Worker, call StartCall) (dispatch.StartOutcome, error) {
	if w.leaveUnanswered(called.ID, call) {
		<-ctx.Done()
		return dispatch.StartInDoubt, ErrNoAnswer
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if called.ID != testWorker.ID {
		if w.elsewhereAt.IsZero() {
			w.elsewhereAt = time.Now()
		}
		return dispatch.Started, nil
	}
	if w.cutOff {
		return dispatch.StartInDoubt, ErrNoAnswer
	}
	if w.overtake != nil {
		w.overtake()
		return dispatch.StartRefused, ErrSuperseded
	}
	if !w.accept(call.Token, call.Deadline) {
		return dispatch.StartRefused, ErrSuperseded
	}
	w.running[call.RunKey] = true
	w.starts = append(w.starts, call)
	return dispatch.Started, nil
}

func (w *leasedWorker) Stop(ctx context.Context, _ dispatch.Worker, key dispatch.RunKey, token uint64) error {
	w.mu.Lock()
	answer := w.stopAnswer
	w.mu.Unlock()
	if answer != nil {
		select {
		case <-answer:
			return nil
		case <-ctx.Done():
			return ErrNoAnswer
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutOff {
		return ErrNoAnswer
	}
	if !w.accept(token, 0) {
		return ErrSuperseded
	}
	delete(w.running, key)
	w.stopped[key.Task] = max(w.stopped[key.Task], key.Number)
	return nil
}

// leaseTest is a task on a worker whose process has restarted under its id, and its owner.
type leaseTest struct {
	*controller
	t      *testing.T
	worker *leasedWorker
	// recorded is the worker's row in the ledger.
	recorded dispatch.Worker
}

// runLeaseTest runs a test of the leases of a worker that grants them for at most maxLease.
func runLeaseTest(t *testing.T, maxLease time.Duration, test func(ctx context.Context, l *leaseTest)) {
	runPreparedLeaseTest(t, maxLease, func(*leasedWorker) {}, test)
}

// runPreparedLeaseTest is runLeaseTest with a worker that prepare changes.
func runPreparedLeaseTest(t *testing.T, maxLease time.Duration, prepare func(*leasedWorker), test func(ctx context.Context, l *leaseTest)) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		worker := newLeasedWorker(maxLease)
		prepare(worker)
		l := &leaseTest{t: t, worker: worker, recorded: worker.entry()}
		l.controller = l.newOwner(ctx)
		l.addWorkerConn(l.recorded, false)
		l.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{l.recorded}})
		runLoop(l.controller, 3*time.Second, func() {})
		test(ctx, l)
	})
}

func (l *leaseTest) newOwner(ctx context.Context) *controller {
	c := newTestController(ctx, l.worker)
	c.MaxLease, c.RunEndTime = l.worker.maxLease, l.worker.stopTime
	c.engine.SetLongestLease(c.longestLease())
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	return c
}

// restartWorker restarts the worker's process, which the owner notices and records.
func (l *leaseTest) restartWorker() {
	l.worker.restart()
	l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
	runLoop(l.controller, 2*holdWait, func() {})
	l.commitWorkerRow()
}

// startTask starts a task on the worker, which is the only one.
func (l *leaseTest) startTask() {
	addOneTask(l.controller, "j")
	runLoop(l.controller, 2*tickInterval, func() {})
	if !l.worker.runs() {
		l.t.Fatal("the worker doesn't run the task")
	}
}

// takeOver ends the owner. The next one knows the worker by its row and its entry in the registry, and another worker.
func (l *leaseTest) takeOver(ctx context.Context, entry dispatch.Worker) {
	l.cancel()
	l.controller = l.newOwner(ctx)
	l.engine.SetNow(l.now())
	l.engine.SetEarlierOrdersUntil(l.now())
	l.tokensGiven[testWorker.ID] = 100 // the tokens of a later epoch
	l.engine.AwaitReport(testWorker.ID, l.recorded.Pool)
	l.addWorkerConn(l.recorded, true)
	l.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{entry}})
	l.addOtherWorker()
	spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}}
	l.engine.AddJob(dispatch.JobInput{ID: "j", Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Spec: spec, ArrivedAt: l.now(), Unconfirmed: true, Progress: l.worker.recordedProgress("j")})
	l.adoptLateStarts()
}

func (l *leaseTest) addOtherWorker() {
	other := testWorker
	other.ID, other.Address = "other", "other"
	l.addWorkerConn(other, false)
}

// expectOneRun checks that the task starts elsewhere once the worker's lease has ended, and not before. The worker has been cut off since.
func (l *leaseTest) expectOneRun(since time.Time, longest time.Duration) {
	l.t.Helper()
	runLoop(l.controller, longest, func() {
		for id := range l.engine.TakeDirty(10) {
			l.engine.ConfirmRecorded(id) // a task doesn't start again before a crash of its worker is recorded
		}
		if !l.worker.startedElsewhere().IsZero() && l.worker.runs() {
			l.t.Fatalf("%s after the cut the task was started elsewhere, while it runs on the worker", time.Since(since))
		}
	})
	if l.worker.startedElsewhere().IsZero() {
		l.t.Errorf("the task has not been started elsewhere %s after the cut", time.Since(since))
	}
}

// longestWait is how long after a restart a task may wait for the longest lease of its worker: the lease on the slowest clock, what an order
// takes to arrive, what a worker takes to end its runs, and the time until the owner has noticed the restart and the end of the lease.
func longestWait(maxLease time.Duration) time.Duration {
	return maxLease*102/100 + earlierOrderMargin + leaseMargin + 2*holdWait + time.Second
}

// Guards against a task running in two places: a hold call that was under way as its worker restarted gave the next process the longest
// lease, but the next owner waited only for the leases that owners give.
func TestNextOwnerAwaitsTheLongestLeaseOfARestartedWorker(t *testing.T) {
	// listed means that the registry lists the present process, reached that the worker answers the next owner before it is cut off.
	for name, test := range map[string]struct{ listed, reached bool }{
		"listed": {true, false}, "reached": {false, true}, "listed and reached": {true, true}, "neither": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
				runLeaseTest(t, maxLease, func(ctx context.Context, l *leaseTest) {
					l.restartWorker()
					l.startTask()
					l.worker.setCutOff(!test.reached)
					since := time.Now()
					entry := l.recorded
					if test.listed {
						entry = l.worker.entry()
					}
					l.takeOver(ctx, entry)
					if test.reached {
						runLoop(l.controller, 500*time.Millisecond, func() {})
						l.worker.setCutOff(true)
					}
					l.expectOneRun(since, longestWait(maxLease))
				})
			}
		})
	}
}

// commitWorkerRow commits the row of testWorker, if one is to be put, and returns it.
func commitWorkerRow(c *controller) (row dispatch.Worker, committed bool) {
	for _, row := range c.takeBatch().Workers {
		if row.ID == testWorker.ID {
			c.handleCommitResult(ledger.Batch{Workers: []dispatch.Worker{row}}, nil, c.now(), nil)
			return row, true
		}
	}
	return dispatch.Worker{}, false
}

// commitWorkerRow commits the worker's row, if one is to be put, and returns it.
func (l *leaseTest) commitWorkerRow() (row dispatch.Worker, committed bool) {
	if row, committed = commitWorkerRow(l.controller); committed {
		l.recorded = row
	}
	return row, committed
}

// Guards against tasks that wait for the longest lease of a worker long after its restart: the next owner must know when it is over. A row that
// is put for another reason must not say so too early.
func TestRestartedProcessIsRecordedOnceItsLongestLeaseIsOver(t *testing.T) {
	const maxLease = 10 * time.Second
	runLeaseTest(t, maxLease, func(ctx context.Context, l *leaseTest) {
		l.restartWorker()
		if !l.recorded.LongestLease || l.recorded.LateCalls || l.recorded.ProcessStart != 0 {
			l.t.Fatalf("the row is %+v after the restart, want the longest lease, no late calls and no process", l.recorded)
		}
		l.startTask()
		if row, committed := l.commitWorkerRow(); committed {
			l.t.Fatalf("the row %+v is put while the worker may hold the longest lease", row)
		}
		draining := l.worker.entry()
		draining.Draining = true
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{draining}})
		if row, committed := l.commitWorkerRow(); !committed || !row.Draining || !row.LongestLease || row.ProcessStart != 0 {
			l.t.Fatalf("the row is %+v (put: %t) when the worker begins to drain, want the longest lease and no process, draining", row, committed)
		}
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
		if row, committed := l.commitWorkerRow(); !committed || row.Draining || !row.LongestLease || row.ProcessStart != 0 {
			l.t.Fatalf("the row is %+v (put: %t) when the worker no longer drains, want the longest lease and no process", row, committed)
		}
		runLoop(l.controller, longestWait(maxLease), func() {})
		row, committed := l.commitWorkerRow()
		if !committed || row.LongestLease || row.ProcessStart != l.worker.entry().ProcessStart {
			l.t.Fatalf("the row is %+v (put: %t) after the longest lease, want that of the present process", row, committed)
		}
		l.worker.setCutOff(true)
		since := time.Now()
		l.takeOver(ctx, l.worker.entry())
		l.expectOneRun(since, leaseDuration*102/100+2*earlierOrderMargin+leaseMargin+time.Second)
	})
}

// Guards against a task running in two places: a worker that was given up without runs comes back under its id, restarted, and may have
// taken calls for its former process. Its new row must not vouch for its leases.
func TestWorkerThatComesBackIsRecordedWithoutItsProcess(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.worker.setCutOff(true)
		l.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{testWorker.ID}})
		runLoop(l.controller, 2*holdWait+holdTimeout, func() {})
		if l.workerConns[testWorker.ID] != nil {
			l.t.Fatal("the worker is still in use")
		}
		l.pendingWorkerRows = make(map[dispatch.WorkerID]*dispatch.Worker) // the removal of its row is committed
		l.worker.restart()
		l.worker.setCutOff(false)
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
		row, committed := l.commitWorkerRow()
		if !committed || row.ProcessStart != 0 || !row.LongestLease {
			l.t.Fatalf("the row is %+v (put: %t), want the longest lease and no process", row, committed)
		}
		runLoop(l.controller, holdWait, func() {})
		l.startTask()
		l.addOtherWorker()
		l.worker.setCutOff(true)
		l.expectOneRun(time.Now(), longestWait(10*time.Second))
	})
}

// Guards against a task running in two places: an owner gave up a worker and removed it from the ledger, so that it counts as new for the next
// one, although it comes back under its id and may take calls of that owner.
func TestNewWorkerSoonAfterATakeoverMayHoldTheLongestLease(t *testing.T) {
	for since, want := range map[time.Duration]bool{time.Second: true, dispatch.MaxCallDelay: false} {
		runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
			l.cancel()
			l.controller = l.newOwner(ctx)
			l.hadEarlierOwner = true
			l.earlierOrdersUntil = l.now().Add(-since)
			l.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{l.worker.entry()}})
			row, committed := l.commitWorkerRow()
			if !committed || row.LongestLease != want || (row.ProcessStart == 0) != want {
				l.t.Errorf("the row is %+v (put: %t) %s after the last order of the earlier owner, want the longest lease: %t", row, committed, since, want)
			}
		})
	}
}

// Guards against a task running in two places: an owner noticed the restart of a worker without runs, and did not count on the longest lease
// that a hold call under way had given the next process.
func TestOwnerAwaitsTheLongestLeaseOfAWorkerThatRestartedWithoutRuns(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.restartWorker()
		l.startTask()
		l.addOtherWorker()
		l.worker.setCutOff(true)
		l.expectOneRun(time.Now(), longestWait(10*time.Second))
	})
}

// Guards against a task running in two places: a hold call for the former process got no answer and reached the next one seconds after the
// registry had told of the restart. From then on that process held the longest lease.
func TestOwnerAwaitsTheLongestLeaseOfALateHoldCall(t *testing.T) {
	for name, test := range map[string]struct{ takeover, dropped bool }{
		"same owner": {}, "same owner, dropped from the registry": {dropped: true}, "next owner": {takeover: true},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
				l.worker.loseHolds(true)
				l.worker.restart()
				l.startTask()
				if test.takeover {
					l.worker.setCutOff(true)
					l.takeOver(ctx, l.worker.entry())
				} else {
					runLoop(l.controller, 2*holdWait, func() {})
					l.worker.setCutOff(true)
					l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
					l.addOtherWorker()
				}
				if test.dropped {
					l.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{testWorker.ID}})
				}
				since := time.Now()
				check := func() {
					if !l.worker.startedElsewhere().IsZero() && l.worker.runs() {
						l.t.Fatalf("%s after the cut the task was started elsewhere, while it runs on the worker", time.Since(since))
					}
				}
				runLoop(l.controller, 8*time.Second, check)
				l.worker.holdLongestLease()
				runLoop(l.controller, dispatch.MaxCallDelay+longestWait(l.worker.maxLease), check)
				if l.worker.startedElsewhere().IsZero() {
					l.t.Errorf("the task has not been started elsewhere %s after the cut", time.Since(since))
				}
			})
		})
	}
}

// Guards against a task running in two places: an owner that had noticed a restart by the registry, and recorded it, was lost before the worker
// answered it. A hold call of its earlier connection reached the worker seconds later; the next owner counted on the longest lease from its start.
func TestNextOwnerAwaitsALateHoldCallToAWorkerWithARecordedRestart(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
		l.worker.loseHolds(true)
		l.worker.restart()
		l.startTask()
		runLoop(l.controller, 2*holdWait, func() {})
		l.worker.setCutOff(true)
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
		if row, committed := l.commitWorkerRow(); !committed || !row.LongestLease || !row.LateCalls {
			l.t.Fatalf("the row is %+v (put: %t), want the longest lease and late calls", row, committed)
		}
		l.takeOver(ctx, l.worker.entry())
		since := time.Now()
		check := func() {
			if !l.worker.startedElsewhere().IsZero() && l.worker.runs() {
				l.t.Fatalf("%s after the cut the task was started elsewhere, while it runs on the worker", time.Since(since))
			}
		}
		runLoop(l.controller, 8*time.Second, check)
		l.worker.holdLongestLease()
		runLoop(l.controller, dispatch.MaxCallDelay+longestWait(l.worker.maxLease), check)
	})
}

// Guards against a task running in two places: a start without an answer was carried out by the worker's next process, which was cut off. The task
// waited until the start could not be carried out any more, and not until its run had ended with the longest lease.
func TestHeldTaskWaitsForTheLeaseOfALateStart(t *testing.T) {
	for name, listed := range map[string]bool{"restart not known": false, "restart listed": true} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				l.worker.leaveStartsUnanswered(1)
				addOneTask(l.controller, "j")
				ordered := time.Now()
				runLoop(l.controller, 8*time.Second, func() {})
				l.addOtherWorker()
				l.worker.restart()
				l.worker.setCutOff(true)
				if !l.worker.runs() {
					l.t.Fatal("the next process doesn't run the task")
				}
				if listed {
					runLoop(l.controller, 3*holdWait, func() {})
					l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
				}
				runLoop(l.controller, dispatch.MaxCallDelay+longestWait(l.worker.maxLease), func() {
					if !l.worker.startedElsewhere().IsZero() && l.worker.runs() {
						l.t.Fatalf("%s after its first start the task was started elsewhere, while it runs on the worker", time.Since(ordered))
					}
				})
				if l.worker.startedElsewhere().IsZero() {
					l.t.Error("the task has not been started elsewhere")
				}
			})
		})
	}
}

// Guards against tasks on a restarted process that no ledger row tells of: the next owner would not know of its longest lease.
func TestRestartedWorkerGetsNoRunsBeforeItsRestartIsRecorded(t *testing.T) {
	// committing means that a row which vouches for the process is being committed when it restarts.
	for name, committing := range map[string]bool{"calm": false, "during a commit": true} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				if committing {
					l.restartWorker()
					l.committing = true
				}
				l.worker.restart()
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
				runLoop(l.controller, 2*holdWait, func() {})
				addOneTask(l.controller, "j")
				runLoop(l.controller, time.Second, func() {})
				if l.worker.runs() {
					l.t.Fatal("the worker runs the task before its restart is recorded")
				}
				if committing {
					vouching := l.recorded
					vouching.ProcessStart, vouching.LongestLease = 1, false
					l.handleCommitResult(ledger.Batch{Workers: []dispatch.Worker{vouching}}, nil, l.now(), nil)
					runLoop(l.controller, time.Second, func() {})
					if l.worker.runs() {
						l.t.Fatal("the worker runs the task while the ledger vouches for its earlier process")
					}
				}
				if row, committed := l.commitWorkerRow(); !committed || !row.LongestLease {
					l.t.Fatalf("the row is %+v (put: %t), want the longest lease", row, committed)
				}
				runLoop(l.controller, time.Second, func() {})
				if !l.worker.runs() {
					l.t.Error("the worker doesn't run the task once its restart is recorded")
				}
			})
		})
	}
}

// Guards against the lease of a worker that doesn't answer expiring again at each tick while the report of another one is awaited for longer.
func TestLeaseExpiresOnceWhileAnotherReportIsAwaited(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
		l.restartWorker()
		l.worker.setCutOff(true)
		l.takeOver(ctx, l.worker.entry())
		var lines bytes.Buffer
		l.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
		silent := testWorker
		silent.ID = unansweringWorker
		l.engine.AwaitReport(silent.ID, silent.Pool)
		l.addWorkerConn(silent, true)
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{silent}})
		runLoop(l.controller, 9*time.Second, func() {})
		if l.engine.ReportsComplete() {
			l.t.Fatal("no report is awaited after 9 s, want that of the restarted worker")
		}
		if n := strings.Count(lines.String(), "lease of unresponsive worker expired"); n != 1 {
			l.t.Errorf("the lease of the other worker expires %d times, want once", n)
		}
	})
}

// permittingPolicy permits every worker.
type permittingPolicy struct{}

func (permittingPolicy) RequestPermits(_ context.Context, _ dispatch.StepID, workers []dispatch.WorkerID) (PermitAnswer, error) {
	answer := PermitAnswer{Tickets: make(map[dispatch.WorkerID]string), ValidFor: time.Hour}
	for _, id := range workers {
		answer.Tickets[id] = "t"
	}
	return answer, nil
}

// addLongRunningTask adds a task that starts again at once when its run has ended. permit is set if it needs a permit, which both workers get.
func (l *leaseTest) addLongRunningTask(permit *graph.PermitLatency) {
	spec := &graph.Spec{Steps: []graph.Step{{Count: 1, LongRunning: true, Claim: graph.Resources{MilliCPU: 1}}}}
	queue := graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1, Permit: permit}
	l.engine.AddJob(dispatch.JobInput{ID: "j", Queue: queue, Spec: spec, ArrivedAt: l.now()})
	if permit != nil {
		l.PolicyService = permittingPolicy{}
		l.engine.HandlePermits(dispatch.StepID{Job: "j"}, []dispatch.WorkerID{testWorker.ID, "other"}, map[dispatch.WorkerID]string{testWorker.ID: "t", "other": "t"}, time.Hour, true)
	}
}

// Guards against a task running in two places: a start without a permit was sent twice and answered once, and the next process of its worker
// carried out the other attempt after the run was done.
func TestStartWithoutPermitIsSentOnceToAWorkerThatMayRestart(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.worker.leaveStartsUnanswered(1)
		l.addLongRunningTask(nil)
		ordered := time.Now()
		runLoop(l.controller, time.Second, func() {})
		l.addOtherWorker()
		runLoop(l.controller, dispatch.MaxCallDelay/2, func() {})
		if l.worker.runs() || l.worker.lateStarts() != 1 {
			l.t.Fatalf("the worker runs the task: %t, %d attempts without an answer, want one and no other", l.worker.runs(), l.worker.lateStarts())
		}
		l.worker.restart()
		runLoop(l.controller, dispatch.MaxCallDelay, func() {
			if !l.worker.startedElsewhere().IsZero() && l.worker.runs() {
				l.t.Fatalf("the task was started elsewhere %s after the first order, while it runs on the worker", l.worker.startedElsewhere().Sub(ordered))
			}
		})
		if l.worker.startedElsewhere().IsZero() && !l.worker.runs() {
			l.t.Error("the task has not been started again")
		}
	})
}

// Guards against a task running in two places: a start was sent twice and answered once, and the next process of its worker carried out the
// other attempt. A long-running task starts again at once.
func TestAttemptOfAStartInDoubtIsStoppedOnTheNextProcess(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.worker.leaveStartsUnanswered(1)
		l.addLongRunningTask(&graph.PermitLatency{})
		runLoop(l.controller, 3*holdWait, func() {})
		if !l.worker.runs() || l.worker.lateStarts() != 1 {
			l.t.Fatalf("the worker runs the task: %t, %d attempts without an answer, want one", l.worker.runs(), l.worker.lateStarts())
		}
		l.addOtherWorker()
		l.worker.restart()
		runLoop(l.controller, 4*holdWait, func() {
			if !l.worker.startedElsewhere().IsZero() && l.worker.runs() {
				l.t.Fatal("the task was started elsewhere, while it runs on the worker")
			}
		})
		if l.worker.startedElsewhere().IsZero() && !l.worker.runs() {
			l.t.Error("the task has not been started again")
		}
	})
}

// Guards against a start that is carried out late, after its run has ended for the owner, leaving no trace in the log.
func TestUnknownRunsAreLogged(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.restartWorker()
		l.startTask()
		var lines bytes.Buffer
		l.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
		report := dispatch.Report{ProcessStart: l.worker.entry().ProcessStart}
		for key := range l.worker.running {
			late := key
			late.Number++
			report.Running = append(report.Running, dispatch.RunningEntry{RunKey: key}, dispatch.RunningEntry{RunKey: late})
		}
		l.handleReport(l.workerConns[testWorker.ID], l.now(), report)
		if n := strings.Count(lines.String(), "worker lists an unknown run"); n != 1 {
			l.t.Errorf("%d unknown runs are logged, want one of %+v", n, report.Running)
		}
	})
}

// Guards against a task running in two places: a start of an earlier owner got no answer, and the worker's next process carried it out after the
// former one had told the next owner that it runs nothing.
func TestNextOwnerAwaitsLateStartsOfTheEarlierOne(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
		l.worker.leaveStartsUnanswered(1)
		addOneTask(l.controller, "j")
		runLoop(l.controller, 2*tickInterval, func() {})
		if l.worker.lateStarts() != 1 {
			l.t.Fatalf("%d starts without an answer, want 1", l.worker.lateStarts())
		}
		l.takeOver(ctx, l.worker.entry())
		l.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{testWorker.ID}}) // the next run is one of the other worker
		runLoop(l.controller, 3*holdWait, func() {})
		l.worker.lastHold = HoldCall{} // the next process gets the start first
		l.worker.restart()
		if !l.worker.startedElsewhere().IsZero() && l.worker.runs() {
			l.t.Error("the task was started elsewhere, and the earlier owner's start is carried out by the worker's next process")
		}
	})
}

// Guards against a task that never runs again, or only after the longest lease of a worker that answers: the next owner awaits a start of the
// earlier one that is never carried out.
func TestTaskRunsOnceALateStartOfTheEarlierOwnerIsOver(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
		l.worker.leaveStartsUnanswered(1)
		addOneTask(l.controller, "j")
		runLoop(l.controller, 2*tickInterval, func() {})
		l.takeOver(ctx, l.worker.entry())
		took := time.Now()
		if l.workerConns[testWorker.ID].beginHold(5, holdWait).Recorded != 0 {
			l.t.Error("a hold call confirms ends while a start of the earlier owner may be carried out")
		}
		runLoop(l.controller, dispatch.MaxCallDelay+3*holdWait, func() {
			if started := !l.worker.startedElsewhere().IsZero() || l.worker.runs(); started && time.Since(took) < dispatch.MaxCallDelay {
				l.t.Fatalf("the task runs %s after the takeover", time.Since(took))
			}
		})
		if l.worker.startedElsewhere().IsZero() && !l.worker.runs() {
			l.t.Errorf("the task doesn't run %s after the takeover", time.Since(took))
		}
	})
}

// Guards against a task running in two places: others may write a later start of its process over the entry of a worker that is cut off and
// runs on.
func TestLaterStartInTheRegistryEndsNoRunOfACutOffWorker(t *testing.T) {
	// after is when the entry is written, from the cut, lasts how long until the worker's own is back, and how long until it is written again.
	for name, test := range map[string]struct{ after, lasts time.Duration }{
		"at once": {time.Millisecond, time.Minute}, "once calls fail": {2500 * time.Millisecond, 1500 * time.Millisecond}, "again and again": {time.Second, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				l.startTask()
				l.addOtherWorker()
				runLoop(l.controller, 2*holdWait, func() {}) // the worker lists the run
				l.worker.setCutOff(true)
				since := time.Now()
				later := l.worker.entry()
				later.ProcessStart += time.Hour
				for _, change := range []struct {
					at    time.Duration
					entry dispatch.Worker
				}{{test.after, later}, {test.after + test.lasts, l.worker.entry()}, {test.after + 2*test.lasts, later}} {
					time.AfterFunc(change.at, func() {
						l.post(func() { l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{change.entry}}) })
					})
				}
				l.expectOneRun(since, longestWait(leaseDuration))
				if reports := l.engine.TakeCrashReports(); len(reports) > 0 {
					l.t.Errorf("%d crashes counted by an entry, want none: %+v", len(reports), reports)
				}
			})
		})
	}
}
