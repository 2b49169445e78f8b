package standin

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/platformapi"
)

// endLeasesAsLost ends every running lease without an answer, since the VM or the runner ends.
// A lease that expired earlier ends at its expiry.
func (r *runner) endLeasesAsLost() {
	now := time.Now()
	for _, l := range r.leases {
		if l.phase == cell.LeaseRunning {
			end := now
			if l.expires.Before(now) {
				end = l.expires
			}
			r.end(l, end, history.EndLost, platformapi.StartReply{Result: platformapi.StartInDoubt, Detail: errWorkerLost.Error()})
		}
	}
}

// crash ends the VM and its leases for good.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		return
	}
	r.endLeasesAsLost()
	r.lost = true
	r.thawLocked()
	r.recordWorker(history.WorkerLost)
}

// restart ends the runner and its leases and boots a new runner on the same VM.
func (r *runner) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		return
	}
	r.endLeasesAsLost()
	r.reset()
	r.thawLocked()
	r.recordWorker(history.WorkerRestarted)
}

func (r *runner) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen || r.lost {
		return
	}
	r.frozen = true
	r.thawed = make(chan struct{})
	r.recordWorker(history.WorkerFrozen)
}

func (r *runner) thaw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen {
		r.thawLocked()
		r.recordWorker(history.WorkerThawed)
	}
}

func (r *runner) thawLocked() {
	if r.frozen {
		r.frozen = false
		close(r.thawed)
	}
}

func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leaving {
		r.leaving = true
		r.recordWorker(history.WorkerLeaving)
	}
}

func (r *runner) setFailTasks(fail bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failTasks = fail
}
