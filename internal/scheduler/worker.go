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
	// earmarked is the claims of urgent tasks that start here once their victims are gone.
	earmarked cell.Resources
	// reserved is the claims of the members of a reservation that are to start here.
	reserved cell.Resources
	// reservation is the one reservation that may keep room here.
	reservation *reservation
	// kept is the room that is kept for urgent work.
	kept cell.Resources
	// victims is the claims of the tasks here that may be stopped for urgent work.
	victims cell.Resources
	tasks   []*entry
	waiting []*unit

	group *group
	slot  int
	freed bool
}

func (w *worker) placeable() bool {
	return w.usable && w.desc.State == cell.WorkerLive
}

// free is what no placed task claims; it is negative if Adopt overfilled the worker.
func (w *worker) free() cell.Resources {
	return w.desc.Capacity.Sub(w.used)
}

// room is what any task may take.
func (w *worker) room() cell.Resources {
	return w.free().Sub(w.earmarked).Sub(w.reserved).Sub(w.kept)
}

func (w *worker) removeTask(e *entry) {
	w.tasks = slices.DeleteFunc(w.tasks, func(o *entry) bool { return o == e })
}

// group indexes the workers of one pool that have accelerators, or those that have none.
type group struct {
	pool         string
	accelerators bool
	members      []*worker
	vacant       []int
	limit        amounts
	// rooms finds workers by room, preemptible by room once their stoppable tasks are gone.
	rooms       *index
	preemptible *index
}

func (g *group) matches(pool string) bool {
	return pool == "" || pool == g.pool
}

func (g *group) add(w *worker) {
	w.group = g
	if n := len(g.vacant); n > 0 {
		w.slot = g.vacant[n-1]
		g.vacant = g.vacant[:n-1]
		g.members[w.slot] = w
	} else {
		w.slot = len(g.members)
		g.members = append(g.members, w)
	}
	g.fit(w)
	g.refresh(w)
}

// fit makes the indexes large enough for w.
func (g *group) fit(w *worker) {
	limit := g.limit
	for d, v := range amountsOf(w.desc.Capacity) {
		limit[d] = max(limit[d], v)
	}
	if g.rooms != nil && limit == g.limit {
		g.rooms.grow(len(g.members))
		g.preemptible.grow(len(g.members))
		return
	}
	g.limit = limit
	g.rooms = newIndex(limit, len(g.members))
	g.preemptible = newIndex(limit, len(g.members))
	for _, m := range g.members {
		if m != nil {
			g.refresh(m)
		}
	}
}

func (g *group) remove(w *worker) {
	g.rooms.set(w.slot, cell.Resources{}, false)
	g.preemptible.set(w.slot, cell.Resources{}, false)
	g.members[w.slot] = nil
	g.vacant = append(g.vacant, w.slot)
	w.group = nil
}

// refresh updates the indexes after any change to w.
func (g *group) refresh(w *worker) {
	room := w.room()
	placeable := w.placeable()
	g.rooms.set(w.slot, room, placeable)
	g.preemptible.set(w.slot, room.Add(w.victims), placeable && !w.victims.IsZero())
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
