package httpplatform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// Defaults of RunnerOptions, and other limits.
const (
	// DefaultControlTimeout is the time limit for a claim or stop.
	DefaultControlTimeout = 2 * time.Second
	// DefaultWorkConns is the maximum number of connections of one process to one runner for starts and awaits.
	// Each task in flight uses one, and a runner has 8 slots.
	DefaultWorkConns = 10
	// DefaultControlConns is the maximum number of connections of one process to one runner for claims and stops.
	DefaultControlConns = 2
	// DefaultMaxAnswerBytes is the maximum length of a task's answer.
	DefaultMaxAnswerBytes = 16 << 20
	// maxReportBytes is the maximum length of the answer to a claim or stop.
	maxReportBytes = 8 << 20
	// runnerIdleTime is how long the state of a runner is kept that is not called.
	runnerIdleTime = 10 * time.Minute
)

// RunnerOptions are the options of a RunnerClient. Zero fields take the defaults.
type RunnerOptions struct {
	// Member is the id that this process sends with its calls.
	Member cell.MemberID
	// ControlTimeout is the time limit for a claim or stop. Starts and awaits are limited by their context only.
	ControlTimeout time.Duration
	// WorkConns is the maximum number of connections to one runner for starts and awaits.
	WorkConns int
	// ControlConns is the maximum number of connections to one runner for claims and stops. They are separate, so that
	// starts and awaits never delay claims and stops.
	ControlConns int
	// MaxAnswerBytes is the maximum length of a task's answer. A start or await with a longer answer is in doubt.
	MaxAnswerBytes int64
}

// RunnerClient calls the runners on worker VMs. It implements platformapi.RunnerClient.
type RunnerClient struct {
	options        RunnerOptions
	controlTraffic *byteCounters
	workTraffic    *byteCounters

	mu      sync.Mutex
	runners map[string]*runnerState
}

var _ platformapi.RunnerClient = (*RunnerClient)(nil)

// runnerState holds the connections to one runner and the leases that it reported.
type runnerState struct {
	lastCalled time.Time // guarded by RunnerClient.mu
	leases     leaseCache
	control    *endpoint
	work       *endpoint
}

// NewRunnerClient returns a client of runners. It connects to a runner on the first call.
func NewRunnerClient(options RunnerOptions) *RunnerClient {
	if options.ControlTimeout <= 0 {
		options.ControlTimeout = DefaultControlTimeout
	}
	if options.WorkConns <= 0 {
		options.WorkConns = DefaultWorkConns
	}
	if options.ControlConns <= 0 {
		options.ControlConns = DefaultControlConns
	}
	if options.MaxAnswerBytes <= 0 {
		options.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	return &RunnerClient{
		options:        options,
		controlTraffic: newByteCounters(serviceRunnerControl),
		workTraffic:    newByteCounters(serviceRunnerWork),
		runners:        make(map[string]*runnerState),
	}
}

// Close closes every idle connection.
func (r *RunnerClient) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runner := range r.runners {
		runner.close()
	}
}

// Claim implements platformapi.RunnerClient. The task of an ended lease has its id only.
func (r *RunnerClient) Claim(ctx context.Context, w cell.Worker, c platformapi.WorkerClaim) (platformapi.WorkerReport, error) {
	leases := &r.runnerState(w).leases
	var reply ClaimReply
	err := r.callControl(ctx, w, PathClaim, ClaimRequest{WorkerClaim: c, Since: leases.knownRevision(c.BootID)}, &reply)
	if err == nil && reply.Worker != w.ID {
		err = fmt.Errorf("%w: worker %s answered at the address of worker %s", platformapi.ErrUnreachable, reply.Worker, w.ID)
	}
	countCall("runner_claim", resultLabel(err))
	switch {
	case err != nil:
		return platformapi.WorkerReport{}, err
	case !reply.Claimed:
		return reply.report(), nil
	default:
		return leases.merge(reply, time.Now()), nil
	}
}

// Stop implements platformapi.RunnerClient.
func (r *RunnerClient) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, mode platformapi.StopMode) (cell.Lease, error) {
	var lease cell.Lease
	err := r.callControl(ctx, w, PathStop, StopRequest{Attempt: a, Epoch: epoch, Mode: mode}, &lease)
	if err == nil && (lease.Attempt != a || lease.Worker != w.ID) {
		err = fmt.Errorf("%w: answer to a stop of another attempt or worker", platformapi.ErrUnreachable)
	}
	countCall("runner_stop", resultLabel(err))
	if err != nil {
		return cell.Lease{}, err
	}
	return lease, nil
}

// Start implements platformapi.RunnerClient.
func (r *RunnerClient) Start(ctx context.Context, w cell.Worker, bootID string, a cell.Attempt, t cell.Task, ttl time.Duration) platformapi.StartReply {
	reply := r.callWork(ctx, w, PathStart, StartRequest{BootID: bootID, Attempt: a, Task: t, TTL: ttl}, a)
	countCall("runner_start", startResultLabel(reply.Result))
	return reply
}

// Await implements platformapi.RunnerClient.
func (r *RunnerClient) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platformapi.StartReply {
	reply := r.callWork(ctx, w, PathAwait, AwaitRequest{Attempt: a}, a)
	countCall("runner_await", startResultLabel(reply.Result))
	return reply
}

