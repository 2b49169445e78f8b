package shard

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/standin"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// step is one event of a random history.
type step struct {
	kind   string
	worker cell.WorkerID
	task   int
	owner  int
	pause  time.Duration
}

// workerFaults are the faults that a step may set on a worker.
var workerFaults = map[string]standin.WorkerFaults{
	"healthy":      {},
	"unreachable":  {Unreachable: true},
	"silent":       {Unresponsive: true},
	"slow":         {Delay: 300 * time.Millisecond},
	"late":         {Delay: 2500 * time.Millisecond},
	"drop answers": {DropAnswers: true},
	"cut answers":  {TruncateAnswers: true},
	"fail tasks":   {FailTasks: true},
}

// stepKinds lists the kinds that a step's kind is drawn from, the likelier ones several times. "keyed" submits an idempotent
// request that may have been sent before, "once" a non-idempotent one.
var stepKinds = []string{
	"burst", "burst", "burst", "burst", "keyed", "keyed", "keyed", "once", "once", "once", "once", "cancel", "caller leaves",
	"healthy", "healthy", "healthy", "healthy", "unreachable", "silent", "slow", "late", "drop answers", "cut answers", "fail tasks",
	"freeze", "thaw", "thaw", "restart", "crash", "leave", "list", "list",
	"take over", "take over", "take over with a worker unreachable", "take over with a worker unreachable", "release",
	"table down", "table up", "table up", "lose commit",
	"stale", "confirmed", "confirmed",
}

const (
	historyWorkers = 3
	historyTasks   = 2
	historySteps   = 60
	// historyRun is how long a task runs. historyEnd is the wait after the last step, long enough for every deadline and lease
	// to end.
	historyRun = 3 * time.Second
	historyEnd = 100 * time.Second
)

func drawStep(t *rapid.T) step {
	return step{
		kind:   rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		worker: cell.WorkerID(fmt.Sprintf("w%d", rapid.IntRange(0, historyWorkers-1).Draw(t, "worker"))),
		task:   rapid.IntRange(0, historyTasks-1).Draw(t, "task"),
		owner:  rapid.SampledFrom([]int{0, 0, 0, 0, 1, 1, 2}).Draw(t, "owner"),
		pause:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 50, 400, 400, 1000, 2000, 6000, 20000}).Draw(t, "pause")) * time.Millisecond,
	}
}

// randomRun plays a random history on a fleet of stand-in workers.
type randomRun struct {
	*fixture
	fleet    *standin.Fleet
	recorder *history.Recorder
	owners   []*Owner
	calls    int
}

func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), historySteps/2, historySteps).Draw(rt, "steps")
		var entries []history.Entry
		synctest.Test(t, func(t *testing.T) {
			h := &randomRun{fixture: newFixture(t, historyWorkers, 0), recorder: history.NewRecorder()}
			h.fleet = standin.NewFleet(standin.FleetOptions{Recorder: h.recorder, ListLag: time.Second}, h.workers...)
			h.fixture.ownerRunner = h.fleet
			h.owners = append(h.owners, h.startOwner(1))
			for _, s := range steps {
				h.applyStep(s)
				time.Sleep(s.pause)
			}
			h.clearFaults()
			time.Sleep(historyEnd)
			entries = h.recorder.Entries()
		})
		for _, v := range findViolations(entries) {
			rt.Errorf("%v", v)
		}
	})
}

// findViolations returns every violation of the guarantees in a history.
func findViolations(entries []history.Entry) []history.Violation {
	var out []history.Violation
	for _, check := range []func([]history.Entry) []history.Violation{
		history.CheckCapacity, history.CheckNoConcurrentAttempts, history.CheckAtMostOnce,
		history.CheckNotRunOutcomes, history.CheckOwnAnswers, history.CheckRequestKeys,
	} {
		out = append(out, check(entries)...)
	}
	returned := make(map[string]int)
	for _, e := range entries {
		if e.Kind == history.KindReturn {
			returned[e.OpID]++
		}
	}
	for _, e := range entries {
		if e.Kind == history.KindCall && returned[e.OpID] != 1 {
			out = append(out, history.Violation{Rule: "one answer", Detail: fmt.Sprintf("%s: %d answers", e.OpID, returned[e.OpID])})
		}
	}
	return out
}

