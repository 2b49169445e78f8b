package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
)

// A task may crash each worker that starts it, together with all other runs there. The engine counts for each task the crashes of
// workers that ran it, across owners: the next run of a task waits until its last crash is recorded. A run is a likely cause if the crash
// came soon after its start, no other was started after it and few other workers ended at that moment for no known cause; a task that was
// that twice, once with no other job's run as likely, is given up, which fails its job, and its crashes no longer count against the other
// tasks that ran beside it. The next run of a likely cause, or of a task with several crashes, begins with a probation, in which no other
// job's task is started on its worker, so that a further crash tells which task it was. A crash that comes later and a start in doubt on a
// worker that crashed only count towards a bound on all crashes, which long-running tasks don't have. A worker that fell silent counts for
// nothing until it is known to have ended, see silence.
const (
	// maxLikelyCrashes is how often a task may be the likely cause of a crash until it is given up.
	maxLikelyCrashes = 2
	// DefaultMaxCrashes is the usual bound on the crashes of a task's workers, whatever their likely cause.
	DefaultMaxCrashes = 4
	// MinMaxCrashes is the least such bound.
	MinMaxCrashes = 2
	// maxCountedCrashes bounds the crashes that are kept for a task, and recorded, if none of them gives it up.
	maxCountedCrashes = 16
	// startSpread is how far apart runs of one worker may be started to count as started together.
	startSpread = 100 * time.Millisecond
	// promptCrashTime is how long after a run's start its worker may stop answering for the run to be a likely cause.
	promptCrashTime = 1 * time.Second
	// commonCrashWorkers is how many other workers that stop answering within commonCrashTime show that no task is the cause.
	commonCrashWorkers = 4
	commonCrashTime    = 30 * time.Millisecond
	// stableRunTime is how long a run of a long-running task has to last for earlier crashes to be forgotten: a service that runs for
	// months loses its worker now and then.
	stableRunTime = 60 * time.Second
)

// WorkerEnd is why a worker's runs are given up.
type WorkerEnd int

// The ways in which a worker ends.
const (
	// WorkerLeft means that the worker had announced that it leaves.
	WorkerLeft WorkerEnd = iota
	// WorkerCrashed means that the worker's process has ended without notice.
	WorkerCrashed
	// WorkerSilent means that the worker has not answered for longer than its lease: it has crashed or is cut off.
	WorkerSilent
)

// String returns the name of the end in logs.
func (e WorkerEnd) String() string { return [...]string{"left", "crashed", "silent"}[e] }

// crash is the end of a worker that had runs.
type crash struct {
	// tasks are those of the runs that count it; present are those of all runs that the worker had, or may have had.
	tasks   []*task
	present map[graph.TaskID]struct{}
	report  CrashReport
	// reported means that the report has been made.
	reported bool
}

// taskCrash is a crash as one of its tasks counts it: the worker's process has certainly ended.
type taskCrash struct {
	// run is the number of the task's run on the worker.
	run uint64
	// proven means that the worker had the run, which a start in doubt does not tell; sole that only runs of the job may be the cause.
	proven, likely, sole bool
	// crash is nil for one that an earlier owner recorded.
	crash *crash
}

// CrashReport describes the crash of a worker that had runs, for the log.
type CrashReport struct {
	Worker WorkerID
	// Runs is how many runs ended with the worker; Likely are the tasks that may have caused it.
	Runs   int
	Likely []graph.TaskID
	// Counted are the tasks that count the crash.
	Counted []CountedCrash
	// GivenUp is the task that was given up for it, nil for none; Crashes is how many crashes were counted for it.
	GivenUp *graph.TaskID
	Crashes int
}

// CountedCrash is a crash as one task counts it.
type CountedCrash struct {
	Task graph.TaskID
	Run  uint64
	// Proven, Likely and Sole are those of CrashProgress.
	Proven, Likely, Sole bool
	// Crashes is how many crashes count for the task with this one.
	Crashes int
}

// SetMaxCrashes sets after how many crashes of its workers a task is given up, whatever their likely cause.
func (e *Engine) SetMaxCrashes(n int) { e.maxCrashes = n }

// TakeCrashReports returns the reports since the last call.
func (e *Engine) TakeCrashReports() []CrashReport {
	reports := e.crashReports
	e.crashReports = nil
	return reports
}

