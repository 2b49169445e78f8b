package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Timing of the owner's loop, as in package owner.
const (
	historyLease            = 5 * time.Second
	historyMargin           = 300 * time.Millisecond
	historyStartTime        = 700 * time.Millisecond
	historyHoldTime         = 2 * time.Second
	historyOwnershipTTL     = 900 * time.Millisecond
	historySlowestClockRate = 0.98
	historyAttempts         = 3
)

// historyRun is a run on a worker. stopAt is when a stop takes effect, 0 without a stop.
type historyRun struct {
	number uint64
	stopAt monotime.Instant
}

// historyEnd is an ended run with what the invariants need to know about it.
type historyEnd struct {
	task    graph.TaskID
	number  uint64
	outcome RunOutcome
	// confirmed means that the owner confirmed the end, so that the worker forgot it.
	confirmed bool
	// leaseExpired means that the worker's lease expired before that. The end then never counts.
	leaseExpired bool
	// startedAfter describes a start of the task after this run ended as done.
	startedAfter string
}

// historyWorker is one incarnation of a worker. It obeys fences and run numbers, measures its lease by its own clock, and keeps
// its ended runs until they are confirmed.
type historyWorker struct {
	id            WorkerID
	capacity      graph.Resources
	clockRate     float64
	leaseDeadline time.Duration
	fence         uint64
	running       map[graph.TaskID]*historyRun
	stopped       map[graph.TaskID]uint64
	ended         []EndedEntry
	checkedEnds   map[uint64]*historyEnd
	lastSequence  uint64
	unresponsive  bool
	removed       bool
	draining      bool
}

func (w *historyWorker) clock(now monotime.Instant) time.Duration {
	return time.Duration(float64(now) * w.clockRate)
}

// historyWorkerView is what an owner knows of a worker.
type historyWorkerView struct {
	id                WorkerID
	confirmedSequence uint64
	leaseEndsBy       monotime.Instant
	clockReading      time.Duration
	clockReadAt       monotime.Instant
	clockKnown        bool
	reachable         bool
	unresponsive      bool
	holdPending       bool
}

func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / historySlowestClockRate)
}

func (v *historyWorkerView) extendLease(now monotime.Instant) time.Duration {
	deadline := v.clockReading + now.Sub(v.clockReadAt) + historyLease
	v.leaseEndsBy = max(v.leaseEndsBy, v.clockReadAt.Add(onSlowestClock(deadline-v.clockReading)))
	return deadline
}

type historyKind int

const (
	historyHold historyKind = iota
	historyStart
	historyStop
)

// historyCall is a call to a worker. It may be executed after its owner has abandoned it.
type historyCall struct {
	kind              historyKind
	epoch             uint64
	view              *historyWorkerView
	worker            WorkerID
	sent              monotime.Instant
	until             monotime.Instant
	deadline          time.Duration
	confirmedSequence uint64
	start             Start
	stop              RunKey
	maybeExecuted     bool

	executed         bool
	otherIncarnation bool
	outcome          StartOutcome
	report           Report
	clockReading     time.Duration
}

// historyRecord is a write to the store that the owner has not finished.
type historyRecord struct {
	progress     map[graph.JobID]Progress
	endSequences map[WorkerID]uint64
	newWorkers   []WorkerID
	oldWorkers   []WorkerID
	draining     []WorkerID
	sent         monotime.Instant
	applied      bool
}

// history simulates workers, the store and a succession of owners. Only what is durable outlives an owner.
type history struct {
	t           *testing.T
	rnd         *rand.Rand
	trace       []string
	now         monotime.Instant
	reportLimit int
	// onePerWorker sets MaxPerWorker to 1 for all steps but gangs.
	onePerWorker bool
	// speculative makes some steps Speculative.
	speculative bool
	// drains lets workers begin to drain.
	drains bool

	specs     map[graph.JobID]*graph.Spec
	cancelled map[graph.JobID]bool
	// undelivered are the stored jobs that the owner doesn't know yet.
	undelivered map[graph.JobID]bool
	// checkpoints are those that runs of a task, or of its gang, have saved.
	checkpoints map[graph.TaskID]map[string]bool
	durable     map[graph.JobID]Progress
	recorded    map[WorkerID]bool
	// storeVersion counts the writes to the store. recordedAt holds the versions at which jobs were recorded, drainedAt those at which
	// workers were recorded as draining.
	storeVersion        uint64
	recordedAt          map[graph.JobID]uint64
	drainedAt           map[WorkerID]uint64
	workers             map[WorkerID]*historyWorker
	incarnations        int
	ends                []*historyEnd
	startsAfterFailures [][]*historyEnd
	storeDown           bool
	starts              int
	takeovers           int
	copies              uint64

	epoch       uint64
	engine      *Engine
	workerViews map[WorkerID]*historyWorkerView
	calls       []*historyCall
	lateCalls   []*historyCall
	record      *historyRecord
	newWorkers  map[WorkerID]bool
	oldWorkers  map[WorkerID]bool
	// knownDraining are the draining workers that the owner knows of, newDraining those of which it has to record it.
	knownDraining, newDraining map[WorkerID]bool
	validUntil                 monotime.Instant
}

