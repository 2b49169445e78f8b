package dispatch

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// simulation is the environment of an engine: workers that execute orders now, late or never, and report at any time. It checks
// the invariants of starts.
type simulation struct {
	t       *rapid.T
	engine  *Engine
	now     monotime.Instant
	epoch   uint64
	workers map[WorkerID]*simulatedWorker
	// lateStarts are unanswered starts that may still be executed.
	lateStarts []Start
	specs      map[graph.JobID]*graph.Spec
	records    map[graph.JobID]Progress
	done       map[graph.TaskID]bool
	failed     map[graph.TaskID]int
	jobs       int
	// organisations holds the organisation of each job that has one. newOrganisation draws that of a new job, configure sets
	// the organisations of a new engine, and observeStart sees each start before it is carried out; nil for none.
	organisations   map[graph.JobID]string
	newOrganisation func() string
	configure       func()
	observeStart    func(Start)
	// speculative makes some steps Speculative; copies counts the copies of earlier engines.
	speculative bool
	copies      uint64
	// reliable means that all orders are carried out at once and answered.
	reliable bool
}

type simulatedWorker struct {
	capacity     graph.Resources
	running      map[RunKey]bool
	stopped      map[graph.TaskID]uint64
	ended        []EndedEntry
	lastSequence uint64
	epoch        uint64
}

const simulationAttempts = 3

func (w *simulation) workerIDs() []WorkerID {
	var ids []WorkerID
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *simulation) step(task graph.TaskID) *graph.Step { return &w.specs[task.Job].Steps[task.Step] }

// executeStart executes a start at its worker and checks the invariants.
func (w *simulation) executeStart(s Start, epoch uint64) StartOutcome {
	worker := w.workers[s.Worker]
	if epoch < worker.epoch || s.Number <= worker.stopped[s.Task] {
		return StartRefused
	}
	if worker.running[s.RunKey] {
		return Started
	}
	// The order to start a copy may be under way when the original ends; executePlan checks that it is not given afterwards.
	speculative := w.step(s.Task).Speculative
	if w.done[s.Task] && !speculative {
		w.t.Fatalf("task %s starts after it was done", s.Task)
	}
	if w.failed[s.Task] >= simulationAttempts {
		w.t.Fatalf("task %s starts after %d failed runs", s.Task, w.failed[s.Task])
	}
	for _, before := range w.step(s.Task).After {
		for i := range w.specs[s.Task.Job].Steps[before].Count {
			if !w.done[graph.TaskID{Job: s.Task.Job, Step: before, Index: i}] {
				w.t.Fatalf("task %s starts before step %d is done", s.Task, before)
			}
		}
	}
	used, others := w.step(s.Task).Allocation(), 0
	for _, id := range w.workerIDs() {
		for key := range w.workers[id].running {
			if key.Task == s.Task {
				if others++; speculative && others == 1 && id != s.Worker && key.Number < s.Number {
					continue
				}
				w.t.Fatalf("task %s starts while run %d of it is on worker %s", s.Task, key.Number, id)
			}
			if id == s.Worker {
				used = used.Add(w.step(key.Task).Allocation())
			}
		}
	}
	if !used.Fits(worker.capacity) {
		w.t.Fatalf("worker %s filled beyond its capacity: allocations add up to %v", s.Worker, used)
	}
	worker.running[s.RunKey] = true
	return Started
}

func (w *simulation) endRun(id WorkerID, key RunKey, outcome RunOutcome) {
	worker := w.workers[id]
	delete(worker.running, key)
	worker.stopped[key.Task] = max(worker.stopped[key.Task], key.Number)
	worker.lastSequence++
	worker.ended = append(worker.ended, EndedEntry{Sequence: worker.lastSequence, RunKey: key, End: outcome})
	switch outcome {
	case RunDone:
		w.done[key.Task] = true
	case RunFailed:
		w.failed[key.Task]++
	}
}

// executePlan executes the engine's orders. Some starts and stops get no answer.
func (w *simulation) executePlan() {
	for _, order := range w.engine.Plan(0) {
		switch o := order.(type) {
		case Start:
			if w.observeStart != nil {
				w.observeStart(o)
			}
			if w.engine.task(o.Task).done {
				w.t.Fatalf("task %s is started after the engine knows that it is done", o.Task)
			}
			fault := -1
			if !w.reliable {
				fault = rapid.IntRange(0, 5).Draw(w.t, "start")
			}
			switch fault {
			case 0: // the answer is lost
				w.executeStart(o, w.epoch)
				w.engine.HandleStartOutcome(o.Worker, o.RunKey, StartInDoubt)
			case 1: // the start may be executed later
				w.lateStarts = append(w.lateStarts, o)
				w.engine.HandleStartOutcome(o.Worker, o.RunKey, StartInDoubt)
			default:
				w.engine.HandleStartOutcome(o.Worker, o.RunKey, w.executeStart(o, w.epoch))
			}
		case Stop:
			if w.workers[o.Worker] == nil {
				continue // the worker has ended, and the owner drops the order
			}
			if w.reliable || rapid.Bool().Draw(w.t, "stop answered") {
				worker := w.workers[o.Worker]
				worker.stopped[o.Task] = max(worker.stopped[o.Task], o.Number)
				if worker.running[o.RunKey] {
					w.endRun(o.Worker, o.RunKey, RunInterrupted)
				}
				w.engine.HandleStopAnswer(o.Worker, o.RunKey, true)
			}
		}
	}
}

func (w *simulation) report(id WorkerID) {
	worker := w.workers[id]
	worker.epoch = max(worker.epoch, w.epoch)
	report := Report{Ended: slices.Clone(worker.ended)}
	for key := range worker.running {
		report.Running = append(report.Running, RunningEntry{RunKey: key})
	}
	w.engine.HandleReport(id, w.now, report)
}

