package owner

import (
	"sync/atomic"

	"laburnumpoint/internal/dispatch"
)

// workerHealth holds what the metrics show of the workers' health and of the copies of stragglers.
type workerHealth struct{ slow, ejected, trialRuns, copies, copiesWon atomic.Int64 }

// recordWorkerHealth logs what the engine found out about workers and updates the metrics.
func (c *controller) recordWorkerHealth() {
	for _, e := range c.engine.TakeWorkerEvents() {
		switch e.Kind {
		case dispatch.WorkerSlow:
			c.Log.Warn().Str("worker", string(e.Worker)).Float64("speed", e.Speed).Msg("worker is slow")
		case dispatch.WorkerEjected:
			c.Log.Warn().Str("worker", string(e.Worker)).Float64("failure_rate", e.FailureRate).Msg("worker ejected")
		case dispatch.WorkerReadmitted:
			c.Log.Info().Str("worker", string(e.Worker)).Float64("failure_rate", e.FailureRate).Msg("worker readmitted")
		}
	}
	c.recordCrashes()
	c.recordSilences()
	c.logHeldTasks()
	c.recordJobFailures()
	c.workerHealth.ejected.Store(int64(c.engine.EjectedWorkers()))
	stats := c.engine.Stats()
	c.workerHealth.trialRuns.Store(int64(stats.TrialRuns))
	c.workerHealth.copies.Store(int64(stats.Copies))
	c.workerHealth.copiesWon.Store(int64(stats.CopiesWon))
	c.workerHealth.slow.Store(int64(c.engine.SlowWorkers()))
}

// recordSilences logs and counts the workers whose runs were given up unheard and of which it is known now whether they had ended.
func (c *controller) recordSilences() {
	for _, r := range c.engine.TakeSilenceReports() {
		c.instruments.silences[r.Outcome].Inc()
		c.Log.Info().Str("worker", string(r.Worker)).Str("settled", r.Outcome.String()).Int("runs", r.Runs).Dur("after", r.Lasted).Msg("silence of a worker settled")
	}
}

// logHeldTasks logs and counts the tasks that wait for starts that may be carried out late.
func (c *controller) logHeldTasks() {
	for _, t := range c.engine.TakeHeldTasks() {
		c.logHeldTask(t, "task waits for a start that may be carried out late")
	}
}

func (c *controller) logHeldTask(t dispatch.HeldTask, message string) {
	c.instruments.tasksHeld.Inc()
	c.Log.Warn().Str("job", string(t.Task.Job)).Str("task", t.Task.String()).Uint64("run", t.Number).Str("worker", string(t.Worker)).Dur("wait", t.Wait).Uint64("epoch", c.ownership.Epoch()).Msg(message)
}

// recordCrashes logs and counts the workers that ended with runs, and the tasks that were given up for it.
func (c *controller) recordCrashes() {
	for _, r := range c.engine.TakeCrashReports() {
		suspects := make([]string, len(r.Likely))
		for i, id := range r.Likely {
			suspects[i] = id.String()
		}
		c.instruments.workerCrashes.Inc()
		c.Log.Warn().Str("worker", string(r.Worker)).Int("runs", r.Runs).Strs("suspects", suspects).Msg("worker ended with runs")
		for _, counted := range r.Counted {
			c.Log.Warn().Str("job", string(counted.Task.Job)).Str("task", counted.Task.String()).Uint64("run", counted.Run).Str("worker", string(r.Worker)).Bool("proven", counted.Proven).Bool("likely", counted.Likely).Bool("sole", counted.Sole).Int("crashes", counted.Crashes).Msg("crash counted for a task")
		}
		if r.GivenUp != nil {
			c.instruments.tasksGivenUp.Inc()
			c.Log.Warn().Str("job", string(r.GivenUp.Job)).Str("task", r.GivenUp.String()).Int("crashes", r.Crashes).Msg("task given up, it crashes its workers")
		}
	}
}

// recordJobFailures logs and counts the jobs that were ended as failed, each with what it was ended for.
func (c *controller) recordJobFailures() {
	for _, f := range c.engine.TakeJobFailures() {
		c.instruments.jobsFailed[f.Cause].Inc()
		c.Log.Warn().Str("job", string(f.Job)).Str("cause", f.Cause.String()).Str("why", f.Reason).Strs("evidence", f.Evidence).Uint64("epoch", c.ownership.Epoch()).Msg("job failed")
	}
}
