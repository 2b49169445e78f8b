package dispatch

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// Delay scheduling: tasks of a step that find no room on the rack that they prefer start elsewhere, where they take the remote
// factor times as long, or wait for room on the rack. Times of day, queues of other daemons and the store play no part. Waits are
// not recorded: a new owner decides anew.

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
	// backlog is what the pool had no room for in the plan before, as a share of its capacity.
	backlog float64
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
	c := e.nearChoice(s, p, runTime)
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

// chooseRack chooses the rack for the open tasks of a step that prefers one for all of its tasks. Tasks that run already decide it.
// Otherwise it is the rack where the most of the open tasks find room before a start elsewhere would gain, the soonest first, and of
// those the one with the most room.
func (e *Engine) chooseRack(s *step, p *pool, open int) {
	if s.def.DataRack != "" || len(s.locality.waits) > 0 {
		return
	}
	if s.placedTasks > 0 || s.openTasks < len(s.tasks) {
		if s.locality.rack == "" {
			s.locality.rack = s.rackOfRuns()
		}
		if s.locality.rack != "" {
			return
		}
	}
	if s.locality.rack != "" && e.now < s.locality.reviewAt {
		return
	}
	s.locality.reviewAt = e.now.Add(e.locality.reviewInterval)
	s.locality.rack, _, _ = e.bestRack(s, p, open)
}

// rackOfRuns returns the rack with the most runs of the step's tasks; empty if there are none.
func (s *step) rackOfRuns() string {
	counts := make(map[string]int)
	best := ""
	for _, t := range s.tasks {
		if t.run == nil {
			continue
		}
		rack := t.run.worker.Rack
		counts[rack]++
		if counts[rack] > counts[best] {
			best = rack
		}
	}
	return best
}

// bestRack returns the rack where the most of the given number of the step's tasks are expected to find room in time, the number of
// those, and when the last of them does. Among equals it is the rack with the most room.
func (e *Engine) bestRack(s *step, p *pool, tasks int) (best string, fitting int, last monotime.Instant) {
	until := e.nearChoice(s, p, s.expectedRunTime()).deadline()
	most := 0
	for _, rack := range p.rackNames() {
		starts := e.nearStarts(s, p, rack, until)
		n := min(tasks, len(starts))
		if n == 0 {
			continue
		}
		end, room := starts[n-1], len(starts)
		if n > fitting || (n == fitting && (end < last || (end == last && room > most))) {
			best, fitting, last, most = rack, n, end, room
		}
	}
	return best, fitting, last
}

// gangWorkers returns the workers among which a gang for which places matter is placed, and nil while the gang waits.
func (e *Engine) gangWorkers(s *step, p *pool, open []*task) []*worker {
	workers, rack, d := e.chooseGangWorkers(s, p, open)
	switch {
	case d.tasks > 0:
		s.locality.rack = rack
		e.addWait(s, rack, open, d)
	case workers != nil && rack != "":
		for _, t := range open {
			if t.locality.wait != nil {
				e.endTaskWait(t, WaitKept)
			}
		}
	}
	return workers
}

// chooseGangWorkers chooses the workers for a gang: those of one rack if all members fit there, or those of the pool if they don't and a
// wait would not gain. It returns none while the gang waits, or if it is to begin a wait for the rack; d then says until when.
func (e *Engine) chooseGangWorkers(s *step, p *pool, open []*task) (workers []*worker, rack string, d nearDecision) {
	counts := s.runsPerWorker()
	if rack := e.rackWithRoom(s, p, len(open), counts); rack != "" {
		return p.onRack(rack), rack, d
	}
	if len(s.locality.waits) > 0 {
		return nil, "", d
	}
	runTime := s.expectedRunTime()
	if runTime == 0 || s.def.LongRunning || open[0].locality.waited || !e.gangFits(s, p.workers, len(open), counts) {
		return p.workers, "", d
	}
	c := e.nearChoice(s, p, runTime)
	c.tasks = 1
	if s.job.queue.Permit != nil {
		c.permitsEnd = s.earliestPermitEnd(e.now)
	}
	rack, fitting, last := s.def.DataRack, 0, monotime.Instant(0)
	if rack == "" {
		rack, fitting, last = e.bestRack(s, p, len(open))
	} else if starts := e.nearStarts(s, p, rack, c.deadline()); len(starts) >= len(open) {
		fitting, last = len(open), starts[len(open)-1]
	}
	if fitting < len(open) {
		return p.workers, "", d
	}
	c.nearStarts = []monotime.Instant{last}
	if d = e.locality.decide(c); d.tasks == 0 {
		return p.workers, "", d
	}
	return nil, rack, d
}

