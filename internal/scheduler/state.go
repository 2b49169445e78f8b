package scheduler

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// Scheduler holds one shard's workers, placed tasks and queue.
type Scheduler struct {
	policy        Policy
	totalCapacity cell.Resources
	// largestCapacity is the largest capacity of any worker in each dimension.
	largestCapacity cell.Resources
	workers         map[cell.WorkerID]*worker
	// sortedWorkers lists the workers in id order.
	sortedWorkers []*worker
	groups        []*workerGroup
	entries       map[cell.TaskID]*taskEntry
	teams         map[string]*team
	lanes         map[laneKey]*lane
	shapes        map[shapeKey]*shape
	gangs         map[cell.JobID]*gang
	services      map[cell.JobID]*serviceSpread
	// fitCounts caches the results of fitCount.
	fitCounts map[fitKey]int
	// stopCounts remembers how often a task was stopped, for its return to the queue.
	stopCounts map[cell.TaskID]stopCounts

	// queued and placed count the tasks in these states; stopping tasks count as placed.
	queued int
	placed int
	// seq is the sequence number of the last entry.
	seq       uint64
	deadlines indexedHeap[*taskEntry]
	delayed   indexedHeap[*taskEntry]
	// laneOrder is the lanes that the round has yet to place from. Empty between rounds.
	laneOrder indexedHeap[*lane]
	// activeLanes lists the lanes that the next round tries.
	activeLanes   []*lane
	blockedShapes []blockedShape
	// lanesWithoutVictims lists the urgent lanes that wait for more preemptible tasks.
	lanesWithoutVictims []*lane
	// freedWorkers lists the workers that gained capacity since the last round.
	freedWorkers []*worker
	// holds lists the capacity holds in order of expiry, including some that have ended.
	holds []holdExpiry
	// headrooms lists the headroom in order of expiry, including some that has been released.
	headrooms []*headroom

	reservations []*reservation
	// nextReservationSearch is when the blocked lanes are next searched for a unit that needs a reservation.
	nextReservationSearch time.Time
	lostWorkBudget        lostWorkBudget
	// unfinished means that the last round ended before all its work was done.
	unfinished bool
	lastRound  time.Time
	scratch    scratch
}

// New returns an empty Scheduler.
func New(p Policy) *Scheduler {
	s := &Scheduler{
		policy:     p,
		workers:    make(map[cell.WorkerID]*worker),
		entries:    make(map[cell.TaskID]*taskEntry),
		teams:      make(map[string]*team),
		lanes:      make(map[laneKey]*lane),
		shapes:     make(map[shapeKey]*shape),
		gangs:      make(map[cell.JobID]*gang),
		services:   make(map[cell.JobID]*serviceSpread),
		fitCounts:  make(map[fitKey]int),
		stopCounts: make(map[cell.TaskID]stopCounts),
		laneOrder:  newLaneOrder(),
	}
	s.deadlines = indexedHeap[*taskEntry]{
		less:     func(a, b *taskEntry) bool { return earlier(a.item.Deadline, b.item.Deadline, a, b) },
		position: func(e *taskEntry) *int { return &e.deadlineIndex },
	}
	s.delayed = indexedHeap[*taskEntry]{
		less:     func(a, b *taskEntry) bool { return earlier(a.item.NotBefore, b.item.NotBefore, a, b) },
		position: func(e *taskEntry) *int { return &e.delayedIndex },
	}
	return s
}

// earlier orders a and b by their times at and bt, then by sequence number.
func earlier(at, bt time.Time, a, b *taskEntry) bool {
	if !at.Equal(bt) {
		return at.Before(bt)
	}
	return a.seq < b.seq
}

// SetPolicy replaces the policy for every later decision.
func (s *Scheduler) SetPolicy(p Policy) {
	oldMax := s.maxPreemptions()
	s.policy = p
	for _, name := range s.teamNames() {
		s.applyTeamPolicy(s.teams[name])
	}
	if s.maxPreemptions() != oldMax {
		s.updateAllPreemptible()
	}
	s.retryPreemption()
}

func (s *Scheduler) updateAllPreemptible() {
	for _, w := range s.sortedWorkers {
		s.updatePreemptible(w)
	}
}

