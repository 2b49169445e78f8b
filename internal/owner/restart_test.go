package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
)

// restartingClient is the client of one worker whose process ends and starts again under the worker's id.
type restartingClient struct {
	WorkerClient
	mu           sync.Mutex
	processStart time.Duration
	listening    bool
	ended        []dispatch.EndedEntry
	holds        []HoldCall
}

func (f *restartingClient) set(processStart time.Duration, listening bool, ended ...dispatch.EndedEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processStart, f.listening, f.ended = processStart, listening, ended
}

func (f *restartingClient) Start(context.Context, dispatch.Worker, StartCall) (dispatch.StartOutcome, error) {
	return dispatch.Started, nil
}

func (f *restartingClient) Stop(context.Context, dispatch.Worker, dispatch.RunKey, uint64) error {
	return nil
}

func (f *restartingClient) Hold(_ context.Context, _ dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	time.Sleep(max(call.Wait, time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds = append(f.holds, call)
	if !f.listening {
		return dispatch.Report{}, 0, errRefused
	}
	return dispatch.Report{ProcessStart: f.processStart, Ended: slices.Clone(f.ended)}, time.Minute, nil
}

// holdCalls returns the hold calls so far.
func (f *restartingClient) holdCalls() []HoldCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.holds)
}

// runHoldTest runs a test of hold calls in virtual time, with a context that ends with it.
func runHoldTest(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(2 * holdWait) // the last hold call ends
		}()
		test(ctx, t)
	})
}

func newRestartFixture(ctx context.Context, client *restartingClient) *controller {
	c := newTestController(ctx, client)
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	c.addWorkerConn(testWorker, true)
	c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
	runLoop(c, 3*time.Second, func() {})
	return c
}

// A worker restarts under its id between two hold calls. The recorded sequence of its earlier process must not let the new one
// forget ends that nobody has recorded, also not by way of a commit that was under way.
func TestRecordedSequenceEndsWithTheProcess(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{processStart: time.Second, listening: true}
		c := newRestartFixture(ctx, client)
		c.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 40})
		runLoop(c, 3*time.Second, func() {})
		c.committing = true
		client.set(2*time.Second, true)
		runLoop(c, 3*time.Second, func() {})
		c.handleCommitResult(ledger.Batch{}, map[dispatch.WorkerID]uint64{testWorker.ID: 41}, c.now(), nil)
		runLoop(c, 3*time.Second, func() {})
		if got := c.workerConns[testWorker.ID].recorded(); got != 0 {
			t.Errorf("sequence %d counts as recorded after the restart, want 0", got)
		}
		holds := client.holdCalls()
		if last := holds[len(holds)-1]; last.Recorded != 0 {
			t.Errorf("the last hold call confirms the sequence %d, want 0", last.Recorded)
		}
	})
}

// Guards against a task that runs again after it was done: a report that names no process made the connection forget which one it had heard,
// so that the next process passed for it, and forgot ends that only the one before had had recorded.
func TestReportThatNamesNoProcessHidesNoRestart(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{processStart: time.Second, listening: true}
		c := newRestartFixture(ctx, client)
		former := c.workerConns[testWorker.ID]
		c.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 40})
		client.set(0, true)
		runLoop(c, 2*holdWait, func() {})
		client.set(2*time.Second, true)
		restartedAt := len(client.holds)
		runLoop(c, 4*holdWait, func() {})
		if c.workerConns[testWorker.ID] == former {
			t.Error("the connection to the former process is still used")
		}
		for i, call := range client.holds[restartedAt+1:] {
			if call.Recorded != 0 {
				t.Fatalf("hold call %d after the restart confirms the sequence %d, want 0", i+1, call.Recorded)
			}
		}
	})
}

// namelessWorker is a leasedWorker whose reports name no process while nameless is set.
type namelessWorker struct {
	*leasedWorker
	nameless atomic.Bool
}

