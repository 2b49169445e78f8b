package owner

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
)

// Guards against a run that is given up while no log line tells why, on what evidence and how old that was.
func TestRunThatIsGivenUpIsLoggedWithItsEvidence(t *testing.T) {
	const unheard = 100 * time.Millisecond
	cases := map[string]struct {
		giveUp func(c *controller, wc *workerConn, run dispatch.RunKey)
		want   []string
	}{
		"not reported": {func(c *controller, wc *workerConn, run dispatch.RunKey) {
			c.handleReport(wc, c.now().Add(-unheard/2), dispatch.Report{})
			if !c.engine.HasRun("w", run) {
				panic("the first report without the run ends it")
			}
			time.Sleep(time.Second)
			c.engine.SetNow(c.now())
			c.handleReport(wc, c.now().Add(-unheard/2), dispatch.Report{})
		}, []string{`"why":"worker does not report the run"`, `"evidence_age":50`, `"unheard":50`}},
		"stopped and not reported": {func(c *controller, wc *workerConn, run dispatch.RunKey) {
			c.engine.Cancel("j")
			c.engine.HandleStopAnswer("w", run, true)
			time.Sleep(unheard)
			c.engine.SetNow(c.now())
			c.handleReport(wc, c.now().Add(-unheard/2), dispatch.Report{})
		}, []string{`"level":"info"`, `"state":"stopping"`, `"stop_answered":100`, `"evidence_age":50`}},
		"restarted": {func(c *controller, wc *workerConn, run dispatch.RunKey) {
			c.replaceWorkerConn(wc, wc.aliveAt, processRestarted)
		}, []string{`"why":"its process has restarted"`, `"evidence_age":0`, `"unheard":100`, `"process_start":7`}},
		"other incarnation": {func(c *controller, wc *workerConn, run dispatch.RunKey) {
			c.handleHoldFailure(wc, ErrOtherIncarnation)
		}, []string{`"why":"another incarnation answers at its address"`, `"evidence_age":0`}},
		"lease over": {func(c *controller, wc *workerConn, run dispatch.RunKey) {
			wc.unresponsive = true
			_, _ = wc.lease.extend(c.now(), time.Second)
			time.Sleep(2 * time.Second)
			c.expireLeases()
		}, []string{`"why":"lease expired`, `"lease_basis":"extension"`, `"evidence_age":2000`, `"lease_left":0`}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			runHoldTest(t, func(ctx context.Context, t *testing.T) {
				var lines bytes.Buffer
				c := newTestController(ctx, &fakeClient{startedAt: time.Now()})
				c.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
				time.Sleep(time.Second)
				c.engine.SetNow(c.now())
				wc, run := newWorkerConnWithRun(c)
				time.Sleep(unheard)
				c.engine.SetNow(c.now())
				test.giveUp(c, wc, run)
				line := logLine(lines.String(), "run lost")
				for _, want := range append(test.want, `"job":"j"`, `"worker":"w"`, `"recorded":0`) {
					if !strings.Contains(line, want) {
						t.Errorf("no %s in the line %q of the log:\n%s", want, line, lines.String())
					}
				}
			})
		})
	}
}

// newWorkerConnWithRun returns a connection without a hold loop to a worker that has just confirmed the run of the job j.
func newWorkerConnWithRun(c *controller) (wc *workerConn, run dispatch.RunKey) {
	wc = c.newWorkerConn(testWorker, nil)
	wc.cancel, wc.listing = func() {}, testWorker
	wc.reported, wc.reportedStart, wc.aliveAt = true, 7*time.Millisecond, c.now()
	wc.lease.observeClock(time.Minute, c.now())
	c.workerConns[testWorker.ID] = wc
	c.engine.PutWorker(testWorker)
	c.engine.SetReachable(testWorker.ID, true)
	addOneTask(c, "j")
	for _, order := range c.engine.Plan(0) {
		run = order.(dispatch.Start).RunKey
		c.engine.HandleStartOutcome(testWorker.ID, run, dispatch.Started)
	}
	return wc, run
}

// logLine returns the first line of a log with the message, empty if there is none.
func logLine(lines, message string) string {
	for line := range strings.Lines(lines) {
		if strings.Contains(line, `"message":"`+message+`"`) {
			return line
		}
	}
	return ""
}

// Guards against a task that waits for seconds for a run that is over: only the answer to the next hold call but one tells that.
func TestHoldCallsAreShortWhileItIsOpenWhetherARunIsOver(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		c := newTestController(ctx, &fakeClient{startedAt: time.Now()})
		c.RunEndTime = 400 * time.Millisecond
		c.engine.SetRunEndTime(c.RunEndTime)
		time.Sleep(time.Second)
		c.engine.SetNow(c.now())
		wc, run := newWorkerConnWithRun(c)
		time.Sleep(time.Millisecond)
		for _, open := range []bool{true, false} {
			report := dispatch.Report{}
			if !open {
				report.Running = []dispatch.RunningEntry{{RunKey: run}}
			}
			c.engine.SetNow(c.now())
			c.handleReport(wc, c.now(), report)
			if wait := wc.nextHoldWait(0, c.now()); (wait == holdWaitAfterLoss) != open {
				t.Errorf("the next hold call waits %s with the run listed: %t", wait, !open)
			}
		}
	})
}
