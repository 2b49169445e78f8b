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

// Times of the owner's loop, as in package owner.
const (
	historyLease     = 5 * time.Second
	historyMargin    = 300 * time.Millisecond
	historyStartTime = 700 * time.Millisecond
	historyHoldTime  = 2 * time.Second
	historyValid     = 900 * time.Millisecond
	historySlowest   = 0.98
	historyAttempts  = 3
)

// historyRun is a run on a worker; stopAt is when a stop takes effect, 0 without one.
type historyRun struct {
	number uint64
	stopAt monotime.Instant
}

// historyEnd is an end as the rules judge it.
type historyEnd struct {
	task   graph.TaskID
	number uint64
	how    RunOutcome
	// noted: the worker has forgotten it by the owner's word. lapsed: its lease lapsed before; it then never counts.
	noted, lapsed bool
	// startedAfter names a start that came after an end `done`.
	startedAfter string
}

// historyWorker is one life of a worker: it obeys fences and run numbers, holds a lease on its own clock, and keeps its ends
// until they are noted.
type historyWorker struct {
	id       WorkerID
	size     graph.Resources
	rate     float64
	deadline time.Duration
	fence    uint64
	running  map[graph.TaskID]*historyRun
	stopped  map[graph.TaskID]uint64
	ended    []EndedEntry
	judged   map[uint64]*historyEnd
	next     uint64
	silent   bool
	gone     bool
}

func (w *historyWorker) clock(now monotime.Instant) time.Duration {
	return time.Duration(float64(now) * w.rate)
}

// historyLink is what an owner keeps of a worker.
type historyLink struct {
	id        WorkerID
	covered   uint64
	endsBy    monotime.Instant
	reading   time.Duration
	readAt    monotime.Instant
	known     bool
	answering bool
	failing   bool
	looking   bool
}

func onSlowest(d time.Duration) time.Duration { return time.Duration(float64(d) / historySlowest) }

func (l *historyLink) extend(now monotime.Instant) time.Duration {
	deadline := l.reading + now.Sub(l.readAt) + historyLease
	l.endsBy = max(l.endsBy, l.readAt.Add(onSlowest(deadline-l.reading)))
	return deadline
}

type historyKind int

const (
	historyHold historyKind = iota
	historyStart
	historyStop
)

// historyCall is a call to a worker. One that its owner has given up may be carried out later.
type historyCall struct {
	kind     historyKind
	epoch    uint64
	link     *historyLink
	worker   WorkerID
	sent     monotime.Instant
	until    monotime.Instant
	deadline time.Duration
	lastSeen uint64
	start    Start
	stop     RunKey
	doubted  bool

	executed  bool
	otherLife bool
	outcome   StartOutcome
	report    Report
	reading   time.Duration
}

// historyRecord is a record under way.
type historyRecord struct {
	progress map[graph.JobID]Progress
	covered  map[WorkerID]uint64
	workers  []WorkerID
	old      []WorkerID
	sent     monotime.Instant
	applied  bool
}

