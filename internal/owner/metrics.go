package owner

import (
	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/flowcontrol"
)

// instruments are the counters and histograms of a daemon.
type instruments struct {
	takeovers, commits, commitFailures  *metrics.Counter
	holds, holdFailures, permitFailures *metrics.Counter
	helloFailures, orderRetries         *metrics.Counter
	processesEnded, runsLost            *metrics.Counter
	runsUnknown, tasksHeld              *metrics.Counter
	workerCrashes, tasksGivenUp         *metrics.Counter
	// silences counts the settled silences of workers.
	silences map[dispatch.SilenceOutcome]*metrics.Counter
	// jobsFailed counts the jobs that this daemon has ended as failed.
	jobsFailed                       map[dispatch.FailureCause]*metrics.Counter
	startTime, permitTime, roundTime *metrics.Histogram
	takeoverTime                     *metrics.Histogram
	// workerWaits counts the orders that waited for a place of their worker, workerWaitTime sums their waits in seconds.
	workerWaits    *metrics.Counter
	workerWaitTime *metrics.FloatCounter
	locality       localityCounters
}

// newInstruments registers the daemon's metrics. The gauges are 0 while it does not own the cell.
func newInstruments(set *metrics.Set, d *Daemon) instruments {
	ownerGauge := func(name string, value func(*controller) float64) {
		set.NewGauge(name, func() float64 {
			if c := d.controller.Load(); c != nil {
				return value(c)
			}
			return 0
		})
	}
	ownerGauge("laburnumpoint_owner", func(*controller) float64 { return 1 })
	ownerGauge("laburnumpoint_events_waiting", func(c *controller) float64 { return float64(len(c.events)) })
	ownerGauge("laburnumpoint_tasks_waiting", func(c *controller) float64 { return float64(c.tasksWaiting.Load()) })
	ownerGauge("laburnumpoint_starts_unrecorded", func(c *controller) float64 { return float64(c.startsUnrecorded.Load()) })
	ownerGauge("laburnumpoint_permit_questions_waiting", func(c *controller) float64 { return float64(c.permitRequestsWaiting.Load()) })
	ownerGauge("laburnumpoint_workers_slow", func(c *controller) float64 { return float64(c.workerHealth.slow.Load()) })
	ownerGauge("laburnumpoint_workers_ejected", func(c *controller) float64 { return float64(c.workerHealth.ejected.Load()) })
	ownerGauge("laburnumpoint_trial_runs", func(c *controller) float64 { return float64(c.workerHealth.trialRuns.Load()) })
	set.RegisterMetricsWriter(d.writeOrganisationMetrics)
	ownerGauge("laburnumpoint_copies", func(c *controller) float64 { return float64(c.workerHealth.copies.Load()) })
	ownerGauge("laburnumpoint_copies_won", func(c *controller) float64 { return float64(c.workerHealth.copiesWon.Load()) })
	gateGauge := func(name string, value func(flowcontrol.Stats) float64) {
		ownerGauge(name, func(c *controller) float64 { return value(c.gate.Stats()) })
	}
	gateGauge("laburnumpoint_orders_under_way", func(s flowcontrol.Stats) float64 { return float64(s.UnderWay) })
	gateGauge("laburnumpoint_orders_waiting", func(s flowcontrol.Stats) float64 { return float64(s.Waiting) })
	gateGauge("laburnumpoint_orders_waiting_for_workers", func(s flowcontrol.Stats) float64 { return float64(s.WaitingForServers) })
	gateGauge("laburnumpoint_orders_bound", func(s flowcontrol.Stats) float64 { return float64(s.Bound) })
	gateGauge("laburnumpoint_order_answer_seconds", func(s flowcontrol.Stats) float64 { return s.AnswerTime.Seconds() })
	gateGauge("laburnumpoint_order_retries_withheld", func(s flowcontrol.Stats) float64 { return float64(s.Withheld) })
	silences := make(map[dispatch.SilenceOutcome]*metrics.Counter)
	for _, outcome := range dispatch.SilenceOutcomes() {
		silences[outcome] = set.NewCounter(`laburnumpoint_worker_silences_total{settled="` + outcome.String() + `"}`)
	}
	jobsFailed := make(map[dispatch.FailureCause]*metrics.Counter)
	for _, cause := range dispatch.FailureCauses() {
		jobsFailed[cause] = set.NewCounter(`laburnumpoint_jobs_failed_total{cause="` + cause.String() + `"}`)
	}
	return instruments{
		jobsFailed: jobsFailed,

		silences:       silences,
		locality:       newLocalityCounters(set),
		takeovers:      set.NewCounter("laburnumpoint_takeovers_total"),
		commits:        set.NewCounter("laburnumpoint_records_total"),
		commitFailures: set.NewCounter("laburnumpoint_record_failures_total"),
		holds:          set.NewCounter("laburnumpoint_holds_total"),
		holdFailures:   set.NewCounter("laburnumpoint_hold_failures_total"),
		permitFailures: set.NewCounter("laburnumpoint_permit_failures_total"),
		helloFailures:  set.NewCounter("laburnumpoint_hello_failures_total"),
		orderRetries:   set.NewCounter("laburnumpoint_order_retries_total"),
		workerWaits:    set.NewCounter("laburnumpoint_order_worker_waits_total"),
		workerWaitTime: set.NewFloatCounter("laburnumpoint_order_worker_wait_seconds_total"),
		processesEnded: set.NewCounter("laburnumpoint_worker_processes_ended_total"),
		workerCrashes:  set.NewCounter("laburnumpoint_worker_crashes_total"),
		tasksGivenUp:   set.NewCounter("laburnumpoint_tasks_given_up_total"),
		runsLost:       set.NewCounter("laburnumpoint_runs_lost_total"),
		tasksHeld:      set.NewCounter("laburnumpoint_tasks_held_total"),
		runsUnknown:    set.NewCounter("laburnumpoint_runs_unknown_total"),
		takeoverTime:   set.NewHistogram("laburnumpoint_takeover_seconds"),
		startTime:      set.NewHistogram("laburnumpoint_start_seconds"),
		roundTime:      set.NewHistogram("laburnumpoint_round_seconds"),
		permitTime:     set.NewHistogram("laburnumpoint_permit_seconds"),
	}
}
