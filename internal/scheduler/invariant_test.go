package scheduler

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"laburnumpoint/internal/cell"

	"pgregory.net/rapid"
)

func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "800")
	flag.Set("rapid.steps", "60")
	flag.Set("rapid.nofailfile", "true")
}

var startTime = time.Unix(1_800_000_000, 0)

func samplePolicy() Policy {
	return Policy{
		PackingWeight: 0.7,
		UrgentWait:    2200 * time.Millisecond,
		AgeingStep:    time.Minute,
		MaxQueued:     60,
		Teams:         map[string]TeamPolicy{"a": {Weight: 2}, "b": {Weight: 1, Quota: cell.Resources{MilliCPU: 20_000}}},
	}
}

// model is the caller's view of a Scheduler: where tasks are placed, and which tasks are queued.
type model struct {
	scheduler *Scheduler
	now       time.Time
	lastTask  int
	workers   map[cell.WorkerID]cell.Worker
	placedOn  map[cell.TaskID]cell.WorkerID
	tasks     map[cell.TaskID]cell.Task
	queued    map[cell.TaskID]QueueItem
	trace     []string
}

func newModel() *model {
	return &model{
		scheduler: New(samplePolicy()), now: startTime,
		workers: map[cell.WorkerID]cell.Worker{}, placedOn: map[cell.TaskID]cell.WorkerID{},
		tasks: map[cell.TaskID]cell.Task{}, queued: map[cell.TaskID]QueueItem{},
	}
}

func (m *model) claimsOn(id cell.WorkerID) cell.Resources {
	var sum cell.Resources
	for t, w := range m.placedOn {
		if w == id {
			sum = sum.Add(m.tasks[t].Claim)
		}
	}
	return sum
}

func (m *model) claimsOfTeam(team string) cell.Resources {
	var sum cell.Resources
	for t := range m.placedOn {
		if m.tasks[t].Team == team {
			sum = sum.Add(m.tasks[t].Claim)
		}
	}
	return sum
}

func (m *model) upsert(t *rapid.T) {
	n := rapid.IntRange(0, 5).Draw(t, "worker")
	w := cell.Worker{ID: cell.WorkerID(fmt.Sprintf("w%d", n)), Zone: fmt.Sprintf("z%d", n%2), Rack: fmt.Sprintf("r%d", n%3), Pool: []string{"x", "y"}[n%2], State: cell.WorkerLive}
	w.Capacity = cell.Resources{MilliCPU: 8000, MemoryMiB: 8000, Slots: 4}
	if n%3 == 0 {
		w.Capacity.Accelerators = 2
	}
	usable := rapid.IntRange(0, 4).Draw(t, "usable") > 0
	m.workers[w.ID] = w
	m.scheduler.UpsertWorker(w, usable)
}

func (m *model) drawTask(t *rapid.T) cell.Task {
	m.lastTask++
	task := cell.Task{
		ID:           cell.TaskID(fmt.Sprintf("t%d", m.lastTask)),
		Kind:         cell.KindBatch,
		Team:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Class:        rapid.SampledFrom([]cell.PriorityClass{cell.ClassUrgent, cell.ClassService, cell.ClassNormal, cell.ClassBatch}).Draw(t, "class"),
		Pool:         rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "pool"),
		Stoppable:    rapid.Bool().Draw(t, "stoppable"),
		EstimatedRun: time.Duration(rapid.IntRange(0, 100).Draw(t, "run")) * time.Second,
	}
	task.Claim = cell.Resources{MilliCPU: rapid.Int64Range(1, 8000).Draw(t, "cpu"), MemoryMiB: rapid.Int64Range(1, 4000).Draw(t, "mem"), Slots: 1}
	if rapid.IntRange(0, 4).Draw(t, "acc") == 0 {
		task.Claim.Accelerators = 1
	}
	if task.Class == cell.ClassService {
		task.Kind = cell.KindService
		task.Job = "svc"
	}
	return task
}

func (m *model) enqueue(task cell.Task) bool {
	item := QueueItem{Task: task, Arrived: m.now}
	if m.lastTask%7 == 0 {
		item.Deadline = m.now.Add(5 * time.Second)
	}
	if m.lastTask%11 == 0 {
		item.NotBefore = m.now.Add(time.Second)
	}
	ok, _ := m.scheduler.Enqueue(m.now, item)
	if ok {
		m.queued[task.ID] = item
		m.tasks[task.ID] = task
	}
	return ok
}

