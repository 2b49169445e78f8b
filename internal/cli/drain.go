package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/cell"
)

// drainCommand returns the command that drains a worker.
func (a *app) drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "give a worker no new work; the tasks that run on it continue",
		ArgsUsage: "WORKER",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return a.setDrained(ctx, cmd, true)
		},
	}
}

// setDrained marks the worker as drained in the configuration, or removes the mark.
func (a *app) setDrained(ctx context.Context, cmd *cli.Command, drained bool) error {
	worker, err := oneArg(cmd, "worker")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	answer, err := c.SetDrained(ctx, cell.WorkerID(worker), drained)
	return a.printPatchResult(cmd, answer, err)
}
