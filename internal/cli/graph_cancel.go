package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/graphapi"
)

// graphCancelCommand returns the command that cancels a graph job and shows its state.
func (a *app) graphCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a graph job; the cancellation is durable when the command ends with code 0",
		ArgsUsage: "JOB",
		Flags:     []cli.Flag{queueFlag()},
		Action: a.graphJobAction(func(c *graphapi.Client, ctx context.Context, queue, id string) (graphapi.Answer, error) {
			if _, err := c.Cancel(ctx, queue, id); err != nil {
				return graphapi.Answer{}, err
			}
			return c.State(ctx, queue, id)
		}),
	}
}