func (w *namelessWorker) Hold(ctx context.Context, called dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	report, clock, err := w.leasedWorker.Hold(ctx, called, call)
	if w.nameless.Load() {
		report.ProcessStart = 0
	}
	return report, clock, err
}

// Guards against a task running in two places: a report that names no process passed for one of another process than the one that runs the task.
func TestReportThatNamesNoProcessEndsNoRuns(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		worker := &namelessWorker{leasedWorker: newLeasedWorker(6 * time.Second)}
		c := newTestController(ctx, worker)
		c.MaxLease = worker.maxLease
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addWorkerConn(worker.entry(), false)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{worker.entry()}})
		runLoop(c, 3*time.Second, func() {})
		addOneTask(c, "j")
		runLoop(c, 2*holdWait, func() {})
		if !worker.runs() {
			t.Fatal("the worker doesn't run the task")
		}
		worker.nameless.Store(true)
		runLoop(c, longestWait(c.MaxLease), func() {
			if worker.runs() && !c.engine.HasRuns(testWorker.ID) {
				t.Fatal("the run is given up while it goes on")
			}
		})
	})
}

// A hold call that follows a failed one may meet a new process. It must not confirm ends of the earlier one.
func TestHoldAfterAFailureConfirmsNothing(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{processStart: time.Second, listening: true}
		c := newRestartFixture(ctx, client)
		c.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 40})
		runLoop(c, 3*time.Second, func() {})
		failedFrom := len(client.holdCalls())
		client.set(time.Second, false)
		runLoop(c, 2*time.Second, func() {})
		for i, call := range client.holdCalls()[failedFrom+1:] {
			if call.Recorded != 0 {
				t.Fatalf("hold call %d after the first failure confirms the sequence %d, want 0", i, call.Recorded)
			}
		}
	})
}

// Guards against a new owner taking a worker of the earlier owner for ended because its address refuses connections: it may only be cut
// off and run on. Its jobs wait until its lease has certainly expired, and no longer.
func TestRefusingWorkerIsAwaitedUntilItsLeaseExpires(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{listening: false}
		c := newTestController(ctx, client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.engine.AwaitReport(testWorker.ID, testWorker.Pool)
		c.addWorkerConn(testWorker, true)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		expiresAt := c.now().Add(c.workerConns[testWorker.ID].lease.remaining(c.now()))
		runLoop(c, expiresAt.Sub(c.now())-2*tickInterval, func() {})
		if c.engine.ReportsComplete() {
			t.Error("the report of a worker that may run tasks is not awaited")
		}
		runLoop(c, 4*tickInterval, func() {})
		if !c.engine.ReportsComplete() {
			t.Error("the report of a worker is awaited although its lease has expired")
		}
	})
}

// rebornWorker is the client of testWorker, which keeps the contract of fencing and of confirmed ends and whose process restarts under the
// worker's id, and of other workers, which start everything and end nothing. A confirmed sequence also covers ends that are yet to come.
type rebornWorker struct {
	WorkerClient
	mu           sync.Mutex
	processStart time.Duration
	// down leaves all calls unanswered, hanging only hold calls.
	down, hanging bool
	token         uint64
	confirmed     uint64
	running       map[dispatch.RunKey]bool
	ended         []dispatch.EndedEntry
	lastHold      HoldCall
	// lastConfirming is the last hold call that confirmed ends.
	lastConfirming HoldCall
	starts         []StartCall
}

// newRebornFixture returns an owner with the worker, whose present process the registry lists.
func newRebornFixture(ctx context.Context) (*controller, *rebornWorker) {
	worker := &rebornWorker{processStart: time.Minute, running: make(map[dispatch.RunKey]bool)}
	c := newTestController(ctx, worker)
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	c.addWorkerConn(testWorker, true)
	c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{worker.entry()}})
	return c, worker
}

// entry returns the worker's entry in the registry as its present process writes it.
func (w *rebornWorker) entry() dispatch.Worker {
	entry := testWorker
	entry.ProcessStart = w.processStart
	return entry
}