// recordProgress makes progress durable and makes workers forget the ended runs that it covers.
func (w *simulation) recordProgress() {
	for id, p := range w.engine.TakeDirty(1000) {
		w.records[id] = p
		w.engine.ConfirmRecorded(id)
	}
	for id, sequence := range w.engine.LastEndSequences() {
		worker := w.workers[id]
		worker.ended = slices.DeleteFunc(worker.ended, func(e EndedEntry) bool { return e.Sequence <= sequence })
	}
}

// takeOver replaces the owner by one that knows only what is recorded and what the workers list.
func (w *simulation) takeOver() {
	w.epoch++
	w.copies += w.engine.Stats().Copies
	w.engine = w.newEngine()
	w.engine.SetNow(w.now)
	if w.configure != nil {
		w.configure()
	}
	for id, spec := range w.specs {
		var p *Progress
		if recorded, ok := w.records[id]; ok {
			p = &recorded
		}
		w.engine.AddJob(JobInput{ID: id, Queue: w.queue(), Organisation: w.organisations[id], Spec: spec, ArrivedAt: w.now, Progress: p, Unconfirmed: true})
	}
	for _, id := range w.workerIDs() {
		w.engine.AwaitReport(id, "p")
		w.engine.PutWorker(Worker{ID: id, Pool: "p", Capacity: w.workers[id].capacity})
	}
}

// newEngine returns an engine. Every run of a Speculative step is a straggler, and copies may take all of the
// pool: three workers have no room for one within the usual bound.
func (w *simulation) newEngine() *Engine {
	e := New(w.epoch)
	e.maxCopyShare, e.copyEagerly = 1, true
	return e
}

func (w *simulation) queue() graph.Queue {
	return graph.Queue{Name: "q", Pool: "p", MaxAttempts: simulationAttempts, Stretch: 2, Target: time.Second}
}

func (w *simulation) addJob() {
	w.jobs++
	id := graph.JobID(fmt.Sprint("job", w.jobs))
	spec := &graph.Spec{}
	for i := range rapid.IntRange(1, 3).Draw(w.t, "steps") {
		s := graph.Step{
			Count:       rapid.IntRange(1, 4).Draw(w.t, "count"),
			Claim:       graph.Resources{MilliCPU: int64(rapid.IntRange(10, 60).Draw(w.t, "cpu"))},
			Checkpoints: rapid.Bool().Draw(w.t, "checkpoints"),
		}
		s.Speculative = w.speculative && rapid.Bool().Draw(w.t, "speculative")
		if i > 0 {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	if w.newOrganisation != nil {
		w.organisations[id] = w.newOrganisation()
	}
	w.specs[id] = spec
	w.engine.AddJob(JobInput{ID: id, Queue: w.queue(), Organisation: w.organisations[id], Spec: spec, ArrivedAt: w.now})
}

func (w *simulation) endSomeRun() {
	for _, id := range w.workerIDs() {
		for key := range w.workers[id].running {
			w.endRun(id, key, rapid.SampledFrom([]RunOutcome{RunDone, RunDone, RunFailed, RunInterrupted}).Draw(w.t, "end"))
			return
		}
	}
}

// Under lost answers, late orders and takeovers, no task has two runs at the same time, starts after it was done, before its
// dependencies are done or after its last attempt, and no worker is filled beyond its capacity.
func TestRandomHistories(t *testing.T) { checkRandomHistories(t, false) }

// As above, where some steps are Speculative: their tasks have at most two runs, on different workers, the later with the higher
// number, and no start is ordered once the task is known to be done.
func TestRandomHistoriesWithCopies(t *testing.T) {
	if copies := checkRandomHistories(t, true); copies < 500 {
		t.Errorf("%d copies started, want at least 500", copies)
	}
}

func checkRandomHistories(t *testing.T, speculative bool) (copies uint64) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			t: t, epoch: 1, now: 1, speculative: speculative, workers: make(map[WorkerID]*simulatedWorker),
			specs: make(map[graph.JobID]*graph.Spec), records: make(map[graph.JobID]Progress),
			done: make(map[graph.TaskID]bool), failed: make(map[graph.TaskID]int),
		}
		w.engine = w.newEngine()
		for i := range 3 {
			id := WorkerID(fmt.Sprint("w", i))
			w.workers[id] = &simulatedWorker{capacity: graph.Resources{MilliCPU: 100}, running: make(map[RunKey]bool), stopped: make(map[graph.TaskID]uint64)}
			w.engine.PutWorker(Worker{ID: id, Pool: "p", Capacity: w.workers[id].capacity})
			w.engine.SetReachable(id, true)
		}
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			w.engine.SetNow(w.now)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				w.addJob()
			case 2, 3, 4:
				w.endSomeRun()
			case 5, 6, 7:
				w.report(rapid.SampledFrom(w.workerIDs()).Draw(t, "worker"))
			case 8:
				w.recordProgress()
			case 9:
				if rapid.Bool().Draw(t, "take over") {
					w.takeOver()
				} else if len(w.lateStarts) > 0 {
					// A start of this owner or an earlier one is executed after newer calls.
					w.executeStart(w.lateStarts[0], w.oldestLateEpoch())
					w.lateStarts = w.lateStarts[1:]
				}
			}
			w.executePlan()
		}
		copies += w.copies + w.engine.Stats().Copies
	})
	return copies
}

// oldestLateEpoch returns the epoch of the oldest late start, derived from its run number.
func (w *simulation) oldestLateEpoch() uint64 {
	return (w.lateStarts[0].Number-1)/runNumbersPerEpoch + 1
}
