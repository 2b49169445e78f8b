package history

import (
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"laburnumpoint/internal/cell"
)

// neverReturned is the return time of an operation that may still take effect.
const neverReturned = math.MaxInt64

// configOp is an operation on the configuration model: a patch, or a linearizable read of the version in force.
type configOp struct {
	patch Patch
	read  bool
}

// configModel is the configuration's sequential model. Its state is the version in force.
func configModel(initial uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return initial },
		Step: func(state, input, output any) (bool, any) {
			return stepConfig(state.(uint64), input.(configOp), output.(Patch))
		},
	}
}

func stepConfig(head uint64, op configOp, output Patch) (bool, any) {
	if op.read {
		return output.Version == head, head
	}
	base := op.patch.Base
	switch output.Outcome {
	case PatchAccepted:
		return head == base && output.Version == base+1, base + 1
	case PatchStale:
		return head != base && (output.Version == 0 || output.Version == head), head
	case PatchRefused:
		return true, head
	default: // unknown: it takes effect if its base is in force at the time that the checker chooses
		if head == base {
			return true, base + 1
		}
		return true, head
	}
}

// CheckConfigPatches checks with a linearizability checker that a patch was accepted if and only if its base was the
// version in force, and that reads without a member returned the version in force. The history's first version is taken
// to be the lowest base or version in it.
func CheckConfigPatches(entries []Entry) []Violation {
	operations, initial := configOperations(entries)
	if len(operations) == 0 {
		return nil
	}
	if !porcupine.CheckOperations(configModel(initial), dropRedundantUnknowns(operations)) {
		return []Violation{violation(RuleConfigPatches, "no sequential order explains the outcomes of the %d patches and reads", len(operations))}
	}
	return nil
}

// dropRedundantUnknowns leaves out patches of unknown outcome that no order needs, since each multiplies the orders to
// try. Each version is replaced only once. So an unknown patch with the same base as an accepted one had no effect. Of
// several unknown patches with one base at most one had an effect; wherever a later one can take effect, the one sent
// first can too, so only that one is kept.
func dropRedundantUnknowns(operations []porcupine.Operation) []porcupine.Operation {
	acceptedBases := make(map[uint64]bool)
	firstUnknown := make(map[uint64]int)
	for i, op := range operations {
		in := op.Input.(configOp)
		if in.read {
			continue
		}
		switch op.Output.(Patch).Outcome {
		case PatchAccepted:
			acceptedBases[in.patch.Base] = true
		case PatchUnknown:
			if earliest, ok := firstUnknown[in.patch.Base]; !ok || op.Call < operations[earliest].Call {
				firstUnknown[in.patch.Base] = i
			}
		}
	}
	var kept []porcupine.Operation
	for i, op := range operations {
		in := op.Input.(configOp)
		unknown := !in.read && op.Output.(Patch).Outcome == PatchUnknown
		if !unknown || !acceptedBases[in.patch.Base] && firstUnknown[in.patch.Base] == i {
			kept = append(kept, op)
		}
	}
	return kept
}

// configOperations returns the history's patches and linearizable reads, and the version that it begins with.
func configOperations(entries []Entry) ([]porcupine.Operation, uint64) {
	var operations []porcupine.Operation
	index := make(map[string]int)
	initial := uint64(math.MaxUint64)
	for _, e := range Merge(entries) {
		switch {
		case e.Kind == KindPatchCall && e.Patch != nil:
			index[e.OpID] = len(operations)
			initial = min(initial, e.Patch.Base)
			operations = append(operations, porcupine.Operation{
				Input: configOp{patch: *e.Patch}, Call: e.At.UnixNano(),
				Output: Patch{Outcome: PatchUnknown}, Return: neverReturned,
			})
		case e.Kind == KindPatchReturn && e.Patch != nil && e.Patch.Outcome != PatchUnknown:
			if i, ok := index[e.OpID]; ok {
				operations[i].Output = *e.Patch
				operations[i].Return = e.At.UnixNano()
			}
		}
	}
	for _, read := range versionReads(entries) {
		if read.member != "" {
			continue
		}
		initial = min(initial, read.version)
		operations = append(operations, porcupine.Operation{
			Input: configOp{read: true}, Call: read.calledAt.UnixNano(),
			Output: Patch{Version: read.version}, Return: read.returnedAt.UnixNano(),
		})
	}
	return operations, initial
}