// restart ends the process and starts the next one.
func (w *rebornWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processStart += time.Minute
	w.token, w.confirmed, w.running, w.ended = 0, 0, make(map[dispatch.RunKey]bool), nil
}

func (w *rebornWorker) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

func (w *rebornWorker) setHanging(hanging bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hanging = hanging
}

// endRun ends a run as done.
func (w *rebornWorker) endRun(key dispatch.RunKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, key)
	w.ended = append(w.ended, dispatch.EndedEntry{Sequence: uint64(len(w.ended)) + 1, RunKey: key, End: dispatch.RunDone})
}

// accept applies the fencing token of a call; false means that the call is refused.
func (w *rebornWorker) accept(token uint64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

func (w *rebornWorker) Hold(ctx context.Context, called dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	time.Sleep(max(call.Wait, time.Millisecond))
	if called.ID != testWorker.ID {
		return dispatch.Report{}, time.Minute, nil
	}
	w.mu.Lock()
	if w.hanging {
		w.mu.Unlock()
		<-ctx.Done()
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	defer w.mu.Unlock()
	if w.down {
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	if !w.accept(call.Token) {
		return dispatch.Report{}, 0, ErrSuperseded
	}
	w.lastHold = call
	if call.Recorded > 0 {
		w.lastConfirming = call
	}
	w.confirmed = max(w.confirmed, call.Recorded)
	report := dispatch.Report{ProcessStart: w.processStart}
	for key := range w.running {
		report.Running = append(report.Running, dispatch.RunningEntry{RunKey: key})
	}
	for _, e := range w.ended {
		if e.Sequence > w.confirmed {
			report.Ended = append(report.Ended, e)
		}
	}
	return report, time.Minute, nil
}

func (w *rebornWorker) Start(_ context.Context, called dispatch.Worker, call StartCall) (dispatch.StartOutcome, error) {
	if called.ID != testWorker.ID {
		return dispatch.Started, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(call.Token) {
		return dispatch.StartRefused, ErrSuperseded
	}
	w.running[call.RunKey] = true
	w.starts = append(w.starts, call)
	return dispatch.Started, nil
}

func (w *rebornWorker) Stop(context.Context, dispatch.Worker, dispatch.RunKey, uint64) error {
	return nil
}

// Guards against a task that is done being run again: a hold call of before a worker's restart, carried out late by the next process
// under its id, made that forget its own first ends.
func TestHoldOfBeforeARestartConfirmsNothingLater(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c, worker := newRebornFixture(ctx)
		runLoop(c, 3*time.Second, func() {})
		c.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 40})
		runLoop(c, 3*time.Second, func() {})
		held := worker.lastConfirming
		if held.Recorded != 40 {
			t.Fatalf("the worker was told of %d recorded ends, want 40", held.Recorded)
		}
		worker.setDown(true)
		runLoop(c, 3*time.Second, func() {})
		worker.restart()
		worker.setDown(false)
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{worker.entry()}})
		runLoop(c, 3*time.Second, func() {})
		commitWorkerRow(c)
		addOneTask(c, "j")
		runLoop(c, 3*time.Second, func() {})
		if len(worker.starts) != 1 {
			t.Fatalf("%d starts on the restarted worker, want 1", len(worker.starts))
		}
		_, _, _ = worker.Hold(ctx, testWorker, held)
		worker.endRun(worker.starts[0].RunKey)
		runLoop(c, 5*time.Second, func() {})
		if stats := c.engine.Stats(); stats.Done != 1 || stats.Starts != 1 {
			t.Errorf("%d runs heard to be done, %d starts, want 1 each", stats.Done, stats.Starts)
		}
	})
}

