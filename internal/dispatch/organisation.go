package dispatch

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
)

// organisation is what the engine knows of an organisation: its settings, what its runs use and the rate of its jobs. It is nil
// for jobs that belong to no organisation; these have no limit, no rate and no share.
type organisation struct {
	name       string
	configured bool
	weight     float64
	// limit bounds used and mayUse together. A resource of 0 is not bounded.
	limit graph.Resources
	// used is the sum of the allocations of all its runs, in any state.
	used graph.Resources
	// unreported is the sum, by pool, of the allocations of the tasks that an earlier owner may have started and that no worker
	// has reported.
	unreported map[string]graph.Resources
	// mayUse bounds what runs use that workers with an awaited report may have. It is up to date from the start of a plan.
	mayUse graph.Resources
	// jobs and runs count what refers to the organisation.
	jobs, runs int
	rate       rateMeter
	// head is the step for which the current plan keeps a part of the limit from later steps; nil for none.
	head *step
	// waitingTasks counts its unplaced tasks of active steps at the start of the last plan.
	waitingTasks int
	// wasWaiting means that it had waiting tasks in the last plan.
	wasWaiting bool
	// share is the used share of the cell in the resource where it is largest. lead is how far the organisation is ahead of the one
	// that has used least, in time of a fair share of the cell; band is the lead in bands.
	share float64
	lead  time.Duration
	band  int
}

// defaultWeight is the weight of an organisation that the configuration doesn't name.
const defaultWeight = 1.0

// SetOrganisations sets the organisations of the configuration in force, and how their rates of jobs are measured.
// An organisation that is not listed has no limit and the default weight. Nothing is stopped when a limit becomes lower.
func (e *Engine) SetOrganisations(list []graph.Organisation, rate RateOptions) {
	e.organisationsPending = false
	e.rateOptions = rate
	e.hasOrganisations = len(list) > 0
	for _, o := range e.organisations {
		o.configured, o.weight, o.limit = false, defaultWeight, graph.Resources{}
		if !e.hasOrganisations {
			o.lead, o.band = 0, 0
		}
	}
	for i := range list {
		o := e.organisation(list[i].Name)
		if o == nil {
			continue
		}
		o.configured, o.limit = true, list[i].Limit
		if list[i].Weight > 0 {
			o.weight = list[i].Weight
		}
	}
	for name, o := range e.organisations {
		if !o.configured && o.jobs == 0 && o.runs == 0 {
			delete(e.organisations, name)
		}
	}
	if e.hasOrganisations && !e.lanesAssigned {
		e.assignLanes()
	}
}

// AwaitOrganisations keeps tasks of jobs that name an organisation from being started until SetOrganisations is called: the
// limits are not known yet.
func (e *Engine) AwaitOrganisations() { e.organisationsPending = true }

// organisation returns the named organisation, nil for the empty name.
func (e *Engine) organisation(name string) *organisation {
	if name == "" {
		return nil
	}
	o := e.organisations[name]
	if o == nil {
		o = &organisation{name: name, weight: defaultWeight}
		e.organisations[name] = o
	}
	return o
}

// countRun adds a run to what its organisation uses.
func (o *organisation) countRun(r *run, s *step) {
	if o == nil {
		return
	}
	r.organisation = o
	o.runs++
	o.used = o.used.Add(r.allocation)
	o.markReported(s.tasks[r.Task.Index])
}

// releaseRun removes a run from what its organisation uses.
func (o *organisation) releaseRun(r *run) {
	if o == nil {
		return
	}
	o.runs--
	o.used = o.used.Sub(r.allocation)
}