func (h *history) log(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf("%8.3f ", float64(h.now)/1e9)+fmt.Sprintf(format, args...))
}

func (h *history) fail(format string, args ...any) {
	h.t.Helper()
	h.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(h.trace[max(0, len(h.trace)-120):], "\n"))
}

func (h *history) chance(percent int) bool { return h.rnd.IntN(100) < percent }

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func newHistory(t *testing.T, seed uint64, reportLimit int, onePerWorker, speculative bool) *history {
	h := &history{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: monotime.Instant(time.Second), reportLimit: reportLimit, onePerWorker: onePerWorker, speculative: speculative,
		specs: make(map[graph.JobID]*graph.Spec), cancelled: make(map[graph.JobID]bool), checkpoints: make(map[graph.TaskID]map[string]bool), durable: make(map[graph.JobID]Progress),
		recorded: make(map[WorkerID]bool), workers: make(map[WorkerID]*historyWorker), recordedAt: make(map[graph.JobID]uint64), drainedAt: make(map[WorkerID]uint64),
	}
	for range 3 {
		h.addWorker()
	}
	h.takeOver()
	return h
}

func (h *history) addWorker() {
	h.incarnations++
	id := WorkerID(fmt.Sprintf("w%02d", h.incarnations))
	h.workers[id] = &historyWorker{
		id: id, capacity: graph.Resources{MilliCPU: 100}, clockRate: []float64{1, historySlowestClockRate}[h.rnd.IntN(2)],
		running: make(map[graph.TaskID]*historyRun), stopped: make(map[graph.TaskID]uint64), checkedEnds: make(map[uint64]*historyEnd),
	}
	if h.newWorkers != nil {
		h.newWorkers[id] = true
	}
}

func (h *history) queue() graph.Queue {
	return graph.Queue{Name: "q", Pool: "p", MaxAttempts: historyAttempts, Stretch: 2, Target: time.Second}
}

func (h *history) stepOf(task graph.TaskID) *graph.Step { return &h.specs[task.Job].Steps[task.Step] }

// takeOver replaces the owner by one that knows what is durable. Calls of the earlier owner may still be executed.
func (h *history) takeOver() {
	h.epoch++
	h.takeovers++
	h.log("owner %d takes over", h.epoch)
	h.lateCalls = append(h.lateCalls, h.calls...)
	h.calls, h.record = nil, nil
	if h.engine != nil {
		h.copies += h.engine.Stats().Copies
	}
	h.engine = New(h.epoch)
	// Within the usual bound, three workers have no room for a copy.
	h.engine.maxCopyShare, h.engine.copyEagerly = 1, true
	h.engine.SetNow(h.now)
	h.workerViews = make(map[WorkerID]*historyWorkerView)
	h.newWorkers, h.oldWorkers = make(map[WorkerID]bool), make(map[WorkerID]bool)
	h.knownDraining, h.newDraining = make(map[WorkerID]bool), make(map[WorkerID]bool)
	h.validUntil = h.now.Add(historyOwnershipTTL)
	h.undelivered = make(map[graph.JobID]bool)
	for _, id := range sortedKeys(h.specs) {
		h.deliverJob(id, h.epoch > 1)
	}
	for _, id := range sortedKeys(h.recorded) {
		if version, drained := h.drainedAt[id]; drained {
			h.knownDraining[id] = true
			h.engine.AwaitDrainingReport(id, "p", version)
		} else {
			h.engine.AwaitReport(id, "p")
		}
		h.addWorkerView(id, true)
	}
	for _, id := range sortedKeys(h.workers) {
		if !h.recorded[id] && !h.workers[id].removed {
			h.newWorkers[id] = true
		}
	}
}

func (h *history) deliverJob(id graph.JobID, unconfirmed bool) {
	var p *Progress
	if known, ok := h.durable[id]; ok {
		p = &known
	}
	h.engine.AddJob(JobInput{ID: id, Queue: h.queue(), Spec: h.specs[id], ArrivedAt: h.now, Progress: p, Unconfirmed: unconfirmed, RecordedAt: h.recordedAt[id]})
	if h.cancelled[id] {
		h.engine.Cancel(id)
	}
}

