// Package client calls the HTTP interface of a cell's entry VMs.
//
// It knows several servers and goes on to the next one when a connection can't be made. A message is sent again only
// when that is safe: when it was not sent, when the cell said that the request was not run, or when the message carries
// an id under which the cell takes it once.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options sets up a Client.
type Options struct {
	// Servers are the entry VMs' addresses, IP number and port. There is at least one.
	Servers []string
	// Caller names the caller to the cell.
	Caller string
	// RetryFor bounds the time over which a message is sent again, counted from the first sending.
	RetryFor time.Duration
}

// Client calls a cell. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
	next atomic.Uint64
	now  func() time.Time

	mu sync.Mutex
	// avoided holds, by server, the time until which others go first.
	avoided map[string]time.Time
}

// Limits of the connections to the servers.
const (
	dialTimeout = time.Second
	// idleConnTimeout is shorter than an entry VM's drain delay, so that a connection which the VM closes at its stop is
	// not in use any more.
	idleConnTimeout   = 2 * time.Second
	maxIdlePerServer  = 256
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	// avoidTime is how long other servers go before one that can't be reached or is about to stop.
	avoidTime = 3 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 128 << 20
)

// New returns a client that starts with a server drawn at random, as a balancer would.
func New(opts Options) (*Client, error) {
	if len(opts.Servers) == 0 {
		return nil, errors.New("no server is given")
	}
	for _, s := range opts.Servers {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return nil, fmt.Errorf("server %q: %w", s, err)
		}
	}
	c := &Client{opts: opts, http: &http.Client{Transport: transport()}, now: time.Now, avoided: make(map[string]time.Time)}
	c.next.Store(rand.Uint64N(uint64(len(opts.Servers))))
	return c, nil
}

func transport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// Close drops the unused connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// server returns the next server in turn that is not avoided, or the next one if all are.
func (c *Client) server() string {
	n := uint64(len(c.opts.Servers))
	first := c.next.Add(1)
	for i := range n {
		server := c.opts.Servers[(first+i)%n]
		if !c.isAvoided(server) {
			return server
		}
	}
	return c.opts.Servers[first%n]
}

func (c *Client) isAvoided(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Before(c.avoided[server])
}

func (c *Client) avoid(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[server] = c.now().Add(avoidTime)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