// addJob notes a job of the organisation. An unconfirmed job's tasks may be running, those of a failed or cancelled job too: their
// runs may not have been stopped yet, and their progress is no longer recorded.
func (o *organisation) addJob(j *job) {
	if o == nil {
		return
	}
	o.jobs++
	if !j.unconfirmed {
		return
	}
	pool := j.queue.Pool
	if o.unreported == nil {
		o.unreported = make(map[string]graph.Resources)
	}
	j.eachTask(func(t *task) {
		o.unreported[pool] = o.unreported[pool].Add(t.step.def.Allocation().Times(t.possibleRuns()))
	})
	for _, open := range j.openOccurrences() {
		open.countUnreported()
	}
	absent := j.spec.OccurrenceCount() - len(j.occurrences) - j.doneCount
	for i := range j.spec.Steps {
		def := &j.spec.Steps[i]
		runs := absent*possibleRuns(def, j.state == graph.Completed) + j.doneCount*possibleRuns(def, true)
		o.unreported[pool] = o.unreported[pool].Add(def.Allocation().Times(def.Count * runs))
	}
	j.countsUnreported = true
}

// countUnreported sets for each task of an occurrence how many runs of it an earlier owner may have left.
func (o *occurrence) countUnreported() {
	o.eachTask(func(t *task) { t.unreported = t.possibleRuns() })
}

// removeJob notes that the engine no longer knows a job of the organisation.
func (o *organisation) removeJob() {
	if o != nil {
		o.jobs--
	}
}

// possibleRuns returns how many runs of a task an earlier owner may have left. A task has one run at a time, and none when it is done;
// one that may be copied has one more.
func (t *task) possibleRuns() int {
	return possibleRuns(t.step.def, t.done || t.step.job.state == graph.Completed)
}

// possibleRuns returns the same for a task of a step.
func possibleRuns(def *graph.Step, done bool) int {
	runs := 0
	if !done {
		runs++
	}
	if def.Speculative {
		runs++
	}
	return runs
}

// markReported notes that a run of the task is known now.
func (o *organisation) markReported(t *task) {
	if o == nil || t.unreported == 0 {
		return
	}
	t.unreported--
	pool := t.step.job.queue.Pool
	if amount, ok := o.unreported[pool]; ok {
		o.unreported[pool] = amount.Sub(t.step.def.Allocation())
	}
}

// refreshOrganisations brings the organisations up to date for a plan with the given steps.
func (e *Engine) refreshOrganisations() {
	if len(e.organisations) == 0 {
		return
	}
	awaited := e.awaitedCapacities()
	for _, o := range e.organisations {
		o.head, o.waitingTasks = nil, 0
		o.mayUse = graph.Resources{}
		for pool, amount := range o.unreported {
			capacity, ok := awaited[pool]
			if !ok {
				delete(o.unreported, pool)
				continue
			}
			o.mayUse = o.mayUse.Add(graph.Resources{
				MilliCPU:     min(amount.MilliCPU, capacity.MilliCPU),
				MemoryMB:     min(amount.MemoryMB, capacity.MemoryMB),
				Accelerators: min(amount.Accelerators, capacity.Accelerators),
			})
		}
	}
}

// awaitedCapacities returns the capacity, by pool, of the workers whose report is awaited. No more than that can be in use by runs
// that are not known.
func (e *Engine) awaitedCapacities() map[string]graph.Resources {
	if len(e.awaitedReports) == 0 {
		return nil
	}
	unbounded := graph.Resources{MilliCPU: graph.MaxClaim * graph.MaxTasks, MemoryMB: graph.MaxClaim * graph.MaxTasks, Accelerators: graph.MaxClaim * graph.MaxTasks}
	capacities := make(map[string]graph.Resources)
	for id, awaited := range e.awaitedReports {
		capacity := unbounded
		if w := e.workers[id]; w != nil {
			capacity = w.Capacity
		}
		capacities[awaited.pool] = capacities[awaited.pool].Add(capacity)
	}
	return capacities
}

// resourceKinds is the number of resources that a limit bounds.
const resourceKinds = 3

func amounts(r graph.Resources) [resourceKinds]int64 {
	return [resourceKinds]int64{r.MilliCPU, r.MemoryMB, r.Accelerators}
}

// gangLimitTolerance is the share of a limit by which a gang may exceed it, besides one task's allocation, if it could not run at
// all otherwise.
const gangLimitTolerance = 0.1

