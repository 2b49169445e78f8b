package job

import (
	"time"

	"laburnumpoint/internal/cell"
)

// part is one shard's share of a job while it runs.
//
// A task of the part is in one of four states: not submitted (index at least next), outstanding (with the placer),
// delayed (waiting for its next submission), or done (in the progress bitmap).
type part struct {
	record   Record
	bounds   Part
	row      PartRow
	next     int
	outst    int
	delayed  int
	dirty    bool
	writing  bool
	closing  bool
	lastWhy  cell.Reason
	restarts map[int]restart
}

// restart is the back-off state of one replica of a service.
type restart struct {
	delay time.Duration
	at    time.Time
}

func newPart(r Record, bounds Part, row PartRow) *part {
	return &part{
		record:   r,
		bounds:   bounds,
		row:      row,
		next:     bounds.From,
		restarts: make(map[int]restart),
	}
}

func partIn(r Record, shard cell.ShardID) (Part, bool) {
	for _, p := range r.Parts {
		if p.Shard == shard {
			return p, true
		}
	}
	return Part{}, false
}

// nextDue takes the next index to submit, or reports false if none is due now.
func (p *part) nextDue() (int, bool) {
	for !p.record.Cancelled && p.next < p.bounds.To && (p.outst < maxOutstanding || p.isGang()) {
		i := p.next
		p.next++
		if p.row.Progress.Done.has(i - p.bounds.From) {
			continue
		}
		p.outst++
		return i, true
	}
	return 0, false
}

// ended takes in a task's outcome. It returns true and a delay if the task is to be submitted again.
func (p *part) ended(i int, o cell.Outcome, now time.Time) (time.Duration, bool) {
	p.outst--
	p.lastWhy = o.Reason
	if p.record.Cancelled {
		return 0, false
	}
	if p.isService() {
		p.delayed++
		return p.restartDelay(i, now), true
	}
	switch {
	case o.Result == cell.ResultCompleted:
		p.row.Progress.Counts.Succeeded++
	case runsAgain(o, p.record.Spec.Template.Idempotent):
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

// runsAgain reports whether a task that did not complete may and should be submitted again.
func runsAgain(o cell.Outcome, idempotent bool) bool {
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

func (p *part) restartDelay(i int, now time.Time) time.Duration {
	last, seen := p.restarts[i]
	delay := minRestart
	if seen && now.Sub(last.at) < steadyRun+last.delay {
		delay = min(2*last.delay, maxRestart)
	}
	p.restarts[i] = restart{delay: delay, at: now}
	return delay
}

func (p *part) resubmitted() {
	p.delayed--
	p.outst++
}

// dropDelayed reports whether a delayed task is not to be submitted again, and counts it as dropped.
func (p *part) dropDelayed() bool {
	if !p.record.Cancelled {
		return false
	}
	p.delayed--
	return true
}

// finished reports whether nothing of the part runs or will run.
func (p *part) finished() bool {
	if p.outst > 0 || p.delayed > 0 {
		return false
	}
	return p.record.Cancelled || p.row.Progress.Counts.Done() == p.bounds.To-p.bounds.From
}

// status counts every task that is not done as queued: which of them run is known to the placer.
func (p *part) status() PartStatus {
	left := p.bounds.To - p.bounds.From - p.row.Progress.Counts.Done()
	s := PartStatus{Counts: p.row.Progress.Counts, Reason: p.lastWhy, Queued: left}
	if p.record.Cancelled {
		s.Queued = p.outst
		s.Cancelled = left - p.outst
	}
	return s
}

func (p *part) isGang() bool {
	return p.record.Spec.Kind == cell.KindGang
}

func (p *part) isService() bool {
	return p.record.Spec.Kind == cell.KindService
}
