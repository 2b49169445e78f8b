package shard

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/cell"
)

// Metrics of all owners of the process.
var (
	inquiriesTotal   = metrics.NewCounter("laburnumpoint_inquiries_total")
	requeuesTotal    = metrics.NewCounter("laburnumpoint_requeues_total")
	supersededTotal  = metrics.NewCounter("laburnumpoint_superseded_total")
	lateAnswersTotal = metrics.NewCounter("laburnumpoint_late_answers_total")
)

// countOutcome counts an answer to a caller.
func countOutcome(out cell.Outcome) {
	name := `laburnumpoint_outcomes_total{result="` + string(out.Result) + `",reason="` + string(out.Reason.Code) + `"}`
	metrics.GetOrCreateCounter(name).Inc()
}

// recordStart records the start of an attempt and how long its request had waited.
func recordStart(class cell.PriorityClass, waited time.Duration) {
	metrics.GetOrCreateHistogram(`laburnumpoint_waiting_seconds{class="` + string(class) + `"}`).Update(waited.Seconds())
}