// neverAdmits reports whether need, in tasks that take one each, exceeds the limit by more than any exception allows.
func (o *organisation) neverAdmits(need, one graph.Resources) bool {
	limit, n, t := amounts(o.limit), amounts(need), amounts(one)
	for i := range limit {
		if limit[i] > 0 && n[i] > t[i]+limit[i]+int64(gangLimitTolerance*float64(limit[i])) {
			return true
		}
	}
	return false
}

// admits reports whether need, in tasks that take one each, may be started beside what is used. It may if it fits into the limit.
// As an exception it may also exceed the limit by one task, if the organisation uses less than half of the limit in each bounded
// resource that the tasks need and is above it in none, so that no two exceptions are active at once. A gang that is larger than
// the limit by itself may exceed it by gangLimitTolerance and one task.
func (o *organisation) admits(used, need, one graph.Resources) bool {
	limit, u, n, t := amounts(o.limit), amounts(used), amounts(need), amounts(one)
	fits, exception := true, true
	for i := range limit {
		if limit[i] == 0 {
			continue
		}
		exception = exception && u[i] <= limit[i]
		if n[i] == 0 {
			continue
		}
		fits = fits && u[i]+n[i] <= limit[i]
		exception = exception && 2*u[i] < limit[i]
		most := limit[i] + t[i]
		if n[i] > limit[i] {
			most += int64(gangLimitTolerance * float64(limit[i]))
		}
		exception = exception && u[i]+n[i] <= most
	}
	return fits || exception
}

// belowHalf reports whether less than half of the limit is used in each bounded resource of need.
func (o *organisation) belowHalf(used, need graph.Resources) bool {
	limit, u, n := amounts(o.limit), amounts(used), amounts(need)
	for i := range limit {
		if limit[i] > 0 && n[i] > 0 && 2*u[i] >= limit[i] {
			return false
		}
	}
	return true
}

// usage returns what the organisation uses or may use.
func (o *organisation) usage() graph.Resources { return o.used.Add(o.mayUse) }

// limitUnit returns what a limit admits of the step at once: the whole gang, or one task.
func (s *step) limitUnit() graph.Resources {
	if s.def.Gang {
		return s.def.Allocation().Times(len(s.tasks))
	}
	return s.def.Allocation()
}

// admittedTasks returns how many of the given number of unplaced tasks of the step its organisation's limit admits now. head is the
// step for which a part of the limit is kept; nil for none.
func (e *Engine) admittedTasks(s *step, open int, head *step) int {
	o := s.job.organisation
	if o == nil {
		return open
	}
	if e.organisationsPending {
		return 0
	}
	if o.limit == (graph.Resources{}) {
		return open
	}
	unit, one := s.limitUnit(), s.def.Allocation()
	used := o.usage()
	if s.def.Gang {
		if o.admits(used, unit, one) && !e.keptForHead(head, s, used, unit) {
			return open
		}
		return 0
	}
	// After a task that fits, no exception is left: more than half of the limit is used, or the next task fits as well.
	admitted := tasksWithin(o.limit.Sub(used), one, o.limit, open)
	if admitted == 0 && open > 0 && o.admits(used, unit, one) {
		admitted = 1
	}
	if head == nil {
		return admitted
	}
	for n := range admitted {
		if e.keptForHead(head, s, used, unit) {
			return n
		}
		used = used.Add(one)
	}
	return admitted
}

// tasksWithin returns how many of the given number of tasks fit into the room. Resources for which bounded is 0 don't count.
func tasksWithin(room, one, bounded graph.Resources, open int) int {
	r, t, b := amounts(room), amounts(one), amounts(bounded)
	n := int64(open)
	for i := range t {
		if t[i] > 0 && b[i] > 0 {
			n = min(n, max(0, r[i])/t[i])
		}
	}
	return int(n)
}

