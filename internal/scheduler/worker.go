package scheduler

import (
	"slices"

	"laburnumpoint/internal/cell"
)

// worker is one worker and what its capacity is used for.
type worker struct {
	desc   cell.Worker
	usable bool
	// used is the sum of the claims of the tasks placed here, including those that are stopping.
	used cell.Resources
	// held is the sum of the claims of holders.
	held cell.Resources
	// reserved is the sum of the claims of the reservation's members that are to start here.
	reserved cell.Resources
	// reservation is the only reservation that may set capacity aside here.
	reservation *reservation
	// headroom is the capacity set aside here for any urgent task.
	headroom cell.Resources
	// preemptibleClaims is the sum of the claims of the tasks here that may be stopped for urgent work.
	preemptibleClaims cell.Resources
	tasks             []*taskEntry
	// holders lists the units with a capacity hold here, the oldest hold first.
	holders []*placementUnit

	group *workerGroup
	// groupIndex is the position in group.members.
	groupIndex int
	// freed means that the worker is in Scheduler.freedWorkers.
	freed bool
}

// placeable reports whether new tasks may be placed on w.
func (w *worker) placeable() bool {
	return w.usable && w.desc.State == cell.WorkerLive
}

// free is the capacity that no placed task claims; it is negative if adopted tasks exceed the worker's capacity.
func (w *worker) free() cell.Resources {
	return w.desc.Capacity.Sub(w.used)
}

// available is the free capacity that is not set aside.
func (w *worker) available() cell.Resources {
	return w.free().Sub(w.held).Sub(w.reserved).Sub(w.headroom)
}

func (w *worker) removeTask(e *taskEntry) {
	w.tasks = slices.DeleteFunc(w.tasks, func(o *taskEntry) bool { return o == e })
}

// workerGroup indexes the workers of one pool that have accelerators, or those that have none.
type workerGroup struct {
	pool          string
	accelerators  bool
	members       []*worker
	freePositions []int
	maxCapacity   amounts
	// availableIndex finds workers by available capacity, preemptionIndex by that plus preemptibleClaims.
	availableIndex  *capacityIndex
	preemptionIndex *capacityIndex
}

func (g *workerGroup) matches(pool string) bool {
	return pool == "" || pool == g.pool
}

func (g *workerGroup) add(w *worker) {
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

// growIndexes makes the indexes large enough for w. A larger capacity than any before needs new indexes.
func (g *workerGroup) growIndexes(w *worker) {
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

func (g *workerGroup) remove(w *worker) {
	g.availableIndex.set(w.groupIndex, cell.Resources{}, false)
	g.preemptionIndex.set(w.groupIndex, cell.Resources{}, false)
	g.members[w.groupIndex] = nil
	g.freePositions = append(g.freePositions, w.groupIndex)
	w.group = nil
}

// refresh updates the indexes after any change to w.
func (g *workerGroup) refresh(w *worker) {
	available := w.available()
	placeable := w.placeable()
	g.availableIndex.set(w.groupIndex, available, placeable)
	g.preemptionIndex.set(w.groupIndex, available.Add(w.preemptibleClaims), placeable && !w.preemptibleClaims.IsZero())
}

// groupOf returns the group that w belongs to, adding it in the order of pools if it is new.
func (s *Scheduler) groupOf(w cell.Worker) *workerGroup {
	accelerators := w.Capacity.Accelerators > 0
	i, found := slices.BinarySearchFunc(s.groups, w, func(g *workerGroup, w cell.Worker) int {
		if c := compareIDs(g.pool, w.Pool); c != 0 || g.accelerators == accelerators {
			return c
		}
		if accelerators {
			return -1
		}
		return 1
	})
	if !found {
		s.groups = slices.Insert(s.groups, i, &workerGroup{pool: w.Pool, accelerators: accelerators})
	}
	return s.groups[i]
}
