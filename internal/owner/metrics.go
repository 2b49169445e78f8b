package owner

import "github.com/VictoriaMetrics/metrics"

// instruments are the owner's metrics.
type instruments struct {
	takeovers, commits, commitFailures  *metrics.Counter
	holds, holdFailures, permitFailures *metrics.Counter
	helloFailures, orderRetries         *metrics.Counter
	startTime, permitTime, roundTime    *metrics.Histogram
	takeoverTime                        *metrics.Histogram
}

func newInstruments(set *metrics.Set, d *Daemon) instruments {
	owned := func(name string, value func(*controller) float64) {
		set.NewGauge(name, func() float64 {
			if c := d.controller.Load(); c != nil {
				return value(c)
			}
			return 0
		})
	}
	owned("laburnumpoint_owner", func(*controller) float64 { return 1 })
	owned("laburnumpoint_events_waiting", func(c *controller) float64 { return float64(len(c.events)) })
	owned("laburnumpoint_tasks_waiting", func(c *controller) float64 { return float64(c.tasksWaiting.Load()) })
	owned("laburnumpoint_permit_questions_waiting", func(c *controller) float64 { return float64(c.permitRequestsWaiting.Load()) })
	return instruments{
		takeovers:      set.NewCounter("laburnumpoint_takeovers_total"),
		commits:        set.NewCounter("laburnumpoint_records_total"),
		commitFailures: set.NewCounter("laburnumpoint_record_failures_total"),
		holds:          set.NewCounter("laburnumpoint_holds_total"),
		holdFailures:   set.NewCounter("laburnumpoint_hold_failures_total"),
		permitFailures: set.NewCounter("laburnumpoint_permit_failures_total"),
		helloFailures:  set.NewCounter("laburnumpoint_hello_failures_total"),
		orderRetries:   set.NewCounter("laburnumpoint_order_retries_total"),
		takeoverTime:   set.NewHistogram("laburnumpoint_takeover_seconds"),
		startTime:      set.NewHistogram("laburnumpoint_start_seconds"),
		roundTime:      set.NewHistogram("laburnumpoint_round_seconds"),
		permitTime:     set.NewHistogram("laburnumpoint_permit_seconds"),
	}
}