// A step that its organisation's limit blocks keeps a part of the limit from the organisation's later steps. Otherwise small tasks
// would take each part of the limit that becomes free, and a gang or a large task would never fit.
const (
	// headHoldTime is how long a step keeps a part of the limit: about as long as the tasks of the load take that it waits for,
	// and their permits.
	headHoldTime = 6 * time.Second
	// headHoldTimeBelowHalf is how long it does so while less than half of the limit is used. It is shorter than the time in
	// which a task of such an organisation must start.
	headHoldTimeBelowHalf = 2 * time.Second
	// headHoldPause is the time between two such holds of one step, in which other steps may start: the step may wait for
	// something else than the limit.
	headHoldPause = 3 * time.Second
)

// keptForHead reports whether starting need for a step must wait because an earlier step of the organisation waits for the limit.
func (e *Engine) keptForHead(head, s *step, used, need graph.Resources) bool {
	o := s.job.organisation
	if head == nil || head == s || head.unplacedCount() == 0 {
		return false
	}
	if o.belowHalf(used, need) && e.now.Sub(head.limitHoldFrom) > headHoldTimeBelowHalf {
		return false
	}
	return !o.admits(used.Add(need), head.limitUnit(), head.def.Allocation())
}

// noteLimit notes whether the limit keeps the step from starting any task, and makes it the organisation's head if so.
func (e *Engine) noteLimit(s *step, blocked bool) {
	o := s.job.organisation
	s.limitBlocked = blocked
	if o.head != nil || (!blocked && s.limitHoldFrom == 0) {
		return
	}
	if s.limitHoldFrom == 0 || e.now.Sub(s.limitHoldFrom) > headHoldTime+headHoldPause {
		s.limitHoldFrom = 0
		if blocked {
			s.limitHoldFrom = e.now
		}
	}
	inHold := s.limitHoldFrom > 0 && e.now.Sub(s.limitHoldFrom) <= headHoldTime
	if inHold && !o.neverAdmits(s.limitUnit(), s.def.Allocation()) {
		o.head = s
	}
}

// limitForbids reports whether the organisation's limit keeps the step from starting any task now.
func (e *Engine) limitForbids(s *step) bool { return e.admittedTasks(s, 1, nil) == 0 }

// admitForPlan returns how many of the step's unplaced tasks its organisation's limit admits in the current plan, in which earlier
// steps have been placed.
func (e *Engine) admitForPlan(s *step) int {
	o := s.job.organisation
	if o == nil {
		return s.unplacedCount()
	}
	admitted := e.admittedTasks(s, s.unplacedCount(), o.head)
	e.noteLimit(s, admitted == 0)
	return admitted
}

// wantsLimit reports whether tasks of the organisation wait and may need what is left of its limit.
func (o *organisation) wantsLimit() bool {
	return o != nil && o.limit != (graph.Resources{}) && o.waitingTasks > 0
}

// noteWaiting counts the step's unplaced tasks.
func (o *organisation) noteWaiting(s *step) {
	if o != nil {
		o.waitingTasks += s.unplacedCount()
	}
}

// OrganisationUsage is what an organisation uses and waits for.
type OrganisationUsage struct {
	Name        string
	Used, Limit graph.Resources
	// LimitShare is the used share of the limit in the resource where it is largest; 0 without a limit.
	LimitShare float64
	// CellShare is the used share of the cell in the resource where it is largest, as of the last plan.
	CellShare float64
	// WaitingTasks counts the tasks that wait to be started.
	WaitingTasks int
}

// OrganisationUsages returns the organisations' usage as of the last plan, sorted by name.
func (e *Engine) OrganisationUsages() []OrganisationUsage {
	usages := make([]OrganisationUsage, 0, len(e.organisations))
	for _, o := range e.organisations {
		u := OrganisationUsage{Name: o.name, Used: o.usage(), Limit: o.limit, CellShare: o.share, WaitingTasks: o.waitingTasks}
		limit, used := amounts(o.limit), amounts(u.Used)
		for i := range limit {
			if limit[i] > 0 {
				u.LimitShare = max(u.LimitShare, float64(used[i])/float64(limit[i]))
			}
		}
		usages = append(usages, u)
	}
	slices.SortFunc(usages, func(a, b OrganisationUsage) int { return cmp.Compare(a.Name, b.Name) })
	return usages
}
