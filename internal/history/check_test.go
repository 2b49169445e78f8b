package history

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
)

// bounds are the time limits for the test histories, whose steps take one second.
var bounds = Bounds{MaxStartAfterNotice: 3 * time.Second, MaxConfigDelay: 3 * time.Second}

var historyStart = time.Unix(1_000_000, 0)

// at returns the time of step n.
func at(n int) time.Time {
	return historyStart.Add(time.Duration(n) * time.Second)
}

func added(worker cell.WorkerID, slots int64) Entry {
	return Entry{At: at(0), Kind: KindWorker, Worker: &WorkerEvent{ID: worker, Change: WorkerAdded, Capacity: cell.Resources{MilliCPU: 1000, Slots: slots}}}
}

func changed(n int, worker cell.WorkerID, change WorkerChange) Entry {
	return Entry{At: at(n), Kind: KindWorker, Worker: &WorkerEvent{ID: worker, Change: change}}
}

func lease(worker cell.WorkerID, task cell.TaskID, number cell.AttemptNumber) *Lease {
	return &Lease{
		Worker: worker, BootID: "b", Kind: cell.KindRequest, Echo: string(task), Claim: cell.Resources{Slots: 1},
		Attempt: cell.Attempt{Task: task, Epoch: 1, Number: number},
	}
}

func started(n int, l *Lease) Entry {
	return Entry{At: at(n), Kind: KindLeaseStart, Lease: l}
}

func ended(n int, l *Lease) Entry {
	end := *l
	end.Cause = EndFinished
	return Entry{At: at(n), Kind: KindLeaseEnd, Lease: &end}
}

func idempotent(l *Lease) *Lease {
	l.Idempotent = true
	return l
}

// called returns a non-idempotent call whose key and echo are the task's id.
func called(n int, op, task string) Entry {
	return Entry{At: at(n), Kind: KindCall, OpID: op, Call: &Call{Key: task, Echo: task, AnswerBytes: 2}}
}

func returned(n int, op string, result cell.Result, answer string) Entry {
	return Entry{At: at(n), Kind: KindReturn, OpID: op, Return: &Return{Result: result, Answer: []byte(answer)}}
}

func answerOf(worker cell.WorkerID, task string, number int, pad string) string {
	return fmt.Sprintf(`{"attempt":{"task":%q,"epoch":1,"n":%d},"worker":%q,"echo":%q,"pad":%q}`, task, number, worker, task, pad)
}

func patchCalled(n int, op string, base uint64) Entry {
	return Entry{At: at(n), Kind: KindPatchCall, OpID: op, Patch: &Patch{ID: op, Base: base}}
}

func patchReturned(n int, op string, outcome PatchOutcome, version uint64) Entry {
	return Entry{At: at(n), Kind: KindPatchReturn, OpID: op, Patch: &Patch{ID: op, Outcome: outcome, Version: version}}
}

// read returns a query for the version in force and its answer, both within step n.
func read(n int, member cell.MemberID, version uint64) []Entry {
	op := fmt.Sprintf("read-%d-%s", n, member)
	return []Entry{
		{At: at(n), Kind: KindReadCall, OpID: op, Read: &VersionRead{Member: member}},
		{At: at(n).Add(time.Millisecond), Kind: KindReadReturn, OpID: op, Read: &VersionRead{Member: member, Version: version}},
	}
}

