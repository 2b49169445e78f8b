package owner

import "github.com/VictoriaMetrics/metrics"

// counts are the owner's metrics.
type counts struct {
	takeovers, records, recordFailures  *metrics.Counter
	holds, holdFailures, permitFailures *metrics.Counter
	helloFailures, orderRetries         *metrics.Counter
	startTime, permitTime, roundTime    *metrics.Histogram
	takeoverTime                        *metrics.Histogram
}

func newCounts(set *metrics.Set, d *Daemon) counts {
	owned := func(name string, value func(*control) float64) {
		set.NewGauge(name, func() float64 {
			if c := d.control.Load(); c != nil {
				return value(c)
			}
			return 0
		})
	}
	owned("laburnumpoint_owner", func(*control) float64 { return 1 })
	owned("laburnumpoint_events_waiting", func(c *control) float64 { return float64(len(c.events)) })
	owned("laburnumpoint_tasks_waiting", func(c *control) float64 { return float64(c.tasksWaiting.Load()) })
	owned("laburnumpoint_permit_questions_waiting", func(c *control) float64 { return float64(c.questionsWaiting.Load()) })
	return counts{
		takeovers:      set.NewCounter("laburnumpoint_takeovers_total"),
		records:        set.NewCounter("laburnumpoint_records_total"),
		recordFailures: set.NewCounter("laburnumpoint_record_failures_total"),
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
