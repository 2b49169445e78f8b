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

// decodeStrict decodes one JSON value into the given pointer. It refuses unknown fields and further values.
func decodeStrict(data []byte, into any) error {
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

// ParseJob parses the JSON of a job.
func ParseJob(data []byte) (*Job, error) {
	job := &Job{}
	return job, decodeStrict(data, job)
}

// RefusedError is an answer with a status other than 200.
type RefusedError struct {
	Status int
	Answer Answer
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, e.Answer.Result, e.Answer.Error)
}

// Limits of a call's tries.
const (
	// defaultRetryPause is the pause between tries if the answer asks for none.
	defaultRetryPause = 200 * time.Millisecond
	tryTimeout        = 3 * time.Second
	maxAnswerBytes    = 1 << 20
)

// Client calls the daemons of a cell. Every call is idempotent, so it is sent to the servers in turn until one gives a final
// answer or RetryFor is over, with the pause that an answer asks for.
type Client struct {
	// Servers are the addresses of the daemons for callers.
	Servers []string
	// RetryFor limits the time during which a call is sent again.
	RetryFor time.Duration
	// Key is the caller's key; empty for none.
	Key  string
	HTTP *http.Client
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, queue, id string, job *Job) (Answer, error) {
	return c.call(ctx, http.MethodPut, jobPath(queue, id), job)
}

// State returns a job's state.
func (c *Client) State(ctx context.Context, queue, id string) (Answer, error) {
	return c.call(ctx, http.MethodGet, jobPath(queue, id), nil)
}

// Explain returns a job's state and the reasons for it.
func (c *Client) Explain(ctx context.Context, queue, id string) (Answer, error) {
	return c.call(ctx, http.MethodGet, jobPath(queue, id)+"/why", nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, queue, id string) (Answer, error) {
	return c.call(ctx, http.MethodDelete, jobPath(queue, id), nil)
}

// Pending returns how many jobs of a queue have not started any task.
func (c *Client) Pending(ctx context.Context, queue string) (Answer, error) {
	return c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil)
}

func jobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

func (c *Client) call(ctx context.Context, method, path string, body any) (Answer, error) {
	return c.callInto(ctx, method, path, body, nil)
}

// callInto is call with a pointer to which the JSON of an answer with status 200 is also decoded, unless it is nil.
func (c *Client) callInto(ctx context.Context, method, path string, body, into any) (Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{}, err
	}
	deadline := time.Now().Add(c.RetryFor)
	for tries := 0; ; tries++ {
		answer, pause, err := c.callOnce(ctx, c.Servers[tries%len(c.Servers)], method, path, data, into)
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

// callOnce makes one try of a call. pause is the time until the next try, 0 if another try would not help.
func (c *Client) callOnce(ctx context.Context, server, method, path string, body []byte, into any) (answer Answer, pause time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, 0, err
	}
	req.Header.Set(HeaderTimeout, tryTimeout.String())
	if c.Key != "" {
		req.Header.Set(HeaderKey, c.Key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Answer{}, defaultRetryPause, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil {
		err = json.Unmarshal(data, &answer)
	}
	if err == nil && into != nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return Answer{}, defaultRetryPause, fmt.Errorf("decode the answer of %s with status %s: %w", server, resp.Status, err)
	}
	if resp.StatusCode == http.StatusOK {
		return answer, 0, nil
	}
	refused := &RefusedError{resp.StatusCode, answer}
	if resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests {
		return answer, 0, refused
	}
	pause = defaultRetryPause
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		pause = time.Duration(seconds) * time.Second
	}
	return answer, pause, refused
}