// earliestPermitEnd returns when the first of the step's valid permits can't be used any more.
func (s *step) earliestPermitEnd(now monotime.Instant) monotime.Instant {
	var earliest monotime.Instant
	for _, p := range s.permits {
		if end := p.validUntil.Add(-permitMargin); end > now && (earliest == 0 || end < earliest) {
			earliest = end
		}
	}
	return earliest
}

// rackWithRoom returns the rack on which the given number of the step's tasks fit now, the one with the most room if there are several:
// that of its data if it has one. It is empty if they fit on none.
func (e *Engine) rackWithRoom(s *step, p *pool, tasks int, running map[WorkerID]int) string {
	racks := p.rackNames()
	if s.def.DataRack != "" {
		racks = []string{s.def.DataRack}
	}
	best, most := "", tasks-1
	for _, rack := range racks {
		if room := e.roomOn(s, p.onRack(rack), running); room > most {
			best, most = rack, room
		}
	}
	return best
}

// roomOn returns how many of the step's tasks fit on the workers now.
func (e *Engine) roomOn(s *step, workers []*worker, running map[WorkerID]int) int {
	room := 0
	for _, w := range workers {
		e.stats.WorkersEvaluated++
		if e.hasCapacity(s, w, graph.Resources{}, running) && s.eligible(w) && s.hasPermit(w, e.now) {
			room += s.tasksThatFit(w.free().Sub(w.heldForOthers(s, e.now)), running[w.ID])
		}
	}
	return room
}

// noteGang notes on which rack the members of a gang run.
func (e *Engine) noteGang(s *step) {
	if !e.placesMatter(s) {
		return
	}
	spread := false
	for _, t := range s.tasks {
		spread = spread || (t.run != nil && t.run.worker.Rack != s.tasks[0].run.worker.Rack)
	}
	if spread || s.def.DataRack != "" && s.tasks[0].run.worker.Rack != s.def.DataRack {
		for _, t := range s.tasks {
			t.run.away = true
		}
	}
	s.locality.rack = ""
}

// rackNames returns the names of the racks of the pool's workers, sorted.
func (p *pool) rackNames() []string {
	p.onRack("")
	if p.locality.rackNames == nil {
		p.locality.rackNames = slices.Sorted(maps.Keys(p.locality.racks))
	}
	return p.locality.rackNames
}

// requestRack returns the rack for which permits are requested first: the one that the step prefers, or, before one is chosen, the one
// that has the most free capacity for its tasks. It is empty where places make no difference.
func (e *Engine) requestRack(s *step, p *pool) string {
	if !e.placesMatter(s) {
		return ""
	}
	if rack := s.nearRack(); rack != "" {
		return rack
	}
	best, most := "", -1
	for _, rack := range p.rackNames() {
		room := 0
		for _, w := range p.onRack(rack) {
			if s.eligible(w) && !s.deniedBy(w) {
				room += s.tasksThatFit(w.free(), 0)
			}
		}
		if room > most {
			best, most = rack, room
		}
	}
	return best
}

// deniedBy reports whether the policy service is known not to allow the worker.
func (s *step) deniedBy(w *worker) bool {
	allowed, known := s.verdicts[w.ID]
	return known && !allowed
}

// sortByRack puts the capacity on the rack that the gang prefers first, or, before one is chosen, that on the racks which have the most of
// it.
func (e *Engine) sortByRack(s *step, allowed []plannedHold) {
	if !e.placesMatter(s) {
		return
	}
	room := make(map[string]int)
	for _, h := range allowed {
		room[h.worker.Rack] += h.tasks
	}
	if rack := s.nearRack(); rack != "" {
		room = map[string]int{rack: 1}
	}
	slices.SortStableFunc(allowed, func(a, b plannedHold) int {
		return cmp.Or(cmp.Compare(room[b.worker.Rack], room[a.worker.Rack]), cmp.Compare(a.worker.Rack, b.worker.Rack))
	})
}

