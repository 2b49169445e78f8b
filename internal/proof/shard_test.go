package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/intent"
	"laburnumpoint/internal/shard"
	"laburnumpoint/internal/standin"
)

// Sizes of a run. Time is that of the test's fake clock.
const (
	seedCount     = 12
	runTime       = 20 * time.Minute
	settleTime    = 5 * time.Minute // without faults, at the end
	callerCount   = 12
	workerCount   = 6
	listLag       = time.Second
	maxShortFault = 20 * time.Second
	maxLongFault  = 3 * time.Minute // longer than the lease ttl and the retention time
	callTimeout   = 20 * time.Second
	maxTries      = 3
	longRunMS     = 30_000 // longer than callers wait
)

// maxStartAfterNotice is the brief's "a few seconds" to no new work on a leaving worker.
const maxStartAfterNotice = 3 * time.Second

// fixture is one shard with its workers, owners and callers.
type fixture struct {
	t        *testing.T
	fleet    *standin.Fleet
	table    *standin.Table
	intents  *intent.Log
	recorder *history.Recorder
	doc      config.Versioned
	epoch    atomic.Uint64
	stopped  atomic.Bool
	lastOpID atomic.Uint64
	vmsAdded int

	mu     sync.Mutex
	owners []*shard.Owner // the present one last
}

func newFixture(t *testing.T) *fixture {
	recorder := history.NewRecorder()
	r := &fixture{t: t, recorder: recorder, table: standin.NewTable(), doc: config.Versioned{Version: 1, Document: config.Default()}}
	r.fleet = standin.NewFleet(standin.FleetOptions{Recorder: recorder, ListLag: listLag})
	for range workerCount {
		r.addWorker()
	}
	r.intents = intent.New(r.table, "m", intent.Options{})
	t.Cleanup(r.intents.Close)
	r.takeOver()
	return r
}

func (r *fixture) addWorker() {
	r.vmsAdded++
	err := r.fleet.Add(cell.Worker{
		ID:       cell.WorkerID(fmt.Sprintf("w%03d", r.vmsAdded)),
		Rack:     fmt.Sprintf("rack-%d", r.vmsAdded%3),
		Capacity: cell.Resources{MilliCPU: 4000, MemoryMiB: 4096, Slots: 2},
	})
	if err != nil {
		r.t.Error(err)
	}
}

// takeOver starts an ownership under the next epoch. The owner before is not told.
func (r *fixture) takeOver() {
	epoch := r.epoch.Add(1)
	member := cell.MemberID(fmt.Sprint("m", epoch))
	o := shard.Start(shard.Params{
		Shard: "s", Epoch: cell.Epoch(epoch), Member: member, Runner: r.fleet.RunnerFor(member), Intents: r.intents,
		ConfirmOwnership: func(ctx context.Context) error { return r.confirmOwnership(ctx, epoch) },
		Config:           func() (config.Versioned, bool) { return r.doc, true },
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners = append(r.owners, o)
}

// confirmOwnership reads the ownership, which fails while the table is down.
func (r *fixture) confirmOwnership(ctx context.Context, epoch uint64) error {
	if _, err := r.table.Get(ctx, "shard"); err != nil {
		return err
	}
	if r.epoch.Load() != epoch {
		return shard.ErrNotOwner
	}
	return nil
}

// drawOwner returns the present owner, or at times the one before.
func (r *fixture) drawOwner(random *rand.Rand) *shard.Owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.owners)
	if n > 1 && random.IntN(10) == 0 {
		return r.owners[n-2]
	}
	return r.owners[n-1]
}