func (h *history) addWorkerView(id WorkerID, takenOver bool) {
	if h.workerViews[id] != nil {
		return
	}
	view := &historyWorkerView{id: id}
	if takenOver {
		view.leaseEndsBy = h.now.Add(onSlowestClock(historyLease) + historyMargin)
	}
	h.workerViews[id] = view
	h.putWorker(id)
}

func (h *history) putWorker(id WorkerID) {
	h.engine.PutWorker(Worker{ID: id, Pool: "p", Capacity: h.workers[id].capacity, Draining: h.knownDraining[id]})
}

// drainWorker lets a worker begin to drain, in whose place another one comes.
func (h *history) drainWorker() {
	w := h.workers[sortedKeys(h.workers)[h.rnd.IntN(len(h.workers))]]
	if !w.removed && !w.draining {
		w.draining = true
		h.log("%s drains", w.id)
		h.addWorker()
	}
}

// learnDrains lets the owner know of the draining workers that it uses.
func (h *history) learnDrains() {
	for _, id := range sortedKeys(h.workerViews) {
		if h.workers[id].draining && !h.knownDraining[id] {
			h.knownDraining[id], h.newDraining[id] = true, true
			h.putWorker(id)
		}
	}
}

func (h *history) addJob() {
	id := graph.JobID(fmt.Sprintf("j%02d", len(h.specs)))
	spec := &graph.Spec{}
	for i := range 1 + h.rnd.IntN(3) {
		s := graph.Step{
			Count: 1 + h.rnd.IntN(4), Claim: graph.Resources{MilliCPU: int64(10 + h.rnd.IntN(40))}, Checkpoints: h.chance(50), Estimate: time.Second,
		}
		switch {
		case h.chance(30):
			s.Gang, s.Count = true, 2+h.rnd.IntN(2)
		case h.chance(10):
			s.LongRunning = true
		}
		if h.onePerWorker && !s.Gang {
			s.MaxPerWorker, s.Count, s.Claim.MilliCPU = 1, 5, 10
			if h.speculative {
				s.Count = 2 // leaves a worker for a copy
			}
		}
		s.Speculative = h.speculative && !s.Gang && !s.LongRunning && h.chance(70)
		if i > 0 {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	h.specs[id] = spec
	h.storeVersion++
	h.recordedAt[id] = h.storeVersion
	h.log("job %s: %+v", id, spec.Steps)
	if h.chance(50) {
		h.undelivered[id] = true
		return
	}
	h.deliverJob(id, false)
}

// deliverStoredJob delivers a stored job to the owner, as the store's feed does.
func (h *history) deliverStoredJob() {
	if ids := sortedKeys(h.undelivered); len(ids) > 0 {
		delete(h.undelivered, ids[0])
		h.deliverJob(ids[0], false)
	}
}

// checkpointOwner returns the task under which a task's checkpoints are kept: one task for all members of a gang, since any
// member's checkpoint is valid for all.
func (h *history) checkpointOwner(task graph.TaskID) graph.TaskID {
	if h.stepOf(task).Gang {
		task.Index = 0
	}
	return task
}

// advance advances the time: leases expire, stops take effect, and unanswered calls are abandoned.
func (h *history) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.engine.SetNow(h.now)
	for _, id := range sortedKeys(h.workers) {
		w := h.workers[id]
		for _, task := range sortedTasks(w.running) {
			if r := w.running[task]; r != nil && r.stopAt > 0 && h.now >= r.stopAt {
				h.endRun(w, task, RunInterrupted)
			}
		}
		if w.leaseDeadline > 0 && w.clock(h.now) >= w.leaseDeadline {
			h.expireLease(w)
		}
	}
	for _, c := range slices.Clone(h.calls) {
		if h.now > c.until {
			h.abandonCall(c)
		}
	}
	h.giveUpExpiredWorkers()
}

func sortedTasks(m map[graph.TaskID]*historyRun) []graph.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b graph.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

func (h *history) expireLease(w *historyWorker) {
	w.leaseDeadline = 0
	h.log("lease of %s expires", w.id)
	for _, task := range sortedTasks(w.running) {
		if w.running[task] != nil {
			h.endRun(w, task, RunInterrupted)
		}
	}
	for _, e := range w.checkedEnds {
		e.leaseExpired = e.leaseExpired || !e.confirmed
	}
}

// endRun ends a run, and if its task is a member of a gang, the runs of the other members.
func (h *history) endRun(w *historyWorker, task graph.TaskID, outcome RunOutcome) {
	number := w.running[task].number
	h.endMember(w, task, outcome)
	if !h.stepOf(task).Gang {
		return
	}
	if outcome != RunDone {
		outcome = RunInterrupted
	}
	for _, id := range sortedKeys(h.workers) {
		other := h.workers[id]
		for _, member := range sortedTasks(other.running) {
			same := member.Job == task.Job && member.Step == task.Step && other.running[member].number == number
			if same && !other.removed {
				h.endMember(other, member, outcome)
			}
		}
	}
}

func (h *history) endMember(w *historyWorker, task graph.TaskID, outcome RunOutcome) {
	key := RunKey{task, w.running[task].number}
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], key.Number)
	w.lastSequence++
	checkpoint := ""
	if h.stepOf(task).Checkpoints {
		checkpoint = fmt.Sprint("c", w.id, w.lastSequence)
		if h.checkpoints[h.checkpointOwner(task)] == nil {
			h.checkpoints[h.checkpointOwner(task)] = make(map[string]bool)
		}
		h.checkpoints[h.checkpointOwner(task)][checkpoint] = true
	}
	w.ended = append(w.ended, EndedEntry{Sequence: w.lastSequence, RunKey: key, End: outcome, Checkpoint: checkpoint})
	e := &historyEnd{task: task, number: key.Number, outcome: outcome}
	w.checkedEnds[w.lastSequence] = e
	h.ends = append(h.ends, e)
	h.log("%s: %s run %d ends %s as %d", w.id, task, key.Number, outcome, w.lastSequence)
}

