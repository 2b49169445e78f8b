package httpplatform

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// byteCounters count the bytes sent and received over the connections to one kind of service.
type byteCounters struct {
	sent     *metrics.Counter
	received *metrics.Counter
}

// Values of the metrics' label service.
const (
	servicePlatform      = "platform"
	serviceRunnerControl = "runner_control"
	serviceRunnerWork    = "runner_work"
)

func newByteCounters(service string) *byteCounters {
	return &byteCounters{
		sent:     metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumpoint_platform_bytes_total{service=%q,direction="sent"}`, service)),
		received: metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumpoint_platform_bytes_total{service=%q,direction="received"}`, service)),
	}
}

// countCall counts one call by its operation and result.
func countCall(op, result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`laburnumpoint_platform_calls_total{op=%q,result=%q}`, op, result)).Inc()
}

// countedConn is a connection that counts the bytes sent and received over it.
type countedConn struct {
	net.Conn
	counters *byteCounters
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.sent.Add(n)
	return n, err
}
