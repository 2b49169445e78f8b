package owner

import (
	"context"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/ledger"
)

// Guards against a later owner that counts on too short a lease: the registry told this owner of a restart before the worker had answered it,
// and no row told of that.
func TestRestartThatTheRegistryListsIsRecordedBeforeTheWorkerAnswers(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
		l.worker.restart()
		l.worker.setCutOff(true)
		l.takeOver(ctx, l.worker.entry())
		if row, committed := l.commitWorkerRow(); !committed || !row.LongestLease || !row.LateCalls || row.ProcessStart != 0 {
			l.t.Errorf("the row is %+v (put: %t), want the longest lease, late calls and no process", row, committed)
		}
	})
}

// Guards against a restart that is never recorded: the registry dropped the worker before the row that tells of its restart was committed.
func TestRestartOfAWorkerThatIsUnregisteredIsRecorded(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.worker.restart()
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
		runLoop(l.controller, 2*holdWait, func() {})
		l.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{testWorker.ID}})
		if row, committed := l.commitWorkerRow(); !committed || !row.LongestLease {
			l.t.Errorf("the row is %+v (put: %t), want the longest lease", row, committed)
		}
	})
}

// Guards against a lease that is counted as over too early: a worker's connection was replaced before the worker had answered on it, and calls
// of still earlier connections might be carried out late.
func TestCallsOfEarlierConnectionsAreAwaitedAfterAnUnansweredOne(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
		l.worker.setCutOff(true)
		l.takeOver(ctx, l.recorded)
		wc := l.workerConns[testWorker.ID]
		until := wc.earlierCallsUntil
		l.replaceWorkerConn(wc, l.now(), processRestarted)
		if next := l.workerConns[testWorker.ID]; until <= l.now() || next.earlierCallsUntil < until {
			l.t.Errorf("earlier calls are awaited until %d after %d before, at %d", next.earlierCallsUntil, until, l.now())
		}
	})
}

// Guards against a task that runs again after it was done: a start had got no answer when its worker's connection was replaced, and a hold call
// of the next connection confirmed ends.
func TestHoldOfTheNextConnectionConfirmsNoEndsWhileAStartMayBeCarriedOutLate(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		wc := l.workerConns[testWorker.ID]
		wc.prepareStart(dispatch.Start{RunKey: dispatch.RunKey{Number: 1}, Once: true})
		l.replaceWorkerConn(wc, l.now(), processRestarted)
		if call := l.workerConns[testWorker.ID].beginHold(5, holdWait); call.Recorded != 0 {
			l.t.Errorf("a hold call confirms ends up to %d, want none", call.Recorded)
		}
	})
}

// Guards against a task that runs again after it was done: a start had got no answer when its worker was given up, the worker came back under its
// id, and a hold call of its new connection confirmed ends.
func TestHoldOfAWorkerThatComesBackConfirmsNoEndsWhileAStartMayBeCarriedOutLate(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		wc := l.workerConns[testWorker.ID]
		wc.prepareStart(dispatch.Start{RunKey: dispatch.RunKey{Number: 1}, Once: true})
		l.removeEndedWorker(wc, dispatch.WorkerSilent, leaseOverUnregistered)
		l.addWorkerConn(l.worker.entry(), false)
		if call := l.workerConns[testWorker.ID].beginHold(5, holdWait); call.Recorded != 0 {
			l.t.Errorf("a hold call confirms ends up to %d, want none", call.Recorded)
		}
		runLoop(l.controller, dispatch.MaxCallDelay+2*holdWait, func() {}) // the worker answers after that
		if call := l.workerConns[testWorker.ID].beginHold(5, holdWait); call.Recorded != 5 {
			l.t.Errorf("a hold call confirms ends up to %d once the start is over, want 5", call.Recorded)
		}
	})
}

// Guards against a task that runs again after it was done, or in two places: a start had waited for its place before it was sent, and counted as over
// 15 s after its order.
func TestStartThatWaitedMayBeCarriedOutLaterToo(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(ctx context.Context, l *leaseTest) {
		const waits = maxStartWait - 2*tickInterval
		wc := l.workerConns[testWorker.ID]
		taken := 0
		for ; ; taken++ {
			if call := l.gate.Join(flowcontrol.Normal, wc.places); call.Waited() {
				gone, cancel := context.WithCancel(ctx)
				cancel()
				if call.Wait(gone) == nil {
					l.t.Fatal("a call has a place after all are taken")
				}
				break
			}
		}
		l.worker.leaveStartsUnanswered(1)
		addOneTask(l.controller, "j")
		runLoop(l.controller, waits, func() {})
		if l.worker.lateStarts() != 0 {
			l.t.Fatal("the start is sent without a place")
		}
		for range taken {
			wc.leavePlaces()
		}
		runLoop(l.controller, 2*tickInterval, func() {})
		if l.worker.lateStarts() != 1 {
			l.t.Fatalf("%d starts without an answer, want one", l.worker.lateStarts())
		}
		sent := time.Now()
		for time.Since(sent) < dispatch.MaxCallDelay-3*tickInterval {
			runLoop(l.controller, tickInterval, func() {})
		}
		if l.worker.runs() {
			l.t.Fatal("the task has been started again")
		}
		if call := wc.beginHold(5, holdWait); call.Recorded != 0 {
			l.t.Errorf("%s after the start was sent a hold call confirms ends up to %d, want none", time.Since(sent), call.Recorded)
		}
	})
}