// Guards against a restarted worker being filled by the capacity of its earlier process: another kind of worker may run under its id.
func TestEntryOfAnEarlierProcessGivesNoCapacity(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c, worker := newRebornFixture(ctx)
		runLoop(c, 3*time.Second, func() {})
		worker.restart()
		runLoop(c, 3*time.Second, func() {})
		commitWorkerRow(c)
		addOneTask(c, "j")
		runLoop(c, 3*time.Second, func() {})
		if len(worker.starts) != 0 {
			t.Fatalf("%d starts by the entry of the earlier process, want none", len(worker.starts))
		}
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{worker.entry()}})
		runLoop(c, time.Second, func() {})
		if len(worker.starts) != 1 {
			t.Errorf("%d starts once the present process is listed, want 1", len(worker.starts))
		}
	})
}

// Guards against a task that runs twice, and against runs that are waited for without end: an entry that names a later start of the process of a
// worker that doesn't answer ends its runs neither before its lease is over nor after.
func TestLaterStartInTheRegistryEndsRunsWithTheLease(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c, worker := newRebornFixture(ctx)
		addOneTask(c, "j")
		runLoop(c, 3*time.Second, func() {})
		worker.setDown(true)
		runLoop(c, 100*time.Millisecond, func() {})
		worker.restart()
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{worker.entry()}})
		left := c.workerConns[testWorker.ID].lease.remaining(c.now())
		runLoop(c, left-tickInterval, func() {
			if !c.engine.HasRuns(testWorker.ID) {
				t.Fatal("the run was given up while the worker's lease ran on")
			}
		})
		runLoop(c, 3*tickInterval, func() {})
		if c.engine.HasRuns(testWorker.ID) {
			t.Error("the run is still counted, although the worker's lease is over")
		}
	})
}

// Guards against runs of an ended process that are waited for until their lease is over, or the next hold call answered: the worker doesn't answer,
// and the registry lists its next process as soon as that can be reached.
func TestRestartListedWhileTheWorkerDoesNotAnswerIsConfirmedAtOnce(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c, worker := newRebornFixture(ctx)
		addOneTask(c, "j")
		runLoop(c, 3*time.Second, func() {})
		worker.setDown(true)
		runLoop(c, 2*holdWait, func() {})
		if !c.workerConns[testWorker.ID].unresponsive {
			t.Fatal("the worker answers")
		}
		worker.restart()
		worker.setDown(false)
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{worker.entry()}})
		lost := c.instruments.runsLost.Get()
		runLoop(c, 20*time.Millisecond, func() {})
		if c.instruments.runsLost.Get() == lost {
			t.Error("the run of the ended process is still counted")
		}
	})
}

// Guards against a task that runs twice: others may write a later start of its process over the entry of a worker that runs on.
func TestLaterStartInTheRegistryIsConfirmedByAWorkerThatAnswers(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c, worker := newRebornFixture(ctx)
		addOneTask(c, "j")
		runLoop(c, 3*time.Second, func() {})
		entry := worker.entry()
		entry.ProcessStart += time.Millisecond
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{entry}})
		addOneTask(c, "other")
		runLoop(c, 3*holdWait, func() {
			if !c.engine.HasRuns(testWorker.ID) {
				t.Fatal("the run of a process that answers was given up")
			}
		})
		if len(worker.starts) != 1 {
			t.Errorf("%d starts by an entry that the worker has not confirmed, want the one before", len(worker.starts))
		}
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{worker.entry()}})
		runLoop(c, time.Second, func() {})
		if len(worker.starts) != 2 {
			t.Errorf("%d starts once the worker's own entry is back, want 2", len(worker.starts))
		}
	})
}

// Guards against runs of an ended process that are waited for until the hold call under way ends: its connection may have gone silent.
func TestRestartListedInTheRegistryIsConfirmedAtOnce(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c, worker := newRebornFixture(ctx)
		addOneTask(c, "j")
		runLoop(c, 3*time.Second, func() {})
		worker.restart()
		c.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{worker.entry()}})
		lost := c.instruments.runsLost.Get()
		runLoop(c, 50*time.Millisecond, func() {})
		if c.instruments.runsLost.Get() == lost {
			t.Error("the run of the ended process is still counted")
		}
	})
}

