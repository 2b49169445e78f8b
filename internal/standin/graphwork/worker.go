// Package graphwork plays workers that run the tasks of graph jobs, for tests and demonstrations. A task only takes time, as
// its payload says; the rules of a real worker hold: leases on a clock of its own, fencing by epoch, ends that are listed
// until they are recorded, stops that leave a mark, checkpoints, and gangs that work only while all members are there.
package graphwork

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/owner"
)

// Payload is what a task does.
type Payload struct {
	// RunMS is how long a task works, in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes each run fail at its end.
	Fail bool `json:"fail,omitempty"`
	// Gangs holds the sizes of the steps that are gangs, by step.
	Gangs map[int]int `json:"gangs,omitempty"`
	// Forever makes tasks work until they are stopped.
	Forever bool `json:"forever,omitempty"`
}

// Run is one run of a task, for a record of what happened.
type Run struct {
	Worker    dispatch.WorkerID
	Key       dispatch.RunKey
	StartedAt time.Time
	EndedAt   time.Time
	// Outcome is empty while the run lasts.
	Outcome string
}

// WorkerGroup is where the workers of one process meet: it brings the members of gangs together and keeps the record of runs.
type WorkerGroup struct {
	mu    sync.Mutex
	gangs map[gangKey][]*run
	runs  []*Run
}

type gangKey struct {
	job              graph.JobID
	occurrence, step int
	number           uint64
}

// NewWorkerGroup returns an empty hall.
func NewWorkerGroup() *WorkerGroup { return &WorkerGroup{gangs: make(map[gangKey][]*run)} }

// Runs returns the record so far.
func (h *WorkerGroup) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]Run, len(h.runs))
	for i, r := range h.runs {
		out[i] = *r
	}
	return out
}

// Worker is one life of a worker. All its fields are guarded by the hall's mutex, since gangs span workers.
type Worker struct {
	hall    *WorkerGroup
	life    dispatch.WorkerID
	started time.Time

	epoch    uint64
	deadline time.Duration
	lapse    *time.Timer
	running  map[graph.TaskID]*run
	// stopped holds the highest run of each task that was stopped or has ended here.
	stopped map[graph.TaskID]uint64
	ended   []dispatch.EndedEntry
	next    uint64
	wake    chan struct{}
}

type run struct {
	worker  *Worker
	key     dispatch.RunKey
	payload Payload
	// saved is the work done before this run began to work, from its checkpoint.
	saved time.Duration
	// working is when the run began to work; zero while it waits for its gang.
	working time.Time
	timer   *time.Timer
	record  *Run
}

// NewWorker returns a worker that has just started.
func NewWorker(hall *WorkerGroup, life dispatch.WorkerID) *Worker {
	return &Worker{
		hall: hall, life: life, started: time.Now(), running: make(map[graph.TaskID]*run),
		stopped: make(map[graph.TaskID]uint64), wake: make(chan struct{}),
	}
}

// Incarnation implements graphproto.Worker.
func (w *Worker) Incarnation() dispatch.WorkerID { return w.life }

// Clock implements graphproto.Worker.
func (w *Worker) Clock() time.Duration { return time.Since(w.started) }

// fence takes in an order's epoch; the lock is held.
func (w *Worker) fence(epoch uint64) error {
	if epoch < w.epoch {
		return owner.ErrSuperseded
	}
	w.epoch = epoch
	return nil
}

// extend lengthens the lease and never shortens it; the lock is held.
func (w *Worker) extend(deadline time.Duration) {
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(deadline-w.Clock(), w.expire)
}

// expire ends everything once the lease is over.
func (w *Worker) expire() {
	w.hall.mu.Lock()
	defer w.hall.mu.Unlock()
	if w.Clock() < w.deadline {
		return
	}
	for _, r := range w.running {
		r.end(dispatch.RunInterrupted)
	}
}

// Start implements graphproto.Worker.
func (w *Worker) Start(call owner.StartCall) (dispatch.StartOutcome, error) {
	w.hall.mu.Lock()
	defer w.hall.mu.Unlock()
	if err := w.fence(call.Epoch); err != nil {
		return dispatch.StartRefused, err
	}
	if call.Deadline <= w.Clock() {
		return dispatch.StartRefused, nil
	}
	if present := w.running[call.Task]; present != nil && present.key.Number >= call.Number {
		return dispatch.Started, nil
	}
	if call.Number <= w.stopped[call.Task] {
		return dispatch.StartOutdated, nil
	}
	w.extend(call.Deadline)
	r := &run{worker: w, key: call.RunKey, record: &Run{Worker: w.life, Key: call.RunKey, StartedAt: time.Now()}}
	if err := json.Unmarshal([]byte(call.Payload), &r.payload); err != nil {
		return dispatch.StartRefused, nil // a payload of another kind: this worker can't run it
	}
	if ms, err := strconv.ParseInt(call.Checkpoint, 10, 64); err == nil {
		r.saved = time.Duration(ms) * time.Millisecond
	}
	w.running[call.Task] = r
	w.hall.runs = append(w.hall.runs, r.record)
	r.arrive()
	return dispatch.Started, nil
}

