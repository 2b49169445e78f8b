package shard

import (
	"context"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// fakeRunner is a fake of the runners of all workers. It keeps the lease contract and can lose calls.
type fakeRunner struct {
	mu      sync.Mutex
	workers map[cell.WorkerID]*fakeWorker
	// runTime is how long a task runs.
	runTime time.Duration
	// overlaps counts starts of a task that was already running; overclaims counts starts beyond a worker's capacity.
	overlaps, overclaims int
	starts               map[cell.TaskID]int
	stops                int
}

// fakeWorker is one worker of a fakeRunner, with its faults.
type fakeWorker struct {
	cell.Worker
	boot   string
	epoch  cell.Epoch
	leases map[cell.Attempt]*fakeLease
	// down loses every call. lostStarts and lostAnswers are how many starts are lost before and after they take effect.
	down                    bool
	lostStarts, lostAnswers int
	// failing makes tasks fail; refusing refuses starts.
	failing, refusing bool
	// answersNoStart makes the worker run tasks but never answer a start.
	answersNoStart bool
	// forgetsAnswers makes the worker keep no answers of tasks that have ended.
	forgetsAnswers bool
}

// fakeLease is a lease with the answer of its task.
type fakeLease struct {
	cell.Lease
	ended  chan struct{}
	fail   bool
	answer string
}

func newFakeRunner(runTime time.Duration, ws ...cell.Worker) *fakeRunner {
	r := &fakeRunner{workers: make(map[cell.WorkerID]*fakeWorker), runTime: runTime, starts: make(map[cell.TaskID]int)}
	for _, w := range ws {
		r.workers[w.ID] = &fakeWorker{Worker: w, boot: "b1", leases: make(map[cell.Attempt]*fakeLease)}
	}
	return r
}

// update changes or reads a worker under the lock.
func (r *fakeRunner) update(id cell.WorkerID, f func(*fakeWorker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.workers[id])
}

// reboot restarts a worker's runner with a new boot id: its leases end and its epoch is forgotten.
func (r *fakeRunner) reboot(id cell.WorkerID, boot string) {
	r.update(id, func(fw *fakeWorker) {
		for _, l := range fw.leases {
			l.end(true)
		}
		fw.boot, fw.epoch, fw.leases = boot, 0, make(map[cell.Attempt]*fakeLease)
	})
}

func (r *fakeRunner) running(id cell.WorkerID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.workers[id].leases {
		if l.Phase == cell.LeaseRunning {
			n++
		}
	}
	return n
}

func (l *fakeLease) end(fail bool) {
	if l.Phase == cell.LeaseRunning {
		l.Phase, l.fail = cell.LeaseEnded, fail
		close(l.ended)
	}
}

// waitForTimeout makes a lost call last until its timeout.
func waitForTimeout(ctx context.Context) error {
	<-ctx.Done()
	return platformapi.ErrUnreachable
}

func (r *fakeRunner) reachableWorker(id cell.WorkerID) (*fakeWorker, bool) {
	fw := r.workers[id]
	return fw, fw != nil && !fw.down
}

func (r *fakeRunner) Claim(ctx context.Context, w cell.Worker, c platformapi.WorkerClaim) (platformapi.WorkerReport, error) {
	r.mu.Lock()
	fw, ok := r.reachableWorker(w.ID)
	if !ok {
		r.mu.Unlock()
		return platformapi.WorkerReport{}, waitForTimeout(ctx)
	}
	defer r.mu.Unlock()
	report := platformapi.WorkerReport{Worker: w.ID, Epoch: fw.epoch, BootID: fw.boot}
	if c.BootID != fw.boot {
		return report, nil
	}
	if c.Epoch < fw.epoch {
		return report, platformapi.ErrFenced
	}
	fw.epoch = c.Epoch
	report.Epoch, report.Claimed = c.Epoch, true
	for _, l := range fw.leases {
		report.Leases = append(report.Leases, l.Lease)
	}
	return report, nil
}

func (r *fakeRunner) Start(ctx context.Context, w cell.Worker, boot string, a cell.Attempt, t cell.Task, _ time.Duration) platformapi.StartReply {
	r.mu.Lock()
	fw, ok := r.reachableWorker(w.ID)
	switch {
	case !ok || fw.lostStarts > 0:
		if ok {
			fw.lostStarts--
		}
		r.mu.Unlock()
		return platformapi.StartReply{Result: platformapi.StartInDoubt}
	case a.Epoch < fw.epoch:
		r.mu.Unlock()
		return platformapi.StartReply{Result: platformapi.StartFenced}
	case boot != fw.boot || a.Epoch != fw.epoch || fw.refusing || fw.leases[a] != nil:
		r.mu.Unlock()
		return platformapi.StartReply{Result: platformapi.StartRefused}
	}
	l := r.startLease(fw, a, t)
	lose := fw.lostAnswers > 0
	if lose {
		fw.lostAnswers--
	}
	answersNoStart := fw.answersNoStart
	r.mu.Unlock()
	if t.Kind == cell.KindService {
		return platformapi.StartReply{Result: platformapi.StartAccepted}
	}
	if answersNoStart {
		<-ctx.Done()
	}
	if lose || answersNoStart {
		return platformapi.StartReply{Result: platformapi.StartInDoubt}
	}
	return r.awaitLease(ctx, l)
}

// startLease starts a lease and counts whether the task already runs or the worker has too little capacity.
func (r *fakeRunner) startLease(fw *fakeWorker, a cell.Attempt, t cell.Task) *fakeLease {
	used := t.Claim
	for _, other := range r.workers {
		for _, l := range other.leases {
			if l.Phase == cell.LeaseRunning && l.Attempt.Task == a.Task {
				r.overlaps++
			}
			if l.Phase == cell.LeaseRunning && other == fw {
				used = used.Add(l.Task.Claim)
			}
		}
	}
	if !used.Fits(fw.Capacity) {
		r.overclaims++
	}
	r.starts[a.Task]++
	l := &fakeLease{ended: make(chan struct{}), answer: "answer of " + string(a.Task) + string(t.Payload)}
	t.Payload = nil
	l.Lease = cell.Lease{Attempt: a, Worker: fw.ID, Phase: cell.LeaseRunning, Task: t}
	fw.leases[a] = l
	fail := fw.failing
	time.AfterFunc(r.runTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		l.end(fail)
	})
	return l
}

