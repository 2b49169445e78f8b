package standin

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/platformapi"
)

// errWorkerLost means that the worker VM or its runner has ended.
var errWorkerLost = errors.New("standin: the worker VM or its runner has ended")

// runner simulates the runner on one worker VM. It follows the lease contract of docs/LEASES.md, without a network.
// It checks neither the worker's capacity nor whether a task runs elsewhere.
type runner struct {
	worker    cell.Worker
	retention time.Duration
	recorder  *history.Recorder

	mu                sync.Mutex
	bootID            string
	epoch             cell.Epoch
	leases            map[cell.Attempt]*lease
	failTasks         bool
	leaving           bool
	lost              bool // the VM has ended
	frozen            bool
	thawed            chan struct{}  // closed when the VM is thawed
	lastUsed          cell.Resources // claims of the tasks that ran at the previous report
	revision          uint64         // number of lease changes since the boot
	forgottenRevision uint64         // highest revision of a forgotten lease
}

// lease is the runner's record of one attempt. The runner's mutex guards its fields until done is closed.
type lease struct {
	attempt     cell.Attempt
	task        cell.Task // without payload
	payload     Payload
	phase       cell.LeasePhase
	revision    uint64
	started     time.Time
	expires     time.Time
	ended       time.Time
	expiryTimer *time.Timer
	done        chan struct{} // closed once reply is set
	reply       platformapi.StartReply
}

func newRunner(w cell.Worker, retention time.Duration, recorder *history.Recorder) *runner {
	r := &runner{worker: w, retention: retention, recorder: recorder}
	r.reset()
	r.recordWorker(history.WorkerAdded)
	return r
}

// reset sets the state of a runner that has just booted.
func (r *runner) reset() {
	r.bootID = newBootID()
	r.epoch = 0
	r.leases = make(map[cell.Attempt]*lease)
	r.lastUsed = cell.Resources{}
	r.revision = 0
	r.forgottenRevision = 0
}

// newBootID returns a boot id that is unique over all processes.
func newBootID() string {
	return rand.Text()
}

// lockWhenThawed waits until the VM is not frozen, locks r and ends the leases that have expired, so that nothing else
// happens before. On error r is not locked.
func (r *runner) lockWhenThawed(ctx context.Context) error {
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
		return errWorkerLost
	}
	r.expireLeases(time.Now())
	return nil
}

// expireLeases ends the leases that have expired and forgets those that ended more than the retention ago.
func (r *runner) expireLeases(now time.Time) {
	for a, l := range r.leases {
		if l.phase == cell.LeaseRunning && !now.Before(l.expires) {
			r.end(l, l.expires, history.EndExpired, stoppedReply("lease expired"))
		}
		if l.phase != cell.LeaseRunning && now.Sub(l.ended) > r.retention {
			delete(r.leases, a)
			r.forgottenRevision = max(r.forgottenRevision, l.revision)
		}
	}
}

// claim executes a claim of the lease contract. It reports the leases that changed after the revision since; 0 asks for
// all of them.
func (r *runner) claim(ctx context.Context, c platformapi.WorkerClaim, since uint64) (ClaimReport, error) {
	if err := r.lockWhenThawed(ctx); err != nil {
		return ClaimReport{}, err
	}
	defer r.mu.Unlock()
	if c.BootID != r.bootID {
		return ClaimReport{Report: platformapi.WorkerReport{Worker: r.worker.ID, BootID: r.bootID, Epoch: r.epoch}}, nil
	}
	if c.Epoch < r.epoch {
		return ClaimReport{}, platformapi.ErrFenced
	}
	r.epoch = c.Epoch
	now := time.Now()
	r.renewLeases(now, c.TTL)
	return r.report(now, since), nil
}

func (r *runner) renewLeases(now time.Time, ttl time.Duration) {
	for _, l := range r.leases {
		if l.phase == cell.LeaseRunning {
			l.renew(now, ttl)
		}
	}
}

// bumpRevision gives the lease the next revision.
func (r *runner) bumpRevision(l *lease) {
	r.revision++
	l.revision = r.revision
}

// start starts the attempt, unless the runner has a lease of it already, and returns the lease.
// On refusal the lease is nil and the reply states the reason.
func (r *runner) start(ctx context.Context, bootID string, a cell.Attempt, t cell.Task, ttl time.Duration) (*lease, platformapi.StartReply) {
	if err := r.lockWhenThawed(ctx); err != nil {
		return nil, platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: err.Error()}
	}
	defer r.mu.Unlock()
	if l, ok := r.leases[a]; ok {
		return l, platformapi.StartReply{}
	}
	if a.Epoch < r.epoch {
		return nil, platformapi.StartReply{Result: platformapi.StartFenced, Detail: "epoch superseded"}
	}
	if bootID != r.bootID {
		return nil, platformapi.StartReply{Result: platformapi.StartRefused, Detail: "the boot id is not that of the runner"}
	}
	if a.Epoch != r.epoch {
		return nil, platformapi.StartReply{Result: platformapi.StartRefused, Detail: "the worker is not claimed under the attempt's epoch"}
	}
	return r.startAttempt(a, t, ttl), platformapi.StartReply{}
}

