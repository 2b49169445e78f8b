package owner

import (
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/monotime"
)

// giveUpReason is why runs are taken for over although their worker has reported no end of them.
type giveUpReason string

const (
	// notReported means that complete reports, asked for after the run was confirmed, or one after its stop was acknowledged, lack it.
	notReported giveUpReason = "worker does not report the run"
	// processRestarted means that another process of the worker has answered.
	processRestarted giveUpReason = "its process has restarted"
	// otherIncarnation means that the address has refused a call as another incarnation.
	otherIncarnation giveUpReason = "another incarnation answers at its address"
	// leaseOver means that the worker doesn't answer and that its lease has ended on the slowest clock.
	leaseOver giveUpReason = "lease expired"
	// leaseOverUnregistered is the same for a worker that the registry doesn't list.
	leaseOverUnregistered giveUpReason = "lease expired, worker not registered"
	// unregisteredWithoutRuns means that the worker doesn't answer, isn't listed and has no runs.
	unregisteredWithoutRuns giveUpReason = "not registered and without runs"
	// listedElsewhere means that the worker, which has no runs, lists itself with another address or pool.
	listedElsewhere giveUpReason = "listed elsewhere and without runs"
)

// evidenceTime returns when what a reason rests on was obtained: when the report was asked for or the lease was extended last. The time of any
// other answer is now.
func (wc *workerConn) evidenceTime(why giveUpReason) monotime.Instant {
	switch why {
	case notReported:
		return wc.aliveAt
	case leaseOver, leaseOverUnregistered, unregisteredWithoutRuns:
		return wc.lease.lastExtension()
	}
	return wc.controller.now()
}

// logEvidence adds to a log line why runs are given up, how old the evidence is, when the worker was last heard, and what the owner knows of
// its lease, its process and its entry.
func (wc *workerConn) logEvidence(entry *log.Entry, why giveUpReason) *log.Entry {
	c := wc.controller
	entry.Str("why", string(why)).Dur("evidence_age", c.since(wc.evidenceTime(why))).Dur("unheard", c.since(wc.aliveAt)).Bool("reported", wc.reported)
	entry.Int64("listed_start", wc.listing.ProcessStart.Milliseconds()).Bool("registered", !wc.unregistered)
	entry.Uint64("confirming", wc.confirmations.open(c.now())).Uint64("token", wc.fencingToken.Load())
	return wc.logStarts(wc.logLease(entry))
}

// since returns the time since at, 0 if that has not been.
func (c *controller) since(at monotime.Instant) time.Duration {
	if at == 0 {
		return 0
	}
	return c.now().Sub(at)
}

// handleRunsLost logs runs that the owner takes for over although their worker has not reported an end of them, and withdraws their stops.
// Those that were being stopped are as expected: a start without an answer was then never carried out.
func (c *controller) handleRunsLost(wc *workerConn, runs []dispatch.GivenUpRun, why giveUpReason) {
	heard := c.engine.LastEndSequence(wc.worker.ID)
	for _, run := range runs {
		wc.withdrawStop(run.RunKey)
		entry := c.Log.Info()
		if why != notReported || run.StopAnswered == 0 {
			c.instruments.runsLost.Inc()
			entry = c.Log.Warn()
		}
		entry.Str("job", string(run.Task.Job)).Str("task", run.Task.String()).Uint64("run", run.Number).Str("worker", string(wc.worker.ID))
		entry.Str("state", run.State).Dur("ordered", run.Ordered).Dur("confirmed", run.Confirmed).Dur("listed", run.Listed).Dur("stop_answered", run.StopAnswered)
		wc.logEvidence(entry, why).Uint64("recorded", wc.recorded()).Uint64("heard", heard).Msg("run lost")
	}
}
