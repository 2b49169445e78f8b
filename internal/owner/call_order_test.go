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

// confirmed returns up to which sequence hold calls confirmed ends, from the call with the given index on.
func (w *leasedWorker) confirmed(from int) uint64 {
	sequence := uint64(0)
	for i := from; i < w.holdCount(); i++ {
		sequence = max(sequence, w.hold(i).Recorded)
	}
	return sequence
}

// Guards against a task that runs again after it was done: the next process of a worker carried out a start late and, after the run, a hold call
// for the former process. That made it forget the run's end, which nobody had heard of.
func TestHoldConfirmsNoEndsWhileAStartMayBeCarriedOutLate(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		const recorded = 5
		l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: recorded})
		runLoop(l.controller, 2*holdWait, func() {})
		if confirmed := l.worker.confirmed(0); confirmed != recorded {
			l.t.Fatalf("hold calls confirm ends up to %d, want %d", confirmed, recorded)
		}
		l.worker.leaveStartsUnanswered(1)
		addOneTask(l.controller, "j")
		ordered, before := time.Now(), l.worker.holdCount()
		l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: recorded + 1})
		runLoop(l.controller, 2*holdWait, func() {})
		for time.Since(ordered) < dispatch.MaxCallDelay-holdWait {
			if confirmed := l.worker.confirmed(before); confirmed != 0 {
				l.t.Fatalf("a hold call confirms ends up to %d, %s after a start that got no answer", confirmed, time.Since(ordered))
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
		"under way": {false, false}, "under way, with a permit": {false, true}, "without an answer": {true, false}, "without an answer, with a permit": {true, true},
	} {
		lost := test.lost
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				l.worker.loseConfirmations(lost)
				l.worker.mu.Lock()
				l.worker.confirmationTime = 2 * time.Second // of those that are not lost, one is under way as the task starts
				l.worker.mu.Unlock()
				l.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 5})
				runLoop(l.controller, 2*holdWait, func() {})
				if lost {
					runLoop(l.controller, 3*time.Second, func() {})
					l.worker.loseConfirmations(false)
				}
				if wc := l.workerConns[testWorker.ID]; wc.confirmations.open(l.now()) != 5 {
					l.t.Fatal("no hold call that confirms ends is open")
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
				runLoop(l.controller, 6*holdWait, func() {})
				if now := l.worker.holdCount(); l.ownershipLost || now == holds || !l.worker.runs() {
					l.t.Errorf("ownership lost: %t, %d further hold calls, the worker runs the task: %t; want it owned, held and running", l.ownershipLost, now-holds, l.worker.runs())
				}
				wc := l.workerConns[testWorker.ID]
				raised := wc.fencingToken.Load()
				if sent := wc.prepareStart(dispatch.Start{Once: !test.permit}); !sent || wc.fencingToken.Load() != raised {
					l.t.Errorf("a further start raises the token from %d to %d", raised, wc.fencingToken.Load())
				}
				l.tokensGiven[testWorker.ID] = maxRaisedTokens
				token := wc.fencingToken.Load()
				wc.confirmations.begin(token, 6)
				sent := wc.prepareStart(dispatch.Start{Once: !test.permit})
				if now := wc.fencingToken.Load(); sent || now != token {
					l.t.Errorf("a start without a token left is sent: %t, the token rises from %d to %d; want the last ones left for restarts", sent, token, now)
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

// Guards against an owner that is kept busy by its workers: ends cost more than two hold calls each, the one that hears of them and one that confirms them.
// On a process that is too young to be known by its clock a further call asks whether it has carried the starts out.
func TestHoldCallsForEachEndAreBounded(t *testing.T) {
	const ends, interval = 20, 5 * time.Second
	for name, test := range map[string]struct {
		start dispatch.Start
		clock time.Duration
		calls int
	}{
		"with permits": {dispatch.Start{Permit: "p"}, time.Hour, 2}, "without permits": {dispatch.Start{Once: true}, time.Hour, 2},
		"young process": {dispatch.Start{Permit: "p"}, time.Millisecond, 3}, "no starts": {calls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				l.worker.forgets = true
				wc, began, holds := l.workerConns[testWorker.ID], time.Now(), l.worker.holdCount()
				for n := range uint64(ends) {
					if test.start != (dispatch.Start{}) {
						test.start.Number = n + 1
						wc.prepareStart(test.start)
						wc.finishStart(test.start, 0, orderAnswer{outcome: dispatch.Started, clock: test.clock}, &queuedOrder{})
					}
					l.worker.listEnd(dispatch.EndedEntry{Sequence: n + 1, End: dispatch.RunInterrupted})
					runLoop(l.controller, interval, func() { l.setRecorded(l.engine.LastEndSequences()) })
					if l.worker.listsEnds() {
						l.t.Errorf("end %d is not confirmed after %s", n+1, interval)
					}
				}
				if n, most := l.worker.holdCount()-holds, test.calls*ends+int(time.Since(began)/holdWait)+1; n > most {
					l.t.Errorf("%d hold calls for %d ends in %s, want %d at most", n, ends, time.Since(began), most)
				}
			})
		})
	}
}

