package scheduler

import (
	"fmt"
	"time"

	"laburnumpoint/internal/cell"
)

// Enqueue admits an item to the queue or refuses it with a reason: ReasonInvalid, ReasonFitsNowhere, ReasonDeadline or
// ReasonQueueFull. A task that is already queued or placed is accepted without effect.
//
// A task fits if the live workers, usable or not, could run it when empty. So a caller must not enqueue before it has
// added all workers.
func (s *Scheduler) Enqueue(now time.Time, item QueueItem) (bool, cell.Reason) {
	if s.entries[item.Task.ID] != nil {
		return true, cell.Reason{}
	}
	if reason := s.refusalReason(now, item); reason.Code != cell.ReasonNone {
		return false, reason
	}
	s.addQueued(now, item)
	return true, cell.Reason{}
}

// Requeue returns a placed task to the queue once its attempt is known not to have started or to have been stopped.
// The admission checks don't apply.
func (s *Scheduler) Requeue(now time.Time, item QueueItem) {
	g := s.gangs[item.Task.Job]
	if e := s.entries[item.Task.ID]; e != nil && e.worker != nil && e.gang != nil {
		g.started--
		s.dissolve(g)
	}
	s.release(item.Task.ID)
	if s.entries[item.Task.ID] == nil {
		s.addQueued(now, item)
	}
	s.dropGang(g)
}

// RequeueGang returns the members of a gang to the queue after one of them failed to start and the others are known to
// have ended. The gang now consists of the items given, so members that were removed don't keep it from starting.
// The admission checks don't apply.
func (s *Scheduler) RequeueGang(now time.Time, items []QueueItem) {
	for _, item := range items {
		s.Release(item.Task.ID)
	}
	if len(items) > 0 {
		s.gangOf(items[0].Task).size = len(items)
	}
	for _, item := range items {
		s.Requeue(now, item)
	}
}

// Cancel drops queued tasks and returns how many it dropped. Placed tasks stay.
// The time per task does not depend on the length of the queue.
func (s *Scheduler) Cancel(ids ...cell.TaskID) int {
	dropped := 0
	for _, id := range ids {
		if e := s.entries[id]; e != nil && e.queued() {
			s.dequeue(e)
			delete(s.stopCounts, id)
			dropped++
		}
	}
	return dropped
}

// refusalReason returns why item can't be admitted; ReasonNone if it can.
func (s *Scheduler) refusalReason(now time.Time, item QueueItem) cell.Reason {
	if item.Task.Claim.Negative() || item.Task.Claim.IsZero() || item.Task.GangSize < 0 {
		return cell.Reason{Code: cell.ReasonInvalid, Detail: "claim " + item.Task.Claim.String()}
	}
	if item.Task.GangSize > 1 && item.Task.Job == "" {
		return cell.Reason{Code: cell.ReasonInvalid, Detail: "gang task without a job"}
	}
	if reason := s.fitReason(&item.Task); reason.Code != cell.ReasonNone {
		return reason
	}
	if expired(item, now) {
		return cell.Reason{Code: cell.ReasonDeadline, Detail: "passed before admission"}
	}
	if s.queueFull(&item.Task) {
		return cell.Reason{Code: cell.ReasonQueueFull, Detail: fmt.Sprintf("%d queued, at most %d", s.queued, s.policy.MaxQueued)}
	}
	return cell.Reason{}
}

// queueFull reports whether the queue has no place for t. The first task of a gang needs places for the whole gang and
// the others need none, so that the bound never leaves a gang incomplete.
func (s *Scheduler) queueFull(t *cell.Task) bool {
	if s.policy.MaxQueued <= 0 || t.GangSize > 1 && s.gangs[t.Job] != nil {
		return false
	}
	return s.queued+max(t.GangSize, 1) > s.policy.MaxQueued
}

// fitKey holds the properties of a task that decide how many of its kind the empty workers could run.
type fitKey struct {
	pool  string
	claim cell.Resources
}

