package httpplatform

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// trafficCounters count the bytes that cross the connections to one kind of service.
type trafficCounters struct {
	sent     *metrics.Counter
	received *metrics.Counter
}

// Services, as the metrics name them.
const (
	servicePlatform      = "platform"
	serviceRunnerControl = "runner_control"
	serviceRunnerWork    = "runner_work"
)

func newTrafficCounters(service string) *trafficCounters {
	return &trafficCounters{
		sent:     metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumpoint_platform_bytes_total{service=%q,direction="sent"}`, service)),
		received: metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumpoint_platform_bytes_total{service=%q,direction="received"}`, service)),
	}
}

// countCall counts one call by its operation and result.
func countCall(op, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumpoint_platform_calls_total{op=%q,result=%q}`, op, result)).Inc()
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *trafficCounters
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(n)
	return n, err
}
