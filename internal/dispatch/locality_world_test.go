package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// placesWorld runs an engine in virtual time with workers on racks. Tasks take the remote factor times as long away from their data,
// or if their step's tasks share racks and run on several.
type placesWorld struct {
	*Engine
	t         testing.TB
	now       monotime.Instant
	rng       *rand.Rand
	factor    float64
	racks     map[WorkerID]string
	sequences map[WorkerID]uint64
	running   []worldRun
	ended     map[graph.TaskID]bool
	// groupRacks are the racks on which the first task of each step that prefers one rack ran.
	groupRacks map[StepID]string
	permits    []worldPermit
	jobs       []*worldJob
	open       []*worldJob
	byID       map[graph.JobID]*worldJob
	orders     []string
	// permitted is the share of workers that the policy service allows.
	permitted float64
	nearRuns  int
	awayRuns  int
}

type worldRun struct {
	key        RunKey
	worker     WorkerID
	start, end monotime.Instant
}

type worldPermit struct {
	request PermitRequest
	at      monotime.Instant
}

type worldJob struct {
	id        graph.JobID
	kind      string
	spec      *graph.Spec
	arrivedAt monotime.Instant
	objective time.Duration
	// truth is the time of a run near, as a multiple of the estimate.
	truth   float64
	latency time.Duration
}

const (
	worldTick           = 5 * time.Millisecond
	worldReportInterval = time.Second
	worldPermitValid    = 2 * time.Second
)

var (
	worldCapacity = graph.Resources{MilliCPU: 64000, MemoryMB: 131072, Accelerators: 8}
	quickQueue    = graph.Queue{Name: "quick", Pool: "p", MaxAttempts: 3, Stretch: 1.5, Target: 275 * time.Millisecond, Permit: &graph.PermitLatency{Base: 20 * time.Millisecond, PerWorker: 300 * time.Microsecond}}
	gangQueue     = graph.Queue{Name: "gang", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: time.Second, Permit: &graph.PermitLatency{Base: 20 * time.Millisecond, PerWorker: 300 * time.Microsecond}}
	wideQueue     = graph.Queue{Name: "wide", Pool: "p", Priority: 2, MaxAttempts: 3, Stretch: 4, Target: 3 * time.Second}
)

func newPlacesWorld(t testing.TB, seed uint64, factor float64, racks, perRack int) *placesWorld {
	w := &placesWorld{
		Engine: New(1), t: t, now: 1, rng: rand.New(rand.NewPCG(seed, seed)), factor: factor, racks: make(map[WorkerID]string),
		sequences: make(map[WorkerID]uint64), byID: make(map[graph.JobID]*worldJob), ended: make(map[graph.TaskID]bool), groupRacks: make(map[StepID]string), permitted: 0.5,
	}
	w.SetRemoteFactor(factor)
	w.SetNow(w.now)
	for r := range racks {
		for i := range perRack {
			id := WorkerID(fmt.Sprintf("r%02d-%02d", r, i))
			w.racks[id] = fmt.Sprintf("r%02d", r)
			w.put(id, false)
		}
	}
	return w
}

func (w *placesWorld) put(id WorkerID, draining bool) {
	w.PutWorker(Worker{ID: id, Pool: "p", Rack: w.racks[id], Capacity: worldCapacity, Draining: draining})
	w.SetReachable(id, true)
}

// drain sets whether all workers of a rack are draining.
func (w *placesWorld) drain(rack string, draining bool) {
	for id, r := range w.racks {
		if r == rack {
			w.put(id, draining)
		}
	}
}

func (w *placesWorld) add(kind string, queue graph.Queue, truth float64, steps ...graph.Step) *worldJob {
	j := &worldJob{id: graph.JobID(fmt.Sprintf("%s-%05d", kind, len(w.jobs))), kind: kind, spec: &graph.Spec{Steps: steps}, arrivedAt: w.now, truth: truth, latency: -1}
	j.objective = queue.Objective(j.spec)
	w.jobs, w.open = append(w.jobs, j), append(w.open, j)
	w.byID[j.id] = j
	w.AddJob(JobInput{ID: j.id, Queue: queue, Spec: j.spec, ArrivedAt: w.now})
	return j
}