// callControl makes a claim or stop, which runners answer at once. Its errors are platformapi.ErrFenced and
// platformapi.ErrUnreachable.
func (r *RunnerClient) callControl(ctx context.Context, w cell.Worker, path string, message, result any) error {
	runner := r.runnerState(w)
	status, body, err := r.controlRoundTrip(ctx, runner, path, message)
	if err != nil {
		return fmt.Errorf("%w: %w", platformapi.ErrUnreachable, err)
	}
	if status == http.StatusConflict && errorCode(body) == CodeFenced {
		return platformapi.ErrFenced
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: answer has status %d", platformapi.ErrUnreachable, status)
	}
	if err := decodeJSON(body, result); err != nil {
		return fmt.Errorf("%w: %w", platformapi.ErrUnreachable, err)
	}
	return nil
}

func (r *RunnerClient) controlRoundTrip(ctx context.Context, runner *runnerState, path string, message any) (status int, body []byte, err error) {
	req, err := r.newPost(ctx, runner.control, path, message)
	if err != nil {
		return 0, nil, err
	}
	resp, c, err := runner.control.send(req, r.options.ControlTimeout)
	if err == nil {
		status = resp.StatusCode
		body, err = readBody(resp, maxReportBytes)
	}
	c.finish(err)
	if isTimeout(err) && c.connected.Load() {
		runner.work.replaceCurrentTransport()
	}
	return status, body, err
}

// callWork makes a start or await, which runners answer when the attempt ends or its service runs.
func (r *RunnerClient) callWork(ctx context.Context, w cell.Worker, path string, message any, a cell.Attempt) platformapi.StartReply {
	runner := r.runnerState(w)
	req, err := r.newPost(ctx, runner.work, path, message)
	if err != nil {
		return platformapi.StartReply{Result: platformapi.StartNotSent, Detail: err.Error()}
	}
	resp, c, err := runner.work.send(req, 0)
	var body []byte
	if err == nil {
		body, err = readBody(resp, r.options.MaxAnswerBytes)
	}
	c.finish(err)
	switch {
	case err == nil:
		return startReply(resp, body, a)
	case c.connected.Load():
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: err.Error()}
	default:
		return platformapi.StartReply{Result: platformapi.StartNotSent, Detail: err.Error()}
	}
}

func (r *RunnerClient) newPost(ctx context.Context, e *endpoint, path string, message any) (*http.Request, error) {
	req, err := newRequest(ctx, http.MethodPost, e.baseURL+path, message)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderMember, string(r.options.Member))
	return req, nil
}

// startReply returns the outcome that a complete answer reports. An answer without the attempt's HeaderAttempt does not
// show whether the attempt runs, so that the start is in doubt. A runner without a free connection does not read the
// request, which therefore counts as not sent.
func startReply(resp *http.Response, body []byte, a cell.Attempt) platformapi.StartReply {
	detail := resp.Header.Get(HeaderDetail)
	if resp.StatusCode == http.StatusServiceUnavailable && errorCode(body) == CodeBusy {
		return platformapi.StartReply{Result: platformapi.StartNotSent, Detail: "runner has no free connection"}
	}
	if resp.StatusCode != http.StatusOK {
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: fmt.Sprintf("answer has status %d", resp.StatusCode)}
	}
	if got := resp.Header.Get(HeaderAttempt); got != FormatAttempt(a) {
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: fmt.Sprintf("answer belongs to another attempt: %q", got)}
	}
	switch result := resp.Header.Get(HeaderResult); result {
	case ResultFinished:
		failed := resp.Header.Get(HeaderFailed) == "true"
		return platformapi.StartReply{Result: platformapi.StartFinished, Failed: failed, Answer: body, Detail: detail}
	case ResultAccepted:
		return platformapi.StartReply{Result: platformapi.StartAccepted}
	case ResultRefused:
		return platformapi.StartReply{Result: platformapi.StartRefused, Detail: detail}
	case ResultFenced:
		return platformapi.StartReply{Result: platformapi.StartFenced, Detail: detail}
	default:
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: fmt.Sprintf("answer has unknown result %q", result)}
	}
}

func (r *RunnerClient) runnerState(w cell.Worker) *runnerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	runner, ok := r.runners[w.Addr]
	if !ok {
		r.evictIdle(now.Add(-runnerIdleTime))
		runner = &runnerState{
			control: newEndpoint(w.Addr, r.options.ControlConns, r.controlTraffic),
			work:    newEndpoint(w.Addr, r.options.WorkConns, r.workTraffic),
		}
		r.runners[w.Addr] = runner
	}
	runner.lastCalled = now
	return runner
}

// evictIdle drops the state of runners last called before the given time, such as those of workers that have ended.
func (r *RunnerClient) evictIdle(before time.Time) {
	for addr, runner := range r.runners {
		if runner.lastCalled.Before(before) {
			runner.close()
			delete(r.runners, addr)
		}
	}
}

func (s *runnerState) close() {
	s.control.close()
	s.work.close()
}

func startResultLabel(result platformapi.StartResult) string {
	switch result {
	case platformapi.StartFinished:
		return "finished"
	case platformapi.StartAccepted:
		return "accepted"
	case platformapi.StartRefused:
		return "refused"
	case platformapi.StartFenced:
		return "fenced"
	case platformapi.StartNotSent:
		return "not_sent"
	case platformapi.StartInDoubt:
		return "in_doubt"
	default:
		panic(errors.New("httpplatform: unknown start result"))
	}
}
