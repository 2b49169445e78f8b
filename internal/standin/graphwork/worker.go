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
func (g *WorkerGroup) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Run, len(g.runs))
	for i, r := range g.runs {
		out[i] = *r
	}
	return out
}

// Worker is one life of a worker. All its fields are guarded by the hall's mutex, since gangs span workers.
type Worker struct {
	group       *WorkerGroup
	incarnation dispatch.WorkerID
	started     time.Time

	epoch         uint64
	leaseDeadline time.Duration
	expiryTimer   *time.Timer
	running       map[graph.TaskID]*run
	// highestStopped holds the highest run of each task that was stopped or has ended here.
	highestStopped map[graph.TaskID]uint64
	ended          []dispatch.EndedEntry
	lastSequence   uint64
	runEnded       chan struct{}
}

type run struct {
	worker  *Worker
	key     dispatch.RunKey
	payload Payload
	// checkpointed is the work done before this run began to work, from its checkpoint.
	checkpointed time.Duration
	// workStartedAt is when the run began to work; zero while it waits for its gang.
	workStartedAt time.Time
	endTimer      *time.Timer
	record        *Run
}

// NewWorker returns a worker that has just started.
func NewWorker(group *WorkerGroup, incarnation dispatch.WorkerID) *Worker {
	return &Worker{
		group: group, incarnation: incarnation, started: time.Now(), running: make(map[graph.TaskID]*run),
		highestStopped: make(map[graph.TaskID]uint64), runEnded: make(chan struct{}),
	}
}

// Incarnation implements graphproto.Worker.
func (w *Worker) Incarnation() dispatch.WorkerID { return w.incarnation }

// Clock implements graphproto.Worker.
func (w *Worker) Clock() time.Duration { return time.Since(w.started) }

// acceptEpoch takes in an order's epoch; the lock is held.
func (w *Worker) acceptEpoch(epoch uint64) error {
	if epoch < w.epoch {
		return owner.ErrSuperseded
	}
	w.epoch = epoch
	return nil
}

// extendLease lengthens the lease and never shortens it; the lock is held.
func (w *Worker) extendLease(deadline time.Duration) {
	if deadline <= w.leaseDeadline {
		return
	}
	w.leaseDeadline = deadline
	if w.expiryTimer != nil {
		w.expiryTimer.Stop()
	}
	w.expiryTimer = time.AfterFunc(deadline-w.Clock(), w.expireLease)
}

// expireLease ends everything once the lease is over.
func (w *Worker) expireLease() {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	if w.Clock() < w.leaseDeadline {
		return
	}
	for _, r := range w.running {
		r.end(dispatch.RunInterrupted)
	}
}

// Start implements graphproto.Worker.
func (w *Worker) Start(call owner.StartCall) (dispatch.StartOutcome, error) {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	if err := w.acceptEpoch(call.Epoch); err != nil {
		return dispatch.StartRefused, err
	}
	if call.Deadline <= w.Clock() {
		return dispatch.StartRefused, nil
	}
	if current := w.running[call.Task]; current != nil && current.key.Number >= call.Number {
		return dispatch.Started, nil
	}
	if call.Number <= w.highestStopped[call.Task] {
		return dispatch.StartOutdated, nil
	}
	w.extendLease(call.Deadline)
	r := &run{worker: w, key: call.RunKey, record: &Run{Worker: w.incarnation, Key: call.RunKey, StartedAt: time.Now()}}
	if err := json.Unmarshal([]byte(call.Payload), &r.payload); err != nil {
		return dispatch.StartRefused, nil // a payload of another kind: this worker can't run it
	}
	if ms, err := strconv.ParseInt(call.Checkpoint, 10, 64); err == nil {
		r.checkpointed = time.Duration(ms) * time.Millisecond
	}
	w.running[call.Task] = r
	w.group.runs = append(w.group.runs, r.record)
	r.startWithGang()
	return dispatch.Started, nil
}

// startWithGang lets the run work, with its gang once that is complete; the lock is held.
func (r *run) startWithGang() {
	size := r.payload.Gangs[r.key.Task.Step]
	if size <= 1 {
		r.startWork()
		return
	}
	key := r.gangKey()
	group := r.worker.group
	group.gangs[key] = append(group.gangs[key], r)
	if len(group.gangs[key]) == size {
		for _, member := range group.gangs[key] {
			member.startWork()
		}
	}
}