// recordEnd notes how a worker, last known to live at aliveAt, has ended. It counts a crash for the tasks that the worker runs, or may run, and
// returns it; nil if there is none to count. Runs that the next process may have are counted once its report lacks them.
func (e *Engine) recordEnd(w *worker, end WorkerEnd, aliveAt monotime.Instant) *crash {
	if end == WorkerSilent {
		e.recordSilence(w, aliveAt)
		return nil
	}
	if end == WorkerLeft {
		e.settleSilence(w.Address, SilenceAnswered)
		return nil
	}
	e.settleSilence(w.Address, SilenceEnded)
	if len(w.runs) == 0 {
		return nil
	}
	likely := e.likelyCauses(w)
	c := newCrash(w.ID, slices.Collect(maps.Keys(w.runs)))
	for key, r := range w.runs {
		tc := taskCrash{run: key.Number, proven: r.confirmedAt > 0, crash: c}
		tc.likely = slices.Contains(likely, r)
		tc.sole = tc.likely && !otherJobMayBeCause(w, r.Task.Job, likely)
		if r.maybeOfNextProcess(aliveAt) {
			r.pendingCrash = &tc
			continue
		}
		e.countCrash(r.Task, tc, r.lastedStable(e.now))
	}
	e.crashedAddresses[w.Address] = e.now
	return c
}

// newCrash returns a crash of a worker that had the runs, or may have had them.
func newCrash(w WorkerID, runs []RunKey) *crash {
	c := &crash{report: CrashReport{Worker: w, Runs: len(runs)}, present: make(map[graph.TaskID]struct{}, len(runs))}
	for _, key := range runs {
		c.present[key.Task] = struct{}{}
	}
	return c
}

// likelyCauses returns the runs that are likely causes of their worker's end.
func (e *Engine) likelyCauses(w *worker) []*run {
	if e.isCommonCrash(w) {
		return nil
	}
	var lastStart monotime.Instant
	for _, r := range w.runs {
		lastStart = max(lastStart, r.orderedAt)
	}
	var likely []*run
	for _, r := range w.runs {
		together := !r.orphan && lastStart.Sub(r.orderedAt) <= startSpread
		if r.confirmedAt > 0 && together && w.unansweredFrom(e.now).Sub(r.orderedAt) <= promptCrashTime {
			likely = append(likely, r)
		}
	}
	return likely
}

// otherJobMayBeCause reports whether a run of another job is as likely a cause of the worker's end, or was ordered there without an answer
// so far: the worker may have carried the order out just before it ended.
func otherJobMayBeCause(w *worker, id graph.JobID, likely []*run) bool {
	for _, r := range w.runs {
		if r.Task.Job != id && (r.confirmedAt == 0 || slices.Contains(likely, r)) {
			return true
		}
	}
	return false
}

// countCrash counts a crash for a task, one of whose runs ended with its worker. stable means that the run had lasted stableRunTime.
func (e *Engine) countCrash(id graph.TaskID, tc taskCrash, stable bool) {
	t := e.task(id)
	if t == nil || !t.addCrash(tc, stable) {
		return
	}
	e.markDirty(t.step.job)
	tc.crash.tasks = append(tc.crash.tasks, t)
	tc.crash.report.Counted = append(tc.crash.report.Counted, CountedCrash{id, tc.run, tc.proven, tc.likely, tc.sole, len(t.crashes)})
	if tc.likely {
		tc.crash.report.Likely = append(tc.crash.report.Likely, id)
	}
}

// unansweredFrom returns when the worker stopped answering, now if that is not known.
func (w *worker) unansweredFrom(now monotime.Instant) monotime.Instant {
	if w.unreachableSince > 0 {
		return w.unreachableSince
	}
	return now
}

// unreachableWorker is a worker that has stopped answering for no cause that is known.
type unreachableWorker struct {
	worker WorkerID
	at     monotime.Instant
}

// isCommonCrash reports whether the worker stopped answering together with several others.
func (e *Engine) isCommonCrash(w *worker) bool {
	others := 0
	for _, u := range e.unreachable {
		if d := u.at.Sub(w.unansweredFrom(e.now)); u.worker != w.ID && -commonCrashTime <= d && d <= commonCrashTime {
			others++
		}
	}
	return others >= commonCrashWorkers
}

// justStartedCause reports whether the worker has just started a task that is the likely cause of an earlier crash. Such tasks whose workers
// crashed together restart together, so that their next crashes coincide without a common cause.
func (w *worker) justStartedCause(now monotime.Instant) bool {
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.def.LongRunning && r.task.likelyCrashes() > 0 && r.confirmedAt > 0 && now.Sub(r.orderedAt) <= startSpread {
			return true
		}
	}
	return false
}