// gangComplete reports whether all members of a gang run under the given number.
func (h *history) gangComplete(task graph.TaskID, number uint64) bool {
	n := 0
	for _, w := range h.workers {
		for member, r := range w.running {
			if !w.removed && member.Job == task.Job && member.Step == task.Step && r.number == number {
				n++
			}
		}
	}
	return n == h.stepOf(task).Count
}

func (h *history) endSomeRun() {
	w := h.workers[sortedKeys(h.workers)[h.rnd.IntN(len(h.workers))]]
	tasks := sortedTasks(w.running)
	if w.removed || len(tasks) == 0 {
		return
	}
	task := tasks[h.rnd.IntN(len(tasks))]
	outcome := []RunOutcome{RunDone, RunDone, RunDone, RunFailed, RunInterrupted}[h.rnd.IntN(5)]
	if h.stepOf(task).Gang && outcome != RunInterrupted && !h.gangComplete(task, w.running[task].number) {
		return // a member can't finish or fail before all members run
	}
	h.endRun(w, task, outcome)
}

// countsFor reports whether an end counts for a task. The end of a gang's member counts for all members.
func (h *history) countsFor(e *historyEnd, task graph.TaskID) bool {
	if h.stepOf(task).Gang {
		return e.task.Job == task.Job && e.task.Step == task.Step
	}
	return e.task == task
}

// checkStart checks the invariants of a start: the task has no other run and has attempts left, its step's dependencies are
// done, the worker's capacity and MaxPerWorker are kept, and the checkpoint is the task's or its gang's.
func (h *history) checkStart(w *historyWorker, s Start) {
	def := h.stepOf(s.Task)
	if s.Checkpoint != "" && !h.checkpoints[h.checkpointOwner(s.Task)][s.Checkpoint] {
		h.fail("wrong checkpoint: %s run %d carries %s", s.Task, s.Number, s.Checkpoint)
	}
	used, tasksOfStep, otherRuns := def.Allocation(), 1, 0
	for _, id := range sortedKeys(h.workers) {
		other := h.workers[id]
		if other.removed {
			continue
		}
		for _, task := range sortedTasks(other.running) {
			if task == s.Task {
				otherRuns++
			}
			if task == s.Task && !(def.Speculative && otherRuns == 1 && other != w && other.running[task].number < s.Number) {
				h.fail("runs twice: %s run %d starts on %s while run %d is on %s", task, s.Number, w.id, other.running[task].number, id)
			}
			if other == w {
				used = used.Add(h.stepOf(task).Allocation())
				if task.Job == s.Task.Job && task.Step == s.Task.Step {
					tasksOfStep++
				}
			}
		}
	}
	if def.MaxPerWorker > 0 && tasksOfStep > def.MaxPerWorker {
		h.fail("too many on a worker: %s run %d starts on %s, %d tasks of the step there", s.Task, s.Number, w.id, tasksOfStep)
	}
	if !used.Fits(w.capacity) {
		h.fail("over capacity: allocations on worker %s add up to %v", w.id, used)
	}
	var failed []*historyEnd
	numbers := make(map[uint64]bool)
	for _, e := range h.ends {
		if !h.countsFor(e, s.Task) || def.LongRunning || e.leaseExpired {
			continue
		}
		if e.outcome == RunDone && !def.Speculative { // the order for a copy may be under way when the original ends; see plan
			if e.confirmed {
				h.fail("runs twice: %s run %d starts on %s after run %d was confirmed as done", s.Task, s.Number, w.id, e.number)
			}
			e.startedAfter = fmt.Sprintf("%s run %d on %s", s.Task, s.Number, w.id)
		}
		if e.outcome == RunFailed && !numbers[e.number] {
			numbers[e.number] = true
			failed = append(failed, e)
		}
	}
	if len(failed) >= historyAttempts {
		h.startsAfterFailures = append(h.startsAfterFailures, failed)
		h.checkAttempts()
	}
	for _, before := range def.After {
		for i := range h.specs[s.Task.Job].Steps[before].Count {
			task := graph.TaskID{Job: s.Task.Job, Step: before, Index: i}
			if !slices.ContainsFunc(h.ends, func(e *historyEnd) bool { return e.outcome == RunDone && h.countsFor(e, task) }) {
				h.fail("too early: %s starts before %s is done", s.Task, task)
			}
		}
	}
}