func (r *runner) startAttempt(a cell.Attempt, t cell.Task, ttl time.Duration) *lease {
	now := time.Now()
	l := &lease{attempt: a, task: t, payload: parsePayload(t.Payload), phase: cell.LeaseRunning, started: now, done: make(chan struct{})}
	l.task.Payload = nil
	l.expires = now.Add(ttl)
	l.expiryTimer = time.AfterFunc(ttl, r.onExpiryTimer)
	r.leases[a] = l
	r.bumpRevision(l)
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

// finishAfter ends the task after its run time, unless its lease has ended before.
func (r *runner) finishAfter(l *lease, runTime time.Duration) {
	timer := time.NewTimer(runTime)
	defer timer.Stop()
	select {
	case <-l.done:
		return
	case <-timer.C:
	}
	if r.lockWhenThawed(context.Background()) != nil {
		return
	}
	defer r.mu.Unlock()
	if l.phase != cell.LeaseRunning {
		return
	}
	cause := history.EndFinished
	reply := platformapi.StartReply{Result: platformapi.StartFinished, Answer: l.payload.answer(l.attempt, r.worker.ID)}
	if r.failTasks || l.payload.Fail {
		cause = history.EndFailed
		reply.Failed = true
	}
	r.end(l, time.Now(), cause, reply)
}

// onExpiryTimer ends expired leases.
func (r *runner) onExpiryTimer() {
	if r.lockWhenThawed(context.Background()) == nil {
		r.mu.Unlock()
	}
}

// stop executes a stop of the lease contract: it ends the attempt, or leaves a tombstone if the attempt never started.
func (r *runner) stop(ctx context.Context, a cell.Attempt, epoch cell.Epoch) (cell.Lease, error) {
	if err := r.lockWhenThawed(ctx); err != nil {
		return cell.Lease{}, err
	}
	defer r.mu.Unlock()
	if epoch < r.epoch {
		return cell.Lease{}, platformapi.ErrFenced
	}
	now := time.Now()
	l, ok := r.leases[a]
	if !ok {
		l = &lease{attempt: a, task: cell.Task{ID: a.Task}, phase: cell.LeaseTombstone, started: now, ended: now, done: make(chan struct{})}
		l.reply = platformapi.StartReply{Result: platformapi.StartRefused, Detail: "stopped before its start"}
		close(l.done)
		r.leases[a] = l
		r.bumpRevision(l)
	}
	if l.phase == cell.LeaseRunning {
		r.end(l, now, history.EndStopped, stoppedReply("stopped"))
	}
	return r.leaseState(l, now), nil
}

// lookUp returns the attempt's lease, or nil if the runner has none.
func (r *runner) lookUp(ctx context.Context, a cell.Attempt) (*lease, error) {
	if err := r.lockWhenThawed(ctx); err != nil {
		return nil, err
	}
	defer r.mu.Unlock()
	return r.leases[a], nil
}

// await waits until the lease has ended and the VM is not frozen, and returns the reply.
func (r *runner) await(ctx context.Context, l *lease) platformapi.StartReply {
	select {
	case <-ctx.Done():
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: ctx.Err().Error()}
	case <-l.done:
	}
	if err := r.lockWhenThawed(ctx); err != nil {
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: err.Error()}
	}
	r.mu.Unlock()
	return l.reply
}

// end ends a running lease at the given time.
func (r *runner) end(l *lease, at time.Time, cause history.EndCause, reply platformapi.StartReply) {
	l.phase = cell.LeaseEnded
	l.ended = at
	l.reply = reply
	l.expiryTimer.Stop()
	close(l.done)
	r.bumpRevision(l)
	r.recordLease(history.KindLeaseEnd, l, at, cause)
}

func (l *lease) renew(now time.Time, ttl time.Duration) {
	l.expires = now.Add(ttl)
	l.expiryTimer.Reset(ttl)
}

// stoppedReply returns the reply of an attempt that was ended before its task had finished.
func stoppedReply(detail string) platformapi.StartReply {
	return platformapi.StartReply{Result: platformapi.StartFinished, Failed: true, Detail: detail}
}

// startAndAwait starts the attempt and waits for its answer. For a service it waits only until the service runs.
func (r *runner) startAndAwait(ctx context.Context, bootID string, a cell.Attempt, t cell.Task, ttl time.Duration) platformapi.StartReply {
	l, refusal := r.start(ctx, bootID, a, t, ttl)
	if l == nil {
		return refusal
	}
	if l.task.Kind == cell.KindService && !l.hasEnded() {
		return platformapi.StartReply{Result: platformapi.StartAccepted}
	}
	return r.await(ctx, l)
}

// findAndAwait waits for the answer of an attempt that the runner has a lease of. Without a lease the reply is a refusal,
// which doesn't tell whether the attempt ran.
func (r *runner) findAndAwait(ctx context.Context, a cell.Attempt) platformapi.StartReply {
	l, err := r.lookUp(ctx, a)
	if err != nil {
		return platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: err.Error()}
	}
	if l == nil {
		return platformapi.StartReply{Result: platformapi.StartRefused, Detail: "the runner has no lease of the attempt"}
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
