package cli

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/report"
)

// reportCommand returns the command that summarises the daemons' logs of graph jobs.
func (a *app) reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "summarise from the daemons' logs how the time of graph jobs is spent, by second and by queue",
		ArgsUsage: "[FILE...]",
		Description: "Reads the logs of all daemons from the files, or from standard input if none is given. Prints what was queued, permitted,\n" +
			"started and ended each second, and how long the jobs of each queue spent between these.",
		Action: a.report,
	}
}

func (a *app) report(_ context.Context, cmd *cli.Command) error {
	in := a.streams.In
	var files []io.Reader
	for _, name := range cmd.Args().Slice() {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		files = append(files, f)
	}
	if len(files) > 0 {
		in = io.MultiReader(files...)
	}
	r, err := report.Read(in)
	if err != nil {
		return err
	}
	return r.Write(a.streams.Out)
}
