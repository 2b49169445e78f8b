package owner

import (
	"context"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
)

// Guards against a task running in two places: a worker takes the time of a stop to end its runs when its lease ends, and notices the end
// late, while the owner counted the runs as over a fixed time after the end of the lease.
func TestRunsThatAreBeingStoppedAtTheEndOfALeaseAreAwaited(t *testing.T) {
	const maxLease = 6 * time.Second
	cases := map[string]func(ctx context.Context, l *leaseTest){
		"of this owner": func(_ context.Context, l *leaseTest) {
			l.startTask()
			l.addOtherWorker()
			l.worker.setCutOff(true)
		},
		"of an earlier owner": func(ctx context.Context, l *leaseTest) {
			l.startTask()
			l.worker.setCutOff(true)
			l.takeOver(ctx, l.recorded)
		},
		"of a restarted worker": func(_ context.Context, l *leaseTest) {
			l.restartWorker()
			l.startTask()
			l.addOtherWorker()
			l.worker.setCutOff(true)
		},
		"of a start that is carried out late": func(_ context.Context, l *leaseTest) {
			l.worker.leaveStartsUnanswered(1)
			addOneTask(l.controller, "j")
			runLoop(l.controller, dispatch.MaxCallDelay-200*time.Millisecond, func() {})
			l.addOtherWorker()
			l.worker.restart()
			l.worker.holdLongestLease()
			l.worker.setCutOff(true)
		},
	}
	for name, cut := range cases {
		for _, stopTime := range []time.Duration{0, 400 * time.Millisecond, 2 * time.Second} {
			t.Run(name+", "+stopTime.String(), func(t *testing.T) {
				prepare := func(w *leasedWorker) { w.stopTime, w.slow = stopTime, stopTime > 0 }
				runPreparedLeaseTest(t, maxLease, prepare, func(ctx context.Context, l *leaseTest) {
					cut(ctx, l)
					l.worker.noticeLate(leaseMargin - 50*time.Millisecond)
					l.expectOneRun(time.Now(), dispatch.MaxCallDelay+longestWait(maxLease)+stopTime)
				})
			})
		}
	}
}
