package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// workersCommand returns the command that lists the workers.
func (a *app) workersCommand() *cli.Command {
	return &cli.Command{Name: "workers", Usage: "list the workers and what runs on them", Action: a.workers}
}

func (a *app) workers(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	workers, err := c.Workers(ctx)
	if err != nil {
		return queryError(err)
	}
	var t table
	t.add("WORKER", "ZONE", "RACK", "POOL", "SHARD", "STATE", "CLAIMED", "TASKS", "USED")
	for _, w := range workers {
		d := w.Worker
		t.add(d.ID, d.Zone, d.Rack, d.Pool, w.Shard, d.State, w.Claimed, w.Tasks, formatUsage(w.Used, d.Capacity))
	}
	return a.print(cmd, workers, t)
}
