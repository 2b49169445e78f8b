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
	c := &Client{opts: opts, http: &http.Client{Transport: transport()}}
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

// server returns the next server in turn.
func (c *Client) server() string {
	n := c.next.Add(1)
	return c.opts.Servers[n%uint64(len(c.opts.Servers))]
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