// history plays workers, the store and one owner after another. Only what is durable outlives an owner.
type history struct {
	t     *testing.T
	rnd   *rand.Rand
	trace []string
	now   monotime.Instant
	limit int
	// spread makes steps bound their tasks on one worker.
	spread bool

	specs     map[graph.JobID]*graph.Spec
	cancelled map[graph.JobID]bool
	// untold are stored jobs that the owner has not heard of.
	untold map[graph.JobID]bool
	// saved are the checkpoints that runs of a task, or of its gang, have listed.
	saved     map[graph.TaskID]map[string]bool
	durable   map[graph.JobID]Progress
	recorded  map[WorkerID]bool
	workers   map[WorkerID]*historyWorker
	lives     int
	ends      []*historyEnd
	budgets   [][]*historyEnd
	storeDown bool
	starts    int
	takeovers int

	epoch      uint64
	engine     *Engine
	links      map[WorkerID]*historyLink
	calls      []*historyCall
	late       []*historyCall
	record     *historyRecord
	newWorkers map[WorkerID]bool
	oldWorkers map[WorkerID]bool
	validUntil monotime.Instant
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

func newHistory(t *testing.T, seed uint64, limit int, spread bool) *history {
	h := &history{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: monotime.Instant(time.Second), limit: limit, spread: spread,
		specs: make(map[graph.JobID]*graph.Spec), cancelled: make(map[graph.JobID]bool), saved: make(map[graph.TaskID]map[string]bool), durable: make(map[graph.JobID]Progress),
		recorded: make(map[WorkerID]bool), workers: make(map[WorkerID]*historyWorker),
	}
	for range 3 {
		h.newLife()
	}
	h.takeOver()
	return h
}

func (h *history) newLife() {
	h.lives++
	id := WorkerID(fmt.Sprintf("w%02d", h.lives))
	h.workers[id] = &historyWorker{
		id: id, size: graph.Resources{MilliCPU: 100}, rate: []float64{1, historySlowest}[h.rnd.IntN(2)],
		running: make(map[graph.TaskID]*historyRun), stopped: make(map[graph.TaskID]uint64), judged: make(map[uint64]*historyEnd),
	}
	if h.newWorkers != nil {
		h.newWorkers[id] = true
	}
}

func (h *history) queue() graph.Queue {
	return graph.Queue{Name: "q", Pool: "p", MaxAttempts: historyAttempts, Stretch: 2, Target: time.Second}
}

func (h *history) def(task graph.TaskID) *graph.Step { return &h.specs[task.Job].Steps[task.Step] }

// takeOver replaces the owner by one that knows what is durable. Calls of the earlier one may still be carried out.
func (h *history) takeOver() {
	h.epoch++
	h.takeovers++
	h.log("owner %d takes over", h.epoch)
	h.late = append(h.late, h.calls...)
	h.calls, h.record = nil, nil
	h.engine = New(h.epoch)
	h.engine.SetNow(h.now)
	h.links = make(map[WorkerID]*historyLink)
	h.newWorkers, h.oldWorkers = make(map[WorkerID]bool), make(map[WorkerID]bool)
	h.validUntil = h.now.Add(historyValid)
	h.untold = make(map[graph.JobID]bool)
	for _, id := range sortedKeys(h.specs) {
		h.tellJob(id, h.epoch > 1)
	}
	for _, id := range sortedKeys(h.recorded) {
		h.engine.AwaitReport(id, "p")
		h.addLink(id, true)
	}
	for _, id := range sortedKeys(h.workers) {
		if !h.recorded[id] && !h.workers[id].gone {
			h.newWorkers[id] = true
		}
	}
}

func (h *history) tellJob(id graph.JobID, uncertain bool) {
	var p *Progress
	if known, ok := h.durable[id]; ok {
		p = &known
	}
	h.engine.AddJob(id, h.queue(), h.specs[id], h.now, p, uncertain)
	if h.cancelled[id] {
		h.engine.Cancel(id)
	}
}

func (h *history) addLink(id WorkerID, known bool) {
	if h.links[id] != nil {
		return
	}
	l := &historyLink{id: id}
	if known {
		l.endsBy = h.now.Add(onSlowest(historyLease) + historyMargin)
	}
	h.links[id] = l
	h.putWorker(id)
}

func (h *history) putWorker(id WorkerID) {
	h.engine.PutWorker(Worker{ID: id, Pool: "p", Capacity: h.workers[id].size})
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
		if h.spread && !s.Gang {
			s.MaxPerWorker, s.Count, s.Claim.MilliCPU = 1, 5, 10
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	h.specs[id] = spec
	h.log("job %s: %+v", id, spec.Steps)
	if h.chance(50) {
		h.untold[id] = true
		return
	}
	h.tellJob(id, false)
}

// hearOfJob tells the owner of a stored job, as the store's feed does.
func (h *history) hearOfJob() {
	if ids := sortedKeys(h.untold); len(ids) > 0 {
		delete(h.untold, ids[0])
		h.tellJob(ids[0], false)
	}
}

// saver is the task under which the checkpoints of a task are kept: any member's is valid for its gang.
func (h *history) saver(task graph.TaskID) graph.TaskID {
	if h.def(task).Gang {
		task.Index = 0
	}
	return task
}

// advance moves time on: leases lapse, stops take effect, calls without an answer are given up.
func (h *history) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.engine.SetNow(h.now)
	for _, id := range sortedKeys(h.workers) {
		w := h.workers[id]
		for _, task := range sortedTasks(w.running) {
			if r := w.running[task]; r != nil && r.stopAt > 0 && h.now >= r.stopAt {
				h.end(w, task, RunInterrupted)
			}
		}
		if w.deadline > 0 && w.clock(h.now) >= w.deadline {
			h.lapse(w)
		}
	}
	for _, c := range slices.Clone(h.calls) {
		if h.now > c.until {
			h.lose(c)
		}
	}
	h.expireLinks()
}

func sortedTasks(m map[graph.TaskID]*historyRun) []graph.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b graph.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

func (h *history) lapse(w *historyWorker) {
	w.deadline = 0
	h.log("lease of %s lapses", w.id)
	for _, task := range sortedTasks(w.running) {
		if w.running[task] != nil {
			h.end(w, task, RunInterrupted)
		}
	}
	for _, e := range w.judged {
		e.lapsed = e.lapsed || !e.noted
	}
}

// end ends a run, and with it its gang.
func (h *history) end(w *historyWorker, task graph.TaskID, how RunOutcome) {
	number := w.running[task].number
	h.endOne(w, task, how)
	if !h.def(task).Gang {
		return
	}
	if how != RunDone {
		how = RunInterrupted
	}
	for _, id := range sortedKeys(h.workers) {
		other := h.workers[id]
		for _, member := range sortedTasks(other.running) {
			same := member.Job == task.Job && member.Step == task.Step && other.running[member].number == number
			if same && !other.gone {
				h.endOne(other, member, how)
			}
		}
	}
}

func (h *history) endOne(w *historyWorker, task graph.TaskID, how RunOutcome) {
	key := RunKey{task, w.running[task].number}
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], key.Number)
	w.next++
	checkpoint := ""
	if h.def(task).Checkpoints {
		checkpoint = fmt.Sprint("c", w.id, w.next)
		if h.saved[h.saver(task)] == nil {
			h.saved[h.saver(task)] = make(map[string]bool)
		}
		h.saved[h.saver(task)][checkpoint] = true
	}
	w.ended = append(w.ended, EndedEntry{Sequence: w.next, RunKey: key, End: how, Checkpoint: checkpoint})
	e := &historyEnd{task: task, number: key.Number, how: how}
	w.judged[w.next] = e
	h.ends = append(h.ends, e)
	h.log("%s: %s run %d ends %s as %d", w.id, task, key.Number, how, w.next)
}

