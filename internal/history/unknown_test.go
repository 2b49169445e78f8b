package history

import (
	"fmt"
	"testing"
	"time"
)

// patchHistory records patches that were sent one after another, two of each base at once.
func patchHistory(verdicts func(base uint64) [2]PatchOutcome, bases uint64) []Entry {
	var entries []Entry
	at := time.Unix(0, 0)
	for base := uint64(1); base <= bases; base++ {
		v := verdicts(base)
		for i := range v {
			op := fmt.Sprintf("%d/%d", base, i)
			p := Patch{ID: op, Base: base}
			entries = append(entries, Entry{At: at.Add(time.Duration(i)), Kind: KindPatchCall, OpID: op, Patch: &p})
			done := p
			done.Outcome = v[i]
			if v[i] == PatchAccepted {
				done.Version = base + 1
			}
			entries = append(entries, Entry{At: at.Add(10 + time.Duration(i)), Kind: KindPatchReturn, OpID: op, Patch: &done})
		}
		at = at.Add(time.Second)
	}
	return entries
}

func TestManyUnknownPatchesAreChecked(t *testing.T) {
	const bases = 500
	fine := patchHistory(func(base uint64) [2]PatchOutcome {
		if base%2 == 0 {
			return [2]PatchOutcome{PatchUnknown, PatchUnknown}
		}
		return [2]PatchOutcome{PatchUnknown, PatchAccepted}
	}, bases)
	if v := CheckConfigPatches(fine); len(v) > 0 {
		t.Errorf("a history that some order explains: %v", v)
	}
	broken := patchHistory(func(base uint64) [2]PatchOutcome {
		if base == bases/2 {
			return [2]PatchOutcome{PatchAccepted, PatchAccepted}
		}
		return [2]PatchOutcome{PatchUnknown, PatchAccepted}
	}, bases)
	if v := CheckConfigPatches(broken); len(v) == 0 {
		t.Error("two patches accepted on one base were not found")
	}
}
