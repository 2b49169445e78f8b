package history

import (
	"fmt"
	"time"

	"laburnumpoint/internal/cell"
)

// Rule is the name of an invariant that a history must satisfy.
type Rule string

// The rules.
const (
	// RuleCapacity: the claims on a worker never exceed its capacity.
	RuleCapacity Rule = "capacity"
	// RuleNoConcurrentAttempts: two attempts of one task never run at the same time.
	RuleNoConcurrentAttempts Rule = "one_place"
	// RuleAtMostOnce: a non-idempotent request runs at most once.
	RuleAtMostOnce Rule = "at_most_once"
	// RuleOwnAnswer: a caller receives the complete answer to its own request.
	RuleOwnAnswer Rule = "own_answer"
	// RuleNotRun: a request did not run if its caller was told "not run".
	RuleNotRun Rule = "not_run"
	// RuleLeavingWorkers: no attempt starts on a leaving worker later than Bounds.MaxStartAfterNotice.
	RuleLeavingWorkers Rule = "leaving"
	// RuleConfigPatches: a patch is accepted if and only if its base is the version in force.
	RuleConfigPatches Rule = "patches"
	// RuleConfigReads: the version in force at a member never decreases, and an accepted version is in force there within
	// Bounds.MaxConfigDelay.
	RuleConfigReads Rule = "reads"
	// RuleRequestKeys: all calls with one key are told of the same run.
	RuleRequestKeys Rule = "keys"
	// RuleConsistentHistory: the history is complete and agrees with the lease contract.
	RuleConsistentHistory Rule = "record"
)

// Violation is one violation of a rule in a history.
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

// Bounds are the time limits that the rules use.
type Bounds struct {
	// MaxStartAfterNotice is how long after a worker was told to leave attempts may still start on it.
	MaxStartAfterNotice time.Duration
	// MaxConfigDelay is the time after a patch's acceptance within which it must be in force at every member.
	MaxConfigDelay time.Duration
}

// Check applies every rule to a whole history.
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

// runInterval is the run of an attempt on a worker, with its start and end.
type runInterval struct {
	start time.Time
	end   time.Time // zero if it is not known to have ended
	lease Lease
	cause EndCause
}

// overlaps reports whether both ran at the same time. A run that starts when the other ends does not overlap it.
func (i runInterval) overlaps(o runInterval) bool {
	return i.startsBeforeEndOf(o) && o.startsBeforeEndOf(i)
}

func (i runInterval) startsBeforeEndOf(o runInterval) bool {
	return o.end.IsZero() || i.start.Before(o.end)
}

func (i runInterval) String() string {
	end := "open"
	if !i.end.IsZero() {
		end = i.end.Format(time.RFC3339Nano)
	}
	a := i.lease.Attempt
	return fmt.Sprintf("%s/%d.%d on %s from %s to %s", a.Task, a.Epoch, a.Number, i.lease.Worker, i.start.Format(time.RFC3339Nano), end)
}

// runKey identifies one run of an attempt.
type runKey struct {
	worker  cell.WorkerID
	bootID  string
	attempt cell.Attempt
}

func (l Lease) runKey() runKey {
	return runKey{worker: l.Worker, bootID: l.BootID, attempt: l.Attempt}
}

// runIntervals returns the run of every lease, in the order of the starts. A lease without a recorded end ends when its
// worker is lost or restarts.
func runIntervals(entries []Entry) ([]runInterval, []Violation) {
	var runs []runInterval
	var violations []Violation
	openRuns := make(map[runKey]int) // index in runs
	for _, e := range Merge(entries) {
		switch {
		case e.Kind == KindLeaseStart && e.Lease != nil:
			openRuns[e.Lease.runKey()] = len(runs)
			runs = append(runs, runInterval{start: e.At, lease: *e.Lease})
		case e.Kind == KindLeaseEnd && e.Lease != nil:
			i, ok := openRuns[e.Lease.runKey()]
			if !ok {
				violations = append(violations, violation(RuleConsistentHistory, "end of attempt %v on worker %s without a recorded start", e.Lease.Attempt, e.Lease.Worker))
				continue
			}
			runs[i].end = e.At
			runs[i].cause = e.Lease.Cause
			delete(openRuns, e.Lease.runKey())
		case e.Kind == KindWorker && e.Worker.endsLeases():
			endLeasesOf(runs, openRuns, *e.Worker, e.At)
		}
	}
	return runs, violations
}

// endsLeases reports whether the event ends every lease of the worker.
func (w *WorkerEvent) endsLeases() bool {
	return w != nil && (w.Change == WorkerLost || w.Change == WorkerRestarted)
}

func endLeasesOf(runs []runInterval, openRuns map[runKey]int, w WorkerEvent, at time.Time) {
	for key, i := range openRuns {
		if key.worker == w.ID {
			runs[i].end = at
			runs[i].cause = EndLost
			delete(openRuns, key)
		}
	}
}
