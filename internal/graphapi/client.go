package graphapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// strictly decodes one JSON value without unknown fields.
func strictly(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errors.New("more than one JSON value")
	}
	return nil
}

// ParseJob reads a job as callers write it.
func ParseJob(data []byte) (*Job, error) {
	job := &Job{}
	return job, strictly(data, job)
}

// RefusedError is an answer other than success.
type RefusedError struct {
	Status int
	Answer Answer
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, e.Answer.Result, e.Answer.Error)
}

// Bounds of the client's tries.
const (
	retryPause  = 200 * time.Millisecond
	clientWait  = 3 * time.Second
	maxReadBack = 1 << 20
)

// Client calls the daemons of a cell. Each call may safely be sent again, so it goes to the servers in turn, with the pause
// that an answer asks for, until one answers or the time is up.
type Client struct {
	Servers []string
	// RetryFor bounds the time over which a call is sent again.
	RetryFor time.Duration
	HTTP     *http.Client
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, queue, id string, job *Job) (Answer, error) {
	return c.call(ctx, http.MethodPut, jobPath(queue, id), job)
}

// State asks for a job's state.
func (c *Client) State(ctx context.Context, queue, id string) (Answer, error) {
	return c.call(ctx, http.MethodGet, jobPath(queue, id), nil)
}

// Explain asks why a job is where it is.
func (c *Client) Explain(ctx context.Context, queue, id string) (Answer, error) {
	return c.call(ctx, http.MethodGet, jobPath(queue, id)+"/why", nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, queue, id string) (Answer, error) {
	return c.call(ctx, http.MethodDelete, jobPath(queue, id), nil)
}

// Pending asks how many jobs of a queue have begun nothing.
func (c *Client) Pending(ctx context.Context, queue string) (Answer, error) {
	return c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil)
}

func jobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

func (c *Client) call(ctx context.Context, method, path string, body any) (Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{}, err
	}
	deadline := time.Now().Add(c.RetryFor)
	for n := 0; ; n++ {
		answer, pause, err := c.try(ctx, c.Servers[n%len(c.Servers)], method, path, data)
		if pause == 0 || time.Now().Add(pause).After(deadline) {
			return answer, err
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return answer, err
		}
	}
}

// try makes one call; pause is when it may be made again, 0 if that would not help.
func (c *Client) try(ctx context.Context, server, method, path string, body []byte) (answer Answer, pause time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, clientWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, 0, err
	}
	req.Header.Set(HeaderTimeout, clientWait.String())
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Answer{}, retryPause, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReadBack)).Decode(&answer); err != nil {
		return Answer{}, retryPause, fmt.Errorf("%s answers %s: %w", server, resp.Status, err)
	}
	if resp.StatusCode == http.StatusOK {
		return answer, 0, nil
	}
	refused := &RefusedError{resp.StatusCode, answer}
	if resp.StatusCode < http.StatusInternalServerError {
		return answer, 0, refused
	}
	pause = retryPause
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		pause = time.Duration(seconds) * time.Second
	}
	return answer, pause, refused
}
