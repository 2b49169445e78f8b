package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/wire"
)

// Traffic classifies messages between daemons: the scheduler's own coordination, or work for callers and operators.
type Traffic string

// The kinds of traffic.
const (
	// TrafficControl covers heartbeats, configuration and job notices.
	TrafficControl Traffic = "control"
	// TrafficRequest covers everything that is forwarded for a caller or operator.
	TrafficRequest Traffic = "request"
)

// TrafficOf returns the kind of traffic that req and its reply count as.
func TrafficOf(req *wire.Request) Traffic {
	switch req.GetBody().(type) {
	case *wire.Request_Heartbeat, *wire.Request_Config, *wire.Request_JobNotice:
		return TrafficControl
	default:
		return TrafficRequest
	}
}

// trafficCounters counts calls and the bytes of their messages, without the framing of yamux and TCP.
type trafficCounters struct {
	calls, failures, sent, received *metrics.Counter
}

type trafficByKind struct {
	control, request trafficCounters
}

// newTrafficByKind returns the counters of one side, "client" or "server", registered in set.
func newTrafficByKind(set *metrics.Set, side string) trafficByKind {
	return trafficByKind{
		control: newCounters(set, side, TrafficControl),
		request: newCounters(set, side, TrafficRequest),
	}
}

func newCounters(set *metrics.Set, side string, kind Traffic) trafficCounters {
	name := func(metric string) string {
		return fmt.Sprintf("laburnumpoint_peer_%s{side=%q,traffic=%q}", metric, side, kind)
	}
	return trafficCounters{
		calls:    set.GetOrCreateCounter(name("calls_total")),
		failures: set.GetOrCreateCounter(name("failures_total")),
		sent:     set.GetOrCreateCounter(name("sent_bytes_total")),
		received: set.GetOrCreateCounter(name("received_bytes_total")),
	}
}

func (t *trafficByKind) of(kind Traffic) *trafficCounters {
	if kind == TrafficControl {
		return &t.control
	}
	return &t.request
}