// arrive lets the run work, with its gang once that is complete; the lock is held.
func (r *run) arrive() {
	size := r.payload.Gangs[r.key.Task.Step]
	if size <= 1 {
		r.work()
		return
	}
	key := r.gang()
	hall := r.worker.hall
	hall.gangs[key] = append(hall.gangs[key], r)
	if len(hall.gangs[key]) == size {
		for _, member := range hall.gangs[key] {
			member.work()
		}
	}
}

func (r *run) gang() gangKey {
	return gangKey{r.key.Task.Job, r.key.Task.Occurrence, r.key.Task.Step, r.key.Number}
}

// work begins the run's work; the lock is held.
func (r *run) work() {
	r.working = time.Now()
	if r.payload.Forever {
		return
	}
	left := time.Duration(r.payload.RunMS)*time.Millisecond - r.saved
	r.timer = time.AfterFunc(max(0, left), func() {
		r.worker.hall.mu.Lock()
		defer r.worker.hall.mu.Unlock()
		if r.payload.Fail {
			r.end(dispatch.RunFailed)
			return
		}
		r.end(dispatch.RunDone)
	})
}

// done is the work that is done, the checkpoint at this moment.
func (r *run) done() time.Duration {
	if r.working.IsZero() {
		return r.saved
	}
	return r.saved + time.Since(r.working)
}

func (r *run) checkpoint() string { return strconv.FormatInt(r.done().Milliseconds(), 10) }

// end ends the run and, with it, what is left of its gang; the lock is held.
func (r *run) end(how dispatch.RunOutcome) {
	w := r.worker
	if w.running[r.key.Task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.running, r.key.Task)
	w.stopped[r.key.Task] = max(w.stopped[r.key.Task], r.key.Number)
	w.next++
	w.ended = append(w.ended, dispatch.EndedEntry{Sequence: w.next, RunKey: r.key, End: how, Checkpoint: r.checkpoint()})
	r.record.EndedAt, r.record.Outcome = time.Now(), how.String()
	close(w.wake)
	w.wake = make(chan struct{})
	key := r.gang()
	members := w.hall.gangs[key]
	delete(w.hall.gangs, key)
	for _, member := range members {
		if how == dispatch.RunDone {
			member.end(dispatch.RunDone)
		} else {
			member.end(dispatch.RunInterrupted)
		}
	}
}

// Stop implements graphproto.Worker.
func (w *Worker) Stop(key dispatch.RunKey, epoch uint64) error {
	w.hall.mu.Lock()
	defer w.hall.mu.Unlock()
	if err := w.fence(epoch); err != nil {
		return err
	}
	w.stopped[key.Task] = max(w.stopped[key.Task], key.Number)
	if r := w.running[key.Task]; r != nil && r.key.Number <= key.Number {
		r.end(dispatch.RunInterrupted)
	}
	return nil
}

// Hold implements graphproto.Worker.
func (w *Worker) Hold(ctx context.Context, call owner.HoldCall) (dispatch.Report, error) {
	w.hall.mu.Lock()
	if err := w.fence(call.Epoch); err != nil {
		w.hall.mu.Unlock()
		return dispatch.Report{}, err
	}
	w.extend(call.Deadline)
	w.ended = slices.DeleteFunc(w.ended, func(e dispatch.EndedEntry) bool { return e.Sequence <= call.Recorded })
	wake, ends := w.wake, len(w.ended)
	w.hall.mu.Unlock()
	if ends == 0 {
		select {
		case <-wake:
		case <-time.After(call.Wait):
		case <-ctx.Done():
		}
	}
	w.hall.mu.Lock()
	defer w.hall.mu.Unlock()
	report := dispatch.Report{Ended: slices.Clone(w.ended)}
	for _, r := range w.running {
		report.Running = append(report.Running, r.entry())
	}
	return report, nil
}

// serving is the progress of a task that works until it is stopped.
const serving = 100

func (r *run) entry() dispatch.RunningEntry {
	e := dispatch.RunningEntry{RunKey: r.key, Checkpoint: r.checkpoint(), Progress: serving}
	if total := time.Duration(r.payload.RunMS) * time.Millisecond; !r.payload.Forever && total > 0 {
		e.Progress = int(serving * r.done() / total)
	}
	return e
}
