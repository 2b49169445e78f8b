package dispatch

import (
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// A start without an answer may be carried out seconds later, by whichever process of its worker runs then. The process that the start is for
// refuses it once it has acknowledged a stop of the run. The next process under the worker's id knows nothing of the stop; it refuses only a
// permit, which is bound to the process. A start without a permit, on a worker that may restart under its id, is therefore sent once, and
// without an answer it keeps its task from another run:
//
//	ordered ──answered, or run listed──▶ carried out or refused
//	    │
//	    └──neither, until the run is removed──▶ may be late ──MaxStartWait and MaxCallDelay after the order──▶ may run
//
//	may run ──listed, absent from a report that was requested since, or its lease over──▶ over

// MaxCallDelay is how long after it was sent a call that got no answer may be carried out at most. The users' protocol says: seconds.
const MaxCallDelay = 15 * time.Second

// MaxStartWait is how long after its order a start is sent at most.
const MaxStartWait = 1 * time.Second

// HeldTask is a task that is not started again since an earlier start of it may be carried out late, for the log.
type HeldTask struct {
	// RunKey is the run that may start late, on Worker.
	RunKey
	Worker WorkerID
	// Wait is how long the task waits.
	Wait time.Duration
}

// TakeHeldTasks returns the tasks that have begun to wait since the last call.
func (e *Engine) TakeHeldTasks() []HeldTask {
	held := e.heldTasks
	e.heldTasks = nil
	return held
}

// SetStartsNameProcess says that starts name the process that they are for: no other one carries them out.
func (e *Engine) SetStartsNameProcess() { e.startsNameProcess = true }

// mayRestartUnderID reports whether another process of the worker may run under its id: then it names the start of its process.
func (w *worker) mayRestartUnderID() bool { return w.ProcessStart != 0 || w.processStart != 0 }

// noteListed notes that the worker lists the run: its start has been carried out, and if it was sent once it can't be again.
func (r *run) noteListed() { r.startAnswered = r.startAnswered || r.once }

// mayStartLate reports whether the start may be carried out after the run is removed.
func (r *run) mayStartLate() bool { return r.once && !r.startAnswered }

// lateUntil returns until when the start may be carried out.
func (r *run) lateUntil() monotime.Instant { return r.orderedAt.Add(MaxStartWait + MaxCallDelay) }

// lateStart is a start that may be carried out late, until over. The run that it begins may go on for as long as a lease lasts.
type lateStart struct {
	worker WorkerID
	over   monotime.Instant
}

// SetLongestLease sets how long a run may go on on a worker that doesn't answer.
func (e *Engine) SetLongestLease(lease time.Duration) { e.longestLease = lease }

// holdForLateStart keeps the run's task from its next run as long as the start may be carried out, or its run may go on unheard.
func (e *Engine) holdForLateStart(r *run) {
	t := e.task(r.Task)
	if t == nil || t.done || t.step.job.state.Ended() {
		return
	}
	late := lateStart{r.worker.ID, r.lateUntil()}
	if e.now >= late.over.Add(e.longestLease) {
		return
	}
	t.lateStarts = append(t.lateStarts, late)
	if e.lateStarts[late.worker] == nil {
		e.lateStarts[late.worker] = make(map[*task]struct{})
	}
	e.lateStarts[late.worker][t] = struct{}{}
	e.heldTasks = append(e.heldTasks, HeldTask{r.RunKey, late.worker, late.over.Sub(e.now)})
}

// settleLateStarts removes the late starts of a worker that were over at the given time: it has reported what it ran then.
func (e *Engine) settleLateStarts(id WorkerID, at monotime.Instant) {
	for t := range e.lateStarts[id] {
		open := 0
		t.lateStarts = slices.DeleteFunc(t.lateStarts, func(late lateStart) bool {
			if late.worker != id {
				return false
			}
			if at >= late.over {
				return true
			}
			open++
			return false
		})
		if open == 0 {
			delete(e.lateStarts[id], t)
		}
	}
	if len(e.lateStarts[id]) == 0 {
		delete(e.lateStarts, id)
	}
}

// startableAt returns when the task may have its next run, as far as that is a matter of time.
func (e *Engine) startableAt(t *task) monotime.Instant {
	at := t.notBefore
	for _, late := range t.lateStarts {
		at = max(at, late.over.Add(e.longestLease))
	}
	return at
}

// lateRoom is the room on its worker of a run that may start late, until over. Nobody else gets it: a worker doesn't guard its capacity.
type lateRoom struct {
	run        RunKey
	allocation graph.Resources
	over       monotime.Instant
}

// keepRoom keeps the room of a run that may start late.
func (e *Engine) keepRoom(r *run) {
	id := r.worker.ID
	e.lateRooms[id] = append(e.lateRooms[id], lateRoom{r.RunKey, r.allocation, r.lateUntil()})
}

// freeRooms frees the worker's rooms that are over.
func (e *Engine) freeRooms(w *worker, over func(lateRoom) bool) {
	rooms := e.lateRooms[w.ID]
	if len(rooms) == 0 {
		return
	}
	kept := slices.DeleteFunc(rooms, func(room lateRoom) bool {
		if !over(room) {
			return false
		}
		w.used = w.used.Sub(room.allocation)
		return true
	})
	if len(kept) == len(rooms) {
		return
	}
	e.lateRooms[w.ID] = kept
	if len(kept) == 0 {
		delete(e.lateRooms, w.ID)
	}
	if p := e.pools[w.Pool]; p != nil && w.takesNewRuns() {
		p.capacityGrew(w)
	}
}

// freeRoomOf frees the room of a run that the worker lists: its start has been carried out.
func (e *Engine) freeRoomOf(w *worker, key RunKey) {
	e.freeRooms(w, func(room lateRoom) bool { return room.run == key })
}