// lastedStable reports whether the run is known to have lasted stableRunTime.
func (r *run) lastedStable(now monotime.Instant) bool {
	return r.confirmedAt > 0 && now.Sub(r.confirmedAt) >= stableRunTime
}

// addCrash counts a crash that ended a run of the task, unless it has been counted or the task needs no more runs.
func (t *task) addCrash(c taskCrash, stable bool) bool {
	counted := slices.ContainsFunc(t.crashes, func(other taskCrash) bool { return other.run == c.run })
	if counted || t.done || t.step.job.state.Ended() {
		return false
	}
	if t.step.def.LongRunning && stable {
		t.crashes = nil
	}
	if len(t.crashes) >= maxCountedCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	t.crashes = append(t.crashes, c)
	if !t.step.def.LongRunning {
		t.awaitRecord() // the next owner must know of this crash before another one can follow
	}
	t.step.countSuspects()
	return true
}

// countPendingCrashes counts the crash of a worker's earlier process for runs that its next process does not have. That a worker answers
// and does not know a run tells nothing of a crash by itself.
func (e *Engine) countPendingCrashes(runs []*run) {
	var crashes []*crash
	for _, r := range runs {
		if r.pendingCrash == nil {
			continue
		}
		if !slices.Contains(crashes, r.pendingCrash.crash) {
			crashes = append(crashes, r.pendingCrash.crash)
		}
		e.countCrash(r.Task, *r.pendingCrash, r.lastedStable(e.now))
	}
	for _, c := range crashes {
		e.giveUpCause(c)
	}
}

// giveUpCause gives up the task that a crash, which has been counted, shows to be its cause, if any.
func (e *Engine) giveUpCause(c *crash) {
	if c == nil {
		return
	}
	defer e.reportCrash(c)
	var cause *task
	for _, t := range c.tasks {
		if e.mustGiveUp(t) && (cause == nil || compareBlame(t, cause) > 0) {
			cause = t
		}
	}
	if cause == nil {
		return
	}
	crashes := slices.Clone(cause.crashes) // exonerate shortens the original
	j, id := cause.step.job, cause.id()
	c.report.GivenUp, c.report.Crashes = &id, len(crashes)
	e.stats.GivenUp++
	reason := fmt.Sprintf("task %s was given up after %d crashes of its workers", id, len(crashes))
	e.failJob(j, FailedByCrashes, reason, cause.crashEvidence(), "a task of the job crashes its workers")
	for _, tc := range crashes {
		e.exonerate(tc.crash)
	}
}

// reportCrash makes the report of a crash that counts for a task, once, and again if a task is given up for it later.
func (e *Engine) reportCrash(c *crash) {
	if len(c.tasks) > 0 && (!c.reported || c.report.GivenUp != nil) {
		c.reported = true
		e.crashReports = append(e.crashReports, c.report)
	}
}

// mustGiveUp reports whether the crashes that count for a task suffice to give it up. Where hardly any is proven, one more is needed, as
// where another job's task had a run at each of them.
func (e *Engine) mustGiveUp(t *task) bool {
	proven, sole := 0, 0
	for _, c := range t.crashes {
		if c.proven {
			proven++
		}
		if c.sole {
			sole++
		}
	}
	enough := len(t.crashes) > e.maxCrashes || (len(t.crashes) == e.maxCrashes && proven >= MinMaxCrashes)
	if t.step.def.LongRunning {
		enough = false // restarted however it ends: workers of a service end for many reasons in its time
	}
	return !t.step.job.state.Ended() && ((t.likelyCrashes() >= maxLikelyCrashes && sole > 0) || (enough && !e.mayBeAnothersFault(t)))
}

// mayBeAnothersFault reports whether a task of another job was present at each crash that this owner has counted for the task, of which it
// takes two to say so. Such tasks can't be told apart until they are started on different workers, see isSuspect. Where they never are, as in
// a pool of one worker, the bound decides in the end.
func (e *Engine) mayBeAnothersFault(t *task) bool {
	if len(t.crashes) > e.maxCrashes {
		return false
	}
	var others map[graph.TaskID]struct{}
	seen := 0
	for _, c := range t.crashes {
		if c.crash != nil {
			seen++
		}
		switch {
		case c.crash == nil:
		case others == nil:
			others = maps.Clone(c.crash.present)
		default:
			maps.DeleteFunc(others, func(id graph.TaskID, _ struct{}) bool { _, present := c.crash.present[id]; return !present })
		}
	}
	for id := range others {
		if id.Job != t.step.job.id && e.countsAsOften(id, t) {
			return seen >= minSuspectCrashes
		}
	}
	return false
}

