package dispatch

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// The steps and tasks of an occurrence exist from the time at which it is due until it is done, so that an engine's memory depends on
// what may run and not on how far ahead jobs are scheduled. A job without a schedule has one occurrence, which always exists.
//
// An occurrence whose time has not come also exists if a worker reports a run of it, or if some of it was recorded: an earlier owner's
// time of day was ahead.

const (
	// maxOpenTasks bounds the tasks of a schedule's occurrences that exist at the same time, where there are several. Each step counts
	// as tasksPerStep more. Later occurrences wait until earlier ones are done.
	maxOpenTasks = 20_000
	tasksPerStep = 32
	// maxListedSteps is how many finished steps of finished occurrences are recorded one by one. Beyond that the record holds ranges
	// of occurrences, so that the progress of a long schedule fits into a row.
	maxListedSteps = 500
	// dropInterval is the time between two searches for occurrences that need not exist any more.
	dropInterval = 1 * time.Second
)

// occurrence is one run through a job's steps.
type occurrence struct {
	job   *job
	index int
	steps []*step
	// openSteps counts the steps with open tasks.
	openSteps int
	// due means that the time of the occurrence has come.
	due bool
}

// openWeight returns how much each open occurrence of the job counts towards maxOpenTasks.
func (j *job) openWeight() int {
	weight := 0
	for i := range j.spec.Steps {
		weight += j.spec.Steps[i].Count + tasksPerStep
	}
	return weight
}

// mayOpenOccurrence reports whether another occurrence may exist beside those that do.
func (j *job) mayOpenOccurrence() bool {
	return len(j.occurrences) == 0 || (len(j.occurrences)+1)*j.openWeight() <= maxOpenTasks
}

// occurrence returns an occurrence of the job, which it makes if it does not exist.
func (j *job) occurrence(index int) *occurrence {
	if o := j.occurrences[index]; o != nil {
		return o
	}
	o := &occurrence{job: j, index: index, openSteps: len(j.spec.Steps), due: j.spec.Occurrences == 0}
	for i := range j.spec.Steps {
		s := newStep(o, i)
		s.remainingPath = j.criticalPaths[i]
		o.steps = append(o.steps, s)
	}
	if j.isDone(index) {
		o.openSteps = 0
		for _, s := range o.steps {
			s.openTasks = 0
			for _, t := range s.tasks {
				t.done = true
			}
		}
	}
	if j.countsUnreported {
		o.countUnreported()
	}
	j.occurrences[index] = o
	return o
}

// openOccurrences returns the occurrences that exist, in order.
func (j *job) openOccurrences() []*occurrence {
	open := make([]*occurrence, 0, len(j.occurrences))
	for _, index := range slices.Sorted(maps.Keys(j.occurrences)) {
		open = append(open, j.occurrences[index])
	}
	return open
}

func (j *job) isDone(index int) bool {
	return index < len(j.doneOccurrences) && j.doneOccurrences[index]
}

// markOccurrenceDone notes that all tasks of an occurrence are done, and reports whether that holds for all occurrences of the job.
func (j *job) markOccurrenceDone(index int) (last bool) {
	if j.doneOccurrences == nil {
		j.doneOccurrences = make([]bool, j.spec.OccurrenceCount())
	}
	if !j.doneOccurrences[index] {
		j.doneOccurrences[index] = true
		j.doneCount++
	}
	return j.doneCount == j.spec.OccurrenceCount()
}

// doneRanges returns the occurrences that are done as ranges.
func (j *job) doneRanges() []OccurrenceRange {
	var ranges []OccurrenceRange
	for index, done := range j.doneOccurrences {
		switch last := len(ranges) - 1; {
		case !done:
		case last >= 0 && ranges[last].To == index:
			ranges[last].To++
		default:
			ranges = append(ranges, OccurrenceRange{index, index + 1})
		}
	}
	return ranges
}

// calendar holds the jobs with occurrences that are not due yet, the one with the earliest first. It implements heap.Interface.
type calendar []*job

