package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

const flagWait = "wait"

// jobStatusCommand shows how far a job is.
func (a *app) jobStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show how far a job is",
		ArgsUsage: "JOB",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagWait, Usage: "`TIME` to wait until every task has ended, or runs if it is a service's"},
		},
		Action: a.jobStatus,
	}
}

func (a *app) jobStatus(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArg(cmd, "job")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var status api.JobStatus
	if wait := cmd.Duration(flagWait); wait > 0 {
		status, err = c.WatchJob(ctx, cell.JobID(id), wait)
	} else {
		status, err = c.Job(ctx, cell.JobID(id))
	}
	if err != nil {
		return queryError(err)
	}
	if err := a.printJob(cmd, status); err != nil {
		return err
	}
	if cmd.Duration(flagWait) > 0 && !status.Settled() {
		return &exitError{code: ExitUnknown, message: "the job has not settled yet"}
	}
	return nil
}
