package dispatch

import (
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// A start without an answer may be carried out seconds later, by whichever process of its worker runs then. The process that the start is for
// refuses it once it has acknowledged a stop of the run. The next process under the worker's id knows nothing of the stop; it refuses only a
// permit, which is bound to the process. A start without a permit, on a worker that may restart under its id, is therefore recorded before it
// is sent, so that every later owner knows of it, and sent once. Without an answer it keeps its task from another run:
//
//	planned ──recorded──▶ ordered ──answered, or run listed──▶ carried out or refused
//	   │                     │
//	   │                     └──neither, until the run is removed, or the owner is lost──▶ may be late
//	   └──withdrawn──▶ over
//
//	may be late ──listed, absent from a report that was requested after it can be carried out, or its lease over──▶ over

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
func (r *run) mayStartLate() bool { return r.once && r.ordered && !r.startAnswered }

// isUnsent reports whether the run's start waits for its record.
func (r *run) isUnsent() bool { return r.once && !r.ordered }

// lateUntil returns until when the start may be carried out.
func (r *run) lateUntil() monotime.Instant { return r.orderedAt.Add(MaxStartWait + MaxCallDelay) }

// unsentStart is a start that is sent once the given record of the job's progress, in the order of TakeDirty, is durable.
type unsentStart struct {
	run    *run
	start  Start
	record uint64
}

// openStart is a start that may be carried out. The run that it begins may go on for as long as a lease lasts.
type openStart struct {
	worker WorkerID
	number uint64
	// lateUntil is until when it may be carried out late; 0 as long as its run has not been removed.
	lateUntil monotime.Instant
}

// SetLongestLease sets how long a run may go on on a worker that doesn't answer.
func (e *Engine) SetLongestLease(lease time.Duration) { e.longestLease = lease }

// SetEarlierOrdersUntil sets the latest time at which an earlier owner may have given orders.
func (e *Engine) SetEarlierOrdersUntil(at monotime.Instant) { e.earlierOrdersUntil = at }

// awaitStartRecord keeps the start of a run back until it is recorded.
func (e *Engine) awaitStartRecord(r *run, start Start) {
	t, j := r.task, r.task.step.job
	t.openStarts = append(t.openStarts, openStart{worker: r.worker.ID, number: r.Number})
	e.usesOpenStarts = true
	j.urgentRecord = j.recordsTaken + 1
	e.unsentStarts = append(e.unsentStarts, unsentStart{r, start, j.urgentRecord})
	e.markDirty(j)
}

// sendRecordedStarts orders the starts that are recorded by now, and withdraws those that are not needed any more or whose worker takes no new
// runs.
func (e *Engine) sendRecordedStarts() {
	waiting := e.unsentStarts
	e.unsentStarts = nil
	for _, u := range waiting {
		r, w := u.run, u.run.worker
		switch {
		case w.runs[r.RunKey] != r:
		case r.state != runStarting || !w.takesNewRuns():
			e.withdrawStart(r)
		case r.task.step.job.recorded >= u.record:
			e.orderStart(r, u.start)
		default:
			e.unsentStarts = append(e.unsentStarts, u)
		}
	}
}

// UnsentStarts returns how many starts wait for their record.
func (e *Engine) UnsentStarts() int { return len(e.unsentStarts) }

// WithdrawUnsentStarts withdraws the starts that wait for their record.
func (e *Engine) WithdrawUnsentStarts() {
	for _, u := range e.unsentStarts {
		e.withdrawStart(u.run)
	}
	e.unsentStarts = nil
}

// withdrawUnsentStartsOn withdraws those for a worker whose process has ended.
func (e *Engine) withdrawUnsentStartsOn(w *worker) {
	e.unsentStarts = slices.DeleteFunc(e.unsentStarts, func(u unsentStart) bool {
		if u.run.worker != w {
			return false
		}
		e.withdrawStart(u.run)
		return true
	})
}

// withdrawStart withdraws the unsent start of a run, unless the run has been removed.
func (e *Engine) withdrawStart(r *run) {
	if r.worker.runs[r.RunKey] == r {
		e.handleStartRefusal(r.worker, r, StartNotSent)
	}
}

// recordedStarts returns the task's open starts to record.
func (t *task) recordedStarts() []StartProgress {
	var starts []StartProgress
	for _, open := range t.openStarts {
		starts = append(starts, StartProgress{open.number, open.worker})
	}
	return starts
}

// restoreStarts applies the recorded starts of earlier owners, for adoptOpenStarts.
func (t *task) restoreStarts(starts []StartProgress) {
	for _, start := range starts {
		t.openStarts = append(t.openStarts, openStart{worker: start.Worker, number: start.Run})
	}
}

// adoptOpenStarts keeps the tasks of a job with recorded starts from another run: a worker may still carry these out.
func (e *Engine) adoptOpenStarts(j *job) {
	over := e.earlierOrdersUntil.Add(MaxCallDelay)
	j.eachTask(func(t *task) {
		recorded := t.openStarts
		t.openStarts = nil
		for _, open := range recorded {
			t.lastRunNumber = max(t.lastRunNumber, open.number)
			if e.now >= over.Add(e.longestLease) {
				e.markOutdated(j)
				continue
			}
			e.addLateStart(t, openStart{open.worker, open.number, over})
			e.keepRoom(open.worker, lateRoom{RunKey{t.id(), open.number}, t.step.def.Allocation(), over})
		}
	})
}

// LateStarts returns the tasks that wait for starts which may be carried out late.
func (e *Engine) LateStarts() []HeldTask {
	var held []HeldTask
	for id, tasks := range e.lateStarts {
		for t := range tasks {
			for _, open := range t.openStarts {
				if open.worker == id && open.lateUntil > 0 {
					held = append(held, HeldTask{RunKey{t.id(), open.number}, id, open.lateUntil.Sub(e.now)})
				}
			}
		}
	}
	return held
}

// holdForLateStart keeps the run's task from its next run as long as the start may be carried out, or its run may go on unheard.
func (e *Engine) holdForLateStart(r *run) {
	e.settleStart(r.RunKey)
	t := e.task(r.Task)
	if t == nil || t.done || t.step.job.state.Ended() {
		return
	}
	late := openStart{r.worker.ID, r.Number, r.lateUntil()}
	if e.now >= late.lateUntil.Add(e.longestLease) {
		return
	}
	e.addLateStart(t, late)
	e.heldTasks = append(e.heldTasks, HeldTask{r.RunKey, late.worker, late.lateUntil.Sub(e.now)})
}

func (e *Engine) addLateStart(t *task, late openStart) {
	t.openStarts = append(t.openStarts, late)
	e.usesOpenStarts = true
	if e.lateStarts[late.worker] == nil {
		e.lateStarts[late.worker] = make(map[*task]struct{})
	}
	e.lateStarts[late.worker][t] = struct{}{}
}

// settleStart notes that a start can't be carried out any more: its worker has answered it or lists its run, or it was not sent.
func (e *Engine) settleStart(key RunKey) {
	if !e.usesOpenStarts {
		return
	}
	if t := e.task(key.Task); t != nil {
		e.removeOpenStarts(t, func(open openStart) bool { return open.number == key.Number })
	}
}

// settleLateStarts removes the late starts of a worker that were over at the given time: it has reported what it ran then.
func (e *Engine) settleLateStarts(id WorkerID, at monotime.Instant) {
	for t := range e.lateStarts[id] {
		e.removeOpenStarts(t, func(open openStart) bool { return open.worker == id && open.lateUntil > 0 && at >= open.lateUntil })
	}
}

// removeOpenStarts removes the task's open starts that are over.
func (e *Engine) removeOpenStarts(t *task, over func(openStart) bool) {
	before := t.openStarts
	t.openStarts = slices.DeleteFunc(slices.Clone(before), over)
	if len(t.openStarts) == len(before) {
		return
	}
	e.markOutdated(t.step.job)
	for _, open := range before {
		tasks := e.lateStarts[open.worker]
		if !slices.ContainsFunc(t.openStarts, func(left openStart) bool { return left.worker == open.worker && left.lateUntil > 0 }) {
			delete(tasks, t)
		}
		if len(tasks) == 0 {
			delete(e.lateStarts, open.worker)
		}
	}
}

// markOutdated lets the next commit record the job's progress if it has room for it.
func (e *Engine) markOutdated(j *job) {
	if !j.outdated && !j.endTaken {
		j.outdated = true
		e.outdated = append(e.outdated, j)
	}
}

// startableAt returns when the task may have its next run, as far as that is a matter of time.
func (e *Engine) startableAt(t *task) monotime.Instant {
	at := t.notBefore
	for _, open := range t.openStarts {
		if open.lateUntil > 0 {
			at = max(at, open.lateUntil.Add(e.longestLease))
		}
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
func (e *Engine) keepRoom(id WorkerID, room lateRoom) {
	e.lateRooms[id] = append(e.lateRooms[id], room)
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
