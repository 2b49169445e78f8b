package history

import (
	"fmt"
	"time"

	"laburnumpoint/internal/cell"
)

// Rule names what a history must hold.
type Rule string

// The rules.
const (
	// RuleCapacity: the claims on a worker never exceed its capacity.
	RuleCapacity Rule = "capacity"
	// RuleNoConcurrentAttempts: a task never runs in two places at once.
	RuleNoConcurrentAttempts Rule = "one_place"
	// RuleAtMostOnce: a non-idempotent request runs at most once.
	RuleAtMostOnce Rule = "at_most_once"
	// RuleOwnAnswer: a caller gets the whole answer to its own request.
	RuleOwnAnswer Rule = "own_answer"
	// RuleNotRun: what a caller was told was not run did not run.
	RuleNotRun Rule = "not_run"
	// RuleLeavingWorkers: a leaving worker gets no new work after a bound.
	RuleLeavingWorkers Rule = "leaving"
	// RuleConfigPatches: a patch is accepted if and only if its base is the version in force.
	RuleConfigPatches Rule = "patches"
	// RuleConfigReads: the version in force at a member never goes back and follows an acceptance within a bound.
	RuleConfigReads Rule = "reads"
	// RuleRequestKeys: all calls with one key are told of one run.
	RuleRequestKeys Rule = "keys"
	// RuleConsistentHistory: the record itself contradicts the lease contract or is not complete.
	RuleConsistentHistory Rule = "record"
)

// Violation is one way in which a history breaks a rule.
type Violation struct {
	Rule   Rule
	Detail string
}

// String formats v for reports.
func (v Violation) String() string {
	return string(v.Rule) + ": " + v.Detail
}

func violation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// Bounds are the times that the rules allow.
type Bounds struct {
	// MaxStartAfterNotice is the time from a worker's notice to no new work on it.
	MaxStartAfterNotice time.Duration
	// MaxConfigDelay is the time from a patch's acceptance to its being in force at every member.
	MaxConfigDelay time.Duration
}

// Check applies every rule to the entries of a whole run.
func Check(entries []Entry, bounds Bounds) []Violation {
	var all []Violation
	all = append(all, CheckCapacity(entries)...)
	all = append(all, CheckNoConcurrentAttempts(entries)...)
	all = append(all, CheckAtMostOnce(entries)...)
	all = append(all, CheckOwnAnswers(entries)...)
	all = append(all, CheckNotRunOutcomes(entries)...)
	all = append(all, CheckLeavingWorkers(entries, bounds.MaxStartAfterNotice)...)
	all = append(all, CheckConfigPatches(entries)...)
	all = append(all, CheckConfigReads(entries, bounds.MaxConfigDelay)...)
	all = append(all, CheckRequestKeys(entries)...)
	return all
}

// interval is the time during which an attempt ran on a worker.
type interval struct {
	start time.Time
	end   time.Time // zero if it is not known to have ended
	lease Lease
	cause EndCause
}

// overlaps reports whether both ran at one time. An end and a start at the same moment do not overlap.
func (i interval) overlaps(o interval) bool {
	return i.startsBeforeEndOf(o) && o.startsBeforeEndOf(i)
}

func (i interval) startsBeforeEndOf(o interval) bool {
	return o.end.IsZero() || i.start.Before(o.end)
}

func (i interval) String() string {
	end := "open"
	if !i.end.IsZero() {
		end = i.end.Format(time.RFC3339Nano)
	}
	a := i.lease.Attempt
	return fmt.Sprintf("%s/%d.%d on %s from %s to %s", a.Task, a.Epoch, a.Number, i.lease.Worker, i.start.Format(time.RFC3339Nano), end)
}

// run identifies one run of an attempt.
type run struct {
	worker  cell.WorkerID
	boot    string
	attempt cell.Attempt
}

func (l Lease) run() run {
	return run{worker: l.Worker, boot: l.BootID, attempt: l.Attempt}
}

// intervals returns the time of every lease in the order of the starts. A lease without an end of its own ends with its worker.
func intervals(entries []Entry) ([]interval, []Violation) {
	var found []interval
	var violations []Violation
	open := make(map[run]int) // index in found
	for _, e := range Merge(entries) {
		switch {
		case e.Kind == KindLeaseStart && e.Lease != nil:
			open[e.Lease.run()] = len(found)
			found = append(found, interval{start: e.At, lease: *e.Lease})
		case e.Kind == KindLeaseEnd && e.Lease != nil:
			i, ok := open[e.Lease.run()]
			if !ok {
				violations = append(violations, violation(RuleConsistentHistory, "end of %v on %s without a start", e.Lease.Attempt, e.Lease.Worker))
				continue
			}
			found[i].end = e.At
			found[i].cause = e.Lease.Cause
			delete(open, e.Lease.run())
		case e.Kind == KindWorker && e.Worker.endsLeases():
			endAll(found, open, *e.Worker, e.At)
		}
	}
	return found, violations
}

// endsLeases reports whether every lease of the worker has ended with the change.
func (w *WorkerEvent) endsLeases() bool {
	return w != nil && (w.Change == WorkerLost || w.Change == WorkerRestarted)
}

func endAll(found []interval, open map[run]int, w WorkerEvent, at time.Time) {
	for r, i := range open {
		if r.worker == w.ID {
			found[i].end = at
			found[i].cause = EndLost
			delete(open, r)
		}
	}
}
