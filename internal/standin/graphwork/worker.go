// Package graphwork simulates the workers that run the tasks of graph jobs, for tests and demonstrations. A task only
// takes the time that its payload states. A simulated worker follows the rules of a real one: it measures leases on its
// own clock, rejects superseded epochs, reports the end of a run until the owner has recorded it, refuses to start a run
// that was stopped before, reports checkpoints, and lets a gang work only while all of its members run.
package graphwork

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphproto"
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

// Worker is a worker whose process may restart under its id.
type Worker struct {
	group       *WorkerGroup
	incarnation dispatch.WorkerID
	// onRestart is called after each restart; nil for none.
	onRestart func()

	// current is the present process, which answers from upAt on. The group's mutex guards both.
	current *process
	upAt    time.Time
}

// process is one process of a worker, which knows nothing of earlier ones. The group's mutex guards all fields below ended, since gangs span
// workers.
type process struct {
	worker  *Worker
	group   *WorkerGroup
	started time.Time
	// ended is closed when the process ends. After that its methods do nothing.
	ended chan struct{}

	epoch         uint64
	leaseDeadline time.Duration
	expiryTimer   *time.Timer
	running       map[graph.TaskID]*run
	// highestStopped holds, by task, the highest number of a run that was stopped or has ended in this process.
	highestStopped map[graph.TaskID]uint64
	endedRuns      []dispatch.EndedEntry
	lastSequence   uint64
	runEnded       chan struct{} // closed and replaced when a run ends
}

var _ graphproto.Worker = (*process)(nil)

type run struct {
	process *process
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
	w := &Worker{group: group, incarnation: incarnation}
	w.current = newProcess(w)
	return w
}

func newProcess(w *Worker) *process {
	return &process{
		worker: w, group: w.group, started: time.Now(), ended: make(chan struct{}),
		running: make(map[graph.TaskID]*run), highestStopped: make(map[graph.TaskID]uint64), runEnded: make(chan struct{}),
	}
}

// restartTime is how long no process answers when a worker restarts.
const restartTime = 600 * time.Millisecond

// Restart ends the worker's process with all its runs, and starts another one under the worker's id. Ends that were not confirmed are
// lost with it.
func (w *Worker) Restart() {
	w.group.mu.Lock()
	w.current.exit()
	w.current = newProcess(w)
	w.upAt = w.current.started.Add(restartTime)
	w.group.mu.Unlock()
	if w.onRestart != nil {
		w.onRestart()
	}
}

// exit ends the process with all its runs. The caller holds the group's mutex.
func (p *process) exit() {
	close(p.ended)
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
	}
	for _, r := range p.running {
		if r.endTimer != nil {
			r.endTimer.Stop()
		}
		r.record.EndedAt, r.record.Outcome = time.Now(), lostOutcome
	}
	for _, e := range p.endedRuns {
		for _, recorded := range p.group.runs {
			if recorded.Worker == p.worker.incarnation && recorded.Key == e.RunKey {
				recorded.Outcome = lostOutcome
				if e.End == dispatch.RunDone {
					recorded.Outcome = UnconfirmedDone
				}
			}
		}
	}
	p.running, p.endedRuns = nil, nil
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// currentProcess returns the worker's present process and when it begins to answer.
func (w *Worker) currentProcess() (*process, time.Time) {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	return w.current, w.upAt
}

// errProcessEnded means that the process ended before it carried out a call.
var errProcessEnded = errors.New("graphwork: the worker's process has ended")

// maxLease is the longest lease that a worker grants.
const maxLease = 10 * time.Second

// Incarnation implements graphproto.Worker.
func (p *process) Incarnation() dispatch.WorkerID { return p.worker.incarnation }

// ProcessStart implements graphproto.Worker.
func (p *process) ProcessStart() time.Duration { return time.Duration(p.started.UnixNano()) }

// Clock implements graphproto.Worker.
func (p *process) Clock() time.Duration { return time.Since(p.started) }

// acceptCall records the epoch of a call and rejects one below the highest so far, and any call once the process has ended. The caller holds
// the group's mutex.
func (p *process) acceptCall(epoch uint64) error {
	if p.hasEnded() {
		return errProcessEnded
	}
	if epoch < p.epoch {
		return owner.ErrSuperseded
	}
	p.epoch = epoch
	return nil
}

// extendLease extends the lease to deadline on the worker's clock, or by maxLease, and never shortens it. The caller holds the group's mutex.
func (p *process) extendLease(deadline time.Duration) {
	deadline = min(deadline, p.Clock()+maxLease)
	if deadline <= p.leaseDeadline {
		return
	}
	p.leaseDeadline = deadline
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
	}
	p.expiryTimer = time.AfterFunc(deadline-p.Clock(), p.expireLease)
}

