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
	c.workerHealth.ejected.Store(int64(c.engine.EjectedWorkers()))
	stats := c.engine.Stats()
	c.workerHealth.trialRuns.Store(int64(stats.TrialRuns))
	c.workerHealth.copies.Store(int64(stats.Copies))
	c.workerHealth.copiesWon.Store(int64(stats.CopiesWon))
	c.workerHealth.slow.Store(int64(c.engine.SlowWorkers()))
}
