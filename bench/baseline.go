package bench

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

// Scheduler is the part of scheduler.Scheduler that Run uses.
type Scheduler interface {
	UpsertWorker(w cell.Worker, usable bool)
	Enqueue(now time.Time, it scheduler.QueueItem) (bool, cell.Reason)
	Requeue(now time.Time, it scheduler.QueueItem)
	Release(id cell.TaskID)
	Schedule(now time.Time, budget int) []scheduler.Decision
	NextWake(now time.Time) time.Time
}

// FirstFit is the baseline scheduler. It takes tasks in the order of their arrival, places each on the first worker with
// enough free capacity and skips tasks that fit on no worker. A gang starts once all its members fit at the same time. It
// ignores priority classes and teams, and neither reserves capacity nor stops tasks.
type FirstFit struct {
	workers []*firstFitWorker
	queue   []scheduler.QueueItem
	placed  map[cell.TaskID]firstFitPlacement
}

type firstFitWorker struct {
	spec cell.Worker
	free cell.Resources
}

type firstFitPlacement struct {
	worker *firstFitWorker
	claim  cell.Resources
}

type firstFitRequirements struct {
	pool  string
	claim cell.Resources
	gang  int
}

// NewFirstFit returns a FirstFit without workers and tasks.
func NewFirstFit() *FirstFit {
	return &FirstFit{placed: make(map[cell.TaskID]firstFitPlacement)}
}

// UpsertWorker adds a worker.
func (f *FirstFit) UpsertWorker(w cell.Worker, _ bool) {
	f.workers = append(f.workers, &firstFitWorker{spec: w, free: w.Capacity})
}

// Enqueue appends an item to the queue.
func (f *FirstFit) Enqueue(_ time.Time, it scheduler.QueueItem) (bool, cell.Reason) {
	f.queue = append(f.queue, it)
	return true, cell.Reason{}
}

// Requeue frees a placed task's claim and appends the task to the queue.
func (f *FirstFit) Requeue(_ time.Time, it scheduler.QueueItem) {
	f.Release(it.Task.ID)
	f.queue = append(f.queue, it)
}

// Release frees a placed task's claim.
func (f *FirstFit) Release(id cell.TaskID) {
	p, ok := f.placed[id]
	if !ok {
		return
	}
	p.worker.free = p.worker.free.Add(p.claim)
	delete(f.placed, id)
}

// NextWake returns the zero time: no decision depends on time alone.
func (f *FirstFit) NextWake(time.Time) time.Time { return time.Time{} }

// Schedule passes once over the queue and places tasks until it has placed budget of them. Since a gang is placed whole, its
// last members may exceed the budget.
func (f *FirstFit) Schedule(now time.Time, budget int) []scheduler.Decision {
	var out []scheduler.Decision
	unplaceable := make(map[firstFitRequirements]bool)
	remaining := f.queue[:0]
	for i := 0; i < len(f.queue); {
		n := f.gangLength(i)
		items := f.queue[i : i+n]
		i += n
		t := items[0].Task
		requirements := firstFitRequirements{t.Pool, t.Claim, t.GangSize}
		if len(out) >= budget || unplaceable[requirements] || n < t.GangSize || !f.placeAll(items) {
			unplaceable[requirements] = true
			remaining = append(remaining, items...)
			continue
		}
		for _, it := range items {
			d := scheduler.Decision{Kind: scheduler.Place, Task: it.Task, Worker: f.placed[it.Task.ID].worker.spec.ID, Waited: now.Sub(it.Arrived)}
			out = append(out, d)
		}
	}
	f.queue = remaining
	return out
}

// gangLength returns how many items of the queue from i on belong to one gang, or 1 if the item at i is not in a gang.
func (f *FirstFit) gangLength(i int) int {
	first := f.queue[i].Task
	n := 1
	for n < first.GangSize && i+n < len(f.queue) && f.queue[i+n].Task.Job == first.Job {
		n++
	}
	return n
}

// placeAll places all items, or none if one of them fits on no worker.
func (f *FirstFit) placeAll(items []scheduler.QueueItem) bool {
	for n, it := range items {
		w := f.firstFit(it.Task)
		if w == nil {
			for _, undo := range items[:n] {
				f.Release(undo.Task.ID)
			}
			return false
		}
		w.free = w.free.Sub(it.Task.Claim)
		f.placed[it.Task.ID] = firstFitPlacement{w, it.Task.Claim}
	}
	return true
}

func (f *FirstFit) firstFit(t cell.Task) *firstFitWorker {
	i := slices.IndexFunc(f.workers, func(w *firstFitWorker) bool {
		return (t.Pool == "" || t.Pool == w.spec.Pool) && t.Claim.Fits(w.free)
	})
	if i < 0 {
		return nil
	}
	return f.workers[i]
}
