package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// membersCommand returns the command that lists the daemons of the entry VMs.
func (a *app) membersCommand() *cli.Command {
	return &cli.Command{Name: "members", Usage: "list the daemons of the entry VMs", Action: a.members}
}

func (a *app) members(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	members, err := c.Members(ctx)
	if err != nil {
		return queryError(err)
	}
	var t table
	t.add("MEMBER", "ADDRESS", "ZONE", "CONFIG", "LIVE", "LEAVING")
	for _, m := range members {
		t.add(m.Member, m.Addr, m.Zone, m.ConfigVersion, m.Live, m.Leaving)
	}
	return a.print(cmd, members, t)
}
