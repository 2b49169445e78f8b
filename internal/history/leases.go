package history

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// CheckCapacity checks that the claims of the leases running on a worker never exceed its capacity in any resource. A
// worker without a recorded capacity is a violation too.
func CheckCapacity(entries []Entry) []Violation {
	runs, violations := runIntervals(entries)
	capacities := capacitiesOf(entries)
	changes := make(map[cell.WorkerID][]claimChange)
	for _, run := range runs {
		changes[run.lease.Worker] = append(changes[run.lease.Worker], claimChangesOf(run)...)
	}
	for worker, workerChanges := range changes {
		capacity, ok := capacities[worker]
		if !ok {
			violations = append(violations, violation(RuleConsistentHistory, "worker %s: capacity is not recorded", worker))
			continue
		}
		violations = append(violations, checkClaims(worker, capacity, workerChanges)...)
	}
	return violations
}

// claimChange is a change of the resources claimed on a worker.
type claimChange struct {
	at     time.Time
	change cell.Resources
	end    bool
}

func claimChangesOf(run runInterval) []claimChange {
	changes := []claimChange{{at: run.start, change: run.lease.Claim}}
	if !run.end.IsZero() {
		changes = append(changes, claimChange{at: run.end, change: cell.Resources{}.Sub(run.lease.Claim), end: true})
	}
	return changes
}

func checkClaims(worker cell.WorkerID, capacity cell.Resources, changes []claimChange) []Violation {
	slices.SortStableFunc(changes, func(a, b claimChange) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return boolCompare(b.end, a.end) // ends come before starts at the same time
	})
	var violations []Violation
	var claimed cell.Resources
	for _, c := range changes {
		claimed = claimed.Add(c.change)
		if !c.end && !claimed.Fits(capacity) {
			violations = append(violations, violation(RuleCapacity, "worker %s at %s: claims of %s exceed its capacity of %s",
				worker, c.at.Format(time.RFC3339Nano), claimed, capacity))
		}
	}
	return violations
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func capacitiesOf(entries []Entry) map[cell.WorkerID]cell.Resources {
	capacities := make(map[cell.WorkerID]cell.Resources)
	for _, e := range entries {
		if e.Kind == KindWorker && e.Worker != nil && e.Worker.Change == WorkerAdded {
			capacities[e.Worker.ID] = e.Worker.Capacity
		}
	}
	return capacities
}

// CheckNoConcurrentAttempts checks that no two attempts of one task ran at the same time, on one worker or on two.
func CheckNoConcurrentAttempts(entries []Entry) []Violation {
	runs, violations := runIntervals(entries)
	latestRuns := make(map[cell.TaskID]runInterval) // the task's run with the latest end so far
	for _, run := range runs {
		task := run.lease.Attempt.Task
		earlier, seen := latestRuns[task]
		if seen && run.overlaps(earlier) {
			violations = append(violations, violation(RuleNoConcurrentAttempts, "%v overlaps %v", run, earlier))
		}
		if !seen || endsAfter(run, earlier) {
			latestRuns[task] = run
		}
	}
	return violations
}

// endsAfter reports whether a ends later than b. A run that is not known to have ended counts as ending last.
func endsAfter(a, b runInterval) bool {
	if b.end.IsZero() {
		return false
	}
	return a.end.IsZero() || a.end.After(b.end)
}

// CheckAtMostOnce checks that a non-idempotent task starts at most once. Starts of one task are recognised by the task's
// id, and by the echo if there is one.
func CheckAtMostOnce(entries []Entry) []Violation {
	runs, violations := runIntervals(entries)
	byTask := make(map[cell.TaskID]runInterval)
	byEcho := make(map[string]runInterval)
	for _, run := range runs {
		if run.lease.Idempotent || run.lease.Kind == cell.KindService {
			continue
		}
		if earlier, ok := byTask[run.lease.Attempt.Task]; ok {
			violations = append(violations, violation(RuleAtMostOnce, "task started again: %v after %v", run, earlier))
		} else if earlier, ok := byEcho[run.lease.Echo]; ok && run.lease.Echo != "" {
			violations = append(violations, violation(RuleAtMostOnce, "task with echo %q started again: %v after %v", run.lease.Echo, run, earlier))
		}
		byTask[run.lease.Attempt.Task] = run
		byEcho[run.lease.Echo] = run
	}
	return violations
}

// CheckLeavingWorkers checks that no attempt starts on a worker later than maxStartAfterNotice after the worker was told
// to leave.
func CheckLeavingWorkers(entries []Entry, maxStartAfterNotice time.Duration) []Violation {
	leavingSince := make(map[cell.WorkerID]time.Time)
	for _, e := range entries {
		if e.Kind == KindWorker && e.Worker != nil && e.Worker.Change == WorkerLeaving {
			leavingSince[e.Worker.ID] = e.At
		}
	}
	runs, violations := runIntervals(entries)
	for _, run := range runs {
		notice, ok := leavingSince[run.lease.Worker]
		if ok && run.start.Sub(notice) > maxStartAfterNotice {
			violations = append(violations, violation(RuleLeavingWorkers, "%v started %v after the worker was told to leave", run, run.start.Sub(notice)))
		}
	}
	return violations
}