// fitReason returns ReasonFitsNowhere for a task or a gang that the live workers could not run even if they were empty.
func (s *Scheduler) fitReason(t *cell.Task) cell.Reason {
	fitting := s.fitCount(fitKey{t.Pool, t.Claim})
	if fitting == 0 {
		return cell.Reason{Code: cell.ReasonFitsNowhere, Detail: s.fitDetail(t)}
	}
	if t.GangSize > fitting {
		detail := fmt.Sprintf("gang of %d tasks, %d workers can run at most %d tasks of claim %s", t.GangSize, len(s.workers), fitting, t.Claim)
		return cell.Reason{Code: cell.ReasonFitsNowhere, Detail: detail}
	}
	return cell.Reason{}
}

func (s *Scheduler) fitDetail(t *cell.Task) string {
	inPool := 0
	for _, g := range s.groups {
		if g.matches(t.Pool) {
			inPool += len(g.members) - len(g.freePositions)
		}
	}
	return fmt.Sprintf("claim %s, %d workers, %d of pool %q, none is live and large enough", t.Claim, len(s.workers), inPool, t.Pool)
}

// maxFitCounts bounds the cache of fitCount, which is emptied when it is full.
const maxFitCounts = 4096

// fitCount returns how many tasks of one claim and pool the live workers could run if they were empty.
func (s *Scheduler) fitCount(key fitKey) int {
	if n, ok := s.fitCounts[key]; ok {
		return n
	}
	n := 0
	for _, w := range s.sortedWorkers {
		if w.group.matches(key.pool) && w.desc.State == cell.WorkerLive {
			n += copiesThatFit(key.claim, w.desc.Capacity)
		}
	}
	if len(s.fitCounts) >= maxFitCounts {
		clear(s.fitCounts)
	}
	s.fitCounts[key] = n
	return n
}

// expired reports whether the item's deadline has passed.
func expired(item QueueItem, now time.Time) bool {
	return !item.Deadline.IsZero() && !now.Before(item.Deadline)
}

// addQueued queues an item whose task has no entry yet.
func (s *Scheduler) addQueued(now time.Time, item QueueItem) {
	e := &taskEntry{item: item, state: StateQueued, deadlineIndex: -1, delayedIndex: -1, team: s.teamOf(item.Task.Team)}
	s.seq++
	e.seq = s.seq
	e.stopCounts = s.stopCounts[item.Task.ID]
	s.entries[item.Task.ID] = e
	s.queued++
	e.team.queued++
	e.team.queuedClaims = e.team.queuedClaims.Add(item.Task.Claim)
	if !item.Deadline.IsZero() {
		s.deadlines.push(e)
	}
	if item.NotBefore.After(now) {
		s.delayed.push(e)
		return
	}
	s.makeEligible(e)
}

// makeEligible makes a queued entry eligible for placement.
func (s *Scheduler) makeEligible(e *taskEntry) {
	if e.task().GangSize > 1 {
		s.joinGang(e)
		return
	}
	e.selfMembers[0] = e
	e.selfUnit = placementUnit{members: e.selfMembers[:], arrived: e.item.Arrived, seq: e.seq, total: e.claim()}
	e.unit = &e.selfUnit
	s.addToLane(e.unit)
}

// dequeue withdraws a queued entry and removes it.
func (s *Scheduler) dequeue(e *taskEntry) {
	s.withdraw(e)
	s.uncountQueued(e)
	delete(s.entries, e.item.Task.ID)
	s.dropTeam(e.team)
}

// uncountQueued takes an entry that leaves the queue, to be placed or removed, out of the queue's counts.
func (s *Scheduler) uncountQueued(e *taskEntry) {
	s.deadlines.remove(e)
	s.queued--
	e.team.queued--
	e.team.queuedClaims = e.team.queuedClaims.Sub(e.item.Task.Claim)
}

// withdraw takes a queued entry out of its delay, gang, lane, capacity hold or reservation.
func (s *Scheduler) withdraw(e *taskEntry) {
	s.delayed.remove(e)
	switch {
	case e.gang != nil:
		s.leaveGang(e)
	case e.unit != nil:
		s.withdrawUnit(e.unit)
	}
	e.unit = nil
}

// withdrawUnit takes a unit out of its lane, capacity hold or reservation.
func (s *Scheduler) withdrawUnit(u *placementUnit) {
	switch {
	case u.lane != nil:
		s.removeFromLane(u)
	case u.heldOn != nil:
		s.dropHold(u)
	case u.reservation != nil:
		s.dropReservation(u.reservation)
	}
}