func quickStep(rack string, after ...int) graph.Step {
	return graph.Step{Count: 10, Claim: graph.Resources{MilliCPU: 11000, MemoryMB: 2000}, Estimate: 600 * time.Millisecond, DataRack: rack, After: after}
}

// tick advances the time, delivers what is due, plans and carries out the orders.
func (w *placesWorld) tick() {
	w.now = w.now.Add(worldTick)
	w.SetNow(w.now)
	w.endRuns()
	w.permits = slices.DeleteFunc(w.permits, func(p worldPermit) bool {
		if p.at > w.now {
			return false
		}
		tickets := make(map[WorkerID]string)
		for _, id := range p.request.Workers {
			if w.allowed(p.request.Step, id) {
				tickets[id] = "t"
			}
		}
		w.HandlePermits(p.request.Step, p.request.Workers, tickets, worldPermitValid, true)
		return true
	})
	for _, order := range w.Plan(0) {
		w.execute(order)
	}
	w.open = slices.DeleteFunc(w.open, func(j *worldJob) bool {
		state, _ := w.JobState(j.id)
		if state.Ended() {
			j.latency = w.now.Sub(j.arrivedAt)
			w.TakeDirty(1000)
			w.Forget(j.id)
		}
		return state.Ended()
	})
}

// allowed decides the same for each step and worker however often it is asked.
func (w *placesWorld) allowed(s StepID, id WorkerID) bool {
	var h uint64 = 14695981039346656037
	for _, c := range fmt.Sprint(s, id) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return float64(h>>11)/(1<<53) < w.permitted
}

func (w *placesWorld) endRuns() {
	ended := make(map[WorkerID][]EndedEntry)
	w.running = slices.DeleteFunc(w.running, func(r worldRun) bool {
		if r.end > w.now {
			return false
		}
		w.sequences[r.worker]++
		w.ended[r.key.Task] = true
		ended[r.worker] = append(ended[r.worker], EndedEntry{Sequence: w.sequences[r.worker], RunKey: r.key})
		return true
	})
	if second := w.now / monotime.Instant(worldReportInterval); second != w.now.Add(-worldTick)/monotime.Instant(worldReportInterval) {
		w.reportProgress()
	}
	for _, id := range sortedWorkers(ended) {
		w.HandleReport(id, w.now, Report{Ended: ended[id], Partial: true})
	}
}

func sortedWorkers[V any](m map[WorkerID]V) []WorkerID {
	var keys []WorkerID
	for id := range m {
		keys = append(keys, id)
	}
	slices.Sort(keys)
	return keys
}

func (w *placesWorld) reportProgress() {
	entries := make(map[WorkerID][]RunningEntry)
	for _, r := range w.running {
		done := int(100 * w.now.Sub(r.start) / max(1, r.end.Sub(r.start)))
		entries[r.worker] = append(entries[r.worker], RunningEntry{RunKey: r.key, Progress: done})
	}
	for _, id := range sortedWorkers(entries) {
		w.HandleReport(id, w.now, Report{Running: entries[id], Partial: true})
	}
}

