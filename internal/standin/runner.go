package standin

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/platform"
)

// errLost means that the worker VM has ended.
var errLost = errors.New("standin: worker lost")

// runner is the runner on one worker VM: the lease contract of docs/LEASES.md without a network.
// It checks neither capacity nor whether a task runs elsewhere.
type runner struct {
	worker    cell.Worker
	retention time.Duration
	recorder  *history.Recorder

	mu        sync.Mutex
	bootID    string
	epoch     cell.Epoch
	leases    map[cell.Attempt]*lease
	failTasks bool
	leaving   bool
	lost      bool
	frozen    bool
	thawed    chan struct{} // closed when a pause ends
	used      cell.Resources
	revision  uint64 // counts changes of leases
	forgotten uint64 // highest revision of a lease that was forgotten
}

// lease is the runner's record of one attempt. Its fields are guarded by the runner's mutex until done is closed.
type lease struct {
	attempt  cell.Attempt
	task     cell.Task // without payload
	payload  Payload
	phase    cell.LeasePhase
	revision uint64
	started  time.Time
	expires  time.Time
	ended    time.Time
	lapse    *time.Timer
	done     chan struct{} // closed once reply is set
	reply    platform.StartReply
}

func newRunner(w cell.Worker, retention time.Duration, recorder *history.Recorder) *runner {
	r := &runner{worker: w, retention: retention, recorder: recorder}
	r.reset()
	r.recordWorker(history.WorkerAdded)
	return r
}

// reset forgets everything, as a runner that boots does.
func (r *runner) reset() {
	r.bootID = newBootID()
	r.epoch = 0
	r.leases = make(map[cell.Attempt]*lease)
	r.used = cell.Resources{}
	r.revision = 0
	r.forgotten = 0
}

// newBootID returns an id that no other boot has, in this process or in another.
func newBootID() string {
	return rand.Text()
}

// lockAwake locks r once the VM is not paused, and ends the leases that lapsed meanwhile before anything else happens.
// On error r is not locked.
func (r *runner) lockAwake(ctx context.Context) error {
	for {
		r.mu.Lock()
		if !r.frozen {
			break
		}
		thawed := r.thawed
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-thawed:
		}
	}
	if r.lost {
		r.mu.Unlock()
		return errLost
	}
	r.expire(time.Now())
	return nil
}

// expire ends the leases that have lapsed and forgets those that ended before the retention time.
func (r *runner) expire(now time.Time) {
	for a, l := range r.leases {
		if l.phase == cell.LeaseRunning && !now.Before(l.expires) {
			r.end(l, l.expires, history.EndExpired, stoppedReply("lease lapsed"))
		}
		if l.phase != cell.LeaseRunning && now.Sub(l.ended) > r.retention {
			delete(r.leases, a)
			r.forgotten = max(r.forgotten, l.revision)
		}
	}
}

// claim is the contract's claim. It lists the leases that changed after the revision since.
func (r *runner) claim(ctx context.Context, c platform.WorkerClaim, since uint64) (ClaimReport, error) {
	if err := r.lockAwake(ctx); err != nil {
		return ClaimReport{}, err
	}
	defer r.mu.Unlock()
	if c.BootID != r.bootID {
		return ClaimReport{Report: platform.WorkerReport{Worker: r.worker.ID, BootID: r.bootID, Epoch: r.epoch}}, nil
	}
	if c.Epoch < r.epoch {
		return ClaimReport{}, platform.ErrFenced
	}
	r.epoch = c.Epoch
	now := time.Now()
	r.renewAll(now, c.TTL)
	return r.report(now, since), nil
}

func (r *runner) renewAll(now time.Time, ttl time.Duration) {
	for _, l := range r.leases {
		if l.phase == cell.LeaseRunning {
			l.renew(now, ttl)
		}
	}
}

// change gives the lease a new revision.
func (r *runner) change(l *lease) {
	r.revision++
	l.revision = r.revision
}

// start starts the attempt, or finds the one it knows. A nil lease comes with the refusal.
func (r *runner) start(ctx context.Context, boot string, a cell.Attempt, t cell.Task, ttl time.Duration) (*lease, platform.StartReply) {
	if err := r.lockAwake(ctx); err != nil {
		return nil, platform.StartReply{Result: platform.StartInDoubt, Detail: err.Error()}
	}
	defer r.mu.Unlock()
	if l, ok := r.leases[a]; ok {
		return l, platform.StartReply{}
	}
	if a.Epoch < r.epoch {
		return nil, platform.StartReply{Result: platform.StartFenced, Detail: "epoch superseded"}
	}
	if boot != r.bootID {
		return nil, platform.StartReply{Result: platform.StartRefused, Detail: "other boot"}
	}
	if a.Epoch != r.epoch {
		return nil, platform.StartReply{Result: platform.StartRefused, Detail: "epoch not claimed"}
	}
	return r.startNew(a, t, ttl), platform.StartReply{}
}