func (h *history) checkAttempts() {
	for _, failed := range h.startsAfterFailures {
		confirmed := 0
		for _, e := range failed {
			if e.confirmed {
				confirmed++
			}
		}
		if confirmed >= historyAttempts {
			h.fail("too many attempts: %s started after %d failed runs were confirmed", failed[0].task, confirmed)
		}
	}
}

func (h *history) confirmEnds(w *historyWorker, confirmedSequence uint64) {
	w.ended = slices.DeleteFunc(w.ended, func(e EndedEntry) bool {
		if e.Sequence > confirmedSequence {
			return false
		}
		end := w.checkedEnds[e.Sequence]
		if !end.leaseExpired {
			end.confirmed = true
			if end.startedAfter != "" {
				h.fail("runs twice: %s run %d ended done, then started %s, and the end is confirmed", end.task, end.number, end.startedAfter)
			}
		}
		return true
	})
	h.checkAttempts()
}

// execute executes a call at its worker.
func (h *history) execute(c *historyCall) {
	w := h.workers[c.worker]
	c.executed = true
	if w.removed {
		c.otherIncarnation = true
		return
	}
	c.clockReading = w.clock(h.now)
	if c.epoch < w.fence {
		c.outcome = StartRefused
		return
	}
	w.fence = c.epoch
	extend := func() {
		if c.deadline > w.leaseDeadline && c.deadline > w.clock(h.now) {
			w.leaseDeadline = c.deadline
		}
	}
	switch c.kind {
	case historyHold:
		extend()
		h.confirmEnds(w, c.confirmedSequence)
		c.report = Report{Ended: slices.Clone(w.ended[:min(len(w.ended), h.reportLimit)]), Partial: len(w.ended) >= h.reportLimit}
		for _, task := range sortedTasks(w.running) {
			c.report.Running = append(c.report.Running, RunningEntry{RunKey: RunKey{task, w.running[task].number}})
		}
		h.log("%s lists %d running, %d ended, partial %v; ends confirmed up to %d", w.id, len(w.running), len(c.report.Ended), c.report.Partial, c.confirmedSequence)
	case historyStart:
		c.outcome = h.executeStart(w, c)
		extend()
		h.log("%s: start %s run %d of owner %d: %s", w.id, c.start.Task, c.start.Number, c.epoch, c.outcome)
	case historyStop:
		w.stopped[c.stop.Task] = max(w.stopped[c.stop.Task], c.stop.Number)
		if r := w.running[c.stop.Task]; r != nil && r.number <= c.stop.Number && r.stopAt == 0 {
			r.stopAt = h.now.Add(time.Duration(h.rnd.IntN(400)) * time.Millisecond)
		}
		h.log("%s: stop %s run %d of owner %d", w.id, c.stop.Task, c.stop.Number, c.epoch)
	}
}

func (h *history) executeStart(w *historyWorker, c *historyCall) StartOutcome {
	s := c.start
	r := w.running[s.Task]
	switch {
	case c.deadline <= w.clock(h.now):
		return StartRefused // the call's deadline has passed
	case r != nil && r.number == s.Number:
		return Started
	case s.Number <= w.stopped[s.Task]:
		return StartOutdated
	case h.chance(5):
		return StartRefused // as a worker that answers 503
	}
	h.checkStart(w, s)
	h.starts++
	w.running[s.Task] = &historyRun{number: s.Number}
	return Started
}

