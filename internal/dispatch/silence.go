package dispatch

import (
	"time"

	"laburnumpoint/internal/monotime"
)

// silence is a worker whose runs were given up since it has not answered for a whole lease. Its process may have ended, perhaps by one of
// its runs. Or the worker, or this daemon, was cut off, and the worker has ended its runs as their lease expired. A silence fails no job.
// Later proof settles it:
//
//	silent ──the same process answers, or the worker leaves──▶ dropped
//	   ├──another process of the worker, or another worker at its address──▶ counted as a crash
//	   └──silenceMemory──▶ dropped
type silence struct {
	worker WorkerID
	// processStart is that of the worker's last report; 0 if it named none.
	processStart time.Duration
	at           monotime.Instant
	runs         []silentRun
}

// silentRun is a run that a silent worker had, or may have had.
type silentRun struct {
	RunKey
	// stable means that it is known to have lasted stableRunTime.
	stable bool
}

const (
	// silenceMemory is how long a silence is kept for proof.
	silenceMemory = 2 * time.Minute
	// silenceDelay is how long the next run of a task waits after the second and further silences in a row.
	silenceDelay = 2 * time.Second
)

// SilenceOutcome is how a silence was settled.
type SilenceOutcome int

// The outcomes of silences.
const (
	// SilenceAnswered means that the worker has answered again, or leaves.
	SilenceAnswered SilenceOutcome = iota
	// SilenceEnded means that the worker's process has ended.
	SilenceEnded
	// SilenceForgotten means that there was no proof in silenceMemory.
	SilenceForgotten
)

var silenceOutcomeNames = [...]string{"answered", "ended", "forgotten"}

// String returns the outcome's name in logs and metrics.
func (o SilenceOutcome) String() string { return silenceOutcomeNames[o] }

// SilenceOutcomes returns all outcomes.
func SilenceOutcomes() []SilenceOutcome {
	return []SilenceOutcome{SilenceAnswered, SilenceEnded, SilenceForgotten}
}

// SilenceReport describes a settled silence, for the log.
type SilenceReport struct {
	Worker  WorkerID
	Outcome SilenceOutcome
	Runs    int
	// Lasted is the time since the runs were given up.
	Lasted time.Duration
}

// TakeSilenceReports returns the silences that were settled since the last call.
func (e *Engine) TakeSilenceReports() []SilenceReport {
	reports := e.silenceReports
	e.silenceReports = nil
	return reports
}

// recordSilence notes that the runs of a worker's process, last known to live at aliveAt, are given up without proof that it has ended.
func (e *Engine) recordSilence(w *worker, aliveAt monotime.Instant) {
	s := &silence{worker: w.ID, processStart: w.processStart, at: e.now}
	for key, r := range w.runs {
		if r.maybeOfNextProcess(aliveAt) {
			continue
		}
		s.runs = append(s.runs, silentRun{key, r.lastedStable(e.now)})
		if t := e.task(key.Task); t != nil {
			t.addSilence(e.now)
		}
	}
	if len(s.runs) == 0 {
		return
	}
	e.unsettledSilences[w.Address] = s
}

// addSilence counts a run whose worker fell silent. One after the other may be the task's doing: its next runs are then kept apart from
// other suspects, and those of a task that is not long-running begin later.
func (t *task) addSilence(now monotime.Instant) {
	t.silences++
	if t.silences >= minSuspectCrashes && !t.step.def.LongRunning {
		t.notBefore = now.Add(silenceDelay)
	}
	t.step.countSuspects()
}

// removeSilence takes a settled silence off the count.
func (t *task) removeSilence() {
	t.silences = max(0, t.silences-1)
	if t.silences < minSuspectCrashes {
		t.notBefore = 0
	}
	t.step.countSuspects()
}

// HandleLeaving processes that a worker has said that it leaves. A silence of it is then no crash.
func (e *Engine) HandleLeaving(id WorkerID, address string) {
	if s := e.unsettledSilences[address]; s != nil && s.worker == id {
		e.settleSilence(address, SilenceAnswered)
	}
}

// settleByReport settles the silence at the address of a worker that has answered: its process is the one that fell silent, or another one.
func (e *Engine) settleByReport(w *worker, processStart time.Duration) {
	s := e.unsettledSilences[w.Address]
	if s == nil {
		return
	}
	// Without process starts a worker that has restarted has another id.
	sameProcess := s.worker == w.ID && (s.processStart == 0 || processStart == 0 || s.processStart == processStart)
	outcome := SilenceEnded
	if sameProcess {
		outcome = SilenceAnswered
	}
	e.settleSilence(w.Address, outcome)
}

// settleSilence settles the silence of the worker at an address, if there is one.
func (e *Engine) settleSilence(address string, outcome SilenceOutcome) {
	s := e.unsettledSilences[address]
	if s == nil {
		return
	}
	delete(e.unsettledSilences, address)
	e.silenceReports = append(e.silenceReports, SilenceReport{s.worker, outcome, len(s.runs), e.now.Sub(s.at)})
	for _, r := range s.runs {
		if t := e.task(r.Task); t != nil {
			t.removeSilence()
		}
	}
	if outcome != SilenceEnded {
		return
	}
	keys := make([]RunKey, len(s.runs))
	for i, r := range s.runs {
		keys[i] = r.RunKey
	}
	// When it ended is not known, so that no run is a likely cause, and the worker may have ended the runs before.
	c := newCrash(s.worker, keys)
	for _, r := range s.runs {
		e.countCrash(r.Task, taskCrash{run: r.Number, crash: c}, r.stable)
	}
	e.giveUpCause(c)
}

// forgetSilences drops the silences that are too old for proof.
func (e *Engine) forgetSilences() {
	for address, s := range e.unsettledSilences {
		if e.now.Sub(s.at) >= silenceMemory {
			e.settleSilence(address, SilenceForgotten)
		}
	}
}
