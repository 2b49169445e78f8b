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

// world is what happens outside an engine: workers that carry orders out now, late or never, and report when they like.
// It checks what must always hold.
type world struct {
	t       *rapid.T
	engine  *Engine
	now     monotime.Instant
	epoch   uint64
	workers map[WorkerID]*worldWorker
	// late are starts that were not answered and may still be carried out.
	late    []Start
	specs   map[graph.JobID]*graph.Spec
	records map[graph.JobID]Progress
	done    map[graph.TaskID]bool
	failed  map[graph.TaskID]int
	jobs    int
}

type worldWorker struct {
	size    graph.Resources
	running map[RunKey]bool
	stopped map[graph.TaskID]uint64
	ended   []EndedEntry
	next    uint64
	epoch   uint64
}

const worldAttempts = 3

func (w *world) names() []WorkerID {
	var ids []WorkerID
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) step(task graph.TaskID) *graph.Step { return &w.specs[task.Job].Steps[task.Step] }

// arrive carries out a start at its worker.
func (w *world) arrive(s Start, epoch uint64) StartOutcome {
	worker := w.workers[s.Worker]
	if epoch < worker.epoch || s.Number <= worker.stopped[s.Task] {
		return StartRefused
	}
	if worker.running[s.RunKey] {
		return Started
	}
	if w.done[s.Task] {
		w.t.Fatalf("task %s starts after it was done", s.Task)
	}
	if w.failed[s.Task] >= worldAttempts {
		w.t.Fatalf("task %s starts after %d failed runs", s.Task, w.failed[s.Task])
	}
	for _, before := range w.step(s.Task).After {
		for i := range w.specs[s.Task.Job].Steps[before].Count {
			if !w.done[graph.TaskID{Job: s.Task.Job, Step: before, Index: i}] {
				w.t.Fatalf("task %s starts before step %d is done", s.Task, before)
			}
		}
	}
	used := w.step(s.Task).Allocation()
	for _, id := range w.names() {
		for key := range w.workers[id].running {
			if key.Task == s.Task {
				w.t.Fatalf("task %s runs in two places", s.Task)
			}
			if id == s.Worker {
				used = used.Add(w.step(key.Task).Allocation())
			}
		}
	}
	if !used.Fits(worker.size) {
		w.t.Fatalf("worker %s filled beyond its capacity: %v", s.Worker, used)
	}
	worker.running[s.RunKey] = true
	return Started
}

func (w *world) end(id WorkerID, key RunKey, how RunOutcome) {
	worker := w.workers[id]
	delete(worker.running, key)
	worker.stopped[key.Task] = max(worker.stopped[key.Task], key.Number)
	worker.next++
	worker.ended = append(worker.ended, EndedEntry{Sequence: worker.next, RunKey: key, End: how})
	switch how {
	case RunDone:
		w.done[key.Task] = true
	case RunFailed:
		w.failed[key.Task]++
	}
}

// carryOut executes the engine's orders; some starts and stops get no answer.
func (w *world) carryOut() {
	for _, order := range w.engine.Plan(0) {
		switch o := order.(type) {
		case Start:
			switch rapid.IntRange(0, 5).Draw(w.t, "start") {
			case 0: // the answer is lost
				w.arrive(o, w.epoch)
				w.engine.HandleStartOutcome(o.Worker, o.RunKey, StartInDoubt)
			case 1: // it may be carried out later
				w.late = append(w.late, o)
				w.engine.HandleStartOutcome(o.Worker, o.RunKey, StartInDoubt)
			default:
				w.engine.HandleStartOutcome(o.Worker, o.RunKey, w.arrive(o, w.epoch))
			}
		case Stop:
			if rapid.Bool().Draw(w.t, "stop answered") {
				worker := w.workers[o.Worker]
				worker.stopped[o.Task] = max(worker.stopped[o.Task], o.Number)
				if worker.running[o.RunKey] {
					w.end(o.Worker, o.RunKey, RunInterrupted)
				}
				w.engine.HandleStopAnswer(o.Worker, o.RunKey, true)
			}
		}
	}
}

