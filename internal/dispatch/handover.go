package dispatch

import "laburnumpoint/internal/graph"

// UnrecordedCrashes returns, of at most limit jobs, what the next owner must know and the store does not have: that a job has failed for the
// crashes of a task, or the crashes that count for tasks which may go on. The rest of the progress is left out.
func (e *Engine) UnrecordedCrashes(limit int) map[graph.JobID]Progress {
	unrecorded := make(map[graph.JobID]Progress)
	for id, j := range e.jobs {
		if len(unrecorded) >= limit {
			break
		}
		if j.dirty || j.recorded < j.recordsTaken {
			if p := j.crashProgress(); p.State == graph.Failed || len(p.Steps) > 0 {
				unrecorded[id] = p
			}
		}
	}
	return unrecorded
}

// crashProgress returns the part of the job's progress that tells of crashes which are not recorded.
func (j *job) crashProgress() Progress {
	var p Progress
	if j.state.Ended() {
		if j.failedByCrashes {
			p.State = j.state
		}
		return p
	}
	for _, o := range j.openOccurrences() {
		for _, s := range o.steps {
			sp := StepProgress{Occurrence: s.occurrence, Step: s.index}
			for _, t := range s.tasks {
				if !t.done && t.isAwaitingRecord() {
					sp.Tasks = append(sp.Tasks, TaskProgress{Index: t.index, Crashes: t.recordedCrashes()})
				}
			}
			if len(sp.Tasks) > 0 {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// AdoptCrashes applies what UnrecordedCrashes of the earlier owner has returned for a job, so that it is recorded now.
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
		t.awaitRecord()
	}
	s.countSuspects()
}
