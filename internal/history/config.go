package history

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"laburnumpoint/internal/cell"
)

// never is the return time of an operation whose effect may still come.
const never = math.MaxInt64

// patchOp is an operation of the configuration's sequential model: a patch, or a linearizable read of the head.
type patchOp struct {
	patch Patch
	read  bool
}

// patchModel is the configuration's sequential model. Its state is the version in force.
func patchModel(initial uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return initial },
		Step: func(state, input, output any) (bool, any) {
			return stepPatch(state.(uint64), input.(patchOp), output.(Patch))
		},
	}
}

func stepPatch(head uint64, op patchOp, out Patch) (bool, any) {
	if op.read {
		return out.Version == head, head
	}
	base := op.patch.Base
	switch out.Outcome {
	case PatchAccepted:
		return head == base && out.Version == base+1, base + 1
	case PatchStale:
		return head != base && (out.Version == 0 || out.Version == head), head
	case PatchRefused:
		return true, head
	default: // not known: it takes effect if it can, at a time that the checker chooses
		if head == base {
			return true, base + 1
		}
		return true, head
	}
}

// CheckConfigPatches checks with a linearizability checker that a patch was accepted if and only if its base was the version
// in force, and that reads without a member saw the version in force. The first version of the record is taken to be
// the lowest base or version in it.
func CheckConfigPatches(entries []Entry) []Violation {
	operations, initial := patchOperations(entries)
	if len(operations) == 0 {
		return nil
	}
	if !porcupine.CheckOperations(patchModel(initial), withoutIdleUnknowns(operations)) {
		return []Violation{violation(RuleConfigPatches, "no order of the %d patches and reads explains their verdicts", len(operations))}
	}
	return nil
}

// withoutIdleUnknowns leaves out unknown patches that no order needs, since each multiplies the orders to try. The head
// leaves a version once. So an unknown patch whose base an accepted patch left had no effect; and of the others with one
// base at most one had an effect, which the one that was sent first can have had whenever another can.
func withoutIdleUnknowns(operations []porcupine.Operation) []porcupine.Operation {
	left := make(map[uint64]bool)
	first := make(map[uint64]int)
	for i, op := range operations {
		in := op.Input.(patchOp)
		if in.read {
			continue
		}
		switch op.Output.(Patch).Outcome {
		case PatchAccepted:
			left[in.patch.Base] = true
		case PatchUnknown:
			if have, ok := first[in.patch.Base]; !ok || op.Call < operations[have].Call {
				first[in.patch.Base] = i
			}
		}
	}
	var kept []porcupine.Operation
	for i, op := range operations {
		in := op.Input.(patchOp)
		unknown := !in.read && op.Output.(Patch).Outcome == PatchUnknown
		if !unknown || !left[in.patch.Base] && first[in.patch.Base] == i {
			kept = append(kept, op)
		}
	}
	return kept
}

// patchOperations returns the record's patches and linearizable reads, and the version that it begins with.
func patchOperations(entries []Entry) ([]porcupine.Operation, uint64) {
	var operations []porcupine.Operation
	index := make(map[string]int)
	initial := uint64(math.MaxUint64)
	for _, e := range Merge(entries) {
		switch {
		case e.Kind == KindPatchCall && e.Patch != nil:
			index[e.OpID] = len(operations)
			initial = min(initial, e.Patch.Base)
			operations = append(operations, porcupine.Operation{
				Input: patchOp{patch: *e.Patch}, Call: e.At.UnixNano(),
				Output: Patch{Outcome: PatchUnknown}, Return: never,
			})
		case e.Kind == KindPatchReturn && e.Patch != nil && e.Patch.Outcome != PatchUnknown:
			if i, ok := index[e.OpID]; ok {
				operations[i].Output = *e.Patch
				operations[i].Return = e.At.UnixNano()
			}
		}
	}
	for _, r := range versionReads(entries) {
		if r.member != "" {
			continue
		}
		initial = min(initial, r.version)
		operations = append(operations, porcupine.Operation{
			Input: patchOp{read: true}, Call: r.called.UnixNano(),
			Output: Patch{Version: r.version}, Return: r.returned.UnixNano(),
		})
	}
	return operations, initial
}

// versionRead is a query for the version in force that was answered.
type versionRead struct {
	member   cell.MemberID
	called   time.Time
	returned time.Time
	version  uint64
}

// versionReads returns the answered queries in the order of their returns.
func versionReads(entries []Entry) []versionRead {
	var reads []versionRead
	called := make(map[string]time.Time)
	for _, e := range Merge(entries) {
		switch {
		case e.Kind == KindReadCall:
			called[e.OpID] = e.At
		case e.Kind == KindReadReturn && e.Read != nil && e.Read.Version != 0:
			if at, ok := called[e.OpID]; ok {
				reads = append(reads, versionRead{member: e.Read.Member, called: at, returned: e.At, version: e.Read.Version})
			}
		}
	}
	return reads
}

// CheckConfigReads checks that the version read at a member never goes back, can have been made by a patch that was sent before,
// and is at least every version accepted longer than propagation before the query.
func CheckConfigReads(entries []Entry, propagation time.Duration) []Violation {
	accepted := acceptances(entries)
	var violations []Violation
	reads := versionReads(entries)
	for i, r := range reads {
		if before, ok := highestBefore(reads[:i], r); ok && before > r.version {
			violations = append(violations, violation(RuleConfigReads, "%s went back from %d to %d", r.member, before, r.version))
		}
		if !possible(entries, r) {
			violations = append(violations, violation(RuleConfigReads, "%s has %d, which no patch so far can have made", r.member, r.version))
		}
		if want := inForce(accepted, r.called.Add(-propagation)); r.version < want {
			violations = append(violations, violation(RuleConfigReads, "%s has %d, %v after %d was accepted", r.member, r.version, propagation, want))
		}
	}
	return violations
}

// possible reports whether the version was there from the start or can have been made by a patch sent before the answer.
func possible(entries []Entry, r versionRead) bool {
	first := uint64(math.MaxUint64)
	for _, e := range entries {
		if e.Kind != KindPatchCall || e.Patch == nil {
			continue
		}
		first = min(first, e.Patch.Base)
		if e.Patch.Base+1 == r.version && !e.At.After(r.returned) {
			return true
		}
	}
	return r.version <= first
}

// highestBefore returns the highest version that the same member gave to a query that ended before r began.
func highestBefore(earlier []versionRead, r versionRead) (uint64, bool) {
	highest, found := uint64(0), false
	for _, e := range earlier {
		if e.member == r.member && e.returned.Before(r.called) {
			highest = max(highest, e.version)
			found = true
		}
	}
	return highest, found
}

// acceptance is a version and the time at which an operator was told of it.
type acceptance struct {
	at      time.Time
	version uint64
}

func acceptances(entries []Entry) []acceptance {
	var accepted []acceptance
	for _, e := range entries {
		if e.Kind == KindPatchReturn && e.Patch != nil && e.Patch.Outcome == PatchAccepted {
			accepted = append(accepted, acceptance{at: e.At, version: e.Patch.Version})
		}
	}
	slices.SortFunc(accepted, func(a, b acceptance) int { return a.at.Compare(b.at) })
	return accepted
}

// inForce returns the highest version accepted by at.
func inForce(accepted []acceptance, at time.Time) uint64 {
	version := uint64(0)
	for _, a := range accepted {
		if !a.at.After(at) {
			version = max(version, a.version)
		}
	}
	return version
}