// whole reports whether all members of a gang's run are present.
func (h *history) whole(task graph.TaskID, number uint64) bool {
	n := 0
	for _, w := range h.workers {
		for member, r := range w.running {
			if !w.gone && member.Job == task.Job && member.Step == task.Step && r.number == number {
				n++
			}
		}
	}
	return n == h.def(task).Count
}

func (h *history) endSome() {
	w := h.workers[sortedKeys(h.workers)[h.rnd.IntN(len(h.workers))]]
	tasks := sortedTasks(w.running)
	if w.gone || len(tasks) == 0 {
		return
	}
	task := tasks[h.rnd.IntN(len(tasks))]
	how := []RunOutcome{RunDone, RunDone, RunDone, RunFailed, RunInterrupted}[h.rnd.IntN(5)]
	if h.def(task).Gang && how != RunInterrupted && !h.whole(task, w.running[task].number) {
		return // it waits for the others
	}
	h.end(w, task, how)
}

// concerns reports whether an end counts for a task: one end of a gang represents all of them.
func (h *history) concerns(e *historyEnd, task graph.TaskID) bool {
	if h.def(task).Gang {
		return e.task.Job == task.Job && e.task.Step == task.Step
	}
	return e.task == task
}

// judgeStart checks a start: no second run, no more attempts than allowed, in order, within capacity and spread, with its checkpoint.
func (h *history) judgeStart(w *historyWorker, s Start) {
	def := h.def(s.Task)
	if s.Checkpoint != "" && !h.saved[h.saver(s.Task)][s.Checkpoint] {
		h.fail("wrong checkpoint: %s run %d carries %s", s.Task, s.Number, s.Checkpoint)
	}
	used, beside := def.Allocation(), 1
	for _, id := range sortedKeys(h.workers) {
		other := h.workers[id]
		if other.gone {
			continue
		}
		for _, task := range sortedTasks(other.running) {
			if task == s.Task {
				h.fail("runs twice: %s run %d starts on %s while run %d is on %s", task, s.Number, w.id, other.running[task].number, id)
			}
			if other == w {
				used = used.Add(h.def(task).Allocation())
				if task.Job == s.Task.Job && task.Step == s.Task.Step {
					beside++
				}
			}
		}
	}
	if def.MaxPerWorker > 0 && beside > def.MaxPerWorker {
		h.fail("too many on a worker: %s run %d starts on %s as one of %d", s.Task, s.Number, w.id, beside)
	}
	if !used.Fits(w.size) {
		h.fail("over capacity: %s filled beyond its capacity: %v", w.id, used)
	}
	var failed []*historyEnd
	numbers := make(map[uint64]bool)
	for _, e := range h.ends {
		if !h.concerns(e, s.Task) || def.LongRunning || e.lapsed {
			continue
		}
		if e.how == RunDone {
			if e.noted {
				h.fail("runs twice: %s run %d starts on %s after run %d was noted as done", s.Task, s.Number, w.id, e.number)
			}
			e.startedAfter = fmt.Sprintf("%s run %d on %s", s.Task, s.Number, w.id)
		}
		if e.how == RunFailed && !numbers[e.number] {
			numbers[e.number] = true
			failed = append(failed, e)
		}
	}
	if len(failed) >= historyAttempts {
		h.budgets = append(h.budgets, failed)
		h.judgeBudgets()
	}
	for _, before := range def.After {
		for i := range h.specs[s.Task.Job].Steps[before].Count {
			task := graph.TaskID{Job: s.Task.Job, Step: before, Index: i}
			if !slices.ContainsFunc(h.ends, func(e *historyEnd) bool { return e.how == RunDone && h.concerns(e, task) }) {
				h.fail("too early: %s starts before %s is done", s.Task, task)
			}
		}
	}
}

