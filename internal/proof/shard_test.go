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

// Sizes and durations of a run. Durations are those of the test's fake clock.
const (
	seedCount     = 12
	runTime       = 20 * time.Minute
	settleTime    = 5 * time.Minute // at the end, without faults
	callerCount   = 12
	workerCount   = 6
	listLag       = time.Second
	maxShortFault = 20 * time.Second
	maxLongFault  = 3 * time.Minute // longer than the lease TTL and the retention time
	callTimeout   = 20 * time.Second
	maxTries      = 3
	longRunMS     = 30_000 // longer than callTimeout
)

// maxStartAfterNotice bounds how long after its notice a leaving worker may still be given new work. The requirement says
// "a few seconds".
const maxStartAfterNotice = 3 * time.Second

// fixture holds one shard with its workers, owners and callers.
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
	owners []*shard.Owner // in order of their epochs, the current one last
}

func newFixture(t *testing.T) *fixture {
	recorder := history.NewRecorder()
	f := &fixture{t: t, recorder: recorder, table: standin.NewTable(), doc: config.Versioned{Version: 1, Document: config.Default()}}
	f.fleet = standin.NewFleet(standin.FleetOptions{Recorder: recorder, ListLag: listLag})
	for range workerCount {
		f.addWorker()
	}
	f.intents = intent.New(f.table, "m", intent.Options{})
	t.Cleanup(f.intents.Close)
	f.takeOver()
	return f
}

func (f *fixture) addWorker() {
	f.vmsAdded++
	err := f.fleet.Add(cell.Worker{
		ID:       cell.WorkerID(fmt.Sprintf("w%03d", f.vmsAdded)),
		Rack:     fmt.Sprintf("rack-%d", f.vmsAdded%3),
		Capacity: cell.Resources{MilliCPU: 4000, MemoryMiB: 4096, Slots: 2},
	})
	if err != nil {
		f.t.Error(err)
	}
}

// takeOver starts an owner under the next epoch without telling the previous one.
func (f *fixture) takeOver() {
	epoch := f.epoch.Add(1)
	member := cell.MemberID(fmt.Sprint("m", epoch))
	o := shard.Start(shard.Params{
		Shard: "s", Epoch: cell.Epoch(epoch), Member: member, Runner: f.fleet.RunnerFor(member), Intents: f.intents,
		ConfirmOwnership: func(ctx context.Context) error { return f.confirmOwnership(ctx, epoch) },
		Config:           func() (config.Versioned, bool) { return f.doc, true },
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owners = append(f.owners, o)
}

// confirmOwnership reports whether the epoch is still the current one. It fails while the table is unreachable.
func (f *fixture) confirmOwnership(ctx context.Context, epoch uint64) error {
	if _, err := f.table.Get(ctx, "shard"); err != nil {
		return err
	}
	if f.epoch.Load() != epoch {
		return shard.ErrNotOwner
	}
	return nil
}

// drawOwner returns the current owner, or in one of ten cases the previous one.
func (f *fixture) drawOwner(random *rand.Rand) *shard.Owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.owners)
	if n > 1 && random.IntN(10) == 0 {
		return f.owners[n-2]
	}
	return f.owners[n-1]
}

