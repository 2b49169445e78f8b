package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Release removes a placed task that is known to have ended, and frees its capacity.
func (s *Scheduler) Release(id cell.TaskID) {
	e := s.entries[id]
	if e == nil || e.worker == nil {
		return
	}
	g := e.gang
	s.release(id)
	s.dropGang(g)
}

// release removes a placed task but keeps its gang.
func (s *Scheduler) release(id cell.TaskID) {
	e := s.entries[id]
	if e == nil || e.worker == nil {
		return
	}
	if e.state == StateStopping {
		s.recordStops(id, e.stopCounts)
	} else {
		delete(s.stopCounts, id)
	}
	s.unmarkPlaced(e)
	w := e.worker
	s.uncharge(e)
	if finished := e.state == StatePlaced; finished {
		s.addHeadroom(e, w)
	}
	delete(s.entries, id)
	s.dropTeam(e.team)
	s.capacityGrew(w)
}

// charge counts e's claim against w and e's team.
func (s *Scheduler) charge(e *taskEntry, w *worker) {
	e.worker = w
	w.used = w.used.Add(e.claim())
	w.tasks = append(w.tasks, e)
	s.addUsed(e.team, e.claim())
	w.group.refresh(w)
}

func (s *Scheduler) uncharge(e *taskEntry) {
	w := e.worker
	e.worker = nil
	w.used = w.used.Sub(e.claim())
	w.removeTask(e)
	s.removeUsed(e.team, e.claim())
	w.group.refresh(w)
}

// markPlaced completes the placement of a charged entry.
func (s *Scheduler) markPlaced(e *taskEntry, placedAt time.Time) {
	e.placedAt = placedAt
	e.state = StatePlaced
	e.team.placed++
	s.placed++
	if e.gang != nil {
		e.gang.started++
		e.gang.running++
	}
	if e.task().Kind == cell.KindService {
		s.spreadOf(e.task().Job).count(e.worker, 1)
	}
	s.updatePreemptible(e.worker)
	if e.preemptible {
		s.retryPreemption()
	}
}

func (s *Scheduler) unmarkPlaced(e *taskEntry) {
	e.team.placed--
	s.placed--
	if e.gang != nil {
		e.gang.running--
	}
	if e.task().Kind == cell.KindService {
		s.uncountService(e)
	}
	if e.preemptible {
		e.preemptible = false
		e.worker.preemptibleClaims = e.worker.preemptibleClaims.Sub(e.claim())
	}
}
