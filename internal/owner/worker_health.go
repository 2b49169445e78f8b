package owner

import "sync/atomic"

// workerHealth holds what the metrics show of the workers' health.
type workerHealth struct{ slow atomic.Int64 }

// recordWorkerHealth logs what the engine found out about workers and updates the metrics.
func (c *controller) recordWorkerHealth() {
	for _, e := range c.engine.TakeWorkerEvents() {
		c.Log.Warn().Str("worker", string(e.Worker)).Float64("speed", e.Speed).Msg("worker is slow")
	}
	c.workerHealth.slow.Store(int64(c.engine.SlowWorkers()))
}
