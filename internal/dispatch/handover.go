package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"laburnumpoint/internal/graph"
)

// UnrecordedCrashes is the part of a job's progress that the next owner must know and the store does not have: that the job has failed for
// the crashes of a task, or the crashes that count for tasks which may go on.
type UnrecordedCrashes struct {
	Job      graph.JobID
	Progress Progress
	// likely means that a task is the likely cause of one of its crashes.
	likely bool
}

// UnrecordedCrashes returns those of all jobs, the ones that matter most first.
func (e *Engine) UnrecordedCrashes() []UnrecordedCrashes {
	var unrecorded []UnrecordedCrashes
	for _, j := range e.jobs {
		if j.dirty || j.recorded < j.recordsTaken {
			if u := j.unrecordedCrashes(); u.Progress.State == graph.Failed || len(u.Progress.Steps) > 0 {
				unrecorded = append(unrecorded, u)
			}
		}
	}
	slices.SortFunc(unrecorded, func(a, b UnrecordedCrashes) int {
		return cmp.Or(a.rank()-b.rank(), strings.Compare(string(a.Job), string(b.Job)))
	})
	return unrecorded
}

func (u UnrecordedCrashes) rank() int {
	switch {
	case u.Progress.State == graph.Failed:
		return 0
	case u.likely:
		return 1
	}
	return 2
}

func (j *job) unrecordedCrashes() UnrecordedCrashes {
	u := UnrecordedCrashes{Job: j.id}
	if j.state.Ended() {
		if j.failedByCrashes {
			u.Progress.State = j.state
		}
		return u
	}
	for _, o := range j.openOccurrences() {
		for _, s := range o.steps {
			sp := StepProgress{Occurrence: s.occurrence, Step: s.index}
			for _, t := range s.tasks {
				if !t.done && t.isAwaitingRecord() {
					sp.Tasks = append(sp.Tasks, TaskProgress{Index: t.index, Crashes: t.recordedCrashes()})
					u.likely = u.likely || t.likelyCrashes() > 0
				}
			}
			if len(sp.Tasks) > 0 {
				u.Progress.Steps = append(u.Progress.Steps, sp)
			}
		}
	}
	return u
}

// AdoptCrashes applies what UnrecordedCrashes of the earlier owner has returned for a job, so that it gets recorded.
func (e *Engine) AdoptCrashes(id graph.JobID, p Progress) {
	j := e.jobs[id]
	if j == nil || j.state.Ended() {
		return
	}
	if p.State == graph.Failed {
		e.failJob(j, FailedByCrashes, "an earlier owner gave up a task of the job, which crashes its workers", nil, "a task of the job crashes its workers")
		return
	}
	for index, steps := range j.recordedSteps(p) {
		o := j.occurrences[index]
		if o == nil {
			continue
		}
		for _, sp := range steps {
			o.steps[sp.Step].adoptCrashes(sp.Tasks)
		}
	}
	e.markDirty(j)
}

func (s *step) adoptCrashes(tasks []TaskProgress) {
	for _, tp := range tasks {
		if tp.Index < 0 || tp.Index >= len(s.tasks) || s.tasks[tp.Index].done {
			continue
		}
		t := s.tasks[tp.Index]
		t.restoreCrashes(tp.Crashes)
		if !s.def.LongRunning {
			t.awaitRecord()
		}
	}
	s.countSuspects()
}
