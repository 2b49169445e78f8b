package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
)

// confirmed returns up to which sequence the last hold call confirmed ends.
func (w *leasedWorker) confirmed() uint64 {
	return w.hold(w.holdCount() - 1).Recorded
}

// Guards against a task that runs again after it was done: the next process of a worker carried out a start late and, after the run, a hold call
// for the former process. That made it forget the run's end, which nobody had heard of.
func TestHoldConfirmsNoEndsWhileAStartMayBeCarriedOutLate(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		const recorded = 5
		l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: recorded})
		runLoop(l.controller, 2*holdWait, func() {})
		if l.worker.confirmed() != recorded {
			l.t.Fatalf("a hold call confirms ends up to %d, want %d", l.worker.confirmed(), recorded)
		}
		l.worker.leaveStartsUnanswered(1)
		addOneTask(l.controller, "j")
		ordered := time.Now()
		l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: recorded + 1})
		runLoop(l.controller, 2*holdWait, func() {})
		for time.Since(ordered) < dispatch.MaxCallDelay-holdWait {
			if l.worker.confirmed() != 0 {
				l.t.Fatalf("a hold call confirms ends up to %d, %s after a start that got no answer", l.worker.confirmed(), time.Since(ordered))
			}
			runLoop(l.controller, tickInterval, func() {})
		}
		holds := l.worker.holdCount()
		runLoop(l.controller, 4*holdWait, func() {})
		confirmed := 0
		for i := holds; i < l.worker.holdCount(); i++ {
			if call := l.worker.hold(i); call.Recorded == recorded+1 && call.Wait == 0 {
				confirmed++
			}
		}
		if confirmed != 1 {
			l.t.Errorf("%d hold calls confirm the further end once the start is over, want one that doesn't wait", confirmed)
		}
	})
}

// Guards against a task that runs again after it was done: a process that refuses a hold call, since it has carried out a start with a higher
// token, may be the next one under the worker's id. The call after the refusal confirmed the former process's ends to it.
func TestHoldAfterAnOvertakenOneConfirmsNoEndsToTheNextProcess(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 5})
		runLoop(l.controller, 2*holdWait, func() {})
		for n := l.worker.holdCount(); l.worker.holdCount() == n; {
			runLoop(l.controller, tickInterval, func() {})
		}
		runLoop(l.controller, holdWait/4, func() {}) // the next hold call, which confirms ends, is under way
		l.worker.restart()
		l.startTask()
		l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 6}) // no call has confirmed these
		holds := l.worker.holdCount()
		runLoop(l.controller, 3*holdWait, func() {})
		if l.worker.holdCount() == holds {
			l.t.Fatal("the next process has carried out no hold call")
		}
		if first := l.worker.hold(holds); first.Recorded != 0 {
			l.t.Errorf("the first hold call that the next process carries out confirms ends up to %d, want none", first.Recorded)
		}
	})
}

// Guards against a task that runs again after it was done: the next process of a worker carried out a start and, after the run, a hold call for
// the former process. That made it forget the run's end, which nobody had heard of. A process that has carried out the start refuses the call.
func TestStartPassesNoHoldCallThatConfirmsEnds(t *testing.T) {
	// lost means that the hold call gets no answer, permit that the start has a permit, which the next process refuses unless it is new.
	for name, test := range map[string]struct{ lost, permit bool }{
		"under way": {false, false}, "without an answer": {true, false}, "without an answer, with a permit": {true, true},
	} {
		lost := test.lost
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 5})
				runLoop(l.controller, 2*holdWait, func() {})
				if lost {
					l.worker.loseHolds(true)
					runLoop(l.controller, 2*holdWait, func() {})
					l.worker.loseHolds(false)
					runLoop(l.controller, time.Second, func() {})
				}
				before := l.worker.hold(l.worker.holdCount() - 1)
				if test.permit {
					l.addLongRunningTask(&graph.PermitLatency{})
					runLoop(l.controller, 2*tickInterval, func() {})
				} else {
					l.startTask()
				}
				starts := l.worker.startCalls()
				holds := l.worker.holdCount()
				if len(starts) != 1 || starts[0].Token <= before.Token {
					l.t.Fatalf("the starts are %+v, want one with a higher token than the hold call's %d", starts, before.Token)
				}
				runLoop(l.controller, 3*holdWait, func() {})
				if now := l.worker.holdCount(); l.ownershipLost || now == holds || !l.worker.runs() {
					l.t.Errorf("ownership lost: %t, %d further hold calls, the worker runs the task: %t; want it owned, held and running", l.ownershipLost, now-holds, l.worker.runs())
				}
				wc := l.workerConns[testWorker.ID]
				raised := wc.fencingToken.Load()
				if wc.prepareStart(dispatch.Start{Once: !test.permit}); wc.fencingToken.Load() != raised {
					l.t.Errorf("a further start raises the token from %d to %d", raised, wc.fencingToken.Load())
				}
				l.tokensGiven[testWorker.ID] = maxRaisedTokens
				token := wc.fencingToken.Load()
				wc.confirmations.begin(token, 6)
				wc.prepareStart(dispatch.Start{Once: true})
				if now := wc.fencingToken.Load(); now != token {
					l.t.Errorf("the token rises from %d to %d, want the last ones left for restarts", token, now)
				}
			})
		})
	}
}