// versionRead is an answered query for the version in force.
type versionRead struct {
	member     cell.MemberID
	calledAt   time.Time
	returnedAt time.Time
	version    uint64
}

// versionReads returns the answered queries, in the order of their answers.
func versionReads(entries []Entry) []versionRead {
	var reads []versionRead
	calledAt := make(map[string]time.Time)
	for _, e := range Merge(entries) {
		switch {
		case e.Kind == KindReadCall:
			calledAt[e.OpID] = e.At
		case e.Kind == KindReadReturn && e.Read != nil && e.Read.Version != 0:
			if at, ok := calledAt[e.OpID]; ok {
				reads = append(reads, versionRead{member: e.Read.Member, calledAt: at, returnedAt: e.At, version: e.Read.Version})
			}
		}
	}
	return reads
}

// CheckConfigReads checks that the version read at a member never decreases, can result from a patch sent before the
// answer, and is at least every version accepted maxConfigDelay or longer before the query.
func CheckConfigReads(entries []Entry, maxConfigDelay time.Duration) []Violation {
	accepted := acceptedVersions(entries)
	var violations []Violation
	reads := versionReads(entries)
	for i, read := range reads {
		if before, ok := highestReadBefore(reads[:i], read); ok && before > read.version {
			violations = append(violations, violation(RuleConfigReads, "member %q: version in force went back from %d to %d", read.member, before, read.version))
		}
		if !mayExist(entries, read) {
			violations = append(violations, violation(RuleConfigReads, "member %q: version %d can't result from any patch sent before the answer", read.member, read.version))
		}
		if want := versionInForce(accepted, read.calledAt.Add(-maxConfigDelay)); read.version < want {
			violations = append(violations, violation(RuleConfigReads, "member %q: version %d still in force %v after version %d was accepted", read.member, read.version, maxConfigDelay, want))
		}
	}
	return violations
}

// mayExist reports whether the version that was read was in force from the start or can result from a patch sent before
// the answer.
func mayExist(entries []Entry, read versionRead) bool {
	firstVersion := uint64(math.MaxUint64)
	for _, e := range entries {
		if e.Kind != KindPatchCall || e.Patch == nil {
			continue
		}
		firstVersion = min(firstVersion, e.Patch.Base)
		if e.Patch.Base+1 == read.version && !e.At.After(read.returnedAt) {
			return true
		}
	}
	return read.version <= firstVersion
}

// highestReadBefore returns the highest version that the same member answered to a query that ended before read began.
func highestReadBefore(earlier []versionRead, read versionRead) (uint64, bool) {
	highest, found := uint64(0), false
	for _, e := range earlier {
		if e.member == read.member && e.returnedAt.Before(read.calledAt) {
			highest = max(highest, e.version)
			found = true
		}
	}
	return highest, found
}

// acceptedVersion is a version and the time at which the operator was told that its patch was accepted.
type acceptedVersion struct {
	at      time.Time
	version uint64
}

func acceptedVersions(entries []Entry) []acceptedVersion {
	var accepted []acceptedVersion
	for _, e := range entries {
		if e.Kind == KindPatchReturn && e.Patch != nil && e.Patch.Outcome == PatchAccepted {
			accepted = append(accepted, acceptedVersion{at: e.At, version: e.Patch.Version})
		}
	}
	slices.SortFunc(accepted, func(a, b acceptedVersion) int { return a.at.Compare(b.at) })
	return accepted
}

// versionInForce returns the highest version accepted by at.
func versionInForce(accepted []acceptedVersion, at time.Time) uint64 {
	version := uint64(0)
	for _, a := range accepted {
		if !a.at.After(at) {
			version = max(version, a.version)
		}
	}
	return version
}