func (w *world) report(id WorkerID) {
	worker := w.workers[id]
	worker.epoch = max(worker.epoch, w.epoch)
	report := Report{Ended: slices.Clone(worker.ended)}
	for key := range worker.running {
		report.Running = append(report.Running, RunningEntry{RunKey: key})
	}
	w.engine.HandleReport(id, w.now, report)
}

// record makes progress durable and lets workers forget the ends that it covers.
func (w *world) record() {
	for id, p := range w.engine.TakeDirty(1000) {
		w.records[id] = p
	}
	for id, sequence := range w.engine.LastEndSequences() {
		worker := w.workers[id]
		worker.ended = slices.DeleteFunc(worker.ended, func(e EndedEntry) bool { return e.Sequence <= sequence })
	}
}

// takeOver replaces the owner by one that knows only what was recorded and what the workers list.
func (w *world) takeOver() {
	w.epoch++
	w.engine = New(w.epoch)
	w.engine.SetNow(w.now)
	for id, spec := range w.specs {
		var p *Progress
		if recorded, ok := w.records[id]; ok {
			p = &recorded
		}
		w.engine.AddJob(id, w.queue(), spec, w.now, p, true)
	}
	for _, id := range w.names() {
		w.engine.AwaitReport(id, "p")
		w.engine.PutWorker(Worker{ID: id, Pool: "p", Capacity: w.workers[id].size})
	}
}

func (w *world) queue() graph.Queue {
	return graph.Queue{Name: "q", Pool: "p", MaxAttempts: worldAttempts, Stretch: 2, Target: time.Second}
}

func (w *world) addJob() {
	w.jobs++
	id := graph.JobID(fmt.Sprint("job", w.jobs))
	spec := &graph.Spec{}
	for i := range rapid.IntRange(1, 3).Draw(w.t, "steps") {
		s := graph.Step{
			Count:       rapid.IntRange(1, 4).Draw(w.t, "count"),
			Claim:       graph.Resources{MilliCPU: int64(rapid.IntRange(10, 60).Draw(w.t, "cpu"))},
			Checkpoints: rapid.Bool().Draw(w.t, "checkpoints"),
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	w.specs[id] = spec
	w.engine.AddJob(id, w.queue(), spec, w.now, nil, false)
}

func (w *world) endSome() {
	for _, id := range w.names() {
		for key := range w.workers[id].running {
			w.end(id, key, rapid.SampledFrom([]RunOutcome{RunDone, RunDone, RunFailed, RunInterrupted}).Draw(w.t, "end"))
			return
		}
	}
}

// Under lost answers, late orders and owners that change, no task runs twice at once, starts after it was done, before its
// turn or beyond its attempts, and no worker is filled beyond its capacity.
func TestRandomHistories(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, epoch: 1, engine: New(1), now: 1, workers: make(map[WorkerID]*worldWorker),
			specs: make(map[graph.JobID]*graph.Spec), records: make(map[graph.JobID]Progress),
			done: make(map[graph.TaskID]bool), failed: make(map[graph.TaskID]int),
		}
		for i := range 3 {
			id := WorkerID(fmt.Sprint("w", i))
			w.workers[id] = &worldWorker{size: graph.Resources{MilliCPU: 100}, running: make(map[RunKey]bool), stopped: make(map[graph.TaskID]uint64)}
			w.engine.PutWorker(Worker{ID: id, Pool: "p", Capacity: w.workers[id].size})
			w.engine.SetReachable(id, true)
		}
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			w.engine.SetNow(w.now)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				w.addJob()
			case 2, 3, 4:
				w.endSome()
			case 5, 6, 7:
				w.report(rapid.SampledFrom(w.names()).Draw(t, "worker"))
			case 8:
				w.record()
			case 9:
				if rapid.Bool().Draw(t, "take over") {
					w.takeOver()
				} else if len(w.late) > 0 {
					// An order of this owner or an earlier one is carried out after newer calls.
					w.arrive(w.late[0], w.lateEpoch())
					w.late = w.late[1:]
				}
			}
			w.carryOut()
		}
	})
}

// lateEpoch is the epoch of the oldest late order, from its run's number.
func (w *world) lateEpoch() uint64 { return (w.late[0].Number-1)/runNumbersPerEpoch + 1 }
