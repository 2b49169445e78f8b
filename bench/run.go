package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

const (
	// scheduleBudget is the number of placements for which one Schedule call is asked.
	scheduleBudget = 64
	// stopFrom and stopTo bound the time that a stopped task takes to checkpoint and leave.
	stopFrom = 200 * time.Millisecond
	stopTo   = 1500 * time.Millisecond
	// restoreTime is the run time that a stopped task needs in addition, to restore its checkpoint.
	restoreTime = 2 * time.Second
)

// event is the end of an attempt, by itself or because it was stopped; with no task it only wakes the scheduler.
type event struct {
	at      time.Time
	seq     int
	task    *running
	attempt int
	stopped bool
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// running is what the run knows of one task.
type running struct {
	work    *WorkloadTask
	left    time.Duration
	since   time.Time
	attempt int
	started bool
	placed  bool
	worker  cell.WorkerID
}

// runner is one run of a policy over a load.
type runner struct {
	policy Scheduler
	load   *Workload
	tasks  map[cell.TaskID]*running
	events events
	seq    int
	rng    *rand.Rand
	meter  *meter
	now    time.Time
}

// Run drives p with the load until the horizon and returns what was measured.
func Run(p Scheduler, load *Workload) *Result {
	r := &runner{policy: p, load: load, tasks: make(map[cell.TaskID]*running), rng: rand.New(rand.NewPCG(7, 7)), meter: newMeter(load)}
	for _, w := range load.Workers {
		p.UpsertWorker(w, true)
	}
	end := StartTime.Add(load.Horizon)
	next := 0
	for {
		at, ok := r.nextTime(next)
		if !ok || !at.Before(end) {
			break
		}
		r.now = at
		r.meter.advance(at)
		next = r.arrivals(next)
		r.endings()
		r.schedule()
	}
	r.now = end
	r.meter.advance(end)
	return r.result()
}

// nextTime returns the time of the next arrival or event.
func (r *runner) nextTime(next int) (time.Time, bool) {
	var at time.Time
	if next < len(r.load.Tasks) {
		at = r.load.Tasks[next].Item.Arrived
	}
	if len(r.events) > 0 && (at.IsZero() || r.events[0].at.Before(at)) {
		at = r.events[0].at
	}
	return at, !at.IsZero()
}

func (r *runner) arrivals(next int) int {
	for next < len(r.load.Tasks) && !r.load.Tasks[next].Item.Arrived.After(r.now) {
		w := &r.load.Tasks[next]
		next++
		r.tasks[w.Item.Task.ID] = &running{work: w, left: w.RunTime}
		if ok, _ := r.policy.Enqueue(r.now, w.Item); !ok {
			r.meter.result.Refused++
			continue
		}
		r.meter.queue(w.Item.Task, 1)
	}
	return next
}

func (r *runner) endings() {
	for len(r.events) > 0 && !r.events[0].at.After(r.now) {
		e := heap.Pop(&r.events).(event)
		t := e.task
		if t == nil || !t.placed || t.attempt != e.attempt {
			continue
		}
		t.placed = false
		r.meter.place(t.work.Item.Task, t.worker, -1)
		if !e.stopped {
			r.policy.Release(t.work.Item.Task.ID)
			continue
		}
		ran := r.now.Sub(t.since)
		t.left = max(t.left-ran, 0) + restoreTime
		r.meter.stopped(t.work.Item.Task, t.worker, ran)
		r.meter.queue(t.work.Item.Task, 1)
		r.policy.Requeue(r.now, t.work.Item)
	}
}

func (r *runner) schedule() {
	for {
		decisions := r.policy.Schedule(r.now, scheduleBudget)
		for _, d := range decisions {
			r.apply(d)
		}
		wake := r.policy.NextWake(r.now)
		if wake.After(r.now) {
			r.push(event{at: wake})
		}
		if len(decisions) < scheduleBudget && (wake.IsZero() || wake.After(r.now)) {
			return
		}
	}
}

func (r *runner) apply(d scheduler.Decision) {
	t := r.tasks[d.Task.ID]
	switch d.Kind {
	case scheduler.Place:
		r.meter.queue(d.Task, -1)
		r.meter.place(d.Task, d.Worker, 1)
		if !t.started {
			r.meter.waited(d.Task, d.Waited)
		}
		t.started, t.placed, t.since, t.worker = true, true, r.now, d.Worker
		t.attempt++
		r.push(event{at: r.now.Add(t.left), task: t, attempt: t.attempt})
	case scheduler.Stop:
		after := stopFrom + time.Duration(r.rng.Int64N(int64(stopTo-stopFrom)))
		r.push(event{at: r.now.Add(after), task: t, attempt: t.attempt, stopped: true})
	}
}

func (r *runner) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.events, e)
}

// result adds the waits of what never started.
func (r *runner) result() *Result {
	for _, w := range r.load.Tasks {
		t := r.tasks[w.Item.Task.ID]
		if t != nil && !t.started {
			r.meter.unstarted(w.Item.Task, r.now.Sub(w.Item.Arrived))
		}
	}
	return r.meter.result
}
