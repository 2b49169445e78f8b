package owner

import (
	"context"
	"fmt"
	"math/bits"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/rowstore"
)

// rejectingStore rejects transactions that write a row of the job, unless it says that the job has failed, or remove one. It does the same for the
// worker of that name.
type rejectingStore struct {
	*rowstore.MemoryStore
	job string
	// allJobs means that it does so for every job.
	allJobs bool
	// renewals counts the transactions that write one row, which is the ownership's.
	renewals atomic.Int64
}

func (s *rejectingStore) Apply(ctx context.Context, tx rowstore.Tx) (uint64, []rowstore.Row, error) {
	for _, row := range tx.Put {
		rejects := strings.HasSuffix(row.Name, "/"+s.job) || s.allJobs && strings.HasPrefix(row.Name, "progress/")
		if rejects && !strings.Contains(string(row.Value), `"failed"`) {
			return 0, nil, rowstore.ErrRejected
		}
	}
	for _, key := range tx.Delete {
		if strings.HasSuffix(key.Name, "/"+s.job) {
			return 0, nil, rowstore.ErrRejected
		}
	}
	if len(tx.Put) == 1 {
		s.renewals.Add(1)
	}
	return s.MemoryStore.Apply(ctx, tx)
}

// progressRows returns the recorded progress of all jobs.
func progressRows(t *testing.T, store rowstore.Store) map[string]string {
	t.Helper()
	rows, _, _, err := store.Range(t.Context(), "laburnumpoint-progress", "", "progress/", "progress0")
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]string)
	for _, row := range rows {
		out[strings.TrimPrefix(row.Name, "progress/")] = string(row.Value)
	}
	return out
}

// Guards against a cell that stops: one row that the store rejects kept the progress of all other jobs and the renewal of the ownership
// from being written, again and again.
func TestRejectedRowDoesNotHoldBackOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const jobs = 50
		store := &rejectingStore{MemoryStore: rowstore.NewMemoryStore(), job: "17"}
		c, awaitCommit := newCommitController(ctx, t, store)
		for n := range jobs {
			addOneTask(c, graph.JobID(fmt.Sprint(n)))
			c.engine.MarkDirty(graph.JobID(fmt.Sprint(n)))
		}
		for range 20 {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		recorded := progressRows(t, store)
		if len(recorded) != jobs {
			t.Errorf("the progress of %d of %d jobs is recorded", len(recorded), jobs)
		}
		if state, _ := c.engine.JobState("17"); state != graph.Failed {
			t.Errorf("the job whose progress can't be recorded is %s, want failed", state)
		}
	})
}

// Guards against workers that can't forget ends, and so list only the first of them: in a busy cell each commit left some progress for the
// next one.
func TestEndsAreConfirmedWhileProgressIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c, awaitCommit := newCommitController(ctx, t, &failingStore{MemoryStore: rowstore.NewMemoryStore()})
		for n := range 2 * maxCommitRows {
			addOneTask(c, graph.JobID(fmt.Sprint(n)))
		}
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		c.commitChanges()
		awaitCommit()
		end := dispatch.EndedEntry{Sequence: 1, RunKey: dispatch.RunKey{Task: graph.TaskID{Job: "0"}, Number: 1}, End: dispatch.RunDone}
		c.engine.HandleReport("w", c.now(), dispatch.Report{Ended: []dispatch.EndedEntry{end}})
		for range 10 {
			for n := 1; n < 2*maxCommitRows; n++ {
				c.engine.MarkDirty(graph.JobID(fmt.Sprint(n)))
			}
			time.Sleep(commitDelay)
			c.commitChanges()
			awaitCommit()
		}
		if recorded := c.workerConns["w"].recorded(); recorded != 1 {
			t.Errorf("ends up to %d count as recorded after ten commits, want 1", recorded)
		}
		if !strings.Contains(progressRows(t, c.Replica.Store())["0"], string(graph.Completed)) {
			t.Error("the end that counts as recorded is not")
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against a job being failed since the store does not answer, or refuses for lack of time or room: only a lasting rejection of the
// job's own progress ends it.
func TestUnavailableStoreFailsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &failingStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		addOneTask(c, "j")
		store.unavailable.Store(true)
		const commits = 100
		for range commits {
			c.engine.MarkDirty("j")
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		if n := store.refused.Load(); n != commits {
			t.Errorf("the store got %d transactions for %d commits while it was unavailable", n, commits)
		}
		if state, _ := c.engine.JobState("j"); state.Ended() {
			t.Errorf("the job is %s after 10 s without the store", state)
		}
		store.unavailable.Store(false)
		time.Sleep(commitRetryDelay)
		c.commitChanges()
		awaitCommit()
		if len(progressRows(t, store)) != 1 {
			t.Error("the job's progress is not recorded though the store answers again")
		}
	})
}

