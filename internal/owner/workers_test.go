package owner

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
)

// bubbleClock tells the time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() monotime.Instant { return monotime.Instant(1 + time.Since(c.start)) }

// fakeRunners answers looks until it is told to be silent.
type fakeRunners struct {
	Runners
	mu     sync.Mutex
	silent bool
	holds  []HoldCall
	start  time.Time
}

func (f *fakeRunners) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *fakeRunners) Hold(ctx context.Context, _ dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	f.mu.Lock()
	silent := f.silent
	f.holds = append(f.holds, call)
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return dispatch.Report{}, 0, ErrNoAnswer
	}
	time.Sleep(max(call.Wait, time.Millisecond))
	return dispatch.Report{}, time.Since(f.start), nil
}

func newTestControl(ctx context.Context, runners Runners) *control {
	d := New(Options{
		Runners: runners, Clock: bubbleClock{time.Now()}, MaxLease: 10 * time.Second, Metrics: metrics.NewSet(),
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	c := newControl(ctx, d, &ledger.Tenure{}, d.Clock.Now())
	return c
}

// A worker that an earlier owner used is gone, and the register no longer lists it: what it ran is given up before the
// lease that it may have had is over.
func TestSilentWorkerThatIsNotRegisteredIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		runners := &fakeRunners{start: time.Now(), silent: true}
		c := newTestControl(ctx, runners)
		c.engine.Await("w", "p")
		c.addLink(dispatch.Worker{ID: "w", Pool: "p"}, true)
		c.registerChanged(RegisterChange{Full: true})
		deadline := time.Now().Add(absentTime + holdTimeout + tick)
		for !c.engine.Settled() && time.Now().Before(deadline) {
			select {
			case f := <-c.events:
				f()
			case <-time.After(tick):
			}
			c.expireLinks()
		}
		if !c.engine.Settled() {
			t.Error("tasks wait for a worker that has gone")
		}
		cancel()
		synctest.Wait()
	})
}

// A worker that is gone for good has its lease over in time, however often it is looked at in vain.
func TestLooksInVainExtendNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		runners := &fakeRunners{start: time.Now()}
		c := newTestControl(ctx, runners)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.addLink(dispatch.Worker{ID: "w"}, false)
		l := c.links["w"]
		time.Sleep(3 * time.Second)
		if l.lease.over(c.now()) {
			t.Error("lease over while the worker answers")
		}
		runners.setSilent(true)
		time.Sleep(onSlowestClock(leaseLength) + leaseMargin + holdWait + holdTimeout)
		if !l.lease.over(c.now()) {
			t.Error("lease of a silent worker is never over")
		}
		cancel()
		synctest.Wait()
	})
}