func (h *history) send(c *historyCall) {
	c.epoch, c.sent = h.epoch, h.now
	h.calls = append(h.calls, c)
}

func (h *history) forgetCall(c *historyCall) {
	h.calls = slices.DeleteFunc(h.calls, func(o *historyCall) bool { return o == c })
}

// abandonCall makes the owner give up a call. If it has not been executed, that may happen later.
func (h *history) abandonCall(c *historyCall) {
	h.forgetCall(c)
	if !c.executed {
		h.lateCalls = append(h.lateCalls, c)
	}
	switch c.kind {
	case historyHold:
		c.view.holdPending = false
		if h.workerViews[c.worker] != c.view {
			return
		}
		c.view.reachable, c.view.unresponsive = false, true
		h.log("hold call to %s failed", c.worker)
		h.engine.SetReachable(c.worker, false)
	case historyStart:
		if h.now < c.until && h.ownershipValid() {
			again := *c
			again.executed, again.maybeExecuted = false, true
			h.calls = append(h.calls, &again) // with the deadline of the first attempt
			return
		}
		h.engine.HandleStartOutcome(c.worker, c.start.RunKey, StartInDoubt)
	case historyStop:
		h.engine.HandleStopAnswer(c.worker, c.stop, false)
	}
}

// deliverAnswer delivers a call's answer to the owner.
func (h *history) deliverAnswer(c *historyCall) {
	h.forgetCall(c)
	if c.kind == historyHold {
		c.view.holdPending = false
	}
	switch c.kind {
	case historyHold:
		if h.workerViews[c.worker] != c.view || c.otherIncarnation {
			break
		}
		c.view.reachable, c.view.unresponsive = true, false
		if !c.view.clockKnown || c.clockReading >= c.view.clockReading {
			c.view.clockReading, c.view.clockReadAt, c.view.clockKnown = c.clockReading, h.now, true
		}
		h.engine.HandleReport(c.worker, c.sent, c.report)
	case historyStart:
		outcome := c.outcome
		if c.otherIncarnation {
			outcome = StartRefused
		} else if c.maybeExecuted && outcome != Started {
			outcome = StartInDoubt
		}
		h.engine.HandleStartOutcome(c.worker, c.start.RunKey, outcome)
	case historyStop:
		h.engine.HandleStopAnswer(c.worker, c.stop, !c.otherIncarnation)
	}
	if c.otherIncarnation && h.workerViews[c.worker] == c.view {
		h.log("%s has ended", c.worker)
		delete(h.workerViews, c.worker)
		h.engine.RemoveWorker(c.worker, WorkerSilent)
		h.oldWorkers[c.worker] = true
	}
}

func (h *history) sendHold() {
	ids := sortedKeys(h.workerViews)
	if len(ids) == 0 {
		return
	}
	view := h.workerViews[ids[h.rnd.IntN(len(ids))]]
	if view.holdPending {
		return
	}
	view.holdPending = true
	c := &historyCall{kind: historyHold, view: view, worker: view.id, confirmedSequence: view.confirmedSequence, until: h.now.Add(historyHoldTime)}
	if view.reachable && view.clockKnown && h.ownershipValid() {
		c.deadline = view.extendLease(h.now)
	}
	h.send(c)
}

func (h *history) ownershipValid() bool { return h.now < h.validUntil }

