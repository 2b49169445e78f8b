// Package graphwork simulates the workers that run the tasks of graph jobs, for tests and demonstrations. A task only
// takes the time that its payload states. A simulated worker follows the rules of a real one: it measures leases on its
// own clock, rejects superseded epochs, reports the end of a run until the owner has recorded it, refuses to start a run
// that was stopped before, reports checkpoints, and lets a gang work only while all of its members run.
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

// Payload tells a simulated task what to do. It is a task's payload as JSON.
type Payload struct {
	// RunMS is how long a task works, in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes every run of the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// CrashMS ends the process of the run's worker that long after the run's start, in milliseconds; 0 does not.
	CrashMS int64 `json:"crash_ms,omitempty"`
	// Gangs holds the gang size of each step that is a gang, by the step's index.
	Gangs map[int]int `json:"gangs,omitempty"`
	// Forever makes every task run until it is stopped.
	Forever bool `json:"forever,omitempty"`
}

// Run records one run of a task on a worker.
type Run struct {
	Worker    dispatch.WorkerID
	Key       dispatch.RunKey
	StartedAt time.Time
	EndedAt   time.Time
	// Outcome is the text of a dispatch.RunOutcome, lostOutcome or UnconfirmedDone; empty while the run lasts.
	Outcome string
}

// WorkerGroup is the state that the workers of one process share: the members of each gang and the record of all runs.
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

// NewWorkerGroup returns a group without workers.
func NewWorkerGroup() *WorkerGroup { return &WorkerGroup{gangs: make(map[gangKey][]*run)} }

// Runs returns every run so far, in the order of their starts.
func (g *WorkerGroup) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Run, len(g.runs))
	for i, r := range g.runs {
		out[i] = *r
	}
	return out
}

// lostOutcome is the outcome of a run that ended with its worker's process.
const lostOutcome = "lost"

// UnconfirmedDone is the outcome of a run that was done and whose end was not confirmed before its worker's process ended: the owner may
// have heard of it or not.
const UnconfirmedDone = "done_unconfirmed"

// Worker is a worker whose process may restart under its id. The group's mutex guards all its fields, since gangs span workers.
type Worker struct {
	group       *WorkerGroup
	incarnation dispatch.WorkerID
	started     time.Time
	// downUntil is when the present process begins to answer.
	downUntil time.Time

	epoch         uint64
	leaseDeadline time.Duration
	expiryTimer   *time.Timer
	running       map[graph.TaskID]*run
	// highestStopped holds, by task, the highest number of a run that was stopped or has ended on this worker.
	highestStopped map[graph.TaskID]uint64
	ended          []dispatch.EndedEntry
	lastSequence   uint64
	runEnded       chan struct{} // closed and replaced when a run ends
	// onRestart is called after each restart; nil for none.
	onRestart func()
}

type run struct {
	worker  *Worker
	key     dispatch.RunKey
	payload Payload
	// checkpointed is the work of earlier runs, as the checkpoint that this run started from states it.
	checkpointed time.Duration
	// workStartedAt is when the run began to work; zero while it waits for the other members of its gang.
	workStartedAt time.Time
	endTimer      *time.Timer
	record        *Run
}

// NewWorker returns a worker that has just started.
func NewWorker(group *WorkerGroup, incarnation dispatch.WorkerID) *Worker {
	w := &Worker{group: group, incarnation: incarnation, runEnded: make(chan struct{})}
	w.startProcess()
	return w
}

// startProcess begins a process that knows nothing of an earlier one. The caller holds the group's mutex, or has the only reference.
func (w *Worker) startProcess() {
	w.started = time.Now()
	w.epoch, w.leaseDeadline, w.lastSequence = 0, 0, 0
	w.running, w.highestStopped, w.ended = make(map[graph.TaskID]*run), make(map[graph.TaskID]uint64), nil
}

// Restart ends the worker's process with all its runs, and starts another one under the worker's id. Ends that were not confirmed are
// lost with it.
func (w *Worker) Restart() {
	w.group.mu.Lock()
	if w.expiryTimer != nil {
		w.expiryTimer.Stop()
	}
	for _, r := range w.running {
		if r.endTimer != nil {
			r.endTimer.Stop()
		}
		r.record.EndedAt, r.record.Outcome = time.Now(), lostOutcome
	}
	for _, e := range w.ended {
		for _, recorded := range w.group.runs {
			if recorded.Worker == w.incarnation && recorded.Key == e.RunKey {
				recorded.Outcome = lostOutcome
				if e.End == dispatch.RunDone {
					recorded.Outcome = UnconfirmedDone
				}
			}
		}
	}
	w.startProcess()
	w.downUntil = w.started.Add(restartTime)
	w.group.mu.Unlock()
	if w.onRestart != nil {
		w.onRestart()
	}
}

const (
	// restartTime is how long no process answers when a worker restarts.
	restartTime = 600 * time.Millisecond
	// maxLease is the longest lease that a worker grants.
	maxLease = 10 * time.Second
)

