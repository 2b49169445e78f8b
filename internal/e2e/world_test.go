package e2e

import (
	"testing"
	"time"

	"laburnumpoint/internal/history"
)

// bounds are the times that the promises allow.
var bounds = history.Bounds{MaxStartAfterNotice: 3 * time.Second, MaxConfigDelay: 13 * time.Second}

const (
	testDaemons   = 3
	testWorkers   = 12
	testCallers   = 16
	testOperators = 3
	// quietRequests is the number of requests that complete before and after a fault.
	quietRequests = 200
)

// world is a cell with callers and operators at work.
type world struct {
	cell      *testCell
	callers   *callers
	operators *operators
}

func startWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	c := startCell(t, testDaemons, testWorkers)
	return &world{cell: c, callers: startCallers(c, testCallers, seed), operators: startOperators(c, testOperators, seed)}
}

// check ends the load and judges the whole history.
func (w *world) check(t *testing.T) {
	t.Helper()
	calls := w.callers.stop()
	patches := w.operators.stop()
	w.callers.report(t)
	for _, v := range history.Check(history.Merge(calls, patches, w.cell.workerHistory()), bounds) {
		t.Error(v)
	}
	if !t.Failed() {
		return
	}
	for _, d := range w.cell.targets() {
		t.Logf("%s:\n%s", d.http, d.out.tail(3000))
	}
}

func TestQuietRun(t *testing.T) {
	t.Parallel()
	w := startWorld(t, 1)
	w.callers.until(5 * quietRequests)
	w.check(t)
	if n := w.callers.sent.Load() - w.callers.completed.Load(); n != 0 {
		t.Errorf("%d of %d sends were not completed without any fault", n, w.callers.sent.Load())
	}
}

func TestRollingReplacementCutsNothingOff(t *testing.T) {
	t.Parallel()
	w := startWorld(t, 4)
	w.callers.until(quietRequests)
	for range testDaemons {
		w.cell.addDaemon()
		old := w.cell.targets()[0]
		long := w.callers.sendLong(old, testCallers)
		w.cell.remove(old)
		old.stop(t)
		long.Wait()
		w.callers.more(quietRequests)
	}
	w.check(t)
	if n := w.callers.lost.Load(); n != 0 {
		t.Errorf("%d requests were cut off by planned stops", n)
	}
	if n := w.callers.unknown.Load(); n != 0 {
		t.Errorf("%d requests were left unknown by planned stops", n)
	}
}
