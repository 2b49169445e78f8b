package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"laburnumpoint/internal/api"
)

// message is a request to the cell that may be sent more than once.
type message struct {
	method string
	path   string
	body   []byte
	header http.Header
	// resendable means that the message takes effect once, however often it arrives.
	resendable bool
	// firstSend means that no message has been sent with the same id before.
	firstSend bool
	// timeout limits the wait for one answer.
	timeout time.Duration
}

// reply is the complete answer of a server.
type reply struct {
	status int
	body   []byte
	// retryAfter is the delay after which the server asks for another call; zero if it asks for none.
	retryAfter time.Duration
}

// sendError means that a message got no complete answer.
type sendError struct {
	// maybeSent means that the message may have reached the server.
	maybeSent bool
	cause     error
}

// Error implements error.
func (e *sendError) Error() string {
	if e.maybeSent {
		return "no complete answer: " + e.cause.Error()
	}
	return "not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *sendError) Unwrap() error {
	return e.cause
}

// The pause after each round of failed tries, one per server, doubles from minRetryPause to maxRetryPause.
const (
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// sendResult is the result of sending a message, over all its tries.
type sendResult struct {
	// reply is the answer to the last try. It is set only if err is nil.
	reply reply
	err   *sendError
	// earlierInDoubt means that a try before the last may have reached the cell and got no final answer.
	earlierInDoubt bool
	tries          int
}

// send sends m until it gets an answer that another try would not improve, or until RetryFor is over.
func (c *Client) send(ctx context.Context, m message) sendResult {
	deadline := time.Now().Add(c.opts.RetryFor)
	var r sendResult
	for {
		r.tries++
		m.setFirstSend(!r.earlierInDoubt)
		r.reply, r.err = c.sendOnce(ctx, c.nextServer(), m)
		retry, pause := c.shouldRetry(m, r)
		if !retry || ctx.Err() != nil || time.Now().Add(pause).After(deadline) {
			return r
		}
		r.earlierInDoubt = r.earlierInDoubt || inDoubt(r)
		sleep(ctx, pause)
	}
}

// setFirstSend sets the header that tells the cell whether the request was never sent before, or never run if it was. Only
// requests with an id of the caller's own carry it.
func (m message) setFirstSend(first bool) {
	if m.header.Get(api.HeaderRequestID) != "" {
		m.header.Set(api.HeaderFirstSend, strconv.FormatBool(first && m.firstSend))
	}
}

// shouldRetry reports whether sending m again after r is safe and useful, and after which pause.
func (c *Client) shouldRetry(m message, r sendResult) (bool, time.Duration) {
	if r.err != nil {
		return !r.err.maybeSent || m.resendable, c.retryPause(r.tries)
	}
	notRun := r.reply.status == http.StatusTooManyRequests || r.reply.status == http.StatusServiceUnavailable
	unknown := r.reply.status == http.StatusGatewayTimeout
	if r.reply.retryAfter > 0 && (notRun || unknown && m.resendable) {
		return true, jitter(r.reply.retryAfter)
	}
	return false, 0
}

// inDoubt reports whether the last try may have reached the cell without a final answer.
func inDoubt(r sendResult) bool {
	if r.err != nil {
		return r.err.maybeSent
	}
	return r.reply.status == http.StatusGatewayTimeout
}

// retryPause returns the pause after a failed try: none until every server was tried as often as the others.
func (c *Client) retryPause(tries int) time.Duration {
	fullRounds := tries / len(c.opts.Servers)
	if tries%len(c.opts.Servers) != 0 || fullRounds == 0 {
		return 0
	}
	return jitter(min(maxRetryPause, minRetryPause<<min(fullRounds-1, 10)))
}

// jitter adds up to half of d at random, so that callers that were refused together don't retry together.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}

// sendOnce sends m to one server and reads the complete answer.
func (c *Client) sendOnce(ctx context.Context, server string, m message) (reply, *sendError) {
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, m.method, "http://"+server+m.path, bytes.NewReader(m.body))
	if err != nil {
		return reply{}, &sendError{cause: err}
	}
	req.Header = m.header.Clone()
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		c.avoid(server)
		return reply{}, &sendError{cause: err}
	}
	if err != nil {
		return reply{}, &sendError{maybeSent: true, cause: err}
	}
	defer resp.Body.Close()
	if resp.Close {
		c.avoid(server)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return reply{}, &sendError{maybeSent: true, cause: err}
	}
	if resp.ContentLength < 0 || len(body) > maxAnswerBytes {
		return reply{}, &sendError{maybeSent: true, cause: fmt.Errorf("answer of %d bytes without Content-Length or above the size limit", len(body))}
	}
	return reply{status: resp.StatusCode, body: body, retryAfter: retryAfter(resp.Header, body)}, nil
}

// header returns the headers that every message carries.
func (c *Client) header() http.Header {
	h := http.Header{}
	h.Set("Content-Type", api.TypeJSON)
	h.Set("Accept", api.TypeJSON)
	if c.opts.Caller != "" {
		h.Set(api.HeaderCaller, c.opts.Caller)
	}
	return h
}