func (h *history) plan() {
	if !h.ownershipValid() {
		return
	}
	orders := h.engine.Plan(0)
	slices.SortFunc(orders, func(a, b Order) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for _, order := range orders {
		switch o := order.(type) {
		case Start:
			view := h.workerViews[o.Worker]
			if view == nil || !view.clockKnown {
				h.engine.HandleStartOutcome(o.Worker, o.RunKey, StartRefused)
				continue
			}
			h.checkOrder(o)
			h.log("order: start %s run %d on %s", o.Task, o.Number, o.Worker)
			h.send(&historyCall{kind: historyStart, view: view, worker: o.Worker, start: o, deadline: view.extendLease(h.now), until: h.now.Add(historyStartTime)})
		case Stop:
			if view := h.workerViews[o.Worker]; view != nil {
				h.log("order: stop %s run %d on %s, %s", o.Task, o.Number, o.Worker, o.Reason)
				h.send(&historyCall{kind: historyStop, view: view, worker: o.Worker, stop: o.RunKey, until: h.now.Add(historyStartTime)})
			}
		}
	}
}

// checkOrder checks that no start is ordered for a task that the owner knows to be done.
func (h *history) checkOrder(s Start) {
	if h.engine.task(s.Task).done {
		h.fail("ordered after done: %s run %d", s.Task, s.Number)
	}
	for _, e := range h.ends {
		if e.task == s.Task && e.outcome == RunDone && e.confirmed && !e.leaseExpired && !h.stepOf(s.Task).LongRunning {
			h.fail("ordered after done: %s run %d, run %d was confirmed as done", s.Task, s.Number, e.number)
		}
	}
}

// giveUpExpiredWorkers gives up the runs on unresponsive workers whose lease has ended.
func (h *history) giveUpExpiredWorkers() {
	for _, id := range sortedKeys(h.workerViews) {
		view := h.workerViews[id]
		if view.unresponsive && h.now > view.leaseEndsBy.Add(historyMargin) && (h.engine.HasRuns(id) || !h.engine.ReportsComplete()) {
			h.log("runs on unresponsive %s are given up", id)
			h.engine.RemoveWorker(id, WorkerSilent)
			h.putWorker(id)
		}
	}
}

// beginRecord starts to record what has changed. Ends are confirmed only by a record that leaves nothing unrecorded.
func (h *history) beginRecord() {
	r := &historyRecord{progress: h.engine.TakeDirty(2), sent: h.now}
	for id := range h.newWorkers {
		r.newWorkers = append(r.newWorkers, id)
	}
	for id := range h.oldWorkers {
		r.oldWorkers = append(r.oldWorkers, id)
	}
	r.draining = sortedKeys(h.newDraining)
	h.newWorkers, h.oldWorkers, h.newDraining = make(map[WorkerID]bool), make(map[WorkerID]bool), make(map[WorkerID]bool)
	if !h.engine.HasDirty() {
		r.endSequences = h.engine.LastEndSequences()
	}
	h.record = r
}

func (h *history) applyRecord() {
	r := h.record
	r.applied = true
	h.storeVersion++
	for _, id := range r.draining {
		h.drainedAt[id] = h.storeVersion
	}
	for id, p := range r.progress {
		h.durable[id] = p
	}
	for _, id := range r.newWorkers {
		h.recorded[id] = true
	}
	for _, id := range r.oldWorkers {
		delete(h.recorded, id)
	}
	h.log("record applied: %d jobs, end sequences %v", len(r.progress), r.endSequences)
}

func (h *history) endRecord(answered bool) {
	r := h.record
	h.record = nil
	if !answered {
		for id := range r.progress {
			h.engine.MarkDirty(id)
		}
		for _, id := range r.newWorkers {
			h.newWorkers[id] = true
		}
		for _, id := range r.oldWorkers {
			h.oldWorkers[id] = true
		}
		for _, id := range r.draining {
			h.newDraining[id] = true
		}
		return
	}
	for id := range r.progress {
		h.engine.ConfirmRecorded(id)
	}
	h.validUntil = r.sent.Add(historyOwnershipTTL)
	for _, id := range slices.Sorted(slices.Values(r.newWorkers)) {
		h.addWorkerView(id, false)
	}
	h.confirmSequences(r.endSequences)
}

func (h *history) confirmSequences(recorded map[WorkerID]uint64) {
	for id, sequence := range recorded {
		if view := h.workerViews[id]; view != nil {
			view.confirmedSequence = max(view.confirmedSequence, sequence)
		}
	}
}

func (h *history) stepStore() {
	switch {
	case h.record == nil:
		h.beginRecord()
	case h.storeDown:
		h.endRecord(false)
	case !h.record.applied && h.chance(85):
		h.applyRecord()
	default:
		h.endRecord(h.record.applied && h.chance(90))
	}
}

func (h *history) stepCall() {
	if len(h.calls) == 0 {
		return
	}
	c := h.calls[h.rnd.IntN(len(h.calls))]
	switch unresponsive := h.workers[c.worker].unresponsive && !h.workers[c.worker].removed; {
	case h.chance(4):
		h.abandonCall(c)
	case !c.executed && !unresponsive:
		h.execute(c)
	case c.executed && !unresponsive:
		h.deliverAnswer(c)
	}
}

func (h *history) stepLateCall() {
	if len(h.lateCalls) == 0 {
		return
	}
	i := h.rnd.IntN(len(h.lateCalls))
	c := h.lateCalls[i]
	if c.executed || h.chance(30) {
		h.lateCalls = slices.Delete(h.lateCalls, i, i+1)
		return
	}
	if !h.workers[c.worker].unresponsive {
		h.lateCalls = slices.Delete(h.lateCalls, i, i+1)
		h.execute(c)
	}
}

func (h *history) injectFault() {
	id := sortedKeys(h.workers)[h.rnd.IntN(len(h.workers))]
	w := h.workers[id]
	switch h.rnd.IntN(10) {
	case 0, 1:
		w.unresponsive = true
		h.log("%s becomes unresponsive", id)
	case 2, 3, 4:
		w.unresponsive = false
	case 5:
		if !w.removed && h.chance(40) {
			w.removed = true
			h.log("%s crashes", id)
			for _, task := range sortedTasks(w.running) {
				if w.running[task] != nil {
					h.endRun(w, task, RunInterrupted)
				}
			}
			h.addWorker()
		}
	case 6:
		h.storeDown = h.chance(50)
	case 7:
		if !h.storeDown && h.chance(60) {
			h.takeOver()
		}
	case 8:
		if len(h.specs) > 0 && h.chance(30) {
			job := sortedKeys(h.specs)[h.rnd.IntN(len(h.specs))]
			h.cancelled[job] = true
			h.engine.Cancel(job)
		}
	case 9:
		for _, job := range sortedKeys(h.specs) {
			if p, ok := h.durable[job]; ok && p.State.Ended() {
				h.engine.Forget(job)
			}
		}
	}
}

func (h *history) step() {
	h.advance(time.Duration(1+h.rnd.IntN(40)) * time.Millisecond)
	if h.chance(1) {
		h.advance(time.Duration(h.rnd.IntN(3000)) * time.Millisecond)
	}
	switch n := h.rnd.IntN(100); {
	case n < 4:
		if len(h.specs) < 12 {
			h.addJob()
		}
	case n < 6:
		h.deliverStoredJob()
	case n < 13:
		h.endSomeRun()
	case n < 30:
		h.sendHold()
	case n < 75:
		h.stepCall()
	case n < 92:
		h.stepStore()
	case n < 95:
		h.stepLateCall()
	default:
		h.injectFault()
	}
	if h.drains && h.chance(4) {
		h.drainWorker()
	} else if h.drains && h.chance(20) {
		h.learnDrains()
	}
	h.plan()
	if h.record == nil && !h.engine.HasDirty() {
		h.confirmSequences(h.engine.LastEndSequences())
	}
}

// runHistories simulates histories of 600 events, one for each seed from 1 to seeds.
func runHistories(t *testing.T, seeds, reportLimit int, onePerWorker, speculative bool, options ...func(*history)) (copies uint64) {
	starts, takeovers := 0, 0
	for seed := range uint64(seeds) {
		h := newHistory(t, seed+1, reportLimit, onePerWorker, speculative)
		for _, option := range options {
			option(h)
		}
		h.log("seed %d", seed+1)
		for range 600 {
			h.step()
		}
		starts += h.starts
		takeovers += h.takeovers - 1
		copies += h.copies + h.engine.Stats().Copies
	}
	t.Logf("%d histories of 600 events, %d starts, %d of copies, %d takeovers", seeds, starts, copies, takeovers)
	return copies
}

// Expired leases, unresponsive workers, lost answers, late orders, gangs and takeovers never make a task run twice.
func TestHistoriesWithLeasesRunNoTaskTwice(t *testing.T) { runHistories(t, 1000, 500, false, false) }

// As above, with more ended runs than a report holds: a task whose end does not fit into a report is not started again.
func TestHistoriesWithPartialReportsRunNoTaskTwice(t *testing.T) {
	runHistories(t, 1000, 3, false, false)
}

// As above, with steps that bound their tasks on one worker: a run that is being stopped because its task is done still counts
// towards the bound.
func TestHistoriesRespectTheStepsPerWorkerBound(t *testing.T) {
	runHistories(t, 2000, 500, true, false)
}

// As above, with Speculative steps: their tasks have at most two runs at a time, on different workers, and all else holds.
func TestHistoriesWithCopies(t *testing.T) {
	for _, onePerWorker := range []bool{false, true} {
		if copies := runHistories(t, 500, 500, onePerWorker, true); copies < 100 {
			t.Errorf("%d copies started, want at least 100", copies)
		}
	}
}

// As above, with workers that drain: a job that was recorded after the drain does not await the worker's report.
func TestHistoriesWithDrainingWorkersRunNoTaskTwice(t *testing.T) {
	runHistories(t, 2000, 500, false, false, func(h *history) { h.drains = true })
}
