package scheduler

import (
	"fmt"
	"time"

	"laburnumpoint/internal/cell"
)

// Enqueue admits an item to the queue or refuses it with a reason: ReasonInvalid, ReasonFitsNowhere, ReasonDeadline or
// ReasonQueueFull. A task that is queued or placed already is accepted without effect.
//
// What fits is judged by the whole capacity of the workers known now, whether usable or not. A caller that
// does not know every worker yet must not enqueue.
func (s *Scheduler) Enqueue(now time.Time, it QueueItem) (bool, cell.Reason) {
	if s.entries[it.Task.ID] != nil {
		return true, cell.Reason{}
	}
	if reason := s.refusal(now, it); reason.Code != cell.ReasonNone {
		return false, reason
	}
	s.add(now, it)
	return true, cell.Reason{}
}

// Requeue returns a placed task to the queue after its attempt is known not to have started, or to have been stopped.
// Bounds do not apply.
func (s *Scheduler) Requeue(now time.Time, it QueueItem) {
	g := s.gangs[it.Task.Job]
	if e := s.entries[it.Task.ID]; e != nil && e.worker != nil && e.gang != nil {
		g.started--
		s.dissolve(g)
	}
	s.release(it.Task.ID)
	if s.entries[it.Task.ID] == nil {
		s.add(now, it)
	}
	s.dropGang(g)
}

// RequeueGang returns every member of a gang to the queue after one of them failed to start and the others are known
// to be over. The gang starts again as a whole, which is the items given: members that have left for good do not hold it up.
// Bounds do not apply.
func (s *Scheduler) RequeueGang(now time.Time, items []QueueItem) {
	for _, it := range items {
		s.Release(it.Task.ID)
	}
	if len(items) > 0 {
		s.gangOf(items[0].Task).size = len(items)
	}
	for _, it := range items {
		s.Requeue(now, it)
	}
}

// Cancel drops queued tasks and returns how many it dropped. Placed tasks are left alone.
// The time per task does not depend on the length of the queue.
func (s *Scheduler) Cancel(ids ...cell.TaskID) int {
	dropped := 0
	for _, id := range ids {
		if e := s.entries[id]; e != nil && e.queued() {
			s.dequeue(e)
			delete(s.stops, id)
			dropped++
		}
	}
	return dropped
}

func (s *Scheduler) refusal(now time.Time, it QueueItem) cell.Reason {
	if it.Task.Claim.Negative() || it.Task.Claim.IsZero() || it.Task.GangSize < 0 {
		return cell.Reason{Code: cell.ReasonInvalid, Detail: "claim " + it.Task.Claim.String()}
	}
	if it.Task.GangSize > 1 && it.Task.Job == "" {
		return cell.Reason{Code: cell.ReasonInvalid, Detail: "a gang's task names no job"}
	}
	if reason := s.fitReason(&it.Task); reason.Code != cell.ReasonNone {
		return reason
	}
	if expired(it, now) {
		return cell.Reason{Code: cell.ReasonDeadline, Detail: "passed before admission"}
	}
	if s.queueFull(&it.Task) {
		return cell.Reason{Code: cell.ReasonQueueFull, Detail: fmt.Sprintf("%d queued, at most %d", s.queued, s.policy.MaxQueued)}
	}
	return cell.Reason{}
}

// queueFull reports whether the queue takes t no more. A gang is admitted by its first task for all of it, so that
// the bound never leaves a gang incomplete.
func (s *Scheduler) queueFull(t *cell.Task) bool {
	if s.policy.MaxQueued <= 0 || t.GangSize > 1 && s.gangs[t.Job] != nil {
		return false
	}
	return s.queued+max(t.GangSize, 1) > s.policy.MaxQueued
}

// fitKey is what decides how many tasks of a kind the shard's whole capacity holds.
type fitKey struct {
	pool  string
	claim cell.Resources
}

