package cli

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/api"
)

// configTryCommand says what a patch would do.
func (a *app) configTryCommand() *cli.Command {
	return &cli.Command{
		Name:   "try",
		Usage:  "show what a change would do, without effect",
		Flags:  patchFlags(),
		Action: a.configTry,
	}
}

func (a *app) configTry(ctx context.Context, cmd *cli.Command) error {
	spec, err := a.checkedPatch(cmd)
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

// checkedPatch reads the patch and checks that its change is JSON, which the message would otherwise not be.
func (a *app) checkedPatch(cmd *cli.Command) (api.PatchSpec, error) {
	if err := noArgs(cmd); err != nil {
		return api.PatchSpec{}, err
	}
	spec, err := a.readPatch(cmd)
	if err != nil {
		return spec, err
	}
	if !json.Valid(spec.Merge) {
		return spec, errInvalidMerge
	}
	return spec, nil
}
