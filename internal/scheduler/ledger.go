package scheduler

import (
	"fmt"
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// Scheduler holds one shard's ledger and queue.
type Scheduler struct {
	policy  Policy
	workers map[cell.WorkerID]*workerEntry
	order   []cell.WorkerID
	placed  map[cell.TaskID]*placement
	queue   []Item
	queued  map[cell.TaskID]bool
}

type workerEntry struct {
	worker cell.Worker
	usable bool
	used   cell.Resources
	tasks  int
}

type placement struct {
	task   cell.Task
	worker cell.WorkerID
	since  time.Time
}

// New returns an empty Scheduler.
func New(p Policy) *Scheduler {
	return &Scheduler{
		policy:  p,
		workers: make(map[cell.WorkerID]*workerEntry),
		placed:  make(map[cell.TaskID]*placement),
		queued:  make(map[cell.TaskID]bool),
	}
}

// SetPolicy replaces the policy for every later decision.
func (s *Scheduler) SetPolicy(p Policy) {
	s.policy = p
}

// UpsertWorker adds a worker or replaces its description. Only a usable worker that is live gets new work;
// what is placed on any other stays counted.
func (s *Scheduler) UpsertWorker(w cell.Worker, usable bool) {
	e, ok := s.workers[w.ID]
	if !ok {
		e = &workerEntry{}
		s.workers[w.ID] = e
		i, _ := slices.BinarySearch(s.order, w.ID)
		s.order = slices.Insert(s.order, i, w.ID)
	}
	e.worker = w
	e.usable = usable
}

// RemoveWorker forgets a worker whose leases are known to be over and returns the tasks that were placed on it, by id.
func (s *Scheduler) RemoveWorker(id cell.WorkerID) []cell.Task {
	if _, ok := s.workers[id]; !ok {
		return nil
	}
	var lost []cell.Task
	for _, p := range s.placed {
		if p.worker == id {
			lost = append(lost, p.task)
		}
	}
	slices.SortFunc(lost, func(a, b cell.Task) int { return compareIDs(a.ID, b.ID) })
	for _, t := range lost {
		s.Release(t.ID)
	}
	delete(s.workers, id)
	s.order = slices.DeleteFunc(s.order, func(o cell.WorkerID) bool { return o == id })
	return lost
}

// Adopt counts a task that a worker was found to run. It may exceed the worker's capacity, which then stays full.
func (s *Scheduler) Adopt(t cell.Task, w cell.WorkerID, since time.Time) {
	if _, ok := s.placed[t.ID]; ok {
		return
	}
	e, ok := s.workers[w]
	if !ok {
		return
	}
	e.used = e.used.Add(t.Claim)
	e.tasks++
	s.placed[t.ID] = &placement{task: t, worker: w, since: since}
}

// Enqueue admits an item to the queue or refuses it with a reason. A task that is queued or placed already is accepted without effect.
func (s *Scheduler) Enqueue(now time.Time, it Item) (bool, cell.Reason) {
	if s.queued[it.Task.ID] || s.placed[it.Task.ID] != nil {
		return true, cell.Reason{}
	}
	if !s.fitsSomewhere(it.Task) {
		return false, cell.Reason{Code: cell.ReasonFitsNowhere, Detail: it.Task.Claim.String()}
	}
	if s.policy.MaxQueued > 0 && len(s.queue) >= s.policy.MaxQueued {
		return false, cell.Reason{Code: cell.ReasonQueueFull, Detail: fmt.Sprintf("%d queued", len(s.queue))}
	}
	s.push(it)
	return true, cell.Reason{}
}

// Requeue returns a placed task to the queue after its attempt is known not to have started. Bounds do not apply.
func (s *Scheduler) Requeue(now time.Time, it Item) {
	s.Release(it.Task.ID)
	if !s.queued[it.Task.ID] {
		s.push(it)
	}
}

// Cancel drops queued tasks and returns how many it dropped. Placed tasks are left alone.
func (s *Scheduler) Cancel(ids ...cell.TaskID) int {
	drop := make(map[cell.TaskID]bool, len(ids))
	for _, id := range ids {
		if s.queued[id] {
			drop[id] = true
			delete(s.queued, id)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(it Item) bool { return drop[it.Task.ID] })
	return len(drop)
}

// Release uncounts a placed task once it is known to be over.
func (s *Scheduler) Release(id cell.TaskID) {
	p, ok := s.placed[id]
	if !ok {
		return
	}
	delete(s.placed, id)
	if e, ok := s.workers[p.worker]; ok {
		e.used = e.used.Sub(p.task.Claim)
		e.tasks--
	}
}

// Schedule makes at most budget placements and returns them with the stops and expiries that are due.
func (s *Scheduler) Schedule(now time.Time, budget int) []Decision {
	var out []Decision
	var rest []Item
	for i, it := range s.queue {
		if budget == 0 {
			rest = append(rest, s.queue[i:]...)
			break
		}
		if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
			delete(s.queued, it.Task.ID)
			out = append(out, Decision{Kind: Expire, Task: it.Task, Reason: cell.Reason{Code: cell.ReasonDeadline}, Waited: now.Sub(it.Arrived)})
			continue
		}
		w, ok := s.firstFit(now, it)
		if !ok {
			rest = append(rest, it)
			continue
		}
		delete(s.queued, it.Task.ID)
		s.Adopt(it.Task, w, now)
		budget--
		out = append(out, Decision{Kind: Place, Task: it.Task, Worker: w, Reason: cell.Reason{Code: cell.ReasonPlaced}, Waited: now.Sub(it.Arrived)})
	}
	s.queue = rest
	return out
}

// NextWake returns the earliest time at which Schedule could do more without any other event; zero if none.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	var wake time.Time
	for _, it := range s.queue {
		for _, t := range []time.Time{it.Deadline, it.NotBefore} {
			if t.After(now) && (wake.IsZero() || t.Before(wake)) {
				wake = t
			}
		}
	}
	return wake
}

