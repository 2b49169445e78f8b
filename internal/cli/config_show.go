package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// configShowCommand returns the command that shows the configuration in force.
func (a *app) configShowCommand() *cli.Command {
	return &cli.Command{Name: "show", Usage: "show the version in force, as JSON", Action: a.configShow}
}

func (a *app) configShow(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	current, err := c.Config(ctx)
	if err != nil {
		return queryError(err)
	}
	return a.printJSON(current)
}
