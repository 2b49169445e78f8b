package job

import (
	"time"

	"laburnumpoint/internal/cell"
)

// partState is the state of a running part of a job.
//
// A task of the part is in one of four states: not submitted (its index is at least nextIndex), outstanding (submitted
// without an outcome yet), delayed (waiting to be submitted again) or done (set in the progress bitmap). If the job is
// cancelled, tasks that end or are dropped from then on are not marked as done.
type partState struct {
	record Record
	// bounds is the part's shard and range of task indices.
	bounds Part
	row    PartRow
	// nextIndex is the lowest task index that this controller has not submitted or skipped yet.
	nextIndex int
	// outstanding and delayed count the tasks in these states.
	outstanding int
	delayed     int
	// dirty means that row.Progress has changes that no write has stored or is storing.
	dirty         bool
	writeInFlight bool
	closeInFlight bool
	// lastReason is the reason of the latest outcome.
	lastReason      cell.Reason
	restartBackoffs map[int]restartBackoff
	// openedAt is when this controller began to run the part.
	openedAt time.Time
}

// restartBackoff is the back-off state of one replica of a service: the latest delay before a restart and when the run
// before it ended.
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
		openedAt:        time.Now(),
	}
}

// partOfShard returns the job's part in the shard, or false if it has none.
func partOfShard(r Record, shard cell.ShardID) (Part, bool) {
	for _, p := range r.Parts {
		if p.Shard == shard {
			return p, true
		}
	}
	return Part{}, false
}

// takeNext returns the next task index to submit and counts the task as outstanding, or returns false if none may be
// submitted now. A gang is submitted as a whole, whatever maxOutstandingTasks says.
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

// recordOutcome records a task's outcome. It returns true and a delay if the task is to be submitted again.
func (p *partState) recordOutcome(i int, o cell.Outcome, now time.Time) (time.Duration, bool) {
	p.outstanding--
	p.lastReason = o.Reason
	if p.record.Cancelled {
		return 0, false
	}
	lost := p.countLostAttempts(i, o)
	if p.isService() {
		if p.ranForLong(i, now) {
			lost = p.resetLostAttempts(i, o)
		}
		delay := p.nextRestartDelay(i, now)
		if lost < maxLostAttempts {
			p.delayed++
			return delay, true
		}
	}
	switch {
	case o.Result == cell.ResultCompleted:
		p.row.Progress.Counts.Succeeded++
	case lost < maxLostAttempts && shouldResubmit(o, p.record.Spec.Template.Idempotent):
		p.delayed++
		return max(o.RetryAfter, resubmitDelay), true
	case o.Result == cell.ResultUnknown:
		p.row.Progress.Counts.InDoubt++
	default:
		p.row.Progress.Counts.Failed++
	}
	delete(p.row.Progress.LostAttempts, i-p.bounds.From)
	p.row.Progress.Done.set(i - p.bounds.From)
	p.dirty = true
	return 0, false
}

// countLostAttempts counts the attempts of an outcome that ended with their workers, and returns how many the task has had.
func (p *partState) countLostAttempts(i int, o cell.Outcome) int {
	if o.LostAttempts > 0 {
		if p.row.Progress.LostAttempts == nil {
			p.row.Progress.LostAttempts = make(map[int]int)
		}
		p.row.Progress.LostAttempts[i-p.bounds.From] += o.LostAttempts
		p.dirty = true
	}
	return p.row.Progress.LostAttempts[i-p.bounds.From]
}

// resetLostAttempts forgets the attempts before those of an outcome, and returns how many the outcome has.
func (p *partState) resetLostAttempts(i int, o cell.Outcome) int {
	delete(p.row.Progress.LostAttempts, i-p.bounds.From)
	return p.countLostAttempts(i, o)
}

// shouldResubmit reports whether a task that did not complete is to be submitted again.
func shouldResubmit(o cell.Outcome, idempotent bool) bool {
	switch o.Result {
	case cell.ResultNotRun:
		// Jobs that fit nowhere are refused at submission. A task that no longer fits is submitted again, because
		// workers that left later may be replaced.
		return o.Reason.Code != cell.ReasonInvalid && o.Reason.Code != cell.ReasonDuplicateKey
	case cell.ResultUnknown:
		return idempotent
	default:
		return idempotent && o.Reason.Code == cell.ReasonPreempted
	}
}

// nextRestartDelay returns the delay before a service's replica is restarted. It doubles with each restart, unless the
// run has lasted for restartDelayResetAfter.
func (p *partState) nextRestartDelay(i int, now time.Time) time.Duration {
	last, seen := p.restartBackoffs[i]
	delay := minRestartDelay
	if seen && !p.ranForLong(i, now) {
		delay = min(2*last.delay, maxRestartDelay)
	}
	p.restartBackoffs[i] = restartBackoff{delay: delay, endedAt: now}
	return delay
}

// ranForLong reports whether the run of a service's replica that ends now has lasted for restartDelayResetAfter.
func (p *partState) ranForLong(i int, now time.Time) bool {
	startedAt := p.openedAt
	if last, seen := p.restartBackoffs[i]; seen {
		startedAt = last.endedAt.Add(last.delay)
	}
	return now.Sub(startedAt) >= restartDelayResetAfter
}

// markResubmitted counts a delayed task as outstanding.
func (p *partState) markResubmitted() {
	p.delayed--
	p.outstanding++
}

// dropIfCancelled drops a delayed task if the job is cancelled, and reports whether it did.
func (p *partState) dropIfCancelled() bool {
	if !p.record.Cancelled {
		return false
	}
	p.delayed--
	return true
}

// finished reports whether no task of the part runs or will run.
func (p *partState) finished() bool {
	if p.outstanding > 0 || p.delayed > 0 {
		return false
	}
	return p.record.Cancelled || p.row.Progress.Counts.Done() == p.bounds.To-p.bounds.From
}

// status returns the part's counts. It counts every task that is not done as queued, because only the TaskSubmitter
// knows which of them run.
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
