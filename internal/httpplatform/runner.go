package httpplatform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// Defaults of RunnerOptions.
const (
	// DefaultControlTimeout bounds a claim or stop.
	DefaultControlTimeout = 2 * time.Second
	// DefaultWorkConns bounds the connections of one process to one runner for starts and awaits.
	// Each task in flight uses one, and a runner has 8 slots.
	DefaultWorkConns = 10
	// DefaultControlConns bounds the connections of one process to one runner for claims and stops.
	DefaultControlConns = 2
	// DefaultMaxAnswerBytes bounds one task's answer.
	DefaultMaxAnswerBytes = 16 << 20
	// maxReportBytes bounds a worker's report.
	maxReportBytes = 8 << 20
	// hostIdleTime is how long a runner that is not called is remembered.
	hostIdleTime = 10 * time.Minute
)

// RunnerOptions sets up Runners. Zero fields take the defaults.
type RunnerOptions struct {
	// Member names this process in its calls.
	Member cell.MemberID
	// ControlTimeout bounds a claim or stop. Starts and awaits are bounded by their context.
	ControlTimeout time.Duration
	// WorkConns bounds the connections to one runner for starts and awaits.
	WorkConns int
	// ControlConns bounds the connections to one runner for claims and stops, so that work never delays them.
	ControlConns int
	// MaxAnswerBytes bounds one task's answer; a longer one is in doubt.
	MaxAnswerBytes int64
}

// RunnerClient reaches the runners on worker VMs. It implements platform.Runner.
type RunnerClient struct {
	options        RunnerOptions
	controlTraffic *trafficCounters
	workTraffic    *trafficCounters

	mu    sync.Mutex
	hosts map[string]*runnerHost
}

var _ platform.RunnerClient = (*RunnerClient)(nil)

// runnerHost holds the connections to one runner, and what it reported.
type runnerHost struct {
	used    time.Time // guarded by the mutex of Runners
	leases  leaseCache
	control *endpoint
	work    *endpoint
}

// NewRunnerClient returns a client of runners. It connects when it is used.
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
		controlTraffic: newTrafficCounters(serviceRunnerControl),
		workTraffic:    newTrafficCounters(serviceRunnerWork),
		hosts:          make(map[string]*runnerHost),
	}
}

// Close closes every idle connection.
func (r *RunnerClient) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, host := range r.hosts {
		host.close()
	}
}

// Claim implements platform.Runner. Ended leases are reported without their task's description.
func (r *RunnerClient) Claim(ctx context.Context, w cell.Worker, c platform.WorkerClaim) (platform.WorkerReport, error) {
	leases := &r.host(w).leases
	var reply ClaimReply
	err := r.control(ctx, w, PathClaim, ClaimRequest{WorkerClaim: c, Since: leases.since(c.BootID)}, &reply)
	if err == nil && reply.Worker != w.ID {
		err = fmt.Errorf("%w: worker %s answers at the address of %s", platform.ErrUnreachable, reply.Worker, w.ID)
	}
	countCall("runner_claim", resultLabel(err))
	switch {
	case err != nil:
		return platform.WorkerReport{}, err
	case !reply.Claimed:
		return reply.report(), nil
	default:
		return leases.merge(reply, time.Now()), nil
	}
}

// Stop implements platform.Runner.
func (r *RunnerClient) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, mode platform.StopMode) (cell.Lease, error) {
	var lease cell.Lease
	err := r.control(ctx, w, PathStop, StopRequest{Attempt: a, Epoch: epoch, Mode: mode}, &lease)
	if err == nil && (lease.Attempt != a || lease.Worker != w.ID) {
		err = fmt.Errorf("%w: answer to another stop", platform.ErrUnreachable)
	}
	countCall("runner_stop", resultLabel(err))
	if err != nil {
		return cell.Lease{}, err
	}
	return lease, nil
}

// Start implements platform.Runner.
func (r *RunnerClient) Start(ctx context.Context, w cell.Worker, boot string, a cell.Attempt, t cell.Task, ttl time.Duration) platform.StartReply {
	reply := r.answer(ctx, w, PathStart, StartRequest{BootID: boot, Attempt: a, Task: t, TTL: ttl}, a)
	countCall("runner_start", startLabel(reply.Result))
	return reply
}

// Await implements platform.Runner.
func (r *RunnerClient) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platform.StartReply {
	reply := r.answer(ctx, w, PathAwait, AwaitRequest{Attempt: a}, a)
	countCall("runner_await", startLabel(reply.Result))
	return reply
}

// control makes a call that is answered at once. Its errors are platform.ErrFenced and platform.ErrUnreachable.
func (r *RunnerClient) control(ctx context.Context, w cell.Worker, path string, message, result any) error {
	host := r.host(w)
	status, body, err := r.controlRoundTrip(ctx, host, path, message)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnreachable, err)
	}
	if status == http.StatusConflict && errorCode(body) == CodeFenced {
		return platform.ErrFenced
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: status %d", platform.ErrUnreachable, status)
	}
	if err := decode(body, result); err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnreachable, err)
	}
	return nil
}

