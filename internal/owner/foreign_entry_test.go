package owner

import (
	"context"
	"testing"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
)

// otherAddress is the address of another worker than testWorker.
const otherAddress = "10.0.0.9:80"

// foreignEntries are entries of testWorker that another writer may have written.
func foreignEntries(entry dispatch.Worker) map[string]dispatch.Worker {
	address, pool, draining := entry, entry, entry
	address.Address = otherAddress
	pool.Pool = "other"
	draining.Pool, draining.Address, draining.Draining = "other", otherAddress, true
	return map[string]dispatch.Worker{"another address": address, "another pool": pool, "both, draining": draining}
}

// Guards against a task running in two places: an entry that another writer had written was copied to the ledger, so that the next owner
// called another worker, which refused the calls, or awaited the worker's report for the jobs of another pool. The entry comes while the
// worker runs a task, at a restart, or before the first row is committed.
func TestNextOwnerFindsTheWorkerByTheRowThatItWasUsedBy(t *testing.T) {
	for name := range foreignEntries(testWorker) {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 6*time.Second, func(ctx context.Context, l *leaseTest) {
				l.startTask()
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{foreignEntries(l.worker.entry())[name]}})
				runLoop(l.controller, 2*tickInterval, func() {})
				l.commitWorkerRow()
				l.expectOneRunAfterTakeover(ctx)
			})
		})
		t.Run(name+" at a restart", func(t *testing.T) {
			runLeaseTest(t, 6*time.Second, func(ctx context.Context, l *leaseTest) {
				l.worker.restart()
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{foreignEntries(l.worker.entry())[name]}})
				runLoop(l.controller, 2*holdWait, func() {})
				l.commitWorkerRow()
				for range 3 { // heartbeats
					l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
					l.commitWorkerRow()
					runLoop(l.controller, 2*holdWait, func() {})
				}
				l.startTask()
				l.expectOneRunAfterTakeover(ctx)
			})
		})
		t.Run(name+" before its row is committed", func(t *testing.T) {
			runHoldTest(t, func(ctx context.Context, t *testing.T) {
				worker := newLeasedWorker(6 * time.Second)
				l := &leaseTest{t: t, worker: worker}
				l.controller = l.newOwner(ctx)
				l.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{worker.entry()}})
				batch := l.takeBatch()
				l.committing = true
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{foreignEntries(worker.entry())[name]}})
				l.handleCommitResult(ledger.Batch{Workers: batch.Workers}, nil, l.now(), nil)
				l.recorded = batch.Workers[0]
				l.commitWorkerRow()
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{worker.entry()}})
				l.commitWorkerRow()
				runLoop(l.controller, 3*time.Second, func() {})
				l.startTask()
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{foreignEntries(worker.entry())[name]}})
				l.commitWorkerRow()
				l.expectOneRunAfterTakeover(ctx)
			})
		})
	}
}

// expectOneRunAfterTakeover checks that the next owner, which knows the worker by its row, doesn't start the worker's task elsewhere.
func (l *leaseTest) expectOneRunAfterTakeover(ctx context.Context) {
	l.t.Helper()
	l.worker.setCutOff(true)
	time.AfterFunc(holdWait, func() { l.worker.setCutOff(false) })
	l.takeOver(ctx, l.worker.entry())
	runLoop(l.controller, 4*holdWait, func() {
		if !l.worker.startedElsewhere().IsZero() {
			l.t.Fatalf("the next owner, by the row %+v, starts the task elsewhere while the worker runs it", l.recorded)
		}
	})
}

