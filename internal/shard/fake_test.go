package shard

import (
	"context"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// runner is a fake of every worker's runner that keeps the lease contract and can lose calls.
type runner struct {
	mu      sync.Mutex
	hosts   map[cell.WorkerID]*host
	runTime time.Duration
	// overlaps counts starts of a task that ran somewhere already; overclaims counts starts beyond a worker's capacity.
	overlaps, overclaims int
	starts               map[cell.TaskID]int
	stops                int
}

type host struct {
	cell.Worker
	boot   string
	epoch  cell.Epoch
	leases map[cell.Attempt]*lease
	// down loses every call; loseStart and loseAnswer lose so many starts before and after they take effect.
	down                  bool
	loseStart, loseAnswer int
	failing, refusing     bool
	silent                bool
}

type lease struct {
	cell.Lease
	over   chan struct{}
	fail   bool
	answer string
}

func newRunner(runTime time.Duration, ws ...cell.Worker) *runner {
	r := &runner{hosts: make(map[cell.WorkerID]*host), runTime: runTime, starts: make(map[cell.TaskID]int)}
	for _, w := range ws {
		r.hosts[w.ID] = &host{Worker: w, boot: "b1", leases: make(map[cell.Attempt]*lease)}
	}
	return r
}

// set changes a host's faults.
func (r *runner) set(id cell.WorkerID, f func(*host)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.hosts[id])
}

// reboot ends every lease and forgets epochs.
func (r *runner) reboot(id cell.WorkerID, boot string) {
	r.set(id, func(h *host) {
		for _, l := range h.leases {
			l.end(true)
		}
		h.boot, h.epoch, h.leases = boot, 0, make(map[cell.Attempt]*lease)
	})
}

func (r *runner) running(id cell.WorkerID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.hosts[id].leases {
		if l.Phase == cell.LeaseRunning {
			n++
		}
	}
	return n
}

func (l *lease) end(fail bool) {
	if l.Phase == cell.LeaseRunning {
		l.Phase, l.fail = cell.LeaseEnded, fail
		close(l.over)
	}
}

// wait lets a lost call take its whole timeout.
func wait(ctx context.Context) error {
	<-ctx.Done()
	return platform.ErrUnreachable
}

func (r *runner) host(id cell.WorkerID) (*host, bool) {
	h := r.hosts[id]
	return h, h != nil && !h.down
}

func (r *runner) Claim(ctx context.Context, w cell.Worker, c platform.Claim) (platform.WorkerReport, error) {
	r.mu.Lock()
	h, ok := r.host(w.ID)
	if !ok {
		r.mu.Unlock()
		return platform.WorkerReport{}, wait(ctx)
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

func (r *runner) Start(ctx context.Context, w cell.Worker, boot string, a cell.Attempt, t cell.Task, _ time.Duration) platform.StartReply {
	r.mu.Lock()
	h, ok := r.host(w.ID)
	switch {
	case !ok || h.loseStart > 0:
		if ok {
			h.loseStart--
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
	l := r.begin(h, a, t)
	lose := h.loseAnswer > 0
	if lose {
		h.loseAnswer--
	}
	silent := h.silent
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if lose || silent {
		return platform.StartReply{Result: platform.StartInDoubt}
	}
	return r.answer(ctx, l)
}

// begin starts a lease and records whether a promise is broken by it.
func (r *runner) begin(h *host, a cell.Attempt, t cell.Task) *lease {
	used := t.Claim
	for _, other := range r.hosts {
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
	l := &lease{over: make(chan struct{}), answer: "answer of " + string(a.Task) + string(t.Payload)}
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

func (r *runner) answer(ctx context.Context, l *lease) platform.StartReply {
	select {
	case <-l.over:
	case <-ctx.Done():
		return platform.StartReply{Result: platform.StartInDoubt}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.hosts[l.Worker]; h.down || h.leases[l.Attempt] != l {
		return platform.StartReply{Result: platform.StartInDoubt}
	}
	return platform.StartReply{Result: platform.StartFinished, Failed: l.fail, Answer: []byte(l.answer)}
}

func (r *runner) Await(ctx context.Context, w cell.Worker, a cell.Attempt) platform.StartReply {
	r.mu.Lock()
	h, ok := r.host(w.ID)
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
	return r.answer(ctx, l)
}

func (r *runner) Stop(ctx context.Context, w cell.Worker, a cell.Attempt, epoch cell.Epoch, _ platform.StopMode) (cell.Lease, error) {
	r.mu.Lock()
	h, ok := r.host(w.ID)
	if !ok {
		r.mu.Unlock()
		return cell.Lease{}, wait(ctx)
	}
	defer r.mu.Unlock()
	if epoch < h.epoch {
		return cell.Lease{}, platform.ErrFenced
	}
	r.stops++
	if h.leases[a] == nil {
		h.leases[a] = &lease{Lease: cell.Lease{Attempt: a, Worker: w.ID, Phase: cell.LeaseTombstone}}
	}
	h.leases[a].end(true)
	return h.leases[a].Lease, nil
}