func (r *runner) startNew(a cell.Attempt, t cell.Task, ttl time.Duration) *lease {
	now := time.Now()
	l := &lease{attempt: a, task: t, payload: parsePayload(t.Payload), phase: cell.LeaseRunning, started: now, done: make(chan struct{})}
	l.task.Payload = nil
	l.expires = now.Add(ttl)
	l.lapse = time.AfterFunc(ttl, r.wake)
	r.leases[a] = l
	r.change(l)
	r.recordLease(history.KindLeaseStart, l, now, "")
	runTime, bounded := l.payload.runTime(t.Kind)
	switch {
	case r.failTasks:
		go r.finishAfter(l, 0)
	case bounded:
		go r.finishAfter(l, runTime)
	}
	return l
}

// finishAfter lets the task run to its end.
func (r *runner) finishAfter(l *lease, runTime time.Duration) {
	timer := time.NewTimer(runTime)
	defer timer.Stop()
	select {
	case <-l.done:
		return
	case <-timer.C:
	}
	if r.lockAwake(context.Background()) != nil {
		return
	}
	defer r.mu.Unlock()
	if l.phase != cell.LeaseRunning {
		return
	}
	cause := history.EndFinished
	reply := platform.StartReply{Result: platform.StartFinished, Answer: l.payload.answer(l.attempt, r.worker.ID)}
	if r.failTasks || l.payload.Fail {
		cause = history.EndFailed
		reply.Failed = true
	}
	r.end(l, time.Now(), cause, reply)
}

// wake lets lapsed leases end.
func (r *runner) wake() {
	if r.lockAwake(context.Background()) == nil {
		r.mu.Unlock()
	}
}

// stop is the contract's stop.
func (r *runner) stop(ctx context.Context, a cell.Attempt, epoch cell.Epoch) (cell.Lease, error) {
	if err := r.lockAwake(ctx); err != nil {
		return cell.Lease{}, err
	}
	defer r.mu.Unlock()
	if epoch < r.epoch {
		return cell.Lease{}, platform.ErrFenced
	}
	now := time.Now()
	l, ok := r.leases[a]
	if !ok {
		l = &lease{attempt: a, task: cell.Task{ID: a.Task}, phase: cell.LeaseTombstone, started: now, ended: now, done: make(chan struct{})}
		l.reply = platform.StartReply{Result: platform.StartRefused, Detail: "stopped before its start"}
		close(l.done)
		r.leases[a] = l
		r.change(l)
	}
	if l.phase == cell.LeaseRunning {
		r.end(l, now, history.EndStopped, stoppedReply("stopped"))
	}
	return r.describe(l, now), nil
}

// find returns the attempt's lease, or nil if the runner does not know it.
func (r *runner) find(ctx context.Context, a cell.Attempt) (*lease, error) {
	if err := r.lockAwake(ctx); err != nil {
		return nil, err
	}
	defer r.mu.Unlock()
	return r.leases[a], nil
}

// await waits for the lease's end and for a VM that is not paused.
func (r *runner) await(ctx context.Context, l *lease) platform.StartReply {
	select {
	case <-ctx.Done():
		return platform.StartReply{Result: platform.StartInDoubt, Detail: ctx.Err().Error()}
	case <-l.done:
	}
	if err := r.lockAwake(ctx); err != nil {
		return platform.StartReply{Result: platform.StartInDoubt, Detail: err.Error()}
	}
	r.mu.Unlock()
	return l.reply
}

// end ends a running lease at time at.
func (r *runner) end(l *lease, at time.Time, cause history.EndCause, reply platform.StartReply) {
	l.phase = cell.LeaseEnded
	l.ended = at
	l.reply = reply
	l.lapse.Stop()
	close(l.done)
	r.change(l)
	r.recordLease(history.KindLeaseEnd, l, at, cause)
}

func (l *lease) renew(now time.Time, ttl time.Duration) {
	l.expires = now.Add(ttl)
	l.lapse.Reset(ttl)
}

// stoppedReply is the reply of an attempt that ran and was ended before its own end.
func stoppedReply(detail string) platform.StartReply {
	return platform.StartReply{Result: platform.StartFinished, Failed: true, Detail: detail}
}

// startAndAwait starts the attempt and waits for its answer; for a service it waits for the start only.
func (r *runner) startAndAwait(ctx context.Context, boot string, a cell.Attempt, t cell.Task, ttl time.Duration) platform.StartReply {
	l, refusal := r.start(ctx, boot, a, t, ttl)
	if l == nil {
		return refusal
	}
	if l.task.Kind == cell.KindService && !l.hasEnded() {
		return platform.StartReply{Result: platform.StartAccepted}
	}
	return r.await(ctx, l)
}

// findAndAwait waits for the answer of an attempt that the runner knows. One that it does not know is refused, which
// tells nothing of whether it ran.
func (r *runner) findAndAwait(ctx context.Context, a cell.Attempt) platform.StartReply {
	l, err := r.find(ctx, a)
	if err != nil {
		return platform.StartReply{Result: platform.StartInDoubt, Detail: err.Error()}
	}
	if l == nil {
		return platform.StartReply{Result: platform.StartRefused, Detail: "attempt not known"}
	}
	return r.await(ctx, l)
}

func (l *lease) hasEnded() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}
