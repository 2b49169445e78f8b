package standin

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/platform"
)

// longTTL is a lease duration that no test reaches.
const longTTL = time.Hour

var worker = cell.Worker{ID: "w1", Zone: "z", Rack: "r", Pool: "p", Capacity: cell.Resources{MilliCPU: 1000, MemoryMiB: 100, Slots: 8}}

func claimed(t *testing.T, f *Fleet, epoch cell.Epoch) string {
	t.Helper()
	asked, err := f.Claim(t.Context(), worker, platform.WorkerClaim{Epoch: epoch})
	if err != nil {
		t.Fatal(err)
	}
	report, err := f.Claim(t.Context(), worker, platform.WorkerClaim{Epoch: epoch, BootID: asked.BootID, TTL: longTTL})
	if err != nil || !report.Claimed {
		t.Fatalf("claim = %+v, %v", report, err)
	}
	return report.BootID
}

func task(id cell.TaskID, p Payload) cell.Task {
	return cell.Task{ID: id, Kind: cell.KindRequest, Payload: p.Encode(), Claim: cell.Resources{MilliCPU: 10, Slots: 1}}
}

func TestAnswerTellsWhoseItIs(t *testing.T) {
	f := NewFleet(FleetOptions{}, worker)
	boot := claimed(t, f, 1)
	a := cell.Attempt{Task: "t1", Epoch: 1, Number: 2}
	reply := f.Start(t.Context(), worker, boot, a, task("t1", Payload{RunMS: 1, AnswerBytes: 7, Echo: "hello"}), longTTL)
	if reply.Result != platform.StartFinished || reply.Failed {
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
		want   platform.StartResult
		starts int
	}{
		{"unreachable", WorkerFaults{Unreachable: true}, platform.StartNotSent, 0},
		{"unreachable from this member", WorkerFaults{UnreachableFrom: []cell.MemberID{"m1"}}, platform.StartNotSent, 0},
		{"unreachable from another member", WorkerFaults{UnreachableFrom: []cell.MemberID{"m2"}}, platform.StartFinished, 1},
		{"silent", WorkerFaults{Silent: true}, platform.StartInDoubt, 0},
		{"answer dropped", WorkerFaults{DropAnswers: true}, platform.StartInDoubt, 1},
		{"answer cut", WorkerFaults{CutAnswers: true}, platform.StartInDoubt, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFleet(FleetOptions{}, worker)
			boot := claimed(t, f, 1)
			f.SetFaults("w1", c.faults)
			ctx := t.Context()
			if c.faults.Silent {
				short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				defer cancel()
				ctx = short
			}
			reply := f.As("m1").Start(ctx, worker, boot, cell.Attempt{Task: "t", Epoch: 1, Number: 1}, task("t", Payload{RunMS: 1}), longTTL)
			if reply.Result != c.want {
				t.Errorf("reply = %+v, want result %v", reply, c.want)
			}
			if got := count(f, history.KindLeaseStart); got != c.starts {
				t.Errorf("%d starts recorded, want %d", got, c.starts)
			}
		})
	}
}

func TestVMListLags(t *testing.T) {
	f := NewFleet(FleetOptions{ListLag: time.Hour}, worker)
	f.Leave("w1")
	f.Crash("w1")
	workers, err := f.Workers(t.Context())
	if err != nil || len(workers) != 1 || workers[0].State != cell.WorkerLive {
		t.Fatalf("within the lag: %+v, %v", workers, err)
	}
	f.VMList().SetLag(0)
	if workers, err = f.Workers(t.Context()); err != nil || len(workers) != 0 {
		t.Fatalf("after the lag: %+v, %v", workers, err)
	}
}

func count(f *Fleet, kind history.EntryKind) int {
	n := 0
	for _, e := range f.History() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
