package dispatch

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumpoint/internal/graph"
)

// limitSimulation is a simulation in which the jobs belong to organisations with limits. It checks each start order against what
// runs on the workers, and what orders that are still under way may start there.
type limitSimulation struct {
	*simulation
	limits    map[string]int64
	cancelled map[graph.JobID]bool
	// gangStart is what the organisation used when the first member of a gang's run was ordered.
	gangStart    map[string]int64
	workersAdded int
}

var limitedOrganisations = []string{"a", "b"}

func (w *limitSimulation) setLimits() {
	var list []graph.Organisation
	for _, name := range limitedOrganisations {
		if limit, ok := w.limits[name]; ok {
			list = append(list, graph.Organisation{Name: name, Weight: 1, Limit: graph.Resources{MilliCPU: limit}})
		}
	}
	w.engine.SetOrganisations(list, RateOptions{Window: time.Second})
}

// used returns the processors that the organisation's runs use on the workers, or may use by orders that are under way.
func (w *limitSimulation) used(organisation string) int64 {
	var used int64
	count := func(task graph.TaskID) {
		if w.organisations[task.Job] == organisation {
			used += w.step(task).Allocation().MilliCPU
		}
	}
	for _, worker := range w.workers {
		for key := range worker.running {
			count(key.Task)
		}
	}
	for _, late := range w.lateStarts {
		worker := w.workers[late.Worker]
		epoch := (late.Number-1)/runNumbersPerEpoch + 1
		if epoch >= worker.epoch && late.Number > worker.stopped[late.Task] && !worker.running[late.RunKey] {
			count(late.Task)
		}
	}
	return used
}

// checkStart fails if a start order exceeds the limit of the configuration in force.
func (w *limitSimulation) checkStart(s Start) {
	organisation := w.organisations[s.Task.Job]
	limit := w.limits[organisation]
	if limit == 0 {
		return
	}
	def := w.step(s.Task)
	claim, used := def.Allocation().MilliCPU, w.used(organisation)
	if !def.Gang {
		if used+claim > limit && 2*used >= limit {
			w.t.Fatalf("task %s of %d starts while organisation %s uses %d of %d", s.Task, claim, organisation, used, limit)
		}
		return
	}
	run := fmt.Sprint(s.Task.Job, s.Task.Step, s.Number)
	before, known := w.gangStart[run]
	if !known {
		w.gangStart[run], before = used, used
	}
	all := before + claim*int64(def.Count)
	if all > limit && (2*before >= limit || all > limit+limit/10+claim) {
		w.t.Fatalf("gang of %s of %d members of %d starts while organisation %s uses %d of %d", s.Task, def.Count, claim, organisation, before, limit)
	}
}

func (w *limitSimulation) takeOver() {
	w.simulation.takeOver()
	for id := range w.cancelled {
		w.engine.Cancel(id)
	}
}

// addGang adds a job of one gang, whose members are placed together.
func (w *limitSimulation) addGang() {
	w.addJob()
	id := graph.JobID(fmt.Sprint("gang", w.jobs))
	spec := &graph.Spec{Steps: []graph.Step{{Count: rapid.IntRange(2, 4).Draw(w.t, "members"), Gang: true, Claim: graph.Resources{MilliCPU: int64(rapid.IntRange(10, 60).Draw(w.t, "cpu"))}}}}
	w.specs[id], w.organisations[id] = spec, w.newOrganisation()
	w.engine.AddJob(JobInput{ID: id, Queue: w.queue(), Organisation: w.organisations[id], Spec: spec, ArrivedAt: w.now})
}

// endGang ends one gang of which all members run. Its members end together, and only then.
func (w *limitSimulation) endGang() {
	type member struct {
		worker WorkerID
		key    RunKey
	}
	runs := make(map[string][]member)
	for _, id := range w.workerIDs() {
		for key := range w.workers[id].running {
			if !w.step(key.Task).Gang {
				continue
			}
			run := fmt.Sprint(key.Task.Job, "/", key.Number)
			runs[run] = append(runs[run], member{id, key})
			if len(runs[run]) == w.step(key.Task).Count {
				for _, m := range runs[run] {
					w.endRun(m.worker, m.key, RunDone)
				}
				return
			}
		}
	}
}