func (h *history) judgeBudgets() {
	for _, failed := range h.budgets {
		noted := 0
		for _, e := range failed {
			if e.noted {
				noted++
			}
		}
		if noted >= historyAttempts {
			h.fail("too many attempts: %s started after %d failed runs were noted", failed[0].task, noted)
		}
	}
}

func (h *history) note(w *historyWorker, lastSeen uint64) {
	w.ended = slices.DeleteFunc(w.ended, func(e EndedEntry) bool {
		if e.Sequence > lastSeen {
			return false
		}
		judged := w.judged[e.Sequence]
		if !judged.lapsed {
			judged.noted = true
			if judged.startedAfter != "" {
				h.fail("runs twice: %s run %d ended done, then started %s, and the end is noted", judged.task, judged.number, judged.startedAfter)
			}
		}
		return true
	})
	h.judgeBudgets()
}

// execute carries a call out at its worker.
func (h *history) execute(c *historyCall) {
	w := h.workers[c.worker]
	c.executed = true
	if w.gone {
		c.otherLife = true
		return
	}
	c.reading = w.clock(h.now)
	if c.epoch < w.fence {
		c.outcome = StartRefused
		return
	}
	w.fence = c.epoch
	extend := func() {
		if c.deadline > w.deadline && c.deadline > w.clock(h.now) {
			w.deadline = c.deadline
		}
	}
	switch c.kind {
	case historyHold:
		extend()
		h.note(w, c.lastSeen)
		c.report = Report{Ended: slices.Clone(w.ended[:min(len(w.ended), h.limit)]), Partial: len(w.ended) >= h.limit}
		for _, task := range sortedTasks(w.running) {
			c.report.Running = append(c.report.Running, RunningEntry{RunKey: RunKey{task, w.running[task].number}})
		}
		h.log("%s lists %d running, %d ended, partial %v; noted to %d", w.id, len(w.running), len(c.report.Ended), c.report.Partial, c.lastSeen)
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
		return StartRefused // late
	case r != nil && r.number == s.Number:
		return Started
	case s.Number <= w.stopped[s.Task]:
		return StartOutdated
	case h.chance(5):
		return StartRefused // 503
	}
	h.judgeStart(w, s)
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

// lose gives a call up. It may be carried out later if it has not been.
func (h *history) lose(c *historyCall) {
	h.forgetCall(c)
	if !c.executed {
		h.late = append(h.late, c)
	}
	switch c.kind {
	case historyHold:
		c.link.looking = false
		if h.links[c.worker] != c.link {
			return
		}
		c.link.answering, c.link.failing = false, true
		h.log("look at %s failed", c.worker)
		h.engine.SetReachable(c.worker, false)
	case historyStart:
		if h.now < c.until && h.valid() {
			again := *c
			again.executed, again.doubted = false, true
			h.calls = append(h.calls, &again) // with the deadline of the first try
			return
		}
		h.engine.HandleStartOutcome(c.worker, c.start.RunKey, StartInDoubt)
	case historyStop:
		h.engine.HandleStopAnswer(c.worker, c.stop, false)
	}
}

// deliver brings an answer to the owner.
func (h *history) deliver(c *historyCall) {
	h.forgetCall(c)
	if c.kind == historyHold {
		c.link.looking = false
	}
	switch c.kind {
	case historyHold:
		if h.links[c.worker] != c.link || c.otherLife {
			break
		}
		c.link.answering, c.link.failing = true, false
		if !c.link.known || c.reading >= c.link.reading {
			c.link.reading, c.link.readAt, c.link.known = c.reading, h.now, true
		}
		h.engine.HandleReport(c.worker, c.sent, c.report)
	case historyStart:
		outcome := c.outcome
		if c.otherLife {
			outcome = StartRefused
		} else if c.doubted && outcome != Started {
			outcome = StartInDoubt
		}
		h.engine.HandleStartOutcome(c.worker, c.start.RunKey, outcome)
	case historyStop:
		h.engine.HandleStopAnswer(c.worker, c.stop, !c.otherLife)
	}
	if c.otherLife && h.links[c.worker] == c.link {
		h.log("%s has ended", c.worker)
		delete(h.links, c.worker)
		h.engine.RemoveWorker(c.worker)
		h.oldWorkers[c.worker] = true
	}
}

func (h *history) look() {
	ids := sortedKeys(h.links)
	if len(ids) == 0 {
		return
	}
	l := h.links[ids[h.rnd.IntN(len(ids))]]
	if l.looking {
		return
	}
	l.looking = true
	c := &historyCall{kind: historyHold, link: l, worker: l.id, lastSeen: l.covered, until: h.now.Add(historyHoldTime)}
	if l.answering && l.known && h.valid() {
		c.deadline = l.extend(h.now)
	}
	h.send(c)
}

func (h *history) valid() bool { return h.now < h.validUntil }

func (h *history) plan() {
	if !h.valid() {
		return
	}
	orders := h.engine.Plan(0)
	slices.SortFunc(orders, func(a, b Order) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for _, order := range orders {
		switch o := order.(type) {
		case Start:
			l := h.links[o.Worker]
			if l == nil || !l.known {
				h.engine.HandleStartOutcome(o.Worker, o.RunKey, StartRefused)
				continue
			}
			h.log("order: start %s run %d on %s", o.Task, o.Number, o.Worker)
			h.send(&historyCall{kind: historyStart, link: l, worker: o.Worker, start: o, deadline: l.extend(h.now), until: h.now.Add(historyStartTime)})
		case Stop:
			if l := h.links[o.Worker]; l != nil {
				h.log("order: stop %s run %d on %s, %s", o.Task, o.Number, o.Worker, o.Reason)
				h.send(&historyCall{kind: historyStop, link: l, worker: o.Worker, stop: o.RunKey, until: h.now.Add(historyStartTime)})
			}
		}
	}
}

// expireLinks gives up what ran on silent workers whose lease is over.
func (h *history) expireLinks() {
	for _, id := range sortedKeys(h.links) {
		l := h.links[id]
		if l.failing && h.now > l.endsBy.Add(historyMargin) && (h.engine.HasRuns(id) || !h.engine.ReportsComplete()) {
			h.log("runs of silent %s are given up", id)
			h.engine.RemoveWorker(id)
			h.putWorker(id)
		}
	}
}

// beginRecord takes what changed; ends are covered only by a record that leaves nothing unrecorded.
func (h *history) beginRecord() {
	r := &historyRecord{progress: h.engine.TakeDirty(2), sent: h.now}
	for id := range h.newWorkers {
		r.workers = append(r.workers, id)
	}
	for id := range h.oldWorkers {
		r.old = append(r.old, id)
	}
	h.newWorkers, h.oldWorkers = make(map[WorkerID]bool), make(map[WorkerID]bool)
	if !h.engine.HasDirty() {
		r.covered = h.engine.LastEndSequences()
	}
	h.record = r
}

func (h *history) applyRecord() {
	r := h.record
	r.applied = true
	for id, p := range r.progress {
		h.durable[id] = p
	}
	for _, id := range r.workers {
		h.recorded[id] = true
	}
	for _, id := range r.old {
		delete(h.recorded, id)
	}
	h.log("record applied: %d jobs, covered %v", len(r.progress), r.covered)
}

func (h *history) endRecord(answered bool) {
	r := h.record
	h.record = nil
	if !answered {
		for id := range r.progress {
			h.engine.MarkDirty(id)
		}
		for _, id := range r.workers {
			h.newWorkers[id] = true
		}
		for _, id := range r.old {
			h.oldWorkers[id] = true
		}
		return
	}
	h.validUntil = r.sent.Add(historyValid)
	for _, id := range slices.Sorted(slices.Values(r.workers)) {
		h.addLink(id, false)
	}
	h.cover(r.covered)
}

func (h *history) cover(recorded map[WorkerID]uint64) {
	for id, sequence := range recorded {
		if l := h.links[id]; l != nil {
			l.covered = max(l.covered, sequence)
		}
	}
}

func (h *history) store() {
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

func (h *history) callEvent() {
	if len(h.calls) == 0 {
		return
	}
	c := h.calls[h.rnd.IntN(len(h.calls))]
	switch silent := h.workers[c.worker].silent && !h.workers[c.worker].gone; {
	case h.chance(4):
		h.lose(c)
	case !c.executed && !silent:
		h.execute(c)
	case c.executed && !silent:
		h.deliver(c)
	}
}

func (h *history) lateEvent() {
	if len(h.late) == 0 {
		return
	}
	i := h.rnd.IntN(len(h.late))
	c := h.late[i]
	if c.executed || h.chance(30) {
		h.late = slices.Delete(h.late, i, i+1)
		return
	}
	if !h.workers[c.worker].silent {
		h.late = slices.Delete(h.late, i, i+1)
		h.execute(c)
	}
}

func (h *history) trouble() {
	id := sortedKeys(h.workers)[h.rnd.IntN(len(h.workers))]
	w := h.workers[id]
	switch h.rnd.IntN(10) {
	case 0, 1:
		w.silent = true
		h.log("%s falls silent", id)
	case 2, 3, 4:
		w.silent = false
	case 5:
		if !w.gone && h.chance(40) {
			w.gone = true
			h.log("%s crashes", id)
			for _, task := range sortedTasks(w.running) {
				if w.running[task] != nil {
					h.end(w, task, RunInterrupted)
				}
			}
			h.newLife()
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
		h.hearOfJob()
	case n < 13:
		h.endSome()
	case n < 30:
		h.look()
	case n < 75:
		h.callEvent()
	case n < 92:
		h.store()
	case n < 95:
		h.lateEvent()
	default:
		h.trouble()
	}
	h.plan()
	if h.record == nil && !h.engine.HasDirty() {
		h.cover(h.engine.LastEndSequences())
	}
}

// playHistories plays histories of 600 events with seeds from 1 on.
func playHistories(t *testing.T, seeds, limit int, spread bool) {
	starts, takeovers := 0, 0
	for seed := range uint64(seeds) {
		h := newHistory(t, seed+1, limit, spread)
		h.log("seed %d", seed+1)
		for range 600 {
			h.step()
		}
		starts += h.starts
		takeovers += h.takeovers - 1
	}
	t.Logf("%d histories of 600 events, %d starts, %d takeovers", seeds, starts, takeovers)
}

// Leases that lapse, silent workers, lost answers, late orders, gangs and owners in succession make no task run twice.
func TestHistoriesWithLeasesKeepRunsSingle(t *testing.T) { playHistories(t, 1000, 500, false) }

// As above, with more ends than a report holds: a task whose end waits behind them is not started again.
func TestHistoriesWithPartialReportsKeepRunsSingle(t *testing.T) { playHistories(t, 1000, 3, false) }

// As above, with steps that bound their tasks on one worker: a run that is being stopped, since its task is done, still counts
// there.
func TestHistoriesKeepStepsSpread(t *testing.T) { playHistories(t, 2000, 500, true) }
