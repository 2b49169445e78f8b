package scheduler

import (
	"slices"

	"laburnumpoint/internal/cell"
)

// worker is the ledger's record of one worker.
type worker struct {
	desc   cell.Worker
	usable bool
	// used is the claims of every task placed here, stopping ones too.
	used cell.Resources
	// held is the claims of urgent tasks that start here once their victims are gone.
	held cell.Resources
	// reserved is the claims of the members of a reservation that are to start here.
	reserved cell.Resources
	// reservation is the one reservation that may keep room here.
	reservation *reservation
	// headroom is the room that is kept for urgent work.
	headroom cell.Resources
	// preemptibleClaims is the claims of the tasks here that may be stopped for urgent work.
	preemptibleClaims cell.Resources
	tasks             []*taskEntry
	holders           []*placementUnit

	group      *group
	groupIndex int
	freed      bool
}

func (w *worker) placeable() bool {
	return w.usable && w.desc.State == cell.WorkerLive
}

// free is what no placed task claims; it is negative if Adopt overfilled the worker.
func (w *worker) free() cell.Resources {
	return w.desc.Capacity.Sub(w.used)
}

// available is what any task may take.
func (w *worker) available() cell.Resources {
	return w.free().Sub(w.held).Sub(w.reserved).Sub(w.headroom)
}

func (w *worker) removeTask(e *taskEntry) {
	w.tasks = slices.DeleteFunc(w.tasks, func(o *taskEntry) bool { return o == e })
}

// group indexes the workers of one pool that have accelerators, or those that have none.
type group struct {
	pool          string
	accelerators  bool
	members       []*worker
	freePositions []int
	maxCapacity   amounts
	// availableIndex finds workers by room, preemptible by room once their stoppable tasks are gone.
	availableIndex  *capacityIndex
	preemptionIndex *capacityIndex
}

func (g *group) matches(pool string) bool {
	return pool == "" || pool == g.pool
}

func (g *group) add(w *worker) {
	w.group = g
	if n := len(g.freePositions); n > 0 {
		w.groupIndex = g.freePositions[n-1]
		g.freePositions = g.freePositions[:n-1]
		g.members[w.groupIndex] = w
	} else {
		w.groupIndex = len(g.members)
		g.members = append(g.members, w)
	}
	g.growIndexes(w)
	g.refresh(w)
}

// growIndexes makes the indexes large enough for w.
func (g *group) growIndexes(w *worker) {
	maxCapacity := g.maxCapacity
	for d, v := range amountsOf(w.desc.Capacity) {
		maxCapacity[d] = max(maxCapacity[d], v)
	}
	if g.availableIndex != nil && maxCapacity == g.maxCapacity {
		g.availableIndex.grow(len(g.members))
		g.preemptionIndex.grow(len(g.members))
		return
	}
	g.maxCapacity = maxCapacity
	g.availableIndex = newCapacityIndex(maxCapacity, len(g.members))
	g.preemptionIndex = newCapacityIndex(maxCapacity, len(g.members))
	for _, m := range g.members {
		if m != nil {
			g.refresh(m)
		}
	}
}

func (g *group) remove(w *worker) {
	g.availableIndex.set(w.groupIndex, cell.Resources{}, false)
	g.preemptionIndex.set(w.groupIndex, cell.Resources{}, false)
	g.members[w.groupIndex] = nil
	g.freePositions = append(g.freePositions, w.groupIndex)
	w.group = nil
}

// refresh updates the indexes after any change to w.
func (g *group) refresh(w *worker) {
	available := w.available()
	placeable := w.placeable()
	g.availableIndex.set(w.groupIndex, available, placeable)
	g.preemptionIndex.set(w.groupIndex, available.Add(w.preemptibleClaims), placeable && !w.preemptibleClaims.IsZero())
}

// groupOf returns the group that w belongs to, adding it in pool order if it is new.
func (s *Scheduler) groupOf(w cell.Worker) *group {
	accelerators := w.Capacity.Accelerators > 0
	i, found := slices.BinarySearchFunc(s.groups, w, func(g *group, w cell.Worker) int {
		if c := compareIDs(g.pool, w.Pool); c != 0 || g.accelerators == accelerators {
			return c
		}
		if accelerators {
			return -1
		}
		return 1
	})
	if !found {
		s.groups = slices.Insert(s.groups, i, &group{pool: w.Pool, accelerators: accelerators})
	}
	return s.groups[i]
}
