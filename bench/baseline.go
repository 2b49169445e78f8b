package bench

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/scheduler"
)

// Scheduler is the part of a scheduler that a Run drives.
type Scheduler interface {
	UpsertWorker(w cell.Worker, usable bool)
	Enqueue(now time.Time, it scheduler.QueueItem) (bool, cell.Reason)
	Requeue(now time.Time, it scheduler.QueueItem)
	Release(id cell.TaskID)
	Schedule(now time.Time, budget int) []scheduler.Decision
	NextWake(now time.Time) time.Time
}

// FirstFit is the baseline: first in, first out, on the first worker with room. Work that does not fit is passed over.
// A gang starts when its members fit together; it knows no class, team, reservation or stop.
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

// NewFirstFit returns an empty baseline.
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

// Requeue releases a placed task and appends it to the queue.
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

// NextWake returns zero: nothing depends on time alone.
func (f *FirstFit) NextWake(time.Time) time.Time { return time.Time{} }

// Schedule passes once over the queue.
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

// gangLength returns how many items from i on belong to one gang; 1 for other items.
func (f *FirstFit) gangLength(i int) int {
	first := f.queue[i].Task
	n := 1
	for n < first.GangSize && i+n < len(f.queue) && f.queue[i+n].Task.Job == first.Job {
		n++
	}
	return n
}

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