func (r *fakeRunner) awaitLease(ctx context.Context, l *fakeLease) platformapi.StartReply {
	select {
	case <-l.ended:
	case <-ctx.Done():
		return platformapi.StartReply{Result: platformapi.StartInDoubt}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if fw := r.workers[l.Worker]; fw.down || fw.leases[l.Attempt] != l {
		return platformapi.StartReply{Result: platformapi.StartInDoubt}
	} else if fw.forgetsAnswers {
		return platformapi.StartReply{Result: platformapi.StartRefused}
	}
	return platformapi.StartReply{Result: platformapi.StartFinished, Failed: l.fail, Answer: []byte(l.answer)}
}

func (r *fakeRunner) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platformapi.StartReply {
	r.mu.Lock()
	fw, ok := r.reachableWorker(w.ID)
	if !ok {
		r.mu.Unlock()
		return platformapi.StartReply{Result: platformapi.StartInDoubt}
	}
	l := fw.leases[a]
	known := l != nil && l.Phase != cell.LeaseTombstone
	r.mu.Unlock()
	if !known {
		return platformapi.StartReply{Result: platformapi.StartRefused}
	}
	return r.awaitLease(ctx, l)
}

func (r *fakeRunner) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, _ platformapi.StopMode) (cell.Lease, error) {
	r.mu.Lock()
	fw, ok := r.reachableWorker(w.ID)
	if !ok {
		r.mu.Unlock()
		return cell.Lease{}, waitForTimeout(ctx)
	}
	defer r.mu.Unlock()
	if epoch < fw.epoch {
		return cell.Lease{}, platformapi.ErrFenced
	}
	r.stops++
	if fw.leases[a] == nil {
		fw.leases[a] = &fakeLease{Lease: cell.Lease{Attempt: a, Worker: w.ID, Phase: cell.LeaseTombstone}}
	}
	fw.leases[a].end(true)
	return fw.leases[a].Lease, nil
}