func (m *model) enqueueGang(t *rapid.T) {
	task := m.drawTask(t)
	task.Kind = cell.KindGang
	task.GangSize = rapid.IntRange(2, 4).Draw(t, "gang")
	task.Job = cell.JobID("gang-" + task.ID)
	for i := range task.GangSize {
		task.ID = cell.TaskID(fmt.Sprintf("%s-%d", task.Job, i))
		m.enqueue(task)
	}
}

func (m *model) schedule(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	gangs := map[cell.JobID]int{}
	for _, d := range m.scheduler.Schedule(m.now, rapid.IntRange(0, 8).Draw(t, "budget")) {
		m.trace = append(m.trace, fmt.Sprint(d.Kind, d.Task.ID, d.Worker, d.Preemptor))
		m.apply(t, d)
		if d.Kind == Place && d.Task.GangSize > 1 {
			gangs[d.Task.Job]++
		}
	}
	for job, n := range gangs {
		if running := m.startedMembers(job); running != m.gangSize(job) {
			t.Fatalf("gang %s: %d of %d members have started after %d placements", job, running, m.gangSize(job), n)
		}
	}
}

func (m *model) apply(t *rapid.T, d Decision) {
	id := d.Task.ID
	switch d.Kind {
	case Place:
		if _, ok := m.queued[id]; !ok || m.placedOn[id] != "" {
			t.Fatalf("%s placed although not queued or already placed on %q", id, m.placedOn[id])
		}
		delete(m.queued, id)
		m.placedOn[id] = d.Worker
		if used := m.claimsOn(d.Worker); !used.Fits(m.workers[d.Worker].Capacity) {
			t.Fatalf("%s uses %s, more than its capacity", d.Worker, used)
		}
		if pool := d.Task.Pool; pool != "" && pool != m.workers[d.Worker].Pool {
			t.Fatalf("%s placed outside pool %s", id, pool)
		}
		if held := m.claimsOfTeam("b"); held.MilliCPU > 20_000 {
			t.Fatalf("team b uses %s, more than its quota", held)
		}
	case Stop:
		if m.placedOn[id] != d.Worker || !m.tasks[id].Stoppable {
			t.Fatalf("decision to stop %s on %s, where it is not placed or not stoppable", id, d.Worker)
		}
	case Expire:
		if item := m.queued[id]; item.Deadline.IsZero() || m.now.Before(item.Deadline) {
			t.Fatalf("%s expired before its deadline", id)
		}
		delete(m.queued, id)
	}
}

func (m *model) gangSize(job cell.JobID) int {
	for _, task := range m.tasks {
		if task.Job == job {
			return task.GangSize
		}
	}
	return 0
}

// startedMembers counts the members of a gang that are placed or were placed before.
func (m *model) startedMembers(job cell.JobID) int {
	n := 0
	for id, task := range m.tasks {
		if _, queued := m.queued[id]; task.Job == job && !queued {
			n++
		}
	}
	return n
}

func (m *model) drawPlaced(t *rapid.T, name string) cell.TaskID {
	if len(m.placedOn) == 0 {
		t.Skip("nothing placed")
	}
	ids := make([]cell.TaskID, 0, len(m.placedOn))
	for i := range m.lastTask + 1 {
		for _, id := range []cell.TaskID{cell.TaskID(fmt.Sprintf("t%d", i)), cell.TaskID(fmt.Sprintf("gang-t%d-0", i)), cell.TaskID(fmt.Sprintf("gang-t%d-1", i))} {
			if m.placedOn[id] != "" {
				ids = append(ids, id)
			}
		}
	}
	if len(ids) == 0 {
		t.Skip("nothing placed")
	}
	return rapid.SampledFrom(ids).Draw(t, name)
}

func (m *model) release(t *rapid.T) {
	id := m.drawPlaced(t, "release")
	m.scheduler.Release(id)
	delete(m.placedOn, id)
}

func (m *model) requeue(t *rapid.T) {
	id := m.drawPlaced(t, "requeue")
	item := QueueItem{Task: m.tasks[id], Arrived: m.now.Add(-time.Minute)}
	m.scheduler.Requeue(m.now, item)
	delete(m.placedOn, id)
	m.queued[id] = item
}

func (m *model) cancel(t *rapid.T) {
	id := cell.TaskID(fmt.Sprintf("t%d", rapid.IntRange(0, m.lastTask).Draw(t, "cancel")))
	want := 0
	if _, ok := m.queued[id]; ok {
		want = 1
	}
	if got := m.scheduler.Cancel(id); got != want {
		t.Fatalf("Cancel(%s) = %d, want %d", id, got, want)
	}
	delete(m.queued, id)
}

