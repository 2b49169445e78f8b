package dispatch

import (
	"time"

	"laburnumpoint/internal/monotime"
)

// silence is a worker whose runs were given up since it has not answered for a whole lease. Either its process has ended, perhaps by one of
// its runs, or it is cut off and has ended them itself as their lease expired; or this daemon was. A silence fails no job. Later proof
// settles it:
//
//	silent ──the same process answers──▶ dropped
//	   ├──a later start, or another worker at its address──▶ counted as a crash
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
	confirmed, stable bool
}

// silenceMemory is how long a silence is kept for proof.
const silenceMemory = 2 * time.Minute

// SilenceReport describes a settled silence, for the log.
type SilenceReport struct {
	Worker WorkerID
	// Ended means that the worker's process has ended; otherwise it has answered again.
	Ended bool
	Runs  int
	// Lasted is the time since the runs were given up.
	Lasted time.Duration
}

// TakeSilenceReports returns the silences that were settled since the last call.
func (e *Engine) TakeSilenceReports() []SilenceReport {
	reports := e.silenceReports
	e.silenceReports = nil
	return reports
}

// recordSilence notes that a worker's runs are given up without proof that its process has ended.
func (e *Engine) recordSilence(w *worker) {
	if len(w.runs) == 0 {
		return
	}
	s := &silence{worker: w.ID, processStart: w.processStart, at: e.now}
	for key, r := range w.runs {
		s.runs = append(s.runs, silentRun{key, r.confirmedAt > 0, r.lastedStable(e.now)})
	}
	e.unsettledSilences[w.Address] = s
}

// settleByReport settles the silence at the address of a worker that has answered: its process is the one that fell silent, or another one.
func (e *Engine) settleByReport(w *worker, processStart time.Duration) {
	s := e.unsettledSilences[w.Address]
	if s == nil {
		return
	}
	sameProcess := s.worker == w.ID && (s.processStart == 0 || processStart == 0 || s.processStart == processStart)
	e.settleSilence(w.Address, !sameProcess)
}

// settleSilence settles the silence of the worker at an address, if there is one: its process has ended, or has answered.
func (e *Engine) settleSilence(address string, ended bool) {
	s := e.unsettledSilences[address]
	if s == nil {
		return
	}
	delete(e.unsettledSilences, address)
	e.silenceReports = append(e.silenceReports, SilenceReport{s.worker, ended, len(s.runs), e.now.Sub(s.at)})
	if !ended {
		return
	}
	keys := make([]RunKey, len(s.runs))
	for i, r := range s.runs {
		keys[i] = r.RunKey
	}
	// When it ended is not known, so that no run is a likely cause.
	c := newCrash(s.worker, keys)
	for _, r := range s.runs {
		e.countCrash(r.Task, taskCrash{run: r.Number, proven: r.confirmed, crash: c}, r.stable)
	}
	e.giveUpCause(c)
}

// forgetSilences drops the silences that are too old for proof.
func (e *Engine) forgetSilences() {
	for address, s := range e.unsettledSilences {
		if e.now.Sub(s.at) >= silenceMemory {
			delete(e.unsettledSilences, address)
		}
	}
}
