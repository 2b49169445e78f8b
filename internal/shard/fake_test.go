package shard

import (
	"context"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// fakeRunner is a fake of every worker's fakeRunner that keeps the lease contract and can lose calls.
type fakeRunner struct {
	mu      sync.Mutex
	workers map[cell.WorkerID]*fakeWorker
	runTime time.Duration
	// overlaps counts starts of a task that ran somewhere already; overclaims counts starts beyond a worker's capacity.
	overlaps, overclaims int
	starts               map[cell.TaskID]int
	stops                int
}

type fakeWorker struct {
	cell.Worker
	boot   string
	epoch  cell.Epoch
	leases map[cell.Attempt]*fakeLease
	// down loses every call; loseStart and loseAnswer lose so many starts before and after they take effect.
	down                    bool
	lostStarts, lostAnswers int
	failing, refusing       bool
	silent                  bool
}

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

// update changes a host's faults.
func (r *fakeRunner) update(id cell.WorkerID, f func(*fakeWorker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.workers[id])
}

// reboot ends every lease and forgets epochs.
func (r *fakeRunner) reboot(id cell.WorkerID, boot string) {
	r.update(id, func(h *fakeWorker) {
		for _, l := range h.leases {
			l.end(true)
		}
		h.boot, h.epoch, h.leases = boot, 0, make(map[cell.Attempt]*fakeLease)
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

// waitForTimeout lets a lost call take its whole timeout.
func waitForTimeout(ctx context.Context) error {
	<-ctx.Done()
	return platform.ErrUnreachable
}

func (r *fakeRunner) reachableWorker(id cell.WorkerID) (*fakeWorker, bool) {
	h := r.workers[id]
	return h, h != nil && !h.down
}

func (r *fakeRunner) Claim(ctx context.Context, w cell.Worker, c platform.Claim) (platform.WorkerReport, error) {
	r.mu.Lock()
	h, ok := r.reachableWorker(w.ID)
	if !ok {
		r.mu.Unlock()
		return platform.WorkerReport{}, waitForTimeout(ctx)
	}
	defer r.mu.Unlock()
	rep := platform.WorkerReport{Worker: w.ID, Epoch: h.epoch, Boot: h.boot}
	if c.Boot != h.boot {
		return rep, nil
	}
	if c.Epoch < h.epoch {
		return rep, platform.ErrFenced
	}
	h.epoch = c.Epoch
	rep.Epoch, rep.Claimed = c.Epoch, true
	for _, l := range h.leases {
		rep.Leases = append(rep.Leases, l.Lease)
	}
	return rep, nil
}

func (r *fakeRunner) Start(ctx context.Context, w cell.Worker, boot string, a cell.Attempt, t cell.Task, _ time.Duration) platform.StartReply {
	r.mu.Lock()
	h, ok := r.reachableWorker(w.ID)
	switch {
	case !ok || h.lostStarts > 0:
		if ok {
			h.lostStarts--
		}
		r.mu.Unlock()
		return platform.StartReply{Result: platform.StartInDoubt}
	case a.Epoch < h.epoch:
		r.mu.Unlock()
		return platform.StartReply{Result: platform.StartFenced}
	case boot != h.boot || a.Epoch != h.epoch || h.refusing || h.leases[a] != nil:
		r.mu.Unlock()
		return platform.StartReply{Result: platform.StartRefused}
	}
	l := r.startLease(h, a, t)
	lose := h.lostAnswers > 0
	if lose {
		h.lostAnswers--
	}
	silent := h.silent
	r.mu.Unlock()
	if t.Kind == cell.KindService {
		return platform.StartReply{Result: platform.StartAccepted}
	}
	if silent {
		<-ctx.Done()
	}
	if lose || silent {
		return platform.StartReply{Result: platform.StartInDoubt}
	}
	return r.awaitLease(ctx, l)
}

// startLease starts a lease and records whether a promise is broken by it.
func (r *fakeRunner) startLease(h *fakeWorker, a cell.Attempt, t cell.Task) *fakeLease {
	used := t.Claim
	for _, other := range r.workers {
		for _, l := range other.leases {
			if l.Phase == cell.LeaseRunning && l.Attempt.Task == a.Task {
				r.overlaps++
			}
			if l.Phase == cell.LeaseRunning && other == h {
				used = used.Add(l.Task.Claim)
			}
		}
	}
	if !used.Fits(h.Capacity) {
		r.overclaims++
	}
	r.starts[a.Task]++
	l := &fakeLease{ended: make(chan struct{}), answer: "answer of " + string(a.Task) + string(t.Payload)}
	t.Payload = nil
	l.Lease = cell.Lease{Attempt: a, Worker: h.ID, Phase: cell.LeaseRunning, Task: t}
	h.leases[a] = l
	fail := h.failing
	time.AfterFunc(r.runTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		l.end(fail)
	})
	return l
}

func (r *fakeRunner) awaitLease(ctx context.Context, l *fakeLease) platform.StartReply {
	select {
	case <-l.ended:
	case <-ctx.Done():
		return platform.StartReply{Result: platform.StartInDoubt}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.workers[l.Worker]; h.down || h.leases[l.Attempt] != l {
		return platform.StartReply{Result: platform.StartInDoubt}
	}
	return platform.StartReply{Result: platform.StartFinished, Failed: l.fail, Answer: []byte(l.answer)}
}

func (r *fakeRunner) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platform.StartReply {
	r.mu.Lock()
	h, ok := r.reachableWorker(w.ID)
	if !ok {
		r.mu.Unlock()
		return platform.StartReply{Result: platform.StartInDoubt}
	}
	l := h.leases[a]
	known := l != nil && l.Phase != cell.LeaseTombstone
	r.mu.Unlock()
	if !known {
		return platform.StartReply{Result: platform.StartRefused}
	}
	return r.awaitLease(ctx, l)
}

func (r *fakeRunner) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, _ platform.StopMode) (cell.Lease, error) {
	r.mu.Lock()
	h, ok := r.reachableWorker(w.ID)
	if !ok {
		r.mu.Unlock()
		return cell.Lease{}, waitForTimeout(ctx)
	}
	defer r.mu.Unlock()
	if epoch < h.epoch {
		return cell.Lease{}, platform.ErrFenced
	}
	r.stops++
	if h.leases[a] == nil {
		h.leases[a] = &fakeLease{Lease: cell.Lease{Attempt: a, Worker: w.ID, Phase: cell.LeaseTombstone}}
	}
	h.leases[a].end(true)
	return h.leases[a].Lease, nil
}