// countsAsOften reports whether a task that was present at the crashes of t that this owner has seen may have been at those of earlier
// owners too: it counts about as many. One that it counts late, since its start was in doubt, may be missing.
func (e *Engine) countsAsOften(id graph.TaskID, t *task) bool {
	other := e.task(id)
	return other == nil || (!other.done && len(other.crashes)+1 >= len(t.crashes))
}

// crashEvidence describes the crashes that count for the task, for logs.
func (t *task) crashEvidence() []string {
	var lines []string
	for _, c := range t.crashes {
		worker := "recorded by an earlier owner"
		if c.crash != nil {
			worker = fmt.Sprintf("worker %s crashed", c.crash.report.Worker)
		}
		lines = append(lines, fmt.Sprintf("run %d: %s, proven %t, likely cause %t, sole %t", c.run, worker, c.proven, c.likely, c.sole))
	}
	return lines
}

// compareBlame orders tasks by how likely they are to crash their workers.
func compareBlame(a, b *task) int {
	return cmp.Or(a.likelyCrashes()-b.likelyCrashes(), len(a.crashes)-len(b.crashes), strings.Compare(b.id().String(), a.id().String()))
}

// exonerate takes a crash whose cause is known off the counts of all tasks.
func (e *Engine) exonerate(c *crash) {
	if c == nil {
		return
	}
	for _, t := range c.tasks {
		t.crashes = slices.DeleteFunc(t.crashes, func(tc taskCrash) bool { return tc.crash == c })
		t.step.countSuspects()
		e.markDirty(t.step.job)
	}
}

// likelyCrashes counts the crashes of which the task is a likely cause.
func (t *task) likelyCrashes() int {
	n := 0
	for _, c := range t.crashes {
		if c.likely {
			n++
		}
	}
	return n
}

// minSuspectCrashes is the number of crashes and unsettled silences from which a task that is no likely cause of any is kept apart from other suspects.
const minSuspectCrashes = 2

// isSuspect reports whether the next run of the task begins with a probation, so that a further crash tells whether the task is its cause.
func (t *task) isSuspect() bool {
	return len(t.crashes)+t.silences >= minSuspectCrashes || t.likelyCrashes() > 0
}

// awaitRecord keeps the task from its next run until the job's next record is durable.
func (t *task) awaitRecord() {
	j := t.step.job
	t.awaitsRecord = j.recordsTaken + 1
	j.urgentRecord = t.awaitsRecord
}

// isAwaitingRecord reports whether a crash that counts for the task is not durable yet, so that its next run has to wait.
func (t *task) isAwaitingRecord() bool { return t.step.job.recorded < t.awaitsRecord }

// countAwaitingRecord counts the step's open tasks whose next run waits for a record.
func (s *step) countAwaitingRecord() int {
	n := 0
	for _, t := range s.tasks {
		if !t.done && t.run == nil && t.isAwaitingRecord() {
			n++
		}
	}
	return n
}

// countSuspects counts the step's open tasks that are suspects.
func (s *step) countSuspects() {
	s.suspects = 0
	for _, t := range s.tasks {
		if !t.done && t.isSuspect() {
			s.suspects++
		}
	}
}

// recordedCrashes returns the crashes of the task as they are recorded.
func (t *task) recordedCrashes() []CrashProgress {
	var recorded []CrashProgress
	for _, c := range t.crashes {
		recorded = append(recorded, CrashProgress{Run: c.run, Ended: true, Proven: c.proven, Likely: c.likely, Sole: c.sole})
	}
	return recorded
}

// restoreCrashes applies the recorded crashes of a task. One of an older version that may have been a silence counts for nothing.
func (t *task) restoreCrashes(recorded []CrashProgress) {
	t.crashes = nil
	for _, c := range recorded {
		if !c.Ended && !c.Proven {
			continue
		}
		t.crashes = append(t.crashes, taskCrash{run: c.Run, proven: c.Proven, likely: c.Likely, sole: c.Sole})
	}
}
