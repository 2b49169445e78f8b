package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// undrainCommand returns the command that lets a drained worker take new work again.
func (a *app) undrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "let a drained worker take new work again",
		ArgsUsage: "WORKER",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return a.setDrained(ctx, cmd, false)
		},
	}
}
