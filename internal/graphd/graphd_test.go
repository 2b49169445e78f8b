package graphd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphapi"
	"laburnumpoint/internal/graphproto"
	"laburnumpoint/internal/loopbacktest"
	"laburnumpoint/internal/owner"
	"laburnumpoint/internal/standin/graphwork"
)

// testTimeout limits each wait of a test. It only fails tests that would otherwise wait forever.
const testTimeout = 20 * time.Second

const (
	queue = "nightly"
	idA   = "00000000000000aa"
	idB   = "00000000000000bb"
)

// poolWorkers is the number of workers of the tests' pool.
const poolWorkers = 4

// poolCapacity is the usual capacity of each.
var poolCapacity = graph.Resources{MilliCPU: 4000, MemoryMB: 4000}

// testCell is a simulated cluster with daemons and a client.
type testCell struct {
	*testing.T
	cluster *graphwork.Cluster
	daemons []*testDaemon
	caller  *graphapi.Client
	// retention and refuseOverload are the daemons' settings Retention and RefuseOverload.
	retention      time.Duration
	refuseOverload bool
	// daemonLog is what the daemons write; it is printed if the test fails.
	daemonLog *logBuffer
	// wrapWorkers replaces the daemons' client of workers; nil leaves it.
	wrapWorkers func(owner.WorkerClient) owner.WorkerClient
	// otherQueues are queues beside the one of most tests.
	otherQueues []graphproto.Queue
}

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

type testDaemon struct {
	*Daemon
	stop  context.CancelFunc
	ended chan error
}

func newCell(t *testing.T, daemons int) *testCell { return newCellWithRetention(t, daemons, time.Hour) }

func newCellWithRetention(t *testing.T, daemons int, retention time.Duration) *testCell {
	t.Helper()
	c := &testCell{T: t, retention: retention}
	c.startCluster()
	for i := range daemons {
		c.startDaemon(fmt.Sprint("vm-", i))
	}
	return c
}

func (c *testCell) startCluster() {
	t := c.T
	t.Helper()
	c.daemonLog = &logBuffer{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of the daemons:\n%s", c.daemonLog.text())
		}
	})
	pools := []graphwork.Pool{{Name: "sheets", Workers: poolWorkers, Capacity: poolCapacity, Labels: []string{"fast"}}}
	queues := graphproto.QueueConfig{Version: 1, Queues: []graphproto.Queue{{Name: queue, Pool: "sheets", MaxAttempts: 2, Stretch: 2, TargetMS: 500}}}
	queues.Queues = append(queues.Queues, c.otherQueues...)
	cluster, err := graphwork.NewCluster(t.Context(), "127.0.0.1:0", pools, queues)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cluster.Close() })
	c.cluster, c.caller = cluster, &graphapi.Client{RetryFor: testTimeout, HTTP: &http.Client{}}
}