func (c calendar) Len() int           { return len(c) }
func (c calendar) Less(a, b int) bool { return c[a].nextDueAt() < c[b].nextDueAt() }

func (c calendar) Swap(a, b int) {
	c[a], c[b] = c[b], c[a]
	c[a].calendarIndex, c[b].calendarIndex = a, b
}

// Push implements heap.Interface.
func (c *calendar) Push(x any) {
	j := x.(*job)
	j.calendarIndex = len(*c)
	*c = append(*c, j)
}

// Pop implements heap.Interface.
func (c *calendar) Pop() any {
	last := len(*c) - 1
	j := (*c)[last]
	(*c)[last] = nil
	*c = (*c)[:last]
	j.calendarIndex = notInCalendar
	return j
}

// notInCalendar is the calendarIndex of a job that is not in the calendar.
const notInCalendar = -1

// nextDueAt returns the time of day at which the job's next occurrence is due.
func (j *job) nextDueAt() time.Duration { return j.spec.DueAt(j.nextDue) }

// addToCalendar adds a job that has occurrences which are not due yet.
func (e *Engine) addToCalendar(j *job) {
	if j.spec.Occurrences > 0 && j.nextDue < j.spec.Occurrences && j.calendarIndex == notInCalendar && !j.state.Ended() {
		heap.Push(&e.calendar, j)
	}
}

func (e *Engine) removeFromCalendar(j *job) {
	if j.calendarIndex != notInCalendar {
		heap.Remove(&e.calendar, j.calendarIndex)
	}
}

// activateDue activates the occurrences whose time of day has come. wall is the time of day since the Unix epoch. A job with too many
// open occurrences leaves the calendar until one is done.
func (e *Engine) activateDue(wall time.Duration) {
	for len(e.calendar) > 0 {
		j := e.calendar[0]
		late := wall - j.nextDueAt()
		if late < 0 {
			return
		}
		if !j.isDone(j.nextDue) && j.occurrences[j.nextDue] == nil && !j.mayOpenOccurrence() {
			e.removeFromCalendar(j)
			continue
		}
		index := j.nextDue
		j.nextDue++
		if j.nextDue < j.spec.Occurrences {
			heap.Fix(&e.calendar, 0)
		} else {
			e.removeFromCalendar(j)
		}
		if !j.isDone(index) {
			e.activateOccurrence(j.occurrence(index), e.now.Add(j.objective-late))
		}
	}
}

// activateOccurrence activates the steps of an occurrence that is due and depends on nothing. due is when it should be complete.
func (e *Engine) activateOccurrence(o *occurrence, due monotime.Instant) {
	o.due = true
	for _, s := range o.steps {
		s.due = due
		e.countUnfinishedDependencies(s)
		e.activateIfReady(s)
	}
}

// completeOccurrence notes that all tasks of an occurrence are done.
func (e *Engine) completeOccurrence(o *occurrence) {
	j := o.job
	if j.markOccurrenceDone(o.index) {
		j.state = graph.Completed
	}
	e.retire(o)
}

// retire notes that an occurrence of a scheduled job need not exist once it has no runs.
func (e *Engine) retire(o *occurrence) {
	if o.job.spec.Occurrences > 0 {
		e.retired = append(e.retired, o)
	}
}

// dropRetired removes occurrences that need not exist, after which others of their jobs may. While reports of earlier owners' workers are
// awaited they stay: their tasks' unreported runs are counted.
func (e *Engine) dropRetired() {
	if len(e.retired) == 0 || e.now.Sub(e.retiredCheckedAt) < dropInterval || !e.ReportsComplete() {
		return
	}
	e.retiredCheckedAt = e.now
	e.retired = slices.DeleteFunc(e.retired, func(o *occurrence) bool {
		if o.hasRuns() {
			return false
		}
		if o.job.occurrences[o.index] == o {
			delete(o.job.occurrences, o.index)
			e.addToCalendar(o.job)
		}
		return true
	})
}

func (o *occurrence) hasRuns() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.run != nil || t.copy != nil || t.surplusRuns > 0 {
				return true
			}
		}
	}
	return false
}