// expireLease interrupts every run if the lease has expired.
func (p *process) expireLease() {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	if p.Clock() < p.leaseDeadline {
		return
	}
	for _, r := range p.running {
		r.end(dispatch.RunInterrupted)
	}
}

// Start implements graphproto.Worker.
func (p *process) Start(call owner.StartCall) (dispatch.StartOutcome, error) {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	if err := p.acceptCall(call.Token); err != nil {
		return dispatch.StartRefused, err
	}
	if call.Deadline <= p.Clock() {
		return dispatch.StartRefused, nil
	}
	if current := p.running[call.Task]; current != nil && current.key.Number >= call.Number {
		return dispatch.Started, nil
	}
	if call.Number <= p.highestStopped[call.Task] {
		return dispatch.StartOutdated, nil
	}
	p.extendLease(call.Deadline)
	r := &run{process: p, key: call.RunKey, record: &Run{Worker: p.worker.incarnation, Key: call.RunKey, StartedAt: time.Now()}}
	if err := json.Unmarshal([]byte(call.Payload), &r.payload); err != nil {
		return dispatch.StartRefused, nil // a simulated worker can only run a Payload
	}
	if ms, err := strconv.ParseInt(call.Checkpoint, 10, 64); err == nil {
		r.checkpointed = time.Duration(ms) * time.Millisecond
	}
	p.running[call.Task] = r
	p.group.runs = append(p.group.runs, r.record)
	if r.payload.CrashMS > 0 {
		time.AfterFunc(time.Duration(r.payload.CrashMS)*time.Millisecond, func() { r.crashWorker() })
	}
	r.startWithGang()
	return dispatch.Started, nil
}

// crashWorker ends the process of the run's worker, unless the run has ended.
func (r *run) crashWorker() {
	r.process.group.mu.Lock()
	running := r.process.running[r.key.Task] == r
	r.process.group.mu.Unlock()
	if running {
		r.process.worker.Restart()
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
	group := r.process.group
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
		r.process.group.mu.Lock()
		defer r.process.group.mu.Unlock()
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
	p := r.process
	if p.running[r.key.Task] != r {
		return
	}
	if r.endTimer != nil {
		r.endTimer.Stop()
	}
	delete(p.running, r.key.Task)
	p.highestStopped[r.key.Task] = max(p.highestStopped[r.key.Task], r.key.Number)
	p.lastSequence++
	p.endedRuns = append(p.endedRuns, dispatch.EndedEntry{Sequence: p.lastSequence, RunKey: r.key, End: outcome, Checkpoint: r.checkpoint()})
	r.record.EndedAt, r.record.Outcome = time.Now(), outcome.String()
	close(p.runEnded)
	p.runEnded = make(chan struct{})
	key := r.gangKey()
	members := p.group.gangs[key]
	delete(p.group.gangs, key)
	for _, member := range members {
		if outcome == dispatch.RunDone {
			member.end(dispatch.RunDone)
		} else {
			member.end(dispatch.RunInterrupted)
		}
	}
}

// Stop implements graphproto.Worker.
func (p *process) Stop(key dispatch.RunKey, epoch uint64) error {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	if err := p.acceptCall(epoch); err != nil {
		return err
	}
	p.highestStopped[key.Task] = max(p.highestStopped[key.Task], key.Number)
	if r := p.running[key.Task]; r != nil && r.key.Number <= key.Number {
		r.end(dispatch.RunInterrupted)
	}
	return nil
}

// Hold implements graphproto.Worker.
func (p *process) Hold(ctx context.Context, call owner.HoldCall) (dispatch.Report, error) {
	p.group.mu.Lock()
	if err := p.acceptCall(call.Token); err != nil {
		p.group.mu.Unlock()
		return dispatch.Report{}, err
	}
	p.extendLease(call.Deadline)
	p.endedRuns = slices.DeleteFunc(p.endedRuns, func(e dispatch.EndedEntry) bool { return e.Sequence <= call.Recorded })
	runEnded, endedCount := p.runEnded, len(p.endedRuns)
	p.group.mu.Unlock()
	if endedCount == 0 {
		select {
		case <-runEnded:
		case <-p.ended:
		case <-time.After(call.Wait):
		case <-ctx.Done():
		}
	}
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	if p.hasEnded() {
		return dispatch.Report{}, errProcessEnded
	}
	report := dispatch.Report{Ended: slices.Clone(p.endedRuns), ProcessStart: p.ProcessStart()}
	for _, r := range p.running {
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