// nearChoice returns what a choice for the step depends on, without what depends on the tasks.
func (e *Engine) nearChoice(s *step, p *pool, runTime time.Duration) nearChoice {
	longer := time.Duration(float64(runTime) * (e.locality.factor - 1))
	return nearChoice{
		now: e.now, runTime: runTime, factor: e.locality.factor,
		lastNearStart: s.due.Add(-s.remainingPath), lastRemoteStart: s.due.Add(-s.remainingPath - longer),
		backlog: p.backlog(s),
	}
}

// expectedRunTime returns the time that a task of the step is expected to run on the rack that the step prefers: the mean of those
// that are done, or the estimate. An estimate may be wrong for the whole job.
func (s *step) expectedRunTime() time.Duration {
	if s.locality.observations > 0 {
		return s.locality.observed / time.Duration(s.locality.observations)
	}
	return s.def.Estimate
}

// expectedEnd returns when a run is expected to end, by its progress if that suffices, or else by the run time of its step. One
// that is overdue is expected to be so for as long again: the estimate was wrong by an unknown factor.
func (e *Engine) expectedEnd(r *run) monotime.Instant {
	if r.state == runStopping || r.task == nil {
		return e.now
	}
	if r.progress > minProgressForEstimate {
		return max(e.now, e.estimateEnd(r))
	}
	s := r.task.step
	total := s.expectedRunTime()
	if r.away {
		total = time.Duration(float64(total) * e.locality.factor)
	}
	left := total - e.now.Sub(r.orderedAt)
	return e.now.Add(max(left, -left, time.Duration(overdueRunShare*float64(total))))
}

// nearStarts returns the times up to the given one at which tasks of the step are expected to find room on the rack, the soonest
// first, without those that the demand of the steps ahead takes.
func (e *Engine) nearStarts(s *step, p *pool, rack string, until monotime.Instant) []monotime.Instant {
	return e.expectedStarts(s, p.onRack(rack), s.tasksIn(e.demandAhead(s, p, rack)), until, taken{running: s.runsPerWorker()})
}

// taken is what tasks of a step have on workers: capacity that is planned for them, and the runs and planned tasks of the step by worker.
type taken struct {
	planned map[*worker]graph.Resources
	running map[WorkerID]int
}

// expectedStarts returns the times up to the given one at which tasks of the step are expected to find room on the workers, the soonest
// first. Of the room that is yet to become free, it leaves out what the given number of tasks takes that come before.
func (e *Engine) expectedStarts(s *step, workers []*worker, before int, until monotime.Instant, taken taken) []monotime.Instant {
	type slot struct {
		at     monotime.Instant
		chance float64
	}
	var slots []slot
	for _, w := range workers {
		e.stats.WorkersEvaluated++
		if (w.reservedFor != nil && w.reservedFor != s) || e.isSuspect(w) || !s.eligible(w) || w.conflictsWith(s.def) {
			continue
		}
		from, to, chance := e.permitWindow(s, w)
		if chance == 0 {
			continue
		}
		free := w.free().Sub(taken.planned[w]).Sub(w.heldForOthers(s, e.now))
		fit := 0
		addSlots := func(at monotime.Instant) {
			n := s.tasksThatFit(free, taken.running[w.ID])
			for ; fit < n; fit++ {
				if at = max(at, from); at <= min(to, until) {
					slots = append(slots, slot{at, chance})
				}
			}
		}
		addSlots(e.now)
		for _, end := range e.expectedEnds(w, until) {
			free = free.Add(end.allocation)
			addSlots(end.at)
		}
	}
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	var starts []monotime.Instant
	expected, free := 0.0, 0
	for _, slot := range slots {
		if expected += slot.chance; expected > 0.5 { // rounded to the nearest number of tasks
			expected--
			starts = append(starts, slot.at)
			if slot.at <= e.now {
				free++
			}
		}
	}
	// The steps ahead could not use what is free now.
	return slices.Delete(starts, free, min(len(starts), free+before))
}