// listWorkers keeps telling the owners what the VM list says.
func (r *fixture) listWorkers() {
	for !r.stopped.Load() {
		if ws, err := r.fleet.Workers(r.t.Context()); err == nil {
			r.mu.Lock()
			for _, o := range r.owners {
				o.SetWorkers(ws)
			}
			r.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// runCaller makes requests, each with a few retries under its key.
func (r *fixture) runCaller(caller int, random *rand.Rand) {
	for n := 0; !r.stopped.Load(); n++ {
		task := newTask(cell.TaskID(fmt.Sprintf("t-%d-%d", caller, n)), random)
		for try := range maxTries {
			if r.callOnce(task, try > 0, random) {
				break
			}
			time.Sleep(randomUpTo(random, 3*time.Second))
		}
		time.Sleep(randomUpTo(random, 500*time.Millisecond))
	}
}

// newTask returns a request whose echo is its id and whose answer's padding is as long as its id.
func newTask(id cell.TaskID, random *rand.Rand) cell.Task {
	payload := standin.Payload{RunMS: 1 + random.Int64N(2000), AnswerBytes: len(id), Echo: string(id)}
	if random.IntN(20) == 0 {
		payload.RunMS = longRunMS
	}
	return cell.Task{
		ID: id, Kind: cell.KindRequest, Team: "default", Class: cell.ClassNormal, Idempotent: random.IntN(2) == 0,
		Claim:   cell.Resources{MilliCPU: 1000 + 1000*random.Int64N(2), MemoryMiB: 512, Slots: 1},
		Payload: payload.Encode(),
	}
}

// callOnce makes one call and reports whether its caller is content. Some callers go away.
func (r *fixture) callOnce(task cell.Task, retry bool, random *rand.Rand) bool {
	op := fmt.Sprint(r.lastOpID.Add(1))
	id := string(task.ID)
	ctx, cancel := r.t.Context(), func() {}
	if random.IntN(30) == 0 {
		ctx, cancel = context.WithTimeout(ctx, randomUpTo(random, callTimeout))
	}
	defer cancel()
	r.recorder.Add(history.Entry{Kind: history.KindCall, OpID: op, Call: &history.Call{Key: id, Echo: id, Idempotent: task.Idempotent, AnswerBytes: len(id)}})
	out := r.drawOwner(random).Run(ctx, shard.Request{
		Task: task, MaybeResent: retry, Arrived: time.Now(), Deadline: time.Now().Add(callTimeout),
	})
	r.recorder.Add(history.Entry{Kind: history.KindReturn, OpID: op, Return: &history.Return{Result: out.Result, Answer: out.Answer, Task: task.ID}})
	return out.Result == cell.ResultCompleted || out.Result == cell.ResultFailed
}

// injectFaults brings faults about until the run ends, then clears them.
func (r *fixture) injectFaults(random *rand.Rand) {
	for !r.stopped.Load() {
		time.Sleep(randomUpTo(random, 4*time.Second))
		length := randomUpTo(random, maxShortFault)
		if random.IntN(6) == 0 {
			length = randomUpTo(random, maxLongFault)
		}
		ids := r.fleet.WorkerIDs()
		r.injectFault(ids[random.IntN(len(ids))], length, random)
	}
	r.table.SetFaults(standin.TableFaults{})
	for _, id := range r.fleet.WorkerIDs() {
		r.fleet.Thaw(id)
		r.fleet.SetFaults(id, standin.WorkerFaults{})
	}
}

func (r *fixture) injectFault(id cell.WorkerID, length time.Duration, random *rand.Rand) {
	switch random.IntN(16) {
	case 0, 1:
		r.setWorkerFaults(id, standin.WorkerFaults{Unreachable: true}, length)
	case 2:
		member := cell.MemberID(fmt.Sprint("m", r.epoch.Load()))
		r.setWorkerFaults(id, standin.WorkerFaults{UnreachableFrom: []cell.MemberID{member}}, length)
	case 3, 4:
		r.setWorkerFaults(id, standin.WorkerFaults{Unresponsive: true}, length)
	case 5:
		r.setWorkerFaults(id, standin.WorkerFaults{DropAnswers: true}, length)
	case 6:
		r.setWorkerFaults(id, standin.WorkerFaults{TruncateAnswers: true, Delay: 300 * time.Millisecond}, length)
	case 7:
		r.setWorkerFaults(id, standin.WorkerFaults{FailTasks: true}, length)
	case 8, 9:
		r.fleet.Freeze(id)
		time.AfterFunc(length, func() { r.fleet.Thaw(id) })
	case 10:
		r.fleet.Restart(id)
	case 11:
		r.replaceWorker(id, length, random)
	case 12:
		r.setTableFaults(standin.TableFaults{Down: true}, length)
	case 13:
		r.setTableFaults(standin.TableFaults{LoseAnswers: 1 + random.IntN(5)}, length)
	case 14:
		r.setTableFaults(standin.TableFaults{ApplyLater: 1 + random.IntN(5), ApplyLaterDelay: randomUpTo(random, time.Second)}, length)
	default:
		if random.IntN(2) == 0 {
			r.takeOver()
		}
	}
}

// replaceWorker ends a worker, with or without notice, and adds another.
func (r *fixture) replaceWorker(id cell.WorkerID, notice time.Duration, random *rand.Rand) {
	if random.IntN(3) > 0 {
		return
	}
	r.addWorker()
	if random.IntN(2) == 0 {
		r.fleet.Crash(id)
		return
	}
	r.fleet.MarkLeaving(id)
	time.AfterFunc(notice, func() { r.fleet.Crash(id) })
}

func (r *fixture) setWorkerFaults(id cell.WorkerID, f standin.WorkerFaults, length time.Duration) {
	r.fleet.SetFaults(id, f)
	time.AfterFunc(length, func() { r.fleet.SetFaults(id, standin.WorkerFaults{}) })
}

func (r *fixture) setTableFaults(f standin.TableFaults, length time.Duration) {
	r.table.SetFaults(f)
	time.AfterFunc(length, func() { r.table.SetFaults(standin.TableFaults{}) })
}

// randomUpTo returns a random duration below the bound.
func randomUpTo(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}

// TestShardHoldsUnderFaults runs owners, workers and callers of one shard through faults drawn from fixed seeds, alone and
// together, and judges the record. Orders of goroutines may differ between runs; what must hold may not.
func TestShardHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runShard(t, seed) })
		})
	}
}

func runShard(t *testing.T, seed uint64) {
	r := newFixture(t)
	go r.listWorkers()
	go r.injectFaults(rand.New(rand.NewPCG(seed, 0)))
	var running sync.WaitGroup
	for i := range callerCount {
		running.Go(func() { r.runCaller(i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	time.Sleep(runTime)
	r.stopped.Store(true)
	running.Wait()
	time.Sleep(settleTime)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, o := range r.owners {
		o.Release(canceled)
	}
	r.checkHistory()
}

// checkHistory checks the record, and that it is one of real work.
func (r *fixture) checkHistory() {
	entries := r.recorder.Entries()
	results := make(map[cell.Result]int)
	for _, e := range entries {
		if e.Kind == history.KindReturn {
			results[e.Return.Result]++
		}
	}
	r.t.Logf("%d epochs, %d workers, outcomes %v", r.epoch.Load(), r.vmsAdded, results)
	if results[cell.ResultCompleted] < len(results) {
		r.t.Errorf("hardly a request was completed: %v", results)
	}
	for _, v := range history.Check(entries, history.Bounds{MaxStartAfterNotice: maxStartAfterNotice}) {
		r.t.Error(v)
	}
}