// isDown reports whether no process answers.
func (w *Worker) isDown() bool {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	return time.Now().Before(w.downUntil)
}

// awaitProcess waits until a process answers.
func (w *Worker) awaitProcess() {
	w.group.mu.Lock()
	until := w.downUntil
	w.group.mu.Unlock()
	time.Sleep(time.Until(until))
}

// processStart returns when the worker's process started, by the time of day since the Unix epoch.
func (w *Worker) processStart() time.Duration {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	return time.Duration(w.started.UnixNano())
}

// Incarnation implements graphproto.Worker.
func (w *Worker) Incarnation() dispatch.WorkerID { return w.incarnation }

// Clock implements graphproto.Worker.
func (w *Worker) Clock() time.Duration { return time.Since(w.started) }

// acceptEpoch records the epoch of a call and rejects one below the highest so far. The caller holds the group's mutex.
func (w *Worker) acceptEpoch(epoch uint64) error {
	if epoch < w.epoch {
		return owner.ErrSuperseded
	}
	w.epoch = epoch
	return nil
}

// extendLease extends the lease to deadline on the worker's clock, or by maxLease, and never shortens it. The caller holds the group's mutex.
func (w *Worker) extendLease(deadline time.Duration) {
	deadline = min(deadline, w.Clock()+maxLease)
	if deadline <= w.leaseDeadline {
		return
	}
	w.leaseDeadline = deadline
	if w.expiryTimer != nil {
		w.expiryTimer.Stop()
	}
	w.expiryTimer = time.AfterFunc(deadline-w.Clock(), w.expireLease)
}

// expireLease interrupts every run if the lease has expired.
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
	if err := w.acceptEpoch(call.Token); err != nil {
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
		return dispatch.StartRefused, nil // a simulated worker can only run a Payload
	}
	if ms, err := strconv.ParseInt(call.Checkpoint, 10, 64); err == nil {
		r.checkpointed = time.Duration(ms) * time.Millisecond
	}
	w.running[call.Task] = r
	w.group.runs = append(w.group.runs, r.record)
	if r.payload.CrashMS > 0 {
		time.AfterFunc(time.Duration(r.payload.CrashMS)*time.Millisecond, func() { r.crashWorker() })
	}
	r.startWithGang()
	return dispatch.Started, nil
}

// crashWorker ends the process of the run's worker, unless the run has ended.
func (r *run) crashWorker() {
	r.worker.group.mu.Lock()
	running := r.worker.running[r.key.Task] == r
	r.worker.group.mu.Unlock()
	if running {
		r.worker.Restart()
	}
}

// startWithGang starts the run's work. The work of a gang's members starts once every member was started.
// The caller holds the group's mutex.
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

// startWork starts the run's work and, unless it runs forever, the timer that ends it. The caller holds the group's mutex.
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

// workDone returns the work done so far, including that of the checkpoint which the run started from.
func (r *run) workDone() time.Duration {
	if r.workStartedAt.IsZero() {
		return r.checkpointed
	}
	return r.checkpointed + time.Since(r.workStartedAt)
}

func (r *run) checkpoint() string { return strconv.FormatInt(r.workDone().Milliseconds(), 10) }

// end ends the run and the other runs of its gang: these are done if this one is, else interrupted.
// The caller holds the group's mutex.
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
	if err := w.acceptEpoch(call.Token); err != nil {
		w.group.mu.Unlock()
		return dispatch.Report{}, err
	}
	w.extendLease(call.Deadline)
	w.ended = slices.DeleteFunc(w.ended, func(e dispatch.EndedEntry) bool { return e.Sequence <= call.Recorded })
	runEnded, endedCount, process := w.runEnded, len(w.ended), w.started
	w.group.mu.Unlock()
	if endedCount == 0 {
		select {
		case <-runEnded:
		case <-time.After(call.Wait):
		case <-ctx.Done():
		}
	}
	w.awaitProcess()
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	if w.started != process {
		// The next process takes the call.
		if err := w.acceptEpoch(call.Token); err != nil {
			return dispatch.Report{}, err
		}
		w.extendLease(call.Deadline)
	}
	report := dispatch.Report{Ended: slices.Clone(w.ended), ProcessStart: time.Duration(w.started.UnixNano())}
	for _, r := range w.running {
		report.Running = append(report.Running, r.runningEntry())
	}
	return report, nil
}

// fullProgress is the progress in percent of a task whose work is done, or that runs until it is stopped.
const fullProgress = 100

func (r *run) runningEntry() dispatch.RunningEntry {
	e := dispatch.RunningEntry{RunKey: r.key, Checkpoint: r.checkpoint(), Progress: fullProgress}
	if total := time.Duration(r.payload.RunMS) * time.Millisecond; !r.payload.Forever && total > 0 {
		e.Progress = int(fullProgress * r.workDone() / total)
	}
	return e
}
