package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

const (
	// scheduleBudget is the maximum number of placements requested from one Schedule call.
	scheduleBudget = 64
	// minStopTime and maxStopTime bound the time that a stopped task takes to checkpoint and leave.
	minStopTime = 200 * time.Millisecond
	maxStopTime = 1500 * time.Millisecond
	// restoreTime is the additional run time that a stopped task needs to restore its checkpoint.
	restoreTime = 2 * time.Second
)

// event is the end of an attempt, by itself or after a stop. An event without a task only wakes the scheduler.
type event struct {
	at      time.Time
	seq     int
	task    *taskState
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

// taskState is the state of one task in a simulation.
type taskState struct {
	task      *WorkloadTask
	remaining time.Duration
	startedAt time.Time
	attempt   int
	started   bool
	placed    bool
	worker    cell.WorkerID
}

// simulation is one run of a scheduler with a workload.
type simulation struct {
	scheduler Scheduler
	workload  *Workload
	tasks     map[cell.TaskID]*taskState
	events    events
	seq       int
	rng       *rand.Rand
	meter     *meter
	now       time.Time
}

// Run drives s with the workload until the horizon and returns the measurements.
func Run(s Scheduler, workload *Workload) *Result {
	r := &simulation{scheduler: s, workload: workload, tasks: make(map[cell.TaskID]*taskState), rng: rand.New(rand.NewPCG(7, 7)), meter: newMeter(workload)}
	for _, w := range workload.Workers {
		s.UpsertWorker(w, true)
	}
	end := StartTime.Add(workload.Horizon)
	next := 0
	for {
		at, ok := r.nextTime(next)
		if !ok || !at.Before(end) {
			break
		}
		r.now = at
		r.meter.advance(at)
		next = r.enqueueArrivals(next)
		r.processEvents()
		r.schedule()
	}
	r.now = end
	r.meter.advance(end)
	return r.result()
}

// nextTime returns the time of the next arrival or event.
func (r *simulation) nextTime(next int) (time.Time, bool) {
	var at time.Time
	if next < len(r.workload.Tasks) {
		at = r.workload.Tasks[next].Item.Arrived
	}
	if len(r.events) > 0 && (at.IsZero() || r.events[0].at.Before(at)) {
		at = r.events[0].at
	}
	return at, !at.IsZero()
}

// enqueueArrivals enqueues the tasks that have arrived, from index next on, and returns the index of the first one that has
// not.
func (r *simulation) enqueueArrivals(next int) int {
	for next < len(r.workload.Tasks) && !r.workload.Tasks[next].Item.Arrived.After(r.now) {
		w := &r.workload.Tasks[next]
		next++
		r.tasks[w.Item.Task.ID] = &taskState{task: w, remaining: w.RunTime}
		if ok, _ := r.scheduler.Enqueue(r.now, w.Item); !ok {
			r.meter.result.Refused++
			continue
		}
		r.meter.addQueued(w.Item.Task, 1)
	}
	return next
}

// processEvents ends the attempts whose time has come. It ignores events of attempts that have ended already.
func (r *simulation) processEvents() {
	for len(r.events) > 0 && !r.events[0].at.After(r.now) {
		e := heap.Pop(&r.events).(event)
		t := e.task
		if t == nil || !t.placed || t.attempt != e.attempt {
			continue
		}
		t.placed = false
		r.meter.addPlaced(t.task.Item.Task, t.worker, -1)
		if !e.stopped {
			r.scheduler.Release(t.task.Item.Task.ID)
			continue
		}
		ran := r.now.Sub(t.startedAt)
		t.remaining = max(t.remaining-ran, 0) + restoreTime
		r.meter.recordStop(t.task.Item.Task, t.worker, ran)
		r.meter.addQueued(t.task.Item.Task, 1)
		r.scheduler.Requeue(r.now, t.task.Item)
	}
}

func (r *simulation) schedule() {
	for {
		decisions := r.scheduler.Schedule(r.now, scheduleBudget)
		for _, d := range decisions {
			r.apply(d)
		}
		wake := r.scheduler.NextWake(r.now)
		if wake.After(r.now) {
			r.push(event{at: wake})
		}
		if len(decisions) < scheduleBudget && (wake.IsZero() || wake.After(r.now)) {
			return
		}
	}
}

func (r *simulation) apply(d scheduler.Decision) {
	t := r.tasks[d.Task.ID]
	switch d.Kind {
	case scheduler.Place:
		r.meter.addQueued(d.Task, -1)
		r.meter.addPlaced(d.Task, d.Worker, 1)
		if !t.started {
			r.meter.recordWait(d.Task, d.Waited)
		}
		t.started, t.placed, t.startedAt, t.worker = true, true, r.now, d.Worker
		t.attempt++
		r.push(event{at: r.now.Add(t.remaining), task: t, attempt: t.attempt})
	case scheduler.Stop:
		delay := minStopTime + time.Duration(r.rng.Int64N(int64(maxStopTime-minStopTime)))
		r.push(event{at: r.now.Add(delay), task: t, attempt: t.attempt, stopped: true})
	}
}

func (r *simulation) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.events, e)
}

// result adds the wait times of the tasks that never started and returns the measurements.
func (r *simulation) result() *Result {
	for _, w := range r.workload.Tasks {
		t := r.tasks[w.Item.Task.ID]
		if t != nil && !t.started {
			r.meter.recordUnstarted(w.Item.Task, r.now.Sub(w.Item.Arrived))
		}
	}
	return r.meter.result
}