// UpsertWorker adds a worker or replaces its description. Only a usable worker that is live gets new tasks.
// The tasks placed on any other stay counted; units with a hold or a reservation there return to the queue.
func (s *Scheduler) UpsertWorker(desc cell.Worker, usable bool) {
	w, ok := s.workers[desc.ID]
	if !ok {
		w = &worker{}
		s.workers[desc.ID] = w
		i, _ := s.workerPosition(desc.ID)
		s.sortedWorkers = slices.Insert(s.sortedWorkers, i, w)
	}
	if !ok || w.desc.Capacity != desc.Capacity || w.desc.Pool != desc.Pool {
		s.updateCapacity(w, desc)
	}
	if w.desc.State != desc.State {
		clear(s.fitCounts)
	}
	s.countServices(w, -1)
	w.desc = desc
	s.countServices(w, 1)
	w.usable = usable
	w.group.refresh(w)
	if w.placeable() {
		s.capacityGrew(w)
		return
	}
	s.requeueWaitingOn(w)
}

func (s *Scheduler) workerPosition(id cell.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(s.sortedWorkers, id, func(w *worker, id cell.WorkerID) int { return compareIDs(w.desc.ID, id) })
}

// updateCapacity moves w to the group of its new description and counts its new capacity.
func (s *Scheduler) updateCapacity(w *worker, desc cell.Worker) {
	if w.group != nil {
		w.group.remove(w)
	}
	change := desc.Capacity.Sub(w.desc.Capacity)
	w.desc.Capacity, w.desc.Pool = desc.Capacity, desc.Pool
	s.updateTotalCapacity(change)
	s.groupOf(desc).add(w)
}

func (s *Scheduler) updateTotalCapacity(change cell.Resources) {
	s.totalCapacity = s.totalCapacity.Add(change)
	clear(s.fitCounts)
	if change.Negative() {
		s.largestCapacity = cell.Resources{}
	}
	for _, w := range s.sortedWorkers {
		s.largestCapacity = maxPerDimension(s.largestCapacity, w.desc.Capacity)
	}
	for _, t := range s.teams {
		s.updateDominantShare(t)
	}
}

// requeueWaitingOn returns the units with a hold or a reservation on w to the queue.
func (s *Scheduler) requeueWaitingOn(w *worker) {
	for len(w.holders) > 0 {
		u := w.holders[0]
		s.dropHold(u)
		s.addToLane(u)
	}
	if w.reservation != nil {
		s.requeueReservation(w.reservation)
	}
}

// RemoveWorker removes a worker whose leases are known to have ended and returns the tasks that were placed on it, ordered
// by id.
func (s *Scheduler) RemoveWorker(id cell.WorkerID) []cell.Task {
	w, ok := s.workers[id]
	if !ok {
		return nil
	}
	w.usable = false
	for _, h := range s.headrooms {
		if h.worker == w {
			s.releaseHeadroom(h)
		}
	}
	s.requeueWaitingOn(w)
	var lost []cell.Task
	for len(w.tasks) > 0 {
		e := w.tasks[len(w.tasks)-1]
		lost = append(lost, e.item.Task)
		s.Release(e.item.Task.ID)
	}
	slices.SortFunc(lost, func(a, b cell.Task) int { return compareIDs(a.ID, b.ID) })
	w.group.remove(w)
	i, _ := s.workerPosition(id)
	s.sortedWorkers = slices.Delete(s.sortedWorkers, i, i+1)
	delete(s.workers, id)
	s.updateTotalCapacity(cell.Resources{}.Sub(w.desc.Capacity))
	return lost
}

// Adopt records a task that was found running on a worker. Its claim counts even if it exceeds the worker's capacity,
// which then stays full. A queued task leaves the queue; a task that is already placed stays where it is.
func (s *Scheduler) Adopt(t cell.Task, id cell.WorkerID, placedAt time.Time) {
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
	e := &taskEntry{item: QueueItem{Task: t, Arrived: placedAt}, deadlineIndex: -1, delayedIndex: -1, team: s.teamOf(t.Team), stopCounts: s.stopCounts[t.ID]}
	s.seq++
	e.seq = s.seq
	s.entries[t.ID] = e
	if t.GangSize > 1 {
		e.gang = s.gangOf(t)
	}
	s.charge(e, w)
	s.markPlaced(e, placedAt)
}

func maxPerDimension(a, b cell.Resources) cell.Resources {
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
