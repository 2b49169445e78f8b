package standin

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/platformapi"
)

// longTTL is a lease duration that no test reaches.
const longTTL = time.Hour

var testWorker = cell.Worker{ID: "w1", Zone: "z", Rack: "r", Pool: "p", Capacity: cell.Resources{MilliCPU: 1000, MemoryMiB: 100, Slots: 8}}

// claimWorker claims testWorker for the epoch and returns its boot id.
func claimWorker(t *testing.T, f *Fleet, epoch cell.Epoch) string {
	t.Helper()
	unclaimed, err := f.Claim(t.Context(), testWorker, platformapi.WorkerClaim{Epoch: epoch})
	if err != nil {
		t.Fatal(err)
	}
	report, err := f.Claim(t.Context(), testWorker, platformapi.WorkerClaim{Epoch: epoch, BootID: unclaimed.BootID, TTL: longTTL})
	if err != nil || !report.Claimed {
		t.Fatalf("claim: report %+v, error %v", report, err)
	}
	return report.BootID
}

func simulatedTask(id cell.TaskID, payload Payload) cell.Task {
	return cell.Task{ID: id, Kind: cell.KindRequest, Payload: payload.Encode(), Claim: cell.Resources{MilliCPU: 10, Slots: 1}}
}

func TestAnswerTellsWhoseItIs(t *testing.T) {
	f := NewFleet(FleetOptions{}, testWorker)
	bootID := claimWorker(t, f, 1)
	a := cell.Attempt{Task: "t1", Epoch: 1, Number: 2}
	reply := f.Start(t.Context(), testWorker, bootID, a, simulatedTask("t1", Payload{RunMS: 1, AnswerBytes: 7, Echo: "hello"}), longTTL)
	if reply.Result != platformapi.StartFinished || reply.Failed {
		t.Fatalf("reply = %+v", reply)
	}
	var answer Answer
	if err := json.Unmarshal(reply.Answer, &answer); err != nil {
		t.Fatal(err)
	}
	if want := (Answer{Attempt: a, Worker: "w1", Echo: "hello", Pad: "xxxxxxx"}); answer != want {
		t.Errorf("answer = %+v, want %+v", answer, want)
	}
}

func TestNetworkFaultsMapToWhatTheCallerCanKnow(t *testing.T) {
	cases := []struct {
		name   string
		faults WorkerFaults
		want   platformapi.StartResult
		starts int
	}{
		{"unreachable", WorkerFaults{Unreachable: true}, platformapi.StartNotSent, 0},
		{"unreachable from this member", WorkerFaults{UnreachableFrom: []cell.MemberID{"m1"}}, platformapi.StartNotSent, 0},
		{"unreachable from another member", WorkerFaults{UnreachableFrom: []cell.MemberID{"m2"}}, platformapi.StartFinished, 1},
		{"unresponsive", WorkerFaults{Unresponsive: true}, platformapi.StartInDoubt, 0},
		{"answer dropped", WorkerFaults{DropAnswers: true}, platformapi.StartInDoubt, 1},
		{"answer truncated", WorkerFaults{TruncateAnswers: true}, platformapi.StartInDoubt, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFleet(FleetOptions{}, testWorker)
			bootID := claimWorker(t, f, 1)
			f.SetFaults("w1", c.faults)
			ctx := t.Context()
			if c.faults.Unresponsive {
				short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				defer cancel()
				ctx = short
			}
			reply := f.RunnerFor("m1").Start(ctx, testWorker, bootID, cell.Attempt{Task: "t", Epoch: 1, Number: 1}, simulatedTask("t", Payload{RunMS: 1}), longTTL)
			if reply.Result != c.want {
				t.Errorf("reply = %+v, want result %v", reply, c.want)
			}
			if got := countEntries(f, history.KindLeaseStart); got != c.starts {
				t.Errorf("history has %d lease starts, want %d", got, c.starts)
			}
		})
	}
}

func TestVMListLags(t *testing.T) {
	f := NewFleet(FleetOptions{ListLag: time.Hour}, testWorker)
	f.MarkLeaving("w1")
	f.Crash("w1")
	workers, err := f.Workers(t.Context())
	if err != nil || len(workers) != 1 || workers[0].State != cell.WorkerLive {
		t.Fatalf("list within the lag: %+v, error %v, want the worker still live", workers, err)
	}
	f.VMList().SetLag(0)
	if workers, err = f.Workers(t.Context()); err != nil || len(workers) != 0 {
		t.Fatalf("list after the lag: %+v, error %v, want no worker", workers, err)
	}
}

// countEntries returns the number of entries of this kind in the fleet's history.
func countEntries(f *Fleet, kind history.EntryKind) int {
	n := 0
	for _, e := range f.History() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
