package owner

import (
	"context"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
)

// Guards against runs that are waited for without end: others write one later start after the other over the entry of a worker that has ended.
func TestRisingStartsInTheRegistryDoNotKeepRunsOfASilentWorker(t *testing.T) {
	for name, unanswered := range map[string]int{"answered before the last hold call": 0, "start without an answer": 1} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				l.worker.leaveStartsUnanswered(unanswered)
				addOneTask(l.controller, "j")
				runLoop(l.controller, 2*tickInterval, func() {})
				if unanswered == 0 {
					runLoop(l.controller, 2*holdWait, func() {})
				}
				l.addOtherWorker()
				l.worker.setCutOff(true)
				since := time.Now()
				later := l.worker.entry()
				for range 120 {
					later.ProcessStart += time.Second
					l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{later}})
					l.commitWorkerRow()
					runLoop(l.controller, time.Second, func() {
						for id := range l.engine.TakeDirty(10) {
							l.engine.ConfirmRecorded(id)
						}
					})
				}
				if l.worker.startedElsewhere().IsZero() {
					l.t.Errorf("the task has not been started elsewhere %s after the cut", time.Since(since))
				}
			})
		})
	}
}

// Guards against a task running in two places: the worker has restarted, its next process has taken a start and is cut off before the registry
// tells of it.
func TestOwnerAwaitsTheLongestLeaseOfAProcessThatTheRegistryNeverListed(t *testing.T) {
	runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
		l.worker.loseHolds(true)
		l.worker.restart()
		l.startTask()
		l.addOtherWorker()
		l.worker.setCutOff(true)
		l.expectOneRun(time.Now(), dispatch.MaxCallDelay+longestWait(10*time.Second)+5*time.Second)
	})
}

// Guards against a task that runs again after it was done: a process that names no start passed for the next one, which names its own, and that
// forgot ends that only the one before had had recorded.
func TestProcessThatNamesAStartAfterOneThatNamedNoneForgetsNoEnds(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{listening: true}
		c := newRestartFixture(ctx, client)
		c.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 40})
		runLoop(c, 2*holdWait, func() {})
		client.set(2*time.Second, true)
		restartedAt := len(client.holds)
		runLoop(c, 4*holdWait, func() {})
		for i, call := range client.holds[restartedAt+1:] {
			if call.Recorded != 0 {
				t.Fatalf("hold call %d after the restart confirms the sequence %d, want 0", i+1, call.Recorded)
			}
		}
	})
}
