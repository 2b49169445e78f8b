package scheduler

import (
	"math/bits"
	"time"

	"laburnumpoint/internal/cell"
)

// taskEntry is the record of one queued or placed task. It is one of:
//
//	delayed    in Scheduler.delayed until QueueItem.NotBefore
//	incomplete in gang.forming until its gang is complete
//	in a lane  its unit is in a lane
//	holding    its unit has a capacity hold and waits for its victims to end
//	reserved   its unit has a reservation
//	placed     on a worker, and possibly stopping
type taskEntry struct {
	item QueueItem
	// seq numbers the entries in the order in which they were added.
	seq      uint64
	team     *team
	unit     *placementUnit
	gang     *gang
	worker   *worker
	placedAt time.Time
	state    TaskState
	// stopCounts is how often the task was stopped for other tasks.
	stopCounts stopCounts
	// preemptible means that the claim is part of worker.preemptibleClaims.
	preemptible bool
	// backfill means that the task was placed on reserved capacity. It may be stopped once the reserved unit could start.
	backfill bool

	// deadlineIndex and delayedIndex are the positions in Scheduler.deadlines and Scheduler.delayed; -1 if in neither.
	deadlineIndex int
	delayedIndex  int
	// selfUnit and selfMembers are the unit of a single task, kept here to save allocations.
	selfUnit    placementUnit
	selfMembers [1]*taskEntry
}

func (e *taskEntry) task() *cell.Task { return &e.item.Task }

func (e *taskEntry) claim() cell.Resources { return e.item.Task.Claim }

func (e *taskEntry) queued() bool { return e.state == StateQueued }

// placementUnit is the tasks that are placed together: a single task or a whole gang.
type placementUnit struct {
	members []*taskEntry
	arrived time.Time
	seq     uint64
	// total is the sum of the members' claims.
	total cell.Resources
	lane  *lane
	prev  *placementUnit
	next  *placementUnit
	// outOfOrderIndex is the position in lane.outOfOrder; -1 for a unit in the lane's list.
	outOfOrderIndex int
	// heldOn is the worker on which the unit has a capacity hold, which ends at holdEnd.
	heldOn      *worker
	holdEnd     time.Time
	reservation *reservation
	// nextPlanAt is when a reservation may next be planned for the unit, after no plan was found.
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

// laneKey identifies a lane.
type laneKey struct {
	team  string
	class cell.PriorityClass
	shape shapeKey
}

// lane is the queue of the units of one team, class and shape, ordered by arrival. Units that arrived before the end of
// the list, such as those that return to the queue, are in the heap outOfOrder, so that insertions and removals are cheap.
type lane struct {
	key   laneKey
	team  *team
	shape *shape
	// shapeIndex is the position in shape.lanes.
	shapeIndex int
	// head and tail are the ends of the list.
	head       *placementUnit
	tail       *placementUnit
	outOfOrder indexedHeap[*placementUnit]
	size       int
	// active means that the lane is in Scheduler.activeLanes or Scheduler.laneOrder.
	active bool
	// overQuota means that the first unit would exceed the team's quota.
	overQuota bool
	// noVictims means that preemption could not free capacity for the first unit. Only for urgent lanes.
	noVictims bool
	// heapIndex is the position in Scheduler.laneOrder. The order there is that of orderKey.
	heapIndex int
	orderKey  orderKey
}

// shapeKeyOf returns the key of a unit's shape.
func shapeKeyOf(u *placementUnit) shapeKey {
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
	u.outOfOrderIndex = -1
	l.size++
	switch {
	case l.tail == nil:
		l.head, l.tail = u, u
	case l.tail.before(u):
		u.prev, l.tail.next = l.tail, u
		l.tail = u
	default:
		l.outOfOrder.push(u)
	}
	s.activate(l)
}

// removeFromLane takes u out of its lane.
func (s *Scheduler) removeFromLane(u *placementUnit) {
	l := u.lane
	if u.outOfOrderIndex >= 0 {
		l.outOfOrder.remove(u)
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
	if l.outOfOrder.len() == 0 {
		return l.head
	}
	if r := l.outOfOrder.top(); l.head == nil || r.before(l.head) {
		return r
	}
	return l.head
}

func (l *lane) urgent() bool { return l.key.class == cell.ClassUrgent }

func (s *Scheduler) laneOf(u *placementUnit) *lane {
	t := u.first().task()
	key := laneKey{team: t.Team, class: t.Class, shape: shapeKeyOf(u)}
	if l, ok := s.lanes[key]; ok {
		return l
	}
	l := &lane{key: key, team: u.first().team, shape: s.shapeOf(key.shape)}
	l.outOfOrder = indexedHeap[*placementUnit]{less: (*placementUnit).before, position: func(u *placementUnit) *int { return &u.outOfOrderIndex }}
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

// dropLane removes an empty lane, and its shape if it has no other lane.
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

// activate lists l for the next round, unless its first unit is known not to be placeable.
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