// Guards against a commit after each failed hold call: while one was under way, the row of a worker that may have restarted was put again.
func TestRestartOfAWorkerThatDoesNotAnswerIsRecordedOnce(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.worker.setCutOff(true)
		runLoop(l.controller, 3*time.Second, func() {})
		later := l.worker.entry()
		later.ProcessStart += time.Hour
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{later}})
		rows := 0
		for range 100 { // commits that take 200 ms each, one after the other
			batch := l.takeBatch()
			l.committing = true
			rows += len(batch.Workers)
			runLoop(l.controller, 200*time.Millisecond, func() {})
			l.handleCommitResult(ledger.Batch{Workers: batch.Workers}, nil, l.now(), nil)
		}
		if rows > 2 {
			l.t.Errorf("the row of the worker is put %d times in 20 s, want twice at most", rows)
		}
	})
}

// Guards against a later owner that counts on too short a lease: a report that was asked for before the registry listed a later start came after
// it, and passed for an answer of the former process since.
func TestReportOfBeforeALaterStartWasListedIsNoAnswerToIt(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		requested, former := l.now(), l.worker.entry()
		runLoop(l.controller, tickInterval, func() {})
		l.worker.setCutOff(true)
		later := former
		later.ProcessStart += time.Hour
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{later}})
		l.handleReport(l.workerConns[testWorker.ID], requested, dispatch.Report{ProcessStart: former.ProcessStart})
		runLoop(l.controller, 2*holdWait, func() {})
		if row, committed := l.commitWorkerRow(); !committed || !row.LongestLease || !row.LateCalls {
			l.t.Errorf("the row is %+v (put: %t), want the longest lease and late calls", row, committed)
		}
	})
}

// Guards against runs that wait for the longest lease of no process: others had written a later start over the entry of a worker, which answered
// after that, and is cut off later.
func TestLaterStartThatTheWorkerHasRefutedIsNotRecorded(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		later := l.worker.entry()
		later.ProcessStart += time.Hour
		for _, entry := range []dispatch.Worker{later, l.worker.entry()} {
			l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{entry}})
			runLoop(l.controller, 3*holdWait, func() {})
		}
		l.commitWorkerRow()
		l.worker.setCutOff(true)
		runLoop(l.controller, 2*holdWait, func() {})
		if row, committed := l.commitWorkerRow(); committed {
			l.t.Errorf("the row %+v is put, want none", row)
		}
	})
}

// Guards against a later owner that counts on too short a lease: the ledger told that the process of the first restart had answered, and not
// that the one of the second has not.
func TestSecondRestartIsRecordedBeforeTheWorkerAnswers(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.restartWorker()
		if !l.recorded.LongestLease || l.recorded.LateCalls {
			l.t.Fatalf("the row is %+v after the first restart, want the longest lease and no late calls", l.recorded)
		}
		l.worker.setCutOff(true)
		l.worker.restart()
		runLoop(l.controller, 2*holdWait+holdTimeout, func() {})
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
		if row, committed := l.commitWorkerRow(); !committed || !row.LongestLease || !row.LateCalls {
			l.t.Errorf("the row is %+v (put: %t) after the second restart, want the longest lease and late calls", row, committed)
		}
	})
}

// Guards against a later owner that waits for late calls to a process which has answered since.
func TestAnswerAfterARestartIsRecorded(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.removeEndedWorker(l.workerConns[testWorker.ID], dispatch.WorkerSilent, leaseOverUnregistered)
		l.pendingWorkerRows = make(map[dispatch.WorkerID]*dispatch.Worker) // the removal of its row is committed
		l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
		if row, committed := l.commitWorkerRow(); !committed || !row.LateCalls {
			l.t.Fatalf("the row is %+v (put: %t) when the worker comes back, want late calls", row, committed)
		}
		runLoop(l.controller, holdWait, func() {})
		if row, committed := l.commitWorkerRow(); !committed || !row.LongestLease || row.LateCalls {
			l.t.Errorf("the row is %+v (put: %t) after the worker's answer, want the longest lease and no late calls", row, committed)
		}
	})
}
