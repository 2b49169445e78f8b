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

// message is one message to the cell.
type message struct {
	method string
	path   string
	body   []byte
	header http.Header
	// repeatable means that the cell takes the message once however often it arrives.
	repeatable bool
	// newID means that the message's first sending is the first under its id.
	newID bool
	// patience bounds the wait for one answer.
	patience time.Duration
}

// reply is a whole answer of a server.
type reply struct {
	status int
	body   []byte
	// retryAfter is when the server asks to be called again; zero if that will not help.
	retryAfter time.Duration
}

// sendError is a message without a whole answer.
type sendError struct {
	// sent means that the message may have reached the server.
	sent  bool
	cause error
}

// Error implements error.
func (e *sendError) Error() string {
	if e.sent {
		return "no whole answer: " + e.cause.Error()
	}
	return "not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *sendError) Unwrap() error {
	return e.cause
}

// The pause after every server was tried in vain doubles between these bounds.
const (
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// result is what came of a message over all its sendings.
type result struct {
	// reply is the last whole answer. Only if err is nil.
	reply reply
	err   *sendError
	// doubt means that a sending before the last may have reached the cell and was not answered.
	doubt bool
	tries int
}

// send sends m until it has an answer that sending it again can't better, or until the time for that is over.
func (c *Client) send(ctx context.Context, m message) result {
	deadline := time.Now().Add(c.opts.RetryFor)
	var r result
	for {
		r.tries++
		m.markFirst(!r.doubt)
		r.reply, r.err = c.sendOnce(ctx, c.server(), m)
		again, pause := c.again(m, r)
		if !again || ctx.Err() != nil || time.Now().Add(pause).After(deadline) {
			return r
		}
		r.doubt = r.doubt || inDoubt(r)
		sleep(ctx, pause)
	}
}

// markFirst tells the cell whether an earlier send of a request under an id of the caller's own may have run.
func (m message) markFirst(first bool) {
	if m.header.Get(api.HeaderRequestID) != "" {
		m.header.Set(api.HeaderFirstSend, strconv.FormatBool(first && m.newID))
	}
}

// again reports whether m may and should be sent again after r, and after which pause.
func (c *Client) again(m message, r result) (bool, time.Duration) {
	if r.err != nil {
		return !r.err.sent || m.repeatable, c.pauseAfterFailure(r.tries)
	}
	notRun := r.reply.status == http.StatusTooManyRequests || r.reply.status == http.StatusServiceUnavailable
	unknown := r.reply.status == http.StatusGatewayTimeout
	if r.reply.retryAfter > 0 && (notRun || unknown && m.repeatable) {
		return true, jitter(r.reply.retryAfter)
	}
	return false, 0
}

// inDoubt reports whether the last sending may have reached the cell without a final answer.
func inDoubt(r result) bool {
	if r.err != nil {
		return r.err.sent
	}
	return r.reply.status == http.StatusGatewayTimeout
}

// pauseAfterFailure returns no pause while there are servers that were not tried yet.
func (c *Client) pauseAfterFailure(tries int) time.Duration {
	rounds := tries / len(c.opts.Servers)
	if tries%len(c.opts.Servers) != 0 || rounds == 0 {
		return 0
	}
	return jitter(min(maxPause, minPause<<min(rounds-1, 10)))
}

// jitter returns d or up to half as much again, so that callers that were refused together don't come back together.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}

// sendOnce sends m to one server and reads the whole answer.
func (c *Client) sendOnce(ctx context.Context, server string, m message) (reply, *sendError) {
	ctx, cancel := context.WithTimeout(ctx, m.patience)
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
	if err != nil {
		return reply{}, &sendError{sent: connected.Load(), cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return reply{}, &sendError{sent: true, cause: err}
	}
	if resp.ContentLength < 0 || len(body) > maxAnswerBytes {
		return reply{}, &sendError{sent: true, cause: fmt.Errorf("an answer of %d bytes whose length was not declared", len(body))}
	}
	return reply{status: resp.StatusCode, body: body, retryAfter: retryAfter(resp.Header, body)}, nil
}

// header returns the headers of every message.
func (c *Client) header() http.Header {
	h := http.Header{}
	h.Set("Content-Type", api.TypeJSON)
	h.Set("Accept", api.TypeJSON)
	if c.opts.Caller != "" {
		h.Set(api.HeaderCaller, c.opts.Caller)
	}
	return h
}
