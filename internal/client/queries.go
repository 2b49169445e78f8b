package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// queryTimeout limits the wait for the answer to a query.
const queryTimeout = 15 * time.Second

// Job returns a job's status.
func (c *Client) Job(ctx context.Context, id cell.JobID) (api.JobStatus, error) {
	return get[api.JobStatus](ctx, c, api.PathJobs+"/"+url.PathEscape(string(id)))
}

// WatchJob returns a job's status once JobStatus.Settled holds, or when timeout has passed.
func (c *Client) WatchJob(ctx context.Context, id cell.JobID, timeout time.Duration) (api.JobStatus, error) {
	m := c.query(api.PathJobs + "/" + url.PathEscape(string(id)) + "?watch=wait")
	m.header.Set(api.HeaderTimeout, timeout.String())
	m.timeout = timeout + answerGrace
	var status api.JobStatus
	err := decodeReply(c.send(ctx, m), &status)
	return status, err
}

// Explain returns the reasons for a task's current state.
func (c *Client) Explain(ctx context.Context, id cell.TaskID) (api.Explanation, error) {
	return get[api.Explanation](ctx, c, api.PathTasks+"/"+url.PathEscape(string(id))+"/why")
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (config.Versioned, error) {
	return get[config.Versioned](ctx, c, api.PathConfig)
}

// ConfigHistory returns the latest versions of the configuration, newest first, at most limit.
func (c *Client) ConfigHistory(ctx context.Context, limit int) ([]config.Versioned, error) {
	list, err := get[api.VersionList](ctx, c, api.PathConfigHistory+"?limit="+strconv.Itoa(limit))
	return list.Versions, err
}

// Shards returns the cell's shards.
func (c *Client) Shards(ctx context.Context) ([]api.ShardStatus, error) {
	list, err := get[api.ShardList](ctx, c, api.PathShards)
	return list.Shards, err
}

// Workers returns the cell's workers.
func (c *Client) Workers(ctx context.Context) ([]api.WorkerStatus, error) {
	list, err := get[api.WorkerList](ctx, c, api.PathWorkers)
	return list.Workers, err
}

// Teams returns the quota and usage of each team.
func (c *Client) Teams(ctx context.Context) ([]api.TeamStatus, error) {
	list, err := get[api.TeamList](ctx, c, api.PathTeams)
	return list.Teams, err
}

// Members returns the daemons of the entry VMs.
func (c *Client) Members(ctx context.Context) ([]api.MemberStatus, error) {
	list, err := get[api.MemberList](ctx, c, api.PathMembers)
	return list.Members, err
}

func (c *Client) query(path string) message {
	return message{method: http.MethodGet, path: path, header: c.header(), resendable: true, timeout: queryTimeout}
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var v T
	err := decodeReply(c.send(ctx, c.query(path)), &v)
	return v, err
}
