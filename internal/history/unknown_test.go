package history

import (
	"fmt"
	"testing"
	"time"
)

// patchHistory returns a history with two concurrent patches for each base, the bases one after another.
func patchHistory(outcomes func(base uint64) [2]PatchOutcome, bases uint64) []Entry {
	var entries []Entry
	at := time.Unix(0, 0)
	for base := uint64(1); base <= bases; base++ {
		pair := outcomes(base)
		for i := range pair {
			op := fmt.Sprintf("%d/%d", base, i)
			p := Patch{ID: op, Base: base}
			entries = append(entries, Entry{At: at.Add(time.Duration(i)), Kind: KindPatchCall, OpID: op, Patch: &p})
			returned := p
			returned.Outcome = pair[i]
			if pair[i] == PatchAccepted {
				returned.Version = base + 1
			}
			entries = append(entries, Entry{At: at.Add(10 + time.Duration(i)), Kind: KindPatchReturn, OpID: op, Patch: &returned})
		}
		at = at.Add(time.Second)
	}
	return entries
}

func TestManyUnknownPatchesAreChecked(t *testing.T) {
	const bases = 500
	valid := patchHistory(func(base uint64) [2]PatchOutcome {
		if base%2 == 0 {
			return [2]PatchOutcome{PatchUnknown, PatchUnknown}
		}
		return [2]PatchOutcome{PatchUnknown, PatchAccepted}
	}, bases)
	if v := CheckConfigPatches(valid); len(v) > 0 {
		t.Errorf("violations of a history that some order explains: %v", v)
	}
	invalid := patchHistory(func(base uint64) [2]PatchOutcome {
		if base == bases/2 {
			return [2]PatchOutcome{PatchAccepted, PatchAccepted}
		}
		return [2]PatchOutcome{PatchUnknown, PatchAccepted}
	}, bases)
	if v := CheckConfigPatches(invalid); len(v) == 0 {
		t.Error("no violation was found although two patches with one base were accepted")
	}
}