// An organisation has no more running than its limit, whatever the order of starts, ends, cancellations, lost answers, late starts,
// lost workers, takeovers and changes of the configuration: a run that is being stopped, may have been started or may be running on a worker that
// has not reported to a new owner must not be left out.
func TestNoStartExceedsTheLimitOfItsOrganisation(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "6000"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := &limitSimulation{
			simulation: &simulation{
				t: t, epoch: 1, engine: New(1), now: 1, workers: make(map[WorkerID]*simulatedWorker),
				specs: make(map[graph.JobID]*graph.Spec), records: make(map[graph.JobID]Progress),
				done: make(map[graph.TaskID]bool), failed: make(map[graph.TaskID]int), organisations: make(map[graph.JobID]string),
			},
			limits: make(map[string]int64), cancelled: make(map[graph.JobID]bool), gangStart: make(map[string]int64),
		}
		w.newOrganisation = func() string { return rapid.SampledFrom(limitedOrganisations).Draw(t, "organisation") }
		w.configure, w.observeStart = w.setLimits, w.checkStart
		for range 4 {
			w.addWorker()
		}
		drawLimits := func() {
			name := rapid.SampledFrom(limitedOrganisations).Draw(t, "limited")
			delete(w.limits, name)
			if limit := rapid.SampledFrom([]int64{0, 50, 90, 130, 200}).Draw(t, "limit"); limit > 0 {
				w.limits[name] = limit
			}
			w.setLimits()
		}
		drawLimits()
		drawLimits()
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			w.engine.SetNow(w.now)
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 0, 1:
				w.addJob()
			case 2:
				w.addGang()
			case 3, 4:
				w.endSomePlainRun()
			case 5:
				w.endGang()
			case 6, 7, 8:
				w.report(rapid.SampledFrom(w.workerIDs()).Draw(t, "worker"))
			case 9:
				w.recordProgress()
			case 10:
				w.takeOver()
			case 11:
				if len(w.lateStarts) > 0 {
					w.executeStart(w.lateStarts[0], w.oldestLateEpoch())
					w.lateStarts = w.lateStarts[1:]
				}
			case 12:
				drawLimits()
			case 13:
				if w.jobs > 0 {
					id := graph.JobID(fmt.Sprint("job", rapid.IntRange(1, w.jobs).Draw(t, "cancelled")))
					w.cancelled[id] = true
					w.engine.Cancel(id)
				}
			case 14:
				w.replaceWorker(rapid.SampledFrom(w.workerIDs()).Draw(t, "lost worker"))
			}
			w.executePlan()
		}
		w.drain()
	})
}

// drain lets all tasks run and end, and fails if a job that its limit admits does not end, or if a run is still counted then: usage
// that is never released would block its organisation for ever.
func (w *limitSimulation) drain() {
	const drainRounds = 400
	w.lateStarts, w.reliable = nil, true
	for range drainRounds {
		if w.allEnded() {
			break
		}
		w.now = w.now.Add(time.Second)
		w.engine.SetNow(w.now)
		w.endGang()
		for _, id := range w.workerIDs() {
			w.endRunsAsDone(id)
			w.report(id)
		}
		w.recordProgress()
		w.executePlan()
	}
	for id, j := range w.engine.jobs {
		if w.mustEnd(j) {
			w.t.Errorf("job %s has not ended after %d rounds without faults: %q", id, drainRounds, w.engine.Explain(id, 0))
		}
	}
	for _, o := range w.engine.organisations {
		if o.runs == 0 && o.used != (graph.Resources{}) || o.runs < 0 {
			w.t.Fatalf("organisation %s has %d runs that use %+v", o.name, o.runs, o.used)
		}
		counted := 0
		for _, worker := range w.engine.workers {
			for _, r := range worker.runs {
				if r.organisation == o {
					counted++
				}
			}
		}
		if counted != o.runs {
			w.t.Fatalf("organisation %s has %d runs, but %d are counted", o.name, counted, o.runs)
		}
	}
}

// endRunsAsDone ends the runs of a worker's tasks that are no members of gangs.
func (w *limitSimulation) endRunsAsDone(id WorkerID) {
	for key := range w.workers[id].running {
		if !w.step(key.Task).Gang {
			w.endRun(id, key, RunDone)
		}
	}
}

// allEnded reports whether all jobs have ended that their limits admit.
func (w *limitSimulation) allEnded() bool {
	for _, j := range w.engine.jobs {
		if w.mustEnd(j) {
			return false
		}
	}
	return true
}

// mustEnd reports whether a job has not ended although its organisation's limit admits it.
func (w *limitSimulation) mustEnd(j *job) bool {
	s := j.occurrence(0).steps[0]
	return !j.state.Ended() && !j.organisation.neverAdmits(s.limitUnit(), s.def.Allocation())
}

// replaceWorker ends a worker with all its runs and adds another one. Ends that the worker still lists are recorded before: a task
// whose end is lost with its worker rightly starts again.
func (w *limitSimulation) replaceWorker(lost WorkerID) {
	if len(w.workers[lost].ended) > 0 {
		w.report(lost)
		w.recordProgress()
	}
	delete(w.workers, lost)
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(s Start) bool { return s.Worker == lost })
	w.engine.RemoveWorker(lost, WorkerSilent)
	w.addWorker()
}

func (w *limitSimulation) addWorker() {
	id := WorkerID(fmt.Sprintf("w%03d", w.workersAdded))
	w.workersAdded++
	w.workers[id] = &simulatedWorker{capacity: graph.Resources{MilliCPU: 100}, running: make(map[RunKey]bool), stopped: make(map[graph.TaskID]uint64)}
	w.engine.PutWorker(Worker{ID: id, Pool: "p", Capacity: w.workers[id].capacity})
	w.engine.SetReachable(id, true)
}

// endSomePlainRun ends a run of a task that is no member of a gang.
func (w *limitSimulation) endSomePlainRun() {
	for _, id := range w.workerIDs() {
		for key := range w.workers[id].running {
			if !w.step(key.Task).Gang {
				w.endRun(id, key, rapid.SampledFrom([]RunOutcome{RunDone, RunDone, RunFailed, RunInterrupted}).Draw(w.t, "end"))
				return
			}
		}
	}
}
