package httpplatform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of connections.
const (
	// dialTimeout is the time limit for setting up a connection.
	dialTimeout = time.Second
	// idleConnTimeout is how long an unused connection is kept.
	idleConnTimeout = 30 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount make the kernel close a dead connection after about 11 s.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// maxResponseHeaderBytes is the maximum length of the headers of an answer.
	maxResponseHeaderBytes = 64 << 10
)

// endpoint sends calls to one address over a pool of at most maxConns connections.
// After a call has timed out, later calls use new connections only, since the other existing ones may not respond either.
type endpoint struct {
	baseURL      string
	maxConns     int
	byteCounters *byteCounters

	mu      sync.Mutex
	current *http.Transport
}

func newEndpoint(addr string, maxConns int, counters *byteCounters) *endpoint {
	e := &endpoint{baseURL: "http://" + addr, maxConns: maxConns, byteCounters: counters}
	e.current = e.newTransport()
	return e
}

func (e *endpoint) newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, counters: e.byteCounters}, nil
		},
		MaxConnsPerHost:        e.maxConns,
		MaxIdleConnsPerHost:    e.maxConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		Protocols:              http1Only(),
	}
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// call is one request that an endpoint sends, with the transport that it uses.
type call struct {
	endpoint  *endpoint
	transport *http.Transport
	cancel    context.CancelFunc
	// connected is set once the call has a connection. From then on bytes of the request may have been sent.
	connected atomic.Bool
}

// send sends the request and returns its answer. The caller reads the answer's body and then calls finish, also after an
// error. A timeout of 0 means none.
//
// net/http sends a request a second time only if it wrote nothing of it on the first connection, or if the method is
// safe. A POST that may have been sent is never repeated.
func (e *endpoint) send(req *http.Request, timeout time.Duration) (*http.Response, *call, error) {
	ctx := req.Context()
	c := &call{endpoint: e, transport: e.currentTransport(), cancel: func() {}}
	if timeout > 0 {
		ctx, c.cancel = context.WithTimeout(ctx, timeout)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) }}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return resp, c, err
}

// finish ends the call. A nil err means that the complete answer was read.
func (c *call) finish(err error) {
	c.cancel()
	if isTimeout(err) && c.connected.Load() {
		c.endpoint.replaceTransport(c.transport)
	}
	c.endpoint.closeIfReplaced(c.transport)
}

func (e *endpoint) currentTransport() *http.Transport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// closeIfReplaced closes the idle connections of t if t was replaced while a call used it.
func (e *endpoint) closeIfReplaced(t *http.Transport) {
	e.mu.Lock()
	replaced := t != e.current
	e.mu.Unlock()
	if replaced {
		t.CloseIdleConnections()
	}
}

// replaceTransport replaces t if it is the current transport, so that later calls use new connections. Calls in flight
// over the existing connections continue until their own deadlines.
func (e *endpoint) replaceTransport(t *http.Transport) {
	e.mu.Lock()
	if t == e.current {
		e.current = e.newTransport()
	}
	e.mu.Unlock()
	t.CloseIdleConnections()
}

// replaceCurrentTransport makes later calls use new connections.
func (e *endpoint) replaceCurrentTransport() {
	e.replaceTransport(e.currentTransport())
}

// close closes the idle connections.
func (e *endpoint) close() {
	e.currentTransport().CloseIdleConnections()
}

func isTimeout(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