// Guards against a task running in two places: without any fault an owner used up the tokens of its epoch, so that a worker that had restarted
// did not refuse calls for its former process any more.
func TestStartsUseUpNoTokens(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 5})
		runLoop(l.controller, 2*holdWait, func() {})
		before, began := l.workerConns[testWorker.ID].fencingToken.Load(), time.Now()
		for i := range 1100 {
			spec := &graph.Spec{Steps: []graph.Step{{Count: 1}}}
			queue := graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}
			l.engine.AddJob(dispatch.JobInput{ID: graph.JobID(fmt.Sprint("j", i)), Queue: queue, Spec: spec, ArrivedAt: l.now()})
			runLoop(l.controller, holdWait, func() {})
			if holds, most := l.worker.holdCount(), 2*(int(time.Since(began)/holdWait)+10); holds > most {
				l.t.Fatalf("%d hold calls %s after the first start, want %d at most", holds, time.Since(began), most)
			}
		}
		former := l.workerConns[testWorker.ID].fencingToken.Load()
		l.t.Logf("%d starts in %s: tokens %d to %d, %d hold calls", len(l.worker.starts), time.Since(began), before, former, l.worker.holdCount())
		if used := former - before; used > 11 {
			l.t.Errorf("%d tokens are used up, want one in 100 starts at most", used)
		}
		l.restartWorker()
		next := l.workerConns[testWorker.ID].fencingToken.Load()
		if next <= former {
			l.t.Errorf("the connection to the next process has the token %d, want a higher one than the former one's %d", next, former)
		}
	})
}

// Guards against an owner that gets far more answers than before: hold calls that confirm ends don't wait, on workers too whose starts have
// permits.
func TestHoldThatConfirmsEndsWaitsOnWorkersWithPermits(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.workerConns[testWorker.ID].prepareStart(dispatch.Start{RunKey: dispatch.RunKey{Number: 1}, Permit: "p"})
		want := HoldCall{Token: l.workerConns[testWorker.ID].fencingToken.Load(), Recorded: 5, Wait: holdWait}
		if call := l.workerConns[testWorker.ID].beginHold(5, holdWait); call != want {
			l.t.Errorf("the hold call is %+v, want %+v", call, want)
		}
	})
}

// Guards against a worker that gets no further runs since it refused a start that another one had overtaken.
func TestOvertakenStartCountsAsNotSent(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		wc := l.workerConns[testWorker.ID]
		l.worker.overtakeStarts(func() { wc.fencingToken.Add(1) })
		outcome, err := wc.sendStart(StartCall{Start: dispatch.Start{Once: true}}, wc.queue(startClass(dispatch.Start{})))
		if outcome != dispatch.StartNotSent || err != nil {
			l.t.Errorf("the outcome is %s (%v), want %s", outcome, err, dispatch.StartNotSent)
		}
	})
}

