package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

const flagLimit = "limit"

const defaultHistoryLimit = 20

// configHistoryCommand returns the command that lists the latest versions of the configuration.
func (a *app) configHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:   "history",
		Usage:  "list the latest versions, newest first; --json shows all their fields",
		Flags:  []cli.Flag{&cli.IntFlag{Name: flagLimit, Usage: "`NUMBER` of versions", Value: defaultHistoryLimit}},
		Action: a.configHistory,
	}
}

func (a *app) configHistory(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	versions, err := c.ConfigHistory(ctx, cmd.Int(flagLimit))
	if err != nil {
		return queryError(err)
	}
	var t table
	t.add("VERSION", "TEAMS", "DRAINED", "PACKING WEIGHT")
	for _, v := range versions {
		t.add(v.Version, len(v.Document.Teams), len(v.Document.Drained), v.Document.PackingWeight)
	}
	return a.print(cmd, versions, t)
}
