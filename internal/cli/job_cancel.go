package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/cell"
)

// jobCancelCommand returns the command that cancels a job.
func (a *app) jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a job and all its tasks",
		ArgsUsage: "JOB",
		Action:    a.jobCancel,
	}
}

func (a *app) jobCancel(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArg(cmd, "job")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	outcome := c.CancelJob(ctx, cell.JobID(id))
	if cmd.Bool(flagJSON) {
		err = a.printJSON(outcome.Answer)
	} else if outcome.Result == cell.ResultCompleted {
		_, err = fmt.Fprintln(a.streams.Out, "cancelled", id)
	}
	if err != nil {
		return err
	}
	return outcomeError(outcome)
}
