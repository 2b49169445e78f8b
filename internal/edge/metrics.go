package edge

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/cell"
)

// typeMetrics is the content type of the Prometheus text format.
const typeMetrics = "text/plain; version=0.0.4"

// edgeMetrics counts the answers to callers. Label values come from fixed lists, so the number of series is bounded.
type edgeMetrics struct {
	set *metrics.Set
}

func newEdgeMetrics(set *metrics.Set) *edgeMetrics {
	return &edgeMetrics{set: set}
}

// countOutcome counts the outcome of a request of the given class and records how long it waited if it ran.
func (m *edgeMetrics) countOutcome(class cell.PriorityClass, o cell.Outcome) {
	name := fmt.Sprintf(`laburnumpoint_requests_total{result=%q,class=%q}`, o.Result, class)
	m.set.GetOrCreateCounter(name).Inc()
	if o.Result == cell.ResultCompleted || o.Result == cell.ResultFailed {
		name = fmt.Sprintf(`laburnumpoint_request_waiting_seconds{class=%q}`, class)
		m.set.GetOrCreateHistogram(name).Update(o.Waited.Seconds())
	}
}

// countRefusal counts a request that the HTTP interface itself refused.
func (m *edgeMetrics) countRefusal(code cell.ReasonCode) {
	name := fmt.Sprintf(`laburnumpoint_refused_total{reason=%q}`, code)
	m.set.GetOrCreateCounter(name).Inc()
}

func (h *handler) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	var page bytes.Buffer
	h.metrics.set.WritePrometheus(&page)
	metrics.WritePrometheus(&page, true)
	h.writeBody(w, http.StatusOK, typeMetrics, page.Bytes())
}
