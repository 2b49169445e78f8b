package scheduler

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// Scheduler holds one shard's ledger and queue.
type Scheduler struct {
	policy   Policy
	capacity cell.Resources
	// largest is the largest capacity of any worker in each dimension.
	largest  cell.Resources
	workers  map[cell.WorkerID]*worker
	order    []*worker
	groups   []*group
	entries  map[cell.TaskID]*entry
	teams    map[string]*team
	lanes    map[laneKey]*lane
	shapes   map[shapeKey]*shape
	gangs    map[cell.JobID]*gang
	services map[cell.JobID]*spread
	holdings map[fitKey]int
	stops    map[cell.TaskID]stopCounts

	queued    int
	placed    int
	seq       uint64
	deadlines indexedHeap[*entry]
	delayed   indexedHeap[*entry]
	lineup    indexedHeap[*lane]
	active    []*lane
	blocked   []blockedShape
	starved   []*lane
	freed     []*worker
	earmarks  []earmarkEnd
	keeps     []*keep

	reservations []*reservation
	// reserveAfter is when the queue is next searched for a unit to reserve for.
	reserveAfter time.Time
	waste        wasteBudget
	more         bool
	lastRound    time.Time
	scratch      scratch
}

// New returns an empty Scheduler.
func New(p Policy) *Scheduler {
	s := &Scheduler{
		policy:   p,
		workers:  make(map[cell.WorkerID]*worker),
		entries:  make(map[cell.TaskID]*entry),
		teams:    make(map[string]*team),
		lanes:    make(map[laneKey]*lane),
		shapes:   make(map[shapeKey]*shape),
		gangs:    make(map[cell.JobID]*gang),
		services: make(map[cell.JobID]*spread),
		holdings: make(map[fitKey]int),
		stops:    make(map[cell.TaskID]stopCounts),
		lineup:   newOrder(),
	}
	s.deadlines = indexedHeap[*entry]{
		less:     func(a, b *entry) bool { return sooner(a.item.Deadline, b.item.Deadline, a, b) },
		position: func(e *entry) *int { return &e.deadlineAt },
	}
	s.delayed = indexedHeap[*entry]{
		less:     func(a, b *entry) bool { return sooner(a.item.NotBefore, b.item.NotBefore, a, b) },
		position: func(e *entry) *int { return &e.delayedAt },
	}
	return s
}

func sooner(at, bt time.Time, a, b *entry) bool {
	if !at.Equal(bt) {
		return at.Before(bt)
	}
	return a.seq < b.seq
}

// SetPolicy replaces the policy for every later decision.
func (s *Scheduler) SetPolicy(p Policy) {
	stops := s.maxStops()
	s.policy = p
	for _, name := range s.teamNames() {
		s.applyTeamPolicy(s.teams[name])
	}
	if s.maxStops() != stops {
		s.recountAllVictims()
	}
	s.victimsGrew()
}

func (s *Scheduler) recountAllVictims() {
	for _, w := range s.order {
		s.recountVictims(w)
	}
}

// UpsertWorker adds a worker or replaces its description. Only a usable worker that is live gets new work;
// what is placed on any other stays counted.
func (s *Scheduler) UpsertWorker(desc cell.Worker, usable bool) {
	w, ok := s.workers[desc.ID]
	if !ok {
		w = &worker{}
		s.workers[desc.ID] = w
		i, _ := s.position(desc.ID)
		s.order = slices.Insert(s.order, i, w)
	}
	if !ok || w.desc.Capacity != desc.Capacity || w.desc.Pool != desc.Pool {
		s.resize(w, desc)
	}
	if w.desc.State != desc.State {
		clear(s.holdings)
	}
	s.countServices(w, -1)
	w.desc = desc
	s.countServices(w, 1)
	w.usable = usable
	w.group.refresh(w)
	if w.placeable() {
		s.roomGrew(w)
		return
	}
	s.abandon(w)
}

func (s *Scheduler) position(id cell.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(s.order, id, func(w *worker, id cell.WorkerID) int { return compareIDs(w.desc.ID, id) })
}

// resize moves w to the group of its new description and counts its new capacity.
func (s *Scheduler) resize(w *worker, desc cell.Worker) {
	if w.group != nil {
		w.group.remove(w)
	}
	change := desc.Capacity.Sub(w.desc.Capacity)
	w.desc.Capacity, w.desc.Pool = desc.Capacity, desc.Pool
	s.resizeCapacity(change)
	s.groupOf(desc).add(w)
}

func (s *Scheduler) resizeCapacity(change cell.Resources) {
	s.capacity = s.capacity.Add(change)
	clear(s.holdings)
	if change.Negative() {
		s.largest = cell.Resources{}
	}
	for _, w := range s.order {
		s.largest = largestOf(s.largest, w.desc.Capacity)
	}
	for _, t := range s.teams {
		s.reshare(t)
	}
}

// abandon gives up what waits for room on a worker that takes no new work.
func (s *Scheduler) abandon(w *worker) {
	for len(w.waiting) > 0 {
		u := w.waiting[0]
		s.dropEarmark(u)
		s.enlist(u)
	}
	if w.reservation != nil {
		s.returnReservation(w.reservation)
	}
}

// RemoveWorker forgets a worker whose leases are known to be over and returns the tasks that were placed on it, by id.
func (s *Scheduler) RemoveWorker(id cell.WorkerID) []cell.Task {
	w, ok := s.workers[id]
	if !ok {
		return nil
	}
	w.usable = false
	for _, k := range s.keeps {
		if k.worker == w {
			s.endKeep(k)
		}
	}
	s.abandon(w)
	var lost []cell.Task
	for len(w.tasks) > 0 {
		e := w.tasks[len(w.tasks)-1]
		lost = append(lost, e.item.Task)
		s.Release(e.item.Task.ID)
	}
	slices.SortFunc(lost, func(a, b cell.Task) int { return compareIDs(a.ID, b.ID) })
	w.group.remove(w)
	i, _ := s.position(id)
	s.order = slices.Delete(s.order, i, i+1)
	delete(s.workers, id)
	s.resizeCapacity(cell.Resources{}.Sub(w.desc.Capacity))
	return lost
}

// Adopt counts a task that a worker was found to run. It may exceed the worker's capacity, which then stays full.
// A task that is queued here leaves the queue; a task that is placed already stays where it is.
func (s *Scheduler) Adopt(t cell.Task, id cell.WorkerID, since time.Time) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	if e := s.entries[t.ID]; e != nil {
		if !e.queued() {
			return
		}
		s.dequeue(e)
	}
	e := &entry{item: QueueItem{Task: t, Arrived: since}, deadlineAt: -1, delayedAt: -1, team: s.teamOf(t.Team), stops: s.stops[t.ID]}
	s.seq++
	e.seq = s.seq
	s.entries[t.ID] = e
	if t.GangSize > 1 {
		e.gang = s.gangOf(t)
	}
	s.charge(e, w)
	s.settle(e, since)
}

func largestOf(a, b cell.Resources) cell.Resources {
	return cell.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
		Slots:        max(a.Slots, b.Slots),
	}
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
