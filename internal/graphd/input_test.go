package graphd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphapi"
)

// connect opens a connection to the caller's address of the first daemon and sends text.
func (c *testCell) connect(text string) net.Conn {
	c.Helper()
	client, err := net.Dial("tcp", c.caller.Servers[0])
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { _ = client.Close() })
	if err := client.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		c.Fatal(err)
	}
	if _, err := io.WriteString(client, text); err != nil {
		c.Fatal(err)
	}
	return client
}

// Guards against a planned stop that never ends beside clients that have stalled in a head or in a body, and against one that cuts a
// request that was read, or leaves idle connections open.
func TestStalledClientsDoNotHoldAPlannedStop(t *testing.T) {
	c := newCell(t, 1)
	const begin = "PUT /v1/queues/" + queue + "/jobs/" + idA + " HTTP/1.1\r\nHost: a\r\n"
	c.connect(begin)
	c.connect(begin + "Content-Length: 1000\r\n\r\n{")
	c.connect(begin + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n")
	idle := c.connect("GET /v1/queues/" + queue + " HTTP/1.1\r\nHost: a\r\n\r\n")
	if n, err := idle.Read(make([]byte, 10)); n == 0 {
		t.Fatal(err)
	}
	c.submit(idB, &graphapi.Job{Payload: `{"run_ms":10}`, Steps: []graphapi.Step{step(1)}})
	c.waitForState(idB, graph.Completed)
	d := c.daemons[0]
	d.stop()
	if err := <-d.ended; err != nil {
		t.Error(err)
	}
	if _, err := io.Copy(io.Discard, idle); errors.Is(err, net.ErrClosed) || (err != nil && strings.Contains(err.Error(), "timeout")) {
		t.Errorf("idle connection: %v", err)
	}
}

// Guards against readiness checks and metrics that clients of these ports can take away from the balancer and the collector, by
// connections that they keep open.
func TestReadinessAndMetricsBesideStalledClients(t *testing.T) {
	c := newCell(t, 1)
	d := c.daemons[0]
	for _, addr := range []string{d.ReadyAddr, d.MetricsAddr} {
		for range 100 {
			client, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = client.Close() })
			_, _ = io.WriteString(client, "GET / HTTP/1.1\r\n") // fails if the connection was refused
		}
		c.eventually("an answer", func() bool {
			resp, err := http.Get("http://" + addr)
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}