func (r *RunnerClient) controlRoundTrip(ctx context.Context, host *runnerHost, path string, message any) (status int, body []byte, err error) {
	req, err := r.newPost(ctx, host.control, path, message)
	if err != nil {
		return 0, nil, err
	}
	resp, c, err := host.control.send(req, r.options.ControlTimeout)
	if err == nil {
		status = resp.StatusCode
		body, err = readWhole(resp, maxReportBytes)
	}
	c.finish(err)
	if isTimeout(err) && c.connected.Load() {
		host.work.distrustAll()
	}
	return status, body, err
}

// answer makes a call that is answered at the attempt's end.
func (r *RunnerClient) answer(ctx context.Context, w cell.Worker, path string, message any, a cell.Attempt) platform.StartReply {
	host := r.host(w)
	req, err := r.newPost(ctx, host.work, path, message)
	if err != nil {
		return platform.StartReply{Result: platform.StartNotSent, Detail: err.Error()}
	}
	resp, c, err := host.work.send(req, 0)
	var body []byte
	if err == nil {
		body, err = readWhole(resp, r.options.MaxAnswerBytes)
	}
	c.finish(err)
	switch {
	case err == nil:
		return startReply(resp, body, a)
	case c.connected.Load():
		return platform.StartReply{Result: platform.StartInDoubt, Detail: err.Error()}
	default:
		return platform.StartReply{Result: platform.StartNotSent, Detail: err.Error()}
	}
}

func (r *RunnerClient) newPost(ctx context.Context, e *endpoint, path string, message any) (*http.Request, error) {
	req, err := newRequest(ctx, http.MethodPost, e.base+path, message)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderMember, string(r.options.Member))
	return req, nil
}

// startReply reads a whole answer. One that is not marked as this attempt's tells nothing of it.
// A runner without a free connection reads nothing of the request, which is then as good as not sent.
func startReply(resp *http.Response, body []byte, a cell.Attempt) platform.StartReply {
	detail := resp.Header.Get(HeaderDetail)
	if resp.StatusCode == http.StatusServiceUnavailable && errorCode(body) == CodeBusy {
		return platform.StartReply{Result: platform.StartNotSent, Detail: "runner has no free connection"}
	}
	if resp.StatusCode != http.StatusOK {
		return platform.StartReply{Result: platform.StartInDoubt, Detail: fmt.Sprintf("status %d", resp.StatusCode)}
	}
	if got := resp.Header.Get(HeaderAttempt); got != FormatAttempt(a) {
		return platform.StartReply{Result: platform.StartInDoubt, Detail: fmt.Sprintf("answer of another attempt, %q", got)}
	}
	switch result := resp.Header.Get(HeaderResult); result {
	case ResultFinished:
		failed := resp.Header.Get(HeaderFailed) == "true"
		return platform.StartReply{Result: platform.StartFinished, Failed: failed, Answer: body, Detail: detail}
	case ResultAccepted:
		return platform.StartReply{Result: platform.StartAccepted}
	case ResultRefused:
		return platform.StartReply{Result: platform.StartRefused, Detail: detail}
	case ResultFenced:
		return platform.StartReply{Result: platform.StartFenced, Detail: detail}
	default:
		return platform.StartReply{Result: platform.StartInDoubt, Detail: fmt.Sprintf("unknown result %q", result)}
	}
}

func (r *RunnerClient) host(w cell.Worker) *runnerHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	host, ok := r.hosts[w.Addr]
	if !ok {
		r.evict(now.Add(-hostIdleTime))
		host = &runnerHost{
			control: newEndpoint(w.Addr, r.options.ControlConns, r.controlTraffic),
			work:    newEndpoint(w.Addr, r.options.WorkConns, r.workTraffic),
		}
		r.hosts[w.Addr] = host
	}
	host.used = now
	return host
}

// evict drops the runners that were last called before the given time, such as those of workers that have ended.
func (r *RunnerClient) evict(before time.Time) {
	for addr, host := range r.hosts {
		if host.used.Before(before) {
			host.close()
			delete(r.hosts, addr)
		}
	}
}

func (h *runnerHost) close() {
	h.control.close()
	h.work.close()
}

func startLabel(result platform.StartResult) string {
	switch result {
	case platform.StartFinished:
		return "finished"
	case platform.StartAccepted:
		return "accepted"
	case platform.StartRefused:
		return "refused"
	case platform.StartFenced:
		return "fenced"
	case platform.StartNotSent:
		return "not_sent"
	case platform.StartInDoubt:
		return "in_doubt"
	default:
		panic(errors.New("httpplatform: unknown start result"))
	}
}
