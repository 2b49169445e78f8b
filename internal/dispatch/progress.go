package dispatch

import "laburnumpoint/internal/graph"

// Progress is the part of a job's progress that is recorded. It has no runs: the workers list those.
type Progress struct {
	State   graph.JobState `json:"state"`
	Started bool           `json:"started,omitempty"`
	Steps   []StepProgress `json:"steps,omitempty"`
	// Done are occurrences whose tasks are all done, beside those whose steps are listed as such.
	Done []OccurrenceRange `json:"done,omitempty"`
}

// OccurrenceRange is the occurrences from From up to and not including To.
type OccurrenceRange struct {
	From int `json:"k"`
	To   int `json:"to"`
}

// StepProgress is the progress of one step of one occurrence. A step without progress is left out.
type StepProgress struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"i,omitempty"`
	// FailedRuns are the numbers of the runs of a gang that failed.
	FailedRuns []uint64 `json:"f,omitempty"`
	AllDone    bool     `json:"all,omitempty"`
	// Done is a bitmap of the tasks that are done.
	Done  []byte         `json:"done,omitempty"`
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is what is recorded of a task that is not done.
type TaskProgress struct {
	Index      int      `json:"i,omitempty"`
	FailedRuns []uint64 `json:"f,omitempty"`
	Checkpoint string   `json:"c,omitempty"`
	// Crashes are the crashes of the task's workers that count for it.
	Crashes []CrashProgress `json:"x,omitempty"`
	// Starts are those that may be carried out late, by a worker's next process too. Older versions don't know of them.
	Starts []StartProgress `json:"s,omitempty"`
}

// StartProgress is a start of a task that may be carried out.
type StartProgress struct {
	Run    uint64   `json:"r"`
	Worker WorkerID `json:"w"`
}

// CrashProgress is a crash of the worker that had a run of the task.
type CrashProgress struct {
	// Run is the run's number. Ended means that the worker's process has certainly ended, which older versions record only together with
	// Proven; Proven that it had the run then, Likely that the run is a likely cause of its end, Sole that no other job's run may be.
	Run    uint64 `json:"r"`
	Ended  bool   `json:"e,omitempty"`
	Proven bool   `json:"p,omitempty"`
	Likely bool   `json:"l,omitempty"`
	Sole   bool   `json:"s,omitempty"`
}

// tasksPerRow is how many tasks' progress takes about a row of the ledger.
const tasksPerRow = 256

// progressRows returns about how many rows the job's progress takes.
func (j *job) progressRows() int {
	rows := 1
	if !j.state.Ended() {
		for _, s := range j.spec.Steps {
			rows += s.Count / tasksPerRow
		}
	}
	return rows
}

// progress returns the job's progress to record.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Started: j.started}
	if j.state.Ended() {
		return p
	}
	if j.doneCount*len(j.spec.Steps) > maxListedSteps {
		p.Done = j.doneRanges()
	} else {
		p.Steps = j.doneSteps()
	}
	for _, o := range j.openOccurrences() {
		if j.isDone(o.index) {
			continue
		}
		for _, s := range o.steps {
			if sp, hasProgress := s.progress(); hasProgress {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// doneSteps returns the progress of the steps of the occurrences that are done.
func (j *job) doneSteps() []StepProgress {
	var steps []StepProgress
	for index, done := range j.doneOccurrences {
		for i := range j.spec.Steps {
			if done {
				steps = append(steps, StepProgress{Occurrence: index, Step: i, AllDone: true})
			}
		}
	}
	return steps
}

func (s *step) progress() (StepProgress, bool) {
	p := StepProgress{Occurrence: s.occurrence, Step: s.index, FailedRuns: s.failedRuns}
	if s.openTasks == 0 {
		p.AllDone = true
		return p, true
	}
	hasProgress := len(p.FailedRuns) > 0
	if s.openTasks < len(s.tasks) {
		hasProgress = true
		p.Done = make([]byte, (len(s.tasks)+7)/8)
	}
	for _, t := range s.tasks {
		switch {
		case t.done:
			p.Done[t.index/8] |= 1 << (t.index % 8)
		case len(t.failedRuns) > 0 || t.checkpoint != "" || len(t.crashes) > 0 || len(t.openStarts) > 0:
			hasProgress = true
			p.Tasks = append(p.Tasks, TaskProgress{t.index, t.failedRuns, t.checkpoint, t.recordedCrashes(), t.recordedStarts()})
		}
	}
	return p, hasProgress
}

// restore applies recorded progress. Entries that don't match the job's spec are ignored.
func (j *job) restore(p Progress) {
	j.state, j.endTaken = p.State, p.State.Ended()
	j.started = p.Started
	for _, r := range p.Done {
		for index := max(0, r.From); index < min(r.To, j.spec.OccurrenceCount()); index++ {
			j.markOccurrenceDone(index)
		}
	}
	for index, steps := range j.recordedSteps(p) {
		if j.spec.Occurrences > 0 && len(steps) == len(j.spec.Steps) && allDone(steps) {
			j.markOccurrenceDone(index)
			continue
		}
		o := j.occurrence(index)
		o.due = true // an earlier owner has begun it
		for _, sp := range steps {
			o.steps[sp.Step].restore(sp)
		}
	}
}

// recordedSteps returns the recorded progress by occurrence and step, without what does not match the job's spec.
func (j *job) recordedSteps(p Progress) map[int]map[int]StepProgress {
	byOccurrence := make(map[int]map[int]StepProgress)
	for _, sp := range p.Steps {
		if !j.hasStep(sp.Occurrence, sp.Step) {
			continue
		}
		if byOccurrence[sp.Occurrence] == nil {
			byOccurrence[sp.Occurrence] = make(map[int]StepProgress)
		}
		byOccurrence[sp.Occurrence][sp.Step] = sp
	}
	return byOccurrence
}

func allDone(steps map[int]StepProgress) bool {
	for _, sp := range steps {
		if !sp.AllDone {
			return false
		}
	}
	return true
}

func (s *step) restore(p StepProgress) {
	s.failedRuns = p.FailedRuns
	for _, t := range s.tasks {
		if p.AllDone || (t.index/8 < len(p.Done) && p.Done[t.index/8]&(1<<(t.index%8)) != 0) {
			t.done = true
			s.openTasks--
		}
	}
	for _, tp := range p.Tasks {
		if tp.Index < 0 || tp.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[tp.Index]
		t.failedRuns, t.checkpoint = tp.FailedRuns, tp.Checkpoint
		t.restoreCrashes(tp.Crashes)
		t.restoreStarts(tp.Starts)
	}
	s.countSuspects()
	if s.openTasks == 0 {
		s.within.openSteps--
	}
}
