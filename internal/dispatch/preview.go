package dispatch

import (
	"fmt"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Bounds of a preview.
const (
	// maxPreviewEvaluations bounds the evaluations of workers for one preview. At 50 ns each it takes 10 ms at most, in which the owner
	// decides nothing.
	maxPreviewEvaluations = 200_000
	// previewHorizon is how far ahead the end of runs is looked for to tell when tasks without room may start.
	previewHorizon = 60 * time.Second
)

// Preview says where the tasks of a job would go now, and why. Times are in milliseconds and count from now.
type Preview struct {
	ObjectiveMS int64         `json:"objective_ms"`
	Steps       []StepPreview `json:"steps"`
}

// StepPreview says where the tasks of one step would go.
type StepPreview struct {
	Step  int `json:"step"`
	Tasks int `json:"tasks"`
	// After lists the steps that must be done first. The places of such a step are those that it would get if it could start now.
	After []int `json:"after,omitempty"`
	// Permits is set if the policy service must allow the workers. Places are then given as if it allowed all that it is asked about.
	Permits *PermitPreview `json:"permits,omitempty"`
	// Rack is the rack that the tasks prefer, empty if they prefer none.
	Rack string `json:"rack,omitempty"`
	// Places are the workers on which tasks would start.
	Places []PlacePreview `json:"places,omitempty"`
	// Wait is set if tasks would wait for room on the rack by choice.
	Wait *WaitPreview `json:"wait,omitempty"`
	// OverLimit counts the tasks that the limit of the job's organisation does not admit now.
	OverLimit int `json:"over_limit,omitempty"`
	// NoRoom is set if tasks would find no room.
	NoRoom *NoRoomPreview `json:"no_room,omitempty"`
	// Refused counts the other workers of the pool by the first reason why they get none of the tasks.
	Refused []RefusedPreview `json:"refused,omitempty"`
}

// PermitPreview is the permit request that the step would begin with.
type PermitPreview struct {
	Workers   int   `json:"workers"`
	LatencyMS int64 `json:"latency_ms"`
	// AllowedShare is the share of workers that the policy service has allowed for the queue so far.
	AllowedShare float64 `json:"allowed_share"`
}

// PlacePreview is a worker that would get tasks.
type PlacePreview struct {
	Worker WorkerID `json:"worker"`
	Rack   string   `json:"rack,omitempty"`
	Tasks  int      `json:"tasks"`
	// Away means that the tasks take longer there than on the rack that they prefer.
	Away bool `json:"away,omitempty"`
	// Reason is why the worker was chosen.
	Reason PlaceReason `json:"reason"`
	// Start and End are given for steps that wait for no other.
	StartMS *int64 `json:"start_ms,omitempty"`
	EndMS   *int64 `json:"end_ms,omitempty"`
}

// WaitPreview describes tasks that would wait for room on a rack.
type WaitPreview struct {
	Tasks int    `json:"tasks"`
	Rack  string `json:"rack"`
	// DeadlineMS is the longest time that the tasks wait, GainMS how much sooner than elsewhere they are expected to end, on average.
	DeadlineMS int64 `json:"deadline_ms"`
	GainMS     int64 `json:"gain_ms"`
}

// NoRoomPreview describes tasks that would find no room.
type NoRoomPreview struct {
	Tasks int `json:"tasks"`
	// FirstStartMS and LastStartMS are when the first and the last of them are expected to find room; nil if not within previewHorizon.
	FirstStartMS *int64 `json:"first_start_ms,omitempty"`
	LastStartMS  *int64 `json:"last_start_ms,omitempty"`
}

// RefusedPreview counts workers that get no task, by reason and by whether they are on the rack that the tasks prefer.
type RefusedPreview struct {
	Reason  RefusalReason `json:"reason"`
	Workers int           `json:"workers"`
	// Near counts those of the workers that are on the rack.
	Near int `json:"near,omitempty"`
}

// PlaceReason is why a worker gets tasks.
type PlaceReason string

// The reasons for a choice, the strongest first.
const (
	// PlaceNear means that the worker is on the rack that the tasks prefer.
	PlaceNear PlaceReason = "near"
	// PlaceAway means that there is no room on that rack, and that a wait for it would not gain.
	PlaceAway PlaceReason = "away"
	// PlaceFullest means that the worker has the least room left of those that fit.
	PlaceFullest PlaceReason = "fullest"
	// PlaceSuspect means that only workers fit that have lately refused, failed or not answered.
	PlaceSuspect PlaceReason = "suspect"
)

// RefusalReason is why a worker gets no task.
type RefusalReason string

// The reasons for a refusal, in the order in which they are checked.
const (
	// RefusedUnavailable means that the worker takes no new runs: it drains, doesn't answer, or has a run of an unknown job.
	RefusedUnavailable RefusalReason = "unavailable"
	RefusedLabel       RefusalReason = "label"
	// RefusedPermit means that no permit would be requested for the worker.
	RefusedPermit RefusalReason = "permit"
	// RefusedReserved means that the worker, or its free capacity, is kept for other tasks.
	RefusedReserved RefusalReason = "reserved"
	// RefusedEjected means that runs on the worker failed, or stood still, too often.
	RefusedEjected RefusalReason = "ejected"
	RefusedRoom    RefusalReason = "room"
	// RefusedSharing means that the tasks must not share the worker with a run that is there, or that the step has as many tasks
	// there as it may.
	RefusedSharing RefusalReason = "sharing"
	// RefusedNotNeeded means that the worker fits, and others were preferred.
	RefusedNotNeeded RefusalReason = "not_needed"
)

// refusalOrder lists the reasons as they are checked.
var refusalOrder = []RefusalReason{RefusedUnavailable, RefusedLabel, RefusedPermit, RefusedReserved, RefusedEjected, RefusedRoom, RefusedSharing, RefusedNotNeeded}

// PreviewTooLargeError means that a preview would keep the owner from its work.
type PreviewTooLargeError struct{ Tasks, MaxTasks int }

// Error implements error.
func (e *PreviewTooLargeError) Error() string {
	return fmt.Sprintf("%d tasks in all steps, want at most %d to say where they would go in a pool of this size", e.Tasks, e.MaxTasks)
}

// Preview says where the job's tasks would go now. It uses the code that Plan uses, and changes nothing: the job is not added, no permit
// is requested and nothing is counted. The input's ID, time of arrival and progress are not used.
func (e *Engine) Preview(in JobInput) (Preview, error) {
	if e.poolsStale {
		e.rebuildPools() // as the next plan would
	}
	stats := e.stats
	defer func() { e.stats = stats }()
	in.ID, in.ArrivedAt, in.Progress, in.Unconfirmed = "", e.now, nil, false
	j := newJob(in)
	j.organisation = e.organisations[in.Organisation]
	p := e.previewPool(j)
	tasks := 0
	steps := j.occurrence(0).steps
	for _, s := range steps {
		tasks += len(s.tasks)
	}
	if most := maxPreviewEvaluations / max(1, len(p.workers)); tasks > most {
		return Preview{}, &PreviewTooLargeError{tasks, most}
	}
	preview := Preview{ObjectiveMS: j.objective.Milliseconds()}
	for _, s := range steps {
		s.active, s.due = true, e.now.Add(j.objective)
		preview.Steps = append(preview.Steps, e.previewStep(s, p))
	}
	return preview, nil
}

// previewPool returns a copy of the pool of the job as the steps of the job would find it in a plan.
func (e *Engine) previewPool(j *job) *pool {
	p := &pool{}
	if existing := e.pools[j.queue.Pool]; existing != nil {
		*p = *existing
	}
	p.free = graph.Resources{}
	for _, w := range p.workers {
		p.free = p.free.Add(w.free())
	}
	first := j.occurrence(0).steps[0]
	first.due = e.now.Add(j.objective)
	first.overdueAtPlan, first.missedAtPlan = e.overdue(first), e.missedObjective(first)
	for s := range e.active {
		if s.job.queue.Pool == j.queue.Pool && s.unplacedCount() > 0 && compareUrgency(s, first) < 0 {
			p.addDemand(s)
		}
	}
	return p
}

func (e *Engine) previewStep(s *step, p *pool) StepPreview {
	out := StepPreview{Step: s.index, Tasks: len(s.tasks), After: s.def.After}
	var delay time.Duration
	if s.job.queue.Permit != nil {
		out.Permits = e.previewPermits(s, p)
		delay = time.Duration(out.Permits.LatencyMS) * time.Millisecond
	}
	out.OverLimit = len(s.tasks) - e.admittedTasks(s, len(s.tasks), nil)
	running := s.runsPerWorker()
	chosen := make(map[*worker]int)
	to := places{
		planned: make(map[*worker]graph.Resources),
		wait: func(tasks []*task, d nearDecision) {
			out.Wait = &WaitPreview{len(tasks), s.nearRack(), (delay + d.deadline.Sub(e.now)).Milliseconds(), d.gain.Milliseconds()}
		},
	}
	to.start = func(_ *task, w *worker) {
		to.planned[w] = to.planned[w].Add(s.def.Allocation())
		chosen[w]++
		running[w.ID]++
	}
	unplaced := e.previewChoices(s, p, to)
	rack := s.nearRack()
	spread := e.previewSpread(s, chosen)
	if e.placesMatter(s) {
		out.Rack = rack
	}
	for _, w := range p.workers {
		if n := chosen[w]; n > 0 {
			place := PlacePreview{Worker: w.ID, Rack: w.Rack, Tasks: n, Reason: PlaceFullest}
			switch {
			case e.isSuspect(w):
				place.Reason = PlaceSuspect
			case rack != "" && w.Rack == rack:
				place.Reason = PlaceNear
			case rack != "":
				place.Reason = PlaceAway
			}
			place.Away = spread || (e.placesMatter(s) && rack != "" && w.Rack != rack)
			if len(s.def.After) == 0 {
				start, end := delay.Milliseconds(), (delay + e.runTime(s, place.Away)).Milliseconds()
				place.StartMS, place.EndMS = &start, &end
			}
			out.Places = append(out.Places, place)
		}
	}
	if unplaced > 0 {
		out.NoRoom = e.previewNoRoom(s, p, unplaced, delay, taken{to.planned, running})
	}
	out.Refused = e.previewRefusals(s, p, chosen, running)
	return out
}

// runTime returns how long a task of the step is expected to run.
func (e *Engine) runTime(s *step, away bool) time.Duration {
	if away {
		return time.Duration(float64(s.expectedRunTime()) * e.locality.factor)
	}
	return s.expectedRunTime()
}

// previewChoices chooses places as placeStep does, and returns the number of tasks that get none.
func (e *Engine) previewChoices(s *step, p *pool, to places) int {
	open := slices.Clone(s.tasks)[:e.admittedTasks(s, len(s.tasks), nil)]
	switch {
	case len(open) == 0:
		return 0
	case s.def.Gang:
		workers := p.workers
		if e.placesMatter(s) {
			var d nearDecision
			if workers, s.locality.rack, d = e.chooseGangWorkers(s, p, open); d.tasks > 0 { // nearRack is the rack to wait for
				to.wait(open, d)
				return 0
			}
		}
		chosen := e.chooseForGang(s, workers, len(open))
		for i, w := range chosen {
			to.start(open[i], w)
		}
		return len(open) - len(chosen)
	case e.placesMatter(s):
		return len(e.choosePlaces(s, p, p.workers, open, to))
	}
	counts := s.runsPerWorker()
	ranked := e.rank(s, p.workers, to.planned, counts)
	for i, t := range open {
		w := ranked.best()
		if w == nil {
			return len(open) - i
		}
		to.start(t, w)
		counts[w.ID]++
		ranked.placed()
	}
	return 0
}

// previewSpread reports whether the members of a gang that prefers one rack would run on several.
func (e *Engine) previewSpread(s *step, chosen map[*worker]int) bool {
	if !s.def.Gang || !e.placesMatter(s) {
		return false
	}
	racks := make(map[string]struct{})
	for w := range chosen {
		racks[w.Rack] = struct{}{}
	}
	return len(racks) > 1
}

// previewPermits returns the permit request that the step begins with, and gives the step permits for its workers.
func (e *Engine) previewPermits(s *step, p *pool) *PermitPreview {
	requests := 1
	if s.def.Gang && len(p.workers) > 0 {
		requests = e.initialPermitRequests(s, p, len(s.tasks))
	}
	preview := &PermitPreview{AllowedShare: e.verdictCounts[s.job.queue.Name].allowedShare()}
	s.permits = make(map[WorkerID]permit)
	for range requests {
		if len(p.workers) == 0 || !s.def.Allocation().Fits(p.free) {
			break
		}
		draft := e.draftPermitRequest(s, p, len(s.tasks))
		s.addRequestedWorkers(draft.workers)
		preview.Workers += len(draft.workers)
		preview.LatencyMS = max(preview.LatencyMS, s.job.queue.Permit.For(len(draft.workers)).Milliseconds())
	}
	for id := range s.requestedWorkers {
		s.permits[id] = permit{validUntil: e.now.Add(previewHorizon)}
	}
	return preview
}

// previewNoRoom tells when the given number of the step's tasks is expected to find room.
func (e *Engine) previewNoRoom(s *step, p *pool, tasks int, delay time.Duration, taken taken) *NoRoomPreview {
	out := &NoRoomPreview{Tasks: tasks}
	var ahead graph.Resources
	for _, demand := range p.locality.demandByRack {
		ahead = ahead.Add(demand)
	}
	starts := e.expectedStarts(s, p.workers, s.tasksIn(ahead), e.now.Add(previewHorizon), taken)
	starts = slices.DeleteFunc(starts, func(at monotime.Instant) bool { return at <= e.now }) // taken by the tasks with places
	if len(s.def.After) > 0 || len(starts) == 0 {
		return out
	}
	first := max(delay, starts[0].Sub(e.now)).Milliseconds()
	if !s.def.Gang {
		out.FirstStartMS = &first
	}
	if len(starts) >= tasks {
		last := max(delay, starts[tasks-1].Sub(e.now)).Milliseconds()
		out.LastStartMS = &last
		if s.def.Gang {
			out.FirstStartMS = &last
		}
	}
	return out
}

// previewRefusals counts the workers that get no task by reason.
func (e *Engine) previewRefusals(s *step, p *pool, chosen map[*worker]int, running map[WorkerID]int) []RefusedPreview {
	taking := make(map[*worker]struct{}, len(p.workers))
	for _, w := range p.workers {
		taking[w] = struct{}{}
	}
	counts := make(map[RefusalReason]RefusedPreview)
	for _, w := range e.workers {
		if w.Pool != s.job.queue.Pool || chosen[w] > 0 {
			continue
		}
		reason := RefusedUnavailable
		if _, ok := taking[w]; ok {
			reason = e.refusal(s, w, running)
		}
		count := counts[reason]
		count.Reason = reason
		count.Workers++
		if e.placesMatter(s) && w.Rack == s.nearRack() {
			count.Near++
		}
		counts[reason] = count
	}
	var out []RefusedPreview
	for _, reason := range refusalOrder {
		if count, ok := counts[reason]; ok {
			out = append(out, count)
		}
	}
	return out
}

// refusal returns the first reason why a worker that takes new runs gets none of the step's tasks.
func (e *Engine) refusal(s *step, w *worker, running map[WorkerID]int) RefusalReason {
	switch {
	case !s.eligible(w):
		return RefusedLabel
	case !s.hasPermit(w, e.now):
		return RefusedPermit
	case w.reservedFor != nil:
		return RefusedReserved
	case e.isExcluded(s, w):
		return RefusedEjected
	case !s.def.Allocation().Fits(w.free()):
		return RefusedRoom
	case !s.def.Allocation().Fits(w.free().Sub(w.heldForOthers(s, e.now))):
		return RefusedReserved
	case !e.hasCapacity(s, w, graph.Resources{}, running):
		return RefusedSharing
	}
	return RefusedNotNeeded
}