// runEnd is the expected end of a run, which frees its allocation.
type runEnd struct {
	at         monotime.Instant
	allocation graph.Resources
}

// expectedEnds returns the expected ends of the worker's runs up to the given time, the soonest first.
func (e *Engine) expectedEnds(w *worker, until monotime.Instant) []runEnd {
	var ends []runEnd
	for _, r := range w.runs {
		if r.task != nil && r.task.step.def.LongRunning {
			continue
		}
		if at := e.expectedEnd(r); at <= until {
			ends = append(ends, runEnd{at, r.allocation})
		}
	}
	slices.SortFunc(ends, func(a, b runEnd) int { return cmp.Compare(a.at, b.at) })
	return ends
}

// permitWindow returns the time in which the step has a permit for the worker, and the chance of that. A worker without a permit is
// worth nothing unless a request for one is pending.
func (e *Engine) permitWindow(s *step, w *worker) (from, to monotime.Instant, chance float64) {
	const never = monotime.Instant(1<<63 - 1)
	if s.job.queue.Permit == nil {
		return e.now, never, 1
	}
	if s.hasPermit(w, e.now) {
		return e.now, s.permits[w.ID].validUntil.Add(-permitMargin), 1
	}
	allowed, known := s.verdicts[w.ID]
	_, asked := s.requestedWorkers[w.ID]
	answerAt := e.now.Add(s.job.queue.Permit.For(max(1, len(s.requestedWorkers))))
	switch {
	case !asked || (known && !allowed):
		return 0, 0, 0
	case known:
		return answerAt, never, 1
	}
	return answerAt, never, e.verdictCounts[s.job.queue.Name].allowedShare()
}

// maxNearRequestShare is the share of a wait's greatest gain by which questions about full workers on the step's rack may lengthen a
// permit request.
const maxNearRequestShare = 0.1

// addNearWorker adds a worker with too little free capacity to a permit request if it is on the given rack, so that a task may wait
// for room there. It reports whether it did.
func (e *Engine) addNearWorker(draft *permitRequestDraft, s *step, w *worker, rack string) bool {
	if rack == "" || w.Rack != rack {
		return false
	}
	gain := float64(s.expectedRunTime()) * (e.locality.factor - 1)
	if float64(s.job.queue.Permit.PerWorker)*float64(draft.fullNear+1) > maxNearRequestShare*gain {
		return false
	}
	draft.fullNear++
	draft.workers = append(draft.workers, w.ID)
	return true
}

// requestOrder yields the pool's workers in the order in which permits are requested for them: those on the given rack, then the
// others, each in the order of byPreference.
func (e *Engine) requestOrder(s *step, p *pool, rack string) iter.Seq[*worker] {
	if rack == "" {
		return e.byPreference(s, p)
	}
	return func(yield func(*worker) bool) {
		for _, near := range []bool{true, false} {
			for w := range e.byPreference(s, p) {
				if (w.Rack == rack) == near && !yield(w) {
					return
				}
			}
		}
	}
}

// tasksIn returns how many tasks of the step the resources amount to, by the scarcest resource that they need.
func (s *step) tasksIn(r graph.Resources) int {
	allocation := s.def.Allocation()
	n := 0.0
	for _, c := range [][2]int64{{r.MilliCPU, allocation.MilliCPU}, {r.MemoryMB, allocation.MemoryMB}, {r.Accelerators, allocation.Accelerators}} {
		if c[1] > 0 {
			n = max(n, float64(c[0])/float64(c[1]))
		}
	}
	return int(n)
}

// poolLocality is a pool's part of delay scheduling.
type poolLocality struct {
	// racks holds the pool's workers by rack, nil until it is needed.
	racks map[string][]*worker
	// rackNames are the keys of racks, sorted; nil until they are needed.
	rackNames []string
	// demandByRack is what the steps that the current plan has gone through still need, by the rack that they prefer; that of
	// steps which prefer none is under "".
	demandByRack map[string]graph.Resources
	// demandBefore is demandByRack at the end of the plan before.
	demandBefore map[string]graph.Resources
}

