package dispatch

import (
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// chooseRack chooses the rack for the open tasks of a step that prefers one for all of its tasks. Tasks that run already decide it.
// Otherwise it is the rack where the most of the open tasks find room before a start elsewhere would gain, the soonest first, and of
// those the one with the most room.
func (e *Engine) chooseRack(s *step, p *pool, open int) {
	if s.def.DataRack != "" || len(s.locality.waits) > 0 {
		return
	}
	if s.placedTasks > 0 || s.openTasks < len(s.tasks) {
		if s.locality.rack == "" {
			s.locality.rack = s.rackOfRuns()
		}
		if s.locality.rack != "" {
			return
		}
	}
	if s.locality.rack != "" && e.now < s.locality.reviewAt {
		return
	}
	s.locality.reviewAt = e.now.Add(e.locality.reviewInterval)
	s.locality.rack, _, _ = e.bestRack(s, p, open)
}

// rackOfRuns returns the rack with the most runs of the step's tasks; empty if there are none.
func (s *step) rackOfRuns() string {
	counts := make(map[string]int)
	best := ""
	for _, t := range s.tasks {
		if t.run == nil {
			continue
		}
		rack := t.run.worker.Rack
		counts[rack]++
		if counts[rack] > counts[best] {
			best = rack
		}
	}
	return best
}

// bestRack returns the rack where the most of the given number of the step's tasks are expected to find room in time, the number of
// those, and when the last of them does. Among equals it is the rack with the most room.
func (e *Engine) bestRack(s *step, p *pool, tasks int) (best string, fitting int, last monotime.Instant) {
	until := e.nearChoice(s, s.expectedRunTime()).deadline()
	most := 0
	for _, rack := range p.rackNames() {
		starts := e.nearStarts(s, p, rack, until)
		n := min(tasks, len(starts))
		if n == 0 {
			continue
		}
		end, room := starts[n-1], len(starts)
		if n > fitting || (n == fitting && (end < last || (end == last && room > most))) {
			best, fitting, last, most = rack, n, end, room
		}
	}
	return best, fitting, last
}

// gangWorkers returns the workers among which a gang for which places matter is placed, and nil while the gang waits.
func (e *Engine) gangWorkers(s *step, p *pool, open []*task) []*worker {
	workers, rack, d := e.chooseGangWorkers(s, p, open)
	switch {
	case d.tasks > 0:
		s.locality.rack = rack
		e.addWait(s, rack, open, d)
	case workers != nil && rack != "":
		for _, t := range open {
			if t.locality.wait != nil {
				e.endTaskWait(t, WaitKept)
			}
		}
	}
	return workers
}

// chooseGangWorkers chooses the workers for a gang: those of one rack if all members fit there, or those of the pool if they don't and a
// wait would not gain. It returns none while the gang waits, or if it is to begin a wait for the rack; d then says until when.
func (e *Engine) chooseGangWorkers(s *step, p *pool, open []*task) (workers []*worker, rack string, d nearDecision) {
	counts := s.runsPerWorker()
	if rack := e.rackWithRoom(s, p, len(open), counts); rack != "" {
		return p.onRack(rack), rack, d
	}
	if len(s.locality.waits) > 0 {
		return nil, "", d
	}
	runTime := s.expectedRunTime()
	if runTime == 0 || s.def.LongRunning || open[0].locality.waited || !e.gangFits(s, p.workers, len(open), counts) {
		return p.workers, "", d
	}
	c := e.nearChoice(s, runTime)
	c.tasks = 1
	if s.job.queue.Permit != nil {
		c.permitsEnd = s.earliestPermitEnd(e.now)
	}
	rack, fitting, last := s.def.DataRack, 0, monotime.Instant(0)
	if rack == "" {
		rack, fitting, last = e.bestRack(s, p, len(open))
	} else if starts := e.nearStarts(s, p, rack, c.deadline()); len(starts) >= len(open) {
		fitting, last = len(open), starts[len(open)-1]
	}
	if fitting < len(open) {
		return p.workers, "", d
	}
	c.nearStarts = []monotime.Instant{last}
	if d = e.locality.decide(c); d.tasks == 0 {
		return p.workers, "", d
	}
	return nil, rack, d
}

// earliestPermitEnd returns when the first of the step's valid permits can't be used any more.
func (s *step) earliestPermitEnd(now monotime.Instant) monotime.Instant {
	var earliest monotime.Instant
	for _, p := range s.permits {
		if end := p.validUntil.Add(-permitMargin); end > now && (earliest == 0 || end < earliest) {
			earliest = end
		}
	}
	return earliest
}

// rackWithRoom returns the rack on which the given number of the step's tasks fit now, the one with the most room if there are several:
// that of its data if it has one. It is empty if they fit on none.
func (e *Engine) rackWithRoom(s *step, p *pool, tasks int, running map[WorkerID]int) string {
	racks := p.rackNames()
	if s.def.DataRack != "" {
		racks = []string{s.def.DataRack}
	}
	best, most := "", tasks-1
	for _, rack := range racks {
		if room := e.roomOn(s, p.onRack(rack), running); room > most {
			best, most = rack, room
		}
	}
	return best
}

// roomOn returns how many of the step's tasks fit on the workers now.
func (e *Engine) roomOn(s *step, workers []*worker, running map[WorkerID]int) int {
	room := 0
	for _, w := range workers {
		e.stats.WorkersEvaluated++
		if e.hasCapacity(s, w, graph.Resources{}, running) && s.eligible(w) && s.hasPermit(w, e.now) {
			room += s.tasksThatFit(w.free().Sub(w.heldForOthers(s, e.now)), running[w.ID])
		}
	}
	return room
}

// noteGang notes on which rack the members of a gang run.
func (e *Engine) noteGang(s *step) {
	if !e.placesMatter(s) {
		return
	}
	spread := false
	for _, t := range s.tasks {
		spread = spread || (t.run != nil && t.run.worker.Rack != s.tasks[0].run.worker.Rack)
	}
	if spread || s.def.DataRack != "" && s.tasks[0].run.worker.Rack != s.def.DataRack {
		for _, t := range s.tasks {
			t.run.away = true
		}
	}
	s.locality.rack = ""
}
