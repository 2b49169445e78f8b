package history

import (
	"github.com/anishathalye/porcupine"

	"laburnumpoint/internal/cell"
)

// keyModel is the sequential model of a non-idempotent request key. Its state is the outcome of the key's only run, empty
// until the outcome is known.
func keyModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			return stepKey(state.(string), output.(Return))
		},
	}
}

func stepKey(knownOutcome string, ret Return) (bool, string) {
	if ret.Result == cell.ResultNotRun {
		return knownOutcome == "", knownOutcome
	}
	given := string(ret.Result) + ":" + string(ret.Answer)
	if knownOutcome == "" {
		return true, given
	}
	return knownOutcome == given, knownOutcome
}

// CheckRequestKeys checks with a linearizability checker that all calls with one key that were told of a run were told of
// the same run, and that none was told "not run" after it. It checks non-idempotent calls only, and ignores those that
// were told "unknown" or received no answer.
func CheckRequestKeys(entries []Entry) []Violation {
	byKey := make(map[string][]porcupine.Operation)
	for _, c := range pairCalls(entries) {
		if c.call.Idempotent || c.call.Key == "" || !c.outcomeKnown() {
			continue
		}
		byKey[c.call.Key] = append(byKey[c.call.Key], porcupine.Operation{
			Call: c.calledAt.UnixNano(), Output: c.ret, Return: c.returnedAt.UnixNano(),
		})
	}
	var violations []Violation
	for key, operations := range byKey {
		if !porcupine.CheckOperations(keyModel(), operations) {
			violations = append(violations, violation(RuleRequestKeys, "request key %q: no single run explains its %d answers", key, len(operations)))
		}
	}
	return violations
}

// outcomeKnown reports whether the caller was told that the request ran or that it did not.
func (c callRecord) outcomeKnown() bool {
	return c.gotResult(cell.ResultCompleted) || c.gotResult(cell.ResultFailed) || c.gotResult(cell.ResultNotRun)
}
