package dispatch

import (
	"fmt"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Delay scheduling: tasks of a step that find no room on the rack that they prefer start elsewhere, where they take the remote
// factor times as long, or wait for room on the rack. Waits are not recorded: a new owner decides anew.

// Bounds of the waits for room on a rack.
const (
	// minGainShare is the least expected gain of a wait, as a share of the run time. Less is within the error of the forecast.
	minGainShare = 0.1
	// waitReviewInterval is the usual reviewInterval. A forecast looks at every run on the rack, and a round of decisions follows every 2 ms.
	waitReviewInterval = 20 * time.Millisecond
	// overdueRunShare is the least time that a run without progress is expected to go on, as a share of its expected run time.
	overdueRunShare = 0.1
	// wantedRackWeight lowers a worker's score if tasks that prefer its rack find too little room, so that others take room elsewhere. It
	// is less than packing counts for between an empty and a full worker. With 1, gains are the same.
	wantedRackWeight = 0.3
	// maxLocalityEvents bounds the events of waits that are kept for TakeLocalityEvents.
	maxLocalityEvents = 1024
)

// LocalityStats counts tasks that waited for room on a rack.
type LocalityStats struct {
	// Begun counts the tasks that began to wait. Each ends as Kept, when it starts on the rack, or as GivenUp.
	Begun, Kept, GivenUp uint64
	// Won counts the kept waits after which the run ended before it would have ended elsewhere without a wait; Lost counts the
	// others and the waits that were given up. Waits of jobs that ended meanwhile, and those whose run was not done, count as
	// neither.
	Won, Lost uint64
}

// WaitEnd is why a wait for room on a rack ended.
type WaitEnd string

// The ends of a wait.
const (
	// WaitBegun means that the wait has not ended.
	WaitBegun WaitEnd = ""
	// WaitKept means that all tasks started on the rack.
	WaitKept WaitEnd = "kept"
	// WaitDeadline means that the deadline has passed.
	WaitDeadline WaitEnd = "deadline"
	// WaitRackGone means that no worker on the rack takes runs of the step any more.
	WaitRackGone WaitEnd = "rack_gone"
	// WaitRoomTaken means that room is no longer expected before the deadline.
	WaitRoomTaken WaitEnd = "room_taken"
	// WaitNotNeeded means that the tasks no longer need a start.
	WaitNotNeeded WaitEnd = "not_needed"
)

// LocalityEvent is the begin or the end of a wait of some tasks of a step for room on a rack.
type LocalityEvent struct {
	Step StepID
	Rack string
	// End is WaitBegun for the begin of a wait.
	End WaitEnd
	// Tasks is how many tasks began to wait; Kept is how many of them started on the rack.
	Tasks, Kept int
	// Gain is the expected gain of the tasks' ends over a start elsewhere, on average.
	Gain time.Duration
	// Deadline is the longest time that the tasks wait, Waited how long the wait has lasted.
	Deadline, Waited time.Duration
}

// localityState is the engine's part of delay scheduling.
type localityState struct {
	// factor is how many times as long a task takes away from the rack that it prefers. Places make no difference up to 1.
	factor float64
	// decide chooses how many tasks wait.
	decide func(nearChoice) nearDecision
	// reviewInterval is the least time between two forecasts for one step's waits.
	reviewInterval time.Duration
	waits          map[*nearWait]struct{}
	events         []LocalityEvent
	stats          LocalityStats
}

// nearWait is a wait of some tasks of a step for room on a rack.
type nearWait struct {
	step              *step
	rack              string
	begunAt, deadline monotime.Instant
	// tasks are those that still wait.
	tasks       []*task
	begun, kept int
	gain        time.Duration
}

// stepLocality is a step's part of delay scheduling.
type stepLocality struct {
	// rack is the one chosen for a step whose tasks prefer one rack; empty if none is chosen, or for a step with a data rack.
	rack  string
	waits []*nearWait
	// reviewAt is when the forecast for the waits, or the choice of the rack, is due again.
	reviewAt monotime.Instant
	// countedBefore means that the plan before has counted the step's demand.
	countedBefore bool
	// observed is the sum of the run times of the tasks that are done, as they would have been near; observations counts them.
	observed     time.Duration
	observations int
}

// taskLocality is a task's part of delay scheduling.
type taskLocality struct {
	// wait is the wait that the task takes part in, nil if there is none.
	wait *nearWait
	// waited means that the task has taken part in a wait. It does not wait again.
	waited bool
	// waitBegunAt is when the wait that was kept began; 0 without one.
	waitBegunAt monotime.Instant
}

// SetRemoteFactor sets how many times as long a task takes away from its data or its group. Places make no difference up to 1,
// which is the factor of a new engine.
func (e *Engine) SetRemoteFactor(factor float64) {
	e.locality.factor = factor
	if e.locality.decide == nil {
		e.locality.decide = nearChoice.byExpectedEnds
		e.locality.reviewInterval = waitReviewInterval
	}
}

// LocalityStats returns the counts so far.
func (e *Engine) LocalityStats() LocalityStats { return e.locality.stats }

// TakeLocalityEvents returns the begins and ends of waits since the last call, at most maxLocalityEvents.
func (e *Engine) TakeLocalityEvents() []LocalityEvent {
	events := e.locality.events
	e.locality.events = nil
	return events
}

func (e *Engine) addLocalityEvent(wait *nearWait, end WaitEnd) {
	if len(e.locality.events) == maxLocalityEvents {
		return
	}
	e.locality.events = append(e.locality.events, LocalityEvent{
		Step: wait.step.id(), Rack: wait.rack, End: end, Tasks: wait.begun, Kept: wait.kept, Gain: wait.gain,
		Deadline: wait.deadline.Sub(wait.begunAt), Waited: e.now.Sub(wait.begunAt),
	})
}

// placesMatter reports whether it makes a difference where the step's tasks run.
func (e *Engine) placesMatter(s *step) bool {
	return e.locality.factor > 1 && (s.def.DataRack != "" || s.def.SameRack)
}

// nearRack returns the rack that the step prefers: that of its data, or else the one chosen for its tasks. It is empty if there is
// none.
func (s *step) nearRack() string {
	if s.def.DataRack != "" {
		return s.def.DataRack
	}
	return s.locality.rack
}

// isNear reports whether the worker is on the rack that the step prefers.
func (s *step) isNear(w *worker) bool { return w.Rack == s.nearRack() }

// nearChoice is what the choice between a start elsewhere and a wait depends on. All ends are expected ones.
type nearChoice struct {
	now monotime.Instant
	// runTime is the time of a run on the rack.
	runTime time.Duration
	factor  float64
	// lastNearStart is the latest start on the rack with which the job still completes in time.
	lastNearStart monotime.Instant
	// lastRemoteStart is the same for a start elsewhere.
	lastRemoteStart monotime.Instant
	// permitsEnd is when the permit for the worker elsewhere expires; 0 if there is none to expire.
	permitsEnd monotime.Instant
	// nearStarts are the times at which tasks are expected to find room on the rack, the soonest first. Those of the demand ahead
	// are left out.
	nearStarts []monotime.Instant
	// tasks is how many tasks may wait.
	tasks int
}

// nearDecision is how many tasks wait, until when at the latest, and what they gain on average.
type nearDecision struct {
	tasks    int
	deadline monotime.Instant
	gain     time.Duration
}

// deadline returns the end of a wait that begins now. It is at most the time that a wait can gain, and leaves the time for a
// start elsewhere within the job's objective. If that is missed already, it leaves the time for a start on the rack within the
// objective, or else depends on the gain alone.
func (c nearChoice) deadline() monotime.Instant {
	deadline := c.now.Add(time.Duration(float64(c.runTime) * (c.factor - 1)))
	switch {
	case c.lastRemoteStart > c.now:
		deadline = min(deadline, c.lastRemoteStart)
	case c.lastNearStart > c.now:
		deadline = min(deadline, c.lastNearStart)
	}
	if c.permitsEnd > 0 {
		deadline = min(deadline, c.permitsEnd)
	}
	return deadline
}

// byExpectedEnds lets as many tasks wait as are expected to end sooner on the rack than elsewhere.
func (c nearChoice) byExpectedEnds() nearDecision {
	d := nearDecision{deadline: c.deadline()}
	remoteEnd := c.now.Add(time.Duration(float64(c.runTime) * c.factor))
	margin := time.Duration(minGainShare * float64(c.runTime))
	for _, start := range c.nearStarts[:min(c.tasks, len(c.nearStarts))] {
		gain := remoteEnd.Sub(start.Add(c.runTime))
		if start > d.deadline || gain < margin {
			break
		}
		d.tasks++
		d.gain += gain
	}
	if d.tasks > 0 {
		d.gain /= time.Duration(d.tasks)
	}
	return d
}

// placeNear starts what open tasks it can, on the rack that the step prefers first, and returns the others. Tasks that wait are
// not among these: nothing has to be done for them.
func (e *Engine) placeNear(s *step, p *pool, workers []*worker, open []*task) []*task {
	return e.choosePlaces(s, p, workers, open, places{
		start: func(t *task, w *worker) {
			if t.locality.wait != nil {
				e.endTaskWait(t, WaitKept)
			}
			e.startRun(t, w, e.nextRunNumber(t.lastRunNumber))
			t.run.away = !s.isNear(w)
		},
		wait: func(tasks []*task, d nearDecision) { e.addWait(s, s.nearRack(), tasks, d) },
	})
}

// places is what becomes of the choices for a step's tasks: they are carried out, or noted.
type places struct {
	// planned is capacity that choices which are not carried out have taken.
	planned map[*worker]graph.Resources
	start   func(t *task, w *worker)
	wait    func(tasks []*task, d nearDecision)
}

// choosePlaces chooses for each open task a worker, a wait or neither, and returns the tasks with neither.
func (e *Engine) choosePlaces(s *step, p *pool, workers []*worker, open []*task, to places) []*task {
	e.chooseRack(s, p, len(open))
	counts := s.runsPerWorker()
	var waiting []*task
	for _, t := range open {
		if t.locality.wait != nil {
			waiting = append(waiting, t)
		}
	}
	open = notWaiting(open)
	decided := false
	ranked := e.rank(s, workers, to.planned, counts)
	for len(waiting)+len(open) > 0 {
		w := ranked.best()
		switch {
		case w == nil:
			return open
		case s.isNear(w) && len(waiting) > 0:
			to.start(waiting[0], w)
			waiting = waiting[1:]
		case len(open) == 0:
			return nil
		case !s.isNear(w) && !decided:
			decided = true
			var begun []*task
			var d nearDecision
			if begun, open, d = e.chooseWaits(s, p, w, open, len(waiting), taken{to.planned, counts}); len(begun) > 0 {
				to.wait(begun, d)
				waiting = append(waiting, begun...)
			}
			continue
		default:
			if s.nearRack() == "" {
				s.locality.rack = w.Rack
			}
			to.start(open[0], w)
			open = open[1:]
		}
		counts[w.ID]++
		ranked.placed()
	}
	return nil
}

// notWaiting returns the tasks that do not wait for room on a rack.
func notWaiting(tasks []*task) []*task {
	return slices.DeleteFunc(tasks, func(t *task) bool { return t.locality.wait != nil })
}

// chooseWaits chooses those of the open tasks that wait, since they are expected to end sooner on the step's rack than on the given
// worker elsewhere. alreadyWaiting tasks of the step come before them.
func (e *Engine) chooseWaits(s *step, p *pool, elsewhere *worker, open []*task, alreadyWaiting int, taken taken) (begun, others []*task, d nearDecision) {
	runTime := s.expectedRunTime()
	if runTime == 0 || s.def.LongRunning {
		return nil, open, d
	}
	var candidates []*task
	for _, t := range open {
		if t.locality.waited {
			others = append(others, t)
		} else {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return nil, open, d
	}
	c := e.nearChoice(s, runTime)
	c.tasks = len(candidates)
	if s.job.queue.Permit != nil {
		c.permitsEnd = s.permits[elsewhere.ID].validUntil.Add(-permitMargin)
	}
	rack := s.nearRack()
	c.nearStarts = e.expectedStarts(s, p.onRack(rack), s.tasksIn(e.demandAhead(s, p, rack)), c.deadline(), taken)
	c.nearStarts = c.nearStarts[min(alreadyWaiting, len(c.nearStarts)):]
	d = e.locality.decide(c)
	split := len(candidates) - d.tasks
	return candidates[split:], append(others, candidates[:split]...), d
}

// addWait lets the tasks wait for room on the rack.
func (e *Engine) addWait(s *step, rack string, tasks []*task, d nearDecision) {
	wait := &nearWait{
		step: s, rack: rack, begunAt: e.now, deadline: d.deadline, tasks: slices.Clone(tasks), begun: len(tasks), gain: d.gain,
	}
	for _, t := range tasks {
		t.locality.wait, t.locality.waited = wait, true
	}
	if e.locality.waits == nil {
		e.locality.waits = make(map[*nearWait]struct{})
	}
	e.locality.waits[wait] = struct{}{}
	s.locality.waits = append(s.locality.waits, wait)
	s.locality.reviewAt = e.now.Add(e.locality.reviewInterval)
	e.locality.stats.Begun += uint64(len(tasks))
	e.addLocalityEvent(wait, WaitBegun)
}

// nearChoice returns what a choice for the step depends on, without what depends on the tasks.
func (e *Engine) nearChoice(s *step, runTime time.Duration) nearChoice {
	longer := time.Duration(float64(runTime) * (e.locality.factor - 1))
	return nearChoice{
		now: e.now, runTime: runTime, factor: e.locality.factor,
		lastNearStart: s.due.Add(-s.remainingPath), lastRemoteStart: s.due.Add(-s.remainingPath - longer),
	}
}

// reviewWaits prepares delay scheduling for a plan: it ends the waits whose deadline has passed and those that are not needed.
func (e *Engine) reviewWaits() {
	for wait := range e.locality.waits {
		s := wait.step
		for _, t := range slices.Clone(wait.tasks) {
			switch {
			case !s.active || t.done || t.run != nil:
				e.endTaskWait(t, WaitNotNeeded)
			case e.now >= wait.deadline:
				e.endTaskWait(t, WaitDeadline)
			}
		}
	}
}

// reviewForecast ends the waits of a step for which room is no longer expected in time.
func (e *Engine) reviewForecast(s *step, p *pool) {
	if len(s.locality.waits) == 0 {
		return
	}
	if !e.rackUsable(s, p) {
		for _, wait := range slices.Clone(s.locality.waits) {
			for _, t := range slices.Clone(wait.tasks) {
				e.endTaskWait(t, WaitRackGone)
			}
		}
		return
	}
	if e.now < s.locality.reviewAt {
		return
	}
	s.locality.reviewAt = e.now.Add(e.locality.reviewInterval)
	for _, wait := range slices.Clone(s.locality.waits) {
		starts := e.nearStarts(s, p, wait.rack, wait.deadline)
		if s.def.Gang && len(starts) < len(wait.tasks) {
			starts = nil
		}
		for _, t := range slices.Clone(wait.tasks[min(len(wait.tasks), len(starts)):]) {
			e.endTaskWait(t, WaitRoomTaken)
		}
	}
}

// rackUsable reports whether a worker on the step's rack may yet take one of its tasks.
func (e *Engine) rackUsable(s *step, p *pool) bool {
	for _, w := range p.onRack(s.nearRack()) {
		if _, _, chance := e.permitWindow(s, w); chance > 0 && s.eligible(w) {
			return true
		}
	}
	return false
}

// endTaskWait ends the wait of one task. The wait ends with its last task.
func (e *Engine) endTaskWait(t *task, end WaitEnd) {
	wait := t.locality.wait
	t.locality.wait = nil
	wait.tasks = slices.DeleteFunc(wait.tasks, func(other *task) bool { return other == t })
	if end == WaitKept {
		wait.kept++
		e.locality.stats.Kept++
		t.locality.waitBegunAt = wait.begunAt
	} else {
		e.locality.stats.GivenUp++
		wait.step.lastSearchAt = 0 // the task may start on any worker now
		if end != WaitNotNeeded {
			e.locality.stats.Lost++
		}
	}
	if len(wait.tasks) > 0 {
		return
	}
	delete(e.locality.waits, wait)
	wait.step.locality.waits = slices.DeleteFunc(wait.step.locality.waits, func(other *nearWait) bool { return other == wait })
	e.addLocalityEvent(wait, end)
}

// explainWaits describes the waits of a step for room on a rack, empty without any; all means that no other task waits for a start.
func (e *Engine) explainWaits(s *step) (description string, all bool) {
	if len(s.locality.waits) == 0 {
		return "", false
	}
	n := 0
	var gain, longest time.Duration
	for _, wait := range s.locality.waits {
		n += len(wait.tasks)
		gain = max(gain, wait.gain)
		longest = max(longest, wait.deadline.Sub(e.now))
	}
	description = fmt.Sprintf("%d tasks wait for room on rack %s for at most %s more: they take %.3g times as long elsewhere, and are expected to end %s sooner than that",
		n, s.nearRack(), roundToMS(longest), e.locality.factor, roundToMS(gain))
	return description, n == s.unplacedCount()
}