func (m *model) removeWorker(t *rapid.T) {
	id := cell.WorkerID(fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "remove")))
	for _, task := range m.scheduler.RemoveWorker(id) {
		if m.placedOn[task.ID] != id {
			t.Fatalf("%s was returned as lost with worker %s but is placed on %q", task.ID, id, m.placedOn[task.ID])
		}
		delete(m.placedOn, task.ID)
	}
	delete(m.workers, id)
}

func (m *model) check(t *rapid.T) {
	totals := m.scheduler.Totals()
	if totals.Queued != len(m.queued) || totals.Placed != len(m.placedOn) {
		t.Fatalf("scheduler has %d queued, %d placed; model has %d, %d", totals.Queued, totals.Placed, len(m.queued), len(m.placedOn))
	}
	for _, w := range m.scheduler.Workers() {
		if used := m.claimsOn(w.Worker.ID); w.Used != used {
			t.Fatalf("%s: scheduler counts %s as used, model %s", w.Worker.ID, w.Used, used)
		}
	}
	for _, team := range m.scheduler.Teams() {
		if held := m.claimsOfTeam(team.Team); team.Used != held {
			t.Fatalf("team %s: scheduler counts %s as used, model %s", team.Team, team.Used, held)
		}
	}
	for id := range m.queued {
		if ex := m.scheduler.Explain(id); ex.State != StateQueued || len(ex.Chain) == 0 {
			t.Fatalf("%s: explanation %+v of a queued task", id, ex)
		}
	}
	m.checkSums(t)
}

// checkSums recomputes the sums that decisions rely on from the single tasks.
func (m *model) checkSums(t *rapid.T) {
	for _, w := range m.scheduler.sortedWorkers {
		var held, victims cell.Resources
		for _, u := range w.holders {
			held = held.Add(u.total)
		}
		for _, e := range w.tasks {
			if m.scheduler.isPreemptible(e) {
				victims = victims.Add(e.claim())
			}
		}
		if held != w.held || victims != w.preemptibleClaims {
			t.Fatalf("%s: held %s, preemptible %s; want %s, %s", w.desc.ID, w.held, w.preemptibleClaims, held, victims)
		}
	}
	m.checkBlocked(t)
}

// checkBlocked looks for blocked shapes that fit on a worker, and for units with a capacity hold that could start.
func (m *model) checkBlocked(t *rapid.T) {
	for _, w := range m.scheduler.sortedWorkers {
		if !w.placeable() || w.freed {
			continue
		}
		for _, b := range m.scheduler.blockedShapes {
			if b.shape.key.gangSize == 0 && w.group.matches(b.shape.key.pool) && b.claim.Fits(w.available()) {
				t.Fatalf("%s has %s available, enough for the blocked claim %s", w.desc.ID, w.available(), b.claim)
			}
		}
		if len(w.holders) > 0 && w.holders[0].total.Fits(w.free().Sub(w.reserved)) {
			t.Fatalf("%s has capacity for a unit with a hold, which does not start", w.desc.ID)
		}
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"upsert":   m.upsert,
		"enqueue":  func(t *rapid.T) { m.enqueue(m.drawTask(t)) },
		"enqueue2": func(t *rapid.T) { m.enqueue(m.drawTask(t)) },
		"gang":     m.enqueueGang,
		"schedule": m.schedule,
		"release":  m.release,
		"requeue":  m.requeue,
		"cancel":   m.cancel,
		"remove":   m.removeWorker,
		"":         m.check,
	}
}

func TestFreeCapacityInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range 5 {
			m.upsert(t)
		}
		t.Repeat(m.actions())
	})
}

// TestDecisionsAreDeterministic runs each drawn sequence of steps twice and compares the decisions.
func TestDecisionsAreDeterministic(t *testing.T) {
	run := func(seed int) []string {
		var trace []string
		gen := rapid.Custom(func(t *rapid.T) []string {
			m := newModel()
			steps := []func(*rapid.T){m.upsert, func(t *rapid.T) { m.enqueue(m.drawTask(t)) }, m.enqueueGang, m.schedule}
			for range 120 {
				rapid.SampledFrom(steps).Draw(t, "step")(t)
				if len(m.placedOn) > 0 && rapid.Bool().Draw(t, "end") {
					m.release(t)
				}
			}
			return m.trace
		})
		trace = append(trace, gen.Example(seed)...)
		return trace
	}
	for seed := range 20 {
		first, second := run(seed), run(seed)
		if len(first) == 0 || !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: decisions differ:\n%v\n%v", seed, first, second)
		}
	}
}
