package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
)

// submit submits a job to any daemon until one has made it durable.
func (c *testCell) submit(id cell.JobID, kind cell.TaskKind, count int, pool, payload string) {
	c.t.Helper()
	spec := api.JobSpec{ID: id, Kind: kind, Count: count, Task: api.TaskSpec{
		Team: "sheets", Pool: pool, Payload: payload,
		Claim: cell.Resources{MilliCPU: 2000, MemoryMiB: 512, Slots: 1},
	}}
	c.send(http.MethodPost, c.targets()[0].http, api.PathJobs, spec)
}

// awaitJob waits until the job's status satisfies done.
func (c *testCell) awaitJob(id cell.JobID, done func(api.JobStatus) bool) {
	c.t.Helper()
	for {
		var s api.JobStatus
		if c.get(c.targets()[0].http, api.PathJobs+"/"+string(id), &s) && done(s) {
			return
		}
		c.mustHoldOnePlace()
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitRunning waits until the shards together run n tasks and none waits.
func (c *testCell) awaitRunning(n int) {
	c.t.Helper()
	for {
		var got struct {
			Shards []api.ShardStatus `json:"shards"`
		}
		running, queued := 0, 0
		whole := c.get(c.targets()[0].http, api.PathShards, &got)
		for _, s := range got.Shards {
			whole = whole && s.Workers > 0
			running += s.Running
			queued += s.Queued
		}
		if whole && running == n && queued == 0 {
			return
		}
		c.mustHoldOnePlace()
		time.Sleep(100 * time.Millisecond)
	}
}

// mustHoldOnePlace ends the test if a task has run in two places, since what it waits for may then never come.
func (c *testCell) mustHoldOnePlace() {
	c.t.Helper()
	if found := history.CheckNoConcurrentAttempts(c.workerHistory()); len(found) > 0 {
		for _, d := range c.targets() {
			c.t.Logf("%s:\n%s", d.http, d.out.tail(200_000))
		}
		c.t.Fatal(found)
	}
}

func TestJobsOutliveTheirOwners(t *testing.T) {
	t.Parallel()
	const tasks, more, replicas = 400, 100, 6
	c := startCell(t, testDaemons, testWorkers)
	c.submit("batch", cell.KindBatch, tasks, "callsheet", `{"run_ms":150}`)
	c.submit("service", cell.KindService, replicas, "callsheet", `{}`)
	c.submit("gang", cell.KindGang, 8, "callsheet", `{"run_ms":500}`)
	batches := map[cell.JobID]int{"batch": tasks}
	for k := range testDaemons {
		// Each death has a batch of its own besides: however long a daemon takes to start, work is under way when the next dies.
		batch := cell.JobID(fmt.Sprintf("batch-%d", k))
		batches[batch] = more
		before := len(c.workerHistory())
		c.submit(batch, cell.KindBatch, more, "callsheet", `{"run_ms":150}`)
		for len(c.workerHistory()) < before+60 {
			time.Sleep(10 * time.Millisecond)
		}
		killDaemonAt(c, 0)
	}
	for batch, count := range batches {
		c.awaitJob(batch, func(s api.JobStatus) bool { return s.Succeeded == count })
	}
	c.awaitJob("gang", func(s api.JobStatus) bool { return s.Succeeded == 8 })
	c.awaitJob("service", func(s api.JobStatus) bool { return s.Running == replicas })
	c.awaitRunning(replicas)
	entries := history.Merge(c.workerHistory())
	for _, v := range history.Check(entries, bounds) {
		t.Error(v)
	}
	for batch, count := range batches {
		checkRunsAgain(t, entries, batch, count)
	}
}

// killDaemonAt kills a daemon and replaces it.
func killDaemonAt(c *testCell, i int) {
	d := c.targets()[i]
	d.kill()
	c.addDaemon()
	c.remove(d)
}

// checkRunsAgain checks that an owner's death repeats no more of a batch than what ended since its progress was written.
func checkRunsAgain(t *testing.T, entries []history.Entry, batch cell.JobID, tasks int) {
	t.Helper()
	starts := make(map[cell.TaskID]int)
	for _, e := range entries {
		if e.Kind == history.KindLeaseStart {
			starts[e.Lease.Attempt.Task]++
		}
	}
	again := 0
	for i := range tasks {
		n := starts[cell.TaskID(fmt.Sprintf("%s/%d", batch, i))]
		if n == 0 {
			t.Errorf("%s/%d never ran", batch, i)
		}
		again += max(0, n-1)
	}
	t.Logf("%s: %d of %d tasks ran again after the deaths of %d owners", batch, again, tasks, testDaemons)
}
