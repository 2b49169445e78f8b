package load

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/client"
	"laburnumpoint/internal/history"
)

// Client runs one request. *client.Client is one.
type Client interface {
	Run(ctx context.Context, r client.Request) client.Outcome
}

// Options configures how a plan is run.
type Options struct {
	Client Client
	// Caller is the caller name that Client sends with its requests.
	Caller string
	// KeyPrefix is the prefix of every request's key, so that two runs of the same plan don't share keys.
	KeyPrefix string
	// MaxInFlight is the maximum number of calls that wait for an answer at once. Further calls are skipped.
	MaxInFlight int
	// Recorder records every call and its return; nil records nothing.
	Recorder *history.Recorder
}

// payload is the payload of the stand-in's simulated tasks.
type payload struct {
	RunMS       int64  `json:"run_ms"`
	AnswerBytes int    `json:"answer_bytes,omitempty"`
	Echo        string `json:"echo"`
}

// planRun is one run of a plan.
type planRun struct {
	plan     Plan
	opts     Options
	inFlight chan struct{}
	calls    sync.WaitGroup

	mu     sync.Mutex
	report Report
}

// Run sends the plan's calls and returns the report once all of them are answered. After ctx ends it sends no further
// calls.
func Run(ctx context.Context, p Plan, opts Options) Report {
	r := &planRun{plan: p, opts: opts, inFlight: make(chan struct{}, opts.MaxInFlight), report: newReport()}
	start := time.Now()
	for _, c := range p.calls() {
		if !waitUntil(ctx, start.Add(c.sendAt)) {
			break
		}
		r.startCall(ctx, c)
	}
	r.calls.Wait()
	r.report.Elapsed = time.Since(start)
	return r.report
}

// waitUntil waits until the time at and reports whether it came before ctx ended.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startCall sends c in a goroutine of its own, or counts it as skipped if MaxInFlight calls are in flight.
func (r *planRun) startCall(ctx context.Context, c call) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.mu.Lock()
		r.report.Skipped++
		r.mu.Unlock()
		return
	}
	r.calls.Go(func() {
		defer func() { <-r.inFlight }()
		r.runCall(ctx, c)
	})
}

// runCall sends c and waits for its outcome, even after ctx ends.
func (r *planRun) runCall(ctx context.Context, c call) {
	key := fmt.Sprintf("%s-%d", r.opts.KeyPrefix, c.index)
	req := r.newRequest(c, key)
	r.recordCall(c, key)
	start := time.Now()
	outcome := r.opts.Client.Run(context.WithoutCancel(ctx), req)
	responseTime := time.Since(start)
	r.recordReturn(key, outcome)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(c.entry.Class, outcome, responseTime, hasWrongAnswer(outcome, key, r.plan.AnswerBytes))
}

func (r *planRun) newRequest(c call, key string) client.Request {
	data, err := json.Marshal(payload{RunMS: c.runTime.Milliseconds(), AnswerBytes: r.plan.AnswerBytes, Echo: key})
	if err != nil {
		panic(fmt.Sprintf("load: encode payload of a simulated task: %v", err))
	}
	req := client.Request{
		Timeout: r.plan.Timeout,
		Task: api.TaskSpec{
			Team:           c.entry.Team,
			Class:          c.entry.Class,
			Pool:           c.entry.Pool,
			Claim:          r.plan.Claim,
			Idempotent:     &c.idempotent,
			Stoppable:      r.plan.Stoppable && c.entry.Class != cell.ClassUrgent,
			EstimatedRunMS: c.runTime.Milliseconds(),
			Payload:        string(data),
		},
	}
	if c.hasRequestID {
		req.ID, req.FirstSend = key, true
	}
	return req
}

// hasWrongAnswer reports whether a completed call received anything other than its own complete answer.
func hasWrongAnswer(o client.Outcome, key string, bytes int) bool {
	if o.Result != cell.ResultCompleted {
		return false
	}
	var a history.Answer
	err := json.Unmarshal(o.Answer.Answer, &a)
	return err != nil || a.Echo != key || len(a.Pad) != bytes
}

func (r *planRun) recordCall(c call, key string) {
	if r.opts.Recorder == nil {
		return
	}
	entry := &history.Call{Key: key, Idempotent: c.idempotent, Echo: key, AnswerBytes: r.plan.AnswerBytes}
	if c.hasRequestID {
		entry.Task = api.RequestTaskID(r.opts.Caller, key)
	}
	r.opts.Recorder.Add(history.Entry{Kind: history.KindCall, OpID: key, Call: entry})
}

func (r *planRun) recordReturn(key string, o client.Outcome) {
	if r.opts.Recorder == nil {
		return
	}
	r.opts.Recorder.Add(history.Entry{Kind: history.KindReturn, OpID: key, Return: &history.Return{
		Result: o.Result,
		Task:   o.Task,
		Answer: o.Answer.Answer,
	}})
}