func (r *run) gangKey() gangKey {
	return gangKey{r.key.Task.Job, r.key.Task.Occurrence, r.key.Task.Step, r.key.Number}
}

// startWork begins the run's work; the lock is held.
func (r *run) startWork() {
	r.workStartedAt = time.Now()
	if r.payload.Forever {
		return
	}
	remaining := time.Duration(r.payload.RunMS)*time.Millisecond - r.checkpointed
	r.endTimer = time.AfterFunc(max(0, remaining), func() {
		r.worker.group.mu.Lock()
		defer r.worker.group.mu.Unlock()
		if r.payload.Fail {
			r.end(dispatch.RunFailed)
			return
		}
		r.end(dispatch.RunDone)
	})
}

// workDone is the work that is done, the checkpoint at this moment.
func (r *run) workDone() time.Duration {
	if r.workStartedAt.IsZero() {
		return r.checkpointed
	}
	return r.checkpointed + time.Since(r.workStartedAt)
}

func (r *run) checkpoint() string { return strconv.FormatInt(r.workDone().Milliseconds(), 10) }

// end ends the run and, with it, what is left of its gang; the lock is held.
func (r *run) end(outcome dispatch.RunOutcome) {
	w := r.worker
	if w.running[r.key.Task] != r {
		return
	}
	if r.endTimer != nil {
		r.endTimer.Stop()
	}
	delete(w.running, r.key.Task)
	w.highestStopped[r.key.Task] = max(w.highestStopped[r.key.Task], r.key.Number)
	w.lastSequence++
	w.ended = append(w.ended, dispatch.EndedEntry{Sequence: w.lastSequence, RunKey: r.key, End: outcome, Checkpoint: r.checkpoint()})
	r.record.EndedAt, r.record.Outcome = time.Now(), outcome.String()
	close(w.runEnded)
	w.runEnded = make(chan struct{})
	key := r.gangKey()
	members := w.group.gangs[key]
	delete(w.group.gangs, key)
	for _, member := range members {
		if outcome == dispatch.RunDone {
			member.end(dispatch.RunDone)
		} else {
			member.end(dispatch.RunInterrupted)
		}
	}
}

// Stop implements graphproto.Worker.
func (w *Worker) Stop(key dispatch.RunKey, epoch uint64) error {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	if err := w.acceptEpoch(epoch); err != nil {
		return err
	}
	w.highestStopped[key.Task] = max(w.highestStopped[key.Task], key.Number)
	if r := w.running[key.Task]; r != nil && r.key.Number <= key.Number {
		r.end(dispatch.RunInterrupted)
	}
	return nil
}

// Hold implements graphproto.Worker.
func (w *Worker) Hold(ctx context.Context, call owner.HoldCall) (dispatch.Report, error) {
	w.group.mu.Lock()
	if err := w.acceptEpoch(call.Epoch); err != nil {
		w.group.mu.Unlock()
		return dispatch.Report{}, err
	}
	w.extendLease(call.Deadline)
	w.ended = slices.DeleteFunc(w.ended, func(e dispatch.EndedEntry) bool { return e.Sequence <= call.Recorded })
	runEnded, endedCount := w.runEnded, len(w.ended)
	w.group.mu.Unlock()
	if endedCount == 0 {
		select {
		case <-runEnded:
		case <-time.After(call.Wait):
		case <-ctx.Done():
		}
	}
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	report := dispatch.Report{Ended: slices.Clone(w.ended)}
	for _, r := range w.running {
		report.Running = append(report.Running, r.runningEntry())
	}
	return report, nil
}

// fullProgress is the progress of a task that works until it is stopped.
const fullProgress = 100

func (r *run) runningEntry() dispatch.RunningEntry {
	e := dispatch.RunningEntry{RunKey: r.key, Checkpoint: r.checkpoint(), Progress: fullProgress}
	if total := time.Duration(r.payload.RunMS) * time.Millisecond; !r.payload.Forever && total > 0 {
		e.Progress = int(fullProgress * r.workDone() / total)
	}
	return e
}
