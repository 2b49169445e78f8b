package history

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
)

// CheckCapacity checks that the claims of the leases running on a worker never exceed its capacity, at any moment and
// in any dimension. A worker without a record of its capacity is a violation too.
func CheckCapacity(entries []Entry) []Violation {
	runs, violations := intervals(entries)
	capacities := capacitiesOf(entries)
	steps := make(map[cell.WorkerID][]claimStep)
	for _, r := range runs {
		steps[r.lease.Worker] = append(steps[r.lease.Worker], stepsOf(r)...)
	}
	for worker, s := range steps {
		capacity, ok := capacities[worker]
		if !ok {
			violations = append(violations, violation(RuleConsistentHistory, "capacity of %s is not recorded", worker))
			continue
		}
		violations = append(violations, checkClaims(worker, capacity, s)...)
	}
	return violations
}

// claimStep is a change of what is claimed on a worker.
type claimStep struct {
	at     time.Time
	change cell.Resources
	end    bool
}

func stepsOf(r interval) []claimStep {
	steps := []claimStep{{at: r.start, change: r.lease.Claim}}
	if !r.end.IsZero() {
		steps = append(steps, claimStep{at: r.end, change: cell.Resources{}.Sub(r.lease.Claim), end: true})
	}
	return steps
}

func checkClaims(worker cell.WorkerID, capacity cell.Resources, steps []claimStep) []Violation {
	slices.SortStableFunc(steps, func(a, b claimStep) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return boolCompare(b.end, a.end) // at the same moment ends come first
	})
	var violations []Violation
	var claimed cell.Resources
	for _, s := range steps {
		claimed = claimed.Add(s.change)
		if !s.end && !claimed.Fits(capacity) {
			violations = append(violations, violation(RuleCapacity, "%s at %s: %s claimed of %s",
				worker, s.at.Format(time.RFC3339Nano), claimed, capacity))
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

// CheckNoConcurrentAttempts checks that no two attempts of one task ran at one time, on one worker or on two.
func CheckNoConcurrentAttempts(entries []Entry) []Violation {
	runs, violations := intervals(entries)
	latest := make(map[cell.TaskID]interval) // the run of the task with the latest end so far
	for _, r := range runs {
		task := r.lease.Attempt.Task
		before, seen := latest[task]
		if seen && r.overlaps(before) {
			violations = append(violations, violation(RuleNoConcurrentAttempts, "%v while %v", r, before))
		}
		if !seen || endsAfter(r, before) {
			latest[task] = r
		}
	}
	return violations
}

// endsAfter reports whether a ends later than b. A run that is not known to have ended is the latest.
func endsAfter(a, b interval) bool {
	if b.end.IsZero() {
		return false
	}
	return a.end.IsZero() || a.end.After(b.end)
}

// CheckAtMostOnce checks that a non-idempotent task starts at most once, by its task id and by its echo where it has one.
func CheckAtMostOnce(entries []Entry) []Violation {
	runs, violations := intervals(entries)
	byTask := make(map[cell.TaskID]interval)
	byEcho := make(map[string]interval)
	for _, r := range runs {
		if r.lease.Idempotent || r.lease.Kind == cell.KindService {
			continue
		}
		if before, ok := byTask[r.lease.Attempt.Task]; ok {
			violations = append(violations, violation(RuleAtMostOnce, "%v after %v", r, before))
		} else if before, ok := byEcho[r.lease.Echo]; ok && r.lease.Echo != "" {
			violations = append(violations, violation(RuleAtMostOnce, "echo %q: %v after %v", r.lease.Echo, r, before))
		}
		byTask[r.lease.Attempt.Task] = r
		byEcho[r.lease.Echo] = r
	}
	return violations
}

// CheckLeavingWorkers checks that no attempt starts on a worker later than bound after the worker was told to leave.
func CheckLeavingWorkers(entries []Entry, bound time.Duration) []Violation {
	left := make(map[cell.WorkerID]time.Time)
	for _, e := range entries {
		if e.Kind == KindWorker && e.Worker != nil && e.Worker.Change == WorkerLeaving {
			left[e.Worker.ID] = e.At
		}
	}
	runs, violations := intervals(entries)
	for _, r := range runs {
		notice, ok := left[r.lease.Worker]
		if ok && r.start.Sub(notice) > bound {
			violations = append(violations, violation(RuleLeavingWorkers, "%v, %v after the notice", r, r.start.Sub(notice)))
		}
	}
	return violations
}
