// Package client calls the HTTP interface of a cell's entry VMs.
//
// It has a list of servers and tries the next one when a connection can't be made. A message is sent again only when that
// is safe: it was not sent, the cell answered that the request was not run, or the message carries an id by which the
// cell recognises a repetition.
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

// Options configures a Client.
type Options struct {
	// Servers are the addresses of the entry VMs, each an IP address and a port. At least one is required.
	Servers []string
	// Caller is the caller's name, which every message carries.
	Caller string
	// RetryFor limits the time during which a message is sent again, counted from its first send.
	RetryFor time.Duration
}

// Client calls a cell. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
	turn atomic.Uint64
	now  func() time.Time

	mu sync.Mutex
	// avoided holds, for each server, the time until which other servers are preferred.
	avoided map[string]time.Time
}

// Limits and timeouts of the connections to the servers.
const (
	dialTimeout = time.Second
	// idleConnTimeout is shorter than the drain delay of an entry VM, so that connections are no longer in use when a
	// stopping VM closes them.
	idleConnTimeout   = 2 * time.Second
	maxIdlePerServer  = 256
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	// avoidDuration is how long other servers are preferred to one that can't be reached or is about to stop.
	avoidDuration = 3 * time.Second
	// maxAnswerBytes limits the body of an answer.
	maxAnswerBytes = 128 << 20
)

// New returns a client that starts with a random server, to spread clients over the servers.
func New(opts Options) (*Client, error) {
	if len(opts.Servers) == 0 {
		return nil, errors.New("the list of servers is empty")
	}
	for _, s := range opts.Servers {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return nil, fmt.Errorf("server %q: %w", s, err)
		}
	}
	c := &Client{opts: opts, http: &http.Client{Transport: transport()}, now: time.Now, avoided: make(map[string]time.Time)}
	c.turn.Store(rand.Uint64N(uint64(len(opts.Servers))))
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

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// nextServer returns the next server in turn that is not avoided, or the next one if all are.
func (c *Client) nextServer() string {
	n := uint64(len(c.opts.Servers))
	first := c.turn.Add(1)
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
	c.avoided[server] = c.now().Add(avoidDuration)
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