// A worker that starts again at another address, or in another pool, is used there once its former process has certainly ended.
func TestWorkerWithANewAddressIsUsedOnceItsLeaseIsOver(t *testing.T) {
	for name, moved := range foreignEntries(testWorker) {
		if moved.Draining {
			continue
		}
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 6*time.Second, func(_ context.Context, l *leaseTest) {
				l.startTask()
				l.worker.setCutOff(true)
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{foreignEntries(l.worker.entry())[name]}})
				runLoop(l.controller, longestWait(6*time.Second), func() {
					if l.worker.runs() && !l.engine.HasRuns(testWorker.ID) {
						l.t.Fatal("the run is given up while it goes on")
					}
				})
				row, committed := l.commitWorkerRow()
				if wc := l.workerConns[testWorker.ID]; !committed || wc == nil || wc.worker.Address != moved.Address || wc.worker.Pool != moved.Pool || row.Pool != moved.Pool {
					l.t.Errorf("the row is %+v (put: %t) after the lease, want the address %s and the pool %s in use", row, committed, moved.Address, moved.Pool)
				}
			})
		})
	}
}

// Guards against a task running in two places: the process that runs it has said that it is at another address by now, and another worker answers
// at the former one.
func TestOtherIncarnationAtAnAddressThatTheWorkerHasLeftEndsNoRuns(t *testing.T) {
	for name, refuse := range map[string]func(l *leaseTest, wc *workerConn){
		"a hold call": func(l *leaseTest, wc *workerConn) { l.handleHoldFailure(wc, ErrOtherIncarnation) },
		"an order":    func(l *leaseTest, wc *workerConn) { l.handleOrderFailure(wc, ErrOtherIncarnation) },
	} {
		t.Run(name+" is refused", func(t *testing.T) {
			runLeaseTest(t, 10*time.Second, func(_ context.Context, l *leaseTest) {
				l.startTask()
				l.addOtherWorker()
				runLoop(l.controller, 2*holdWait, func() {})
				moved := l.worker.entry()
				moved.Address = otherAddress
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{moved}})
				l.worker.setCutOff(true)
				since := time.Now()
				refuse(l, l.workerConns[testWorker.ID])
				l.expectOneRun(since, longestWait(10*time.Second))
			})
		})
	}
}

// Guards against a takeover that awaits the lease of a worker that has ended: another one answers at its address, and the registry has been read and
// lists it there, or no longer.
func TestOtherIncarnationAtTheAddressOfAnAwaitedWorkerEndsItsRuns(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "not listed": false} {
		t.Run(name, func(t *testing.T) {
			runHoldTest(t, func(ctx context.Context, t *testing.T) {
				row := testWorker
				row.Address = otherAddress
				c := newTestController(ctx, newLeasedWorker(6*time.Second))
				c.engine.AwaitReport(row.ID, row.Pool)
				c.addWorkerConn(row, true)
				change := RegistryChange{Full: true}
				if listed {
					change.Put = []dispatch.Worker{row}
				}
				c.handleRegistryChange(change)
				runLoop(c, 3*holdRetryDelay, func() {})
				if !c.engine.ReportsComplete() {
					t.Error("the worker's report is awaited although another one answers at its address")
				}
			})
		})
	}
}

// Guards against a task running in two places: an earlier owner, of the version before, had recorded an address that another writer had written.
// Another worker answers there, before or after the next owner has read the registry.
func TestOtherIncarnationAtARecordedAddressOfAnotherWriterEndsNoRuns(t *testing.T) {
	for name, delay := range map[string]time.Duration{"registry read at once": 0, "registry read later": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 6*time.Second, func(ctx context.Context, l *leaseTest) {
				l.startTask()
				l.recorded.Address = otherAddress
				since := time.Now()
				l.cancel()
				l.controller = l.newOwner(ctx)
				l.tokensGiven[testWorker.ID] = 100
				l.engine.AwaitReport(testWorker.ID, l.recorded.Pool)
				l.earlierOrdersUntil = l.now()
				l.addWorkerConn(l.recorded, true)
				l.addOtherWorker()
				other := l.workerConns["other"].worker
				spec := &graph.Spec{Steps: []graph.Step{{Count: 1, Claim: graph.Resources{MilliCPU: 1}}}}
				l.engine.AddJob(dispatch.JobInput{ID: "j", Queue: graph.Queue{Name: "q", Pool: "p", MaxAttempts: 1}, Spec: spec, ArrivedAt: l.now(), Unconfirmed: true})
				time.AfterFunc(delay, func() {
					l.post(func() {
						l.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{l.worker.entry(), other}})
					})
				})
				l.expectOneRun(since, longestWait(10*time.Second))
				if row, committed := l.commitWorkerRow(); !committed || row.Address != testWorker.Address {
					l.t.Errorf("the row is %+v (put: %t) after the lease, want the worker's address", row, committed)
				}
			})
		})
	}
}