func (c *testCell) startDaemon(node string) {
	c.Helper()
	settings := Settings{
		Node: node, Zone: "z", CallerAddr: c.freeAddr(), ReadyAddr: c.freeAddr(), MetricsAddr: c.freeAddr(), PeerAddr: "127.0.0.1:0",
		Cores: 1, MaxLease: 10 * time.Second, MaxConfigDelay: 2 * time.Second, StopGrace: 3 * time.Second, Retention: c.retention, BalancerDelay: 100 * time.Millisecond,
		Orders: flowcontrol.DefaultOptions(), RefuseOverload: c.refuseOverload,
	}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: c.daemonLog}}
	backends := NativeBackends(c.cluster.StoreAddr)
	if c.wrapWorkers != nil {
		backends.Workers = c.wrapWorkers(backends.Workers)
	}
	d, err := New(settings, backends, logger, metrics.NewSet())
	if err != nil {
		c.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	daemon := &testDaemon{d, stop, make(chan error, 1)}
	go func() { daemon.ended <- d.Run(ctx) }()
	c.Cleanup(stop)
	c.daemons = append(c.daemons, daemon)
	c.caller.Servers = append(c.caller.Servers, settings.CallerAddr)
	c.eventually("daemon ready", func() bool {
		select {
		case err := <-daemon.ended:
			c.Fatalf("the daemon ended before it was ready: %v", err)
		default:
		}
		resp, err := http.Get("http://" + settings.ReadyAddr)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (c *testCell) freeAddr() string { return fmt.Sprintf("127.0.0.1:%d", loopbacktest.Port(c.T)) }

func (c *testCell) eventually(what string, ok func() bool) {
	c.Helper()
	if !c.isSoon(ok) {
		c.Fatalf("timed out waiting for: %s", what)
	}
}

// isSoon reports whether ok returns true within testTimeout.
func (c *testCell) isSoon(ok func() bool) bool {
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

func (c *testCell) submit(id string, job *graphapi.Job) {
	c.Helper()
	if _, err := c.caller.Submit(c.Context(), queue, id, job); err != nil {
		c.Fatal(err)
	}
}

func (c *testCell) waitForState(id string, want graph.JobState) {
	c.Helper()
	var last string
	ok := c.isSoon(func() bool {
		answer, err := c.caller.State(c.Context(), queue, id)
		last = fmt.Sprintf("%s, error %v", answer.State, err)
		return err == nil && answer.State == want
	})
	if !ok {
		c.Fatalf("timed out waiting for job %s %s, last state %s", id, want, last)
	}
}

// checkRuns checks that the workers completed the given number of the job's tasks and ran no task twice.
func (c *testCell) checkRuns(id string, tasks int) {
	c.Helper()
	runs := c.cluster.Workers.Runs()
	if duplicates := graphwork.DuplicateRuns(runs); len(duplicates) > 0 {
		c.Errorf("runs of one task overlapped, or one began after the task was done: %v", duplicates)
	}
	done := make(map[graph.TaskID]struct{})
	for _, r := range runs {
		if string(r.Key.Task.Job) == id && (r.Outcome == "done" || r.Outcome == graphwork.UnconfirmedDone) {
			done[r.Key.Task] = struct{}{}
		}
	}
	if len(done) != tasks {
		c.Errorf("%d tasks of job %s are done, want %d", len(done), id, tasks)
	}
}

func step(count int, after ...int) graphapi.Step {
	return graphapi.Step{Count: count, MilliCPU: 500, MemoryMB: 100, EstimateMS: 30, After: after}
}

// A job of three steps, the second a gang and the last with a label, is submitted to one daemon and queried at any.
func TestGraphWithGangAndLabel(t *testing.T) {
	c := newCell(t, 3)
	gang, labelled := step(4, 0), step(2, 1)
	gang.Gang, labelled.Label = true, "fast"
	c.submit(idA, &graphapi.Job{Payload: `{"run_ms":30,"gangs":{"1":4}}`, Steps: []graphapi.Step{step(3), gang, labelled}})
	c.waitForState(idA, graph.Completed)
	c.checkRuns(idA, 9)
	last := map[int]time.Time{}
	for _, r := range c.cluster.Workers.Runs() {
		if s := r.Key.Task.Step; s > 0 && r.StartedAt.Before(last[s-1]) {
			t.Errorf("step %d began before step %d was done", s, s-1)
		}
		if r.Key.Task.Step == 2 && !strings.HasSuffix(string(r.Worker), "0") && !strings.HasSuffix(string(r.Worker), "2") {
			t.Errorf("a task that needs the label ran on %s", r.Worker)
		}
		if r.EndedAt.After(last[r.Key.Task.Step]) {
			last[r.Key.Task.Step] = r.EndedAt
		}
	}
}

// Guards against a task that crashes its workers being started without end through the product's own interface, and against other jobs
// failing with it. The workers restart under their ids.
func TestCrashingTaskFailsItsJobAndNoOther(t *testing.T) {
	const maxStarts = 5 // three crashes and two more starts
	c := newCell(t, 2)
	c.submit(idA, &graphapi.Job{Payload: `{"run_ms":30000,"crash_ms":5}`, Steps: []graphapi.Step{step(1)}}) // never done before its worker crashes
	c.submit(idB, &graphapi.Job{Payload: `{"run_ms":30}`, Steps: []graphapi.Step{step(3)}})
	c.waitForState(idA, graph.Failed)
	c.waitForState(idB, graph.Completed)
	c.checkRuns(idB, 3)
	starts := 0
	for _, r := range c.cluster.Workers.Runs() {
		if string(r.Key.Task.Job) == idA {
			starts++
		}
	}
	if starts > maxStarts {
		t.Errorf("the task was started %d times, want at most %d", starts, maxStarts)
	}
}

// Guards against starts beyond the capacity of a worker that has shrunk, and against the capacity being lost when it grows again.
func TestCapacityOfAWorkerShrinksAndGrows(t *testing.T) {
	c := newCell(t, 1)
	setCPU := func(milliCPU int64) {
		capacity := poolCapacity
		capacity.MilliCPU = milliCPU
		for i := range poolWorkers {
			if err := c.cluster.SetCapacity(dispatch.WorkerID(fmt.Sprintf("sheets-%d", i)), capacity); err != nil {
				t.Fatal(err)
			}
		}
	}
	setCPU(500)
	time.Sleep(500 * time.Millisecond) // the owner hears of it
	c.submit(idA, &graphapi.Job{Payload: `{"run_ms":300}`, Steps: []graphapi.Step{step(2 * poolWorkers)}})
	c.waitForState(idA, graph.Completed)
	c.checkRuns(idA, 2*poolWorkers)
	running := map[dispatch.WorkerID]time.Time{}
	for _, r := range c.cluster.Workers.Runs() {
		if r.StartedAt.Before(running[r.Worker]) {
			t.Errorf("two runs at a time on %s, which has room for one", r.Worker)
		}
		running[r.Worker] = r.EndedAt
	}
	setCPU(poolCapacity.MilliCPU)
	c.submit(idB, &graphapi.Job{Payload: `{"run_ms":30}`, Steps: []graphapi.Step{{Count: 1, MilliCPU: 4000, MemoryMB: 100, EstimateMS: 30}}})
	c.waitForState(idB, graph.Completed)
}

func TestCancelStopsWhatRuns(t *testing.T) {
	c := newCell(t, 2)
	c.submit(idA, &graphapi.Job{Payload: `{"forever":true}`, Steps: []graphapi.Step{{Count: 3, MilliCPU: 100, LongRunning: true}}})
	running := func() (n int) {
		for _, r := range c.cluster.Workers.Runs() {
			if r.Outcome == "" {
				n++
			}
		}
		return n
	}
	c.eventually("all tasks running", func() bool { return running() == 3 })
	if _, err := c.caller.Cancel(t.Context(), queue, idA); err != nil {
		t.Fatal(err)
	}
	c.waitForState(idA, graph.Cancelled)
	c.eventually("all runs stopped", func() bool { return running() == 0 })
	c.checkRuns(idA, 0)
}

func TestOccurrencesRunAtTheirTimes(t *testing.T) {
	c := newCell(t, 1)
	begin := time.Now().Add(300 * time.Millisecond)
	c.submit(idA, &graphapi.Job{Payload: `{"run_ms":10}`, Steps: []graphapi.Step{step(2)}, Occurrences: 3, StartAt: begin, IntervalMS: 200})
	c.waitForState(idA, graph.Completed)
	c.checkRuns(idA, 6)
	for _, r := range c.cluster.Workers.Runs() {
		if due := begin.Add(time.Duration(r.Key.Task.Occurrence) * 200 * time.Millisecond); r.StartedAt.Before(due) {
			t.Errorf("occurrence %d began %s early", r.Key.Task.Occurrence, due.Sub(r.StartedAt))
		}
	}
}

// The owner is stopped while tasks run: another daemon takes over, and nothing runs twice.
func TestPlannedStopOfTheOwner(t *testing.T) {
	c := newCell(t, 3)
	c.submit(idA, &graphapi.Job{Payload: `{"run_ms":400}`, Steps: []graphapi.Step{step(6), step(6, 0)}})
	owner := func() *testDaemon {
		for _, d := range c.daemons {
			if d.Owner.IsOwner() {
				return d
			}
		}
		return nil
	}
	c.eventually("first step running", func() bool { return len(c.cluster.Workers.Runs()) == 6 })
	first := owner()
	first.stop()
	if err := <-first.ended; err != nil {
		t.Error(err)
	}
	c.waitForState(idA, graph.Completed)
	c.checkRuns(idA, 12)
}

// The rows of ended jobs are deleted, first their records and then their progress, even if the owner changes in between.
// Nothing runs again.
func TestEndedJobsAreForgotten(t *testing.T) {
	c := newCellWithRetention(t, 2, 500*time.Millisecond)
	c.submit(idA, &graphapi.Job{Payload: `{"run_ms":10}`, Steps: []graphapi.Step{step(3)}})
	c.submit(idB, &graphapi.Job{Payload: `{"forever":true}`, Steps: []graphapi.Step{step(1)}})
	c.waitForState(idA, graph.Completed)
	if _, err := c.caller.Cancel(t.Context(), queue, idB); err != nil {
		t.Fatal(err)
	}
	// removed returns the version at which a row was removed; 0 while it exists.
	removed := func(table, name string) (version uint64) {
		changes, _, err := c.cluster.Store.Feed(t.Context(), table, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, change := range changes {
			if change.Name == name && change.Removed {
				version = change.Version
			}
		}
		return version
	}
	record := func(name string) uint64 { return removed("laburnumpoint-intake", name) }
	progress := func(id string) uint64 { return removed("laburnumpoint-progress", "progress/"+id) }
	c.eventually("records of the jobs removed", func() bool { return record("job/"+idA) > 0 && record("job/"+idB) > 0 && record("cancel/"+idB) > 0 })
	for _, d := range c.daemons {
		if d.Owner.IsOwner() {
			d.stop()
			<-d.ended
			break
		}
	}
	c.eventually("progress of the jobs removed", func() bool { return progress(idA) > 0 && progress(idB) > 0 })
	for _, id := range []string{idA, idB} {
		if progress(id) < record("job/"+id) {
			t.Errorf("job %s: the progress row was removed before the record", id)
		}
	}
	var refused *graphapi.RefusedError
	c.eventually("state of the removed job not found", func() bool {
		_, err := c.caller.State(t.Context(), queue, idA)
		return errors.As(err, &refused) && refused.Status == http.StatusNotFound
	})
	c.checkRuns(idA, 3)
}

func TestWhyAndPending(t *testing.T) {
	c := newCell(t, 2)
	large := graphapi.Step{Count: 1, MilliCPU: 99_000}
	c.submit(idA, &graphapi.Job{Payload: `{}`, Steps: []graphapi.Step{large}})
	for range c.daemons { // the owner, and a daemon that relays the query to it
		c.eventually("explanation with the missing capacity", func() bool {
			answer, err := c.caller.Explain(t.Context(), queue, idA)
			return err == nil && strings.Contains(strings.Join(answer.Reasons, "\n"), "0 of these have capacity for one task")
		})
		c.caller.Servers = append(c.caller.Servers[1:], c.caller.Servers[0])
	}
	c.eventually("one pending job", func() bool {
		answer, err := c.caller.Pending(t.Context(), queue)
		return err == nil && answer.Pending != nil && *answer.Pending == 1
	})
}

// Invalid requests and requests for unknown queues or jobs are refused, and nothing of them runs.
func TestBadRequests(t *testing.T) {
	c := newCell(t, 1)
	good := `{"payload":"{}","steps":[{"count":1}]}`
	cases := map[string]struct {
		method, path, body string
		status             int
	}{
		"malformed JSON":   {http.MethodPut, "/v1/queues/nightly/jobs/" + idA, `{"steps":`, http.StatusBadRequest},
		"two values":       {http.MethodPut, "/v1/queues/nightly/jobs/" + idA, good + good, http.StatusBadRequest},
		"unknown field":    {http.MethodPut, "/v1/queues/nightly/jobs/" + idA, `{"steps":[{"count":1,"gpus":1}]}`, http.StatusBadRequest},
		"no steps":         {http.MethodPut, "/v1/queues/nightly/jobs/" + idA, `{"payload":"{}"}`, http.StatusBadRequest},
		"negative count":   {http.MethodPut, "/v1/queues/nightly/jobs/" + idA, `{"steps":[{"count":-1}]}`, http.StatusBadRequest},
		"huge count":       {http.MethodPut, "/v1/queues/nightly/jobs/" + idA, `{"steps":[{"count":100000000}]}`, http.StatusBadRequest},
		"cycle":            {http.MethodPut, "/v1/queues/nightly/jobs/" + idA, `{"steps":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		"id of other form": {http.MethodPut, "/v1/queues/nightly/jobs/xyz", good, http.StatusBadRequest},
		"too large":        {http.MethodPut, "/v1/queues/nightly/jobs/" + idA, `{"payload":"` + strings.Repeat("x", 300<<10) + `"}`, http.StatusRequestEntityTooLarge},
		"unknown queue":    {http.MethodPut, "/v1/queues/other/jobs/" + idA, good, http.StatusNotFound},
		"unknown job":      {http.MethodGet, "/v1/queues/nightly/jobs/" + idB, "", http.StatusNotFound},
		"cancel unknown":   {http.MethodDelete, "/v1/queues/nightly/jobs/" + idB, "", http.StatusNotFound},
	}
	for name, tc := range cases {
		req, err := http.NewRequest(tc.method, "http://"+c.caller.Servers[0]+tc.path, strings.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		resp.Body.Close()
		if resp.StatusCode != tc.status {
			t.Errorf("%s: status %d, want %d", name, resp.StatusCode, tc.status)
		}
	}
	var refused *graphapi.RefusedError
	if _, err := c.caller.State(t.Context(), queue, idA); !errors.As(err, &refused) || refused.Status != http.StatusNotFound {
		t.Errorf("state of the job after refusals: error %v, want status 404", err)
	}
	if runs := c.cluster.Workers.Runs(); len(runs) > 0 {
		t.Errorf("%d runs of refused jobs", len(runs))
	}
}
