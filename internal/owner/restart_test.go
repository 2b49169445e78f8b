package owner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/ledger"
)

// restartingClient is the client of one worker whose process ends and starts again under the worker's id.
type restartingClient struct {
	WorkerClient
	mu           sync.Mutex
	processStart time.Duration
	listening    bool
	ended        []dispatch.EndedEntry
	holds        []HoldCall
}

func (f *restartingClient) set(processStart time.Duration, listening bool, ended ...dispatch.EndedEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processStart, f.listening, f.ended = processStart, listening, ended
}

func (f *restartingClient) Start(context.Context, dispatch.Worker, StartCall) (dispatch.StartOutcome, error) {
	return dispatch.Started, nil
}

func (f *restartingClient) Stop(context.Context, dispatch.Worker, dispatch.RunKey, uint64) error {
	return nil
}

func (f *restartingClient) Hold(_ context.Context, _ dispatch.Worker, call HoldCall) (dispatch.Report, time.Duration, error) {
	time.Sleep(max(call.Wait, time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds = append(f.holds, call)
	if !f.listening {
		return dispatch.Report{}, 0, ErrNotListening
	}
	return dispatch.Report{ProcessStart: f.processStart, Ended: slices.Clone(f.ended)}, time.Minute, nil
}

// runHoldTest runs a test of hold calls in virtual time, with a context that ends with it.
func runHoldTest(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(2 * holdWait) // the last hold call ends
		}()
		test(ctx, t)
	})
}

func newRestartFixture(ctx context.Context, client *restartingClient) *controller {
	c := newTestController(ctx, client)
	c.validUntil.Store(int64(c.now().Add(time.Hour)))
	c.addWorkerConn(testWorker, true)
	c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
	runLoop(c, 3*time.Second, func() {})
	return c
}

// A worker restarts under its id between two hold calls. The recorded sequence of its earlier process must not let the new one
// forget ends that nobody has recorded, also not by way of a commit that was under way.
func TestRecordedSequenceEndsWithTheProcess(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{processStart: time.Second, listening: true}
		c := newRestartFixture(ctx, client)
		c.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 40})
		runLoop(c, 3*time.Second, func() {})
		c.committing = true
		client.set(2*time.Second, true)
		runLoop(c, 3*time.Second, func() {})
		c.handleCommitResult(ledger.Batch{}, map[dispatch.WorkerID]uint64{testWorker.ID: 41}, c.now(), nil)
		runLoop(c, 3*time.Second, func() {})
		if got := c.workerConns[testWorker.ID].recorded(); got != 0 {
			t.Errorf("sequence %d counts as recorded after the restart, want 0", got)
		}
		if last := client.holds[len(client.holds)-1]; last.Recorded != 0 {
			t.Errorf("the last hold call confirms the sequence %d, want 0", last.Recorded)
		}
	})
}

// A hold call that follows a failed one may meet a new process. It must not confirm ends of the earlier one.
func TestHoldAfterAFailureConfirmsNothing(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{processStart: time.Second, listening: true}
		c := newRestartFixture(ctx, client)
		c.setRecorded(map[dispatch.WorkerID]uint64{testWorker.ID: 40})
		runLoop(c, 3*time.Second, func() {})
		failedFrom := len(client.holds)
		client.set(time.Second, false)
		runLoop(c, 2*time.Second, func() {})
		for i, call := range client.holds[failedFrom+1:] {
			if call.Recorded != 0 {
				t.Fatalf("hold call %d after the first failure confirms the sequence %d, want 0", i, call.Recorded)
			}
		}
	})
}

// An owner was lost together with workers that it used. Nothing listens at their addresses, so jobs of the earlier owner must not
// wait for their leases to end.
func TestJobsDoNotWaitForAWorkerThatDoesNotListen(t *testing.T) {
	runHoldTest(t, func(ctx context.Context, t *testing.T) {
		client := &restartingClient{listening: false}
		c := newTestController(ctx, client)
		c.validUntil.Store(int64(c.now().Add(time.Hour)))
		c.engine.AwaitReport(testWorker.ID, testWorker.Pool)
		c.addWorkerConn(testWorker, true)
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		runLoop(c, 500*time.Millisecond, func() {})
		if !c.engine.ReportsComplete() {
			t.Error("the report of a worker whose process has ended is still awaited after half a second")
		}
	})
}