// Guards against runs of jobs of another pool, and against rows with another address: an entry that another writer had written before the worker's first
// row was committed was taken for the worker's.
func TestEntryOfAnotherWriterBeforeTheFirstRowIsCommittedBringsNoRuns(t *testing.T) {
	for name := range foreignEntries(testWorker) {
		t.Run(name, func(t *testing.T) {
			runHoldTest(t, func(ctx context.Context, t *testing.T) {
				worker := newLeasedWorker(6 * time.Second)
				l := &leaseTest{t: t, worker: worker}
				l.controller = l.newOwner(ctx)
				l.handleRegistryChange(RegistryChange{Full: true, Put: []dispatch.Worker{worker.entry()}})
				batch := l.takeBatch()
				l.committing = true
				l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{foreignEntries(worker.entry())[name]}})
				l.handleCommitResult(ledger.Batch{Workers: batch.Workers}, nil, l.now(), nil)
				if row, committed := l.commitWorkerRow(); committed {
					t.Errorf("the row %+v is put by the entry of another writer", row)
				}
				addOneTask(l.controller, "j")
				runLoop(l.controller, 100*time.Millisecond, func() {})
				if worker.runs() {
					t.Error("the worker gets a run while its own entry is not there")
				}
			})
		})
	}
}

// A worker without runs whose process goes on listing itself elsewhere is used there, although it still answers at its former address. An entry
// that names another process leaves it where it answers.
func TestIdleWorkerIsUsedWhereItsProcessListsItself(t *testing.T) {
	for name := range foreignEntries(testWorker) {
		for start, moves := range map[time.Duration]bool{0: true, time.Hour: false} {
			t.Run(name+", later start: "+start.String(), func(t *testing.T) {
				runLeaseTest(t, 6*time.Second, func(_ context.Context, l *leaseTest) {
					moved := foreignEntries(l.worker.entry())[name]
					moved.ProcessStart += start
					l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{moved}})
					runLoop(l.controller, elsewhereDelay+2*tickInterval, func() {})
					row, committed := l.commitWorkerRow()
					if committed != moves || moves && (row.Address != moved.Address || row.Pool != moved.Pool) {
						l.t.Errorf("the row is %+v (put: %t) after the entry %+v, want it to be put: %t", row, committed, moved, moves)
					}
					if !moves {
						l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{l.worker.entry()}})
						l.startTask()
					}
				})
			})
		}
	}
}

// Guards against fencing tokens that are used up, without which late calls aren't told from others, and against a commit at each heartbeat: another
// writer's entry and the worker's own replaced each other, and the connection went to and fro with them.
func TestIdleWorkerStaysWhereItAnswersWhileEntriesAlternate(t *testing.T) {
	for name := range foreignEntries(testWorker) {
		t.Run(name, func(t *testing.T) {
			runLeaseTest(t, 6*time.Second, func(_ context.Context, l *leaseTest) {
				given := l.tokensGiven[testWorker.ID]
				for range 60 {
					for _, entry := range []dispatch.Worker{foreignEntries(l.worker.entry())[name], l.worker.entry()} {
						l.handleRegistryChange(RegistryChange{Put: []dispatch.Worker{entry}})
						runLoop(l.controller, time.Second, func() {})
						l.handleCommitResult(l.takeBatch(), nil, l.now(), nil)
					}
				}
				if used := l.tokensGiven[testWorker.ID] - given; used > 0 {
					l.t.Errorf("%d fencing tokens used in two minutes, want none", used)
				}
				l.startTask()
			})
		})
	}
}
