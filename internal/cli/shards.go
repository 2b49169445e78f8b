package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// shardsCommand returns the command that lists the shards.
func (a *app) shardsCommand() *cli.Command {
	return &cli.Command{Name: "shards", Usage: "list the shards, their owners, their workers and tasks, and the capacity in use", Action: a.shards}
}

func (a *app) shards(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	shards, err := c.Shards(ctx)
	if err != nil {
		return queryError(err)
	}
	var t table
	t.add("SHARD", "OWNER", "EPOCH", "WORKERS", "CLAIMED", "QUEUED", "RUNNING", "USED")
	for _, s := range shards {
		used := formatUsage(s.Capacity.Sub(s.Free), s.Capacity)
		t.add(s.Shard, s.OwnerAddr, s.Epoch, s.Workers, s.WorkersClaimed, s.Queued, s.Running, used)
	}
	return a.print(cmd, shards, t)
}
