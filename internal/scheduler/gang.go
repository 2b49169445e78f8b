package scheduler

import (
	"slices"

	"laburnumpoint/internal/cell"
)

// gang is the tasks of one job that must start together.
type gang struct {
	job  cell.JobID
	size int
	// forming lists the queued members that wait for the rest of the gang.
	forming []*taskEntry
	// unit is the complete gang while it is queued.
	unit *placementUnit
	// started counts the members that were placed and not requeued since.
	// running counts those of them that are still placed.
	started int
	running int
}

func (s *Scheduler) gangOf(t cell.Task) *gang {
	g, ok := s.gangs[t.Job]
	if !ok {
		g = &gang{job: t.Job, size: t.GangSize}
		s.gangs[t.Job] = g
	}
	return g
}

// dropGang removes a gang that has no members left.
func (s *Scheduler) dropGang(g *gang) {
	if g != nil && len(g.forming) == 0 && g.unit == nil && g.running == 0 {
		delete(s.gangs, g.job)
	}
}

// joinGang adds a queued entry to its gang, which enters its lane as one unit once it is complete.
func (s *Scheduler) joinGang(e *taskEntry) {
	g := s.gangOf(e.item.Task)
	e.gang = g
	s.dissolve(g)
	g.forming = append(g.forming, e)
	if len(g.forming)+g.started < g.size {
		return
	}
	u := &placementUnit{members: g.forming, arrived: e.item.Arrived, seq: e.seq}
	for _, m := range u.members {
		m.unit = u
		u.total = u.total.Add(m.claim())
		if m.item.Arrived.Before(u.arrived) {
			u.arrived = m.item.Arrived
		}
	}
	g.unit = u
	g.forming = nil
	s.addToLane(u)
}

// dissolve withdraws the gang's unit; its members then wait until the gang is complete again.
func (s *Scheduler) dissolve(g *gang) {
	u := g.unit
	if u == nil {
		return
	}
	s.withdrawUnit(u)
	for _, m := range u.members {
		m.unit = nil
	}
	g.forming = append(u.members, g.forming...)
	g.unit = nil
}

// leaveGang removes a queued entry from its gang; the other members then wait until the gang is complete again.
func (s *Scheduler) leaveGang(e *taskEntry) {
	g := e.gang
	if e.unit != nil {
		s.dissolve(g)
	}
	g.forming = slices.DeleteFunc(g.forming, func(m *taskEntry) bool { return m == e })
	e.gang = nil
	s.dropGang(g)
}

// placeGang places all members of u or none.
func (s *Scheduler) placeGang(r *round, u *placementUnit) bool {
	for n, m := range u.members {
		w := s.findWorker(m)
		if w == nil {
			s.rollBack(u.members[:n])
			s.blockShape(u.lane.shape, max(1, len(u.members)-n))
			return false
		}
		s.charge(m, w)
	}
	s.removeFromLane(u)
	s.startGang(r, u)
	return true
}

// rollBack uncharges members that were charged in this call only. No capacity is gained, so no shape is unblocked.
func (s *Scheduler) rollBack(members []*taskEntry) {
	for _, m := range slices.Backward(members) {
		s.uncharge(m)
	}
}

func (s *Scheduler) startGang(r *round, u *placementUnit) {
	if g := u.first().gang; g != nil {
		g.unit = nil
	}
	for _, m := range u.members {
		s.startEntry(r, m)
	}
}
