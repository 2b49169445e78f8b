package history

import (
	"encoding/json"
	"time"

	"laburnumpoint/internal/cell"
)

// callRecord is a call and its return, if there was one.
type callRecord struct {
	opID       string
	calledAt   time.Time
	call       Call
	returnedAt time.Time // zero if no return is recorded
	ret        Return
}

// pairCalls returns the calls with their returns, in the order of the calls.
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

// gotResult reports whether the caller received a complete answer with the result.
func (c callRecord) gotResult(result cell.Result) bool {
	return !c.returnedAt.IsZero() && !c.ret.Lost && c.ret.Result == result
}

// CheckOwnAnswers checks that every completed call received the complete answer of an attempt that ran for it and
// finished. Calls without an echo are not checked.
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
		return []Violation{violation(RuleOwnAnswer, "call %s: answer can't be decoded: %v", c.opID, err)}
	}
	if answer.Echo != c.call.Echo {
		return []Violation{violation(RuleOwnAnswer, "call %s: answer has echo %q, want %q", c.opID, answer.Echo, c.call.Echo)}
	}
	if len(answer.Pad) != c.call.AnswerBytes {
		return []Violation{violation(RuleOwnAnswer, "call %s: answer is padded with %d bytes, want %d", c.opID, len(answer.Pad), c.call.AnswerBytes)}
	}
	if c.ret.Task != "" && answer.Attempt.Task != c.ret.Task {
		return []Violation{violation(RuleOwnAnswer, "call %s: answer is of task %s, want %s", c.opID, answer.Attempt.Task, c.ret.Task)}
	}
	run, ok := finished[answer.Attempt]
	if !ok {
		return []Violation{violation(RuleOwnAnswer, "call %s: attempt %v did not finish on any worker", c.opID, answer.Attempt)}
	}
	if run.lease.Worker != answer.Worker || c.returnedAt.Before(run.end) {
		return []Violation{violation(RuleOwnAnswer, "call %s: answer does not come from %v or came before its end", c.opID, run)}
	}
	return nil
}

// CheckNotRunOutcomes checks the requests whose callers were told "not run". Calls and leases are matched by their echo:
//   - before every start, a call was made that was not told "not run";
//   - a non-idempotent request has not started when one of its calls is told "not run".
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
			violations = append(violations, violation(RuleNotRun, "no call before the start of %v, other than calls told \"not run\"", run))
			continue
		}
		violations = append(violations, checkNotRunBeforeStart(run, calls)...)
	}
	return violations
}

// hasCallBefore reports whether a call that was not told "not run" was made before the run started.
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
			violations = append(violations, violation(RuleNotRun, "call %s was told \"not run\" after %v", c.opID, run))
		}
	}
	return violations
}