// Explain returns why a task is where it is.
func (s *Scheduler) Explain(id cell.TaskID) Explanation {
	if p, ok := s.placed[id]; ok {
		return Explanation{Found: true, State: StatePlaced, Worker: p.worker, Chain: []cell.Reason{{Code: cell.ReasonPlaced, Detail: string(p.worker)}}}
	}
	if s.queued[id] {
		return Explanation{Found: true, State: StateQueued, Chain: []cell.Reason{{Code: cell.ReasonNoCapacity}}}
	}
	return Explanation{}
}

// Totals sums up the shard.
func (s *Scheduler) Totals() Totals {
	t := Totals{Queued: len(s.queue), Placed: len(s.placed), Workers: len(s.workers)}
	for _, id := range s.order {
		e := s.workers[id]
		t.Capacity = t.Capacity.Add(e.worker.Capacity)
		if !e.placeable() {
			continue
		}
		t.Usable++
		free := e.worker.Capacity.Sub(e.used)
		t.Free = t.Free.Add(free)
		if free.MilliCPU > t.LargestFree.MilliCPU {
			t.LargestFree = free
		}
	}
	return t
}

// Workers lists the workers in id order.
func (s *Scheduler) Workers() []WorkerView {
	out := make([]WorkerView, 0, len(s.order))
	for _, id := range s.order {
		e := s.workers[id]
		out = append(out, WorkerView{Worker: e.worker, Usable: e.usable, Used: e.used, Tasks: e.tasks})
	}
	return out
}

// Teams lists the teams that hold or wait for something, in name order.
func (s *Scheduler) Teams() []TeamView {
	byName := make(map[string]*TeamView)
	view := func(team string) *TeamView {
		if byName[team] == nil {
			byName[team] = &TeamView{Team: team, Quota: s.policy.Teams[team].Quota}
		}
		return byName[team]
	}
	for _, p := range s.placed {
		v := view(p.task.Team)
		v.Held = v.Held.Add(p.task.Claim)
	}
	for _, it := range s.queue {
		v := view(it.Task.Team)
		v.Queued++
		v.Waiting = v.Waiting.Add(it.Task.Claim)
	}
	out := make([]TeamView, 0, len(byName))
	for _, v := range byName {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b TeamView) int { return compareIDs(a.Team, b.Team) })
	return out
}

func (s *Scheduler) push(it Item) {
	s.queue = append(s.queue, it)
	s.queued[it.Task.ID] = true
}

func (s *Scheduler) fitsSomewhere(t cell.Task) bool {
	for _, id := range s.order {
		e := s.workers[id]
		if e.inPool(t) && t.Claim.Fits(e.worker.Capacity) {
			return true
		}
	}
	return false
}

func (s *Scheduler) firstFit(now time.Time, it Item) (cell.WorkerID, bool) {
	if it.NotBefore.After(now) {
		return "", false
	}
	for _, id := range s.order {
		e := s.workers[id]
		if e.placeable() && e.inPool(it.Task) && e.used.Add(it.Task.Claim).Fits(e.worker.Capacity) && !slices.Contains(it.Avoid, id) {
			return id, true
		}
	}
	return "", false
}

func (e *workerEntry) placeable() bool {
	return e.usable && e.worker.State == cell.WorkerLive
}

func (e *workerEntry) inPool(t cell.Task) bool {
	return t.Pool == "" || t.Pool == e.worker.Pool
}

func compareIDs[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