// fitReason refuses what the shard's workers could not hold if they were empty. Workers that are leaving don't count.
func (s *Scheduler) fitReason(t *cell.Task) cell.Reason {
	holds := s.holds(fitKey{t.Pool, t.Claim})
	if holds == 0 {
		return cell.Reason{Code: cell.ReasonFitsNowhere, Detail: s.fitDetail(t)}
	}
	if t.GangSize > holds {
		detail := fmt.Sprintf("gang of %d, %d workers hold at most %d of claim %s", t.GangSize, len(s.workers), holds, t.Claim)
		return cell.Reason{Code: cell.ReasonFitsNowhere, Detail: detail}
	}
	return cell.Reason{}
}

func (s *Scheduler) fitDetail(t *cell.Task) string {
	inPool := 0
	for _, g := range s.groups {
		if g.matches(t.Pool) {
			inPool += len(g.members) - len(g.vacant)
		}
	}
	return fmt.Sprintf("claim %s, %d workers, %d of pool %q, none live and large enough", t.Claim, len(s.workers), inPool, t.Pool)
}

// maxHoldings bounds the cache of holds, which is emptied when it is full.
const maxHoldings = 4096

// holds returns how many tasks of one claim the workers could run if they were empty.
func (s *Scheduler) holds(key fitKey) int {
	if n, ok := s.holdings[key]; ok {
		return n
	}
	n := 0
	for _, w := range s.order {
		if w.group.matches(key.pool) && w.desc.State == cell.WorkerLive {
			n += timesIn(key.claim, w.desc.Capacity)
		}
	}
	if len(s.holdings) >= maxHoldings {
		clear(s.holdings)
	}
	s.holdings[key] = n
	return n
}

func expired(it QueueItem, now time.Time) bool {
	return !it.Deadline.IsZero() && !now.Before(it.Deadline)
}

// add queues an item that is known to be new.
func (s *Scheduler) add(now time.Time, it QueueItem) {
	e := &entry{item: it, state: StateQueued, deadlineAt: -1, delayedAt: -1, team: s.teamOf(it.Task.Team)}
	s.seq++
	e.seq = s.seq
	e.stops = s.stops[it.Task.ID]
	s.entries[it.Task.ID] = e
	s.queued++
	e.team.queued++
	e.team.waiting = e.team.waiting.Add(it.Task.Claim)
	if !it.Deadline.IsZero() {
		s.deadlines.push(e)
	}
	if it.NotBefore.After(now) {
		s.delayed.push(e)
		return
	}
	s.line(e)
}

// line makes a queued entry eligible for placement.
func (s *Scheduler) line(e *entry) {
	if e.task().GangSize > 1 {
		s.joinGang(e)
		return
	}
	e.one[0] = e
	e.self = unit{members: e.one[:], arrived: e.item.Arrived, seq: e.seq, total: e.claim()}
	e.unit = &e.self
	s.enlist(e.unit)
}

// dequeue takes a queued entry out of wherever it waits and forgets it.
func (s *Scheduler) dequeue(e *entry) {
	s.withdraw(e)
	s.forgetQueued(e)
	delete(s.entries, e.item.Task.ID)
	s.dropTeam(e.team)
}

// forgetQueued uncounts an entry that leaves the queue, for a worker or for good.
func (s *Scheduler) forgetQueued(e *entry) {
	s.deadlines.remove(e)
	s.queued--
	e.team.queued--
	e.team.waiting = e.team.waiting.Sub(e.item.Task.Claim)
}

// withdraw takes a queued entry out of its line, gang, earmark or reservation.
func (s *Scheduler) withdraw(e *entry) {
	s.delayed.remove(e)
	switch {
	case e.gang != nil:
		s.leaveGang(e)
	case e.unit != nil:
		s.withdrawUnit(e.unit)
	}
	e.unit = nil
}

// withdrawUnit takes a unit out of wherever it waits.
func (s *Scheduler) withdrawUnit(u *unit) {
	switch {
	case u.lane != nil:
		s.unlist(u)
	case u.earmark != nil:
		s.dropEarmark(u)
	case u.reservation != nil:
		s.dropReservation(u.reservation)
	}
}