// Guards against a task running in two places: a start in doubt that the next process of its worker carries out late has a deadline on
// the clock of the ended one, which may lie far ahead on the new clock.
func TestStartInDoubtIsWaitedForAfterARestart(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c := newTestController(ctx, &rebornWorker{processStart: time.Minute, running: make(map[dispatch.RunKey]bool)})
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addWorkerConn(testWorker, false)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		c.engine.SetReachable(testWorker.ID, true)
		addOneTask(c, "j")
		c.engine.Plan(0)
		c.replaceWorkerConn(c.workerConns[testWorker.ID], 0, "its process has restarted")
		if left := c.workerConns[testWorker.ID].lease.remaining(c.now()); left < c.MaxLease {
			t.Errorf("the start in doubt is waited for %s, want at least the longest lease, %s", left, c.MaxLease)
		}
	})
}

// Guards against a task that is done being run again: its run was started on the next process of a worker, before the owner noticed the
// restart by the end of a hold call on a connection that had gone silent.
func TestRunsOfTheNextProcessOutliveTheRestart(t *testing.T) {
	for _, ended := range []bool{true, false} {
		t.Run(fmt.Sprint("ended ", ended), func(t *testing.T) {
			runHoldTest(t, func(ctx context.Context, t *testing.T) {
				c, worker := newRebornFixture(ctx)
				runLoop(c, 3*time.Second, func() {})
				worker.setHanging(true)
				worker.restart()
				addOneTask(c, "j")
				runLoop(c, 200*time.Millisecond, func() {})
				if len(worker.starts) != 1 {
					t.Fatalf("%d starts before the restart is noticed, want 1", len(worker.starts))
				}
				other := testWorker
				other.ID = "other"
				c.addWorkerConn(other, false)
				if ended {
					worker.endRun(worker.starts[0].RunKey)
				}
				runLoop(c, 4*time.Second, func() {})
				worker.setHanging(false)
				runLoop(c, 4*time.Second, func() {})
				stats := c.engine.Stats()
				if stats.Starts != 1 || stats.Done != map[bool]uint64{true: 1}[ended] || c.engine.HasRuns(testWorker.ID) == ended {
					t.Errorf("%d starts, %d runs heard to be done, want one start", stats.Starts, stats.Done)
				}
			})
		})
	}
}

// Guards against a worker that stays without new runs for good: its next process names no start of itself, as one of an older version.
func TestWorkerWhoseNextProcessNamesNoStartIsUsedAgain(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{processStart: time.Second, listening: true}
		c := newRestartFixture(ctx, client)
		client.set(0, true)
		runLoop(c, longestWait(leaseDuration), func() { commitWorkerRow(c) })
		addOneTask(c, "j")
		runLoop(c, 2*tickInterval, func() {})
		if wc := c.workerConns[testWorker.ID]; wc == nil || wc.unresponsive || !c.engine.HasRuns(testWorker.ID) {
			t.Errorf("the worker, which has answered each call for %s, is not used", longestWait(leaseDuration))
		}
	})
}

// Guards against a task that runs again after it was done: under a backlog the sequences of a worker's ends were recorded after the worker had been
// given up and was in use again under its id, and its next process was made to forget as many of its own ends.
func TestRecordedSequencesOfAWorkerThatWasGivenUpConfirmNothingLater(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.endsBarrier = &endsBarrier{sequences: map[dispatch.WorkerID]uint64{testWorker.ID: 40}, waiting: map[graph.JobID]struct{}{"j": {}}}
		l.removeEndedWorker(l.workerConns[testWorker.ID], dispatch.WorkerSilent, leaseOverUnregistered)
		l.worker.restart()
		l.addWorkerConn(l.worker.entry(), false)
		l.noteRecorded(ledger.Batch{Progress: map[graph.JobID]dispatch.Progress{"j": {}}}, nil)
		if recorded := l.workerConns[testWorker.ID].recorded(); recorded != 0 {
			l.t.Errorf("ends of the next process up to %d count as recorded, want none", recorded)
		}
	})
}
