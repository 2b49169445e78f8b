package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

// configPatchCommand returns the command that submits a patch.
func (a *app) configPatchCommand() *cli.Command {
	return &cli.Command{
		Name:   "patch",
		Usage:  "submit a change; it takes effect as a whole or is refused as a whole",
		Flags:  patchFlags(),
		Action: a.configPatch,
	}
}

func (a *app) configPatch(ctx context.Context, cmd *cli.Command) error {
	spec, err := a.readValidPatch(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	answer, err := c.PatchConfig(ctx, spec)
	return a.printPatchResult(cmd, answer, err)
}
