package job

import (
	"time"

	"laburnumpoint/internal/cell"
)

// partState is one shard's share of a job while it runs.
//
// A task of the partState is in one of four states: not submitted (index at least next), outstanding (with the placer),
// delayed (waiting for its next submission), or done (in the progress bitmap).
type partState struct {
	record          Record
	bounds          Part
	row             PartRow
	nextIndex       int
	outstanding     int
	delayed         int
	dirty           bool
	writeInFlight   bool
	closeInFlight   bool
	lastReason      cell.Reason
	restartBackoffs map[int]restartBackoff
}

// restartBackoff is the back-off state of one replica of a service.
type restartBackoff struct {
	delay   time.Duration
	endedAt time.Time
}

func newPartState(r Record, bounds Part, row PartRow) *partState {
	return &partState{
		record:          r,
		bounds:          bounds,
		row:             row,
		nextIndex:       bounds.From,
		restartBackoffs: make(map[int]restartBackoff),
	}
}

func partOfShard(r Record, shard cell.ShardID) (Part, bool) {
	for _, p := range r.Parts {
		if p.Shard == shard {
			return p, true
		}
	}
	return Part{}, false
}

// takeNext takes the next index to submit, or reports false if none is due now.
func (p *partState) takeNext() (int, bool) {
	for !p.record.Cancelled && p.nextIndex < p.bounds.To && (p.outstanding < maxOutstandingTasks || p.isGang()) {
		i := p.nextIndex
		p.nextIndex++
		if p.row.Progress.Done.has(i - p.bounds.From) {
			continue
		}
		p.outstanding++
		return i, true
	}
	return 0, false
}

// recordOutcome takes in a task's outcome. It returns true and a delay if the task is to be submitted again.
func (p *partState) recordOutcome(i int, o cell.Outcome, now time.Time) (time.Duration, bool) {
	p.outstanding--
	p.lastReason = o.Reason
	if p.record.Cancelled {
		return 0, false
	}
	if p.isService() {
		p.delayed++
		return p.nextRestartDelay(i, now), true
	}
	switch {
	case o.Result == cell.ResultCompleted:
		p.row.Progress.Counts.Succeeded++
	case shouldResubmit(o, p.record.Spec.Template.Idempotent):
		p.delayed++
		return max(o.RetryAfter, resubmitDelay), true
	case o.Result == cell.ResultUnknown:
		p.row.Progress.Counts.InDoubt++
	default:
		p.row.Progress.Counts.Failed++
	}
	p.row.Progress.Done.set(i - p.bounds.From)
	p.dirty = true
	return 0, false
}

// shouldResubmit reports whether a task that did not complete may and should be submitted again.
func shouldResubmit(o cell.Outcome, idempotent bool) bool {
	switch o.Result {
	case cell.ResultNotRun:
		// A job that fits nowhere is refused when it is submitted; workers that leave later may be replaced.
		return o.Reason.Code != cell.ReasonInvalid && o.Reason.Code != cell.ReasonDuplicateKey
	case cell.ResultUnknown:
		return idempotent
	default:
		return idempotent && o.Reason.Code == cell.ReasonPreempted
	}
}

func (p *partState) nextRestartDelay(i int, now time.Time) time.Duration {
	last, seen := p.restartBackoffs[i]
	delay := minRestartDelay
	if seen && now.Sub(last.endedAt) < restartDelayResetAfter+last.delay {
		delay = min(2*last.delay, maxRestartDelay)
	}
	p.restartBackoffs[i] = restartBackoff{delay: delay, endedAt: now}
	return delay
}

func (p *partState) markResubmitted() {
	p.delayed--
	p.outstanding++
}

// dropIfCancelled reports whether a delayed task is not to be submitted again, and counts it as dropped.
func (p *partState) dropIfCancelled() bool {
	if !p.record.Cancelled {
		return false
	}
	p.delayed--
	return true
}

// finished reports whether nothing of the part runs or will run.
func (p *partState) finished() bool {
	if p.outstanding > 0 || p.delayed > 0 {
		return false
	}
	return p.record.Cancelled || p.row.Progress.Counts.Done() == p.bounds.To-p.bounds.From
}

// status counts every task that is not done as queued: which of them run is known to the placer.
func (p *partState) status() PartStatus {
	remaining := p.bounds.To - p.bounds.From - p.row.Progress.Counts.Done()
	s := PartStatus{Counts: p.row.Progress.Counts, Reason: p.lastReason, Queued: remaining}
	if p.record.Cancelled {
		s.Queued = p.outstanding
		s.Cancelled = remaining - p.outstanding
	}
	return s
}

func (p *partState) isGang() bool {
	return p.record.Spec.Kind == cell.KindGang
}

func (p *partState) isService() bool {
	return p.record.Spec.Kind == cell.KindService
}
