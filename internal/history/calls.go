package history

import (
	"encoding/json"
	"time"

	"laburnumpoint/internal/cell"
)

// exchange is a call with what came of it.
type exchange struct {
	op       string
	called   time.Time
	call     Call
	returned time.Time // zero if nothing came back
	ret      Return
}

// exchanges pairs calls with their returns, in the order of the calls.
func exchanges(entries []Entry) []exchange {
	var found []exchange
	index := make(map[string]int)
	for _, e := range Merge(entries) {
		switch {
		case e.Kind == KindCall && e.Call != nil:
			index[e.OpID] = len(found)
			found = append(found, exchange{op: e.OpID, called: e.At, call: *e.Call})
		case e.Kind == KindReturn && e.Return != nil:
			if i, ok := index[e.OpID]; ok {
				found[i].returned = e.At
				found[i].ret = *e.Return
			}
		}
	}
	return found
}

// told reports whether the caller was given a whole answer of that result.
func (x exchange) told(result cell.Result) bool {
	return !x.returned.IsZero() && !x.ret.Lost && x.ret.Result == result
}

// CheckOwnAnswers checks that every completed call was given the whole answer of an attempt that ran for it to its end.
// Calls without an echo are not checked.
func CheckOwnAnswers(entries []Entry) []Violation {
	runs, violations := intervals(entries)
	finished := make(map[cell.Attempt]interval)
	for _, r := range runs {
		if r.cause == EndFinished {
			finished[r.lease.Attempt] = r
		}
	}
	for _, x := range exchanges(entries) {
		if x.told(cell.ResultCompleted) && x.call.Echo != "" {
			violations = append(violations, checkAnswer(x, finished)...)
		}
	}
	return violations
}

func checkAnswer(x exchange, finished map[cell.Attempt]interval) []Violation {
	var a Answer
	if err := json.Unmarshal(x.ret.Answer, &a); err != nil {
		return []Violation{violation(RuleOwnAnswer, "%s: answer is not whole: %v", x.op, err)}
	}
	if a.Echo != x.call.Echo {
		return []Violation{violation(RuleOwnAnswer, "%s: answer of %q to %q", x.op, a.Echo, x.call.Echo)}
	}
	if len(a.Pad) != x.call.AnswerBytes {
		return []Violation{violation(RuleOwnAnswer, "%s: %d bytes of %d", x.op, len(a.Pad), x.call.AnswerBytes)}
	}
	if x.ret.Task != "" && a.Attempt.Task != x.ret.Task {
		return []Violation{violation(RuleOwnAnswer, "%s: answer of task %s as that of %s", x.op, a.Attempt.Task, x.ret.Task)}
	}
	r, ok := finished[a.Attempt]
	if !ok {
		return []Violation{violation(RuleOwnAnswer, "%s: attempt %v ran nowhere to its end", x.op, a.Attempt)}
	}
	if r.lease.Worker != a.Worker || x.returned.Before(r.end) {
		return []Violation{violation(RuleOwnAnswer, "%s: answer does not come from %v", x.op, r)}
	}
	return nil
}

// CheckNotRunOutcomes checks what callers were told was not run, by the echo of calls and leases:
//   - every start has a call before it that was not told "not run";
//   - a non-idempotent request has not started by the time that one of its calls is told "not run".
func CheckNotRunOutcomes(entries []Entry) []Violation {
	runs, violations := intervals(entries)
	byEcho := make(map[string][]exchange)
	for _, x := range exchanges(entries) {
		if x.call.Echo != "" {
			byEcho[x.call.Echo] = append(byEcho[x.call.Echo], x)
		}
	}
	for _, r := range runs {
		calls := byEcho[r.lease.Echo]
		if len(calls) == 0 {
			continue
		}
		if !hasCallFor(r, calls) {
			violations = append(violations, violation(RuleNotRun, "every call for %v was told that it was not run", r))
			continue
		}
		violations = append(violations, checkToldBefore(r, calls)...)
	}
	return violations
}

// hasCallFor reports whether a call that was not told "not run" was made before the start.
func hasCallFor(r interval, calls []exchange) bool {
	for _, x := range calls {
		if !x.called.After(r.start) && !x.told(cell.ResultNotRun) {
			return true
		}
	}
	return false
}

func checkToldBefore(r interval, calls []exchange) []Violation {
	var violations []Violation
	for _, x := range calls {
		if !x.call.Idempotent && x.told(cell.ResultNotRun) && r.start.Before(x.returned) {
			violations = append(violations, violation(RuleNotRun, "%s was told so after %v", x.op, r))
		}
	}
	return violations
}
