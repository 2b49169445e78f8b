package history

import (
	"encoding/json"
	"time"

	"laburnumpoint/internal/cell"
)

// callRecord is a call with what came of it.
type callRecord struct {
	opID       string
	calledAt   time.Time
	call       Call
	returnedAt time.Time // zero if nothing came back
	ret        Return
}

// pairCalls pairs calls with their returns, in the order of the calls.
func pairCalls(entries []Entry) []callRecord {
	var records []callRecord
	index := make(map[string]int)
	for _, e := range Merge(entries) {
		switch {
		case e.Kind == KindCall && e.Call != nil:
			index[e.OpID] = len(records)
			records = append(records, callRecord{opID: e.OpID, calledAt: e.At, call: *e.Call})
		case e.Kind == KindReturn && e.Return != nil:
			if i, ok := index[e.OpID]; ok {
				records[i].returnedAt = e.At
				records[i].ret = *e.Return
			}
		}
	}
	return records
}

// gotResult reports whether the caller was given a whole answer of that result.
func (c callRecord) gotResult(result cell.Result) bool {
	return !c.returnedAt.IsZero() && !c.ret.Lost && c.ret.Result == result
}

// CheckOwnAnswers checks that every completed call was given the whole answer of an attempt that ran for it to its end.
// Calls without an echo are not checked.
func CheckOwnAnswers(entries []Entry) []Violation {
	runs, violations := runIntervals(entries)
	finished := make(map[cell.Attempt]runInterval)
	for _, run := range runs {
		if run.cause == EndFinished {
			finished[run.lease.Attempt] = run
		}
	}
	for _, c := range pairCalls(entries) {
		if c.gotResult(cell.ResultCompleted) && c.call.Echo != "" {
			violations = append(violations, checkAnswer(c, finished)...)
		}
	}
	return violations
}

func checkAnswer(c callRecord, finished map[cell.Attempt]runInterval) []Violation {
	var answer Answer
	if err := json.Unmarshal(c.ret.Answer, &answer); err != nil {
		return []Violation{violation(RuleOwnAnswer, "%s: answer is not whole: %v", c.opID, err)}
	}
	if answer.Echo != c.call.Echo {
		return []Violation{violation(RuleOwnAnswer, "%s: answer of %q to %q", c.opID, answer.Echo, c.call.Echo)}
	}
	if len(answer.Pad) != c.call.AnswerBytes {
		return []Violation{violation(RuleOwnAnswer, "%s: %d bytes of %d", c.opID, len(answer.Pad), c.call.AnswerBytes)}
	}
	if c.ret.Task != "" && answer.Attempt.Task != c.ret.Task {
		return []Violation{violation(RuleOwnAnswer, "%s: answer of task %s as that of %s", c.opID, answer.Attempt.Task, c.ret.Task)}
	}
	run, ok := finished[answer.Attempt]
	if !ok {
		return []Violation{violation(RuleOwnAnswer, "%s: attempt %v ran nowhere to its end", c.opID, answer.Attempt)}
	}
	if run.lease.Worker != answer.Worker || c.returnedAt.Before(run.end) {
		return []Violation{violation(RuleOwnAnswer, "%s: answer does not come from %v", c.opID, run)}
	}
	return nil
}

// CheckNotRunOutcomes checks what callers were told was not run, by the echo of calls and leases:
//   - every start has a call before it that was not told "not run";
//   - a non-idempotent request has not started by the time that one of its calls is told "not run".
func CheckNotRunOutcomes(entries []Entry) []Violation {
	runs, violations := runIntervals(entries)
	byEcho := make(map[string][]callRecord)
	for _, c := range pairCalls(entries) {
		if c.call.Echo != "" {
			byEcho[c.call.Echo] = append(byEcho[c.call.Echo], c)
		}
	}
	for _, run := range runs {
		calls := byEcho[run.lease.Echo]
		if len(calls) == 0 {
			continue
		}
		if !hasCallBefore(run, calls) {
			violations = append(violations, violation(RuleNotRun, "every call for %v was told that it was not run", run))
			continue
		}
		violations = append(violations, checkNotRunBeforeStart(run, calls)...)
	}
	return violations
}

// hasCallBefore reports whether a call that was not told "not run" was made before the start.
func hasCallBefore(run runInterval, calls []callRecord) bool {
	for _, c := range calls {
		if !c.calledAt.After(run.start) && !c.gotResult(cell.ResultNotRun) {
			return true
		}
	}
	return false
}

func checkNotRunBeforeStart(run runInterval, calls []callRecord) []Violation {
	var violations []Violation
	for _, c := range calls {
		if !c.call.Idempotent && c.gotResult(cell.ResultNotRun) && run.start.Before(c.returnedAt) {
			violations = append(violations, violation(RuleNotRun, "%s was told so after %v", c.opID, run))
		}
	}
	return violations
}
