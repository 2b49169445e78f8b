package history

import (
	"github.com/anishathalye/porcupine"

	"laburnumpoint/internal/cell"
)

// keyModel is the sequential model of a non-idempotent request's key. Its state is the outcome of the key's one run,
// empty while it has not run.
func keyModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			return stepKey(state.(string), output.(Return))
		},
	}
}

func stepKey(outcome string, ret Return) (bool, string) {
	if ret.Result == cell.ResultNotRun {
		return outcome == "", outcome
	}
	given := string(ret.Result) + ":" + string(ret.Answer)
	if outcome == "" {
		return true, given
	}
	return outcome == given, outcome
}

// CheckRequestKeys checks with a linearizability checker that all calls with one key that were told of a run were told of the
// same run, and that none was told "not run" after it. It looks at non-idempotent calls; one that was told "unknown"
// or nothing says nothing.
func CheckRequestKeys(entries []Entry) []Violation {
	byKey := make(map[string][]porcupine.Operation)
	for _, x := range exchanges(entries) {
		if x.call.Idempotent || x.call.Key == "" || !x.toldOfRun() {
			continue
		}
		byKey[x.call.Key] = append(byKey[x.call.Key], porcupine.Operation{
			Call: x.called.UnixNano(), Output: x.ret, Return: x.returned.UnixNano(),
		})
	}
	var violations []Violation
	for key, operations := range byKey {
		if !porcupine.CheckOperations(keyModel(), operations) {
			violations = append(violations, violation(RuleRequestKeys, "no one run of %q explains its %d answers", key, len(operations)))
		}
	}
	return violations
}

// toldOfRun reports whether the caller was told that the request ran or that it did not.
func (x exchange) toldOfRun() bool {
	return x.told(cell.ResultCompleted) || x.told(cell.ResultFailed) || x.told(cell.ResultNotRun)
}
