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
