package load

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/client"
	"laburnumpoint/internal/history"
)

func testPlan() Plan {
	return Plan{
		Seed:               7,
		Rate:               10_000,
		Duration:           50 * time.Millisecond,
		Mix:                []MixEntry{{Class: cell.ClassUrgent, Team: "a", Weight: 1}, {Class: cell.ClassNormal, Team: "b", Weight: 3}},
		RunMin:             time.Millisecond,
		RunMax:             5 * time.Millisecond,
		NonIdempotentShare: 0.2,
		Timeout:            time.Second,
	}
}

// fakeClient answers each request with the result of answer, which gets the number of calls so far and the payload.
type fakeClient struct {
	mu     sync.Mutex
	calls  int
	answer func(n int, p payload) client.Outcome
}

func (e *fakeClient) Run(_ context.Context, r client.Request) client.Outcome {
	var p payload
	_ = json.Unmarshal([]byte(r.Task.Payload), &p)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	return e.answer(e.calls, p)
}

func completed(echo string) client.Outcome {
	data, _ := json.Marshal(history.Answer{Echo: echo})
	o := client.Outcome{Tries: 1}
	o.Result = cell.ResultCompleted
	o.Answer.Answer = data
	return o
}

func TestPlanIsTheSameForOneSeed(t *testing.T) {
	p := testPlan()
	first, again := p.calls(), p.calls()
	if len(first) < 400 || len(first) > 600 || !slices.Equal(first, again) {
		t.Fatalf("%d calls, then %d calls of the same plan; want two equal lists of 400 to 600 calls", len(first), len(again))
	}
	p.Seed++
	if slices.Equal(first, p.calls()) {
		t.Error("seeds 7 and 8 give the same calls")
	}
	urgent, nonIdempotent := 0, 0
	for _, c := range first {
		if c.entry.Class == cell.ClassUrgent {
			urgent++
		}
		if !c.idempotent {
			nonIdempotent++
			if !c.hasRequestID {
				t.Fatalf("call %d is non-idempotent and carries no request id", c.index)
			}
		}
	}
	if n := len(first); urgent < n/6 || urgent > n/3 || nonIdempotent < n/8 || nonIdempotent > n/3 {
		t.Errorf("%d urgent and %d non-idempotent of %d calls, want about 1/4 and 1/5", urgent, nonIdempotent, n)
	}
}

func TestReportCountsWhatCallersWereTold(t *testing.T) {
	p := testPlan()
	total := len(p.calls())
	recorder := history.NewRecorder()
	fake := &fakeClient{answer: func(n int, p payload) client.Outcome {
		switch n {
		case 1:
			return completed("another's")
		case 2:
			o := client.Outcome{Tries: 3}
			o.Result, o.Reason.Code = cell.ResultUnknown, cell.ReasonInDoubt
			return o
		default:
			return completed(p.Echo)
		}
	}}
	r := Run(context.Background(), p, Options{Client: fake, Caller: "c", KeyPrefix: "k", MaxInFlight: total, Recorder: recorder})
	if r.Results[cell.ResultCompleted] != total-1 || r.Results[cell.ResultUnknown] != 1 || r.Reasons[cell.ReasonInDoubt] != 1 {
		t.Errorf("results %v, reasons %v of %d calls", r.Results, r.Reasons, total)
	}
	if len(r.Examples) != 1 || r.Examples[0].Tries != 3 {
		t.Errorf("examples %+v, want only the call with 3 tries", r.Examples)
	}
	if r.WrongAnswers != 1 || r.Resent != 1 || r.Skipped != 0 {
		t.Errorf("wrong answers %d, resent %d, skipped %d; want 1, 1, 0", r.WrongAnswers, r.Resent, r.Skipped)
	}
	if n := len(recorder.Entries()); n != 2*total {
		t.Errorf("%d history entries recorded for %d calls, want two for each", n, total)
	}
}

func TestCallsInFlightAreBounded(t *testing.T) {
	p := testPlan()
	total := len(p.calls())
	release := make(chan struct{})
	fake := &fakeClient{}
	fake.answer = func(_ int, p payload) client.Outcome {
		<-release
		return completed(p.Echo)
	}
	done := make(chan Report)
	go func() {
		done <- Run(context.Background(), p, Options{Client: fake, Caller: "c", KeyPrefix: "k", MaxInFlight: 3})
	}()
	time.Sleep(2 * p.Duration) // past the last planned call; no call has been answered yet
	close(release)
	if r := <-done; r.Skipped != total-3 || r.Results[cell.ResultCompleted] != 3 {
		t.Errorf("skipped %d, results %v of %d calls; want 3 completed and the others skipped", r.Skipped, r.Results, total)
	}
}

func TestSpread(t *testing.T) {
	var times []time.Duration
	for i := 200; i > 0; i-- {
		times = append(times, time.Duration(i))
	}
	if s := SummarizeDurations(times); s.P50 != 100 || s.P99 != 198 || s.Max != 200 || s.Count != 200 {
		t.Errorf("summary of 1 to 200: %+v", s)
	}
	if s := SummarizeDurations(nil); s != (DurationSummary{}) {
		t.Errorf("summary of no durations: %+v", s)
	}
}
