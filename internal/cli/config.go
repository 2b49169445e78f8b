package cli

import (
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/client"
)

const (
	flagBase  = "base"
	flagMerge = "merge"
)

// maxPatchBytes bounds a patch file.
const maxPatchBytes = 1 << 20

// configCommand groups the commands on the configuration.
func (a *app) configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "show and change the configuration",
		Commands: []*cli.Command{
			a.configShowCommand(),
			a.configHistoryCommand(),
			a.configPatchCommand(),
			a.configTryCommand(),
		},
	}
}

func patchFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagID, Usage: "`ID` of the patch, under which it takes effect once; a new one if none is given"},
		&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` that the patch is made against", Required: true},
		&cli.StringFlag{Name: flagMerge, Usage: "the change as a `JSON` merge patch (RFC 7396)"},
		&cli.StringFlag{Name: flagFile, Usage: "`FILE` with the merge patch; - is the standard input"},
	}
}

func (a *app) readPatchFlags(cmd *cli.Command) (api.PatchSpec, error) {
	spec := api.PatchSpec{ID: cmd.String(flagID), Base: cmd.Uint64(flagBase)}
	if spec.ID == "" {
		spec.ID = client.NewID()
	}
	text, path := cmd.String(flagMerge), cmd.String(flagFile)
	switch {
	case (text == "") == (path == ""):
		return spec, fmt.Errorf("give --%s or --%s", flagMerge, flagFile)
	case text != "":
		spec.Merge = api.RawObject(text)
		return spec, nil
	default:
		data, err := a.readFile(path, maxPatchBytes)
		spec.Merge = data
		return spec, err
	}
}

// printPatchResult shows what became of a patch and returns the error that ends the tool.
func (a *app) printPatchResult(cmd *cli.Command, p api.PatchAnswer, err error) error {
	if err != nil {
		return queryError(err)
	}
	if err := a.printPatchAnswer(cmd, p); err != nil {
		return err
	}
	return patchError(p)
}

func (a *app) printPatchAnswer(cmd *cli.Command, p api.PatchAnswer) error {
	if cmd.Bool(flagJSON) {
		return a.printJSON(p)
	}
	if p.Accepted {
		_, err := fmt.Fprintf(a.streams.Out, "version %d\n", p.Version)
		return err
	}
	_, err := fmt.Fprintf(a.streams.Out, "version in force: %d\n", p.Version)
	return err
}

func patchError(p api.PatchAnswer) error {
	switch {
	case p.Accepted:
		return nil
	case p.Reason.Code == cell.ReasonInDoubt:
		return &exitError{code: ExitUnknown, message: fmt.Sprintf("unknown: %s; send the patch again with --%s %s", p.Reason, flagID, p.ID)}
	default:
		return &exitError{code: ExitNotRun, message: "refused: " + p.Reason.String()}
	}
}

var errInvalidMergePatch = errors.New("the merge patch is not JSON")