// listWorkers passes the VM list to every owner once a second until the run stops.
func (f *fixture) listWorkers() {
	for !f.stopped.Load() {
		if ws, err := f.fleet.Workers(f.t.Context()); err == nil {
			f.mu.Lock()
			for _, o := range f.owners {
				o.SetWorkers(ws)
			}
			f.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// runCaller sends requests one after the other until the run stops, each in up to maxTries tries under the same key.
func (f *fixture) runCaller(caller int, random *rand.Rand) {
	for n := 0; !f.stopped.Load(); n++ {
		task := newTask(cell.TaskID(fmt.Sprintf("t-%d-%d", caller, n)), random)
		for try := range maxTries {
			if f.callOnce(task, try > 0, random) {
				break
			}
			time.Sleep(randomUpTo(random, 3*time.Second))
		}
		time.Sleep(randomUpTo(random, 500*time.Millisecond))
	}
}

// newTask returns a request whose echo is its id and whose answer has as many bytes of padding as its id.
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

// callOnce sends one try of a request and reports whether it completed or failed. In one of 30 cases the caller cancels the
// call before its deadline.
func (f *fixture) callOnce(task cell.Task, retry bool, random *rand.Rand) bool {
	op := fmt.Sprint(f.lastOpID.Add(1))
	id := string(task.ID)
	ctx, cancel := f.t.Context(), func() {}
	if random.IntN(30) == 0 {
		ctx, cancel = context.WithTimeout(ctx, randomUpTo(random, callTimeout))
	}
	defer cancel()
	f.recorder.Add(history.Entry{Kind: history.KindCall, OpID: op, Call: &history.Call{Key: id, Echo: id, Idempotent: task.Idempotent, AnswerBytes: len(id)}})
	out := f.drawOwner(random).Run(ctx, shard.Request{
		Task: task, MaybeResent: retry, Arrived: time.Now(), Deadline: time.Now().Add(callTimeout),
	})
	f.recorder.Add(history.Entry{Kind: history.KindReturn, OpID: op, Return: &history.Return{Result: out.Result, Answer: out.Answer, Task: task.ID}})
	return out.Result == cell.ResultCompleted || out.Result == cell.ResultFailed
}

// injectFaults injects random faults until the run stops, then clears them.
func (f *fixture) injectFaults(random *rand.Rand) {
	for !f.stopped.Load() {
		time.Sleep(randomUpTo(random, 4*time.Second))
		length := randomUpTo(random, maxShortFault)
		if random.IntN(6) == 0 {
			length = randomUpTo(random, maxLongFault)
		}
		ids := f.fleet.WorkerIDs()
		f.injectFault(ids[random.IntN(len(ids))], length, random)
	}
	f.table.SetFaults(standin.TableFaults{})
	for _, id := range f.fleet.WorkerIDs() {
		f.fleet.Thaw(id)
		f.fleet.SetFaults(id, standin.WorkerFaults{})
	}
}

// injectFault injects one random fault, most of them on the given worker and for the given time.
func (f *fixture) injectFault(id cell.WorkerID, length time.Duration, random *rand.Rand) {
	switch random.IntN(16) {
	case 0, 1:
		f.setWorkerFaults(id, standin.WorkerFaults{Unreachable: true}, length)
	case 2:
		member := cell.MemberID(fmt.Sprint("m", f.epoch.Load()))
		f.setWorkerFaults(id, standin.WorkerFaults{UnreachableFrom: []cell.MemberID{member}}, length)
	case 3, 4:
		f.setWorkerFaults(id, standin.WorkerFaults{Unresponsive: true}, length)
	case 5:
		f.setWorkerFaults(id, standin.WorkerFaults{DropAnswers: true}, length)
	case 6:
		f.setWorkerFaults(id, standin.WorkerFaults{TruncateAnswers: true, Delay: 300 * time.Millisecond}, length)
	case 7:
		f.setWorkerFaults(id, standin.WorkerFaults{FailTasks: true}, length)
	case 8, 9:
		f.fleet.Freeze(id)
		time.AfterFunc(length, func() { f.fleet.Thaw(id) })
	case 10:
		f.fleet.Restart(id)
	case 11:
		f.replaceWorker(id, length, random)
	case 12:
		f.setTableFaults(standin.TableFaults{Down: true}, length)
	case 13:
		f.setTableFaults(standin.TableFaults{LoseAnswers: 1 + random.IntN(5)}, length)
	case 14:
		f.setTableFaults(standin.TableFaults{ApplyLater: 1 + random.IntN(5), ApplyLaterDelay: randomUpTo(random, time.Second)}, length)
	default:
		if random.IntN(2) == 0 {
			f.takeOver()
		}
	}
}

// replaceWorker adds a worker and ends the given one, with or without notice. In two of three cases it does nothing.
func (f *fixture) replaceWorker(id cell.WorkerID, notice time.Duration, random *rand.Rand) {
	if random.IntN(3) > 0 {
		return
	}
	f.addWorker()
	if random.IntN(2) == 0 {
		f.fleet.Crash(id)
		return
	}
	f.fleet.MarkLeaving(id)
	time.AfterFunc(notice, func() { f.fleet.Crash(id) })
}

func (f *fixture) setWorkerFaults(id cell.WorkerID, faults standin.WorkerFaults, length time.Duration) {
	f.fleet.SetFaults(id, faults)
	time.AfterFunc(length, func() { f.fleet.SetFaults(id, standin.WorkerFaults{}) })
}

func (f *fixture) setTableFaults(faults standin.TableFaults, length time.Duration) {
	f.table.SetFaults(faults)
	time.AfterFunc(length, func() { f.table.SetFaults(standin.TableFaults{}) })
}

// randomUpTo returns a random duration below the bound.
func randomUpTo(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}

// TestShardHoldsUnderFaults runs owners, workers and callers of one shard while faults drawn from fixed seeds occur alone and
// together, and checks the recorded history. The order of goroutines may differ between runs of one seed, but the guarantees
// hold in every order.
func TestShardHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runShard(t, seed) })
		})
	}
}

func runShard(t *testing.T, seed uint64) {
	f := newFixture(t)
	go f.listWorkers()
	go f.injectFaults(rand.New(rand.NewPCG(seed, 0)))
	var running sync.WaitGroup
	for i := range callerCount {
		running.Go(func() { f.runCaller(i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	time.Sleep(runTime)
	f.stopped.Store(true)
	running.Wait()
	time.Sleep(settleTime)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, o := range f.owners {
		o.Release(canceled)
	}
	f.checkHistory()
}

// checkHistory checks the recorded history against the guarantees, and that enough requests completed.
func (f *fixture) checkHistory() {
	entries := f.recorder.Entries()
	results := make(map[cell.Result]int)
	for _, e := range entries {
		if e.Kind == history.KindReturn {
			results[e.Return.Result]++
		}
	}
	f.t.Logf("%d epochs, %d workers added, outcomes %v", f.epoch.Load(), f.vmsAdded, results)
	if results[cell.ResultCompleted] < len(results) {
		f.t.Errorf("too few requests completed: outcomes %v", results)
	}
	for _, v := range history.Check(entries, history.Bounds{MaxStartAfterNotice: maxStartAfterNotice}) {
		f.t.Error(v)
	}
}