// onRack returns the pool's workers on the rack.
func (p *pool) onRack(rack string) []*worker {
	if p.locality.racks == nil {
		p.locality.racks = make(map[string][]*worker)
		for _, w := range p.workers {
			p.locality.racks[w.Rack] = append(p.locality.racks[w.Rack], w)
		}
	}
	return p.locality.racks[rack]
}

// countDemand adds what the step still needs to the demand ahead of the steps that follow in the plan.
func (e *Engine) countDemand(s *step, p *pool) {
	if e.locality.factor <= 1 || s.unplacedCount() == 0 {
		return
	}
	s.locality.countedBefore = true
	p.addDemand(s)
}

// addDemand adds what the step still needs to demandByRack.
func (p *pool) addDemand(s *step) {
	if p.locality.demandByRack == nil {
		p.locality.demandByRack = make(map[string]graph.Resources)
	}
	rack := s.nearRack()
	p.locality.demandByRack[rack] = p.locality.demandByRack[rack].Add(s.def.Allocation().Times(s.unplacedCount()))
}

// demandAhead returns what the steps ahead of s need on the rack: all that those need which prefer it, and the rack's share, by
// workers, of what those need which prefer none. For a gang it also counts what the steps behind need: they take room as it becomes
// free, while the gang still lacks some.
func (e *Engine) demandAhead(s *step, p *pool, rack string) graph.Resources {
	share := float64(len(p.onRack(rack))) / float64(max(1, len(p.workers)))
	ahead := p.locality.demandByRack[rack].Add(p.locality.demandByRack[""].Scale(share))
	if !s.def.Gang {
		return ahead
	}
	all := p.locality.demandBefore[rack].Add(p.locality.demandBefore[""].Scale(share))
	if s.locality.countedBefore {
		own := s.def.Allocation().Times(s.unplacedCount())
		if s.nearRack() == "" {
			own = own.Scale(share)
		}
		all = all.Sub(own)
	}
	return graph.Resources{MilliCPU: max(all.MilliCPU, ahead.MilliCPU), MemoryMB: max(all.MemoryMB, ahead.MemoryMB), Accelerators: max(all.Accelerators, ahead.Accelerators)}
}

// backlog returns what the pool had no room for in the plan before, as a share of its capacity, by what the step's tasks need.
func (p *pool) backlog(s *step) float64 {
	var waiting graph.Resources
	for _, demand := range p.locality.demandBefore {
		waiting = waiting.Add(demand)
	}
	return float64(s.tasksIn(waiting)) / float64(max(1, s.tasksIn(p.capacity)))
}

// isWantedRack reports whether tasks that prefer the worker's rack found too little room in the plan before.
func (e *Engine) isWantedRack(w *worker) bool {
	if e.locality.factor <= 1 || w.Rack == "" {
		return false
	}
	p := e.pools[w.Pool]
	return p != nil && p.locality.demandBefore[w.Rack] != graph.Resources{}
}

// keepDemand keeps the demand that the plan has found for the next one.
func (e *Engine) keepDemand() {
	for _, p := range e.pools {
		p.locality.demandBefore, p.locality.demandByRack = p.locality.demandByRack, nil
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

// observeEnd learns from the end of a run: the run time of its step, and whether a wait was worth it.
func (e *Engine) observeEnd(r *run, outcome RunOutcome) {
	if e.locality.factor <= 1 || r == nil || r.task == nil || r.state == runStarting {
		return
	}
	t := r.task
	begunAt := t.locality.waitBegunAt
	t.locality.waitBegunAt = 0
	if outcome != RunDone || r.confirmedAt == 0 {
		return
	}
	near := e.now.Sub(r.confirmedAt)
	if r.away {
		near = time.Duration(float64(near) / e.locality.factor)
	}
	if !r.orphan {
		t.step.locality.observed += near
		t.step.locality.observations++
	}
	if begunAt == 0 {
		return
	}
	if e.now < begunAt.Add(time.Duration(float64(near)*e.locality.factor)) {
		e.locality.stats.Won++
	} else {
		e.locality.stats.Lost++
	}
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
