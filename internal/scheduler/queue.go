package scheduler

import (
	"math/bits"
	"time"

	"laburnumpoint/internal/cell"
)

// taskEntry is one task that the scheduler knows. Its place is one of:
//
//	delayed   in Scheduler.delayed until Item.NotBefore
//	forming   in Scheduler.forming until its gang is whole
//	in line   its unit is in a lane
//	earmarked its unit waits for victims to leave a worker
//	reserved  its unit holds a reservation
//	placed    on a worker, perhaps stopping
type taskEntry struct {
	item     QueueItem
	seq      uint64
	team     *team
	unit     *placementUnit
	gang     *gang
	worker   *worker
	placedAt time.Time
	state    TaskState
	// stopCounts is how often the task was stopped for others.
	stopCounts stopCounts
	// preemptible means that the claim is counted in worker.victims.
	preemptible bool
	// backfill means that the task uses room that a reservation holds and leaves it when the reserved gang is ready.
	backfill bool

	deadlineIndex int
	delayedIndex  int
	selfUnit      placementUnit
	selfMembers   [1]*taskEntry
}

func (e *taskEntry) task() *cell.Task { return &e.item.Task }

func (e *taskEntry) claim() cell.Resources { return e.item.Task.Claim }

func (e *taskEntry) queued() bool { return e.state == StateQueued }

// placementUnit is what is placed at once: one task or a whole gang.
type placementUnit struct {
	members []*taskEntry
	arrived time.Time
	seq     uint64
	total   cell.Resources
	lane    *lane
	prev    *placementUnit
	next    *placementUnit
	// returnedIndex is the position among the lane's returned units; -1 for a unit of the lane's list.
	returnedIndex int
	heldOn        *worker
	holdEnd       time.Time
	reservation   *reservation
	// nextPlanAt is when a reservation may next be planned for the unit, after none was found.
	nextPlanAt time.Time
}

func (u *placementUnit) first() *taskEntry { return u.members[0] }

func (u *placementUnit) isGang() bool { return u.first().item.Task.GangSize > 1 }

func (u *placementUnit) before(o *placementUnit) bool {
	if !u.arrived.Equal(o.arrived) {
		return u.arrived.Before(o.arrived)
	}
	return u.seq < o.seq
}

// laneKey names a lane.
type laneKey struct {
	team  string
	class cell.Class
	shape shapeKey
}

// lane is a first-in-first-out line of the units of one team, class and shape. Units that return to the queue
// keep their arrival time and stand in a heap beside the list, so that every removal is cheap.
type lane struct {
	key        laneKey
	team       *team
	shape      *shape
	shapeIndex int
	head       *placementUnit
	tail       *placementUnit
	returned   indexedHeap[*placementUnit]
	size       int
	// active means that the lane is in Scheduler.active.
	active bool
	// overQuota means that the first unit exceeds what the team may hold.
	overQuota bool
	// noVictims means that no stoppable work could make room for the first unit. Only for urgent lanes.
	noVictims bool
	heapIndex int
	orderKey  orderKey
}

func shapeOf(u *placementUnit) shapeKey {
	t := u.first().task()
	key := shapeKey{pool: t.Pool, claim: t.Claim, total: u.total, stoppable: t.Stoppable, runScale: bits.Len64(uint64(max(t.EstimatedRun, 0) / time.Second))}
	if !u.isGang() {
		return key
	}
	key.gangSize = len(u.members)
	for _, m := range u.members[1:] {
		c := m.claim()
		key.claim.MilliCPU = min(key.claim.MilliCPU, c.MilliCPU)
		key.claim.MemoryMiB = min(key.claim.MemoryMiB, c.MemoryMiB)
		key.claim.Accelerators = min(key.claim.Accelerators, c.Accelerators)
		key.claim.Slots = min(key.claim.Slots, c.Slots)
		key.stoppable = key.stoppable && m.task().Stoppable
	}
	return key
}

// addToLane puts u into its lane.
func (s *Scheduler) addToLane(u *placementUnit) {
	l := s.laneOf(u)
	u.lane = l
	u.returnedIndex = -1
	l.size++
	switch {
	case l.tail == nil:
		l.head, l.tail = u, u
	case l.tail.before(u):
		u.prev, l.tail.next = l.tail, u
		l.tail = u
	default:
		l.returned.push(u)
	}
	s.activate(l)
}

// removeFromLane takes u out of its lane.
func (s *Scheduler) removeFromLane(u *placementUnit) {
	l := u.lane
	if u.returnedIndex >= 0 {
		l.returned.remove(u)
	} else {
		l.unlink(u)
	}
	u.lane = nil
	l.size--
	if l.size == 0 {
		s.dropLane(l)
	}
}

func (l *lane) unlink(u *placementUnit) {
	if u.prev != nil {
		u.prev.next = u.next
	} else {
		l.head = u.next
	}
	if u.next != nil {
		u.next.prev = u.prev
	} else {
		l.tail = u.prev
	}
	u.prev, u.next = nil, nil
}

// first returns the unit that arrived first.
func (l *lane) first() *placementUnit {
	if l.returned.len() == 0 {
		return l.head
	}
	if r := l.returned.top(); l.head == nil || r.before(l.head) {
		return r
	}
	return l.head
}

func (l *lane) urgent() bool { return l.key.class == cell.ClassUrgent }

func (s *Scheduler) laneOf(u *placementUnit) *lane {
	t := u.first().task()
	key := laneKey{team: t.Team, class: t.Class, shape: shapeOf(u)}
	if l, ok := s.lanes[key]; ok {
		return l
	}
	l := &lane{key: key, team: u.first().team, shape: s.shapeOf(key.shape)}
	l.returned = indexedHeap[*placementUnit]{less: (*placementUnit).before, position: func(u *placementUnit) *int { return &u.returnedIndex }}
	l.shapeIndex = len(l.shape.lanes)
	l.shape.lanes = append(l.shape.lanes, l)
	s.lanes[key] = l
	return l
}

func (s *Scheduler) shapeOf(key shapeKey) *shape {
	sh, ok := s.shapes[key]
	if !ok {
		sh = &shape{key: key}
		s.shapes[key] = sh
	}
	return sh
}

// dropLane forgets an empty lane, and its shape if that was its last.
func (s *Scheduler) dropLane(l *lane) {
	delete(s.lanes, l.key)
	sh := l.shape
	last := len(sh.lanes) - 1
	sh.lanes[l.shapeIndex] = sh.lanes[last]
	sh.lanes[l.shapeIndex].shapeIndex = l.shapeIndex
	sh.lanes = sh.lanes[:last]
	if last == 0 {
		s.unblockShape(sh)
		delete(s.shapes, sh.key)
	}
}

// activate lists l among the lanes that the next round looks at, unless nothing in it could be placed.
func (s *Scheduler) activate(l *lane) {
	if l.active || l.size == 0 || l.overQuota {
		return
	}
	if l.shape.blocked && (!l.urgent() || l.noVictims) {
		return
	}
	l.active = true
	s.activeLanes = append(s.activeLanes, l)
}