// Guards against an owner that is kept busy by workers with ends that can't be confirmed, which answer hold calls at once, and against new ends
// that are heard late.
func TestWorkersWithEndsAreAskedAsOftenAsNeeded(t *testing.T) {
	const (
		workers = 3000
		during  = 10 * time.Second
	)
	for name, test := range map[string]struct {
		sequence    uint64 // of the end that the worker lists; ends up to 5 are recorded
		least, most int
	}{
		"can't be confirmed": {5, 2, int(during * maxLossyHolds / workers / time.Second)},
		"not recorded":       {6, int(during / (commitWait + holdRetryDelay)), int(during/commitWait) + 1},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 5})
				runLoop(l.controller, 3*holdWait, func() {})
				wc := l.workerConns[testWorker.ID]
				wc.confirmations.begin(0, 0) // none was answered
				wc.confirmations.end(0, nil)
				l.workersInUse.Store(workers)
				wc.prepareStart(dispatch.Start{RunKey: dispatch.RunKey{Number: 1}, Once: true})
				l.worker.listEnd(dispatch.EndedEntry{Sequence: test.sequence, End: dispatch.RunInterrupted})
				runLoop(l.controller, 2*holdWait, func() {})
				holds := l.worker.holdCount()
				runLoop(l.controller, during, func() {})
				if n := l.worker.holdCount() - holds; n < test.least || n > test.most {
					l.t.Errorf("%d hold calls in %s, want %d to %d", n, during, test.least, test.most)
				}
			})
		})
	}
}

// Guards against a worker that does not refuse calls for its former process after a restart: starts had used up the owner's tokens.
func TestStartsLeaveTokensForRestarts(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		wc := l.workerConns[testWorker.ID]
		for range 2 * ledger.EpochStride {
			wc.confirmations.begin(wc.fencingToken.Load(), 5)
			wc.prepareStart(dispatch.Start{Once: true})
		}
		former := wc.fencingToken.Load()
		for range 100 {
			l.replaceWorkerConn(l.workerConns[testWorker.ID], l.now(), processRestarted)
			next := l.workerConns[testWorker.ID].fencingToken.Load()
			if next <= former || next >= l.ownership.Epoch()+ledger.EpochStride {
				l.t.Fatalf("the next connection has the token %d, want one between the former one's %d and those of the next owner", next, former)
			}
			former = next
		}
	})
}

// Guards against a token for each start during one hold call.
func TestStartsDuringOneHoldCallUseOneToken(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		wc := l.workerConns[testWorker.ID]
		before := wc.fencingToken.Load()
		wc.confirmations.begin(before, 5)
		for range 10 {
			wc.prepareStart(dispatch.Start{Once: true})
		}
		if used := wc.fencingToken.Load() - before; used != 1 {
			l.t.Errorf("10 starts use %d tokens, want one", used)
		}
	})
}

// Guards against workers that can't forget their ends: hold calls confirmed none for 15 s after each start, though it was carried out.
func TestHoldConfirmsEndsOnceStartsAreCarriedOut(t *testing.T) {
	key := dispatch.RunKey{Number: 1}
	for name, carryOut := range map[string]func(l *leaseTest, wc *workerConn){
		"answered": func(l *leaseTest, wc *workerConn) {
			wc.finishStart(dispatch.Start{RunKey: key}, 0, orderAnswer{outcome: dispatch.Started}, &queuedOrder{})
		},
		"running": func(l *leaseTest, wc *workerConn) {
			running := []dispatch.RunningEntry{{RunKey: key}}
			l.handleReport(wc, l.now(), dispatch.Report{ProcessStart: wc.reportedStart, Running: running})
		},
		"ended": func(l *leaseTest, wc *workerConn) {
			ended := []dispatch.EndedEntry{{RunKey: key, Sequence: 6, End: dispatch.RunInterrupted}}
			l.handleReport(wc, l.now(), dispatch.Report{ProcessStart: wc.reportedStart, Ended: ended})
		},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				wc := l.workerConns[testWorker.ID]
				wc.prepareStart(dispatch.Start{RunKey: key, Once: true})
				if call := wc.beginHold(5, holdWait); call.Recorded != 0 {
					l.t.Errorf("a hold call confirms ends up to %d before the start is carried out, want none", call.Recorded)
				}
				carryOut(l, wc)
				if call := wc.beginHold(5, holdWait); call.Recorded != 5 {
					l.t.Errorf("a hold call confirms ends up to %d once the start is carried out, want 5", call.Recorded)
				}
			})
		})
	}
}

// Guards against an owner that goes on after another one has taken over: a refusal by a worker passed for that of a call which a later one of
// the same owner has overtaken.
func TestRefusalByAWorkerThatHasSeenAHigherEpochEndsTheOwnership(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.worker.mu.Lock()
		l.worker.token = l.ownership.Epoch() + ledger.EpochStride
		l.worker.mu.Unlock()
		runLoop(l.controller, 2*holdWait, func() {})
		if !l.ownershipLost {
			l.t.Error("the ownership goes on")
		}
	})
}
