package scheduler

import (
	"time"

	"laburnumpoint/internal/cell"
)

// Release uncounts a placed task once it is known to be over.
func (s *Scheduler) Release(id cell.TaskID) {
	e := s.entries[id]
	if e == nil || e.worker == nil {
		return
	}
	g := e.gang
	s.release(id)
	s.dropGang(g)
}

func (s *Scheduler) release(id cell.TaskID) {
	e := s.entries[id]
	if e == nil || e.worker == nil {
		return
	}
	if e.state == StateStopping {
		s.countStops(id, e.stops)
	} else {
		delete(s.stops, id)
	}
	s.unsettle(e)
	w := e.worker
	s.uncharge(e)
	if finished := e.state == StatePlaced; finished {
		s.keepFor(e, w)
	}
	delete(s.entries, id)
	s.dropTeam(e.team)
	s.roomGrew(w)
}

// charge counts e's claim on w and for its team.
func (s *Scheduler) charge(e *entry, w *worker) {
	e.worker = w
	w.used = w.used.Add(e.claim())
	w.tasks = append(w.tasks, e)
	s.hold(e.team, e.claim())
	w.group.refresh(w)
}

func (s *Scheduler) uncharge(e *entry) {
	w := e.worker
	e.worker = nil
	w.used = w.used.Sub(e.claim())
	w.removeTask(e)
	s.letGo(e.team, e.claim())
	w.group.refresh(w)
}

// settle completes the placement of a charged entry.
func (s *Scheduler) settle(e *entry, since time.Time) {
	e.since = since
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
	s.recountVictims(e.worker)
	if e.victim {
		s.victimsGrew()
	}
}

func (s *Scheduler) unsettle(e *entry) {
	e.team.placed--
	s.placed--
	if e.gang != nil {
		e.gang.running--
	}
	if e.task().Kind == cell.KindService {
		s.uncountService(e)
	}
	if e.victim {
		e.victim = false
		e.worker.victims = e.worker.victims.Sub(e.claim())
	}
}