// applyStep makes a step happen.
func (h *randomRun) applyStep(s step) {
	owner := h.owners[max(0, len(h.owners)-1-s.owner)]
	if faults, ok := workerFaults[s.kind]; ok {
		h.fleet.SetFaults(s.worker, faults)
	}
	switch s.kind {
	case "fresh", "caller leaves":
		h.submit(owner, request(fmt.Sprint("fresh", h.calls)), s.kind == "caller leaves")
	case "burst":
		for range 8 {
			h.submit(owner, request(fmt.Sprint("fresh", h.calls)), false)
		}
	case "keyed":
		h.submit(owner, resent(request(fmt.Sprint("keyed", s.task))), false)
	case "once":
		h.submit(owner, nonIdempotent(request(fmt.Sprint("once", s.task))), false)
	case "cancel":
		owner.Cancel([]cell.TaskID{cell.TaskID(fmt.Sprint("keyed", s.task)), cell.TaskID(fmt.Sprint("once", s.task))})
	case "freeze":
		h.fleet.Freeze(s.worker)
	case "thaw":
		h.fleet.Thaw(s.worker)
	case "restart":
		h.fleet.Restart(s.worker)
	case "crash":
		h.fleet.Crash(s.worker)
	case "leave":
		h.fleet.MarkLeaving(s.worker)
	case "list":
		h.updateWorkerList()
	case "take over":
		h.owners = append(h.owners, h.startOwner(cell.Epoch(len(h.owners)+1)))
		h.updateWorkerList()
	case "take over with a worker unreachable":
		h.applyStep(step{kind: "keyed", task: s.task, owner: s.owner})
		time.Sleep(historyRun / 2)
		h.fleet.SetFaults(s.worker, standin.WorkerFaults{Unreachable: true})
		h.applyStep(step{kind: "take over"})
		h.applyStep(step{kind: "keyed", task: s.task})
		h.applyStep(step{kind: "once", task: s.task})
	case "release":
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			owner.Release(ctx)
		}()
	case "table down":
		h.table.SetFaults(standin.TableFaults{Down: true})
	case "table up":
		h.table.SetFaults(standin.TableFaults{})
	case "lose commit":
		h.table.SetFaults(standin.TableFaults{LoseAnswers: 1})
	case "stale", "confirmed":
		h.stale.Store(s.kind == "stale")
	}
}

// clearFaults ends every fault except lost VMs.
func (h *randomRun) clearFaults() {
	for _, id := range h.fleet.WorkerIDs() {
		h.fleet.Thaw(id)
	}
	for _, kind := range []string{"table up", "confirmed", "list"} {
		h.applyStep(step{kind: kind})
	}
}

// updateWorkerList gives every owner the current VM list.
func (h *randomRun) updateWorkerList() {
	workers, err := h.fleet.Workers(context.Background())
	if err != nil {
		return
	}
	h.workers = workers
	for _, o := range h.owners {
		o.SetWorkers(workers)
	}
}

// submit submits a request and records the call and its return. If callerLeaves is set, the caller leaves after 700 ms.
func (h *randomRun) submit(o *Owner, r Request, callerLeaves bool) {
	h.calls++
	op, echo := fmt.Sprint("op", h.calls), string(r.Task.ID)
	r.Task.Payload = standin.Payload{RunMS: historyRun.Milliseconds(), Echo: echo}.Encode()
	call := &history.Call{Task: r.Task.ID, Idempotent: r.Task.Idempotent, Echo: echo}
	if r.MaybeResent {
		call.Key = echo
	}
	h.recorder.Add(history.Entry{Kind: history.KindCall, OpID: op, Call: call})
	record := func(out cell.Outcome) {
		ret := &history.Return{Result: out.Result, Task: out.Attempt.Task, Answer: out.Answer}
		h.recorder.Add(history.Entry{Kind: history.KindReturn, OpID: op, Return: ret})
	}
	if !callerLeaves {
		o.Submit(r, record)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		record(o.Run(ctx, r))
	}()
}
