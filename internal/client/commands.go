package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// answerGrace is how long the client waits for an answer beyond the request's timeout.
const answerGrace = 10 * time.Second

// commandTimeout limits the wait for the answer to a command that has no timeout of its own.
const commandTimeout = 40 * time.Second

// Request is a task that the caller waits for.
type Request struct {
	// ID is the caller's own id of the request, with which it may be sent again. Without an id it is sent again only if
	// it was certainly not run.
	ID string
	// FirstSend means that no request has been sent with ID before.
	FirstSend bool
	Task      api.TaskSpec
	Timeout   time.Duration
}

// Run runs a task and returns its outcome.
func (c *Client) Run(ctx context.Context, r Request) Outcome {
	m := c.command(http.MethodPost, api.PathRequests, r.Task)
	m.header.Set(api.HeaderTimeout, r.Timeout.String())
	m.timeout = r.Timeout + answerGrace
	m.resendable = r.ID != ""
	m.firstSend = r.FirstSend
	if r.ID != "" {
		m.header.Set(api.HeaderRequestID, r.ID)
	}
	return toOutcome(c.send(ctx, m), r.ID)
}

// SubmitJob submits a job. A job without an id gets a new one.
func (c *Client) SubmitJob(ctx context.Context, j api.JobSpec) Outcome {
	if j.ID == "" {
		j.ID = cell.JobID(NewID())
	}
	m := c.command(http.MethodPost, api.PathJobs, j)
	return toOutcome(c.send(ctx, m), string(j.ID))
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, id cell.JobID) Outcome {
	m := c.command(http.MethodDelete, api.PathJobs+"/"+url.PathEscape(string(id)), nil)
	return toOutcome(c.send(ctx, m), "")
}

// CancelTasks cancels tasks.
func (c *Client) CancelTasks(ctx context.Context, ids []cell.TaskID) Outcome {
	m := c.command(http.MethodPost, api.PathTasksCancel, api.CancelSpec{Tasks: ids})
	return toOutcome(c.send(ctx, m), "")
}

// PatchConfig submits a configuration patch. A patch without an id gets a new one.
func (c *Client) PatchConfig(ctx context.Context, p api.PatchSpec) (api.PatchAnswer, error) {
	return c.patch(ctx, api.PathConfigPatches, p)
}

// DryRunConfigPatch returns what a configuration patch would do, without applying it.
func (c *Client) DryRunConfigPatch(ctx context.Context, p api.PatchSpec) (api.PatchAnswer, error) {
	return c.patch(ctx, api.PathConfigPatchDryRun, p)
}

func (c *Client) patch(ctx context.Context, path string, p api.PatchSpec) (api.PatchAnswer, error) {
	if p.ID == "" {
		p.ID = NewID()
	}
	r := c.send(ctx, c.command(http.MethodPost, path, p))
	return toPatchAnswer(r, p.ID)
}

// SetDrained drains a worker, which then gets no new work, or ends its draining.
func (c *Client) SetDrained(ctx context.Context, worker cell.WorkerID, drained bool) (api.PatchAnswer, error) {
	method := http.MethodDelete
	if drained {
		method = http.MethodPut
	}
	m := c.command(method, api.PathWorkers+"/"+url.PathEscape(string(worker))+"/drain", nil)
	return toPatchAnswer(c.send(ctx, m), "")
}

// toPatchAnswer returns the cell's answer to a patch. An error means that the patch was not sent, that the cell refused the
// message or that its answer can't be decoded.
func toPatchAnswer(r sendResult, id string) (api.PatchAnswer, error) {
	answer := api.PatchAnswer{ID: id}
	if r.err != nil {
		if !r.err.maybeSent && !r.earlierInDoubt {
			return answer, r.err
		}
		answer.Reason = cell.Reason{Code: cell.ReasonInDoubt, Detail: r.err.Error()}
		return answer, nil
	}
	if BadInput(r.reply.status) {
		return answer, decodeReply(r, nil)
	}
	if err := json.Unmarshal(r.reply.body, &answer); err != nil {
		return answer, fmt.Errorf("decode the answer to a patch with status %d: %w", r.reply.status, err)
	}
	notRun := r.reply.status == http.StatusServiceUnavailable || r.reply.status == http.StatusTooManyRequests
	if r.earlierInDoubt && notRun {
		answer.Reason = cell.Reason{Code: cell.ReasonInDoubt, Detail: "an earlier send got no answer; the last one got: " + answer.Reason.String()}
	}
	return answer, nil
}

// command returns a message with body as JSON. Commands are resendable by default: they carry an id or are idempotent.
func (c *Client) command(method, path string, body any) message {
	m := message{method: method, path: path, header: c.header(), resendable: true, timeout: commandTimeout}
	if body != nil {
		m.body = encode(body)
	}
	return m
}

func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("client: encode a request body: %v", err))
	}
	return data
}

// NewID returns a new unique id.
func NewID() string {
	return uuid.NewString()
}
