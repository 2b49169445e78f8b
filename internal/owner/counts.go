package owner

import "github.com/VictoriaMetrics/metrics"

// counts are the owner's metrics.
type counts struct {
	takeovers, records, recordFailures  *metrics.Counter
	holds, holdFailures, permitFailures *metrics.Counter
	helloFailures, orderRetries         *metrics.Counter
	startTime, permitTime, roundTime    *metrics.Histogram
}

func newCounts(set *metrics.Set, d *Daemon) counts {
	set.NewGauge("laburnumpoint_owner", func() float64 {
		if d.control.Load() != nil {
			return 1
		}
		return 0
	})
	return counts{
		takeovers:      set.NewCounter("laburnumpoint_takeovers_total"),
		records:        set.NewCounter("laburnumpoint_records_total"),
		recordFailures: set.NewCounter("laburnumpoint_record_failures_total"),
		holds:          set.NewCounter("laburnumpoint_holds_total"),
		holdFailures:   set.NewCounter("laburnumpoint_hold_failures_total"),
		permitFailures: set.NewCounter("laburnumpoint_permit_failures_total"),
		helloFailures:  set.NewCounter("laburnumpoint_hello_failures_total"),
		orderRetries:   set.NewCounter("laburnumpoint_order_retries_total"),
		startTime:      set.NewHistogram("laburnumpoint_start_seconds"),
		roundTime:      set.NewHistogram("laburnumpoint_round_seconds"),
		permitTime:     set.NewHistogram("laburnumpoint_permit_seconds"),
	}
}
