package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
)

// carryOutHeldStarts carries out the starts that got no answer, as a network does that holds them for seconds: late, and after newer calls.
func (w *leasedWorker) carryOutHeldStarts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, call := range w.late {
		if call.Deadline > w.clock() && call.Number > w.stopped[call.Task] && w.accept(call.Token, call.Deadline) {
			w.running[call.RunKey] = true
		}
	}
	w.late = nil
}

// Guards against a task running in two places: a start is held in the network until its run has been given up, and is carried out then. What
// keeps the worker from it is a stop, the end of the lease that the start names, or a later owner's token.
func TestStartThatIsHeldInTheNetworkRunsNoTaskTwice(t *testing.T) {
	const maxLease = 6 * time.Second
	// givenUp is when the run has been given up; the start is carried out then.
	cases := map[string]func(ctx context.Context, l *leaseTest){
		"stop acknowledged": func(context.Context, *leaseTest) {},
		"lease over": func(_ context.Context, l *leaseTest) {
			l.worker.setCutOff(true)
			runLoop(l.controller, longestWait(maxLease), func() {})
			l.worker.setCutOff(false)
		},
		"lease over, not registered": func(_ context.Context, l *leaseTest) {
			l.worker.setCutOff(true)
			l.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{testWorker.ID}})
			runLoop(l.controller, longestWait(maxLease), func() {})
			l.worker.setCutOff(false)
			l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
			l.commitWorkerRow()
		},
		"taken over": func(ctx context.Context, l *leaseTest) { l.takeOver(ctx, l.worker.entry()) },
	}
	for name, giveUp := range cases {
		for _, unnamed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, process unnamed %t", name, unnamed), func(t *testing.T) {
				runPreparedLeaseTest(t, maxLease, func(w *leasedWorker) { w.unnamed = unnamed }, func(ctx context.Context, l *leaseTest) {
					l.worker.leaveStartsUnanswered(100)
					addOneTask(l.controller, "j")
					runLoop(l.controller, 2*tickInterval, func() {})
					if l.worker.lateStarts() == 0 {
						l.t.Fatal("no start was sent")
					}
					if name != "taken over" {
						l.addOtherWorker()
					}
					giveUp(ctx, l)
					checkOnce := func() {
						if !l.worker.startedElsewhere().IsZero() && l.worker.runs() {
							l.t.Fatal("the task was started elsewhere, and the held start is carried out")
						}
					}
					for end := time.Now().Add(2 * dispatch.MaxCallDelay); l.worker.startedElsewhere().IsZero(); {
						if time.Now().After(end) {
							l.t.Fatal("the task has not been started elsewhere")
						}
						runLoop(l.controller, tickInterval, checkOnce)
					}
					l.worker.carryOutHeldStarts()
					runLoop(l.controller, 3*holdWait, checkOnce)
				})
			})
		}
	}
}

// runStopTest runs a test of a start in doubt whose stop is not answered before stopAnswer is closed, on a worker that answers hold calls.
func runStopTest(t *testing.T, test func(l *leaseTest, run dispatch.RunKey, stopAnswer chan struct{})) {
	prepare := func(w *leasedWorker) { w.unnamed = true }
	runPreparedLeaseTest(t, 6*time.Second, prepare, func(_ context.Context, l *leaseTest) {
		stopAnswer := make(chan struct{})
		l.worker.holdStops(stopAnswer)
		l.worker.leaveStartsUnanswered(100)
		addOneTask(l.controller, "j")
		runLoop(l.controller, 2*tickInterval, func() {})
		run := l.worker.firstLateStart()
		l.engine.HandleStartOutcome(testWorker.ID, run, dispatch.StartInDoubt)
		l.addOtherWorker()
		runLoop(l.controller, 2*tickInterval, func() {})
		test(l, run, stopAnswer)
	})
}

func (w *leasedWorker) holdStops(until chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopAnswer = until
}

// firstLateStart returns the run of the first start that got no answer.
func (w *leasedWorker) firstLateStart() dispatch.RunKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late[0].RunKey
}

// Guards against a task running in two places: the start is under way, and no process of the worker has acknowledged a stop of it, so that
// reports without the run prove nothing.
func TestRunInDoubtOutlivesReportsUntilAStopIsAcknowledged(t *testing.T) {
	runStopTest(t, func(l *leaseTest, run dispatch.RunKey, _ chan struct{}) {
		runLoop(l.controller, 5*holdWait, func() {
			if !l.engine.HasRun(testWorker.ID, run) {
				l.t.Fatal("the run is given up while no stop of it is acknowledged")
			}
		})
		l.worker.holdStops(nil)
		runLoop(l.controller, 5*holdWait, func() {})
		if l.engine.HasRun(testWorker.ID, run) {
			l.t.Error("the run is kept although a stop is acknowledged, and a report since lacks it")
		}
	})
}

// Guards against a task running in two places: the stop was answered by the worker's former process, on a connection that has been replaced. The
// next process may yet carry the start out.
func TestStopAnsweredOnAReplacedConnectionProvesNothing(t *testing.T) {
	runStopTest(t, func(l *leaseTest, run dispatch.RunKey, stopAnswer chan struct{}) {
		former := l.workerConns[testWorker.ID]
		l.worker.holdStops(make(chan struct{}))
		l.replaceWorkerConn(former, former.aliveAt, processRestarted)
		close(stopAnswer)
		runLoop(l.controller, 3*holdWait, func() {
			if !l.engine.HasRun(testWorker.ID, run) {
				l.t.Fatal("the run is given up by the former process's answer")
			}
		})
	})
}

// Guards against reports of a worker's former process, which a replaced connection has got: its runs and ends are not those of the next one.
func TestReportOnAReplacedConnectionIsDropped(t *testing.T) {
	runLeaseTest(t, 6*time.Second, func(_ context.Context, l *leaseTest) {
		l.startTask()
		runLoop(l.controller, 2*holdWait, func() {})
		former := l.workerConns[testWorker.ID]
		run := l.worker.startCalls()[0].RunKey
		l.replaceWorkerConn(former, former.aliveAt, processRestarted)
		for _, report := range []dispatch.Report{
			{Running: []dispatch.RunningEntry{{RunKey: run}}},
			{Ended: []dispatch.EndedEntry{{Sequence: 9, RunKey: run, End: dispatch.RunDone}}},
		} {
			l.handleReport(former, l.now(), report)
			if l.engine.HasRun(testWorker.ID, run) || l.engine.LastEndSequence(testWorker.ID) != 0 || l.engine.Stats().Done != 0 {
				l.t.Errorf("the report %+v of the former process is taken in", report)
			}
		}
	})
}