func TestCheckFindsViolations(t *testing.T) {
	a1, a2 := lease("w1", "a", 1), lease("w2", "a", 2)
	b1 := lease("w1", "b", 1)
	workers := []Entry{added("w1", 1), added("w2", 8)}
	complete := answerOf("w1", "a", 1, "xx")
	cases := []struct {
		name    string
		entries []Entry
		want    []Rule
	}{
		{"two tasks, one after the other", []Entry{started(1, a1), ended(2, a1), started(2, b1), ended(3, b1)}, nil},
		{"over capacity", []Entry{started(1, a1), started(2, b1), ended(3, a1), ended(3, b1)}, []Rule{RuleCapacity}},
		{"over capacity by a lease without an end", []Entry{started(1, a1), started(9, b1)}, []Rule{RuleCapacity}},
		{"capacity free after the worker's restart", []Entry{started(1, a1), changed(2, "w1", WorkerRestarted), started(3, b1)}, nil},
		{"unknown worker", []Entry{started(1, lease("w3", "a", 1))}, []Rule{RuleConsistentHistory}},

		{"second attempt after the first", []Entry{started(1, idempotent(lease("w1", "a", 1))), ended(2, idempotent(lease("w1", "a", 1))), started(2, idempotent(lease("w2", "a", 2)))}, nil},
		{"second attempt while the first runs on another worker", []Entry{started(1, idempotent(lease("w1", "a", 1))), started(2, idempotent(lease("w2", "a", 2))), ended(3, idempotent(lease("w1", "a", 1)))}, []Rule{RuleNoConcurrentAttempts}},
		{"two more attempts while the first has not ended", []Entry{started(1, idempotent(lease("w2", "a", 1))), started(2, idempotent(lease("w2", "a", 2))), ended(3, idempotent(lease("w2", "a", 2))), started(4, idempotent(lease("w1", "a", 3)))}, []Rule{RuleNoConcurrentAttempts, RuleNoConcurrentAttempts}},
		{"second attempt after the first one's worker was lost", []Entry{started(1, idempotent(lease("w1", "a", 1))), changed(2, "w1", WorkerLost), started(3, idempotent(lease("w2", "a", 2)))}, nil},

		{"non-idempotent twice", []Entry{started(1, a1), ended(2, a1), started(3, a2), ended(4, a2)}, []Rule{RuleAtMostOnce}},
		{"non-idempotent twice under two task ids", []Entry{started(1, a1), ended(2, a1), started(3, &Lease{Worker: "w2", Echo: "a", Attempt: cell.Attempt{Task: "other"}})}, []Rule{RuleAtMostOnce}},

		{"complete answer to the own request", []Entry{called(0, "1", "a"), started(1, a1), ended(2, a1), returned(3, "1", cell.ResultCompleted, complete)}, nil},
		{"answer to another request", []Entry{called(0, "1", "b"), started(1, a1), ended(2, a1), returned(3, "1", cell.ResultCompleted, complete)}, []Rule{RuleOwnAnswer}},
		{"truncated answer", []Entry{called(0, "1", "a"), started(1, a1), ended(2, a1), returned(3, "1", cell.ResultCompleted, complete[:20])}, []Rule{RuleOwnAnswer}},
		{"truncated padding", []Entry{called(0, "1", "a"), started(1, a1), ended(2, a1), returned(3, "1", cell.ResultCompleted, answerOf("w1", "a", 1, "x"))}, []Rule{RuleOwnAnswer}},
		{"answer of an attempt that never ran", []Entry{called(0, "1", "a"), returned(3, "1", cell.ResultCompleted, complete)}, []Rule{RuleOwnAnswer}},
		{"answer before the end", []Entry{called(0, "1", "a"), started(1, a1), returned(2, "1", cell.ResultCompleted, complete), ended(3, a1)}, []Rule{RuleOwnAnswer}},
		{"answer from another worker", []Entry{called(0, "1", "a"), started(1, a1), ended(2, a1), returned(3, "1", cell.ResultCompleted, answerOf("w2", "a", 1, "xx"))}, []Rule{RuleOwnAnswer}},

		{"not run", []Entry{called(0, "1", "a"), returned(1, "1", cell.ResultNotRun, "")}, nil},
		{"not run, then run for a retry", []Entry{called(0, "1", "a"), returned(1, "1", cell.ResultNotRun, ""), called(2, "2", "a"), started(3, a1)}, nil},
		{"not run after the request ran", []Entry{called(0, "1", "a"), started(1, a1), ended(2, a1), returned(3, "1", cell.ResultNotRun, "")}, []Rule{RuleNotRun}},
		{"not run before the request ran", []Entry{called(0, "1", "a"), returned(1, "1", cell.ResultNotRun, ""), started(2, a1)}, []Rule{RuleNotRun}},
		{"retry told not run after the first call's run", []Entry{called(0, "1", "a"), started(1, a1), ended(2, a1), called(3, "2", "a"), returned(4, "2", cell.ResultNotRun, "")}, []Rule{RuleNotRun}},
		{"run with a lost answer", []Entry{called(0, "1", "a"), started(1, a1), {At: at(2), Kind: KindReturn, OpID: "1", Return: &Return{Lost: true}}}, nil},

		{"start within the bound after the worker was told to leave", []Entry{changed(1, "w1", WorkerLeaving), started(4, a1)}, nil},
		{"start later than the bound after the worker was told to leave", []Entry{changed(1, "w1", WorkerLeaving), started(5, a1)}, []Rule{RuleLeavingWorkers}},

		{"two different answers for one key", []Entry{called(0, "1", "a"), called(0, "2", "a"), started(1, a1), ended(2, a1),
			returned(3, "1", cell.ResultFailed, "x"), returned(3, "2", cell.ResultFailed, "y")}, []Rule{RuleRequestKeys}},
		{"same answer twice", []Entry{called(0, "1", "a"), called(0, "2", "a"), started(1, a1), ended(2, a1),
			returned(3, "1", cell.ResultCompleted, complete), returned(4, "2", cell.ResultCompleted, complete)}, nil},
		{"not run after an answer", []Entry{called(0, "1", "a"), returned(1, "1", cell.ResultFailed, "x"), called(2, "2", "a"), returned(3, "2", cell.ResultNotRun, "")}, []Rule{RuleRequestKeys}},

		{"concurrent patches, one accepted", []Entry{patchCalled(1, "p", 1), patchCalled(1, "q", 1), patchReturned(2, "q", PatchAccepted, 2), patchReturned(2, "p", PatchStale, 2)}, nil},
		{"concurrent patches, both accepted", []Entry{patchCalled(1, "p", 1), patchCalled(1, "q", 1), patchReturned(2, "q", PatchAccepted, 2), patchReturned(2, "p", PatchAccepted, 2)}, []Rule{RuleConfigPatches}},
		{"concurrent patches, none accepted", []Entry{patchCalled(1, "p", 1), patchCalled(1, "q", 1), patchReturned(2, "q", PatchStale, 1), patchReturned(2, "p", PatchStale, 1)}, []Rule{RuleConfigPatches}},
		{"patch of unknown outcome took effect", []Entry{patchCalled(1, "p", 1), patchReturned(2, "p", PatchUnknown, 0), patchCalled(3, "q", 2), patchReturned(4, "q", PatchAccepted, 3)}, nil},
		{"patch of unknown outcome took no effect", []Entry{patchCalled(1, "p", 1), patchReturned(2, "p", PatchUnknown, 0), patchCalled(3, "q", 1), patchReturned(4, "q", PatchAccepted, 2)}, nil},
		{"version skipped", []Entry{patchCalled(1, "p", 1), patchReturned(2, "p", PatchAccepted, 2), patchCalled(3, "q", 3), patchReturned(4, "q", PatchAccepted, 4)}, []Rule{RuleConfigPatches}},

		{"reads follow the accepted version", slices.Concat([]Entry{patchCalled(1, "p", 1), patchReturned(2, "p", PatchAccepted, 2)}, read(3, "m1", 1), read(4, "m1", 2), read(9, "m2", 2)), nil},
		{"member's version goes back", slices.Concat([]Entry{patchCalled(1, "p", 1), patchReturned(2, "p", PatchAccepted, 2)}, read(3, "m1", 2), read(4, "m1", 1)), []Rule{RuleConfigReads}},
		{"member is late to apply the accepted version", slices.Concat([]Entry{patchCalled(1, "p", 1), patchReturned(2, "p", PatchAccepted, 2)}, read(6, "m1", 1)), []Rule{RuleConfigReads}},
		{"member has a version before its patch was sent", slices.Concat(read(0, "m1", 2), []Entry{patchCalled(1, "p", 1), patchReturned(2, "p", PatchAccepted, 2)}), []Rule{RuleConfigReads}},
		{"linearizable read goes back", slices.Concat([]Entry{patchCalled(1, "p", 1), patchReturned(2, "p", PatchAccepted, 2)}, read(3, "", 1)), []Rule{RuleConfigPatches}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []Rule
			violations := Check(slices.Concat(workers, c.entries), bounds)
			for _, v := range violations {
				got = append(got, v.Rule)
			}
			if slices.Sort(got); !slices.Equal(slices.Compact(got), slices.Compact(c.want)) {
				t.Errorf("violations %v, want rules %v", violations, c.want)
			}
		})
	}
}

func TestRecordSurvivesEncoding(t *testing.T) {
	var file bytes.Buffer
	recorder := NewRecorderTo(&file)
	recorder.Add(added("w1", 1))
	recorder.Add(started(1, lease("w1", "a", 1)))
	recorder.Add(called(2, "1", "a"))
	decoded, err := Decode(&file)
	if err != nil || recorder.Err() != nil {
		t.Fatal(err, recorder.Err())
	}
	var want, got bytes.Buffer
	if err := Encode(&want, recorder.Entries()); err != nil {
		t.Fatal(err)
	}
	if err := Encode(&got, decoded); err != nil || got.String() != want.String() {
		t.Errorf("decoded history = %s, want %s (error %v)", got.String(), want.String(), err)
	}
	if _, err := Decode(strings.NewReader(want.String()[:want.Len()-5])); err == nil {
		t.Error("a truncated history was decoded without an error")
	}
}