// Guards against a task that runs again after it was done: the next process of a worker carried out a start and ended its task before it was
// heard, and a hold call confirmed the former process's ends to it. No such call is sent before it is known which process has carried out the
// starts.
func TestHoldConfirmsNoEndsWhileAnotherProcessMayHaveCarriedOutAStart(t *testing.T) {
	const lease = 2 * time.Second
	order := func(l *leaseTest, permit bool) dispatch.Start {
		start := dispatch.Start{RunKey: dispatch.RunKey{Number: 1}, Once: !permit}
		if permit {
			start.Permit, start.PermitUntil = "p", l.now().Add(lease)
		}
		return start
	}
	answer := func(outcome dispatch.StartOutcome, clock time.Duration) func(*leaseTest, *workerConn, dispatch.Start) {
		return func(_ *leaseTest, wc *workerConn, start dispatch.Start) {
			wc.finishStart(start, 0, orderAnswer{outcome: outcome, clock: clock}, &queuedOrder{})
		}
	}
	wait := func(d time.Duration) func(*leaseTest, *workerConn, dispatch.Start) {
		return func(l *leaseTest, _ *workerConn, _ dispatch.Start) { runLoop(l.controller, d, func() {}) }
	}
	hear := func(l *leaseTest, wc *workerConn, _ dispatch.Start) {
		time.Sleep(time.Millisecond)
		wc.unsettled.settle(l.now())
	}
	type steps []func(*leaseTest, *workerConn, dispatch.Start)
	for name, test := range map[string]struct {
		permit   bool
		steps    steps
		confirms bool
	}{
		"under way":                      {true, nil, false},
		"refused":                        {true, steps{answer(dispatch.StartRefused, 0)}, true},
		"answered by a clock of its age": {true, steps{answer(dispatch.Started, time.Hour)}, true},
		"answered by a clock that may be another's":  {true, steps{answer(dispatch.Started, time.Millisecond)}, false},
		"answered without a clock":                   {true, steps{answer(dispatch.Started, 0)}, false},
		"answered without a clock, heard since":      {true, steps{answer(dispatch.Started, 0), hear}, true},
		"in doubt, heard since":                      {true, steps{answer(dispatch.StartInDoubt, 0), hear}, true},
		"in doubt, its permit over":                  {true, steps{answer(dispatch.StartInDoubt, 0), wait(lease)}, false},
		"no permit, under way, heard since":          {false, steps{hear}, false},
		"no permit, answered by a clock of its age":  {false, steps{answer(dispatch.Started, time.Hour)}, true},
		"no permit, answered without a clock":        {false, steps{hear, answer(dispatch.Started, 0)}, false},
		"no permit, answered, heard since":           {false, steps{answer(dispatch.Started, 0), hear}, true},
		"no permit, in doubt, heard since":           {false, steps{answer(dispatch.StartInDoubt, 0), hear}, false},
		"no permit, in doubt, for as long as it may": {false, steps{answer(dispatch.StartInDoubt, 0), wait(dispatch.MaxCallDelay)}, false},
		"no permit, in doubt, heard after that":      {false, steps{answer(dispatch.StartInDoubt, 0), wait(dispatch.MaxCallDelay), hear}, true},
	} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				wc := l.workerConns[testWorker.ID]
				l.worker.loseHolds(true) // the hold loop settles nothing
				runLoop(l.controller, 2*holdWait, func() {})
				start := order(l, test.permit)
				wc.aliveSentAt.Store(int64(l.now().Add(-time.Second)))
				wc.prepareStart(start)
				for _, step := range test.steps {
					step(l, wc, start)
				}
				call := wc.beginHold(5, holdWait)
				if (call.Recorded == 5) != test.confirms || call.Recorded > 0 && call.Wait > 0 {
					l.t.Errorf("the hold call is %+v; want that it confirms ends: %t, and then doesn't wait", call, test.confirms)
				}
			})
		})
	}
}

// Guards against a worker that gets no further runs since it refused a start that another one had overtaken.
func TestOvertakenStartCountsAsNotSent(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		wc := l.workerConns[testWorker.ID]
		l.worker.overtakeStarts(func() { wc.fencingToken.Add(1) })
		answer := wc.sendStart(StartCall{Start: dispatch.Start{Once: true}}, wc.queue(startClass(dispatch.Start{})))
		if answer.outcome != dispatch.StartNotSent || answer.err != nil {
			l.t.Errorf("the outcome is %s (%v), want %s", answer.outcome, answer.err, dispatch.StartNotSent)
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
			wc.finishStart(dispatch.Start{RunKey: key}, 0, orderAnswer{outcome: dispatch.Started, clock: time.Hour}, &queuedOrder{})
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
