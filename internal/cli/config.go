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

// maxPatchBytes bounds the size of a patch file.
const maxPatchBytes = 1 << 20

// configCommand returns the group of commands that show and change the configuration.
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

// patchFlags returns the flags that describe a patch.
func patchFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagID, Usage: "`ID` of the patch, which takes effect once however often it is sent; a new one if none is given"},
		&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` that the patch is based on", Required: true},
		&cli.StringFlag{Name: flagMerge, Usage: "the change as a `JSON` merge patch (RFC 7396)"},
		&cli.StringFlag{Name: flagFile, Usage: "`FILE` with the merge patch; - is the standard input"},
	}
}

// readPatchFlags returns the patch that the flags describe, with a new id if none is given. It does not parse the change.
func (a *app) readPatchFlags(cmd *cli.Command) (api.PatchSpec, error) {
	spec := api.PatchSpec{ID: cmd.String(flagID), Base: cmd.Uint64(flagBase)}
	if spec.ID == "" {
		spec.ID = client.NewID()
	}
	text, path := cmd.String(flagMerge), cmd.String(flagFile)
	switch {
	case (text == "") == (path == ""):
		return spec, fmt.Errorf("%s: give either --%s or --%s", cmd.Name, flagMerge, flagFile)
	case text != "":
		spec.Merge = api.RawObject(text)
		return spec, nil
	default:
		data, err := a.readFile(path, maxPatchBytes)
		spec.Merge = data
		return spec, err
	}
}

// printPatchResult prints the answer to a patch and returns the error with the tool's exit code, or nil if the patch was
// accepted. err is the error of the call.
func (a *app) printPatchResult(cmd *cli.Command, p api.PatchAnswer, err error) error {
	if err != nil {
		return queryError(err)
	}
	if err := a.printPatchAnswer(cmd, p); err != nil {
		return err
	}
	return patchError(p)
}

// printPatchAnswer prints the version that the patch made or, if it was not accepted, the version in force.
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

// patchError returns an error with the exit code for a patch that was not accepted, or nil.
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