// Guards against a rejected row that is never told from the others: in a busy cell its job came up again only after commits that had
// succeeded, among as many rows as before, so that it never failed and workers could forget no ends.
func TestRejectedRowIsFoundInABusyCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const (
			jobs = 4 * maxCommitRows
			// passCommits are enough to try each job once in full batches.
			passCommits = jobs / maxCommitRows
		)
		store := &rejectingStore{MemoryStore: rowstore.NewMemoryStore()}
		c, awaitCommit := newCommitController(ctx, t, store)
		commit := func(commits int) {
			for range commits {
				for n := range jobs {
					c.engine.MarkDirty(graph.JobID(fmt.Sprint(n)))
				}
				time.Sleep(commitRetryDelay)
				c.commitChanges()
				awaitCommit()
			}
		}
		for n := range jobs {
			addOneTask(c, graph.JobID(fmt.Sprint(n)))
		}
		c.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{testWorker}})
		commit(1)
		end := dispatch.EndedEntry{Sequence: 1, RunKey: dispatch.RunKey{Task: graph.TaskID{Job: "0"}, Number: 1}, End: dispatch.RunDone}
		c.engine.HandleReport("w", c.now(), dispatch.Report{Ended: []dispatch.EndedEntry{end}})
		store.job = "17"
		// The rejected batch is halved until the row is alone.
		halvings := bits.Len(maxCommitRows)
		commit(passCommits + halvings + 1)
		if state, _ := c.engine.JobState("17"); state != graph.Failed {
			t.Errorf("the job whose progress can't be recorded is %s, want failed", state)
		}
		// Batches grow to their full size again. The end counts as recorded with the second barrier, as the first one is older.
		commit(halvings + 2*passCommits)
		if recorded := c.workerConns["w"].recorded(); recorded != 1 {
			t.Errorf("ends up to %d count as recorded, want 1", recorded)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against commits that stay small for good: a job of a rejected batch that has been forgotten meanwhile is never recorded.
func TestForgottenSuspectKeepsNoCommitSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c, awaitCommit := newCommitController(ctx, t, rowstore.NewMemoryStore())
		addOneTask(c, "j")
		c.handleCommitFailure(ledger.Batch{Progress: map[graph.JobID]dispatch.Progress{"j": {}, "forgotten": {}}}, rowstore.ErrRejected)
		commit := func() {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		for range bits.Len(maxCommitRows) {
			c.engine.MarkDirty("j")
			commit()
		}
		for n := range maxCommitRows {
			addOneTask(c, graph.JobID(fmt.Sprint(n)))
			c.engine.MarkDirty(graph.JobID(fmt.Sprint(n)))
		}
		commit()
		if left := c.engine.DirtyJobs(); len(left) > 0 {
			t.Errorf("the progress of %d of %d jobs is left for a later commit", len(left), maxCommitRows)
		}
	})
}

// registerWorkers registers n new workers, w0 and so on.
func registerWorkers(c *controller, n int) {
	registered := RegistryChange{Full: true}
	for i := range n {
		w := testWorker
		w.ID = dispatch.WorkerID(fmt.Sprint("w", i))
		registered.Put = append(registered.Put, w)
	}
	c.handleRegistryChange(registered)
}

