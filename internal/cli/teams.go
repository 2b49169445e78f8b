package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// teamsCommand returns the command that lists the teams.
func (a *app) teamsCommand() *cli.Command {
	return &cli.Command{Name: "teams", Usage: "list what the teams use of their quotas", Action: a.teams}
}

func (a *app) teams(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	teams, err := c.Teams(ctx)
	if err != nil {
		return queryError(err)
	}
	var t table
	t.add("TEAM", "QUEUED", "HELD", "OF QUOTA")
	for _, team := range teams {
		t.add(team.Team, team.Queued, team.Used, formatUsage(team.Used, team.Quota))
	}
	return a.print(cmd, teams, t)
}
