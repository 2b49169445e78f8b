package cli

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/api"
)

// configTryCommand returns the command that shows what a patch would do, without effect.
func (a *app) configTryCommand() *cli.Command {
	return &cli.Command{
		Name:   "try",
		Usage:  "show what a change would do, without effect",
		Flags:  patchFlags(),
		Action: a.configTry,
	}
}

func (a *app) configTry(ctx context.Context, cmd *cli.Command) error {
	spec, err := a.readValidPatch(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	answer, err := c.DryRunConfigPatch(ctx, spec)
	if err != nil {
		return queryError(err)
	}
	if err := a.printJSON(answer); err != nil {
		return err
	}
	return patchError(answer)
}

// readValidPatch returns the patch that the flags describe and checks that its change is valid JSON, since the request
// would otherwise not be.
func (a *app) readValidPatch(cmd *cli.Command) (api.PatchSpec, error) {
	if err := noArgs(cmd); err != nil {
		return api.PatchSpec{}, err
	}
	spec, err := a.readPatchFlags(cmd)
	if err != nil {
		return spec, err
	}
	if !json.Valid(spec.Merge) {
		return spec, errInvalidMergePatch
	}
	return spec, nil
}
