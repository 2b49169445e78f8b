package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/graphapi"
)

// graphWhyCommand returns the command that explains what each step of a graph job waits for.
func (a *app) graphWhyCommand() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "explain what each step of a graph job waits for",
		ArgsUsage: "JOB",
		Flags:     []cli.Flag{queueFlag()},
		Action:    a.graphWhy,
	}
}

func (a *app) graphWhy(ctx context.Context, cmd *cli.Command) error {
	return a.graphJobAction(func(c *graphapi.Client, ctx context.Context, queue, id string) (graphapi.Answer, error) {
		return c.Explain(ctx, queue, id)
	})(ctx, cmd)
}