// Guards against new workers that wait for the search for a rejected row, and against a search that waits for them: each commit had one worker's
// row and nothing else. A row of either kind is rejected.
func TestRejectedRowIsFoundWhileManyWorkersAreNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const (
			workers = 10 * maxCommitRows
			jobs    = maxCommitRows
			// workerCommits are enough for the workers if they get half of each commit.
			workerCommits = 2 * workers / maxCommitRows
		)
		store := &rejectingStore{MemoryStore: rowstore.NewMemoryStore(), job: "w17"}
		c, awaitCommit := newCommitController(ctx, t, store)
		for n := range jobs {
			addOneTask(c, graph.JobID(fmt.Sprint("w", n)))
			c.engine.MarkDirty(graph.JobID(fmt.Sprint("w", n)))
		}
		registerWorkers(c, workers)
		searchCommits := 2 * 2 * bits.Len(maxCommitRows)
		for range workerCommits + searchCommits {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		if state, _ := c.engine.JobState("w17"); state != graph.Failed {
			t.Errorf("the job whose progress can't be recorded is %s, want failed", state)
		}
		if len(c.workerConns) != workers-1 || c.workerConns["w17"] != nil || c.engine.HasDirty() {
			t.Errorf("%d of %d workers are recorded, want all but the rejected one; the progress of %d jobs is not", len(c.workerConns), workers, len(c.engine.DirtyJobs()))
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against commits without rows for good: a worker of a rejected batch has left the registry meanwhile, so that its row is never recorded.
func TestUnregisteredSuspectHoldsBackNoWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c, awaitCommit := newCommitController(ctx, t, rowstore.NewMemoryStore())
		registerWorkers(c, 2)
		c.handleCommitFailure(c.takeBatch(), rowstore.ErrRejected)
		c.handleRegistryChange(RegistryChange{Removed: []dispatch.WorkerID{"w0"}})
		for range 2 * bits.Len(maxCommitRows) {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		registerWorkers(c, maxCommitRows)
		for range 3 {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		if len(c.workerConns) != maxCommitRows {
			t.Errorf("%d of %d workers are recorded", len(c.workerConns), maxCommitRows)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against a worker's row that the store never takes and that keeps other workers from being used.
func TestRejectedWorkerRowDoesNotHoldBackOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const workers = 2 * maxCommitRows
		store := &rejectingStore{MemoryStore: rowstore.NewMemoryStore(), job: "w17"}
		c, awaitCommit := newCommitController(ctx, t, store)
		registerWorkers(c, workers)
		commit := func() {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		commit()
		addOneTask(c, "j")
		c.engine.MarkDirty("j")
		for range 2 * bits.Len(maxCommitRows) {
			commit()
			commit()
			if c.engine.HasDirty() {
				t.Error("the progress of a job waits for the search of a worker's row")
			}
			c.engine.MarkDirty("j")
		}
		if len(c.workerConns) != workers-1 || c.workerConns["w17"] != nil {
			t.Errorf("%d of %d workers are recorded, want all but the rejected one", len(c.workerConns), workers)
		}
		if state, _ := c.engine.JobState("j"); state.Ended() {
			t.Errorf("the job is %s", state)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against an owner that gives no orders and loses the cell while the store answers: the rows of many jobs were rejected, and each commit
// that renews the ownership had one of them.
func TestOwnershipIsRenewedWhileManyRowsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &rejectingStore{MemoryStore: rowstore.NewMemoryStore(), allJobs: true}
		c, awaitCommit := newCommitController(ctx, t, store)
		c.validUntil.Store(int64(c.now().Add(ownershipValidity)))
		for n := range maxCommitRows {
			addOneTask(c, graph.JobID(fmt.Sprint(n)))
			c.engine.MarkDirty(graph.JobID(fmt.Sprint(n)))
		}
		began, longest := time.Now(), time.Duration(0)
		const workersAt, workersUsedAt, workers = 3 * time.Second, 6 * time.Second, maxCommitRows / 2
		for c.engine.HasDirty() && time.Since(began) < time.Minute {
			time.Sleep(commitDelay)
			if time.Since(began) >= workersAt && len(c.registered) == 0 {
				registerWorkers(c, workers)
			}
			c.commitChanges()
			awaitCommit()
			if time.Since(began) >= workersUsedAt && len(c.workerConns) < workers {
				t.Errorf("%d of %d new workers are used after %s", len(c.workerConns), workers, workersUsedAt-workersAt)
			}
			longest = max(longest, c.now().Sub(c.lastRenewalAt))
			if !c.ownershipValid() {
				t.Errorf("the owner may give no orders after %s, %s without a renewal", time.Since(began), c.now().Sub(c.lastRenewalAt))
			}
		}
		if most := int64(time.Since(began)/renewInterval) + 2; store.renewals.Load() > most {
			t.Errorf("%d transactions renew the ownership alone in %s, want %d at most", store.renewals.Load(), time.Since(began), most)
		}
		for n := range maxCommitRows {
			if state, _ := c.engine.JobState(graph.JobID(fmt.Sprint(n))); state != graph.Failed {
				t.Errorf("job %d, whose progress can't be recorded, is %s after %s, want failed", n, state, time.Since(began))
			}
		}
		t.Logf("%d jobs failed after %s, %s without a renewal at most", maxCommitRows, time.Since(began), longest)
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against a former owner that goes on searching for a rejected row: the store rejects the commit before it looks at the ownership row.
func TestRejectedCommitTellsThatAnotherDaemonOwnsTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &rejectingStore{MemoryStore: rowstore.NewMemoryStore(), allJobs: true}
		c, awaitCommit := newCommitController(ctx, t, store)
		addOneTask(c, "j")
		c.engine.MarkDirty("j")
		if _, err := c.Replica.Acquire(ctx, c.Replica.Owner(), ledger.OwnerRecord{Node: "b", Incarnation: "b"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(renewInterval)
		c.commitChanges()
		awaitCommit()
		if state, _ := c.engine.JobState("j"); !c.ownershipLost || state.Ended() {
			t.Errorf("ownership lost: %t, the job is %s; want it lost and the job left to the next owner", c.ownershipLost, state)
		}
	})
}

// Guards against progress that is removed again and again: one row that can't be kept others from being removed.
func TestRejectedRemovalDoesNotHoldBackOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &rejectingStore{MemoryStore: rowstore.NewMemoryStore(), job: "17"}
		c, awaitCommit := newCommitController(ctx, t, store)
		for n := range maxCommitRows {
			c.removableProgress[graph.JobID(fmt.Sprint(n))] = struct{}{}
		}
		for range 2 * maxCommitRows {
			time.Sleep(commitRetryDelay)
			c.commitChanges()
			awaitCommit()
		}
		if left := len(c.removableProgress); left > 0 {
			t.Errorf("the progress of %d of %d jobs waits to be removed", left, maxCommitRows)
		}
	})
}
