package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// graphPendingCommand returns the command that counts the jobs of a queue of which no task has started.
func (a *app) graphPendingCommand() *cli.Command {
	return &cli.Command{
		Name:  "pending",
		Usage: "count the jobs of a queue of which no task has started",
		Flags: []cli.Flag{queueFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := noArgs(cmd); err != nil {
				return err
			}
			answer, err := newGraphClient(cmd).Pending(ctx, cmd.String(flagQueue))
			if err != nil {
				return graphCallError(err)
			}
			return a.printGraphAnswer(cmd, answer)
		},
	}
}
