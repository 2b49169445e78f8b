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

// answerMargin is how long past a request's timeout its answer is waited for.
const answerMargin = 10 * time.Second

// commandPatience bounds the wait for the answer to a command that takes no timeout.
const commandPatience = 40 * time.Second

// Request is a task that the caller waits for.
type Request struct {
	// ID is the caller's own id of the request, under which it may be sent again. Empty means that it is sent once, and
	// again only if it was not run.
	ID string
	// FirstSend means that the request was never sent under ID before.
	FirstSend bool
	Task      api.TaskSpec
	Timeout   time.Duration
}

// Run runs a task and returns its outcome.
func (c *Client) Run(ctx context.Context, r Request) Outcome {
	m := c.command(http.MethodPost, api.PathRequests, r.Task)
	m.header.Set(api.HeaderTimeout, r.Timeout.String())
	m.patience = r.Timeout + answerMargin
	m.repeatable = r.ID != ""
	m.newID = r.FirstSend
	if r.ID != "" {
		m.header.Set(api.HeaderRequestID, r.ID)
	}
	return outcomeOf(c.send(ctx, m), r.ID)
}

// SubmitJob submits a job, under a new id if it has none.
func (c *Client) SubmitJob(ctx context.Context, j api.JobSpec) Outcome {
	if j.ID == "" {
		j.ID = cell.JobID(NewID())
	}
	m := c.command(http.MethodPost, api.PathJobs, j)
	return outcomeOf(c.send(ctx, m), string(j.ID))
}

// CancelJob ends a job.
func (c *Client) CancelJob(ctx context.Context, id cell.JobID) Outcome {
	m := c.command(http.MethodDelete, api.PathJobs+"/"+url.PathEscape(string(id)), nil)
	return outcomeOf(c.send(ctx, m), "")
}

// CancelTasks cancels tasks.
func (c *Client) CancelTasks(ctx context.Context, ids []cell.TaskID) Outcome {
	m := c.command(http.MethodPost, api.PathTasksCancel, api.CancelSpec{Tasks: ids})
	return outcomeOf(c.send(ctx, m), "")
}

// PatchConfig submits a configuration patch, under a new id if it has none.
func (c *Client) PatchConfig(ctx context.Context, p api.PatchSpec) (api.PatchAnswer, error) {
	return c.patch(ctx, api.PathConfigPatches, p)
}

// TryConfigPatch says what a patch would do, without effect.
func (c *Client) TryConfigPatch(ctx context.Context, p api.PatchSpec) (api.PatchAnswer, error) {
	return c.patch(ctx, api.PathConfigTryPatch, p)
}

func (c *Client) patch(ctx context.Context, path string, p api.PatchSpec) (api.PatchAnswer, error) {
	if p.ID == "" {
		p.ID = NewID()
	}
	r := c.send(ctx, c.command(http.MethodPost, path, p))
	return patchAnswer(r, p.ID)
}

// SetDrained stops new work on a worker, or lets it take new work again.
func (c *Client) SetDrained(ctx context.Context, worker cell.WorkerID, drained bool) (api.PatchAnswer, error) {
	method := http.MethodDelete
	if drained {
		method = http.MethodPut
	}
	m := c.command(method, api.PathWorkers+"/"+url.PathEscape(string(worker))+"/drain", nil)
	return patchAnswer(c.send(ctx, m), "")
}

// patchAnswer returns what the cell said of a patch. An error means that it said nothing of it, or refused the message.
func patchAnswer(r result, id string) (api.PatchAnswer, error) {
	answer := api.PatchAnswer{ID: id}
	if r.err != nil {
		if !r.err.sent && !r.doubt {
			return answer, r.err
		}
		answer.Reason = cell.Reason{Code: cell.ReasonInDoubt, Detail: r.err.Error()}
		return answer, nil
	}
	if BadInput(r.reply.status) {
		return answer, view(r, nil)
	}
	if err := json.Unmarshal(r.reply.body, &answer); err != nil {
		return answer, fmt.Errorf("an answer of status %d that can't be read: %w", r.reply.status, err)
	}
	notRun := r.reply.status == http.StatusServiceUnavailable || r.reply.status == http.StatusTooManyRequests
	if r.doubt && notRun {
		answer.Reason = cell.Reason{Code: cell.ReasonInDoubt, Detail: "an earlier sending was not answered; the last: " + answer.Reason.String()}
	}
	return answer, nil
}

// command returns the message that carries body as JSON. Commands are repeatable: they carry an id or have the same
// effect twice.
func (c *Client) command(method, path string, body any) message {
	m := message{method: method, path: path, header: c.header(), repeatable: true, patience: commandPatience}
	if body != nil {
		m.body = encode(body)
	}
	return m
}

func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("client: a body always encodes: %v", err))
	}
	return data
}

// NewID returns an id that was never used before.
func NewID() string {
	return uuid.NewString()
}
