package scheduler

import (
	"fmt"
	"time"

	"laburnumpoint/internal/cell"
)

// maxUnitsCounted bounds the units of its own lane that an explanation counts as ahead of a unit.
const maxUnitsCounted = 10_000

// Explain returns why a task is queued, or where it is placed. It works the reasons out from the current state.
func (s *Scheduler) Explain(id cell.TaskID) Explanation {
	e := s.entries[id]
	if e == nil {
		return Explanation{}
	}
	if e.worker != nil {
		return Explanation{Found: true, State: e.state, Worker: e.worker.desc.ID, Chain: s.explainPlaced(e)}
	}
	return Explanation{Found: true, State: StateQueued, Chain: s.explainQueued(e)}
}

func (s *Scheduler) explainPlaced(e *taskEntry) []cell.Reason {
	chain := []cell.Reason{{Code: cell.ReasonPlaced, Detail: string(e.worker.desc.ID)}}
	if e.state == StateStopping {
		chain = append(chain, cell.Reason{Code: cell.ReasonPreempted, Detail: fmt.Sprintf("stopping, stopped %d times for urgent tasks", e.stopCounts.forUrgent)})
	}
	return chain
}

func (s *Scheduler) explainQueued(e *taskEntry) []cell.Reason {
	u := e.unit
	switch {
	case e.delayedIndex >= 0:
		return []cell.Reason{{Code: cell.ReasonBehindOthers, Detail: "back-off until " + e.item.NotBefore.UTC().Format(time.RFC3339Nano)}}
	case u == nil:
		g := e.gang
		return []cell.Reason{{Code: cell.ReasonNoCapacity, Detail: fmt.Sprintf("gang incomplete: %d of %d tasks queued or started", len(g.forming)+g.started, g.size)}}
	case u.heldOn != nil:
		return []cell.Reason{{Code: cell.ReasonNoCapacity, Detail: fmt.Sprintf("capacity held on worker %s until the tasks stopped for it have ended", u.heldOn.desc.ID)}}
	case u.lane == nil:
		return []cell.Reason{s.explainReservation(u.reservation)}
	}
	chain := []cell.Reason{s.explainOrder(u)}
	if !e.team.allows(u.total) {
		chain = append(chain, explainQuota(e.team, u.total))
	}
	return append(chain, s.explainFit(e))
}

func (s *Scheduler) explainReservation(res *reservation) cell.Reason {
	ready := 0
	for _, asg := range res.assignments {
		if asg.ready {
			ready++
		}
	}
	detail := fmt.Sprintf("has a reservation: %d of %d tasks have a worker with capacity, expected start %s", ready, len(res.assignments), res.expectedStart.UTC().Format(time.RFC3339Nano))
	return cell.Reason{Code: cell.ReasonGangReserved, Detail: detail}
}

func explainQuota(t *team, claim cell.Resources) cell.Reason {
	detail := fmt.Sprintf("team %s uses %s, reserved %s, needs %s, quota %s", t.name, t.used, t.reserved, claim, t.quota)
	return cell.Reason{Code: cell.ReasonQuota, Detail: detail}
}

// explainOrder counts the units that are ahead of u in order. Ranks are those of the last round.
func (s *Scheduler) explainOrder(u *placementUnit) cell.Reason {
	now := s.lastRound
	own := s.orderKeyOf(u.lane, now)
	ahead := 0
	for _, l := range s.lanes {
		if l != u.lane && s.orderKeyOf(l, now).before(own) {
			ahead += l.size
		}
	}
	ahead += u.lane.unitsBefore(u)
	detail := fmt.Sprintf("class %s, rank %d after ageing, team share %.4f, %d units ahead", u.lane.key.class, own.rank, own.dominantShare, ahead)
	return cell.Reason{Code: cell.ReasonBehindOthers, Detail: detail}
}

// unitsBefore counts the units of the lane that arrived before u, at most maxUnitsCounted.
func (l *lane) unitsBefore(u *placementUnit) int {
	n := 0
	for o := l.head; o != nil && n < maxUnitsCounted; o = o.next {
		if o.before(u) {
			n++
		}
	}
	for _, o := range l.outOfOrder.elems {
		if n < maxUnitsCounted && o.before(u) {
			n++
		}
	}
	return n
}

// filterCounts counts the workers by the first filter that rules them out for one task.
type filterCounts struct {
	total, otherPool, unusable, tooSmall, full, setAside, fits int
}

// explainFit counts the workers that are ruled out for e, by filter.
func (s *Scheduler) explainFit(e *taskEntry) cell.Reason {
	var n filterCounts
	for _, w := range s.sortedWorkers {
		n.total++
		n.count(w, e)
	}
	detail := fmt.Sprintf("%d workers: %d of another pool, %d not usable, %d too small, %d full, %d set aside for other tasks, %d with capacity",
		n.total, n.otherPool, n.unusable, n.tooSmall, n.full, n.setAside, n.fits)
	code := cell.ReasonNoCapacity
	if n.full == 0 && n.setAside > 0 && n.fits == 0 {
		code = cell.ReasonGangReserved
	}
	return cell.Reason{Code: code, Detail: detail}
}

func (n *filterCounts) count(w *worker, e *taskEntry) {
	claim := e.claim()
	switch {
	case !w.group.matches(e.task().Pool):
		n.otherPool++
	case !w.placeable():
		n.unusable++
	case !claim.Fits(w.desc.Capacity):
		n.tooSmall++
	case !claim.Fits(w.free()):
		n.full++
	case !claim.Fits(w.available()):
		n.setAside++
	default:
		n.fits++
	}
}