func (w *placesWorld) execute(order Order) {
	switch o := order.(type) {
	case Start:
		w.orders = append(w.orders, fmt.Sprint(w.now, o.RunKey, o.Worker))
		j := w.byID[o.Task.Job]
		step := &j.spec.Steps[o.Task.Step]
		w.checkStart(o, step)
		length := time.Duration(float64(step.Estimate) * j.truth)
		if rack := w.nearRackOf(o, step); rack != "" {
			if w.racks[o.Worker] == rack {
				w.nearRuns++
			} else {
				w.awayRuns++
				length = time.Duration(float64(length) * w.factor)
			}
		}
		w.running = append(w.running, worldRun{o.RunKey, o.Worker, w.now, w.now.Add(length)})
		if step.Gang {
			w.endGangTogether(o)
		}
		w.HandleStartOutcome(o.Worker, o.RunKey, Started)
	case Stop:
		w.orders = append(w.orders, fmt.Sprint(w.now, "stop", o.RunKey, o.Worker))
		w.running = slices.DeleteFunc(w.running, func(r worldRun) bool { return r.key == o.RunKey })
		w.HandleStopAnswer(o.Worker, o.RunKey, true)
		w.sequences[o.Worker]++
		w.HandleReport(o.Worker, w.now, Report{Ended: []EndedEntry{{Sequence: w.sequences[o.Worker], RunKey: o.RunKey, End: RunInterrupted}}, Partial: true})
	case PermitRequest:
		request, ok := w.PreparePermitRequest(o.Step)
		if ok {
			w.permits = append(w.permits, worldPermit{request, w.now.Add(request.Latency)})
		}
	}
}

// nearRackOf returns the rack on which the task runs at full speed: that of its data, or that on which the first of its step's tasks
// ran. It is empty if there is none.
func (w *placesWorld) nearRackOf(o Start, step *graph.Step) string {
	if step.DataRack != "" || !step.SameRack {
		return step.DataRack
	}
	id := StepID{o.Task.Job, o.Task.Occurrence, o.Task.Step}
	if _, ok := w.groupRacks[id]; !ok {
		w.groupRacks[id] = w.racks[o.Worker]
	}
	return w.groupRacks[id]
}

// endGangTogether gives all members of a gang that run the latest of their ends.
func (w *placesWorld) endGangTogether(o Start) {
	var latest monotime.Instant
	for pass := range 2 {
		for i := range w.running {
			if key := w.running[i].key; key.Task.Job == o.Task.Job && key.Task.Step == o.Task.Step {
				latest = max(latest, w.running[i].end)
				if pass == 1 {
					w.running[i].end = latest
				}
			}
		}
	}
}

// checkStart checks that the task has no other run, is not done and fits on the worker.
func (w *placesWorld) checkStart(o Start, step *graph.Step) {
	used := step.Allocation()
	for _, r := range w.running {
		if r.key.Task == o.Task {
			w.t.Fatalf("task %s starts on %s while it runs on %s", o.Task, o.Worker, r.worker)
		}
		if r.worker == o.Worker {
			used = used.Add(w.byID[r.key.Task.Job].spec.Steps[r.key.Task.Step].Allocation())
		}
	}
	if !used.Fits(worldCapacity) {
		w.t.Fatalf("worker %s is filled beyond its capacity: %v", o.Worker, used)
	}
	if w.ended[o.Task] {
		w.t.Fatalf("task %s starts after it was done", o.Task)
	}
}

// runFor ticks for the given time and calls each after every tick.
func (w *placesWorld) runFor(d time.Duration, each func()) {
	for end := w.now.Add(d); w.now < end; {
		if each != nil {
			each()
		}
		w.tick()
	}
}

// worldResult is what the jobs of one kind came to.
type worldResult struct {
	jobs, late, veryLate int
	p50, p99             time.Duration
}

func (w *placesWorld) result(kind string) worldResult {
	var r worldResult
	var latencies []time.Duration
	for _, j := range w.jobs {
		if j.kind != kind {
			continue
		}
		latency := j.latency
		if latency < 0 {
			latency = w.now.Sub(j.arrivedAt)
		}
		latencies = append(latencies, latency)
		r.jobs++
		if latency > j.objective {
			r.late++
		}
		if latency > 3*j.objective {
			r.veryLate++
		}
	}
	if len(latencies) == 0 {
		return r
	}
	slices.SortFunc(latencies, cmp.Compare[time.Duration])
	r.p50, r.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return r
}
